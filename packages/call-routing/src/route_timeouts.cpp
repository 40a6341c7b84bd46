// Timeouts of routed calls: deadlines, and runners that have fallen silent.
#include <algorithm>

#include "emberdale/route_dispatcher.hpp"

namespace emberdale {
namespace {

constexpr Duration silence_ejection_time{1500};
constexpr std::int64_t shortest_timeout_ms = 250;
constexpr std::int64_t default_gap_ms = 1000;  // of a route that states no longest pause between events
constexpr Duration queue_timer{15}, open_call_timer{60}, idle_timer{500};

Duration first_event_timeout(const Route& route) {
  return Duration{std::max<std::int64_t>(shortest_timeout_ms, route.target_ms / 2)};
}

Duration next_event_timeout(const Route& route) {
  std::int64_t gap_ms = route.gap_ms > 0 ? route.gap_ms : default_gap_ms;
  return Duration{std::max<std::int64_t>(shortest_timeout_ms, gap_ms * 3 / 4)};
}

// Twice the time that the runner needs to read the prompt.
Duration prompt_read_time(std::int64_t uncached_tokens) { return Duration{uncached_tokens / prompt_tokens_per_ms * 2}; }

}  // namespace

// True if nothing at all has come from the call's runner for longer than the call can wait.
bool RouteDispatcher::is_silent(const Call& call, TimePoint now) {
  Duration timeout = call.has_event_from_attempt ? next_event_timeout(*call.route) : first_event_timeout(*call.route);
  if (!call.has_event_from_attempt)
    timeout.value += prompt_read_time(call.uncached_tokens).value;
  const EndpointState& endpoint = endpoints_[call.runner];
  return now - call.last_received_at >= timeout && now - endpoint.last_received_at() >= timeout;
}

void RouteDispatcher::on_timer(TimePoint now) {
  admit_awaiting_view(now);
  std::vector<CallIndex> overdue;
  for (const auto& [index, call] : calls_)
    if (call.is_sent && (call.deadline <= now || (!call.is_silence_handled && is_silent(call, now))))
      overdue.push_back(index);
  // The hash map's order differs from one process to the next, and the order decides who gets the last retry tokens.
  std::sort(overdue.begin(), overdue.end());
  for (CallIndex index : overdue) {
    auto entry = calls_.find(index);
    if (entry == calls_.end() || !entry->second.is_sent)
      continue;
    if (entry->second.deadline <= now)
      on_deadline_passed(entry->second);
    else
      on_silence(entry->second, now);
  }
  dispatch_queued(now);
}

void RouteDispatcher::on_deadline_passed(Call& call) {
  CallIndex index = call.index;
  cancellations_.push_back({index, call.attempt_number});
  release_endpoint(call);
  ++counts_.unknown;
  finish(index, FinalResponse{index, 504, "no answer within the deadline", true, Duration{0}, {}});
}

// The runner is taken for dead. A call that may be repeated goes to another; any other one waits on.
void RouteDispatcher::on_silence(Call& call, TimePoint now) {
  endpoints_[call.runner].record_silence(silence_ejection_time, now);
  call.is_silence_handled = true;  // once for each attempt
  if (!call.route->is_repeatable || !may_retry(call, now))
    return;
  call.selection.tried.insert(call.runner);
  if (!select_endpoint(call, now))
    return;  // no other runner is free: this one may yet respond
  cancellations_.push_back({call.index, call.attempt_number});
  release_endpoint(call);
  ++counts_.stopped;
  call.may_have_run = true;
  call.is_silence_handled = false;
  if (try_send(call, now)) {
    count_retry(call);
    if (call.has_event)
      ++counts_.resumed;
    return;
  }
  ++counts_.unknown;
  finish(call.index, FinalResponse{call.index, 502, "the runner fell silent", true, Duration{0}, {}});
}

TimePoint RouteDispatcher::next_timer(TimePoint now) const {
  if (!queue_.empty() || !awaiting_view_.empty())
    return now + queue_timer;
  return now + (calls_.empty() ? idle_timer : open_call_timer);
}

}  // namespace emberdale
