#include "emberdale/data_daemon.hpp"

#include <algorithm>

#include "emberdale/placement_map.hpp"
#include "emberdale/warmup_shares.hpp"

namespace emberdale {
namespace {
constexpr Duration ping_pace{500}, request_interval{500}, hurried_pace{100}, subscribe_pace{400};
constexpr Duration seeking_pace{100};  // between pings while no map is known: the seeds may be starting as well
constexpr Duration alive_timeout{2000}, silent_home{1300}, ejection_time{3000}, outdated_timeout{700};
constexpr Duration named_lifetime{
    1000};  // another control daemon's word may be ahead of the home's by the way it has to go
}  // namespace

void DataDaemon::start(TimePoint now) {
  for (const auto& seed : seeds_)
    known_[seed].entry.address = seed;
  ping_next_ = request_next_ = subscribe_next_ = started_at_ = now;
  on_timer(now);
}

void DataDaemon::leave(TimePoint now) {
  is_leaving_ = true;
  subscribe(now);
}

// The register shows a minimum version above this map, or another control daemon names a newer one, and no home has
// brought it: they may follow a master that is cut off with them. Others are asked.
void DataDaemon::leave_outdated_homes(TimePoint now) {
  if (keeps_outdated_homes)
    return;
  const auto& since = keeper_.behind_since();
  bool is_behind_register = since && now - *since >= outdated_timeout;
  bool is_behind_others = awaited_ && now - awaited_->since >= named_lifetime;
  for (const auto& known : book_.known()) {
    const Home& home = homes_[known.topic];
    bool is_outdated =
        is_behind_register || (is_behind_others && known.version != MapVersion{} && known.version < awaited_->version);
    if (is_outdated && !home.address.empty() && now - home.since >= outdated_timeout)
      eject_owner(known.topic, home, now);
  }
}

void DataDaemon::eject_owner(const std::string& topic, const Home& home, TimePoint now) {
  shunned_[home.address] = now + ejection_time;
  ++counts_.homes_outdated;
  journal_.append(now, "home_outdated", topic + " at " + home.address.text);
}

// Any control daemon's word counts: a home that is cut off from the master can't know that it is.
void DataDaemon::observe_named_version(const DaemonEntry& sender, const MapVersion& version, TimePoint now) {
  if (sender.role == DaemonRole::edge && !awaited_ && book_.oldest_version() < version)
    awaited_ = NamedVersion{version, now};
}

std::vector<std::string> DataDaemon::live_edges(TimePoint now) const {
  std::vector<std::string> near, all;
  // Who lives is the leader lease, in the map; before there is a map, whoever answered a ping.
  for (const auto& edge : view()->edges) {
    auto shunned = shunned_.find(edge.daemon);
    if (shunned != shunned_.end() && now < shunned->second)
      continue;
    all.push_back(edge.daemon.text);
    if (edge.zone == self_.zone)
      near.push_back(edge.daemon.text);
  }
  if (!near.empty())
    return near;
  for (const auto& [address, known] : known_) {
    if (known.entry.role != DaemonRole::edge || now - known.heard > alive_timeout)
      continue;
    auto shunned = shunned_.find(address);
    if (shunned != shunned_.end() && now < shunned->second)
      continue;
    all.push_back(address.text);
    if (known.entry.zone == self_.zone)
      near.push_back(address.text);
  }
  if (near.empty() && all.empty()) {
    // All of them were shunned: one that is slow is still better than none.
    for (const auto& edge : view()->edges)
      all.push_back(edge.daemon.text);
  }
  return near.empty() ? all : near;
}

// Each service's home in this zone is subscribed to; a home that went silent is left for the next.
void DataDaemon::subscribe(TimePoint now) {
  std::map<Address, std::vector<TopicVersion>> by_home;
  auto live = live_edges(now);
  std::map<std::string, Home> homes;
  for (const auto& known : book_.known()) {
    Home home = homes_[known.topic];
    if (!home.address.empty() && now - std::max(home.since, home.news) > silent_home) {
      shunned_[home.address] = now + ejection_time;
      live.erase(std::remove(live.begin(), live.end(), home.address.text), live.end());
      journal_.append(now, "home_silent", known.topic + " at " + home.address.text);
      ++counts_.homes_left;
      home = Home{};
    }
    auto ranked = rendezvous_rank("home:" + known.topic, live);
    if (!ranked.empty() && ranked.front() != home.address.text)
      home = Home{Address{ranked.front()}, now, TimePoint{-100000}};
    if (!home.address.empty())
      by_home[home.address].push_back(known);
    homes[known.topic] = home;
  }
  homes_ = std::move(homes);
  keep_warmup_shares();
  bool is_granted = now < grant().until && grant().minimum_version <= book_.version();
  for (auto& [home, topics] : by_home)
    out_.push_back({home, Subscribe{self_, std::move(topics), book_.version(), view()->config_revision, is_granted,
                                    is_leaving_, now.value}});
}

void DataDaemon::on_message(const Address& from, const Message& message, TimePoint now) {
  if (const auto* ping = std::get_if<PingRequest>(&message)) {
    // One that remembers this daemon from before its start; its own seeds may all be gone.
    auto& known = known_[from];
    known.entry = ping->sender;
    known.heard = now;
    observe_named_version(ping->sender, ping->version, now);
  }
  if (const auto* response = std::get_if<PingResponse>(&message)) {
    auto& known = known_[from];
    known.entry = response->sender;
    known.heard = now;
    observe_named_version(response->sender, response->version, now);
    bool is_new = false;
    for (const auto& entry : response->known_daemons)
      if (known_[entry.address].entry.role == DaemonRole::unspecified) {
        known_[entry.address].entry = entry;
        is_new = true;
      }
    keeper_.learn_acceptors(response->acceptors);
    // Until there is a map nothing waits for its pace: who answers is subscribed to, who is named is pinged.
    if (view()->edges.empty()) {
      if (is_new)
        ping_near();
      if (response->sender.role == DaemonRole::edge)
        subscribe_next_ = now;
    }
  }
  if (const auto* response = std::get_if<ReadResponse>(&message))
    keeper_.on_response(*response, book_.version(), now);
  if (const auto* lease_grant = std::get_if<LeaseGrant>(&message))
    keeper_.on_lease_grant(*lease_grant, book_.version());
  if (const auto* block = std::get_if<DispatchBlock>(&message))
    apply_block(*block, now);
  if (const auto* update = std::get_if<SliceUpdate>(&message))
    drain_updates(from, *update, now);
}

void DataDaemon::drain_updates(const Address& from, const SliceUpdate& update, TimePoint now) {
  ++counts_.news;
  auto topics = book_.topics();
  std::int64_t revision = view()->config_revision;
  bool is_used = std::find(topics.begin(), topics.end(), update.topic) != topics.end() && book_.apply(update);
  if (is_used) {
    ++counts_.news_used;
    fold_view(now);
    keeper_.on_version(book_.version());
    if (awaited_ && !(book_.oldest_version() < awaited_->version))
      awaited_.reset();
  }
  confirm_home(from, update, now);
  if (is_used && view()->config_revision != revision) {
    journal_.append(now, "in_force", show(book_.version()) + " config " + std::to_string(view()->config_revision));
    subscribe(now);  // the homes, and through them the operators, hear of it at once
  } else if (is_used && book_.topics() != topics) {
    subscribe(now);
  }
}

// What the news says of its master holds from the stamp of ours that its sender had seen: the news itself may have
// waited in a paused process. It confirms nothing for rows of another version, nor in another life of this daemon.
void DataDaemon::confirm_home(const Address& from, const SliceUpdate& update, TimePoint now) {
  auto entry = homes_.find(update.topic);
  if (entry == homes_.end() || entry->second.address != from)
    return;
  Home& home = entry->second;
  home.news = now;
  bool is_of_this_incarnation = started_at_.value <= update.subscribe_sent_at && update.subscribe_sent_at <= now.value;
  if (is_of_this_incarnation && book_.version_of(update.topic) == update.version)
    home.master_confirmed = std::max(home.master_confirmed, TimePoint{update.subscribe_sent_at - update.quorum_age_ms});
  keep_warmup_shares();
}

// Shares of cold runners hold only while every pool's home has heard the master lately.
void DataDaemon::keep_warmup_shares() {
  TimePoint until{INT64_MAX};
  for (const auto& [topic, home] : homes_)
    if (topic != plans_topic)
      until = std::min(until, home.master_confirmed + WarmupShares::lease);
  keeper_.set_warming_up_until(until);
}

void DataDaemon::apply_block(const DispatchBlock& block, TimePoint now) {
  if (block.is_lifted) {
    if (holds_.erase(block.change_id) != 0)
      fold_view(now);
    return;
  }
  auto [held, is_new] = holds_.insert({block.change_id, {block, {}}});
  held->second.until = now + block_duration;
  if (!is_new)
    return;
  ++counts_.holds_held;
  journal_.append(now, "barred", block.runner.empty() ? "zone " + block.zone.text : block.runner.text);
  fold_view(now);
}

void DataDaemon::fold_view(TimePoint now) {
  for (auto entry = holds_.begin(); entry != holds_.end();)
    entry = entry->second.until <= now ? holds_.erase(entry) : std::next(entry);
  view_ = book_.view();
  if (holds_.empty())
    return;
  auto barred = std::make_shared<RoutingView>(*view_);
  for (auto& [name, row] : barred->runners)
    for (const auto& [change, held] : holds_)
      if (held.block.runner == name || (!held.block.zone.empty() && held.block.zone == row.zone))
        row.state = held.block.runner == name ? RunnerState::draining : RunnerState::evacuated;
  view_ = barred;
}

void DataDaemon::on_refused(const Address& peer, TimePoint now) {
  auto known = known_.find(peer);
  if (known != known_.end())
    known->second.heard = TimePoint{now.value - alive_timeout.value - 1};
  bool is_home =
      std::any_of(homes_.begin(), homes_.end(), [&](const auto& home) { return home.second.address == peer; });
  if (!is_home)
    return;
  shunned_[peer] = now + Duration{1000};  // until it is back, or the map leaves it out
  ++counts_.homes_left;
  journal_.append(now, "home_gone", peer.text);
  subscribe(now);
}

void DataDaemon::ping_near() {
  for (const auto& [address, known] : known_)
    if (known.entry.role == DaemonRole::edge && known.entry.zone == self_.zone)
      out_.push_back({address, PingRequest{0, self_, {}, book_.version()}});
}

void DataDaemon::on_timer(TimePoint now) {
  if (ping_next_ <= now) {
    ping_next_ = now + (view()->edges.empty() ? seeking_pace : ping_pace);
    std::vector<Address> others;
    for (const auto& [address, known] : known_) {
      bool is_near = view()->edges.empty() && known.entry.role == DaemonRole::edge && known.entry.zone == self_.zone;
      bool is_seed = std::find(seeds_.begin(), seeds_.end(), address) != seeds_.end();
      if (is_near || (is_seed && now - known.heard > alive_timeout))
        out_.push_back({address, PingRequest{0, self_, {}, book_.version()}});
      else
        others.push_back(address);
    }
    for (int i = 0; i < 2 && !others.empty(); ++i)
      out_.push_back({others[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(others.size())))],
                      PingRequest{0, self_, {}, book_.version()}});
  }
  bool lacks_grant = !(now < grant().until && grant().minimum_version <= book_.version());
  if (request_next_ <= now || (lacks_grant && hurried_next_ <= now)) {
    request_next_ = now + request_interval;
    hurried_next_ = now + hurried_pace;
    keeper_.ask(now, view()->master);
  }
  if (subscribe_next_ <= now) {
    subscribe_next_ = now + subscribe_pace;
    leave_outdated_homes(now);
    subscribe(now);
  }
  if (std::any_of(holds_.begin(), holds_.end(), [&](const auto& entry) { return entry.second.until <= now; }))
    fold_view(now);
  bool is_granted = now < grant().until && grant().minimum_version <= book_.version();
  if (is_granted != was_granted_) {
    was_granted_ = is_granted;
    journal_.append(now, is_granted ? "granted" : "grant_lapsed", show(book_.version()));
  }
  for (auto& message : keeper_.drain_outbound())
    out_.push_back(std::move(message));
}

std::vector<OutboundMessage> DataDaemon::drain_outbound() {
  for (auto& message : keeper_.drain_outbound())
    out_.push_back(std::move(message));
  return std::exchange(out_, {});
}

}  // namespace emberdale
