// The operators' HTTP interface of one control daemon.
#pragma once
#include <cpprest/http_listener.h>

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "emberdale/control_daemon.hpp"
#include "emberdale/peer_connections.hpp"

namespace emberdale {

// Example: ControlInterface interface(context, daemon, links, "127.0.0.1:8000", false); interface.open();
// Every act on the daemon is posted to the control thread; answers come back from there.
class ControlInterface {
 public:
  ControlInterface(boost::asio::io_context& context, ControlDaemon& daemon, PeerConnections& connections,
                   const std::string& http, bool may_fault_connections, std::function<void()> flush);
  Outcome<bool> open();
  void close();
  std::function<bool(const std::string& fault, std::int64_t ms)> set_disk_fault;  // tests only
  std::function<std::map<std::string, std::int64_t>()> more_counters;

 private:
  struct Watch;
  void handle(web::http::http_request request);
  void handle_resource(web::http::http_request request, const std::string& kind, const std::string& name);
  void edit(web::http::http_request request, EditRequest edit_request);
  void list(web::http::http_request request, const std::string& kind, const std::string& name);
  void watch(web::http::http_request request, const std::string& kind, const std::string& name);
  void step_watch(std::shared_ptr<Watch> watch);
  void fleet(web::http::http_request request);
  void metrics(web::http::http_request request);
  void faults(web::http::http_request request, const std::string& body);

  boost::asio::io_context& context_;
  ControlDaemon& daemon_;
  PeerConnections& connections_;
  web::http::experimental::listener::http_listener listener_;
  bool may_fault_connections_;
  std::function<void()> flush_;
  bool is_closed_ = false;
};

}  // namespace emberdale
