// Bounds the age of the reading of the list that stands behind each call that a data daemon sends. Without I/O, clock
// or threads.
//
// A daemon whose reading grows old asks every control daemon that it knows. A reading beyond the bound stops sending,
// unless asking has shown just now that nobody can say more: then it is the list that is out of reach, and the last
// reading stands. The excuse has to be renewed by the thread that asks; if that thread stands still, sending stops too.
#pragma once
#include <optional>

#include "emberdale/invariants.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

// By which reading a daemon may send, and until when without one that is fresh enough. On the daemon's own clock.
struct ListAgeBound {
  // The oldest reading that calls may be sent by.
  static constexpr Duration longest_age{3200};

  std::optional<TimePoint> read_at;  // nothing: no reading was ever known, and nothing is bounded
  TimePoint excused_until{-1};

  bool is_fresh(TimePoint now) const { return !read_at || now - *read_at <= longest_age; }
  bool is_excused(TimePoint now) const { return now < excused_until; }
  // Example: if (!bound.may_send(now)) enqueue(call);
  bool may_send(TimePoint now) const { return is_fresh(now) || is_excused(now); }
};

// Decides when to ask, and when asking has failed. Use:
//   if (gate.is_request_due(availability.read_at, now)) ask_control_daemons();
//   bound = gate.bound(availability.read_at, now);
class ListAgeGate {
 public:
  // A reading of this age is asked for anew. In calm times it stays below.
  static constexpr Duration stale_age{2300};
  static constexpr Duration request_interval{300};
  // How long is asked before nobody can say more; the reading is then as old as the bound allows, or nearly.
  static constexpr Duration patience{800};
  // How long an excuse holds. It is renewed at each timer.
  static constexpr Duration excuse_lifetime{600};

  // Called on every timer. True when the control daemons are to be asked now.
  bool is_request_due(const std::optional<TimePoint>& read_at, TimePoint now);
  // As of the last timer.
  ListAgeBound bound(const std::optional<TimePoint>& read_at) const { return {read_at, excused_until_}; }

 private:
  std::optional<TimePoint> stale_since_;
  TimePoint request_next_, excused_until_{-1};
};

// Counts for each call that is sent whether its reading was fresh or its age excused.
class ListAgeInvariant {
 public:
  explicit ListAgeInvariant(InvariantCounters& counters = process_invariants()) : counters_(&counters) {}
  void on_attempt_started(std::int64_t call, const RunnerName& runner, const ListAgeBound& bound, TimePoint now);

 private:
  InvariantCounters* counters_;
};

}  // namespace emberdale
