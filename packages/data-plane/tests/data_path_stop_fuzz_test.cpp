// A daemon that stops while calls are at every stage: each call gets its answer, no call runs
// afterwards, and a call that may have run is never told otherwise (docs/data-path-fuzzing.md).
#define _TURN_OFF_PLATFORM_STRING
#include <gtest/gtest.h>
#include <pplx/threadpool.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "support/call_ledger.hpp"
#include "support/faulty_runner.hpp"
#include "support/fuzz_caller.hpp"
#include "support/fuzz_cases.hpp"
#include "support/relay_under_test.hpp"

using namespace emberdale_test;

namespace {

[[maybe_unused]] const bool has_threads = (crossplat::threadpool::initialize_with_threads(4), true);

constexpr int default_cases = 200;
[[maybe_unused]] const bool is_rapidcheck_set_up = set_up_rapidcheck(default_cases);

constexpr int stop_limit_ms = 9000;  // below the 10 s after which stop() gives up on calls that never end

constexpr int in_hand_limit_ms = 5000;

struct StopCase {
  std::vector<CallPlan> plans;
  int calls_before_stop_ms = 0;
  int patience_ms = 0;
};

StopCase any_stop_case() {
  StopCase chosen;
  auto count = *rc::gen::inRange<std::size_t>(1, 8);
  chosen.plans = *rc::gen::container<std::vector<CallPlan>>(count, any_plan());
  chosen.calls_before_stop_ms = *rc::gen::element(0, 1, 5, 20);
  chosen.patience_ms = *rc::gen::element(0, 1, 10, 400);
  return chosen;
}

// A late refusal counts as in hand until it is written.
bool is_empty_soon(const emberdale::RoutedRelay& relay) {
  for (int waited_ms = 0; relay.open_calls() > 0 && waited_ms < in_hand_limit_ms; ++waited_ms)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  return relay.open_calls() == 0;
}

std::vector<std::string> run_stop_case(const StopCase& chosen) {
  CallLedger ledger;
  std::vector<std::string> faults;
  {
    FaultyRunner runner(ledger);
    RelayUnderTest relay(runner.port());
    std::vector<std::unique_ptr<FuzzCaller>> callers;
    for (const CallPlan& plan : chosen.plans) {
      callers.push_back(std::make_unique<FuzzCaller>(relay.port(), ledger));
      callers.back()->send(plan);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(chosen.calls_before_stop_ms));
    auto begun = std::chrono::steady_clock::now();
    std::thread stopping([&] { relay.relay().stop(emberdale::Duration{chosen.patience_ms}); });
    for (auto& caller : callers)
      caller->collect();
    stopping.join();
    if (std::chrono::steady_clock::now() - begun > std::chrono::milliseconds(stop_limit_ms))
      faults.push_back("the daemon did not stop in time");
    if (!is_empty_soon(relay.relay()))
      faults.push_back("calls are in hand after the end");
    for (auto& caller : callers)
      faults.insert(faults.end(), caller->faults().begin(), caller->faults().end());
  }
  auto of_runners = ledger.faults();
  faults.insert(faults.end(), of_runners.begin(), of_runners.end());
  return faults;
}

}  // namespace

TEST(DataPathStopFuzz, WhatReachedARunnerIsAnsweredAndNothingRunsAfterwards) {
  bool is_sound = rc::check("a daemon that stops answers what it took", [] {
    StopCase chosen = any_stop_case();
    RC_LOG() << "stop after " << chosen.calls_before_stop_ms << " ms, patience " << chosen.patience_ms << " ms\n";
    for (const CallPlan& plan : chosen.plans)
      RC_LOG() << plan.text() << "\n";
    auto faults = run_stop_case(chosen);
    std::cout << joined(faults);
    RC_LOG(joined(faults));
    RC_ASSERT(faults.empty());
  });
  EXPECT_TRUE(is_sound);
}
