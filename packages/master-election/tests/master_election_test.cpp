// Tests of the rules of the election, with hand-written responses of peers.
#include "emberdale/master_election.hpp"

#include <gtest/gtest.h>

namespace emberdale {
namespace {

DaemonEntry entry(const std::string& name) {
  return DaemonEntry{Address{name}, name, DaemonRole::edge, ZoneName{"z"}, RegionName{"r"}, 1};
}

// An election at one daemon, "b" unless said otherwise, of a roster "a" to "e".
class ElectionFixture {
 public:
  explicit ElectionFixture(const std::string& self = "b") : election(entry(self), RandomGenerator(3)) {
    for (const char* name : {"a", "b", "c", "d", "e"})
      roster.push_back(entry(name));
    election.set_roster(roster, 4, Address{}, now);
    election.start(now);
  }
  // Drains what was sent and gives the messages of one type, by receiver.
  template <class T>
  std::map<std::string, T> drain_sent() {
    std::map<std::string, T> found;
    for (auto& outbound : election.drain_outbound())
      if (auto* message = std::get_if<T>(&outbound.message))
        found[outbound.to.text] = *message;
    return found;
  }
  void respond(const std::string& from, std::int64_t request_id, const std::string& master = "",
               MapVersion version = {}) {
    PingResponse response;
    response.request_id = request_id;
    response.sender = entry(from);
    response.master.text = master;
    response.version = version;
    election.on_message(Address{from}, response, now);
  }
  void advance(std::int64_t duration_ms) {
    for (std::int64_t end = now.value + duration_ms; now.value < end; now.value += timer_interval_ms)
      election.on_timer(now);
  }
  static constexpr std::int64_t timer_interval_ms = 25;
  TimePoint now{1000};
  std::vector<DaemonEntry> roster;
  MasterElection election;
};

using Phase = MasterElection::Phase;

TEST(MasterElection, PingsAllPeersAtOnceAndEndsTheRoundOnceAllHaveResponded) {
  ElectionFixture fixture;
  auto pings = fixture.drain_sent<PingRequest>();
  ASSERT_EQ(pings.size(), 4u);
  for (const char* name : {"a", "c", "d"})
    fixture.respond(name, pings[name].request_id);
  EXPECT_EQ(fixture.election.phase(), Phase::pinging);
  fixture.respond("e", pings["e"].request_id);
  EXPECT_EQ(fixture.election.phase(), Phase::joining);  // "a" is ranked first
  EXPECT_EQ(fixture.drain_sent<JoinRequest>().count("a"), 1u);
}

TEST(MasterElection, TheRoundIsBoundedWhenSomePeersDoNotRespond) {
  ElectionFixture fixture;
  auto pings = fixture.drain_sent<PingRequest>();
  fixture.respond("c", pings["c"].request_id);
  fixture.respond("d", pings["d"].request_id);
  fixture.advance(2950);
  EXPECT_EQ(fixture.election.phase(), Phase::pinging);
  fixture.advance(100);
  EXPECT_EQ(fixture.election.phase(), Phase::awaiting_joins);  // three of five responded, "b" is smallest
}

TEST(MasterElection, RanksHighestStateVersionFirstAndSmallestIdNext) {
  ElectionFixture fixture;
  auto pings = fixture.drain_sent<PingRequest>();
  fixture.election.set_version({2, 5});
  fixture.respond("a", pings["a"].request_id, "", {2, 4});
  fixture.respond("c", pings["c"].request_id, "", {2, 9});
  fixture.respond("d", pings["d"].request_id, "", {3, 1});
  fixture.respond("e", pings["e"].request_id, "", {3, 1});
  EXPECT_EQ(fixture.drain_sent<JoinRequest>().count("d"), 1u);
}

TEST(MasterElection, NothingIsRankedWithFewerCandidatesThanAQuorum) {
  ElectionFixture fixture;
  auto pings = fixture.drain_sent<PingRequest>();
  fixture.respond("c", pings["c"].request_id);
  fixture.advance(3100);
  EXPECT_EQ(fixture.election.phase(), Phase::backing_off);
  EXPECT_EQ(fixture.election.rounds_without_quorum(), 1);
  fixture.advance(600);
  EXPECT_EQ(fixture.election.phase(), Phase::pinging);  // the round repeats
  EXPECT_FALSE(fixture.election.drain_claim());
}

TEST(MasterElection, JoinsAReportedMasterByDefaultTheSmallestIdAmongThem) {
  ElectionFixture fixture;
  auto pings = fixture.drain_sent<PingRequest>();
  fixture.respond("a", pings["a"].request_id, "", {9, 9});  // would win the ranking
  fixture.respond("c", pings["c"].request_id, "e");
  fixture.respond("d", pings["d"].request_id, "d");
  fixture.respond("e", pings["e"].request_id, "e");
  auto joins = fixture.drain_sent<JoinRequest>();
  ASSERT_EQ(joins.size(), 1u);
  EXPECT_EQ(joins.begin()->first, "d");
  fixture.election.on_message(Address{"d"}, JoinResponse{joins["d"].request_id, true, 4, ""}, fixture.now);
  EXPECT_EQ(fixture.election.phase(), Phase::following);
  EXPECT_EQ(fixture.election.master().text, "d");
}

TEST(MasterElection, ClaimsATermOnlyAfterQuorumMinusOneJoins) {
  ElectionFixture fixture("a");
  auto pings = fixture.drain_sent<PingRequest>();
  for (const char* name : {"b", "c", "d", "e"})
    fixture.respond(name, pings[name].request_id);
  ASSERT_EQ(fixture.election.phase(), Phase::awaiting_joins);
  fixture.election.on_message(Address{"b"}, JoinRequest{1, entry("b"), {}}, fixture.now);
  EXPECT_FALSE(fixture.election.drain_claim());
  fixture.election.on_message(Address{"x"}, JoinRequest{1, entry("x"), {}}, fixture.now);  // not of the roster
  EXPECT_FALSE(fixture.election.drain_claim());
  fixture.election.on_message(Address{"c"}, JoinRequest{1, entry("c"), {}}, fixture.now);
  auto claim = fixture.election.drain_claim();
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->expected_term, 4);
  EXPECT_FALSE(fixture.election.is_master());  // the register decides
  fixture.election.on_claim_result(true, 5, fixture.now);
  EXPECT_TRUE(fixture.election.is_master());
  EXPECT_EQ(fixture.drain_sent<JoinResponse>().size(), 3u);
}

TEST(MasterElection, TooFewJoinsInTimeStartANewRound) {
  ElectionFixture fixture("a");
  auto pings = fixture.drain_sent<PingRequest>();
  for (const char* name : {"b", "c", "d", "e"})
    fixture.respond(name, pings[name].request_id);
  fixture.election.on_message(Address{"b"}, JoinRequest{1, entry("b"), {}}, fixture.now);
  fixture.advance(1600);
  EXPECT_EQ(fixture.election.phase(), Phase::backing_off);
  auto answers = fixture.drain_sent<JoinResponse>();
  ASSERT_EQ(answers.count("b"), 1u);
  EXPECT_FALSE(answers["b"].granted);
}

TEST(MasterElection, AMinorityThatCannotReachTheMasterDoesNotReplaceIt) {
  ElectionFixture fixture;
  auto pings = fixture.drain_sent<PingRequest>();
  // The others follow "a"; only this daemon does not reach it.
  for (const char* name : {"c", "d", "e"})
    fixture.respond(name, pings[name].request_id, "a");
  fixture.advance(3100);
  EXPECT_EQ(fixture.drain_sent<JoinRequest>().count("a"), 1u);  // asked to join it, not to replace it
  EXPECT_FALSE(fixture.election.drain_claim());
}

TEST(MasterElection, MoreThanHalfThatFindTheMasterDownReplaceIt) {
  ElectionFixture fixture;
  auto pings = fixture.drain_sent<PingRequest>();
  fixture.respond("c", pings["c"].request_id, "");   // finds it down too
  fixture.respond("d", pings["d"].request_id, "");   // finds it down too
  fixture.respond("e", pings["e"].request_id, "a");  // has not noticed yet
  fixture.advance(3100);
  EXPECT_EQ(fixture.election.phase(), Phase::awaiting_joins);  // ranked: "a" did not respond, "b" is next
}

TEST(MasterElection, AMasterWithoutItsQuorumOrWithAnotherTermStepsDown) {
  ElectionFixture fixture("a");
  auto pings = fixture.drain_sent<PingRequest>();
  for (const char* name : {"b", "c", "d", "e"})
    fixture.respond(name, pings[name].request_id);
  for (const char* name : {"b", "c"})
    fixture.election.on_message(Address{name}, JoinRequest{1, entry(name), {}}, fixture.now);
  ASSERT_TRUE(fixture.election.drain_claim());
  fixture.election.on_claim_result(true, 5, fixture.now);
  for (int i = 0; i < 20; ++i) {
    fixture.advance(400);
    for (const char* name : {"b", "c"})
      fixture.election.on_message(Address{name}, Heartbeat{entry(name), 5, {}, {}, {}}, fixture.now);
  }
  EXPECT_TRUE(fixture.election.is_master());
  ElectionFixture copy = fixture;
  fixture.advance(4500);  // no follower is heard any more
  EXPECT_FALSE(fixture.election.is_master());
  copy.election.set_roster(copy.roster, 6, Address{"c"}, copy.now);
  EXPECT_FALSE(copy.election.is_master());
}

TEST(MasterElection, AFollowerBeginsARoundWhenItsMasterIsSilentOrLeaves) {
  ElectionFixture fixture;
  auto pings = fixture.drain_sent<PingRequest>();
  for (const char* name : {"a", "c", "d", "e"})
    fixture.respond(name, pings[name].request_id, "a");
  auto joins = fixture.drain_sent<JoinRequest>();
  fixture.election.on_message(Address{"a"}, JoinResponse{joins["a"].request_id, true, 5, ""}, fixture.now);
  ASSERT_EQ(fixture.election.phase(), Phase::following);
  ElectionFixture leaving = fixture;
  fixture.advance(1700);
  EXPECT_EQ(fixture.election.phase(), Phase::pinging);
  EXPECT_TRUE(fixture.election.master().empty());  // its ping responses now say that it finds the master down
  leaving.election.on_message(Address{"a"}, LeaveNotice{entry("a")}, leaving.now);
  EXPECT_EQ(leaving.election.phase(), Phase::pinging);
}

TEST(MasterElection, ARefusedConnectionEndsTheWaitButDoesNotReplaceTheMaster) {
  ElectionFixture fixture;
  auto pings = fixture.drain_sent<PingRequest>();
  for (const char* name : {"c", "d", "e"})
    fixture.respond(name, pings[name].request_id, "a");
  EXPECT_EQ(fixture.election.phase(), Phase::pinging);
  fixture.election.on_connection_refused(Address{"a"},
                                         fixture.now);  // its process has ended: no response will come
  // Three of five still name it, so it is joined as reported, and only the failure of that join shows that it is down.
  EXPECT_EQ(fixture.election.phase(), Phase::joining);
  EXPECT_EQ(fixture.drain_sent<JoinRequest>().count("a"), 1u);
  fixture.election.on_connection_refused(Address{"a"}, fixture.now);
  EXPECT_EQ(fixture.election.phase(), Phase::backing_off);
  fixture.advance(600);
  auto again = fixture.drain_sent<PingRequest>();
  for (const char* name : {"c", "d", "e"})
    fixture.respond(name, again[name].request_id);
  EXPECT_EQ(fixture.election.phase(), Phase::pinging);
  fixture.election.on_connection_refused(Address{"a"}, fixture.now);
  EXPECT_EQ(fixture.election.phase(), Phase::awaiting_joins);  // more than half find it down: ranked, "b" is first
}

// "b" follows "a" in term 4, long after its start, and has a timestamp to acknowledge.
void follow_a(ElectionFixture& fixture) {
  auto pings = fixture.drain_sent<PingRequest>();
  for (const char* name : {"a", "c", "d", "e"})
    fixture.respond(name, pings[name].request_id, name[0] == 'a' ? "a" : "");
  auto joins = fixture.drain_sent<JoinRequest>();
  fixture.election.on_message(Address{"a"}, JoinResponse{joins["a"].request_id, true, 4, ""}, fixture.now);
  for (int i = 0; i < 30; ++i) {
    fixture.now = fixture.now + Duration{400};
    fixture.election.on_message(Address{"a"}, HeartbeatResponse{4, true, {}, 70000 + i}, fixture.now);
  }
}

TEST(MasterElection, AFollowerAcknowledgesItsMastersTimestampUntilItJoinsAnother) {
  ElectionFixture fixture;
  follow_a(fixture);
  EXPECT_EQ(fixture.election.acknowledged_timestamp(fixture.now), 70029);
  // Its master falls silent; it joins "c", which ranks first, and the promise is in the join.
  fixture.advance(2000);
  auto pings = fixture.drain_sent<PingRequest>();
  for (const char* name : {"c", "d", "e"})
    fixture.respond(name, pings[name].request_id, "", name[0] == 'c' ? MapVersion{4, 9} : MapVersion{});
  fixture.advance(3000);
  auto joins = fixture.drain_sent<JoinRequest>();
  ASSERT_EQ(joins.count("c"), 1u);
  EXPECT_EQ(joins["c"].term, 4);
  // The join fails and "a" was only frozen: it is followed again, and gets no acknowledgement from this daemon.
  fixture.election.on_message(Address{"c"}, JoinResponse{joins["c"].request_id, false, 4, "too few joins"},
                              fixture.now);
  fixture.advance(700);
  follow_a(fixture);
  EXPECT_EQ(fixture.election.phase(), Phase::following);
  EXPECT_EQ(fixture.election.acknowledged_timestamp(fixture.now), 0);
}

TEST(MasterElection, ADaemonThatHasJustStartedAcknowledgesNothing) {
  ElectionFixture fixture;
  auto pings = fixture.drain_sent<PingRequest>();
  for (const char* name : {"a", "c", "d", "e"})
    fixture.respond(name, pings[name].request_id, name[0] == 'a' ? "a" : "");
  auto joins = fixture.drain_sent<JoinRequest>();
  fixture.election.on_message(Address{"a"}, JoinResponse{joins["a"].request_id, true, 4, ""}, fixture.now);
  fixture.election.on_message(Address{"a"}, HeartbeatResponse{4, true, {}, 70000}, fixture.now);
  EXPECT_EQ(fixture.election.acknowledged_timestamp(fixture.now),
            0);  // a promise of its previous incarnation may still count
}

TEST(MasterElection, OnlyFreshJoinsOfTheCurrentTermArePromises) {
  ElectionFixture fixture("a");
  auto pings = fixture.drain_sent<PingRequest>();
  for (const char* name : {"b", "c", "d", "e"})
    fixture.respond(name, pings[name].request_id);
  ASSERT_EQ(fixture.election.phase(), Phase::awaiting_joins);
  fixture.now = fixture.now + Duration{9000};
  fixture.election.on_message(Address{"b"}, JoinRequest{1, entry("b"), {}, 4, fixture.now.value - 8500},
                              fixture.now);  // delayed on its way
  fixture.election.on_message(Address{"c"}, JoinRequest{1, entry("c"), {}, 4, fixture.now.value - 100}, fixture.now);
  auto claim = fixture.election.drain_claim();
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->joined.size(), 2u);
  EXPECT_EQ(claim->promised, (std::set<Address>{Address{"a"}, Address{"c"}}));
}

}  // namespace
}  // namespace emberdale
