// The machines of a simulated fleet: their processes and disks.
#include "machine_fleet.hpp"

namespace emberdale {

namespace {

constexpr std::int64_t timer_interval_ms = 25;
constexpr std::int64_t ready_poll_interval_ms = 20;
// A process that is ready to end goes on for this long, for its last responses.
constexpr std::int64_t last_responses_ms = 300;
constexpr std::int64_t max_request_delay_ms = 60;
constexpr std::size_t max_seeds = 3;
constexpr std::int64_t min_clock_offset_ms = 1000000;
constexpr std::int64_t clock_offset_range_ms = 100000000;

}  // namespace

void MachineFleet::add(const std::string& name, const std::string& zone, bool is_seed) {
  auto machine = std::make_unique<Machine>();
  machine->name = name;
  machine->zone.text = zone;
  machine->address.text = "10.0.0." + std::to_string(10 + machines_.size()) + ":7000";
  machine->clock_offset_ms = min_clock_offset_ms + random_.below(clock_offset_range_ms);
  names_by_address_[machine->address] = name;
  if (is_seed)
    seeds_.push_back(machine->address);
  else if (!running().empty())
    set_seeds(*machine);
  machines_[name] = std::move(machine);
}

std::vector<std::string> MachineFleet::add_many(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) {
    std::string zone(1, static_cast<char>('a' + i % 3));
    names.push_back(zone + std::to_string(i / 3));
    add(names.back(), zone, i < static_cast<int>(max_seeds));
  }
  return names;
}

void MachineFleet::set_seeds(Machine& machine) {
  machine.seeds.clear();
  for (const auto& name : running())
    if (machine.seeds.size() < max_seeds)
      machine.seeds.push_back(at(name).address);
}

StoreId MachineFleet::new_store(const Machine& machine, bool is_first_start) const {
  std::string unique = "store-" + machine.name + "-" + std::to_string(machine.starts);
  FoundingElectorate electorate(machine.seeds.empty() ? seeds_ : machine.seeds);
  return is_first_start ? electorate.make_store(machine.address, unique) : StoreId{unique};
}

ControlDaemonSettings MachineFleet::settings_of(const Machine& machine, bool bootstraps_itself) const {
  ControlDaemonSettings settings;
  settings.self = DaemonEntry{machine.address, "http-" + machine.name, DaemonRole::edge,
                              machine.zone,    RegionName{"north"},    machine.starts};
  settings.seeds = machine.seeds.empty() ? seeds_ : machine.seeds;
  settings.random_seed = seed_ * 1000003 + stable_hash(machine.name) + static_cast<std::uint64_t>(machine.starts);
  settings.bootstraps_itself = bootstraps_itself;
  settings.reconciles_membership = true;
  settings.acknowledges_at_once = true;
  if (adjust_settings)
    adjust_settings(settings);
  settings.edit_times = edit_times;
  settings.election = election;
  settings.membership = membership;
  return settings;
}

void MachineFleet::start(const std::string& name, bool bootstraps_itself) {
  Machine& machine = at(name);
  if (machine.is_up)
    return;
  machine.is_up = true;
  machine.has_power = true;
  machine.is_writing = false;
  machine.is_frozen = false;
  machine.pending_writes.clear();
  ++machine.starts;
  int incarnation = ++machine.incarnation;
  machine.log = std::make_unique<SegmentedLog>(machine.files, segment_bound);
  auto opening = machine.log->open(new_store(machine, bootstraps_itself).text);
  ASSERT_TRUE(opening) << opening.reason;
  ASSERT_FALSE(opening->was_corrupt) << opening->finding;
  auto acceptor = std::make_unique<RegisterAcceptor>(opening->store);
  auto restored = acceptor->restore(opening->records);
  ASSERT_TRUE(restored) << restored.reason;
  machine.control = std::make_unique<ControlDaemon>(settings_of(machine, bootstraps_itself),
                                                    machine.has_disk ? std::move(acceptor) : nullptr);
  machine.control->journal().on_event = [this, &machine](const JournalEvent& event) {
    if (event.kind == "founded")
      ++machine.bootstraps;
    events_trace_ += std::to_string(now()) + " " + machine.name + " " + event.kind + " " + event.detail + "\n";
  };
  machine.control->start(clock(machine));
  flush(machine);
  later(1 + random_.below(timer_interval_ms), [this, name, incarnation] { tick(name, incarnation); });
}

bool MachineFleet::runs(const std::string& name, int incarnation) {
  return at(name).is_up && at(name).incarnation == incarnation;
}

void MachineFleet::tick(const std::string& name, int incarnation) {
  if (!runs(name, incarnation))
    return;
  Machine& machine = at(name);
  if (!machine.is_frozen) {
    machine.control->on_timer(clock(machine));
    flush(machine);
  }
  later(timer_interval_ms, [this, name, incarnation] { tick(name, incarnation); });
}

void MachineFleet::kill(const std::string& name) {
  Machine& machine = at(name);
  if (!machine.is_up)
    return;
  machine.is_up = false;
  ++machine.incarnation;
  machine.control.reset();
  machine.log.reset();
}

void MachineFleet::stop(const std::string& name, std::int64_t grace_ms) {
  Machine& machine = at(name);
  machine.control->stop(clock(machine));
  flush(machine);
  later(grace_ms, [this, name, incarnation = machine.incarnation] {
    if (!runs(name, incarnation))
      return;
    Machine& ending = at(name);
    ending.control->end_all_requests(clock(ending));
    flush(ending);
    kill(name);
  });
}

void MachineFleet::stop(const std::string& name) {
  Machine& machine = at(name);
  if (!machine.is_up)
    return;
  machine.control->stop(clock(machine));
  flush(machine);
  end_when_ready(name, machine.incarnation);
}

void MachineFleet::end_when_ready(const std::string& name, int incarnation) {
  if (!runs(name, incarnation))
    return;
  if (!at(name).control->is_ready_to_end()) {
    later(ready_poll_interval_ms, [this, name, incarnation] { end_when_ready(name, incarnation); });
    return;
  }
  later(last_responses_ms, [this, name, incarnation] {
    if (at(name).incarnation == incarnation)
      kill(name);
  });
}

void MachineFleet::power_cut(const std::string& name) {
  kill(name);
  Machine& machine = at(name);
  machine.has_power = false;
  machine.files->is_off = true;
  machine.files->power_on(random_);
}

void MachineFleet::freeze(const std::string& name, bool is_frozen) {
  Machine& machine = at(name);
  machine.is_frozen = is_frozen;
  if (is_frozen)
    return;
  for (auto& handle_message : std::exchange(machine.buffered_messages, {}))
    handle_message();
  for (auto& handle_buffered_request : std::exchange(machine.buffered_requests, {}))
    later(random_.below(max_request_delay_ms), std::move(handle_buffered_request));
  release_retained();
}

void MachineFleet::call_daemon(const std::string& name, const std::function<void(ControlDaemon&, TimePoint)>& call) {
  Machine& machine = at(name);
  call(*machine.control, clock(machine));
  flush(machine);
}

void MachineFleet::flush(Machine& machine) {
  for (auto& write : machine.control->drain_writes())
    machine.pending_writes.push_back(std::move(write));
  start_writing(machine);
  for (auto& outbound : machine.control->drain_outbound())
    send(machine.name, outbound.to, std::move(outbound.message));
  machine.control->drain_probes();
  if (machine.control->proposer().has_state())
    check_state(machine);
}

void MachineFleet::start_writing(Machine& machine) {
  if (machine.is_writing || machine.pending_writes.empty())
    return;
  machine.is_writing = true;
  std::vector<LogWrite> batch = std::exchange(machine.pending_writes, {});
  std::vector<std::string> records;
  for (auto& write : batch)
    records.push_back(write.record);
  ASSERT_TRUE(machine.log->append(records));
  std::int64_t duration_ms = (sync_ms + random_.below(sync_ms + 1)) * machine.disk_time_factor + machine.extra_disk_ms;
  later(duration_ms, [this, name = machine.name, incarnation = machine.incarnation, last_token = batch.back().token] {
    if (runs(name, incarnation))
      finish_writing(at(name), last_token);
  });
}

void MachineFleet::finish_writing(Machine& machine, std::int64_t last_token) {
  ASSERT_TRUE(machine.log->sync());
  machine.control->synced(last_token, clock(machine));
  if (machine.log->wants_snapshot())
    machine.log->snapshot(machine.control->acceptor()->snapshot());
  machine.is_writing = false;
  flush(machine);
}

std::vector<std::string> bring_up(MachineFleet& fleet, int count) {
  fleet.membership.lost_machines = count <= 3 ? 1 : count <= 6 ? 2 : 3;
  auto names = fleet.add_many(count);
  for (const auto& name : names)
    fleet.start(name, true);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, count <= 6 ? 4000 : 8000)) << fleet.trace();
  EXPECT_TRUE(fleet.edit_until_done(4000)) << fleet.trace();
  fleet.run(fleet.random().below(1000));
  return names;
}

}  // namespace emberdale
