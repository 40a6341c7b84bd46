// An order is known by its id, and proven by its content: an id that comes again with another content is refused.
#pragma once
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

// SHA-256 of what an order asks for; its way here (asker, term, copies) does not count.
// Example: order_digest(ask) == order_digest(copy_of_ask)
Bytes order_digest(const EditAsk& ask);

enum class OrderMemory {
  not_done,    // this id is not among the newest orders that were done
  done,        // this very order was done
  doubled_id,  // another order with this id was done
};
struct RecalledOrder {
  OrderMemory memory = OrderMemory::not_done;
  Integer version = 0;  // what it made, if it was done
};
// Looks the order up among those the register remembers. One that a version without digests wrote down is known by
// its id alone. Example: recall_order(state.done, ask).memory == OrderMemory::done
RecalledOrder recall_order(const std::vector<DoneChange>& done, const EditAsk& ask);

// The reason told to whoever sent an id that another order has.
constexpr const char* doubled_id_reason = "another order has this id";
constexpr Integer doubled_id_code = 409;

}  // namespace emberdale
