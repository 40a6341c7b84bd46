// Slices of the map: what a home daemon feeds its subscribers, and what a subscriber holds.
#pragma once
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

inline constexpr const char* plans_topic = "plans";
// Example: pool_topic(PoolName{"models"}) == "pool:models"
std::string pool_topic(const PoolName& pool);

// The rows of one topic, by key. Example: slice_rows(map, "plans")
std::map<std::string, std::string> slice_rows(const PlacementMap& map, const std::string& topic);

// The home's side. Example:
//   SlicePublisher publisher; publisher.on_map(map, now); publisher.on_subscribe(from, subscribe, now);
//   for (auto& sending : publisher.drain_outbound()) links.send(sending.to, sending.message);
class SlicePublisher {
 public:
  void on_map(const PlacementMap& map, TimePoint now);
  // When a quorum last surely followed the master whose map this is: subscribers are told how long ago that was.
  void hear_master(TimePoint at) { master_heard_ = std::max(master_heard_, at); }
  TimePoint master_heard() const { return master_heard_; }
  void on_subscribe(const Address& from, const Subscribe& subscribe, TimePoint now);
  // Who subscribes and what they say is in force, with the age of that word.
  std::vector<DaemonStatus> in_force(TimePoint now) const;
  // While held no subscriber is fed. Example: publisher.set_held(true)
  void set_held(bool is_held) { is_held_ = is_held; }
  void forget_silent(TimePoint now, Duration silence);
  std::vector<OutboundMessage> drain_outbound();
  std::int64_t rows_sent() const { return rows_sent_; }

 private:
  using Rows = std::map<std::string, std::string>;
  struct Topic {
    MapVersion sent;
    std::shared_ptr<const Rows> rows;  // as sent last, shared by all who have them
  };
  struct Difference {
    std::vector<SliceRow> rows;
    std::vector<std::string> gone;
  };
  const Difference& difference(const std::shared_ptr<const Rows>& from, const std::shared_ptr<const Rows>& to);
  struct Subscriber {
    DaemonStatus report;
    TimePoint heard;
    std::int64_t stamp = 0;  // of its clock, the newest seen
    std::map<std::string, Topic> topics;
  };
  void feed(const Address& to, std::int64_t stamp, const std::string& name, Topic& topic, const MapVersion& known,
            TimePoint now);

  PlacementMap map_;
  bool is_held_ = false;
  TimePoint master_heard_{-1000000};
  std::map<Address, Subscriber> subscribers_;
  std::map<std::string, std::shared_ptr<const Rows>> rows_;                // of the map, cut once
  std::map<std::pair<const Rows*, const Rows*>, Difference> differences_;  // worked out once for all subscribers
  std::vector<OutboundMessage> out_;
  std::int64_t rows_sent_ = 0;
};

// The subscriber's side of one topic: versions never go back, and a change fits only its base.
// Example: if (holder.apply(news)) use(holder.rows());
class SliceReplica {
 public:
  bool apply(const SliceUpdate& update);
  const MapVersion& version() const { return version_; }
  std::int64_t config_revision() const { return config_revision_; }
  const std::map<std::string, std::string>& rows() const { return rows_; }

 private:
  MapVersion version_;
  std::int64_t config_revision_ = 0;
  std::map<std::string, std::string> rows_;
};

}  // namespace emberdale
