// What control daemons that are cut off, paused or just started may still return: reads, slices, the directory, the
// runner list. Virtual time, disks in memory.
#include <gtest/gtest.h>

#include "support/machine_fleet.hpp"

namespace emberdale {
namespace {

// Reads that were requested at one daemon one after the other, and how they ended.
struct Reads {
  int requested = 0;
  int succeeded = 0;
  int failed = 0;
  std::vector<std::int64_t> versions;
};

std::shared_ptr<Reads> read_steadily(MachineFleet& fleet, const std::string& where, int count,
                                     std::int64_t interval_ms) {
  auto reads = std::make_shared<Reads>();
  for (int i = 0; i < count; ++i)
    fleet.later(i * interval_ms, [&fleet, reads, where] {
      ++reads->requested;
      fleet.call_daemon(where, [reads](ControlDaemon& daemon, TimePoint now) {
        daemon.read(
            [reads](const FleetState* state) {
              if (state == nullptr)
                ++reads->failed;
              else
                reads->versions.push_back(state->version);
              reads->succeeded += state != nullptr;
            },
            now);
      });
    });
  return reads;
}

TEST(StaleDaemon, ManyReadsASecondAllSucceed) {
  // Responses take longer than the next read takes to come.
  MachineFleet fleet(3);
  auto names = bring_up(fleet, 3);
  fleet.delay = 30;
  fleet.run(1000);
  auto reads = read_steadily(fleet, names[1], 400, 10);
  fleet.run(7000);
  EXPECT_EQ(reads->succeeded, reads->requested);
  EXPECT_EQ(reads->failed, 0);
}

TEST(StaleDaemon, AReadCountsNoResponseToAnEarlierRequestOfTheSameMillisecond) {
  MachineFleet fleet(4);
  auto names = bring_up(fleet, 3);
  std::string reader = fleet.master() == names[1] ? names[2] : names[1];
  fleet.delay = 0;  // request and response fit into one millisecond
  std::int64_t last_request = 0;
  std::map<std::int64_t, int> responses;  // by request id
  fleet.on_send = [&](const std::string& from, const Address& to, const Message& message) {
    if (const auto* request = std::get_if<ReadRequest>(&message); request != nullptr && from == reader)
      last_request = request->request_id;
    if (const auto* response = std::get_if<ReadResponse>(&message);
        response != nullptr && to == fleet.at(reader).address)
      ++responses[response->request_id];
  };
  // Reads until the callback is called; gives how many responses had come to requests that were sent after the read.
  auto read_once = [&] {
    std::int64_t last_before = last_request;
    int counted = -1;
    fleet.call_daemon(reader, [&](ControlDaemon& daemon, TimePoint now) {
      daemon.read(
          [&](const FleetState* state) {
            ASSERT_NE(state, nullptr);
            counted = 0;
            for (const auto& [request_id, count] : responses)
              counted += request_id > last_before ? count : 0;
          },
          now);
    });
    fleet.run_until([&] { return counted >= 0; }, 1000);
    return counted;
  };
  EXPECT_GE(read_once(), 2);
  std::int64_t first_over = fleet.now();
  EXPECT_GE(read_once(), 2);
  EXPECT_EQ(fleet.now(), first_over);
}

TEST(StaleDaemon, AReadThatAPauseInterruptedFails) {
  // Responses to its requests wait in the buffers for 20 s: by then the client is gone, and the state may be old.
  MachineFleet fleet(5);
  auto names = bring_up(fleet, 3);
  std::string reader = fleet.master() == names[1] ? names[2] : names[1];
  auto reads = read_steadily(fleet, reader, 1, 1);
  fleet.run_until([&] { return reads->requested == 1; }, 10);
  fleet.at(reader).buffers_while_frozen = true;
  fleet.freeze(reader, true);
  fleet.run(20000);
  EXPECT_EQ(reads->succeeded + reads->failed, 0);
  fleet.freeze(reader, false);
  fleet.run(500);
  EXPECT_EQ(reads->succeeded, 0);
  EXPECT_EQ(reads->failed, 1);
}

Subscribe subscribe_from_blank(std::int64_t sent_at) {
  Subscribe subscribe;
  subscribe.sender =
      DaemonEntry{Address{"10.0.1.1:7001"}, "http-d", DaemonRole::data, ZoneName{"a"}, RegionName{"north"}, 1};
  subscribe.topics.push_back({plans_topic, MapVersion{}});
  subscribe.sent_at = sent_at;
  return subscribe;
}

// An update that one machine sent, and when.
struct SentUpdate {
  std::int64_t at;
  SliceUpdate update;
};

std::shared_ptr<std::vector<SentUpdate>> watch_updates(MachineFleet& fleet, const std::string& of) {
  auto sent = std::make_shared<std::vector<SentUpdate>>();
  fleet.on_send = [&fleet, sent, of](const std::string& from, const Address&, const Message& message) {
    const auto* update = std::get_if<SliceUpdate>(&message);
    if (update != nullptr && from == of)
      sent->push_back({fleet.now(), *update});
  };
  return sent;
}

TEST(StaleDaemon, AMasterThatResumesReadsTheRegisterBeforeItSendsSlices) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    bring_up(fleet, 3);
    std::string old_master = fleet.master();
    fleet.at(old_master).buffers_while_frozen = seed % 2 == 0;
    fleet.freeze(old_master, true);
    fleet.run(20000);
    ASSERT_TRUE(fleet.edit_until_done(4000)) << fleet.trace();
    std::int64_t old_term = fleet.at(old_master).control->map().version.term;
    auto sent = watch_updates(fleet, old_master);
    Address newcomer = subscribe_from_blank(0).sender.address;
    for (std::int64_t i = 0; i < 10; ++i)
      fleet.later(i * 200, [&, i] {
        fleet.call_daemon(old_master, [&](ControlDaemon& daemon, TimePoint now) {
          daemon.on_message(newcomer, subscribe_from_blank(i + 1), now);
        });
      });
    std::int64_t woke = fleet.now();
    fleet.freeze(old_master, false);
    fleet.run(4000);
    ASSERT_FALSE(sent->empty());
    for (const auto& [at, update] : *sent)
      EXPECT_TRUE(update.version.term > old_term || update.quorum_age_ms >= 20000)
          << at - woke << " ms after it woke it sends " << show(update.version) << " with the age "
          << update.quorum_age_ms;
    if (HasFailure())
      return;
  }
}

TEST(StaleDaemon, AMasterThatIsCutOffReportsTheAgeOfItsQuorum) {
  for (bool is_one_way : {false, true}) {
    MachineFleet fleet(8);
    auto names = bring_up(fleet, 3);
    std::string old_master = fleet.master();
    auto sent = watch_updates(fleet, old_master);
    fleet.run(2000);
    std::int64_t cut = fleet.now();
    for (const auto& name : names)
      if (name != old_master) {
        fleet.cut_one_way(name, old_master);
        if (!is_one_way)
          fleet.cut_one_way(old_master, name);
      }
    Address newcomer = subscribe_from_blank(0).sender.address;
    for (std::int64_t i = 0; i < 100; ++i)
      fleet.later(i * 200, [&, i] {
        fleet.call_daemon(old_master, [&](ControlDaemon& daemon, TimePoint now) {
          daemon.on_message(newcomer, subscribe_from_blank(i + 1), now);
        });
      });
    fleet.run(20000);
    ASSERT_FALSE(sent->empty());
    for (const auto& [at, update] : *sent) {
      EXPECT_GE(update.quorum_age_ms, at - cut) << at - cut << " ms after the cut";
      EXPECT_LE(update.quorum_age_ms, at - cut + 1300)
          << at - cut << " ms after the cut";  // and not as older than it is
    }
  }
}

TEST(StaleDaemon, ADaemonThatHasJustStartedUsesNoMapBeforeItHasReadTheRegister) {
  MachineFleet fleet(9);
  auto names = bring_up(fleet, 3);
  std::string late = fleet.master() == names[0] ? names[1] : names[0];
  PlacementMap old_map = fleet.at(late).control->map();
  fleet.power_cut(late);
  ASSERT_TRUE(fleet.edit_until_done(8000)) << fleet.trace();
  for (const auto& name : names)
    fleet.cut_connection(name, late);
  fleet.start(late, false);
  fleet.call_daemon(late, [&](ControlDaemon& daemon, TimePoint now) {
    daemon.on_message(Address{"10.0.0.99:7000"}, PlacementUpdate{old_map, false}, now);
  });
  fleet.run(3000);
  EXPECT_EQ(show(fleet.at(late).control->map().version), show(MapVersion{}));
  fleet.heal();
  EXPECT_TRUE(fleet.run_until(
      [&] { return fleet.at(late).control->map().version == fleet.at(fleet.master()).control->map().version; }, 8000))
      << fleet.trace();
}

TEST(StaleDaemon, OneMasterAtATimeReadsTheRunnerList) {
  enum class Fault { cut, cut_one_way, paused };
  for (Fault fault : {Fault::cut, Fault::cut_one_way, Fault::paused})
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      SCOPED_TRACE("fault " + std::to_string(static_cast<int>(fault)) + " seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      fleet.adjust_settings = [](ControlDaemonSettings& settings) {
        settings.reads_runner_list = true;
      };
      auto names = bring_up(fleet, 3);
      std::string old_master = fleet.master();
      std::map<std::string, std::vector<std::int64_t>> readings;
      std::function<void()> read_lists = [&] {
        for (const auto& name : fleet.running())
          fleet.call_daemon(name, [&](ControlDaemon& daemon, TimePoint now) {
            if (!daemon.begin_list_read(now))
              return;
            readings[name].push_back(fleet.now());
            daemon.on_runner_list(std::vector<ListedRunner>{}, now, now);
          });
        fleet.later(25, read_lists);
      };
      read_lists();
      fleet.run(3000);
      EXPECT_GE(readings[old_master].size(), 3u);
      std::int64_t cut = fleet.now();
      for (const auto& name : names)
        if (name != old_master && fault != Fault::paused) {
          fleet.cut_one_way(old_master, name);
          if (fault == Fault::cut)
            fleet.cut_one_way(name, old_master);
        }
      fleet.at(old_master).buffers_while_frozen = true;
      if (fault == Fault::paused)
        fleet.freeze(old_master, true);
      fleet.run(20000);
      fleet.freeze(old_master, false);
      fleet.run(3000);
      ASSERT_FALSE(readings[old_master].empty());
      std::int64_t first_of_next = INT64_MAX;
      for (const auto& [name, times] : readings)
        if (name != old_master)
          first_of_next = std::min(first_of_next, times.front());
      EXPECT_LT(readings[old_master].back(), first_of_next)
          << readings[old_master].back() - cut << " ms after the cut; the next began at " << first_of_next - cut;
      if (HasFailure())
        return;
    }
  // That it was never violated, the test program itself checks.
  EXPECT_GT(process_invariants().checks(Invariant::runner_list_fresh), 0);
}

// Simulated data daemons, which subscribe at machines of the fleet every 0.4 s.
class Fronts {
 public:
  explicit Fronts(MachineFleet& fleet) : fleet_(fleet) {}

  // Example: fronts.subscribe("d1", "a", {"a0"}, [&] { return is_alive; })
  void subscribe(const std::string& name, const std::string& zone, const std::string& owner,
                 std::function<bool()> is_alive) {
    if (is_alive() && fleet_.at(owner).is_up && !fleet_.at(owner).is_frozen) {
      Subscribe subscribe;
      subscribe.sender =
          DaemonEntry{address_of(name), "http-" + name, DaemonRole::data, ZoneName{zone}, RegionName{"north"}, 1};
      subscribe.topics.push_back({plans_topic, MapVersion{1, 1}});
      subscribe.version = MapVersion{1, 1};
      subscribe.sent_at = fleet_.now() + 1;
      fleet_.call_daemon(
          owner, [&](ControlDaemon& daemon, TimePoint now) { daemon.on_message(address_of(name), subscribe, now); });
    }
    fleet_.later(400, [=] { subscribe_again(name, zone, owner, is_alive); });
  }

  std::set<std::string> named_by(const std::string& machine, const std::string& zone) {
    std::set<std::string> named;
    fleet_.call_daemon(machine, [&](ControlDaemon& daemon, TimePoint now) {
      for (const auto& http : daemon.gateway_addresses(RegionName{"north"}, ZoneName{zone}, 64, now))
        named.insert(http);
    });
    return named;
  }

 private:
  void subscribe_again(const std::string& name, const std::string& zone, const std::string& owner,
                       const std::function<bool()>& is_alive) {
    subscribe(name, zone, owner, is_alive);
  }
  static Address address_of(const std::string& name) { return Address{"10.0.1." + name.substr(1) + ":7001"}; }

  MachineFleet& fleet_;
};

using Names = std::set<std::string>;

TEST(StaleDaemon, ACutOffDirectoryNamesInTheEndOnlyItsOwnSubscribers) {
  MachineFleet fleet(12);
  fleet.adjust_settings = [](ControlDaemonSettings& settings) {
    settings.reads_runner_list = true;  // as on the platform, which has a directory
  };
  auto names = bring_up(fleet, 3);
  std::string cut_off = fleet.master() == "a0" ? "b0" : "a0";
  std::string zone = cut_off.substr(0, 1), other = fleet.master();
  Fronts fronts(fleet);
  bool is_first_alive = true;
  fronts.subscribe("d1", zone, cut_off, [&] { return is_first_alive; });
  fronts.subscribe("d2", zone, cut_off, [] { return true; });
  fronts.subscribe("d3", other.substr(0, 1), other, [] { return true; });
  ASSERT_TRUE(fleet.run_until([&] { return fronts.named_by(cut_off, "none").size() == 3; }, 5000)) << fleet.trace();
  EXPECT_EQ(fronts.named_by(cut_off, zone), (Names{"http-d1", "http-d2"}));
  // From here on it hears no other control daemon, and one of its data daemons dies.
  is_first_alive = false;
  for (const auto& name : names)
    fleet.cut_connection(name, cut_off);
  std::int64_t cut = fleet.now();
  std::int64_t last_named_dead = 0, last_named_far = 0;
  for (std::int64_t ms = 0; ms < 20000; ms += 100) {
    fleet.run(100);
    auto named = fronts.named_by(cut_off, "none");
    EXPECT_EQ(named.count("http-d2"), 1u) << ms;
    if (named.count("http-d1") != 0)
      last_named_dead = fleet.now() - cut;
    if (named.count("http-d3") != 0)
      last_named_far = fleet.now() - cut;
  }
  EXPECT_LE(last_named_dead, 1800);
  // The map counts while the master's report on it is fresh, and no longer: nothing is known of the others.
  EXPECT_GE(last_named_far, 1000);
  EXPECT_LE(last_named_far, 2500);
  fleet.heal();
  EXPECT_TRUE(fleet.run_until(
      [&] {
        return fronts.named_by(cut_off, "none") == Names{"http-d2", "http-d3"};
      },
      8000))
      << fleet.trace();
}

TEST(StaleDaemon, ADirectoryThatResumesNamesNoOneFromAnOldMap) {
  MachineFleet fleet(13);
  bring_up(fleet, 3);
  std::string paused = fleet.master() == "a0" ? "b0" : "a0";
  std::string zone = paused.substr(0, 1);
  Fronts fronts(fleet);
  bool is_first_alive = true;
  fronts.subscribe("d1", zone, paused, [&] { return is_first_alive; });
  fronts.subscribe("d2", zone, paused, [] { return true; });
  ASSERT_TRUE(fleet.run_until([&] { return fronts.named_by(paused, zone).size() == 2; }, 5000)) << fleet.trace();
  fleet.run(1000);
  fleet.freeze(paused, true);
  fleet.run(1000);
  is_first_alive = false;
  fleet.run(20000);
  fleet.freeze(paused, false);
  for (int i = 0; i < 80; ++i) {
    EXPECT_EQ(fronts.named_by(paused, zone).count("http-d1"), 0u) << i * 50 << " ms after it woke";
    fleet.run(50);
  }
  EXPECT_EQ(fronts.named_by(paused, zone).count("http-d2"), 1u);
}

enum class Cut { whole, unheard, deaf };  // both ways; it is not heard; it hears nobody
enum class Inside { nothing, restart, pause };

// What one machine that is cut off says in those 20 s.
struct Said {
  int reads = 0, old_reads = 0, refused_edits = 0, steps_back = 0;
};

// Requests a read and an edit at the machine, and checks its map, every 250 ms.
void request_id(MachineFleet& fleet, const std::string& name, const std::shared_ptr<Said>& said,
                const std::shared_ptr<std::int64_t>& acknowledged, int incarnation, MapVersion last) {
  if (fleet.at(name).is_up && !fleet.at(name).is_frozen) {
    MapVersion shown = fleet.at(name).control->map().version;
    said->steps_back += incarnation == fleet.at(name).incarnation && shown < last;
    incarnation = fleet.at(name).incarnation;
    last = shown;
    fleet.call_daemon(name, [&](ControlDaemon& daemon, TimePoint now) {
      daemon.read(
          [said, floor = *acknowledged](const FleetState* state) {
            said->reads += state != nullptr;
            said->old_reads += state != nullptr && state->config_revision < floor;
          },
          now);
    });
    auto outcome = fleet.edit(name);
    fleet.later(9000, [said, outcome] {
      said->refused_edits += outcome->is_over && outcome->code >= 400 && outcome->code < 500;
    });
  }
  fleet.later(250, [&fleet, name, said, acknowledged, incarnation, last] {
    request_id(fleet, name, said, acknowledged, incarnation, last);
  });
}

TEST(StaleDaemon, CutOffForTwentySecondsItNeitherReturnsOldStateNorRefusesNorGoesBack) {
  for (Cut cut : {Cut::whole, Cut::unheard, Cut::deaf})
    for (bool is_leader : {true, false})
      for (Inside inside : {Inside::nothing, Inside::restart, Inside::pause})
        for (std::uint64_t seed = 1; seed <= std::max<std::uint64_t>(1, seed_count / 30); ++seed) {
          SCOPED_TRACE("cut " + std::to_string(static_cast<int>(cut)) + " leader " + std::to_string(is_leader) +
                       " inside " + std::to_string(static_cast<int>(inside)) + " seed " + std::to_string(seed));
          MachineFleet fleet(seed);
          auto names = bring_up(fleet, 3);
          std::string lone = fleet.master();
          if (!is_leader)
            lone = lone == names[0] ? names[1] : names[0];
          std::string other = lone == names[2] ? names[1] : names[2];
          auto said = std::make_shared<Said>();
          auto acknowledged = std::make_shared<std::int64_t>(fleet.state(fleet.master()).config_revision);
          request_id(fleet, lone, said, acknowledged, fleet.at(lone).incarnation, MapVersion{});
          for (const auto& name : names)
            if (name != lone) {
              if (cut != Cut::deaf)
                fleet.cut_one_way(lone, name);
              if (cut != Cut::unheard)
                fleet.cut_one_way(name, lone);
            }
          std::int64_t end = fleet.now() + 20000;
          fleet.later(4000 + fleet.random().below(8000), [&] {
            fleet.at(lone).buffers_while_frozen = seed % 2 == 0;
            if (inside == Inside::restart) {
              fleet.power_cut(lone);
              fleet.later(500, [&] { fleet.start(lone, false); });
            } else if (inside == Inside::pause) {
              fleet.freeze(lone, true);
              fleet.later(5000, [&] { fleet.freeze(lone, false); });
            }
          });
          while (fleet.now() < end) {
            if (fleet.edit_until_done(std::min<std::int64_t>(9000, end - fleet.now()), other))
              *acknowledged = std::max(*acknowledged, fleet.state(other).config_revision);
            fleet.run(500);
          }
          fleet.heal();
          EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 12000)) << fleet.trace();
          fleet.run(10000);
          EXPECT_EQ(said->old_reads, 0);
          EXPECT_EQ(said->refused_edits, 0);
          EXPECT_EQ(said->steps_back, 0);
          EXPECT_GT(said->reads, 0);
          fleet.expect_nothing_lost(lone);
          if (HasFailure())
            return;
        }
}

}  // namespace
}  // namespace emberdale
