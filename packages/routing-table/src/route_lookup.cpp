// Finding the route of a request, and the pool that serves it.
#include <algorithm>
#include <string_view>

#include "emberdale/routing_table.hpp"
#include "host_name.hpp"

namespace emberdale {
namespace {

constexpr std::uint64_t share_seed = 0x5ca1ab1e;  // keeps the choice apart from other hashes of the same key

bool equal_without_case(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return lower_case(a) == lower_case(b); });
}

}  // namespace

const Route* find_route(const std::vector<Route>& routes, const std::string& host, const std::string& path) {
  std::string_view requested_host = host_without_port(host);
  const Route* longest = nullptr;
  for (const Route& route : routes) {
    const std::string& prefix = route.path_prefix;
    bool is_longer = longest == nullptr || prefix.size() > longest->path_prefix.size();
    if (!is_longer || path.compare(0, prefix.size(), prefix) != 0)
      continue;
    if (equal_without_case(host_without_port(route.host), requested_host))
      longest = &route;
  }
  return longest;
}

const PoolName& choose_pool(const Route& route, const std::string& key) {
  static const PoolName none;
  std::uint64_t sum = 0;
  for (const PoolShare& pool_share : route.pools)
    sum += static_cast<std::uint64_t>(pool_share.share);
  if (sum == 0)
    return route.pools.empty() ? none : route.pools.front().pool;
  std::uint64_t remaining = stable_hash(key, share_seed) % sum;
  for (const PoolShare& pool_share : route.pools) {
    auto share = static_cast<std::uint64_t>(pool_share.share);
    if (remaining < share)
      return pool_share.pool;
    remaining -= share;
  }
  return route.pools.back().pool;
}

}  // namespace emberdale
