#include "text_places.hpp"

#include <cctype>

#include "emberdale/serving_plans.hpp"

namespace emberdale {

TextPlaces::TextPlaces(const std::string& text, bool is_sound) : text_(text) {
  if (is_sound)
    walk_value("");
}

std::pair<int, int> TextPlaces::of(const std::string& pointer) const {
  for (std::string probe = pointer;; probe = probe.substr(0, probe.rfind('/'))) {
    auto entry = places_.find(probe);
    if (entry != places_.end())
      return line_and_column(entry->second);
    if (probe.empty())
      return {0, 0};
  }
}

std::pair<int, int> TextPlaces::line_and_column(std::size_t at) const {
  int line = 1, column = 1;
  for (std::size_t i = 0; i < at && i < text_.size(); ++i) {
    if (text_[i] == '\n') {
      ++line;
      column = 1;
    } else {
      ++column;
    }
  }
  return {line, column};
}

void TextPlaces::skip_blanks() {
  while (at_ < text_.size() && std::isspace(static_cast<unsigned char>(text_[at_])))
    ++at_;
}

std::string TextPlaces::walk_string() {
  std::string out;
  ++at_;
  while (at_ < text_.size() && text_[at_] != '"') {
    if (text_[at_] == '\\')
      ++at_;
    if (at_ < text_.size())
      out += text_[at_++];
  }
  ++at_;
  return out;
}

void TextPlaces::walk_object(const std::string& pointer) {
  ++at_;
  for (skip_blanks(); at_ < text_.size() && text_[at_] != '}'; skip_blanks()) {
    if (text_[at_] != '"') {
      ++at_;
      continue;
    }
    std::string key = walk_string();
    skip_blanks();
    if (at_ < text_.size() && text_[at_] == ':')
      ++at_;
    walk_value(pointer + "/" + key);
  }
  ++at_;
}

void TextPlaces::walk_list(const std::string& pointer) {
  ++at_;
  int index = 0;
  for (skip_blanks(); at_ < text_.size() && text_[at_] != ']'; skip_blanks()) {
    if (text_[at_] == ',') {
      ++at_;
      continue;
    }
    std::size_t before = at_;
    walk_value(pointer + "/" + std::to_string(index++));
    if (at_ == before)
      ++at_;
  }
  ++at_;
}

void TextPlaces::walk_value(const std::string& pointer) {
  skip_blanks();
  if (at_ >= text_.size())
    return;
  places_.insert({pointer, at_});
  if (text_[at_] == '{') {
    walk_object(pointer);
  } else if (text_[at_] == '[') {
    walk_list(pointer);
  } else if (text_[at_] == '"') {
    walk_string();
  } else {
    while (at_ < text_.size() && text_[at_] != ',' && text_[at_] != '}' && text_[at_] != ']')
      ++at_;
  }
}

std::pair<int, int> place_in_text(const std::string& text, const std::string& pointer) {
  return TextPlaces(text).of(pointer);
}

}  // namespace emberdale
