// Messages between control daemons, and between control and data daemons: discovery, election, heartbeats,
// placement updates, leases and operators' changes. All times are in milliseconds; a `..._timestamp` or `..._at`
// is a reading of one daemon's steady clock that only this daemon compares with another.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "emberdale/placement_records.hpp"

namespace emberdale {

// Discovery: who is there, and whom it follows.
struct PingRequest {
  static constexpr const char* wire_name = "Ping";

  std::int64_t request_id = 0;
  DaemonEntry sender{};
  // Whom the sender follows; empty if nobody.
  Address master{};
  // Of the sender's map.
  MapVersion version{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("sender", self.sender);
    visit("master", self.master);
    visit("version", self.version);
  }
};

// Answers PingRequest.
struct PingResponse {
  static constexpr const char* wire_name = "PingAnswer";

  std::int64_t request_id = 0;
  DaemonEntry sender{};
  Address master{};
  MapVersion version{};
  std::vector<DaemonEntry> known_daemons{};
  std::vector<AcceptorEntry> acceptors{};
  std::string fleet_name{};
  // The sender's clock; a later JoinRequest returns it.
  std::int64_t response_timestamp = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("sender", self.sender);
    visit("master", self.master);
    visit("version", self.version);
    visit("known", self.known_daemons);
    visit("acceptors", self.acceptors);
    visit("fleet", self.fleet_name);
    visit("stamp", self.response_timestamp);
  }
};

// Asks a candidate to count the sender as its follower.
struct JoinRequest {
  static constexpr const char* wire_name = "Join";

  std::int64_t request_id = 0;
  DaemonEntry sender{};
  MapVersion version{};
  // The newest term that the sender will acknowledge nothing for from now on.
  std::int64_t term = 0;
  // Of the candidate's PingResponse that led to this.
  std::int64_t response_timestamp = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("sender", self.sender);
    visit("version", self.version);
    visit("term", self.term);
    visit("stamp", self.response_timestamp);
  }
};

// Answers JoinRequest.
struct JoinResponse {
  static constexpr const char* wire_name = "JoinAnswer";

  std::int64_t request_id = 0;
  bool granted = false;
  std::int64_t term = 0;
  // Why it was not granted.
  std::string reason{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("granted", self.granted);
    visit("term", self.term);
    visit("reason", self.reason);
  }
};

// The sender stops; its peers need not wait for it.
struct LeaveNotice {
  static constexpr const char* wire_name = "Leave";

  DaemonEntry sender{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("sender", self.sender);
  }
};

// The master's newest map.
struct PlacementUpdate {
  static constexpr const char* wire_name = "MapNews";

  PlacementMap map{};
  // The receiver holds these rows already.
  bool omits_routing_table = false;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("map", self.map);
    visit("lacks_traffic", self.omits_routing_table);
  }
};

// What health probes have found out about a runner.
struct RunnerStatus {
  static constexpr const char* wire_name = "RunnerStatus";

  RunnerName name{};
  bool is_reachable = false;
  bool is_warming_up = false;
  std::int64_t incarnation = 0;
  std::int64_t capacity = 0;
  std::int64_t load = 0;
  std::int64_t allowance = 0;
  // Since the probe.
  std::int64_t age_ms = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("name", self.name);
    visit("answers", self.is_reachable);
    visit("cold", self.is_warming_up);
    visit("incarnation", self.incarnation);
    visit("capacity", self.capacity);
    visit("load", self.load);
    visit("allowance", self.allowance);
    visit("age", self.age_ms);
  }
};

// Which configuration a data daemon has in force.
struct DaemonStatus {
  static constexpr const char* wire_name = "InForce";

  DaemonEntry daemon{};
  MapVersion version{};
  std::int64_t config_revision = 0;
  // It holds a grant to serve.
  bool has_grant = false;
  bool is_draining = false;
  // Since the daemon said so.
  std::int64_t age_ms = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("daemon", self.daemon);
    visit("version", self.version);
    visit("config_revision", self.config_revision);
    visit("granted", self.has_grant);
    visit("leaving", self.is_draining);
    visit("age", self.age_ms);
  }
};

// A follower reports to its master.
struct Heartbeat {
  static constexpr const char* wire_name = "Follow";

  DaemonEntry sender{};
  std::int64_t term = 0;
  // The newest timestamp of the master's clock; 0 if the follower has promised to acknowledge nothing for this term.
  std::int64_t acknowledged_timestamp = 0;
  MapVersion version{};
  std::int64_t routing_table_revision = 0;
  std::vector<RunnerStatus> runner_statuses{};
  std::vector<DaemonStatus> daemon_statuses{};
  // The newest of the master's clock that the follower has seen in this term.
  std::int64_t master_timestamp = 0;
  // The follower's clock.
  std::int64_t sent_at = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("sender", self.sender);
    visit("term", self.term);
    visit("acknowledgement", self.acknowledged_timestamp);
    visit("version", self.version);
    visit("traffic_of", self.routing_table_revision);
    visit("statuses", self.runner_statuses);
    visit("in_force", self.daemon_statuses);
    visit("stamp", self.master_timestamp);
    visit("sent", self.sent_at);
  }
};

// Answers Heartbeat.
struct HeartbeatResponse {
  static constexpr const char* wire_name = "FollowAnswer";

  std::int64_t term = 0;
  // The sender is the master of this term.
  bool from_master = false;
  MapVersion version{};
  // The sender's clock.
  std::int64_t master_timestamp = 0;
  // `sent_at` of the Heartbeat that this answers.
  std::int64_t heartbeat_sent_at = 0;
  // Since a moment at which a quorum surely followed this master.
  std::int64_t quorum_age_ms = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("master", self.from_master);
    visit("version", self.version);
    visit("stamp", self.master_timestamp);
    visit("follow_sent", self.heartbeat_sent_at);
    visit("quorum_age", self.quorum_age_ms);
  }
};

// Which version of a topic a subscriber holds.
struct TopicVersion {
  static constexpr const char* wire_name = "TopicKnown";

  std::string topic{};
  MapVersion version{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("topic", self.topic);
    visit("version", self.version);
  }
};

// A data daemon asks for slices of the map and reports what it has in force.
struct Subscribe {
  static constexpr const char* wire_name = "Subscribe";

  DaemonEntry sender{};
  std::vector<TopicVersion> topics{};
  MapVersion version{};
  std::int64_t config_revision = 0;
  bool has_grant = false;
  bool is_draining = false;
  // The subscriber's clock.
  std::int64_t sent_at = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("sender", self.sender);
    visit("topics", self.topics);
    visit("version", self.version);
    visit("config_revision", self.config_revision);
    visit("granted", self.has_grant);
    visit("leaving", self.is_draining);
    visit("stamp", self.sent_at);
  }
};

// One topic of the map, whole or as a change.
struct SliceUpdate {
  static constexpr const char* wire_name = "SliceNews";

  std::string topic{};
  MapVersion version{};
  std::int64_t config_revision = 0;
  // The rows are the whole topic and replace what the subscriber holds.
  bool is_snapshot = false;
  // Of the rows that the change applies to.
  MapVersion base_version{};
  // Since a quorum surely followed the master, when this update was made.
  std::int64_t quorum_age_ms = 0;
  std::vector<SliceRow> rows{};
  std::vector<std::string> removed_keys{};
  // `sent_at` of the newest Subscribe that had arrived when this update was made.
  std::int64_t subscribe_sent_at = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("topic", self.topic);
    visit("version", self.version);
    visit("config_revision", self.config_revision);
    visit("whole", self.is_snapshot);
    visit("base", self.base_version);
    visit("age", self.quorum_age_ms);
    visit("rows", self.rows);
    visit("gone", self.removed_keys);
    visit("stamp", self.subscribe_sent_at);
  }
};

// A data daemon asks the master for a lease.
struct LeaseRequest {
  static constexpr const char* wire_name = "LeaseAsk";

  std::int64_t request_id = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
  }
};

// Answers LeaseRequest: no minimum version above this one was ever tried in the master's term.
struct LeaseGrant {
  static constexpr const char* wire_name = "LeaseGrant";

  std::int64_t request_id = 0;
  MapVersion minimum_version{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("minimum_version", self.minimum_version);
  }
};

// Stops new requests to a runner or zone while a change that takes it out of service is on its way.
struct DispatchBlock {
  static constexpr const char* wire_name = "Hold";

  std::string change_id{};
  // Empty if a zone is blocked.
  RunnerName runner{};
  // Empty if a runner is blocked.
  ZoneName zone{};
  // The block ends.
  bool is_lifted = false;
  // A data daemon has passed the block on; it goes no further.
  bool is_relayed = false;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("change", self.change_id);
    visit("runner", self.runner);
    visit("zone", self.zone);
    visit("lifted", self.is_lifted);
    visit("relayed", self.is_relayed);
  }
};

// A runner that takes no new requests: the list of service discovery shows it as draining, or shows it no more.
struct UnavailableRunner {
  static constexpr const char* wire_name = "UnavailableRunner";

  RunnerName name{};
  // Since the last reading of the list that still showed it in service, or since the first one if there was none such.
  std::int64_t marked_age_ms = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("name", self.name);
    visit("marked_age", self.marked_age_ms);
  }
};

// Asks a control daemon what it knows of the list of runners.
struct AvailabilityRequest {
  static constexpr const char* wire_name = "AvailabilityRequest";

  // The sender's clock.
  std::int64_t sent_at = 0;
  // The sender lacks the runners of the reading that it was told of last.
  bool lacks_runners = false;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("sent", self.sent_at);
    visit("lacks_runners", self.lacks_runners);
  }
};

// Who is out of service now, ahead of the map. Answers Subscribe, Heartbeat and AvailabilityRequest.
struct AvailabilityReport {
  static constexpr const char* wire_name = "AvailabilityReport";

  // `sent_at` of the message that this answers: all ages count back from then.
  std::int64_t request_sent_at = 0;
  // A reading of the list is known; without it the five fields that follow say nothing.
  bool has_reading = false;
  // Since that reading was begun.
  std::int64_t reading_age_ms = 0;
  // Of the names of its unavailable and restored runners.
  std::int64_t digest = 0;
  // The receiver was sent the runners of that digest before.
  bool omits_runners = false;
  std::vector<UnavailableRunner> runners{};
  // Runners that were unavailable a while ago, and that the reading shows in service again.
  std::vector<RunnerName> restored{};
  // The sender leads, and has led for long enough to know all data daemons.
  bool knows_gateways = false;
  // Data daemons that the sender's map may name and that are off, or about to be.
  std::vector<Address> departed_gateways{};
  // Of the data daemons that its map names, less those: a receiver with another map can't rely on its own.
  std::int64_t gateways_digest = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("request_sent", self.request_sent_at);
    visit("has_reading", self.has_reading);
    visit("reading_age", self.reading_age_ms);
    visit("digest", self.digest);
    visit("omits_runners", self.omits_runners);
    visit("runners", self.runners);
    visit("restored", self.restored);
    visit("knows_gateways", self.knows_gateways);
    visit("departed_gateways", self.departed_gateways);
    visit("gateways_digest", self.gateways_digest);
  }
};

// An operator's change on its way to the master.
struct EditRequest {
  static constexpr const char* wire_name = "EditAsk";

  std::int64_t request_id = 0;
  std::string change_id{};
  EditAction action{};
  // Of the resource; a text of ResourceKind, or another that the master refuses.
  std::string kind{};
  // Of the resource.
  std::string name{};
  // -1: any; 0: the resource must not exist.
  std::int64_t expected_version = 0;
  // JSON.
  std::string body{};
  // Only the master of this term may apply the change.
  std::int64_t term = 0;
  // Since the sender received the change.
  std::int64_t age_ms = 0;
  // The newest of the master's clock in that term that the sender has seen; 0: none.
  std::int64_t master_timestamp = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("change", self.change_id);
    visit("act", self.action);
    visit("kind", self.kind);
    visit("name", self.name);
    visit("expected", self.expected_version);
    visit("body", self.body);
    visit("term", self.term);
    visit("age", self.age_ms);
    visit("stamp", self.master_timestamp);
  }
};

// Answers EditRequest.
struct EditResponse {
  static constexpr const char* wire_name = "EditAnswer";

  std::int64_t request_id = 0;
  // An HTTP status; 0: the master does nothing with this copy of the request.
  std::int64_t code = 0;
  // Of the resource.
  std::int64_t version = 0;
  // JSON.
  std::string body{};
  std::int64_t term = 0;
  // With code 0: the request may be sent again with this timestamp while it is young enough.
  std::int64_t master_timestamp = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("code", self.code);
    visit("version", self.version);
    visit("body", self.body);
    visit("term", self.term);
    visit("stamp", self.master_timestamp);
  }
};

// Asks the master for its map and the fleet's status.
struct ViewRequest {
  static constexpr const char* wire_name = "ViewAsk";

  std::int64_t request_id = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
  }
};

// Answers ViewRequest.
struct ViewResponse {
  static constexpr const char* wire_name = "ViewAnswer";

  std::int64_t request_id = 0;
  // The sender is the master.
  bool from_master = false;
  // It has been long enough for every data daemon to have reported.
  bool is_settled = false;
  PlacementMap map{};
  std::vector<DaemonStatus> daemon_statuses{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("master", self.from_master);
    visit("settled", self.is_settled);
    visit("map", self.map);
    visit("in_force", self.daemon_statuses);
  }
};

}  // namespace emberdale