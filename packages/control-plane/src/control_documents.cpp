#include "control_documents.hpp"

#include "emberdale/invariants.hpp"
#include "emberdale/json_text.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t silent_age_ms = 3000;  // a data daemon whose report is older counts as silent

Json json_or_text(const std::string& body) {
  Json parsed = Json::parse(body, nullptr, false);
  return parsed.is_discarded() ? Json(body) : parsed;
}

Json daemon_document(const DaemonEntry& entry) {
  return {{"address", entry.address.text},
          {"http", entry.http_address},
          {"role", to_string(entry.role)},
          {"zone", entry.zone.text},
          {"region", entry.region.text}};
}

const char* const pending_state = "pending";

// Whether a data daemon has applied that revision; `pending`: it may still send requests by an older one.
std::string applied_state(const DaemonStatus& report, std::int64_t revision) {
  if (report.config_revision >= revision)
    return "in_force";
  if (report.age_ms > silent_age_ms)
    return "silent";
  return report.has_grant ? pending_state : "not_serving";
}

Json applied_document(const DaemonStatus& report, std::int64_t revision) {
  return {{"daemon", report.daemon.address.text},      {"zone", report.daemon.zone.text},
          {"state", applied_state(report, revision)},  {"map_version", show(report.version)},
          {"config_revision", report.config_revision}, {"age_ms", report.age_ms}};
}

Json applied_documents(const std::vector<DaemonStatus>& reports, std::int64_t revision) {
  Json documents = Json::array();
  for (const auto& report : reports)
    documents.push_back(applied_document(report, revision));
  return documents;
}

// Applied everywhere: no data daemon that may still send requests does so by an older plan.
bool is_applied_everywhere(const std::vector<DaemonStatus>& reports, std::int64_t revision) {
  for (const auto& report : reports)
    if (applied_state(report, revision) == pending_state)
      return false;
  return !reports.empty();
}

// Without what changes from report to report, so that a watch sends a line only when something has changed.
Json steady_applied_documents(const std::vector<DaemonStatus>& reports, std::int64_t revision) {
  Json documents = applied_documents(reports, revision);
  for (auto& document : documents) {
    document.erase("age_ms");
    document.erase("map_version");
  }
  return documents;
}

Json acceptor_documents(const std::vector<AcceptorEntry>& acceptors) {
  Json documents = Json::array();
  for (const auto& entry : acceptors)
    documents.push_back({{"store", entry.store.text}, {"address", entry.address.text}});
  return documents;
}

Json daemon_documents(const std::vector<DaemonEntry>& entries) {
  Json documents = Json::array();
  for (const auto& entry : entries)
    documents.push_back(daemon_document(entry));
  return documents;
}

Json zone_documents(const std::vector<ZoneName>& zones) {
  Json documents = Json::array();
  for (const auto& zone : zones)
    documents.push_back(zone.text);
  return documents;
}

Json gateway_documents(const std::vector<GatewayRow>& gateways) {
  Json documents = Json::array();
  for (const auto& row : gateways)
    documents.push_back({{"http", row.http_address}, {"zone", row.zone.text}, {"region", row.region.text}});
  return documents;
}

Json region_documents(const std::vector<RegionRow>& regions) {
  Json documents = Json::array();
  for (const auto& row : regions)
    documents.push_back({{"pool", row.pool.text},
                         {"region", row.region.text},
                         {"capacity", row.capacity},
                         {"burden", row.load},
                         {"spills", row.spills}});
  return documents;
}

Json runner_document(const RunnerRow& row) {
  Json grants = Json::object();
  for (const auto& grant : row.warmup_grants)
    grants[grant.daemon.text] = grant.requests;
  return {{"name", row.name.text},          {"address", row.http_address}, {"pool", row.pool.text},
          {"zone", row.zone.text},          {"region", row.region.text},   {"status", to_string(row.state)},
          {"incarnation", row.incarnation}, {"capacity", row.capacity},    {"burden", row.load},
          {"cold_grants", grants}};
}

Json runner_documents(const std::vector<RunnerRow>& runners) {
  Json documents = Json::array();
  for (const auto& row : runners)
    documents.push_back(runner_document(row));
  return documents;
}

}  // namespace

Json health_document(const ControlDaemon& daemon) {
  return {{"status", "alive"},
          {"has_register", daemon.proposer().has_state()},
          {"master", daemon.election().master().text},
          {"is_master", daemon.election().is_master()},
          {"map_version", show(daemon.map().version)}};
}

Json events_document(const EventJournal& journal) {
  return journal.fold(Json::array(), [](Json list, const JournalEvent& event) {
    list.push_back(
        {{"number", event.number}, {"at_ms", event.at.value}, {"kind", event.kind}, {"detail", event.detail}});
    return list;
  });
}

Json resource_document(const Resource& resource) {
  return {{"name", resource.name},
          {"version", resource.version},
          {"config_revision", resource.config_revision},
          {"spec", json_or_text(resource.body)}};
}

Json fleet_document(const ControlDaemon& daemon, const ViewResponse& view, TimePoint now) {
  const FleetState& state = daemon.proposer().state();
  Json fleet{{"fleet", state.fleet_name},
             {"state_version", state.version},
             {"config_revision", state.config_revision},
             {"reign", state.term},
             {"master", state.master.text},
             {"map_floor", show(state.minimum_version)},
             {"master_answers", view.from_master},
             {"map_version", show(view.map.version)},
             {"map_config_revision", view.map.config_revision}};
  fleet["state_age_ms"] = (now - daemon.proposer().confirmed_at()).value;
  fleet["acceptors"] = acceptor_documents(state.acceptors);
  if (!state.next_acceptors.empty())
    fleet["next_acceptors"] = acceptor_documents(state.next_acceptors);
  fleet["roster"] = daemon_documents(state.roster);
  fleet["known"] = daemon_documents(daemon.known());
  fleet["daemons"] = applied_documents(view.daemon_statuses, view.map.config_revision);
  fleet["emptied_zones"] = zone_documents(view.map.evacuated_zones);
  fleet["gateways"] = gateway_documents(view.map.gateways);
  fleet["regions"] = region_documents(view.map.regions);
  fleet["runners"] = runner_documents(view.map.runners);
  return fleet;
}

Json watch_document(const ResourceSelector& selector, const FleetState& state, const ViewResponse& view) {
  Json items = Json::array();
  for (const auto& resource : state.resources) {
    if (!selector.matches(resource))
      continue;
    std::int64_t revision = resource.config_revision;
    bool is_in_map = view.from_master && view.is_settled && view.map.config_revision >= revision;
    items.push_back({{"name", resource.name},
                     {"version", resource.version},
                     {"config_revision", revision},
                     {"in_force", is_in_map && is_applied_everywhere(view.daemon_statuses, revision)},
                     {"daemons", steady_applied_documents(view.daemon_statuses, revision)}});
  }
  return {{"kind", selector.kind}, {"master_known", view.from_master}, {"items", items}};
}

std::map<std::string, std::int64_t> control_counters(ControlDaemon& daemon, const PeerConnections& connections,
                                                     TimePoint now) {
  const auto& maps = daemon.counts();
  const auto& reg = daemon.proposer().counts();
  const auto& election = daemon.election().counts();
  const auto& links = connections.counts();
  std::int64_t refused_messages = daemon.proposer().refusals().total();
  if (daemon.acceptor() != nullptr)
    refused_messages += daemon.acceptor()->refusals().total();
  std::map<std::string, std::int64_t> counters{{"maps_published", maps.maps_published},
                                               {"maps_taken", maps.maps_taken},
                                               {"maps_fenced", maps.maps_fenced},
                                               {"edits", daemon.edit_counts().edits},
                                               {"edits_unknown", daemon.edit_counts().unknown},
                                               {"edits_doubled_ids", daemon.edit_counts().conflicting_ids},
                                               {"probes", daemon.probes_made()},
                                               {"enrolled", daemon.membership_counts().enrolled},
                                               {"ghosts_evicted", daemon.membership_counts().dead_members_evicted},
                                               {"messages_in", maps.messages_in},
                                               {"bars_passed", maps.blocks_forwarded},
                                               {"register_rounds", reg.rounds},
                                               {"register_conflicts", reg.conflicts},
                                               {"register_committed", reg.committed},
                                               {"register_unknown", reg.unknown},
                                               {"register_mended", reg.repaired},
                                               {"register_reads", reg.reads},
                                               {"register_deltas", reg.deltas},
                                               {"register_whole_values", reg.whole_values},
                                               {"register_value_bytes", reg.value_bytes},
                                               {"register_refused_messages", refused_messages},
                                               {"election_rounds", election.rounds},
                                               {"election_starved_rounds", election.without_quorum},
                                               {"election_joins_failed", election.joins_failed},
                                               {"election_won", election.elected},
                                               {"election_stepped_down", election.stepped_down},
                                               {"is_master", daemon.election().is_master() ? 1 : 0},
                                               {"reign", daemon.election().term()},
                                               {"link_frames_out", links.frames_out},
                                               {"link_frames_in", links.frames_in},
                                               {"link_frames_dropped", links.frames_dropped},
                                               {"link_bytes_out", links.bytes_out},
                                               {"link_frames_refused", links.refused_frames}};
  for (const auto& [kind, count] : daemon.journal().counts())
    counters["event_" + kind] = count;
  counters["map_term"] = daemon.map().version.term;
  counters["map_number"] = daemon.map().version.number;
  if (auto age = daemon.runner_list_age(now))
    counters["runner_list_age_ms"] = age->value;
  counters.merge(process_invariants().counters());
  return counters;
}

}  // namespace emberdale
