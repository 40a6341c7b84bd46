// The JSON documents that the operators' interface shows, built from the state of a control daemon.
#pragma once
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "emberdale/control_daemon.hpp"
#include "emberdale/peer_connections.hpp"

namespace emberdale {

// A selection of resources: all of one kind, or the one with that name.
struct ResourceSelector {
  std::string kind, name;  // no name: all
  bool selects_one() const { return !name.empty(); }
  bool matches(const Resource& resource) const {
    return resource.kind == kind && (name.empty() || resource.name == name);
  }
};

nlohmann::json health_document(const ControlDaemon& daemon);
nlohmann::json events_document(const EventJournal& journal);
nlohmann::json resource_document(const Resource& resource);
nlohmann::json fleet_document(const ControlDaemon& daemon, const ViewResponse& view, TimePoint now);
// One line of a watch: the selected resources, and where each of them is applied.
nlohmann::json watch_document(const ResourceSelector& selector, const FleetState& state, const ViewResponse& view);
// The counters of /metrics, without those of the process around the daemon but for its invariants.
std::map<std::string, std::int64_t> control_counters(ControlDaemon& daemon, const PeerConnections& connections,
                                                     TimePoint now);

}  // namespace emberdale
