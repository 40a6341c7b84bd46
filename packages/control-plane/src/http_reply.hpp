// Replies of the operators' HTTP interface. This is the one place where results of the control plane become HTTP.
#pragma once
#include <cpprest/http_msg.h>

#include <cstdint>
#include <string>

#include "emberdale/change_status.hpp"

namespace emberdale {

struct HttpReply {
  web::http::status_code status = web::http::status_codes::OK;
  std::string body;
  std::int64_t version = 0;  // of a resource, given out as ETag; 0: none
  const char* content_type = "application/json";
};

// A reply with status 503 carries "Retry-After: 1". A client that has left is no error.
void reply(const web::http::http_request& request, const HttpReply& content);
void reply_json(const web::http::http_request& request, const std::string& body);
// The body is {"reason": .., "outcome": ..}.
void reply_refusal(const web::http::http_request& request, web::http::status_code status, const std::string& reason,
                   const std::string& outcome = "refused");

web::http::status_code http_status(ChangeStatus status);

}  // namespace emberdale
