#include "emberdale/list_age_gate.hpp"

namespace emberdale {

bool ListAgeGate::is_request_due(const std::optional<TimePoint>& read_at, TimePoint now) {
  if (!read_at || now - *read_at <= stale_age) {
    stale_since_.reset();
    excused_until_ = TimePoint{-1};
    return false;
  }
  if (!stale_since_) {
    stale_since_ = now;
    request_next_ = now;
  }
  if (now - *stale_since_ >= patience)
    excused_until_ = now + excuse_lifetime;
  if (now < request_next_)
    return false;
  request_next_ = now + request_interval;
  return true;
}

void ListAgeInvariant::on_attempt_started(std::int64_t call, const RunnerName& runner, const ListAgeBound& bound,
                                          TimePoint now) {
  std::int64_t age_ms = bound.read_at ? (now - *bound.read_at).value : 0;
  counters_->record(Invariant::list_age_bounded, bound.may_send(now),
                    {call, runner.text, now, age_ms, ListAgeBound::longest_age.value});
}

}  // namespace emberdale
