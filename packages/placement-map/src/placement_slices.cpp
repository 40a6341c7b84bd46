#include "emberdale/placement_slices.hpp"

#include "emberdale/avro_codec.hpp"

namespace emberdale {

namespace {

SliceRows plans_topic_rows(const PlacementMap& map) {
  SliceRows rows;
  for (const auto& plan : map.plans)
    rows["plan/" + plan.name.text] = encode_plan_row(plan);
  for (const auto& gateway : map.gateways)
    rows["gateway/" + gateway.daemon.text] = encode_gateway_row(gateway);
  for (const auto& row : map.routing_table)
    rows["traffic/" + row.key] = row.body.data;
  rows["master"] = encode_gateway_row({map.master, "", {}, {}});
  for (const auto& edge : map.edges)
    rows["edge/" + edge.daemon.text] = encode_gateway_row(edge);
  for (const auto& region : map.regions)
    rows["region/" + region.pool.text + "/" + region.region.text] = encode_region_row(region);
  return rows;
}

SliceRows pool_topic_rows(const PlacementMap& map, const std::string& topic) {
  SliceRows rows;
  for (const auto& runner : map.runners)
    if (pool_topic(runner.pool) == topic)
      rows["runner/" + runner.name.text] = encode_runner_row(runner);
  return rows;
}

}  // namespace

std::string pool_topic(const PoolName& pool) { return "pool:" + pool.text; }

SliceRows slice_rows(const PlacementMap& map, const std::string& topic) {
  return topic == plans_topic ? plans_topic_rows(map) : pool_topic_rows(map, topic);
}

void SlicePublisher::on_map(const PlacementMap& map, TimePoint now) {
  map_ = map;
  rows_by_topic_.clear();
  deltas_.clear();
  for (auto& [address, subscriber] : subscribers_)
    for (auto& [name, sent] : subscriber.topics)
      send_topic(address, subscriber.subscribe_sent_at, name, sent, sent.version, now);
  deltas_.clear();  // its keys name rows that no one may hold any more
}

const std::shared_ptr<const SliceRows>& SlicePublisher::current_rows(const std::string& topic) {
  auto& rows = rows_by_topic_[topic];
  if (!rows)
    rows = std::make_shared<const SliceRows>(slice_rows(map_, topic));
  return rows;
}

const SlicePublisher::Delta& SlicePublisher::find_delta(const std::shared_ptr<const SliceRows>& from,
                                                        const std::shared_ptr<const SliceRows>& to) {
  auto [entry, is_new] = deltas_.insert({DeltaKey{from.get(), to.get()}, Delta{}});
  Delta& delta = entry->second;
  if (!is_new || from == to)
    return delta;
  for (const auto& [key, body] : *to) {
    auto old = from->find(key);
    if (old == from->end() || old->second != body)
      delta.changed_rows.push_back({key, {body}});
  }
  for (const auto& [key, body] : *from)
    if (to->count(key) == 0)
      delta.removed_keys.push_back(key);
  return delta;
}

// Sends a topic to a subscriber that is known to hold the given version: a delta if that is what it was last sent,
// else a snapshot. A subscriber that holds a newer map than this publisher is sent nothing: versions never go back.
void SlicePublisher::send_topic(const Address& to, std::int64_t subscribe_sent_at, const std::string& name,
                                SentTopic& sent, const MapVersion& known, TimePoint now) {
  if (is_paused_ || map_.version == MapVersion{} || map_.version < known)
    return;
  const std::shared_ptr<const SliceRows>& rows = current_rows(name);
  SliceUpdate update;
  update.topic = name;
  update.version = map_.version;
  update.base_version = known;
  update.config_revision = map_.config_revision;
  update.quorum_age_ms = (now - master_heard_at_).value;
  update.subscribe_sent_at = subscribe_sent_at;
  update.is_snapshot = !(known == sent.version) || known == MapVersion{} || !sent.rows;
  if (update.is_snapshot) {
    for (const auto& [key, body] : *rows)
      update.rows.push_back({key, {body}});
  } else {
    const Delta& delta = find_delta(sent.rows, rows);
    update.rows = delta.changed_rows;
    update.removed_keys = delta.removed_keys;
  }
  rows_sent_ += static_cast<std::int64_t>(update.rows.size());
  sent.version = map_.version;
  sent.rows = rows;
  outbound_.push_back({to, std::move(update)});
}

void SlicePublisher::on_subscribe(const Address& from, const Subscribe& subscribe, TimePoint now) {
  Subscriber& subscriber = subscribers_[from];
  subscriber.heard_at = now;
  subscriber.subscribe_sent_at = subscribe.sent_at;
  subscriber.status = DaemonStatus{subscribe.sender,    subscribe.version,     subscribe.config_revision,
                                   subscribe.has_grant, subscribe.is_draining, 0};
  std::map<std::string, SentTopic> topics;
  for (const auto& known : subscribe.topics) {
    SentTopic& sent = topics[known.topic] = std::move(subscriber.topics[known.topic]);
    send_topic(from, subscriber.subscribe_sent_at, known.topic, sent, known.version, now);
  }
  subscriber.topics = std::move(topics);
  deltas_.clear();
}

std::vector<DaemonStatus> SlicePublisher::subscriber_statuses(TimePoint now) const {
  std::vector<DaemonStatus> statuses;
  for (const auto& [address, subscriber] : subscribers_) {
    statuses.push_back(subscriber.status);
    statuses.back().age_ms = (now - subscriber.heard_at).value;
  }
  return statuses;
}

std::vector<Address> SlicePublisher::subscribers() const {
  std::vector<Address> addresses;
  for (const auto& [address, subscriber] : subscribers_)
    addresses.push_back(address);
  return addresses;
}

void SlicePublisher::remove_silent_subscribers(TimePoint now, Duration timeout) {
  for (auto entry = subscribers_.begin(); entry != subscribers_.end();) {
    if (now - entry->second.heard_at > timeout)
      entry = subscribers_.erase(entry);
    else
      ++entry;
  }
}

std::vector<OutboundMessage> SlicePublisher::drain_outbound() { return std::exchange(outbound_, {}); }

bool SliceReplica::is_applicable(const SliceUpdate& update) const {
  if (update.is_snapshot)
    return version_ < update.version;
  if (update.version < version_ || !(update.base_version == version_))
    return false;
  bool is_empty = update.rows.empty() && update.removed_keys.empty();
  return !(update.version == version_ && is_empty);
}

bool SliceReplica::apply(const SliceUpdate& update) {
  if (!is_applicable(update))
    return false;
  if (update.is_snapshot)
    rows_.clear();
  for (const auto& row : update.rows)
    rows_[row.key] = row.body.data;
  for (const auto& key : update.removed_keys)
    rows_.erase(key);
  version_ = update.version;
  config_revision_ = update.config_revision;
  return true;
}

}  // namespace emberdale
