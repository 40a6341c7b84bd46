#include <malloc.h>
#include <time.h>

#include <algorithm>

#include "emberdale/avro_codec.hpp"
#include "scale_runs.hpp"

namespace emberdale::scale {
namespace {

constexpr std::int64_t tick_ms = 25, sample_ms = 50;

std::int64_t thread_ns() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return time.tv_sec * 1000000000ll + time.tv_nsec;
}

// What two looks at the clock take by themselves.
std::int64_t clock_cost() {
  static const std::int64_t cost = [] {
    std::int64_t begun = thread_ns(), last = begun;
    for (int i = 0; i < 1000; ++i)
      last = thread_ns();
    return (last - begun) / 1000;
  }();
  return cost;
}

template <class Act>
std::int64_t time_of(const Act& act) {
  std::int64_t begun = thread_ns();
  act();
  return std::max<std::int64_t>(0, thread_ns() - begun - clock_cost());
}

std::int64_t heap_bytes() {
  auto heap = mallinfo2();
  return static_cast<std::int64_t>(heap.uordblks + heap.hblkhd);
}

std::string two_digits(int number) { return (number < 10 ? "0" : "") + std::to_string(number); }

}  // namespace

const char* message_name(std::size_t kind) {
#define EMBERDALE_MESSAGE_NAME(Name) #Name,
  static const char* const names[] = {EMBERDALE_MESSAGES(EMBERDALE_MESSAGE_NAME) "ViewAnswer"};
#undef EMBERDALE_MESSAGE_NAME
  static_assert(std::size(names) == message_kinds);
  return names[kind];
}

const char* role_name(int role) {
  static const char* const names[] = {"core", "master", "edge", "data"};
  return names[role];
}

ScaleFleet::ScaleFleet(std::uint64_t seed, ScaleShape shape) : shape_(shape), seed_(seed), random_(seed) {
  regions_ = std::max(2, (shape_.zones * 51 + 73) / 146);
  for (int i = 0; i < shape_.cores; ++i)
    add("core", i, shape_.cores);
  for (std::size_t i = 0; i < 3; ++i)
    seeds_.push_back(daemons_[i].address);
  for (int i = 0; i < shape_.edges; ++i)
    add("edge", i, shape_.edges);
  for (int i = 0; i < shape_.gateways; ++i)
    add("data", i, shape_.gateways);
  reset();
}

ZoneName ScaleFleet::zone_of(int number, int) const { return ZoneName{"zone-" + two_digits(number % shape_.zones)}; }
RegionName ScaleFleet::region_of(int zone) const {
  return RegionName{"region-" + two_digits(zone * regions_ / shape_.zones)};
}
std::string ScaleFleet::runner_name(int number) const { return "runner-" + std::to_string(100000 + number); }

void ScaleFleet::add(const std::string& role, int number, int total) {
  Daemon daemon;
  daemon.role = role;
  daemon.name = role + "-" + std::to_string(number);
  daemon.zone = zone_of(number, total);
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
  state.fleet = "scale";
  state.version = state.config_revision = 1;
  int models = shape_.runners >= 4 ? 4 : 1;
  for (int i = 0; i < shape_.plans; ++i) {
    std::string number = std::to_string(i);
    state.resources.push_back(
        {plans_kind, "plan-" + number, 1, 1,
         R"({"service":"model-)" + std::to_string(i % models) + R"(","match":{"path":"/v1/tenant-)" + number +
             R"("},"pool":"model-)" + std::to_string(i % models) +
             R"(","spill":{"allowed":true},"streaming":true,"horizon_ms":9000,"prefix_bytes":2048})"});
  }
  for (int i = 0; i < shape_.runners; ++i) {
    int zone = i % shape_.zones;
    state.resources.push_back({runners_kind, runner_name(i), 1, 1,
                               R"({"address":"10.2.)" + std::to_string(100 + i / 100) + "." +
                                   std::to_string(100 + i % 100) + R"(:8000","pool":"model-)" +
                                   std::to_string(i / shape_.zones % models) + R"(","zone":")" + zone_of(zone, 0).text +
                                   R"(","region":")" + region_of(zone).text + R"(","seal_key":"key-)" + runner_name(i) +
                                   R"("})"});
  }
  for (const auto& daemon : daemons_) {
    if (daemon.role == "core")
      state.acceptors.push_back({daemon.store, daemon.address});
    if (daemon.role == "edge" && shape_.is_enrolled)
      state.roster.push_back({daemon.address, "http-" + daemon.name, "edge", daemon.zone, daemon.region, 1});
  }
  std::sort(state.roster.begin(), state.roster.end(),
            [](const auto& a, const auto& b) { return a.address < b.address; });
  return state;
}

Outcome<bool> ScaleFleet::bring_up(Span limit) {
  std::string value = encode_state(first_state());
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    start(i);
    if (daemons_[i].role != "core")
      continue;
    daemons_[i].control->on_message(Address{"founder"}, Message{Found{1, daemons_[i].store, Bytes{value}}},
                                    clock(daemons_[i]));
    flush(i);
  }
  sample();
  auto gateways = of_role("data");
  bool serves = run_until(
      [&] {
        if (!master() ||
            (!shape_.is_enrolled &&
             static_cast<int>(daemons_[*master()].control->proposer().state().roster.size()) != shape_.edges))
          return false;
        return std::all_of(gateways.begin(), gateways.end(), [&](std::size_t index) {
          const DataDaemon& data = *daemons_[index].data;
          return !data.view()->plans.empty() && clock(daemons_[index]) < data.grant().until &&
                 data.grant().minimum_version <= data.view()->version;
        });
      },
      limit);
  if (!serves)
    return failure(master() ? "not every data daemon serves" : "no master leads");
  return true;
}

void ScaleFleet::run(Span span) {
  run_until([] { return false; }, span);
}

bool ScaleFleet::run_until(const std::function<bool()>& question, Span span) {
  std::int64_t end = now_ + span.value, asked_at = now_;
  while (!events_.empty() && events_.top().at <= end) {
    auto act = std::move(const_cast<Event&>(events_.top()).act);
    now_ = events_.top().at;
    events_.pop();
    act();
    if (now_ >= asked_at + 10) {
      asked_at = now_;
      if (question())
        return true;
    }
  }
  now_ = end;
  return question();
}

void ScaleFleet::reset() {
  counts_ = {};
  counts_.daemons.resize(daemons_.size());
  rounds_before_ = 0;
  for (const auto& daemon : daemons_)
    if (daemon.control)
      rounds_before_ += daemon.control->proposer().counts().rounds;
  samples = samples_without_grant = changes_asked = changes_failed = maps_published = 0;
  acknowledged_ms.clear();
  in_force_ms.clear();
  if (shape_.changes_a_minute > 0 && changes_from_ < 0 && master()) {
    changes_from_ = now_;
    change();
  }
}

const ScaleCounts& ScaleFleet::counts() {
  counts_.register_rounds = -rounds_before_;
  for (const auto& daemon : daemons_)
    if (daemon.control)
      counts_.register_rounds += daemon.control->proposer().counts().rounds;
  return counts_;
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

Integer ScaleFleet::term() const { return master() ? daemons_[*master()].control->election().term() : 0; }

int ScaleFleet::role(std::size_t index) const {
  const Daemon& daemon = daemons_[index];
  if (daemon.role == "core")
    return core_role;
  if (daemon.role == "data")
    return gateway_role;
  return daemon.control && daemon.control->election().is_master() ? master_role : edge_role;
}

template <class Act>
void ScaleFleet::timed(std::size_t index, std::size_t kind, const Act& act) {
  int as = role(index);
  std::int64_t ns = time_of(act);
  auto& tally = counts_.handled[static_cast<std::size_t>(as)][kind];
  ++tally.number;
  tally.ns += ns;
  counts_.daemons[index].machine_ns += ns;
}

void ScaleFleet::start(std::size_t index) {
  Daemon& daemon = daemons_[index];
  if (daemon.is_up)
    return;
  daemon.is_up = daemon.has_power = true;
  ++daemon.life;
  DaemonEntry self{daemon.address, "http-" + daemon.name, daemon.role, daemon.zone, daemon.region, daemon.life};
  std::uint64_t random = seed_ * 1000003 + stable_hash(daemon.name) + static_cast<std::uint64_t>(daemon.life);
  if (daemon.role == "data") {
    daemon.data = std::make_unique<DataDaemon>(self, seeds_, random);
    daemon.data->start(clock(daemon));
  } else {
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
  flush(index);
  later(1 + random_.below(tick_ms), [this, index, life = daemon.life] { tick(index, life); });
}

void ScaleFleet::kill(std::size_t index, bool takes_power) {
  Daemon& daemon = daemons_[index];
  if (!daemon.is_up)
    return;
  daemon.is_up = false;
  daemon.has_power = !takes_power;
  ++daemon.life;
  if (daemon.role == "core")
    daemon.picture = daemon.control->acceptor()->picture();
  if (daemon.control)
    rounds_before_ -= daemon.control->proposer().counts().rounds;  // what it did still counts
  daemon.control.reset();
  daemon.data.reset();
}

void ScaleFleet::tick(std::size_t index, int life) {
  Daemon& daemon = daemons_[index];
  if (daemon.life != life)
    return;
  timed(index, message_kinds, [&] {
    if (daemon.control)
      daemon.control->on_timer(clock(daemon));
    else
      daemon.data->on_timer(clock(daemon));
  });
  flush(index);
  later(tick_ms, [this, index, life] { tick(index, life); });
}

void ScaleFleet::flush(std::size_t index) {
  Daemon& daemon = daemons_[index];
  if (daemon.data) {
    for (auto& sending : daemon.data->take_out())
      deliver(index, sending.to, std::move(sending.message));
    return;
  }
  auto writes = daemon.control->take_writes();
  if (!writes.empty()) {
    for (const auto& write : writes)
      daemon.disk_bytes += static_cast<std::int64_t>(write.record.size());
    later(2, [this, index, life = daemon.life, token = writes.back().token] {
      Daemon& awake = daemons_[index];
      if (awake.life != life)
        return;
      awake.control->synced(token, clock(awake));
      flush(index);
    });
  }
  for (auto& sending : daemon.control->take_out())
    deliver(index, sending.to, std::move(sending.message));
  for (auto& wish : daemon.control->take_probes())
    probe(index, wish);
}

bool ScaleFleet::is_cut(std::size_t one, std::size_t other) const {
  if (cut_off_.empty())
    return false;
  return (daemons_[one].region == cut_off_) != (daemons_[other].region == cut_off_);
}

std::int64_t ScaleFleet::travel(std::size_t from, std::size_t to) {
  std::int64_t wait = daemons_[from].region == daemons_[to].region ? 1 : 12;
  return wait + random_.below(wait + 1);
}

void ScaleFleet::deliver(std::size_t from, const Address& to, Message message) {
  auto entry = by_address_.find(to);
  if (entry == by_address_.end())
    return;
  std::size_t target = entry->second;
  std::size_t kind = message.index();
  std::int64_t size = 0, ns = 0;
  if (target != from) {
    auto encode = [&] {
      ns = time_of([&] { size = static_cast<std::int64_t>(encode_message(message).size()) + 4; });
    };
    if (const auto* news = std::get_if<MapNews>(&message)) {
      // The same map for every follower is encoded once here; each send is charged for it, as the links do it.
      auto& known = map_sizes_[{daemons_[from].address, news->map.version}];
      if (known.first == 0) {
        encode();
        known = {size, ns};
        while (map_sizes_.size() > 64)
          map_sizes_.erase(map_sizes_.begin());
      }
      size = known.first;
      ns = known.second;
    } else {
      encode();
    }
    auto& at = counts_.daemons[from];
    ++at.out;
    at.bytes_out += size;
    at.codec_ns += ns;
    ++counts_.messages;
    counts_.bytes += size;
    auto& tally = counts_.encoded[kind];
    ++tally.number;
    tally.bytes += size;
    tally.ns += ns;
    if (is_cut(from, target) || !daemons_[target].has_power)
      return;
  }
  int from_role = role(from);
  auto shared = std::make_shared<Message>(std::move(message));
  later(target == from ? 0 : travel(from, target), [this, from, target, kind, size, from_role, shared,
                                                    life = daemons_[from].life] {
    Daemon& daemon = daemons_[target];
    if (!daemon.is_up) {
      if (!daemon.has_power || is_cut(from, target))
        return;
      // The machine is there and no process listens: it says so at once.
      later(travel(target, from), [this, from, life, gone = daemon.address] {
        Daemon& sender = daemons_[from];
        if (sender.life != life)
          return;
        if (sender.control)
          sender.control->on_refused(gone, clock(sender));
        else
          sender.data->on_refused(gone, clock(sender));
        flush(from);
      });
      return;
    }
    if (target != from) {
      auto& tally = counts_.sent[static_cast<std::size_t>(from_role)][static_cast<std::size_t>(role(target))][kind];
      ++tally.number;
      tally.bytes += size;
      auto& at = counts_.daemons[target];
      ++at.in;
      at.bytes_in += size;
      // One message in sixteen is decoded for its time; the others are charged by their bytes.
      auto& decoded = counts_.decoded[kind];
      if (++decoded.number % 16 == 1) {
        std::string bytes = encode_message(*shared);
        decoded.ns += time_of([&] { decode_message(bytes); });
        decoded.bytes += size;
      }
      at.codec_ns += decoded.bytes == 0
                         ? 0
                         : static_cast<std::int64_t>(static_cast<double>(decoded.ns) /
                                                     static_cast<double>(decoded.bytes) * static_cast<double>(size));
    }
    timed(target, kind, [&] {
      if (daemon.control)
        daemon.control->on_message(daemons_[from].address, *shared, clock(daemon));
      else
        daemon.data->on_message(daemons_[from].address, *shared, clock(daemon));
    });
    flush(target);
  });
}

void ScaleFleet::probe(std::size_t index, const ProbeWish& wish) {
  bool is_there = down_.count(wish.runner.text) == 0;
  later(is_there ? 4 : 2, [this, index, is_there, runner = wish.runner, life = daemons_[index].life] {
    Daemon& daemon = daemons_[index];
    if (daemon.life != life)
      return;
    RunnerStatus status;
    status.name = runner;
    status.answers = is_there;
    status.incarnation = 1;
    status.capacity = 8;
    status.allowance = 2;
    status.load = shape_.is_busy
                      ? static_cast<Integer>(stable_hash(runner.text, static_cast<std::uint64_t>(now_ / 1000)) % 6)
                      : 0;
    timed(index, message_kinds + 1, [&] { daemon.control->on_probe(status, clock(daemon)); });
    flush(index);
  });
}

void ScaleFleet::sample() {
  Integer oldest = INT64_MAX;
  for (const auto& daemon : daemons_) {
    if (!daemon.data)
      continue;
    ++samples;
    if (!(clock(daemon) < daemon.data->grant().until) ||
        !(daemon.data->grant().minimum_version <= daemon.data->view()->version))
      ++samples_without_grant;
    oldest = std::min(oldest, daemon.data->view()->config_revision);
  }
  for (auto entry = changes_.begin(); entry != changes_.end();) {
    if (entry->revision > 0 && entry->revision <= oldest) {
      in_force_ms.push_back(now_ - entry->asked);
      entry = changes_.erase(entry);
    } else {
      ++entry;
    }
  }
  later(sample_ms, [this] { sample(); });
}

// One change of configuration, asked at the edge daemons in turn; then the next at its time.
void ScaleFleet::change() {
  later(60000 / shape_.changes_a_minute, [this] { change(); });
  auto edges = of_role("edge");
  std::size_t index = edges[static_cast<std::size_t>(changes_asked) % edges.size()];
  ++changes_asked;
  if (!daemons_[index].is_up)
    return;
  changes_.push_back({now_, 0, 0});
  EditAsk ask;
  ask.change = "change-" + std::to_string(now_) + "-" + std::to_string(changes_asked);
  ask.act = "patch";
  ask.kind = plans_kind;
  ask.name = "plan-" + std::to_string(changes_asked % shape_.plans);
  ask.expected = -1;
  ask.body = R"({"horizon_ms":)" + std::to_string(4000 + changes_asked % 1000) + "}";
  daemons_[index].control->edit(
      ask,
      [this, asked = now_](const EditAnswer& answer) {
        auto entry =
            std::find_if(changes_.begin(), changes_.end(), [&](const Change& change) { return change.asked == asked; });
        if (entry == changes_.end())
          return;
        auto mark = answer.body.find("\"config_revision\":");
        if (answer.code != 200 || mark == std::string::npos) {
          ++changes_failed;
          changes_.erase(entry);
          return;
        }
        entry->revision = std::atoll(answer.body.c_str() + mark + 18);
        acknowledged_ms.push_back(now_ - asked);
      },
      clock(daemons_[index]));
  flush(index);
}

ScaleFleet::Sizes ScaleFleet::sizes() const {
  Sizes sizes;
  auto leader = master();
  if (!leader)
    return sizes;
  const ControlDaemon& control = *daemons_[*leader].control;
  sizes.state = static_cast<std::int64_t>(encode_state(control.proposer().state()).size());
  sizes.map = static_cast<std::int64_t>(encode_message(Message{MapNews{control.map()}}).size());
  auto weigh_topic = [&](const std::string& topic) {
    std::int64_t bytes = 0;
    for (const auto& [key, body] : slice_rows(control.map(), topic))
      bytes += static_cast<std::int64_t>(key.size() + body.size() + 3);
    return bytes;
  };
  sizes.plans_slice = weigh_topic(plans_topic);
  std::set<PoolName> pools;
  for (const auto& runner : control.map().runners)
    pools.insert(runner.pool);
  for (const auto& pool : pools)
    sizes.pool_slices += weigh_topic(pool_topic(pool));
  for (const auto& daemon : daemons_)
    sizes.disk = std::max(sizes.disk, daemon.disk_bytes);
  return sizes;
}

std::int64_t ScaleFleet::weigh(std::size_t index) {
  Daemon& daemon = daemons_[index];
  std::int64_t before = heap_bytes();
  ++daemon.life;
  daemon.is_up = false;
  daemon.control.reset();
  daemon.data.reset();
  return before - heap_bytes();
}

}  // namespace emberdale::scale
