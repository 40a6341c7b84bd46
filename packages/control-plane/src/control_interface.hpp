// The operators' HTTP interface of one control daemon (docs/interface.md).
#pragma once
#include <cpprest/http_msg.h>

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "control_documents.hpp"
#include "emberdale/control_daemon.hpp"
#include "emberdale/http_listener.hpp"
#include "emberdale/peer_connections.hpp"
#include "emberdale/pending_tasks.hpp"

namespace emberdale {

// Requests are read and checked on threads of the HTTP library; everything that touches the daemon is posted to the
// control thread, and the replies come from there. The references outlive the interface.
class ControlInterface {
 public:
  // `http`: IP:PORT to listen on. `flush` carries out what the daemon wants done; called on the control thread.
  ControlInterface(boost::asio::io_context& context, ControlDaemon& daemon, PeerConnections& connections,
                   const std::string& http, bool may_fault_connections, std::function<void()> flush);
  Outcome<bool> open();
  void close();
  // Tests only: false if there is no such fault, or no disk.
  std::function<bool(const std::string& fault, std::int64_t ms)> set_disk_fault;
  // Counters of the process around the daemon, for /metrics.
  std::function<std::map<std::string, std::int64_t>()> more_counters;

 private:
  // A request that was read in full.
  struct Call {
    web::http::http_request request;
    std::vector<std::string> path;  // its parts, decoded
    std::string body;
  };
  using Handler = void (ControlInterface::*)(const Call& call);
  struct Route {
    const char* method;  // nullptr: the handler looks at the method itself
    std::vector<std::string> path;
    Handler handler;
  };
  static const std::vector<Route>& routes();

  void receive(web::http::http_request request);
  void route(const Call& call);
  // Runs `act` on the control thread; a field of the wrong type that it meets is the client's error.
  void post(const web::http::http_request& request, std::function<void()> act);

  void handle_health(const Call& call);
  void handle_metrics(const Call& call);
  void handle_fleet(const Call& call);
  void handle_events(const Call& call);
  void handle_faults(const Call& call);
  void handle_bootstrap(const Call& call);
  void handle_replace_core(const Call& call);
  void handle_resource(const Call& call);
  void handle_resource_read(const Call& call, const ResourceSelector& selector);
  void handle_resource_change(const Call& call, const ResourceSelector& selector);

  void edit(const web::http::http_request& request, const EditRequest& edit_request);
  void show_resources(const web::http::http_request& request, const ResourceSelector& selector);
  void watch_resources(const web::http::http_request& request, const ResourceSelector& selector);
  void set_faults(const web::http::http_request& request, const std::string& body);

  boost::asio::io_context& context_;
  ControlDaemon& daemon_;
  PeerConnections& connections_;
  HttpListener listener_;
  bool may_fault_connections_;
  std::function<void()> flush_;
  std::atomic<bool> is_closed_{false};
  PendingTasks pending_;  // requests whose bodies are being read
};

}  // namespace emberdale
