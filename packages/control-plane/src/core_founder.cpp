#include "emberdale/core_founder.hpp"

#include <algorithm>

#include "emberdale/avro_codec.hpp"

namespace emberdale {
namespace {
constexpr Span founding_wait{400}, ask_pace{150}, answer_age{1000};
const char* const fleet_name = "emberdale";
}  // namespace

CoreFounder::CoreFounder(RegisterProposer& proposer, EventJournal& journal, Address self, std::vector<Address> seeds,
                         RandomGenerator random)
    : proposer_(proposer),
      journal_(journal),
      self_(std::move(self)),
      seeds_(seeds.begin(), seeds.end()),
      random_(random),
      ask_(first_ask(random_)) {}

void CoreFounder::start(Moment now) {
  if (phase_ != Phase::idle || seeds_.empty() || *seeds_.begin() != self_)
    return;
  phase_ = Phase::asking;
  started_ = ask_next_ = now;
}

void CoreFounder::on_message(const Address& from, const Message& message, Moment now) {
  if (const auto* answer = std::get_if<ReadAnswer>(&message))
    on_read(from, *answer, now);
  if (const auto* answer = std::get_if<FoundAnswer>(&message))
    on_founded(*answer, now);
}

void CoreFounder::on_read(const Address& from, const ReadAnswer& answer, Moment now) {
  if (phase_ != Phase::asking || answer.ask != ask_ || seeds_.count(from) == 0)
    return;
  if (answer.blank) {
    blanks_[from] = {answer.store, now};
    return;
  }
  // A register is there, or the half of a founding: reads carry it through, and it is never founded again.
  phase_ = Phase::over;
  proposer_.learn_acceptors(answer.acceptors);
}

// The value is the same in each life of the founder as long as the seeds' stores are. Only seeds are in it: so
// whoever may have accepted a former founding is asked, and has to be blank, before there is another.
void CoreFounder::begin_founding(Moment now) {
  phase_ = Phase::founding;
  FleetState state;
  state.fleet = fleet_name;
  state.version = 1;
  for (const auto& [address, blank] : blanks_)
    if (!blank.store.empty())
      acceptors_.push_back({blank.store, address});
  state.acceptors = acceptors_;
  value_.data = encode_state(state);
  ask_next_ = now + ask_pace;
  send_found();
}

void CoreFounder::send_found() {
  for (const auto& entry : acceptors_)
    if (answered_.count(entry.store) == 0)
      out_.push_back({entry.address, Found{ask_, entry.store, value_}});
}

void CoreFounder::on_founded(const FoundAnswer& answer, Moment now) {
  if (phase_ != Phase::founding || answer.ask != ask_)
    return;
  bool is_named =
      std::any_of(acceptors_.begin(), acceptors_.end(), [&](const auto& entry) { return entry.store == answer.store; });
  if (!is_named)
    return;
  // A refusal says that the founding has gone on from there already: a read by another daemon carried it on.
  answered_.insert(answer.store);
  if (answer.granted)
    granted_.insert(answer.store);
  if (answered_.size() == acceptors_.size())
    phase_ = Phase::over;
  if (was_founded_ || !has_majority(acceptors_, {}, granted_) || !proposer_.acceptors().empty())
    return;
  proposer_.learn_acceptors(acceptors_);
  was_founded_ = true;
  journal_.append(now, "founded", fleet_name);
}

void CoreFounder::on_timer(Moment now) {
  if (phase_ == Phase::asking && (proposer_.has_state() || !proposer_.acceptors().empty()))
    phase_ = Phase::over;
  if (phase_ == Phase::asking && now - started_ >= founding_wait) {
    bool has_all = std::all_of(seeds_.begin(), seeds_.end(), [&](const auto& seed) {
      auto blank = blanks_.find(seed);
      return blank != blanks_.end() && now - blank->second.heard <= answer_age;
    });
    bool has_store =
        std::any_of(blanks_.begin(), blanks_.end(), [](const auto& blank) { return !blank.second.store.empty(); });
    if (has_all && has_store)
      begin_founding(now);
  }
  if (!is_at_work() || now < ask_next_)
    return;
  ask_next_ = now + ask_pace;
  if (phase_ == Phase::founding)
    return send_found();
  for (const auto& seed : seeds_)
    out_.push_back({seed, ReadAsk{ask_, "data", Ballot{}, false, false}});
}

}  // namespace emberdale
