// The table of the faults of a random scenario. Names and order are part of the digests: they stay.
#include "random_scenario_run.hpp"

namespace emberdale {

const std::vector<RandomScenario::Fault>& RandomScenario::faults() {
  using Scenario = RandomScenario;
  static const std::vector<Fault> table{{"edge daemon killed", 2, &Scenario::kill_edge},
                                        {"data daemon killed", 2, &Scenario::kill_data},
                                        {"core daemon killed", 2, &Scenario::kill_core},
                                        {"master killed", 3, &Scenario::kill_master},
                                        {"many killed at once", 2, &Scenario::kill_many},
                                        {"zone lost", 2, &Scenario::lose_zone},
                                        {"region lost", 1, &Scenario::lose_region},
                                        {"total loss", 1, &Scenario::lose_all},
                                        {"machine frozen", 3, &Scenario::freeze_one},
                                        {"machine cut off", 3, &Scenario::isolate_one},
                                        {"machine cut off from the core", 2, &Scenario::cut_from_core},
                                        {"machine cut off from the edge", 2, &Scenario::cut_from_edge},
                                        {"data daemon cut off from runners", 2, &Scenario::cut_from_runners},
                                        {"one-way cuts", 2, &Scenario::cut_one_way},
                                        {"zone cut off", 2, &Scenario::cut_zone},
                                        {"core split", 2, &Scenario::split_core},
                                        {"core cut off", 2, &Scenario::cut_off_core},
                                        {"messages lost", 2, &Scenario::lose_messages},
                                        {"messages delayed", 2, &Scenario::delay_messages},
                                        {"disk slow, stalled, full or failing", 4, &Scenario::fail_disk},
                                        {"core machine wiped", 2, &Scenario::wipe_core},
                                        {"core machine replaced at a new address", 2, &Scenario::move_core},
                                        {"edge daemons back at new addresses", 1, &Scenario::move_edges},
                                        {"clocks leap", 2, &Scenario::step_clocks},
                                        {"clocks fast or slow", 1, &Scenario::skew_clocks},
                                        {"runner back cold", 2, &Scenario::restart_runner},
                                        {"runner hangs", 2, &Scenario::hang_runner},
                                        {"runner flaps", 1, &Scenario::flap_runner},
                                        {"runners replaced one by one", 1, &Scenario::replace_runners},
                                        {"runner pulled at short notice", 3, &Scenario::remove_runner_early},
                                        {"a region's runners back cold", 1, &Scenario::restart_runners_of_region},
                                        {"crowd", 2, &Scenario::raise_load},
                                        {"mix swings", 2, &Scenario::change_request_mix},
                                        {"callers move", 2, &Scenario::move_clients},
                                        {"rival edits", 5, &Scenario::make_rival_edits},
                                        {"edits in quick succession", 3, &Scenario::make_quick_edits},
                                        {"invalid edits", 2, &Scenario::make_invalid_edits},
                                        {"plan created and deleted", 3, &Scenario::create_or_delete_plan},
                                        {"runner marked", 4, &Scenario::mark_runner},
                                        {"zone ordered", 3, &Scenario::order_zone},
                                        {"reads", 4, &Scenario::read_state},
                                        {"rolling restart", 1, &Scenario::restart_in_turn}};
  return table;
}

std::vector<std::string> random_scenario_faults() {
  std::vector<std::string> names;
  for (const auto& fault : RandomScenario::faults())
    names.push_back(fault.name);
  return names;
}

}  // namespace emberdale
