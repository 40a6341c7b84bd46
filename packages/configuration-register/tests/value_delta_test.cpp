// What travels for a change: the change, where the receiver holds the base; the whole value only where it does not.
#include "emberdale/value_delta.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "emberdale/content_digest.hpp"
#include "emberdale/spoiled_text.hpp"
#include "register_bench.hpp"

using namespace emberdale;

namespace {

constexpr TimePoint now{1000};
constexpr int route_count = 1400;

std::string route(int number, std::int64_t horizon_ms = 8000) {
  std::string n = std::to_string(number);
  return R"({"name":"r-)" + n + R"(","host":"host)" + std::to_string(number % 50) + R"(.example","path_prefix":"/p)" +
         n + R"(/","kind":"streaming","horizon_ms":)" + std::to_string(horizon_ms) +
         R"(,"target_ms":1000,"rank":1,"max_sends":1,"sticky":true,"pool":"pool)" + std::to_string(number % 40) +
         R"("})";
}

// The text of a routing table, as long as a real one of that many routes.
std::string table_text(std::int64_t revision, int changed_route = -1) {
  std::string text = R"({"document":{"revision":)" + std::to_string(revision) + R"(,"routes":[)";
  for (int i = 0; i < route_count; ++i)
    text += (i == 0 ? "" : ",") + route(i, i == changed_route ? 9000 + revision : 8000);
  text += R"(]},"taken":[)";
  for (std::int64_t i = std::max<std::int64_t>(1, revision - 127); i <= revision; ++i)
    text += (text.back() == '[' ? "" : ",") + std::string(R"({"digest":")") + content_digest(std::to_string(i)) +
            R"(","revision":)" + std::to_string(i) + "}";
  return text + "]}";
}

FleetState state_of(std::int64_t revision, int changed_route = -1) {
  FleetState state;
  state.fleet_name = "fleet";
  state.version = 1;
  for (const char* name : {"1", "2", "3"})
    state.acceptors.push_back({StoreId{std::string("s") + name}, Address{std::string("core-") + name}});
  state.resources = {{"traffic", "current", revision, revision, table_text(revision, changed_route)}};
  return state;
}

// Three copies and a proposer, everything delivered at once; bytes on the wire are counted.
class Cluster {
 public:
  Cluster() {
    for (const auto& entry : state_of(1).acceptors)
      copies_.emplace(entry.address, RegisterAcceptor(entry.store));
    found(state_of(1));
    proposer.learn_acceptors(state_of(1).acceptors);
    proposer.poll(now, DaemonRole::core, false);
    run();
    EXPECT_TRUE(proposer.has_state());
    bytes = 0;
  }
  void found(const FleetState& state) {
    for (auto& [address, copy] : copies_)
      tell(address, Message{BootstrapRequest{1, copy.store(), {encode_state(state)}}});
  }
  void change_to(std::int64_t revision, int changed_route) {
    bool is_done = false;
    proposer.change(
        [&](const FleetState& state) {
          FleetState next = state;
          next.resources[0] = {"traffic", "current", revision, revision, table_text(revision, changed_route)};
          return ChangeDecision{ChangeDecision::Kind::apply, next, ""};
        },
        [&](const ChangeResult& end) { is_done = end.kind == ChangeResult::Kind::committed; }, now, Duration{4000});
    run();
    EXPECT_TRUE(is_done);
  }
  void run() { run(proposer, Address{"leader"}); }
  void run(RegisterProposer& asker, const Address& self) {
    for (auto messages = asker.drain_outbound(); !messages.empty(); messages = asker.drain_outbound())
      for (auto& outbound : messages) {
        if (down.count(outbound.to) != 0)
          continue;
        bytes += encode_message(outbound.message).size();
        for (auto& answer : tell(outbound.to, outbound.message, self)) {
          bytes += encode_message(answer.message).size();
          asker.on_message(outbound.to, answer.message, now);
        }
      }
  }
  std::vector<OutboundMessage> tell(const Address& to, const Message& message,
                                    const Address& from = Address{"leader"}) {
    RegisterAcceptor& copy = copies_.at(to);
    copy.on_message(from, message, now);
    for (auto& write : copy.drain_writes())
      copy.synced(write.token);
    return copy.drain_outbound();
  }
  RegisterAcceptor& copy(const std::string& address) { return copies_.at(Address{address}); }
  void expect_all_hold(std::int64_t revision) {
    for (auto& [address, copy] : copies_) {
      EXPECT_EQ(copy.state().resources.at(0).version, revision) << address;
      EXPECT_EQ(copy.snapshot(), copies_.begin()->second.snapshot()) << address;
    }
  }
  RegisterProposer proposer{Address{"leader"}, RandomGenerator(1)};
  std::set<Address> down;
  std::size_t bytes = 0;

 private:
  std::map<Address, RegisterAcceptor> copies_;
};

}  // namespace

TEST(ValueDelta, GivesTheTargetFromAnyBase) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed, const std::string& base, const std::string& target) {
    RC_ASSERT(apply_delta(base, make_delta(base, target)) == target);
    RandomGenerator random(seed);
    std::string rows;
    for (std::int64_t i = random.below(60); i > 0; --i)
      rows += route(static_cast<int>(random.below(8)));
    std::string changed = spoiled(rows, seed);
    RC_ASSERT(apply_delta(rows, make_delta(rows, changed)) == changed);
  }));
}

TEST(ValueDelta, ASpoiledDeltaNeverBringsItDown) {
  const std::string base = table_text(1), delta = make_delta(base, table_text(2, 700));
  EXPECT_TRUE(rc::check([&](std::uint64_t seed) {
    auto result = apply_delta(base, spoiled(delta, seed));
    RC_ASSERT(!result || result->size() <= (std::size_t{64} << 20));
  }));
  EXPECT_FALSE(apply_delta("", make_delta("abcabc", "abcabc")));
}

TEST(ValueDelta, AChangeOfOneRouteTravelsAsAChange) {
  Cluster cluster;
  const std::size_t whole = encode_state(state_of(1)).size();
  cluster.change_to(2, 700);
  cluster.expect_all_hold(2);
  EXPECT_EQ(cluster.proposer.counts().deltas, 3);
  EXPECT_LT(cluster.bytes * 50, whole * 3);  // two rounds with three copies, against three whole values
  std::size_t bytes = cluster.bytes;
  for (std::int64_t revision = 3; revision <= 150; ++revision)
    cluster.change_to(revision, static_cast<int>(revision * 7));
  cluster.expect_all_hold(150);
  RecordProperty("whole_value_bytes", static_cast<int>(whole));
  std::cout << "whole value " << whole << " bytes; first change " << bytes << " bytes on the wire; mean of 149 changes "
            << cluster.bytes / 149 << " bytes; values alone " << cluster.proposer.counts().value_bytes / 149 << "\n";
  EXPECT_EQ(cluster.proposer.counts().whole_values, 0);
}

TEST(ValueDelta, ACopyThatLacksTheBaseAsksForTheWholeValue) {
  Cluster cluster;
  cluster.down = {Address{"core-3"}};
  cluster.change_to(2, 700);
  cluster.down.clear();
  cluster.change_to(3, 701);
  cluster.expect_all_hold(3);
  EXPECT_EQ(cluster.proposer.counts().whole_values, 1);
  EXPECT_EQ(cluster.proposer.refusals().total(), 0);
}

TEST(ValueDelta, AnAcceptWhoseDigestDiffersChangesNothing) {
  Cluster cluster;
  RegisterAcceptor& copy = cluster.copy("core-1");
  const Ballot base = copy.accepted();
  const std::string held = encode_state(state_of(1)), next = encode_state(state_of(2, 700));
  const std::string before = copy.snapshot();
  Accept accept{
      5, copy.store(), Ballot{9, Address{"leader"}}, {make_delta(held, next)}, base, {content_digest_bytes(next)}};
  for (const auto& spoil : std::vector<std::function<void(Accept&)>>{
           [](Accept& a) { a.digest.data[3] ^= 1; }, [](Accept& a) { a.value.data.resize(a.value.data.size() / 2); },
           [](Accept& a) { a.digest.data.clear(); }, [](Accept& a) { a.base.number += 1; },
           [](Accept& a) {
             a.value.data.clear();
           }}) {
    Accept bad = accept;
    spoil(bad);
    auto out = cluster.tell(Address{"core-1"}, bad);
    ASSERT_EQ(out.size(), 1u);
    EXPECT_FALSE(std::get<Accepted>(out[0].message).granted);
    EXPECT_TRUE(std::get<Accepted>(out[0].message).needs_full_value);
    EXPECT_EQ(copy.snapshot(), before);
  }
  EXPECT_TRUE(std::get<Accepted>(cluster.tell(Address{"core-1"}, accept).at(0).message).granted);
  EXPECT_EQ(copy.state().resources[0].version, 2);
}

TEST(ValueDelta, AReaderThatHoldsTheValueBeforeGetsTheChangeAlone) {
  Cluster cluster;
  RegisterProposer reader{Address{"reader"}, RandomGenerator(2)};
  reader.learn_acceptors(state_of(1).acceptors);
  auto poll = [&] {
    cluster.bytes = 0;
    reader.poll(now, DaemonRole::edge, false);
    cluster.run(reader, Address{"reader"});
    return cluster.bytes;
  };
  std::size_t first = poll();
  EXPECT_EQ(reader.state().resources.at(0).version, 1);
  cluster.change_to(2, 700);
  std::size_t next = poll();
  EXPECT_EQ(reader.state().resources.at(0).version, 2);
  EXPECT_LT(next * 50, first);
  std::cout << "first read " << first << " bytes; read after a change " << next << " bytes\n";
  cluster.change_to(3, 701);
  cluster.change_to(4, 702);  // two behind: the whole value again
  poll();
  EXPECT_EQ(reader.state().resources.at(0).version, 4);
  EXPECT_EQ(encode_state(reader.state()), encode_state(cluster.proposer.state()));
}

TEST(ValueDelta, AnyLossAndOrderOfMessagesKeepsEveryChange) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed) {
    RegisterBench bench(seed, std::size_t{1} << 20, table_text(1));
    RandomGenerator random(seed + 1);
    for (const char* name : {"one", "other"})
      bench.add_proposer(name);
    for (int i = 0; i < 5; ++i) {
      bench.add_mark("one");
      bench.add_mark("other");
      for (int j = 0; j < 90; ++j)
        bench.step(0.1, 0.1);
      if (random.chance(0.4)) {
        Address address = RegisterBench::place(static_cast<int>(random.below(3)));
        bench.stop(address, true);
        for (int j = 0; j < 40; ++j)
          bench.step(0.1, 0.1);
        bench.start(address);
      }
    }
    bench.check();
    RC_ASSERT(!testing::Test::HasFailure());
    RC_ASSERT(bench.proposer("one").counts().deltas + bench.proposer("other").counts().deltas > 0);
  }));
}
