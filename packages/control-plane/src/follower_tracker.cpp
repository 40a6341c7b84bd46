#include "emberdale/follower_tracker.hpp"

namespace emberdale {
namespace {
constexpr Duration map_resend_interval{250};  // a map is sent again to one follower at most this often
// Rows of the routing table that were sent and have not been confirmed are sent again after this.
constexpr Duration table_resend_interval{2000};
}  // namespace

void FollowerTracker::clear() {
  versions_.clear();
  tables_.clear();
  map_sent_at_.clear();
}

void FollowerTracker::on_heartbeat(const Address& from, const Heartbeat& heartbeat) {
  versions_[from] = heartbeat.version;
  tables_[from].confirmed = heartbeat.routing_table_revision;
}

std::size_t FollowerTracker::count_holders(const std::vector<DaemonEntry>& roster, const MapVersion& version) const {
  std::size_t holders = 1;
  for (const auto& entry : roster) {
    auto held = versions_.find(entry.address);
    if (entry.address != self_ && held != versions_.end() && version <= held->second)
      ++holders;
  }
  return holders;
}

bool FollowerTracker::is_resend_due(const Address& follower, TimePoint now) {
  return now - map_sent_at_[follower] > map_resend_interval;
}

PlacementUpdate FollowerTracker::update_for(const Address& follower, const PlacementMap& map, TimePoint now) {
  PlacementUpdate update{map, false};
  SentTable& table = tables_[follower];
  bool is_on_its_way = table.sent == map.routing_table_revision && now - table.sent_at < table_resend_interval;
  bool is_confirmed = table.confirmed == map.routing_table_revision;
  if (map.routing_table_revision != 0 && (is_confirmed || is_on_its_way)) {
    update.map.routing_table.clear();
    update.omits_routing_table = true;
  } else {
    table.sent = map.routing_table_revision;
    table.sent_at = now;
  }
  return update;
}

}  // namespace emberdale
