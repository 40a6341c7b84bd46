#include "emberdale/fleet_simulation.hpp"

#include <algorithm>

#include "emberdale/avro_codec.hpp"

namespace emberdale {
namespace {
constexpr std::int64_t tick_ms = 25;
}

FleetSimulation::FleetSimulation(std::uint64_t seed, SimulationShape shape)
    : seed_(seed), shape_(std::move(shape)), random_(seed) {
  if (shape_.is_traced)
    trace_ = std::make_unique<TraceDigest>();
  network_.near_delay = shape_.near_delay;
  network_.far_delay = shape_.far_delay;
  load_generator_.rate = shape_.calls_per_second;
  std::size_t zone_index = 0;
  for (const std::string zone : {"a", "b", "c"}) {
    std::string region = zone == "c" ? "south" : "north";
    seeds_.push_back(add_node(zone + "0", zone, "core").address);
    for (int i = 1; i <= shape_.edges_per_zone; ++i) {
      add_node(zone + std::to_string(i), zone, "edge");
      add_node(zone + std::to_string(i) + "-data", zone, "data");
    }
    auto add_runner = [&](const std::string& name, const std::string& pool) -> SimulatedRunner& {
      SimulatedRunner& runner = runners_[name];
      runner.name = name;
      runner.zone = zone;
      runner.region = region;
      runner.pool = pool;
      return runner;
    };
    for (int i = 0; i < shape_.models[zone_index]; ++i)
      add_runner("model-" + zone + std::to_string(i + 1), "models");
    add_runner("record-" + zone, "records").capacity = 16;
    ++zone_index;
  }
  for (auto& [name, made] : nodes_)
    start(name);
}

FleetSimulation::~FleetSimulation() = default;

FleetSimulation::Node& FleetSimulation::add_node(const std::string& name, const std::string& zone,
                                                 const std::string& role) {
  auto made = std::make_unique<Node>();
  made->name = name;
  made->role = role;
  made->zone = zone;
  made->region = zone == "c" ? "south" : "north";
  made->address.text = "10.0.0." + std::to_string(next_port_++) + ":7000";
  made->clock = 1000000 + random_.below(100000000);
  if (role == "core")
    made->files = std::make_shared<MemoryFileSystem>();
  by_address_[made->address] = name;
  return *(nodes_[name] = std::move(made));
}

std::string FleetSimulation::add_daemon(const std::string& zone, const std::string& role) {
  std::string name = zone + (role == "core" ? "0-" : "") + std::to_string(100 + next_port_);
  add_node(name, zone, role);
  start(name);
  return name;
}

void FleetSimulation::at(std::int64_t when, std::function<void()> act) {
  events_.push({when, ++last_event_, std::move(act)});
}
void FleetSimulation::later(std::int64_t ms, std::function<void()> act) { at(now_ + ms, std::move(act)); }

void FleetSimulation::run(Duration span) {
  run_until([] { return false; }, span);
}

bool FleetSimulation::run_until(const std::function<bool()>& question, Duration span) {
  std::int64_t end = now_ + span.value;
  std::int64_t asked_at = -1;
  while (!events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.act();
    if (now_ != asked_at) {
      asked_at = now_;
      if (question())
        return true;
    }
  }
  now_ = end;
  return question();
}

// Runs an act on a node unless it is down; a frozen node does it when it wakes.
void FleetSimulation::on_node(const std::string& name, std::function<void(Node&)> act) {
  Node& target = node(name);
  if (!target.is_up)
    return;
  if (target.is_frozen) {
    std::int64_t incarnation = target.incarnation;
    target.while_frozen.push_back([this, name, incarnation, act] {
      Node& woken = node(name);
      if (woken.is_up && woken.incarnation == incarnation)
        act(woken);
    });
    return;
  }
  act(target);
}

void FleetSimulation::tick(const std::string& name, std::int64_t incarnation) {
  Node& target = node(name);
  if (!target.is_up || target.incarnation != incarnation)
    return;
  if (!target.is_frozen) {
    if (target.control) {
      target.control->set_wall_clock(wall_seconds == 0 ? 0 : wall_seconds + target.wall_offset + now_ / 1000);
      target.control->on_timer(clock(target));
    } else {
      target.data->on_timer(clock(target));
      refresh_dispatcher(target);
      target.dispatcher->on_timer(clock(target));
    }
    flush(target);
    if (target.is_stopping && target.dispatcher && target.dispatcher->open_calls() == 0)
      return kill(name);
  }
  at(now_ + tick_ms, [this, name, incarnation] { tick(name, incarnation); });
}

void FleetSimulation::refresh_dispatcher(Node& target) {
  // Two guards keep an old map from serving: the grant, and leaving homes that are outdated.
  target.data->keeps_outdated_owners = is_grant_check_off;
  target.dispatcher->set_grant(is_grant_check_off ? Grant{clock(target) + Duration{60000}, {}} : target.data->grant());
  auto view = target.data->view();
  if (is_mark_ignored) {
    auto misread = std::make_shared<RoutingView>(*view);
    for (auto& [name, row] : misread->runners)
      if (row.state == RunnerState::draining || row.state == RunnerState::evacuated)
        row.state = RunnerState::warm;
    view = misread;
  }
  target.dispatcher->update_view(view, clock(target));
}

void FleetSimulation::make_control(Node& made) {
  std::unique_ptr<RegisterAcceptor> acceptor;
  if (made.role == "core") {
    made.log = std::make_unique<SegmentedLog>(made.files, 1 << 16);
    auto opening = made.log->open("store-" + made.name + "-" + std::to_string(made.starts));
    if (!opening) {
      checker_.report_violation(now_, "disk", made.name + " can't open its log: " + opening.reason);
      return;
    }
    if (opening->was_corrupt)
      checker_.report_violation(now_, "disk", made.name + " reads corruption after a clean fault: " + opening->finding);
    acceptor = std::make_unique<RegisterAcceptor>(opening->store);
    auto restored = acceptor->restore(opening->records);
    if (!restored)
      checker_.report_violation(now_, "disk", made.name + ": " + restored.reason);
  }
  ControlDaemonSettings settings;
  settings.self = DaemonEntry{made.address,        "http-" + made.name,     *parse_daemon_role(made.role),
                              ZoneName{made.zone}, RegionName{made.region}, made.starts};
  settings.seeds = seeds_;
  settings.random_seed = seed_ * 1000003 + stable_hash(made.name) + static_cast<std::uint64_t>(made.starts);
  made.control = std::make_unique<ControlDaemon>(settings, std::move(acceptor));
  made.control->on_publish = [this, name = made.name](const PlacementMap& map) {
    ++figures_.maps_published;
    checker_.on_map_published(now_, name, map.version, encode_message(Message{PlacementUpdate{map, false}}));
  };
}

void FleetSimulation::start(const std::string& name) {
  Node& made = node(name);
  if (made.is_up)
    return;
  ++made.starts;
  ++made.incarnation;
  made.is_up = made.has_power = true;
  made.is_frozen = made.is_stopping = false;
  made.while_frozen.clear();
  made.to_write.clear();
  made.is_writing = false;
  checker_.on_restarted(name);
  if (made.role == "data") {
    DaemonEntry self{made.address,        "http-" + name,          DaemonRole::data,
                     ZoneName{made.zone}, RegionName{made.region}, made.starts};
    made.data =
        std::make_unique<DataDaemon>(self, seeds_, seed_ + stable_hash(name) + static_cast<std::uint64_t>(made.starts));
    DispatcherSettings settings;
    settings.self = made.address;
    settings.region.text = made.region;
    if (is_retry_budget_off)
      settings.retry_share = settings.retry_start = settings.retry_bound = 100000;
    made.dispatcher = std::make_unique<CallDispatcher>(settings);
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
  std::int64_t incarnation = made.incarnation;
  at(now_ + 1 + random_.below(tick_ms), [this, name, incarnation] { tick(name, incarnation); });
}

void FleetSimulation::stop(const std::string& name) {
  Node& target = node(name);
  if (!target.is_up || target.is_stopping)
    return;
  if (target.dispatcher) {
    target.is_stopping = true;
    later(8000, [this, name, incarnation = target.incarnation] {  // what hangs is not waited for
      if (node(name).incarnation == incarnation)
        kill(name);
    });
    target.dispatcher->close();
    refresh_dispatcher(target);
    flush_dispatcher(target);
    return;
  }
  target.control->stop(clock(target));
  flush(target);
  std::int64_t incarnation = target.incarnation;
  later(300, [this, name, incarnation] {
    if (node(name).incarnation == incarnation)
      kill(name);
  });
}

void FleetSimulation::kill(const std::string& name) {
  Node& target = node(name);
  if (!target.is_up)
    return;
  target.is_up = false;
  ++target.incarnation;
  for (auto& [index, call] : calls_)
    if (call.daemon == name && !call.is_finished)
      end_call(index, CallOutcome::no_daemon);
  if (target.dispatcher) {
    figures_.sends += target.dispatcher->counts().sends;
    figures_.retries += target.dispatcher->counts().retries;
  }
  target.control.reset();
  target.data.reset();
  target.dispatcher.reset();
  target.log.reset();
}

void FleetSimulation::power_cut(const std::string& name) {
  kill(name);
  Node& target = node(name);
  target.has_power = false;
  if (target.files) {
    target.files->is_off = true;
    target.files->power_on(random_);
  }
}

void FleetSimulation::wipe(const std::string& name) {
  if (node(name).files)
    node(name).files->wipe();
}

void FleetSimulation::freeze(const std::string& name) { node(name).is_frozen = true; }

void FleetSimulation::thaw(const std::string& name) {
  Node& target = node(name);
  if (!target.is_frozen)
    return;
  target.is_frozen = false;
  auto acts = std::exchange(target.while_frozen, {});
  for (auto& act : acts)
    act();
}

void FleetSimulation::cut_both(const std::string& one, const std::string& other) {
  cut(one, other);
  cut(other, one);
}

void FleetSimulation::repair_both(const std::string& one, const std::string& other) {
  network_.repair(one, other);
  network_.repair(other, one);
}

void FleetSimulation::isolate(const std::string& name) {
  for (const auto& [other, made] : nodes_)
    if (other != name)
      cut_both(name, other);
}

void FleetSimulation::set_clock_rate(const std::string& name, std::int64_t per_mille) {
  Node& target = node(name);
  target.clock = clock(target).value - now_;
  target.rate_since = now_;
  target.rate = per_mille;
}

void FleetSimulation::set_disk(const std::string& name, Disk disk) {
  Node& target = node(name);
  target.disk = disk;
  if (disk != Disk::stalled && target.is_up)
    start_writing(target);
}

// The disk of a core machine: what has gathered is written and synced together, after a while.
void FleetSimulation::start_writing(Node& target) {
  if (target.is_writing || target.to_write.empty() || !target.is_up)
    return;
  if (target.disk == Disk::stalled) {
    ++disk_fault_effects_;
    return;
  }
  target.is_writing = true;
  std::vector<LogWrite> batch = std::exchange(target.to_write, {});
  if (target.disk != Disk::good)
    disk_fault_effects_ += static_cast<std::int64_t>(batch.size());
  std::vector<std::string> records;
  for (auto& write : batch)
    records.push_back(write.record);
  for (const auto& record : records)
    trace(TraceEvent::disk_write, target.name, record);
  std::int64_t last = batch.back().token;
  std::string name = target.name;
  std::int64_t incarnation = target.incarnation;
  bool is_refused = target.disk == Disk::full || !target.log->append(records);
  if (is_sync_off && !is_refused)
    target.control->synced(last, clock(target));  // answers before it lies on the disk
  std::int64_t wait = (target.disk == Disk::slow ? 250 : shape_.disk_ms) + random_.below(3);
  at(now_ + wait, [this, name, incarnation, last, is_refused] {
    Node& woken = node(name);
    if (!woken.is_up || woken.incarnation != incarnation)
      return;
    if (is_refused) {
      woken.to_write.clear();  // all of it was thought out on top of the refused write
      woken.control->write_refused(last);
    } else if (woken.disk == Disk::sync_error) {
      woken.disk = Disk::good;
      power_cut(name);  // nothing is known of the disk: the daemon stops; a restart reads what is there
      return;
    } else {
      if (!is_sync_off)
        woken.log->sync();
      on_node(name, [this, last](Node& awake) {
        awake.control->synced(last, clock(awake));
        flush(awake);
      });
      if (!woken.is_frozen && woken.log->wants_snapshot()) {
        std::string picture = woken.control->acceptor()->snapshot();
        trace(TraceEvent::disk_snapshot, name, picture);
        woken.log->snapshot(picture);
      }
    }
    woken.is_writing = false;
    start_writing(woken);
  });
}

void FleetSimulation::deliver(const std::string& from, const Address& to, Message message) {
  auto target = by_address_.find(to);
  if (target == by_address_.end())
    return;
  const std::string name = target->second;
  auto wait = network_.travel(from, name, node(from).region == node(name).region, random_);
  if (!wait)
    return;
  Address sender = node(from).address;
  auto shared = std::make_shared<Message>(std::move(message));
  at(now_ + *wait, [this, name, from, sender, shared] {
    if (!node(name).is_up && node(name).has_power)
      return refuse_connection(from, name);
    on_node(name, [this, from, sender, shared](Node& awake) {
      ++figures_.messages_to[awake.name];
      if (trace_)
        trace(TraceEvent::message_delivered, from, awake.name, encode_message(*shared));
      if (awake.control) {
        awake.control->on_message(sender, *shared, clock(awake));
      } else {
        awake.data->on_message(sender, *shared, clock(awake));
        refresh_dispatcher(awake);
      }
      flush(awake);
    });
  });
}

// The machine is there and no process listens: it says so at once, unless the way back is cut.
void FleetSimulation::refuse_connection(const std::string& from, const std::string& name) {
  auto wait = network_.travel(name, from, node(from).region == node(name).region, random_);
  if (!wait || node(name).is_up)
    return;
  at(now_ + *wait, [this, from, incarnation = node(from).incarnation, gone = node(name).address] {
    on_node(from, [this, incarnation, gone](Node& awake) {
      if (awake.incarnation != incarnation)
        return;
      if (awake.control)
        awake.control->on_refused(gone, clock(awake));
      else
        awake.data->on_refused(gone, clock(awake));
      flush(awake);
    });
  });
}

void FleetSimulation::flush(Node& target) {
  std::string name = target.name;
  if (target.control) {
    for (auto& write : target.control->drain_writes())
      target.to_write.push_back(std::move(write));
    start_writing(target);
    for (auto& message : target.control->drain_outbound())
      deliver(name, message.to, std::move(message.message));
    for (auto& request : target.control->drain_probes())
      probe(target, request);
  } else if (target.data) {
    for (auto& message : target.data->drain_outbound())
      deliver(name, message.to, std::move(message.message));
    flush_dispatcher(target);
  }
  check_node(target);
}

void FleetSimulation::probe(Node& target, const ProbeRequest& probe) {
  auto entry = runners_.find(probe.runner.text);
  if (entry == runners_.end())
    return;
  bool is_there = entry->second.is_up && !entry->second.is_hung && !network_.is_cut(target.name, probe.runner.text);
  at(now_ + (entry->second.is_up ? (is_there ? 4 : 900) : 2),
     [this, name = target.name, incarnation = target.incarnation, is_there, runner = probe.runner.text] {
       on_node(name, [this, incarnation, is_there, runner](Node& awake) {
         if (awake.incarnation != incarnation)
           return;
         const SimulatedRunner& probed = runners_.at(runner);
         RunnerStatus status;
         status.name.text = runner;
         status.is_reachable = is_there && probed.is_up;
         status.is_warming_up = probed.is_warming_up(now_);
         status.incarnation = probed.incarnation;
         status.capacity = probed.capacity;
         status.load = probed.running;
         status.allowance = probed.allowance;
         trace(TraceEvent::probe_answered, awake.name, runner, status.is_reachable, status.is_warming_up,
               status.incarnation, status.load);
         awake.control->on_probe(status, clock(awake));
         flush(awake);
       });
     });
}

void FleetSimulation::check_node(Node& target) {
  if (target.control && target.control->proposer().has_state()) {
    const FleetState& state = target.control->proposer().state();
    if (checker_.is_new_version(target.name, state.version))
      checker_.on_state(now_, target.name, state, encode_state(state));
  }
  if (target.data)
    checker_.on_map_applied(now_, target.name, target.data->view()->version);
}

// --- what is seen --------------------------------------------------------------------------------------

std::string FleetSimulation::master() {
  std::string best;
  std::int64_t term = 0;
  for (auto& [name, made] : nodes_)
    if (made->control && made->is_up && !made->is_frozen && made->control->election().is_master() &&
        made->control->election().term() > term) {
      term = made->control->election().term();
      best = name;
    }
  return best;
}

std::vector<std::string> FleetSimulation::names(const std::string& role) const {
  std::vector<std::string> list;
  for (const auto& [name, made] : nodes_)
    if (made->role == role)
      list.push_back(name);
  return list;
}

bool FleetSimulation::is_running(const std::string& name) const { return node(name).is_up && !node(name).is_frozen; }
ControlDaemon* FleetSimulation::control(const std::string& name) { return node(name).control.get(); }
DataDaemon* FleetSimulation::data(const std::string& name) { return node(name).data.get(); }
const CallDispatcher* FleetSimulation::dispatcher(const std::string& name) { return node(name).dispatcher.get(); }
Address FleetSimulation::address(const std::string& name) const { return node(name).address; }

std::vector<std::string> FleetSimulation::runner_names() const {
  std::vector<std::string> list;
  for (const auto& [name, runner] : runners_)
    list.push_back(name);
  return list;
}

std::int64_t FleetSimulation::serving_daemons() {
  std::int64_t count = 0;
  for (auto& [name, made] : nodes_)
    if (made->dispatcher && made->is_up && !made->is_frozen && !made->data->view()->plans.empty() &&
        made->dispatcher->is_granted(clock(*made)))
      ++count;
  return count;
}

FleetSimulation::Figures FleetSimulation::figures() {
  Figures all = figures_;
  all.messages = network_.sent();
  all.warmup_peak_over = checker_.warmup_excess();
  all.worst_old_plan_ms = checker_.worst_old_plan_ms();
  all.worst_leaving_ms = checker_.worst_leaving_ms();
  all.worst_notification_ms = checker_.worst_notification_ms();
  for (auto& [name, made] : nodes_) {
    if (made->dispatcher) {
      all.sends += made->dispatcher->counts().sends;
      all.retries += made->dispatcher->counts().retries;
    }
    if (made->control)
      all.register_rounds += made->control->proposer().counts().rounds;
  }
  return all;
}

std::string FleetSimulation::trace_digest() {
  if (!trace_)
    return "";
  trace(TraceEvent::totals, call_counters_.arrived, call_counters_.served, call_counters_.refused,
        call_counters_.refused_no_grant, call_counters_.unknown, call_counters_.no_daemon, call_counters_.misdirected,
        call_counters_.avoidable);
  Figures all = figures();
  trace(TraceEvent::totals, all.messages, all.sends, all.retries, all.warmup_peak_over, all.refused_by_runner,
        all.worst_old_plan_ms, all.worst_leaving_ms, all.worst_notification_ms, all.maps_published, all.register_rounds,
        network_.cut_off(), network_.lost(), network_.delayed(), disk_fault_effects_);
  for (const auto& violation : checker_.violations())
    trace(TraceEvent::totals, violation.at);
  return trace_->digest();
}

std::string FleetSimulation::why_silent() {
  std::string text;
  for (auto& [name, made] : nodes_) {
    text += name + (made->is_up ? made->is_frozen ? " frozen" : " up" : " down");
    if (made->control)
      text += " phase " + std::to_string(static_cast<int>(made->control->election().phase())) + " master " +
              made->control->election().master().text + " state " +
              std::to_string(made->control->proposer().state().version) + " roster " +
              std::to_string(made->control->proposer().state().roster.size()) + " map " +
              show(made->control->map().version) + " starved " +
              std::to_string(made->control->election().rounds_without_quorum());
    if (made->data)
      text += " map " + show(made->data->view()->version) + " floor " + show(made->data->grant().minimum_version) +
              " granted " + (made->dispatcher->is_granted(clock(*made)) ? "yes" : "no");
    text += "\n";
  }
  return text;
}

}  // namespace emberdale
