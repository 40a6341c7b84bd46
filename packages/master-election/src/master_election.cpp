#include "emberdale/master_election.hpp"

#include <algorithm>

#include "emberdale/freshness_times.hpp"

namespace emberdale {

void MasterElection::start(TimePoint now) {
  if (phase_ != Phase::idle)
    return;
  started_ = now;
  begin_round(now);
}

void MasterElection::learn(const Address& peer) {
  if (peer != self_.address && !peer.empty())
    peers_.insert(peer);
}

void MasterElection::set_roster(const std::vector<DaemonEntry>& roster, std::int64_t term, const Address& term_master,
                                TimePoint now) {
  roster_.clear();
  for (const auto& entry : roster)
    roster_.insert(entry.address);
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    // Dead members that left the roster are not waited for any more; live ones name themselves again.
    if (roster_.count(*entry) == 0 && answers_.count(*entry) == 0)
      entry = peers_.erase(entry);
    else
      ++entry;
  }
  for (const auto& address : roster_)
    learn(address);
  if (term < term_)
    return;
  bool is_newer = term > term_;
  term_ = term;
  term_master_ = term_master;
  if (phase_ == Phase::leading && (is_newer || term_master != self_.address))
    step_down(now);
  if (phase_ == Phase::following && is_newer && term_master != master_) {
    master_ = Address{};  // the master that was joined has been replaced
    begin_round(now);
  }
}

void MasterElection::ping_everyone() {
  for (const auto& peer : peers_)
    if (left_.count(peer) == 0)
      out_.push_back({peer, PingRequest{ask_, self_, master_, version_}});
}

void MasterElection::begin_round(TimePoint now) {
  ++counts_.rounds;
  phase_ = Phase::pinging;
  ++ask_;
  answers_.clear();
  refused_.clear();
  phase_end_ = now + times_.ping_round;
  ping_next_ = now + times_.ping_again;
  ping_everyone();
}

void MasterElection::pause(TimePoint now) {
  phase_ = Phase::pausing;
  phase_end_ = now + Duration{times_.pause.value + random_.below(times_.pause.value)};
}

// More than half of the eligible daemons find that master down: they answer, and name it no more.
bool MasterElection::is_found_down(const Address& master) const {
  if (left_.count(master) != 0)
    return true;  // it said so itself
  if (answers_.count(master) != 0)
    return false;
  std::size_t find_it_down = 1;  // this daemon, which is in a round
  for (const auto& [daemon, answer] : answers_)
    if (is_eligible(daemon) && answer.master != master)
      ++find_it_down;
  return find_it_down > roster_.size() / 2;
}

void MasterElection::end_round(TimePoint now) {
  std::set<Address> active;
  for (const auto& [daemon, answer] : answers_)
    if (!answer.master.empty() && answer.master != self_.address && !is_found_down(answer.master))
      active.insert(answer.master);
  if (!active.empty()) {
    rounds_without_quorum_ = 0;
    joining_ = *active.begin();
  } else {
    struct Candidate {
      MapVersion version;
      Address daemon;
    };
    std::vector<Candidate> candidates;
    if (is_eligible(self_.address))
      candidates.push_back({version_, self_.address});
    for (const auto& [daemon, answer] : answers_)
      if (is_eligible(daemon))
        candidates.push_back({answer.version, daemon});
    if (roster_.empty() || candidates.size() < quorum()) {
      ++counts_.starved;
      ++rounds_without_quorum_;
      pause(now);
      return;
    }
    rounds_without_quorum_ = 0;
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
      return a.version == b.version ? a.daemon < b.daemon : b.version < a.version;
    });
    if (candidates.front().daemon == self_.address) {
      phase_ = Phase::awaiting_joins;
      promised_through_ = std::max(promised_through_, term_);
      phase_end_ = now + times_.join;
      check_joins(now);
      return;
    }
    joining_ = candidates.front().daemon;
  }
  // A join of a daemon that does not lead yet counts for its claim: nothing is acknowledged to its elders then.
  if (active.empty())
    promised_through_ = std::max(promised_through_, term_);
  auto answer = answers_.find(joining_);
  phase_ = Phase::joining;
  phase_end_ = now + times_.join + times_.join;  // the master-to-be waits for joins, then claims
  ++ask_;
  out_.push_back({joining_, JoinRequest{ask_, self_, version_, active.empty() ? term_ : -1,
                                        answer == answers_.end() ? 0 : answer->second.stamp}});
}

void MasterElection::check_joins(TimePoint now) {
  if (phase_ != Phase::awaiting_joins)
    return;
  std::set<Address> joined, promised{self_.address};
  for (const auto& [daemon, join] : joins_)
    if (is_eligible(daemon) && now - join.at <= times_.ping_round) {
      joined.insert(daemon);
      if (join.term == term_ && now - TimePoint{join.stamp} <= promise_length)
        promised.insert(daemon);
    }
  if (joined.size() + 1 < quorum())
    return;
  phase_ = Phase::claiming;
  claim_ = TermClaim{term_, std::move(joined), std::move(promised)};
}

void MasterElection::refuse_joins(const std::string& reason) {
  for (const auto& [daemon, join] : joins_)
    out_.push_back({daemon, JoinResponse{join.ask, false, term_, reason}});
  joins_.clear();
}

std::optional<TermClaim> MasterElection::drain_claim() { return std::exchange(claim_, std::nullopt); }

void MasterElection::claim_ended(bool is_won, std::int64_t term, TimePoint now) {
  if (phase_ != Phase::claiming)
    return;
  if (!is_won) {
    refuse_joins("claim lost");
    pause(now);
    return;
  }
  ++counts_.elected;
  phase_ = Phase::leading;
  master_ = term_master_ = self_.address;
  term_ = term;
  quorum_heard_ = now;
  followers_.clear();
  acknowledgements_.clear();
  shown_stamps_.clear();
  for (const auto& [daemon, join] : joins_) {
    followers_[daemon] = shown_stamps_[daemon] = now;
    out_.push_back({daemon, JoinResponse{join.ask, true, term_, ""}});
  }
  joins_.clear();
}

void MasterElection::step_down(TimePoint now) {
  ++counts_.stepped_down;
  master_ = Address{};
  followers_.clear();
  begin_round(now);
}

void MasterElection::leave() {
  master_ = Address{};
  phase_ = Phase::idle;
  for (const auto& peer : peers_)
    out_.push_back({peer, LeaveNotice{self_}});
}

// All known have answered, have taken their leave, or are gone; and the roster has been read.
bool MasterElection::has_heard_all() const {
  return !roster_.empty() && std::all_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return answers_.count(peer) != 0 || left_.count(peer) != 0 || refused_.count(peer) != 0;
  });
}

// A definite refusal is the quickest failed ping. It ends waiting, and decides nothing: whether a master is
// down is still for more than half to find.
void MasterElection::refused(const Address& peer, TimePoint now) {
  followers_.erase(peer);
  if (phase_ == Phase::following && peer == master_) {
    master_ = Address{};
    begin_round(now);
  }
  if (phase_ == Phase::joining && peer == joining_) {
    ++counts_.joins_failed;
    pause(now);
    return;
  }
  if (phase_ != Phase::pinging || peers_.count(peer) == 0 || answers_.count(peer) != 0)
    return;
  refused_.insert(peer);
  if (has_heard_all())
    end_round(now);
}

std::int64_t MasterElection::acknowledgement(TimePoint now) const {
  bool may_acknowledgement =
      promised_through_ < term_ && stamp_term_ == term_ && now - started_ >= acknowledgement_quarantine;
  return may_acknowledgement ? stamp_ : 0;
}

bool MasterElection::is_acknowledged(const std::vector<Address>& roster, Duration age, TimePoint now) const {
  std::size_t acknowledged = 0;
  for (const auto& daemon : roster) {
    auto entry = acknowledgements_.find(daemon);
    if (daemon == self_.address || (entry != acknowledgements_.end() && now - entry->second <= age))
      ++acknowledged;
  }
  return acknowledged > roster.size() / 2;
}

TimePoint MasterElection::quorum_confirmed(TimePoint now) const {
  std::vector<TimePoint> shown;
  for (const auto& daemon : roster_) {
    auto entry = shown_stamps_.find(daemon);
    if (daemon == self_.address)
      shown.push_back(now);
    else if (entry != shown_stamps_.end())
      shown.push_back(entry->second);
  }
  if (phase_ != Phase::leading || shown.size() < quorum())
    return TimePoint{-1000000};
  std::sort(shown.begin(), shown.end(), [](TimePoint a, TimePoint b) { return b < a; });
  return shown[quorum() - 1];
}

bool MasterElection::on_message(const Address& from, const Message& message, TimePoint now) {
  if (const auto* ping = std::get_if<PingRequest>(&message)) {
    if (ping->sender.role == DaemonRole::edge)
      learn(from);
    left_.erase(from);
    return false;  // the daemon answers with all it knows
  }
  if (const auto* response = std::get_if<PingResponse>(&message)) {
    if (response->sender.role != DaemonRole::edge)
      return false;
    learn(from);
    for (const auto& entry : response->known_daemons)
      if (entry.role == DaemonRole::edge && peers_.count(entry.address) == 0 && entry.address != self_.address) {
        learn(entry.address);
        if (phase_ == Phase::pinging)
          out_.push_back({entry.address, PingRequest{ask_, self_, master_, version_}});
      }
    if (phase_ == Phase::pinging && response->request_id == ask_) {
      answers_[from] = {response->master, response->version, response->response_timestamp};
      refused_.erase(from);
      if (has_heard_all())
        end_round(now);
    }
    return false;
  }
  if (const auto* join = std::get_if<JoinRequest>(&message)) {
    learn(from);
    if (phase_ == Phase::leading) {
      followers_[from] = now;
      out_.push_back({from, JoinResponse{join->request_id, true, term_, ""}});
    } else if (phase_ == Phase::following) {
      out_.push_back({from, JoinResponse{join->request_id, false, term_, "following another"}});
    } else {
      joins_[from] = {now, join->request_id, join->term, join->response_timestamp};
      check_joins(now);
    }
    return true;
  }
  if (const auto* response = std::get_if<JoinResponse>(&message)) {
    if (phase_ != Phase::joining || response->request_id != ask_ || from != joining_)
      return true;
    if (!response->granted || response->term < term_) {
      ++counts_.joins_failed;
      pause(now);
      return true;
    }
    phase_ = Phase::following;
    master_ = from;
    term_ = response->term;
    term_master_ = from;
    master_heard_ = now;
    heartbeat_next_ = now;
    refuse_joins("following another");  // else they would wait out their join in vain
    return true;
  }
  if (const auto* leave = std::get_if<LeaveNotice>(&message)) {
    left_.insert(from);
    answers_.erase(leave->sender.address);
    peers_.erase(leave->sender.address);
    followers_.erase(from);
    if (from == master_) {
      master_ = Address{};
      begin_round(now);
    } else if (phase_ == Phase::pinging) {
      begin_round(now);  // answers so far may still name it
    }
    return true;
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    bool is_ours = phase_ == Phase::leading;
    if (is_ours) {
      followers_[from] = now;
      TimePoint acknowledged{heartbeat->acknowledged_timestamp};
      if (heartbeat->term == term_ && heartbeat->acknowledged_timestamp > 0 && acknowledgements_[from] < acknowledged)
        acknowledgements_[from] = acknowledged;
      TimePoint shown{heartbeat->master_timestamp};
      if (heartbeat->term == term_ && heartbeat->master_timestamp > 0 && shown <= now && shown_stamps_[from] < shown)
        shown_stamps_[from] = shown;
    }
    std::int64_t quorum_age = is_ours ? (now - quorum_confirmed(now)).value : 0;
    out_.push_back(
        {from, HeartbeatResponse{is_ours ? term_ : 0, is_ours, version_, now.value, heartbeat->sent_at, quorum_age}});
    return false;  // the daemon reads the statuses in it
  }
  if (const auto* response = std::get_if<HeartbeatResponse>(&message)) {
    if (phase_ != Phase::following || from != master_)
      return true;
    if (!response->from_master || response->term < term_) {  // the state still shows no master
      master_ = Address{};
      begin_round(now);
      return true;
    }
    master_heard_ = now;
    stamp_ = response->master_timestamp;
    stamp_term_ = response->term;
    // What an older map says is not confirmed by the master that has a newer one.
    TimePoint confirmed{response->heartbeat_sent_at - response->quorum_age_ms};
    if (response->heartbeat_sent_at > 0 && !(version_ < response->version) && master_confirmed_ < confirmed)
      master_confirmed_ = confirmed;
    return true;
  }
  return false;
}

void MasterElection::on_timer(TimePoint now) {
  switch (phase_) {
    case Phase::idle:
    case Phase::claiming:
      break;
    case Phase::pinging:
      if (phase_end_ <= now) {
        end_round(now);
      } else if (ping_next_ <= now) {
        ping_next_ = now + times_.ping_again;
        ping_everyone();
      }
      break;
    case Phase::pausing:
      if (phase_end_ <= now)
        begin_round(now);
      break;
    case Phase::awaiting_joins:
      if (phase_end_ <= now) {
        ++counts_.joins_failed;
        refuse_joins("too few joins");
        pause(now);
      }
      break;
    case Phase::joining:
      if (phase_end_ <= now) {
        ++counts_.joins_failed;
        pause(now);
      }
      break;
    case Phase::following:
      if (now - master_heard_ > times_.master_silence) {
        master_ = Address{};  // from here on our pings and answers say that we find it down
        begin_round(now);
      }
      break;
    case Phase::leading: {
      std::size_t heard = 1;
      for (const auto& [daemon, moment] : followers_)
        if (is_eligible(daemon) && now - moment <= times_.master_silence)
          ++heard;
      if (heard >= quorum())
        quorum_heard_ = now;
      if (now - quorum_heard_ > times_.lonely_master)
        step_down(now);
      break;
    }
  }
}

std::vector<OutboundMessage> MasterElection::drain_outbound() { return std::exchange(out_, {}); }

}  // namespace emberdale
