#include "emberdale/http_client.hpp"

#include <utility>

#include "http_exchange.hpp"

namespace emberdale {

const char* to_string(HttpFault fault) {
  switch (fault) {
    case HttpFault::none:
      return "none";
    case HttpFault::not_connected:
      return "not_connected";
    case HttpFault::connection_closed:
      return "connection_closed";
    case HttpFault::cut_off:
      return "cut_off";
    case HttpFault::malformed:
      return "malformed";
    case HttpFault::head_too_large:
      return "head_too_large";
    case HttpFault::body_too_large:
      return "body_too_large";
    case HttpFault::timed_out:
      return "timed_out";
    case HttpFault::cancelled:
      return "cancelled";
  }
  return "";
}

HttpClient::HttpClient(std::string address, std::string reader)
    : pool_(std::make_shared<ConnectionPool>(std::move(address), std::move(reader))) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpExchange> HttpClient::make_exchange(HttpRequest request, const MessageLimits& limits,
                                                        ResponseHandler handler) {
  return std::make_shared<ClientExchange>(pool_, std::move(request), limits, std::move(handler));
}

}  // namespace emberdale
