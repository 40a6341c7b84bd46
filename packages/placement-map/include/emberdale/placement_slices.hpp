// Slices of the placement map: the rows of one topic, sent as a snapshot and then as deltas.
//
// A topic is the plans topic, or that of one pool. The control daemon that owns a topic's shard publishes it
// (SlicePublisher), each data daemon that subscribes keeps a copy (SliceReplica). Without I/O, clock or threads.
#pragma once
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

// The topic with all but the runners: plans, routing table, gateways, master, control daemons and regions.
inline constexpr const char* plans_topic = "plans";
// The topic with the runners of a pool. Example: pool_topic(PoolName{"models"}) == "pool:models"
std::string pool_topic(const PoolName& pool);

// Encoded rows by key. A key is the kind of the row, a slash and its name, such as "runner/r1".
using SliceRows = std::map<std::string, std::string>;
// The rows of one topic of a map. Example: slice_rows(map, plans_topic)
SliceRows slice_rows(const PlacementMap& map, const std::string& topic);

// The publishing side, at a control daemon: sends each subscriber the topics that it asked for.
// Invariant: a subscriber is never sent a version older than the one it has reported or been sent.
// Example:
//   SlicePublisher publisher;
//   publisher.on_map(map, now);
//   publisher.on_subscribe(from, subscribe, now);
//   for (auto& outbound : publisher.drain_outbound())
//     connections.send(outbound.to, outbound.message);
class SlicePublisher {
 public:
  // Takes a new map and sends all subscribers what has changed in their topics.
  void on_map(const PlacementMap& map, TimePoint now);
  // Notes a moment at which a quorum surely followed the master whose map this is. Each update says how long ago that
  // was, which bounds the lease that a subscriber serves by. Older moments are ignored.
  void note_master_heard(TimePoint at) { master_heard_at_ = std::max(master_heard_at_, at); }
  // Adds or refreshes a subscription and sends what the subscriber lacks of its topics. The topics of an earlier
  // subscription that are not named any more end.
  void on_subscribe(const Address& from, const Subscribe& subscribe, TimePoint now);
  // What each subscriber has reported as its applied configuration, with the age of that report.
  std::vector<DaemonStatus> subscriber_statuses(TimePoint now) const;
  // Who has subscribed and was heard lately.
  std::vector<Address> subscribers() const;
  // While paused nothing is sent to subscribers, and what they report is still noted.
  void set_paused(bool is_paused) { is_paused_ = is_paused; }
  // Removes the subscribers that have not been heard for longer than the timeout.
  void remove_silent_subscribers(TimePoint now, Duration timeout);
  // The messages to send, in order.
  std::vector<OutboundMessage> drain_outbound();
  // How many rows were sent since the start.
  std::int64_t rows_sent() const { return rows_sent_; }

 private:
  // What a subscriber was last sent of one topic.
  struct SentTopic {
    MapVersion version;
    std::shared_ptr<const SliceRows> rows;  // shared by all subscribers that were sent the same
  };
  struct Subscriber {
    DaemonStatus status;
    TimePoint heard_at;
    std::int64_t subscribe_sent_at = 0;  // on the subscriber's clock; updates return it
    std::map<std::string, SentTopic> topics;
  };
  // What turns one set of rows into another.
  struct Delta {
    std::vector<SliceRow> changed_rows;
    std::vector<std::string> removed_keys;
  };
  // Identifies two sets of rows by their addresses; only used while one event is handled.
  struct DeltaKey {
    const SliceRows* from;
    const SliceRows* to;
    friend bool operator<(const DeltaKey& left, const DeltaKey& right) {
      return std::tie(left.from, left.to) < std::tie(right.from, right.to);
    }
  };

  void send_topic(const Address& to, std::int64_t subscribe_sent_at, const std::string& name, SentTopic& sent,
                  const MapVersion& known, TimePoint now);
  const std::shared_ptr<const SliceRows>& current_rows(const std::string& topic);
  const Delta& find_delta(const std::shared_ptr<const SliceRows>& from, const std::shared_ptr<const SliceRows>& to);

  PlacementMap map_;
  bool is_paused_ = false;
  TimePoint master_heard_at_{-1000000};
  std::map<Address, Subscriber> subscribers_;
  std::map<std::string, std::shared_ptr<const SliceRows>> rows_by_topic_;  // of map_, made when first asked for
  std::map<DeltaKey, Delta> deltas_;  // computed once for all subscribers, kept only while one event is handled
  std::vector<OutboundMessage> outbound_;
  std::int64_t rows_sent_ = 0;
};

// The subscriber's copy of one topic.
// Invariant: its version never goes back, and a delta is applied only to the version that it was made from.
// Example: if (replica.apply(update)) use(replica.rows());
class SliceReplica {
 public:
  // Applies an update and says whether it brought anything new.
  bool apply(const SliceUpdate& update);
  // The version of the map that the rows are of; MapVersion{} before the first snapshot.
  const MapVersion& version() const { return version_; }
  // The revision of the configuration that this map was computed from.
  std::int64_t config_revision() const { return config_revision_; }
  const SliceRows& rows() const { return rows_; }

 private:
  bool is_applicable(const SliceUpdate& update) const;

  MapVersion version_;
  std::int64_t config_revision_ = 0;
  SliceRows rows_;
};

}  // namespace emberdale
