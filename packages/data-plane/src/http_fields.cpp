#include "http_fields.hpp"

#include <strings.h>

#include <array>
#include <cstring>

namespace emberdale {

using web::http::http_headers;

std::string header_value(const http_headers& headers, const std::string& name) {
  if (name.empty())
    return "";
  auto entry = headers.find(name);
  return entry == headers.end() ? "" : entry->second;
}

bool has_header(const http_headers& headers, const std::string& name) { return !name.empty() && headers.has(name); }

std::string_view trimmed(std::string_view text) {
  auto begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos)
    return {};
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::optional<std::int64_t> parse_number(std::string_view text, std::size_t max_digits) {
  if (text.empty() || text.size() > max_digits)
    return std::nullopt;
  std::int64_t number = 0;
  for (char letter : text) {
    if (letter < '0' || letter > '9')
      return std::nullopt;
    number = number * 10 + (letter - '0');
  }
  return number;
}

std::int64_t number_or_zero(const std::string& text) {
  constexpr std::size_t max_digits = 18;
  return parse_number(text, max_digits).value_or(0);
}

std::optional<std::uint64_t> parse_hex(std::string_view text) {
  if (text.empty() || text.size() > 16)
    return std::nullopt;
  std::uint64_t number = 0;
  for (char letter : text) {
    int digit = letter >= '0' && letter <= '9'   ? letter - '0'
                : letter >= 'a' && letter <= 'f' ? letter - 'a' + 10
                : letter >= 'A' && letter <= 'F' ? letter - 'A' + 10
                                                 : -1;
    if (digit < 0)
      return std::nullopt;
    number = number << 4 | static_cast<std::uint64_t>(digit);
  }
  return number;
}

bool is_hop_by_hop(const std::string& name, const std::string& connection_header) {
  static const std::array<const char*, 8> names{"Connection", "Keep-Alive", "Transfer-Encoding", "TE",
                                                "Trailer",    "Upgrade",    "Content-Length",    "Expect"};
  for (const char* known : names)
    if (strcasecmp(name.c_str(), known) == 0)
      return true;
  if (strncasecmp(name.c_str(), "Proxy-", 6) == 0)
    return true;
  bool is_named = false;
  for_each_list_item(connection_header, [&](std::string_view part) {
    is_named = part.size() == name.size() && strncasecmp(part.data(), name.data(), name.size()) == 0;
    return !is_named;
  });
  return is_named;
}

bool has_unambiguous_length(const http_headers& headers) {
  bool has_length = headers.has("Content-Length");
  if (headers.has("Transfer-Encoding")) {
    std::string encoding = header_value(headers, "Transfer-Encoding");
    return !has_length && strcasecmp(std::string(trimmed(encoding)).c_str(), "chunked") == 0;
  }
  return !has_length || parse_number(trimmed(header_value(headers, "Content-Length")));
}

}  // namespace emberdale
