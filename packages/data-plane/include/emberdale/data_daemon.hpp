// The control state of one data daemon: what it follows of the map, and its grant to send.
// Without I/O, clock or threads.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/event_journal.hpp"
#include "emberdale/grant_keeper.hpp"
#include "emberdale/traffic_view.hpp"

namespace emberdale {

// Example:
//   DataDaemon daemon(self, seeds, 1); daemon.start(now);
//   daemon.on_message(from, message, now); daemon.on_timer(now);
//   for (auto& s : daemon.take_out()) links.send(s.to, s.message);
//   dispatcher.see(daemon.view(), now); dispatcher.set_grant(daemon.grant());
class DataDaemon {
 public:
  DataDaemon(DaemonEntry self, std::vector<Address> seeds, std::uint64_t random_seed)
      : self_(std::move(self)), seeds_(std::move(seeds)), random_(random_seed), keeper_(first_ask(random_)) {}

  void start(Moment now);
  // It leaves: the homes are told at once, so that no one is sent here any more. Example: daemon.leave(now);
  void leave(Moment now);
  void on_message(const Address& from, const Message& message, Moment now);
  void on_timer(Moment now);
  // No one listens at a peer's address. Example: daemon.on_refused(peer, now);
  void on_refused(const Address& peer, Moment now);
  std::vector<Sending> take_out();

  // A guard that a test takes out: stay with a home although the register shows that its map is outdated.
  bool keeps_outdated_homes = false;

  const Grant& grant() const { return keeper_.grant(); }
  const GrantKeeper& keeper() const { return keeper_; }
  // The map as it is followed, less what a hold has taken away ahead of it.
  const std::shared_ptr<const TrafficView>& view() const { return view_; }
  EventJournal& journal() { return journal_; }
  const DaemonEntry& self() const { return self_; }
  struct Counts {
    std::int64_t news = 0, news_used = 0, homes_left = 0, homes_outdated = 0, holds_held = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  struct Known {
    DaemonEntry entry;
    Moment heard{-100000};
  };
  struct Home {
    Address address;
    Moment since{-100000}, news{-100000};
    Moment master_confirmed{-100000};  // on this clock: a quorum surely followed the master then
  };
  std::vector<std::string> live_edges(Moment now) const;
  void subscribe(Moment now);
  void ping_near();
  void take_hold(const Hold& hold, Moment now);
  void fold_view(Moment now);
  void keep_cold_shares();
  void leave_outdated_homes(Moment now);
  void shun_home(const std::string& topic, const Home& home, Moment now);
  void take_news(const Address& from, const SliceNews& news, Moment now);
  void confirm_home(const Address& from, const SliceNews& news, Moment now);
  void see_named_version(const DaemonEntry& sender, const MapVersion& version, Moment now);

  DaemonEntry self_;
  std::vector<Address> seeds_;
  RandomGenerator random_;
  std::map<Address, Known> known_;
  std::map<std::string, Home> homes_;  // by topic
  std::map<Address, Moment> shunned_;  // homes that went silent, until then
  SliceBook book_;
  struct HeldHold {
    Hold hold;
    Moment until;
  };
  std::map<std::string, HeldHold> holds_;  // by change
  std::shared_ptr<const TrafficView> view_ = book_.view();
  GrantKeeper keeper_;
  EventJournal journal_{256};
  Moment ping_next_, ask_next_, hurried_next_, subscribe_next_;
  Moment started_at_;
  // A control daemon named a map that no home has brought yet, and when.
  struct NamedVersion {
    MapVersion version;
    Moment since;
  };
  std::optional<NamedVersion> awaited_;
  bool was_granted_ = false, is_leaving_ = false;
  std::vector<Sending> out_;
  Counts counts_;
};

}  // namespace emberdale
