#include "emberdale/fleet_walk.hpp"

#include <algorithm>
#include <map>

#include "emberdale/avro_codec.hpp"
#include "emberdale/fingerprint.hpp"
#include "support/machine_fleet.hpp"

namespace emberdale {
namespace {

constexpr std::int64_t choice_pace = 500, bootstrap_time = 8000, settling_time = 30000, edit_time = 30000;
const char* const ordered_zone = "z";

struct SubmittedEdit {
  std::string change;
  bool is_order = false;
  std::int64_t asked = 0;
  std::optional<std::int64_t> acknowledged, first_seen;
  bool is_refused = false;
};

}  // namespace

struct FleetWalk::World {
  explicit World(const FleetScenario& chosen) : scenario(chosen), fleet(chosen.seed) {}

  void found();
  void start(const std::string& name, bool bootstraps_itself);
  void run(std::int64_t ms);
  bool run_until(const std::function<bool()>& question, std::int64_t ms);
  std::size_t submit(const std::string& where, bool is_order);
  void on_response(std::size_t edit, std::int64_t code, const std::string& body);
  bool is_disturbed(const std::string& name) const;
  std::size_t disturbed() const;
  bool is_settled();
  bool keeps_majority_without(const std::string& name);
  void repair_all();
  bool edits_until_acknowledged();
  void look();
  void look_at(const std::string& name);
  void look_at_done(const FleetState& state);
  void look_for_older_order(const FleetState& state);
  void fail(const std::string& reason);

  FleetScenario scenario;
  MachineFleet fleet;
  std::vector<std::string> names;
  std::string cut, frozen;
  bool is_wiped = false;  // a store was lost, and its successor is not yet in the set
  std::vector<SubmittedEdit> edits;
  int orders = 0;
  std::map<std::int64_t, std::uint64_t> values;                            // by version
  std::map<std::int64_t, std::string> masters, publishers;                 // by term
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> last_seen;  // version and term, by machine and life
  std::string violation;
  std::vector<std::string> events;
};

void FleetWalk::World::fail(const std::string& reason) {
  if (violation.empty())
    violation = reason;
}

void FleetWalk::World::start(const std::string& name, bool bootstraps_itself) {
  fleet.start(name, bootstraps_itself);
  fleet.at(name).control->on_publish = [this, name](const PlacementMap& map) {
    if (publishers.insert({map.version.term, name}).first->second != name)
      fail("two leaders act in term " + std::to_string(map.version.term));
  };
}

void FleetWalk::World::found() {
  fleet.edit_times.requester_timeout = fleet.edit_times.leader_wait = scenario.requester_timeout;
  names = fleet.add_many(scenario.machines);
  for (const auto& name : names)
    start(name, true);
  if (!run_until([&] { return fleet.is_settled(names); }, bootstrap_time))
    fail("the fleet does not found itself");
}

void FleetWalk::World::run(std::int64_t ms) {
  run_until([] { return false; }, ms);
}

bool FleetWalk::World::run_until(const std::function<bool()>& question, std::int64_t ms) {
  return fleet.run_until(
             [&] {
               look();
               return !violation.empty() || question();
             },
             ms) &&
         violation.empty();
}

std::size_t FleetWalk::World::submit(const std::string& where, bool is_order) {
  std::size_t index = edits.size();
  SubmittedEdit edit;
  edit.change = "edit-" + std::to_string(index);
  edit.is_order = is_order;
  edit.asked = fleet.now();
  edits.push_back(edit);
  EditRequest request;
  request.change_id = edit.change;
  request.action = EditAction::put;
  request.expected_version = -1;
  request.kind = is_order ? orders_kind : runners_kind;
  request.name = is_order ? ordered_zone : "runner-" + std::to_string(index);
  bool is_evacuated = is_order && ++orders % 2 == 1;
  request.body = is_order ? (is_evacuated ? R"({"state":"emptied"})" : R"({"state":"serving"})")
                          : R"({"address":"127.0.0.1:)" + std::to_string(20000 + index) +
                                R"(","pool":"models","zone":"a","region":"north","seal_key":"k"})";
  Machine& target = fleet.at(where);
  target.control->edit(
      request, [this, index](const EditResponse& response) { on_response(index, response.code, response.body); },
      fleet.clock(target));
  return index;
}

void FleetWalk::World::on_response(std::size_t index, std::int64_t code, const std::string& body) {
  SubmittedEdit& edit = edits[index];
  if (code == 200 || code == 201)
    edit.acknowledged = fleet.now();
  edit.is_refused = body.find("\"refused\"") != std::string::npos;
  events.push_back(edit.change + " is answered " + std::to_string(code) + (code >= 500 ? " " + body : ""));
}

bool FleetWalk::World::is_disturbed(const std::string& name) const {
  auto& machine = const_cast<MachineFleet&>(fleet).at(name);
  return !machine.is_up || machine.is_frozen || name == cut;
}

std::size_t FleetWalk::World::disturbed() const {
  return static_cast<std::size_t>(
      std::count_if(names.begin(), names.end(), [&](const auto& name) { return is_disturbed(name); }));
}

// Whether a majority of each set of the register in play, as any daemon knows it, stays undisturbed without that
// machine: the set may be smaller than the fleet.
bool FleetWalk::World::keeps_majority_without(const std::string& name) {
  for (const auto& reader : names) {
    if (!fleet.at(reader).is_up || !fleet.at(reader).control->proposer().has_state())
      continue;
    const FleetState& state = fleet.state(reader);
    for (const auto* set : {&state.acceptors, &state.next_acceptors}) {
      auto living = std::count_if(set->begin(), set->end(), [&](const AcceptorEntry& entry) {
        return std::any_of(names.begin(), names.end(), [&](const auto& other) {
          return other != name && fleet.at(other).address == entry.address && !is_disturbed(other);
        });
      });
      if (!set->empty() && static_cast<std::size_t>(living) < set->size() / 2 + 1)
        return false;
    }
  }
  return true;
}

bool FleetWalk::World::is_settled() { return disturbed() == 0 && fleet.is_settled(names); }

// --- what is looked at after every event ---------------------------------------------------------------

void FleetWalk::World::look() {
  for (const auto& name : names)
    if (fleet.at(name).is_up && fleet.at(name).control->proposer().has_state())
      look_at(name);
  if (is_wiped && is_settled())
    is_wiped = false;
}

void FleetWalk::World::look_at(const std::string& name) {
  const FleetState& state = fleet.state(name);
  auto& [version, term] = last_seen[name + "/" + std::to_string(fleet.at(name).incarnation)];
  if (state.version == version)
    return;
  if (state.version < version || state.term < term)
    fail("at " + name + " the state goes back from version " + std::to_string(version) + " to " +
         std::to_string(state.version));
  version = state.version;
  term = state.term;
  std::uint64_t print = stable_hash(encode_state(state));
  auto [value, is_new] = values.insert({state.version, print});
  if (value->second != print)
    fail(name + " holds another value of version " + std::to_string(state.version));
  if (!state.master.empty() && masters.insert({state.term, state.master.text}).first->second != state.master.text)
    fail("term " + std::to_string(state.term) + " has two masters");
  if (is_new)
    look_at_done(state);
}

void FleetWalk::World::look_at_done(const FleetState& state) {
  std::set<std::string> changes;
  for (const auto& done : state.completed_changes)
    if (!changes.insert(done.change_id).second)
      fail(done.change_id + " was applied twice");
  for (auto& edit : edits) {
    bool is_done = changes.count(edit.change) != 0;
    if (is_done && edit.is_refused)
      fail(edit.change + " was refused, and is done in version " + std::to_string(state.version));
    if (!is_done && edit.first_seen)
      fail(edit.change + " was done, and is lost in version " + std::to_string(state.version));
    if (is_done && !edit.first_seen)
      edit.first_seen = fleet.now();
  }
  if (scenario.watches_orders)
    look_for_older_order(state);
}

// An order that was asked before a newer one, and was applied on top of it after that one was acknowledged.
void FleetWalk::World::look_for_older_order(const FleetState& state) {
  auto place = [&](const SubmittedEdit& edit) {
    return std::find_if(state.completed_changes.begin(), state.completed_changes.end(),
                        [&](const auto& done) { return done.change_id == edit.change; });
  };
  for (const auto& older : edits)
    for (const auto& newer : edits) {
      bool is_given_up = newer.asked - older.asked >= scenario.gives_up_after.value;
      bool is_pair = older.is_order && newer.is_order && older.asked < newer.asked && is_given_up;
      if (!is_pair || !older.first_seen || !newer.acknowledged || place(older) < place(newer))
        continue;
      if (*newer.acknowledged < *older.first_seen)
        fail(older.change + ", an older zone order, overrides " + newer.change + " in version " +
             std::to_string(state.version) + " after that was acknowledged");
    }
}

// --- the end of a walk ------------------------------------------------------------------------------------

void FleetWalk::World::repair_all() {
  cut.clear();
  fleet.heal();
  for (const auto& name : names) {
    if (fleet.at(name).is_frozen)
      fleet.freeze(name, false);
    if (!fleet.at(name).is_up)
      start(name, false);
  }
  frozen.clear();
}

bool FleetWalk::World::edits_until_acknowledged() {
  std::int64_t end = fleet.now() + edit_time;
  for (std::size_t turn = 0; fleet.now() < end && violation.empty(); ++turn) {
    const std::string& where = names[turn % names.size()];
    if (is_disturbed(where))
      continue;
    std::size_t edit = submit(where, false);
    if (run_until([&] { return edits[edit].acknowledged.has_value(); }, 2000))
      return true;
  }
  return false;
}

// --- the walk ---------------------------------------------------------------------------------------------

FleetWalk::FleetWalk(const FleetScenario& scenario) : world_(std::make_unique<World>(scenario)) { world_->found(); }
FleetWalk::~FleetWalk() = default;

const std::string& FleetWalk::violation() const { return world_->violation; }
const std::vector<std::string>& FleetWalk::events() const { return world_->events; }

std::vector<FleetWalk::Choice> FleetWalk::choices() const {
  World& world = *world_;
  std::vector<Choice> list;
  auto offer = [&](FleetChoiceKind kind, const std::string& machine) {
    if (world.scenario.left_out.count(kind) == 0)
      list.push_back({kind, machine});
  };
  std::size_t tolerated = (world.names.size() - 1) / 2;
  bool has_room = world.disturbed() + (world.is_wiped ? 1 : 0) < tolerated;
  offer(FleetChoiceKind::wait, "");
  if (!world.cut.empty())
    offer(FleetChoiceKind::heal, world.cut);
  for (const auto& name : world.names) {
    Machine& machine = world.fleet.at(name);
    if (machine.is_up && !machine.is_frozen) {
      offer(FleetChoiceKind::put_runner, name);
      offer(FleetChoiceKind::put_order, name);
    }
    if (machine.is_frozen)
      offer(FleetChoiceKind::thaw, name);
    if (!machine.is_up)
      offer(FleetChoiceKind::start, name);
    if (!has_room || world.is_disturbed(name) || !world.keeps_majority_without(name))
      continue;
    offer(FleetChoiceKind::crash, name);
    offer(FleetChoiceKind::power_cut, name);
    offer(FleetChoiceKind::freeze, name);
    if (world.cut.empty())
      offer(FleetChoiceKind::cut_off, name);
    if (!world.is_wiped && world.is_settled())
      offer(FleetChoiceKind::wipe, name);
  }
  return list;
}

std::string FleetWalk::describe(const Choice& choice) {
  static const std::map<FleetChoiceKind, std::string> words{
      {FleetChoiceKind::wait, "time passes"},
      {FleetChoiceKind::cut_off, "is cut off from all others"},
      {FleetChoiceKind::heal, "is reached again"},
      {FleetChoiceKind::crash, "crashes"},
      {FleetChoiceKind::power_cut, "loses its power"},
      {FleetChoiceKind::wipe, "is wiped and starts anew"},
      {FleetChoiceKind::start, "starts"},
      {FleetChoiceKind::freeze, "stops to run"},
      {FleetChoiceKind::thaw, "runs on"},
      {FleetChoiceKind::put_runner, "is asked to put a runner"},
      {FleetChoiceKind::put_order, "is asked to put a zone order"}};
  return (choice.machine.empty() ? "" : choice.machine + " ") + words.at(choice.kind);
}

void FleetWalk::take(const Choice& choice) {
  World& world = *world_;
  world.events.clear();
  switch (choice.kind) {
    case FleetChoiceKind::wait:
      break;
    case FleetChoiceKind::cut_off:
      world.cut = choice.machine;
      for (const auto& other : world.names)
        if (other != choice.machine)
          world.fleet.cut_connection(choice.machine, other);
      break;
    case FleetChoiceKind::heal:
      world.cut.clear();
      world.fleet.heal();
      break;
    case FleetChoiceKind::crash:
      world.fleet.kill(choice.machine);
      break;
    case FleetChoiceKind::power_cut:
      world.fleet.power_cut(choice.machine);
      break;
    case FleetChoiceKind::wipe:
      world.is_wiped = true;
      world.fleet.kill(choice.machine);
      world.fleet.wipe(choice.machine);
      world.start(choice.machine, false);
      break;
    case FleetChoiceKind::start:
      world.start(choice.machine, false);
      break;
    case FleetChoiceKind::freeze:
    case FleetChoiceKind::thaw:
      world.fleet.freeze(choice.machine, choice.kind == FleetChoiceKind::freeze);
      break;
    case FleetChoiceKind::put_runner:
    case FleetChoiceKind::put_order:
      world.submit(choice.machine, choice.kind == FleetChoiceKind::put_order);
      break;
  }
  world.run(choice_pace);
}

void FleetWalk::end() {
  World& world = *world_;
  world.events.clear();
  if (world.violation.empty() && !world.edits_until_acknowledged())
    world.fail("no edit is acknowledged any more with the faults that stand");
  world.repair_all();
  if (world.violation.empty() && !world.run_until([&] { return world.is_settled(); }, settling_time))
    world.fail("the fleet does not settle once every fault is mended");
  if (world.violation.empty() && !world.edits_until_acknowledged())
    world.fail("no edit is acknowledged any more once every fault is mended");
  for (const auto& edit : world.edits)
    if (edit.acknowledged && !edit.first_seen)
      world.fail(edit.change + " was acknowledged and never seen");
}

// --- searches ---------------------------------------------------------------------------------------------

namespace {

void add_trace(FleetSearchResult& result, const FleetWalk& walk, const FleetScenario& scenario,
               const std::vector<std::size_t>& choices) {
  if (walk.violation().empty())
    return;
  result.violation = Trace{walk.violation(), choices};
  result.seed = scenario.seed;
}

}  // namespace

FleetSearchResult walk_fleets(const FleetScenario& scenario, std::uint64_t walks) {
  FleetSearchResult result;
  for (; result.walks < walks && !result.violation; ++result.walks) {
    FleetScenario seeded = scenario;
    seeded.seed += result.walks;
    RandomGenerator random(seeded.seed + 1);
    FleetWalk walk(seeded);
    std::vector<std::size_t> chosen;
    while (chosen.size() < scenario.length && walk.violation().empty()) {
      auto choices = walk.choices();
      chosen.push_back(static_cast<std::size_t>(random.below(static_cast<std::int64_t>(choices.size()))));
      walk.take(choices[chosen.back()]);
    }
    walk.end();
    result.choices += chosen.size();
    add_trace(result, walk, seeded, chosen);
  }
  return result;
}

FleetSearchResult search_fleets(const FleetScenario& scenario) {
  FleetSearchResult result;
  std::vector<std::size_t> chosen(scenario.length, 0);
  for (;;) {
    FleetWalk walk(scenario);
    std::vector<std::size_t> counts;
    for (std::size_t depth = 0; depth < scenario.length && walk.violation().empty(); ++depth) {
      auto choices = walk.choices();
      counts.push_back(choices.size());
      walk.take(choices[chosen[depth]]);
    }
    walk.end();
    ++result.walks;
    result.choices += counts.size();
    add_trace(result, walk, scenario, {chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(counts.size())});
    if (result.violation)
      return result;
    // The next list of choices, as an odometer counts.
    std::size_t depth = scenario.length;
    while (depth > 0 && chosen[depth - 1] + 1 == counts[depth - 1])
      chosen[--depth] = 0;
    if (depth == 0)
      return result;
    ++chosen[depth - 1];
  }
}

std::vector<std::string> tell(const FleetScenario& scenario, const std::vector<std::size_t>& choices) {
  std::vector<std::string> lines;
  FleetWalk walk(scenario);
  auto add = [&](std::string line) {
    for (const auto& event : walk.events())
      line += "; " + event;
    lines.push_back(line);
  };
  for (std::size_t choice : choices) {
    auto offered = walk.choices();
    if (choice >= offered.size()) {
      lines.push_back("choice " + std::to_string(choice) + " is not among the " + std::to_string(offered.size()) +
                      " that are there: the trace belongs to another scenario or seed");
      return lines;
    }
    walk.take(offered[choice]);
    add(FleetWalk::describe(offered[choice]));
  }
  walk.end();
  add("the walk ends, every fault is mended");
  lines.push_back(walk.violation().empty() ? "no invariant is broken" : "VIOLATION: " + walk.violation());
  return lines;
}

}  // namespace emberdale
