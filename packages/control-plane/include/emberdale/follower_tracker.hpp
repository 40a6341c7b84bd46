// What the followers of a master hold, and which parts of a placement map have to be sent to each of them.
// Without I/O, clock or threads.
#pragma once
#include <cstdint>
#include <map>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

class FollowerTracker {
 public:
  explicit FollowerTracker(Address self) : self_(std::move(self)) {}

  // A term begins: nothing is known of the followers.
  void clear();
  void on_heartbeat(const Address& from, const Heartbeat& heartbeat);
  // How many daemons of the roster hold a map that covers that version; this daemon counts as one that does.
  std::size_t count_holders(const std::vector<DaemonEntry>& roster, const MapVersion& version) const;
  // Whether a follower that lacks the newest map may be sent it again now.
  bool is_resend_due(const Address& follower, TimePoint now);
  // The map as it goes to that follower. The rows of the routing table, which may be far larger than all else, go along
  // only where they are missing.
  PlacementUpdate update_for(const Address& follower, const PlacementMap& map, TimePoint now);
  // The map was sent to that follower just now.
  void on_sent(const Address& follower, TimePoint now) { map_sent_at_[follower] = now; }

 private:
  // By the configuration revision that the rows belong to.
  struct SentTable {
    std::int64_t confirmed = 0;  // what the follower said last that it holds
    std::int64_t sent = 0;       // what was sent to it last
    TimePoint sent_at{-100000};
  };

  Address self_;
  std::map<Address, MapVersion> versions_;
  std::map<Address, SentTable> tables_;
  std::map<Address, TimePoint> map_sent_at_;
};

}  // namespace emberdale
