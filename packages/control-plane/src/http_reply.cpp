#include "http_reply.hpp"

#include "emberdale/edit_forwarder.hpp"
#include "emberdale/http_listener.hpp"

namespace emberdale {
namespace {
constexpr int retry_after_s = 1;
}  // namespace

void reply(const web::http::http_request& request, const HttpReply& content) {
  web::http::http_response response(content.status);
  if (content.version > 0)
    response.headers().add("ETag", "\"" + std::to_string(content.version) + "\"");
  if (content.status == web::http::status_codes::ServiceUnavailable)
    response.headers().add("Retry-After", std::to_string(retry_after_s));
  response.set_body(content.body, content.content_type);
  reply_to(request, response);
}

void reply_json(const web::http::http_request& request, const std::string& body) {
  reply(request, {web::http::status_codes::OK, body});
}

void reply_refusal(const web::http::http_request& request, web::http::status_code status, const std::string& reason,
                   const std::string& outcome) {
  reply(request, {status, reason_body(reason, outcome)});
}

web::http::status_code http_status(ChangeStatus status) {
  return static_cast<web::http::status_code>(wire_code(status));
}

}  // namespace emberdale
