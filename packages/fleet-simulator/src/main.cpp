// emberdale-fleet-simulator: seeded days of failure under virtual time; any seed can be run again.
#include <docopt/docopt.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

#include "scale_runs.hpp"
#include "scenarios.hpp"

using namespace emberdale;
using namespace emberdale::scenarios;

static const char usage[] =
    R"(emberdale-fleet-simulator: seeded days of failure, with the brief's rules checked at every step.

Usage:
  emberdale-fleet-simulator [options]
  emberdale-fleet-simulator days [options]
  emberdale-fleet-simulator faults [options]
  emberdale-fleet-simulator measure [options]
  emberdale-fleet-simulator scale [options]
  emberdale-fleet-simulator hollow [options]

days: harder days, with every fault of the brief, alone and together, and one last fault; it
prints how often each fault was brought about and felt. faults: the same with each
fault alone, five seconds of every ten, and the calls it cost. measure: times and counts of named failures over )"
    R"(the seeds; scale: control work as the fleet grows.
hollow: edge and data daemons over real links, all in this process, that join a started fleet.

Options:
  --first N     First seed [default: 1].
  --count N     How many seeds [default: 50].
  --seconds N   Virtual seconds of failure in each [default: 30].
  --threads N   Seeds run at once [default: 6].
  --shape NAME  Fleet of the days: small, caspian or kathmandu [default: small].
  --dimension NAME  Of scale: machines, daemons, data, runners, idle-runners, zones, bare-zones, plans,
                changes, changes-in-a-fleet, enrolment or faults (docs/CAPACITY.md) [default: machines].
  --sizes LIST  Of scale: these sizes in place of the dimension's own, e.g. 12,48.
  --fleet FILE  Of hollow: the fleet.json of a running emberdale-fleet-starter [default: fleet-run/fleet.json].
  --edges N     Of hollow: how many edge daemons [default: 30].
  --gateways N  Of hollow: how many data daemons [default: 30].
  --digest      Of days: print only a line `shape seed digest` for each seed, a SHA-256 over all that happened in it.
  --story       Print what failed when, for every seed.
  -h --help     Show this.
)";

namespace {

// Runs each number below `count` once, up to `threads` of them side by side.
void run_side_by_side(std::uint64_t count, long threads, const std::function<void(std::uint64_t)>& run) {
  std::atomic<std::uint64_t> next{0};
  std::vector<std::thread> running;
  for (long i = 0; i < threads; ++i)
    running.emplace_back([&] {
      for (std::uint64_t index = next++; index < count; index = next++)
        run(index);
    });
  for (auto& thread : running)
    thread.join();
}

void print(const Figure& figure) {
  std::cout << figure.what << ": median " << figure.median() << ", from " << figure.best() << " to " << figure.worst()
            << " (" << figure.values.size() << " seeds)" << std::endl;
}

// One value from each seed, the seeds run side by side.
Figure over_seeds(const std::string& what, std::uint64_t first, std::uint64_t seeds, long threads,
                  const std::function<std::int64_t(std::uint64_t)>& measure) {
  Figure figure{what, std::vector<std::int64_t>(seeds, -1)};
  run_side_by_side(seeds, threads, [&](std::uint64_t index) { figure.values[index] = measure(first + index); });
  print(figure);
  return figure;
}

// Prints a line `shape seed digest` for each seed, in the order of the seeds.
int print_digests(const std::string& shape, std::uint64_t first, std::uint64_t seeds, long threads, ScenarioPlan plan) {
  plan.shape.is_traced = true;
  std::vector<std::string> digests(seeds);
  run_side_by_side(seeds, threads, [&](std::uint64_t index) {
    digests[index] = run_random_scenario(first + index, plan).trace_digest;
  });
  for (std::uint64_t index = 0; index < seeds; ++index)
    std::cout << shape << " " << first + index << " " << digests[index] << "\n";
  return 0;
}

int measure(std::uint64_t first, std::uint64_t seeds, long threads) {
  auto run = [&](const std::string& what, const std::function<std::int64_t(std::uint64_t)>& act) {
    over_seeds(what, first, seeds, threads, act);
  };
  std::cout << "-- from the fault to a map of a new master, ms\n";
  for (const std::string way : {"killed", "frozen", "isolated", "stopped cleanly"})
    run("master " + way, [way](std::uint64_t seed) {
      auto fleet = serving_fleet(seed);
      std::string was = fleet->master();
      if (way == "killed")
        fleet->kill(was);
      if (way == "frozen")
        fleet->freeze(was);
      if (way == "isolated")
        fleet->isolate(was);
      if (way == "stopped cleanly") {
        fleet->control(was)->stop(fleet->moment(was));
        fleet->run(Duration{30});
        fleet->kill(was);
      }
      return until_new_map(*fleet, was);
    });
  run("all edge daemons restarted at once", [](std::uint64_t seed) {
    auto fleet = serving_fleet(seed);
    for (const auto& name : fleet->names("edge"))
      fleet->kill(name);
    fleet->run(Duration{500});
    for (const auto& name : fleet->names("edge"))
      fleet->start(name);
    return until_new_map(*fleet, "");
  });
  run("zone of the master lost", [](std::uint64_t seed) {
    auto fleet = serving_fleet(seed);
    std::string was = fleet->master();
    for (const char* role : {"edge", "data", "core"})
      for (const auto& name : fleet->names(role))
        if (name[0] == was[0])
          fleet->power_cut(name);
    return until_new_map(*fleet, was);
  });
  std::cout << "-- total loss: from power to every data daemon serving, ms\n";
  run("at the same addresses", [](std::uint64_t seed) { return total_loss(*serving_fleet(seed), false); });
  run("edge daemons at new addresses", [](std::uint64_t seed) { return total_loss(*serving_fleet(seed), true); });
  std::cout << "-- calls turned away for want of a grant, per thousand asked in 10 s of the fault\n";
  auto refused = [&](const std::string& what, const std::function<void(FleetSimulation&)>& fault) {
    run(what, [fault](std::uint64_t seed) {
      auto fleet = serving_fleet(seed);
      fault(*fleet);
      fleet->reset_tally();
      fleet->run(Duration{10000});
      return fleet->tally().refused_no_grant * 1000 /
             std::max<std::int64_t>(1, fleet->tally().asked - fleet->tally().no_daemon);
    });
  };
  refused("nothing fails", [](FleetSimulation&) {});
  refused("master killed", [](FleetSimulation& fleet) { fleet.kill(fleet.master()); });
  refused("one core machine lost", [](FleetSimulation& fleet) { fleet.power_cut("a0"); });
  refused("one core machine isolated", [](FleetSimulation& fleet) { fleet.isolate("b0"); });
  refused("a zone lost", [](FleetSimulation& fleet) {
    for (const char* role : {"edge", "data", "core"})
      for (const auto& name : fleet.names(role))
        if (name[0] == 'b')
          fleet.power_cut(name);
  });
  refused("core split into single machines", [](FleetSimulation& fleet) {
    fleet.cut_both("a0", "b0");
    fleet.cut_both("a0", "c0");
    fleet.cut_both("b0", "c0");
  });
  refused("core cut off from every edge machine", [](FleetSimulation& fleet) {
    for (const auto& core : fleet.names("core"))
      for (const char* role : {"edge", "data"})
        for (const auto& name : fleet.names(role))
          fleet.cut_both(core, name);
  });
  refused("an edit each second", [](FleetSimulation& fleet) {
    for (int i = 0; i < 9; ++i)
      fleet.later(std::int64_t{1000} * i,
                  [&fleet] { fleet.edit(fleet.master(), "patch", plans_kind, "check", R"({"horizon_ms":4000})"); });
  });
  auto cut_core = [](FleetSimulation& fleet, std::size_t number) {
    auto cores = fleet.names("core");
    cores.resize(number);
    for (const auto& core : cores)
      for (const char* role : {"edge", "data"})
        for (const auto& name : fleet.names(role))
          fleet.cut_both(core, name);
  };
  auto cut_zone = [](FleetSimulation& fleet) {
    for (const char* role : {"core", "edge", "data"})
      for (const auto& name : fleet.names(role))
        for (const char* other_role : {"core", "edge", "data"})
          for (const auto& other : fleet.names(other_role))
            if (name[0] == 'b' && other[0] != 'b')
              fleet.cut_both(name, other);
  };
  std::cout << "-- calls turned away for want of a grant in a cut, per thousand asked in it\n";
  for (int seconds : {5, 15, 30, 60})
    for (const std::string what : {"the whole core", "two core machines", "one zone"})
      run(what + " cut off for " + std::to_string(seconds) + " s", [&, what, seconds](std::uint64_t seed) {
        auto fleet = serving_fleet(seed);
        fleet->run(Duration{8000});
        if (what == "one zone")
          cut_zone(*fleet);
        else
          cut_core(*fleet, what == "the whole core" ? 3 : 2);
        fleet->reset_tally();
        fleet->run(Duration{std::int64_t{1000} * seconds});
        return fleet->tally().refused_no_grant * 1000 / std::max<std::int64_t>(1, fleet->tally().asked);
      });
  std::cout << "-- from an edit, asked right after the fault, to its acknowledgement, ms\n";
  for (const std::string way : {"killed", "frozen", "isolated", "its zone lost"})
    run("master " + way, [way](std::uint64_t seed) {
      auto fleet = serving_fleet(seed);
      fleet->run(Duration{8000});
      std::string was = fleet->master();
      if (way == "killed")
        fleet->kill(was);
      if (way == "frozen")
        fleet->freeze(was);
      if (way == "isolated")
        fleet->isolate(was);
      if (way == "its zone lost")
        for (const char* role : {"edge", "data", "core"})
          for (const auto& name : fleet->names(role))
            if (name[0] == was[0])
              fleet->power_cut(name);
      fleet->run(Duration{30});
      std::int64_t begun = fleet->now();
      std::string at;
      for (const auto& name : fleet->names("edge"))
        if (name != was && fleet->is_running(name))
          at = name;
      auto outcome = fleet->edit(at, "patch", plans_kind, "check", R"({"horizon_ms":4000})");
      fleet->run_until([&] { return outcome->is_over; }, Duration{45000});
      return outcome->code == 200 ? fleet->now() - begun : std::int64_t{-1};
    });
  std::cout
      << "-- new work for a runner, the longest after its mark was asked for, ms; the master fails 30 ms before\n";
  for (const std::string way : {"nothing", "killed", "frozen", "isolated", "the core split, and the master frozen"})
    run(way, [way](std::uint64_t seed) {
      auto fleet = serving_fleet(seed);
      std::string was = fleet->master();
      if (way == "killed")
        fleet->kill(was);
      if (way == "isolated")
        fleet->isolate(was);
      if (way.find("frozen") != std::string::npos)
        fleet->freeze(was);
      if (way.find("split") != std::string::npos) {
        fleet->cut_both("a0", "b0");
        fleet->cut_both("a0", "c0");
        fleet->cut_both("b0", "c0");
      }
      fleet->run(Duration{30});
      std::string at;
      for (const auto& name : fleet->names("edge"))
        if (name != was)
          at = name;
      std::int64_t begun = fleet->now(), last = 0;
      // Asked again, as the platform would, until it is acknowledged.
      auto outcome = fleet->edit(at, "patch", runners_kind, "model-a1", R"({"leaving":true})");
      while (fleet->now() - begun < 15000) {
        std::int64_t before = fleet->watch().last_sent("model-a1");
        fleet->run(Duration{25});
        if (fleet->watch().last_sent("model-a1") != before)
          last = fleet->now() - begun;
        if (outcome->is_over && outcome->code != 200)
          outcome = fleet->edit(at, "patch", runners_kind, "model-a1", R"({"leaving":true})");
      }
      return last;
    });
  std::cout << "-- from an edit to its acknowledgement, ms, and the oldest plan sent by after it\n";
  run("edit acknowledged", [](std::uint64_t seed) {
    auto fleet = serving_fleet(seed);
    std::int64_t begun = fleet->now();
    fleet->edit_until_done("patch", plans_kind, "check", R"({"horizon_ms":4000})", Duration{8000});
    return fleet->now() - begun;
  });
  // One data daemon no longer hears the news; then the edit is acknowledged, and it is watched for a while.
  auto edited_while_cut_off = [](std::uint64_t seed, const char* kind, const char* name, const char* patch,
                                 Duration watched) {
    auto fleet = serving_fleet(seed);
    for (const auto& edge : fleet->names("edge"))
      fleet->cut_both("a1-data", edge);
    fleet->edit_until_done("patch", kind, name, patch, Duration{8000});
    fleet->run(watched);
    return fleet->figures();
  };
  run("worst old plan, a data daemon cut off from the news", [&](std::uint64_t seed) {
    return edited_while_cut_off(seed, plans_kind, "check", R"({"horizon_ms":4000})", Duration{5000}).worst_old_plan_ms;
  });
  run("worst new work for a leaving runner", [&](std::uint64_t seed) {
    return edited_while_cut_off(seed, runners_kind, "model-a1", R"({"leaving":true})", Duration{7000}).worst_leaving_ms;
  });
  return 0;
}

int count_machines() {
  std::cout << "machines  messages/s  per daemon/s  busiest daemon/s  at a core/s  at the master/s  rounds to found "
               "and declare\n";
  for (int edges : {3, 15, 63}) {
    SimulationShape shape;
    shape.edges_per_zone = edges;
    shape.calls_per_second = 0;
    FleetSimulation fleet(1, shape);
    if (!fleet.found() || !fleet.declare()) {
      std::cout << (edges + 1) * 3 << " did not come up\n" << fleet.why_silent();
      return 1;
    }
    auto rounds = fleet.figures().register_rounds;
    fleet.run(Duration{20000});
    auto before = fleet.figures();
    fleet.run(Duration{10000});
    auto after = fleet.figures();
    std::int64_t busiest = 0, at_core = 0;
    for (const auto& [name, number] : after.messages_to)
      busiest = std::max(busiest, number - before.messages_to[name]);
    for (const auto& core : fleet.names("core"))
      at_core = std::max(at_core, after.messages_to[core] - before.messages_to[core]);
    auto all = after.messages - before.messages;
    std::int64_t daemons = static_cast<std::int64_t>(after.messages_to.size());
    std::string master = fleet.master();
    std::cout << (edges + 1) * 3 << "  " << all / 10 << "  " << all / 10 / daemons << "  " << busiest / 10 << "  "
              << at_core / 10 << "  " << (after.messages_to[master] - before.messages_to[master]) / 10 << "  " << rounds
              << std::endl;
  }
  return 0;
}

}  // namespace

int main(int count, char** words) {
  auto arguments = docopt::docopt(usage, {words + 1, words + count}, true, "emberdale-fleet-simulator 0.1");
  auto first = static_cast<std::uint64_t>(arguments["--first"].asLong());
  auto seeds = static_cast<std::uint64_t>(arguments["--count"].asLong());
  Duration length{arguments["--seconds"].asLong() * 1000};
  if (arguments["measure"].asBool())
    return measure(first, seeds, arguments["--threads"].asLong());
  if (arguments["hollow"].asBool())
    return scale::run_hollow(arguments["--fleet"].asString(), static_cast<int>(arguments["--edges"].asLong()),
                             static_cast<int>(arguments["--gateways"].asLong()), length);
  if (arguments["scale"].asBool()) {
    std::string dimension = arguments["--dimension"].asString();
    std::vector<int> sizes;
    std::istringstream list(arguments["--sizes"].isString() ? arguments["--sizes"].asString() : "");
    for (std::string size; std::getline(list, size, ',');)
      sizes.push_back(std::stoi(size));
    return dimension == "machines" ? count_machines() : scale::run_scale(dimension, sizes, length);
  }
  bool has_story = arguments["--story"].asBool();
  bool has_days = arguments["days"].asBool();
  std::string shape = arguments["--shape"].asString();
  if (shape != "small" && shape != "caspian" && shape != "kathmandu") {
    std::cerr << "emberdale-fleet-simulator: there is no shape '" << shape << "'\n";
    return 2;
  }
  ScenarioPlan plan;
  plan.length = length;
  plan.shape.calls_per_second = 30;
  if (shape == "caspian")
    plan.shape = caspian_shape();
  if (shape == "kathmandu")
    plan.shape = kathmandu_shape();
  if (has_days && arguments["--digest"].asBool())
    return print_digests(shape, first, seeds, arguments["--threads"].asLong(), plan);
  if (arguments["faults"].asBool()) {
    std::cout << "of a thousand calls: turned away with room in reach, turned away, outcome unknown, found no daemon; "
                 "breaks\n";
    for (const auto& fault : random_scenario_faults()) {
      CallTally sum;
      std::mutex adding;
      std::int64_t breaks = 0;
      std::vector<std::thread> running;
      std::atomic<std::uint64_t> following{0};
      for (long i = 0; i < arguments["--threads"].asLong(); ++i)
        running.emplace_back([&] {
          for (std::uint64_t index = following++; index < seeds; index = following++) {
            ScenarioPlan alone = plan;
            alone.only = fault;
            FaultInjectionResult result = run_random_scenario(first + index, alone);
            std::lock_guard<std::mutex> guard(adding);
            sum.asked += result.tally.asked;
            sum.avoidable += result.tally.avoidable;
            sum.refused += result.tally.refused + result.tally.refused_no_grant;
            sum.unknown += result.tally.unknown;
            sum.no_daemon += result.tally.no_daemon;
            breaks += static_cast<std::int64_t>(result.breaks.size());
          }
        });
      for (auto& thread : running)
        thread.join();
      auto share = [&](std::int64_t number) {
        return std::to_string(number * 1000 / std::max<std::int64_t>(1, sum.asked));
      };
      std::cout << "  " << fault << ": " << share(sum.avoidable) << ", " << share(sum.refused) << ", "
                << share(sum.unknown) << ", " << share(sum.no_daemon) << "; " << breaks << std::endl;
    }
    return 0;
  }
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> faults;
  std::map<std::string, std::int64_t> reasons;
  CallTally calls;
  std::int64_t acked = 0, refused = 0, unknown = 0;
  std::atomic<std::uint64_t> next{0};
  std::atomic<int> broken{0};
  std::mutex out;
  std::vector<std::thread> threads;
  for (long i = 0; i < arguments["--threads"].asLong(); ++i)
    threads.emplace_back([&] {
      for (;;) {
        std::uint64_t index = next++;
        if (index >= seeds)
          return;
        FaultInjectionResult result =
            has_days ? run_random_scenario(first + index, plan) : run_fault_injection(first + index, length);
        std::lock_guard<std::mutex> guard(out);
        for (const auto& [fault, tried] : result.tried)
          faults[fault].first += tried;
        for (const auto& [fault, bites] : result.bites)
          faults[fault].second += bites;
        for (const auto& [reason, number] : result.tally.reasons)
          reasons[reason] += number;
        calls.asked += result.tally.asked;
        calls.served += result.tally.served;
        calls.refused += result.tally.refused;
        calls.refused_no_grant += result.tally.refused_no_grant;
        calls.unknown += result.tally.unknown;
        calls.no_daemon += result.tally.no_daemon;
        calls.misdirected += result.tally.misdirected;
        calls.avoidable += result.tally.avoidable;
        acked += result.acked;
        refused += result.refused;
        unknown += result.unknown;
        if (result.breaks.empty() && !has_story)
          continue;
        std::cout << "seed " << first + index << (result.breaks.empty() ? " good" : " BROKEN") << "\n" << result.story;
        for (const auto& fault : result.breaks)
          std::cout << "  " << fault.at << " " << fault.rule << ": " << fault.detail << "\n";
        if (!result.breaks.empty())
          ++broken;
      }
    });
  for (auto& thread : threads)
    thread.join();
  if (has_days) {
    std::cout << "fault: brought about, felt\n";
    for (const auto& [fault, numbers] : faults)
      std::cout << "  " << fault << ": " << numbers.first << ", " << numbers.second << "\n";
    std::cout << "calls: asked " << calls.asked << ", served " << calls.served << ", refused " << calls.refused
              << ", no grant " << calls.refused_no_grant << ", outcome unknown " << calls.unknown << ", daemon down "
              << calls.no_daemon << ", misdirected " << calls.misdirected << ", refused with room in reach "
              << calls.avoidable << "\n";
    for (const auto& [reason, number] : reasons)
      std::cout << "  " << number << " " << reason << "\n";
    std::cout << "edits: acknowledged " << acked << ", refused " << refused << ", unknown " << unknown << "\n";
  }
  std::cout << seeds - static_cast<std::uint64_t>(broken.load()) << " passed, " << broken << " failed\n";
  return broken == 0 ? 0 : 1;
}
