// Each rule of the judge with a planted violation, and beside it what only looks like one.
#include "soak_judge.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

#include "invariant_counts.hpp"
#include "soak_operators.hpp"
#include "soak_schedule.hpp"

namespace emberdale::soak {
namespace {

const std::string daemon_name = "a1-data", control_name = "a1-control", runner_name = "model-1", call_id = "call-1";

// A client left at 2000, its run began at 1500 and ended at `run_end`.
SoakRecords departed_call(std::int64_t run_end) {
  SoakRecords records;
  CallRecord call{call_id, daemon_name, false, true, TimePoint{1400}, TimePoint{2000}, CallOutcome::left};
  RunRecord run{call_id, runner_name, 1, 1, TimePoint{1500}, TimePoint{run_end}, RunEnd::finished};
  records.calls = {call};
  records.runners[runner_name].runs = {run};
  records.read_at = TimePoint{60000};
  return records;
}

// A runner was marked at 1000 until 20000, and a run began there at `begun`.
SoakRecords drained_runner(std::int64_t begun) {
  SoakRecords records;
  CallRecord call{call_id, daemon_name, false, true, TimePoint{begun}, std::nullopt, CallOutcome::served};
  RunRecord run{call_id, runner_name, 1, 1, TimePoint{begun}, TimePoint{begun + 100}, RunEnd::finished};
  records.calls = {call};
  records.runners[runner_name].runs = {run};
  records.drains = {{runner_name, control_name, {TimePoint{1000}, TimePoint{20000}}}};
  records.read_at = TimePoint{60000};
  return records;
}

std::string rules_of(const SoakRecords& records) {
  std::string rules;
  for (const auto& violation : judge(records).violations)
    rules += violation.rule + ";";
  return rules;
}

// A call whose run ended at 1500, and whose connection was closed at 2000 without a response.
SoakRecords lost_answer() {
  SoakRecords records;
  CallRecord call{call_id,         daemon_name, false, true, TimePoint{1000}, std::nullopt, CallOutcome::unreachable,
                  TimePoint{2000}, true};
  RunRecord run{call_id, runner_name, 1, 1, TimePoint{1100}, TimePoint{1500}, RunEnd::finished};
  records.calls = {call};
  records.runners[runner_name].runs = {run};
  records.read_at = TimePoint{60000};
  return records;
}

TEST(SoakJudge, AConnectionThatIsClosedWithoutTheResponseOfAFinishedRunIsAViolation) {
  EXPECT_EQ(rules_of(lost_answer()), "answer lost;");
}

TEST(SoakJudge, AnAnswerThatIsLostWithItsDaemonIsNoViolation) {
  SoakRecords killed = lost_answer();
  killed.troubles = {{TroubleKind::kill_daemon, daemon_name, {TimePoint{1900}, TimePoint{5000}}}};
  EXPECT_EQ(rules_of(killed), "");
  killed.troubles.front().time.from = TimePoint{2010};  // recorded after the client saw it
  EXPECT_EQ(rules_of(killed), "");
  killed.troubles.front().time.from = TimePoint{2600};
  EXPECT_EQ(rules_of(killed), "answer lost;");
  SoakRecords ended_by_force = lost_answer();
  ended_by_force.troubles = {{TroubleKind::terminate_daemon, daemon_name, {TimePoint{500}, TimePoint{2010}}}};
  EXPECT_EQ(rules_of(ended_by_force), "");
  SoakRecords stopping = lost_answer();
  stopping.troubles = {{TroubleKind::terminate_daemon, daemon_name, {TimePoint{500}, TimePoint{6000}}}};
  EXPECT_EQ(rules_of(stopping), "answer lost;");
}

TEST(SoakJudge, ARunThatEndsInTimeAfterItsClientLeftIsNoViolation) {
  EXPECT_EQ(rules_of(departed_call(2500)), "");
  EXPECT_EQ(judge(departed_call(2500)).departed_runs, 1);
  EXPECT_EQ(judge(departed_call(2500)).worst_departure, Duration{500});
  EXPECT_EQ(judge(departed_call(1999)).departed_runs, 0);
}

TEST(SoakJudge, ARunThatGoesOnAfterItsClientLeftIsAViolation) {
  EXPECT_EQ(rules_of(departed_call(2501)), "run on after the client left;");
}

TEST(SoakJudge, ARunThatNeverEndsIsAViolationUnlessItsRunnerWasKilled) {
  SoakRecords records = departed_call(0);
  records.runners[runner_name].runs[0].ended.reset();
  EXPECT_EQ(rules_of(records), "run on after the client left;");
  records.troubles = {{TroubleKind::kill_runner, runner_name, {TimePoint{2400}, TimePoint{3000}}}};
  EXPECT_EQ(rules_of(records), "");
  records.troubles[0].time.from = TimePoint{2600};
  EXPECT_EQ(rules_of(records), "run on after the client left;");
}

TEST(SoakJudge, ARunThatBeginsAfterItsClientLeftIsAViolation) {
  SoakRecords records = departed_call(2700);
  records.runners[runner_name].runs[0].begun = TimePoint{2600};
  EXPECT_EQ(rules_of(records), "sent after the client left;");
}

TEST(SoakJudge, OnlyTheDaemonOfTheCallStoppedInItsTimeLeavesARunOut) {
  SoakRecords records = departed_call(4000);
  records.troubles = {{TroubleKind::stop_daemon, daemon_name, {TimePoint{2400}, TimePoint{3000}}}};
  EXPECT_EQ(rules_of(records), "");
  EXPECT_EQ(judge(records).departed_left_out, 1);
  records.troubles[0].time.from = TimePoint{2501};
  EXPECT_EQ(rules_of(records), "run on after the client left;");
  records.troubles = {{TroubleKind::stop_daemon, "a2-data", {TimePoint{2400}, TimePoint{3000}}}};
  EXPECT_EQ(rules_of(records), "run on after the client left;");
  records.troubles = {{TroubleKind::cut_daemon, daemon_name, {TimePoint{2400}, TimePoint{3000}}}};
  EXPECT_EQ(rules_of(records), "run on after the client left;");
}

TEST(SoakJudge, PausesWidenALimitByTheirOwnLength) {
  SoakRecords records = departed_call(3000);
  records.runners[runner_name].pauses = {{TimePoint{2100}, TimePoint{2400}}, {TimePoint{5000}, TimePoint{9000}}};
  EXPECT_EQ(rules_of(records), "run on after the client left;");
  records.pauses = {{TimePoint{1000}, TimePoint{2200}}};
  EXPECT_EQ(rules_of(records), "");
}

TEST(SoakJudge, ASecondRunIsAViolationUnlessItMayBeRepeated) {
  SoakRecords records = departed_call(2100);
  records.runners["model-2"].runs = records.runners[runner_name].runs;
  EXPECT_EQ(rules_of(records), "run twice;");
  records.calls[0].is_repeatable = true;
  EXPECT_EQ(rules_of(records), "");
}

TEST(SoakJudge, ARunOfWhatWasRefusedOrCutShortOrNeverSentIsAViolation) {
  SoakRecords records = departed_call(2100);
  records.calls[0].outcome = CallOutcome::refused;
  EXPECT_EQ(rules_of(records), "run although refused;");
  records = departed_call(2100);
  records.calls[0].is_whole = false;
  EXPECT_EQ(rules_of(records), "run although cut short;");
  records.calls.clear();
  EXPECT_EQ(rules_of(records), "unknown request;");
}

TEST(SoakJudge, ARunThatBeginsTooLateAtADrainingRunnerIsAViolation) {
  EXPECT_EQ(rules_of(drained_runner(6000)), "");
  EXPECT_EQ(rules_of(drained_runner(6001)), "sent to a draining runner;");
  EXPECT_EQ(rules_of(drained_runner(20001)), "");
}

TEST(SoakJudge, ADrainIsJudgedForDaemonsInTouchFromWhenItWasHeard) {
  SoakRecords records = drained_runner(6500);
  records.troubles = {{TroubleKind::cut_daemon, daemon_name, {TimePoint{2000}, TimePoint{3000}}}};
  EXPECT_EQ(rules_of(records), "");
  EXPECT_EQ(judge(records).drained_left_out, 1);
  records.troubles = {{TroubleKind::stop_daemon, control_name, {TimePoint{500}, TimePoint{1500}}}};
  EXPECT_EQ(rules_of(records), "");
  records.troubles[0].time.until = TimePoint{1499};
  EXPECT_EQ(rules_of(records), "sent to a draining runner;");
}

TEST(SoakRecords, AreReadAsTheyWereWrittenButForACutLine) {
  RunRecord run{call_id, runner_name, 7, 1, TimePoint{100}, TimePoint{200}, RunEnd::connection_closed};
  const std::string file = testing::TempDir() + "soak-records-test";
  std::ofstream(file) << begun_line(run) << pause_line({TimePoint{110}, TimePoint{150}}) << ended_line(run)
                      << "begun call-2 7 2 3";
  RunnerRecords records = read_runner_records(file, runner_name);
  std::remove(file.c_str());
  ASSERT_EQ(records.runs.size(), 1u);
  EXPECT_EQ(records.runs[0].begun, TimePoint{100});
  EXPECT_EQ(records.runs[0].ended, TimePoint{200});
  EXPECT_EQ(records.runs[0].how, RunEnd::connection_closed);
  EXPECT_EQ(overlap(records.pauses, TimePoint{0}, TimePoint{120}), Duration{10});
}

TEST(InvariantCounts, MemoryAboveTheLimitOfAProcessCounts) {
  InvariantCounts counts;
  counts.read_page(daemon_name, "emberdale_data_resident_bytes 260000000\n");
  EXPECT_TRUE(counts.violations().empty());
  counts.read_page(daemon_name, "emberdale_data_resident_bytes 260000001\n");
  counts.read_page(daemon_name, "emberdale_data_resident_bytes 9000000\n");
  EXPECT_EQ(counts.violations().at(daemon_name + " resident_bytes"), 260000001);
  EXPECT_EQ(counts.most_resident_bytes(), 260000001);
}

TEST(InvariantCounts, CountersOfViolationsAndLinesOfLogsCountAndCountersOfChecksDoNot) {
  InvariantCounts counts;
  counts.read_page(daemon_name, "# HELP\nemberdale_data_invariant_x 0\nemberdale_data_invariant_x_checks 7\nother 3\n");
  EXPECT_TRUE(counts.violations().empty());
  EXPECT_EQ(counts.checks(), 7);
  counts.read_page(daemon_name, "emberdale_data_invariant_x 2\nemberdale_data_invariant_x_checks 9\n");
  counts.read_page(daemon_name, "emberdale_data_invariant_x 1\n");
  EXPECT_EQ(counts.violations().at(daemon_name + " emberdale_data_invariant_x"), 2);
  EXPECT_EQ(counts.checks(), 9);
  const std::string file = testing::TempDir() + "soak-log-test";
  std::ofstream(file) << "I0000 serving\nE0000 x.cpp:1] invariant_violated invariant=y call=7\n";
  counts.read_log(control_name, file);
  std::remove(file.c_str());
  EXPECT_EQ(counts.violations().size(), 2u);
}

TEST(EditHistory, WhatWasAcknowledgedMayNotBeLostOrReplacedByAnOlderChange) {
  EditHistory history;
  EXPECT_EQ(history.on_read({0, 0}), "");
  history.on_unknown(1);
  history.on_acknowledged({3, 2});
  EXPECT_EQ(history.on_read({3, 2}), "");
  EXPECT_NE(history.on_read({0, 0}), "");
  EXPECT_NE(history.on_read({3, 1}), "");
  EXPECT_NE(history.on_read({4, 1}), "");
  history.on_unknown(5);
  EXPECT_EQ(history.on_read({4, 5}), "");
  EXPECT_NE(history.on_read({3, 2}), "");
}

TEST(SoakSchedule, IsTheSameForTheSameSeedAndTroublesOverlap) {
  SoakTargets targets{{"a0", "b0", "c0"}, {"a1", "a2", "b1"}, {"d1", "d2", "d3"}, {"m1", "m2", "m3", "m4"}};
  auto schedule = draw_schedule(targets, 7, Duration{25000});
  EXPECT_EQ(schedule_document(schedule), schedule_document(draw_schedule(targets, 7, Duration{25000})));
  EXPECT_NE(schedule_document(schedule), schedule_document(draw_schedule(targets, 8, Duration{25000})));
  auto most_at_once = [](const std::vector<PlannedTrouble>& troubles) {
    std::size_t most = 0;
    for (const auto& trouble : troubles) {
      std::size_t count = 0;
      for (const auto& other : troubles)
        count += other.begins <= trouble.begins && trouble.begins < other.ends;
      most = std::max(most, count);
    }
    return most;
  };
  // A series runs beside the three courses.
  std::vector<PlannedTrouble> of_courses, of_cores;
  for (const auto& trouble : schedule) {
    if (!trouble.is_of_series)
      of_courses.push_back(trouble);
    if (trouble.target[1] == '0')
      of_cores.push_back(trouble);
  }
  EXPECT_GE(most_at_once(of_courses), 2u);
  EXPECT_LE(most_at_once(of_courses), 3u);
  EXPECT_LE(most_at_once(of_cores), 1u);
}

TEST(SoakSchedule, AllCoreMachinesAreKilledTogetherOrOneHasTroubleAtATime) {
  SoakTargets targets{{"a0", "b0", "c0"}, {}, {"d1", "d2", "d3"}, {"m1", "m2"}, false, true};
  std::size_t together = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    const auto schedule = draw_schedule(targets, seed, Duration{25000});
    for (const auto& trouble : schedule) {
      together += trouble.is_of_all_cores ? 1 : 0;
      if (!trouble.is_of_all_cores || trouble.target != "a0")
        continue;
      EXPECT_EQ(trouble.kind, TroubleKind::kill_daemon);
      EXPECT_LE(trouble.ends.value - trouble.begins.value, 1000);
      bool is_alone = std::none_of(schedule.begin(), schedule.end(), [&](const PlannedTrouble& other) {
        return other.target[1] == '0' && !other.is_of_all_cores && other.begins <= trouble.ends &&
               trouble.begins <= other.ends;
      });
      EXPECT_TRUE(is_alone) << seed;
    }
  }
  EXPECT_GT(together, 10u);
  EXPECT_EQ(together % 3, 0u);
}

TEST(InvariantCounts, ADaemonThatIsShortOfDescriptorsIsFound) {
  InvariantCounts counts;
  counts.read_page("control-a1", "emberdale_control_open_descriptors 90\nemberdale_control_descriptor_limit 100\n");
  EXPECT_TRUE(counts.short_of_descriptors().empty());
  counts.read_page("control-a1", "emberdale_control_open_descriptors 91\n");
  EXPECT_EQ(counts.short_of_descriptors().at("control-a1"), 91);
}

}  // namespace
}  // namespace emberdale::soak
