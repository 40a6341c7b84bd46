// Reading of HTTP header fields; both relays use it.
#pragma once
#include <cpprest/http_msg.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace emberdale {

constexpr std::size_t default_max_digits = 15;  // of a number in a field

// The value of a header; "" if it is not there, or for an empty name.
std::string header_value(const web::http::http_headers& headers, const std::string& name);
bool has_header(const web::http::http_headers& headers, const std::string& name);
// The text without the spaces and tabs around it.
std::string_view trimmed(std::string_view text);
// A decimal number without a sign; nothing if the text is anything else or longer than that.
std::optional<std::int64_t> parse_number(std::string_view text, std::size_t max_digits = default_max_digits);
// The same with up to 18 digits, and 0 in place of nothing.
std::int64_t number_or_zero(const std::string& text);
// A hexadecimal number of up to 16 digits.
std::optional<std::uint64_t> parse_hex(std::string_view text);

// Calls `use` with each item of a list separated by commas, until it gives false.
template <class Use>
void for_each_list_item(std::string_view text, Use use) {
  for (;;) {
    auto comma = text.find(',');
    if (!use(trimmed(text.substr(0, comma))) || comma == std::string_view::npos)
      return;
    text.remove_prefix(comma + 1);
  }
}

// True for a header of one connection, not of the call, such as those that the Connection header names.
bool is_hop_by_hop(const std::string& name, const std::string& connection_header);
// True if the end of the body is unambiguous: two readers that see it at different places could find a second request
// in it.
bool has_unambiguous_length(const web::http::http_headers& headers);

}  // namespace emberdale
