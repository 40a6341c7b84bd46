#include "emberdale/daemon_status_table.hpp"

namespace emberdale {
namespace {
constexpr Duration status_retention{15000};
}  // namespace

void DaemonStatusTable::record(const DaemonStatus& status, TimePoint now) {
  TimePoint reported_at{now.value - status.age_ms};
  Received& received = received_[status.daemon.address];
  if (received.reported_at <= reported_at)
    received = {status, reported_at};
}

void DaemonStatusTable::expire(TimePoint now) {
  for (auto entry = received_.begin(); entry != received_.end();) {
    if (now - entry->second.reported_at > status_retention)
      entry = received_.erase(entry);
    else
      ++entry;
  }
}

std::vector<DaemonStatus> DaemonStatusTable::statuses(TimePoint now) const {
  std::vector<DaemonStatus> statuses;
  for (const auto& [address, received] : received_) {
    statuses.push_back(received.status);
    statuses.back().age_ms = (now - received.reported_at).value;
  }
  return statuses;
}

}  // namespace emberdale
