// Dispatch blocks: while a change that takes a runner or a zone out of service is not settled, all data daemons are
// asked to send it no new requests. A block only ever takes work away, and lapses by itself; a refusal of the change
// lifts it, the map that covers the change replaces it. Without I/O, clock or threads.
#pragma once
#include <optional>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/peer_table.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

// The block that belongs to one change, repeated until the change is settled or too old.
struct ForwardedBlock {
  std::optional<DispatchBlock> block;  // nothing: the change takes no work away, or is settled
  TimePoint next;                      // when it is sent again
  TimePoint until;                     // when it is given up; 0: there was never a block
  std::int64_t version = 0;            // of the resource when the change arrived: once that has moved, the map counts
  bool has_deadline() const { return until.value > 0; }
  bool is_over(TimePoint now) const { return has_deadline() && until <= now; }
  // Whether the block is to be sent now; ends it for good once the change is settled or too old.
  bool is_due(std::int64_t current_version, TimePoint now);
};

// The block of a change, if it drains a runner or evacuates a zone.
ForwardedBlock block_of(const EditRequest& request, std::int64_t version, TimePoint now);

// The block of a runner that service discovery lists as draining; the same at all daemons.
DispatchBlock draining_block(const RunnerName& runner);

// The messages that bring a block to all data daemons that this daemon knows, by the map or by their subscription, and
// to all others by way of the other edge daemons: those that this daemon can't reach may be in reach of others.
std::vector<OutboundMessage> broadcast_block(const DispatchBlock& block, const PlacementMap& map,
                                             const std::vector<Address>& subscribers, const PeerTable& peers,
                                             const Address& self);
// The messages that bring a block to the data daemons of the own zone, by the map, and to those that subscribe here,
// which the map may not name yet.
std::vector<OutboundMessage> block_near(const DispatchBlock& block, const PlacementMap& map,
                                        const std::vector<Address>& subscribers, const ZoneName& zone);
// The messages that ask the other edge daemons to pass the block on to the data daemons near them.
std::vector<OutboundMessage> block_relayed(const DispatchBlock& block, const PlacementMap& map, const PeerTable& peers,
                                           const Address& self);
// The messages that pass on a block which another control daemon asked to relay.
std::vector<OutboundMessage> relay_block(const DispatchBlock& block, const PlacementMap& map,
                                         const std::vector<Address>& subscribers, const ZoneName& zone);

}  // namespace emberdale
