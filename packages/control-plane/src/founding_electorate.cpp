#include "emberdale/founding_electorate.hpp"

#include <algorithm>
#include <cstdint>

#include "emberdale/store_seat.hpp"

namespace emberdale {
namespace {

constexpr int digits_of_seat = 16;

std::string hexadecimal(std::uint64_t number) {
  static constexpr char digits[] = "0123456789abcdef";
  std::string text;
  for (int i = 0; i < digits_of_seat; ++i)
    text += digits[(number >> (4 * i)) & 15];
  return text;
}

}  // namespace

FoundingElectorate::FoundingElectorate(std::vector<Address> seeds) {
  std::sort(seeds.begin(), seeds.end());
  for (const auto& seed : seeds)
    seeds_ += seed.text + ",";
}

StoreId FoundingElectorate::seat(const Address& seed) const {
  return StoreId{hexadecimal(stable_hash(seeds_ + "@" + seed.text))};
}

StoreId FoundingElectorate::make_store(const Address& seed, const std::string& unique) const {
  return StoreId{seat(seed).text + "/" + unique};
}

bool FoundingElectorate::has_vote(const StoreId& store, const Address& seed) const {
  return seat_of(store) == seat(seed);
}

}  // namespace emberdale
