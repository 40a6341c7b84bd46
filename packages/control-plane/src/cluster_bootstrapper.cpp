#include "emberdale/cluster_bootstrapper.hpp"

#include <algorithm>
#include <iterator>

namespace emberdale {
namespace {
constexpr Duration bootstrap_wait{400};   // the seeds are waited for at least so long
constexpr Duration takeover_delay{1000};  // for each smaller seed, before a larger one asks at all
// For each smaller seed that answers: it would have founded the register long before, if it could.
constexpr Duration takeover_wait{2000};
// A seed that has not answered for so long while a majority did is taken for lost. All machines of a first start begin
// within 0.3 s.
constexpr Duration lost_seed_wait{2500};
constexpr Duration founding_timeout{2000};
constexpr Duration request_interval{150};
constexpr Duration response_age{1000};  // an answer counts for so long
const char* const fleet_name = "emberdale";

// A disk that was lost and one that is being replaced, beside a store that has never been in touch, are three losses.
constexpr std::size_t most_losses_without_votes = 2;

std::size_t majority_of(std::size_t count) { return count / 2 + 1; }
}  // namespace

ClusterBootstrapper::ClusterBootstrapper(RegisterProposer& proposer, EventJournal& journal, Address self,
                                         const std::vector<Address>& seeds, std::size_t most_lost_stores,
                                         RandomGenerator random)
    : proposer_(proposer),
      journal_(journal),
      self_(std::move(self)),
      seeds_(seeds.begin(), seeds.end()),
      electorate_(seeds),
      most_lost_stores_(most_lost_stores),
      random_(random),
      request_id_(first_request_id(random_)) {}

void ClusterBootstrapper::start(TimePoint now) {
  auto own_seed = seeds_.find(self_);
  if (phase_ != Phase::idle || own_seed == seeds_.end())
    return;
  smaller_seeds_ = std::distance(seeds_.begin(), own_seed);
  phase_ = Phase::asking;
  started_ = now;
  request_next_ = now + Duration{takeover_delay.value * smaller_seeds_};
}

void ClusterBootstrapper::on_message(const Address& from, const Message& message, TimePoint now) {
  std::visit([&](const auto& content) { on(from, content, now); }, message);
}

void ClusterBootstrapper::on(const Address& from, const ReadResponse& response, TimePoint now) {
  if (!is_at_work() || response.request_id != request_id_ || seeds_.count(from) == 0)
    return;
  answers_[from] = {response.store, response.blank, now};
  // A register exists, or a part of a founding: reads of the set that it names carry that one through.
  if (!response.blank)
    proposer_.learn_acceptors(response.acceptors);
}

void ClusterBootstrapper::forget_old_answers(TimePoint now) {
  for (auto answer = answers_.begin(); answer != answers_.end();)
    answer = now - answer->second.heard > response_age ? answers_.erase(answer) : std::next(answer);
}

// The electorate are the seeds that keep a store. Those that say that they keep none never vote; a seed that has not
// answered may keep one, and is named by its seat.
std::vector<AcceptorEntry> ClusterBootstrapper::founding_set() const {
  std::vector<AcceptorEntry> electorate, answering;
  std::size_t voting = 0;
  for (const auto& seed : seeds_) {
    auto answer = answers_.find(seed);
    if (answer == answers_.end()) {
      electorate.push_back({electorate_.seat(seed), seed});
      continue;
    }
    const auto& [store, is_blank, heard] = answer->second;
    if (!is_blank)
      return {};
    if (store.empty())
      continue;
    answering.push_back({store, seed});
    bool has_vote = electorate_.has_vote(store, seed);
    voting += has_vote ? 1 : 0;
    electorate.push_back({has_vote ? store : electorate_.seat(seed), seed});
  }
  if (voting >= majority_of(electorate.size()))
    return electorate;
  bool may_count_all = has_answer_of_all() && voting > 0 && most_lost_stores_ <= most_losses_without_votes;
  return may_count_all ? answering : std::vector<AcceptorEntry>{};
}

void ClusterBootstrapper::observe_answers(TimePoint now) {
  forget_old_answers(now);
  bool is_sufficient = !founding_set().empty();
  if (!is_sufficient)
    sufficient_since_.reset();
  else if (!sufficient_since_)
    sufficient_since_ = now;
  if (!is_sufficient || !has_answer_of_all())
    complete_since_.reset();
  else if (!complete_since_)
    complete_since_ = now;
}

// The smallest seed begins as soon as all have answered. Any other only if the smaller ones answer, and yet have not
// done it: they came back without the permission to, for example. Seeds that do not answer are waited for once.
bool ClusterBootstrapper::may_begin(TimePoint now) const {
  if (now - started_ < bootstrap_wait)
    return false;
  std::int64_t smaller_answering =
      std::count_if(answers_.begin(), answers_.end(), [&](const auto& answer) { return answer.first < self_; });
  const Duration wait{takeover_wait.value * smaller_answering};
  if (complete_since_ && wait <= now - *complete_since_)
    return true;
  return sufficient_since_ && lost_seed_wait + wait <= now - *sufficient_since_;
}

// Whichever state is chosen, the stores that it names are the electorate: a majority of the one is one of the other.
void ClusterBootstrapper::begin_founding(TimePoint now) {
  phase_ = Phase::founding;
  is_own_proposal_ = false;
  const std::vector<AcceptorEntry> stores = founding_set();
  auto propose = [this, stores](const FleetState& found) -> ChangeDecision {
    is_own_proposal_ = found.version == 0;
    if (!is_own_proposal_)
      return {ChangeDecision::Kind::already_there, {}, ""};
    FleetState first;
    first.fleet_name = fleet_name;
    first.acceptors = stores;
    return {ChangeDecision::Kind::apply, std::move(first), ""};
  };
  proposer_.found(
      stores, std::move(propose), [this, now](const ChangeResult& end) { on_founding_end(end, now); }, now,
      founding_timeout);
}

void ClusterBootstrapper::on_founding_end(const ChangeResult& end, TimePoint now) {
  if (end.kind != ChangeResult::Kind::committed) {
    phase_ = Phase::asking;
    return;
  }
  phase_ = Phase::over;
  was_bootstrapped_ = true;
  if (is_own_proposal_)
    journal_.append(now, "founded", fleet_name);
}

void ClusterBootstrapper::send_read_requests() {
  for (const auto& seed : seeds_)
    out_.push_back({seed, ReadRequest{request_id_, DaemonRole::data, Ballot{}, false, false}});
}

void ClusterBootstrapper::on_timer(TimePoint now) {
  if (is_at_work() && proposer_.has_state())
    phase_ = Phase::over;
  if (!is_at_work())
    return;
  observe_answers(now);
  if (phase_ == Phase::asking && may_begin(now))
    begin_founding(now);
  if (now < request_next_)
    return;
  request_next_ = now + request_interval;
  send_read_requests();
}

}  // namespace emberdale
