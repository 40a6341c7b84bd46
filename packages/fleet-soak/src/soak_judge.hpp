// Judges what a soak has written down. A time limit is widened by the pauses of the processes that measured it, and by
// nothing else; what a stopped daemon could not have done is left out, and counted.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "soak_records.hpp"

namespace emberdale::soak {

// A runner must see its connection closed so long after the client closed its own; the same bounds the begin of a run.
constexpr Duration departure_limit{500};
// No request begins at a runner so long after it was marked as draining.
constexpr Duration drain_limit{5000};

struct Violation {
  std::string rule, what;
};

struct Verdict {
  std::vector<Violation> violations;
  std::int64_t runs = 0;
  std::int64_t departed_runs = 0;  // whose client had left before their end: the departure limit was judged
  std::int64_t departed_left_out = 0;
  std::int64_t drained_left_out = 0;
  Duration worst_drain;      // from a mark to the begin of a run at the marked runner, where it was judged
  Duration worst_departure;  // from a client's close to the end of its run, where it was judged
};

Verdict judge(const SoakRecords& records);

}  // namespace emberdale::soak
