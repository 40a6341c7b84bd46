// The result of a configuration change, or of a change of the replica set. `EditResponse::code` carries it over the
// wire, and the operators' interface gives it out as the status of its HTTP response.
#pragma once
#include <cstdint>

#include "emberdale/messages.hpp"

namespace emberdale {

// The numbers are those of the wire. Three results are kept apart: done, certainly not done, unknown.
enum class ChangeStatus : std::int64_t {
  not_master = 0,             // the copy came to a daemon that does not lead its term: that copy is never done
  updated = 200,              // done
  created = 201,              // done
  malformed = 400,            // certainly not done, as all others below 500
  not_found = 404,            //
  conflict = 409,             // another change has this id, or is under way
  precondition_failed = 412,  // the resource has another version
  invalid = 422,              // the configuration that would come of it has faults
  unavailable = 503,          // certainly not done: no master, no majority, or a daemon that stops
  unknown = 504,              // may be done or not: the client has to read it back
};

inline ChangeStatus status_of(const EditResponse& response) { return static_cast<ChangeStatus>(response.code); }
constexpr std::int64_t wire_code(ChangeStatus status) { return static_cast<std::int64_t>(status); }

constexpr bool is_done(ChangeStatus status) {
  return status == ChangeStatus::updated || status == ChangeStatus::created;
}
// Certainly not done. `not_master` speaks of one copy only, and is none.
constexpr bool is_refusal(ChangeStatus status) {
  return !is_done(status) && status != ChangeStatus::unknown && status != ChangeStatus::not_master;
}

// A refusal or an unknown result, with the body that operators get.
EditResponse edit_failure(ChangeStatus status, const std::string& reason);

}  // namespace emberdale
