// How old a data daemon's knowledge of draining runners gets on long days: hundreds of changes, and troubles at the
// control daemons that overlap. One control daemon at least is sound at any time, reaches the list, and is reached by
// the data daemons; nothing else is asked of the others. Virtual time, many seeds.
#include <algorithm>
#include <map>
#include <memory>

#include "emberdale/routing_table_edits.hpp"
#include "support/machine_fleet.hpp"
#include "support/near_regions.hpp"
#include "support/service_discovery.hpp"
#include "support/simulated_data_daemon.hpp"

namespace emberdale {
namespace {

constexpr std::int64_t check_interval_ms = 25;
// From the moment at which the list shows a mark. The platform's shortest bound is 4 s.
constexpr std::int64_t longest_delay_ms = 3500;
// From the end of a data daemon to the last answer that names it.
constexpr std::int64_t longest_off_ms = 4000;
constexpr std::int64_t day_ms = 60000;
// The daemons have found one another, and the first runners are in service.
constexpr std::int64_t settling_ms = 4000;

class LongDay {
 public:
  explicit LongDay(std::uint64_t seed) : fleet(seed), random_(seed * 7919) {
    fleet.adjust_settings = [](ControlDaemonSettings& settings) {
      settings.reads_runner_list = true;
      settings.dead_member_timeout = Duration{6000};
    };
    fleet.election = near_regions();
    fleet.delay = 20;
    names = bring_up(fleet, 3);
    discovery = std::make_unique<ServiceDiscovery>(fleet);
    for (int i = 0; i < 6; ++i)
      add_runner();
    for (const auto& name : names)
      for (const char* suffix : {"1", "2"})
        data.push_back(std::make_unique<SimulatedDataDaemon>(fleet, names, name + suffix, fleet.at(name).zone.text));
    fleet.on_send = [this](const std::string& from, const Address& to, const Message& message) {
      for (auto& daemon : data)
        daemon->receive(from, to, message);
    };
    change_table();
    fleet.run(settling_ms);
  }

  // Runners come and go, operators change the table, and control daemons are in trouble, all drawn from the seed.
  void begin() {
    change_often();
    replace_runners();
    for (int course = 0; course < 2; ++course)
      make_trouble();
  }

  // Runs for so long, and gives the longest time for which a runner stayed in service at a data daemon after the list
  // had shown it as draining.
  std::int64_t run(std::int64_t duration_ms) {
    for (std::int64_t passed = 0; passed < duration_ms; passed += check_interval_ms) {
      fleet.run(check_interval_ms);
      check();
    }
    return worst_ms_;
  }
  const std::string& worst() const { return worst_; }
  // The longest time for which a data daemon had been off when a control daemon's answer named it.
  std::int64_t longest_off_ms() const { return longest_off_ms_; }
  const std::string& longest_off() const { return longest_off_; }
  // Data daemons end for good, one after the other; the last two of them stay.
  void end_data_daemons() {
    auto running = std::count_if(data.begin(), data.end(), [](const auto& daemon) { return daemon->is_running; });
    if (running <= 2)
      return;
    auto& ending = *std::find_if(data.begin(), data.end(), [](const auto& daemon) { return daemon->is_running; });
    ending->is_running = false;
    ended_at_[ending->daemon().self().http_address] = fleet.now();
    fleet.later(5000 + random_.below(5000), [this] { end_data_daemons(); });
  }
  int changes() const { return changes_; }

  MachineFleet fleet;
  std::vector<std::string> names;
  std::unique_ptr<ServiceDiscovery> discovery;
  std::vector<std::unique_ptr<SimulatedDataDaemon>> data;

 private:
  void check() {
    for (const auto& [runner, marked_at] : discovery->marked_at())
      for (const auto& daemon : data) {
        std::int64_t delay_ms = fleet.now() - marked_at;
        if (!daemon->is_running || delay_ms <= worst_ms_ || !daemon->has_in_service(runner))
          continue;
        worst_ms_ = delay_ms;
        worst_ = daemon->daemon().self().address.text + " " + runner.text + " at " + std::to_string(fleet.now());
      }
    ask_directories();
  }

  void ask_directories() {
    for (const auto& name : fleet.running()) {
      std::vector<std::string> named;
      Machine& machine = fleet.at(name);
      named = machine.control->gateway_addresses(RegionName{"north"}, ZoneName{"a"}, 64, fleet.clock(machine));
      for (const auto& address : named) {
        auto ended = ended_at_.find(address);
        if (ended == ended_at_.end() || fleet.now() - ended->second <= longest_off_ms_)
          continue;
        longest_off_ms_ = fleet.now() - ended->second;
        longest_off_ = address + " by " + name + " at " + std::to_string(fleet.now());
      }
    }
  }

  void add_runner() {
    std::string zone(1, static_cast<char>('a' + runners_ % 3));
    discovery->add("r" + std::to_string(++runners_), zone);
  }

  // One in service is marked, and ends some seconds later.
  void replace_runners() {
    for (const auto& runner : discovery->runners())
      if (!runner.is_leaving) {
        RunnerName name = runner.name;
        discovery->mark_draining(name);
        fleet.later(5000 + random_.below(8000), [this, name] { discovery->remove(name); });
        break;
      }
    add_runner();
    fleet.later(700 + random_.below(1500), [this] { replace_runners(); });
  }

  void change_often() {
    change_table();
    fleet.later(100 + random_.below(300), [this] { change_often(); });
  }

  // At a daemon of any condition: its operator goes on to the next one later.
  void change_table() {
    std::int64_t base = 0;
    for (const auto& resource : fleet.newest_state().resources)
      if (resource.kind == routing_table_kind)
        base = resource.version;
    std::string body = R"({"revision":)" + std::to_string(base + 1) +
                       R"(,"routes":[{"name":"r1","host":"a.example","path_prefix":"/x/","kind":"retry_safe",)" +
                       R"("horizon_ms":)" + std::to_string(8000 + base % 100) +
                       R"(,"pool":"models"}],"pools":[{"name":"models"}]})";
    auto running = fleet.running();
    if (running.empty())
      return;
    EditRequest request;
    request.action = EditAction::replace;
    request.kind = routing_table_kind;
    request.name = routing_table_name;
    request.expected_version = base;
    request.body = body;
    fleet.request(running[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(running.size())))], request);
    ++changes_;
  }

  // One machine at least is left alone.
  void make_trouble() {
    std::vector<std::string> sound;
    for (const auto& name : names)
      if (!in_trouble_[name])
        sound.push_back(name);
    if (sound.size() > 1)
      trouble(sound[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(sound.size())))]);
    fleet.later(500 + random_.below(4000), [this] { make_trouble(); });
  }

  void trouble(const std::string& name) {
    in_trouble_[name] = true;
    std::int64_t duration_ms = 400 + random_.below(4000);
    switch (random_.below(7)) {
      case 0:
        fleet.freeze(name, true);
        return end_later(name, duration_ms, [this, name] { fleet.freeze(name, false); });
      case 1:
        fleet.power_cut(name);
        return end_later(name, duration_ms, [this, name] { fleet.start(name, false); });
      case 2:
        fleet.kill(name);
        return end_later(name, duration_ms / 4, [this, name] { fleet.start(name, false); });
      case 3:
        fleet.stop(name);
        return end_later(name, duration_ms + 2000, [this, name] {
          fleet.kill(name);
          fleet.start(name, false);
        });
      case 4:
        fleet.at(name).extra_disk_ms = 200 + random_.below(4000);
        return end_later(name, duration_ms, [this, name] { fleet.at(name).extra_disk_ms = 0; });
      case 5:
        for (const auto& other : names)
          if (other != name)
            fleet.cut_connection(name, other);
        return end_later(name, duration_ms, [this] { fleet.heal(); });
      default:
        for (const auto& other : names)
          if (other != name)
            fleet.cut_one_way(name, other);
        return end_later(name, duration_ms, [this] { fleet.heal(); });
    }
  }

  void end_later(const std::string& name, std::int64_t duration_ms, std::function<void()> end) {
    fleet.later(duration_ms, [this, name, end = std::move(end)] {
      end();
      in_trouble_[name] = false;
    });
  }

  RandomGenerator random_;
  std::map<std::string, bool> in_trouble_;
  int runners_ = 0, changes_ = 0;
  std::int64_t worst_ms_ = 0, longest_off_ms_ = 0;
  std::string worst_, longest_off_;
  std::map<std::string, std::int64_t> ended_at_;  // data daemons, by HTTP address
};

TEST(RunnerKnowledge, AMarkIsObeyedInTimeOnLongDaysWithHundredsOfChanges) {
  std::int64_t worst_ms = 0;
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    LongDay day(seed);
    day.begin();
    std::int64_t delay_ms = day.run(day_ms);
    EXPECT_GE(day.changes(), 200);
    EXPECT_LE(delay_ms, longest_delay_ms) << "seed " << seed << ": " << day.worst();
    worst_ms = std::max(worst_ms, delay_ms);
  }
  RecordProperty("worst_ms", static_cast<int>(worst_ms));
}

TEST(RunnerKnowledge, AMarkIsObeyedInTimeWhileReadingsFail) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    LongDay day(seed);
    day.discovery->random_response_ms = 200;
    day.discovery->refused = 0.05;
    day.discovery->unanswered = 0.05;
    day.begin();
    // Two failures in a row cost two seconds more at most.
    EXPECT_LE(day.run(day_ms), longest_delay_ms + 2000) << "seed " << seed << ": " << day.worst();
  }
}

TEST(GatewayKnowledge, NoAnswerNamesADataDaemonThatHasLongBeenOff) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    LongDay day(seed);
    day.begin();
    day.end_data_daemons();
    day.run(day_ms);
    EXPECT_LE(day.longest_off_ms(), longest_off_ms) << "seed " << seed << ": " << day.longest_off();
  }
}

}  // namespace
}  // namespace emberdale
