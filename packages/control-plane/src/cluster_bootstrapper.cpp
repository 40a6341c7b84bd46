#include "emberdale/cluster_bootstrapper.hpp"

#include <algorithm>
#include <iterator>

#include "emberdale/avro_codec.hpp"

namespace emberdale {
namespace {
constexpr Duration bootstrap_wait{400};   // the seeds are waited for at least so long
constexpr Duration takeover_delay{1000};  // for each smaller seed, before a larger one asks at all
// For each smaller seed, all seeds must have been blank for so long: it would have bootstrapped long before, if it
// could.
constexpr Duration takeover_wait{2000};
constexpr Duration request_interval{150};
constexpr Duration response_age{1000};  // an answer counts for so long
const char* const fleet_name = "emberdale";
}  // namespace

ClusterBootstrapper::ClusterBootstrapper(RegisterProposer& proposer, EventJournal& journal, Address self,
                                         std::vector<Address> seeds, RandomGenerator random)
    : proposer_(proposer),
      journal_(journal),
      self_(std::move(self)),
      seeds_(seeds.begin(), seeds.end()),
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
  if (phase_ != Phase::asking || response.request_id != request_id_ || seeds_.count(from) == 0)
    return;
  if (response.blank) {
    blanks_[from] = {response.store, now};
    return;
  }
  // A register exists, or a part of a bootstrap: reads complete it, and there is never a second one.
  phase_ = Phase::over;
  proposer_.learn_acceptors(response.acceptors);
}

// The first state is the same by whichever seed, in each of its incarnations, as long as the seeds' stores are. Only
// seeds are in it: so every store that may have accepted an earlier attempt is asked, and has to be blank, before there
// is another.
void ClusterBootstrapper::begin_bootstrap(TimePoint now) {
  phase_ = Phase::founding;
  FleetState state;
  state.fleet_name = fleet_name;
  state.version = 1;
  for (const auto& [address, blank] : blanks_)
    if (!blank.store.empty())
      acceptors_.push_back({blank.store, address});
  state.acceptors = acceptors_;
  value_.data = encode_state(state);
  request_next_ = now + request_interval;
  send_bootstrap_requests();
}

void ClusterBootstrapper::send_bootstrap_requests() {
  for (const auto& entry : acceptors_)
    if (answered_.count(entry.store) == 0)
      out_.push_back({entry.address, BootstrapRequest{request_id_, entry.store, value_}});
}

void ClusterBootstrapper::on(const Address&, const BootstrapResponse& response, TimePoint now) {
  if (phase_ != Phase::founding || response.request_id != request_id_)
    return;
  bool is_named = std::any_of(acceptors_.begin(), acceptors_.end(),
                              [&](const auto& entry) { return entry.store == response.store; });
  if (!is_named)
    return;
  // A refusal says that the store holds the state, or a later one, already: a read by another daemon brought it there.
  answered_.insert(response.store);
  if (response.granted)
    granted_.insert(response.store);
  if (answered_.size() == acceptors_.size())
    phase_ = Phase::over;
  if (was_bootstrapped_ || !has_majority(acceptors_, {}, granted_) || !proposer_.acceptors().empty())
    return;
  proposer_.learn_acceptors(acceptors_);
  was_bootstrapped_ = true;
  journal_.append(now, "founded", fleet_name);
}

// Every seed has just answered that it is blank, and one of them at least keeps a store.
bool ClusterBootstrapper::are_all_blank(TimePoint now) const {
  bool has_all_seeds = std::all_of(seeds_.begin(), seeds_.end(), [&](const auto& seed) {
    auto blank = blanks_.find(seed);
    return blank != blanks_.end() && now - blank->second.heard <= response_age;
  });
  bool has_store =
      std::any_of(blanks_.begin(), blanks_.end(), [](const auto& blank) { return !blank.second.store.empty(); });
  return has_all_seeds && has_store;
}

// The smallest seed begins at once. Any other only if the smaller ones answer, and yet have not done it: they came back
// without the permission to, for example.
bool ClusterBootstrapper::may_begin(TimePoint now) const {
  if (!all_blank_since_ || now - started_ < bootstrap_wait)
    return false;
  const Duration wait{takeover_wait.value * smaller_seeds_};
  return wait <= now - *all_blank_since_;
}

void ClusterBootstrapper::send_read_requests() {
  for (const auto& seed : seeds_)
    out_.push_back({seed, ReadRequest{request_id_, DaemonRole::data, Ballot{}, false, false}});
}

void ClusterBootstrapper::on_timer(TimePoint now) {
  if (phase_ == Phase::asking && (proposer_.has_state() || !proposer_.acceptors().empty()))
    phase_ = Phase::over;
  if (!are_all_blank(now))
    all_blank_since_.reset();
  else if (!all_blank_since_)
    all_blank_since_ = now;
  if (phase_ == Phase::asking && may_begin(now))
    begin_bootstrap(now);
  if (!is_at_work() || now < request_next_)
    return;
  request_next_ = now + request_interval;
  if (phase_ == Phase::founding)
    send_bootstrap_requests();
  else
    send_read_requests();
}

}  // namespace emberdale
