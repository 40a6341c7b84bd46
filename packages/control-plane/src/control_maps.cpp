// Control daemon: placement maps. What is in them, when they are published, and how they reach followers.
#include <algorithm>

#include "emberdale/control_daemon.hpp"

namespace emberdale {
namespace {

constexpr Duration load_interval{500};      // between two maps that differ in loads alone
constexpr Duration placement_interval{40};  // between two maps that differ in placement
// For so long a new master, which may not have heard of all data daemons yet, names those that the map before named.
constexpr Duration inherited_gateways_timeout{2500};
// A daemon reads the list by itself when what it knows of it is older. In calm times the master's readings come sooner.
constexpr Duration stale_reading_age{1700};
// Of the evidence that a data daemon named by the directory runs: a new maximum is recorded as an event.
constexpr Duration shortest_recorded_evidence_age{1000}, evidence_age_step{200};

ListReading list_reading(const std::vector<ListedRunner>& runners, TimePoint begun) {
  ListReading reading;
  reading.begun_at = begun;
  for (const auto& runner : runners)
    if (!runner.name.empty())
      (runner.is_leaving ? reading.draining : reading.in_service).insert(runner.name);
  return reading;
}

GatewayRow gateway_row(const DaemonEntry& entry) {
  return {entry.address, entry.http_address, entry.zone, entry.region};
}

}  // namespace

std::vector<std::string> ControlDaemon::live_edges(const ZoneName& zone, TimePoint now) const {
  std::vector<std::string> names;
  if (is_edge() && settings_.self.zone == zone)
    names.push_back(settings_.self.address.text);
  // Under a master its map says who is alive; else whoever answered the last pings.
  bool has_masters_map = !election_.master().empty() && map_.version.term == election_.term();
  if (has_masters_map) {
    for (const auto& edge : map_.edges)
      if (edge.zone == zone && edge.daemon != settings_.self.address)
        names.push_back(edge.daemon.text);
    return names;
  }
  for (const auto& [address, peer] : peers_.all())
    if (peer.is_edge() && peer.entry.zone == zone && peer.was_heard_within(peer_alive_timeout, now))
      names.push_back(address.text);
  return names;
}

bool ControlDaemon::inherits_gateways(TimePoint now) const {
  return now - lease_.leading_since() < inherited_gateways_timeout || map_.version.term != election_.term();
}

std::vector<GatewayRow> ControlDaemon::live_gateways(TimePoint now) const {
  std::map<Address, GatewayRow> rows;
  if (inherits_gateways(now))
    for (const auto& row : map_.gateways)
      rows[row.daemon] = row;
  for (const auto& [address, received] : daemon_statuses_.all()) {
    const DaemonStatus& status = received.status;
    bool has_no_map = settings_.reads_runner_list && status.version == MapVersion{};
    bool is_serving = !status.is_draining && !has_no_map;
    if (now - received.reported_at <= gateway_timeout && is_serving)
      rows[address] = gateway_row(status.daemon);
    else
      rows.erase(address);
  }
  std::vector<GatewayRow> list;
  for (auto& [address, row] : rows)
    list.push_back(std::move(row));
  return list;
}

// The edge daemons of the roster that follow now, with this master among them.
std::vector<GatewayRow> ControlDaemon::live_followers(TimePoint now) const {
  std::vector<GatewayRow> rows;
  for (const auto& entry : proposer_.state().roster) {
    auto heard = election_.followers().find(entry.address);
    bool follows = heard != election_.followers().end() && now - heard->second <= peer_alive_timeout;
    if (entry.address == settings_.self.address || follows)
      rows.push_back(gateway_row(entry));
  }
  return rows;
}

bool ControlDaemon::may_publish(TimePoint now) const {
  if (!election_.is_master() || !proposer_.has_state() || is_resuming(now))
    return false;
  const FleetState& state = proposer_.state();
  bool leads_by_state = state.term == election_.term() && state.master == settings_.self.address;
  return leads_by_state && (!edits_.is_open() || has_number_beside_open_write());
}

// While a write is open, what it may change is not known. Maps go on to be published from the state before it, with
// numbers below the one that was reserved for the map that covers it: they never pass for that map.
bool ControlDaemon::has_number_beside_open_write() const {
  const FleetState& state = proposer_.state();
  const MapVersion& reserved = edits_.attempted_minimum_version();
  bool covers_state = map_.version.term == state.term && state.minimum_version <= map_.version;
  bool is_reserved = reserved.term == state.term && state.minimum_version < reserved;
  return covers_state && is_reserved && map_.version.number + 1 < reserved.number;
}

// A map below the minimum version takes just that version: it is the one that covers the last change. Any other takes
// the next number; a number that a change has tried for stands for that change alone, in force or not, and the numbers
// below it are for maps that are published while that is open.
MapVersion ControlDaemon::next_map_version() const {
  const FleetState& state = proposer_.state();
  if (map_.version < state.minimum_version)
    return MapVersion{state.term, state.minimum_version.number};
  std::int64_t last = map_.version.term == state.term ? map_.version.number : 0;
  const MapVersion& attempted = edits_.attempted_minimum_version();
  if (attempted.term == state.term && !edits_.is_open())
    last = std::max(last, attempted.number);
  return MapVersion{state.term, last + 1};
}

// Adds what the list of runners says to the reports of probes. False: the list has not been read in this term yet, and
// what the last map said stands.
bool ControlDaemon::add_listed_runners(std::map<RunnerName, RunnerStatus>& statuses, bool must_cover, TimePoint now) {
  if (!runner_list_.is_known() && !map_.runners.empty() && !must_cover)
    return false;
  for (const auto& zone : map_.evacuated_zones) {
    bool is_evacuated = std::any_of(configuration_.orders.begin(), configuration_.orders.end(),
                                    [&](const auto& order) { return order.zone == zone && order.is_evacuated; });
    if (!is_evacuated)
      runner_list_.zone_taken_back(zone, now);
  }
  runner_list_.fill(statuses, routing_table_.pools(), now);
  return true;
}

PlacementMap ControlDaemon::next_map(const MapVersion& version, std::map<RunnerName, RunnerStatus> statuses,
                                     TimePoint now) {
  auto warmup_share = [this, now](const RunnerRow& row, const std::vector<std::string>& near,
                                  const std::vector<std::string>& all) {
    // Work that is bound to a region is brought there by daemons of all regions.
    return warmup_allocator_.share(row, settings_.reads_runner_list ? all : near, all, now);
  };
  PlacementMap map = compute_map(proposer_.state(), placed_configuration(), statuses, live_gateways(now),
                                 live_followers(now), version, warmup_share);
  map.routing_table_revision = routing_table_.revision();
  for (const auto& row : map.runners)
    if (row.state == RunnerState::warm)
      warmup_allocator_.forget(row.name);
  return map;
}

bool ControlDaemon::is_worth_publishing(const PlacementMap& map, bool is_due, TimePoint now) const {
  MapChange change = compare_maps(map_, map);
  if (change == MapChange::none)
    return false;
  Duration interval = change == MapChange::load ? load_interval : placement_interval;
  return is_due || now - published_at_ >= interval;
}

void ControlDaemon::publish(TimePoint now, bool is_due) {
  if (!may_publish(now))
    return;
  const FleetState& state = proposer_.state();
  bool must_cover = map_.version < state.minimum_version;
  MapVersion version = next_map_version();
  auto statuses = runner_health_monitor_.statuses();
  if (settings_.reads_runner_list && !add_listed_runners(statuses, must_cover, now))
    return;
  PlacementMap map = next_map(version, std::move(statuses), now);
  if (!must_cover && !is_worth_publishing(map, is_due, now))
    return;
  published_at_ = now;
  ++counts_.maps_published;
  map.routing_table = routing_table_.rows();
  map_ = std::move(map);
  election_.set_version(map_.version);
  if (on_publish)
    on_publish(map_);
  slices_.on_map(map_, now);
  for (const auto& entry : state.roster)
    if (entry.address != settings_.self.address) {
      followers_.on_sent(entry.address, now);
      send_map(entry.address, now);
    }
  settle_edits(now);
}

void ControlDaemon::send_map(const Address& to, TimePoint now) {
  out_.push_back({to, followers_.update_for(to, map_, now)});
}

void ControlDaemon::adopt_map(const PlacementMap& map, TimePoint now) {
  ++counts_.maps_taken;
  if (map.config_revision != map_.config_revision || map.version.term != map_.version.term)
    record(now, "map", show(map.version) + " config " + std::to_string(map.config_revision));
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

// The configuration with the runners of service discovery: at the master from the list, elsewhere from its map.
Configuration ControlDaemon::placed_configuration() const {
  Configuration placed = configuration_;
  if (!settings_.reads_runner_list)
    return placed;
  bool has_list = election_.is_master() && runner_list_.is_known();
  placed.runners = has_list ? runner_list_.entries() : runners_of_map();
  return placed;
}

std::vector<RunnerEntry> ControlDaemon::runners_of_map() const {
  std::vector<RunnerEntry> runners;
  for (const auto& row : map_.runners) {
    RunnerEntry entry;
    entry.name = row.name;
    entry.http = row.http_address;
    entry.pool = row.pool;
    entry.zone = row.zone;
    entry.region = row.region;
    entry.is_leaving = row.state == RunnerState::draining;
    runners.push_back(std::move(entry));
  }
  return runners;
}

void ControlDaemon::on_runner_list(std::optional<std::vector<ListedRunner>> runners, TimePoint begun, TimePoint now) {
  list_freshness_.on_reading_ended(runners.has_value(), now);
  if (!runners) {
    draining_runners_.failed();
    return runner_list_.failed();
  }
  availability_.take(list_reading(*runners, begun));
  for (const auto& name : draining_runners_.take(*runners, now))
    record(now, "listed_draining", "runner=" + name.text);
  if (election_.is_master()) {
    runner_list_.take(std::move(*runners), begun, now);
    publish(now, false);
  }
  block_draining_runners(now);
  collect_outbound(now);
}

// What this daemon knows of the list, ahead of the map.
void ControlDaemon::report_availability(const Address& to, std::int64_t request_sent_at, bool lacks_runners,
                                        TimePoint now) {
  if (!settings_.reads_runner_list)
    return;
  AvailabilityReport report = availability_reporter_.report_for(to, request_sent_at, lacks_runners, availability_, now);
  report.knows_gateways = has_confirmed_gateways(now);
  if (report.knows_gateways) {
    report.departed_gateways = departed_gateways(now);
    report.gateways_digest = gateways_digest(map_, report.departed_gateways);
  }
  out_.push_back({to, std::move(report)});
}

// A master that has led for long enough knows of each data daemon whether it runs.
bool ControlDaemon::has_confirmed_gateways(TimePoint now) const {
  return election_.is_master() && has_confirmed_master(now) && !inherits_gateways(now);
}

// Those that the map names, or named not long ago, and that are not alive.
std::vector<Address> ControlDaemon::departed_gateways(TimePoint now) const {
  std::set<Address> live;
  for (const auto& row : live_gateways(now))
    live.insert(row.daemon);
  std::set<Address> departed;
  for (const auto& row : map_.gateways)
    if (live.count(row.daemon) == 0)
      departed.insert(row.daemon);
  for (const auto& [address, received] : daemon_statuses_.all())
    if (live.count(address) == 0)
      departed.insert(address);
  return {departed.begin(), departed.end()};
}

// A daemon that does not lead reads the list when what it knows of it is old, whoever it is that failed to tell it
// more.
bool ControlDaemon::needs_own_reading(bool has_master, TimePoint now) {
  bool is_wanted = !map_.runners.empty() || !slices_.subscribers().empty();
  if (!is_wanted) {
    reading_wanted_since_.reset();
    return false;
  }
  if (!reading_wanted_since_)
    reading_wanted_since_ = now;
  auto age = availability_.current().age(now);
  if (age)
    return *age >= stale_reading_age;
  return !has_master || now - *reading_wanted_since_ >= stale_reading_age;
}

bool ControlDaemon::begin_list_read(TimePoint now) {
  if (!settings_.reads_runner_list)
    return false;
  bool has_master = has_confirmed_master(now);
  bool leads = has_master && election_.is_master();
  list_freshness_.on_timer(leads, now);
  bool is_due =
      leads ? runner_list_.is_read_due(now) : needs_own_reading(has_master, now) && draining_runners_.is_read_due(now);
  if (is_due)
    list_freshness_.on_reading_begun(now);
  return is_due;
}

// The master that leads reads the list for all.
bool ControlDaemon::has_confirmed_master(TimePoint now) const {
  TimePoint confirmed_at = election_.is_master() ? election_.quorum_confirmed_at(now) : election_.master_confirmed_at();
  return now - confirmed_at <= list_quorum_age;
}

// Each daemon tells the data daemons near it, and the master asks the others to do the same: those hear of a confirmed
// master and do not read the list.
void ControlDaemon::block_draining_runners(TimePoint now) {
  for (const auto& runner : draining_runners_.due_blocks(map_, now)) {
    DispatchBlock block = draining_block(runner);
    ++counts_.blocks_forwarded;
    for (auto& outbound : block_near(block, map_, slices_.subscribers(), settings_.self.zone))
      out_.push_back(std::move(outbound));
    if (!election_.is_master())
      continue;
    for (auto& outbound : block_relayed(block, map_, peers_, settings_.self.address))
      out_.push_back(std::move(outbound));
  }
}

void ControlDaemon::on_probe(const RunnerStatus& status, TimePoint now) {
  bool is_new = runner_health_monitor_.on_probe(status, now);
  if (is_new) {
    const char* condition = !status.is_reachable ? " down" : status.is_warming_up ? " cold" : " warm";
    record(now, "runner", status.name.text + condition);
  }
  if (election_.is_master())
    publish(now, false);
  else if (is_new)
    send_heartbeat(now);
  collect_outbound(now);
}

std::vector<std::string> ControlDaemon::gateway_addresses(const RegionName& region, const ZoneName& zone,
                                                          std::size_t limit, TimePoint now) {
  detect_pause(now);
  if (has_confirmed_gateways(now))
    gateway_report_ = GatewayReport{now, departed_gateways(now)};
  GatewayKnowledge knowledge{map_, peers_, slices_.subscriber_statuses(now), gateway_report_};
  auto addresses = gateway_directory_.addresses(knowledge, region, zone, limit, random_, now);
  Duration worst = gateway_directory_.evidence_ages().maximum();
  if (worst >= shortest_recorded_evidence_age && worst >= recorded_evidence_age_ + evidence_age_step) {
    recorded_evidence_age_ = worst;
    record(now, "worst_gateway_evidence_age", "ms=" + std::to_string(worst.value));
  }
  return addresses;
}

}  // namespace emberdale
