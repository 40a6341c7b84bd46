// Admission of routed calls: route lookup, calls that arrive before the first view, and the queue.
#include <algorithm>

#include "emberdale/route_dispatcher.hpp"

namespace emberdale {
namespace {

constexpr Duration startup_window{400};      // so long after its start the daemon may be about to get its first view
constexpr Duration first_view_timeout{150};  // how long a call waits for that view
constexpr Duration retry_after_startup{450}, retry_without_view{1200};
constexpr Duration retry_when_full{250}, retry_without_runner{1000};
constexpr const char* no_view_reason = "this daemon knows no map yet";

// Less than a quarter of the route's target: a client that is refused then still has time for another attempt.
Duration queue_timeout_of(const Route& route) { return Duration{route.target_ms * 22 / 100}; }

// The last part of a prompt is the call's own; the one before it identifies all the shared parts.
std::uint64_t affinity_key_of(const std::vector<PromptPart>& prompt) {
  return prompt.size() < 2 ? 0 : prompt[prompt.size() - 2].id | 1;
}

std::int64_t tokens_of(const RoutedCall& call) {
  std::int64_t tokens = call.tokens_in;
  if (tokens == 0)
    for (const auto& part : call.prompt)
      tokens += part.tokens;
  return tokens;
}

}  // namespace

FinalResponse RouteDispatcher::refusal(CallIndex index, const std::string& reason, Duration retry_after) const {
  return FinalResponse{index, 503, reason, false, retry_after, {}};
}

std::optional<FinalResponse> RouteDispatcher::admit(const RoutedCall& arriving, TimePoint now, CallIndex index) {
  ++counts_.arrived;
  if (!started_at_)
    started_at_ = now;
  if (view_->has_routing_table)
    return admit_with_view(arriving, now, now, index);
  // A daemon that has just started gets its first view within a moment, and the call waits for it; else the client is
  // refused at once.
  bool is_starting = now - *started_at_ < startup_window;
  if (!is_starting || awaiting_view_.size() >= settings_.queue_bound) {
    ++counts_.refused_no_view;
    return refusal(index, no_view_reason, retry_without_view);
  }
  awaiting_view_.push_back({arriving, index, now});
  return std::nullopt;
}

// Admits the calls that wait for the first view once it is there; refuses those that have waited too long.
void RouteDispatcher::admit_awaiting_view(TimePoint now) {
  while (!awaiting_view_.empty() &&
         (view_->has_routing_table || now - awaiting_view_.front().arrived >= first_view_timeout)) {
    CallAwaitingView waiting = std::move(awaiting_view_.front());
    awaiting_view_.pop_front();
    std::optional<FinalResponse> response;
    if (view_->has_routing_table) {
      response = admit_with_view(waiting.call, waiting.arrived, now, waiting.index);
    } else {
      ++counts_.refused_no_view;
      response = refusal(waiting.index, no_view_reason, retry_after_startup);
    }
    if (response) {
      response->call = waiting.index;
      final_responses_.push_back(std::move(*response));
    }
  }
}

RouteDispatcher::Call RouteDispatcher::open_call(const RoutedCall& arriving, const Route& route, TimePoint arrived,
                                                 CallIndex index) const {
  Call call;
  call.index = index;
  call.selection.id = arriving.id;
  call.selection.pool = choose_pool(route, arriving.id.text);
  call.selection.prompt = arriving.prompt;
  call.selection.affinity_key = affinity_key_of(arriving.prompt);
  call.selection.tokens_in = tokens_of(arriving);
  call.route = &route;
  call.routing_view = view_;
  call.resume_after = arriving.resume_after;
  Duration time_left{route.deadline_ms};
  if (arriving.deadline.value > 0)
    time_left = std::min(time_left, arriving.deadline);
  call.deadline = arrived + time_left;
  call.queued_until = arrived + std::min(queue_timeout_of(route), Duration{time_left.value / 3});
  return call;
}

std::optional<FinalResponse> RouteDispatcher::admit_with_view(const RoutedCall& arriving, TimePoint arrived,
                                                              TimePoint now, CallIndex index) {
  const Route* route = find_route(view_->routes, arriving.host, arriving.path);
  if (route == nullptr) {
    ++counts_.refused_route;
    return FinalResponse{index, 404, "no route takes this host and path", false, Duration{0}, {}};
  }
  Call opened = open_call(arriving, *route, arrived, index);
  if (opened.deadline <= now) {  // it has waited for the first view for too long
    ++counts_.refused_full;
    return refusal(index, "its deadline passed before it could be sent", retry_when_full);
  }
  auto entry = calls_.insert_or_assign(index, std::move(opened)).first;
  if (try_send(entry->second, now))
    return std::nullopt;
  if (queue_.size() >= settings_.queue_bound) {
    calls_.erase(entry);
    ++counts_.refused_full;
    return refusal(index, "too many calls wait here", retry_when_full);
  }
  enqueue(entry->second);
  return std::nullopt;
}

void RouteDispatcher::enqueue(const Call& call) {
  ++counts_.pended;
  queue_[{call.route->rank, call.index}] = call.index;
}

void RouteDispatcher::dequeue(const Call& call) { queue_.erase({call.route->rank, call.index}); }

// True if there is a runner that may take such calls, busy or not.
bool RouteDispatcher::has_available_runner(const Call& call) const {
  auto pool = view_->pools.find(call.selection.pool);
  if (pool == view_->pools.end())
    return false;
  return std::any_of(pool->second.begin(), pool->second.end(), [&](const RunnerName& name) {
    const RunnerRow& row = view_->runners.at(name);
    return (row.state == RunnerState::warm || row.state == RunnerState::warming_up) &&
           is_home_region(call.route->homes, row.region);
  });
}

void RouteDispatcher::refuse_queued(const Call& call) {
  CallIndex index = call.index;
  ++counts_.refused_full;
  if (call.may_have_run) {
    finish(index, FinalResponse{index, 502, "no runner came free to repeat it", true, Duration{0}, {}});
    return;
  }
  Duration retry_after = has_available_runner(call) ? retry_when_full : retry_without_runner;
  finish(index, refusal(index, "no runner came free for it", retry_after));
}

void RouteDispatcher::dispatch_queued(TimePoint now) {
  for (auto entry = queue_.begin(); entry != queue_.end();) {
    Call& call = calls_.at(entry->second);
    ++entry;  // what follows may remove this one
    bool is_retry = call.is_retry();
    if (call.queued_until <= now || call.deadline <= now) {
      refuse_queued(call);
      continue;
    }
    if (is_retry && !may_retry(call, now))
      continue;
    if (!try_send(call, now))
      continue;
    if (is_retry)
      count_retry(call);
    dequeue(call);
  }
}

}  // namespace emberdale
