#include "call_ledger.hpp"

#include <algorithm>

namespace emberdale_test {

const char* name_of(RunnerAct act) {
  switch (act) {
    case RunnerAct::answer:
      return "answer";
    case RunnerAct::answer_chunked:
      return "answer_chunked";
    case RunnerAct::answer_in_pieces:
      return "answer_in_pieces";
    case RunnerAct::answer_and_close:
      return "answer_and_close";
    case RunnerAct::answer_then_half_close:
      return "answer_then_half_close";
    case RunnerAct::answer_twice:
      return "answer_twice";
    case RunnerAct::answer_then_late:
      return "answer_then_late";
    case RunnerAct::answer_then_garbage:
      return "answer_then_garbage";
    case RunnerAct::refuse_full:
      return "refuse_full";
    case RunnerAct::refuse_wrong_incarnation:
      return "refuse_wrong_life";
    case RunnerAct::own_failure:
      return "own_failure";
    case RunnerAct::unmarked_busy:
      return "unmarked_busy";
    case RunnerAct::reset_before_head:
      return "reset_before_head";
    case RunnerAct::reset_within_head:
      return "reset_within_head";
    case RunnerAct::reset_within_body:
      return "reset_within_body";
    case RunnerAct::close_before_head:
      return "close_before_head";
    case RunnerAct::close_within_head:
      return "close_within_head";
    case RunnerAct::close_within_body:
      return "close_within_body";
    case RunnerAct::half_close_before_head:
      return "half_close_before_head";
    case RunnerAct::garbage:
      return "garbage";
    case RunnerAct::foreign_call:
      return "foreign_call";
    case RunnerAct::nameless:
      return "nameless";
    case RunnerAct::unsealed:
      return "unsealed";
    case RunnerAct::silence:
      return "silence";
    case RunnerAct::silence_then_answer:
      return "silence_then_answer";
  }
  return "?";
}

const char* name_of(CallRoute route) {
  switch (route) {
    case CallRoute::once:
      return "once";
    case CallRoute::again:
      return "again";
    case CallRoute::stream:
      return "stream";
    case CallRoute::resume:
      return "resume";
  }
  return "?";
}

bool is_silent(RunnerAct act) { return act == RunnerAct::silence || act == RunnerAct::silence_then_answer; }

bool is_refusal(RunnerAct act) { return act == RunnerAct::refuse_full || act == RunnerAct::refuse_wrong_incarnation; }

bool is_whole_answer(RunnerAct act) { return act <= RunnerAct::answer_then_garbage; }

bool CallPlan::has_silence() const { return std::any_of(acts.begin(), acts.end(), is_silent); }

std::string CallPlan::text() const {
  std::string text = std::string("/") + name_of(route) + "/" + (is_chunked ? " chunked" : "") + " body " +
                     std::to_string(body_size) + " pieces " + std::to_string(pieces) + " events " +
                     std::to_string(events) + " cut " + std::to_string(cut) + " prompt " + std::to_string(prompt) +
                     " acts";
  for (RunnerAct act : acts)
    text += std::string(" ") + name_of(act);
  return text;
}

std::string request_body(const std::string& call_id, const CallPlan& plan) {
  std::string body = "body of " + call_id + ":";
  body.append(static_cast<std::size_t>(plan.body_size), 'x');
  return body;
}

std::string request_path(const std::string& call_id, const CallPlan& plan) {
  return std::string("/") + name_of(plan.route) + "/" + call_id;
}

std::string seal_text(const std::string& call_id, int run) { return "seal-" + call_id + "-" + std::to_string(run); }

std::string response_body(const std::string& call_id, int run) {
  std::string body = "answer to " + call_id + " by run " + std::to_string(run) + ":";
  return body.append(static_cast<std::size_t>(run % 50) * 20, 'a');
}

std::string event_text(const std::string& call_id, int event) {
  return "id: " + std::to_string(event) + "\ndata: " + call_id + " piece " + std::to_string(event) + "\n\n";
}

std::string events_text(const std::string& call_id, int first, int last) {
  std::string text;
  for (int event = first; event <= last; ++event)
    text += event_text(call_id, event);
  return text;
}

std::string CallLedger::begin(const CallPlan& plan) {
  std::lock_guard<std::mutex> guard(mutex_);
  std::string call_id = "call-" + std::to_string(calls_.size() + 1);
  calls_[call_id].plan = plan;
  return call_id;
}

std::optional<std::pair<CallRun, CallPlan>> CallLedger::arrive(const ArrivedRequest& request) {
  std::lock_guard<std::mutex> guard(mutex_);
  auto found = calls_.find(request.call_id);
  if (found == calls_.end()) {
    faults_.push_back("a call that no client sent: " + request.call_id);
    return std::nullopt;
  }
  Entry& entry = found->second;
  if (request.method != "POST" || request.path != request_path(request.call_id, entry.plan) ||
      request.body != request_body(request.call_id, entry.plan))
    faults_.push_back("changed on its way: " + request.call_id);
  std::size_t arrival = std::min(entry.runs.size(), entry.plan.acts.size() - 1);
  CallRun run{++last_run_, entry.plan.acts[arrival], request.runner};
  entry.runs.push_back(run);
  ++act_counts_[name_of(run.act)];
  judge_runs(request.call_id, entry);
  return std::make_pair(run, entry.plan);
}

void CallLedger::judge_runs(const std::string& call_id, const Entry& entry) {
  auto runs =
      std::count_if(entry.runs.begin(), entry.runs.end(), [](const CallRun& run) { return !is_refusal(run.act); });
  if (runs > 1 && !entry.plan.is_repeatable())
    faults_.push_back("ran twice: " + call_id + " " + entry.plan.text());
  if (runs > 0 && !entry.may_run)
    faults_.push_back("ran though it must not: " + call_id + " " + entry.plan.text());
}

void CallLedger::promise_not_run(const std::string& call_id) { expect_no_run(call_id); }

void CallLedger::expect_no_run(const std::string& call_id) {
  std::lock_guard<std::mutex> guard(mutex_);
  Entry& entry = calls_.at(call_id);
  entry.may_run = false;
  judge_runs(call_id, entry);
}

std::vector<CallRun> CallLedger::runs(const std::string& call_id) const {
  std::lock_guard<std::mutex> guard(mutex_);
  return calls_.at(call_id).runs;
}

std::vector<std::string> CallLedger::faults() const {
  std::lock_guard<std::mutex> guard(mutex_);
  return faults_;
}

int CallLedger::calls() const {
  std::lock_guard<std::mutex> guard(mutex_);
  return static_cast<int>(calls_.size());
}

int CallLedger::arrivals() const {
  std::lock_guard<std::mutex> guard(mutex_);
  return last_run_;
}

std::map<std::string, int> CallLedger::act_counts() const {
  std::lock_guard<std::mutex> guard(mutex_);
  return act_counts_;
}

}  // namespace emberdale_test
