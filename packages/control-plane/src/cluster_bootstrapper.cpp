#include "emberdale/cluster_bootstrapper.hpp"

#include <algorithm>

#include "emberdale/avro_codec.hpp"

namespace emberdale {
namespace {
constexpr Duration bootstrap_wait{400}, request_interval{150}, response_age{1000};
const char* const fleet_name = "emberdale";
}  // namespace

ClusterBootstrapper::ClusterBootstrapper(RegisterProposer& proposer, EventJournal& journal, Address self,
                                         std::vector<Address> seeds, RandomGenerator random)
    : proposer_(proposer),
      journal_(journal),
      self_(std::move(self)),
      seeds_(seeds.begin(), seeds.end()),
      random_(random),
      ask_(first_request_id(random_)) {}

void ClusterBootstrapper::start(TimePoint now) {
  if (phase_ != Phase::idle || seeds_.empty() || *seeds_.begin() != self_)
    return;
  phase_ = Phase::asking;
  started_ = request_next_ = now;
}

void ClusterBootstrapper::on_message(const Address& from, const Message& message, TimePoint now) {
  if (const auto* response = std::get_if<ReadResponse>(&message))
    on_read(from, *response, now);
  if (const auto* response = std::get_if<BootstrapResponse>(&message))
    on_bootstrapped(*response, now);
}

void ClusterBootstrapper::on_read(const Address& from, const ReadResponse& response, TimePoint now) {
  if (phase_ != Phase::asking || response.request_id != ask_ || seeds_.count(from) == 0)
    return;
  if (response.blank) {
    blanks_[from] = {response.store, now};
    return;
  }
  // A register is there, or the half of a founding: reads carry it through, and it is never founded again.
  phase_ = Phase::over;
  proposer_.learn_acceptors(response.acceptors);
}

// The value is the same in each life of the founder as long as the seeds' stores are. Only seeds are in it: so
// whoever may have accepted a former founding is asked, and has to be blank, before there is another.
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
  send_bootstrap_request();
}

void ClusterBootstrapper::send_bootstrap_request() {
  for (const auto& entry : acceptors_)
    if (answered_.count(entry.store) == 0)
      out_.push_back({entry.address, BootstrapRequest{ask_, entry.store, value_}});
}

void ClusterBootstrapper::on_bootstrapped(const BootstrapResponse& response, TimePoint now) {
  if (phase_ != Phase::founding || response.request_id != ask_)
    return;
  bool is_named = std::any_of(acceptors_.begin(), acceptors_.end(),
                              [&](const auto& entry) { return entry.store == response.store; });
  if (!is_named)
    return;
  // A refusal says that the founding has gone on from there already: a read by another daemon carried it on.
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

void ClusterBootstrapper::on_timer(TimePoint now) {
  if (phase_ == Phase::asking && (proposer_.has_state() || !proposer_.acceptors().empty()))
    phase_ = Phase::over;
  if (phase_ == Phase::asking && now - started_ >= bootstrap_wait) {
    bool has_all = std::all_of(seeds_.begin(), seeds_.end(), [&](const auto& seed) {
      auto blank = blanks_.find(seed);
      return blank != blanks_.end() && now - blank->second.heard <= response_age;
    });
    bool has_store =
        std::any_of(blanks_.begin(), blanks_.end(), [](const auto& blank) { return !blank.second.store.empty(); });
    if (has_all && has_store)
      begin_bootstrap(now);
  }
  if (!is_at_work() || now < request_next_)
    return;
  request_next_ = now + request_interval;
  if (phase_ == Phase::founding)
    return send_bootstrap_request();
  for (const auto& seed : seeds_)
    out_.push_back({seed, ReadRequest{ask_, DaemonRole::data, Ballot{}, false, false}});
}

}  // namespace emberdale
