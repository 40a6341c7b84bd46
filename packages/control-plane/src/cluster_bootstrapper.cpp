#include "emberdale/cluster_bootstrapper.hpp"

#include <algorithm>

#include "emberdale/avro_codec.hpp"

namespace emberdale {
namespace {
constexpr Duration bootstrap_wait{400};  // the seeds are waited for at least so long
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
  if (phase_ != Phase::idle || seeds_.empty() || *seeds_.begin() != self_)
    return;
  phase_ = Phase::asking;
  started_ = request_next_ = now;
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

// The first state is the same in each incarnation of this daemon, as long as the seeds' stores are. Only seeds are in
// it: so every store that may have accepted an earlier attempt is asked, and has to be blank, before there is another.
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
bool ClusterBootstrapper::may_begin(TimePoint now) const {
  if (now - started_ < bootstrap_wait)
    return false;
  bool has_all_seeds = std::all_of(seeds_.begin(), seeds_.end(), [&](const auto& seed) {
    auto blank = blanks_.find(seed);
    return blank != blanks_.end() && now - blank->second.heard <= response_age;
  });
  bool has_store =
      std::any_of(blanks_.begin(), blanks_.end(), [](const auto& blank) { return !blank.second.store.empty(); });
  return has_all_seeds && has_store;
}

void ClusterBootstrapper::send_read_requests() {
  for (const auto& seed : seeds_)
    out_.push_back({seed, ReadRequest{request_id_, DaemonRole::data, Ballot{}, false, false}});
}

void ClusterBootstrapper::on_timer(TimePoint now) {
  if (phase_ == Phase::asking && (proposer_.has_state() || !proposer_.acceptors().empty()))
    phase_ = Phase::over;
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
