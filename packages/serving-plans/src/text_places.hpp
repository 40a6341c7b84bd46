// Places in a JSON text: the parser tells none of the values it has read.
#pragma once
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace emberdale {

// Where in the text a JSON pointer's value begins. The parser tells no places, so the text is
// walked once more along the pointer; a place that isn't found gives line 0.
// Example: TextPlaces("{\n \"a\": 1}").of("/a") == std::pair(2, 7)
class TextPlaces {
 public:
  // The walk is for text that has been parsed: broken text has lines and columns, and no pointers.
  explicit TextPlaces(const std::string& text, bool is_sound = true);
  // Line and column of the pointer's value, or of the nearest value around it.
  std::pair<int, int> of(const std::string& pointer) const;
  // Line and column, from 1, of a byte.
  std::pair<int, int> line_and_column(std::size_t at) const;

 private:
  void skip_blanks();
  std::string walk_string();
  void walk_object(const std::string& pointer);
  void walk_list(const std::string& pointer);
  void walk_value(const std::string& pointer);

  const std::string& text_;
  std::size_t at_ = 0;
  std::map<std::string, std::size_t> places_;
};

}  // namespace emberdale
