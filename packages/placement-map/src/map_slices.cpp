#include "emberdale/map_slices.hpp"

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
    for (const auto& row : map.traffic)
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

void SlicePublisher::on_map(const PlacementMap& map, Moment now) {
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

void SlicePublisher::feed(const Address& to, Integer stamp, const std::string& name, Topic& topic,
                          const MapVersion& known, Moment now) {
  if (is_held_ || map_.version == MapVersion{})
    return;
  auto cut = rows_.find(name);
  if (cut == rows_.end())
    cut = rows_.emplace(name, std::make_shared<const Rows>(slice_rows(map_, name))).first;
  const auto& rows = cut->second;
  SliceNews news;
  news.topic = name;
  news.version = map_.version;
  news.config_revision = map_.config_revision;
  news.age = (now - master_heard_).value;
  news.stamp = stamp;
  // A subscriber that is further than this home is left alone: versions never go back.
  if (map_.version < known)
    return;
  news.whole = !(known == topic.sent) || known == MapVersion{} || !topic.rows;
  news.base = known;
  if (news.whole) {
    for (const auto& [key, body] : *rows)
      news.rows.push_back({key, {body}});
  } else {
    const Difference& change = difference(topic.rows, rows);
    news.rows = change.rows;
    news.gone = change.gone;
  }
  rows_sent_ += static_cast<std::int64_t>(news.rows.size());
  topic.sent = map_.version;
  topic.rows = rows;
  out_.push_back({to, std::move(news)});
}

void SlicePublisher::on_subscribe(const Address& from, const Subscribe& subscribe, Moment now) {
  auto& subscriber = subscribers_[from];
  subscriber.heard = now;
  subscriber.stamp = subscribe.stamp;
  subscriber.report =
      InForce{subscribe.sender, subscribe.version, subscribe.config_revision, subscribe.granted, subscribe.leaving, 0};
  std::map<std::string, Topic> topics;
  for (const auto& known : subscribe.topics) {
    auto& topic = topics[known.topic] = std::move(subscriber.topics[known.topic]);
    feed(from, subscriber.stamp, known.topic, topic, known.version, now);
  }
  subscriber.topics = std::move(topics);
  differences_.clear();
}

std::vector<InForce> SlicePublisher::in_force(Moment now) const {
  std::vector<InForce> reports;
  for (const auto& [address, subscriber] : subscribers_) {
    reports.push_back(subscriber.report);
    reports.back().age = (now - subscriber.heard).value;
  }
  return reports;
}

void SlicePublisher::forget_silent(Moment now, Span silence) {
  for (auto entry = subscribers_.begin(); entry != subscribers_.end();) {
    if (now - entry->second.heard > silence)
      entry = subscribers_.erase(entry);
    else
      ++entry;
  }
}

std::vector<Sending> SlicePublisher::take_out() { return std::exchange(out_, {}); }

bool SliceHolder::apply(const SliceNews& news) {
  if (news.version < version_)
    return false;
  if (news.whole) {
    if (news.version == version_)
      return false;
    rows_.clear();
  } else {
    if (!(news.base == version_))
      return false;
    if (news.version == version_ && news.rows.empty() && news.gone.empty())
      return false;
  }
  for (const auto& row : news.rows)
    rows_[row.key] = row.body.data;
  for (const auto& key : news.gone)
    rows_.erase(key);
  version_ = news.version;
  config_revision_ = news.config_revision;
  return true;
}

}  // namespace emberdale
