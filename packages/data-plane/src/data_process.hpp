// What every program around a data daemon needs: its one control thread and its links.
#pragma once
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <thread>

#include "call_relay.hpp"
#include "emberdale/data_daemon.hpp"
#include "emberdale/peer_connections.hpp"

namespace emberdale {

// Example:
//   DataProcess process(settings.self, settings.seeds, Duration{25}); auto listens = process.open();
//   CallRelay relay(dispatcher, process.word(), http); process.start(); ... process.stop();
class DataProcess {
 public:
  DataProcess(DaemonEntry self, std::vector<Address> seeds, Duration timer_interval);
  // Example: auto listens = process.open(); if (!listens) LOG(ERROR) << listens.reason;
  Outcome<bool> open();
  void start();
  void stop();
  // Does something with the daemon on the control thread. Example: process.post([](DataDaemon& daemon) {
  // daemon.leave(steady_now()); });
  void post(std::function<void(DataDaemon&)> act);

  // The view and the grant for the traffic thread; on_change is called (on the control thread) when they differ.
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
  std::shared_ptr<const RoutingView> seen_;
  DataDaemon daemon_;
  std::unique_ptr<PeerConnections> connections_;
  std::thread control_;
};

}  // namespace emberdale
