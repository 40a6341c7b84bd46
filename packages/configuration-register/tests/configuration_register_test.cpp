// The register under faults at every numbered point of its disks, and under any order of messages.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "register_bench.hpp"

using namespace emberdale;

TEST(ConfigurationRegister, TwoRacingProposersThroughAFaultAtEachNumberedPointOfADisk) {
  for (Fault fault : {Fault::power_cut, Fault::error, Fault::full, Fault::torn_error}) {
    int points = 0;
    for (std::int64_t point = 1; point < 260; point += fault == Fault::power_cut ? 1 : 3) {
      RegisterBench bench(static_cast<std::uint64_t>(point) * 31 + static_cast<std::uint64_t>(fault), 700);
      bench.add_proposer("one");
      bench.add_proposer("other");
      bench.disk(1).fault_at = bench.disk(1).points + point;
      bench.disk(1).fault = fault;
      for (int i = 0; i < 6; ++i) {
        bench.add_mark("one");
        bench.add_mark("other");
        for (int j = 0; j < 150; ++j)
          bench.step(0.02, 0.02);
      }
      if (bench.disk(1).last_act.empty())
        break;
      ++points;
      SCOPED_TRACE("point " + std::to_string(point) + " (" + bench.disk(1).last_act + "), fault " +
                   std::to_string(static_cast<int>(fault)));
      if (!bench.is_up(1))
        bench.start(RegisterBench::place(1));
      EXPECT_EQ(bench.corrupt, 0);
      EXPECT_GT(bench.acked(), 4u);
      bench.check();
      if (HasFailure())
        return;
    }
    EXPECT_GT(points, 20) << static_cast<int>(fault);
  }
}

TEST(ConfigurationRegister, AnyOrderOfMessagesAndPowerCutsKeepsEveryAcknowledgedChange) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed) {
    RegisterBench bench(seed);
    RandomGenerator random(seed + 1);
    for (const char* name : {"one", "other", "third"})
      bench.add_proposer(name);
    for (int i = 0; i < 12; ++i) {
      bench.add_mark("one");
      if (random.chance(0.7))
        bench.add_mark("other");
      if (random.chance(0.4))
        bench.add_mark("third");
      for (int j = 0; j < 120; ++j)
        bench.step(0.1, 0.1);
      if (random.chance(0.3)) {
        Address address = RegisterBench::place(static_cast<int>(random.below(3)));
        bench.stop(address, random.chance(0.7));
        for (int j = 0; j < 80; ++j)
          bench.step(0.1, 0.1);
        bench.start(address);
      }
    }
    bench.check();
    RC_ASSERT(!testing::Test::HasFailure());
    RC_ASSERT(bench.corrupt == 0);
  }));
}

TEST(ConfigurationRegister, AWipedCopyIsANewStoreAndDoesNotVote) {
  RegisterBench bench(5);
  bench.add_proposer("one");
  bench.add_mark("one");
  bench.settle(400);
  ASSERT_EQ(bench.acked(), 1u);
  StoreId before = bench.store(2);
  bench.stop(RegisterBench::place(2), true);
  bench.disk(2).wipe();
  bench.start(RegisterBench::place(2));
  EXPECT_FALSE(bench.store(2) == before);
  // One true copy and one wiped one are no majority: nothing may be decided.
  bench.stop(RegisterBench::place(1), false);
  bench.add_mark("one");
  for (int j = 0; j < 6000; ++j)
    bench.step(0, 0);
  EXPECT_EQ(bench.acked(), 1u);
  bench.start(RegisterBench::place(1));
  bench.add_mark("one");
  bench.settle(1500);
  EXPECT_EQ(bench.acked(), 2u);
  bench.check();
}

TEST(ConfigurationRegister, ACopyIsReplacedByAJointChangeAndOldMajoritiesLeadToTheNewSet) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    RegisterBench bench(seed);
    bench.add_proposer("one");
    bench.add_proposer("late");  // knows only the founding set
    bench.add_mark("one");
    bench.settle(400);
    StoreId old_store = bench.store(2);
    bench.stop(RegisterBench::place(2), true);
    bench.disk(2).wipe();
    bench.start(RegisterBench::place(2));
    AcceptorEntry fresh{bench.store(2), RegisterBench::place(2)};
    int ended = 0;
    auto count_end = [&](const ChangeResult& end) {
      ended += end.kind == ChangeResult::Kind::committed;
    };
    bench.proposer("one").change(
        [=](const FleetState& state) -> ChangeDecision {
          if (!state.next_acceptors.empty())
            return {ChangeDecision::Kind::already_there, {}, ""};
          FleetState next = state;
          next.next_acceptors = state.acceptors;
          for (auto& entry : next.next_acceptors)
            if (entry.store == old_store)
              entry = fresh;
          return {ChangeDecision::Kind::apply, next, ""};
        },
        count_end, TimePoint{1000}, Duration{100000});
    bench.add_mark("late");  // races with the change of the set
    for (int j = 0; j < 900; ++j)
      bench.step(0.03, 0.03);
    bench.proposer("one").change(
        [](const FleetState& state) -> ChangeDecision {
          if (state.next_acceptors.empty())
            return {ChangeDecision::Kind::already_there, {}, ""};
          FleetState next = state;
          next.acceptors = state.next_acceptors;
          next.next_acceptors.clear();
          return {ChangeDecision::Kind::apply, next, ""};
        },
        count_end, TimePoint{1000}, Duration{100000});
    for (int j = 0; j < 900; ++j)
      bench.step(0.03, 0.03);
    ASSERT_EQ(ended, 2) << seed;
    // Now the new copy votes: with it and one old one alone, changes go on; an old one alone can't.
    bench.stop(RegisterBench::place(0), false);
    std::size_t before = bench.acked();
    bench.add_mark("late");
    for (int j = 0; j < 2500; ++j)
      bench.step(0, 0);
    EXPECT_EQ(bench.acked(), before + 1) << seed;
    bench.start(RegisterBench::place(0));
  }
}

TEST(ConfigurationRegister, ReadsRepairTheReplicasThatTheyFindStale) {
  RegisterBench bench(9);
  bench.add_proposer("one");
  bench.stop(RegisterBench::place(2), false);
  bench.add_mark("one");
  bench.settle(500);
  bench.start(RegisterBench::place(2));
  bench.settle(1500);  // only reads from here on
  EXPECT_GE(bench.proposer("one").counts().repaired, 1);
  // The mended copy carries the change: with it and one other a reader finds it.
  bench.stop(RegisterBench::place(0), false);
  bench.check();
}

TEST(ConfigurationRegister, WhoeverHearsThatAChangeIsThereAlsoSeesTheStateThatHoldsIt) {
  // Found by seed 30216: a master heard that its edit was in, but still saw the state before it, and gave the
  // next map the number that holds older ones.
  RegisterBench bench(11);
  bench.add_proposer("one");
  bench.add_mark("one");
  bench.settle(400);
  ASSERT_EQ(bench.acked(), 1u);
  bench.add_proposer("other");
  bool has_seen = false;
  bench.proposer("other").change(
      [](const FleetState&) {
        return ChangeDecision{ChangeDecision::Kind::already_there, {}, ""};
      },
      [&](const ChangeResult& end) {
        const auto& proposer = bench.proposer("other");
        has_seen = proposer.has_state() && proposer.state().version == end.state.version;
      },
      TimePoint{1000}, Duration{100000});
  bench.settle(60);
  EXPECT_TRUE(has_seen);
}

TEST(ConfigurationRegister, AStalledDiskLeavesAsksUnansweredInPlaceOfAnEverLongerQueue) {
  RegisterAcceptor acceptor(StoreId{"s1"});
  FleetState state;
  state.fleet_name = "north";
  state.version = 1;
  state.acceptors.push_back({StoreId{"s1"}, Address{"here"}});
  acceptor.on_message(Address{"founder"}, BootstrapRequest{1, StoreId{"s1"}, {encode_state(state)}}, TimePoint{0});
  acceptor.synced(acceptor.drain_writes().back().token);
  acceptor.drain_outbound();
  std::int64_t last = 0, writes = 0;
  for (std::int64_t ask = 1; ask <= 10000; ++ask) {
    acceptor.on_message(Address{"p"}, Prepare{ask, StoreId{"s1"}, Ballot{ask + 1, Address{"p"}}, Ballot{}},
                        TimePoint{ask});
    for (const auto& write : acceptor.drain_writes()) {
      last = write.token;
      ++writes;
    }
  }
  EXPECT_LE(writes, 64);
  EXPECT_EQ(acceptor.unsynced(), static_cast<std::size_t>(writes));
  EXPECT_EQ(acceptor.dropped(), 10000 - writes);
  EXPECT_TRUE(
      acceptor.drain_outbound().empty());  // nothing is answered before it is on disk, and a dropped ask is not refused
  // Reads go on from what is on disk.
  acceptor.on_message(Address{"p"}, ReadRequest{20000, DaemonRole::edge, Ballot{}, false, false}, TimePoint{10001});
  EXPECT_EQ(acceptor.drain_outbound().size(), 1u);
  acceptor.synced(last);
  EXPECT_EQ(acceptor.drain_outbound().size(), static_cast<std::size_t>(writes));
  acceptor.on_message(Address{"p"}, Prepare{30000, StoreId{"s1"}, Ballot{30000, Address{"p"}}, Ballot{}},
                      TimePoint{10002});
  EXPECT_EQ(acceptor.drain_writes().size(), 1u);
}
