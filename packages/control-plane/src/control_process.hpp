// A control daemon with its surroundings: the one thread that it runs on, its connections to peers, and the disk thread
// that makes the writes of its replica durable. What every program around a control daemon needs.
#pragma once
#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <thread>

#include "absl/status/statusor.h"
#include "emberdale/bounded_queue.hpp"
#include "emberdale/control_daemon.hpp"
#include "emberdale/faulty_file_system.hpp"
#include "emberdale/peer_connections.hpp"
#include "emberdale/segmented_log.hpp"

namespace emberdale {

struct ControlProcessSettings {
  ControlDaemonSettings daemon;
  std::string data_folder;             // empty: keeps no replica of the register
  bool may_fault_connections = false;  // tests only
  Duration timer_interval{25};
  std::size_t max_inbound_peers = PeerConnections::default_max_inbound;
};

// open_store(), listen(), set the callbacks, start(), and at last stop().
class ControlProcess {
 public:
  explicit ControlProcess(ControlProcessSettings settings);
  // Opens the data folder. Unavailable: it may be called again, a former process may still hold the folder, or the disk
  // refuses the first files. DataLoss: what the folder holds can't be read.
  absl::Status open_store();
  // Listens for peers, after open_store(). Unavailable: it may be called again.
  absl::Status listen() { return connections_->listen(); }
  void start();
  // Hands over the place in the set of replicas, lays the term down, waits for `grace` so that open requests can end,
  // ends the others, calls `before_end`, and joins the threads.
  void stop(Duration grace, std::function<void()> before_end);

  // Called on the control thread: a runner is to be probed; a timer has passed.
  std::function<void(const ProbeRequest&)> on_probe_request;
  std::function<void()> on_timer;
  // Runs `act` on the control thread, and then flush().
  void post(std::function<void(ControlDaemon&)> act);
  // Carries out what the daemon wants done. Control thread only.
  void flush();

  ControlDaemon& daemon() { return *daemon_; }
  PeerConnections& connections() { return *connections_; }
  boost::asio::io_context& context() { return context_; }
  std::int64_t disk_writes() const { return disk_writes_; }
  std::int64_t disk_refused() const { return disk_refused_; }
  // Tests only: false if there is no such fault, or no disk.
  bool set_disk_fault(const std::string& fault, std::int64_t ms) {
    return faulty_disk_ && faulty_disk_->set_fault(fault, ms);
  }

 private:
  static constexpr std::size_t most_disk_jobs = 4096;

  struct DiskJob {
    std::vector<LogWrite> writes;
    std::int64_t epoch = 0;  // what was decided on top of a refused write is refused as well
  };
  absl::StatusOr<std::unique_ptr<RegisterAcceptor>> open_replica();
  // The id of a store on a blank folder.
  StoreId first_store_id() const;
  void connect_peers();
  void run_control();
  void schedule_timer();
  void wait_until_ready_to_end();
  void end_all_requests();
  // Each returns whether there was something to be done.
  bool flush_writes();
  bool flush_outbound();
  void flush_probes();
  void deliver_to_self(Message message);

  // On the disk thread.
  void run_disk();
  void write_job(DiskJob& job);
  void on_written(std::int64_t last_token, std::size_t records);
  void on_write_refused(const DiskJob& job, const std::string& reason);
  void take_snapshot();

  ControlProcessSettings settings_;
  boost::asio::io_context context_{1};
  boost::asio::steady_timer timer_{context_};
  std::shared_ptr<FaultyFileSystem> faulty_disk_;  // tests only
  std::unique_ptr<SegmentedLog> log_;              // of the disk thread, once that runs; nullptr without a replica
  std::unique_ptr<ControlDaemon> daemon_;          // of the control thread, once that runs
  std::unique_ptr<PeerConnections> connections_;
  BoundedQueue<DiskJob> jobs_{most_disk_jobs};
  std::thread disk_, control_;
  std::int64_t epoch_ = 1;          // of the control thread: grows with each refused write
  std::int64_t refused_epoch_ = 0;  // of the disk thread: jobs up to this epoch are passed over
  std::atomic<std::int64_t> disk_writes_{0}, disk_refused_{0};
};

}  // namespace emberdale
