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
struct Ping {
  static constexpr const char* wire_name = "Ping";

  std::int64_t ask = 0;
  DaemonEntry sender{};
  // Whom the sender follows; empty if nobody.
  Address master{};
  // Of the sender's map.
  MapVersion version{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.ask);
    visit("sender", self.sender);
    visit("master", self.master);
    visit("version", self.version);
  }
};

// Answers PingRequest.
struct PingAnswer {
  static constexpr const char* wire_name = "PingAnswer";

  std::int64_t ask = 0;
  DaemonEntry sender{};
  Address master{};
  MapVersion version{};
  std::vector<DaemonEntry> known{};
  std::vector<AcceptorEntry> acceptors{};
  std::string fleet{};
  // The sender's clock; a later JoinRequest returns it.
  std::int64_t stamp = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.ask);
    visit("sender", self.sender);
    visit("master", self.master);
    visit("version", self.version);
    visit("known", self.known);
    visit("acceptors", self.acceptors);
    visit("fleet", self.fleet);
    visit("stamp", self.stamp);
  }
};

// Asks a candidate to count the sender as its follower.
struct Join {
  static constexpr const char* wire_name = "Join";

  std::int64_t ask = 0;
  DaemonEntry sender{};
  MapVersion version{};
  // The newest term that the sender will acknowledge nothing for from now on.
  std::int64_t term = 0;
  // Of the candidate's PingResponse that led to this.
  std::int64_t stamp = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.ask);
    visit("sender", self.sender);
    visit("version", self.version);
    visit("term", self.term);
    visit("stamp", self.stamp);
  }
};

// Answers JoinRequest.
struct JoinAnswer {
  static constexpr const char* wire_name = "JoinAnswer";

  std::int64_t ask = 0;
  bool granted = false;
  std::int64_t term = 0;
  // Why it was not granted.
  std::string reason{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.ask);
    visit("granted", self.granted);
    visit("term", self.term);
    visit("reason", self.reason);
  }
};

// The sender stops; its peers need not wait for it.
struct Leave {
  static constexpr const char* wire_name = "Leave";

  DaemonEntry sender{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("sender", self.sender);
  }
};

// The master's newest map.
struct MapNews {
  static constexpr const char* wire_name = "MapNews";

  PlacementMap map{};
  // The receiver holds these rows already.
  bool lacks_traffic = false;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("map", self.map);
    visit("lacks_traffic", self.lacks_traffic);
  }
};

// What health probes have found out about a runner.
struct RunnerStatus {
  static constexpr const char* wire_name = "RunnerStatus";

  RunnerName name{};
  bool answers = false;
  bool cold = false;
  std::int64_t incarnation = 0;
  std::int64_t capacity = 0;
  std::int64_t load = 0;
  std::int64_t allowance = 0;
  // Since the probe.
  std::int64_t age = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("name", self.name);
    visit("answers", self.answers);
    visit("cold", self.cold);
    visit("incarnation", self.incarnation);
    visit("capacity", self.capacity);
    visit("load", self.load);
    visit("allowance", self.allowance);
    visit("age", self.age);
  }
};

// Which configuration a data daemon has in force.
struct InForce {
  static constexpr const char* wire_name = "InForce";

  DaemonEntry daemon{};
  MapVersion version{};
  std::int64_t config_revision = 0;
  // It holds a grant to serve.
  bool granted = false;
  bool leaving = false;
  // Since the daemon said so.
  std::int64_t age = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("daemon", self.daemon);
    visit("version", self.version);
    visit("config_revision", self.config_revision);
    visit("granted", self.granted);
    visit("leaving", self.leaving);
    visit("age", self.age);
  }
};

// A follower reports to its master.
struct Follow {
  static constexpr const char* wire_name = "Follow";

  DaemonEntry sender{};
  std::int64_t term = 0;
  // The newest timestamp of the master's clock; 0 if the follower has promised to acknowledge nothing for this term.
  std::int64_t acknowledgement = 0;
  MapVersion version{};
  std::int64_t traffic_of = 0;
  std::vector<RunnerStatus> statuses{};
  std::vector<InForce> in_force{};
  // The newest of the master's clock that the follower has seen in this term.
  std::int64_t stamp = 0;
  // The follower's clock.
  std::int64_t sent = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("sender", self.sender);
    visit("term", self.term);
    visit("acknowledgement", self.acknowledgement);
    visit("version", self.version);
    visit("traffic_of", self.traffic_of);
    visit("statuses", self.statuses);
    visit("in_force", self.in_force);
    visit("stamp", self.stamp);
    visit("sent", self.sent);
  }
};

// Answers Heartbeat.
struct FollowAnswer {
  static constexpr const char* wire_name = "FollowAnswer";

  std::int64_t term = 0;
  // The sender is the master of this term.
  bool master = false;
  MapVersion version{};
  // The sender's clock.
  std::int64_t stamp = 0;
  // `sent_at` of the Heartbeat that this answers.
  std::int64_t follow_sent = 0;
  // Since a moment at which a quorum surely followed this master.
  std::int64_t quorum_age = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("master", self.master);
    visit("version", self.version);
    visit("stamp", self.stamp);
    visit("follow_sent", self.follow_sent);
    visit("quorum_age", self.quorum_age);
  }
};

// Which version of a topic a subscriber holds.
struct TopicKnown {
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
  std::vector<TopicKnown> topics{};
  MapVersion version{};
  std::int64_t config_revision = 0;
  bool granted = false;
  bool leaving = false;
  // The subscriber's clock.
  std::int64_t stamp = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("sender", self.sender);
    visit("topics", self.topics);
    visit("version", self.version);
    visit("config_revision", self.config_revision);
    visit("granted", self.granted);
    visit("leaving", self.leaving);
    visit("stamp", self.stamp);
  }
};

// One topic of the map, whole or as a change.
struct SliceNews {
  static constexpr const char* wire_name = "SliceNews";

  std::string topic{};
  MapVersion version{};
  std::int64_t config_revision = 0;
  // The rows are the whole topic and replace what the subscriber holds.
  bool whole = false;
  // Of the rows that the change applies to.
  MapVersion base{};
  // Since a quorum surely followed the master, when this update was made.
  std::int64_t age = 0;
  std::vector<SliceRow> rows{};
  std::vector<std::string> gone{};
  // `sent_at` of the newest Subscribe that had arrived when this update was made.
  std::int64_t stamp = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("topic", self.topic);
    visit("version", self.version);
    visit("config_revision", self.config_revision);
    visit("whole", self.whole);
    visit("base", self.base);
    visit("age", self.age);
    visit("rows", self.rows);
    visit("gone", self.gone);
    visit("stamp", self.stamp);
  }
};

// A data daemon asks the master for a lease.
struct LeaseAsk {
  static constexpr const char* wire_name = "LeaseAsk";

  std::int64_t ask = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.ask);
  }
};

// Answers LeaseRequest: no minimum version above this one was ever tried in the master's term.
struct LeaseGrant {
  static constexpr const char* wire_name = "LeaseGrant";

  std::int64_t ask = 0;
  MapVersion minimum_version{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.ask);
    visit("minimum_version", self.minimum_version);
  }
};

// Stops new requests to a runner or zone while a change that takes it out of service is on its way.
struct Hold {
  static constexpr const char* wire_name = "Hold";

  std::string change{};
  // Empty if a zone is blocked.
  RunnerName runner{};
  // Empty if a runner is blocked.
  ZoneName zone{};
  // The block ends.
  bool lifted = false;
  // A data daemon has passed the block on; it goes no further.
  bool relayed = false;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("change", self.change);
    visit("runner", self.runner);
    visit("zone", self.zone);
    visit("lifted", self.lifted);
    visit("relayed", self.relayed);
  }
};

// An operator's change on its way to the master.
struct EditAsk {
  static constexpr const char* wire_name = "EditAsk";

  std::int64_t ask = 0;
  std::string change{};
  // "put", "delete" and the like; see edit_actions.hpp.
  std::string act{};
  // Of the resource.
  std::string kind{};
  // Of the resource.
  std::string name{};
  // -1: any; 0: the resource must not exist.
  std::int64_t expected = 0;
  // JSON.
  std::string body{};
  // Only the master of this term may apply the change.
  std::int64_t term = 0;
  // Since the sender received the change.
  std::int64_t age = 0;
  // The newest of the master's clock in that term that the sender has seen; 0: none.
  std::int64_t stamp = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.ask);
    visit("change", self.change);
    visit("act", self.act);
    visit("kind", self.kind);
    visit("name", self.name);
    visit("expected", self.expected);
    visit("body", self.body);
    visit("term", self.term);
    visit("age", self.age);
    visit("stamp", self.stamp);
  }
};

// Answers EditRequest.
struct EditAnswer {
  static constexpr const char* wire_name = "EditAnswer";

  std::int64_t ask = 0;
  // An HTTP status; 0: the master does nothing with this copy of the request.
  std::int64_t code = 0;
  // Of the resource.
  std::int64_t version = 0;
  // JSON.
  std::string body{};
  std::int64_t term = 0;
  // With code 0: the request may be sent again with this timestamp while it is young enough.
  std::int64_t stamp = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.ask);
    visit("code", self.code);
    visit("version", self.version);
    visit("body", self.body);
    visit("term", self.term);
    visit("stamp", self.stamp);
  }
};

// Asks the master for its map and the fleet's status.
struct ViewAsk {
  static constexpr const char* wire_name = "ViewAsk";

  std::int64_t ask = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.ask);
  }
};

// Answers ViewRequest.
struct ViewAnswer {
  static constexpr const char* wire_name = "ViewAnswer";

  std::int64_t ask = 0;
  // The sender is the master.
  bool master = false;
  // It has been long enough for every data daemon to have reported.
  bool settled = false;
  PlacementMap map{};
  std::vector<InForce> in_force{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.ask);
    visit("master", self.master);
    visit("settled", self.settled);
    visit("map", self.map);
    visit("in_force", self.in_force);
  }
};

}  // namespace emberdale