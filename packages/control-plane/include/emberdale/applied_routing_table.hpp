// The routing table in force, as the register's state holds it: cut into rows for the placement map, and its pools.
// Without I/O, clock or threads.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"
#include "emberdale/routing_table.hpp"

namespace emberdale {

class AppliedRoutingTable {
 public:
  // Takes the table of that state. The rows are cut only when the document differs from the one before.
  void observe(const FleetState& state);

  const std::vector<SliceRow>& rows() const { return rows_; }
  // The configuration revision that the rows come from; 0 without a table.
  std::int64_t revision() const { return rows_.empty() ? 0 : revision_; }
  const std::map<PoolName, RoutePool>& pools() const { return pools_; }
  const RequestLimits& limits() const { return limits_; }
  // Nullptr if the table has no such pool.
  const RoutePool* pool(const PoolName& name) const;

 private:
  // Invariant: `rows_`, `pools_` and `limits_` were read from `document_`, which came with `revision_`.
  std::string document_;
  std::int64_t revision_ = 0;
  std::vector<SliceRow> rows_;
  std::map<PoolName, RoutePool> pools_;
  RequestLimits limits_;
};

}  // namespace emberdale
