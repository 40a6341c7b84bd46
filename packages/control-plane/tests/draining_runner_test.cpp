// Runners that service discovery lists as draining: how soon the data daemons of every zone know, also while no master
// leads, a daemon is cut off from the others, or the master can't publish. Virtual time, many seeds.
#include <algorithm>

#include "emberdale/avro_codec.hpp"
#include "emberdale/placement_slices.hpp"
#include "support/machine_fleet.hpp"
#include "support/service_discovery.hpp"

namespace emberdale {
namespace {

constexpr std::int64_t tick_ms = 25;
constexpr std::int64_t subscribe_interval_ms = 400;
// From the moment at which the list shows it. The platform allows 5 s, and a request may still be under way then.
constexpr std::int64_t longest_delay_ms = 3500;
const RunnerName marked{"r1"};

// A data daemon that is fed by one control daemon: what it knows of the marked runner.
class FedDataDaemon {
 public:
  FedDataDaemon(MachineFleet& fleet, const std::string& name, std::string fed_by)
      : fleet_(fleet), fed_by_(std::move(fed_by)) {
    entry_ =
        DaemonEntry{Address{"data-" + name}, "http", DaemonRole::data, fleet.at(fed_by_).zone, RegionName{"north"}, 1};
    subscribe();
  }

  void receive(const Address& to, const Message& message) {
    if (to != entry_.address)
      return;
    if (const auto* update = std::get_if<SliceUpdate>(&message))
      replica_.apply(*update);
    const auto* block = std::get_if<DispatchBlock>(&message);
    if (block != nullptr && block->runner == marked)
      blocked_until_ = block->is_lifted ? 0 : fleet_.now() + block_duration.value;
  }

  // Whether it sends the marked runner nothing new.
  bool keeps_off() const {
    if (fleet_.now() < blocked_until_)
      return true;
    auto row = replica_.rows().find("runner/" + marked.text);
    if (row == replica_.rows().end())
      return false;
    auto runner = decode_runner_row(row->second);
    return runner && runner->state == RunnerState::draining;
  }

 private:
  void subscribe() {
    if (fleet_.at(fed_by_).is_up && !fleet_.at(fed_by_).is_frozen)
      fleet_.call_daemon(fed_by_, [&](ControlDaemon& daemon, TimePoint now) {
        Subscribe subscribe;
        subscribe.sender = entry_;
        subscribe.topics.push_back({pool_topic(PoolName{"models"}), replica_.version()});
        subscribe.version = replica_.version();
        daemon.on_message(entry_.address, subscribe, now);
      });
    fleet_.later(subscribe_interval_ms, [this] { subscribe(); });
  }

  MachineFleet& fleet_;
  const std::string fed_by_;
  DaemonEntry entry_;
  SliceReplica replica_;
  std::int64_t blocked_until_ = 0;
};

// Three machines with a control process each, and a data daemon that each of them feeds.
class DrainingRunners {
 public:
  explicit DrainingRunners(std::uint64_t seed) : fleet(seed) {
    fleet.adjust_settings = [](ControlDaemonSettings& settings) {
      settings.reads_runner_list = true;
    };
    names = bring_up(fleet, 3);
    discovery = std::make_unique<ServiceDiscovery>(fleet);
    for (const char* name : {"r1", "r2", "r3"})
      discovery->add(name, "a");
    for (const auto& name : names)
      feed(name, name);
    fleet.on_send = [this](const std::string&, const Address& to, const Message& message) {
      for (auto& [name, daemon] : fed)
        daemon->receive(to, message);
    };
    fleet.run(3000);
  }

  // Starts a data daemon.
  void feed(const std::string& name, const std::string& fed_by) {
    fed[name] = std::make_unique<FedDataDaemon>(fleet, name, fed_by);
  }
  // The disks of the others are slow, and the master has begun a change: it publishes no map meanwhile.
  void keep_a_write_open() {
    for (const auto& name : names)
      if (name != fleet.master())
        fleet.at(name).extra_disk_ms = 7000;
    fleet.edit(fleet.master());
  }
  std::string a_follower() const {
    return *std::find_if(names.begin(), names.end(), [&](const auto& name) { return name != fleet.master(); });
  }
  // Whether the data daemons fed by these keep off the marked runner from the given time on, for 3 s more.
  void expect_kept_off(const std::vector<std::string>& feeders, std::int64_t within_ms) {
    fleet.run(within_ms);
    for (std::int64_t later = 0; later <= 3000; later += tick_ms) {
      for (const auto& name : feeders)
        ASSERT_TRUE(fed.at(name)->keeps_off()) << name << " after " << within_ms + later << "\n" << fleet.trace();
      fleet.run(tick_ms);
    }
  }

  MachineFleet fleet;
  std::vector<std::string> names;
  std::unique_ptr<ServiceDiscovery> discovery;
  std::map<std::string, std::unique_ptr<FedDataDaemon>> fed;
};

TEST(DrainingRunner, TheMasterAloneReadsTheListInCalmTimesAndAMarkIsKnownWithinASecondAndAHalf) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    DrainingRunners scene(seed);
    scene.fleet.run(10000);
    for (const auto& name : scene.names)
      if (name != scene.fleet.master()) {
        EXPECT_EQ(scene.discovery->reads_by(name), 0) << name;
      }
    scene.discovery->mark_draining(marked);
    scene.expect_kept_off(scene.names, 1500);
    if (testing::Test::HasFailure())
      return;
  }
}

TEST(DrainingRunner, AMarkIsKnownInTimeWhileTheMasterIsFrozen) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    DrainingRunners scene(seed);
    std::string lost = scene.fleet.master();
    scene.fleet.freeze(lost, true);
    scene.fleet.run(scene.fleet.random().below(1500));
    scene.discovery->mark_draining(marked);
    auto feeders = scene.names;
    feeders.erase(std::remove(feeders.begin(), feeders.end(), lost), feeders.end());
    scene.expect_kept_off(feeders, longest_delay_ms);
    if (testing::Test::HasFailure())
      return;
  }
}

TEST(DrainingRunner, ADaemonThatIsCutOffFromTheOthersStillTellsTheDataDaemonsThatItFeeds) {
  for (bool is_master_cut_off : {false, true})
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      SCOPED_TRACE(std::string(is_master_cut_off ? "the master, seed " : "a follower, seed ") + std::to_string(seed));
      DrainingRunners scene(seed);
      std::string lost = is_master_cut_off ? scene.fleet.master() : scene.a_follower();
      scene.fleet.cut_zone(scene.fleet.at(lost).zone.text);
      scene.fleet.run(scene.fleet.random().below(4000));
      scene.discovery->mark_draining(marked);
      scene.expect_kept_off(scene.names, longest_delay_ms);
      if (testing::Test::HasFailure())
        return;
    }
}

TEST(DrainingRunner, AMarkIsKnownInTimeWhileAWriteKeepsTheMasterFromPublishing) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    DrainingRunners scene(seed);
    scene.keep_a_write_open();
    scene.fleet.run(200);
    scene.discovery->mark_draining(marked);
    scene.expect_kept_off(scene.names, longest_delay_ms);
    if (testing::Test::HasFailure())
      return;
  }
}

// No map names it yet, and a follower feeds it, which hears of a master that leads and so does not read the list.
TEST(DrainingRunner, ADataDaemonThatHasJustStartedIsToldAsWellWhileAWriteKeepsTheMasterFromPublishing) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    DrainingRunners scene(seed);
    scene.keep_a_write_open();
    scene.feed("newcomer", scene.a_follower());
    scene.fleet.run(100);
    scene.discovery->mark_draining(marked);
    scene.expect_kept_off({"newcomer"}, longest_delay_ms);
    if (testing::Test::HasFailure())
      return;
  }
}

}  // namespace
}  // namespace emberdale
