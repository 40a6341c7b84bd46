#include "emberdale/applied_routing_table.hpp"

#include "emberdale/routing_table_edits.hpp"

namespace emberdale {
namespace {
constexpr const char* pool_key_prefix = "pool/";
constexpr const char* limits_key = "limits";

bool is_pool_key(const std::string& key) { return key.rfind(pool_key_prefix, 0) == 0; }
}  // namespace

void AppliedRoutingTable::observe(const FleetState& state) {
  std::string document = routing_table_document_of(state);
  if (document == document_)
    return;
  document_ = document;
  revision_ = state.config_revision;
  rows_.clear();
  pools_.clear();
  limits_ = RequestLimits{};
  if (document.empty())
    return;
  for (auto& [key, body] : split_routing_table(document)) {
    if (is_pool_key(key))
      if (auto pool = read_route_pool(body))
        pools_[pool->name] = *pool;
    if (key == limits_key)
      limits_ = read_request_limits(body);
    rows_.push_back({key, {std::move(body)}});
  }
}

const RoutePool* AppliedRoutingTable::pool(const PoolName& name) const {
  auto found = pools_.find(name);
  return found == pools_.end() ? nullptr : &found->second;
}

}  // namespace emberdale
