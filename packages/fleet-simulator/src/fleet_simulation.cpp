#include "emberdale/fleet_simulation.hpp"

#include <algorithm>

#include "emberdale/avro_codec.hpp"

namespace emberdale {
namespace {
constexpr std::int64_t tick_ms = 25;
constexpr std::int64_t old_plan_limit = 3000, leaving_limit = 5000;

std::string runner_body(const std::string& name, const std::string& pool, const std::string& zone, const std::string& region, int port) {
  return R"({"address":"127.0.0.1:)" + std::to_string(port) + R"(","pool":")" + pool + R"(","zone":")" + zone + R"(","region":")" + region +
         R"(","seal_key":"key-)" + name + R"("})";
}

const char* const check_plan = R"({"service":"s","match":{"path":"/check"},"pool":"models","spill":{"allowed":true},"horizon_ms":5000,"prefix_bytes":64})";
const char* const homed_plan = R"({"service":"s","match":{"path":"/homed"},"pool":"models","home":{"header":"x-home-region"},"horizon_ms":5000})";
const char* const record_plan = R"({"service":"r","match":{"path":"/record"},"pool":"records","spill":{"allowed":true},"repeatable":true,"horizon_ms":3000})";
}  // namespace

FleetSimulation::FleetSimulation(std::uint64_t seed, SimulationShape shape) : seed_(seed), shape_(std::move(shape)), dice_(seed) {
  std::size_t zone_index = 0;
  for (const std::string zone : {"a", "b", "c"}) {
    std::string region = zone == "c" ? "south" : "north";
    auto add = [&](const std::string& name, const std::string& role) {
      auto made = std::make_unique<Node>();
      made->name = name;
      made->role = role;
      made->zone = zone;
      made->region = region;
      made->address.text = "10.0.0." + std::to_string(next_port_++) + ":7000";
      made->clock = 1000000 + dice_.below(100000000);
      if (role == "core") made->files = std::make_shared<MemoryFileSystem>();
      by_address_[made->address] = name;
      nodes_[name] = std::move(made);
    };
    add(zone + "0", "core");
    seeds_.push_back(nodes_[zone + "0"]->address);
    for (int i = 1; i <= shape_.edges_per_zone; ++i) {
      add(zone + std::to_string(i), "edge");
      add(zone + std::to_string(i) + "-data", "data");
    }
    for (int i = 0; i < shape_.models[zone_index]; ++i) {
      Runner runner;
      runner.name = "model-" + zone + std::to_string(i + 1);
      runner.zone = zone;
      runner.region = region;
      runner.pool = "models";
      runners_[runner.name] = runner;
    }
    Runner record;
    record.name = "record-" + zone;
    record.zone = zone;
    record.region = region;
    record.pool = "records";
    record.service_ms = 10;
    record.capacity = 16;
    runners_[record.name] = record;
    ++zone_index;
  }
  for (auto& [name, made] : nodes_) start(name);
}

FleetSimulation::~FleetSimulation() = default;

void FleetSimulation::at(std::int64_t when, std::function<void()> act) { events_.push({when, ++last_event_, std::move(act)}); }
void FleetSimulation::later(std::int64_t ms, std::function<void()> act) { at(now_ + ms, std::move(act)); }

void FleetSimulation::run(Span span) {
  run_until([] { return false; }, span);
}

bool FleetSimulation::run_until(const std::function<bool()>& question, Span span) {
  std::int64_t end = now_ + span.value;
  std::int64_t asked_at = -1;
  while (!events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.act();
    if (now_ != asked_at) {
      asked_at = now_;
      if (question()) return true;
    }
  }
  now_ = end;
  return question();
}

void FleetSimulation::broken(const std::string& rule, const std::string& detail) {
  if (breaks_.size() < 50) breaks_.push_back({now_, rule, detail});
}

// Runs an act on a node unless it is down; a frozen node does it when it wakes.
void FleetSimulation::on_node(const std::string& name, std::function<void(Node&)> act) {
  Node& target = node(name);
  if (!target.is_up) return;
  if (target.is_frozen) {
    Integer life = target.life;
    target.while_frozen.push_back([this, name, life, act] {
      Node& woken = node(name);
      if (woken.is_up && woken.life == life) act(woken);
    });
    return;
  }
  act(target);
}

void FleetSimulation::tick(const std::string& name, Integer life) {
  Node& target = node(name);
  if (!target.is_up || target.life != life) return;
  if (!target.is_frozen) {
    if (target.control) {
      target.control->set_wall_clock(wall_seconds == 0 ? 0 : wall_seconds + now_ / 1000);
      target.control->on_alarm(clock(target));
    } else {
      target.data->on_alarm(clock(target));
      refresh_desk(target);
      target.desk->on_alarm(clock(target));
    }
    flush(target);
  }
  at(now_ + tick_ms, [this, name, life] { tick(name, life); });
}

void FleetSimulation::refresh_desk(Node& target) {
  target.desk->set_grant(is_grant_check_off ? Grant{clock(target) + Span{60000}, {}} : target.data->grant());
  target.desk->see(target.data->view(), clock(target));
}

void FleetSimulation::make_control(Node& made) {
  std::unique_ptr<RegisterAcceptor> acceptor;
  if (made.role == "core") {
    made.log = std::make_unique<SegmentedLog>(made.files, 1 << 16);
    auto opening = made.log->open("store-" + made.name + "-" + std::to_string(made.starts));
    if (!opening) {
      broken("disk", made.name + " can't open its log: " + opening.reason);
      return;
    }
    if (opening->was_corrupt) broken("disk", made.name + " reads corruption after a clean fault: " + opening->finding);
    acceptor = std::make_unique<RegisterAcceptor>(opening->store);
    auto restored = acceptor->restore(opening->records);
    if (!restored) broken("disk", made.name + ": " + restored.reason);
  }
  ControlDaemonSettings settings;
  settings.self = DaemonEntry{made.address, "http-" + made.name, made.role, ZoneName{made.zone}, RegionName{made.region}, made.starts};
  settings.seeds = seeds_;
  settings.dice_seed = seed_ * 1000003 + stable_hash(made.name) + static_cast<std::uint64_t>(made.starts);
  made.control = std::make_unique<ControlDaemon>(settings, std::move(acceptor));
  std::string name = made.name;
  made.control->on_publish = [this, name](const PlacementMap& map) {
    ++figures_.maps_published;
    auto [publisher, is_new_reign] = publishers_.insert({map.version.reign, name});
    if (!is_new_reign && publisher->second != name) broken("two publish in one reign", show(map.version) + " by " + publisher->second + " and " + name);
    PlacementMap bare = map;
    auto hash = stable_hash(encode_message(Message{MapNews{bare}}));
    auto [known, is_new] = maps_.insert({{map.version.reign, map.version.number}, hash});
    if (!is_new && known->second != hash) broken("one map version twice", show(map.version));
  };
}

void FleetSimulation::start(const std::string& name) {
  Node& made = node(name);
  if (made.is_up) return;
  ++made.starts;
  ++made.life;
  made.is_up = true;
  made.is_frozen = false;
  made.while_frozen.clear();
  made.to_write.clear();
  made.is_writing = false;
  made.seen_version = MapVersion{};
  made.refused_up_to = 0;
  if (made.role == "data") {
    DaemonEntry self{made.address, "http-" + name, "data", ZoneName{made.zone}, RegionName{made.region}, made.starts};
    made.data = std::make_unique<DataDaemon>(self, seeds_, seed_ + stable_hash(name) + static_cast<std::uint64_t>(made.starts));
    DeskSettings settings;
    settings.self = made.address;
    settings.region.text = made.region;
    made.desk = std::make_unique<CallDesk>(settings);
    made.data->start(clock(made));
  } else {
    make_control(made);
    if (!made.control) {
      made.is_up = false;
      return;
    }
    made.control->start(clock(made));
  }
  flush(made);
  Integer life = made.life;
  at(now_ + 1 + dice_.below(tick_ms), [this, name, life] { tick(name, life); });
}

void FleetSimulation::kill(const std::string& name) {
  Node& target = node(name);
  if (!target.is_up) return;
  target.is_up = false;
  ++target.life;
  for (auto& [index, call] : calls_)
    if (call.daemon == name && !call.is_over) end_call(index, "no_daemon");
  if (target.desk) {
    figures_.sends += target.desk->counts().sends;
    figures_.retries += target.desk->counts().retries;
  }
  target.control.reset();
  target.data.reset();
  target.desk.reset();
  target.log.reset();
}

void FleetSimulation::power_cut(const std::string& name) {
  kill(name);
  Node& target = node(name);
  if (target.files) {
    target.files->is_off = true;
    target.files->power_on(dice_);
  }
}

void FleetSimulation::wipe(const std::string& name) {
  if (node(name).files) node(name).files->wipe();
}

void FleetSimulation::freeze(const std::string& name) { node(name).is_frozen = true; }

void FleetSimulation::thaw(const std::string& name) {
  Node& target = node(name);
  if (!target.is_frozen) return;
  target.is_frozen = false;
  auto acts = std::exchange(target.while_frozen, {});
  for (auto& act : acts) act();
}

void FleetSimulation::cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
void FleetSimulation::cut_both(const std::string& one, const std::string& other) {
  cut(one, other);
  cut(other, one);
}
void FleetSimulation::isolate(const std::string& name) {
  for (const auto& [other, made] : nodes_)
    if (other != name) cut_both(name, other);
}
void FleetSimulation::heal() { cuts_.clear(); }

void FleetSimulation::set_disk(const std::string& name, Disk disk) {
  Node& target = node(name);
  target.disk = disk;
  if (disk != Disk::stalled && target.is_up) start_writing(target);
}

// The disk of a core machine: what has gathered is written and synced together, after a while.
void FleetSimulation::start_writing(Node& target) {
  if (target.is_writing || target.to_write.empty() || target.disk == Disk::stalled || !target.is_up) return;
  target.is_writing = true;
  std::vector<WriteWish> batch = std::exchange(target.to_write, {});
  std::vector<std::string> records;
  for (auto& write : batch) records.push_back(write.record);
  std::int64_t last = batch.back().token;
  std::string name = target.name;
  Integer life = target.life;
  bool is_refused = target.disk == Disk::full || !target.log->append(records);
  std::int64_t wait = (target.disk == Disk::slow ? 250 : shape_.disk_ms) + dice_.below(3);
  at(now_ + wait, [this, name, life, last, is_refused] {
    Node& woken = node(name);
    if (!woken.is_up || woken.life != life) return;
    if (is_refused) {
      woken.to_write.clear();  // all of it was thought out on top of the refused write
      woken.control->write_refused(last);
    } else if (woken.disk == Disk::sync_error) {
      woken.disk = Disk::good;
      power_cut(name);  // nothing is known of the disk: the daemon stops; a restart reads what is there
      return;
    } else {
      woken.log->sync();
      on_node(name, [this, last](Node& awake) {
        awake.control->synced(last, clock(awake));
        flush(awake);
      });
      if (!woken.is_frozen && woken.log->wants_snapshot()) woken.log->snapshot(woken.control->acceptor()->picture());
    }
    woken.is_writing = false;
    start_writing(woken);
  });
}

void FleetSimulation::deliver(const std::string& from, const Address& to, Message message) {
  auto target = by_address_.find(to);
  if (target == by_address_.end()) return;
  const std::string name = target->second;
  ++figures_.messages;
  if (is_cut(from, name)) return;
  if (from != name && dice_.chance(shape_.loss)) return;
  std::int64_t wait = from == name ? 0 : node(from).region == node(name).region ? shape_.near_delay : shape_.far_delay;
  if (from != name) wait += dice_.below(wait + 1);
  Address sender = node(from).address;
  auto shared = std::make_shared<Message>(std::move(message));
  at(now_ + wait, [this, name, sender, shared] {
    on_node(name, [this, sender, shared](Node& awake) {
      ++figures_.messages_to[awake.name];
      if (awake.control) {
        awake.control->on_message(sender, *shared, clock(awake));
      } else {
        awake.data->on_message(sender, *shared, clock(awake));
        refresh_desk(awake);
      }
      flush(awake);
    });
  });
}

void FleetSimulation::flush(Node& target) {
  std::string name = target.name;
  if (target.control) {
    for (auto& write : target.control->take_writes()) target.to_write.push_back(std::move(write));
    start_writing(target);
    for (auto& sending : target.control->take_out()) deliver(name, sending.to, std::move(sending.message));
    for (auto& wish : target.control->take_probes()) {
      auto entry = runners_.find(wish.runner.text);
      if (entry == runners_.end()) continue;
      bool is_there = entry->second.is_up && !is_cut(name, wish.runner.text);
      Integer life = target.life;
      at(now_ + (entry->second.is_up ? (is_there ? 4 : 900) : 2), [this, name, life, is_there, runner = wish.runner.text] {
        on_node(name, [this, life, is_there, runner](Node& awake) {
          if (awake.life != life) return;
          const Runner& probed = runners_.at(runner);
          RunnerStatus status;
          status.name.text = runner;
          status.answers = is_there && probed.is_up;
          status.cold = probed.is_cold(now_);
          status.incarnation = probed.incarnation;
          status.capacity = probed.capacity;
          status.burden = probed.running;
          status.allowance = probed.allowance;
          awake.control->on_probe(status, clock(awake));
          flush(awake);
        });
      });
    }
  } else if (target.data) {
    for (auto& sending : target.data->take_out()) deliver(name, sending.to, std::move(sending.message));
    flush_desk(target);
  }
  check_node(target);
}

void FleetSimulation::check_node(Node& target) {
  if (target.control && target.control->proposer().has_state()) {
    const FleetState& state = target.control->proposer().state();
    auto entry = states_.find(state.version);
    if (entry == states_.end()) {
      states_[state.version] = stable_hash(encode_state(state));
    } else if (target.seen_version.number != state.version) {
      if (entry->second != stable_hash(encode_state(state)))
        broken("two states under one version", target.name + " version " + std::to_string(state.version));
    }
    if (state.version < target.seen_version.number) broken("a daemon's state went back", target.name);
    target.seen_version.number = state.version;
  }
  if (target.data) {
    const MapVersion& version = target.data->view()->version;
    if (version < target.seen_version) broken("a data daemon slid back", target.name + " from " + show(target.seen_version) + " to " + show(version));
    target.seen_version = version;
  }
}

// --- calls ------------------------------------------------------------------------------------------

void FleetSimulation::ask_call() {
  if (!has_calls_) return;
  at(now_ + 1 + dice_.below(static_cast<std::int64_t>(2000.0 / shape_.calls_per_second)), [this] { ask_call(); });
  std::vector<std::string> daemons = names("data");
  const std::string daemon = daemons[static_cast<std::size_t>(dice_.below(static_cast<std::int64_t>(daemons.size())))];
  ++tally_.asked;
  CallIndex index = ++last_call_;
  CallRecord& call = calls_[index];
  call.begun = now_;
  call.daemon = daemon;
  Node& target = node(daemon);
  if (!target.is_up) return end_call(index, "no_daemon");
  ArrivingCall arriving;
  arriving.id.text = "call-" + std::to_string(index);
  arriving.method = "POST";
  auto kind = dice_.below(10);
  arriving.path = kind < 6 ? "/check" : kind < 8 ? "/homed" : "/record";
  call.is_repeatable = arriving.path == "/record";
  arriving.prefix = "opening " + std::to_string(dice_.below(40));
  if (arriving.path == "/homed") {
    call.home = dice_.chance(0.9) ? target.region : target.region == "north" ? "south" : "north";
    arriving.headers["x-home-region"] = call.home;
  }
  on_node(daemon, [this, arriving, index](Node& awake) {
    refresh_desk(awake);
    if (auto refusal = awake.desk->arrive(arriving, clock(awake), index)) {
      if (refusal->code == 421) end_call(index, "misdirected");
      else if (refusal->reason.find("proven current") != std::string::npos) end_call(index, "refused_no_grant");
      else if (refusal->code == 404 || refusal->code == 400) end_call(index, "refused");  // its plan is not there (yet)
      else end_call(index, "refused");
    }
    flush_desk(awake);
  });
}

void FleetSimulation::end_call(CallIndex index, const std::string& outcome) {
  CallRecord& call = calls_.at(index);
  if (call.is_over) return;
  call.is_over = true;
  if (outcome == "served") ++tally_.served;
  else if (outcome == "refused") ++tally_.refused;
  else if (outcome == "refused_no_grant") ++tally_.refused_no_grant;
  else if (outcome == "unknown") ++tally_.unknown;
  else if (outcome == "misdirected") ++tally_.misdirected;
  else ++tally_.no_daemon;
  if (outcome.rfind("refused", 0) == 0 || outcome == "misdirected") {
    call.was_refused = true;
    if (call.runs > 0 && !call.is_repeatable) broken("refused after it ran", std::to_string(index));
  }
}

void FleetSimulation::flush_desk(Node& target) {
  for (const auto& act : target.desk->take_sends()) run_send(target.name, act);
  for (const auto& act : target.desk->take_finals()) end_call(act.call, act.may_have_run ? "unknown" : "refused");
}

void FleetSimulation::run_send(const std::string& daemon, const SendAct& act) {
  Node& sender = node(daemon);
  const auto& view = *sender.data->view();
  // Rule: about 3 seconds after an acknowledged change, nothing is sent by an older plan.
  for (auto ack = acks_.rbegin(); ack != acks_.rend(); ++ack) {
    if (view.config_revision >= ack->second) break;
    std::int64_t late = now_ - ack->first;
    figures_.worst_old_plan_ms = std::max(figures_.worst_old_plan_ms, late);
    if (late > old_plan_limit)
      broken("an old plan still serves", daemon + " sends by config " + std::to_string(view.config_revision) + " " + std::to_string(late) + " ms after config " + std::to_string(ack->second));
  }
  for (const char* cause : {"leaving", "emptied"}) {
    auto barred = barred_since_.find({act.runner.text, cause});
    if (barred == barred_since_.end()) continue;
    std::int64_t late = now_ - barred->second;
    figures_.worst_leaving_ms = std::max(figures_.worst_leaving_ms, late);
    if (late > leaving_limit) broken("new work for a leaving runner", act.runner.text + " after " + std::to_string(late) + " ms");
  }
  Runner& runner = runners_.at(act.runner.text);
  CallRecord& call = calls_.at(act.call);
  if (!call.home.empty() && call.home != runner.region) broken("homed work abroad", act.runner.text + " for home " + call.home);
  Integer life = sender.life;
  auto finish = [this, daemon, life, index = act.call](SendEnd end) {
    on_node(daemon, [this, life, index, end](Node& awake) {
      if (awake.life != life) return;
      if (end.kind == SendEndKind::answered) end_call(index, "served");
      refresh_desk(awake);
      awake.desk->end_send(end, clock(awake));
      flush_desk(awake);
    });
  };
  std::int64_t wait = sender.region == runner.region ? 1 : shape_.far_delay;
  std::int64_t horizon = now_ + (act.horizon - clock(sender)).value;
  auto report = [this, index = act.call](const Runner& from, SendEndKind kind, const std::string& reason) {
    SendEnd end;
    end.call = index;
    end.kind = kind;
    end.reason = reason;
    end.has_report = kind == SendEndKind::answered || kind == SendEndKind::refused;
    end.incarnation = from.incarnation;
    end.burden = from.running;
    end.capacity = from.capacity;
    end.is_cold = from.is_cold(now_);
    return end;
  };
  bool is_vanished = is_cut(daemon, act.runner.text);
  at(now_ + wait, [this, act, wait, horizon, finish, report, is_vanished] {
    Runner& target = runners_.at(act.runner.text);
    if (is_vanished) {
      at(horizon, [finish, report, act, this] { finish(report(runners_.at(act.runner.text), SendEndKind::lost, "no answer within the horizon")); });
      return;
    }
    if (!target.is_up) return finish(report(target, SendEndKind::unsent, "no link"));
    if (act.incarnation != target.incarnation && !is_incarnation_check_off) {
      ++figures_.refused_by_runner;
      return finish(report(target, SendEndKind::refused, "incarnation"));
    }
    bool is_cold = target.is_cold(now_);
    if (is_cold && target.running + 1 > target.allowance) ++figures_.cold_peak_over;
    if (target.running >= (is_cold ? target.allowance : target.capacity)) {
      ++figures_.refused_by_runner;
      return finish(report(target, SendEndKind::refused, "full"));
    }
    ++target.running;
    CallRecord& record = calls_.at(act.call);
    ++record.runs;
    if (record.runs > 1 && !record.is_repeatable) broken("a call ran twice", act.id.text);
    if (record.was_refused && !record.is_repeatable) broken("a call ran after its refusal", act.id.text);
    Integer runner_life = target.life;
    std::int64_t service = target.service_ms * (is_cold ? 2 : 1) + dice_.below(20);
    at(now_ + service, [this, act, wait, horizon, finish, report, runner_life] {
      Runner& done = runners_.at(act.runner.text);
      if (done.life != runner_life) {
        later(wait, [this, act, finish, report] { finish(report(runners_.at(act.runner.text), SendEndKind::lost, "link broke")); });
        return;
      }
      --done.running;
      bool is_late = now_ + wait > horizon;
      auto end = report(done, is_late ? SendEndKind::lost : SendEndKind::answered, is_late ? "no answer within the horizon" : "");
      later(wait, [finish, end] { finish(end); });
    });
  });
}

void FleetSimulation::kill_runner(const std::string& name) {
  Runner& runner = runners_.at(name);
  runner.is_up = false;
  runner.running = 0;
  ++runner.life;
}

void FleetSimulation::start_runner(const std::string& name) {
  Runner& runner = runners_.at(name);
  if (runner.is_up) kill_runner(name);
  runner.is_up = true;
  ++runner.incarnation;
  runner.started = now_;
}

std::string FleetSimulation::add_daemon(const std::string& zone, const std::string& role) {
  std::string name = zone + (role == "core" ? "0-" : "") + std::to_string(100 + next_port_);
  auto made = std::make_unique<Node>();
  made->name = name;
  made->role = role;
  made->zone = zone;
  made->region = zone == "c" ? "south" : "north";
  made->address.text = "10.0.0." + std::to_string(next_port_++) + ":7000";
  made->clock = 1000000 + dice_.below(100000000);
  if (role == "core") made->files = std::make_shared<MemoryFileSystem>();
  by_address_[made->address] = name;
  nodes_[name] = std::move(made);
  start(name);
  return name;
}

// --- operators ---------------------------------------------------------------------------------------

std::shared_ptr<FleetSimulation::EditOutcome> FleetSimulation::edit(const std::string& where, const std::string& act, const std::string& kind,
                                                                   const std::string& name, const std::string& body, Integer expected) {
  auto outcome = std::make_shared<EditOutcome>();
  Node& target = node(where);
  if (!target.is_up || target.is_frozen || !target.control) {
    outcome->is_over = true;
    outcome->code = 503;
    return outcome;
  }
  EditAsk ask;
  ask.change = "change-" + std::to_string(++last_change_);
  ask.act = act;
  ask.kind = kind;
  ask.name = name;
  ask.expected = expected;
  ask.body = body;
  std::string change = ask.change;
  // An edit that frees a runner may take effect from now on, whatever is answered.
  bool is_bar = body.find("\"leaving\":true") != std::string::npos || body.find("emptied") != std::string::npos;
  if (!is_bar) {
    freed_at_[kind + "/" + name] = now_;
    if (kind == runners_kind) barred_since_.erase({name, "leaving"});
    if (kind == orders_kind)
      for (const auto& [runner_name, runner] : runners_)
        if (runner.zone == name) barred_since_.erase({runner_name, "emptied"});
  }
  target.control->edit(ask, [this, outcome, change, kind, name, is_bar](const EditAnswer& answer) {
    outcome->is_over = true;
    outcome->code = answer.code;
    outcome->version = answer.version;
    outcome->body = answer.body;
    if (answer.code != 200 && answer.code != 201) return;
    std::string resource = kind + "/" + name;
    auto [winner, is_new] = winners_.insert({{resource, answer.version}, change});
    if (!is_new && winner->second != change) broken("rivals both acknowledged", resource + " version " + std::to_string(answer.version));
    acked_versions_[resource] = std::max(acked_versions_[resource], answer.version);
    auto mark = answer.body.find("\"config_revision\":");
    Integer revision = mark == std::string::npos ? 0 : std::atoll(answer.body.c_str() + mark + 18);
    acked_revision_ = std::max(acked_revision_, revision);
    if (acks_.empty() || acks_.back().second < revision) acks_.push_back({now_, revision});
    // From now on a leaving runner, or one in an emptied zone, may get no new work (5 s).
    auto freed = freed_at_.find(resource);
    if (!is_bar || (freed != freed_at_.end() && now_ - freed->second < 12000)) return;
    if (kind == runners_kind) barred_since_.insert({{name, "leaving"}, now_});
    if (kind == orders_kind)
      for (const auto& [runner_name, runner] : runners_)
        if (runner.zone == name) barred_since_.insert({{runner_name, "emptied"}, now_});
  }, clock(target));
  flush(target);
  return outcome;
}

bool FleetSimulation::edit_until_done(const std::string& act, const std::string& kind, const std::string& name, const std::string& body, Span span) {
  std::int64_t end = now_ + span.value;
  while (now_ < end) {
    std::vector<std::string> able;
    for (const auto& [other, made] : nodes_)
      if (made->control && made->is_up && !made->is_frozen) able.push_back(other);
    if (able.empty()) return false;
    auto outcome = edit(able[static_cast<std::size_t>(dice_.below(static_cast<std::int64_t>(able.size())))], act, kind, name, body);
    run_until([&] { return outcome->is_over; }, Span{std::max<std::int64_t>(1, std::min<std::int64_t>(18000, end - now_))});
    if (outcome->code == 200 || outcome->code == 201) return true;
    run(Span{100});
  }
  return false;
}

std::shared_ptr<FleetSimulation::EditOutcome> FleetSimulation::replace_core(const std::string& where, const std::string& old_name, const std::string& new_name) {
  auto outcome = std::make_shared<EditOutcome>();
  Node& target = node(where);
  target.control->replace_core(node(old_name).address, node(new_name).address, [outcome](int code, const std::string&) {
    outcome->is_over = true;
    outcome->code = code;
  }, clock(target));
  flush(target);
  return outcome;
}

bool FleetSimulation::found() {
  run(Span{500});
  Node& first = node("a0");
  int code = 0;
  first.control->found("simulated", {node("a0").address, node("b0").address, node("c0").address}, [&](int answer, const std::string&) { code = answer; }, clock(first));
  flush(first);
  if (!run_until([&] { return code != 0; }, Span{5000}) || code != 201) return false;
  return run_until([&] { return !master().empty(); }, Span{15000});
}

bool FleetSimulation::declare() {
  int port = 20000;
  for (const auto& [name, runner] : runners_)
    if (!edit_until_done("put", runners_kind, name, runner_body(name, runner.pool, runner.zone, runner.region, ++port), Span{10000})) return false;
  for (const auto& [name, body] : std::map<std::string, std::string>{{"check", check_plan}, {"homed", homed_plan}, {"record", record_plan}})
    if (!edit_until_done("put", plans_kind, name, body, Span{10000})) return false;
  bool is_serving = run_until([&] { return serving_daemons() == static_cast<std::int64_t>(names("data").size()); }, Span{10000});
  if (!has_calls_ && shape_.calls_per_second > 0) {
    has_calls_ = true;
    ask_call();
  }
  return is_serving;
}

// --- what is seen --------------------------------------------------------------------------------------

std::string FleetSimulation::master() {
  std::string best;
  Integer reign = 0;
  for (auto& [name, made] : nodes_)
    if (made->control && made->is_up && !made->is_frozen && made->control->election().is_master() && made->control->election().reign() > reign) {
      reign = made->control->election().reign();
      best = name;
    }
  return best;
}

std::vector<std::string> FleetSimulation::names(const std::string& role) const {
  std::vector<std::string> list;
  for (const auto& [name, made] : nodes_)
    if (made->role == role) list.push_back(name);
  return list;
}

bool FleetSimulation::is_running(const std::string& name) const { return node(name).is_up && !node(name).is_frozen; }
ControlDaemon* FleetSimulation::control(const std::string& name) { return node(name).control.get(); }
DataDaemon* FleetSimulation::data(const std::string& name) { return node(name).data.get(); }
const CallDesk* FleetSimulation::desk(const std::string& name) { return node(name).desk.get(); }
Address FleetSimulation::address(const std::string& name) const { return node(name).address; }

std::vector<std::string> FleetSimulation::runner_names() const {
  std::vector<std::string> list;
  for (const auto& [name, runner] : runners_) list.push_back(name);
  return list;
}

std::int64_t FleetSimulation::serving_daemons() {
  std::int64_t count = 0;
  for (auto& [name, made] : nodes_)
    if (made->desk && made->is_up && !made->is_frozen && !made->data->view()->plans.empty() && made->desk->is_granted(clock(*made))) ++count;
  return count;
}

FleetSimulation::Figures FleetSimulation::figures() {
  Figures all = figures_;
  for (auto& [name, made] : nodes_) {
    if (made->desk) {
      all.sends += made->desk->counts().sends;
      all.retries += made->desk->counts().retries;
    }
    if (made->control) all.register_rounds += made->control->proposer().counts().rounds;
  }
  return all;
}

std::string FleetSimulation::why_silent() {
  std::string text;
  for (auto& [name, made] : nodes_) {
    text += name + (made->is_up ? made->is_frozen ? " frozen" : " up" : " down");
    if (made->control)
      text += " phase " + std::to_string(static_cast<int>(made->control->election().phase())) + " master " + made->control->election().master().text + " state " +
              std::to_string(made->control->proposer().state().version) + " roster " + std::to_string(made->control->proposer().state().roster.size()) + " map " +
              show(made->control->map().version) + " starved " + std::to_string(made->control->election().starved_rounds());
    if (made->data)
      text += " map " + show(made->data->view()->version) + " floor " + show(made->data->grant().floor) + " granted " +
              (made->desk->is_granted(clock(*made)) ? "yes" : "no");
    text += "\n";
  }
  return text;
}

}  // namespace emberdale
