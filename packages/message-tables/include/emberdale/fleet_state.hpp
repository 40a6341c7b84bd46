// The value that the register holds and the records that its replicas write to disk.
//
// FleetState and AcceptorRecord, and the records within them, lie on disk: fields are added at the end of a record
// and nowhere else (see avro_record_codec.hpp). All times are in milliseconds.
#pragma once
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "emberdale/bytes.hpp"
#include "emberdale/record_enumerations.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

// The number of a round of the register, ordered by number and then by proposer (CASPaxos, "ballot number").
struct Ballot {
  static constexpr const char* wire_name = "Ballot";

  std::int64_t number = 0;
  // The proposer that uses this number; no two proposers share a ballot.
  Address proposer{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("number", self.number);
    visit("proposer", self.proposer);
  }
};

inline bool operator<(const Ballot& a, const Ballot& b) {
  return std::tie(a.number, a.proposer) < std::tie(b.number, b.proposer);
}
inline bool operator==(const Ballot& a, const Ballot& b) { return !(a < b) && !(b < a); }
inline bool operator!=(const Ballot& a, const Ballot& b) { return !(a == b); }

// The version of a placement map, ordered by the term of the master that published it and its number in that term.
struct MapVersion {
  static constexpr const char* wire_name = "MapVersion";

  std::int64_t term = 0;
  std::int64_t number = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("term", self.term);
    visit("number", self.number);
  }
};

inline bool operator<(const MapVersion& a, const MapVersion& b) {
  return std::tie(a.term, a.number) < std::tie(b.term, b.number);
}
inline bool operator==(const MapVersion& a, const MapVersion& b) { return !(a < b) && !(b < a); }
inline bool operator!=(const MapVersion& a, const MapVersion& b) { return !(a == b); }
inline bool operator<=(const MapVersion& a, const MapVersion& b) { return !(b < a); }

// The version as text for logs and operators: "TERM.NUMBER".
inline std::string show(const MapVersion& version) {
  return std::to_string(version.term) + "." + std::to_string(version.number);
}

// One daemon of the fleet.
struct DaemonEntry {
  static constexpr const char* wire_name = "DaemonEntry";

  // Of its peer connections; identifies the daemon.
  Address address{};
  // Of its HTTP interface.
  std::string http_address{};
  DaemonRole role{};
  ZoneName zone{};
  RegionName region{};
  // Grows with each start of the process.
  std::int64_t incarnation = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("address", self.address);
    visit("http", self.http_address);
    visit("role", self.role);
    visit("zone", self.zone);
    visit("region", self.region);
    visit("incarnation", self.incarnation);
  }
};

// A member of the replica set.
struct AcceptorEntry {
  static constexpr const char* wire_name = "AcceptorEntry";

  // Identifies the replica's data; a machine that lost its disk comes back with another one.
  StoreId store{};
  Address address{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("store", self.store);
    visit("address", self.address);
  }
};

// One document that operators declare.
struct Resource {
  static constexpr const char* wire_name = "Resource";

  // One of the texts of ResourceKind, or another that an operator chose.
  std::string kind{};
  std::string name{};
  // Of this resource; never used twice for one name.
  std::int64_t version = 0;
  // Of the configuration that the last change of this resource made.
  std::int64_t config_revision = 0;
  // JSON.
  std::string body{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("kind", self.kind);
    visit("name", self.name);
    visit("version", self.version);
    visit("config_revision", self.config_revision);
    visit("body", self.body);
  }
};

// A change that was committed, remembered so that a repeated request is acknowledged and not applied again.
struct CompletedChange {
  static constexpr const char* wire_name = "DoneChange";

  std::string change_id{};
  // Of the resource that it made.
  std::int64_t version = 0;
  // Of the configuration that it made.
  std::int64_t config_revision = 0;
  // SHA-256 of the request; empty in the records of earlier versions.
  Bytes digest{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("change", self.change_id);
    visit("version", self.version);
    visit("config_revision", self.config_revision);
    visit("digest", self.digest);
  }
};

// The whole value of the register.
struct FleetState {
  static constexpr const char* wire_name = "FleetState";

  // Given when the fleet is bootstrapped; never changes.
  std::string fleet_name{};
  // Counts the values; each change adds one.
  std::int64_t version = 0;
  // Counts the changes of resources.
  std::int64_t config_revision = 0;
  std::vector<Resource> resources{};
  // The highest version that any deleted resource had; new resources start above it.
  std::int64_t deleted_version = 0;
  // The control daemons that may vote in elections.
  std::vector<DaemonEntry> roster{};
  // Of the newest master.
  std::int64_t term = 0;
  // Who claimed the term; empty if it has resigned.
  Address master{};
  // The time that the master of this term waits before it acknowledges changes: leases of the previous term end
  // within it.
  std::int64_t acknowledgement_wait_ms = 0;
  // The oldest map version that may still serve.
  MapVersion minimum_version{};
  // Daemons of which a majority must acknowledge before the master grants leases.
  std::vector<Address> lease_roster{};
  // The replica set.
  std::vector<AcceptorEntry> acceptors{};
  // The replica set that a joint change leads to; empty if none is under way.
  std::vector<AcceptorEntry> next_acceptors{};
  // The newest changes, oldest first.
  std::vector<CompletedChange> completed_changes{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("fleet", self.fleet_name);
    visit("version", self.version);
    visit("config_revision", self.config_revision);
    visit("resources", self.resources);
    visit("deleted_version", self.deleted_version);
    visit("roster", self.roster);
    visit("term", self.term);
    visit("master", self.master);
    visit("ack_wait", self.acknowledgement_wait_ms);
    visit("minimum_version", self.minimum_version);
    visit("lease_roster", self.lease_roster);
    visit("acceptors", self.acceptors);
    visit("next_acceptors", self.next_acceptors);
    visit("done", self.completed_changes);
  }
};

// What one replica writes to its log.
struct AcceptorRecord {
  static constexpr const char* wire_name = "AcceptorRecord";

  Ballot promised{};
  // False if the value is the one of an earlier record.
  bool has_value = false;
  Ballot accepted{};
  // An encoded FleetState.
  Bytes value{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("promised", self.promised);
    visit("has_value", self.has_value);
    visit("accepted", self.accepted);
    visit("value", self.value);
  }
};

}  // namespace emberdale