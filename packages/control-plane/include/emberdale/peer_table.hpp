// The other daemons that a control daemon knows: from its seeds, from the roster, and from gossip.
// Without I/O, clock or threads.
#pragma once
#include <map>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

// A peer that was not heard for longer than this is not counted as alive.
inline constexpr Duration peer_alive_timeout{2000};

// One daemon as it is known here.
struct Peer {
  DaemonEntry entry;         // the role is unspecified while only the address is known
  TimePoint heard{-100000};  // its last ping or answer to one; far in the past: never
  Address master;            // whom it followed then; empty: nobody

  bool is_identified() const { return entry.role != DaemonRole::unspecified; }
  bool is_edge() const { return entry.role == DaemonRole::edge; }
  bool is_data_daemon() const { return entry.role == DaemonRole::data; }
  bool was_heard_within(Duration timeout, TimePoint now) const { return now - heard <= timeout; }
};

class PeerTable {
 public:
  explicit PeerTable(Address self) : self_(std::move(self)) {}

  // A seed: nothing but its address is known.
  void add_seed(const Address& seed);
  // What others say of a daemon. It counts only for a daemon that has not been identified yet.
  void learn(const DaemonEntry& entry);
  // What a daemon says of itself, in a ping or in the answer to one.
  void observe(const Address& from, const DaemonEntry& entry, const Address& master, TimePoint now);
  // Nobody listens at that address: the daemon counts as silent until it is heard again.
  void on_refused(const Address& peer, TimePoint now);
  void remove(const Address& peer) { peers_.erase(peer); }

  // In order of their addresses.
  const std::map<Address, Peer>& all() const { return peers_; }
  // Nullptr if that address is not known.
  const Peer* find(const Address& peer) const;
  // All daemons of which more than the address is known.
  std::vector<DaemonEntry> identified() const;
  // The edge daemons that were heard within `peer_alive_timeout`.
  std::vector<DaemonEntry> live_edges(TimePoint now) const;

 private:
  Address self_;
  std::map<Address, Peer> peers_;
};

}  // namespace emberdale
