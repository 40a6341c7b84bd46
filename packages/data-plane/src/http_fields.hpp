// Reading of HTTP header fields, and the answers of the HTTP library's listener; both relays use them.
#pragma once
#include <cpprest/http_msg.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace emberdale {

constexpr std::size_t usual_digits = 15;  // of a number in a field

// "" if it is not there, or for an empty name. Example: header_of(request.headers(), "Host")
std::string header_of(const web::http::http_headers& headers, const std::string& name);
bool has_header(const web::http::http_headers& headers, const std::string& name);
// Example: trimmed(" a ") == "a"
std::string_view trimmed(std::string_view text);
// Example: *number_of("17") == 17; !number_of("-1")
std::optional<std::int64_t> number_of(std::string_view text, std::size_t max_digits = usual_digits);
// Example: *hex_of("ff") == 255
std::optional<std::uint64_t> hex_of(std::string_view text);

// Cuts at commas. Example: each_part("a, b", use) calls use("a"), use("b"), until use gives false
template <class Use>
void each_part(std::string_view text, Use use) {
  for (;;) {
    auto comma = text.find(',');
    if (!use(trimmed(text.substr(0, comma))) || comma == std::string_view::npos)
      return;
    text.remove_prefix(comma + 1);
  }
}

// Is it a header of one link, not of the call? What the Connection header names is one as well.
// Example: is_of_connection("X-Hop", "close, X-Hop")
bool is_of_connection(const std::string& name, const std::string& connection_header);
// Two readers that see the end of a body at different places could find a second request in it.
bool has_clear_length(const web::http::http_headers& headers);

// Answers and tells whether all of it was written. Example: send_reply(request, response, [](bool was_sent) {});
void send_reply(const web::http::http_request& request, const web::http::http_response& response,
                std::function<void(bool was_sent)> on_end);
// Reads the rest of an answer that no one needs, so that its link can be used again.
void read_off(const web::http::http_response& response);

}  // namespace emberdale
