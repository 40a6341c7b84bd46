#include "emberdale/membership_reconciler.hpp"

#include <algorithm>

#include "emberdale/store_seat.hpp"

namespace emberdale {
namespace {
constexpr Duration request_interval{950};  // a learner is asked about once a second
constexpr Duration learner_timeout{2200};  // one that has not answered for so long is none any more
// A replica that nobody has heard for so long is replaced...
constexpr Duration silence_timeout{2500};
// ...and one that others hear, but that never answers the master, after this.
constexpr Duration unreachable_timeout{10000};
constexpr Duration report_lifetime{1200};  // what replicas report on who is silent counts for so long
constexpr Duration growth_wait{6000};      // a learner known for so long may grow the set
// So long after a bootstrap, a learner that was there soon after it is added at once.
constexpr Duration bootstrap_duration{3000};
constexpr Duration first_arrival{300};
constexpr Duration response_window{800};  // a replica that answered within this is alive: a bit more than two polls
// A replica silent for so long may leave the set, and sooner a set of even size, where the majority gets smaller.
constexpr Duration dead_member_timeout{30000};
constexpr Duration even_dead_member_timeout{8000};
constexpr Duration replacement_pause{3000};  // between a change of the set and the next replacement
constexpr Duration change_pause{10000};      // between a change of the set and any other that the master decides
constexpr Duration search_duration{300};     // a daemon that stops waits so long for answers of possible successors
constexpr Duration longest_pause{1000};      // between two timers: after a longer one silences are counted anew
constexpr int most_overtaken = 2;

// The same members in the same order; is_same_set() of the proposer ignores the order.
bool is_same_list(const std::vector<AcceptorEntry>& a, const std::vector<AcceptorEntry>& b) {
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

bool MembershipReconciler::is_request_due(const Address& address, TimePoint now) const {
  bool is_replaced = is_leaving_ && !is_in_set(self_.address);
  if (!proposer_.has_state() || is_in_set(address) || is_replaced)
    return false;
  auto requested = requested_at_.find(address);
  return requested == requested_at_.end() || now - requested->second >= request_interval;
}

void MembershipReconciler::observe_daemons(const std::vector<DaemonEntry>& daemons, TimePoint now) {
  for (const auto& daemon : daemons) {
    zones_[daemon.address] = daemon.zone;
    if (!is_request_due(daemon.address, now))
      continue;
    requested_at_[daemon.address] = now;
    out_.push_back({daemon.address, ReadRequest{request_id_, DaemonRole::data, proposer_.ballot(), false, false}});
  }
}

void MembershipReconciler::on_message(const Address& from, const Message& message, TimePoint now) {
  std::visit([&](const auto& content) { on(from, content, now); }, message);
}

void MembershipReconciler::on(const Address& from, const LeaveNotice&, TimePoint) { learners_.erase(from); }

void MembershipReconciler::on(const Address& from, const ReadResponse& response, TimePoint now) {
  if (response.store.empty())
    return;
  answered_[from] = {response.store, response.accepted, now};
  if (response.request_id == request_id_ && !is_in_set(from))
    observe_learner(from, response, now);
}

void MembershipReconciler::observe_learner(const Address& from, const ReadResponse& response, TimePoint now) {
  Learner fresh;
  fresh.store = response.store;
  fresh.since = fresh.heard = fresh.joinable_at = now;
  fresh.accepted = response.accepted;
  auto [entry, is_new] = learners_.insert({from, fresh});
  Learner& learner = entry->second;
  if (learner.store != response.store)
    learner = fresh;
  learner.heard = now;
  learner.accepted = response.accepted;
  sync_learner(from, learner);
}

// A learner that was a replica may have promised more than was chosen since: the next write gets past that.
void MembershipReconciler::on(const Address& from, const Accepted& accepted, TimePoint) {
  auto learner = learners_.find(from);
  if (learner != learners_.end() && learner->second.store == accepted.store && !accepted.granted)
    learner->second.is_refusing = true;
}

// A value of this register is never above what is chosen now, or will be with the next write: it can't win against it.
// A value that stays above is of another register, and its store is kept out.
bool MembershipReconciler::may_join(const Learner& learner) const { return !(proposer_.ballot() < learner.accepted); }

// A learner gets each chosen value, under the ballot that it was chosen with, as read repair gives it to a replica. It
// has no vote: its store is not in the set, so no majority counts it.
void MembershipReconciler::sync_learner(const Address& address, const Learner& learner) {
  bool is_due = right_.kind == DecisionRight::Kind::master && learner.accepted < proposer_.ballot();
  if (is_due)
    out_.push_back({address, Accept{0, learner.store, proposer_.ballot(), proposer_.state_bytes()}});
}

void MembershipReconciler::observe_set(TimePoint now) {
  const FleetState& state = proposer_.state();
  if (!is_same_list(observed_set_, state.acceptors)) {
    bool is_first = observed_set_.empty();
    observed_set_ = state.acceptors;
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
  observe_set(now);
  forget_silent_learners(now);
  update_learners(now);
  forget_old_requests(now);
}

void MembershipReconciler::forget_silent_learners(TimePoint now) {
  for (auto entry = learners_.begin(); entry != learners_.end();) {
    if (now - entry->second.heard > learner_timeout || is_in_set(entry->first))
      entry = learners_.erase(entry);
    else
      ++entry;
  }
}

void MembershipReconciler::update_learners(TimePoint now) {
  for (auto& [address, learner] : learners_) {
    if (may_join(learner))
      learner.joinable_at = now;
    if (learner.accepted == proposer_.ballot()) {
      learner.is_refusing = false;
      learner.overtaken = 0;
    }
  }
}

void MembershipReconciler::forget_old_requests(TimePoint now) {
  for (auto entry = requested_at_.begin(); entry != requested_at_.end();) {
    if (now - entry->second > dead_member_timeout)
      entry = requested_at_.erase(entry);
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
  if (!silences || now - proposer_.silences_at() > report_lifetime)
    return Duration{0};
  auto watched = silences->find(Address{});
  if (watched == silences->end())
    return Duration{0};
  auto silence = silences->find(address);
  return silence == silences->end() ? watched->second : std::min(watched->second, silence->second);
}

ZoneName MembershipReconciler::zone_of(const Address& address) const {
  auto zone = zones_.find(address);
  return zone == zones_.end() ? ZoneName{} : zone->second;
}

bool MembershipReconciler::has_answered_as(const AcceptorEntry& entry) const {
  auto answered = answered_.find(entry.address);
  return answered != answered_.end() && answers_to(answered->second.store, entry.store);
}

MemberView MembershipReconciler::member_view(const AcceptorEntry& entry, TimePoint now) const {
  bool is_even = proposer_.state().acceptors.size() % 2 == 0;
  Duration long_dead_timeout = is_even ? even_dead_member_timeout : dead_member_timeout;
  // A daemon that is cut off from its master alone sees that master as silent: it has no right to replace it.
  bool may_judge_alone = right_.kind == DecisionRight::Kind::master && now - set_changed_at_ >= change_pause;
  Duration silent_here = silence(entry, now);
  Duration silent = std::min(silent_here, reported_silence(entry.address, now));
  MemberView view;
  view.entry = entry;
  view.zone = zone_of(entry.address);
  view.is_answering = silent_here <= response_window && has_answered_as(entry);
  view.is_dead = silent >= silence_timeout || (may_judge_alone && silent_here >= unreachable_timeout);
  view.is_long_dead = silent >= silence_timeout && silent_here >= long_dead_timeout;
  return view;
}

std::vector<MemberView> MembershipReconciler::members(TimePoint now) const {
  std::vector<MemberView> views;
  for (const auto& entry : proposer_.state().acceptors)
    views.push_back(member_view(entry, now));
  return views;
}

std::vector<LearnerView> MembershipReconciler::learners(TimePoint now) const {
  bool was_just_bootstrapped = now - bootstrapped_at_ <= bootstrap_duration;
  std::vector<LearnerView> views;
  for (const auto& [address, learner] : learners_) {
    if (!may_join(learner) || learner.heard < awake_since_ ||
        holds(proposer_.state().acceptors, learner.store, address))
      continue;
    bool was_there_at_bootstrap = was_just_bootstrapped && learner.since <= bootstrapped_at_ + first_arrival;
    LearnerView view;
    view.entry = AcceptorEntry{learner.store, address};
    view.zone = zone_of(address);
    view.is_synced = learner.accepted == proposer_.ballot();
    view.is_awaited = now - learner.since >= growth_wait || was_there_at_bootstrap;
    view.is_answering = now - learner.heard <= response_window;
    views.push_back(view);
  }
  return views;
}

// Carries out what was planned only on the very set, and in the term, that it was planned for.
SetChange MembershipReconciler::guarded(const MembershipChange& planned, const DecisionRight& right) const {
  auto change = [planned, set = proposer_.state().acceptors, right,
                 self = self_.address](const FleetState& found) -> ChangeDecision {
    bool is_term_over = right.kind != DecisionRight::Kind::none && found.term != right.term;
    bool is_deposed = right.kind == DecisionRight::Kind::master && found.master != self;
    if (is_term_over || is_deposed || !found.next_acceptors.empty() || !is_same_list(found.acceptors, set))
      return {ChangeDecision::Kind::already_there, {}, ""};
    FleetState next = found;
    next.next_acceptors = planned.applied_to(found.acceptors);
    return {ChangeDecision::Kind::apply, next, ""};
  };
  return SetChange{std::move(change), planned.kind, planned.detail()};
}

// A write may get past the value of a learner that is above all that is chosen here, if it is of this register; and
// past what the learner has promised.
std::optional<SetChange> MembershipReconciler::due_overtaking(TimePoint now) {
  for (auto& [address, learner] : learners_) {
    bool is_long_above =
        !may_join(learner) && now - learner.joinable_at >= Duration{growth_wait.value * (learner.overtaken + 1)};
    if (learner.overtaken == most_overtaken || (!is_long_above && !learner.is_refusing))
      continue;
    ++learner.overtaken;
    learner.is_refusing = false;
    auto rewrite = [](const FleetState& state) {
      return ChangeDecision{ChangeDecision::Kind::apply, state, ""};
    };
    return SetChange{rewrite, "overtaking", address.text};
  }
  return std::nullopt;
}

std::optional<MembershipChange> MembershipReconciler::plan(TimePoint now) const {
  std::vector<MemberView> members = this->members(now);
  std::vector<LearnerView> learners = this->learners(now);
  std::optional<MembershipChange> planned =
      is_leaving_ ? plan_own_hand_over(members, learners) : plan_by_right(members, learners, now);
  if (!planned || !is_borne_by_living(*planned, members, learners))
    return std::nullopt;
  return planned;
}

std::optional<MembershipChange> MembershipReconciler::plan_own_hand_over(
    const std::vector<MemberView>& members, const std::vector<LearnerView>& learners) const {
  std::optional<MembershipChange> planned;
  for (const auto& entry : proposer_.state().acceptors)
    if (entry.address == self_.address)
      planned = plan_hand_over(entry, members, learners, policy_);
  return planned;
}

// Replacement comes first, then growth, then the removal of members that are long dead.
std::optional<MembershipChange> MembershipReconciler::plan_by_right(const std::vector<MemberView>& members,
                                                                    const std::vector<LearnerView>& learners,
                                                                    TimePoint now) const {
  if (right_.kind == DecisionRight::Kind::none)
    return std::nullopt;
  Duration since_change = now - set_changed_at_;
  bool was_just_bootstrapped = now - bootstrapped_at_ <= bootstrap_duration;
  bool may_resize = since_change >= change_pause || was_just_bootstrapped;
  std::optional<MembershipChange> planned;
  if (since_change >= replacement_pause)
    planned = plan_replacement(members, learners);
  if (!planned && may_resize)
    planned = plan_growth(members, learners, policy_);
  if (!planned && may_resize)
    planned = plan_drop(members);
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
  requested_at_.clear();
}

bool MembershipReconciler::is_successor_unsynced(const AcceptorEntry& entry) const {
  if (std::find(successors_.begin(), successors_.end(), entry.store) == successors_.end())
    return false;
  bool is_synced = has_answered_as(entry) && !(answered_.at(entry.address).accepted < proposer_.ballot());
  return !is_synced;
}

bool MembershipReconciler::is_handing_over(TimePoint now) const {
  if (!proposer_.has_state())
    return false;
  const FleetState& state = proposer_.state();
  if (!state.next_acceptors.empty())
    return true;
  if (is_in_set(self_.address)) {
    bool is_searching = !requested_at_.empty() && now - leaving_since_ <= search_duration;
    return is_searching || plan(now).has_value() || !learners(now).empty();
  }
  return std::any_of(state.acceptors.begin(), state.acceptors.end(),
                     [&](const auto& entry) { return is_successor_unsynced(entry); });
}

}  // namespace emberdale
