// A whole fleet under virtual time: the daemons' own state machines, a network, disks, clocks, callers and
// runners that fail on command, and the rules of the brief watched at every step. One seed, one run.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "emberdale/call_dispatcher.hpp"
#include "emberdale/control_call_recorder.hpp"
#include "emberdale/control_daemon.hpp"
#include "emberdale/data_daemon.hpp"
#include "emberdale/invariant_checker.hpp"
#include "emberdale/load_generator.hpp"
#include "emberdale/segmented_log.hpp"
#include "emberdale/simulated_network.hpp"
#include "emberdale/simulated_runner.hpp"
#include "emberdale/trace_digest.hpp"

namespace emberdale {

struct SimulationShape {
  int edges_per_zone = 3;            // with one core machine: four machines a zone, twelve in all
  std::vector<int> models{3, 3, 5};  // by zone a, b, c
  double calls_per_second = 40;
  std::int64_t near_delay = 1, far_delay = 12;
  std::int64_t disk_ms = 2;
  bool is_traced = false;  // everything that happens goes into a digest: FleetSimulation::trace_digest
};

// The brief's two deployments as they are. Example: FleetSimulation fleet(7, caspian_shape());
inline SimulationShape caspian_shape() { return {3, {3, 3, 5}, 200}; }
inline SimulationShape kathmandu_shape() { return {3, {5, 5, 8}, 300}; }

// How the simulated calls ended.
struct CallCounters {
  std::int64_t arrived = 0, served = 0, refused = 0, refused_no_grant = 0, unknown = 0, no_daemon = 0, misdirected = 0;
  // Refused although a warm runner with spare capacity was reachable, in a place where the call may run.
  std::int64_t avoidable = 0;
  std::map<std::string, std::int64_t> reasons;  // refusals by the reason that the caller was given

  void add(const CallCounters& other);
};

// Example:
//   FleetSimulation fleet(7); fleet.found(); fleet.declare(); fleet.run(Duration{5000});
//   fleet.kill(fleet.master()); fleet.run(Duration{10000}); fleet.violations().empty();
class FleetSimulation {
 public:
  explicit FleetSimulation(std::uint64_t seed, SimulationShape shape = {});
  ~FleetSimulation();

  std::int64_t now() const { return now_; }
  RandomGenerator& random() { return random_; }
  void run(Duration span);
  // Runs until the question is answered yes, or the span is over. Example: fleet.run_until([&] { return
  // !fleet.master().empty(); }, Duration{9000})
  bool run_until(const std::function<bool()>& question, Duration span);
  void later(std::int64_t ms, std::function<void()> act);

  // Founds the register and waits for a master; then declares runners and plans.
  bool found();
  bool declare();

  // --- what fails ---------------------------------------------------------------------------------
  void kill(const std::string& name);       // the process ends; its files stay
  void power_cut(const std::string& name);  // what was not synced is gone, or torn
  void start(const std::string& name);
  void wipe(const std::string& name);  // the files of a stopped core daemon
  // A clean stop: calls in hand are finished, then the process ends. Example: fleet.stop("a1-data")
  void stop(const std::string& name);
  void freeze(const std::string& name);
  void thaw(const std::string& name);
  std::size_t held_while_frozen(const std::string& name) const { return node(name).while_frozen.size(); }
  void cut(const std::string& from, const std::string& to) { network_.cut(from, to); }  // one way
  void cut_both(const std::string& one, const std::string& other);
  void repair_both(const std::string& one, const std::string& other);
  void isolate(const std::string& name);
  void heal() { network_.heal(); }  // all cuts
  SimulatedNetwork& network() { return network_; }
  enum class Disk { good, slow, stalled, full, sync_error };
  void set_disk(const std::string& name, Disk disk);
  std::int64_t disk_fault_effects() const { return disk_fault_effects_; }  // writes that a bad disk delayed or refused
  void set_calls(double per_second) { load_generator_.rate = per_second; }
  void set_loss(double loss) { network_.loss = loss; }
  LoadGenerator& load_generator() { return load_generator_; }
  // Its steady clock leaps ahead; its wall clock either way; it runs at another rate (1000: true).
  void leap_clock(const std::string& name, std::int64_t ms) { node(name).clock += ms; }
  void leap_wall_clock(const std::string& name, std::int64_t seconds) { node(name).wall_offset += seconds; }
  void set_clock_rate(const std::string& name, std::int64_t per_mille);
  void kill_runner(const std::string& name) { runners_.at(name).kill(); }
  void start_runner(const std::string& name) { runners_.at(name).start(now_); }  // back with a new incarnation, cold
  void hang_runner(const std::string& name);  // links stay open, no answer ever comes
  // A daemon of the same kind at a new address, in place of one that is gone for good.
  std::string add_edge(const std::string& zone) { return add_daemon(zone, "edge"); }
  std::string add_core(const std::string& zone) { return add_daemon(zone, "core"); }

  // --- operators ----------------------------------------------------------------------------------
  struct EditOutcome {
    bool is_finished = false;
    std::int64_t code = 0, version = 0;
    std::string body;
    std::int64_t requested_at = 0, finished_at = 0;
    InvariantChecker::RequestedEdit edit;
    std::size_t recorded_call = 0;  // its place among operators_calls()
  };
  std::shared_ptr<EditOutcome> edit(const std::string& at, const std::string& act, const std::string& kind,
                                    const std::string& name, const std::string& body, std::int64_t expected = -1);
  // The same, injected at live daemons in turn until acknowledged. Example: fleet.edit_until_done("put", "zone-orders",
  // "b", body, Duration{8000})
  bool edit_until_done(const std::string& act, const std::string& kind, const std::string& name,
                       const std::string& body, Duration span);
  std::shared_ptr<EditOutcome> replace_core(const std::string& at, const std::string& old_name,
                                            const std::string& new_name);
  // A read through that daemon; what it shows is judged. Example: fleet.read("c1"); fleet.run(Duration{2000});
  std::shared_ptr<FleetState> read(const std::string& at);
  // What the register holds and every data daemon follows is compared with all that was acknowledged.
  bool compare_holdings();

  // --- what is seen --------------------------------------------------------------------------------
  std::string master();                                           // of the newest term that leads and runs; empty: none
  std::vector<std::string> names(const std::string& role) const;  // "core", "edge", "data"; running or not
  bool is_running(const std::string& name) const;
  bool is_up(const std::string& name) const { return node(name).is_up; }
  ControlDaemon* control(const std::string& name);
  DataDaemon* data(const std::string& name);
  const CallDispatcher* dispatcher(const std::string& name);
  Address address(const std::string& name) const;
  std::string zone(const std::string& name) const { return node(name).zone; }
  TimePoint moment(const std::string& name) const { return clock(node(name)); }  // by its own clock
  std::vector<std::string> runner_names() const;
  const SimulatedRunner& runner(const std::string& name) const { return runners_.at(name); }
  std::int64_t serving_daemons();  // data daemons with a grant
  const CallCounters& call_counters() const { return call_counters_; }
  void reset_call_counters() { call_counters_ = {}; }
  const std::vector<InvariantViolation>& violations() const { return checker_.violations(); }
  InvariantChecker& invariant_checker() { return checker_; }
  // Every operator's call and read so far. Example: history::check_history(fleet.operators_calls())
  const std::vector<history::Operation>& operators_calls() const { return recorder_.operations(); }
  struct Figures {
    std::int64_t messages = 0, sends = 0, retries = 0, warmup_peak_over = 0, refused_by_runner = 0,
                 worst_old_plan_ms = 0, worst_leaving_ms = 0, worst_notification_ms = 0, maps_published = 0,
                 register_rounds = 0;
    std::map<std::string, std::int64_t> messages_to;
  };
  Figures figures();
  // Of all that happened since the start, in hex; empty unless the shape is traced. The totals so far are added to it.
  std::string trace_digest();
  std::string why_silent();  // a line on each daemon, for a failed expectation

  // What every daemon's wall clock shows, in seconds; 0: none. Example: fleet.wall_seconds = 1796173200;
  std::int64_t wall_seconds = 0;

  // Guards that a test takes out, to see the rule break.
  bool is_grant_check_off = false;  // data daemons send by whatever map they have, and keep homes that are outdated
  bool is_incarnation_check_off = false;  // runners take calls meant for their former life
  bool is_sync_off = false;               // core machines answer before their disk has it
  bool is_home_misread = false;           // data daemons take every home for their own region
  bool is_retry_budget_off = false;       // data daemons started from now on retry as they like
  bool is_lost_call_resent = false;       // a call whose fate is unknown is sent once more
  bool is_mark_ignored = false;           // data daemons take leaving and emptied runners for warm
  bool is_read_unconfirmed = false;       // a read shows what its daemon holds, without asking the core

 private:
  struct Event {
    std::int64_t at, number;
    std::function<void()> act;
    bool operator<(const Event& other) const { return std::tie(other.at, other.number) < std::tie(at, number); }
  };
  struct Node {
    std::string name, role, zone, region;
    Address address;
    std::int64_t clock = 0;    // its steady clock is ahead of virtual time by this...
    std::int64_t rate = 1000;  // ...and runs at this rate since then
    std::int64_t rate_since = 0;
    std::int64_t wall_offset = 0;  // seconds
    std::int64_t incarnation = 0;  // goes up with every start: what was meant for an older life is dropped
    bool is_up = false, is_frozen = false, is_stopping = false;
    bool has_power = true;  // a machine without power refuses nothing: it is silent
    std::vector<std::function<void()>> while_frozen;
    std::unique_ptr<ControlDaemon> control;
    std::unique_ptr<DataDaemon> data;
    std::unique_ptr<CallDispatcher> dispatcher;
    // Core machines.
    std::shared_ptr<MemoryFileSystem> files;
    std::unique_ptr<SegmentedLog> log;
    Disk disk = Disk::good;
    std::vector<LogWrite> to_write;
    bool is_writing = false;
    int starts = 0;
  };
  struct PendingCall {
    GeneratedCall request;
    bool is_finished = false;
    std::string daemon;
  };
  enum class CallOutcome { served, refused, refused_no_grant, unknown, no_daemon, misdirected };
  // One attempt of a call: a data daemon sends it to a runner.
  struct Attempt {
    SendAct send;
    std::string daemon;
    std::int64_t daemon_incarnation = 0;
    std::int64_t travel_ms = 0;  // each way
    std::int64_t deadline = 0;   // virtual time
  };
  Node& add_node(const std::string& name, const std::string& zone, const std::string& role);
  std::string add_daemon(const std::string& zone, const std::string& role);
  void at(std::int64_t when, std::function<void()> act);
  void on_node(const std::string& name, std::function<void(Node&)> act);
  void tick(const std::string& name, std::int64_t incarnation);
  void refresh_dispatcher(Node& node);
  TimePoint clock(const Node& node) const {
    return TimePoint{now_ + node.clock + (now_ - node.rate_since) * (node.rate - 1000) / 1000};
  }
  void make_control(Node& node);
  void flush(Node& node);
  void probe(Node& node, const ProbeRequest& probe);
  void refuse_connection(const std::string& from, const std::string& name);
  void deliver(const std::string& from, const Address& to, Message message);
  void start_writing(Node& node);
  void check_node(Node& node);
  // Adds an event to the digest, if the fleet is traced.
  template <class... Fields>
  void trace(TraceEvent event, const Fields&... fields) {
    if (trace_)
      trace_->record(event, now_, fields...);
  }
  // Callers and calls.
  void start_call();
  void flush_dispatcher(Node& node);
  void run_send(const std::string& daemon, const SendAct& act);
  void arrive_at_runner(const Attempt& attempt, bool is_cut);
  void run_at_runner(const Attempt& attempt, const SimulatedRunner& runner, bool is_warming_up);
  void complete_at_runner(const Attempt& attempt, std::int64_t work_generation);
  void lose_attempt(const Attempt& attempt);
  SendEnd report_of(const Attempt& attempt, const SimulatedRunner& runner, SendEndKind kind,
                    const std::string& reason) const;
  void end_attempt(const Attempt& attempt, const SendEnd& end);
  void count(CallOutcome outcome);
  void end_call(CallIndex index, CallOutcome outcome, const std::string& reason = "");
  void end_finally(const FinalAct& act);
  bool has_room(const PendingCall& call) const;
  void end_read(const std::string& where, std::int64_t begun, const FleetState& state);
  void end_edit(const std::shared_ptr<EditOutcome>& outcome, const EditResponse& response);
  Node& node(const std::string& name) { return *nodes_.at(name); }
  const Node& node(const std::string& name) const { return *nodes_.at(name); }

  std::uint64_t seed_;
  SimulationShape shape_;
  RandomGenerator random_;
  std::int64_t now_ = 0, last_event_ = 0;
  std::priority_queue<Event> events_;
  SimulatedNetwork network_;
  InvariantChecker checker_;
  history::ControlCallRecorder recorder_{history::ControlCallRecorder::ZoneOrderModel::versions};
  LoadGenerator load_generator_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::map<Address, std::string> by_address_;
  std::map<std::string, SimulatedRunner> runners_;
  std::vector<Address> seeds_;
  bool has_calls_ = false;
  CallIndex last_call_ = 0;
  std::map<CallIndex, PendingCall> calls_;
  CallCounters call_counters_;
  Figures figures_;
  std::unique_ptr<TraceDigest> trace_;  // none: the fleet is not traced
  std::int64_t last_change_ = 0, next_port_ = 1, disk_fault_effects_ = 0;
};

}  // namespace emberdale
