// What a soak writes down while it runs, and its judge reads afterwards. All times are of steady_now(), which all
// processes of one machine share.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/small_types.hpp"

namespace emberdale::soak {

// A process that answers over HTTP.
struct ProcessAddress {
  std::string name, http;
  std::string region;
};

struct Interval {
  TimePoint from, until;
};

// How long a span of time overlaps intervals that don't overlap each other.
Duration overlap(const std::vector<Interval>& intervals, TimePoint from, TimePoint until);

enum class RunEnd { finished, connection_closed, unknown };

// One run of a request at a runner; a runner that is killed leaves its end open.
struct RunRecord {
  std::string call, runner;
  std::int64_t incarnation = 0, number = 0;  // `number` is unique within the incarnation
  TimePoint begun;
  std::optional<TimePoint> ended;
  RunEnd how = RunEnd::unknown;
};

// What one runner wrote to its record file.
struct RunnerRecords {
  std::vector<RunRecord> runs;
  std::vector<Interval> pauses;  // in which its process did not run
};

// Lines of a runner's record file.
std::string begun_line(const RunRecord& run);
std::string ended_line(const RunRecord& run);
std::string pause_line(const Interval& pause);
// A last line that is cut off is left out. Example: read_runner_records("records-model-1", "model-1").runs
RunnerRecords read_runner_records(const std::string& file, const std::string& runner);

enum class CallOutcome {
  served,
  refused,      // 503: the daemon says that it never ran
  other,        // another status, or an answer that broke off
  left,         // the client closed the connection before it had the whole answer
  unreachable,  // no connection, or the daemon closed it without an answer
  unanswered    // until the client's patience ended
};

std::string to_string(CallOutcome outcome);

// One call of a client.
struct CallRecord {
  std::string id, daemon;
  bool is_repeatable = false;
  bool is_whole = true;  // whether the request was sent to its last byte
  TimePoint begun;
  std::optional<TimePoint> left_at;
  CallOutcome outcome = CallOutcome::other;
  TimePoint ended{};                   // when the outcome was known
  bool is_on_kept_connection = false;  // one that had served a call before
};

enum class TroubleKind {
  kill_daemon,
  terminate_daemon,
  stop_daemon,
  hang_up_daemon,
  cut_daemon,
  kill_runner,
  stop_runner,
  crowd_daemon  // many connections at its port for HTTP
};

// A trouble as it was done: from before its begin (a kill: from the end of the process) until after its end.
struct TroubleRecord {
  TroubleKind kind;
  std::string target;
  Interval time;
  bool is_of_all_cores = false;  // every core machine had it at the same time
};

// A runner that was marked as draining, from the acknowledged request on until the request that took the mark away.
struct DrainRecord {
  std::string runner;
  std::string control;  // the daemon that acknowledged it
  Interval time;
};

// Everything that the judge is given.
struct SoakRecords {
  std::vector<CallRecord> calls;
  std::map<std::string, RunnerRecords> runners;
  std::vector<TroubleRecord> troubles;
  std::vector<DrainRecord> drains;
  std::vector<Interval> pauses;  // of the soak's own process
  TimePoint read_at;             // when the runners' records were read
};

}  // namespace emberdale::soak
