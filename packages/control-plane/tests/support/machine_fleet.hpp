// Machines that each run one control process, under virtual time: a harness for tests of whole fleets.
// Links, cuts, frozen processes and disks in memory; every run of one seed is the same.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "emberdale/avro_codec.hpp"
#include "emberdale/control_daemon.hpp"
#include "emberdale/segmented_log.hpp"

namespace emberdale {

struct Machine {
  std::string name;
  Address address;
  ZoneName zone;
  std::vector<Address> seeds;
  std::shared_ptr<MemoryFileSystem> files = std::make_shared<MemoryFileSystem>();
  std::unique_ptr<SegmentedLog> log;
  std::unique_ptr<ControlDaemon> control;
  std::vector<LogWrite> to_write;
  std::vector<std::function<void()>> requests;  // of operators, in the sockets of a frozen process
  std::int64_t clock = 0;
  std::int64_t disk_delay = 0;  // on top of the few milliseconds that each sync takes
  int starts = 0, incarnation = 0, bootstraps = 0;
  bool has_disk = true;  // without one it keeps no replica
  bool is_up = false, has_power = true, is_writing = false, is_frozen = false;
  bool keeps_what_comes = false;  // while frozen: messages wait in its buffers, and are taken in when it wakes
  std::vector<std::function<void()>> buffered;
  std::int64_t disk_slowness = 1;  // a write takes so many times as long
  std::int64_t received = 0;       // bytes of messages from others
};

struct EditOutcome {
  bool is_over = false;
  std::int64_t code = 0;
  std::string name;
  std::int64_t asked = 0, over = 0;
  bool is_acknowledged() const { return code == 200 || code == 201; }
};

// Example:
//   MachineFleet fleet(7); fleet.add("a", 3); fleet.start("a0", true); fleet.run(1000);
//   fleet.power_cut("a0"); fleet.run_until([&] { return !fleet.master().empty(); }, 6000);
class MachineFleet {
 public:
  explicit MachineFleet(std::uint64_t seed) : seed_(seed), random_(seed) {}

  double loss = 0;
  std::int64_t delay = 1;
  std::size_t segment_bound = 1 << 15;
  std::function<void(ControlDaemonSettings&)> adjust;  // settings of machines that start from now on
  bool counts_bytes = false;
  // Sees each message as it is sent. Example: fleet.on_send = [&](const std::string& from, const Address& to, const
  // Message& message) { ... };
  std::function<void(const std::string&, const Address&, const Message&)> on_send;
  std::int64_t sync_time = 2;  // of a disk, and as much again at random
  EditTimes edit_times;        // of machines that start from now on
  ElectionTimes election;
  bool holds_frames = false;  // frames that meet a cut or a frozen process come later, and are not lost

  Machine& at(const std::string& name) { return *machines_.at(name); }
  std::int64_t now() const { return now_; }
  TimePoint clock(const Machine& made) const { return TimePoint{now_ + made.clock}; }

  void add(const std::string& name, const std::string& zone, bool is_seed) {
    auto made = std::make_unique<Machine>();
    made->name = name;
    made->zone.text = zone;
    made->address.text = "10.0.0." + std::to_string(10 + machines_.size()) + ":7000";
    made->clock = 1000000 + random_.below(100000000);
    by_address_[made->address] = name;
    if (is_seed)
      seeds_.push_back(made->address);
    else if (!running().empty())
      set_seeds(*made);
    machines_[name] = std::move(made);
  }

  // Three machines are seeds; the zones are a, b, c in turn.
  std::vector<std::string> add_many(int count) {
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i) {
      std::string zone(1, static_cast<char>('a' + i % 3));
      names.push_back(zone + std::to_string(i / 3));
      add(names.back(), zone, i < 3);
    }
    return names;
  }

  void start(const std::string& name, bool bootstraps_itself) {
    Machine& made = at(name);
    if (made.is_up)
      return;
    made.is_up = made.has_power = true;
    made.is_writing = made.is_frozen = false;
    made.to_write.clear();
    ++made.starts;
    int incarnation = ++made.incarnation;
    made.log = std::make_unique<SegmentedLog>(made.files, segment_bound);
    auto opening = made.log->open("store-" + name + "-" + std::to_string(made.starts));
    ASSERT_TRUE(opening) << opening.reason;
    ASSERT_FALSE(opening->was_corrupt) << opening->finding;
    auto acceptor = std::make_unique<RegisterAcceptor>(opening->store);
    auto restored = acceptor->restore(opening->records);
    ASSERT_TRUE(restored) << restored.reason;
    ControlDaemonSettings settings;
    settings.self =
        DaemonEntry{made.address, "http-" + name, DaemonRole::edge, made.zone, RegionName{"north"}, made.starts};
    settings.seeds = made.seeds.empty() ? seeds_ : made.seeds;
    settings.random_seed = seed_ * 1000003 + stable_hash(name) + static_cast<std::uint64_t>(made.starts);
    settings.bootstraps_itself = bootstraps_itself;
    settings.reconciles_membership = true;
    settings.acknowledges_at_once = true;
    if (adjust)
      adjust(settings);
    settings.edit_times = edit_times;
    settings.election = election;
    settings.membership = membership;
    made.control = std::make_unique<ControlDaemon>(settings, made.has_disk ? std::move(acceptor) : nullptr);
    made.control->journal().on_event = [this, &made](const JournalEvent& event) {
      if (event.kind == "founded")
        ++made.bootstraps;
      story_ += std::to_string(now_) + " " + made.name + " " + event.kind + " " + event.detail + "\n";
    };
    made.control->start(clock(made));
    flush(made);
    later(1 + random_.below(25), [this, name, incarnation] { tick(name, incarnation); });
  }

  // Who comes later is told of machines that run. Example: fleet.set_seeds(fleet.at("new"))
  void set_seeds(Machine& made) {
    made.seeds.clear();
    for (const auto& name : running())
      if (made.seeds.size() < 3)
        made.seeds.push_back(at(name).address);
  }

  void kill(const std::string& name) {
    Machine& made = at(name);
    if (!made.is_up)
      return;
    made.is_up = false;
    ++made.incarnation;
    made.control.reset();
    made.log.reset();
  }

  // A clean stop: the process has a while for what it holds, and ends. Example: fleet.stop("a0", 300)
  void stop(const std::string& name, std::int64_t patience) {
    Machine& made = at(name);
    made.control->stop(clock(made));
    flush(made);
    later(patience, [this, name, incarnation = made.incarnation] {
      Machine& ending = at(name);
      if (!ending.is_up || ending.incarnation != incarnation)
        return;
      ending.control->end_all_requests(clock(ending));
      flush(ending);
      kill(name);
    });
  }

  // Asked to end in order (SIGTERM): it ends once it is ready, and a moment for its last answers has passed.
  void stop(const std::string& name) {
    Machine& made = at(name);
    if (!made.is_up)
      return;
    made.control->stop(clock(made));
    flush(made);
    end_when_ready(name, made.incarnation);
  }

  // What was not synced is gone, or torn; nobody refuses links there. Example: fleet.power_cut("a0")
  void power_cut(const std::string& name) {
    kill(name);
    at(name).has_power = false;
    at(name).files->is_off = true;
    at(name).files->power_on(random_);
  }

  void wipe(const std::string& name) { at(name).files->wipe(); }
  // Once it runs again, what waited in its sockets is read before or after its next timer, as chance has it.
  void freeze(const std::string& name, bool is_frozen) {
    Machine& made = at(name);
    made.is_frozen = is_frozen;
    if (is_frozen)
      return;
    for (auto& act : std::exchange(made.buffered, {}))
      act();
    for (auto& request : std::exchange(made.requests, {}))
      later(random_.below(60), std::move(request));
    release_frames();
  }

  // Acts on one daemon, and sends what it wishes for.
  // Example: fleet.act("a0", [&](ControlDaemon& daemon, TimePoint now) { daemon.read(done, now); });
  void act(const std::string& name, const std::function<void(ControlDaemon&, TimePoint)>& does) {
    Machine& made = at(name);
    does(*made.control, clock(made));
    flush(made);
  }

  void cut_zone(const std::string& zone) { cut_zone_ = zone; }
  void cut_connection(const std::string& one, const std::string& other) {
    cuts_.insert({one, other});
    cuts_.insert({other, one});
  }
  // What `from` sends to `to` is lost; what comes the other way arrives.
  void cut_one_way(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void heal() {
    cut_zone_.clear();
    cuts_.clear();
    release_frames();
  }

  void later(std::int64_t ms, std::function<void()> act) { events_.push({now_ + ms, ++last_event_, std::move(act)}); }

  void run(std::int64_t ms) {
    run_until([] { return false; }, ms);
  }

  bool run_until(const std::function<bool()>& question, std::int64_t ms) {
    std::int64_t end = now_ + ms;
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.act();
      if (question())
        return true;
    }
    now_ = end;
    return question();
  }

  // --- what is seen -----------------------------------------------------------------------------
  std::string master() const {
    std::string best;
    std::int64_t term = 0;
    for (const auto& [name, made] : machines_)
      if (made->is_up && !made->is_frozen && made->control->election().is_master() &&
          made->control->election().term() > term) {
        term = made->control->election().term();
        best = name;
      }
    return best;
  }

  std::vector<std::string> running() const {
    std::vector<std::string> names;
    for (const auto& [name, made] : machines_)
      if (made->is_up && !made->is_frozen)
        names.push_back(name);
    return names;
  }

  const FleetState& state(const std::string& name) { return at(name).control->proposer().state(); }

  // Whether that daemon's state names just these machines' stores, as they are, as the set.
  bool has_set(const std::string& seen_by, std::vector<std::string> names) {
    if (!at(seen_by).is_up)
      return false;
    const FleetState& shown = state(seen_by);
    if (!shown.next_acceptors.empty() || shown.acceptors.size() != names.size())
      return false;
    return std::all_of(names.begin(), names.end(), [&](const std::string& name) {
      return std::any_of(shown.acceptors.begin(), shown.acceptors.end(), [&](const auto& entry) {
        return entry.address == at(name).address &&
               (!at(name).is_up || at(name).control->acceptor()->store() == entry.store);
      });
    });
  }

  // What the set has to bear, for machines that start from now on.
  MembershipPolicy membership;

  // The set is as the policy wants it among these machines: of odd size, and of the wanted one if there are enough.
  bool has_wanted_set(const std::string& seen_by, const std::vector<std::string>& names) {
    if (!at(seen_by).is_up)
      return false;
    std::size_t size = std::min(membership.wanted_members(), names.size());
    size -= size > 3 && size % 2 == 0 ? 1 : 0;
    std::vector<std::string> members;
    for (const auto& name : names)
      for (const auto& entry : state(seen_by).acceptors)
        if (entry.address == at(name).address)
          members.push_back(name);
    return members.size() == size && has_set(seen_by, members);
  }

  // A machine outside the set holds the newest value all the same.
  bool is_synced_learner(const std::string& name, const std::string& seen_by) {
    const RegisterAcceptor* acceptor = at(name).control->acceptor();
    return acceptor != nullptr && acceptor->accepted() == at(seen_by).control->proposer().ballot();
  }

  bool is_member(const std::string& name, const std::string& seen_by) {
    const auto& set = state(seen_by).acceptors;
    return std::any_of(set.begin(), set.end(), [&](const auto& entry) { return entry.address == at(name).address; });
  }

  // The newest state that any running daemon knows.
  const FleetState& newest_state() {
    const FleetState* newest = nullptr;
    for (const auto& name : running())
      if (newest == nullptr || newest->version < state(name).version)
        newest = &state(name);
    return *newest;
  }

  // Whether a majority of the set, and of the next one while it is joined, runs on the stores that it names.
  bool has_living_majority() {
    std::set<StoreId> living;
    for (const auto& name : running())
      if (at(name).control->acceptor() != nullptr)
        living.insert(at(name).control->acceptor()->store());
    const FleetState& newest = newest_state();
    return has_majority(newest.acceptors, newest.next_acceptors, living);
  }

  // One master, known to all of these; one set of the wanted size, known to all; and who is not in it is synced.
  bool is_settled(const std::vector<std::string>& names) {
    std::string leader = master();
    if (leader.empty())
      return false;
    return std::all_of(names.begin(), names.end(), [&](const auto& name) {
      return has_wanted_set(name, names) && state(name).version == state(leader).version &&
             (name == leader || at(name).control->election().master() == at(leader).address) &&
             (is_member(name, leader) || is_synced_learner(name, leader));
    });
  }

  int bootstraps() const {
    int count = 0;
    for (const auto& [name, made] : machines_)
      count += made->bootstraps;
    return count;
  }

  std::shared_ptr<EditOutcome> edit(const std::string& where) {
    EditRequest edit_request;
    edit_request.action = EditAction::put;
    edit_request.kind = "runners";
    edit_request.expected_version = -1;
    edit_request.name = "runner-" + std::to_string(last_edit_ + 1);
    edit_request.body = R"({"address":"127.0.0.1:)" + std::to_string(20001 + last_edit_) +
                        R"(","pool":"models","zone":"a","region":"north","seal_key":"k"})";
    return request(where, std::move(edit_request));
  }

  // An operator's order for a zone. Example: fleet.order("a0", "a", true)
  std::shared_ptr<EditOutcome> order(const std::string& where, const std::string& zone, bool is_evacuated) {
    EditRequest edit_request;
    edit_request.action = EditAction::ensure;
    edit_request.kind = "zone-orders";
    edit_request.expected_version = -1;
    edit_request.name = zone;
    edit_request.body = is_evacuated ? R"({"state":"emptied"})" : R"({"state":"serving"})";
    return request(where, std::move(edit_request));
  }

  // A runner is marked as leaving, or as staying. Example: fleet.mark_runner("a0", "runner-1", true)
  std::shared_ptr<EditOutcome> mark_runner(const std::string& where, const std::string& runner, bool is_leaving) {
    EditRequest edit_request;
    edit_request.action = EditAction::patch;
    edit_request.kind = "runners";
    edit_request.expected_version = -1;
    edit_request.name = runner;
    edit_request.body = is_leaving ? R"({"leaving":true})" : R"({"leaving":false})";
    return request(where, std::move(edit_request));
  }

  // Any edit. To a frozen process it comes once that runs again.
  std::shared_ptr<EditOutcome> request(const std::string& where, EditRequest edit_request) {
    edit_request.change_id = "change-" + std::to_string(++last_edit_);
    auto outcome = std::make_shared<EditOutcome>();
    outcome->name = edit_request.name;
    outcome->asked = now_;
    if (at(where).is_frozen)
      at(where).requests.push_back(
          [this, where, edit_request, outcome] { take_request(where, edit_request, outcome); });
    else
      take_request(where, edit_request, outcome);
    return outcome;
  }

  // The body of a resource as that daemon's state shows it, without white space.
  // Example: fleet.body_of("a0", "zone-orders", "a") == R"({"state":"emptied"})"
  std::string body_of(const std::string& seen_by, const std::string& kind, const std::string& name) {
    for (const auto& resource : state(seen_by).resources)
      if (resource.kind == kind && resource.name == name) {
        std::string body = resource.body;
        body.erase(std::remove_if(body.begin(), body.end(), [](unsigned char sign) { return std::isspace(sign) != 0; }),
                   body.end());
        return body;
      }
    return "";
  }

  // Asked at any running machine, or at one alone, until one is acknowledged. Example: fleet.edit_until_done(8000)
  bool edit_until_done(std::int64_t ms, const std::string& where = "") {
    std::int64_t end = now_ + ms;
    while (now_ < end) {
      auto names = running();
      if (names.empty())
        return false;
      if (!where.empty())
        names = {where};
      auto outcome = edit(names[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(names.size())))]);
      run_until([&] { return outcome->is_over; }, end - now_);
      if (outcome->is_acknowledged())
        return true;
      run(50);
    }
    return false;
  }

  // All that was acknowledged is in a state that a majority confirms now, and no two daemons ever held two
  // states of one version.
  void expect_nothing_lost(const std::string& where) {
    std::shared_ptr<FleetState> shown;
    for (int tries = 0; tries < 5 && !shown; ++tries) {
      at(where).control->read(
          [&shown](const FleetState* read) {
            if (read != nullptr)
              shown = std::make_shared<FleetState>(*read);
          },
          clock(at(where)));
      flush(at(where));
      run_until([&] { return shown != nullptr; }, 2500);
    }
    ASSERT_TRUE(shown) << story();
    std::set<std::string> held;
    for (const auto& resource : shown->resources)
      held.insert(resource.name);
    for (const auto& name : acknowledged_)
      EXPECT_EQ(held.count(name), 1u) << name << " was acknowledged and is gone\n" << story();
    EXPECT_TRUE(split_.empty()) << split_ << story();
  }

  // What happened so far and how each daemon stands, to read after a break.
  std::string story() {
    std::string text = "at " + std::to_string(now_) + "\n" + story_;
    for (const auto& [name, made] : machines_) {
      text += name + " " + made->address.text + (made->is_up ? made->is_frozen ? " frozen" : " up" : " down");
      if (made->is_up) {
        const auto& election = made->control->election();
        text += " phase " + std::to_string(static_cast<int>(election.phase())) + " master " + election.master().text +
                " starved " + std::to_string(election.rounds_without_quorum()) + " state " +
                std::to_string(state(name).version) + " map " + show(made->control->map().version) + " roster " +
                std::to_string(state(name).roster.size()) + " set";
        for (const auto& entry : state(name).acceptors)
          text += " " + entry.address.text + "=" + entry.store.text;
        for (const auto& entry : state(name).next_acceptors)
          text += " next " + entry.address.text + "=" + entry.store.text;
      }
      text += "\n";
    }
    return text;
  }
  RandomGenerator& random() { return random_; }
  std::size_t acknowledged() const { return acknowledged_.size(); }

  // Lets something be asked of a daemon at its own time. Example: fleet.ask("a0", [&](auto& daemon, TimePoint now)
  // {..});
  void ask(const std::string& where, const std::function<void(ControlDaemon&, TimePoint)>& act) {
    Machine& target = at(where);
    act(*target.control, clock(target));
    flush(target);
  }

 private:
  struct Event {
    std::int64_t at, number;
    std::function<void()> act;
    bool operator<(const Event& other) const { return std::tie(other.at, other.number) < std::tie(at, number); }
  };

  void tick(const std::string& name, int incarnation) {
    Machine& made = at(name);
    if (!made.is_up || made.incarnation != incarnation)
      return;
    if (!made.is_frozen) {
      made.control->on_timer(clock(made));
      flush(made);
    }
    later(25, [this, name, incarnation] { tick(name, incarnation); });
  }

  void end_when_ready(const std::string& name, int incarnation) {
    Machine& made = at(name);
    if (!made.is_up || made.incarnation != incarnation)
      return;
    if (made.control->is_ready_to_end())
      later(300, [this, name, incarnation] {
        if (at(name).incarnation == incarnation)
          kill(name);
      });
    else
      later(20, [this, name, incarnation] { end_when_ready(name, incarnation); });
  }

  bool is_cut(const Machine& from, const Machine& to) const {
    if (&from == &to)
      return false;
    if (!cut_zone_.empty() && (from.zone.text == cut_zone_) != (to.zone.text == cut_zone_))
      return true;
    return cuts_.count({from.name, to.name}) != 0;
  }

  void deliver(const std::string& from, const Address& to, Message message) {
    if (on_send)
      on_send(from, to, message);
    auto target = by_address_.find(to);
    if (target == by_address_.end())
      return;
    const std::string name = target->second;
    if (is_cut(at(from), at(name))) {
      if (holds_frames)
        held_.push_back({from, to, std::move(message)});
      return;
    }
    if (from != name && random_.chance(loss))
      return;
    std::int64_t wait = from == name ? 0 : delay + random_.below(delay + 1);
    Address sender = at(from).address;
    auto shared = std::make_shared<Message>(std::move(message));
    later(wait, [this, name, from, sender, shared, to] {
      Machine& awake = at(name);
      if (!awake.is_up) {
        if (awake.has_power && !is_cut(awake, at(from)) && at(from).is_up && !at(from).is_frozen) {
          at(from).control->on_refused(to, clock(at(from)));
          flush(at(from));
        }
        return;
      }
      if (awake.is_frozen && holds_frames) {
        held_.push_back({from, to, std::move(*shared)});
        return;
      }
      if (awake.is_frozen && !awake.keeps_what_comes)
        return;  // its buffers are small
      if (counts_bytes && from != name)
        awake.received += static_cast<std::int64_t>(encode_message(*shared).size());
      auto take_in = [this, name, sender, shared, incarnation = awake.incarnation] {
        Machine& made = at(name);
        if (!made.is_up || made.incarnation != incarnation)
          return;
        made.control->on_message(sender, *shared, clock(made));
        flush(made);
      };
      if (awake.is_frozen)
        awake.buffered.push_back(take_in);
      else
        take_in();
    });
  }

  struct HeldFrame {
    std::string from;
    Address to;
    Message message;
  };

  // Those that still meet a cut are held again.
  void release_frames() {
    for (auto& frame : std::exchange(held_, {}))
      deliver(frame.from, frame.to, std::move(frame.message));
  }

  void take_request(const std::string& where, const EditRequest& edit_request,
                    const std::shared_ptr<EditOutcome>& outcome) {
    Machine& target = at(where);
    if (!target.is_up)
      return;
    target.control->edit(
        edit_request,
        [this, outcome](const EditResponse& response) {
          outcome->is_over = true;
          outcome->code = response.code;
          outcome->over = now_;
          if (outcome->is_acknowledged())
            acknowledged_.insert(outcome->name);
        },
        clock(target));
    flush(target);
  }

  void flush(Machine& made) {
    for (auto& write : made.control->drain_writes())
      made.to_write.push_back(std::move(write));
    start_writing(made);
    for (auto& outbound : made.control->drain_outbound())
      deliver(made.name, outbound.to, std::move(outbound.message));
    made.control->drain_probes();
    if (!made.control->proposer().has_state())
      return;
    const FleetState& shown = state(made.name);
    if (seen_[made.name] == shown.version)
      return;
    seen_[made.name] = shown.version;
    auto [entry, is_new] = versions_.insert({shown.version, encode_state(shown)});
    if (!is_new && entry->second != encode_state(shown))
      split_ += made.name + " holds another version " + std::to_string(shown.version) + "\n";
  }

  void start_writing(Machine& made) {
    if (made.is_writing || made.to_write.empty())
      return;
    made.is_writing = true;
    std::vector<LogWrite> batch = std::exchange(made.to_write, {});
    std::vector<std::string> records;
    for (auto& write : batch)
      records.push_back(write.record);
    ASSERT_TRUE(made.log->append(records));
    later((sync_time + random_.below(sync_time + 1)) * made.disk_slowness + made.disk_delay,
          [this, name = made.name, incarnation = made.incarnation, last = batch.back().token] {
            Machine& awake = at(name);
            if (!awake.is_up || awake.incarnation != incarnation)
              return;
            ASSERT_TRUE(awake.log->sync());
            awake.control->synced(last, clock(awake));
            if (awake.log->wants_snapshot())
              awake.log->snapshot(awake.control->acceptor()->picture());
            awake.is_writing = false;
            flush(awake);
          });
  }

  std::uint64_t seed_;
  RandomGenerator random_;
  std::int64_t now_ = 0, last_event_ = 0;
  std::priority_queue<Event> events_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::map<Address, std::string> by_address_;
  std::vector<Address> seeds_;
  std::string cut_zone_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::vector<HeldFrame> held_;
  int last_edit_ = 0;
  std::set<std::string> acknowledged_;
  std::map<std::string, std::int64_t> seen_;
  std::map<std::int64_t, std::string> versions_;
  std::string split_, story_;
};

// More of them by hand: EMBERDALE_SEEDS=1000 one-process-test
inline const std::uint64_t seeds =
    std::getenv("EMBERDALE_SEEDS") == nullptr ? 30 : std::strtoull(std::getenv("EMBERDALE_SEEDS"), nullptr, 10);

// A fleet of so many machines, founded and led.
inline std::vector<std::string> bring_up(MachineFleet& fleet, int count) {
  fleet.membership.lost_machines = count <= 3 ? 1 : count <= 6 ? 2 : 3;
  auto names = fleet.add_many(count);
  for (const auto& name : names)
    fleet.start(name, true);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, count <= 6 ? 4000 : 8000)) << fleet.story();
  EXPECT_TRUE(fleet.edit_until_done(4000)) << fleet.story();
  fleet.run(fleet.random().below(1000));
  return names;
}

}  // namespace emberdale
