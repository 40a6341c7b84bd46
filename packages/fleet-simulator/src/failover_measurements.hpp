// Measures how long named failures interrupt a simulated fleet, and what they cost its callers.
#pragma once
#include "seed_range.hpp"

namespace emberdale {

// Runs every measurement over the seeds and prints the median, smallest and largest value of each. Returns the exit
// status of the program, 0.
int measure_failovers(const SeedRange& seeds);

// Prints the messages a second of an idle fleet at growing numbers of machines. Returns the exit status of the program:
// 1 if a fleet did not come up.
int measure_message_load();

}  // namespace emberdale
