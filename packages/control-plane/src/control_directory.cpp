// Where clients are sent to: the ready data daemons that a control daemon knows.
#include <algorithm>

#include "emberdale/control_daemon.hpp"

namespace emberdale {
namespace {

constexpr Span front_silence{1300};

}  // namespace

std::vector<std::string> ControlDaemon::front_addresses(const RegionName& region, const ZoneName& zone,
                                                        std::size_t most, Moment now) {
  // Who subscribes here is known at first hand; of the others the map tells.
  std::map<Address, GatewayRow> rows;
  for (const auto& row : map_.gateways)
    rows[row.daemon] = row;
  for (const auto& report : slices_.in_force(now)) {
    const DaemonEntry& daemon = report.daemon;
    bool is_ready = !report.leaving && report.version != MapVersion{} && report.age <= front_silence.value;
    if (is_ready)
      rows[daemon.address] = {daemon.address, daemon.http, daemon.zone, daemon.region};
    else if (report.leaving || report.age <= 10 * front_silence.value)
      rows.erase(daemon.address);
  }
  // Where a zone's own control daemons are silent, its data daemons subscribe elsewhere: if some do so here, all that
  // live do, and the map's word on the others is old.
  std::set<ZoneName> heard_zones, homed_zones{settings_.self.zone};
  for (const auto& report : slices_.in_force(now))
    if (report.age <= front_silence.value)
      heard_zones.insert(report.daemon.zone);
  for (const auto& [address, known] : known_)
    if (known.entry.role == "edge" && now - known.heard <= front_silence)
      homed_zones.insert(known.entry.zone);
  std::set<Address> heard;
  for (const auto& report : slices_.in_force(now))
    if (report.age <= front_silence.value)
      heard.insert(report.daemon.address);
  std::vector<std::string> near, around, all;
  for (const auto& [address, row] : rows) {
    bool is_unheard = heard_zones.count(row.zone) != 0 && homed_zones.count(row.zone) == 0 && heard.count(address) == 0;
    if (row.http.empty() || is_unheard)
      continue;
    (row.zone == zone ? near : row.region == region ? around : all).push_back(row.http);
  }
  // One daemon alone would have nobody to stand in for it.
  if (near.size() < 2)
    near.insert(near.end(), around.begin(), around.end());
  if (near.size() < 2)
    near.insert(near.end(), all.begin(), all.end());
  for (std::size_t i = near.size(); i > 1; --i)
    std::swap(near[i - 1], near[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(i)))]);
  if (near.size() > most)
    near.resize(most);
  return near;
}

}  // namespace emberdale
