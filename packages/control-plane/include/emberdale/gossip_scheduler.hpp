// Chooses whom a control daemon pings, so that each daemon learns of all others. Without I/O, clock or threads.
#pragma once
#include <map>
#include <set>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/peer_table.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

class GossipScheduler {
 public:
  explicit GossipScheduler(std::vector<Address> seeds) : seeds_(seeds.begin(), seeds.end()) {}

  void start(TimePoint now) { next_ = now; }
  // The daemons to be pinged now; empty while no round is due. Until a register is known these are all seeds, and two
  // daemons at random; afterwards two daemons at random. An edge daemon adds a data daemon that is missing from the
  // map.
  std::set<Address> due_targets(const PeerTable& peers, const PlacementMap& map, bool knows_register, bool is_edge,
                                RandomGenerator& random, TimePoint now);

 private:
  bool is_forgotten(const Address& address, const Peer& peer, TimePoint now) const;
  // Data daemons that an earlier map named and the present one doesn't.
  std::vector<Address> missing_gateways(const PlacementMap& map, TimePoint now);

  std::set<Address> seeds_;
  TimePoint next_;
  std::map<Address, TimePoint> gateways_seen_;  // when the map last named each data daemon
};

}  // namespace emberdale
