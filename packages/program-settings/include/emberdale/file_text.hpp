// Documents that a command-line program is given: a file, or standard input.
#pragma once
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

namespace emberdale {

// The whole text of a file, of standard input where the name is "-"; nothing if the file can't be opened.
// Example: auto plan = read_file_text("plan.json"); if (!plan) return refuse("can't read plan.json");
inline std::optional<std::string> read_file_text(const std::string& name) {
  std::stringstream text;
  if (name == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream stream(name);
  if (!stream)
    return std::nullopt;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace emberdale
