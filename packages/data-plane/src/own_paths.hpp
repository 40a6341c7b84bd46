// The HTTP paths of the data daemon itself: health, metrics, and faults that tests inject into its connections.
#pragma once
#include <cpprest/http_msg.h>

#include <string>

#include "call_relay.hpp"
#include "data_process.hpp"

namespace emberdale {

// Serves /emberdale/health, /emberdale/metrics and POST /emberdale/faults. It must outlive the relay's listener.
class OwnPaths {
 public:
  OwnPaths(DataProcess& process, const CallRelay& relay, bool may_fault_connections)
      : process_(process), relay_(relay), may_fault_connections_(may_fault_connections) {}
  void handle(web::http::http_request request);

 private:
  void reply_health(const web::http::http_request& request) const;
  void reply_metrics(const web::http::http_request& request) const;
  void read_faults(web::http::http_request request);
  void set_faults(const web::http::http_request& request, const std::string& body);

  DataProcess& process_;
  const CallRelay& relay_;
  bool may_fault_connections_;
};

}  // namespace emberdale
