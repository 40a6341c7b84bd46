#include "emberdale/edit_age.hpp"

#include "emberdale/traffic_table.hpp"

namespace emberdale {
namespace {
// Timers come every 25 to 40 ms. A shorter pause is covered by the margin between the asker's patience as it is set
// and the time after which an operator really goes elsewhere.
constexpr Span pause_limit{200};
// What waited in the sockets has been read so long after the process runs again.
constexpr Span drain_time{300};
}  // namespace

bool is_bound_by_age(const EditAsk& ask) { return ask.expected <= 0 && ask.kind != traffic_kind; }

std::optional<Span> age_bound(const EditAsk& ask, Moment leader_now) {
  Span since_stamp = leader_now - Moment{ask.stamp};
  if (ask.stamp <= 0 || ask.age < 0 || since_stamp < Span{0})
    return std::nullopt;
  return Span{since_stamp.value + ask.age};
}

void PauseDetector::on_timer(Moment now) {
  if (now - last_timer_ > pause_limit)
    resumed_at_ = now;
  last_timer_ = now;
}

bool PauseDetector::may_read_old_requests(Moment now, Moment reached_at) const {
  if (now - last_timer_ > pause_limit)
    return true;
  return resumed_at_ && (now - *resumed_at_ < drain_time || reached_at < *resumed_at_);
}

}  // namespace emberdale
