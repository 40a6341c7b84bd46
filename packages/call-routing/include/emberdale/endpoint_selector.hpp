// Endpoint selection of routed calls: the runner of the lowest cost, by load, distance, slow start and prompt affinity.
// Without I/O, clock or threads; the same inputs in the same order give the same choices.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/endpoint_state.hpp"
#include "emberdale/routing_view.hpp"

namespace emberdale {

using EndpointTable = std::map<RunnerName, EndpointState>;

// The daemon for which endpoints are selected.
struct SelectionSettings {
  Address self;
  RegionName region;
  ZoneName zone;
  std::int64_t region_ms = 60;  // round trip to another region; a call there costs twice that
};

// The rate at which a runner reads a prompt, until something better is known.
constexpr std::int64_t prompt_tokens_per_ms = 60;

// What the choice depends on at one moment, beside the call.
struct SelectionContext {
  const RoutingView& view;
  const EndpointTable& endpoints;
  bool may_use_warming_runners = false;  // the slow-start quotas in the view are in force
  TimePoint now;
};

// The properties of a call that its endpoint depends on.
struct SelectionCall {
  CallId id;
  PoolName pool;
  std::vector<PromptPart> prompt;
  std::uint64_t affinity_key = 0;  // of the shared parts of its prompt; 0: it has none
  std::int64_t tokens_in = 0;      // 0: not a call to a language model
  std::set<RunnerName> tried;      // runners of earlier attempts, not used again
};

class EndpointSelector {
 public:
  explicit EndpointSelector(SelectionSettings settings) : settings_(std::move(settings)) {}
  // The best runner of the call's pool; nothing if none may take the call now.
  std::optional<RunnerName> select(const SelectionCall& call, const std::vector<RegionName>& homes,
                                   const SelectionContext& context);

 private:
  // The runners to which a prompt's shared parts are bound, by a ranking that every daemon computes alike.
  struct AffinityOwners {
    const RunnerRow* primary = nullptr;
    const RunnerRow* secondary = nullptr;
  };
  // All that is known of the call before single runners are compared.
  struct Query {
    const SelectionCall& call;
    const std::vector<RegionName>& homes;
    const SelectionContext& context;
    const std::vector<RunnerName>& pool;
    std::uint64_t call_hash = 0;
    bool is_long = false;
    std::set<RunnerName> for_long_prompts;
    AffinityOwners owners;
  };
  void record_short_call(const Query& query);
  std::set<RunnerName> runners_for_long_prompts(const std::vector<RunnerName>& pool,
                                                const SelectionContext& context) const;
  AffinityOwners affinity_owners(const Query& query) const;
  bool may_own_affinity(const Query& query, const RunnerRow& row) const;
  bool is_eligible(const Query& query, const RunnerRow& row, const EndpointState& endpoint) const;
  bool has_slow_start_quota(const RunnerRow& row, const EndpointState& endpoint, const SelectionContext& context) const;
  double cost_of(const Query& query, const RunnerRow& row, const EndpointState& endpoint) const;
  double distance_cost(const RunnerRow& row) const;

  SelectionSettings settings_;
  std::map<std::pair<PoolName, RegionName>, TimePoint> last_short_call_;  // when short calls went there last
};

// True if a call bound to these regions may run there; no regions: it may run anywhere.
bool is_home_region(const std::vector<RegionName>& homes, const RegionName& region);

}  // namespace emberdale
