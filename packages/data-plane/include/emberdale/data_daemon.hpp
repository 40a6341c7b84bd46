// The control state of one data daemon: what it follows of the placement map, and its grant to send.
// Without I/O, clock or threads.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/event_journal.hpp"
#include "emberdale/lease_manager.hpp"
#include "emberdale/list_age_gate.hpp"
#include "emberdale/routing_view.hpp"
#include "emberdale/runner_availability.hpp"
#include "emberdale/sending_knowledge.hpp"

namespace emberdale {

// Subscribes to the slices of the map, each at its shard owner (a control daemon of this zone, chosen by rendezvous
// hashing), and renews the grant at the register.
//
// Use:
//   DataDaemon daemon(self, seeds, random_seed); daemon.start(now);
//   daemon.on_message(from, message, now); daemon.on_timer(now);
//   for (auto& outbound : daemon.drain_outbound()) connections.send(outbound.to, outbound.message);
//   dispatcher.update_view(daemon.view(), now); dispatcher.set_grant(daemon.grant());
class DataDaemon {
 public:
  DataDaemon(DaemonEntry self, std::vector<Address> seeds, std::uint64_t random_seed)
      : self_(std::move(self)),
        seeds_(std::move(seeds)),
        random_(random_seed),
        lease_manager_(first_request_id(random_)) {}

  void start(TimePoint now);
  // The daemon is about to stop: the shard owners are notified at once, so that no one sends calls here any more.
  void leave(TimePoint now);
  void on_message(const Address& from, const Message& message, TimePoint now);
  void on_timer(TimePoint now);
  // No one listens at a peer's address.
  void on_refused(const Address& peer, TimePoint now);
  std::vector<OutboundMessage> drain_outbound();

  // A guard that a test takes out: stay with a shard owner although the register shows that its map is outdated.
  bool keeps_outdated_owners = false;

  const Grant& grant() const { return lease_manager_.grant(); }
  const LeaseManager& lease_manager() const { return lease_manager_; }
  // The map as it is followed, less what a dispatch block has taken away ahead of it.
  const std::shared_ptr<const RoutingView>& view() const { return view_; }
  // By which reading of the list of runners calls may be sent, and who is out of service by it.
  SendingKnowledge sending_knowledge() const {
    return {list_age_gate_.bound(availability_.current().read_at), unavailable_};
  }
  EventJournal& journal() { return journal_; }
  const DaemonEntry& self() const { return self_; }
  struct Counts {
    std::int64_t updates = 0, updates_applied = 0, owners_ejected = 0, owners_outdated = 0, blocks_applied = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  static constexpr TimePoint long_ago{-100000};

  // A control daemon that seeds, pings or responses have named.
  struct KnownDaemon {
    DaemonEntry entry;
    TimePoint last_heard_at{long_ago};
  };
  // The control daemon from which the slice of one topic comes.
  struct ShardOwner {
    Address address;
    TimePoint assigned_at{long_ago}, last_update_at{long_ago};
    TimePoint master_confirmed_at{long_ago};  // on this clock: a quorum surely followed the master then
  };
  struct ActiveBlock {
    DispatchBlock block;
    TimePoint until;
  };
  // A control daemon named a map that no shard owner has brought yet, and when.
  struct NamedVersion {
    MapVersion version;
    TimePoint since;
  };

  // One handler for each message; any other type is not meant for data daemons.
  void handle(const Address& from, const PingRequest& ping, TimePoint now);
  void handle(const Address& from, const PingResponse& response, TimePoint now);
  void handle(const Address& from, const ReadResponse& response, TimePoint now);
  void handle(const Address& from, const LeaseGrant& lease_grant, TimePoint now);
  void handle(const Address& from, const DispatchBlock& block, TimePoint now);
  void handle(const Address& from, const SliceUpdate& update, TimePoint now);
  void handle(const Address& from, const AvailabilityReport& report, TimePoint now);
  template <class Other>
  void handle(const Address&, const Other&, TimePoint) {}

  // Discovery of control daemons.
  void record_contact(const Address& from, const DaemonEntry& sender, const MapVersion& version, TimePoint now);
  void observe_named_version(const DaemonEntry& sender, const MapVersion& version, TimePoint now);
  bool is_ejected(const Address& control_daemon, TimePoint now) const;
  std::vector<std::string> listed_control_daemons(bool is_zone_required, TimePoint now) const;
  std::vector<std::string> responding_control_daemons(bool is_zone_required, TimePoint now) const;
  std::vector<std::string> live_control_daemons(TimePoint now) const;
  void ping(const Address& address);
  void ping_control_daemons_in_zone();
  void ping_due(TimePoint now);

  // The list of runners.
  void ask_for_availability(TimePoint now);

  // Shard owners.
  void subscribe(TimePoint now);
  void subscribe_soon(TimePoint now);
  ShardOwner assign_owner(const std::string& topic, std::vector<std::string>& live, TimePoint now);
  void leave_outdated_owners(TimePoint now);
  void eject_outdated_owner(const std::string& topic, const ShardOwner& owner, TimePoint now);
  void confirm_owner(const Address& from, const SliceUpdate& update, TimePoint now);
  void update_warmup_deadline();

  // The view and the grant.
  void rebuild_view(TimePoint now);
  bool is_granted(TimePoint now) const;
  void renew_grant(TimePoint now);
  void journal_grant_change(TimePoint now);
  // Records the runners that the view shows as draining and the one before did not.
  void journal_draining_runners(const RoutingView& before, TimePoint now);

  DaemonEntry self_;
  std::vector<Address> seeds_;
  RandomGenerator random_;
  std::map<Address, KnownDaemon> known_daemons_;
  std::map<std::string, ShardOwner> shard_owners_;  // by topic
  std::map<Address, TimePoint> ejected_owners_;     // shard owners that failed, until then
  SliceCache slice_cache_;
  std::map<std::string, ActiveBlock> active_blocks_;  // by change id
  AvailabilityTracker availability_;
  // The unavailable runners of `availability_`, shared with the dispatch thread.
  std::shared_ptr<const UnavailableRunners> unavailable_ = std::make_shared<UnavailableRunners>();
  ListAgeGate list_age_gate_;
  std::shared_ptr<const RoutingView> view_ = slice_cache_.view();
  LeaseManager lease_manager_;
  EventJournal journal_{256};
  TimePoint ping_next_, request_next_, urgent_request_next_, subscribe_next_;
  TimePoint subscribed_at_{long_ago};
  TimePoint started_at_;
  std::optional<NamedVersion> named_version_;
  bool was_granted_ = false, is_leaving_ = false;
  std::vector<OutboundMessage> outbound_;
  Counts counts_;
};

}  // namespace emberdale
