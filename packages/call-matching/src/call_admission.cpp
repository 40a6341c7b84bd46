// Admission of calls: the grant, the plan, the home region, and the queues of calls that wait for a runner.
#include <algorithm>

#include "emberdale/call_dispatcher.hpp"

namespace emberdale {
namespace {

constexpr Duration longest_timer_interval{250};  // a longer pause between timers: the process stood still
constexpr Duration retry_interval{1000};         // what clients are told to wait
constexpr const char* stopping_reason = "this daemon is stopping";
constexpr const char* no_grant_reason = "the map is not proven current here";

FinalResponse refuse(int code, const std::string& reason, Duration retry_after = Duration{0}) {
  return FinalResponse{0, code, reason, false, retry_after, {}};
}

}  // namespace

// A daemon that has just started or resumed gets its grant within a moment, and calls may wait for it. One that
// has run without it for longer refuses at once. Only time that it was running counts.
bool CallDispatcher::may_await_grant(TimePoint now) {
  bool was_suspended = last_timer_at_ && now - *last_timer_at_ > longest_timer_interval;
  if (!without_grant_since_ || was_suspended)
    without_grant_since_ = now;
  last_timer_at_ = now;
  return now - *without_grant_since_ < settings_.grant_wait_timeout;
}

// The calls that waited are admitted a few at a time: all daemons may have got their grants at the same moment, and
// none knows yet what the others send.
void CallDispatcher::admit_awaiting_grant(TimePoint now) {
  bool is_open = is_granted(now) && !is_closed_;
  if (is_open)
    without_grant_since_.reset();
  int admissible = now < admission_next_ ? 0 : settings_.admission_step;
  while (!awaiting_grant_.empty() &&
         ((is_open && admissible-- > 0) || is_closed_ || awaiting_grant_.front().until <= now)) {
    admission_next_ = now + settings_.admission_interval;
    CallAwaitingGrant waiting = std::move(awaiting_grant_.front());
    awaiting_grant_.pop_front();
    std::optional<FinalResponse> response;
    if (is_open) {
      response = admit_granted(waiting.call, waiting.since, now, waiting.index);
    } else {
      ++(is_closed_ ? counts_.refused_other : counts_.refused_no_grant);
      response = refuse(503, is_closed_ ? stopping_reason : no_grant_reason, retry_interval);
    }
    if (!response)
      continue;
    response->call = waiting.index;
    final_responses_.push_back(*response);
  }
}

std::int64_t CallDispatcher::widest_prefix() const {
  std::int64_t widest = 0;
  for (const auto& plan : view_->plans)
    widest = std::max(widest, plan.prefix_bytes);
  return widest;
}

std::optional<FinalResponse> CallDispatcher::admit(const ArrivingCall& arriving, TimePoint now, CallIndex index) {
  ++counts_.arrived;
  std::optional<FinalResponse> response;
  if (is_closed_) {
    ++counts_.refused_other;
    response = refuse(503, stopping_reason, retry_interval);
  } else if (is_granted(now)) {
    response = admit_granted(arriving, now, now, index);
  } else if (!may_await_grant(now) || awaiting_grant_.size() >= settings_.queue_bound) {
    ++counts_.refused_no_grant;
    response = refuse(503, no_grant_reason, retry_interval);
  } else {
    ++counts_.grant_awaited;
    Duration timeout = settings_.queue_timeout;
    if (arriving.deadline.value > 0)
      timeout = std::min(timeout, Duration{arriving.deadline.value / 3});
    awaiting_grant_.push_back({arriving, index, now, now + timeout});
  }
  if (response)
    response->call = index;
  return response;
}

FinalResponse CallDispatcher::misdirected(const RegionName& home) {
  ++counts_.misdirected;
  FinalResponse response = refuse(421, "this work has its home in region '" + home.text + "'");
  for (const auto& gateway : view_->gateways)
    if (gateway.region == home)
      response.homes.push_back(gateway.http_address);
  return response;
}

// Finds the home region of the call; gives a response if the call may not be served here.
std::optional<FinalResponse> CallDispatcher::find_home(const ArrivingCall& arriving, const ServingPlan& plan,
                                                       RegionName& home) {
  home = plan.home;
  if (!plan.home_header.empty()) {
    auto header = arriving.headers.find(plan.home_header);
    if (header == arriving.headers.end()) {
      ++counts_.refused_admission;
      return refuse(400, "header '" + plan.home_header + "' must name the home region");
    }
    home.text = header->second;
    if (view_->regions.count({plan.pool, home}) == 0) {
      ++counts_.refused_admission;
      return refuse(400, "'" + home.text + "' is no region of pool '" + plan.pool.text + "'");
    }
  }
  if (!home.empty() && home != settings_.region)
    return misdirected(home);
  return std::nullopt;
}

std::optional<FinalResponse> CallDispatcher::admit_granted(const ArrivingCall& arriving, TimePoint arrived,
                                                           TimePoint now, CallIndex index) {
  PlanMatch matched = match_plan(view_->plans, arriving.method, arriving.path, arriving.headers);
  if (matched.plan == nullptr) {
    ++counts_.refused_admission;
    return matched.is_path_known ? refuse(405, "no plan takes this method or these headers here")
                                 : refuse(404, "no plan takes this path");
  }
  const ServingPlan& plan = *matched.plan;
  if (arriving.body_bytes > plan.max_body_bytes) {
    ++counts_.refused_admission;
    return refuse(413, "the body is larger than plan '" + plan.name.text + "' takes");
  }
  Call call;
  if (auto refusal = find_home(arriving, plan, call.home))
    return refusal;
  call.index = index;
  call.id = arriving.id;
  call.plan = plan.name;
  call.method = arriving.method;
  call.path = arriving.path;
  call.affinity_key =
      plan.prefix_bytes > 0 ? arriving.prefix.substr(0, static_cast<std::size_t>(plan.prefix_bytes)) : arriving.id.text;
  Duration time_left{plan.deadline_ms};
  if (arriving.deadline.value > 0 && arriving.deadline < time_left)
    time_left = arriving.deadline;
  call.deadline = arrived + time_left;
  if (call.deadline <= now) {  // it has waited for the grant for too long
    ++counts_.refused_full;
    return refuse(503, "its deadline passed before it could be sent", retry_interval);
  }
  call.queued_until = now + std::min(settings_.queue_timeout, Duration{time_left.value / 3});
  PoolIndex at = pool_.take(std::move(call));
  calls_[index] = at;
  return send_or_enqueue(at, now);
}

std::optional<FinalResponse> CallDispatcher::send_or_enqueue(PoolIndex at, TimePoint now) {
  Call& call = pool_[at];
  if (try_send(call, now))
    return std::nullopt;
  if (queues_[call.plan].size() >= settings_.queue_bound) {
    forget(at);
    ++counts_.refused_full;
    return refuse(503, "every runner for it is full, and so is the pending queue", retry_interval);
  }
  ++counts_.pended;
  enqueue(at);
  return std::nullopt;
}

void CallDispatcher::enqueue(PoolIndex at) {
  pool_[at].is_queued = true;
  queues_[pool_[at].plan].push_back(pool_, at);
}

// The response to a queued call that must not wait on; nothing if it may be sent.
std::optional<FinalResponse> CallDispatcher::end_of_queueing(const Call& call, TimePoint now) {
  if (call.queued_until <= now || call.deadline <= now || is_closed_) {
    ++counts_.refused_full;
    return refuse(503, is_closed_ ? stopping_reason : "no runner came free for it", retry_interval);
  }
  if (plan_of(call) == nullptr) {
    ++counts_.refused_admission;
    return refuse(404, "its plan was taken away");
  }
  if (call.is_retry && !retry_budget_.allows_retry()) {
    ++counts_.retry_denied;
    return refuse(503, "no retry is left for it", retry_interval);
  }
  return std::nullopt;
}

void CallDispatcher::dispatch_queued(TimePoint now) {
  for (auto& [name, queue] : queues_) {
    while (queue.front() != no_index) {
      PoolIndex at = queue.front();
      Call& call = pool_[at];
      if (auto response = end_of_queueing(call, now)) {
        finish(call.index, *response);
        continue;
      }
      bool is_retry = call.is_retry;
      if (!try_send(call, now))
        break;
      if (is_retry) {
        retry_budget_.spend();
        ++counts_.retries;
      }
      queue.remove(pool_, at);
    }
  }
}

// Calls further back may time out before the front does.
void CallDispatcher::refuse_expired(TimePoint now) {
  for (auto& [name, queue] : queues_) {
    for (PoolIndex at = queue.front(); at != no_index;) {
      PoolIndex next = queue.next(pool_, at);
      const Call& call = pool_[at];
      if (call.queued_until <= now || call.deadline <= now) {
        ++counts_.refused_full;
        finish(call.index, refuse(503, "no runner came free for it", retry_interval));
      }
      at = next;
    }
  }
}

void CallDispatcher::on_timer(TimePoint now) {
  if (!is_granted(now))
    may_await_grant(now);
  last_timer_at_ = now;
  admit_awaiting_grant(now);
  refuse_expired(now);
  dispatch_queued(now);
}

}  // namespace emberdale
