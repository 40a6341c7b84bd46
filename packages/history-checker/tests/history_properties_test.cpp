// Random histories of a correct register are accepted; changed ones are judged as a brute-force checker judges them.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <numeric>
#include <set>

#include "emberdale/linearizability.hpp"
#include "history_minimizer.hpp"

namespace emberdale::history {
namespace {

// A call as it is to be made, with the moment at which it reaches the register, if it does.
struct PlannedCall {
  Operation operation;
  std::optional<std::int64_t> effect_at;
  bool is_answer_lost = false;
  bool is_left_open = false;  // answered that the outcome is unknown
};

// The register itself, written without the checker's own rules: it applies calls one at a time.
class ReferenceRegister {
 public:
  void apply(Operation& call) {
    if (call.object_kind == ObjectKind::configuration)
      apply_configuration(call);
    else if (call.object_kind == ObjectKind::zone_order)
      apply_order(call);
    else
      apply_resource(call);
  }

 private:
  void apply_configuration(Operation& call) {
    if (call.is_read())
      return show(call);
    if (taken_.count(call.change) == 0) {
      if (*call.base != revision_) {
        call.outcome = CallOutcome::stale;
        return;
      }
      taken_.insert(call.change);
      revision_ = *call.revision;
      value_ = *call.value;
    }
    call.outcome = CallOutcome::acknowledged;
  }
  void apply_order(Operation& call) {
    if (call.is_read())
      call.value = value_;
    else
      value_ = *call.value;
    call.outcome = CallOutcome::acknowledged;
  }
  void apply_resource(Operation& call) {
    if (call.is_read())
      return show(call);
    if (call.base && *call.base != (exists_ ? revision_ : 0)) {
      call.outcome = CallOutcome::stale;
      return;
    }
    if (call.kind == OperationKind::remove && !exists_) {
      call.outcome = CallOutcome::refused;
      return;
    }
    call.outcome = CallOutcome::acknowledged;
    exists_ = call.kind == OperationKind::change;
    if (!exists_)
      return;
    call.revision = ++revision_;
    value_ = *call.value;
  }
  void show(Operation& call) {
    bool is_there = call.object_kind == ObjectKind::configuration ? revision_ > 0 : exists_;
    call.revision = is_there ? revision_ : 0;
    call.value = is_there ? value_ : "";
    call.outcome = CallOutcome::acknowledged;
  }

  bool exists_ = false;
  std::int64_t revision_ = 0;
  std::string value_;
  std::set<std::string> taken_;
};

class HistoryGenerator {
 public:
  HistoryGenerator(std::uint64_t seed, ObjectKind kind) : random_(seed), kind_(kind) {}

  std::vector<Operation> make(int count) {
    std::vector<PlannedCall> calls;
    for (int i = 0; i < count; ++i)
      calls.push_back(plan(i, count));
    std::vector<std::size_t> by_effect;
    for (std::size_t i = 0; i < calls.size(); ++i)
      if (calls[i].effect_at)
        by_effect.push_back(i);
    std::stable_sort(by_effect.begin(), by_effect.end(),
                     [&](auto a, auto b) { return *calls[a].effect_at < *calls[b].effect_at; });
    ReferenceRegister reference;
    for (std::size_t i : by_effect)
      apply(reference, calls[i]);
    std::vector<Operation> operations;
    for (auto& call : calls)
      operations.push_back(std::move(call.operation));
    return operations;
  }

  // One change that a correct register would mostly not have brought about.
  void mutate(std::vector<Operation>& operations) {
    Operation& chosen = operations[static_cast<std::size_t>(below(static_cast<std::int64_t>(operations.size())))];
    switch (below(5)) {
      case 0:
        if (chosen.is_read() && chosen.revision)
          *chosen.revision += below(2) == 0 ? 1 : -1;
        else
          chosen.value = "never written";
        break;
      case 1:
        if (chosen.returned_at)
          chosen.outcome = CallOutcome::acknowledged;
        break;
      case 2:
        if (chosen.returned_at)
          chosen.outcome = CallOutcome::refused;
        break;
      case 3:  // much earlier
        chosen.invoked_at -= 200;
        if (chosen.returned_at)
          *chosen.returned_at -= 200;
        break;
      default:  // much later
        chosen.invoked_at += 200;
        if (chosen.returned_at)
          *chosen.returned_at += 200;
        if (chosen.gave_up_at)
          *chosen.gave_up_at += 200;
    }
  }

 private:
  std::int64_t below(std::int64_t bound) { return random_.below(bound); }

  PlannedCall plan(int number, int count) {
    PlannedCall call;
    Operation& operation = call.operation;
    operation.call = std::to_string(number);
    operation.caller = "caller-" + std::to_string(number);
    operation.object_kind = kind_;
    operation.object = "object";
    operation.invoked_at = below(static_cast<std::int64_t>(20) * count);
    std::int64_t end = operation.invoked_at + 1 + below(60);
    operation.kind = below(3) == 0 ? OperationKind::read : OperationKind::change;
    if (kind_ == ObjectKind::resource && below(6) == 0)
      operation.kind = OperationKind::remove;
    if (!operation.is_read())
      fill_change(operation, count);
    call.is_answer_lost = below(5) == 0;
    if (call.is_answer_lost) {
      operation.gave_up_at = end;
      bool is_late = below(2) == 0;
      if (below(3) != 0)
        call.effect_at = operation.invoked_at + below(end - operation.invoked_at + (is_late ? 100 : 1));
      return call;
    }
    operation.returned_at = end;
    if (below(8) == 0)
      operation.outcome = CallOutcome::refused;  // never reached the register
    else
      call.effect_at = operation.invoked_at + below(end - operation.invoked_at + 1);
    call.is_left_open = !operation.is_read() && operation.outcome != CallOutcome::refused && below(8) == 0;
    if (call.is_left_open && below(2) == 0)
      call.effect_at.reset();
    return call;
  }

  void fill_change(Operation& operation, int count) {
    if (kind_ == ObjectKind::zone_order) {
      operation.value = below(2) == 0 ? "begin" : "finish";
      return;
    }
    if (kind_ == ObjectKind::resource) {
      operation.value = "text-" + operation.call;
      if (below(2) == 0)
        operation.base = below(3);
      return;
    }
    operation.base = below(std::max(2, count / 4));
    operation.revision = *operation.base + 1;
    operation.value = "text-" + std::to_string(below(2));  // now and then the same change is sent twice
    operation.change = std::to_string(*operation.base) + *operation.value;
  }

  void apply(ReferenceRegister& reference, PlannedCall& call) {
    Operation& operation = call.operation;
    if (call.is_left_open) {
      Operation unseen = operation;
      reference.apply(unseen);
      return;
    }
    if (!call.is_answer_lost) {
      reference.apply(operation);
      if (kind_ == ObjectKind::zone_order && !operation.is_read())
        acknowledged_orders_.push_back(operation.invoked_at);
      return;
    }
    bool is_overtaken = std::any_of(acknowledged_orders_.begin(), acknowledged_orders_.end(),
                                    [&](std::int64_t invoked_at) { return invoked_at > *operation.gave_up_at; });
    if (kind_ == ObjectKind::zone_order && is_overtaken)
      return;
    Operation unseen = operation;
    reference.apply(unseen);
  }

  RandomGenerator random_;
  ObjectKind kind_;
  std::vector<std::int64_t> acknowledged_orders_;  // when they were invoked
};

bool is_order_possible(const std::vector<const Operation*>& order) {
  for (std::size_t later = 0; later < order.size(); ++later)
    for (std::size_t earlier = 0; earlier < later; ++earlier)
      if (precedes(*order[later], *order[earlier]))
        return false;
  std::optional<RegisterState> state = RegisterState{};
  std::set<std::string> applied;
  for (const Operation* operation : order) {
    bool is_write = !operation->is_read() && operation->outcome != CallOutcome::stale;
    state = step(*state, *operation, is_write && applied.count(operation->change) != 0);
    if (!state)
      return false;
    if (is_write && !operation->change.empty())
      applied.insert(operation->change);
  }
  return true;
}

// Every order of every choice of the calls that may have had no effect.
bool is_linearizable_by_brute_force(const std::vector<Operation>& operations) {
  std::vector<const Operation*> closed, open;
  for (const auto& operation : operations)
    if (is_relevant(operation))
      (operation.is_open() ? open : closed).push_back(&operation);
  for (std::size_t chosen = 0; chosen < (std::size_t{1} << open.size()); ++chosen) {
    std::vector<const Operation*> order = closed;
    for (std::size_t i = 0; i < open.size(); ++i)
      if ((chosen >> i) & 1)
        order.push_back(open[i]);
    std::sort(order.begin(), order.end());
    do {
      if (is_order_possible(order))
        return true;
    } while (std::next_permutation(order.begin(), order.end()));
  }
  return false;
}

std::string show(const std::vector<Operation>& operations) {
  std::string text;
  for (const auto& operation : operations)
    text += describe(operation) + "\n";
  return text;
}

constexpr ObjectKind all_kinds[] = {ObjectKind::configuration, ObjectKind::zone_order, ObjectKind::resource};

ObjectKind any_kind() { return all_kinds[*rc::gen::inRange(0, 3)]; }

TEST(HistoryProperties, HistoriesOfACorrectRegisterAreAccepted) {
  std::size_t calls = 0;
  auto began = std::chrono::steady_clock::now();
  EXPECT_TRUE(rc::check([&] {
    HistoryGenerator generator(*rc::gen::arbitrary<std::uint64_t>(), any_kind());
    auto operations = generator.make(*rc::gen::inRange(1, 120));
    calls += operations.size();
    auto verdict = check_history(operations);
    RC_LOG() << report(verdict);
    RC_ASSERT(verdict.verdict == Verdict::linearizable);
  }));
  auto took = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began);
  std::printf("%zu calls in %ld ms\n", calls, static_cast<long>(took.count()));
}

TEST(HistoryProperties, SmallHistoriesAreJudgedAsByBruteForce) {
  int mutated = 0, rejected = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed)
    for (ObjectKind kind : all_kinds) {
      HistoryGenerator generator(seed, kind);
      auto operations = generator.make(2 + static_cast<int>(seed % 6));
      ASSERT_EQ(check_history(operations).verdict, Verdict::linearizable) << show(operations);
      generator.mutate(operations);
      auto verdict = check_history(operations);
      bool is_accepted = verdict.verdict == Verdict::linearizable;
      ASSERT_EQ(is_accepted, is_linearizable_by_brute_force(operations)) << seed << "\n" << show(operations);
      ++mutated;
      rejected += !is_accepted;
    }
  std::printf("%d of %d small mutated histories are rejected\n", rejected, mutated);
  EXPECT_GT(rejected * 6, mutated);
}

TEST(HistoryProperties, MutatedLongHistoriesAreMostlyRejected) {
  int mutated = 0, rejected = 0, undecided = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed)
    for (ObjectKind kind : all_kinds) {
      HistoryGenerator generator(seed, kind);
      auto operations = generator.make(60);
      for (int i = 0; i < 6; ++i)
        generator.mutate(operations);
      Verdict verdict = check_history(operations, 20000).verdict;
      ++mutated;
      rejected += verdict == Verdict::not_linearizable;
      undecided += verdict == Verdict::undecided;
    }
  std::printf("%d of %d long mutated histories are rejected, %d undecided\n", rejected, mutated, undecided);
  EXPECT_GT(rejected * 2, mutated);
}

TEST(HistoryProperties, WhatIsLeftOfAMinimizedHistoryFailsAndNothingCanBeLeftOut) {
  EXPECT_TRUE(rc::check([&] {
    HistoryGenerator generator(*rc::gen::arbitrary<std::uint64_t>(), any_kind());
    auto operations = generator.make(*rc::gen::inRange(2, 40));
    generator.mutate(operations);
    auto verdict = check_history(operations, 20000);
    if (verdict.verdict != Verdict::not_linearizable)
      return;
    RC_ASSERT(search(verdict.smallest, verdict.initial).verdict == Verdict::not_linearizable);
    for (std::size_t left_out = 0; left_out < verdict.smallest.size(); ++left_out) {
      if (!verdict.smallest[left_out].is_read())
        continue;
      auto rest = verdict.smallest;
      rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(left_out));
      RC_ASSERT(search(rest, verdict.initial).verdict == Verdict::linearizable);
    }
  }));
}

TEST(HistoryProperties, NoStepOfTheMinimizerBreaksALinearizableHistory) {
  std::size_t steps = 0;
  for (std::uint64_t seed = 1; seed <= 1500; ++seed)
    for (ObjectKind kind : all_kinds) {
      HistoryGenerator generator(seed, kind);
      SmallHistory history{generator.make(2 + static_cast<int>(seed % 11)), RegisterState{}};
      // Step after step, at random: what has been reduced is reduced again.
      for (std::uint64_t depth = 0; depth < 8; ++depth) {
        std::vector<SmallHistory> smaller;
        any_reduction(history, [&](const SmallHistory& reduced) {
          smaller.push_back(reduced);
          return false;
        });
        for (const auto& reduced : smaller)
          ASSERT_EQ(search(reduced.operations, reduced.initial).verdict, Verdict::linearizable)
              << "of\n"
              << show(history.operations) << "remains\n"
              << show(reduced.operations);
        steps += smaller.size();
        if (smaller.empty())
          break;
        history = smaller[(seed + depth * 7) % smaller.size()];
      }
    }
  std::printf("%zu steps\n", steps);
  EXPECT_GT(steps, 10000u);
}

}  // namespace
}  // namespace emberdale::history
