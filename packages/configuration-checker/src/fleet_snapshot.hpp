// A snapshot of the fleet: its documents and its state, fetched from the control daemons or saved in a file.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

struct FleetSnapshot {
  std::vector<Resource> resources;
  nlohmann::json fleet = nlohmann::json::object();  // as /v1/fleet gives it
};

// Fetches a snapshot. `addresses`: IP:PORT of control daemons with commas between them, tried in turn for each part;
// nothing if none of them responds. Blocks the calling thread.
std::optional<FleetSnapshot> fetch_snapshot(const std::string& addresses);

// The text of a saved snapshot, and back; nothing if the text is no snapshot.
std::string snapshot_text(const FleetSnapshot& snapshot);
std::optional<FleetSnapshot> parse_snapshot(const std::string& text);

}  // namespace emberdale
