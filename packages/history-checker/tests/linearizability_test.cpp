// Planted faults that must be seen, and correct histories that must not.
#include "emberdale/linearizability.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace emberdale::history {
namespace {

constexpr const char* configuration = "configuration";
constexpr const char* zone = "zone-order/b";

// Histories of one object, call by call.
class HistoryBuilder {
 public:
  explicit HistoryBuilder(ObjectKind kind) : kind_(kind) {}

  Operation& add(OperationKind kind, std::int64_t invoked_at, std::int64_t returned_at, CallOutcome outcome) {
    Operation operation;
    operation.call = "call-" + std::to_string(operations.size() + 1);
    operation.caller = "operator-" + std::to_string(operations.size() + 1);
    operation.daemon = "a0";
    operation.object_kind = kind_;
    operation.object = kind_ == ObjectKind::zone_order ? zone : configuration;
    operation.kind = kind;
    operation.invoked_at = invoked_at;
    operation.returned_at = returned_at;
    operation.outcome = outcome;
    operations.push_back(operation);
    return operations.back();
  }
  Operation& change(std::int64_t invoked_at, std::int64_t returned_at, CallOutcome outcome, std::int64_t base,
                    std::int64_t revision, const std::string& text) {
    Operation& made = add(OperationKind::change, invoked_at, returned_at, outcome);
    made.base = base;
    made.revision = revision;
    made.value = text;
    made.change = std::to_string(base) + text;
    return made;
  }
  Operation& read(std::int64_t invoked_at, std::int64_t returned_at, std::int64_t revision, const std::string& text) {
    Operation& made = add(OperationKind::read, invoked_at, returned_at, CallOutcome::acknowledged);
    made.revision = revision;
    made.value = text;
    return made;
  }
  Operation& order(std::int64_t invoked_at, std::int64_t returned_at, CallOutcome outcome, const std::string& value) {
    Operation& made = add(OperationKind::change, invoked_at, returned_at, outcome);
    made.value = value;
    return made;
  }
  static void lose_answer(Operation& operation, std::optional<std::int64_t> gave_up_at) {
    operation.outcome = CallOutcome::unknown;
    operation.returned_at.reset();
    operation.gave_up_at = gave_up_at;
  }
  HistoryVerdict check() const { return check_history(operations); }

  std::vector<Operation> operations;

 private:
  ObjectKind kind_;
};

HistoryBuilder configuration_history() { return HistoryBuilder(ObjectKind::configuration); }
HistoryBuilder zone_history() { return HistoryBuilder(ObjectKind::zone_order); }
HistoryBuilder resource_history() { return HistoryBuilder(ObjectKind::resource); }

TEST(Linearizability, AStaleReadIsRejected) {
  auto history = configuration_history();
  history.change(0, 10, CallOutcome::acknowledged, 0, 1, "one");
  history.change(11, 20, CallOutcome::acknowledged, 1, 2, "two");
  history.read(12, 30, 2, "two");
  history.change(21, 30, CallOutcome::acknowledged, 2, 3, "three");
  history.read(31, 40, 2, "two");
  history.change(41, 50, CallOutcome::acknowledged, 3, 4, "four");
  auto verdict = history.check();
  ASSERT_EQ(verdict.verdict, Verdict::not_linearizable);
  // The change that the read has missed, and the read.
  ASSERT_EQ(verdict.smallest.size(), 2u) << report(verdict);
  EXPECT_EQ(verdict.initial.revision, 2);
  EXPECT_EQ(verdict.smallest[0].revision, 3);
  EXPECT_EQ(verdict.smallest[1].revision, 2);
  EXPECT_NE(report(verdict).find("shown revision 2"), std::string::npos);
}

TEST(Linearizability, AReadThatOverlapsTheChangeMayShowEither) {
  for (std::int64_t revision : {1, 2}) {
    auto history = configuration_history();
    history.change(0, 10, CallOutcome::acknowledged, 0, 1, "1");
    history.change(11, 20, CallOutcome::acknowledged, 1, 2, "2");
    history.read(15, 30, revision, std::to_string(revision));
    EXPECT_EQ(history.check().verdict, Verdict::linearizable);
  }
}

TEST(Linearizability, TwoReadsInTurnMustNotGoBack) {
  auto history = configuration_history();
  history.change(0, 100, CallOutcome::acknowledged, 0, 1, "one");
  history.read(10, 20, 1, "one");
  history.read(21, 30, 0, "");
  EXPECT_EQ(history.check().verdict, Verdict::not_linearizable);
}

TEST(Linearizability, TwoWinnersOnOneBaseAreRejected) {
  auto history = configuration_history();
  history.change(0, 10, CallOutcome::acknowledged, 0, 1, "first");
  history.change(20, 30, CallOutcome::acknowledged, 1, 2, "one");
  history.change(20, 30, CallOutcome::acknowledged, 1, 3, "other");
  auto verdict = history.check();
  ASSERT_EQ(verdict.verdict, Verdict::not_linearizable);
  EXPECT_EQ(verdict.smallest.size(), 2u) << report(verdict);
}

TEST(Linearizability, ALostAcknowledgedChangeIsRejected) {
  auto history = configuration_history();
  history.change(0, 10, CallOutcome::acknowledged, 0, 1, "one");
  history.read(20, 30, 0, "");
  EXPECT_EQ(history.check().verdict, Verdict::not_linearizable);
  auto rebuilt = configuration_history();
  rebuilt.change(0, 10, CallOutcome::acknowledged, 0, 1, "one");
  rebuilt.change(20, 30, CallOutcome::acknowledged, 0, 2, "two");
  EXPECT_EQ(rebuilt.check().verdict, Verdict::not_linearizable);
}

TEST(Linearizability, AChangeAppliedTwiceIsRejected) {
  auto history = configuration_history();
  history.change(0, 10, CallOutcome::acknowledged, 0, 1, "one");
  history.change(11, 20, CallOutcome::acknowledged, 1, 2, "two");
  history.read(21, 30, 2, "two");
  history.read(31, 40, 1, "one");
  EXPECT_EQ(history.check().verdict, Verdict::not_linearizable);
  // Where the register counts, the second application takes a version of its own.
  auto counted = resource_history();
  for (std::int64_t at : {0, 20}) {
    auto& put = counted.change(at, at + 10, CallOutcome::acknowledged, 0, at == 0 ? 1 : 3, "x" + std::to_string(at));
    put.base.reset();
  }
  EXPECT_EQ(counted.check().verdict, Verdict::not_linearizable);
}

TEST(Linearizability, AChangeOfUnknownOutcomeMayTakeEffectLateOrNever) {
  auto late = configuration_history();
  HistoryBuilder::lose_answer(late.change(0, 0, CallOutcome::unknown, 0, 1, "one"), 10);
  late.read(20, 30, 0, "");
  late.read(40, 50, 1, "one");
  EXPECT_EQ(late.check().verdict, Verdict::linearizable);
  auto lost = configuration_history();
  lost.change(0, 10, CallOutcome::unknown, 0, 1, "one");
  lost.change(20, 30, CallOutcome::acknowledged, 0, 2, "two");
  lost.read(40, 50, 2, "two");
  EXPECT_EQ(lost.check().verdict, Verdict::linearizable);
  lost.read(60, 70, 1, "one");
  EXPECT_EQ(lost.check().verdict, Verdict::not_linearizable);
}

TEST(Linearizability, AChangeSentAgainToAnotherDaemonIsAcknowledgedAndAppliedOnce) {
  auto history = configuration_history();
  HistoryBuilder::lose_answer(history.change(0, 0, CallOutcome::unknown, 0, 1, "one"), 10);
  history.change(12, 20, CallOutcome::acknowledged, 0, 1, "one").daemon = "b0";
  history.change(21, 30, CallOutcome::acknowledged, 0, 1, "one").daemon = "c0";
  history.read(31, 40, 1, "one");
  EXPECT_EQ(history.check().verdict, Verdict::linearizable);
  // While it is the current one, it must not be refused.
  history.change(41, 50, CallOutcome::stale, 0, 1, "one");
  EXPECT_EQ(history.check().verdict, Verdict::not_linearizable);
}

TEST(Linearizability, ARefusalForAnotherRevisionNeedsOne) {
  auto history = configuration_history();
  history.change(0, 10, CallOutcome::acknowledged, 0, 1, "one");
  history.change(5, 20, CallOutcome::stale, 0, 2, "two");
  EXPECT_EQ(history.check().verdict, Verdict::linearizable);
  history.change(30, 40, CallOutcome::stale, 1, 3, "three");
  EXPECT_EQ(history.check().verdict, Verdict::not_linearizable);
}

TEST(Linearizability, ARefusedChangeMustNeverTakeEffect) {
  auto history = configuration_history();
  history.change(0, 10, CallOutcome::refused, 0, 1, "one");
  history.read(20, 30, 0, "");
  EXPECT_EQ(history.check().verdict, Verdict::linearizable);
  history.read(40, 50, 1, "one");
  EXPECT_EQ(history.check().verdict, Verdict::not_linearizable);
}

TEST(Linearizability, AZoneOrderFromThePastIsRejected) {
  auto history = zone_history();
  history.order(0, 5, CallOutcome::acknowledged, "finish");
  HistoryBuilder::lose_answer(history.order(10, 0, CallOutcome::unknown, "begin"), 20);
  history.order(30, 40, CallOutcome::acknowledged, "finish");
  history.add(OperationKind::read, 50, 60, CallOutcome::acknowledged).value = "finish";
  EXPECT_EQ(history.check().verdict, Verdict::linearizable);
  history.add(OperationKind::read, 70, 80, CallOutcome::acknowledged).value = "begin";
  auto verdict = history.check();
  ASSERT_EQ(verdict.verdict, Verdict::not_linearizable);
  EXPECT_LE(verdict.smallest.size(), 3u) << report(verdict);
  EXPECT_NE(report(verdict).find("given up at 20"), std::string::npos) << report(verdict);
}

TEST(Linearizability, AnOrderWithoutAnswerMayOverrideOnesAskedBeforeItsCallerGaveUp) {
  auto history = zone_history();
  HistoryBuilder::lose_answer(history.order(10, 0, CallOutcome::unknown, "begin"), 35);
  history.order(30, 40, CallOutcome::acknowledged, "finish");
  history.add(OperationKind::read, 50, 60, CallOutcome::acknowledged).value = "finish";
  history.add(OperationKind::read, 70, 80, CallOutcome::acknowledged).value = "begin";
  EXPECT_EQ(history.check().verdict, Verdict::linearizable);
}

TEST(Linearizability, AnAnsweredOrderTakesEffectBeforeItsAnswerOrNever) {
  for (auto outcome : {CallOutcome::unknown, CallOutcome::refused}) {
    auto history = zone_history();
    history.order(0, 5, CallOutcome::acknowledged, "finish");
    history.order(10, 20, outcome, "begin");
    history.add(OperationKind::read, 30, 40, CallOutcome::acknowledged).value = "finish";
    EXPECT_EQ(history.check().verdict, Verdict::linearizable);
    history.add(OperationKind::read, 50, 60, CallOutcome::acknowledged).value = "begin";
    EXPECT_EQ(history.check().verdict, Verdict::not_linearizable);
  }
}

TEST(Linearizability, AResourceThatComesBackHasAHigherVersion) {
  auto history = resource_history();
  auto put = [&](std::int64_t at, std::int64_t version) {
    auto& made = history.change(at, at + 5, CallOutcome::acknowledged, 0, version, "v" + std::to_string(version));
    made.base.reset();
    made.change = "put-" + std::to_string(at);
  };
  put(0, 4);
  put(10, 5);
  history.add(OperationKind::remove, 20, 25, CallOutcome::acknowledged);
  history.read(30, 35, 0, "");
  put(40, 9);
  EXPECT_EQ(history.check().verdict, Verdict::linearizable);
  history.add(OperationKind::remove, 50, 55, CallOutcome::acknowledged);
  put(60, 9);
  EXPECT_EQ(history.check().verdict, Verdict::not_linearizable);
}

TEST(Linearizability, ObjectsAreJudgedByThemselves) {
  auto history = configuration_history();
  history.change(0, 10, CallOutcome::acknowledged, 0, 1, "one");
  auto orders = zone_history();
  orders.order(0, 10, CallOutcome::acknowledged, "begin");
  orders.add(OperationKind::read, 20, 30, CallOutcome::acknowledged).value = "finish";
  history.operations.insert(history.operations.end(), orders.operations.begin(), orders.operations.end());
  auto verdict = history.check();
  EXPECT_EQ(verdict.verdict, Verdict::not_linearizable);
  EXPECT_EQ(verdict.object, zone);
}

TEST(Linearizability, TooManyOrdersAreUndecidedAndNotAccepted) {
  auto history = resource_history();
  for (int i = 0; i < 40; ++i) {
    auto& put = history.change(i, 0, CallOutcome::unknown, 0, 0, "put-" + std::to_string(i));
    HistoryBuilder::lose_answer(put, std::nullopt);
    put.base.reset();
    put.revision.reset();
  }
  history.read(100, 110, 20, "nobody's");
  EXPECT_EQ(check_history(history.operations, 1000).verdict, Verdict::undecided);
}

TEST(HistoryFile, IsReadAsItWasWrittenAndTheLastLineOfACallCounts) {
  auto history = configuration_history();
  history.change(0, 10, CallOutcome::acknowledged, 0, 1, "one");
  HistoryBuilder::lose_answer(history.change(5, 0, CallOutcome::unknown, 1, 2, "two"), 30);
  std::stringstream file;
  Operation begun = history.operations[0];
  HistoryBuilder::lose_answer(begun, std::nullopt);
  file << history_line(begun);
  for (const auto& operation : history.operations)
    file << history_line(operation);
  file << "{\"call\":\"torn";
  auto read = read_history(file);
  ASSERT_TRUE(read) << read.reason;
  ASSERT_EQ(read->size(), 2u);
  for (std::size_t i = 0; i < 2; ++i)
    EXPECT_EQ(history_line(read->at(i)), history_line(history.operations[i]));
  std::stringstream broken("{}\n{}\n");
  EXPECT_EQ(read_history(broken).reason, "line 1 is no call of a history");
}

}  // namespace
}  // namespace emberdale::history
