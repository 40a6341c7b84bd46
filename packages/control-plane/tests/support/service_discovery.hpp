// The platform's list of runners for a simulated fleet, read by each control daemon that finds it due. A reading takes
// its time, and may fail.
#pragma once
#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "machine_fleet.hpp"

namespace emberdale {

class ServiceDiscovery {
 public:
  explicit ServiceDiscovery(MachineFleet& fleet) : fleet_(fleet) { tick(); }

  // Of a reading in milliseconds; up to that much longer at random.
  std::int64_t response_ms = 120, random_response_ms = 0;
  // The probability that a reading is refused at once, or gets no response and fails after a second.
  double refused = 0, unanswered = 0;

  void add(const std::string& name, const std::string& zone) {
    ListedRunner runner;
    runner.name.text = name;
    runner.http = name + ":80";
    runner.pool.text = "models";
    runner.zone.text = zone;
    runner.region.text = "north";
    runner.slots = 8;
    runners_.push_back(std::move(runner));
  }
  void mark_draining(const RunnerName& name) {
    for (auto& runner : runners_)
      if (runner.name == name)
        runner.is_leaving = true;
    marked_at_.insert({name, fleet_.now()});
  }
  void remove(const RunnerName& name) {
    auto is_removed = [&](const ListedRunner& runner) {
      return runner.name == name;
    };
    runners_.erase(std::remove_if(runners_.begin(), runners_.end(), is_removed), runners_.end());
  }
  const std::vector<ListedRunner>& runners() const { return runners_; }
  // When each runner was marked, on the fleet's time; those that were removed are among them.
  const std::map<RunnerName, std::int64_t>& marked_at() const { return marked_at_; }
  int reads_by(const std::string& machine) const {
    auto entry = reads_.find(machine);
    return entry == reads_.end() ? 0 : entry->second;
  }

 private:
  static constexpr std::int64_t tick_ms = 25;
  static constexpr std::int64_t response_timeout_ms = 1000;

  void tick() {
    for (const auto& name : fleet_.running())
      read(name);
    fleet_.later(tick_ms, [this] { tick(); });
  }

  void read(const std::string& name) {
    Machine& machine = fleet_.at(name);
    TimePoint begun = fleet_.clock(machine);
    if (!machine.control->begin_list_read(begun))
      return;
    ++reads_[name];
    bool is_refused = refused > 0 && fleet_.random().chance(refused);
    bool is_unanswered = unanswered > 0 && fleet_.random().chance(unanswered);
    std::int64_t delay_ms =
        is_unanswered ? response_timeout_ms
                      : response_ms + (random_response_ms > 0 ? fleet_.random().below(random_response_ms) : 0);
    std::optional<std::vector<ListedRunner>> response;
    if (!is_refused && !is_unanswered)
      response = runners_;
    fleet_.later(delay_ms, [this, name, begun, incarnation = machine.incarnation, response] {
      Machine& reader = fleet_.at(name);
      if (reader.is_up && !reader.is_frozen && reader.incarnation == incarnation)
        fleet_.call_daemon(name,
                           [&](ControlDaemon& daemon, TimePoint now) { daemon.on_runner_list(response, begun, now); });
    });
  }

  MachineFleet& fleet_;
  std::vector<ListedRunner> runners_;
  std::map<RunnerName, std::int64_t> marked_at_;
  std::map<std::string, int> reads_;
};

}  // namespace emberdale
