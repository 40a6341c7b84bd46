// Deduplication of configuration changes: a change is known by its id, and proven by the digest of its content. An id
// that comes again with other content is refused. Without I/O, clock or threads.
#pragma once
#include <string>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

// SHA-256 of what a change asks for. Its way here (request id, term, age) does not count.
Bytes change_digest(const EditRequest& request);

enum class IdempotencyStatus {
  not_done,        // no change with this id is among those that the register remembers
  done,            // this very change was done
  conflicting_id,  // another change with this id was done
};
struct IdempotencyRecord {
  IdempotencyStatus status = IdempotencyStatus::not_done;
  std::int64_t version = 0;  // of the resource after the change, if it was done
};
// Looks the change up among those that the register remembers. One that was stored by a version without digests is
// known by its id alone.
IdempotencyRecord find_completed_change(const std::vector<CompletedChange>& completed, const EditRequest& request);

// The reason in the response to a change whose id another change has.
constexpr const char* conflicting_id_reason = "another order has this id";

}  // namespace emberdale
