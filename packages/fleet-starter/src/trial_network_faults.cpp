// Faults of the connections between daemons in a trial.
#include "trial.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

const Json cut_both_ways{{"cut_out", true}, {"cut_in", true}};

}  // namespace

// The master's leases reach no one, although it hears every other daemon.
void Trial::cut_master_one_way() {
  std::string master = fleet_.master_name();
  Json others = Json::array();
  for (const auto& [name, process] : fleet_.processes())
    if (!process.link.empty() && name != master)
      others.push_back(process.link);
  auto cut = Clock::now();
  fleet_.post(fleet_.at(master).http, "/v1/faults", Json{{"siblings", others}, {"cut_out", true}}.dump());
  NewMaster next = wait_for_new_master(master, cut);
  fleet_.post(fleet_.at(master).http, "/v1/faults", R"({"clear":true})");
  note({{"event", "master's links cut one way"},
        {"was", master},
        {"next", next.name},
        {"new_master_after_ms", next.after_ms}});
}

void Trial::split_core() {
  const auto cores = fleet_.names({"core"});
  fleet_.fault(cores, cores, cut_both_ways);
  auto requested = Clock::now();
  bool is_done = edit_plan(3100 + static_cast<int>(observations_.acknowledged.size()));
  note({{"event", "core machines split from each other"},
        {"edit_acknowledged", is_done},
        {"edit_took_ms", ms_since(requested)},
        {"serving_in_it", serving_daemons()}});
  pause(2500);
  fleet_.clear_faults();
}

void Trial::cut_off_core() {
  fleet_.fault(fleet_.names({"core"}), fleet_.names({"edge", "data"}), cut_both_ways);
  pause(6000);
  note({{"event", "core cut off from every other daemon for 6 s"}, {"serving_in_it", serving_daemons()}});
  fleet_.clear_faults();
  pause(1000);
}

void Trial::delay_connections() {
  auto all = fleet_.names({"core", "edge", "data"});
  fleet_.fault(all, all, {{"delay_ms", 120}});
  pause(3000);
  auto requested = Clock::now();
  bool is_done = edit_plan(3300 + static_cast<int>(observations_.acknowledged.size()));
  note({{"event", "every link 120 ms slower"},
        {"edit_acknowledged", is_done},
        {"edit_took_ms", ms_since(requested)},
        {"serving_in_it", serving_daemons()}});
  fleet_.clear_faults();
}

}  // namespace emberdale
