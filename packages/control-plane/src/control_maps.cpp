// Placement maps at a control daemon: who is in them, when they are published, how they reach followers.
#include <algorithm>

#include "emberdale/control_daemon.hpp"

namespace emberdale {
namespace {

constexpr Span alive_span{2000};
constexpr Span load_pace{500}, placement_pace{40};
constexpr Span traffic_again{2000};  // rows of the traffic table that were sent and not confirmed are sent again

}  // namespace

std::vector<std::string> ControlDaemon::live_edges(const ZoneName& zone, Moment now) const {
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
    if (known.entry.role == "edge" && known.entry.zone == zone && now - known.heard <= alive_span)
      names.push_back(address.text);
  return names;
}

std::vector<InForce> ControlDaemon::in_force(Moment now) const {
  std::vector<InForce> reports;
  for (const auto& [address, entry] : in_force_) {
    reports.push_back(entry.first);
    reports.back().age = (now - entry.second).value;
  }
  return reports;
}

std::vector<GatewayRow> ControlDaemon::gateways(Moment now) const {
  std::map<Address, GatewayRow> rows;
  // A new master has heard of no one yet: for a moment the old map's word stands.
  if (now - published_at_ < Span{2500} || map_.version.term != election_.term())
    for (const auto& row : map_.gateways)
      rows[row.daemon] = row;
  for (const auto& [address, entry] : in_force_) {
    const DaemonEntry& daemon = entry.first.daemon;
    bool is_gone = entry.first.leaving || (settings_.reads_runner_list && entry.first.version == MapVersion{});
    if (now - entry.second <= Span{3000} && !is_gone)
      rows[address] = {address, daemon.http, daemon.zone, daemon.region};
    else
      rows.erase(address);
  }
  std::vector<GatewayRow> list;
  for (auto& [address, row] : rows)
    list.push_back(std::move(row));
  return list;
}

// The edge daemons that follow now, with this master among them.
std::vector<GatewayRow> ControlDaemon::followers_alive(Moment now) const {
  std::vector<GatewayRow> rows;
  for (const auto& entry : proposer_.state().roster) {
    auto heard = election_.followers().find(entry.address);
    bool is_alive = entry.address == settings_.self.address ||
                    (heard != election_.followers().end() && now - heard->second <= alive_span);
    if (is_alive)
      rows.push_back({entry.address, entry.http, entry.zone, entry.region});
  }
  return rows;
}

void ControlDaemon::publish(Moment now, bool is_due) {
  if (!election_.is_master() || edits_.is_open() || !proposer_.has_state() || is_resuming(now))
    return;
  const FleetState& state = proposer_.state();
  if (state.term != election_.term() || state.master != settings_.self.address)
    return;
  Integer last = map_.version.term == state.term ? map_.version.number : 0;
  bool must_cover = map_.version < state.minimum_version;
  // A number that an edit has tried for stands for that edit alone, in force or not.
  if (edits_.attempted_minimum_version().term == state.term && !must_cover)
    last = std::max(last, edits_.attempted_minimum_version().number);
  MapVersion version{state.term, must_cover ? state.minimum_version.number : last + 1};
  auto statuses = runner_watch_.statuses();
  if (settings_.reads_runner_list) {
    // Until the list has been read in this term, what the last map said stands.
    if (!runner_list_.is_known() && !map_.runners.empty() && !must_cover)
      return;
    for (const auto& zone : map_.emptied) {
      bool is_emptied = std::any_of(configuration_.orders.begin(), configuration_.orders.end(),
                                    [&](const auto& order) { return order.zone == zone && order.is_emptied; });
      if (!is_emptied)
        runner_list_.zone_taken_back(zone, now);
    }
    runner_list_.fill(statuses, traffic_pools_, now);
  }
  PlacementMap fresh = compute_map(
      state, placed_configuration(), statuses, gateways(now), followers_alive(now), version,
      [this, now](const RunnerRow& row, const std::vector<std::string>& near, const std::vector<std::string>& all) {
        // Work that is bound to a region is brought there by daemons of all regions.
        return cold_shares_.share(row, settings_.reads_runner_list ? all : near, all, now);
      });
  fresh.traffic_of = traffic_rows_.empty() ? 0 : traffic_of_;
  for (const auto& row : fresh.runners)
    if (row.status == "warm")
      cold_shares_.forget(row.name);
  if (!must_cover) {
    MapChange change = compare_maps(map_, fresh);
    if (change == MapChange::none)
      return;
    if (!is_due && now - published_at_ < (change == MapChange::load ? load_pace : placement_pace))
      return;
  }
  published_at_ = now;
  ++counts_.maps_published;
  fresh.traffic = traffic_rows_;
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
  map.traffic = map_.traffic;
  return map;
}

// The table's rows go along only where they are not yet: a table may be far larger than all else in the map.
void ControlDaemon::send_map(const Address& to, Moment now) {
  MapNews news{map_, false};
  auto& traffic = follower_traffic_[to];
  bool is_on_its_way = traffic.sent == map_.traffic_of && now - traffic.sent_at < traffic_again;
  if (map_.traffic_of != 0 && (traffic.known == map_.traffic_of || is_on_its_way)) {
    news.map.traffic.clear();
    news.lacks_traffic = true;
  } else {
    traffic.sent = map_.traffic_of;
    traffic.sent_at = now;
  }
  out_.push_back({to, std::move(news)});
}

void ControlDaemon::take_map(const PlacementMap& map, Moment now) {
  ++counts_.maps_taken;
  if (map.config_revision != map_.config_revision || map.version.term != map_.version.term)
    note(now, "map", show(map.version) + " config " + std::to_string(map.config_revision));
  map_ = map;
  election_.set_version(map_.version);
  slices_.on_map(map_, now);
}

void ControlDaemon::send_follow(Moment now) {
  if (election_.phase() != MasterElection::Phase::following)
    return;
  follow_next_ = now + settings_.election.follow;
  Follow follow;
  follow.sender = settings_.self;
  follow.term = election_.term();
  follow.acknowledgement = election_.acknowledgement(now);
  follow.version = map_.version;
  follow.traffic_of = map_.traffic_of;
  follow.statuses = runner_watch_.reports(now);
  follow.in_force = slices_.in_force(now);
  follow.stamp = election_.master_stamp();
  follow.sent = now.value;
  out_.push_back({election_.master(), std::move(follow)});
}

// The table's rows are cut once for each configuration.
void ControlDaemon::see_traffic() {
  std::string document = traffic_document_of(proposer_.state());
  if (document == traffic_text_)
    return;
  traffic_text_ = document;
  traffic_of_ = proposer_.state().config_revision;
  traffic_rows_.clear();
  traffic_pools_.clear();
  if (document.empty())
    return;
  for (auto& [key, body] : split_traffic_table(document)) {
    if (key.rfind("pool/", 0) == 0)
      if (auto pool = read_traffic_pool(body))
        traffic_pools_[pool->name] = *pool;
    traffic_rows_.push_back({key, {std::move(body)}});
  }
}

const TrafficPool* ControlDaemon::traffic_pool(const PoolName& pool) const {
  auto found = traffic_pools_.find(pool);
  return found == traffic_pools_.end() ? nullptr : &found->second;
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
    entry.http = row.http;
    entry.pool = row.pool;
    entry.zone = row.zone;
    entry.region = row.region;
    entry.is_leaving = row.status == "leaving";
    placed.runners.push_back(std::move(entry));
  }
  return placed;
}

void ControlDaemon::on_runner_list(std::optional<std::vector<ListedRunner>> runners, Moment begun, Moment now) {
  if (!runners)
    return runner_list_.failed();
  if (!election_.is_master())
    return;
  runner_list_.take(std::move(*runners), begun, now);
  publish(now, false);
  collect(now);
}

void ControlDaemon::on_probe(const RunnerStatus& status, Moment now) {
  bool is_new = runner_watch_.on_probe(status, now);
  if (is_new)
    note(now, "runner", status.name.text + (status.answers ? status.cold ? " cold" : " warm" : " down"));
  if (election_.is_master()) {
    publish(now, false);
  } else if (is_new) {
    send_follow(now);
  }
  collect(now);
}

}  // namespace emberdale
