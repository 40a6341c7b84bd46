#include "emberdale/json_source_map.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>

namespace emberdale {
namespace {

constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";
constexpr std::string_view separators = " \t\r\n,:";
constexpr std::string_view literal_ends = ",]} \t\r\n";

bool is_one_of(std::string_view characters, char character) {
  return characters.find(character) != std::string_view::npos;
}

// The key that a quoted string stands for; "" if it is no sound JSON string.
std::string decode_key(const std::string& quoted_key) {
  auto value = nlohmann::json::parse(quoted_key, nullptr, false);
  return value.is_string() ? value.get<std::string>() : "";
}

std::string escape_pointer_token(const std::string& key) {
  std::string token;
  for (char character : key) {
    if (character == '~')
      token += "~0";
    else if (character == '/')
      token += "~1";
    else
      token += character;
  }
  return token;
}

// The key between the quotes without its backslashes.
std::string strip_backslashes(const std::string& quoted_key) {
  std::string key;
  for (std::size_t at = 1; at < quoted_key.size() && quoted_key[at] != '"'; ++at) {
    if (quoted_key[at] == '\\')
      ++at;
    if (at < quoted_key.size())
      key += quoted_key[at];
  }
  return key;
}

}  // namespace

TextPosition position_of_byte(const std::string& text, std::size_t byte) {
  const std::size_t end = std::min(byte, text.size());
  TextPosition position{1, 1};
  for (std::size_t at = 0; at < end; ++at) {
    if (text[at] == '\n') {
      ++position.line;
      position.column = 1;
    } else {
      ++position.column;
    }
  }
  return position;
}

JsonSourceMap::JsonSourceMap(const std::string& text, PointerSyntax syntax) : text_(text), syntax_(syntax) {
  line_starts_.push_back(0);
  for (std::size_t at = 0; at < text_.size(); ++at)
    if (text_[at] == '\n')
      line_starts_.push_back(at + 1);
  bool has_mark = text_.compare(0, byte_order_mark.size(), byte_order_mark) == 0;
  if (has_mark && syntax_ == PointerSyntax::rfc6901)
    offset_ = byte_order_mark.size();
  scan_value();
}

TextPosition JsonSourceMap::position_of(std::string pointer) const {
  for (;;) {
    auto entry = offsets_.find(pointer);
    if (entry != offsets_.end())
      return position_at(entry->second);
    std::size_t parent_end = pointer.rfind('/');
    if (parent_end == std::string::npos)
      return {};
    pointer.resize(parent_end);
  }
}

TextPosition JsonSourceMap::position_at(std::size_t byte) const {
  auto next_line = std::upper_bound(line_starts_.begin(), line_starts_.end(), byte);
  std::size_t line_start = *(next_line - 1);
  return {static_cast<int>(next_line - line_starts_.begin()), static_cast<int>(byte - line_start) + 1};
}

void JsonSourceMap::skip_separators() {
  while (offset_ < text_.size() && is_one_of(separators, text_[offset_]))
    ++offset_;
}

void JsonSourceMap::scan_value() {
  skip_separators();
  if (offset_ >= text_.size())
    return;
  if (syntax_ == PointerSyntax::rfc6901)
    offsets_[pointer_] = offset_;
  else
    offsets_.insert({pointer_, offset_});
  if (current() == '{')
    scan_object();
  else if (current() == '[')
    scan_array();
  else if (current() == '"')
    scan_string();
  else
    scan_literal();
}

void JsonSourceMap::scan_object() {
  ++offset_;
  for (skip_separators(); current() == '"'; skip_separators())
    scan_member(pointer_token(scan_string()));
  ++offset_;
}

void JsonSourceMap::scan_array() {
  ++offset_;
  std::size_t index = 0;
  for (skip_separators(); offset_ < text_.size() && current() != ']'; skip_separators()) {
    std::size_t begin = offset_;
    scan_member(std::to_string(index++));
    if (offset_ == begin)  // a closing brace where an item should be: not JSON
      ++offset_;
  }
  ++offset_;
}

void JsonSourceMap::scan_member(const std::string& pointer_token) {
  std::size_t parent_length = pointer_.size();
  pointer_ += "/" + pointer_token;
  if (offsets_.count(pointer_) != 0)
    repeated_members_.push_back(pointer_);
  scan_value();
  pointer_.resize(parent_length);
}

void JsonSourceMap::scan_literal() {
  while (offset_ < text_.size() && !is_one_of(literal_ends, text_[offset_]))
    ++offset_;
}

std::string JsonSourceMap::scan_string() {
  std::size_t start = offset_++;
  while (offset_ < text_.size() && text_[offset_] != '"')
    offset_ += text_[offset_] == '\\' ? 2 : 1;
  offset_ = std::min(offset_ + 1, text_.size());
  return text_.substr(start, offset_ - start);
}

std::string JsonSourceMap::pointer_token(const std::string& quoted_key) const {
  if (syntax_ == PointerSyntax::verbatim)
    return strip_backslashes(quoted_key);
  return escape_pointer_token(decode_key(quoted_key));
}

}  // namespace emberdale
