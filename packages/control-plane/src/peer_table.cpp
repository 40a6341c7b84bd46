#include "emberdale/peer_table.hpp"

namespace emberdale {

void PeerTable::add_seed(const Address& seed) {
  if (seed != self_)
    peers_[seed].entry.address = seed;
}

void PeerTable::learn(const DaemonEntry& entry) {
  if (entry.address == self_)
    return;
  Peer& peer = peers_[entry.address];
  if (!peer.is_identified())
    peer.entry = entry;
}

void PeerTable::observe(const Address& from, const DaemonEntry& entry, const Address& master, TimePoint now) {
  Peer& peer = peers_[from];
  peer.entry = entry;
  peer.heard = now;
  peer.master = master;
}

void PeerTable::on_refused(const Address& peer, TimePoint now) {
  auto found = peers_.find(peer);
  if (found != peers_.end())
    found->second.heard = TimePoint{now.value - peer_alive_timeout.value - 1};
}

const Peer* PeerTable::find(const Address& peer) const {
  auto found = peers_.find(peer);
  return found == peers_.end() ? nullptr : &found->second;
}

std::vector<DaemonEntry> PeerTable::identified() const {
  std::vector<DaemonEntry> entries;
  for (const auto& [address, peer] : peers_)
    if (peer.is_identified())
      entries.push_back(peer.entry);
  return entries;
}

std::vector<DaemonEntry> PeerTable::live_edges(TimePoint now) const {
  std::vector<DaemonEntry> entries;
  for (const auto& [address, peer] : peers_)
    if (peer.is_edge() && peer.was_heard_within(peer_alive_timeout, now))
      entries.push_back(peer.entry);
  return entries;
}

}  // namespace emberdale
