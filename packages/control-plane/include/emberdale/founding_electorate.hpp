// Who votes on the founding of the register: the stores that are made at the first start of the whole system, on the
// machines of its seeds. Their ids tell so, and so each process knows it after any restart. A store that is made later,
// in the place of one that was lost, has no vote: it can't know what the lost one has accepted.
#pragma once
#include <string>
#include <vector>

#include "emberdale/small_types.hpp"

namespace emberdale {

// The electorate of one first start, named by the addresses of its seeds.
class FoundingElectorate {
 public:
  // The order of the seeds makes no difference.
  explicit FoundingElectorate(std::vector<Address> seeds);

  // The seat of the store at that seed (store_seat.hpp).
  StoreId seat(const Address& seed) const;
  // The id of the store that is made at that seed at the first start. `unique` is a text that no other store has.
  StoreId make_store(const Address& seed, const std::string& unique) const;
  // Whether the store was made at that seed, at the first start with these seeds.
  bool has_vote(const StoreId& store, const Address& seed) const;

 private:
  std::string seeds_;  // sorted
};

}  // namespace emberdale
