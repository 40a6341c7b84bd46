// What every program around a data daemon needs: its control thread and its connections to peers.
#pragma once
#include <absl/status/status.h>

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <thread>

#include "control_snapshot.hpp"
#include "emberdale/data_daemon.hpp"
#include "emberdale/peer_connections.hpp"

namespace emberdale {

// Use:
//   DataProcess process(settings.self, settings.seeds, Duration{25}); auto listening = process.open();
//   CallRelay relay(dispatcher_settings, process.snapshot(), http_address); process.start(); ... process.stop();
class DataProcess {
 public:
  DataProcess(DaemonEntry self, std::vector<Address> seeds, Duration timer_interval,
              std::size_t max_inbound_peers = PeerConnections::default_max_inbound);
  // Listens for peers; an error says why the address can't be used.
  absl::Status open();
  void start();
  void stop();
  // Runs an action with the daemon on the control thread.
  void post(std::function<void(DataDaemon&)> action);

  // The view and the grant for the dispatch thread; on_change is called on the control thread after a new view.
  const ControlSnapshot& snapshot() const { return snapshot_; }
  std::function<void()> on_change;
  PeerConnections& connections() { return *connections_; }
  boost::asio::io_context& context() { return context_; }

 private:
  void flush();
  void tick();

  DaemonEntry self_;
  Duration timer_interval_;
  boost::asio::io_context context_{1};
  boost::asio::steady_timer timer_{context_};
  ControlSnapshot snapshot_;
  std::shared_ptr<const RoutingView> published_view_;
  DataDaemon daemon_;
  std::unique_ptr<PeerConnections> connections_;
  std::thread control_thread_;
};

}  // namespace emberdale
