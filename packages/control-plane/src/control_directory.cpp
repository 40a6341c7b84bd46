// Where clients are sent to: the ready data daemons that a control daemon knows.
#include <algorithm>

#include "emberdale/control_daemon.hpp"

namespace emberdale {
namespace {

constexpr Duration front_silence{1300};  // a data daemon that has been silent for longer is not named at first hand
// The map's word on daemons that do not subscribe here counts for so long after a quorum last followed its master:
// longer than an election takes. Afterwards only those who subscribe here are named.
constexpr Duration map_trust{10000};

// What one subscriber's last word makes of it.
enum class FrontStanding { ready, not_ready, unknown };

FrontStanding standing_of(const DaemonStatus& report) {
  if (report.is_draining)
    return FrontStanding::not_ready;
  if (report.age_ms <= front_silence.value)
    return report.version != MapVersion{} ? FrontStanding::ready : FrontStanding::not_ready;
  return report.age_ms <= map_trust.value ? FrontStanding::not_ready : FrontStanding::unknown;
}

}  // namespace

std::map<Address, GatewayRow> ControlDaemon::fronts_of_map(const std::vector<DaemonStatus>& subscribers,
                                                           TimePoint now) const {
  std::map<Address, GatewayRow> rows;
  if (now - slices_.master_heard_at() > map_trust)
    return rows;
  std::set<ZoneName> known_at_first_hand = zones_served_here_alone(subscribers, now);
  for (const auto& row : map_.gateways)
    if (known_at_first_hand.count(row.zone) == 0)
      rows[row.daemon] = row;
  return rows;
}

// Where a zone's own control daemons are silent, its data daemons subscribe elsewhere: if some do so here, all that
// live do, and the map's word on the others is old.
std::set<ZoneName> ControlDaemon::zones_served_here_alone(const std::vector<DaemonStatus>& subscribers,
                                                          TimePoint now) const {
  std::set<ZoneName> zones;
  for (const auto& report : subscribers)
    if (report.age_ms <= front_silence.value)
      zones.insert(report.daemon.zone);
  zones.erase(settings_.self.zone);
  for (const auto& [address, known] : known_)
    if (known.entry.role == DaemonRole::edge && now - known.heard <= front_silence)
      zones.erase(known.entry.zone);
  return zones;
}

// Who subscribes here is known at first hand; of the others the map tells.
std::vector<GatewayRow> ControlDaemon::ready_fronts(TimePoint now) const {
  std::vector<DaemonStatus> subscribers = slices_.subscriber_statuses(now);
  std::map<Address, GatewayRow> rows = fronts_of_map(subscribers, now);
  for (const auto& report : subscribers) {
    const DaemonEntry& daemon = report.daemon;
    FrontStanding standing = standing_of(report);
    if (standing == FrontStanding::ready)
      rows[daemon.address] = {daemon.address, daemon.http_address, daemon.zone, daemon.region};
    else if (standing == FrontStanding::not_ready)
      rows.erase(daemon.address);
  }
  std::vector<GatewayRow> ready;
  for (auto& [address, row] : rows)
    if (!row.http_address.empty())
      ready.push_back(std::move(row));
  return ready;
}

std::vector<std::string> ControlDaemon::front_addresses(const RegionName& region, const ZoneName& zone,
                                                        std::size_t most, TimePoint now) {
  notice_pause(now);
  std::vector<std::string> near, around, others;
  for (const auto& row : ready_fronts(now))
    (row.zone == zone ? near : row.region == region ? around : others).push_back(row.http_address);
  // One daemon alone would have nobody to stand in for it.
  if (near.size() < 2)
    near.insert(near.end(), around.begin(), around.end());
  if (near.size() < 2)
    near.insert(near.end(), others.begin(), others.end());
  for (std::size_t i = near.size(); i > 1; --i)
    std::swap(near[i - 1], near[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(i)))]);
  if (near.size() > most)
    near.resize(most);
  return near;
}

}  // namespace emberdale
