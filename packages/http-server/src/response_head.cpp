#include "response_head.hpp"

#include <strings.h>

#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <limits>

#include "emberdale/http_listener.hpp"

namespace emberdale {
namespace {

constexpr const char* line_end = "\r\n";

std::string reason_phrase_of(const web::http::http_response& response) {
  if (!response.reason_phrase().empty())
    return response.reason_phrase();
  auto status = boost::beast::http::int_to_status(response.status_code());
  return std::string(boost::beast::http::obsolete_reason(status));
}

bool asks_to_close(const web::http::http_response& response) {
  auto connection = response.headers().find("Connection");
  return connection != response.headers().end() && strcasecmp(connection->second.c_str(), "close") == 0;
}

// The library's own reckoning, which adds Transfer-Encoding where the length is not known.
void set_framing(web::http::http_response& response, ResponseHead& head) {
  std::size_t length = response._get_impl()->_get_content_length();
  if (length == std::numeric_limits<std::size_t>::max()) {
    head.framing = BodyFraming::chunked;
    return;
  }
  head.framing = length == 0 ? BodyFraming::none : BodyFraming::content_length;
  head.content_length = length;
  if (!response.headers().has("Content-Length"))
    response.headers().add("Content-Length", length);
}

}  // namespace

bool has_no_body(const std::string& method, int status) { return method == "HEAD" || status == 204 || status == 304; }

ResponseHead make_response_head(web::http::http_response& response, const std::string& method, bool must_close) {
  ResponseHead head;
  if (!has_no_body(method, response.status_code()))
    set_framing(response, head);
  head.is_last_on_connection = must_close || asks_to_close(response);
  if (head.is_last_on_connection)
    response.headers()["Connection"] = "close";
  head.bytes =
      "HTTP/1.1 " + std::to_string(response.status_code()) + " " + reason_phrase_of(response) + std::string(line_end);
  for (const auto& [name, value] : response.headers())
    head.bytes += name + ": " + value + line_end;
  head.bytes += line_end;
  return head;
}

std::string chunk_of(const std::string& bytes) {
  char size[2 * sizeof(std::size_t) + 3];
  std::snprintf(size, sizeof size, "%zx%s", bytes.size(), line_end);
  return size + bytes + line_end;
}

}  // namespace emberdale
