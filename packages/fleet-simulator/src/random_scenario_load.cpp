// Faults of runners, and changes of the load.
#include <algorithm>

#include "random_scenario_run.hpp"

namespace emberdale {

void RandomScenario::restart_runner() {
  std::string runner = pick(runners_);
  count_effect(fleet_.runner(runner).is_up);
  fleet_.kill_runner(runner);
  fleet_.later(fault_duration_ / 3, [this, runner] { fleet_.start_runner(runner); });
}

void RandomScenario::hang_runner() {
  std::string runner = pick(runners_);
  count_effect(fleet_.runner(runner).running > 0);
  fleet_.hang_runner(runner);
  fleet_.later(fault_duration_, [this, runner] { fleet_.start_runner(runner); });
}

void RandomScenario::flap_runner() {
  std::string runner = pick(runners_);
  for (int i = 0; i < 5; ++i)
    fleet_.later(std::int64_t{400} * i, [this, runner] { fleet_.start_runner(runner); });
  count_effect();
}

void RandomScenario::replace_runners() {
  std::vector<std::string> models;
  for (const auto& runner : runners_)
    if (runner[0] == 'm')
      models.push_back(runner);
  for (std::size_t i = 0; i < models.size(); ++i)
    fleet_.later(static_cast<std::int64_t>(i) * 600, [this, runner = models[i]] { fleet_.start_runner(runner); });
  count_effect();
}

void RandomScenario::remove_runner_early() {
  std::string runner = pick(runners_);
  log(runner + " is marked and pulled");
  edit("patch", runners_kind, runner, R"({"leaving":true})");
  std::int64_t grace = 300 + random_.below(1500);
  fleet_.later(grace, [this, runner, fault = current_fault_] {
    result_.effects[fault] += fleet_.runner(runner).running > 0;
    fleet_.kill_runner(runner);
  });
  fleet_.later(grace + 1500, [this, runner] {
    fleet_.start_runner(runner);
    edit("patch", runners_kind, runner, R"({"leaving":false})");
  });
}

void RandomScenario::restart_runners_of_region() {
  bool is_south = random_.chance(0.5);
  for (const auto& runner : runners_)
    if ((fleet_.runner(runner).zone == "c") == is_south)
      fleet_.start_runner(runner);
  count_effect();
}

void RandomScenario::raise_load() {
  double rate = fleet_.load_generator().rate;
  fleet_.load_generator().rate = plan_.shape.calls_per_second * static_cast<double>(2 + random_.below(4));
  log("crowd");
  count_effect(fleet_.load_generator().rate != rate);
  fleet_.later(fault_duration_, [this] { fleet_.load_generator().rate = plan_.shape.calls_per_second; });
}

void RandomScenario::change_request_mix() {
  fleet_.load_generator().long_share = random_.chance(0.5) ? 0.5 : 0.0;
  count_effect();
  fleet_.later(fault_duration_, [this] { fleet_.load_generator().long_share = 0.05; });
}

void RandomScenario::move_clients() {
  fleet_.load_generator().south_share = random_.chance(0.5) ? 0.9 : 0.05;
  count_effect();
  fleet_.later(fault_duration_, [this] { fleet_.load_generator().south_share = -1; });
}

}  // namespace emberdale
