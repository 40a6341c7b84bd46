// The election's rules one by one, with the answers of peers written by hand.
#include "emberdale/master_election.hpp"

#include <gtest/gtest.h>

using namespace emberdale;

namespace {

DaemonEntry entry(const std::string& name) {
  return DaemonEntry{Address{name}, name, DaemonRole::edge, ZoneName{"z"}, RegionName{"r"}, 1};
}

// One daemon "b" of a roster a..e, driven by hand.
class Bench {
 public:
  explicit Bench(const std::string& self = "b") : election(entry(self), RandomGenerator(3)) {
    for (const char* name : {"a", "b", "c", "d", "e"})
      roster.push_back(entry(name));
    election.set_roster(roster, 4, Address{}, now);
    election.start(now);
  }
  // The pings (or joins) sent since the last look, by receiver.
  template <class T>
  std::map<std::string, T> sent() {
    std::map<std::string, T> found;
    for (auto& outbound : election.drain_outbound())
      if (auto* message = std::get_if<T>(&outbound.message))
        found[outbound.to.text] = *message;
    return found;
  }
  void answer(const std::string& from, std::int64_t ask, const std::string& master = "", MapVersion version = {}) {
    PingResponse response;
    response.request_id = ask;
    response.sender = entry(from);
    response.master.text = master;
    response.version = version;
    election.on_message(Address{from}, response, now);
  }
  void pass(std::int64_t ms) {
    for (std::int64_t end = now.value + ms; now.value < end; now.value += 25)
      election.on_timer(now);
  }
  TimePoint now{1000};
  std::vector<DaemonEntry> roster;
  MasterElection election;
};

using Phase = MasterElection::Phase;

}  // namespace

TEST(MasterElection, PingsAllKnownAtOnceAndEndsEarlyOnceAllAnswered) {
  Bench bench;
  auto pings = bench.sent<PingRequest>();
  ASSERT_EQ(pings.size(), 4u);
  for (const char* name : {"a", "c", "d"})
    bench.answer(name, pings[name].request_id);
  EXPECT_EQ(bench.election.phase(), Phase::pinging);
  bench.answer("e", pings["e"].request_id);
  EXPECT_EQ(bench.election.phase(), Phase::joining);  // "a" is ranked first
  EXPECT_EQ(bench.sent<JoinRequest>().count("a"), 1u);
}

TEST(MasterElection, TheRoundIsBoundedWhenSomeNeverAnswer) {
  Bench bench;
  auto pings = bench.sent<PingRequest>();
  bench.answer("c", pings["c"].request_id);
  bench.answer("d", pings["d"].request_id);
  bench.pass(2950);
  EXPECT_EQ(bench.election.phase(), Phase::pinging);
  bench.pass(100);
  EXPECT_EQ(bench.election.phase(), Phase::awaiting_joins);  // three of five answered, b is smallest
}

TEST(MasterElection, RanksHighestStateVersionFirstAndSmallestIdNext) {
  Bench bench;
  auto pings = bench.sent<PingRequest>();
  bench.election.set_version({2, 5});
  bench.answer("a", pings["a"].request_id, "", {2, 4});
  bench.answer("c", pings["c"].request_id, "", {2, 9});
  bench.answer("d", pings["d"].request_id, "", {3, 1});
  bench.answer("e", pings["e"].request_id, "", {3, 1});
  EXPECT_EQ(bench.sent<JoinRequest>().count("d"), 1u);
}

TEST(MasterElection, NothingIsRankedWithFewerAnswersThanTheQuorum) {
  Bench bench;
  auto pings = bench.sent<PingRequest>();
  bench.answer("c", pings["c"].request_id);
  bench.pass(3100);
  EXPECT_EQ(bench.election.phase(), Phase::pausing);
  EXPECT_EQ(bench.election.rounds_without_quorum(), 1);
  bench.pass(600);
  EXPECT_EQ(bench.election.phase(), Phase::pinging);  // the round repeats
  EXPECT_FALSE(bench.election.drain_claim());
}

TEST(MasterElection, JoinsAReportedMasterByDefaultTheSmallestIdAmongThem) {
  Bench bench;
  auto pings = bench.sent<PingRequest>();
  bench.answer("a", pings["a"].request_id, "", {9, 9});  // would win the ranking
  bench.answer("c", pings["c"].request_id, "e");
  bench.answer("d", pings["d"].request_id, "d");
  bench.answer("e", pings["e"].request_id, "e");
  auto joins = bench.sent<JoinRequest>();
  ASSERT_EQ(joins.size(), 1u);
  EXPECT_EQ(joins.begin()->first, "d");
  bench.election.on_message(Address{"d"}, JoinResponse{joins["d"].request_id, true, 4, ""}, bench.now);
  EXPECT_EQ(bench.election.phase(), Phase::following);
  EXPECT_EQ(bench.election.master().text, "d");
}

TEST(MasterElection, ClaimsATermOnlyAfterQuorumMinusOneJoins) {
  Bench bench("a");
  auto pings = bench.sent<PingRequest>();
  for (const char* name : {"b", "c", "d", "e"})
    bench.answer(name, pings[name].request_id);
  ASSERT_EQ(bench.election.phase(), Phase::awaiting_joins);
  bench.election.on_message(Address{"b"}, JoinRequest{1, entry("b"), {}}, bench.now);
  EXPECT_FALSE(bench.election.drain_claim());
  bench.election.on_message(Address{"x"}, JoinRequest{1, entry("x"), {}}, bench.now);  // not of the roster
  EXPECT_FALSE(bench.election.drain_claim());
  bench.election.on_message(Address{"c"}, JoinRequest{1, entry("c"), {}}, bench.now);
  auto claim = bench.election.drain_claim();
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->expected_term, 4);
  EXPECT_FALSE(bench.election.is_master());  // the register has the last word
  bench.election.claim_ended(true, 5, bench.now);
  EXPECT_TRUE(bench.election.is_master());
  EXPECT_EQ(bench.sent<JoinResponse>().size(), 3u);
}

TEST(MasterElection, TooFewJoinsInTimeOrALostClaimStartsAnew) {
  Bench bench("a");
  auto pings = bench.sent<PingRequest>();
  for (const char* name : {"b", "c", "d", "e"})
    bench.answer(name, pings[name].request_id);
  bench.election.on_message(Address{"b"}, JoinRequest{1, entry("b"), {}}, bench.now);
  bench.pass(1600);
  EXPECT_EQ(bench.election.phase(), Phase::pausing);
  auto answers = bench.sent<JoinResponse>();
  ASSERT_EQ(answers.count("b"), 1u);
  EXPECT_FALSE(answers["b"].granted);
}

TEST(MasterElection, AFalseDeathSeenByAMinorityUnseatsNoOne) {
  Bench bench;
  auto pings = bench.sent<PingRequest>();
  // "a" is master for the others; only this daemon does not reach it.
  for (const char* name : {"c", "d", "e"})
    bench.answer(name, pings[name].request_id, "a");
  bench.pass(3100);
  EXPECT_EQ(bench.sent<JoinRequest>().count("a"), 1u);  // asked to join it, not to replace it
  EXPECT_FALSE(bench.election.drain_claim());
}

TEST(MasterElection, MoreThanHalfThatFindTheMasterDownUnseatIt) {
  Bench bench;
  auto pings = bench.sent<PingRequest>();
  bench.answer("c", pings["c"].request_id, "");   // finds it down too
  bench.answer("d", pings["d"].request_id, "");   // finds it down too
  bench.answer("e", pings["e"].request_id, "a");  // has not noticed yet
  bench.pass(3100);
  EXPECT_EQ(bench.election.phase(), Phase::awaiting_joins);  // ranked: "a" did not answer, b is next
}

TEST(MasterElection, AMasterWithoutItsQuorumOrWithAnotherTermStepsDown) {
  Bench bench("a");
  auto pings = bench.sent<PingRequest>();
  for (const char* name : {"b", "c", "d", "e"})
    bench.answer(name, pings[name].request_id);
  for (const char* name : {"b", "c"})
    bench.election.on_message(Address{name}, JoinRequest{1, entry(name), {}}, bench.now);
  ASSERT_TRUE(bench.election.drain_claim());
  bench.election.claim_ended(true, 5, bench.now);
  for (int i = 0; i < 20; ++i) {
    bench.pass(400);
    for (const char* name : {"b", "c"})
      bench.election.on_message(Address{name}, Heartbeat{entry(name), 5, {}, {}, {}}, bench.now);
  }
  EXPECT_TRUE(bench.election.is_master());
  Bench other = bench;
  bench.pass(4500);  // no follower is heard any more
  EXPECT_FALSE(bench.election.is_master());
  other.election.set_roster(other.roster, 6, Address{"c"}, other.now);
  EXPECT_FALSE(other.election.is_master());
}

TEST(MasterElection, AFollowerLooksAnewWhenItsMasterFallsSilentOrLeaves) {
  Bench bench;
  auto pings = bench.sent<PingRequest>();
  for (const char* name : {"a", "c", "d", "e"})
    bench.answer(name, pings[name].request_id, "a");
  auto joins = bench.sent<JoinRequest>();
  bench.election.on_message(Address{"a"}, JoinResponse{joins["a"].request_id, true, 5, ""}, bench.now);
  ASSERT_EQ(bench.election.phase(), Phase::following);
  Bench leaving = bench;
  bench.pass(1700);
  EXPECT_EQ(bench.election.phase(), Phase::pinging);
  EXPECT_TRUE(bench.election.master().empty());  // its answers now say that it finds the master down
  leaving.election.on_message(Address{"a"}, LeaveNotice{entry("a")}, leaving.now);
  EXPECT_EQ(leaving.election.phase(), Phase::pinging);
}

TEST(MasterElection, ARefusedLinkEndsTheWaitButUnseatsNoOne) {
  Bench bench;
  auto pings = bench.sent<PingRequest>();
  for (const char* name : {"c", "d", "e"})
    bench.answer(name, pings[name].request_id, "a");
  EXPECT_EQ(bench.election.phase(), Phase::pinging);
  bench.election.refused(Address{"a"}, bench.now);  // gone, not asleep: no need to wait for its answer
  // Three of five still name it: it is joined, as reported, and only that join tells that it is gone.
  EXPECT_EQ(bench.election.phase(), Phase::joining);
  EXPECT_EQ(bench.sent<JoinRequest>().count("a"), 1u);
  bench.election.refused(Address{"a"}, bench.now);
  EXPECT_EQ(bench.election.phase(), Phase::pausing);
  bench.pass(600);
  auto again = bench.sent<PingRequest>();
  for (const char* name : {"c", "d", "e"})
    bench.answer(name, again[name].request_id);
  EXPECT_EQ(bench.election.phase(), Phase::pinging);
  bench.election.refused(Address{"a"}, bench.now);
  EXPECT_EQ(bench.election.phase(), Phase::awaiting_joins);  // more than half find it down: ranked, "b" is first
}

namespace {
// "b" follows "a" in term 4, long after its start, and has a stamp to acknowledge.
void follow_a(Bench& bench) {
  auto pings = bench.sent<PingRequest>();
  for (const char* name : {"a", "c", "d", "e"})
    bench.answer(name, pings[name].request_id, name[0] == 'a' ? "a" : "");
  auto joins = bench.sent<JoinRequest>();
  bench.election.on_message(Address{"a"}, JoinResponse{joins["a"].request_id, true, 4, ""}, bench.now);
  for (int i = 0; i < 30; ++i) {
    bench.now = bench.now + Duration{400};
    bench.election.on_message(Address{"a"}, HeartbeatResponse{4, true, {}, 70000 + i}, bench.now);
  }
}
}  // namespace

TEST(MasterElection, AFollowerAcknowledgesItsMastersStampUntilItJoinsAnother) {
  Bench bench;
  follow_a(bench);
  EXPECT_EQ(bench.election.acknowledgement(bench.now), 70029);
  // Its master falls silent; it joins "c", which ranks first, and the promise is in the join.
  bench.pass(2000);
  auto pings = bench.sent<PingRequest>();
  for (const char* name : {"c", "d", "e"})
    bench.answer(name, pings[name].request_id, "", name[0] == 'c' ? MapVersion{4, 9} : MapVersion{});
  bench.pass(3000);
  auto joins = bench.sent<JoinRequest>();
  ASSERT_EQ(joins.count("c"), 1u);
  EXPECT_EQ(joins["c"].term, 4);
  // The join comes to nothing and "a" was only asleep: it is followed again, and has no acknowledge from here.
  bench.election.on_message(Address{"c"}, JoinResponse{joins["c"].request_id, false, 4, "too few joins"}, bench.now);
  bench.pass(700);
  follow_a(bench);
  EXPECT_EQ(bench.election.phase(), Phase::following);
  EXPECT_EQ(bench.election.acknowledgement(bench.now), 0);
}

TEST(MasterElection, ADaemonThatHasJustStartedAcknowledgesNothing) {
  Bench bench;
  auto pings = bench.sent<PingRequest>();
  for (const char* name : {"a", "c", "d", "e"})
    bench.answer(name, pings[name].request_id, name[0] == 'a' ? "a" : "");
  auto joins = bench.sent<JoinRequest>();
  bench.election.on_message(Address{"a"}, JoinResponse{joins["a"].request_id, true, 4, ""}, bench.now);
  bench.election.on_message(Address{"a"}, HeartbeatResponse{4, true, {}, 70000}, bench.now);
  EXPECT_EQ(bench.election.acknowledgement(bench.now), 0);  // what it promised in a former life may still count
}

TEST(MasterElection, OnlyFreshJoinsOfItsOwnTermArePromises) {
  Bench bench("a");
  auto pings = bench.sent<PingRequest>();
  for (const char* name : {"b", "c", "d", "e"})
    bench.answer(name, pings[name].request_id);
  ASSERT_EQ(bench.election.phase(), Phase::awaiting_joins);
  bench.now = bench.now + Duration{9000};
  bench.election.on_message(Address{"b"}, JoinRequest{1, entry("b"), {}, 4, bench.now.value - 8500},
                            bench.now);  // held up on its way
  bench.election.on_message(Address{"c"}, JoinRequest{1, entry("c"), {}, 4, bench.now.value - 100}, bench.now);
  auto claim = bench.election.drain_claim();
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->joined.size(), 2u);
  EXPECT_EQ(claim->promised, (std::set<Address>{Address{"a"}, Address{"c"}}));
}
