// The head of a response, and how the length of its body is told.
#pragma once
#include <cpprest/http_msg.h>

#include <cstddef>
#include <string>

namespace emberdale {

enum class BodyFraming { none, content_length, chunked };

// What goes to the client before the body.
struct ResponseHead {
  std::string bytes;  // status line and headers, with the blank line
  BodyFraming framing = BodyFraming::none;
  std::size_t content_length = 0;  // of `BodyFraming::content_length`
  bool is_last_on_connection = false;
};

// Adds the headers that tell the body's length to the response. With `must_close` the head says that the connection
// ends.
ResponseHead make_response_head(web::http::http_response& response, const std::string& method, bool must_close);

// Example: chunk_of("ab") == "2\r\nab\r\n"
std::string chunk_of(const std::string& bytes);

// Ends a body in chunks.
constexpr const char* last_chunk = "0\r\n\r\n";

}  // namespace emberdale
