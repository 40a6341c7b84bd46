// An order is known by its id, and proven by its content: an id that comes again with another content is refused.
#pragma once
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

// SHA-256 of what an order asks for; its way here (asker, term, copies) does not count.
// Example: change_digest(ask) == change_digest(copy_of_ask)
Bytes change_digest(const EditRequest& request);

enum class IdempotencyStatus {
  not_done,        // this id is not among the newest orders that were done
  done,            // this very order was done
  conflicting_id,  // another order with this id was done
};
struct IdempotencyRecord {
  IdempotencyStatus memory = IdempotencyStatus::not_done;
  std::int64_t version = 0;  // what it made, if it was done
};
// Looks the order up among those the register remembers. One that a version without digests wrote down is known by
// its id alone. Example: find_completed_change(state.done, ask).memory == IdempotencyStatus::done
IdempotencyRecord find_completed_change(const std::vector<CompletedChange>& done, const EditRequest& request);

// The reason told to whoever sent an id that another order has.
constexpr const char* conflicting_id_reason = "another order has this id";
constexpr std::int64_t conflicting_id_code = 409;

}  // namespace emberdale
