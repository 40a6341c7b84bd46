// Zone orders at the leader: one that comes again gets the response of before, and an idempotency key has one content.
#include "emberdale/master_edits.hpp"

#include <gtest/gtest.h>

#include "emberdale/avro_codec.hpp"
#include "emberdale/change_identity.hpp"
#include "emberdale/register_acceptor.hpp"

namespace emberdale {
namespace {

const Address self{"leader"}, peer{"peer"};
constexpr TimePoint now{20000};

EditRequest zone_order(const std::string& change, const std::string& zone, const std::string& state = "emptied") {
  EditRequest request;
  request.change_id = change;
  request.term = 1;  // the leader's
  request.action = EditAction::put;
  request.kind = orders_kind;
  request.name = zone;
  request.expected_version = -1;
  request.body = R"({"state":")" + state + R"("})";
  return request;
}

// A map that covers whatever was written in the first term.
const MapVersion covering_map{1, 1000000};

// A leader in its first term, with a register of one replica.
class Leader {
 public:
  explicit Leader(std::vector<CompletedChange> done = {}) {
    FleetState state;
    state.fleet_name = "fleet";
    state.version = state.term = 1;
    state.master = self;
    state.acceptors = {{StoreId{"s"}, self}};
    state.roster = {DaemonEntry{self, "", DaemonRole::edge, ZoneName{"z"}, RegionName{"r"}, 1}};
    state.completed_changes = std::move(done);
    acceptor_.on_message(self, BootstrapRequest{1, StoreId{"s"}, {encode_state(state)}}, now);
    proposer_.learn_acceptors(state.acceptors);
    proposer_.poll(now, DaemonRole::edge, false);
    run();
    edits_.begin();
  }
  void take(const EditRequest& request) {
    MasterEdits::Edit edit;
    edit.request = request;
    edit.from = peer;
    edits_.take(std::move(edit), now);
  }
  // Until nothing moves any more. Returns the codes of the edits that ended.
  std::vector<std::int64_t> run() {
    for (int i = 0; i < 20; ++i) {
      edits_.run(MapVersion{1, 1}, now);
      for (auto& message : proposer_.drain_outbound())
        acceptor_.on_message(self, message.message, now);
      for (auto& write : acceptor_.drain_writes())
        acceptor_.synced(write.token);
      for (auto& message : acceptor_.drain_outbound())
        proposer_.on_message(self, message.message, now);
      edits_.settle(
          covering_map, [](const MapVersion&) { return std::size_t{1}; }, now);
    }
    std::vector<std::int64_t> codes;
    for (auto& ended : edits_.take_ended())
      codes.push_back(ended.response.code);
    return codes;
  }
  const FleetState& state() const { return acceptor_.state(); }
  const MasterEdits::Counts& counts() const { return edits_.counts(); }
  EventJournal& journal() { return journal_; }

 private:
  RegisterAcceptor acceptor_{StoreId{"s"}};
  RegisterProposer proposer_{self, RandomGenerator(1)};
  MasterElection election_ = leading_election();
  LeaderLease lease_{proposer_, election_, self};
  EventJournal journal_{64};
  MasterEdits edits_{proposer_, election_, lease_, journal_, self};

  static MasterElection leading_election();
};

MasterElection Leader::leading_election() {
  MasterElection election(DaemonEntry{self, "", DaemonRole::edge, ZoneName{"z"}, RegionName{"r"}, 1},
                          RandomGenerator(1));
  election.set_roster({DaemonEntry{self, "", DaemonRole::edge, ZoneName{"z"}, RegionName{"r"}, 1}}, 0, Address{},
                      TimePoint{0});
  election.start(TimePoint{0});
  for (TimePoint at{0}; at < now && !election.drain_claim(); at = at + Duration{10})
    election.on_timer(at);
  election.on_claim_result(true, 1, now);
  EXPECT_TRUE(election.is_master());
  return election;
}

TEST(ChangeDigest, IsOfTheContentAndNotOfHowItCame) {
  EditRequest request = zone_order("id", "z1"), repeated = request;
  repeated.request_id = 9;
  repeated.term = 3;
  repeated.change_id = "another";
  EXPECT_EQ(change_digest(request), change_digest(repeated));
  EXPECT_FALSE(change_digest(request) == change_digest(zone_order("id", "z2")));
  EditRequest split = request;
  split.kind += "\n2\n" + split.name;  // no boundary between the parts can be moved
  split.name.clear();
  EXPECT_FALSE(change_digest(request) == change_digest(split));
  repeated = request;
  repeated.expected_version = 4;
  EXPECT_FALSE(change_digest(request) == change_digest(repeated));
}

TEST(ChangeDigest, AChangeOfAnEarlierSoftwareVersionIsRecognizedByItsIdAlone) {
  EditRequest request = zone_order("id", "z1");
  EXPECT_EQ(find_completed_change({}, request).status, IdempotencyStatus::not_done);
  EXPECT_EQ(find_completed_change({{"id", 5, 6, {}}}, request).status, IdempotencyStatus::done);
  EXPECT_EQ(find_completed_change({{"id", 5, 6, {}}}, request).version, 5);
  EXPECT_EQ(find_completed_change({{"id", 5, 6, change_digest(request)}}, request).status, IdempotencyStatus::done);
  EXPECT_EQ(find_completed_change({{"id", 5, 6, change_digest(zone_order("id", "z2"))}}, request).status,
            IdempotencyStatus::conflicting_id);
}

TEST(MasterEdits, AChangeSentAgainIsAcknowledgedAndAppliedOnce) {
  Leader leader;
  leader.take(zone_order("one", "z1"));
  EXPECT_EQ(leader.run(), (std::vector<std::int64_t>{201}));
  std::int64_t revision = leader.state().config_revision;
  leader.take(zone_order("one", "z1"));
  EXPECT_EQ(leader.run(), (std::vector<std::int64_t>{201}));
  EXPECT_EQ(leader.state().config_revision, revision);
  EXPECT_EQ(leader.state().completed_changes.size(), 1u);
  // A leader that has not handled it itself finds it in the register.
  Leader next(leader.state().completed_changes);
  next.take(zone_order("one", "z1"));
  EXPECT_EQ(next.run(), (std::vector<std::int64_t>{200}));
  EXPECT_EQ(next.state().completed_changes.size(), 1u);
}

TEST(MasterEdits, AKnownIdWithAnotherContentIsRefusedAndChangesNothing) {
  Leader leader;
  leader.take(zone_order("one", "z1"));
  leader.take(zone_order("one", "z2"));  // while the first is pending
  EXPECT_EQ(leader.run(), (std::vector<std::int64_t>{409, 201}));
  leader.take(zone_order("one", "z2"));  // after its response
  EXPECT_EQ(leader.run(), (std::vector<std::int64_t>{409}));
  ASSERT_EQ(leader.state().resources.size(), 1u);
  EXPECT_EQ(leader.state().resources[0].name, "z1");
  EXPECT_EQ(leader.counts().conflicting_ids, 2);
  EXPECT_EQ(leader.journal().counts().at("doubled_id"), 1);
  Leader next(leader.state().completed_changes);  // known from the register alone
  next.take(zone_order("one", "z2"));
  EXPECT_EQ(next.run(), (std::vector<std::int64_t>{409}));
  EXPECT_TRUE(next.state().resources.empty());
  EXPECT_EQ(next.counts().conflicting_ids, 1);
}

}  // namespace
}  // namespace emberdale
