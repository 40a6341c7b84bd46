// Messages between proposers and replicas of the register: the two rounds of CASPaxos, reads, and the bootstrap.
// All times are in milliseconds.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "emberdale/fleet_state.hpp"

namespace emberdale {

// First round: asks a replica to promise that it accepts nothing below the ballot.
struct Prepare {
  static constexpr const char* wire_name = "Prepare";

  std::int64_t request_id = 0;
  // The replica that is meant; any other ignores the message.
  StoreId store{};
  Ballot ballot{};
  // The proposer holds the value of this ballot, which need not be sent again.
  Ballot known_ballot{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("store", self.store);
    visit("ballot", self.ballot);
    visit("known", self.known_ballot);
  }
};

// Answers Prepare.
struct Promise {
  static constexpr const char* wire_name = "Promise";

  std::int64_t request_id = 0;
  StoreId store{};
  bool granted = false;
  // The highest ballot that the replica has promised.
  Ballot promised{};
  // The ballot of the replica's value.
  Ballot accepted{};
  // An encoded FleetState; empty if the proposer holds it.
  Bytes value{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("store", self.store);
    visit("granted", self.granted);
    visit("promised", self.promised);
    visit("accepted", self.accepted);
    visit("value", self.value);
  }
};

// Second round: asks a replica to accept a value under the ballot.
struct Accept {
  static constexpr const char* wire_name = "Accept";

  std::int64_t request_id = 0;
  StoreId store{};
  Ballot ballot{};
  // An encoded FleetState, or a delta.
  Bytes value{};
  // If set, `value` is a delta against the value of this ballot.
  Ballot base{};
  // SHA-256 of the whole value, where a delta is sent.
  Bytes digest{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("store", self.store);
    visit("ballot", self.ballot);
    visit("value", self.value);
    visit("base", self.base);
    visit("digest", self.digest);
  }
};

// Answers Accept.
struct Accepted {
  static constexpr const char* wire_name = "Accepted";

  std::int64_t request_id = 0;
  StoreId store{};
  bool granted = false;
  Ballot promised{};
  // Not granted, as the replica does not hold the base of the delta.
  bool needs_full_value = false;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("store", self.store);
    visit("granted", self.granted);
    visit("promised", self.promised);
    visit("needs_whole", self.needs_full_value);
  }
};

// Asks a replica for its value.
struct ReadRequest {
  static constexpr const char* wire_name = "ReadAsk";

  std::int64_t request_id = 0;
  // Of the reader; the value is not sent to data daemons.
  DaemonRole role{};
  // The reader holds the value of this ballot.
  Ballot known_ballot{};
  // Asks for the replica's last contacts as well.
  bool wants_contacts = false;
  // Asks for the ballot alone, without the value.
  bool ballots_only = false;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("role", self.role);
    visit("known", self.known_ballot);
    visit("wants_heard", self.wants_contacts);
    visit("lean", self.ballots_only);
  }
};

// When a replica last received a message of a daemon.
struct LastContact {
  static constexpr const char* wire_name = "Heard";

  Address daemon{};
  std::int64_t age_ms = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("daemon", self.daemon);
    visit("age", self.age_ms);
  }
};

// Answers ReadRequest from what is synced to disk.
struct ReadResponse {
  static constexpr const char* wire_name = "ReadAnswer";

  std::int64_t request_id = 0;
  StoreId store{};
  // The replica holds no value.
  bool blank = false;
  Ballot accepted{};
  // An encoded FleetState or a delta; empty if it was not asked for.
  Bytes value{};
  MapVersion minimum_version{};
  std::vector<AcceptorEntry> acceptors{};
  std::vector<AcceptorEntry> next_acceptors{};
  std::vector<LastContact> contacts{};
  // How long the replica has been receiving messages.
  std::int64_t uptime_ms = 0;
  // As in Accept.
  Ballot base{};
  // As in Accept.
  Bytes digest{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("store", self.store);
    visit("blank", self.blank);
    visit("accepted", self.accepted);
    visit("value", self.value);
    visit("minimum_version", self.minimum_version);
    visit("acceptors", self.acceptors);
    visit("next_acceptors", self.next_acceptors);
    visit("heard", self.contacts);
    visit("awake", self.uptime_ms);
    visit("base", self.base);
    visit("digest", self.digest);
  }
};

// Asks a blank replica to take the first value of the register.
struct BootstrapRequest {
  static constexpr const char* wire_name = "Found";

  std::int64_t request_id = 0;
  StoreId store{};
  // An encoded FleetState.
  Bytes value{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("store", self.store);
    visit("value", self.value);
  }
};

// Answers BootstrapRequest.
struct BootstrapResponse {
  static constexpr const char* wire_name = "FoundAnswer";

  std::int64_t request_id = 0;
  StoreId store{};
  bool granted = false;
  // Why it was not granted.
  std::string reason{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("ask", self.request_id);
    visit("store", self.store);
    visit("granted", self.granted);
    visit("reason", self.reason);
  }
};

}  // namespace emberdale