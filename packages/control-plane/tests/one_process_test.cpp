// Machines that each run one control process: core machine and edge daemon at once. They bootstrap the fleet,
// run the register and replace its replicas without an operator. Virtual time, many seeds, disks in memory.
#include "emberdale/avro_codec.hpp"
#include "emberdale/store_seat.hpp"
#include "support/machine_fleet.hpp"

namespace emberdale {
namespace {

TEST(OneProcess, ThreeAndSixMachinesBootstrapTheFleet) {
  for (int count : {1, 2, 3, 6, 9})
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      SCOPED_TRACE("machines " + std::to_string(count) + " seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      auto names = bring_up(fleet, count);
      fleet.run(10000);
      EXPECT_TRUE(fleet.is_settled(names)) << fleet.trace();
      EXPECT_EQ(fleet.bootstraps(), 1) << fleet.trace();
      fleet.expect_nothing_lost(names.back());
      if (HasFailure())
        return;
    }
}

TEST(OneProcess, BootstrapWaitsForASeedThatStartsLate) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    for (std::size_t late : {0u, 1u, 2u, 5u}) {
      SCOPED_TRACE("late " + std::to_string(late) + " seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      auto names = fleet.add_many(late == 5 || seed % 2 == 0 ? 6 : 3);
      for (const auto& name : names)
        if (name != names[late])
          fleet.start(name, true);
      fleet.run(2000);
      EXPECT_EQ(fleet.bootstraps(), late < 3 ? 0 : 1);
      fleet.start(names[late], true);
      // One that is no seed comes as a newcomer, and is added once it has been there for a while.
      EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, late < 3 ? 4000 : 8000)) << fleet.trace();
      EXPECT_EQ(fleet.bootstraps(), 1);
      EXPECT_TRUE(fleet.edit_until_done(4000)) << fleet.trace();
      fleet.expect_nothing_lost(names[0]);
      if (HasFailure())
        return;
    }
}

TEST(OneProcess, AnInterruptedBootstrapIsFinished) {
  // The bootstrapping seed, or another, loses its power at any moment of the bootstrap and returns with its disk.
  for (std::size_t lost : {0u, 1u})
    for (std::int64_t at = 395; at < 445; ++at) {
      SCOPED_TRACE("lost " + std::to_string(lost) + " at " + std::to_string(at));
      MachineFleet fleet(static_cast<std::uint64_t>(at));
      auto names = fleet.add_many(at % 2 == 0 ? 3 : 6);
      for (const auto& name : names)
        fleet.start(name, true);
      fleet.run(at);
      fleet.power_cut(names[lost]);
      fleet.run(1500);
      fleet.start(names[lost], true);
      EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 12000)) << fleet.trace();
      EXPECT_LE(fleet.bootstraps(), 1) << fleet.trace();
      EXPECT_TRUE(fleet.edit_until_done(4000)) << fleet.trace();
      fleet.expect_nothing_lost(names[2]);
      if (HasFailure())
        return;
    }
}

// Guards against review/4: the smallest seed is killed before it has bootstrapped, at any moment, and comes back as the
// platform starts it then, without the flag. Another seed, or two, may be killed as well.
TEST(OneProcess, AFleetIsBootstrappedThoughItsFirstSeedIsKilledBefore) {
  for (std::size_t killed : {1u, 2u})
    for (std::int64_t at = 0; at < 450; at += 9) {
      SCOPED_TRACE("killed " + std::to_string(killed) + " at " + std::to_string(at));
      MachineFleet fleet(static_cast<std::uint64_t>(at + 1));
      auto names = fleet.add_many(at % 2 == 0 ? 3 : 6);
      for (const auto& name : names)
        fleet.start(name, true);
      fleet.run(at);
      for (std::size_t i = 0; i < killed; ++i)
        fleet.kill(names[i]);
      fleet.run(500);
      for (std::size_t i = 0; i < killed; ++i)
        fleet.start(names[i], false);
      constexpr std::int64_t ack_bound_ms = 5000;
      EXPECT_TRUE(fleet.edit_until_done(ack_bound_ms + ack_bound_ms)) << fleet.trace();
      EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 12000)) << fleet.trace();
      EXPECT_LE(fleet.bootstraps(), 1) << fleet.trace();
      fleet.expect_nothing_lost(names[2]);
      if (HasFailure())
        return;
    }
}

// Two seeds that may bootstrap see that all are blank at the same moment, for the last of them starts late: what they
// write is the same.
TEST(OneProcess, SeedsThatBootstrapAtTheSameTimeWriteTheSameState) {
  for (std::int64_t late = 1500; late < 2700; late += 15) {
    SCOPED_TRACE("late by " + std::to_string(late));
    MachineFleet fleet(static_cast<std::uint64_t>(late));
    auto names = fleet.add_many(3);
    fleet.start(names[1], true);
    fleet.start(names[2], true);
    fleet.run(50);
    fleet.cut_one_way(names[2], names[0]);  // the first does not hear the last, and can't bootstrap
    fleet.start(names[0], true);
    fleet.run(late);
    fleet.heal();
    EXPECT_TRUE(fleet.edit_until_done(10000)) << fleet.trace();
    EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 12000)) << fleet.trace();
    fleet.expect_nothing_lost(names[0]);
    if (HasFailure())
      return;
  }
}

// While the register is being founded one seed is cut off, and another loses its disk: its new store has no vote.
TEST(OneProcess, AFoundingIsDecidedOnceThoughASeedIsWipedAndAnotherIsCutOff) {
  for (std::uint64_t seed = 1; seed <= 3 * seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    fleet.delay = 1 + static_cast<std::int64_t>(seed % 3) * 20;
    auto names = fleet.add_many(seed % 2 == 0 ? 3 : 6);
    auto wiped = static_cast<std::size_t>(fleet.random().below(3));
    std::size_t cut = (wiped + 1 + static_cast<std::size_t>(fleet.random().below(2))) % 3;
    fleet.cut_zone(fleet.at(names[cut]).zone.text);
    for (const auto& name : names)
      fleet.start(name, true);
    fleet.run(fleet.random().below(4500));
    fleet.power_cut(names[wiped]);
    fleet.wipe(names[wiped]);
    fleet.run(fleet.random().below(1500));
    fleet.start(names[wiped], false);
    fleet.run(fleet.random().below(3000));
    fleet.heal();
    EXPECT_TRUE(fleet.edit_until_done(20000)) << fleet.trace();
    EXPECT_LE(fleet.bootstraps(), 1) << fleet.trace();
    fleet.expect_nothing_lost(names[cut]);
    if (HasFailure())
      return;
  }
}

// Whichever two are left, and though each of them is killed in between and comes back without the permission.
TEST(OneProcess, TwoOfThreeSeedsFoundTheRegisterThoughTheyAreRestarted) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    auto names = fleet.add_many(3);
    std::size_t lost = seed % 3;
    for (const auto& name : names)
      if (name != names[lost])
        fleet.start(name, true);
    for (const auto& name : names) {
      if (name == names[lost])
        continue;
      fleet.run(fleet.random().below(3000));
      fleet.kill(name);
      fleet.run(500);
      fleet.start(name, false);
    }
    EXPECT_TRUE(fleet.edit_until_done(12000)) << fleet.trace();
    EXPECT_EQ(fleet.bootstraps(), 1) << fleet.trace();
    fleet.start(names[lost], true);
    EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 20000)) << fleet.trace();
    fleet.expect_nothing_lost(names[lost]);
    if (HasFailure())
      return;
  }
}

TEST(OneProcess, StoresHaveAVoteInTheElectorateOfTheirOwnSeedsAlone) {
  const FoundingElectorate electorate({Address{"a"}, Address{"b"}});
  const FoundingElectorate same({Address{"b"}, Address{"a"}});
  const FoundingElectorate other({Address{"a"}, Address{"c"}});
  const StoreId store = electorate.make_store(Address{"a"}, "0123");
  EXPECT_TRUE(electorate.has_vote(store, Address{"a"}));
  EXPECT_TRUE(same.has_vote(store, Address{"a"}));
  EXPECT_FALSE(electorate.has_vote(store, Address{"b"}));
  EXPECT_FALSE(other.has_vote(store, Address{"a"}));
  EXPECT_FALSE(electorate.has_vote(StoreId{"0123"}, Address{"a"}));
  EXPECT_TRUE(answers_to(store, electorate.seat(Address{"a"})));
  EXPECT_FALSE(answers_to(StoreId{"0123"}, electorate.seat(Address{"a"})));
}

TEST(OneProcess, AFleetIsBootstrappedOverALossyNetwork) {
  for (int count : {3, 6})
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      SCOPED_TRACE(std::to_string(count) + " machines seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      fleet.loss = 0.15;
      fleet.delay = 20;
      auto names = fleet.add_many(count);
      for (const auto& name : names)
        fleet.start(name, true);
      fleet.run(5000);
      fleet.loss = 0;
      EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 15000)) << fleet.trace();
      EXPECT_LE(fleet.bootstraps(), 1) << fleet.trace();
      EXPECT_TRUE(fleet.edit_until_done(4000)) << fleet.trace();
      fleet.expect_nothing_lost(names[0]);
      if (HasFailure())
        return;
    }
}

TEST(OneProcess, OnlyASeedBootstraps) {
  RegisterProposer proposer(Address{"a"}, RandomGenerator(1));
  EventJournal journal{8};
  ClusterBootstrapper outsider(proposer, journal, Address{"a"}, {Address{"b"}, Address{"c"}}, 1, RandomGenerator(1));
  outsider.start(TimePoint{0});
  for (std::int64_t now = 1000; now < 20000; now += 1000)
    outsider.on_timer(TimePoint{now});
  EXPECT_TRUE(outsider.drain_outbound().empty());
}

bool sends_bootstrap(std::vector<OutboundMessage> messages) {
  return std::any_of(messages.begin(), messages.end(),
                     [](const OutboundMessage& outbound) { return std::holds_alternative<Prepare>(outbound.message); });
}

// The larger of two seeds hears at each step that both are blank.
TEST(OneProcess, ALargerSeedAsksNothingAtFirst) {
  RegisterProposer proposer(Address{"c"}, RandomGenerator(1));
  EventJournal journal{8};
  ClusterBootstrapper larger(proposer, journal, Address{"c"}, {Address{"b"}, Address{"c"}}, 1, RandomGenerator(1));
  larger.start(TimePoint{0});
  larger.on_timer(TimePoint{999});
  EXPECT_TRUE(larger.drain_outbound().empty());
}

TEST(OneProcess, ALargerSeedBootstrapsOnlyOnceTheSmallerHasLeftItUndoneForLong) {
  RegisterProposer proposer(Address{"c"}, RandomGenerator(1));
  EventJournal journal{8};
  FoundingElectorate electorate({Address{"b"}, Address{"c"}});
  ClusterBootstrapper larger(proposer, journal, Address{"c"}, {Address{"b"}, Address{"c"}}, 1, RandomGenerator(1));
  larger.start(TimePoint{0});
  std::int64_t begun_at = 0;
  constexpr std::int64_t step = 50, gap_begin = 2000, gap_end = 3500;
  for (std::int64_t now = 0; now < 8000 && begun_at == 0; now += step) {
    larger.on_timer(TimePoint{now});
    auto messages = larger.drain_outbound();
    for (auto& outbound : proposer.drain_outbound())
      messages.push_back(std::move(outbound));
    bool is_smaller_silent = now >= gap_begin && now < gap_end;  // it may have died, or bootstrap unseen
    for (const auto& outbound : messages)
      if (const auto* read = std::get_if<ReadRequest>(&outbound.message))
        if (outbound.to.text != "b" || !is_smaller_silent) {
          ReadResponse response;
          response.request_id = read->request_id;
          response.store = electorate.make_store(outbound.to, outbound.to.text);
          response.blank = true;
          larger.on_message(outbound.to, Message{response}, TimePoint{now});
        }
    if (sends_bootstrap(std::move(messages)))
      begun_at = now;
  }
  EXPECT_GE(begun_at, gap_end + 2000);
  EXPECT_LE(begun_at, gap_end + 2500);
}

TEST(OneProcess, AFleetIsNeverBootstrappedOverAnother) {
  // The smallest seed returns wiped and is wrongly configured for a first start.
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    auto names = bring_up(fleet, 3);
    fleet.power_cut(names[0]);
    fleet.wipe(names[0]);
    fleet.run(fleet.random().below(4000));
    fleet.start(names[0], true);
    EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 8000)) << fleet.trace();
    EXPECT_EQ(fleet.bootstraps(), 1) << fleet.trace();
    fleet.expect_nothing_lost(names[0]);
    if (HasFailure())
      return;
  }
}

TEST(OneProcess, AMachineIsReplacedByAnEmptyOneAtANewAddress) {
  for (int count : {3, 6})
    for (bool is_master_lost : {true, false})
      for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        SCOPED_TRACE(std::to_string(count) +
                     (is_master_lost ? " machines, the master lost, seed " : " machines, a follower lost, seed ") +
                     std::to_string(seed));
        MachineFleet fleet(seed);
        auto names = bring_up(fleet, count);
        std::string lost = fleet.master();
        if (!is_master_lost)
          for (const auto& name : names)
            if (name != fleet.master())
              lost = name;
        std::string zone = fleet.at(lost).zone.text;
        fleet.power_cut(lost);
        fleet.run(fleet.random().below(3000));
        fleet.add("new", zone, false);
        std::int64_t begun = fleet.now();
        fleet.start("new", false);
        *std::find(names.begin(), names.end(), lost) = "new";
        auto is_admitted = [&] {
          return !fleet.master().empty() && fleet.has_wanted_set(fleet.master(), names);
        };
        EXPECT_TRUE(fleet.run_until([&] { return fleet.has_wanted_set("new", names); }, 4000)) << fleet.trace();
        std::int64_t timeout_ms =
            is_master_lost ? 9000 : 4500;  // from the newcomer's start; with its master, the fleet elects another first
        EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, begun + timeout_ms - fleet.now()))
            << fleet.trace();
        EXPECT_TRUE(is_admitted());
        EXPECT_TRUE(fleet.edit_until_done(4000)) << fleet.trace();
        // Another one dies: with the newcomer there is still a majority.
        std::string second =
            names[static_cast<std::size_t>(fleet.random().below(static_cast<std::int64_t>(names.size())))];
        fleet.power_cut(second);
        EXPECT_TRUE(fleet.edit_until_done(20000)) << "killed " << second << "\n" << fleet.trace();
        fleet.expect_nothing_lost(fleet.running().front());
        if (HasFailure())
          return;
      }
}

// Two empty machines come at the same time for one that is lost: one takes its place, the other is a learner. Of six
// machines the learner that was there before takes it.
TEST(OneProcess, TwoNewMachinesCompeteForOnePlace) {
  for (int count : {3, 6})
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      SCOPED_TRACE(std::to_string(count) + " machines seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      auto names = bring_up(fleet, count);
      fleet.power_cut(names[2]);
      fleet.run(2400 + fleet.random().below(400));
      fleet.add("new0", "a", false);
      fleet.add("new1", "c", false);
      fleet.start("new0", false);
      fleet.start("new1", false);
      names[2] = "new1";
      auto others = names;
      others[2] = "new0";
      names.push_back("new0");
      auto is_replaced = [&] {
        if (count == 6)
          return fleet.has_wanted_set("new0", names);
        return fleet.has_set("new0", {names[0], names[1], "new1"}) || fleet.has_set("new1", others);
      };
      EXPECT_TRUE(fleet.run_until(is_replaced, 4000)) << fleet.trace();
      EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 15000)) << fleet.trace();
      EXPECT_TRUE(fleet.edit_until_done(4000)) << fleet.trace();
      fleet.expect_nothing_lost("new1");
      if (HasFailure())
        return;
    }
}

// The silent machine comes back, with its disk or without, just when a newcomer takes its place.
TEST(OneProcess, TheOldMachineCompetesWithItsSuccessor) {
  for (bool is_wiped : {false, true})
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      SCOPED_TRACE(std::string(is_wiped ? "wiped" : "with its disk") + " seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      auto names = bring_up(fleet, 3);
      std::size_t lost = static_cast<std::size_t>(fleet.random().below(3));
      fleet.power_cut(names[lost]);
      if (is_wiped)
        fleet.wipe(names[lost]);
      fleet.run(1000);
      fleet.add("new", "b", false);
      fleet.start("new", false);
      fleet.run(1300 + fleet.random().below(500));
      fleet.start(names[lost], false);
      names.push_back("new");  // whoever lost the race is a learner
      EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 20000)) << fleet.trace();
      EXPECT_TRUE(fleet.edit_until_done(4000)) << fleet.trace();
      fleet.expect_nothing_lost(names[lost]);
      if (HasFailure())
        return;
    }
}

// Data above what is chosen here is of another register: it would win, so it is kept out.
TEST(OneProcess, AStoreOfAnotherRegisterIsNotAdmitted) {
  FleetState state;
  state.fleet_name = "emberdale";
  for (const char* name : {"a", "b", "c"})
    state.acceptors.push_back({StoreId{name}, Address{name}});
  RegisterProposer proposer(Address{"a"}, RandomGenerator(1));
  proposer.learn_acceptors(state.acceptors);
  auto hear_set = [&](MembershipReconciler& reconciler, const std::set<std::string>& living, TimePoint now) {
    proposer.poll(now, DaemonRole::edge, true);
    std::int64_t request_id = std::get<ReadRequest>(proposer.drain_outbound().front().message).request_id;
    for (const auto& name : living) {
      ReadResponse response;
      response.request_id = request_id;
      response.store.text = name;
      response.accepted = Ballot{20, Address{"a"}};
      response.value.data = encode_state(state);
      response.acceptors = state.acceptors;
      response.uptime_ms = now.value;
      for (const auto& heard : living)
        response.contacts.push_back({Address{heard}, 0});
      proposer.on_message(Address{name}, response, now);
      reconciler.on_message(Address{name}, response, now);
    }
  };
  auto due_with = [&](std::int64_t ballot, bool is_blank, std::int64_t length) -> std::string {
    MembershipReconciler reconciler(proposer,
                                    DaemonEntry{Address{"a"}, "", DaemonRole::edge, ZoneName{"z"}, RegionName{"r"}, 1},
                                    MembershipPolicy{}, RandomGenerator(1));
    reconciler.start(TimePoint{0});
    reconciler.set_right({DecisionRight::Kind::leaderless, state.term});
    for (std::int64_t ms = 0; ms <= length; ms += 100) {
      TimePoint now{ms};
      reconciler.on_timer(now);
      hear_set(reconciler, {"a", "b"}, now);
      reconciler.observe_daemons({DaemonEntry{Address{"d"}, "", DaemonRole::edge, ZoneName{"z"}, RegionName{"r"}, 1}},
                                 now);
      for (const auto& message : reconciler.drain_outbound()) {
        ReadResponse response;
        response.request_id = std::get<ReadRequest>(message.message).request_id;
        response.store.text = "d";
        response.blank = is_blank;
        response.accepted = Ballot{ballot, Address{"a"}};
        reconciler.on_message(message.to, response, now);
      }
    }
    auto due = reconciler.due_change(TimePoint{length});
    return due ? due->kind : "nothing";
  };
  EXPECT_EQ(due_with(0, true, 4000), "replacing");
  EXPECT_EQ(due_with(20, false, 4000), "replacing");
  EXPECT_EQ(due_with(21, false, 4000), "nothing");
  EXPECT_EQ(due_with(21, false, 7000), "overtaking");  // it may be a write of this register that went no further
}

// Master after master is lost without notice: no term waits for the lease of a previous one.
TEST(OneProcess, NoEditWaitsForThePreviousLeadersLease) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    auto names = bring_up(fleet, 3);
    for (int term = 0; term < 4; ++term) {
      std::string lost = fleet.master();
      fleet.kill(lost);
      EXPECT_TRUE(fleet.run_until([&] { return !fleet.master().empty(); }, 6000)) << fleet.trace();
      auto outcome = fleet.edit(fleet.master());
      EXPECT_TRUE(fleet.run_until([&] { return outcome->is_acknowledged(); }, 300)) << outcome->code << fleet.trace();
      EXPECT_EQ(fleet.state(fleet.master()).acknowledgement_wait_ms, 0);
      fleet.start(lost, false);
      EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 8000)) << fleet.trace();
    }
    fleet.expect_nothing_lost(names[0]);
    if (HasFailure())
      return;
  }
}

TEST(OneProcess, EveryMachineIsReplacedInTurnAndAnOldOneReturnsWithItsDisk) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    auto names = bring_up(fleet, 3);
    auto old = names;
    for (std::size_t i = 0; i < 3; ++i) {
      std::string fresh = "new" + std::to_string(i);
      fleet.power_cut(names[i]);
      fleet.add(fresh, fleet.at(names[i]).zone.text, false);
      fleet.start(fresh, false);
      names[i] = fresh;
      EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 20000)) << fleet.trace();
      EXPECT_TRUE(fleet.edit_until_done(8000)) << fleet.trace();
      if (HasFailure())
        return;
    }
    // Its disk names a set of which no member is left.
    fleet.set_seeds(fleet.at(old[0]));
    fleet.start(old[0], false);
    names.push_back(old[0]);
    EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 20000)) << fleet.trace();
    EXPECT_TRUE(fleet.edit_until_done(8000)) << fleet.trace();
    fleet.expect_nothing_lost(old[0]);
    if (HasFailure())
      return;
  }
}

TEST(OneProcess, AWipedMachineIsAdmittedAndTheOthersMayLoseTheirPower) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    auto names = bring_up(fleet, 3);
    std::size_t wiped = static_cast<std::size_t>(fleet.random().below(3));
    fleet.power_cut(names[wiped]);
    fleet.wipe(names[wiped]);
    fleet.run(fleet.random().below(2000));
    EXPECT_TRUE(fleet.edit_until_done(9000)) << fleet.trace();
    fleet.start(names[wiped], false);
    EXPECT_TRUE(fleet.run_until([&] { return fleet.has_set(names[wiped], names); }, 1500)) << fleet.trace();
    EXPECT_TRUE(fleet.edit_until_done(9000)) << fleet.trace();
    for (std::size_t i = 0; i < 3; ++i)
      if (i != wiped)
        fleet.power_cut(names[i]);
    fleet.run(fleet.random().below(3000));
    for (std::size_t i = 0; i < 3; ++i)
      if (i != wiped)
        fleet.start(names[i], false);
    EXPECT_TRUE(fleet.edit_until_done(12000)) << fleet.trace();
    fleet.expect_nothing_lost(names[wiped]);
    if (HasFailure())
      return;
  }
}

TEST(OneProcess, AZoneIsCutOffAndReturns) {
  for (int count : {3, 6})
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      SCOPED_TRACE(std::to_string(count) + " machines seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      auto names = bring_up(fleet, count);
      fleet.cut_zone(std::string(1, static_cast<char>('a' + seed % 3)));
      fleet.run(3000 + fleet.random().below(3000));
      // The zone alone can't acknowledge; the others can.
      std::string inside = std::string(1, static_cast<char>('a' + seed % 3)) + "0";
      auto alone = fleet.edit(inside);
      bool is_acknowledged = false;
      for (int tries = 0; tries < 10 && !is_acknowledged; ++tries) {
        std::string outside = seed % 3 == 0 ? "b0" : "a0";
        auto outcome = fleet.edit(outside);
        fleet.run_until([&] { return outcome->is_over; }, 8000);
        is_acknowledged = outcome->is_acknowledged();
      }
      EXPECT_TRUE(is_acknowledged) << fleet.trace();
      EXPECT_FALSE(alone->is_acknowledged());
      fleet.heal();
      EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 9000)) << fleet.trace();
      EXPECT_TRUE(fleet.edit_until_done(4000));
      fleet.expect_nothing_lost(inside);
      if (HasFailure())
        return;
    }
}

TEST(OneProcess, AllAreKilledAtOnceAndReturnWithTheirDisks) {
  for (int count : {3, 6})
    for (bool loses_power : {true, false})
      for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        SCOPED_TRACE(std::to_string(count) + " machines seed " + std::to_string(seed));
        MachineFleet fleet(seed);
        auto names = bring_up(fleet, count);
        for (int i = 0; i < 3; ++i)
          EXPECT_TRUE(fleet.edit_until_done(4000));
        fleet.edit(names[0]);  // one more pending
        fleet.run(fleet.random().below(30));
        for (const auto& name : names)
          loses_power ? fleet.power_cut(name) : fleet.kill(name);
        fleet.run(500);
        for (const auto& name : names)
          fleet.start(name, false);
        EXPECT_TRUE(fleet.run_until([&] { return !fleet.master().empty(); }, 6000)) << fleet.trace();
        EXPECT_TRUE(fleet.edit_until_done(4000)) << fleet.trace();
        fleet.run(4000);
        EXPECT_TRUE(fleet.is_settled(names)) << fleet.trace();
        fleet.expect_nothing_lost(names[1]);
        if (HasFailure())
          return;
      }
}

// Six machines of which two may be lost: five replicas and a learner. Machines are lost one after another, and at each
// time the living keep a majority: the learner comes in, then two dead members leave at once.
TEST(OneProcess, DeadMembersAreRemovedSoThatTheOthersKeepTheirMajority) {
  for (std::uint64_t seed = 1; seed <= seed_count / 3; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    auto names = bring_up(fleet, 6);
    ASSERT_EQ(fleet.state(names[0]).acceptors.size(), 5u) << fleet.trace();
    fleet.power_cut(names[5]);
    fleet.power_cut(names[4]);
    names.resize(4);
    EXPECT_TRUE(fleet.edit_until_done(20000)) << fleet.trace();
    // One of them was the learner, or has been replaced by it: four of five live, and one more may be lost.
    fleet.run(15000);
    EXPECT_EQ(fleet.state(names[0]).acceptors.size(), 5u);
    EXPECT_EQ(
        std::count_if(names.begin(), names.end(), [&](const auto& name) { return fleet.is_member(name, names[0]); }),
        4);
    fleet.power_cut(names[3]);
    EXPECT_TRUE(fleet.edit_until_done(20000)) << fleet.trace();
    // Both dead members leave; three stay, however long one of them is silent.
    names.resize(3);
    EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 60000)) << fleet.trace();
    EXPECT_EQ(fleet.state(names[0]).acceptors.size(), 3u);
    fleet.power_cut(names[2]);
    fleet.run(45000);
    EXPECT_EQ(fleet.state(names[0]).acceptors.size(), 3u);
    EXPECT_TRUE(fleet.edit_until_done(20000)) << fleet.trace();
    fleet.expect_nothing_lost(names[0]);
    if (HasFailure())
      return;
  }
}

TEST(OneProcess, AFrozenDaemonThatResumesTakesNoOneForDead) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    auto names = bring_up(fleet, 3);
    fleet.add("spare", "a", false);
    fleet.start("spare", false);
    fleet.run(1500 + fleet.random().below(2000));
    fleet.freeze(names[1], true);
    fleet.run(2000);
    fleet.freeze(names[1], false);
    fleet.run(2000);
    EXPECT_EQ(fleet.trace().find("replacing"), std::string::npos) << fleet.trace();
    names.push_back("spare");
    EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 12000)) << fleet.trace();
    if (HasFailure())
      return;
  }
}

TEST(OneProcess, ACutConnectionBetweenTwoLosesNoMajority) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    auto names = bring_up(fleet, 3);
    fleet.add("spare", "b", false);
    fleet.start("spare", false);
    fleet.run(1000);
    fleet.cut_connection(names[0], names[1]);
    for (int i = 0; i < 10; ++i) {
      // A daemon that can't reach the master forwards nothing; all others do.
      EXPECT_TRUE(fleet.edit_until_done(15000, names[2])) << fleet.trace();
      fleet.run(1500);
    }
    fleet.heal();
    names.push_back("spare");
    EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 15000)) << fleet.trace();
    fleet.expect_nothing_lost(names[0]);
    if (HasFailure())
      return;
  }
}

TEST(OneProcess, NothingIsLostWhileMachinesComeAndGoOverALossyNetwork) {
  // Machines lose their power, their disks, or are replaced for good, one after another, while edits go on: as
  // long as at most one is away, and each change of the set is complete before the next fault.
  for (int count : {3, 6})
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      SCOPED_TRACE(std::to_string(count) + " machines seed " + std::to_string(seed));
      MachineFleet fleet(seed);
      auto names = bring_up(fleet, count);
      fleet.loss = 0.03;
      fleet.delay = 1 + static_cast<std::int64_t>(seed % 4) * 8;
      for (int round = 0; round < 5; ++round) {
        std::size_t which = static_cast<std::size_t>(fleet.random().below(static_cast<std::int64_t>(names.size())));
        std::vector<std::shared_ptr<EditOutcome>> in_hand;
        for (const auto& name : names)
          in_hand.push_back(fleet.edit(name));
        fleet.run(fleet.random().below(60));
        fleet.power_cut(names[which]);
        std::int64_t kind = fleet.random().below(3);
        fleet.run(fleet.random().below(kind == 2 ? 200 : 3500));
        if (kind == 1)
          fleet.wipe(names[which]);
        if (kind == 2) {
          std::string fresh = "new" + std::to_string(round);
          fleet.add(fresh, fleet.at(names[which]).zone.text, false);
          names[which] = fresh;
        }
        fleet.start(names[which], false);
        EXPECT_TRUE(fleet.edit_until_done(20000)) << fleet.trace();
        EXPECT_TRUE(fleet.run_until([&] { return fleet.is_settled(names); }, 30000)) << fleet.trace();
        EXPECT_TRUE(std::all_of(in_hand.begin(), in_hand.end(),
                                [](const auto& outcome) { return outcome->is_over || outcome->code == 0; }));
        if (HasFailure())
          return;
      }
      fleet.loss = 0;
      fleet.expect_nothing_lost(fleet.running().front());
      if (HasFailure())
        return;
    }
}

}  // namespace
}  // namespace emberdale
