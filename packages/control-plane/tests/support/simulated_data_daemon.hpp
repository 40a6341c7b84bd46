// A data daemon beside a simulated fleet of control daemons, with messages that take their time on the way.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "emberdale/data_daemon.hpp"
#include "machine_fleet.hpp"

namespace emberdale {

class SimulatedDataDaemon {
 public:
  SimulatedDataDaemon(MachineFleet& fleet, std::vector<std::string> control_machines, const std::string& name,
                      const std::string& zone)
      : fleet_(fleet),
        machines_(std::move(control_machines)),
        daemon_(DaemonEntry{Address{"data-" + name}, "http-" + name, DaemonRole::data, ZoneName{zone},
                            RegionName{"north"}, 1},
                seeds(), stable_hash(name)) {
    daemon_.start(now());
    flush();
    tick();
  }

  // A control daemon sends a message, perhaps to this one.
  void receive(const std::string& from, const Address& to, const Message& message) {
    if (!is_running || to != daemon_.self().address)
      return;
    auto shared = std::make_shared<const Message>(message);
    fleet_.later(delay_ms(), [this, sender = fleet_.at(from).address, shared] {
      if (!is_running)
        return;
      daemon_.on_message(sender, *shared, now());
      flush();
    });
  }

  const DataDaemon& daemon() const { return daemon_; }
  TimePoint now() const { return TimePoint{fleet_.now() + clock_offset_ms}; }
  // Whether it may send a call to that runner.
  bool has_in_service(const RunnerName& runner) const {
    auto row = daemon_.view()->runners.find(runner);
    return row != daemon_.view()->runners.end() &&
           (row->second.state == RunnerState::warm || row->second.state == RunnerState::warming_up);
  }
  bool is_running = true;

 private:
  static constexpr std::int64_t clock_offset_ms = 500000;
  static constexpr std::int64_t timer_interval_ms = 50;
  static constexpr std::size_t most_messages_at_once = 500;

  std::vector<Address> seeds() const {
    std::vector<Address> addresses;
    for (const auto& name : machines_)
      addresses.push_back(fleet_.at(name).address);
    return addresses;
  }
  std::int64_t delay_ms() { return fleet_.delay + fleet_.random().below(fleet_.delay + 1); }

  void tick() {
    if (!is_running)
      return;
    daemon_.on_timer(now());
    flush();
    fleet_.later(timer_interval_ms, [this] { tick(); });
  }

  void flush() {
    auto messages = daemon_.drain_outbound();
    if (messages.size() > most_messages_at_once) {
      ADD_FAILURE() << daemon_.self().address.text << " sends " << messages.size() << " messages at once";
      is_running = false;
      return;
    }
    for (auto& outbound : messages)
      for (const auto& name : machines_)
        if (fleet_.at(name).address == outbound.to) {
          auto shared = std::make_shared<const Message>(outbound.message);
          fleet_.later(delay_ms(), [this, name, shared] { deliver(name, *shared); });
        }
  }

  void deliver(const std::string& name, const Message& message) {
    Machine& machine = fleet_.at(name);
    if (machine.is_up && !machine.is_frozen)
      fleet_.call_daemon(name, [&](ControlDaemon& control, TimePoint control_now) {
        control.on_message(daemon_.self().address, message, control_now);
      });
    else if (!machine.is_up && machine.has_power)
      daemon_.on_refused(machine.address, now());
  }

  MachineFleet& fleet_;
  std::vector<std::string> machines_;
  DataDaemon daemon_;
};

}  // namespace emberdale
