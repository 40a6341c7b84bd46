// Control work as the fleet grows: the daemons' own state machines under virtual time, lean enough for
// hundreds of daemons, with every message counted, sized and timed. docs/CAPACITY.md is written from it.
#pragma once
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "emberdale/control_daemon.hpp"
#include "emberdale/data_daemon.hpp"

namespace emberdale::scale {

struct ScaleShape {
  int zones = 3, cores = 3, edges = 9, gateways = 9, runners = 14, plans = 4;
  int changes_a_minute = 0;
  bool is_busy = true;      // every runner's load is another each second
  bool is_enrolled = true;  // the register is founded with the roster in it; else every edge daemon enrols itself
};

inline constexpr std::size_t message_kinds = std::variant_size_v<Message>;
// Example: message_name(Message{Ping{}}.index()) == "Ping"
const char* message_name(std::size_t kind);

enum Role { core_role, master_role, edge_role, gateway_role, role_count };
// Example: std::string(role_name(master_role)) == "master"
const char* role_name(int role);

struct Counter {
  std::int64_t number = 0, bytes = 0, ns = 0;
};

// What was counted between two moments. Counts and bytes are the same in every run; ns are not.
struct ScaleCounts {
  std::array<std::array<std::array<Counter, message_kinds>, role_count>, role_count>
      sent{};                                                                // from, to, kind: those delivered
  std::array<std::array<Counter, message_kinds + 2>, role_count> handled{};  // by role; then timers, then probes
  std::array<Counter, message_kinds> encoded{}, decoded{};
  std::int64_t messages = 0, bytes = 0, register_rounds = 0;
  struct AtDaemon {
    std::int64_t in = 0, out = 0, bytes_in = 0, bytes_out = 0, machine_ns = 0, codec_ns = 0;
  };
  std::vector<AtDaemon> daemons;  // in the order of ScaleFleet's daemons
};

// Example:
//   ScaleFleet fleet(1, {}); if (auto up = fleet.bring_up(); !up) return up.reason;
//   fleet.reset(); fleet.run(Duration{10000}); fleet.counts().messages;
class ScaleFleet {
 public:
  ScaleFleet(std::uint64_t seed, ScaleShape shape);
  // Founds the register, starts every daemon and waits until all data daemons serve.
  Outcome<bool> bring_up(Duration limit = Duration{60000});
  void run(Duration span);
  bool run_until(const std::function<bool()>& question, Duration span);
  std::int64_t now() const { return now_; }

  // From here on everything is counted anew. Example: fleet.reset(); fleet.run(Duration{10000});
  void reset();
  const ScaleCounts& counts();

  struct Daemon {
    std::string name, role;
    ZoneName zone;
    RegionName region;
    Address address;
    StoreId store;
    std::int64_t clock = 0;
    int incarnation = 0;
    bool is_up = false, has_power = true;
    std::unique_ptr<ControlDaemon> control;
    std::unique_ptr<DataDaemon> data;
    std::string picture;  // of a core's register while it is down
    std::int64_t disk_bytes = 0;
  };
  const std::vector<Daemon>& daemons() const { return daemons_; }
  std::vector<std::size_t> of_role(const std::string& role) const;
  std::optional<std::size_t> master() const;
  std::int64_t term() const;

  // Faults. Example: fleet.kill(3); fleet.run(Duration{20000}); fleet.start(3);
  void kill(std::size_t index, bool takes_power = false);
  void start(std::size_t index);
  void cut_region(const RegionName& region) { cut_off_ = region; }
  void heal() { cut_off_ = {}; }
  void kill_runner(const std::string& name) { down_.insert(name); }
  void start_runner(const std::string& name) { down_.erase(name); }

  // Data daemons that run, and of these those without a grant, summed over all samples (20 a second).
  std::int64_t samples = 0, samples_without_grant = 0;
  // Changes: how long until acknowledged, and until every running data daemon had them in force.
  std::vector<std::int64_t> acknowledged_ms, in_force_ms;
  std::int64_t changes_asked = 0, changes_failed = 0;
  std::int64_t maps_published = 0;

  // Bytes on the wire of the register's value, of the map, and of the plans' and the pools' slices.
  struct Sizes {
    std::int64_t state = 0, map = 0, plans_slice = 0, pool_slices = 0, disk = 0;
  };
  Sizes sizes() const;
  // What a message takes on the wire, and the time to encode it.
  struct EncodingCost {
    std::int64_t bytes = 0, ns = 0;
  };
  // Heap that goes with one daemon, by ending it. Example: fleet.weigh(*fleet.master())
  std::int64_t weigh(std::size_t index);

 private:
  struct Event {
    std::int64_t at, number;
    std::function<void()> act;
    bool operator<(const Event& other) const { return std::tie(other.at, other.number) < std::tie(at, number); }
  };
  struct Change {
    std::int64_t asked = 0, acknowledged = 0;
    std::int64_t revision = 0;
  };
  // A message on its way.
  struct Delivery {
    std::size_t from = 0, target = 0;
    int sender_incarnation = 0, sender_role = 0;
    std::int64_t bytes = 0;
    std::shared_ptr<const Message> message;
  };

  FleetState first_state() const;
  Resource plan_resource(int number) const;
  Resource runner_resource(int number) const;
  std::string model_name(int number) const;
  std::string runner_name(int number) const;
  ZoneName zone_of(int number) const;
  RegionName region_of(int zone) const;
  void add(const std::string& role, int number);
  void found();
  bool is_led() const;
  bool has_grant(const Daemon& daemon) const;
  void start_control(Daemon& daemon, const DaemonEntry& self, std::uint64_t random);
  void later(std::int64_t ms, std::function<void()> act) { events_.push({now_ + ms, ++last_event_, std::move(act)}); }
  TimePoint clock(const Daemon& daemon) const { return TimePoint{now_ + daemon.clock}; }
  int role(std::size_t index) const;
  // Runs the act, and charges its time to the daemon and to its role's work of the kind.
  void timed(std::size_t index, std::size_t kind, const std::function<void()>& act);
  void tick(std::size_t index, int incarnation);
  void flush(std::size_t index);
  EncodingCost encoding_cost(std::size_t from, const Message& message);
  void charge_sender(std::size_t from, std::size_t kind, const EncodingCost& cost);
  void deliver(std::size_t from, const Address& to, Message message);
  void arrive(const Delivery& delivery);
  void refuse(const Delivery& delivery);
  void charge_receiver(const Delivery& delivery);
  std::int64_t decoding_ns(std::size_t kind, const Delivery& delivery);
  void probe(std::size_t index, const ProbeRequest& probe);
  void sample();
  void change();
  void end_change(std::int64_t asked, const EditResponse& response);
  bool is_cut(std::size_t one, std::size_t other) const;
  std::int64_t travel(std::size_t from, std::size_t to);

  ScaleShape shape_;
  std::uint64_t seed_;
  RandomGenerator random_;
  int regions_ = 2;
  std::int64_t now_ = 0, last_event_ = 0, changes_from_ = -1;
  std::priority_queue<Event> events_;
  std::vector<Daemon> daemons_;
  std::map<Address, std::size_t> by_address_;
  std::vector<Address> seeds_;
  std::set<std::string> down_;
  RegionName cut_off_;
  std::deque<Change> changes_;
  std::map<std::pair<Address, MapVersion>, EncodingCost> known_maps_;
  ScaleCounts counts_;
  std::int64_t rounds_before_ = 0;
};

// `emberdale-fleet-simulator scale`: one dimension, its sizes (empty: the page's own); gives the exit status.
// Example: run_scale("runners", {14, 120}, Duration{10000}) prints a table and the fitted slopes
int run_scale(const std::string& dimension, std::vector<int> sizes, Duration window);
std::vector<std::string> scale_dimensions();

// Daemons over real connections on loopback, all in this process, that join the fleet of real daemons in a
// starter's fleet.json. Example: run_loopback_daemons("fleet-run/fleet.json", 30, 30, Duration{20000})
int run_loopback_daemons(const std::string& fleet, int edges, int gateways, Duration window);

}  // namespace emberdale::scale
