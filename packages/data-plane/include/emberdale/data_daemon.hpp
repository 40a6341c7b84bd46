// The control state of one data daemon: what it follows of the map, and its grant to send.
// Without I/O, clock or threads.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/event_journal.hpp"
#include "emberdale/lease_manager.hpp"
#include "emberdale/routing_view.hpp"

namespace emberdale {

// Example:
//   DataDaemon daemon(self, seeds, 1); daemon.start(now);
//   daemon.on_message(from, message, now); daemon.on_timer(now);
//   for (auto& s : daemon.drain_outbound()) links.send(s.to, s.message);
//   dispatcher.see(daemon.view(), now); dispatcher.set_grant(daemon.grant());
class DataDaemon {
 public:
  DataDaemon(DaemonEntry self, std::vector<Address> seeds, std::uint64_t random_seed)
      : self_(std::move(self)), seeds_(std::move(seeds)), random_(random_seed), keeper_(first_request_id(random_)) {}

  void start(TimePoint now);
  // It leaves: the homes are told at once, so that no one is sent here any more. Example: daemon.leave(now);
  void leave(TimePoint now);
  void on_message(const Address& from, const Message& message, TimePoint now);
  void on_timer(TimePoint now);
  // No one listens at a peer's address. Example: daemon.on_refused(peer, now);
  void on_refused(const Address& peer, TimePoint now);
  std::vector<OutboundMessage> drain_outbound();

  // A guard that a test takes out: stay with a home although the register shows that its map is outdated.
  bool keeps_outdated_homes = false;

  const Grant& grant() const { return keeper_.grant(); }
  const LeaseManager& keeper() const { return keeper_; }
  // The map as it is followed, less what a hold has taken away ahead of it.
  const std::shared_ptr<const RoutingView>& view() const { return view_; }
  EventJournal& journal() { return journal_; }
  const DaemonEntry& self() const { return self_; }
  struct Counts {
    std::int64_t news = 0, news_used = 0, homes_left = 0, homes_outdated = 0, holds_held = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Known {
    DaemonEntry entry;
    TimePoint heard{-100000};
  };
  struct Home {
    Address address;
    TimePoint since{-100000}, news{-100000};
    TimePoint master_confirmed{-100000};  // on this clock: a quorum surely followed the master then
  };
  std::vector<std::string> live_edges(TimePoint now) const;
  void subscribe(TimePoint now);
  void ping_near();
  void apply_block(const DispatchBlock& block, TimePoint now);
  void fold_view(TimePoint now);
  void keep_warmup_shares();
  void leave_outdated_homes(TimePoint now);
  void eject_owner(const std::string& topic, const Home& home, TimePoint now);
  void drain_updates(const Address& from, const SliceUpdate& update, TimePoint now);
  void confirm_home(const Address& from, const SliceUpdate& update, TimePoint now);
  void observe_named_version(const DaemonEntry& sender, const MapVersion& version, TimePoint now);

  DaemonEntry self_;
  std::vector<Address> seeds_;
  RandomGenerator random_;
  std::map<Address, Known> known_;
  std::map<std::string, Home> homes_;     // by topic
  std::map<Address, TimePoint> shunned_;  // homes that went silent, until then
  SliceCache book_;
  struct ActiveBlock {
    DispatchBlock block;
    TimePoint until;
  };
  std::map<std::string, ActiveBlock> holds_;  // by change
  std::shared_ptr<const RoutingView> view_ = book_.view();
  LeaseManager keeper_;
  EventJournal journal_{256};
  TimePoint ping_next_, request_next_, hurried_next_, subscribe_next_;
  TimePoint started_at_;
  // A control daemon named a map that no home has brought yet, and when.
  struct NamedVersion {
    MapVersion version;
    TimePoint since;
  };
  std::optional<NamedVersion> awaited_;
  bool was_granted_ = false, is_leaving_ = false;
  std::vector<OutboundMessage> out_;
  Counts counts_;
};

}  // namespace emberdale
