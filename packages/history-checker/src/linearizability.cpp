#include "emberdale/linearizability.hpp"

#include <algorithm>
#include <limits>
#include <unordered_set>

#include "history_minimizer.hpp"

namespace emberdale::history {
namespace {

constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t always = std::numeric_limits<std::int64_t>::min();

bool is_acknowledged_change(const Operation& operation) {
  return !operation.is_read() && operation.outcome == CallOutcome::acknowledged;
}

bool has_effect(const Operation& operation) {
  return !operation.is_read() && operation.outcome != CallOutcome::stale && operation.outcome != CallOutcome::refused;
}

bool is_open_order(const Operation& operation) {
  return operation.is_open() && operation.object_kind == ObjectKind::zone_order;
}

// What the cache knows a visited node by.
struct CacheKey {
  std::vector<std::uint64_t> sequenced;  // a bit for each call in the sequence
  RegisterState state;
  friend bool operator==(const CacheKey& a, const CacheKey& b) {
    return a.sequenced == b.sequenced && a.state == b.state;
  }
};

struct CacheKeyHash {
  std::size_t operator()(const CacheKey& key) const {
    std::uint64_t mixed = hash_of(key.state);
    for (std::uint64_t word : key.sequenced)
      mixed = (mixed ^ word) * 0x9E3779B97F4A7C15ull + (mixed >> 29);
    return mixed;
  }
};

// One search over one object's calls.
class Search {
 public:
  Search(const std::vector<Operation>& operations, std::int64_t state_limit) : state_limit_(state_limit) {
    for (const auto& operation : operations)
      if (is_relevant(operation))
        operations_.push_back(&operation);
    std::stable_sort(operations_.begin(), operations_.end(),
                     [](const auto* a, const auto* b) { return a->invoked_at < b->invoked_at; });
    sequenced_.assign((operations_.size() + 63) / 64, 0);
    for (const auto* operation : operations_) {
      closed_left_ += !operation->is_open();
      change_of_.push_back(number_of_change(*operation));
    }
  }

  SearchResult run(const RegisterState& initial) {
    bool is_found = extend(initial, {});
    SearchResult result;
    result.states = static_cast<std::int64_t>(visited_.size());
    result.verdict = is_found          ? Verdict::linearizable
                     : is_over_limit() ? Verdict::undecided
                                       : Verdict::not_linearizable;
    return result;
  }

 private:
  // What expires orders: the latest invocations in the sequence.
  struct Latest {
    std::int64_t invoked = always, acknowledged_change = always;
  };

  int number_of_change(const Operation& operation) {
    if (operation.change.empty() || !has_effect(operation))
      return -1;
    auto [entry, is_new] = change_numbers_.insert({operation.change, static_cast<int>(times_applied_.size())});
    if (is_new)
      times_applied_.push_back(0);
    return entry->second;
  }

  bool is_over_limit() const { return static_cast<std::int64_t>(visited_.size()) >= state_limit_; }
  bool is_sequenced(std::size_t at) const { return (sequenced_[at / 64] >> (at % 64)) & 1; }

  bool is_expired(const Operation& operation, const Latest& latest) const {
    if (!is_open_order(operation))
      return false;
    if (operation.returned_at)
      return latest.invoked > *operation.returned_at;
    return operation.gave_up_at && latest.acknowledged_change > *operation.gave_up_at;
  }

  struct Candidates {
    std::vector<std::size_t> calls;  // those that must be in the sequence come first
    // What is invoked later makes an open order expire, whatever it is.
    std::int64_t first_expiry = never;
  };

  // The calls that may come next: nothing that is left must stand before them.
  Candidates candidates(const Latest& latest) const {
    Candidates found;
    std::vector<std::size_t> open;
    std::int64_t first_return = never;
    for (std::size_t at = 0; at < operations_.size(); ++at) {
      const Operation& operation = *operations_[at];
      if (operation.invoked_at > first_return)
        break;
      if (is_sequenced(at) || is_expired(operation, latest))
        continue;
      if (operation.is_open()) {
        open.push_back(at);
        if (is_open_order(operation))
          found.first_expiry = std::min(found.first_expiry, operation.returned_at.value_or(never));
      } else {
        found.calls.push_back(at);
        first_return = std::min(first_return, operation.returned_at.value_or(never));
      }
    }
    found.calls.insert(found.calls.end(), open.begin(), open.end());
    return found;
  }

  std::optional<RegisterState> try_step(const RegisterState& state, std::size_t at) const {
    int change = change_of_[at];
    return step(state, *operations_[at], change >= 0 && times_applied_[static_cast<std::size_t>(change)] > 0);
  }

  void set_sequenced(std::size_t at, bool is_in) {
    sequenced_[at / 64] ^= std::uint64_t{1} << (at % 64);
    closed_left_ -= operations_[at]->is_open() ? 0 : is_in ? 1 : -1;
    if (change_of_[at] >= 0)
      times_applied_[static_cast<std::size_t>(change_of_[at])] += is_in ? 1 : -1;
  }

  bool extend_by(std::size_t at, const RegisterState& next, Latest latest) {
    latest.invoked = std::max(latest.invoked, operations_[at]->invoked_at);
    if (is_acknowledged_change(*operations_[at]))
      latest.acknowledged_change = std::max(latest.acknowledged_change, operations_[at]->invoked_at);
    set_sequenced(at, true);
    bool is_found = is_open_order(*operations_[at]) ? extend_by_read(next, latest) : extend(next, latest);
    set_sequenced(at, false);
    return is_found;
  }

  // An open order is in the sequence only for a read that shows it: one that the next order overwrites unread may as
  // well have had no effect.
  bool extend_by_read(const RegisterState& state, const Latest& latest) {
    Candidates found = candidates(latest);
    return std::any_of(found.calls.begin(), found.calls.end(), [&](std::size_t at) {
      auto after = operations_[at]->is_read() ? try_step(state, at) : std::nullopt;
      return after && extend_by(at, *after, latest);
    });
  }

  bool extend(const RegisterState& state, const Latest& latest) {
    if (closed_left_ == 0)
      return true;
    if (is_over_limit() || !visited_.insert({sequenced_, state}).second)
      return false;
    std::vector<std::pair<std::size_t, RegisterState>> next;
    Candidates found = candidates(latest);
    for (std::size_t at : found.calls) {
      auto after = try_step(state, at);
      if (!after)
        continue;
      // A read or refusal that must be in the sequence, may be next and changes nothing: to take it now loses no order,
      // as long as it makes no other call expire.
      bool is_unexpiring = operations_[at]->invoked_at <= found.first_expiry;
      if (is_unexpiring && !has_effect(*operations_[at]) && *after == state)
        return extend_by(at, *after, latest);
      next.emplace_back(at, std::move(*after));
    }
    return std::any_of(next.begin(), next.end(),
                       [&](const auto& choice) { return extend_by(choice.first, choice.second, latest); });
  }

  std::int64_t state_limit_;
  std::vector<const Operation*> operations_;  // by invocation
  std::vector<int> change_of_;                // by call: its change's number; -1: none
  std::map<std::string, int> change_numbers_;
  std::vector<int> times_applied_;  // by change: its calls in the sequence
  std::vector<std::uint64_t> sequenced_;
  std::size_t closed_left_ = 0;  // calls that must still come into the sequence
  std::unordered_set<CacheKey, CacheKeyHash> visited_;
};

}  // namespace

bool is_relevant(const Operation& operation) {
  if (operation.is_read())
    return operation.outcome == CallOutcome::acknowledged;
  return operation.outcome != CallOutcome::refused;
}

bool precedes(const Operation& earlier, const Operation& later) {
  if (!earlier.is_open())
    return earlier.returned_at && *earlier.returned_at < later.invoked_at;
  if (earlier.object_kind != ObjectKind::zone_order)
    return false;
  if (earlier.returned_at)
    return *earlier.returned_at < later.invoked_at;
  return earlier.gave_up_at && is_acknowledged_change(later) && *earlier.gave_up_at < later.invoked_at;
}

SearchResult search(const std::vector<Operation>& operations, const RegisterState& initial, std::int64_t state_limit) {
  return Search(operations, state_limit).run(initial);
}

HistoryVerdict check_history(const std::vector<Operation>& operations, std::int64_t state_limit,
                             const std::map<std::string, RegisterState>& initial) {
  std::map<std::string, std::vector<Operation>> by_object;
  for (const auto& operation : operations)
    by_object[operation.object].push_back(operation);
  HistoryVerdict verdict;
  verdict.operations = operations.size();
  for (const auto& [object, part] : by_object) {
    auto known = initial.find(object);
    RegisterState start = known == initial.end() ? RegisterState{} : known->second;
    SearchResult result = search(part, start, state_limit);
    verdict.states += result.states;
    if (result.verdict == Verdict::linearizable)
      continue;
    verdict.verdict = result.verdict;
    verdict.object = object;
    if (result.verdict == Verdict::undecided)
      continue;  // another object may yet be decided
    SmallHistory smallest = minimize({part, start}, state_limit);
    verdict.smallest = std::move(smallest.operations);
    verdict.initial = smallest.initial;
    return verdict;
  }
  return verdict;
}

}  // namespace emberdale::history
