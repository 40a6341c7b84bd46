#include "emberdale/master_election.hpp"

#include <algorithm>

#include "emberdale/freshness_times.hpp"

namespace emberdale {

namespace {

// Reasons of a JoinResponse that refuses. They are sent: their text stays.
constexpr const char* reason_following_another = "following another";
constexpr const char* reason_claim_lost = "claim lost";
constexpr const char* reason_too_few_joins = "too few joins";

}  // namespace

void MasterElection::start(TimePoint now) {
  if (phase_ != Phase::idle)
    return;
  started_at_ = now;
  begin_round(now);
}

void MasterElection::add_peer(const Address& peer) {
  if (peer != self_.address && !peer.empty())
    peers_.insert(peer);
}

// docs/election.md, "nodeCount": the roster in the register takes the place of minimum_master_nodes.
void MasterElection::set_roster(const std::vector<DaemonEntry>& roster, std::int64_t term, const Address& term_master,
                                TimePoint now) {
  roster_.clear();
  for (const auto& entry : roster)
    roster_.insert(entry.address);
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    // Dead members that left the roster are not waited for any more; live ones name themselves again.
    if (roster_.count(*entry) == 0 && reports_.count(*entry) == 0)
      entry = peers_.erase(entry);
    else
      ++entry;
  }
  for (const auto& address : roster_)
    add_peer(address);
  if (term < term_)
    return;
  bool is_newer = term > term_;
  term_ = term;
  if (phase_ == Phase::leading && (is_newer || term_master != self_.address))
    step_down(now);
  if (phase_ == Phase::following && is_newer && term_master != master_)
    abandon_master(now);  // it has been replaced
}

void MasterElection::ping(const Address& peer) {
  outbound_.push_back({peer, PingRequest{request_id_, self_, master_, version_}});
}

void MasterElection::ping_all_peers() {
  for (const auto& peer : peers_)
    if (departed_.count(peer) == 0)
      ping(peer);
}

// pingAndWait of the source: all known daemons at once, for a bounded time.
void MasterElection::begin_round(TimePoint now) {
  ++counts_.rounds;
  phase_ = Phase::pinging;
  ++request_id_;
  reports_.clear();
  refusing_.clear();
  phase_ends_at_ = now + times_.round_timeout;
  next_ping_at_ = now + times_.ping_interval;
  ping_all_peers();
}

void MasterElection::back_off(TimePoint now) {
  phase_ = Phase::backing_off;
  std::int64_t delay = times_.retry_delay.value;
  phase_ends_at_ = now + Duration{delay + random_.below(delay)};
}

// The source's protection against a "false death": a master is replaced only if more than half of the eligible daemons
// find it down. docs/election.md, "Unseating without reports": they show it by a response that doesn't name it.
bool MasterElection::is_found_down(const Address& master) const {
  if (departed_.count(master) != 0)
    return true;  // it said so itself
  if (reports_.count(master) != 0)
    return false;
  std::size_t find_it_down = 1;  // this daemon, which is in a round
  for (const auto& [daemon, report] : reports_)
    if (is_eligible(daemon) && report.master != master)
      ++find_it_down;
  return find_it_down > roster_.size() / 2;
}

// tieBreakActiveMasters of the source: the smallest address among the masters that peers report.
std::optional<Address> MasterElection::find_active_master() const {
  std::optional<Address> smallest;
  for (const auto& [daemon, report] : reports_) {
    const Address& master = report.master;
    if (master.empty() || master == self_.address || is_found_down(master))
      continue;
    if (!smallest || master < *smallest)
      smallest = master;
  }
  return smallest;
}

// hasEnoughCandidates and electMaster of the source: none without a quorum; else the highest state version first, then
// the smallest id. The state version is that of the map, which a majority of the roster holds once it is acknowledged.
std::optional<Address> MasterElection::rank_candidates() const {
  std::vector<Candidate> candidates;
  if (is_eligible(self_.address))
    candidates.push_back({version_, self_.address});
  for (const auto& [daemon, report] : reports_)
    if (is_eligible(daemon))
      candidates.push_back({report.version, daemon});
  if (roster_.empty() || candidates.size() < quorum())
    return std::nullopt;
  auto ranks_before = [](const Candidate& left, const Candidate& right) {
    return left.version == right.version ? left.daemon < right.daemon : right.version < left.version;
  };
  return std::min_element(candidates.begin(), candidates.end(), ranks_before)->daemon;
}

// findMaster of the source, once the pings are over.
void MasterElection::end_round(TimePoint now) {
  if (auto master = find_active_master()) {
    rounds_without_quorum_ = 0;
    send_join(*master, no_promise, now);
    return;
  }
  auto candidate = rank_candidates();
  if (!candidate) {
    ++counts_.without_quorum;
    ++rounds_without_quorum_;
    back_off(now);
    return;
  }
  rounds_without_quorum_ = 0;
  promise_no_acknowledgements();
  if (*candidate == self_.address)
    await_joins(now);
  else
    send_join(*candidate, term_, now);
}

// docs/election.md, "Acknowledged timestamps and promises": a join to a daemon that doesn't lead yet counts for its
// claim, so previous masters get no acknowledgement any more.
void MasterElection::promise_no_acknowledgements() { promised_through_ = std::max(promised_through_, term_); }

void MasterElection::send_join(const Address& to, std::int64_t promised_term, TimePoint now) {
  joining_ = to;
  phase_ = Phase::joining;
  // The candidate waits for joins, then claims its term.
  phase_ends_at_ = now + times_.join_timeout + times_.join_timeout;
  ++request_id_;
  auto report = reports_.find(to);
  std::int64_t response_timestamp = report == reports_.end() ? 0 : report->second.response_timestamp;
  outbound_.push_back({to, JoinRequest{request_id_, self_, version_, promised_term, response_timestamp}});
}

// waitToBeElectedAsMaster of the source.
void MasterElection::await_joins(TimePoint now) {
  phase_ = Phase::awaiting_joins;
  phase_ends_at_ = now + times_.join_timeout;
  claim_if_quorum_joined(now);
}

// checkPendingJoinsAndElectIfNeeded of the source. docs/election.md, "Fence": with its joins a daemon isn't master yet,
// it may claim a term.
void MasterElection::claim_if_quorum_joined(TimePoint now) {
  if (phase_ != Phase::awaiting_joins)
    return;
  std::set<Address> joined;
  std::set<Address> promised{self_.address};
  for (const auto& [daemon, join] : pending_joins_) {
    if (!is_eligible(daemon) || now - join.received_at > times_.round_timeout)
      continue;
    joined.insert(daemon);
    if (join.term == term_ && now - TimePoint{join.response_timestamp} <= promise_length)
      promised.insert(daemon);
  }
  if (joined.size() + 1 < quorum())
    return;
  phase_ = Phase::claiming;
  claim_ = TermClaim{term_, std::move(joined), std::move(promised)};
}

void MasterElection::refuse_joins(const std::string& reason) {
  for (const auto& [daemon, join] : pending_joins_)
    outbound_.push_back({daemon, JoinResponse{join.request_id, false, term_, reason}});
  pending_joins_.clear();
}

void MasterElection::fail_join(TimePoint now) {
  ++counts_.joins_failed;
  back_off(now);
}

std::optional<TermClaim> MasterElection::drain_claim() { return std::exchange(claim_, std::nullopt); }

void MasterElection::on_claim_result(bool is_won, std::int64_t term, TimePoint now) {
  if (phase_ != Phase::claiming)
    return;
  if (!is_won) {
    refuse_joins(reason_claim_lost);
    back_off(now);
    return;
  }
  ++counts_.elected;
  phase_ = Phase::leading;
  master_ = self_.address;
  term_ = term;
  quorum_heard_at_ = now;
  followers_.clear();
  acknowledged_timestamps_.clear();
  returned_timestamps_.clear();
  for (const auto& [daemon, join] : pending_joins_) {
    followers_[daemon] = now;
    returned_timestamps_[daemon] = now;
    outbound_.push_back({daemon, JoinResponse{join.request_id, true, term_, ""}});
  }
  pending_joins_.clear();
}

void MasterElection::follow(const Address& master, std::int64_t term, TimePoint now) {
  phase_ = Phase::following;
  master_ = master;
  term_ = term;
  master_heard_at_ = now;
  refuse_joins(reason_following_another);  // else their senders would wait for the whole timeout
}

// From here on this daemon's pings and ping responses name no master, which says that it finds the master down.
void MasterElection::abandon_master(TimePoint now) {
  master_ = Address{};
  begin_round(now);
}

void MasterElection::step_down(TimePoint now) {
  ++counts_.stepped_down;
  followers_.clear();
  abandon_master(now);
}

void MasterElection::leave() {
  master_ = Address{};
  phase_ = Phase::idle;
  for (const auto& peer : peers_)
    outbound_.push_back({peer, LeaveNotice{self_}});
}

// docs/election.md, "Early end": all known peers have responded, have left or refuse connections, and the roster has
// been read.
bool MasterElection::have_all_peers_reported() const {
  return !roster_.empty() && std::all_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return reports_.count(peer) != 0 || departed_.count(peer) != 0 || refusing_.count(peer) != 0;
  });
}

void MasterElection::on_connection_refused(const Address& peer, TimePoint now) {
  followers_.erase(peer);
  if (phase_ == Phase::following && peer == master_)
    abandon_master(now);
  if (phase_ == Phase::joining && peer == joining_) {
    fail_join(now);
    return;
  }
  if (phase_ != Phase::pinging || peers_.count(peer) == 0 || reports_.count(peer) != 0)
    return;
  refusing_.insert(peer);
  if (have_all_peers_reported())
    end_round(now);
}

std::int64_t MasterElection::acknowledged_timestamp(TimePoint now) const {
  bool has_promised_not_to = promised_through_ >= term_;
  // A promise of this daemon's previous incarnation may still count for a candidate.
  bool is_in_quarantine = now - started_at_ < acknowledgement_quarantine;
  return has_promised_not_to || is_in_quarantine ? 0 : master_timestamp();
}

bool MasterElection::is_acknowledged(const std::vector<Address>& roster, Duration age, TimePoint now) const {
  std::size_t acknowledged = 0;
  for (const auto& daemon : roster) {
    auto entry = acknowledged_timestamps_.find(daemon);
    if (daemon == self_.address || (entry != acknowledged_timestamps_.end() && now - entry->second <= age))
      ++acknowledged;
  }
  return acknowledged > roster.size() / 2;
}

TimePoint MasterElection::quorum_confirmed_at(TimePoint now) const {
  std::vector<TimePoint> confirmed;
  for (const auto& daemon : roster_) {
    auto entry = returned_timestamps_.find(daemon);
    if (daemon == self_.address)
      confirmed.push_back(now);
    else if (entry != returned_timestamps_.end())
      confirmed.push_back(entry->second);
  }
  if (phase_ != Phase::leading || confirmed.size() < quorum())
    return long_ago;
  std::sort(confirmed.begin(), confirmed.end(), [](TimePoint left, TimePoint right) { return right < left; });
  return confirmed[quorum() - 1];
}

void MasterElection::on_message(const Address& from, const Message& message, TimePoint now) {
  std::visit([&](const auto& received) { handle(from, received, now); }, message);
}

void MasterElection::handle(const Address& from, const PingRequest& request, TimePoint) {
  if (request.sender.role == DaemonRole::edge)
    add_peer(from);
  departed_.erase(from);
}

void MasterElection::add_named_peers(const std::vector<DaemonEntry>& named) {
  for (const auto& entry : named) {
    if (entry.role != DaemonRole::edge || entry.address == self_.address || peers_.count(entry.address) != 0)
      continue;
    add_peer(entry.address);
    if (phase_ == Phase::pinging)
      ping(entry.address);
  }
}

// docs/election.md, "Responses kept fresh": peers are pinged again within a round, and the newest response counts.
void MasterElection::handle(const Address& from, const PingResponse& response, TimePoint now) {
  if (response.sender.role != DaemonRole::edge)
    return;
  add_peer(from);
  add_named_peers(response.known_daemons);
  if (phase_ != Phase::pinging || response.request_id != request_id_)
    return;
  reports_[from] = {response.master, response.version, response.response_timestamp};
  refusing_.erase(from);
  if (have_all_peers_reported())
    end_round(now);
}

void MasterElection::handle(const Address& from, const JoinRequest& request, TimePoint now) {
  add_peer(from);
  if (phase_ == Phase::leading) {
    followers_[from] = now;
    outbound_.push_back({from, JoinResponse{request.request_id, true, term_, ""}});
    return;
  }
  if (phase_ == Phase::following) {
    outbound_.push_back({from, JoinResponse{request.request_id, false, term_, reason_following_another}});
    return;
  }
  // Joins that come before this daemon is ranked first count as well.
  pending_joins_[from] = {now, request.request_id, request.term, request.response_timestamp};
  claim_if_quorum_joined(now);
}

void MasterElection::handle(const Address& from, const JoinResponse& response, TimePoint now) {
  if (phase_ != Phase::joining || response.request_id != request_id_ || from != joining_)
    return;
  if (!response.granted || response.term < term_)
    fail_join(now);
  else
    follow(from, response.term, now);
}

void MasterElection::handle(const Address& from, const LeaveNotice& notice, TimePoint now) {
  departed_.insert(from);
  reports_.erase(notice.sender.address);
  peers_.erase(notice.sender.address);
  followers_.erase(from);
  if (from == master_)
    abandon_master(now);
  else if (phase_ == Phase::pinging)
    begin_round(now);  // the responses so far may still name it
}

void MasterElection::handle(const Address& from, const Heartbeat& heartbeat, TimePoint now) {
  bool is_leading = is_master();
  if (is_leading) {
    followers_[from] = now;
    note_returned_timestamps(from, heartbeat, now);
  }
  std::int64_t term = is_leading ? term_ : 0;
  std::int64_t quorum_age_ms = is_leading ? (now - quorum_confirmed_at(now)).value : 0;
  outbound_.push_back(
      {from, HeartbeatResponse{term, is_leading, version_, now.value, heartbeat.sent_at, quorum_age_ms}});
}

void MasterElection::note_returned_timestamps(const Address& from, const Heartbeat& heartbeat, TimePoint now) {
  if (heartbeat.term != term_)
    return;
  if (heartbeat.acknowledged_timestamp > 0) {
    TimePoint& newest = acknowledged_timestamps_[from];
    newest = std::max(newest, TimePoint{heartbeat.acknowledged_timestamp});
  }
  TimePoint returned{heartbeat.master_timestamp};
  if (heartbeat.master_timestamp > 0 && returned <= now) {
    TimePoint& newest = returned_timestamps_[from];
    newest = std::max(newest, returned);
  }
}

void MasterElection::handle(const Address& from, const HeartbeatResponse& response, TimePoint now) {
  if (phase_ != Phase::following || from != master_)
    return;
  if (!response.from_master || response.term < term_) {  // its state still shows no master
    abandon_master(now);
    return;
  }
  master_heard_at_ = now;
  master_timestamp_ = response.master_timestamp;
  master_timestamp_term_ = response.term;
  // A master that has a newer map than this daemon doesn't confirm this daemon's map.
  if (response.heartbeat_sent_at > 0 && !(version_ < response.version)) {
    TimePoint confirmed{response.heartbeat_sent_at - response.quorum_age_ms};
    master_confirmed_at_ = std::max(master_confirmed_at_, confirmed);
  }
}

void MasterElection::on_timer(TimePoint now) {
  bool is_phase_over = phase_ends_at_ <= now;
  switch (phase_) {
    case Phase::idle:
    case Phase::claiming:
      break;
    case Phase::pinging:
      if (is_phase_over) {
        end_round(now);
      } else if (next_ping_at_ <= now) {
        next_ping_at_ = now + times_.ping_interval;
        ping_all_peers();
      }
      break;
    case Phase::backing_off:
      if (is_phase_over)
        begin_round(now);
      break;
    case Phase::awaiting_joins:
      if (is_phase_over) {
        refuse_joins(reason_too_few_joins);
        fail_join(now);
      }
      break;
    case Phase::joining:
      if (is_phase_over)
        fail_join(now);
      break;
    case Phase::following:
      if (now - master_heard_at_ > times_.master_timeout)
        abandon_master(now);
      break;
    case Phase::leading:
      check_quorum(now);
      break;
  }
}

// docs/election.md, "The master steps down".
void MasterElection::check_quorum(TimePoint now) {
  std::size_t heard = 1;
  for (const auto& [daemon, heard_at] : followers_)
    if (is_eligible(daemon) && now - heard_at <= times_.master_timeout)
      ++heard;
  if (heard >= quorum())
    quorum_heard_at_ = now;
  if (now - quorum_heard_at_ > times_.quorum_timeout)
    step_down(now);
}

std::vector<OutboundMessage> MasterElection::drain_outbound() { return std::exchange(outbound_, {}); }

}  // namespace emberdale
