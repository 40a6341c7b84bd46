#include "emberdale/edit_age.hpp"

#include "emberdale/routing_table.hpp"

namespace emberdale {
namespace {
// Timers come every 25 to 40 ms. A shorter pause is covered by the margin between `requester_timeout` and the time
// after which an operator really goes elsewhere.
constexpr Duration pause_threshold{200};
// What waited in the sockets has been read so long after the process runs again.
constexpr Duration drain_time{300};
}  // namespace

bool is_bound_by_age(const EditRequest& request) {
  return request.expected_version <= 0 && request.kind != routing_table_kind;
}

std::optional<Duration> age_bound(const EditRequest& request, TimePoint leader_now) {
  Duration since_timestamp = leader_now - TimePoint{request.master_timestamp};
  if (request.master_timestamp <= 0 || request.age_ms < 0 || since_timestamp < Duration{0})
    return std::nullopt;
  return Duration{since_timestamp.value + request.age_ms};
}

void PauseDetector::on_timer(TimePoint now) {
  if (now - last_timer_ > pause_threshold)
    resumed_at_ = now;
  last_timer_ = now;
}

bool PauseDetector::may_read_old_requests(TimePoint now, TimePoint reached_at) const {
  if (now - last_timer_ > pause_threshold)
    return true;
  return resumed_at_ && (now - *resumed_at_ < drain_time || reached_at < *resumed_at_);
}

}  // namespace emberdale
