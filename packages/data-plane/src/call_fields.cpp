#include "call_fields.hpp"

#include "http_fields.hpp"

namespace emberdale {

namespace {
constexpr std::size_t max_prompt_parts = 256;
}

std::vector<PromptPart> read_prompt(const std::string& text) {
  std::vector<PromptPart> parts;
  for_each_list_item(text, [&](std::string_view part) {
    auto colon = part.find(':');
    if (colon == std::string_view::npos)
      return false;
    auto id = parse_hex(trimmed(part.substr(0, colon)));
    auto tokens = parse_number(trimmed(part.substr(colon + 1)));
    if (!id || !tokens)
      return false;
    parts.push_back({*id, *tokens});
    return parts.size() < max_prompt_parts;
  });
  return parts;
}

template <std::size_t Count>
std::array<std::int64_t, Count> read_numbers(const std::string& text) {
  std::array<std::int64_t, Count> numbers{};
  std::size_t at = 0;
  for_each_list_item(text, [&](std::string_view part) {
    numbers[at++] = parse_number(part).value_or(0);
    return at < Count;
  });
  return numbers;
}
template std::array<std::int64_t, 2> read_numbers<2>(const std::string&);
template std::array<std::int64_t, 3> read_numbers<3>(const std::string&);

std::optional<Duration> read_deadline(const std::string& text) {
  auto number = parse_number(trimmed(text));
  if (!number || *number <= 0)
    return std::nullopt;
  return Duration{*number};
}

std::string retry_after_text(Duration span) {
  std::string fraction = std::to_string(1000 + span.value % 1000);
  return std::to_string(span.value / 1000) + "." + fraction.substr(1);
}

}  // namespace emberdale
