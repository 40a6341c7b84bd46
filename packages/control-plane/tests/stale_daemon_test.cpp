// What control daemons that are cut off, paused or just started still say: reads, slices, the directory, the runners'
// list. Virtual time, disks in memory.
#include <gtest/gtest.h>

#include "support/machine_fleet.hpp"

using namespace emberdale;

namespace {

// Reads asked of one daemon one after the other, and how they ended.
struct Reads {
  int asked = 0, answered = 0, unanswered = 0;
  std::vector<std::int64_t> versions;
};

std::shared_ptr<Reads> read_steadily(MachineFleet& fleet, const std::string& where, int count, std::int64_t pace) {
  auto reads = std::make_shared<Reads>();
  for (int i = 0; i < count; ++i)
    fleet.later(i * pace, [&fleet, reads, where] {
      ++reads->asked;
      fleet.act(where, [reads](ControlDaemon& daemon, TimePoint now) {
        daemon.read(
            [reads](const FleetState* state) {
              if (state == nullptr)
                ++reads->unanswered;
              else
                reads->versions.push_back(state->version);
              reads->answered += state != nullptr;
            },
            now);
      });
    });
  return reads;
}

}  // namespace

TEST(StaleDaemon, ManyReadsASecondAreAllAnswered) {
  // Answers take longer than the next read takes to come.
  MachineFleet fleet(3);
  auto names = bring_up(fleet, 3);
  fleet.delay = 30;
  fleet.run(1000);
  auto reads = read_steadily(fleet, names[1], 400, 10);
  fleet.run(7000);
  EXPECT_EQ(reads->answered, reads->asked);
  EXPECT_EQ(reads->unanswered, 0);
}

TEST(StaleDaemon, AReadCountsNoAnswerToAQuestionOfTheSameMillisecondThatWasAskedBeforeIt) {
  MachineFleet fleet(4);
  auto names = bring_up(fleet, 3);
  std::string reader = fleet.master() == names[1] ? names[2] : names[1];
  fleet.delay = 0;  // question and answer fit into one millisecond
  std::int64_t last_question = 0;
  std::map<std::int64_t, int> answers;  // by question
  fleet.on_send = [&](const std::string& from, const Address& to, const Message& message) {
    if (const auto* request = std::get_if<ReadRequest>(&message); request != nullptr && from == reader)
      last_question = request->request_id;
    if (const auto* response = std::get_if<ReadResponse>(&message);
        response != nullptr && to == fleet.at(reader).address)
      ++answers[response->request_id];
  };
  // Reads until its callback has come; what it was answered by: answers to questions that were asked after it.
  auto read_once = [&] {
    std::int64_t asked_before = last_question;
    int counted = -1;
    fleet.act(reader, [&](ControlDaemon& daemon, TimePoint now) {
      daemon.read(
          [&](const FleetState* state) {
            ASSERT_NE(state, nullptr);
            counted = 0;
            for (const auto& [question, count] : answers)
              counted += question > asked_before ? count : 0;
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

TEST(StaleDaemon, AReadThatAPauseOvertookIsNotAnswered) {
  // Its question's answers wait in the buffers for 20 s: by then the asker is gone, and the state may be old.
  MachineFleet fleet(5);
  auto names = bring_up(fleet, 3);
  std::string reader = fleet.master() == names[1] ? names[2] : names[1];
  auto reads = read_steadily(fleet, reader, 1, 1);
  fleet.run_until([&] { return reads->asked == 1; }, 10);
  fleet.at(reader).keeps_what_comes = true;
  fleet.freeze(reader, true);
  fleet.run(20000);
  EXPECT_EQ(reads->answered + reads->unanswered, 0);
  fleet.freeze(reader, false);
  fleet.run(500);
  EXPECT_EQ(reads->answered, 0);
  EXPECT_EQ(reads->unanswered, 1);
}

namespace {

Subscribe subscribe_from_blank(std::int64_t stamp) {
  Subscribe subscribe;
  subscribe.sender =
      DaemonEntry{Address{"10.0.1.1:7001"}, "http-d", DaemonRole::data, ZoneName{"a"}, RegionName{"north"}, 1};
  subscribe.topics.push_back({plans_topic, MapVersion{}});
  subscribe.sent_at = stamp;
  return subscribe;
}

// News that one machine sends from now on, and when.
struct SentNews {
  std::int64_t at;
  SliceUpdate update;
};

std::shared_ptr<std::vector<SentNews>> watch_news(MachineFleet& fleet, const std::string& of) {
  auto sent = std::make_shared<std::vector<SentNews>>();
  fleet.on_send = [&fleet, sent, of](const std::string& from, const Address&, const Message& message) {
    const auto* update = std::get_if<SliceUpdate>(&message);
    if (update != nullptr && from == of)
      sent->push_back({fleet.now(), *update});
  };
  return sent;
}

}  // namespace

TEST(StaleDaemon, AMasterThatWakesAsksBeforeItFeedsANewcomer) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    bring_up(fleet, 3);
    std::string elder = fleet.master();
    fleet.at(elder).keeps_what_comes = seed % 2 == 0;
    fleet.freeze(elder, true);
    fleet.run(20000);
    ASSERT_TRUE(fleet.edit_until_done(4000)) << fleet.story();
    std::int64_t elder_term = fleet.at(elder).control->map().version.term;
    auto sent = watch_news(fleet, elder);
    Address newcomer = subscribe_from_blank(0).sender.address;
    for (std::int64_t i = 0; i < 10; ++i)
      fleet.later(i * 200, [&, i] {
        fleet.act(elder, [&](ControlDaemon& daemon, TimePoint now) {
          daemon.on_message(newcomer, subscribe_from_blank(i + 1), now);
        });
      });
    std::int64_t woke = fleet.now();
    fleet.freeze(elder, false);
    fleet.run(4000);
    ASSERT_FALSE(sent->empty());
    for (const auto& [at, news] : *sent)
      EXPECT_TRUE(news.version.term > elder_term || news.quorum_age_ms >= 20000)
          << at - woke << " ms after it woke it tells of " << show(news.version) << " with the age "
          << news.quorum_age_ms;
    if (HasFailure())
      return;
  }
}

TEST(StaleDaemon, AMasterThatIsCutOffTellsHowOldItsQuorumIs) {
  for (bool is_one_way : {false, true}) {
    MachineFleet fleet(8);
    auto names = bring_up(fleet, 3);
    std::string elder = fleet.master();
    auto sent = watch_news(fleet, elder);
    fleet.run(2000);
    std::int64_t cut = fleet.now();
    for (const auto& name : names)
      if (name != elder) {
        fleet.cut_one_way(name, elder);
        if (!is_one_way)
          fleet.cut_one_way(elder, name);
      }
    Address newcomer = subscribe_from_blank(0).sender.address;
    for (std::int64_t i = 0; i < 100; ++i)
      fleet.later(i * 200, [&, i] {
        fleet.act(elder, [&](ControlDaemon& daemon, TimePoint now) {
          daemon.on_message(newcomer, subscribe_from_blank(i + 1), now);
        });
      });
    fleet.run(20000);
    ASSERT_FALSE(sent->empty());
    for (const auto& [at, news] : *sent) {
      EXPECT_GE(news.quorum_age_ms, at - cut) << at - cut << " ms after the cut";
      EXPECT_LE(news.quorum_age_ms, at - cut + 1300)
          << at - cut << " ms after the cut";  // and it is not told as older than it is
    }
  }
}

TEST(StaleDaemon, OneThatHasJustStartedTakesNoMapBeforeTheRegisterHasAnswered) {
  MachineFleet fleet(9);
  auto names = bring_up(fleet, 3);
  std::string late = fleet.master() == names[0] ? names[1] : names[0];
  PlacementMap elder_map = fleet.at(late).control->map();
  fleet.power_cut(late);
  ASSERT_TRUE(fleet.edit_until_done(8000)) << fleet.story();
  for (const auto& name : names)
    fleet.cut_connection(name, late);
  fleet.start(late, false);
  fleet.act(late, [&](ControlDaemon& daemon, TimePoint now) {
    daemon.on_message(Address{"10.0.0.99:7000"}, PlacementUpdate{elder_map, false}, now);
  });
  fleet.run(3000);
  EXPECT_EQ(show(fleet.at(late).control->map().version), show(MapVersion{}));
  fleet.heal();
  EXPECT_TRUE(fleet.run_until(
      [&] { return fleet.at(late).control->map().version == fleet.at(fleet.master()).control->map().version; }, 8000))
      << fleet.story();
}

TEST(StaleDaemon, OneMasterAtATimeReadsTheRunnersList) {
  enum class Fault { cut, cut_one_way, paused };
  for (Fault fault : {Fault::cut, Fault::cut_one_way, Fault::paused})
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      SCOPED_TRACE("fault " + std::to_string(static_cast<int>(fault)) + " seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      fleet.adjust = [](ControlDaemonSettings& settings) {
        settings.reads_runner_list = true;
      };
      auto names = bring_up(fleet, 3);
      std::string elder = fleet.master();
      std::map<std::string, std::vector<std::int64_t>> readings;
      std::function<void()> read_lists = [&] {
        for (const auto& name : fleet.running())
          fleet.act(name, [&](ControlDaemon& daemon, TimePoint now) {
            if (!daemon.begin_list_read(now))
              return;
            readings[name].push_back(fleet.now());
            daemon.on_runner_list(std::vector<ListedRunner>{}, now, now);
          });
        fleet.later(25, read_lists);
      };
      read_lists();
      fleet.run(3000);
      EXPECT_GE(readings[elder].size(), 3u);
      std::int64_t cut = fleet.now();
      for (const auto& name : names)
        if (name != elder && fault != Fault::paused) {
          fleet.cut_one_way(elder, name);
          if (fault == Fault::cut)
            fleet.cut_one_way(name, elder);
        }
      fleet.at(elder).keeps_what_comes = true;
      if (fault == Fault::paused)
        fleet.freeze(elder, true);
      fleet.run(20000);
      fleet.freeze(elder, false);
      fleet.run(3000);
      ASSERT_FALSE(readings[elder].empty());
      std::int64_t first_of_next = INT64_MAX;
      for (const auto& [name, times] : readings)
        if (name != elder)
          first_of_next = std::min(first_of_next, times.front());
      EXPECT_LT(readings[elder].back(), first_of_next)
          << readings[elder].back() - cut << " ms after the cut; the next began at " << first_of_next - cut;
      if (HasFailure())
        return;
    }
}

namespace {

// Data daemons by hand, that subscribe at machines of the fleet every 0.4 s.
class Fronts {
 public:
  explicit Fronts(MachineFleet& fleet) : fleet_(fleet) {}

  // Example: fronts.subscribe("d1", "a", {"a0"}, [&] { return is_alive; })
  void subscribe(const std::string& name, const std::string& zone, const std::string& home,
                 std::function<bool()> is_alive) {
    if (is_alive() && fleet_.at(home).is_up && !fleet_.at(home).is_frozen) {
      Subscribe subscribe;
      subscribe.sender =
          DaemonEntry{address_of(name), "http-" + name, DaemonRole::data, ZoneName{zone}, RegionName{"north"}, 1};
      subscribe.topics.push_back({plans_topic, MapVersion{1, 1}});
      subscribe.version = MapVersion{1, 1};
      subscribe.sent_at = fleet_.now() + 1;
      fleet_.act(home,
                 [&](ControlDaemon& daemon, TimePoint now) { daemon.on_message(address_of(name), subscribe, now); });
    }
    fleet_.later(400, [=] { subscribe_again(name, zone, home, is_alive); });
  }

  std::set<std::string> named_by(const std::string& machine, const std::string& zone) {
    std::set<std::string> named;
    fleet_.act(machine, [&](ControlDaemon& daemon, TimePoint now) {
      for (const auto& http : daemon.gateway_addresses(RegionName{"north"}, ZoneName{zone}, 64, now))
        named.insert(http);
    });
    return named;
  }

 private:
  void subscribe_again(const std::string& name, const std::string& zone, const std::string& home,
                       const std::function<bool()>& is_alive) {
    subscribe(name, zone, home, is_alive);
  }
  static Address address_of(const std::string& name) { return Address{"10.0.1." + name.substr(1) + ":7001"}; }

  MachineFleet& fleet_;
};

using Names = std::set<std::string>;

}  // namespace

TEST(StaleDaemon, ACutOffDirectoryNamesAtLastOnlyWhoStillSubscribesThere) {
  MachineFleet fleet(12);
  auto names = bring_up(fleet, 3);
  std::string cut_off = fleet.master() == "a0" ? "b0" : "a0";
  std::string zone = cut_off.substr(0, 1), other = fleet.master();
  Fronts fronts(fleet);
  bool is_first_alive = true;
  fronts.subscribe("d1", zone, cut_off, [&] { return is_first_alive; });
  fronts.subscribe("d2", zone, cut_off, [] { return true; });
  fronts.subscribe("d3", other.substr(0, 1), other, [] { return true; });
  ASSERT_TRUE(fleet.run_until([&] { return fronts.named_by(cut_off, "none").size() == 3; }, 5000)) << fleet.story();
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
  EXPECT_GE(last_named_far, 5000);  // the map's word still counts through an election
  EXPECT_LE(last_named_far, 10000);
  fleet.heal();
  EXPECT_TRUE(fleet.run_until(
      [&] {
        return fronts.named_by(cut_off, "none") == Names{"http-d2", "http-d3"};
      },
      8000))
      << fleet.story();
}

TEST(StaleDaemon, ADirectoryThatWakesNamesNobodyOnAnOldMapsWord) {
  MachineFleet fleet(13);
  bring_up(fleet, 3);
  std::string paused = fleet.master() == "a0" ? "b0" : "a0";
  std::string zone = paused.substr(0, 1);
  Fronts fronts(fleet);
  bool is_first_alive = true;
  fronts.subscribe("d1", zone, paused, [&] { return is_first_alive; });
  fronts.subscribe("d2", zone, paused, [] { return true; });
  ASSERT_TRUE(fleet.run_until([&] { return fronts.named_by(paused, zone).size() == 2; }, 5000)) << fleet.story();
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

namespace {

enum class Cut { whole, unheard, deaf };  // both ways; it is not heard; it hears nobody
enum class Inside { nothing, restart, pause };

// What one machine that is cut off says in those 20 s.
struct Said {
  int reads = 0, old_reads = 0, refused_edits = 0, steps_back = 0;
};

// Asks the machine for a read and an edit, and looks at its map, every 250 ms.
void question(MachineFleet& fleet, const std::string& name, const std::shared_ptr<Said>& said,
              const std::shared_ptr<std::int64_t>& acknowledged, int incarnation, MapVersion last) {
  if (fleet.at(name).is_up && !fleet.at(name).is_frozen) {
    MapVersion shown = fleet.at(name).control->map().version;
    said->steps_back += incarnation == fleet.at(name).incarnation && shown < last;
    incarnation = fleet.at(name).incarnation;
    last = shown;
    fleet.act(name, [&](ControlDaemon& daemon, TimePoint now) {
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
    question(fleet, name, said, acknowledged, incarnation, last);
  });
}

}  // namespace

TEST(StaleDaemon, CutOffForTwentySecondsItNeitherTellsOldStateNorRefusesNorStepsBack) {
  for (Cut cut : {Cut::whole, Cut::unheard, Cut::deaf})
    for (bool is_leader : {true, false})
      for (Inside inside : {Inside::nothing, Inside::restart, Inside::pause})
        for (std::uint64_t seed = 1; seed <= std::max<std::uint64_t>(1, seeds / 30); ++seed) {
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
          question(fleet, lone, said, acknowledged, fleet.at(lone).incarnation, MapVersion{});
          for (const auto& name : names)
            if (name != lone) {
              if (cut != Cut::deaf)
                fleet.cut_one_way(lone, name);
              if (cut != Cut::unheard)
                fleet.cut_one_way(name, lone);
            }
          std::int64_t end = fleet.now() + 20000;
          fleet.later(4000 + fleet.random().below(8000), [&] {
            fleet.at(lone).keeps_what_comes = seed % 2 == 0;
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
          EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 12000)) << fleet.story();
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
