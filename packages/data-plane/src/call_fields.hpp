// The header fields that describe a call: its prompt, its tokens, its deadline.
#pragma once
#include <array>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/route_dispatcher.hpp"

namespace emberdale {

// The parts of a prompt, up to the first that can't be read. Example: read_prompt("9c41:120,7:3")[1].tokens == 3
std::vector<PromptPart> read_prompt(const std::string& text);
// Numbers with commas between; what can't be read is 0. Example: read_numbers<2>("120,16")[1] == 16
template <std::size_t Count>
std::array<std::int64_t, Count> read_numbers(const std::string& text);
// Milliseconds; none if it is no positive number. Example: read_deadline("250")->value == 250
std::optional<Duration> read_deadline(const std::string& text);
// Seconds with a fraction. Example: retry_after_text(Duration{250}) == "0.250"
std::string retry_after_text(Duration span);

}  // namespace emberdale
