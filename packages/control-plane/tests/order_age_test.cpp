// An edit without an expected version that its client gave up must never override what was acknowledged later: whole
// fleets under virtual time, with cuts, frozen processes, and frames and requests that come late.
#include "support/machine_fleet.hpp"

namespace emberdale {
namespace {

constexpr std::uint64_t order_seeds = 20;

// Operators that go to another daemon after a second of silence. Nothing is refused for want of contact here: it
// is the age alone that must reject an old order.
EditTimes short_edit_times() {
  EditTimes times;
  times.requester_timeout = times.leader_wait = Duration{800};
  return times;
}

std::string body_of_order(bool is_evacuated) { return is_evacuated ? "emptied" : "serving"; }

struct Three {
  explicit Three(std::uint64_t seed) : fleet(seed) {
    fleet.edit_times = short_edit_times();
    names = bring_up(fleet, 3);
    leader = fleet.master();
    for (const auto& name : names)
      if (name != leader)
        (first.empty() ? first : second) = name;
  }

  // Requested at the running daemons in turn until it is acknowledged, as operators do.
  bool order_until_done(const std::vector<std::string>& where, bool is_evacuated, std::int64_t ms = 20000) {
    std::int64_t end = fleet.now() + ms;
    for (std::size_t turn = 0; fleet.now() < end; ++turn) {
      auto outcome = fleet.set_zone_state(where[turn % where.size()], "z", is_evacuated);
      fleet.run_until([&] { return outcome->is_over; }, 1000);
      if (outcome->is_acknowledged())
        return true;
      fleet.run(50);
    }
    return false;
  }

  void expect_order(bool is_evacuated) {
    fleet.run(9000);
    std::string body = fleet.body_of(fleet.master(), "zone-orders", "z");
    EXPECT_NE(body.find(body_of_order(is_evacuated)), std::string::npos) << body << "\n" << fleet.trace();
  }

  MachineFleet fleet;
  std::vector<std::string> names;
  std::string leader, first, second;
};

// The daemon that receives the order is cut off from the others; the order is forwarded when the cut heals.
TEST(EditAge, AnOrderOfADaemonThatWasCutOffOverridesNoLaterOne) {
  for (bool retains_undelivered : {false, true})
    for (bool is_evacuated : {true, false})
      for (std::int64_t later : {500, 2000, 4000})
        for (std::uint64_t seed = 1; seed <= order_seeds; ++seed) {
          SCOPED_TRACE((retains_undelivered ? "delayed messages, " : "lost messages, ") + body_of_order(is_evacuated) +
                       " at " + std::to_string(later) + " seed " + std::to_string(seed));
          Three three(seed);
          MachineFleet& fleet = three.fleet;
          fleet.retains_undelivered = retains_undelivered;
          fleet.cut_zone(fleet.at(three.first).zone.text);
          fleet.run(3000);
          auto old = fleet.set_zone_state(three.first, "z", is_evacuated);
          fleet.run(700);
          ASSERT_TRUE(three.order_until_done({three.second, three.leader}, is_evacuated)) << fleet.trace();
          fleet.run(later);
          ASSERT_TRUE(three.order_until_done({three.second, three.leader}, !is_evacuated)) << fleet.trace();
          fleet.heal();
          three.expect_order(!is_evacuated);
          EXPECT_FALSE(old->is_acknowledged());
          if (HasFailure())
            return;
        }
}

// The copy is on its way to the leader when a cut comes, and its connection delivers it when the cut heals.
TEST(EditAge, AMessageThatACutDelayedOverridesNoLaterOrder) {
  for (bool is_evacuated : {true, false})
    for (std::int64_t later : {500, 2000, 4000})
      for (std::uint64_t seed = 1; seed <= order_seeds; ++seed) {
        SCOPED_TRACE(body_of_order(is_evacuated) + " at " + std::to_string(later) + " seed " + std::to_string(seed));
        Three three(seed);
        MachineFleet& fleet = three.fleet;
        fleet.retains_undelivered = true;
        fleet.cut_zone(fleet.at(three.first).zone.text);
        auto old = fleet.set_zone_state(three.first, "z", is_evacuated);
        fleet.run(1000);
        ASSERT_TRUE(three.order_until_done({three.second, three.leader}, is_evacuated)) << fleet.trace();
        fleet.run(later);
        ASSERT_TRUE(three.order_until_done({three.second, three.leader}, !is_evacuated)) << fleet.trace();
        fleet.heal();
        three.expect_order(!is_evacuated);
        EXPECT_FALSE(old->is_acknowledged());
        if (HasFailure())
          return;
      }
}

// The leader is frozen, with orders in its queue, in its connections and in its operators' sockets; the others elect
// another, or it wakes before they do.
TEST(EditAge, OrdersAtAFrozenLeaderOverrideNoLaterOne) {
  for (bool is_evacuated : {true, false})
    for (std::int64_t frozen : {1300, 4000, 9000})
      for (std::uint64_t seed = 1; seed <= order_seeds; ++seed) {
        SCOPED_TRACE(body_of_order(is_evacuated) + " frozen for " + std::to_string(frozen) + " seed " +
                     std::to_string(seed));
        Three three(seed);
        MachineFleet& fleet = three.fleet;
        fleet.retains_undelivered = true;
        std::vector<std::shared_ptr<EditOutcome>> in_hand;
        for (int i = 0; i < 4; ++i)  // the first are being worked out, the others wait in its queue
          in_hand.push_back(fleet.edit(three.leader));
        auto queued = fleet.set_zone_state(three.leader, "z", is_evacuated);
        fleet.run(fleet.random().below(6));
        fleet.freeze(three.leader, true);
        auto at_its_socket = fleet.set_zone_state(three.leader, "z", is_evacuated);
        auto on_its_way = fleet.set_zone_state(three.first, "z", is_evacuated);
        fleet.later(frozen, [&] { fleet.freeze(three.leader, false); });
        fleet.run(1000);
        bool is_done = three.order_until_done({three.second, three.first}, is_evacuated) &&
                       three.order_until_done({three.second, three.first}, !is_evacuated);
        EXPECT_TRUE(is_done) << fleet.trace();
        fleet.run(std::max<std::int64_t>(0, frozen - 4000));
        three.expect_order(!is_evacuated);
        if (HasFailure())
          return;
      }
}

// A daemon is frozen with an operator's request in its socket; the operator has long turned to another when it resumes.
TEST(EditAge, ARequestThatWaitedAtAFrozenDaemonOverridesNoLaterOrder) {
  for (bool is_evacuated : {true, false})
    for (std::uint64_t seed = 1; seed <= order_seeds; ++seed) {
      SCOPED_TRACE(body_of_order(is_evacuated) + " seed " + std::to_string(seed));
      Three three(seed);
      MachineFleet& fleet = three.fleet;
      fleet.freeze(three.first, true);
      auto old = fleet.set_zone_state(three.first, "z", is_evacuated);
      fleet.run(1000);
      ASSERT_TRUE(three.order_until_done({three.second, three.leader}, is_evacuated)) << fleet.trace();
      ASSERT_TRUE(three.order_until_done({three.second, three.leader}, !is_evacuated)) << fleet.trace();
      fleet.run(fleet.random().below(4000));
      fleet.freeze(three.first, false);
      fleet.run(100);
      EXPECT_EQ(old->code, 503);
      // It serves again soon after.
      EXPECT_TRUE(fleet.edit_until_done(4000, three.first)) << fleet.trace();
      three.expect_order(!is_evacuated);
      if (HasFailure())
        return;
    }
}

TEST(EditAge, ADrainingMarkOverridesNoLaterOne) {
  for (bool is_leaving : {true, false})
    for (std::int64_t later : {500, 2000, 4000})
      for (std::uint64_t seed = 1; seed <= order_seeds; ++seed) {
        SCOPED_TRACE(std::string(is_leaving ? "leaving" : "staying") + " at " + std::to_string(later) + " seed " +
                     std::to_string(seed));
        Three three(seed);
        MachineFleet& fleet = three.fleet;
        std::string runner = fleet.edit(three.leader)->name;
        fleet.run(1000);
        auto mark_until_done = [&](bool marks_leaving) {
          for (int tries = 0; tries < 20; ++tries) {
            auto outcome = fleet.set_draining(tries % 2 == 0 ? three.second : three.leader, runner, marks_leaving);
            fleet.run_until([&] { return outcome->is_over; }, 1000);
            if (outcome->is_acknowledged())
              return true;
            fleet.run(50);
          }
          return false;
        };
        fleet.cut_zone(fleet.at(three.first).zone.text);
        fleet.run(3000);
        auto old = fleet.set_draining(three.first, runner, is_leaving);
        fleet.run(1000);
        ASSERT_TRUE(mark_until_done(is_leaving)) << fleet.trace();
        fleet.run(later);
        ASSERT_TRUE(mark_until_done(!is_leaving)) << fleet.trace();
        fleet.heal();
        fleet.run(9000);
        std::string body = fleet.body_of(fleet.master(), "runners", runner);
        EXPECT_EQ(body.find("\"leaving\":true") != std::string::npos, !is_leaving) << body << fleet.trace();
        EXPECT_FALSE(old->is_acknowledged());
        if (HasFailure())
          return;
      }
}

TEST(EditAge, TheLeaderBoundsTheAgeByItsOwnClock) {
  EditRequest request;
  request.expected_version = -1;
  request.age_ms = 150;
  EXPECT_FALSE(age_bound(request, TimePoint{5000}));  // without a timestamp nothing is known
  request.master_timestamp = 4700;
  EXPECT_EQ(age_bound(request, TimePoint{5000}), Duration{450});
  EXPECT_FALSE(
      age_bound(request, TimePoint{4600}));  // a timestamp that this clock has not reached is not of this clock
}

TEST(EditAge, OnlyAVersionThatIsCurrentOnlyOnceReplacesTheAge) {
  EditRequest request;
  request.kind = "zone-orders";
  request.expected_version = -1;
  EXPECT_TRUE(is_bound_by_age(request));
  request.expected_version = 0;  // "must not exist" is true again after a deletion
  EXPECT_TRUE(is_bound_by_age(request));
  request.expected_version = 3;
  EXPECT_FALSE(is_bound_by_age(request));
  request.kind = routing_table_kind;  // a table's revision only rises, and it is never deleted
  request.expected_version = 0;
  EXPECT_FALSE(is_bound_by_age(request));
}

// A daemon that leads again after another did works out nothing that it took in before.
TEST(EditAge, AnEditIsAppliedInTheTermThatReceivedItOrNever) {
  DaemonEntry self{Address{"a"}, "http-a", DaemonRole::edge, ZoneName{"a"}, RegionName{"north"}, 1};
  RegisterProposer proposer(self.address, RandomGenerator(1));
  MasterElection election(self, RandomGenerator(2));
  EventJournal journal(8);
  LeaderLease lease(proposer, election, self.address);
  MasterEdits edits(proposer, election, lease, journal, self.address);
  TimePoint now{1000};
  auto lead = [&](std::int64_t term) {
    while (!election.is_master()) {
      now = now + Duration{100};
      election.on_timer(now);
      if (election.drain_claim())
        election.on_claim_result(true, term, now);
    }
    edits.begin();
  };
  auto take = [&](const std::string& change) {
    MasterEdits::Edit edit;
    edit.request.change_id = change;
    edit.request.kind = "zone-orders";
    edit.request.expected_version = -1;
    edit.request.term = election.term();
    edit.from = Address{"b"};
    edits.take(std::move(edit), now);
  };
  election.set_roster({self}, 1, Address{}, now);
  election.start(now);
  lead(2);
  take("before");
  election.set_roster({self}, 3, Address{"b"}, now);  // another leads; then this daemon again
  EXPECT_FALSE(election.is_master());
  lead(4);
  edits.run(MapVersion{}, now);
  EXPECT_EQ(proposer.changes_in_hand(), 0u);
  auto ended = edits.take_ended();
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].response.code, 503);
  take("after");
  edits.run(MapVersion{}, now);
  EXPECT_EQ(proposer.changes_in_hand(), 1u);
}

// An order without faults is applied at once from every daemon, also across regions.
TEST(EditAge, AFreshOrderIsAcceptedFromEveryDaemon) {
  for (std::int64_t delay : {1, 28})
    for (std::uint64_t seed = 1; seed <= order_seeds; ++seed) {
      SCOPED_TRACE("delay " + std::to_string(delay) + " seed " + std::to_string(seed));
      Three three(seed);
      MachineFleet& fleet = three.fleet;
      fleet.delay = delay;
      fleet.run(2000);
      for (const auto& name : three.names) {
        auto outcome = fleet.set_zone_state(name, "z", true);
        EXPECT_TRUE(fleet.run_until([&] { return outcome->is_over; }, 1000)) << name << fleet.trace();
        EXPECT_TRUE(outcome->is_acknowledged()) << name << " " << outcome->code << fleet.trace();
      }
      if (HasFailure())
        return;
    }
}

}  // namespace
}  // namespace emberdale
