// Every message that crosses a peer connection.
//
// Each record is a plain struct. `wire_name` and the names that visit_fields() gives are part of the protocol's schema
// and of the shape of records on disk: they stay as they are when a C++ name changes.
#pragma once
#include <variant>

#include "emberdale/control_messages.hpp"
#include "emberdale/register_messages.hpp"

namespace emberdale {

using Integer = std::int64_t;
using Text = std::string;

// The position of an alternative is the message's number on the wire: new ones are added at the end.
using Message = std::variant<Prepare, Promise, Accept, Accepted, ReadAsk, ReadAnswer, Found, FoundAnswer, Ping,
                             PingAnswer, Join, JoinAnswer, Leave, MapNews, Follow, FollowAnswer, Subscribe, SliceNews,
                             EditAsk, EditAnswer, LeaseAsk, LeaseGrant, Hold, ViewAsk, ViewAnswer>;

// A message that a state machine wants delivered.
struct Sending {
  Address to;
  Message message;
};

}  // namespace emberdale
