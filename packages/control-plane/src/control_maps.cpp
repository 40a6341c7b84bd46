// Placement maps at a control daemon: who is in them, when they are published, how they reach followers.
#include <algorithm>

#include "emberdale/control_daemon.hpp"

namespace emberdale {
namespace {

constexpr Duration alive_timeout{2000};
constexpr Duration load_pace{500}, placement_pace{40};
constexpr Duration routing_table_resend_interval{
    2000};  // rows of the traffic table that were sent and not confirmed are sent again

}  // namespace

std::vector<std::string> ControlDaemon::live_edges(const ZoneName& zone, TimePoint now) const {
  std::vector<std::string> names;
  if (is_edge() && settings_.self.zone == zone)
    names.push_back(settings_.self.address.text);
  // Under a master the map says who lives; else whoever answered the last pings.
  if (!election_.master().empty() && map_.version.term == election_.term()) {
    for (const auto& edge : map_.edges)
      if (edge.zone == zone && edge.daemon != settings_.self.address)
        names.push_back(edge.daemon.text);
    return names;
  }
  for (const auto& [address, known] : known_)
    if (known.entry.role == DaemonRole::edge && known.entry.zone == zone && now - known.heard <= alive_timeout)
      names.push_back(address.text);
  return names;
}

std::vector<DaemonStatus> ControlDaemon::in_force(TimePoint now) const {
  std::vector<DaemonStatus> reports;
  for (const auto& [address, entry] : in_force_) {
    reports.push_back(entry.first);
    reports.back().age_ms = (now - entry.second).value;
  }
  return reports;
}

std::vector<GatewayRow> ControlDaemon::gateways(TimePoint now) const {
  std::map<Address, GatewayRow> rows;
  // A new master has heard of no one yet: for a moment the old map's word stands.
  if (now - published_at_ < Duration{2500} || map_.version.term != election_.term())
    for (const auto& row : map_.gateways)
      rows[row.daemon] = row;
  for (const auto& [address, entry] : in_force_) {
    const DaemonEntry& daemon = entry.first.daemon;
    bool is_gone = entry.first.is_draining || (settings_.reads_runner_list && entry.first.version == MapVersion{});
    if (now - entry.second <= Duration{3000} && !is_gone)
      rows[address] = {address, daemon.http_address, daemon.zone, daemon.region};
    else
      rows.erase(address);
  }
  std::vector<GatewayRow> list;
  for (auto& [address, row] : rows)
    list.push_back(std::move(row));
  return list;
}

// The edge daemons that follow now, with this master among them.
std::vector<GatewayRow> ControlDaemon::followers_alive(TimePoint now) const {
  std::vector<GatewayRow> rows;
  for (const auto& entry : proposer_.state().roster) {
    auto heard = election_.followers().find(entry.address);
    bool is_alive = entry.address == settings_.self.address ||
                    (heard != election_.followers().end() && now - heard->second <= alive_timeout);
    if (is_alive)
      rows.push_back({entry.address, entry.http_address, entry.zone, entry.region});
  }
  return rows;
}

void ControlDaemon::publish(TimePoint now, bool is_due) {
  if (!election_.is_master() || edits_.is_open() || !proposer_.has_state() || is_resuming(now))
    return;
  const FleetState& state = proposer_.state();
  if (state.term != election_.term() || state.master != settings_.self.address)
    return;
  std::int64_t last = map_.version.term == state.term ? map_.version.number : 0;
  bool must_cover = map_.version < state.minimum_version;
  // A number that an edit has tried for stands for that edit alone, in force or not.
  if (edits_.attempted_minimum_version().term == state.term && !must_cover)
    last = std::max(last, edits_.attempted_minimum_version().number);
  MapVersion version{state.term, must_cover ? state.minimum_version.number : last + 1};
  auto statuses = runner_health_monitor_.statuses();
  if (settings_.reads_runner_list) {
    // Until the list has been read in this term, what the last map said stands.
    if (!runner_list_.is_known() && !map_.runners.empty() && !must_cover)
      return;
    for (const auto& zone : map_.evacuated_zones) {
      bool is_evacuated = std::any_of(configuration_.orders.begin(), configuration_.orders.end(),
                                      [&](const auto& order) { return order.zone == zone && order.is_evacuated; });
      if (!is_evacuated)
        runner_list_.zone_taken_back(zone, now);
    }
    runner_list_.fill(statuses, route_pools_, now);
  }
  PlacementMap fresh = compute_map(
      state, placed_configuration(), statuses, gateways(now), followers_alive(now), version,
      [this, now](const RunnerRow& row, const std::vector<std::string>& near, const std::vector<std::string>& all) {
        // Work that is bound to a region is brought there by daemons of all regions.
        return warmup_shares_.share(row, settings_.reads_runner_list ? all : near, all, now);
      });
  fresh.routing_table_revision = routing_table_rows_.empty() ? 0 : routing_table_revision_;
  for (const auto& row : fresh.runners)
    if (row.state == RunnerState::warm)
      warmup_shares_.forget(row.name);
  if (!must_cover) {
    MapChange change = compare_maps(map_, fresh);
    if (change == MapChange::none)
      return;
    if (!is_due && now - published_at_ < (change == MapChange::load ? load_pace : placement_pace))
      return;
  }
  published_at_ = now;
  ++counts_.maps_published;
  fresh.routing_table = routing_table_rows_;
  map_ = std::move(fresh);
  election_.set_version(map_.version);
  if (on_publish)
    on_publish(map_);
  slices_.on_map(map_, now);
  for (const auto& entry : state.roster)
    if (entry.address != settings_.self.address) {
      map_resent_[entry.address] = now;
      send_map(entry.address, now);
    }
  settle_edits(now);
}

PlacementMap ControlDaemon::with_rows(PlacementMap map) const {
  map.routing_table = map_.routing_table;
  return map;
}

// The table's rows go along only where they are not yet: a table may be far larger than all else in the map.
void ControlDaemon::send_map(const Address& to, TimePoint now) {
  PlacementUpdate update{map_, false};
  auto& traffic = follower_routing_tables_[to];
  bool is_on_its_way =
      traffic.sent == map_.routing_table_revision && now - traffic.sent_at < routing_table_resend_interval;
  if (map_.routing_table_revision != 0 && (traffic.known == map_.routing_table_revision || is_on_its_way)) {
    update.map.routing_table.clear();
    update.omits_routing_table = true;
  } else {
    traffic.sent = map_.routing_table_revision;
    traffic.sent_at = now;
  }
  out_.push_back({to, std::move(update)});
}

void ControlDaemon::take_map(const PlacementMap& map, TimePoint now) {
  ++counts_.maps_taken;
  if (map.config_revision != map_.config_revision || map.version.term != map_.version.term)
    note(now, "map", show(map.version) + " config " + std::to_string(map.config_revision));
  map_ = map;
  election_.set_version(map_.version);
  slices_.on_map(map_, now);
}

void ControlDaemon::send_heartbeat(TimePoint now) {
  if (election_.phase() != MasterElection::Phase::following)
    return;
  heartbeat_next_ = now + settings_.election.heartbeat_interval;
  Heartbeat heartbeat;
  heartbeat.sender = settings_.self;
  heartbeat.term = election_.term();
  heartbeat.acknowledged_timestamp = election_.acknowledged_timestamp(now);
  heartbeat.version = map_.version;
  heartbeat.routing_table_revision = map_.routing_table_revision;
  heartbeat.runner_statuses = runner_health_monitor_.reports(now);
  heartbeat.daemon_statuses = slices_.subscriber_statuses(now);
  heartbeat.master_timestamp = election_.master_timestamp();
  heartbeat.sent_at = now.value;
  out_.push_back({election_.master(), std::move(heartbeat)});
}

// The table's rows are cut once for each configuration.
void ControlDaemon::observe_routing_table() {
  std::string document = routing_table_document_of(proposer_.state());
  if (document == routing_table_text_)
    return;
  routing_table_text_ = document;
  routing_table_revision_ = proposer_.state().config_revision;
  routing_table_rows_.clear();
  route_pools_.clear();
  if (document.empty())
    return;
  for (auto& [key, body] : split_routing_table(document)) {
    if (key.rfind("pool/", 0) == 0)
      if (auto pool = read_route_pool(body))
        route_pools_[pool->name] = *pool;
    routing_table_rows_.push_back({key, {std::move(body)}});
  }
}

const RoutePool* ControlDaemon::route_pool(const PoolName& pool) const {
  auto found = route_pools_.find(pool);
  return found == route_pools_.end() ? nullptr : &found->second;
}

// The configuration with the runners of the outside list: at the master from the list, elsewhere from its map.
Configuration ControlDaemon::placed_configuration() const {
  Configuration placed = configuration_;
  if (!settings_.reads_runner_list)
    return placed;
  if (election_.is_master() && runner_list_.is_known()) {
    placed.runners = runner_list_.entries();
    return placed;
  }
  placed.runners.clear();
  for (const auto& row : map_.runners) {
    RunnerEntry entry;
    entry.name = row.name;
    entry.http = row.http_address;
    entry.pool = row.pool;
    entry.zone = row.zone;
    entry.region = row.region;
    entry.is_leaving = row.state == RunnerState::draining;
    placed.runners.push_back(std::move(entry));
  }
  return placed;
}

void ControlDaemon::on_runner_list(std::optional<std::vector<ListedRunner>> runners, TimePoint begun, TimePoint now) {
  if (!runners)
    return runner_list_.failed();
  if (!election_.is_master())
    return;
  runner_list_.take(std::move(*runners), begun, now);
  publish(now, false);
  collect(now);
}

void ControlDaemon::on_probe(const RunnerStatus& status, TimePoint now) {
  bool is_new = runner_health_monitor_.on_probe(status, now);
  if (is_new)
    note(now, "runner", status.name.text + (status.is_reachable ? status.is_warming_up ? " cold" : " warm" : " down"));
  if (election_.is_master()) {
    publish(now, false);
  } else if (is_new) {
    send_heartbeat(now);
  }
  collect(now);
}

}  // namespace emberdale
