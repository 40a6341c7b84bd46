#include "emberdale/gossip_scheduler.hpp"

namespace emberdale {
namespace {
constexpr Duration round_interval{500};
constexpr Duration peer_retention{60000};      // a daemon that was silent for longer is pinged no more, unless a seed
constexpr Duration gateway_retention{600000};  // as long as that a data daemon missing from the map is pinged
constexpr int random_targets = 2;

const Address& pick(const std::vector<Address>& addresses, RandomGenerator& random) {
  return addresses[static_cast<std::size_t>(random.below(static_cast<std::int64_t>(addresses.size())))];
}
}  // namespace

bool GossipScheduler::is_forgotten(const Address& address, const Peer& peer, TimePoint now) const {
  bool was_ever_heard = peer.heard.value >= 0;
  return was_ever_heard && now - peer.heard > peer_retention && seeds_.count(address) == 0;
}

std::set<Address> GossipScheduler::due_targets(const PeerTable& peers, const PlacementMap& map, bool knows_register,
                                               bool is_edge, RandomGenerator& random, TimePoint now) {
  std::set<Address> targets;
  if (now < next_)
    return targets;
  next_ = now + round_interval;
  std::vector<Address> candidates;
  for (const auto& [address, peer] : peers.all()) {
    if (is_forgotten(address, peer, now))
      continue;
    if (seeds_.count(address) != 0 && !knows_register)
      targets.insert(address);
    else
      candidates.push_back(address);
  }
  for (int i = 0; i < random_targets && !candidates.empty(); ++i)
    targets.insert(pick(candidates, random));
  // A data daemon that has started anew knows its seeds alone, and they may all have been replaced: a control daemon
  // that still knows its address pings it.
  std::vector<Address> missing = missing_gateways(map, now);
  if (is_edge && !missing.empty())
    targets.insert(pick(missing, random));
  return targets;
}

std::vector<Address> GossipScheduler::missing_gateways(const PlacementMap& map, TimePoint now) {
  for (const auto& row : map.gateways)
    gateways_seen_[row.daemon] = now;
  std::vector<Address> missing;
  for (auto entry = gateways_seen_.begin(); entry != gateways_seen_.end();) {
    if (now - entry->second > gateway_retention) {
      entry = gateways_seen_.erase(entry);
      continue;
    }
    if (entry->second < now)
      missing.push_back(entry->first);
    ++entry;
  }
  return missing;
}

}  // namespace emberdale
