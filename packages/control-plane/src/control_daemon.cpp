#include "emberdale/control_daemon.hpp"

#include <algorithm>

namespace emberdale {
namespace {

constexpr Span poll_pace{350}, gossip_pace{500};
constexpr Span alive_span{2000};
constexpr Span load_pace{500}, placement_pace{40};
constexpr Span gateway_memory{600000};
constexpr Span front_silence{1300};
constexpr Span traffic_again{2000};  // rows of the traffic table that were sent and not confirmed are sent again

bool has_daemon(const std::vector<DaemonEntry>& roster, const Address& address) {
  return std::any_of(roster.begin(), roster.end(), [&](const auto& entry) { return entry.address == address; });
}

}  // namespace

ControlDaemon::ControlDaemon(ControlDaemonSettings settings, std::unique_ptr<RegisterAcceptor> acceptor)
    : settings_(std::move(settings)),
      random_(settings_.random_seed),
      last_ask_(first_ask(random_)),
      acceptor_(std::move(acceptor)),
      proposer_(settings_.self.address, RandomGenerator(settings_.random_seed + 1)),
      election_(settings_.self, RandomGenerator(settings_.random_seed + 2), settings_.election),
      lease_(proposer_, election_, settings_.self.address),
      edits_(proposer_, election_, lease_, journal_, settings_.self.address),
      reconciler_(proposer_, settings_.self.address, RandomGenerator(settings_.random_seed + 5)),
      founder_(proposer_, journal_, settings_.self.address, settings_.seeds,
               RandomGenerator(settings_.random_seed + 6)),
      core_set_(proposer_, journal_, settings_.self.role, acceptor_ != nullptr,
                RandomGenerator(settings_.random_seed + 3)),
      roster_keeper_(proposer_, journal_, settings_.self, RandomGenerator(settings_.random_seed + 4),
                     settings_.dead_member_span),
      runner_watch_(settings_.self, settings_.probe_pace) {
  lease_.is_wait_off = settings_.acknowledges_at_once;
  if (settings_.reconciles_membership && acceptor_)
    core_set_.set_reconciler(reconciler_);
}

void ControlDaemon::start(Moment now) {
  for (const auto& seed : settings_.seeds)
    if (seed != settings_.self.address)
      known_[seed].entry.address = seed;
  if (acceptor_ && !acceptor_->is_blank())
    proposer_.learn_acceptors(acceptor_->state().acceptors);
  poll_next_ = gossip_next_ = follow_next_ = started_at_ = now;
  reconciler_.start(now);
  core_set_.start(now);
  if (settings_.founds_itself && acceptor_ && acceptor_->is_blank())
    founder_.start(now);
  roster_keeper_.start(now);
  if (is_edge()) {
    for (const auto& seed : settings_.seeds)
      election_.learn(seed);
    election_.start(now);
  }
  on_timer(now);
}

void ControlDaemon::stop(Moment now) {
  if (election_.is_master() && !lease_.is_waiting(now)) {
    // Lays the term down in the register: the next master need not wait for this one's word to lapse.
    Address self = settings_.self.address;
    proposer_.change(
        [self](const FleetState& state) -> Verdict {
          if (state.master != self)
            return {Verdict::Kind::already_there, {}, ""};
          FleetState next = state;
          next.master = Address{};
          return {Verdict::Kind::apply, next, ""};
        },
        nullptr, now, Span{1000});
  }
  is_stopping_ = true;  // grants leases on nothing, and answers no ping any more: a leaving daemon must not be ranked
  if (is_edge())
    election_.leave();
  note(now, "stopping", settings_.self.address.text);
  collect(now);
}

std::vector<DaemonEntry> ControlDaemon::known() const {
  std::vector<DaemonEntry> entries;
  for (const auto& [address, known] : known_)
    if (!known.entry.role.empty())
      entries.push_back(known.entry);
  return entries;
}

std::vector<std::string> ControlDaemon::live_edges(const ZoneName& zone, Moment now) const {
  std::vector<std::string> names;
  if (is_edge() && settings_.self.zone == zone)
    names.push_back(settings_.self.address.text);
  // Under a master the map says who lives; else whoever answered the last pings.
  if (!election_.master().empty() && map_.version.term == election_.term()) {
    for (const auto& edge : map_.edges)
      if (edge.zone == zone && edge.daemon != settings_.self.address)
        names.push_back(edge.daemon.text);
    return names;
  }
  for (const auto& [address, known] : known_)
    if (known.entry.role == "edge" && known.entry.zone == zone && now - known.heard <= alive_span)
      names.push_back(address.text);
  return names;
}

std::vector<InForce> ControlDaemon::in_force(Moment now) const {
  std::vector<InForce> reports;
  for (const auto& [address, entry] : in_force_) {
    reports.push_back(entry.first);
    reports.back().age = (now - entry.second).value;
  }
  return reports;
}

std::vector<GatewayRow> ControlDaemon::gateways(Moment now) const {
  std::map<Address, GatewayRow> rows;
  // A new master has heard of no one yet: for a moment the old map's word stands.
  if (now - published_at_ < Span{2500} || map_.version.term != election_.term())
    for (const auto& row : map_.gateways)
      rows[row.daemon] = row;
  for (const auto& [address, entry] : in_force_) {
    const DaemonEntry& daemon = entry.first.daemon;
    bool is_gone = entry.first.leaving || (settings_.reads_runner_list && entry.first.version == MapVersion{});
    if (now - entry.second <= Span{3000} && !is_gone)
      rows[address] = {address, daemon.http, daemon.zone, daemon.region};
    else
      rows.erase(address);
  }
  std::vector<GatewayRow> list;
  for (auto& [address, row] : rows)
    list.push_back(std::move(row));
  return list;
}

// The edge daemons that follow now, with this master among them.
std::vector<GatewayRow> ControlDaemon::followers_alive(Moment now) const {
  std::vector<GatewayRow> rows;
  for (const auto& entry : proposer_.state().roster) {
    auto heard = election_.followers().find(entry.address);
    bool is_alive = entry.address == settings_.self.address ||
                    (heard != election_.followers().end() && now - heard->second <= alive_span);
    if (is_alive)
      rows.push_back({entry.address, entry.http, entry.zone, entry.region});
  }
  return rows;
}

// --- messages ----------------------------------------------------------------------------------

void ControlDaemon::answer_ping(const Address& from, const Ping& ping, Moment now) {
  PingAnswer answer;
  answer.ask = ping.ask;
  answer.sender = settings_.self;
  answer.master = election_.master();
  answer.version = map_.version;
  answer.stamp = now.value;
  // Near peers first; the roster tells of the rest.
  for (int round = 0; round < 2; ++round)
    for (const auto& [address, known] : known_) {
      bool is_near = known.entry.zone == ping.sender.zone;
      if (known.entry.role.empty() || known.entry.role == "data" || is_near != (round == 0) || address == from ||
          is_dead_member(address, now))
        continue;
      if (answer.known.size() < 24)
        answer.known.push_back(known.entry);
    }
  if (proposer_.has_state()) {
    answer.fleet = proposer_.state().fleet;
    answer.acceptors = proposer_.state().acceptors;
  } else if (acceptor_ && !acceptor_->is_blank()) {
    answer.fleet = acceptor_->state().fleet;
    answer.acceptors = acceptor_->state().acceptors;
  }
  out_.push_back({from, std::move(answer)});
}

void ControlDaemon::on_message(const Address& from, const Message& message, Moment now) {
  ++counts_.messages_in;
  hear_master(now);
  if (acceptor_ && acceptor_->on_message(from, message, now)) {
    collect(now);
    return;
  }
  if (const auto* ping = std::get_if<Ping>(&message)) {
    if (!ping->sender.role.empty() && ping->sender.role != "data") {
      auto& known = known_[from];
      known.entry = ping->sender;
      known.heard = now;
      known.master = ping->master;
    }
    if (!is_stopping_)
      answer_ping(from, *ping, now);
  }
  if (const auto* answer = std::get_if<PingAnswer>(&message)) {
    auto& known = known_[from];
    known.entry = answer->sender;
    known.heard = now;
    known.master = answer->master;
    for (const auto& entry : answer->known)
      if (entry.address != settings_.self.address && known_[entry.address].entry.role.empty())
        known_[entry.address].entry = entry;
    proposer_.learn_acceptors(answer->acceptors);
  }
  reconciler_.on_message(from, message, now);
  founder_.on_message(from, message, now);
  core_set_.on_message(from, message, now);
  if (core_set_.take_founded())
    poll_next_ = now;
  if (founder_.take_founded()) {
    poll_next_ = now;
    reconciler_.on_founded(now);
  }
  if (const auto* follow = std::get_if<Follow>(&message)) {
    if (election_.is_master()) {
      follower_versions_[from] = follow->version;
      follower_traffic_[from].known = follow->traffic_of;
      for (const auto& status : follow->statuses)
        runner_watch_.on_report(status, now);
      for (const auto& report : follow->in_force) {
        Moment at{now.value - report.age};
        auto& entry = in_force_[report.daemon.address];
        if (entry.second <= at)
          entry = {report, at};
      }
      // A follower that missed a map gets it again.
      if (follow->version < map_.version && now - map_resent_[from] > Span{250}) {
        map_resent_[from] = now;
        send_map(from, now);
      }
      settle_edits(now);
    }
  }
  if (const auto* news = std::get_if<MapNews>(&message)) {
    Integer term = proposer_.has_state() ? proposer_.state().term : 0;
    if (news->map.version.term < term)
      ++counts_.maps_fenced;
    else if (!election_.is_master() && map_.version < news->map.version) {
      // Without the table's rows, and they aren't here: the follow below says so, and the whole map comes.
      if (!news->lacks_traffic)
        take_map(news->map, now);
      else if (news->map.traffic_of == map_.traffic_of)
        take_map(with_rows(news->map), now);
    }
    if (is_edge() && !election_.is_master())
      send_follow(now);
  }
  if (const auto* subscribe = std::get_if<Subscribe>(&message))
    slices_.on_subscribe(from, *subscribe, now);
  if (const auto* ask = std::get_if<LeaseAsk>(&message)) {
    if (!is_stopping_ && lease_.may_grant_lease(now))
      out_.push_back({from, LeaseGrant{ask->ask, std::max(edits_.attempted_minimum_version(),
                                                          proposer_.state().minimum_version)}});
  }
  if (const auto* hold = std::get_if<Hold>(&message)) {
    Hold near = *hold;
    near.relayed = false;
    for (const auto& gateway : map_.gateways)
      if (hold->relayed && gateway.zone == settings_.self.zone)
        out_.push_back({gateway.daemon, near});
  }
  if (const auto* ask = std::get_if<EditAsk>(&message)) {
    if (!election_.is_master() || ask->term != election_.term()) {
      out_.push_back({from, EditAnswer{ask->ask, 0, 0, "", ask->term}});
    } else {
      MasterEdits::Edit edit;
      edit.ask = *ask;
      edit.from = from;
      edits_.take(std::move(edit), now);
    }
  }
  if (const auto* answer = std::get_if<EditAnswer>(&message))
    if (auto ended = forwarder_.on_answer(*answer, now))
      lift_hold(ended->hold, *answer);
  if (const auto* ask = std::get_if<ViewAsk>(&message))
    out_.push_back({from, ViewAnswer{ask->ask, election_.is_master(), is_settled(now), map_, in_force(now)}});
  if (const auto* answer = std::get_if<ViewAnswer>(&message)) {
    auto entry = waiting_.find(answer->ask);
    if (entry != waiting_.end() && entry->second.view) {
      auto done = std::move(entry->second.view);
      waiting_.erase(entry);
      done(*answer);
    }
  }
  proposer_.on_message(from, message, now);
  if (is_edge())
    election_.on_message(from, message, now);
  see_state(now);
  collect(now);
  if (election_.is_master() && map_.version < proposer_.state().minimum_version)
    publish(now, true);
  if (!edits_.empty())
    run_edits(now);
  collect(now);
}

void ControlDaemon::keep_roster(Moment now) {
  std::vector<DaemonEntry> heard;
  for (const auto& [address, known] : known_)
    if (known.entry.role == "edge" && now - known.heard <= alive_span)
      heard.push_back(known.entry);
  if (!is_led_by_others(now))
    roster_keeper_.enrol(heard, now);
  // With as few daemons as one process a machine has, a dead member in the roster may leave no one to spare.
  roster_keeper_.evict_dead_members(std::max(election_.starved_rounds(), is_leaderless() ? 1 : 0),
                                    election_.is_master(), now);
  for (const auto& dead_member : roster_keeper_.take_evicted())
    known_.erase(dead_member);
}

// A newcomer to a fleet that is led joins its master first, and enrols then: the roster's growth must not leave
// that master without its quorum while the newcomer still waits for peers that are gone.
bool ControlDaemon::is_led_by_others(Moment now) const {
  if (!settings_.reconciles_membership || now - started_at_ > Span{8000})
    return false;
  if (election_.phase() == MasterElection::Phase::following || election_.is_master())
    return false;
  return std::any_of(known_.begin(), known_.end(), [&](const auto& entry) {
    const Known& known = entry.second;
    return now - known.heard <= alive_span && !known.master.empty() && known.master != settings_.self.address;
  });
}

// Neither enrolled nor heard of lately: to name it would let others wait for it in their rounds.
bool ControlDaemon::is_dead_member(const Address& daemon, Moment now) const {
  auto known = known_.find(daemon);
  return settings_.reconciles_membership && proposer_.has_state() && !has_daemon(proposer_.state().roster, daemon) &&
         (known == known_.end() || now - known->second.heard > alive_span);
}

// Who was heard lately, or is enrolled, may keep a store that belongs into the set of core machines.
void ControlDaemon::reconcile_membership(Moment now) {
  reconciler_.on_timer(now);
  std::vector<DaemonEntry> daemons;
  for (const auto& [address, known] : known_) {
    bool is_near =
        now - known.heard <= Span{3000} || (proposer_.has_state() && has_daemon(proposer_.state().roster, address));
    if (is_near && !known.entry.role.empty() && known.entry.role != "data")
      daemons.push_back(known.entry);
  }
  reconciler_.see_daemons(daemons, now);
}

void ControlDaemon::hear_master(Moment now) {
  if (election_.is_master())
    slices_.hear_master(now);
  else if (election_.phase() == MasterElection::Phase::following)
    slices_.hear_master(election_.master_heard());
}

void ControlDaemon::synced(std::int64_t token, Moment now) {
  if (acceptor_)
    acceptor_->synced(token);
  collect(now);
}

void ControlDaemon::write_refused(std::int64_t token) {
  if (acceptor_)
    acceptor_->refused(token);
}

// --- the register's state ------------------------------------------------------------------------

void ControlDaemon::see_state(Moment now) {
  if (!proposer_.has_state())
    return;
  if (proposer_.ballot() != seen_ballot_) {
    seen_ballot_ = proposer_.ballot();
    const FleetState& state = proposer_.state();
    if (configuration_of_ != state.config_revision) {
      std::vector<Finding> findings;
      configuration_ = read_configuration(state.resources, findings);
      configuration_of_ = state.config_revision;
      see_traffic();
    }
    if (is_edge()) {
      election_.set_roster(state.roster, state.term, state.master, now);
      for (const auto& entry : state.roster)
        if (entry.address != settings_.self.address && known_[entry.address].entry.role.empty())
          known_[entry.address].entry = entry;
    }
    core_set_.on_state();
  }
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    if (entry->second.read && entry->second.since <= proposer_.confirmed_at()) {
      auto done = std::move(entry->second.read);
      entry = waiting_.erase(entry);
      done(&proposer_.state());
    } else {
      ++entry;
    }
  }
}

void ControlDaemon::claim_term(const TermClaim& claim, Moment now) {
  if (is_claiming_)
    return;
  is_claiming_ = true;
  Address self = settings_.self.address;
  proposer_.change(
      [claim, self, is_promise_off = is_promise_off,
       is_at_once = settings_.acknowledges_at_once](const FleetState& state) -> Verdict {
        if (state.term == claim.expected_term + 1 && state.master == self)
          return {Verdict::Kind::already_there, {}, ""};
        if (state.term != claim.expected_term)
          return {Verdict::Kind::refuse, {}, "another term has begun"};
        if (!has_daemon(state.roster, self))
          return {Verdict::Kind::refuse, {}, "not enrolled"};
        std::size_t joined = 1;
        for (const auto& entry : state.roster)
          if (entry.address != self && claim.joined.count(entry.address) != 0)
            ++joined;
        if (joined < state.roster.size() / 2 + 1)
          return {Verdict::Kind::refuse, {}, "the roster has grown past the joins"};
        return {Verdict::Kind::apply, LeaderLease::claimed(state, claim, self, is_promise_off, is_at_once), ""};
      },
      [this, now](const ChangeEnd& end) {
        is_claiming_ = false;
        bool is_won = end.kind == ChangeEnd::Kind::committed;
        election_.claim_ended(is_won, is_won ? end.state.term : 0, now);
      },
      now, Span{2500});
}

void ControlDaemon::begin_leading(Moment now) {
  lease_.begin(now);
  edits_.begin();
  note(now, "master", "term " + std::to_string(election_.term()));
  cold_shares_.begin(map_, election_.term() > 1, now);
  in_force_.clear();
  follower_versions_.clear();
  follower_traffic_.clear();
  map_resent_.clear();
  runner_watch_.inherit(map_, now);
  runner_list_.begin(now);
  publish(now, true);
}

void ControlDaemon::on_refused(const Address& peer, Moment now) {
  if (is_edge())
    election_.refused(peer, now);
  auto known = known_.find(peer);
  if (known != known_.end())
    known->second.heard = Moment{now.value - alive_span.value - 1};
  collect(now);
}

void ControlDaemon::publish(Moment now, bool is_due) {
  if (!election_.is_master() || edits_.is_open() || !proposer_.has_state())
    return;
  const FleetState& state = proposer_.state();
  if (state.term != election_.term() || state.master != settings_.self.address)
    return;
  Integer last = map_.version.term == state.term ? map_.version.number : 0;
  bool must_cover = map_.version < state.minimum_version;
  // A number that an edit has tried for stands for that edit alone, in force or not.
  if (edits_.attempted_minimum_version().term == state.term && !must_cover)
    last = std::max(last, edits_.attempted_minimum_version().number);
  MapVersion version{state.term, must_cover ? state.minimum_version.number : last + 1};
  auto statuses = runner_watch_.statuses();
  if (settings_.reads_runner_list) {
    // Until the list has been read in this term, what the last map said stands.
    if (!runner_list_.is_known() && !map_.runners.empty() && !must_cover)
      return;
    for (const auto& zone : map_.emptied) {
      bool is_emptied = std::any_of(configuration_.orders.begin(), configuration_.orders.end(),
                                    [&](const auto& order) { return order.zone == zone && order.is_emptied; });
      if (!is_emptied)
        runner_list_.zone_taken_back(zone, now);
    }
    runner_list_.fill(statuses, traffic_pools_, now);
  }
  PlacementMap fresh = compute_map(
      state, placed_configuration(), statuses, gateways(now), followers_alive(now), version,
      [this, now](const RunnerRow& row, const std::vector<std::string>& near, const std::vector<std::string>& all) {
        // Work that is bound to a region is brought there by daemons of all regions.
        return cold_shares_.share(row, settings_.reads_runner_list ? all : near, all, now);
      });
  fresh.traffic_of = traffic_rows_.empty() ? 0 : traffic_of_;
  for (const auto& row : fresh.runners)
    if (row.status == "warm")
      cold_shares_.forget(row.name);
  if (!must_cover) {
    MapChange change = compare_maps(map_, fresh);
    if (change == MapChange::none)
      return;
    if (!is_due && now - published_at_ < (change == MapChange::load ? load_pace : placement_pace))
      return;
  }
  published_at_ = now;
  ++counts_.maps_published;
  fresh.traffic = traffic_rows_;
  map_ = std::move(fresh);
  election_.set_version(map_.version);
  if (on_publish)
    on_publish(map_);
  slices_.on_map(map_, now);
  for (const auto& entry : state.roster)
    if (entry.address != settings_.self.address) {
      map_resent_[entry.address] = now;
      send_map(entry.address, now);
    }
  settle_edits(now);
}

PlacementMap ControlDaemon::with_rows(PlacementMap map) const {
  map.traffic = map_.traffic;
  return map;
}

// The table's rows go along only where they are not yet: a table may be far larger than all else in the map.
void ControlDaemon::send_map(const Address& to, Moment now) {
  MapNews news{map_, false};
  auto& traffic = follower_traffic_[to];
  bool is_on_its_way = traffic.sent == map_.traffic_of && now - traffic.sent_at < traffic_again;
  if (map_.traffic_of != 0 && (traffic.known == map_.traffic_of || is_on_its_way)) {
    news.map.traffic.clear();
    news.lacks_traffic = true;
  } else {
    traffic.sent = map_.traffic_of;
    traffic.sent_at = now;
  }
  out_.push_back({to, std::move(news)});
}

void ControlDaemon::take_map(const PlacementMap& map, Moment now) {
  ++counts_.maps_taken;
  if (map.config_revision != map_.config_revision || map.version.term != map_.version.term)
    note(now, "map", show(map.version) + " config " + std::to_string(map.config_revision));
  map_ = map;
  election_.set_version(map_.version);
  slices_.on_map(map_, now);
}

void ControlDaemon::send_follow(Moment now) {
  if (election_.phase() != MasterElection::Phase::following)
    return;
  follow_next_ = now + settings_.election.follow;
  Follow follow;
  follow.sender = settings_.self;
  follow.term = election_.term();
  follow.acknowledgement = election_.acknowledgement(now);
  follow.version = map_.version;
  follow.traffic_of = map_.traffic_of;
  follow.statuses = runner_watch_.reports(now);
  follow.in_force = slices_.in_force(now);
  out_.push_back({election_.master(), std::move(follow)});
}

// The table's rows are cut once for each configuration.
void ControlDaemon::see_traffic() {
  std::string document = traffic_document_of(proposer_.state());
  if (document == traffic_text_)
    return;
  traffic_text_ = document;
  traffic_of_ = proposer_.state().config_revision;
  traffic_rows_.clear();
  traffic_pools_.clear();
  if (document.empty())
    return;
  for (auto& [key, body] : split_traffic_table(document)) {
    if (key.rfind("pool/", 0) == 0)
      if (auto pool = read_traffic_pool(body))
        traffic_pools_[pool->name] = *pool;
    traffic_rows_.push_back({key, {std::move(body)}});
  }
}

const TrafficPool* ControlDaemon::traffic_pool(const PoolName& pool) const {
  auto found = traffic_pools_.find(pool);
  return found == traffic_pools_.end() ? nullptr : &found->second;
}

// The configuration with the runners of the outside list: at the master from the list, elsewhere from its map.
Configuration ControlDaemon::placed_configuration() const {
  Configuration placed = configuration_;
  if (!settings_.reads_runner_list)
    return placed;
  if (election_.is_master() && runner_list_.is_known()) {
    placed.runners = runner_list_.entries();
    return placed;
  }
  placed.runners.clear();
  for (const auto& row : map_.runners) {
    RunnerEntry entry;
    entry.name = row.name;
    entry.http = row.http;
    entry.pool = row.pool;
    entry.zone = row.zone;
    entry.region = row.region;
    entry.is_leaving = row.status == "leaving";
    placed.runners.push_back(std::move(entry));
  }
  return placed;
}

void ControlDaemon::on_runner_list(std::optional<std::vector<ListedRunner>> runners, Moment begun, Moment now) {
  if (!runners)
    return runner_list_.failed();
  if (!election_.is_master())
    return;
  runner_list_.take(std::move(*runners), begun, now);
  publish(now, false);
  collect(now);
}

std::vector<std::string> ControlDaemon::front_addresses(const RegionName& region, const ZoneName& zone,
                                                        std::size_t most, Moment now) {
  // Who subscribes here is known at first hand; of the others the map tells.
  std::map<Address, GatewayRow> rows;
  for (const auto& row : map_.gateways)
    rows[row.daemon] = row;
  for (const auto& report : slices_.in_force(now)) {
    const DaemonEntry& daemon = report.daemon;
    bool is_ready = !report.leaving && report.version != MapVersion{} && report.age <= front_silence.value;
    if (is_ready)
      rows[daemon.address] = {daemon.address, daemon.http, daemon.zone, daemon.region};
    else if (report.leaving || report.age <= 10 * front_silence.value)
      rows.erase(daemon.address);
  }
  // Where a zone's own control daemons are silent, its data daemons subscribe elsewhere: if some do so here, all that
  // live do, and the map's word on the others is old.
  std::set<ZoneName> heard_zones, homed_zones{settings_.self.zone};
  for (const auto& report : slices_.in_force(now))
    if (report.age <= front_silence.value)
      heard_zones.insert(report.daemon.zone);
  for (const auto& [address, known] : known_)
    if (known.entry.role == "edge" && now - known.heard <= front_silence)
      homed_zones.insert(known.entry.zone);
  std::set<Address> heard;
  for (const auto& report : slices_.in_force(now))
    if (report.age <= front_silence.value)
      heard.insert(report.daemon.address);
  std::vector<std::string> near, around, all;
  for (const auto& [address, row] : rows) {
    bool is_unheard = heard_zones.count(row.zone) != 0 && homed_zones.count(row.zone) == 0 && heard.count(address) == 0;
    if (row.http.empty() || is_unheard)
      continue;
    (row.zone == zone ? near : row.region == region ? around : all).push_back(row.http);
  }
  // One daemon alone would have nobody to stand in for it.
  if (near.size() < 2)
    near.insert(near.end(), around.begin(), around.end());
  if (near.size() < 2)
    near.insert(near.end(), all.begin(), all.end());
  for (std::size_t i = near.size(); i > 1; --i)
    std::swap(near[i - 1], near[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(i)))]);
  if (near.size() > most)
    near.resize(most);
  return near;
}

// --- operators' acts -----------------------------------------------------------------------------

void ControlDaemon::edit(EditAsk ask, std::function<void(const EditAnswer&)> done, Moment now) {
  ask.ask = ++last_ask_;
  PassedHold hold = hold_of(ask, version_of(ask), now);
  if (election_.is_master()) {
    MasterEdits::Edit edit;
    edit.ask = std::move(ask);
    edit.ask.term = election_.term();
    edit.done = std::move(done);
    edit.hold = std::move(hold);
    edits_.take(std::move(edit), now);
    run_edits(now);
  } else if (!proposer_.has_state()) {
    return done(EditAnswer{ask.ask, 503, 0, reason_body("no register is known here", "refused"), 0});
  } else {
    forwarder_.take(std::move(ask), std::move(done), std::move(hold), now);
    forward_edits(now);
  }
  collect(now);
}

// Hands what was taken in here to the master; without one it waits a while for the next. The same change,
// handed to a second master after the first was lost, counts once.
void ControlDaemon::forward_edits(Moment now) {
  if (forwarder_.waiting().empty() || !proposer_.has_state())
    return;
  if (election_.is_master()) {
    for (auto& waiting : forwarder_.take_back()) {
      MasterEdits::Edit edit;
      edit.ask = std::move(waiting.ask);
      edit.ask.term = election_.term();
      edit.done = std::move(waiting.done);
      edit.hold = std::move(waiting.hold);
      edit.has_copies = !waiting.copies.empty();
      edits_.take(std::move(edit), now);
    }
    return run_edits(now);
  }
  Address master = election_.master().empty() ? proposer_.state().master : election_.master();
  if (master == settings_.self.address)
    return;
  for (auto& sending : forwarder_.send(master, std::max(proposer_.state().term, election_.term()), now))
    out_.push_back(std::move(sending));
}

// "We were told": while an edit that takes a runner or a zone out of work is not settled (no master leads, the
// core does not answer), every data daemon hears of it all the same. That only ever takes work away, and
// lapses by itself; a refusal lifts it; the map settles it.
void ControlDaemon::pass_holds(Moment now) {
  for (auto& [number, waiting] : forwarder_.waiting())
    if (waiting.hold.is_due(version_of(waiting.ask), now))
      pass_hold(*waiting.hold.hold);
  for (auto& edit : edits_.in_hand())
    if (edit.from.empty() && edit.hold.is_due(version_of(edit.ask), now))
      pass_hold(*edit.hold.hold);
}

Integer ControlDaemon::version_of(const EditAsk& ask) const {
  if (proposer_.has_state())
    for (const auto& resource : proposer_.state().resources)
      if (resource.kind == ask.kind && resource.name == ask.name)
        return resource.version;
  return 0;
}

void ControlDaemon::lift_hold(const PassedHold& passed, const EditAnswer& answer) {
  if (!passed.hold || answer.code == 200 || answer.code == 201 || answer.code == 504)
    return;
  Hold lifted = *passed.hold;
  lifted.lifted = true;
  pass_hold(lifted);
}

void ControlDaemon::pass_hold(const Hold& hold) {
  ++counts_.holds_passed;
  for (const auto& gateway : map_.gateways)
    out_.push_back({gateway.daemon, hold});
  // Those this daemon can't reach may be in reach of others.
  Hold relayed = hold;
  relayed.relayed = true;
  std::set<Address> others;
  for (const auto& edge : map_.edges)
    others.insert(edge.daemon);
  for (const auto& [address, known] : known_)
    if (known.entry.role == "edge")
      others.insert(address);
  others.erase(settings_.self.address);
  for (const auto& other : others)
    out_.push_back({other, relayed});
}

void ControlDaemon::run_edits(Moment now) {
  edits_.run(map_.version, now);
  end_edits();
}

void ControlDaemon::settle_edits(Moment now) {
  edits_.settle(
      map_.version,
      [this](const MapVersion& covered_by) {
        std::size_t holders = 1;
        for (const auto& entry : proposer_.state().roster) {
          auto version = follower_versions_.find(entry.address);
          if (entry.address != settings_.self.address && version != follower_versions_.end() &&
              covered_by <= version->second)
            ++holders;
        }
        return holders;
      },
      now);
  end_edits();
}

void ControlDaemon::end_edits() {
  for (auto& edit : edits_.take_ended()) {
    lift_hold(edit.hold, edit.answer);
    if (!edit.from.empty())
      out_.push_back({edit.from, edit.answer});
    else if (edit.done)
      edit.done(edit.answer);
  }
}

void ControlDaemon::read(std::function<void(const FleetState*)> done, Moment now) {
  Waiting waiting;
  waiting.since = now;
  waiting.deadline = now + Span{2000};
  waiting.read = std::move(done);
  waiting_[++last_ask_] = std::move(waiting);
  poll_next_ = now + poll_pace;
  proposer_.poll(now, settings_.self.role, false);
  collect(now);
}

void ControlDaemon::view(std::function<void(const ViewAnswer&)> done, Moment now) {
  Address master = election_.master();
  if (master.empty() && proposer_.has_state())
    master = proposer_.state().master;
  if (election_.is_master() || master.empty() || master == settings_.self.address) {
    done(ViewAnswer{0, election_.is_master(), is_settled(now), map_, in_force(now)});
    return;
  }
  Waiting waiting;
  waiting.deadline = now + Span{1000};
  waiting.view = std::move(done);
  waiting_[++last_ask_] = std::move(waiting);
  out_.push_back({master, ViewAsk{last_ask_}});
  collect(now);
}

void ControlDaemon::found(const std::string& fleet, const std::vector<Address>& cores,
                          std::function<void(int, const std::string&)> done, Moment now) {
  if (acceptor_ && !acceptor_->is_blank())
    return done(409, "a fleet is known here already: it is never founded again");
  core_set_.found(fleet, cores, std::move(done), now);
  collect(now);
}

void ControlDaemon::replace_core(const Address& old_address, const Address& new_address,
                                 std::function<void(int, const std::string&)> done, Moment now) {
  core_set_.replace(old_address, new_address, std::move(done), now);
  collect(now);
}

// --- runners ---------------------------------------------------------------------------------------

void ControlDaemon::on_probe(const RunnerStatus& status, Moment now) {
  bool is_new = runner_watch_.on_probe(status, now);
  if (is_new)
    note(now, "runner", status.name.text + (status.answers ? status.cold ? " cold" : " warm" : " down"));
  if (election_.is_master()) {
    publish(now, false);
  } else if (is_new) {
    send_follow(now);
  }
  collect(now);
}

// The master opens and closes the maintenance windows of zone orders: each time an edit like any other,
// durable, covered by a map and barred against older ones. A clock that jumps can flip a zone once in
// ten seconds, no oftener.
void ControlDaemon::keep_windows(Moment now) {
  if (wall_seconds_ == 0 || now < window_next_ || !edits_.empty())
    return;
  for (const auto& order : configuration_.orders) {
    bool is_wanted = order.wants_window(wall_seconds_);
    if (is_wanted == order.is_window_open)
      continue;
    window_next_ = now + Span{10000};
    EditAsk ask;
    ask.change = "window-" + order.zone.text + "-" + std::to_string(proposer_.state().version) + "-" +
                 std::to_string(wall_seconds_);
    ask.act = "patch";
    ask.kind = orders_kind;
    ask.name = order.zone.text;
    ask.expected = -1;
    ask.body = is_wanted ? R"({"window_open":true})" : R"({"window_open":false})";
    note(now, "window", order.zone.text + (is_wanted ? " opens" : " closes"));
    edit(
        ask, [](const EditAnswer&) {}, now);
    return;
  }
}

// --- time -----------------------------------------------------------------------------------------

void ControlDaemon::on_timer(Moment now) {
  proposer_.on_timer(now);
  if (is_edge())
    election_.on_timer(now);
  if (poll_next_ <= now) {
    poll_next_ = now + poll_pace;
    proposer_.poll(now, settings_.self.role,
                   is_edge() && (election_.starved_rounds() > 0 || election_.is_master() || is_leaderless()));
  }
  if (gossip_next_ <= now) {
    gossip_next_ = now + gossip_pace;
    std::vector<Address> others;
    std::set<Address> targets;
    for (const auto& [address, known] : known_) {
      if (now - known.heard > Span{60000} && known.heard.value >= 0 &&
          std::find(settings_.seeds.begin(), settings_.seeds.end(), address) == settings_.seeds.end())
        continue;
      bool is_seed = std::find(settings_.seeds.begin(), settings_.seeds.end(), address) != settings_.seeds.end();
      if (is_seed && !proposer_.has_state())
        targets.insert(address);
      else
        others.push_back(address);
    }
    for (int i = 0; i < 2 && !others.empty(); ++i)
      targets.insert(others[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(others.size())))]);
    // A data daemon that has started anew knows its seeds alone, and they may all have been replaced: who
    // still knows its address speaks to it.
    for (const auto& row : map_.gateways)
      gateways_seen_[row.daemon] = now;
    std::vector<Address> missed;
    for (auto entry = gateways_seen_.begin(); entry != gateways_seen_.end();) {
      if (now - entry->second > gateway_memory)
        entry = gateways_seen_.erase(entry);
      else if (entry->second < now)
        missed.push_back((entry++)->first);
      else
        ++entry;
    }
    if (is_edge() && !missed.empty())
      targets.insert(missed[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(missed.size())))]);
    for (const auto& target : targets)
      out_.push_back({target, Ping{0, settings_.self, election_.master(), map_.version}});
  }
  if (acceptor_ && !acceptor_->is_blank() && proposer_.acceptors().empty())
    proposer_.learn_acceptors(acceptor_->state().acceptors);
  see_state(now);
  if (is_edge())
    keep_roster(now);
  founder_.on_timer(now);
  if (settings_.reconciles_membership && acceptor_)
    reconcile_membership(now);
  core_set_.on_timer(now);
  if (is_edge() && follow_next_ <= now)
    send_follow(now);
  hear_master(now);
  slices_.forget_silent(now, Span{10000});
  if (is_edge())
    runner_watch_.wish_probes(placed_configuration(), live_edges(settings_.self.zone, now), election_.is_master(), now);
  if (election_.is_master()) {
    for (const auto& report : slices_.in_force(now)) {
      Moment at{now.value - report.age};
      auto& entry = in_force_[report.daemon.address];
      if (entry.second <= at)
        entry = {report, at};
    }
    for (auto entry = in_force_.begin(); entry != in_force_.end();) {
      if (now - entry->second.second > Span{15000})
        entry = in_force_.erase(entry);
      else
        ++entry;
    }
    edits_.on_timer(now);
    publish(now, false);
    keep_windows(now);
    if (!edits_.is_open())
      lease_.keep(now);
    run_edits(now);
  }
  settle_edits(now);
  pass_holds(now);
  forward_edits(now);
  for (auto& [ended, answer] : forwarder_.on_timer(now))
    lift_hold(ended.hold, answer);
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    if (entry->second.deadline > now) {
      ++entry;
      continue;
    }
    Waiting ended = std::move(entry->second);
    Integer ask = entry->first;
    entry = waiting_.erase(entry);
    if (ended.view)
      ended.view(ViewAnswer{ask, false, false, map_, in_force(now)});
    if (ended.read)
      ended.read(nullptr);
  }
  collect(now);
}

void ControlDaemon::collect(Moment now) {
  if (auto claim = election_.take_claim())
    claim_term(*claim, now);
  bool is_master = election_.is_master();
  if (is_master != was_master_) {
    was_master_ = is_master;
    if (is_master) {
      see_state(now);
      begin_leading(now);
    } else {
      note(now, "deposed", settings_.self.address.text);
    }
  }
  auto take = [&](std::vector<Sending> sendings) {
    for (auto& sending : sendings) {
      if (sending.to.empty())
        continue;
      out_.push_back(std::move(sending));
    }
  };
  auto tell = [&](RefusedMessages& refusals) {
    for (const auto& refused : refusals.take_news())
      note(now, "refused_message", refused.from.text + " " + reason_word(refused.reason) + " " + refused.detail);
  };
  tell(proposer_.refusals());
  if (acceptor_) {
    tell(acceptor_->refusals());
    take(acceptor_->take_out());
  }
  take(proposer_.take_out());
  take(election_.take_out());
  take(slices_.take_out());
  take(reconciler_.take_out());
  take(founder_.take_out());
  take(core_set_.take_out());
}

std::vector<Sending> ControlDaemon::take_out() { return std::exchange(out_, {}); }
std::vector<WriteWish> ControlDaemon::take_writes() {
  return acceptor_ ? acceptor_->take_writes() : std::vector<WriteWish>{};
}
std::vector<ProbeWish> ControlDaemon::take_probes() { return runner_watch_.take_probes(); }

}  // namespace emberdale
