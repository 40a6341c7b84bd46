// Maps the JSON pointers of a text's values to lines and columns, which the JSON parser does not report.
// Without I/O, clock or threads.
#pragma once
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace emberdale {

// A place in a text: line and column, counted from 1 in bytes. {0, 0} means that the place is unknown.
struct TextPosition {
  int line = 0;
  int column = 0;
  friend bool operator==(TextPosition a, TextPosition b) { return a.line == b.line && a.column == b.column; }
  friend bool operator!=(TextPosition a, TextPosition b) { return !(a == b); }
};

// Line and column of a byte of the text; a byte behind the end counts as the end.
TextPosition position_of_byte(const std::string& text, std::size_t byte);

// How keys become parts of a pointer, and what counts where a key is repeated in one object.
enum class PointerSyntax {
  // As RFC 6901 writes it: keys are decoded, '~' and '/' in them escaped. A byte order mark is skipped; the last one
  // of repeated keys counts, as for the parser.
  rfc6901,
  // Keys as they stand in the text without their backslashes, nothing escaped; a byte order mark belongs to the text,
  // and the first one of repeated keys counts.
  verbatim,
};

// The positions of all values of one JSON text, found in a single pass. The text must have been parsed before, and its
// nesting be limited (see max_document_depth): the pass recurses for each level. A text that does not parse gives some
// positions, and never an endless loop.
class JsonSourceMap {
 public:
  explicit JsonSourceMap(const std::string& text, PointerSyntax syntax = PointerSyntax::rfc6901);

  // The position of the pointer's value, or of the nearest value around it that the text has.
  // Example: JsonSourceMap("{\n \"a\": 1}").position_of("/a") == TextPosition{2, 7}
  TextPosition position_of(std::string pointer) const;

  // Pointers of the members whose key stood before in the same object, in the order of the text.
  const std::vector<std::string>& repeated_members() const { return repeated_members_; }

 private:
  char current() const { return offset_ < text_.size() ? text_[offset_] : '\0'; }
  void skip_separators();
  void scan_value();
  void scan_object();
  void scan_array();
  void scan_member(const std::string& pointer_token);
  void scan_literal();
  std::string scan_string();
  std::string pointer_token(const std::string& quoted_key) const;
  TextPosition position_at(std::size_t byte) const;

  const std::string& text_;  // of the caller; read by the constructor alone
  const PointerSyntax syntax_;
  std::size_t offset_ = 0;
  std::string pointer_;  // of the value that is being scanned
  std::vector<std::size_t> line_starts_;
  std::unordered_map<std::string, std::size_t> offsets_;  // by pointer: where its value begins
  std::vector<std::string> repeated_members_;
};

}  // namespace emberdale
