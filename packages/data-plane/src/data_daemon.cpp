#include "emberdale/data_daemon.hpp"

#include <algorithm>

#include "emberdale/cold_shares.hpp"
#include "emberdale/placement_map.hpp"

namespace emberdale {
namespace {
constexpr Span ping_pace{500}, ask_pace{500}, hurried_pace{100}, subscribe_pace{400};
constexpr Span seeking_pace{100};  // between pings while no map is known: the seeds may be starting as well
constexpr Span alive_span{2000}, silent_home{1300}, shun_span{3000}, outdated_span{700};
constexpr Span named_span{1000};  // another control daemon's word may be ahead of the home's by the way it has to go
}  // namespace

void DataDaemon::start(Moment now) {
  for (const auto& seed : seeds_)
    known_[seed].entry.address = seed;
  ping_next_ = ask_next_ = subscribe_next_ = started_at_ = now;
  on_timer(now);
}

void DataDaemon::leave(Moment now) {
  is_leaving_ = true;
  subscribe(now);
}

// The register shows a minimum version above this map, or another control daemon names a newer one, and no home has
// brought it: they may follow a master that is cut off with them. Others are asked.
void DataDaemon::leave_outdated_homes(Moment now) {
  if (keeps_outdated_homes)
    return;
  const auto& since = keeper_.behind_since();
  bool is_behind_register = since && now - *since >= outdated_span;
  bool is_behind_others = awaited_ && now - awaited_->since >= named_span;
  for (const auto& known : book_.known()) {
    const Home& home = homes_[known.topic];
    bool is_outdated =
        is_behind_register || (is_behind_others && known.version != MapVersion{} && known.version < awaited_->version);
    if (is_outdated && !home.address.empty() && now - home.since >= outdated_span)
      shun_home(known.topic, home, now);
  }
}

void DataDaemon::shun_home(const std::string& topic, const Home& home, Moment now) {
  shunned_[home.address] = now + shun_span;
  ++counts_.homes_outdated;
  journal_.append(now, "home_outdated", topic + " at " + home.address.text);
}

// Any control daemon's word counts: a home that is cut off from the master can't know that it is.
void DataDaemon::see_named_version(const DaemonEntry& sender, const MapVersion& version, Moment now) {
  if (sender.role == "edge" && !awaited_ && book_.oldest_version() < version)
    awaited_ = NamedVersion{version, now};
}

std::vector<std::string> DataDaemon::live_edges(Moment now) const {
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
    if (known.entry.role != "edge" || now - known.heard > alive_span)
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
void DataDaemon::subscribe(Moment now) {
  std::map<Address, std::vector<TopicKnown>> by_home;
  auto live = live_edges(now);
  std::map<std::string, Home> homes;
  for (const auto& known : book_.known()) {
    Home home = homes_[known.topic];
    if (!home.address.empty() && now - std::max(home.since, home.news) > silent_home) {
      shunned_[home.address] = now + shun_span;
      live.erase(std::remove(live.begin(), live.end(), home.address.text), live.end());
      journal_.append(now, "home_silent", known.topic + " at " + home.address.text);
      ++counts_.homes_left;
      home = Home{};
    }
    auto ranked = rendezvous_rank("home:" + known.topic, live);
    if (!ranked.empty() && ranked.front() != home.address.text)
      home = Home{Address{ranked.front()}, now, Moment{-100000}};
    if (!home.address.empty())
      by_home[home.address].push_back(known);
    homes[known.topic] = home;
  }
  homes_ = std::move(homes);
  keep_cold_shares();
  bool is_granted = now < grant().until && grant().minimum_version <= book_.version();
  for (auto& [home, topics] : by_home)
    out_.push_back({home, Subscribe{self_, std::move(topics), book_.version(), view()->config_revision, is_granted,
                                    is_leaving_, now.value}});
}

void DataDaemon::on_message(const Address& from, const Message& message, Moment now) {
  if (const auto* ping = std::get_if<Ping>(&message)) {
    // One that remembers this daemon from before its start; its own seeds may all be gone.
    auto& known = known_[from];
    known.entry = ping->sender;
    known.heard = now;
    see_named_version(ping->sender, ping->version, now);
  }
  if (const auto* answer = std::get_if<PingAnswer>(&message)) {
    auto& known = known_[from];
    known.entry = answer->sender;
    known.heard = now;
    see_named_version(answer->sender, answer->version, now);
    bool is_new = false;
    for (const auto& entry : answer->known)
      if (known_[entry.address].entry.role.empty()) {
        known_[entry.address].entry = entry;
        is_new = true;
      }
    keeper_.learn_acceptors(answer->acceptors);
    // Until there is a map nothing waits for its pace: who answers is subscribed to, who is named is pinged.
    if (view()->edges.empty()) {
      if (is_new)
        ping_near();
      if (answer->sender.role == "edge")
        subscribe_next_ = now;
    }
  }
  if (const auto* answer = std::get_if<ReadAnswer>(&message))
    keeper_.on_answer(*answer, book_.version(), now);
  if (const auto* lease_grant = std::get_if<LeaseGrant>(&message))
    keeper_.on_lease_grant(*lease_grant, book_.version());
  if (const auto* hold = std::get_if<Hold>(&message))
    take_hold(*hold, now);
  if (const auto* news = std::get_if<SliceNews>(&message))
    take_news(from, *news, now);
}

void DataDaemon::take_news(const Address& from, const SliceNews& news, Moment now) {
  ++counts_.news;
  auto topics = book_.topics();
  Integer revision = view()->config_revision;
  bool is_used = std::find(topics.begin(), topics.end(), news.topic) != topics.end() && book_.apply(news);
  if (is_used) {
    ++counts_.news_used;
    fold_view(now);
    keeper_.on_version(book_.version());
    if (awaited_ && !(book_.oldest_version() < awaited_->version))
      awaited_.reset();
  }
  confirm_home(from, news, now);
  if (is_used && view()->config_revision != revision) {
    journal_.append(now, "in_force", show(book_.version()) + " config " + std::to_string(view()->config_revision));
    subscribe(now);  // the homes, and through them the operators, hear of it at once
  } else if (is_used && book_.topics() != topics) {
    subscribe(now);
  }
}

// What the news says of its master holds from the stamp of ours that its sender had seen: the news itself may have
// waited in a paused process. It confirms nothing for rows of another version, nor in another life of this daemon.
void DataDaemon::confirm_home(const Address& from, const SliceNews& news, Moment now) {
  auto entry = homes_.find(news.topic);
  if (entry == homes_.end() || entry->second.address != from)
    return;
  Home& home = entry->second;
  home.news = now;
  bool is_of_this_life = started_at_.value <= news.stamp && news.stamp <= now.value;
  if (is_of_this_life && book_.version_of(news.topic) == news.version)
    home.master_confirmed = std::max(home.master_confirmed, Moment{news.stamp - news.age});
  keep_cold_shares();
}

// Shares of cold runners hold only while every pool's home has heard the master lately.
void DataDaemon::keep_cold_shares() {
  Moment until{INT64_MAX};
  for (const auto& [topic, home] : homes_)
    if (topic != plans_topic)
      until = std::min(until, home.master_confirmed + ColdShares::lease);
  keeper_.set_cold_until(until);
}

void DataDaemon::take_hold(const Hold& hold, Moment now) {
  if (hold.lifted) {
    if (holds_.erase(hold.change) != 0)
      fold_view(now);
    return;
  }
  auto [held, is_new] = holds_.insert({hold.change, {hold, {}}});
  held->second.until = now + hold_length;
  if (!is_new)
    return;
  ++counts_.holds_held;
  journal_.append(now, "barred", hold.runner.empty() ? "zone " + hold.zone.text : hold.runner.text);
  fold_view(now);
}

void DataDaemon::fold_view(Moment now) {
  for (auto entry = holds_.begin(); entry != holds_.end();)
    entry = entry->second.until <= now ? holds_.erase(entry) : std::next(entry);
  view_ = book_.view();
  if (holds_.empty())
    return;
  auto barred = std::make_shared<TrafficView>(*view_);
  for (auto& [name, row] : barred->runners)
    for (const auto& [change, held] : holds_)
      if (held.hold.runner == name || (!held.hold.zone.empty() && held.hold.zone == row.zone))
        row.status = held.hold.runner == name ? "leaving" : "emptied";
  view_ = barred;
}

void DataDaemon::on_refused(const Address& peer, Moment now) {
  auto known = known_.find(peer);
  if (known != known_.end())
    known->second.heard = Moment{now.value - alive_span.value - 1};
  bool is_home =
      std::any_of(homes_.begin(), homes_.end(), [&](const auto& home) { return home.second.address == peer; });
  if (!is_home)
    return;
  shunned_[peer] = now + Span{1000};  // until it is back, or the map leaves it out
  ++counts_.homes_left;
  journal_.append(now, "home_gone", peer.text);
  subscribe(now);
}

void DataDaemon::ping_near() {
  for (const auto& [address, known] : known_)
    if (known.entry.role == "edge" && known.entry.zone == self_.zone)
      out_.push_back({address, Ping{0, self_, {}, book_.version()}});
}

void DataDaemon::on_timer(Moment now) {
  if (ping_next_ <= now) {
    ping_next_ = now + (view()->edges.empty() ? seeking_pace : ping_pace);
    std::vector<Address> others;
    for (const auto& [address, known] : known_) {
      bool is_near = view()->edges.empty() && known.entry.role == "edge" && known.entry.zone == self_.zone;
      bool is_seed = std::find(seeds_.begin(), seeds_.end(), address) != seeds_.end();
      if (is_near || (is_seed && now - known.heard > alive_span))
        out_.push_back({address, Ping{0, self_, {}, book_.version()}});
      else
        others.push_back(address);
    }
    for (int i = 0; i < 2 && !others.empty(); ++i)
      out_.push_back({others[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(others.size())))],
                      Ping{0, self_, {}, book_.version()}});
  }
  bool lacks_grant = !(now < grant().until && grant().minimum_version <= book_.version());
  if (ask_next_ <= now || (lacks_grant && hurried_next_ <= now)) {
    ask_next_ = now + ask_pace;
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
  for (auto& sending : keeper_.take_out())
    out_.push_back(std::move(sending));
}

std::vector<Sending> DataDaemon::take_out() {
  for (auto& sending : keeper_.take_out())
    out_.push_back(std::move(sending));
  return std::exchange(out_, {});
}

}  // namespace emberdale
