// Orders at the leader: one that comes again is answered as before, and an id has one order.
#include "emberdale/master_edits.hpp"

#include <gtest/gtest.h>

#include "emberdale/avro_codec.hpp"
#include "emberdale/order_identity.hpp"
#include "emberdale/register_acceptor.hpp"

using namespace emberdale;

namespace {

const Address self{"leader"}, peer{"peer"};
constexpr Moment now{20000};

EditAsk order(const std::string& change, const std::string& zone, const std::string& state = "emptied") {
  EditAsk ask;
  ask.change = change;
  ask.act = "put";
  ask.kind = orders_kind;
  ask.name = zone;
  ask.expected = -1;
  ask.body = R"({"state":")" + state + R"("})";
  return ask;
}

// A leader in its first term and a register of one copy beside it.
class Leader {
 public:
  explicit Leader(std::vector<DoneChange> done = {}) {
    FleetState state;
    state.fleet = "fleet";
    state.version = state.term = 1;
    state.master = self;
    state.acceptors = {{StoreId{"s"}, self}};
    state.roster = {DaemonEntry{self, "", "edge", ZoneName{"z"}, RegionName{"r"}, 1}};
    state.done = std::move(done);
    acceptor_.on_message(self, Found{1, StoreId{"s"}, {encode_state(state)}}, now);
    proposer_.learn_acceptors(state.acceptors);
    proposer_.poll(now, "edge", false);
    run();
    edits_.begin();
  }
  void take(const EditAsk& ask) {
    MasterEdits::Edit edit;
    edit.ask = ask;
    edit.from = peer;
    edits_.take(std::move(edit), now);
  }
  // Until nothing moves any more. Returns the codes of the edits that ended.
  std::vector<Integer> run() {
    for (int i = 0; i < 20; ++i) {
      edits_.run(MapVersion{1, 1}, now);
      for (auto& sending : proposer_.take_out())
        acceptor_.on_message(self, sending.message, now);
      for (auto& wish : acceptor_.take_writes())
        acceptor_.synced(wish.token);
      for (auto& sending : acceptor_.take_out())
        proposer_.on_message(self, sending.message, now);
      edits_.settle(
          MapVersion{1, 1000}, [](const MapVersion&) { return std::size_t{1}; }, now);
    }
    std::vector<Integer> codes;
    for (auto& ended : edits_.take_ended())
      codes.push_back(ended.answer.code);
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
  MasterElection election(DaemonEntry{self, "", "edge", ZoneName{"z"}, RegionName{"r"}, 1}, RandomGenerator(1));
  election.set_roster({DaemonEntry{self, "", "edge", ZoneName{"z"}, RegionName{"r"}, 1}}, 0, Address{}, Moment{0});
  election.start(Moment{0});
  for (Moment at{0}; at < now && !election.take_claim(); at = at + Span{10})
    election.on_timer(at);
  election.claim_ended(true, 1, now);
  EXPECT_TRUE(election.is_master());
  return election;
}

}  // namespace

TEST(OrderIdentity, IsTheContentAndNotTheWay) {
  EditAsk ask = order("id", "z1"), copy = ask;
  copy.ask = 9;
  copy.term = 3;
  copy.change = "another";
  EXPECT_EQ(order_digest(ask), order_digest(copy));
  EXPECT_FALSE(order_digest(ask) == order_digest(order("id", "z2")));
  EditAsk split = ask;
  split.act = "put\n1";  // no boundary between the parts can be moved
  EXPECT_FALSE(order_digest(ask) == order_digest(split));
  copy = ask;
  copy.expected = 4;
  EXPECT_FALSE(order_digest(ask) == order_digest(copy));
}

TEST(OrderIdentity, AnOrderOfAnEarlierVersionIsKnownByItsIdAlone) {
  EditAsk ask = order("id", "z1");
  EXPECT_EQ(recall_order({}, ask).memory, OrderMemory::not_done);
  EXPECT_EQ(recall_order({{"id", 5, 6, {}}}, ask).memory, OrderMemory::done);
  EXPECT_EQ(recall_order({{"id", 5, 6, {}}}, ask).version, 5);
  EXPECT_EQ(recall_order({{"id", 5, 6, order_digest(ask)}}, ask).memory, OrderMemory::done);
  EXPECT_EQ(recall_order({{"id", 5, 6, order_digest(order("id", "z2"))}}, ask).memory, OrderMemory::doubled_id);
}

TEST(MasterEdits, AnOrderSentAgainIsAcknowledgedAndDoneOnce) {
  Leader leader;
  leader.take(order("one", "z1"));
  EXPECT_EQ(leader.run(), (std::vector<Integer>{201}));
  Integer revision = leader.state().config_revision;
  leader.take(order("one", "z1"));
  EXPECT_EQ(leader.run(), (std::vector<Integer>{201}));
  EXPECT_EQ(leader.state().config_revision, revision);
  EXPECT_EQ(leader.state().done.size(), 1u);
  // A leader that has answered nothing yet finds it in the register.
  Leader next(leader.state().done);
  next.take(order("one", "z1"));
  EXPECT_EQ(next.run(), (std::vector<Integer>{200}));
  EXPECT_EQ(next.state().done.size(), 1u);
}

TEST(MasterEdits, AnIdThatComesWithAnotherContentIsRefusedAndChangesNothing) {
  Leader leader;
  leader.take(order("one", "z1"));
  leader.take(order("one", "z2"));  // while the first is in hand
  EXPECT_EQ(leader.run(), (std::vector<Integer>{409, 201}));
  leader.take(order("one", "z2"));  // after it was answered
  EXPECT_EQ(leader.run(), (std::vector<Integer>{409}));
  ASSERT_EQ(leader.state().resources.size(), 1u);
  EXPECT_EQ(leader.state().resources[0].name, "z1");
  EXPECT_EQ(leader.counts().doubled_ids, 2);
  EXPECT_EQ(leader.journal().counts().at("doubled_id"), 1);
  Leader next(leader.state().done);  // known from the register alone
  next.take(order("one", "z2"));
  EXPECT_EQ(next.run(), (std::vector<Integer>{409}));
  EXPECT_TRUE(next.state().resources.empty());
  EXPECT_EQ(next.counts().doubled_ids, 1);
}
