// What only the running fleet can tell of a configuration. Without I/O, clock or threads.
#pragma once
#include <nlohmann/json.hpp>
#include <vector>

#include "emberdale/serving_plans.hpp"

namespace emberdale {

// Adds warnings for plans whose pool has no runner that serves, and for pools whose present load is above the capacity
// that the configuration leaves them in a region. `fleet` is the state as /v1/fleet gives it.
void check_against_fleet(const Configuration& configuration, const nlohmann::json& fleet,
                         std::vector<Finding>& findings);

}  // namespace emberdale
