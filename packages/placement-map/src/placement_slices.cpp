#include "emberdale/placement_slices.hpp"

#include "emberdale/avro_codec.hpp"

namespace emberdale {

std::string pool_topic(const PoolName& pool) { return "pool:" + pool.text; }

std::map<std::string, std::string> slice_rows(const PlacementMap& map, const std::string& topic) {
  std::map<std::string, std::string> rows;
  if (topic == plans_topic) {
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
  for (const auto& runner : map.runners)
    if (pool_topic(runner.pool) == topic)
      rows["runner/" + runner.name.text] = encode_runner_row(runner);
  return rows;
}

void SlicePublisher::on_map(const PlacementMap& map, TimePoint now) {
  map_ = map;
  rows_.clear();
  differences_.clear();
  for (auto& [address, subscriber] : subscribers_)
    for (auto& [name, topic] : subscriber.topics)
      feed(address, subscriber.stamp, name, topic, topic.sent, now);
  differences_.clear();  // they name rows that may go now
}

const SlicePublisher::Difference& SlicePublisher::difference(const std::shared_ptr<const Rows>& from,
                                                             const std::shared_ptr<const Rows>& to) {
  auto [entry, is_new] = differences_.insert({{from.get(), to.get()}, {}});
  Difference& found = entry->second;
  if (!is_new || from == to)
    return found;
  for (const auto& [key, body] : *to) {
    auto old = from->find(key);
    if (old == from->end() || old->second != body)
      found.rows.push_back({key, {body}});
  }
  for (const auto& [key, body] : *from)
    if (to->count(key) == 0)
      found.gone.push_back(key);
  return found;
}

void SlicePublisher::feed(const Address& to, std::int64_t stamp, const std::string& name, Topic& topic,
                          const MapVersion& known, TimePoint now) {
  if (is_held_ || map_.version == MapVersion{})
    return;
  auto cut = rows_.find(name);
  if (cut == rows_.end())
    cut = rows_.emplace(name, std::make_shared<const Rows>(slice_rows(map_, name))).first;
  const auto& rows = cut->second;
  SliceUpdate update;
  update.topic = name;
  update.version = map_.version;
  update.config_revision = map_.config_revision;
  update.quorum_age_ms = (now - master_heard_).value;
  update.subscribe_sent_at = stamp;
  // A subscriber that is further than this home is left alone: versions never go back.
  if (map_.version < known)
    return;
  update.is_snapshot = !(known == topic.sent) || known == MapVersion{} || !topic.rows;
  update.base_version = known;
  if (update.is_snapshot) {
    for (const auto& [key, body] : *rows)
      update.rows.push_back({key, {body}});
  } else {
    const Difference& change = difference(topic.rows, rows);
    update.rows = change.rows;
    update.removed_keys = change.gone;
  }
  rows_sent_ += static_cast<std::int64_t>(update.rows.size());
  topic.sent = map_.version;
  topic.rows = rows;
  out_.push_back({to, std::move(update)});
}

void SlicePublisher::on_subscribe(const Address& from, const Subscribe& subscribe, TimePoint now) {
  auto& subscriber = subscribers_[from];
  subscriber.heard = now;
  subscriber.stamp = subscribe.sent_at;
  subscriber.report = DaemonStatus{subscribe.sender,    subscribe.version,     subscribe.config_revision,
                                   subscribe.has_grant, subscribe.is_draining, 0};
  std::map<std::string, Topic> topics;
  for (const auto& known : subscribe.topics) {
    auto& topic = topics[known.topic] = std::move(subscriber.topics[known.topic]);
    feed(from, subscriber.stamp, known.topic, topic, known.version, now);
  }
  subscriber.topics = std::move(topics);
  differences_.clear();
}

std::vector<DaemonStatus> SlicePublisher::in_force(TimePoint now) const {
  std::vector<DaemonStatus> reports;
  for (const auto& [address, subscriber] : subscribers_) {
    reports.push_back(subscriber.report);
    reports.back().age_ms = (now - subscriber.heard).value;
  }
  return reports;
}

void SlicePublisher::forget_silent(TimePoint now, Duration silence) {
  for (auto entry = subscribers_.begin(); entry != subscribers_.end();) {
    if (now - entry->second.heard > silence)
      entry = subscribers_.erase(entry);
    else
      ++entry;
  }
}

std::vector<OutboundMessage> SlicePublisher::drain_outbound() { return std::exchange(out_, {}); }

bool SliceReplica::apply(const SliceUpdate& update) {
  if (update.version < version_)
    return false;
  if (update.is_snapshot) {
    if (update.version == version_)
      return false;
    rows_.clear();
  } else {
    if (!(update.base_version == version_))
      return false;
    if (update.version == version_ && update.rows.empty() && update.removed_keys.empty())
      return false;
  }
  for (const auto& row : update.rows)
    rows_[row.key] = row.body.data;
  for (const auto& key : update.removed_keys)
    rows_.erase(key);
  version_ = update.version;
  config_revision_ = update.config_revision;
  return true;
}

}  // namespace emberdale
