#include "emberdale/runner_list_freshness.hpp"

namespace emberdale {

void RunnerListFreshness::on_timer(bool may_read, TimePoint now) {
  bool was_suspended = last_timer_at_ && now - *last_timer_at_ > longest_timer_interval;
  bool is_unanswered = reading_since_ && now - *reading_since_ > longest_answer;
  last_timer_at_ = now;
  if (!may_read || was_suspended || is_unanswered)
    is_excused_ = true;
  if (!is_excused_ && !is_recorded_ && now - *complete_at_ > longest_interval) {
    check(now);
    is_recorded_ = true;
  }
}

void RunnerListFreshness::on_reading_ended(bool is_complete, TimePoint now) {
  reading_since_.reset();
  if (!is_complete) {
    is_excused_ = true;
    return;
  }
  if (!is_excused_ && !is_recorded_)
    check(now);
  complete_at_ = now;
  is_excused_ = is_recorded_ = false;
}

std::optional<Duration> RunnerListFreshness::age(TimePoint now) const {
  if (!complete_at_)
    return std::nullopt;
  return now - *complete_at_;
}

void RunnerListFreshness::check(TimePoint now) {
  Duration interval = now - *complete_at_;
  counters_->record(Invariant::runner_list_fresh, interval <= longest_interval,
                    {0, {}, now, interval.value, longest_interval.value});
}

}  // namespace emberdale
