// emberdale-model-checker: every interleaving of small fleets up to a bound, and seeded walks beyond it.
#include <docopt/docopt.h>

#include <chrono>
#include <iostream>

#include "emberdale/fleet_walk.hpp"
#include "emberdale/state_search.hpp"

namespace emberdale {
namespace {

const char usage[] =
    R"(emberdale-model-checker: drives the real state machines of small fleets through every interleaving.

Usage:
  emberdale-model-checker register [options]
  emberdale-model-checker fleet [options]

register: acceptors, proposers and their disks; each choice is a delivery, a timer, a poll, a crash or a wipe. The
counts below say how often each may come about on one path. Prints states, depth and time, and a trace on a violation.

fleet: whole control daemons on machines of their own, under virtual time. Each choice is a fault or an edit, half a
second apart; the seed orders the messages. Every list of --depth choices, or --walks random ones.

Options:
  --members N            Acceptors of the founded set [default: 3].
  --spares N             Blank acceptors beside it [default: 0].
  --proposers N          Proposers [default: 2].
  --orders LIST          append, claim, lead, replace or finish, with commas [default: append].
  --at LIST              The proposer of each order, by number; else in turn.
  --in-sequence          Each order starts once the one before it has ended.
  --rounds               A proposer's requests are answered at once by those they reach, or are lost.
  --sync                 A write reaches its disk in a step of its own.
  --timers N             [default: 0]
  --polls N              [default: 0]
  --duplicates N         [default: 0]
  --restarts N           Crashes of acceptors [default: 0].
  --wipes N              Acceptors that lose their disk [default: 0].
  --proposer-restarts N  [default: 0]
  --give-ups N           Orders whose patience runs out [default: 0].
  --fault NAME           Planted: forgets-promise, old-majority-only or keeps-wiped-store [default: none].
  --depth N              Choices on one path; of fleet: of one list or walk [default: 60].
  --states N             Different states at most [default: 20000000].
  --probe N              About one state in N is probed: does each bare majority still commit? 0: none [default: 64].
  --walks N              So many random walks in place of the search [default: 0].
  --seed N               Of the walks [default: 1].
  --machines N           Of fleet [default: 3].
  --without LIST         Of fleet: choices never offered, of cut, crash, power, wipe, freeze, runner and order.
  --older-orders         Of fleet: an older zone order over an acknowledged newer one is a violation.
  --replay LIST          Run this trace again, and print each step in words.
  -h --help              Show this.
)";

using Arguments = std::map<std::string, docopt::value>;

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> words;
  for (std::size_t at = 0; at < text.size();) {
    std::size_t end = std::min(text.find(',', at), text.size());
    words.push_back(text.substr(at, end - at));
    at = end + 1;
  }
  return words;
}

std::optional<OrderKind> order_kind(const std::string& name) {
  static const std::map<std::string, OrderKind> kinds{
      {"append", OrderKind::append},          {"claim", OrderKind::claim_term},     {"lead", OrderKind::leader_append},
      {"replace", OrderKind::replace_member}, {"finish", OrderKind::finish_change}, {"found", OrderKind::found}};
  auto kind = kinds.find(name);
  return kind == kinds.end() ? std::nullopt : std::optional<OrderKind>(kind->second);
}

int number(const Arguments& arguments, const std::string& flag) {
  return static_cast<int>(arguments.at(flag).asLong());
}

Outcome<RegisterScenario> scenario_of(const Arguments& arguments) {
  RegisterScenario scenario;
  scenario.members = number(arguments, "--members");
  scenario.spares = number(arguments, "--spares");
  scenario.proposers = number(arguments, "--proposers");
  scenario.is_in_sequence = arguments.at("--in-sequence").asBool();
  scenario.is_round_atomic = arguments.at("--rounds").asBool();
  scenario.is_sync_separate = arguments.at("--sync").asBool();
  scenario.budget = {number(arguments, "--timers"),     number(arguments, "--polls"),
                     number(arguments, "--duplicates"), number(arguments, "--restarts"),
                     number(arguments, "--wipes"),      number(arguments, "--proposer-restarts"),
                     number(arguments, "--give-ups")};
  if (scenario.members < 1 || scenario.members + scenario.spares > 9 || scenario.proposers < 1 ||
      scenario.proposers > 9)
    return failure("one to nine acceptors and one to nine proposers, please");
  scenario.orders.clear();
  for (const auto& name : split(arguments.at("--orders").asString())) {
    auto kind = order_kind(name);
    if (!kind)
      return failure("no such order: " + name);
    scenario.orders.push_back(*kind);
  }
  if (arguments.at("--at"))
    for (const auto& place : split(arguments.at("--at").asString())) {
      int index = place.size() == 1 && std::isdigit(static_cast<unsigned char>(place[0])) ? place[0] - '0' : -1;
      if (index < 0 || index >= scenario.proposers)
        return failure("no such proposer: " + place);
      scenario.placed_at.push_back(index);
    }
  auto fault = injected_fault(arguments.at("--fault").asString());
  if (!fault)
    return failure("no such fault: " + arguments.at("--fault").asString());
  scenario.fault = *fault;
  return scenario;
}

int report(const RegisterWorld& start, const SearchResult& result, double seconds) {
  std::cout << "states " << result.states << ", steps " << result.steps << ", deepest " << result.deepest
            << ", majorities probed at " << result.probes << " states, " << seconds << " s, "
            << (result.is_complete ? "every path to its end" : "cut off by a bound") << std::endl;
  if (!result.violation) {
    std::cout << "no invariant is broken" << std::endl;
    return 0;
  }
  for (const auto& line : tell(start, result.violation->choices))
    std::cout << "  " << line << "\n";
  std::cout << result.violation->reason << "\nrun it again: --replay " << show(result.violation->choices) << std::endl;
  return 1;
}

int check_register(const Arguments& arguments) {
  auto scenario = scenario_of(arguments);
  if (!scenario) {
    std::cerr << scenario.reason << std::endl;
    return 2;
  }
  RegisterWorld start(*scenario);
  if (arguments.at("--replay")) {
    auto choices = read_choices(arguments.at("--replay").asString());
    if (!choices) {
      std::cerr << "a trace is a list of numbers with commas" << std::endl;
      return 2;
    }
    for (const auto& line : tell(start, *choices))
      std::cout << line << "\n";
    return 0;
  }
  SearchBounds bounds{static_cast<std::size_t>(number(arguments, "--depth")),
                      static_cast<std::uint64_t>(arguments.at("--states").asLong()),
                      static_cast<std::uint64_t>(number(arguments, "--probe"))};
  auto walks = static_cast<std::uint64_t>(arguments.at("--walks").asLong());
  auto seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
  auto begun = std::chrono::steady_clock::now();
  SearchResult result = walks > 0 ? walk_randomly(start, seed, walks, bounds) : search_exhaustively(start, bounds);
  std::chrono::duration<double> spent = std::chrono::steady_clock::now() - begun;
  return report(start, result, spent.count());
}

std::optional<FleetChoiceKind> choice_kind(const std::string& name) {
  static const std::map<std::string, FleetChoiceKind> kinds{
      {"cut", FleetChoiceKind::cut_off},     {"crash", FleetChoiceKind::crash},
      {"power", FleetChoiceKind::power_cut}, {"wipe", FleetChoiceKind::wipe},
      {"freeze", FleetChoiceKind::freeze},   {"runner", FleetChoiceKind::put_runner},
      {"order", FleetChoiceKind::put_order}};
  auto kind = kinds.find(name);
  return kind == kinds.end() ? std::nullopt : std::optional<FleetChoiceKind>(kind->second);
}

Outcome<FleetScenario> fleet_scenario_of(const Arguments& arguments) {
  FleetScenario scenario;
  scenario.machines = number(arguments, "--machines");
  scenario.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
  scenario.length = static_cast<std::size_t>(number(arguments, "--depth"));
  scenario.watches_orders = arguments.at("--older-orders").asBool();
  if (scenario.machines < 1 || scenario.machines > 9)
    return failure("one to nine machines, please");
  if (arguments.at("--without"))
    for (const auto& name : split(arguments.at("--without").asString())) {
      auto kind = choice_kind(name);
      if (!kind)
        return failure("no such choice: " + name);
      scenario.left_out.insert(*kind);
    }
  return scenario;
}

int report(FleetScenario scenario, const FleetSearchResult& result, double seconds) {
  std::cout << "walks " << result.walks << ", choices " << result.choices << ", " << seconds << " s" << std::endl;
  if (!result.violation) {
    std::cout << "no invariant is broken" << std::endl;
    return 0;
  }
  scenario.seed = result.seed;
  for (const auto& line : tell(scenario, result.violation->choices))
    std::cout << "  " << line << "\n";
  std::cout << result.violation->reason << "\nrun it again: --seed " << result.seed << " --replay "
            << show(result.violation->choices) << std::endl;
  return 1;
}

int check_fleet(const Arguments& arguments) {
  auto scenario = fleet_scenario_of(arguments);
  if (!scenario) {
    std::cerr << scenario.reason << std::endl;
    return 2;
  }
  if (arguments.at("--replay")) {
    auto choices = read_choices(arguments.at("--replay").asString());
    if (!choices) {
      std::cerr << "a trace is a list of numbers with commas" << std::endl;
      return 2;
    }
    for (const auto& line : tell(*scenario, *choices))
      std::cout << line << "\n";
    return 0;
  }
  auto walks = static_cast<std::uint64_t>(arguments.at("--walks").asLong());
  auto begun = std::chrono::steady_clock::now();
  FleetSearchResult result = walks > 0 ? walk_fleets(*scenario, walks) : search_fleets(*scenario);
  std::chrono::duration<double> spent = std::chrono::steady_clock::now() - begun;
  return report(*scenario, result, spent.count());
}

int run(int argc, char** argv) {
  Arguments arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "emberdale-model-checker");
  return arguments.at("fleet").asBool() ? check_fleet(arguments) : check_register(arguments);
}

}  // namespace
}  // namespace emberdale

int main(int argc, char** argv) { return emberdale::run(argc, argv); }
