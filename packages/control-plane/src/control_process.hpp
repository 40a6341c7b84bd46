// What every program around a control daemon needs: its one control thread, its links, its disk.
#pragma once
#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <thread>

#include "emberdale/bounded_queue.hpp"
#include "emberdale/control_daemon.hpp"
#include "emberdale/faulty_file_system.hpp"
#include "emberdale/peer_connections.hpp"
#include "emberdale/segmented_log.hpp"

namespace emberdale {

struct ControlProcessSettings {
  ControlDaemonSettings daemon;
  std::string data_folder;             // empty: keeps no copy of the register
  bool may_fault_connections = false;  // tests only
  Duration timer_interval{25};
};

// Example:
//   ControlProcess process(settings); auto opened = process.open(); if (!opened) return refuse(opened.reason);
//   process.on_probe_request = ...; process.start(); int signal = wait_for_stop(); process.stop();
class ControlProcess {
 public:
  explicit ControlProcess(ControlProcessSettings settings);
  // Opens the data folder and the peer links; the reason tells what can't be had.
  Outcome<bool> open();
  void start();
  // Hands its place in the set over, lays down what can be laid down, waits for `patience`, ends the threads. Example:
  // process.stop(Duration{300}, [&] { interface.close(); });
  void stop(Duration patience, std::function<void()> before_end);

  // On the control thread: a probe is wished for; an timer has passed.
  std::function<void(const ProbeRequest&)> on_probe_request;
  std::function<void()> on_timer;
  // Does something with the daemon on the control thread. Example: process.post([&](ControlDaemon& daemon) { ... });
  void post(std::function<void(ControlDaemon&)> act);
  // Carries out what the daemon wishes for; control thread only.
  void flush();

  ControlDaemon& daemon() { return *daemon_; }
  PeerConnections& connections() { return *connections_; }
  boost::asio::io_context& context() { return context_; }
  std::int64_t disk_writes() const { return disk_writes_; }
  std::int64_t disk_refused() const { return disk_refused_; }
  // Tests only. Example: process.set_disk_fault("full", 0)
  bool set_disk_fault(const std::string& fault, std::int64_t ms) {
    return faulty_disk_ && faulty_disk_->set_fault(fault, ms);
  }

 private:
  struct DiskJob {
    std::vector<LogWrite> writes;
    std::int64_t epoch = 0;  // what was thought out on top of a refused write is refused as well
  };
  void tick();
  void wait_until_ready_to_end();
  void run_disk();

  ControlProcessSettings settings_;
  boost::asio::io_context context_{1};
  boost::asio::steady_timer timer_{context_};
  std::shared_ptr<FaultyFileSystem> faulty_disk_;  // tests only
  std::unique_ptr<SegmentedLog> log_;
  std::unique_ptr<ControlDaemon> daemon_;
  std::unique_ptr<PeerConnections> connections_;
  BoundedQueue<DiskJob> jobs_{4096};
  std::thread disk_, control_;
  std::int64_t epoch_ = 1;          // of the control thread
  std::int64_t refused_epoch_ = 0;  // of the disk thread
  std::atomic<std::int64_t> disk_writes_{0}, disk_refused_{0};
};

}  // namespace emberdale
