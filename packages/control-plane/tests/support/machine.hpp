// One machine of a simulated fleet, and the outcome of one change that was requested there.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "emberdale/control_daemon.hpp"
#include "emberdale/segmented_log.hpp"

namespace emberdale {

// A machine with one control process. The tests read and set its members through MachineFleet::at().
struct Machine {
  std::string name;
  Address address;
  ZoneName zone;
  std::vector<Address> seeds;        // empty: those of the fleet
  std::int64_t clock_offset_ms = 0;  // of its own clock

  // The process.
  std::unique_ptr<ControlDaemon> control;
  int starts = 0;
  int incarnation = 0;  // grows with each start and end of the process
  int bootstraps = 0;   // how often its daemon has bootstrapped the fleet
  bool is_up = false;
  bool is_frozen = false;             // neither handles nor sends anything, but accepts connections
  bool buffers_while_frozen = false;  // messages that come while frozen are handled afterwards, and not lost
  std::vector<std::function<void()>> buffered_messages;
  std::vector<std::function<void()>> buffered_requests;  // of operators; always kept while frozen
  std::int64_t bytes_received = 0;                       // from other machines, if the fleet counts bytes

  // Its disk.
  bool has_power = true;  // without it, connections are not refused but get no response
  bool has_disk = true;   // without one it keeps no replica
  std::shared_ptr<MemoryFileSystem> files = std::make_shared<MemoryFileSystem>();
  std::unique_ptr<SegmentedLog> log;
  std::vector<LogWrite> pending_writes;
  bool is_writing = false;
  std::int64_t disk_time_factor = 1;  // a write takes so many times as long
  std::int64_t extra_disk_ms = 0;     // and so much longer
};

// What has become of a change.
struct EditOutcome {
  std::string name;  // of the resource
  bool is_over = false;
  std::int64_t code = 0;  // of HTTP
  std::int64_t requested_at = 0;
  std::int64_t over_at = 0;
  bool is_acknowledged() const { return code == 200 || code == 201; }
};

}  // namespace emberdale
