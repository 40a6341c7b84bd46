// Host names as they stand in routes and in Host headers: compared without case and without a port.
#pragma once
#include <algorithm>
#include <string>
#include <string_view>

namespace emberdale {

inline char lower_case(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

inline std::string lower_case(std::string_view text) {
  std::string lowered(text);
  std::transform(lowered.begin(), lowered.end(), lowered.begin(), [](char letter) { return lower_case(letter); });
  return lowered;
}

// "a.example:80" and "[::1]:80" without the port; what has many colons and no brackets stays whole.
inline std::string_view host_without_port(std::string_view host) {
  auto colon = host.rfind(':');
  if (colon == std::string_view::npos)
    return host;
  bool is_bracketed = !host.empty() && host.front() == '[';
  bool is_part_of_host = is_bracketed ? host[colon - 1] != ']' : host.find(':') != colon;
  return is_part_of_host ? host : host.substr(0, colon);
}

}  // namespace emberdale
