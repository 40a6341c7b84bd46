// What the fuzzing of the data path sends, and a record of what reached the runners.
#pragma once
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace emberdale_test {

enum class CallRoute { once, again, stream, resume };

// What a runner does with a request that has arrived whole.
enum class RunnerAct {
  answer,
  answer_chunked,
  answer_in_pieces,
  answer_and_close,
  answer_then_half_close,
  answer_twice,              // the second one in the same write
  answer_then_late,          // the second one when the connection is idle
  answer_then_garbage,       // bytes that are no answer, in the same write
  refuse_full,               // 503 with the mark "not run"
  refuse_wrong_incarnation,  // 421
  own_failure,               // 500, after running it
  unmarked_busy,             // 503 without the mark, after running it
  reset_before_head,
  reset_within_head,
  reset_within_body,
  close_before_head,
  close_within_head,
  close_within_body,
  half_close_before_head,
  garbage,
  foreign_call,  // an answer that names another call
  nameless,      // an answer that names no call
  unsealed,
  silence,
  silence_then_answer,  // after the connection was given up
};

const char* name_of(RunnerAct act);
const char* name_of(CallRoute route);
bool is_silent(RunnerAct act);
bool is_refusal(RunnerAct act);
// Does it send one whole sound answer?
bool is_whole_answer(RunnerAct act);

struct CallPlan {
  CallRoute route = CallRoute::once;
  bool is_chunked = false;                         // the request's body
  int body_size = 10;                              // of the request
  int pieces = 1;                                  // writes of the request
  int events = 3;                                  // of a stream
  int cut = 500;                                   // thousandths of head or body before a runner breaks off
  int prompt = 1;                                  // calls with the same one go to the same runner
  std::vector<RunnerAct> acts{RunnerAct::answer};  // of the first arrival, the second, ..; the last one goes on

  bool is_stream() const { return route == CallRoute::stream || route == CallRoute::resume; }
  bool is_repeatable() const { return route == CallRoute::again || route == CallRoute::resume; }
  bool has_silence() const;
  std::string text() const;  // for the report of a find
};

// One arrival of a call at a runner.
struct CallRun {
  int number = 0;  // 1, 2, .. over all calls
  RunnerAct act = RunnerAct::answer;
  std::string runner;
};

struct ArrivedRequest {
  std::string method, path, call_id, runner, resume_after, body;
};

std::string request_body(const std::string& call_id, const CallPlan& plan);
std::string request_path(const std::string& call_id, const CallPlan& plan);
std::string response_body(const std::string& call_id, int run);
std::string seal_text(const std::string& call_id, int run);
std::string event_text(const std::string& call_id, int event);
// Events first..last. Example: events_text("c", 1, 3)
std::string events_text(const std::string& call_id, int first, int last);

// Thread-safe. Keeps every call for good: one that arrives long after its caller was answered is still judged.
class CallLedger {
 public:
  std::string begin(const CallPlan& plan);  // gives the call's id
  // Judges the arrival and tells what to do with it; none: no client sent such a call.
  std::optional<std::pair<CallRun, CallPlan>> arrive(const ArrivedRequest& request);
  // The caller was promised that this call did not run and never will.
  void promise_not_run(const std::string& call_id);
  // The caller broke off within the request: no one may run it.
  void expect_no_run(const std::string& call_id);
  std::vector<CallRun> runs(const std::string& call_id) const;
  std::vector<std::string> faults() const;
  int calls() const;
  int arrivals() const;
  std::map<std::string, int> act_counts() const;

 private:
  struct Entry {
    CallPlan plan;
    std::vector<CallRun> runs;
    bool may_run = true;
  };
  void judge_runs(const std::string& call_id, const Entry& entry);
  mutable std::mutex mutex_;
  std::map<std::string, Entry> calls_;
  std::map<std::string, int> act_counts_;
  std::vector<std::string> faults_;
  int last_run_ = 0;
};

}  // namespace emberdale_test
