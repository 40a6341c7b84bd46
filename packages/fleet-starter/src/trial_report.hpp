// Judges a trial: compares what it observed with the records of the runners, the outcomes of the callers and the
// counters of the daemons.
#pragma once
#include <nlohmann/json.hpp>

#include "trial.hpp"

namespace emberdale {

// The report of a trial whose load has ended and whose processes still run. Its member "breaks" counts what must not
// happen; all of its counts are 0 in a trial that passes.
nlohmann::json report_trial(Trial& trial);

// Whether all counts of violations in the report are 0.
bool has_no_violation(const nlohmann::json& report);

}  // namespace emberdale
