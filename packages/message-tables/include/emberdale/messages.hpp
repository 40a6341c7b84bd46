// Every record that crosses a peer link or lies in the register.
#pragma once
#include <variant>

#include "emberdale/record_tables.hpp"

namespace emberdale {

using Integer = std::int64_t;
using Text = std::string;

// --- versions --------------------------------------------------------------------------------
#define EMBERDALE_BALLOT(F) F(Integer, number) F(Address, proposer)
EMBERDALE_RECORD(Ballot, EMBERDALE_BALLOT)
#define EMBERDALE_MAP_VERSION(F) F(Integer, term) F(Integer, number)
EMBERDALE_RECORD(MapVersion, EMBERDALE_MAP_VERSION)

inline bool operator<(const Ballot& a, const Ballot& b) {
  return std::tie(a.number, a.proposer) < std::tie(b.number, b.proposer);
}
inline bool operator==(const Ballot& a, const Ballot& b) { return !(a < b) && !(b < a); }
inline bool operator!=(const Ballot& a, const Ballot& b) { return !(a == b); }
inline bool operator<(const MapVersion& a, const MapVersion& b) {
  return std::tie(a.term, a.number) < std::tie(b.term, b.number);
}
inline bool operator==(const MapVersion& a, const MapVersion& b) { return !(a < b) && !(b < a); }
inline bool operator!=(const MapVersion& a, const MapVersion& b) { return !(a == b); }
inline bool operator<=(const MapVersion& a, const MapVersion& b) { return !(b < a); }

// Example: show(MapVersion{3, 14}) == "3.14"
inline std::string show(const MapVersion& version) {
  return std::to_string(version.term) + "." + std::to_string(version.number);
}

// --- what the register holds -----------------------------------------------------------------
// FleetState and AcceptorRecord, and the records within them, lie on disk: fields are added at a record's end alone
// (see avro_record_codec.hpp).
#define EMBERDALE_DAEMON_ENTRY(F) \
  F(Address, address) F(Text, http) F(Text, role) F(ZoneName, zone) F(RegionName, region) F(Integer, incarnation)
EMBERDALE_RECORD(DaemonEntry, EMBERDALE_DAEMON_ENTRY)  // role: "core", "edge" or "data"

#define EMBERDALE_ACCEPTOR_ENTRY(F) F(StoreId, store) F(Address, address)
EMBERDALE_RECORD(AcceptorEntry, EMBERDALE_ACCEPTOR_ENTRY)

#define EMBERDALE_RESOURCE(F) F(Text, kind) F(Text, name) F(Integer, version) F(Integer, config_revision) F(Text, body)
EMBERDALE_RECORD(Resource, EMBERDALE_RESOURCE)  // kind: "serving-plans", "zone-orders", "runners"

#define EMBERDALE_DONE_CHANGE(F) F(Text, change) F(Integer, version) F(Integer, config_revision) F(Bytes, digest)
EMBERDALE_RECORD(DoneChange, EMBERDALE_DONE_CHANGE)  // digest: of what was asked; empty in those of earlier versions

#define EMBERDALE_FLEET_STATE(F)           \
  F(Text, fleet)                           \
  F(Integer, version)                      \
  F(Integer, config_revision)              \
  F(std::vector<Resource>, resources)      \
  F(Integer, deleted_version)              \
  F(std::vector<DaemonEntry>, roster)      \
  F(Integer, term)                         \
  F(Address, master)                       \
  F(Integer, ack_wait)                     \
  F(MapVersion, minimum_version)           \
  F(std::vector<Address>, lease_roster)    \
  F(std::vector<AcceptorEntry>, acceptors) \
  F(std::vector<AcceptorEntry>, next_acceptors) F(std::vector<DoneChange>, done)
EMBERDALE_RECORD(FleetState, EMBERDALE_FLEET_STATE)

// What one copy of the register keeps: has_value is false where the value stands in an earlier record.
#define EMBERDALE_ACCEPTOR_RECORD(F) F(Ballot, promised) F(bool, has_value) F(Ballot, accepted) F(Bytes, value)
EMBERDALE_RECORD(AcceptorRecord, EMBERDALE_ACCEPTOR_RECORD)

// --- the placement map -----------------------------------------------------------------------
#define EMBERDALE_COLD_GRANT(F) F(Address, daemon) F(Integer, calls)
EMBERDALE_RECORD(ColdGrant, EMBERDALE_COLD_GRANT)

#define EMBERDALE_RUNNER_ROW(F) \
  F(RunnerName, name)           \
  F(Text, http)                 \
  F(PoolName, pool)             \
  F(ZoneName, zone)             \
  F(RegionName, region)         \
  F(Text, status)               \
  F(Integer, incarnation)       \
  F(Integer, capacity) F(Integer, load) F(Integer, allowance) F(std::vector<ColdGrant>, grants) F(Text, seal_key)
EMBERDALE_RECORD(RunnerRow, EMBERDALE_RUNNER_ROW)  // status: warm, cold, leaving, emptied, down

#define EMBERDALE_PLAN_ROW(F) F(PlanName, name) F(Integer, version) F(Text, body)
EMBERDALE_RECORD(PlanRow, EMBERDALE_PLAN_ROW)

#define EMBERDALE_REGION_ROW(F) \
  F(PoolName, pool) F(RegionName, region) F(Integer, capacity) F(Integer, load) F(bool, spills)
EMBERDALE_RECORD(RegionRow, EMBERDALE_REGION_ROW)

#define EMBERDALE_GATEWAY_ROW(F) F(Address, daemon) F(Text, http) F(ZoneName, zone) F(RegionName, region)
EMBERDALE_RECORD(GatewayRow, EMBERDALE_GATEWAY_ROW)

#define EMBERDALE_SLICE_ROW(F) F(Text, key) F(Bytes, body)
EMBERDALE_RECORD(SliceRow, EMBERDALE_SLICE_ROW)

#define EMBERDALE_PLACEMENT_MAP(F)   \
  F(MapVersion, version)             \
  F(Integer, config_revision)        \
  F(Address, master)                 \
  F(std::vector<PlanRow>, plans)     \
  F(Integer, traffic_of)             \
  F(std::vector<SliceRow>, traffic)  \
  F(std::vector<RunnerRow>, runners) \
  F(std::vector<RegionRow>, regions) \
  F(std::vector<GatewayRow>, gateways) F(std::vector<GatewayRow>, edges) F(std::vector<ZoneName>, emptied)
EMBERDALE_RECORD(PlacementMap, EMBERDALE_PLACEMENT_MAP)  // traffic: the traffic table,
// cut into rows, as it stands since configuration traffic_of; left out (and so said by `has_traffic` of the news) for
// who holds these rows already

// --- the register's two rounds ---------------------------------------------------------------
#define EMBERDALE_PREPARE(F) F(Integer, ask) F(StoreId, store) F(Ballot, ballot) F(Ballot, known)
EMBERDALE_RECORD(Prepare, EMBERDALE_PREPARE)  // known: the asker holds that value, it need not come again
#define EMBERDALE_PROMISE(F) \
  F(Integer, ask) F(StoreId, store) F(bool, granted) F(Ballot, promised) F(Ballot, accepted) F(Bytes, value)
EMBERDALE_RECORD(Promise, EMBERDALE_PROMISE)
#define EMBERDALE_ACCEPT(F) \
  F(Integer, ask) F(StoreId, store) F(Ballot, ballot) F(Bytes, value) F(Ballot, base) F(Bytes, digest)
EMBERDALE_RECORD(Accept, EMBERDALE_ACCEPT)  // base: value is a delta against the value of that ballot, and digest the
                                            // SHA-256 of the whole one
#define EMBERDALE_ACCEPTED(F) \
  F(Integer, ask) F(StoreId, store) F(bool, granted) F(Ballot, promised) F(bool, needs_whole)
EMBERDALE_RECORD(Accepted, EMBERDALE_ACCEPTED)  // needs_whole: not granted, as the base of the delta is not held here
#define EMBERDALE_READ_ASK(F) F(Integer, ask) F(Text, role) F(Ballot, known) F(bool, wants_heard) F(bool, lean)
EMBERDALE_RECORD(ReadAsk, EMBERDALE_READ_ASK)  // lean: ballots alone, no value
#define EMBERDALE_HEARD(F) F(Address, daemon) F(Integer, age)
EMBERDALE_RECORD(Heard, EMBERDALE_HEARD)
#define EMBERDALE_READ_ANSWER(F)                \
  F(Integer, ask)                               \
  F(StoreId, store)                             \
  F(bool, blank)                                \
  F(Ballot, accepted)                           \
  F(Bytes, value)                               \
  F(MapVersion, minimum_version)                \
  F(std::vector<AcceptorEntry>, acceptors)      \
  F(std::vector<AcceptorEntry>, next_acceptors) \
  F(std::vector<Heard>, heard) F(Integer, awake) F(Ballot, base) F(Bytes, digest)
EMBERDALE_RECORD(ReadAnswer, EMBERDALE_READ_ANSWER)  // base and digest: as of Accept
#define EMBERDALE_FOUND(F) F(Integer, ask) F(StoreId, store) F(Bytes, value)
EMBERDALE_RECORD(Found, EMBERDALE_FOUND)
#define EMBERDALE_FOUND_ANSWER(F) F(Integer, ask) F(StoreId, store) F(bool, granted) F(Text, reason)
EMBERDALE_RECORD(FoundAnswer, EMBERDALE_FOUND_ANSWER)

// --- discovery and election ------------------------------------------------------------------
#define EMBERDALE_PING(F) F(Integer, ask) F(DaemonEntry, sender) F(Address, master) F(MapVersion, version)
EMBERDALE_RECORD(Ping, EMBERDALE_PING)
#define EMBERDALE_PING_ANSWER(F) \
  F(Integer, ask)                \
  F(DaemonEntry, sender)         \
  F(Address, master)             \
  F(MapVersion, version)         \
  F(std::vector<DaemonEntry>, known) F(std::vector<AcceptorEntry>, acceptors) F(Text, fleet) F(Integer, stamp)
EMBERDALE_RECORD(PingAnswer, EMBERDALE_PING_ANSWER)
#define EMBERDALE_JOIN(F) \
  F(Integer, ask) F(DaemonEntry, sender) F(MapVersion, version) F(Integer, term) F(Integer, stamp)
EMBERDALE_RECORD(Join, EMBERDALE_JOIN)
#define EMBERDALE_JOIN_ANSWER(F) F(Integer, ask) F(bool, granted) F(Integer, term) F(Text, reason)
EMBERDALE_RECORD(JoinAnswer, EMBERDALE_JOIN_ANSWER)
#define EMBERDALE_LEAVE(F) F(DaemonEntry, sender)
EMBERDALE_RECORD(Leave, EMBERDALE_LEAVE)

// --- the map on its way ----------------------------------------------------------------------
#define EMBERDALE_MAP_NEWS(F) F(PlacementMap, map) F(bool, lacks_traffic)
EMBERDALE_RECORD(MapNews, EMBERDALE_MAP_NEWS)
#define EMBERDALE_RUNNER_STATUS(F) \
  F(RunnerName, name)              \
  F(bool, answers)                 \
  F(bool, cold) F(Integer, incarnation) F(Integer, capacity) F(Integer, load) F(Integer, allowance) F(Integer, age)
EMBERDALE_RECORD(RunnerStatus, EMBERDALE_RUNNER_STATUS)
#define EMBERDALE_IN_FORCE(F) \
  F(DaemonEntry, daemon)      \
  F(MapVersion, version) F(Integer, config_revision) F(bool, granted) F(bool, leaving) F(Integer, age)
EMBERDALE_RECORD(InForce, EMBERDALE_IN_FORCE)
#define EMBERDALE_FOLLOW(F)              \
  F(DaemonEntry, sender)                 \
  F(Integer, term)                       \
  F(Integer, acknowledgement)            \
  F(MapVersion, version)                 \
  F(Integer, traffic_of)                 \
  F(std::vector<RunnerStatus>, statuses) \
  F(std::vector<InForce>, in_force)      \
  F(Integer, stamp)                      \
  F(Integer, sent)
// stamp: the newest of its master's clock that the follower has seen in this term; sent: the follower's own clock
EMBERDALE_RECORD(Follow, EMBERDALE_FOLLOW)
#define EMBERDALE_FOLLOW_ANSWER(F) \
  F(Integer, term)                 \
  F(bool, master)                  \
  F(MapVersion, version)           \
  F(Integer, stamp)                \
  F(Integer, follow_sent)          \
  F(Integer, quorum_age)
// follow_sent: of the Follow that this answers; quorum_age: since a quorum surely followed this master, ms
EMBERDALE_RECORD(FollowAnswer, EMBERDALE_FOLLOW_ANSWER)

#define EMBERDALE_TOPIC_KNOWN(F) F(Text, topic) F(MapVersion, version)
EMBERDALE_RECORD(TopicKnown, EMBERDALE_TOPIC_KNOWN)
#define EMBERDALE_SUBSCRIBE(F)       \
  F(DaemonEntry, sender)             \
  F(std::vector<TopicKnown>, topics) \
  F(MapVersion, version)             \
  F(Integer, config_revision)        \
  F(bool, granted)                   \
  F(bool, leaving)                   \
  F(Integer, stamp)
EMBERDALE_RECORD(Subscribe, EMBERDALE_SUBSCRIBE)  // stamp: the subscriber's own clock
#define EMBERDALE_SLICE_NEWS(F)  \
  F(Text, topic)                 \
  F(MapVersion, version)         \
  F(Integer, config_revision)    \
  F(bool, whole)                 \
  F(MapVersion, base)            \
  F(Integer, age)                \
  F(std::vector<SliceRow>, rows) \
  F(std::vector<Text>, gone)     \
  F(Integer, stamp)
// stamp: of the newest Subscribe that had come when this was composed; age: at that time, since a quorum surely
// followed the master, ms
EMBERDALE_RECORD(SliceNews, EMBERDALE_SLICE_NEWS)

// --- the second source of grants ---------------------------------------------------------------
#define EMBERDALE_LEASE_ASK(F) F(Integer, ask)
EMBERDALE_RECORD(LeaseAsk, EMBERDALE_LEASE_ASK)
#define EMBERDALE_LEASE_GRANT(F) F(Integer, ask) F(MapVersion, minimum_version)
EMBERDALE_RECORD(LeaseGrant, EMBERDALE_LEASE_GRANT)

// --- work taken away ahead of the register --------------------------------------------------------
#define EMBERDALE_HOLD(F) F(Text, change) F(RunnerName, runner) F(ZoneName, zone) F(bool, lifted) F(bool, relayed)
EMBERDALE_RECORD(Hold, EMBERDALE_HOLD)

// --- operators' acts on their way to the master ----------------------------------------------
#define EMBERDALE_EDIT_ASK(F) \
  F(Integer, ask)             \
  F(Text, change)             \
  F(Text, act)                \
  F(Text, kind) F(Text, name) F(Integer, expected) F(Text, body) F(Integer, term) F(Integer, age) F(Integer, stamp)
EMBERDALE_RECORD(EditAsk, EMBERDALE_EDIT_ASK)  // expected: -1 any, 0 must not exist;
                                               // term: for the master of this term alone;
                                               // age: ms since the sender took the edit in; stamp: the newest that
                                               // the sender has of that master's clock in that term, 0: none
#define EMBERDALE_EDIT_ANSWER(F) \
  F(Integer, ask) F(Integer, code) F(Integer, version) F(Text, body) F(Integer, term) F(Integer, stamp)
EMBERDALE_RECORD(EditAnswer, EMBERDALE_EDIT_ANSWER)  // code 0: this copy does nothing; with the stamp of a master's
                                                     // clock: send it again with that stamp if it is young enough
#define EMBERDALE_VIEW_ASK(F) F(Integer, ask)
EMBERDALE_RECORD(ViewAsk, EMBERDALE_VIEW_ASK)
#define EMBERDALE_VIEW_ANSWER(F) \
  F(Integer, ask) F(bool, master) F(bool, settled) F(PlacementMap, map) F(std::vector<InForce>, in_force)
EMBERDALE_RECORD(ViewAnswer, EMBERDALE_VIEW_ANSWER)

#define EMBERDALE_MESSAGES(M) \
  M(Prepare)                  \
  M(Promise)                  \
  M(Accept)                   \
  M(Accepted)                 \
  M(ReadAsk)                  \
  M(ReadAnswer)               \
  M(Found)                    \
  M(FoundAnswer)              \
  M(Ping)                     \
  M(PingAnswer)               \
  M(Join)                     \
  M(JoinAnswer)               \
  M(Leave)                    \
  M(MapNews)                  \
  M(Follow)                   \
  M(FollowAnswer) M(Subscribe) M(SliceNews) M(EditAsk) M(EditAnswer) M(LeaseAsk) M(LeaseGrant) M(Hold) M(ViewAsk)

#define EMBERDALE_VARIANT_ENTRY(Name) Name,
using Message = std::variant<EMBERDALE_MESSAGES(EMBERDALE_VARIANT_ENTRY) ViewAnswer>;
#undef EMBERDALE_VARIANT_ENTRY

// A message on its way out of a state machine.
struct Sending {
  Address to;
  Message message;
};

}  // namespace emberdale
