// Edits on their way to a master: when a refusal may be returned, and which dispatch blocks are forwarded meanwhile.
#include "emberdale/edit_forwarder.hpp"

#include <gtest/gtest.h>

#include "emberdale/leader_lease.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {
namespace {

EditRequest ask_of(const std::string& kind, const std::string& name, const std::string& body) {
  EditRequest request;
  request.request_id = 7;
  request.change_id = "change-7";
  request.action = EditAction::patch;
  request.kind = kind;
  request.name = name;
  request.body = body;
  return request;
}

struct ForwarderFixture {
  ForwarderFixture() {
    forwarder.take(
        ask_of(plans_kind, "p", "{}"), [this](const EditResponse& response) { responses.push_back(response.code); }, {},
        TimePoint{0});
  }
  void send(std::int64_t term, std::int64_t at) { forwarder.send(Address{"m"}, term, TimePoint{at}); }
  void respond(std::int64_t code, std::int64_t term, std::int64_t at = 3000) {
    forwarder.on_response(EditResponse{7, code, 0, "", term}, TimePoint{at});
  }
  EditForwarder forwarder;
  std::vector<std::int64_t> responses;
};

TEST(EditForwarder, WithoutAMasterAnEditWaitsAndIsThenRefused) {
  ForwarderFixture fixture;
  fixture.forwarder.on_timer(TimePoint{6000});
  EXPECT_TRUE(fixture.responses.empty());
  fixture.forwarder.on_timer(TimePoint{7000});
  EXPECT_EQ(fixture.responses, (std::vector<std::int64_t>{503}));
}

TEST(EditForwarder, AnEditThatWasSentIsNeverReportedAsRefused) {
  ForwarderFixture fixture;
  fixture.send(4, 0);
  fixture.forwarder.on_timer(TimePoint{60000});
  EXPECT_EQ(fixture.responses, (std::vector<std::int64_t>{504}));
}

TEST(EditForwarder, EachCopySentMustBeRejectedBeforeTheEditCountsAsRefused) {
  ForwarderFixture fixture;
  fixture.send(4, 0);
  fixture.send(4, 500);   // the same again: the first may have been lost
  fixture.respond(0, 4);  // one of them came to a daemon that does not lead term 4
  fixture.forwarder.on_timer(TimePoint{60000});
  EXPECT_EQ(fixture.responses, (std::vector<std::int64_t>{504}));
  ForwarderFixture other;
  other.send(4, 0);
  other.send(4, 500);
  other.respond(0, 4);
  other.respond(0, 4);
  other.forwarder.on_timer(TimePoint{60000});
  EXPECT_EQ(other.responses, (std::vector<std::int64_t>{503}));
}

TEST(EditForwarder, ARefusalIsReturnedOnceNoOtherCopyCanBeApplied) {
  ForwarderFixture unread;  // the later master never read the register: the earlier one may have applied it
  unread.send(4, 0);
  unread.send(5, 500);
  unread.respond(503, 5);
  EXPECT_TRUE(unread.responses.empty());
  unread.respond(200, 4);
  EXPECT_EQ(unread.responses, (std::vector<std::int64_t>{200}));
  ForwarderFixture read;  // computed on the state: what the earlier one applied would have been found
  read.send(4, 0);
  read.send(5, 500);
  read.respond(412, 5);
  EXPECT_EQ(read.responses, (std::vector<std::int64_t>{412}));
  ForwarderFixture late;  // a refusal of the previous master says nothing about the copy at the newer one
  late.send(4, 0);
  late.send(5, 500);
  late.respond(412, 4);
  EXPECT_TRUE(late.responses.empty());
  late.respond(200, 5);
  EXPECT_EQ(late.responses, (std::vector<std::int64_t>{200}));
}

TEST(ForwardedBlock, OnlyEditsThatRemoveCapacityAreForwardedAndOnlyWhileTheyWait) {
  EXPECT_FALSE(block_of(ask_of(runners_kind, "m1", R"({"leaving":false})"), 1, TimePoint{0}).block);
  EXPECT_FALSE(block_of(ask_of(orders_kind, "a", R"({"state":"serving"})"), 1, TimePoint{0}).block);
  EXPECT_FALSE(block_of(ask_of(plans_kind, "leaving", R"({"leaving":true})"), 1, TimePoint{0}).block);
  EXPECT_FALSE(block_of(ask_of(runners_kind, "m1", "not JSON"), 1, TimePoint{0}).block);
  ForwardedBlock zone = block_of(ask_of(orders_kind, "a", R"({"state":"emptied"})"), 1, TimePoint{0});
  ASSERT_TRUE(zone.block);
  EXPECT_EQ(zone.block->zone.text, "a");
  EXPECT_FALSE(zone.is_due(1, TimePoint{100}));  // in the ordinary case the map is quicker
  EXPECT_TRUE(zone.is_due(1, TimePoint{400}));
  EXPECT_FALSE(zone.is_due(1, TimePoint{500}));
  EXPECT_FALSE(zone.is_due(2, TimePoint{900}));  // done, or overtaken: the map alone speaks
  EXPECT_FALSE(zone.is_due(1, TimePoint{1300}));
  ForwardedBlock runner = block_of(ask_of(runners_kind, "m1", R"({"leaving":true})"), 1, TimePoint{0});
  EXPECT_TRUE(runner.is_due(1, TimePoint{2900}));
  EXPECT_FALSE(runner.is_due(1, TimePoint{3300}));  // its time is over
}

TEST(LeaderLease, AClaimWaitsBrieflyOnlyIfAMajorityOfTheLeaseRosterHasPromised) {
  FleetState state;
  state.term = 4;
  state.master.text = "a";
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    state.roster.push_back({Address{name}, name, DaemonRole::edge, {}, {}, 1});
    state.lease_roster.push_back(Address{name});
  }
  auto wait = [&](const std::set<Address>& promised, const FleetState& before) {
    return LeaderLease::claimed(before, TermClaim{4, promised, promised}, Address{"b"}, false).acknowledgement_wait_ms;
  };
  EXPECT_EQ(wait({Address{"b"}, Address{"c"}, Address{"d"}}, state), quick_ack_wait.value);
  EXPECT_EQ(wait({Address{"b"}, Address{"c"}}, state), late_ack_wait.value);
  EXPECT_EQ(wait({Address{"b"}, Address{"x"}, Address{"y"}}, state), late_ack_wait.value);  // of another roster
  FleetState laid_down = state;
  laid_down.master = Address{};
  EXPECT_EQ(wait({Address{"b"}}, laid_down), 0);
  FleetState waiting = state;  // a long wait that is not over goes on into the next term
  waiting.acknowledgement_wait_ms = late_ack_wait.value;
  EXPECT_EQ(wait({Address{"b"}, Address{"c"}, Address{"d"}}, waiting), late_ack_wait.value);
  waiting.master = Address{};
  EXPECT_EQ(wait({Address{"b"}, Address{"c"}, Address{"d"}}, waiting), late_ack_wait.value);
}

// An edit without an expected version, whose client times out after a second.
struct TimedForwarder {
  TimedForwarder() : forwarder(times()) {
    EditRequest request = ask_of(orders_kind, "a", R"({"state":"serving"})");
    request.expected_version = -1;
    forwarder.take(
        request, [this](const EditResponse& response) { responses.push_back(response.code); }, {}, TimePoint{0});
  }
  static EditTimes times() {
    EditTimes times;
    times.requester_timeout = Duration{800};
    times.leader_wait = Duration{700};
    times.response_timeout = Duration{5000};
    return times;
  }
  // What is sent to the leader of that term. Example: sent(4, 0, 2000).at(0).timestamp == 2000
  std::vector<EditRequest> sent(std::int64_t term, std::int64_t at, std::int64_t timestamp = 0) {
    std::vector<EditRequest> edit_requests;
    for (const auto& message : forwarder.send(Address{"m"}, term, TimePoint{at}, timestamp))
      edit_requests.push_back(std::get<EditRequest>(message.message));
    return edit_requests;
  }
  EditForwarder forwarder;
  std::vector<std::int64_t> responses;
};

TEST(EditForwarder, ACopyCarriesItsAgeAndTheNewestTimestampOfTheLeadersClock) {
  TimedForwarder fixture;
  auto first = fixture.sent(4, 100);
  ASSERT_EQ(first.size(), 1u);
  EXPECT_EQ(first[0].age_ms, 100);
  EXPECT_EQ(first[0].master_timestamp, 0);
  EXPECT_TRUE(fixture.sent(4, 200).empty());
  // The leader could not bound its age: it is sent again at once, with the timestamp that the response brought.
  fixture.forwarder.on_response(EditResponse{7, 0, 0, "", 4, 9000}, TimePoint{220});
  auto second = fixture.sent(4, 220, 8000);
  ASSERT_EQ(second.size(), 1u);
  EXPECT_EQ(second[0].age_ms, 220);
  EXPECT_EQ(second[0].master_timestamp, 9000);
  // Another leader's clock is another.
  auto third = fixture.sent(5, 730, 17);
  ASSERT_EQ(third.size(), 1u);
  EXPECT_EQ(third[0].master_timestamp, 17);
}

TEST(EditForwarder, AnEditThatIsTooOldIsNeitherSentNorAppliedLocally) {
  TimedForwarder fixture;
  EXPECT_EQ(fixture.sent(4, 100).size(), 1u);
  EXPECT_TRUE(fixture.sent(4, 800).empty());
  EXPECT_TRUE(fixture.sent(5, 900).empty());
  EXPECT_TRUE(fixture.forwarder.take_back(TimePoint{900}).empty());
  fixture.forwarder.on_timer(TimePoint{900});
  EXPECT_TRUE(fixture.responses.empty());  // the copy that was sent may be applied
  fixture.forwarder.on_response(EditResponse{7, 0, 0, "", 4, 9000}, TimePoint{1000});
  fixture.forwarder.on_timer(TimePoint{1000});
  EXPECT_EQ(fixture.responses, (std::vector<std::int64_t>{503}));
  TimedForwarder fresh;
  EXPECT_EQ(fresh.forwarder.take_back(TimePoint{799}).size(), 1u);
  TimedForwarder without_response;
  EXPECT_EQ(without_response.sent(4, 100).size(), 1u);
  without_response.forwarder.on_timer(TimePoint{5099});
  EXPECT_TRUE(without_response.responses.empty());
  without_response.forwarder.on_timer(TimePoint{5100});
  EXPECT_EQ(without_response.responses, (std::vector<std::int64_t>{504}));
}

TEST(EditForwarder, WithoutALeaderAnEditIsRefusedBeforeItsClientTimesOut) {
  TimedForwarder fixture;
  fixture.forwarder.on_timer(TimePoint{699});
  EXPECT_TRUE(fixture.responses.empty());
  fixture.forwarder.on_timer(TimePoint{700});
  EXPECT_EQ(fixture.responses, (std::vector<std::int64_t>{503}));
}

TEST(EditForwarder, EditsThatWaitWhenTheDaemonEndsAreRefusedOrUnknown) {
  TimedForwarder unsent, sent;
  EXPECT_EQ(unsent.forwarder.end_all().size(), 1u);
  EXPECT_EQ(unsent.responses, (std::vector<std::int64_t>{503}));
  EXPECT_EQ(sent.sent(4, 100).size(), 1u);
  EXPECT_EQ(sent.forwarder.end_all().size(), 1u);
  EXPECT_EQ(sent.responses, (std::vector<std::int64_t>{504}));
  EXPECT_TRUE(sent.forwarder.waiting().empty());
}

// Timers of 25 ms.
TEST(PauseDetector, RequestsReadSoonAfterAPauseMayBeOld) {
  PauseDetector pauses;
  pauses.start(TimePoint{0});
  pauses.on_timer(TimePoint{25});
  EXPECT_FALSE(pauses.may_read_old_requests(TimePoint{30}, TimePoint{-1}));
  EXPECT_TRUE(pauses.may_read_old_requests(TimePoint{1000}, TimePoint{10}));  // a request comes before the late timer
  pauses.on_timer(TimePoint{1001});
  pauses.on_timer(TimePoint{1026});
  EXPECT_TRUE(pauses.may_read_old_requests(TimePoint{1027}, TimePoint{1002}));
  EXPECT_TRUE(pauses.may_read_old_requests(TimePoint{1050}, TimePoint{10}));
  for (std::int64_t ms = 1051; ms <= 1301; ms += 25)
    pauses.on_timer(TimePoint{ms});
  EXPECT_TRUE(pauses.may_read_old_requests(TimePoint{1310}, TimePoint{10}));  // no majority has responded since
  EXPECT_FALSE(pauses.may_read_old_requests(TimePoint{1310}, TimePoint{1002}));
}

}  // namespace
}  // namespace emberdale
