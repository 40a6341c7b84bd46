#include "soak_records.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace emberdale::soak {
namespace {

const std::string begun_word = "begun", finished_word = "finished", closed_word = "closed", pause_word = "pause";

std::string run_fields(const RunRecord& run, TimePoint at) {
  return " " + run.call + " " + std::to_string(run.incarnation) + " " + std::to_string(run.number) + " " +
         std::to_string(at.value) + "\n";
}

}  // namespace

Duration overlap(const std::vector<Interval>& intervals, TimePoint from, TimePoint until) {
  Duration sum;
  for (const auto& interval : intervals)
    sum.value += std::max<std::int64_t>(0, (std::min(until, interval.until) - std::max(from, interval.from)).value);
  return sum;
}

std::string begun_line(const RunRecord& run) { return begun_word + run_fields(run, run.begun); }

std::string ended_line(const RunRecord& run) {
  return (run.how == RunEnd::finished ? finished_word : closed_word) + run_fields(run, *run.ended);
}

std::string pause_line(const Interval& pause) {
  return pause_word + " " + std::to_string(pause.from.value) + " " + std::to_string(pause.until.value) + "\n";
}

std::string to_string(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::served:
      return "served";
    case CallOutcome::refused:
      return "refused";
    case CallOutcome::other:
      return "other";
    case CallOutcome::left:
      return "left";
    case CallOutcome::unreachable:
      return "unreachable";
    case CallOutcome::unanswered:
      return "unanswered";
  }
  return "";
}

RunnerRecords read_runner_records(const std::string& file, const std::string& runner) {
  RunnerRecords records;
  std::map<std::pair<std::int64_t, std::int64_t>, std::size_t> index_of_run;
  std::ifstream stream(file);
  for (std::string line; std::getline(stream, line);) {
    if (stream.eof())
      break;  // without its line end: the runner was killed as it wrote
    std::istringstream fields(line);
    std::string word;
    fields >> word;
    if (word == pause_word) {
      Interval pause;
      fields >> pause.from.value >> pause.until.value;
      records.pauses.push_back(pause);
      continue;
    }
    RunRecord run;
    TimePoint at;
    fields >> run.call >> run.incarnation >> run.number >> at.value;
    run.runner = runner;
    run.begun = at;
    auto [entry, is_new] = index_of_run.emplace(std::make_pair(run.incarnation, run.number), records.runs.size());
    if (is_new) {
      records.runs.push_back(run);
      continue;
    }
    records.runs[entry->second].ended = at;
    records.runs[entry->second].how = word == finished_word ? RunEnd::finished : RunEnd::connection_closed;
  }
  return records;
}

}  // namespace emberdale::soak
