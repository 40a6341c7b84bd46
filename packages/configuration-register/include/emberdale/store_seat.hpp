// The seats of the founding: a first state names a seed that could not be reached by its seat alone, and the store that
// was made there at the first start answers for it. The id of such a store is its seat, a slash and what is its own.
#pragma once
#include <string>

#include "emberdale/small_types.hpp"

namespace emberdale {

// The seat of a store; empty if it was made later than at the first start.
// Example: seat_of(StoreId{"s12/ab"}) == StoreId{"s12"}
inline StoreId seat_of(const StoreId& store) {
  auto slash = store.text.find('/');
  return StoreId{slash == std::string::npos ? "" : store.text.substr(0, slash)};
}

// Whether a message to that id is meant for the store.
inline bool answers_to(const StoreId& store, const StoreId& addressed) {
  return store == addressed || (!addressed.empty() && seat_of(store) == addressed);
}

}  // namespace emberdale
