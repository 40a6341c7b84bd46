// Every message that crosses a peer connection.
//
// Each record is a plain struct. `wire_name` and the names that visit_fields() gives are part of the protocol's schema
// and of the shape of records on disk: they stay as they are when a C++ name changes.
#pragma once
#include <variant>

#include "emberdale/control_messages.hpp"
#include "emberdale/register_messages.hpp"

namespace emberdale {

// The position of an alternative is the message's number on the wire: new ones are added at the end.
using Message =
    std::variant<Prepare, Promise, Accept, Accepted, ReadRequest, ReadResponse, BootstrapRequest, BootstrapResponse,
                 PingRequest, PingResponse, JoinRequest, JoinResponse, LeaveNotice, PlacementUpdate, Heartbeat,
                 HeartbeatResponse, Subscribe, SliceUpdate, EditRequest, EditResponse, LeaseRequest, LeaseGrant,
                 DispatchBlock, ViewRequest, ViewResponse, AvailabilityRequest, AvailabilityReport>;

// A message that a state machine wants delivered.
struct OutboundMessage {
  Address to;
  Message message;
};

}  // namespace emberdale
