// The grant under which a data daemon may send: proof by a register majority that its map is current.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/freshness_times.hpp"
#include "emberdale/messages.hpp"

namespace emberdale {

// What the traffic thread checks at the gate and again at the moment of send.
struct Grant {
  TimePoint until{-1};
  MapVersion minimum_version;
  TimePoint warming_up_until{INT64_MAX};  // until then its shares of cold runners may be used
};

// Example:
//   LeaseManager keeper; keeper.learn_acceptors(acceptors); keeper.ask(now);   // every 500 ms
//   keeper.on_response(from, answer, my_version, now); keeper.grant().until > now
class LeaseManager {
 public:
  // Asks are numbered from there. Example: LeaseManager keeper(first_request_id(random generator));
  explicit LeaseManager(std::int64_t first = 0) : last_request_id_(first) {}
  void learn_acceptors(const std::vector<AcceptorEntry>& acceptors);
  // Asks the master as well while the register has not answered for a while.
  void ask(TimePoint now, const Address& master = {});
  void on_lease_grant(const LeaseGrant& lease_grant, const MapVersion& mine);
  // The time of the grant counts from before the ask, on the steady clock.
  void on_response(const ReadResponse& response, const MapVersion& mine, TimePoint now);
  // A newer map may be all that was missing. Example: keeper.on_version(mine)
  void on_version(const MapVersion& mine);
  const Grant& grant() const { return grant_; }
  void set_warming_up_until(TimePoint until) { grant_.warming_up_until = until; }
  std::vector<OutboundMessage> drain_outbound();
  // Since when a register majority shows a minimum version above this daemon's map; nothing if it shows none.
  // Example: if (auto since = keeper.behind_since()) look_for_another_home();
  const std::optional<TimePoint>& behind_since() const { return behind_since_; }
  std::int64_t renewed() const { return renewed_; }
  std::int64_t behind() const { return behind_; }
  std::int64_t lease_granted() const { return lease_granted_; }

 private:
  struct Asked {
    std::int64_t ask = 0;
    TimePoint begun;
    std::set<StoreId> answered;
    Ballot highest;
    std::vector<AcceptorEntry> acceptors, next;
    MapVersion minimum_version;
    bool is_proven = false;
  };
  void settle(Asked& asked, const MapVersion& mine);

  std::vector<AcceptorEntry> acceptors_, next_;
  std::map<std::int64_t, Asked> asked_;  // the last few, so a slow answer still counts
  std::int64_t last_request_id_;
  Grant grant_;
  std::vector<OutboundMessage> out_;
  std::int64_t renewed_ = 0, behind_ = 0, lease_granted_ = 0;
  std::optional<TimePoint> behind_since_;
};

}  // namespace emberdale
