// What the control thread of a data daemon hands to its dispatch thread about the list of runners.
#pragma once
#include <map>
#include <memory>

#include "emberdale/list_age_gate.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

// The runners that take no new requests, and when the list began to say so at the earliest.
using UnavailableRunners = std::map<RunnerName, TimePoint>;

struct SendingKnowledge {
  ListAgeBound list_age;
  // Never null.
  std::shared_ptr<const UnavailableRunners> unavailable = std::make_shared<UnavailableRunners>();
};

}  // namespace emberdale
