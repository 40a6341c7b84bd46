// The grant under which a data daemon may send: proof by a register majority that its map is current.
// Without I/O, clock or threads.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/freshness_times.hpp"
#include "emberdale/messages.hpp"

namespace emberdale {

// A lease to serve; the dispatcher checks it at admission and again when it sends.
struct Grant {
  TimePoint until{-1};
  MapVersion minimum_version;             // an older map must not be served by
  TimePoint warming_up_until{INT64_MAX};  // until then slow-start quotas may be used
};

// Requests the register's minimum version, and the leader lease of the master while the register is silent; either
// extends the grant. A grant counts from before its request was sent, on this daemon's steady clock.
//
// Use:
//   manager.learn_acceptors(acceptors); manager.request_lease(now, master);  // every 500 ms
//   manager.on_response(response, own_version, now); if (now < manager.grant().until) serve();
class LeaseManager {
 public:
  // Requests are numbered from there: see first_request_id.
  explicit LeaseManager(std::int64_t first = 0) : last_request_id_(first) {}
  // The replicas of the register, from discovery; ignored once a replica has named them.
  void learn_acceptors(const std::vector<AcceptorEntry>& acceptors);
  // Sends requests to the register, and to the master if the register has not responded for a while.
  void request_lease(TimePoint now, const Address& master = {});
  // The leader lease counts for maps of its own term alone: of a newer one it knows nothing.
  void on_lease_grant(const LeaseGrant& lease_grant, const MapVersion& own_version);
  void on_response(const ReadResponse& response, const MapVersion& own_version, TimePoint now);
  // This daemon's map has moved on; that may be all that a majority's proof lacked.
  void on_version(const MapVersion& own_version);
  const Grant& grant() const { return grant_; }
  void set_warming_up_until(TimePoint until) { grant_.warming_up_until = until; }
  std::vector<OutboundMessage> drain_outbound();
  // Since when a register majority shows a minimum version above this daemon's map; nothing if it shows none.
  const std::optional<TimePoint>& outdated_since() const { return outdated_since_; }
  // Proofs by the register that extended the grant, proofs for which the map was too old, and leader leases used.
  std::int64_t renewed() const { return renewed_; }
  std::int64_t behind() const { return behind_; }
  std::int64_t lease_granted() const { return lease_granted_; }

 private:
  // One request to all replicas, and what they responded.
  struct PendingRead {
    TimePoint sent_at;
    std::set<StoreId> responded;
    Ballot highest;
    std::vector<AcceptorEntry> acceptors, next_acceptors;  // as the highest ballot names them
    MapVersion minimum_version;
    bool is_proven = false;
  };
  void drop_expired_reads(TimePoint now);
  void evaluate(PendingRead& read, const MapVersion& own_version);
  void extend_grant(TimePoint sent_at, const MapVersion& minimum_version);

  std::vector<AcceptorEntry> acceptors_, next_acceptors_;
  std::map<std::int64_t, PendingRead> pending_reads_;  // by request id; several, so that a slow response still counts
  std::int64_t last_request_id_;
  Grant grant_;
  std::vector<OutboundMessage> outbound_;
  std::int64_t renewed_ = 0, behind_ = 0, lease_granted_ = 0;
  std::optional<TimePoint> outdated_since_;
};

}  // namespace emberdale
