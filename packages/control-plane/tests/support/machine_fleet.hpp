// Machines that each run one control process, under virtual time: a harness for tests of whole fleets, with cut
// connections, frozen processes, power cuts and disks in memory. All runs of one seed are the same. Without I/O,
// clock or threads.
#pragma once
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "connection_cuts.hpp"
#include "event_queue.hpp"
#include "machine.hpp"

namespace emberdale {

// Example:
//   MachineFleet fleet(7);
//   auto names = fleet.add_many(3);
//   for (const auto& name : names)
//     fleet.start(name, true);
//   fleet.run_until([&] { return fleet.is_settled(names); }, 4000);
//   fleet.power_cut("a0");
class MachineFleet {
 public:
  explicit MachineFleet(std::uint64_t seed) : seed_(seed), random_(seed) {}

  // The network.
  double loss = 0;                   // the probability that a message is lost
  std::int64_t delay = 1;            // of a message in milliseconds; up to twice as long at random
  bool retains_undelivered = false;  // messages that meet a cut or a frozen process come later, and are not lost
  bool counts_bytes = false;
  // Called with each message as it is sent.
  std::function<void(const std::string& from, const Address& to, const Message&)> on_send;

  // Of disks: how long a sync takes in milliseconds; up to twice as long at random.
  std::int64_t sync_ms = 2;
  std::size_t segment_bound = 1 << 15;

  // Settings of machines that start from now on.
  EditTimes edit_times;
  ElectionTimes election;
  MembershipPolicy membership;
  std::function<void(ControlDaemonSettings&)> adjust_settings;

  // --- time ------------------------------------------------------------------------------------------
  std::int64_t now() const { return events_.now(); }
  // The machine's own clock.
  TimePoint clock(const Machine& machine) const { return TimePoint{now() + machine.clock_offset_ms}; }
  void later(std::int64_t delay_ms, std::function<void()> action) { events_.schedule(delay_ms, std::move(action)); }
  void run(std::int64_t duration_ms) { events_.run_for(duration_ms); }
  // Runs until the condition holds, for the given time at most; says whether it holds.
  bool run_until(const std::function<bool()>& condition, std::int64_t duration_ms) {
    return events_.run_until(condition, duration_ms);
  }
  RandomGenerator& random() { return random_; }

  // --- machines --------------------------------------------------------------------------------------
  Machine& at(const std::string& name) { return *machines_.at(name); }
  void add(const std::string& name, const std::string& zone, bool is_seed);
  // Adds machines named by their zone and a number; the zones are a, b, c in turn. The first three are seeds.
  std::vector<std::string> add_many(int count);
  // Gives a machine the addresses of up to three that run as its seeds.
  void set_seeds(Machine& machine);
  void start(const std::string& name, bool bootstraps_itself);
  // Ends the process at once. What it has synced is kept.
  void kill(const std::string& name);
  // Ends the process in order (SIGTERM), as soon as it is ready to.
  void stop(const std::string& name);
  // Ends the process in order, after the given time.
  void stop(const std::string& name, std::int64_t grace_ms);
  // Ends the process with its machine: what was not synced is lost or torn, and connections are not refused.
  void power_cut(const std::string& name);
  // Erases the disk.
  void wipe(const std::string& name) { at(name).files->wipe(); }
  // Freezes a process or lets it go on. What has come in the meantime is handled before or after its next timer.
  void freeze(const std::string& name, bool is_frozen);
  // Calls a daemon at its own time, and sends what it wants to send.
  void call_daemon(const std::string& name, const std::function<void(ControlDaemon&, TimePoint)>& call);

  // --- cuts ------------------------------------------------------------------------------------------
  void cut_zone(const std::string& zone) { cuts_.cut_zone(zone); }
  void cut_connection(const std::string& one, const std::string& other) { cuts_.cut_both_ways(one, other); }
  void cut_one_way(const std::string& from, const std::string& to) { cuts_.cut_one_way(from, to); }
  // Ends all cuts.
  void heal();

  // --- changes ---------------------------------------------------------------------------------------
  // Requests any change at a machine; a frozen process handles it when it goes on. The change id is set here.
  std::shared_ptr<EditOutcome> request(const std::string& where, EditRequest edit_request);
  // Requests a new runner under a name of its own.
  std::shared_ptr<EditOutcome> edit(const std::string& where);
  std::shared_ptr<EditOutcome> set_zone_state(const std::string& where, const std::string& zone, bool is_evacuated);
  std::shared_ptr<EditOutcome> set_draining(const std::string& where, const std::string& runner, bool is_draining);
  // Requests new runners until one is acknowledged, at random machines that run or at one alone.
  bool edit_until_done(std::int64_t duration_ms, const std::string& where = "");
  // How many changes were acknowledged.
  std::size_t acknowledged() const { return acknowledged_.size(); }
  // Expects that all that was acknowledged is in a state that a majority confirms now, and that no two daemons ever
  // held different states of one version.
  void expect_nothing_lost(const std::string& where);

  // --- what the daemons hold -------------------------------------------------------------------------
  // The master of the newest term that runs; empty if there is none.
  std::string master() const;
  // The machines whose process runs and is not frozen.
  std::vector<std::string> running() const;
  // The newest state that a daemon knows.
  const FleetState& state(const std::string& name) { return at(name).control->proposer().state(); }
  // The newest state that any running daemon knows.
  const FleetState& newest_state();
  // The body of a resource without white space, as that daemon's state has it; empty if it has none.
  std::string body_of(const std::string& known_by, const std::string& kind, const std::string& name);
  // Whether that daemon's state names the stores of exactly these machines as the replica set.
  bool has_set(const std::string& known_by, const std::vector<std::string>& names);
  // Whether that daemon's state has a replica set of the size that the policy wants, among these machines.
  bool has_wanted_set(const std::string& known_by, const std::vector<std::string>& names);
  bool is_member(const std::string& name, const std::string& known_by);
  // Whether a machine outside the set holds the newest value.
  bool is_synced_learner(const std::string& name, const std::string& known_by);
  // Whether a majority of the replica set, and of the next one during a joint change, runs on the stores it names.
  bool has_live_majority();
  // One master that all of these follow, one replica set of the wanted size that all know, and synced learners.
  bool is_settled(const std::vector<std::string>& names);
  // How often the fleet was bootstrapped.
  int bootstraps() const;
  // What has happened so far and how each daemon stands, for the message of a failed test.
  std::string trace();

 private:
  struct RetainedMessage {
    std::string from;
    Address to;
    Message message;
  };

  // The id of the store that a machine makes on an empty disk.
  StoreId new_store(const Machine& machine, bool is_first_start) const;
  ControlDaemonSettings settings_of(const Machine& machine, bool bootstraps_itself) const;
  void tick(const std::string& name, int incarnation);
  void end_when_ready(const std::string& name, int incarnation);
  bool runs(const std::string& name, int incarnation);
  // Sends and writes what the machine's daemon wants to, and checks the state that it holds.
  void flush(Machine& machine);
  void check_state(Machine& machine);
  void start_writing(Machine& machine);
  void finish_writing(Machine& machine, std::int64_t last_token);

  void send(const std::string& from, const Address& to, Message message);
  void receive(const std::string& from, const Address& to, const std::string& receiver,
               const std::shared_ptr<Message>& message);
  void refuse_connection(const std::string& from, const Address& to, const Machine& receiver);
  void release_retained();
  void handle_request(const std::string& where, const EditRequest& edit_request,
                      const std::shared_ptr<EditOutcome>& outcome);
  std::string describe(const Machine& machine);

  std::uint64_t seed_;
  RandomGenerator random_;
  EventQueue events_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::map<Address, std::string> names_by_address_;
  std::vector<Address> seeds_;
  ConnectionCuts cuts_;
  std::vector<RetainedMessage> retained_;
  int last_edit_ = 0;
  std::set<std::string> acknowledged_;                  // names of resources
  std::map<std::string, std::int64_t> known_versions_;  // the newest that each machine held
  std::map<std::int64_t, std::string> encoded_states_;  // by version, of all machines
  std::string conflicts_;                               // two states of one version
  std::string events_trace_;
};

// How many seeds the tests run. More of them by hand: EMBERDALE_SEEDS=1000 one-process-test
inline const std::uint64_t seed_count =
    std::getenv("EMBERDALE_SEEDS") == nullptr ? 30 : std::strtoull(std::getenv("EMBERDALE_SEEDS"), nullptr, 10);

// Starts a fleet of so many machines, and waits until it has bootstrapped itself and has acknowledged a change.
std::vector<std::string> bring_up(MachineFleet& fleet, int count);

}  // namespace emberdale
