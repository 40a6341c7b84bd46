#include "emberdale/membership_reconciler.hpp"

#include <algorithm>

namespace emberdale {
namespace {
constexpr Duration request_interval{950};       // a learner is asked about once a second
constexpr Duration learner_memory{2200};        // one that has not answered for so long is gone again
constexpr Duration silence_timeout{2500};       // a replica that nobody has heard for so long is replaced...
constexpr Duration unreachable_span{10000};     // ...and one that others hear, but that never answers here, after this
constexpr Duration report_age{1200};            // the word of the replicas on who is silent counts for so long
constexpr Duration growth_wait{6000};           // a learner known for so long may grow the set
constexpr Duration bootstrap_duration{3000};    // so long after a founding, who was there at once is added at once...
constexpr Duration first_arrival{300};          // ...if it was known this soon after it
constexpr Duration response_window{800};        // a replica that answered within this lives: a bit more than two polls
constexpr Duration dead_member_timeout{30000};  // a replica silent for so long may leave the set...
constexpr Duration even_dead_member_timeout{
    8000};                                   // ...sooner from a set of even size, where the majority gets smaller
constexpr Duration replacement_pause{3000};  // between a change of the set and the next replacement
constexpr Duration change_pause{10000};      // between a change of the set and any other that the master decides
constexpr Duration search_span{300};         // who leaves waits so long for the answers of possible successors
constexpr Duration longest_pause{1000};
constexpr int most_overtaken = 2;

bool is_same_set(const std::vector<AcceptorEntry>& a, const std::vector<AcceptorEntry>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& one, const auto& other) {
    return one.store == other.store && one.address == other.address;
  });
}

bool holds(const std::vector<AcceptorEntry>& set, const StoreId& store, const Address& address) {
  return std::any_of(set.begin(), set.end(),
                     [&](const auto& entry) { return entry.store == store || entry.address == address; });
}
}  // namespace

bool MembershipReconciler::is_in_set(const Address& address) const {
  const FleetState& state = proposer_.state();
  for (const auto* set : {&state.acceptors, &state.next_acceptors})
    if (std::any_of(set->begin(), set->end(), [&](const auto& entry) { return entry.address == address; }))
      return true;
  return false;
}

void MembershipReconciler::observe_daemons(const std::vector<DaemonEntry>& daemons, TimePoint now) {
  for (const auto& daemon : daemons) {
    zones_[daemon.address] = daemon.zone;
    if (!proposer_.has_state() || is_in_set(daemon.address) || (is_leaving_ && !is_in_set(self_.address)))
      continue;
    auto asked = asked_.find(daemon.address);
    if (asked != asked_.end() && now - asked->second < request_interval)
      continue;
    asked_[daemon.address] = now;
    out_.push_back({daemon.address, ReadRequest{ask_, DaemonRole::data, proposer_.ballot(), false, false}});
  }
}

void MembershipReconciler::on_message(const Address& from, const Message& message, TimePoint now) {
  if (std::holds_alternative<LeaveNotice>(message))
    learners_.erase(from);
  if (const auto* accepted = std::get_if<Accepted>(&message))
    on_accepted(from, *accepted);
  const auto* response = std::get_if<ReadResponse>(&message);
  if (response == nullptr || response->store.empty())
    return;
  answered_[from] = {response->store, response->accepted, now};
  if (response->request_id != ask_ || is_in_set(from))
    return;
  Learner fresh{response->store, now, now, response->accepted, now, 0};
  auto [entry, is_new] = learners_.insert({from, fresh});
  Learner& learner = entry->second;
  if (learner.store != response->store)
    learner = fresh;
  learner.heard = now;
  learner.accepted = response->accepted;
  sync_learner(from, learner);
}

// A learner that was a replica may have promised more than was chosen since: the next write gets past that.
void MembershipReconciler::on_accepted(const Address& from, const Accepted& accepted) {
  auto learner = learners_.find(from);
  if (learner != learners_.end() && learner->second.store == accepted.store && !accepted.granted)
    learner->second.is_refusing = true;
}

// Old data of this register is never above what is chosen now, or will be with the next write: it can't win
// against it. Data that stays above is of another register, and is kept out.
bool MembershipReconciler::may_join(const Learner& learner) const { return !(proposer_.ballot() < learner.accepted); }

// A learner is given each chosen value, under the ballot it was chosen with, as a read gives it to an old replica.
// It has no vote: its store is not in the set, so no majority counts it.
void MembershipReconciler::sync_learner(const Address& address, const Learner& learner) {
  bool is_due = right_.kind == DecisionRight::Kind::master && learner.accepted < proposer_.ballot();
  if (is_due)
    out_.push_back({address, Accept{0, learner.store, proposer_.ballot(), proposer_.state_bytes()}});
}

void MembershipReconciler::watch_set(TimePoint now) {
  const FleetState& state = proposer_.state();
  if (!is_same_set(watched_set_, state.acceptors)) {
    bool is_first = watched_set_.empty();
    watched_set_ = state.acceptors;
    if (!is_first)
      set_changed_at_ = now;
  }
  for (const auto* set : {&state.acceptors, &state.next_acceptors})
    for (const auto& member : *set)
      member_since_.insert({member.address, now});
  for (auto entry = member_since_.begin(); entry != member_since_.end();) {
    if (!is_in_set(entry->first))
      entry = member_since_.erase(entry);
    else
      ++entry;
  }
}

void MembershipReconciler::on_timer(TimePoint now) {
  if (now - timer_at_ > longest_pause)
    awake_since_ = now;
  timer_at_ = now;
  watch_set(now);
  for (auto entry = learners_.begin(); entry != learners_.end();) {
    if (now - entry->second.heard > learner_memory || is_in_set(entry->first))
      entry = learners_.erase(entry);
    else
      ++entry;
  }
  for (auto& [address, learner] : learners_) {
    if (may_join(learner))
      learner.joinable_at = now;
    if (learner.accepted == proposer_.ballot()) {
      learner.is_refusing = false;
      learner.overtaken = 0;
    }
  }
  for (auto entry = asked_.begin(); entry != asked_.end();) {
    if (now - entry->second > dead_member_timeout)
      entry = asked_.erase(entry);
    else
      ++entry;
  }
}

// A wiped machine answers as another store: that is not silence, it is admitted in its own place.
Duration MembershipReconciler::silence(const AcceptorEntry& entry, TimePoint now) const {
  TimePoint last = awake_since_;
  auto since = member_since_.find(entry.address);
  last = std::max(last, since == member_since_.end() ? now : since->second);
  auto answered = answered_.find(entry.address);
  if (answered != answered_.end())
    last = std::max(last, answered->second.at);
  return now - last;
}

// How long no replica of a majority has heard that daemon; zero while that is not known.
Duration MembershipReconciler::reported_silence(const Address& address, TimePoint now) const {
  const auto& silences = proposer_.silences();
  if (!silences || now - proposer_.silences_at() > report_age)
    return Duration{0};
  auto watched = silences->find(Address{});
  if (watched == silences->end())
    return Duration{0};
  auto silence = silences->find(address);
  return silence == silences->end() ? watched->second : std::min(watched->second, silence->second);
}

std::vector<MemberView> MembershipReconciler::members(TimePoint now) const {
  const std::vector<AcceptorEntry>& set = proposer_.state().acceptors;
  Duration long_dead = set.size() % 2 == 0 ? even_dead_member_timeout : dead_member_timeout;
  // Who is cut off from its master alone sees that master as silent: it has no right to replace it.
  bool may_judge_alone = right_.kind == DecisionRight::Kind::master && now - set_changed_at_ >= change_pause;
  std::vector<MemberView> views;
  for (const auto& entry : set) {
    MemberView view;
    view.entry = entry;
    auto zone = zones_.find(entry.address);
    if (zone != zones_.end())
      view.zone = zone->second;
    Duration silent_here = silence(entry, now), silent = std::min(silent_here, reported_silence(entry.address, now));
    auto answered = answered_.find(entry.address);
    view.is_answering =
        silent_here <= response_window && answered != answered_.end() && answered->second.store == entry.store;
    view.is_dead = silent >= silence_timeout || (may_judge_alone && silent_here >= unreachable_span);
    view.is_long_dead = silent >= silence_timeout && silent_here >= long_dead;
    views.push_back(view);
  }
  return views;
}

std::vector<LearnerView> MembershipReconciler::learners(TimePoint now) const {
  bool was_just_founded = now - bootstrapped_at_ <= bootstrap_duration;
  std::vector<LearnerView> views;
  for (const auto& [address, learner] : learners_) {
    if (!may_join(learner) || learner.heard < awake_since_ ||
        holds(proposer_.state().acceptors, learner.store, address))
      continue;
    LearnerView view;
    view.entry = AcceptorEntry{learner.store, address};
    auto zone = zones_.find(address);
    if (zone != zones_.end())
      view.zone = zone->second;
    view.is_synced = learner.accepted == proposer_.ballot();
    view.is_awaited =
        now - learner.since >= growth_wait || (was_just_founded && learner.since <= bootstrapped_at_ + first_arrival);
    view.is_answering = now - learner.heard <= response_window;
    views.push_back(view);
  }
  return views;
}

// Carries out what was planned only on the very set, and in the term, that it was planned for.
SetChange MembershipReconciler::guarded(const MembershipChange& planned, const DecisionRight& right) const {
  auto change = [planned, set = proposer_.state().acceptors, right,
                 self = self_.address](const FleetState& found) -> Verdict {
    bool is_term_over = right.kind != DecisionRight::Kind::none && found.term != right.term;
    bool is_deposed = right.kind == DecisionRight::Kind::master && found.master != self;
    if (is_term_over || is_deposed || !found.next_acceptors.empty() || !is_same_set(found.acceptors, set))
      return {Verdict::Kind::already_there, {}, ""};
    FleetState next = found;
    next.next_acceptors = planned.applied_to(found.acceptors);
    return {Verdict::Kind::apply, next, ""};
  };
  return SetChange{std::move(change), planned.kind, planned.detail()};
}

// A write may get past the data of a learner that are above all that is chosen here, if they are this register's;
// and past what it has promised.
std::optional<SetChange> MembershipReconciler::due_overtaking(TimePoint now) {
  for (auto& [address, learner] : learners_) {
    bool is_long_above =
        !may_join(learner) && now - learner.joinable_at >= Duration{growth_wait.value * (learner.overtaken + 1)};
    if (learner.overtaken == most_overtaken || (!is_long_above && !learner.is_refusing))
      continue;
    ++learner.overtaken;
    learner.is_refusing = false;
    auto rewrite = [](const FleetState& state) {
      return Verdict{Verdict::Kind::apply, state, ""};
    };
    return SetChange{rewrite, "overtaking", address.text};
  }
  return std::nullopt;
}

std::optional<MembershipChange> MembershipReconciler::plan(TimePoint now) const {
  std::vector<MemberView> members = this->members(now);
  std::vector<LearnerView> learners = this->learners(now);
  std::optional<MembershipChange> planned;
  if (is_leaving_) {
    for (const auto& entry : proposer_.state().acceptors)
      if (entry.address == self_.address)
        planned = plan_hand_over(entry, members, learners, policy_);
  } else if (right_.kind != DecisionRight::Kind::none) {
    bool is_rested = now - set_changed_at_ >= change_pause || now - bootstrapped_at_ <= bootstrap_duration;
    if (now - set_changed_at_ >= replacement_pause)
      planned = plan_replacement(members, learners);
    if (!planned && is_rested)
      planned = plan_growth(members, learners, policy_);
    if (!planned && is_rested)
      planned = plan_drop(members);
  }
  if (!planned || !is_borne_by_living(*planned, members, learners))
    return std::nullopt;
  return planned;
}

std::optional<SetChange> MembershipReconciler::due_change(TimePoint now) {
  bool is_state_confirmed = proposer_.has_state() && now - proposer_.confirmed_at() <= silence_timeout;
  if (!is_state_confirmed || !proposer_.state().next_acceptors.empty())
    return std::nullopt;
  if (!is_in_set(self_.address) && right_.kind != DecisionRight::Kind::master)
    return std::nullopt;
  if (auto planned = plan(now)) {
    if (is_leaving_)
      for (const auto& entry : planned->added)
        successors_.push_back(entry.store);
    return guarded(*planned, is_leaving_ ? DecisionRight{} : right_);
  }
  if (right_.kind != DecisionRight::Kind::none && !is_leaving_)
    return due_overtaking(now);
  return std::nullopt;
}

std::optional<SetChange> MembershipReconciler::readmission(const AcceptorEntry& wiped, const StoreId& fresh,
                                                           TimePoint now) const {
  MembershipChange change{{wiped}, {AcceptorEntry{fresh, wiped.address}}, "admitting"};
  if (!proposer_.state().next_acceptors.empty() || !is_borne_by_living(change, members(now), {}))
    return std::nullopt;
  return guarded(change, DecisionRight{});
}

void MembershipReconciler::begin_leaving(TimePoint now) {
  is_leaving_ = true;
  leaving_since_ = now;
  asked_.clear();
}

bool MembershipReconciler::is_handing_over(TimePoint now) const {
  if (!proposer_.has_state())
    return false;
  if (is_in_set(self_.address)) {
    bool is_under_way = !proposer_.state().next_acceptors.empty();
    bool is_asking = !asked_.empty() && now - leaving_since_ <= search_span;
    return is_under_way || is_asking || plan(now).has_value() || !learners(now).empty();
  }
  if (!proposer_.state().next_acceptors.empty())
    return true;
  for (const auto& entry : proposer_.state().acceptors) {
    auto answered = answered_.find(entry.address);
    bool is_successor = std::find(successors_.begin(), successors_.end(), entry.store) != successors_.end();
    bool is_synced = answered != answered_.end() && answered->second.store == entry.store &&
                     !(answered->second.accepted < proposer_.ballot());
    if (is_successor && !is_synced)
      return true;
  }
  return false;
}

}  // namespace emberdale
