// How long operators wait for an acknowledgement, and for a refusal, in scenarios of cuts and stops: whole fleets under
// virtual time. The figures are printed.
#include <iostream>

#include "support/machine_fleet.hpp"
#include "support/near_regions.hpp"

namespace emberdale {
namespace {

// As the platform sets them for operators that go to another daemon after a second of silence.
EditTimes notified_early() {
  EditTimes times;
  times.requester_timeout = Duration{800};
  times.leader_wait = Duration{700};
  times.response_timeout = Duration{5000};
  times.contact_limit = Duration{1000};
  return times;
}

// As it was: what can't be done now is kept.
EditTimes kept_long() { return EditTimes{}; }

enum class Trouble { none, follower_cut_off, leader_cut_off, leader_stops, follower_stops };

std::string name_of(Trouble trouble) {
  switch (trouble) {
    case Trouble::none:
      return "no trouble";
    case Trouble::follower_cut_off:
      return "a follower cut off";
    case Trouble::leader_cut_off:
      return "the leader cut off";
    case Trouble::leader_stops:
      return "the leader stops";
    case Trouble::follower_stops:
      return "a follower stops";
  }
  return "";
}

struct Times {
  std::vector<std::int64_t> sorted;
  std::int64_t median() const { return sorted[sorted.size() / 2]; }
  std::int64_t worst() const { return sorted.back(); }
};

std::string follower_of(const MachineFleet& fleet, const std::vector<std::string>& names) {
  return names[0] == fleet.master() ? names[1] : names[0];
}

// Tries daemons in turn: another after a second of silence, or after a refusal and a pause that grows. A daemon that
// has ended refuses the connection.
std::int64_t time_to_acknowledgement(MachineFleet& fleet, const std::vector<std::string>& names, std::size_t turn) {
  std::int64_t begun = fleet.now(), pause = 50;
  for (; fleet.now() - begun < 30000; ++turn) {
    const std::string& where = names[turn % names.size()];
    if (fleet.at(where).is_up) {
      auto outcome = fleet.set_zone_state(where, "z", true);
      fleet.run_until([&] { return outcome->is_over; }, 1000);
      if (outcome->is_acknowledged())
        return fleet.now() - begun;
    }
    fleet.run(pause);
    pause = std::min<std::int64_t>(800, pause * 2);
  }
  return fleet.now() - begun;
}

Times times_of(Trouble trouble, const EditTimes& edit_times, std::int64_t delay) {
  Times times;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    MachineFleet fleet(seed);
    fleet.edit_times = edit_times;
    fleet.election = near_regions();
    auto names = bring_up(fleet, 3);
    fleet.delay = delay;
    fleet.run(2000);
    std::string leader = fleet.master();
    std::string follower = follower_of(fleet, names);
    if (trouble == Trouble::follower_cut_off || trouble == Trouble::leader_cut_off)
      fleet.cut_zone(fleet.at(trouble == Trouble::leader_cut_off ? leader : follower).zone.text);
    if (trouble == Trouble::leader_stops || trouble == Trouble::follower_stops)
      fleet.stop(trouble == Trouble::leader_stops ? leader : follower, 300);
    // At any time from the beginning of the trouble on, at any daemon first.
    fleet.run(fleet.random().below(3000));
    times.sorted.push_back(time_to_acknowledgement(fleet, names, static_cast<std::size_t>(fleet.random().below(3))));
  }
  std::sort(times.sorted.begin(), times.sorted.end());
  return times;
}

TEST(OperatorWait, AnAcknowledgementComesSoonerIfDaemonsRefuseWhatTheyCanNotForward) {
  for (std::int64_t delay : {1, 28})
    for (Trouble trouble : {Trouble::none, Trouble::follower_cut_off, Trouble::leader_cut_off, Trouble::leader_stops,
                            Trouble::follower_stops}) {
      SCOPED_TRACE(name_of(trouble) + " delay " + std::to_string(delay));
      Times before = times_of(trouble, kept_long(), delay);
      Times after = times_of(trouble, notified_early(), delay);
      std::cout << name_of(trouble) << ", connections of " << delay << " to " << 2 * delay << " ms: median "
                << before.median() << " -> " << after.median() << ", worst " << before.worst() << " -> "
                << after.worst() << " ms\n";
      EXPECT_LE(after.worst(), 5000);
      EXPECT_LE(after.median(), before.median() + 100);
    }
}

TEST(OperatorWait, AnIsolatedDaemonRefusesAtOnceAndServesAgainSoonAfter) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    fleet.edit_times = notified_early();
    auto names = bring_up(fleet, 3);
    std::string follower = follower_of(fleet, names);
    fleet.cut_zone(fleet.at(follower).zone.text);
    fleet.run(1500);
    auto refused = fleet.set_zone_state(follower, "z", true);
    EXPECT_TRUE(refused->is_over);
    EXPECT_EQ(refused->code, 503);
    bool is_read = false, has_state = true;
    fleet.at(follower).control->read(
        [&](const FleetState* state) {
          is_read = true;
          has_state = state != nullptr;
        },
        fleet.clock(fleet.at(follower)));
    EXPECT_TRUE(is_read);
    EXPECT_FALSE(has_state);
    fleet.heal();
    EXPECT_TRUE(fleet.edit_until_done(3000, follower)) << fleet.trace();
    if (HasFailure())
      return;
  }
}

// The result of an edit that may have been sent is unknown, and is never reported as refused.
TEST(OperatorWait, AnEditThatWasSentBeforeTheCutIsNeverReportedAsRefused) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    fleet.edit_times = notified_early();
    auto names = bring_up(fleet, 3);
    std::string follower = follower_of(fleet, names);
    auto out = fleet.edit(follower);
    fleet.run(fleet.random().below(3));
    fleet.cut_zone(fleet.at(follower).zone.text);
    EXPECT_TRUE(fleet.run_until([&] { return out->is_over; }, 7000)) << fleet.trace();
    EXPECT_TRUE(out->code == 504 || out->is_acknowledged()) << out->code << fleet.trace();
    if (HasFailure())
      return;
  }
}

TEST(OperatorWait, AStoppingDaemonRefusesAtOnceAndRespondsToAllPendingRequests) {
  for (bool is_leader : {true, false})
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      SCOPED_TRACE(std::string(is_leader ? "leader" : "follower") + " seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      fleet.edit_times = notified_early();
      auto names = bring_up(fleet, 3);
      std::string stopping = is_leader ? fleet.master() : follower_of(fleet, names);
      std::vector<std::shared_ptr<EditOutcome>> pending;
      for (int i = 0; i < 3; ++i)
        pending.push_back(fleet.edit(stopping));
      fleet.run(fleet.random().below(8));
      fleet.stop(stopping, 300);
      auto late = fleet.edit(stopping);
      EXPECT_TRUE(late->is_over);
      EXPECT_EQ(late->code, 503);
      fleet.run(300);
      EXPECT_FALSE(fleet.at(stopping).is_up);
      EXPECT_TRUE(fleet.edit_until_done(6000)) << fleet.trace();
      std::string leader = fleet.master();
      for (const auto& outcome : pending) {
        EXPECT_TRUE(outcome->is_over) << fleet.trace();
        bool is_there = !fleet.body_of(leader, "runners", outcome->name).empty();
        EXPECT_TRUE(is_there || !outcome->is_acknowledged()) << outcome->name << fleet.trace();
        EXPECT_FALSE(is_there && outcome->code == 503) << outcome->name << fleet.trace();
      }
      if (HasFailure())
        return;
    }
}

}  // namespace
}  // namespace emberdale
