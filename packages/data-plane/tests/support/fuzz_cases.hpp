// What the fuzzing tests of the data path share: random calls and the number of cases.
#pragma once
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "call_ledger.hpp"

namespace emberdale_test {

// A call with everything random: route, framing, and what the runners do with it.
rc::Gen<CallPlan> any_plan();

// RapidCheck reads its settings once, at the first property: to be called before that. EMBERDALE_FUZZ_CASES=N asks for
// another number of cases, RC_PARAMS="seed=N" for another seed. Example: bool is_set_up = set_up_rapidcheck(150);
bool set_up_rapidcheck(int default_cases);

// Example: joined({"a", "b"}) == "a\nb\n"
std::string joined(const std::vector<std::string>& lines);

}  // namespace emberdale_test
