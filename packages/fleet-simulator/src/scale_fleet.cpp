// The daemons of the scale runs: how they are founded, started, killed, and run in virtual time.
#include <algorithm>

#include "emberdale/avro_codec.hpp"
#include "scale_clock.hpp"
#include "scale_runs.hpp"

namespace emberdale::scale {
namespace {

constexpr std::int64_t tick_ms = 25;
constexpr std::int64_t sync_ms = 2;       // until a write is on the disk
constexpr std::int64_t question_ms = 10;  // between two looks at whether a wait is over
constexpr int most_models = 4;

std::string two_digits(int number) { return (number < 10 ? "0" : "") + std::to_string(number); }

}  // namespace

ScaleFleet::ScaleFleet(std::uint64_t seed, ScaleShape shape) : shape_(shape), seed_(seed), random_(seed) {
  regions_ = std::max(2, (shape_.zones * 51 + 73) / 146);
  for (int i = 0; i < shape_.cores; ++i)
    add("core", i);
  for (std::size_t i = 0; i < 3; ++i)
    seeds_.push_back(daemons_[i].address);
  for (int i = 0; i < shape_.edges; ++i)
    add("edge", i);
  for (int i = 0; i < shape_.gateways; ++i)
    add("data", i);
  reset();
}

ZoneName ScaleFleet::zone_of(int number) const { return ZoneName{"zone-" + two_digits(number % shape_.zones)}; }
RegionName ScaleFleet::region_of(int zone) const {
  return RegionName{"region-" + two_digits(zone * regions_ / shape_.zones)};
}
std::string ScaleFleet::runner_name(int number) const { return "runner-" + std::to_string(100000 + number); }

std::string ScaleFleet::model_name(int number) const {
  int models = shape_.runners >= most_models ? most_models : 1;
  return "model-" + std::to_string(number % models);
}

void ScaleFleet::add(const std::string& role, int number) {
  Daemon daemon;
  daemon.role = role;
  daemon.name = role + "-" + std::to_string(number);
  daemon.zone = zone_of(number);
  daemon.region = region_of(number % shape_.zones);
  int place = static_cast<int>(daemons_.size());
  daemon.address.text = "10.1." + std::to_string(100 + place / 100) + "." + std::to_string(100 + place % 100) + ":7000";
  daemon.store.text = "store-" + std::to_string(number);
  daemon.clock = 1000000 + random_.below(100000000);
  by_address_[daemon.address] = daemons_.size();
  daemons_.push_back(std::move(daemon));
}

FleetState ScaleFleet::first_state() const {
  FleetState state;
  state.fleet_name = "scale";
  state.version = state.config_revision = 1;
  for (int i = 0; i < shape_.plans; ++i)
    state.resources.push_back(plan_resource(i));
  for (int i = 0; i < shape_.runners; ++i)
    state.resources.push_back(runner_resource(i));
  for (const auto& daemon : daemons_) {
    if (daemon.role == "core")
      state.acceptors.push_back({daemon.store, daemon.address});
    if (daemon.role == "edge" && shape_.is_enrolled)
      state.roster.push_back({daemon.address, "http-" + daemon.name, DaemonRole::edge, daemon.zone, daemon.region, 1});
  }
  std::sort(state.roster.begin(), state.roster.end(),
            [](const auto& a, const auto& b) { return a.address < b.address; });
  return state;
}

Resource ScaleFleet::plan_resource(int number) const {
  std::string name = std::to_string(number), model = model_name(number);
  return {plans_kind, "plan-" + name, 1, 1,
          R"({"service":")" + model + R"(","match":{"path":"/v1/tenant-)" + name + R"("},"pool":")" + model +
              R"(","spill":{"allowed":true},"streaming":true,"horizon_ms":9000,"prefix_bytes":2048})"};
}

Resource ScaleFleet::runner_resource(int number) const {
  int zone = number % shape_.zones;
  return {runners_kind, runner_name(number), 1, 1,
          R"({"address":"10.2.)" + std::to_string(100 + number / 100) + "." + std::to_string(100 + number % 100) +
              R"(:8000","pool":")" + model_name(number / shape_.zones) + R"(","zone":")" + zone_of(zone).text +
              R"(","region":")" + region_of(zone).text + R"(","seal_key":"key-)" + runner_name(number) + R"("})"};
}

Outcome<bool> ScaleFleet::bring_up(Duration limit) {
  found();
  sample();
  auto gateways = of_role("data");
  auto serves = [&] {
    return is_led() && std::all_of(gateways.begin(), gateways.end(), [&](std::size_t index) {
             return !daemons_[index].data->view()->plans.empty() && has_grant(daemons_[index]);
           });
  };
  if (!run_until(serves, limit))
    return failure(master() ? "not every data daemon serves" : "no master leads");
  return true;
}

// Starts every daemon, and gives each core daemon the first state.
void ScaleFleet::found() {
  std::string value = encode_state(first_state());
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    start(i);
    if (daemons_[i].role != "core")
      continue;
    daemons_[i].control->on_message(Address{"founder"}, Message{BootstrapRequest{1, daemons_[i].store, Bytes{value}}},
                                    clock(daemons_[i]));
    flush(i);
  }
}

// Whether there is a master, and every edge daemon is on its roster.
bool ScaleFleet::is_led() const {
  auto leader = master();
  if (!leader)
    return false;
  const auto& roster = daemons_[*leader].control->proposer().state().roster;
  return shape_.is_enrolled || static_cast<int>(roster.size()) == shape_.edges;
}

bool ScaleFleet::has_grant(const Daemon& daemon) const {
  const DataDaemon& data = *daemon.data;
  return clock(daemon) < data.grant().until && data.grant().minimum_version <= data.view()->version;
}

void ScaleFleet::run(Duration span) {
  run_until([] { return false; }, span);
}

bool ScaleFleet::run_until(const std::function<bool()>& question, Duration span) {
  std::int64_t end = now_ + span.value, asked_at = now_;
  while (!events_.empty() && events_.top().at <= end) {
    auto act = std::move(const_cast<Event&>(events_.top()).act);
    now_ = events_.top().at;
    events_.pop();
    act();
    if (now_ >= asked_at + question_ms) {
      asked_at = now_;
      if (question())
        return true;
    }
  }
  now_ = end;
  return question();
}

std::vector<std::size_t> ScaleFleet::of_role(const std::string& role) const {
  std::vector<std::size_t> list;
  for (std::size_t i = 0; i < daemons_.size(); ++i)
    if (daemons_[i].role == role)
      list.push_back(i);
  return list;
}

std::optional<std::size_t> ScaleFleet::master() const {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const auto& control = daemons_[i].control;
    if (!control || !control->election().is_master())
      continue;
    if (!best || daemons_[*best].control->election().term() < control->election().term())
      best = i;
  }
  return best;
}

std::int64_t ScaleFleet::term() const { return master() ? daemons_[*master()].control->election().term() : 0; }

int ScaleFleet::role(std::size_t index) const {
  const Daemon& daemon = daemons_[index];
  if (daemon.role == "core")
    return core_role;
  if (daemon.role == "data")
    return gateway_role;
  return daemon.control && daemon.control->election().is_master() ? master_role : edge_role;
}

void ScaleFleet::timed(std::size_t index, std::size_t kind, const std::function<void()>& act) {
  int as = role(index);
  std::int64_t ns = time_of(act);
  auto& counter = counts_.handled[static_cast<std::size_t>(as)][kind];
  ++counter.number;
  counter.ns += ns;
  counts_.daemons[index].machine_ns += ns;
}

void ScaleFleet::start(std::size_t index) {
  Daemon& daemon = daemons_[index];
  if (daemon.is_up)
    return;
  daemon.is_up = daemon.has_power = true;
  ++daemon.incarnation;
  DaemonEntry self{daemon.address, "http-" + daemon.name, *parse_daemon_role(daemon.role),
                   daemon.zone,    daemon.region,         daemon.incarnation};
  std::uint64_t random = seed_ * 1000003 + stable_hash(daemon.name) + static_cast<std::uint64_t>(daemon.incarnation);
  if (daemon.role == "data") {
    daemon.data = std::make_unique<DataDaemon>(self, seeds_, random);
    daemon.data->start(clock(daemon));
  } else {
    start_control(daemon, self, random);
  }
  flush(index);
  later(1 + random_.below(tick_ms), [this, index, incarnation = daemon.incarnation] { tick(index, incarnation); });
}

void ScaleFleet::start_control(Daemon& daemon, const DaemonEntry& self, std::uint64_t random) {
  std::unique_ptr<RegisterAcceptor> acceptor;
  if (daemon.role == "core") {
    acceptor = std::make_unique<RegisterAcceptor>(daemon.store);
    if (!daemon.picture.empty())
      acceptor->restore({daemon.picture});
  }
  ControlDaemonSettings settings;
  settings.self = self;
  settings.seeds = seeds_;
  settings.random_seed = random;
  daemon.control = std::make_unique<ControlDaemon>(settings, std::move(acceptor));
  daemon.control->on_publish = [this](const PlacementMap&) {
    ++maps_published;
  };
  daemon.control->start(clock(daemon));
}

void ScaleFleet::kill(std::size_t index, bool takes_power) {
  Daemon& daemon = daemons_[index];
  if (!daemon.is_up)
    return;
  daemon.is_up = false;
  daemon.has_power = !takes_power;
  ++daemon.incarnation;
  if (daemon.role == "core")
    daemon.picture = daemon.control->acceptor()->snapshot();
  if (daemon.control)
    rounds_before_ -= daemon.control->proposer().counts().rounds;  // what it did still counts
  daemon.control.reset();
  daemon.data.reset();
}

void ScaleFleet::tick(std::size_t index, int incarnation) {
  Daemon& daemon = daemons_[index];
  if (daemon.incarnation != incarnation)
    return;
  timed(index, message_kinds, [&] {
    if (daemon.control)
      daemon.control->on_timer(clock(daemon));
    else
      daemon.data->on_timer(clock(daemon));
  });
  flush(index);
  later(tick_ms, [this, index, incarnation] { tick(index, incarnation); });
}

void ScaleFleet::flush(std::size_t index) {
  Daemon& daemon = daemons_[index];
  if (daemon.data) {
    for (auto& message : daemon.data->drain_outbound())
      deliver(index, message.to, std::move(message.message));
    return;
  }
  auto writes = daemon.control->drain_writes();
  if (!writes.empty()) {
    for (const auto& write : writes)
      daemon.disk_bytes += static_cast<std::int64_t>(write.record.size());
    later(sync_ms, [this, index, incarnation = daemon.incarnation, token = writes.back().token] {
      Daemon& awake = daemons_[index];
      if (awake.incarnation != incarnation)
        return;
      awake.control->synced(token, clock(awake));
      flush(index);
    });
  }
  for (auto& message : daemon.control->drain_outbound())
    deliver(index, message.to, std::move(message.message));
  for (auto& request : daemon.control->drain_probes())
    probe(index, request);
}

}  // namespace emberdale::scale
