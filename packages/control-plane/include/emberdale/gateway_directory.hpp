// Names the data daemons that clients are sent to: those that are ready, near the client first.
// Without I/O, clock or threads.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "emberdale/duration_histogram.hpp"
#include "emberdale/invariants.hpp"
#include "emberdale/messages.hpp"
#include "emberdale/peer_table.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

// A data daemon that the master has not heard of for longer counts as off.
inline constexpr Duration gateway_timeout{2000};

// What the master knows of the data daemons that the map names, ahead of the map.
struct GatewayReport {
  TimePoint known_at{-100000};  // on the receiver's clock: the master said so then or later
  std::vector<Address> departed;
};

// Identifies the data daemons that a map names and that have not departed.
std::int64_t gateways_digest(const PlacementMap& map, const std::vector<Address>& departed);

// What a control daemon knows of data daemons at that moment.
struct GatewayKnowledge {
  const PlacementMap& map;
  const PeerTable& peers;
  std::vector<DaemonStatus> subscribers;  // the newest report of each data daemon that subscribes here
  const GatewayReport& report;            // the newest of the master
};

class GatewayDirectory {
 public:
  // An answer names nobody of whom nothing was heard for longer.
  static constexpr Duration longest_evidence_age{4000};

  explicit GatewayDirectory(ZoneName zone, InvariantCounters& counters = process_invariants())
      : zone_(std::move(zone)), counters_(&counters) {}

  // The HTTP addresses of at most `limit` ready data daemons, in random order: those of the zone, with fewer than two
  // those of the region as well, and else all. The map counts for data daemons that do not subscribe here, while the
  // master's report on them is fresh enough; when it isn't and nobody subscribes here, none are named.
  std::vector<std::string> addresses(const GatewayKnowledge& knowledge, const RegionName& region, const ZoneName& zone,
                                     std::size_t limit, RandomGenerator& random, TimePoint now);
  // How old the evidence was that a named data daemon runs, for each that was named.
  const DurationHistogram& evidence_ages() const { return evidence_ages_; }

 private:
  // A data daemon that is taken to be ready, and since when nothing was heard of it at most.
  struct ReadyGateway {
    GatewayRow row;
    Duration evidence_age;
  };

  std::vector<ReadyGateway> ready_gateways(const GatewayKnowledge& knowledge, TimePoint now) const;
  std::map<Address, ReadyGateway> gateways_of_map(const GatewayKnowledge& knowledge, TimePoint now) const;
  // Zones whose own control daemons are silent: their data daemons subscribe elsewhere. If some do so here, all that
  // are alive do, and what the map says of the others is old.
  std::set<ZoneName> zones_subscribed_here(const GatewayKnowledge& knowledge, TimePoint now) const;

  ZoneName zone_;  // of this control daemon
  DurationHistogram evidence_ages_;
  InvariantCounters* counters_;
};

}  // namespace emberdale
