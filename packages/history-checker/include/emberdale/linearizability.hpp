// Whether a history is linearizable: Wing and Gong's search over the orders of its calls, with Lowe's cache of
// (calls in the sequence, state), one object at a time (a history is linearizable when each object's part is).
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/history.hpp"
#include "emberdale/sequential_register.hpp"

namespace emberdale::history {

enum class Verdict { linearizable, not_linearizable, undecided };

struct SearchResult {
  Verdict verdict = Verdict::linearizable;
  std::int64_t states = 0;  // visited
};

// Past this many states the search gives up with `undecided`.
inline constexpr std::int64_t default_state_limit = 300000;

// The search over the calls of one object. Example: search(operations, RegisterState{}).verdict
SearchResult search(const std::vector<Operation>& operations, const RegisterState& initial,
                    std::int64_t state_limit = default_state_limit);

// Whether a call constrains or changes anything: refusals without a condition, failed reads and reads without an
// answer do not. Example: is_relevant(operation)
bool is_relevant(const Operation& operation);

// Whether `earlier` must stand before `later` or, where its outcome is unknown, have no effect at all. An order
// expires with its caller's answer; without an answer once an order that was asked after its caller had given up is
// acknowledged. Example: precedes(operations[0], operations[1])
bool precedes(const Operation& earlier, const Operation& later);

struct HistoryVerdict {
  Verdict verdict = Verdict::linearizable;
  std::size_t operations = 0;
  std::int64_t states = 0;
  std::string object;               // the one that isn't linearizable, or undecided
  std::vector<Operation> smallest;  // of that object: no call can be left out of it
  RegisterState initial;            // in force before the smallest history begins
};

// Judges each object by itself and minimizes the first part that isn't linearizable.
// Example: check_history(operations).verdict == Verdict::linearizable
HistoryVerdict check_history(const std::vector<Operation>& operations, std::int64_t state_limit = default_state_limit,
                             const std::map<std::string, RegisterState>& initial = {});

// What is to be told of it, in words. Example: std::cout << report(check_history(operations));
std::string report(const HistoryVerdict& verdict);
std::string describe(const Operation& operation);

}  // namespace emberdale::history
