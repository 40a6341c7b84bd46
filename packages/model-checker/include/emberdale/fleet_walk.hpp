// Walks of whole fleets of control daemons under virtual time: a choice of fault or edit every half second, the
// invariants looked at after every event. The seed orders the messages, the list of choices is the trace.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/small_types.hpp"
#include "emberdale/state_search.hpp"

namespace emberdale {

enum class FleetChoiceKind { wait, cut_off, heal, crash, power_cut, wipe, start, freeze, thaw, put_runner, put_order };

struct FleetScenario {
  int machines = 3;
  std::uint64_t seed = 1;
  std::size_t length = 12;             // choices on one walk
  std::set<FleetChoiceKind> left_out;  // kinds of choice that are never offered
  bool watches_orders = true;          // an older zone order over an acknowledged newer one is a violation
  Duration requester_timeout{7000};    // how long the daemons take an asker to wait at most
  Duration gives_up_after{0};          // an asker that has waited so long asks anew: its older order must be dead
};

class FleetWalk {
 public:
  struct Choice {
    FleetChoiceKind kind;
    std::string machine;
  };

  explicit FleetWalk(const FleetScenario& scenario);
  ~FleetWalk();

  // What may be chosen now: faults within what the fleet tolerates, and edits at any machine that runs.
  std::vector<Choice> choices() const;
  void take(const Choice& choice);
  static std::string describe(const Choice& choice);
  // With the faults that stand, then with all of them mended: an edit must be acknowledged, and nothing be lost.
  void end();

  const std::string& violation() const;
  const std::vector<std::string>& events() const;  // of the last choice

 private:
  struct World;
  std::unique_ptr<World> world_;
};

struct FleetSearchResult {
  std::uint64_t walks = 0, choices = 0;
  std::optional<Trace> violation;
  std::uint64_t seed = 0;  // of the walk that broke an invariant
};

// So many walks of random choices, with seeds from the scenario's own on.
FleetSearchResult walk_fleets(const FleetScenario& scenario, std::uint64_t walks);
// Every list of so many choices, each played from the start to its end, with the scenario's seed.
FleetSearchResult search_fleets(const FleetScenario& scenario);
// The choices of a trace in words, with what each brought about. Example: tell(scenario, trace.choices)
std::vector<std::string> tell(const FleetScenario& scenario, const std::vector<std::size_t>& choices);

}  // namespace emberdale
