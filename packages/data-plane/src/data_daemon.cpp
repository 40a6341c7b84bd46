#include "emberdale/data_daemon.hpp"

#include <algorithm>
#include <variant>

#include "emberdale/placement_map.hpp"
#include "emberdale/warmup_allocator.hpp"

namespace emberdale {
namespace {

constexpr Duration ping_interval{500}, subscribe_interval{400};
constexpr Duration discovery_interval{100};  // between pings while no map is known: the seeds may be starting as well
constexpr Duration request_interval{500}, urgent_request_interval{100};  // with a grant, and without one
constexpr Duration alive_timeout{2000};                                  // after the last message of a control daemon
constexpr Duration owner_silence_timeout{1300}, owner_outdated_timeout{700};
constexpr Duration owner_ejection_time{3000}, refused_owner_ejection_time{1000};
// A control daemon's word may be ahead of a shard owner's update by the way that the update has to go.
constexpr Duration named_version_timeout{1000};
constexpr int random_pings = 2;
// Between two subscriptions, however many are refused.
constexpr Duration resubscribe_interval{100};
// Control daemons that are asked at once for a newer reading of the list; others are asked the next time.
constexpr std::size_t most_asked = 8;

std::string owner_fields(const std::string& topic, const Address& owner) {
  return "topic=" + topic + " owner=" + owner.text;
}

bool is_in_service(const RoutingView& view, const RunnerName& runner) {
  auto row = view.runners.find(runner);
  return row != view.runners.end() &&
         (row->second.state == RunnerState::warm || row->second.state == RunnerState::warming_up);
}

bool is_draining(const RoutingView& view, const RunnerName& runner) {
  auto row = view.runners.find(runner);
  return row != view.runners.end() && row->second.state == RunnerState::draining;
}

}  // namespace

void DataDaemon::start(TimePoint now) {
  for (const auto& seed : seeds_)
    known_daemons_[seed].entry.address = seed;
  ping_next_ = request_next_ = subscribe_next_ = started_at_ = now;
  on_timer(now);
}

void DataDaemon::leave(TimePoint now) {
  is_leaving_ = true;
  subscribe(now);
}

// --- Messages ---------------------------------------------------------------------------------------

void DataDaemon::on_message(const Address& from, const Message& message, TimePoint now) {
  std::visit([&](const auto& received) { handle(from, received, now); }, message);
}

// A control daemon that remembers this one from before its start; its own seeds may all be gone.
void DataDaemon::handle(const Address& from, const PingRequest& ping, TimePoint now) {
  record_contact(from, ping.sender, ping.version, now);
}

void DataDaemon::handle(const Address& from, const PingResponse& response, TimePoint now) {
  record_contact(from, response.sender, response.version, now);
  bool is_new = false;
  for (const auto& entry : response.known_daemons)
    if (known_daemons_[entry.address].entry.role == DaemonRole::unspecified) {
      known_daemons_[entry.address].entry = entry;
      is_new = true;
    }
  lease_manager_.learn_acceptors(response.acceptors);
  if (!view()->edges.empty())
    return;
  // Until there is a map no interval is waited for: who responds is subscribed to, who is named is pinged.
  if (is_new)
    ping_control_daemons_in_zone();
  if (response.sender.role == DaemonRole::edge)
    subscribe_next_ = now;
}

void DataDaemon::handle(const Address&, const ReadResponse& response, TimePoint now) {
  lease_manager_.on_response(response, slice_cache_.version(), now);
}

void DataDaemon::handle(const Address&, const LeaseGrant& lease_grant, TimePoint) {
  lease_manager_.on_lease_grant(lease_grant, slice_cache_.version());
}

void DataDaemon::handle(const Address&, const DispatchBlock& block, TimePoint now) {
  if (block.is_lifted) {
    if (active_blocks_.erase(block.change_id) != 0)
      rebuild_view(now);
    return;
  }
  auto [active, is_new] = active_blocks_.insert({block.change_id, {block, {}}});
  active->second.until = now + block_duration;
  if (!is_new)
    return;
  ++counts_.blocks_applied;
  journal_.append(now, "barred", block.runner.empty() ? "zone=" + block.zone.text : "runner=" + block.runner.text);
  rebuild_view(now);
}

void DataDaemon::handle(const Address& from, const SliceUpdate& update, TimePoint now) {
  ++counts_.updates;
  auto topics = slice_cache_.topics();
  std::int64_t revision = view()->config_revision;
  bool is_subscribed = std::find(topics.begin(), topics.end(), update.topic) != topics.end();
  bool is_applied = is_subscribed && slice_cache_.apply(update);
  if (is_applied) {
    ++counts_.updates_applied;
    auto before = view();
    rebuild_view(now);
    journal_draining_runners(*before, now);
    lease_manager_.on_version(slice_cache_.version());
    if (named_version_ && !(slice_cache_.oldest_version() < named_version_->version))
      named_version_.reset();
  }
  confirm_owner(from, update, now);
  if (!is_applied)
    return;
  bool is_new_revision = view()->config_revision != revision;
  if (is_new_revision)
    journal_.append(now, "in_force",
                    "version=" + show(slice_cache_.version()) + " config=" + std::to_string(view()->config_revision));
  // A new revision: the shard owners, and through them the operators, hear of it at once.
  if (is_new_revision || slice_cache_.topics() != topics)
    subscribe(now);
}

void DataDaemon::handle(const Address& from, const AvailabilityReport& report, TimePoint now) {
  bool is_changed = availability_.take(report, now);
  if (availability_.lacks_runners())
    outbound_.push_back({from, AvailabilityRequest{now.value, true}});
  if (!is_changed)
    return;
  unavailable_ = std::make_shared<const UnavailableRunners>(availability_.current().unavailable);
  auto before = view();
  rebuild_view(now);
  journal_draining_runners(*before, now);
}

// Whoever is known is asked, and not the shard owners alone: they may be behind, or cut off with their master.
void DataDaemon::ask_for_availability(TimePoint now) {
  std::vector<Address> control_daemons;
  for (const auto& [address, known] : known_daemons_)
    if (known.entry.role != DaemonRole::core && known.entry.role != DaemonRole::data)
      control_daemons.push_back(address);
  std::size_t count = std::min(control_daemons.size(), most_asked);
  for (std::size_t i = 0; i < count; ++i) {
    auto left = static_cast<std::int64_t>(control_daemons.size() - i);
    std::swap(control_daemons[i], control_daemons[i + static_cast<std::size_t>(random_.below(left))]);
    outbound_.push_back({control_daemons[i], AvailabilityRequest{now.value, false}});
  }
}

// --- Discovery of control daemons -------------------------------------------------------------------

void DataDaemon::record_contact(const Address& from, const DaemonEntry& sender, const MapVersion& version,
                                TimePoint now) {
  KnownDaemon& known = known_daemons_[from];
  known.entry = sender;
  known.last_heard_at = now;
  observe_named_version(sender, version, now);
}

// Any control daemon's word counts: a shard owner that is cut off from the master can't know that it is.
void DataDaemon::observe_named_version(const DaemonEntry& sender, const MapVersion& version, TimePoint now) {
  if (sender.role == DaemonRole::edge && !named_version_ && slice_cache_.oldest_version() < version)
    named_version_ = NamedVersion{version, now};
}

bool DataDaemon::is_ejected(const Address& control_daemon, TimePoint now) const {
  auto ejected = ejected_owners_.find(control_daemon);
  return ejected != ejected_owners_.end() && now < ejected->second;
}

// The control daemons that hold the leader lease's word that they live, by the map.
std::vector<std::string> DataDaemon::listed_control_daemons(bool is_zone_required, TimePoint now) const {
  std::vector<std::string> listed;
  for (const auto& edge : view()->edges)
    if (!is_ejected(edge.daemon, now) && (!is_zone_required || edge.zone == self_.zone))
      listed.push_back(edge.daemon.text);
  return listed;
}

// The control daemons that responded to a ping lately.
std::vector<std::string> DataDaemon::responding_control_daemons(bool is_zone_required, TimePoint now) const {
  std::vector<std::string> responding;
  for (const auto& [address, known] : known_daemons_) {
    if (known.entry.role != DaemonRole::edge || now - known.last_heard_at > alive_timeout || is_ejected(address, now))
      continue;
    if (!is_zone_required || known.entry.zone == self_.zone)
      responding.push_back(address.text);
  }
  return responding;
}

// Those of this zone, by the map or by their responses; else those of all zones, by both.
std::vector<std::string> DataDaemon::live_control_daemons(TimePoint now) const {
  auto in_zone = listed_control_daemons(true, now);
  if (!in_zone.empty())
    return in_zone;
  in_zone = responding_control_daemons(true, now);
  if (!in_zone.empty())
    return in_zone;
  auto all = listed_control_daemons(false, now);
  auto responding = responding_control_daemons(false, now);
  all.insert(all.end(), responding.begin(), responding.end());
  if (all.empty())  // all of them are ejected: one that is slow is still better than none
    for (const auto& edge : view()->edges)
      all.push_back(edge.daemon.text);
  return all;
}

void DataDaemon::ping(const Address& address) {
  outbound_.push_back({address, PingRequest{0, self_, {}, slice_cache_.version()}});
}

void DataDaemon::ping_control_daemons_in_zone() {
  for (const auto& [address, known] : known_daemons_)
    if (known.entry.role == DaemonRole::edge && known.entry.zone == self_.zone)
      ping(address);
}

// Pings the control daemons that matter now, and two others at random.
void DataDaemon::ping_due(TimePoint now) {
  bool has_map = !view()->edges.empty();
  ping_next_ = now + (has_map ? ping_interval : discovery_interval);
  std::vector<Address> others;
  for (const auto& [address, known] : known_daemons_) {
    bool is_needed = !has_map && known.entry.role == DaemonRole::edge && known.entry.zone == self_.zone;
    bool is_seed = std::find(seeds_.begin(), seeds_.end(), address) != seeds_.end();
    if (is_needed || (is_seed && now - known.last_heard_at > alive_timeout))
      ping(address);
    else
      others.push_back(address);
  }
  for (int i = 0; i < random_pings && !others.empty(); ++i)
    ping(others[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(others.size())))]);
}

void DataDaemon::on_refused(const Address& peer, TimePoint now) {
  auto known = known_daemons_.find(peer);
  if (known != known_daemons_.end())
    known->second.last_heard_at = TimePoint{now.value - alive_timeout.value - 1};
  bool is_owner = std::any_of(shard_owners_.begin(), shard_owners_.end(),
                              [&](const auto& entry) { return entry.second.address == peer; });
  if (!is_owner)
    return;
  ejected_owners_[peer] = now + refused_owner_ejection_time;  // until it is back, or the map leaves it out
  ++counts_.owners_ejected;
  journal_.append(now, "home_gone", "owner=" + peer.text);
  subscribe_soon(now);
}

// --- Shard owners -----------------------------------------------------------------------------------

// Keeps the topic's shard owner, or assigns the first by rank; one that went silent is ejected.
DataDaemon::ShardOwner DataDaemon::assign_owner(const std::string& topic, std::vector<std::string>& live,
                                                TimePoint now) {
  ShardOwner owner = shard_owners_[topic];
  TimePoint last_sign = std::max(owner.assigned_at, owner.last_update_at);
  if (!owner.address.empty() && now - last_sign > owner_silence_timeout) {
    ejected_owners_[owner.address] = now + owner_ejection_time;
    live.erase(std::remove(live.begin(), live.end(), owner.address.text), live.end());
    journal_.append(now, "home_silent", owner_fields(topic, owner.address));
    ++counts_.owners_ejected;
    owner = ShardOwner{};
  }
  auto ranked = rendezvous_rank("home:" + topic, live);
  if (!ranked.empty() && ranked.front() != owner.address.text)
    owner = ShardOwner{Address{ranked.front()}, now};
  return owner;
}

// At once, unless the last subscription was just now: where every owner refuses, each refusal would cause others.
void DataDaemon::subscribe_soon(TimePoint now) {
  if (now - subscribed_at_ >= resubscribe_interval)
    subscribe(now);
  else
    subscribe_next_ = std::min(subscribe_next_, subscribed_at_ + resubscribe_interval);
}

void DataDaemon::subscribe(TimePoint now) {
  subscribed_at_ = now;
  std::map<Address, std::vector<TopicVersion>> topics_by_owner;
  std::map<std::string, ShardOwner> owners;
  auto live = live_control_daemons(now);
  for (const auto& known : slice_cache_.known()) {
    ShardOwner owner = assign_owner(known.topic, live, now);
    if (!owner.address.empty())
      topics_by_owner[owner.address].push_back(known);
    owners[known.topic] = owner;
  }
  shard_owners_ = std::move(owners);
  update_warmup_deadline();
  for (auto& [address, topics] : topics_by_owner)
    outbound_.push_back({address, Subscribe{self_, std::move(topics), slice_cache_.version(), view()->config_revision,
                                            is_granted(now), is_leaving_, now.value}});
}

// The register shows a minimum version above this map, or another control daemon names a newer one, and no shard owner
// has brought it: they may follow a master that is cut off with them. Others are subscribed to.
void DataDaemon::leave_outdated_owners(TimePoint now) {
  if (keeps_outdated_owners)
    return;
  const auto& since = lease_manager_.outdated_since();
  bool is_behind_register = since && now - *since >= owner_outdated_timeout;
  bool is_behind_others = named_version_ && now - named_version_->since >= named_version_timeout;
  for (const auto& known : slice_cache_.known()) {
    const ShardOwner& owner = shard_owners_[known.topic];
    bool is_topic_behind = is_behind_others && known.version != MapVersion{} && known.version < named_version_->version;
    bool is_outdated = is_behind_register || is_topic_behind;
    if (is_outdated && !owner.address.empty() && now - owner.assigned_at >= owner_outdated_timeout)
      eject_outdated_owner(known.topic, owner, now);
  }
}

void DataDaemon::eject_outdated_owner(const std::string& topic, const ShardOwner& owner, TimePoint now) {
  ejected_owners_[owner.address] = now + owner_ejection_time;
  ++counts_.owners_outdated;
  journal_.append(now, "home_outdated", owner_fields(topic, owner.address));
}

// What an update says of its master holds from this daemon's timestamp that its sender had seen: the update itself may
// have waited in a paused process. It confirms nothing for rows of another version, nor in another incarnation.
void DataDaemon::confirm_owner(const Address& from, const SliceUpdate& update, TimePoint now) {
  auto entry = shard_owners_.find(update.topic);
  if (entry == shard_owners_.end() || entry->second.address != from)
    return;
  ShardOwner& owner = entry->second;
  owner.last_update_at = now;
  bool is_of_this_incarnation = started_at_.value <= update.subscribe_sent_at && update.subscribe_sent_at <= now.value;
  if (is_of_this_incarnation && slice_cache_.version_of(update.topic) == update.version)
    owner.master_confirmed_at =
        std::max(owner.master_confirmed_at, TimePoint{update.subscribe_sent_at - update.quorum_age_ms});
  update_warmup_deadline();
}

// Slow-start quotas hold only while every pool's shard owner has heard the master lately.
void DataDaemon::update_warmup_deadline() {
  TimePoint until{INT64_MAX};
  for (const auto& [topic, owner] : shard_owners_)
    if (topic != plans_topic)
      until = std::min(until, owner.master_confirmed_at + WarmupAllocator::lease);
  lease_manager_.set_warming_up_until(until);
}

// --- The view and the grant -------------------------------------------------------------------------

void DataDaemon::rebuild_view(TimePoint now) {
  for (auto entry = active_blocks_.begin(); entry != active_blocks_.end();)
    entry = entry->second.until <= now ? active_blocks_.erase(entry) : std::next(entry);
  view_ = slice_cache_.view();
  bool is_ahead_of_map = std::any_of(unavailable_->begin(), unavailable_->end(),
                                     [&](const auto& entry) { return is_in_service(*view_, entry.first); });
  if (active_blocks_.empty() && !is_ahead_of_map)
    return;
  auto restricted = std::make_shared<RoutingView>(*view_);
  for (const auto& [name, marked_at] : *unavailable_)
    if (is_in_service(*restricted, name))
      restricted->runners.at(name).state = RunnerState::draining;
  for (auto& [name, row] : restricted->runners)
    for (const auto& [change, active] : active_blocks_) {
      bool is_runner_blocked = active.block.runner == name;
      bool is_zone_blocked = !active.block.zone.empty() && active.block.zone == row.zone;
      if (is_runner_blocked || is_zone_blocked)
        row.state = is_runner_blocked ? RunnerState::draining : RunnerState::evacuated;
    }
  view_ = restricted;
}

// From here on this daemon sends them nothing new.
void DataDaemon::journal_draining_runners(const RoutingView& before, TimePoint now) {
  std::string names;
  for (const auto& [name, row] : view()->runners)
    if (row.state == RunnerState::draining && !is_draining(before, name))
      names += " runner=" + name.text;
  if (!names.empty())
    journal_.append(now, "draining", "version=" + show(slice_cache_.version()) + names);
}

bool DataDaemon::is_granted(TimePoint now) const {
  return now < grant().until && grant().minimum_version <= slice_cache_.version();
}

void DataDaemon::renew_grant(TimePoint now) {
  request_next_ = now + request_interval;
  urgent_request_next_ = now + urgent_request_interval;
  lease_manager_.request_lease(now, view()->master);
}

void DataDaemon::journal_grant_change(TimePoint now) {
  bool is_granted_now = is_granted(now);
  if (is_granted_now == was_granted_)
    return;
  was_granted_ = is_granted_now;
  journal_.append(now, is_granted_now ? "granted" : "grant_lapsed", "version=" + show(slice_cache_.version()));
}

void DataDaemon::on_timer(TimePoint now) {
  if (ping_next_ <= now)
    ping_due(now);
  if (request_next_ <= now || (!is_granted(now) && urgent_request_next_ <= now))
    renew_grant(now);
  if (subscribe_next_ <= now) {
    subscribe_next_ = now + subscribe_interval;
    leave_outdated_owners(now);
    subscribe(now);
  }
  if (list_age_gate_.is_request_due(availability_.current().read_at, now))
    ask_for_availability(now);
  bool is_block_over = std::any_of(active_blocks_.begin(), active_blocks_.end(),
                                   [&](const auto& entry) { return entry.second.until <= now; });
  if (is_block_over)
    rebuild_view(now);
  journal_grant_change(now);
  for (auto& outbound : lease_manager_.drain_outbound())
    outbound_.push_back(std::move(outbound));
}

std::vector<OutboundMessage> DataDaemon::drain_outbound() {
  for (auto& outbound : lease_manager_.drain_outbound())
    outbound_.push_back(std::move(outbound));
  return std::exchange(outbound_, {});
}

}  // namespace emberdale
