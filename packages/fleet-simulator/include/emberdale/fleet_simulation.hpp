// A whole fleet under virtual time: the daemons' own state machines, a network, disks and runners
// that fail on command, and the rules of the brief checked at every step. One seed, one run.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "emberdale/call_desk.hpp"
#include "emberdale/control_daemon.hpp"
#include "emberdale/data_daemon.hpp"
#include "emberdale/segmented_log.hpp"

namespace emberdale {

struct SimulationShape {
  int edges_per_zone = 3;            // with one core machine: four machines a zone, twelve in all
  std::vector<int> models{3, 3, 5};  // by zone a, b, c
  double calls_per_second = 40;
  double loss = 0.0;                 // share of messages that vanish
  std::int64_t near_delay = 1, far_delay = 12;
  std::int64_t disk_ms = 2;
};

struct SimulationBreak {
  std::int64_t at = 0;
  std::string rule, detail;
};

struct CallTally {
  std::int64_t asked = 0, served = 0, refused = 0, refused_no_grant = 0, unknown = 0, no_daemon = 0, misdirected = 0;
};

// Example:
//   FleetSimulation fleet(7); fleet.found(); fleet.declare(); fleet.run(Span{5000});
//   fleet.kill(fleet.master()); fleet.run(Span{10000}); fleet.breaks().empty();
class FleetSimulation {
 public:
  explicit FleetSimulation(std::uint64_t seed, SimulationShape shape = {});
  ~FleetSimulation();

  std::int64_t now() const { return now_; }
  Dice& dice() { return dice_; }
  void run(Span span);
  // Runs until the question is answered yes, or the span is over. Example: fleet.run_until([&] { return !fleet.master().empty(); }, Span{9000})
  bool run_until(const std::function<bool()>& question, Span span);
  void later(std::int64_t ms, std::function<void()> act);

  // Founds the register and waits for a master; then declares runners and plans.
  bool found();
  bool declare();

  // --- what fails ---------------------------------------------------------------------------------
  void kill(const std::string& name);                       // the process ends; its files stay
  void power_cut(const std::string& name);                  // what was not synced is gone, or torn
  void start(const std::string& name);
  void wipe(const std::string& name);                       // the files of a stopped core daemon
  void freeze(const std::string& name);
  void thaw(const std::string& name);
  void cut(const std::string& from, const std::string& to);  // one way
  void cut_both(const std::string& one, const std::string& other);
  void isolate(const std::string& name);
  void heal();                                               // all cuts
  enum class Disk { good, slow, stalled, full, sync_error };
  void set_disk(const std::string& name, Disk disk);
  void set_calls(double per_second) { shape_.calls_per_second = per_second; }
  void set_loss(double loss) { shape_.loss = loss; }
  void kill_runner(const std::string& name);
  void start_runner(const std::string& name);                // back with a new incarnation, cold
  // A daemon of the same kind at a new address, in place of one that is gone for good.
  std::string add_edge(const std::string& zone) { return add_daemon(zone, "edge"); }
  std::string add_core(const std::string& zone) { return add_daemon(zone, "core"); }

  // --- operators ----------------------------------------------------------------------------------
  struct EditOutcome {
    bool is_over = false;
    Integer code = 0, version = 0;
    std::string body;
  };
  std::shared_ptr<EditOutcome> edit(const std::string& at, const std::string& act, const std::string& kind, const std::string& name,
                                    const std::string& body, Integer expected = -1);
  // The same, tried at live daemons in turn until acknowledged. Example: fleet.edit_until_done("put", "zone-orders", "b", body, Span{8000})
  bool edit_until_done(const std::string& act, const std::string& kind, const std::string& name, const std::string& body, Span span);
  std::shared_ptr<EditOutcome> replace_core(const std::string& at, const std::string& old_name, const std::string& new_name);

  // --- what is seen --------------------------------------------------------------------------------
  std::string master();  // of the newest reign that leads and runs; empty: none
  std::vector<std::string> names(const std::string& role) const;  // "core", "edge", "data"; running or not
  bool is_running(const std::string& name) const;
  ControlDaemon* control(const std::string& name);
  DataDaemon* data(const std::string& name);
  const CallDesk* desk(const std::string& name);
  Address address(const std::string& name) const;
  Moment moment(const std::string& name) const { return clock(node(name)); }  // by its own clock
  std::vector<std::string> runner_names() const;
  std::int64_t serving_daemons();  // data daemons with a grant
  const CallTally& tally() const { return tally_; }
  void reset_tally() { tally_ = {}; }
  const std::vector<SimulationBreak>& breaks() const { return breaks_; }
  struct Figures {
    std::int64_t messages = 0, sends = 0, retries = 0, cold_peak_over = 0, refused_by_runner = 0, worst_old_plan_ms = 0,
                 worst_leaving_ms = 0, maps_published = 0, register_rounds = 0;
    std::map<std::string, std::int64_t> messages_to;
  };
  Figures figures();
  Integer config_revision_acked() const { return acked_revision_; }
  std::string why_silent();  // a line on each daemon, for a failed expectation

  // What every daemon's wall clock shows, in seconds; 0: none. Example: fleet.wall_seconds = 1796173200;
  std::int64_t wall_seconds = 0;

  // Guards that a test takes out, to see the rule break.
  bool is_grant_check_off = false;      // data daemons send by whatever map they have
  bool is_incarnation_check_off = false;  // runners take calls meant for their former life

 private:
  struct Event {
    std::int64_t at, number;
    std::function<void()> act;
    bool operator<(const Event& other) const { return std::tie(other.at, other.number) < std::tie(at, number); }
  };
  struct Node {
    std::string name, role, zone, region;
    Address address;
    std::int64_t clock = 0;  // its steady clock is ahead of virtual time by this
    Integer life = 0;        // goes up with every start: what was meant for an older life is dropped
    bool is_up = false, is_frozen = false;
    std::vector<std::function<void()>> while_frozen;
    std::unique_ptr<ControlDaemon> control;
    std::unique_ptr<DataDaemon> data;
    std::unique_ptr<CallDesk> desk;
    MapVersion seen_version;
    // Core machines.
    std::shared_ptr<MemoryFileSystem> files;
    std::unique_ptr<SegmentedLog> log;
    Disk disk = Disk::good;
    std::vector<WriteWish> to_write;
    bool is_writing = false;
    std::int64_t refused_up_to = 0;
    int starts = 0;
  };
  struct Runner {
    std::string name, zone, region, pool;
    bool is_up = true;
    Integer incarnation = 1, running = 0, capacity = 8, allowance = 2;
    std::int64_t started = -100000, service_ms = 40, cold_peak = 0;
    Integer life = 0;
    bool is_cold(std::int64_t now) const { return now - started < 3000; }
  };
  struct CallRecord {
    std::string runner_region, home;
    int runs = 0;
    bool is_repeatable = false, was_refused = false, is_over = false;
    std::int64_t begun = 0;
    std::string daemon;
  };

  std::string add_daemon(const std::string& zone, const std::string& role);
  void at(std::int64_t when, std::function<void()> act);
  void on_node(const std::string& name, std::function<void(Node&)> act);
  void tick(const std::string& name, Integer life);
  void refresh_desk(Node& node);
  Moment clock(const Node& node) const { return Moment{now_ + node.clock}; }
  void make_control(Node& node);
  void flush(Node& node);
  void deliver(const std::string& from, const Address& to, Message message);
  void start_writing(Node& node);
  void ask_call();
  void flush_desk(Node& node);
  void run_send(const std::string& daemon, const SendAct& act);
  void end_call(CallIndex index, const std::string& outcome);
  void check_node(Node& node);
  void broken(const std::string& rule, const std::string& detail);
  Node& node(const std::string& name) { return *nodes_.at(name); }
  const Node& node(const std::string& name) const { return *nodes_.at(name); }
  bool is_cut(const std::string& from, const std::string& to) const { return cuts_.count({from, to}) != 0; }

  std::uint64_t seed_;
  SimulationShape shape_;
  Dice dice_;
  std::int64_t now_ = 0, last_event_ = 0;
  std::priority_queue<Event> events_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::map<Address, std::string> by_address_;
  std::map<std::string, Runner> runners_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::vector<Address> seeds_;
  bool has_calls_ = false;
  CallIndex last_call_ = 0;
  std::map<CallIndex, CallRecord> calls_;
  CallTally tally_;
  std::vector<SimulationBreak> breaks_;
  Figures figures_;
  std::int64_t last_change_ = 0, next_port_ = 1;
  // What the checks remember.
  std::map<Integer, std::uint64_t> states_;                       // by state version
  std::map<std::pair<Integer, Integer>, std::uint64_t> maps_;     // by map version
  std::map<Integer, std::string> publishers_;                     // by reign
  std::map<std::pair<std::string, Integer>, std::string> winners_;  // by resource and version: the change
  std::map<std::string, Integer> acked_versions_;                 // by resource
  Integer acked_revision_ = 0;
  std::vector<std::pair<std::int64_t, Integer>> acks_;            // when, config revision
  std::map<std::pair<std::string, std::string>, std::int64_t> barred_since_;  // runner, by its own mark or its zone's order
  std::map<std::string, std::int64_t> freed_at_;  // resource: when an edit was last asked that would free it again
};

// A random day by one seed: faults, edits and calls for `length`, then peace; all breaks of the rules.
// Example: run_chaos(17, Span{30000}).breaks.empty()
struct ChaosResult {
  std::vector<SimulationBreak> breaks;
  CallTally tally;
  std::int64_t acked = 0, refused = 0, unknown = 0;
  std::string story;  // what failed when, to read after a break
};
ChaosResult run_chaos(std::uint64_t seed, Span length, bool is_grant_check_off = false);

}  // namespace emberdale
