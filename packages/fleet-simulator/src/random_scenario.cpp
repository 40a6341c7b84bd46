// A harder day by one seed: every fault of the brief, alone and together; see the table at the end.
#include <algorithm>
#include <sstream>

#include "emberdale/fleet_simulation.hpp"
#include "emberdale/linearizability.hpp"

namespace emberdale {
namespace {

using Disk = FleetSimulation::Disk;

const char* const check_variants[] = {
    R"({"service":"s","match":{"path":"/check"},"pool":"models","spill":{"allowed":true},"horizon_ms":5000,)"
    R"("prefix_bytes":64})",
    R"({"service":"s","match":{"path":"/check"},"pool":"models","spill":{"allowed":true,"limit_percent":20},)"
    R"("horizon_ms":4000,"prefix_bytes":32})",
    R"({"service":"s","match":{"path":"/check"},"pool":"models","horizon_ms":4500,"prefix_bytes":16})",
    R"({"service":"s","match":{"path":"/check"},"pool":"nowhere","horizon_ms":4500})",  // refused: no such pool
    R"({"service":"s","match":{"path":"/homed"},"pool":"models","horizon_ms":4500})"};  // refused: claims another's
                                                                                        // calls

class RandomScenario {
 public:
  RandomScenario(std::uint64_t seed, const ScenarioPlan& plan)
      : plan_(plan), fleet_(seed, plan.shape), random_(seed * 77 + 5) {}

  FaultInjectionResult run();
  std::string trace_digest(const FaultInjectionResult& result);

  struct Fault {
    const char* name;
    int weight;
    void (RandomScenario::*act)();
  };
  static const std::vector<Fault>& table();

 private:
  // --- small words ---------------------------------------------------------------------------------
  const std::string& pick(const std::vector<std::string>& list) {
    return list[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(list.size())))];
  }
  std::string pick_zone() { return std::string(1, static_cast<char>('a' + random_.below(3))); }
  std::string pick_control() { return random_.chance(0.3) ? pick(cores_) : pick(edges_); }
  std::vector<std::string> all() const {
    std::vector<std::string> list = edges_;
    list.insert(list.end(), datas_.begin(), datas_.end());
    list.insert(list.end(), cores_.begin(), cores_.end());
    return list;
  }
  std::vector<std::string> of_zone(const std::string& zone) const {
    std::vector<std::string> list;
    for (const auto& name : all())
      if (fleet_.zone(name) == zone)
        list.push_back(name);
    return list;
  }
  bool is_core(const std::string& name) const { return std::find(cores_.begin(), cores_.end(), name) != cores_.end(); }
  void note(const std::string& what) { story_ << fleet_.now() << " " << what << "\n"; }
  void bit(bool has_bitten = true) { result_.bites[current_] += has_bitten; }
  // Counts the fault as felt if that number has grown when the fault ends.
  void end_with(std::function<std::int64_t()> count, std::function<void()> end) {
    fleet_.later(hold_, [this, count, end, before = count(), fault = current_] {
      result_.bites[fault] += count() > before;
      end();
    });
  }
  void down_for(const std::string& name, bool is_power, std::int64_t ms) {
    if (name.empty())
      return;
    bit(fleet_.is_up(name));
    if (is_power)
      fleet_.power_cut(name);
    else
      fleet_.kill(name);
    fleet_.later(ms, [this, name] { back(name); });
  }
  void back(const std::string& name) {
    if (std::find(gone_.begin(), gone_.end(), name) == gone_.end())
      fleet_.start(name);
  }
  void cut_pairs(const std::vector<std::string>& ones, const std::vector<std::string>& others,
                 bool is_one_way = false) {
    std::vector<std::pair<std::string, std::string>> pairs;
    for (const auto& one : ones)
      for (const auto& other : others)
        if (one != other)
          pairs.push_back({one, other});
    for (const auto& [one, other] : pairs) {
      fleet_.cut(one, other);
      if (!is_one_way)
        fleet_.cut(other, one);
    }
    end_with([this] { return fleet_.network().cut_off(); },
             [this, pairs] {
               for (const auto& [one, other] : pairs)
                 fleet_.repair_both(one, other);
             });
  }
  // One core machine may be without its disk at a time, and only while the others are sound.
  bool may_lose_disk() {
    if (!lost_core_.empty())
      return false;
    return std::all_of(cores_.begin(), cores_.end(),
                       [&](const auto& core) { return fleet_.is_running(core) && is_admitted(core); });
  }
  bool is_admitted(const std::string& core) {
    auto* control = fleet_.control(core);
    if (control == nullptr || control->acceptor() == nullptr || control->acceptor()->is_blank())
      return false;
    const auto& state = control->proposer().state();
    return state.next_acceptors.empty() &&
           std::any_of(state.acceptors.begin(), state.acceptors.end(),
                       [&](const auto& entry) { return entry.store == control->acceptor()->store(); });
  }
  void edit(const std::string& act, const std::string& kind, const std::string& name, const std::string& body,
            std::int64_t expected = -1) {
    edits_.push_back(fleet_.edit(pick_control(), act, kind, name, body, expected));
  }
  std::int64_t version_seen(const std::string& at, const std::string& kind, const std::string& name) {
    if (auto* control = fleet_.control(at))
      for (const auto& resource : control->proposer().state().resources)
        if (resource.kind == kind && resource.name == name)
          return resource.version;
    return 0;
  }

  // --- what fails -------------------------------------------------------------------------------------
  void kill_edge() { down_for(pick(edges_), false, hold_); }
  void kill_data() { down_for(pick(datas_), false, hold_); }
  void kill_core() { down_for(pick(cores_), random_.chance(0.5), hold_); }
  void kill_master() { down_for(fleet_.master(), false, hold_); }
  void kill_many() {
    auto list = all();
    for (std::int64_t i = 2 + random_.below(8); i > 0; --i)
      down_for(pick(list), random_.chance(0.5), hold_ + random_.below(1500));
  }
  void lose_zone() {
    std::string zone = pick_zone();
    note("zone " + zone + " loses power for " + std::to_string(hold_));
    for (const auto& name : of_zone(zone))
      down_for(name, true, hold_);
    for (const auto& runner : runners_)
      if (fleet_.runner(runner).zone == zone) {
        fleet_.kill_runner(runner);
        fleet_.later(hold_, [this, runner] { fleet_.start_runner(runner); });
      }
  }
  void lose_region() {
    bool is_south = random_.chance(0.5);
    note(std::string("region ") + (is_south ? "south" : "north") + " loses power for " + std::to_string(hold_));
    for (const std::string zone : {"a", "b", "c"})
      if ((zone == "c") == is_south)
        for (const auto& name : of_zone(zone))
          down_for(name, true, hold_);
    for (const auto& runner : runners_)
      if ((fleet_.runner(runner).zone == "c") == is_south) {
        fleet_.kill_runner(runner);
        fleet_.later(hold_, [this, runner] { fleet_.start_runner(runner); });
      }
  }
  void lose_all() {
    note("total loss for " + std::to_string(hold_));
    for (const auto& name : all())
      down_for(name, true, hold_ + random_.below(300));
  }
  void freeze_one() {
    std::string name = random_.chance(0.35) ? fleet_.master() : pick(all());
    if (name.empty() || !fleet_.is_running(name))
      return;
    note("freeze " + name);
    fleet_.freeze(name);
    fleet_.later(hold_, [this, name, fault = current_] {
      result_.bites[fault] += fleet_.held_while_frozen(name) > 0;
      fleet_.thaw(name);
    });
  }
  void isolate_one() {
    std::string name = random_.chance(0.3) ? fleet_.master() : pick(all());
    if (name.empty())
      return;
    note("isolate " + name);
    auto others = all();
    others.insert(others.end(), runners_.begin(), runners_.end());
    cut_pairs({name}, others);
  }
  void cut_from_core() {
    std::string name = random_.chance(0.3) ? fleet_.master() : pick(random_.chance(0.5) ? edges_ : datas_);
    if (name.empty())
      return;
    note("cut " + name + " from the core");
    cut_pairs({name}, cores_);
  }
  void cut_from_edge() {
    std::string name = pick(random_.chance(0.5) ? cores_ : datas_);
    note("cut " + name + " from the edge");
    cut_pairs({name}, edges_);
  }
  void cut_from_runners() {
    std::string name = pick(datas_);
    note("cut " + name + " from runners");
    std::vector<std::string> some;
    for (const auto& runner : runners_)
      if (random_.chance(0.5))
        some.push_back(runner);
    for (const auto& runner : some)
      fleet_.cut_both(name, runner);
    fleet_.later(hold_, [this, name, some] {
      for (const auto& runner : some)
        fleet_.repair_both(name, runner);
    });
    bit(!some.empty());
  }
  void one_way_cuts() {
    std::vector<std::string> ones, others;
    for (int i = 0; i < 3; ++i) {
      ones.push_back(pick(random_.chance(0.5) ? edges_ : cores_));
      others.push_back(pick(all()));
    }
    cut_pairs(ones, others, true);
  }
  void cut_zone() {
    std::string zone = pick_zone();
    note("cut off zone " + zone);
    std::vector<std::string> inside = of_zone(zone), outside;
    for (const auto& name : all())
      if (fleet_.zone(name) != zone)
        outside.push_back(name);
    cut_pairs(inside, outside, random_.chance(0.2));
  }
  void split_core() {
    note("core split");
    cut_pairs({cores_[0]}, {cores_[1], cores_[2]}, random_.chance(0.3));
    if (random_.chance(0.4))
      cut_pairs({cores_[1]}, {cores_[2]});
  }
  void cut_off_core() {
    note("core cut off");
    std::vector<std::string> edge_side = edges_;
    edge_side.insert(edge_side.end(), datas_.begin(), datas_.end());
    std::vector<std::string> some = cores_;
    if (random_.chance(0.4))
      some.pop_back();
    cut_pairs(some, edge_side);
  }
  void lose_messages() {
    fleet_.network().loss = 0.05 + 0.01 * static_cast<double>(random_.below(20));
    end_with([this] { return fleet_.network().lost(); }, [this] { fleet_.network().loss = 0; });
  }
  void delay_messages() {
    fleet_.network().extra_delay = 20 + random_.below(300);
    end_with([this] { return fleet_.network().delayed(); }, [this] { fleet_.network().extra_delay = 0; });
  }
  void break_disk() {
    std::string core = pick(cores_);
    auto disk = static_cast<Disk>(1 + random_.below(4));
    note("disk " + std::to_string(static_cast<int>(disk)) + " at " + core);
    fleet_.set_disk(core, disk);
    end_with([this] { return fleet_.disk_bites(); },
             [this, core] {
               fleet_.set_disk(core, Disk::good);
               back(core);
             });
  }
  void wipe_core() {
    if (!may_lose_disk())
      return;
    lost_core_ = pick(cores_);
    note("wipe " + lost_core_);
    fleet_.power_cut(lost_core_);
    fleet_.wipe(lost_core_);
    bit();
    fleet_.later(hold_, [this, name = lost_core_] { back(name); });
  }
  void move_core() {
    if (!may_lose_disk())
      return;
    std::string old = pick(cores_);
    // A daemon that starts anew knows three seeds; when all were replaced and nobody remembers it, only new
    // settings help (docs/operators.md). One seed stays.
    if (old.size() == 2 &&
        std::count_if(cores_.begin(), cores_.end(), [](const auto& core) { return core.size() == 2; }) == 1)
      return;
    std::string fresh = fleet_.add_core(fleet_.zone(old));
    lost_core_ = fresh;
    note("core machine " + old + " is lost for good; " + fresh + " comes instead");
    gone_.push_back(old);
    fleet_.power_cut(old);
    *std::find(cores_.begin(), cores_.end(), old) = fresh;
    replace_until_done(old, fresh);
  }
  void replace_until_done(const std::string& old, const std::string& fresh) {
    fleet_.later(700, [this, old, fresh] {
      if (is_admitted(fresh))
        return bit();
      replacing_ = fleet_.replace_core(pick(edges_), old, fresh);
      replace_until_done(old, fresh);
    });
  }
  void move_edges() {
    for (std::int64_t i = 1 + random_.below(4); i > 0; --i) {
      std::size_t at = static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(edges_.size())));
      std::string old = edges_[at];
      gone_.push_back(old);
      fleet_.kill(old);
      edges_[at] = fleet_.add_edge(fleet_.zone(old));
      note("edge daemon " + old + " is gone, " + edges_[at] + " comes instead");
      bit();
    }
  }
  void leap_clocks() {
    std::string name = pick(all());
    std::int64_t ms = 500 + random_.below(60000);
    note("clock of " + name + " leaps by " + std::to_string(ms));
    bit(fleet_.is_running(name));
    fleet_.leap_clock(name, ms);
    fleet_.leap_wall_clock(pick(all()), random_.below(7200) - 3600);
  }
  void skew_clocks() {
    for (int i = 0; i < 4; ++i) {
      std::string name = pick(all());
      bit(fleet_.is_running(name));
      fleet_.set_clock_rate(name, 990 + random_.below(21));
    }
  }
  void runner_warming_up() {
    std::string runner = pick(runners_);
    bit(fleet_.runner(runner).is_up);
    fleet_.kill_runner(runner);
    fleet_.later(hold_ / 3, [this, runner] { fleet_.start_runner(runner); });
  }
  void runner_hangs() {
    std::string runner = pick(runners_);
    bit(fleet_.runner(runner).running > 0);
    fleet_.hang_runner(runner);
    fleet_.later(hold_, [this, runner] { fleet_.start_runner(runner); });
  }
  void runner_flaps() {
    std::string runner = pick(runners_);
    for (int i = 0; i < 5; ++i)
      fleet_.later(std::int64_t{400} * i, [this, runner] { fleet_.start_runner(runner); });
    bit();
  }
  void runners_replaced() {
    std::vector<std::string> models;
    for (const auto& runner : runners_)
      if (runner[0] == 'm')
        models.push_back(runner);
    for (std::size_t i = 0; i < models.size(); ++i)
      fleet_.later(static_cast<std::int64_t>(i) * 600, [this, runner = models[i]] { fleet_.start_runner(runner); });
    bit();
  }
  void runner_pulled() {
    std::string runner = pick(runners_);
    note(runner + " is marked and pulled");
    edit("patch", runners_kind, runner, R"({"leaving":true})");
    std::int64_t grace = 300 + random_.below(1500);
    fleet_.later(grace, [this, runner, fault = current_] {
      result_.bites[fault] += fleet_.runner(runner).running > 0;
      fleet_.kill_runner(runner);
    });
    fleet_.later(grace + 1500, [this, runner] {
      fleet_.start_runner(runner);
      edit("patch", runners_kind, runner, R"({"leaving":false})");
    });
  }
  void runners_of_region() {
    bool is_south = random_.chance(0.5);
    for (const auto& runner : runners_)
      if ((fleet_.runner(runner).zone == "c") == is_south)
        fleet_.start_runner(runner);
    bit();
  }
  void crowd_comes() {
    double rate = fleet_.crowd().rate;
    fleet_.crowd().rate = plan_.shape.calls_per_second * static_cast<double>(2 + random_.below(4));
    note("crowd");
    bit(fleet_.crowd().rate != rate);
    fleet_.later(hold_, [this] { fleet_.crowd().rate = plan_.shape.calls_per_second; });
  }
  void mix_swings() {
    fleet_.crowd().long_share = random_.chance(0.5) ? 0.5 : 0.0;
    bit();
    fleet_.later(hold_, [this] { fleet_.crowd().long_share = 0.05; });
  }
  void callers_move() {
    fleet_.crowd().south_share = random_.chance(0.5) ? 0.9 : 0.05;
    bit();
    fleet_.later(hold_, [this] { fleet_.crowd().south_share = -1; });
  }
  void rival_edits() {
    std::string one = pick(edges_), other = pick(edges_);
    std::int64_t version = version_seen(one, plans_kind, "check");
    note("rival edits at version " + std::to_string(version));
    auto first = fleet_.edit(one, "put", plans_kind, "check", check_variants[random_.below(3)], version);
    auto second = fleet_.edit(other, "patch", plans_kind, "check",
                              R"({"horizon_ms":)" + std::to_string(3000 + random_.below(2000)) + "}", version);
    edits_.push_back(first);
    edits_.push_back(second);
    end_with([first, second] { return std::int64_t{first->code == 412 || second->code == 412}; }, [] {});
  }
  void quick_edits() {
    for (int i = 0; i < 5; ++i)
      fleet_.later(std::int64_t{60} * i, [this] {
        edit("patch", plans_kind, "check", R"({"horizon_ms":)" + std::to_string(3000 + random_.below(2000)) + "}");
      });
    bit();
  }
  void bad_edits() {
    edit("put", plans_kind, "check", check_variants[3 + random_.below(2)]);
    end_with([edit = edits_.back()] { return std::int64_t{edit->code == 422}; }, [] {});
  }
  void plan_comes_and_goes() {
    if (random_.chance(0.5))
      edit("put", plans_kind, "extra",
           R"({"service":"s","match":{"path":"/extra"},"pool":"models","horizon_ms":)" +
               std::to_string(1000 + random_.below(2000)) + "}");
    else
      edit("delete", plans_kind, "extra", "");
    bit();
  }
  void runner_marks() {
    edit("patch", runners_kind, pick(runners_), random_.chance(0.5) ? R"({"leaving":true})" : R"({"leaving":false})");
    bit();
  }
  void zone_orders() {
    edit("put", orders_kind, pick_zone(), random_.chance(0.4) ? R"({"state":"emptied"})" : R"({"state":"serving"})");
    bit();
  }
  void reads() {
    for (int i = 0; i < 4; ++i)
      fleet_.later(random_.below(400), [this] { fleet_.read(pick_control()); });
    bit();
  }
  void rolling_restart() {
    const auto& list = random_.chance(0.5) ? datas_ : edges_;
    note("rolling restart");
    for (std::size_t i = 0; i < list.size(); ++i)
      fleet_.later(static_cast<std::int64_t>(i) * 700, [this, name = list[i]] {
        if (std::find(gone_.begin(), gone_.end(), name) != gone_.end())
          return;
        fleet_.stop(name);
        restart_when_down(name);
      });
    bit();
  }

  void restart_when_down(const std::string& name) {
    fleet_.later(300, [this, name] { fleet_.is_up(name) ? restart_when_down(name) : back(name); });
  }
  void bring_about(const Fault& fault) {
    current_ = fault.name;
    ++result_.tried[current_];
    note(current_);
    (this->*fault.act)();
  }
  void look_after_core() {
    if (!lost_core_.empty() && fleet_.is_running(lost_core_) && is_admitted(lost_core_))
      lost_core_.clear();
  }
  void fail(const std::string& rule, const std::string& detail = "") {
    result_.breaks.push_back({fleet_.now(), rule, detail.empty() ? fleet_.why_silent() : detail});
  }
  void last_fault();
  void after_the_day();
  void judge_operators_calls();

  ScenarioPlan plan_;
  FleetSimulation fleet_;
  RandomGenerator random_;
  FaultInjectionResult result_;
  std::ostringstream story_;
  std::vector<std::string> edges_, datas_, cores_, runners_, gone_;
  std::vector<std::shared_ptr<FleetSimulation::EditOutcome>> edits_;
  std::shared_ptr<FleetSimulation::EditOutcome> replacing_;
  std::string lost_core_, current_;
  std::int64_t hold_ = 0;
};

const std::vector<RandomScenario::Fault>& RandomScenario::table() {
  using Day = RandomScenario;
  static const std::vector<Fault> faults{{"edge daemon killed", 2, &Day::kill_edge},
                                         {"data daemon killed", 2, &Day::kill_data},
                                         {"core daemon killed", 2, &Day::kill_core},
                                         {"master killed", 3, &Day::kill_master},
                                         {"many killed at once", 2, &Day::kill_many},
                                         {"zone lost", 2, &Day::lose_zone},
                                         {"region lost", 1, &Day::lose_region},
                                         {"total loss", 1, &Day::lose_all},
                                         {"machine frozen", 3, &Day::freeze_one},
                                         {"machine cut off", 3, &Day::isolate_one},
                                         {"machine cut off from the core", 2, &Day::cut_from_core},
                                         {"machine cut off from the edge", 2, &Day::cut_from_edge},
                                         {"data daemon cut off from runners", 2, &Day::cut_from_runners},
                                         {"one-way cuts", 2, &Day::one_way_cuts},
                                         {"zone cut off", 2, &Day::cut_zone},
                                         {"core split", 2, &Day::split_core},
                                         {"core cut off", 2, &Day::cut_off_core},
                                         {"messages lost", 2, &Day::lose_messages},
                                         {"messages delayed", 2, &Day::delay_messages},
                                         {"disk slow, stalled, full or failing", 4, &Day::break_disk},
                                         {"core machine wiped", 2, &Day::wipe_core},
                                         {"core machine replaced at a new address", 2, &Day::move_core},
                                         {"edge daemons back at new addresses", 1, &Day::move_edges},
                                         {"clocks leap", 2, &Day::leap_clocks},
                                         {"clocks fast or slow", 1, &Day::skew_clocks},
                                         {"runner back cold", 2, &Day::runner_warming_up},
                                         {"runner hangs", 2, &Day::runner_hangs},
                                         {"runner flaps", 1, &Day::runner_flaps},
                                         {"runners replaced one by one", 1, &Day::runners_replaced},
                                         {"runner pulled at short notice", 3, &Day::runner_pulled},
                                         {"a region's runners back cold", 1, &Day::runners_of_region},
                                         {"crowd", 2, &Day::crowd_comes},
                                         {"mix swings", 2, &Day::mix_swings},
                                         {"callers move", 2, &Day::callers_move},
                                         {"rival edits", 5, &Day::rival_edits},
                                         {"edits in quick succession", 3, &Day::quick_edits},
                                         {"invalid edits", 2, &Day::bad_edits},
                                         {"plan created and deleted", 3, &Day::plan_comes_and_goes},
                                         {"runner marked", 4, &Day::runner_marks},
                                         {"zone ordered", 3, &Day::zone_orders},
                                         {"reads", 4, &Day::reads},
                                         {"rolling restart", 1, &Day::rolling_restart}};
  return faults;
}

FaultInjectionResult RandomScenario::run() {
  fleet_.wall_seconds = 1796173200;
  if (!fleet_.found() || !fleet_.declare()) {
    fail("the fleet did not come up");
    return std::move(result_);
  }
  if (plan_.plant)
    plan_.plant(fleet_);
  edges_ = fleet_.names("edge");
  datas_ = fleet_.names("data");
  cores_ = fleet_.names("core");
  runners_ = fleet_.runner_names();
  int weights = 0;
  for (const auto& fault : table())
    weights += fault.weight;
  if (!plan_.only.empty()) {
    fleet_.run(Duration{9000});  // no start any more: what one fault costs a fleet that has settled
    fleet_.reset_tally();
  }
  std::int64_t end = fleet_.now() + plan_.length.value;
  while (fleet_.now() < end) {
    if (!plan_.only.empty()) {
      hold_ = 5000;
      for (const auto& fault : table())
        if (fault.name == plan_.only)
          bring_about(fault);
      fleet_.run(Duration{10000});
      look_after_core();
      continue;
    }
    // Alone, or up to three at the same moment.
    for (std::int64_t together = random_.chance(0.3) ? 2 + random_.below(2) : 1; together > 0; --together) {
      hold_ = 300 + random_.below(random_.chance(0.15) ? 12000 : 3500);
      std::int64_t at = random_.below(weights);
      for (const auto& fault : table())
        if ((at -= fault.weight) < 0) {
          bring_about(fault);
          break;
        }
    }
    fleet_.run(Duration{100 + random_.below(1800)});
    look_after_core();
  }
  result_.tally = fleet_.tally();
  after_the_day();
  judge_operators_calls();
  for (const auto& edit : edits_) {
    if (edit->code == 200 || edit->code == 201)
      ++result_.acked;
    else if (edit->code == 504 || !edit->is_over)
      ++result_.unknown;
    else
      ++result_.refused;
  }
  for (const auto& broken : fleet_.breaks())
    result_.breaks.push_back(broken);
  auto figures = fleet_.figures();
  story_ << "acked " << result_.acked << " refused " << result_.refused << " unknown " << result_.unknown
         << " worst old plan " << figures.worst_old_plan_ms << " worst leaving " << figures.worst_leaving_ms
         << ", from the ask " << figures.worst_notification_ms << ", retries " << figures.retries << " of "
         << figures.sends << ", reads " << fleet_.watch().reads() << "\n";
  result_.story = story_.str();
  return std::move(result_);
}

// Of the whole day: the fleet's trace and what became of the calls and edits.
std::string RandomScenario::trace_digest(const FaultInjectionResult& result) {
  std::string fleet_digest = fleet_.trace_digest();
  if (fleet_digest.empty())
    return "";
  TraceDigest day;
  day.record(TraceEvent::totals, fleet_.now(), fleet_digest, result.acked, result.refused, result.unknown,
             result.breaks.size());
  const CallTally& calls = result.tally;
  day.record(TraceEvent::totals, fleet_.now(), calls.asked, calls.served, calls.refused, calls.refused_no_grant,
             calls.unknown, calls.no_daemon, calls.misdirected, calls.avoidable);
  std::vector<std::int64_t> by_reason;  // sorted by number, since the reasons' wording may change
  for (const auto& [reason, number] : calls.reasons)
    by_reason.push_back(number);
  std::sort(by_reason.begin(), by_reason.end());
  for (std::int64_t number : by_reason)
    day.record(TraceEvent::totals, fleet_.now(), number);
  for (const auto& fault : table())
    day.record(TraceEvent::totals, fleet_.now(), result.tried.count(fault.name) ? result.tried.at(fault.name) : 0,
               result.bites.count(fault.name) ? result.bites.at(fault.name) : 0);
  return day.digest();
}

// What began in the day has ended; then one more fault, and only the machines it took come back.
void RandomScenario::last_fault() {
  hold_ = 1000 + random_.below(2000);
  static const std::vector<Fault> last{{"last: total loss", 3, &RandomScenario::lose_all},
                                       {"last: zone lost", 2, &RandomScenario::lose_zone},
                                       {"last: region lost", 1, &RandomScenario::lose_region},
                                       {"last: master killed", 2, &RandomScenario::kill_master},
                                       {"last: many killed", 2, &RandomScenario::kill_many},
                                       {"last: core machine wiped", 1, &RandomScenario::wipe_core}};
  std::int64_t at = random_.below(11);
  for (const auto& fault : last)
    if ((at -= fault.weight) < 0) {
      bring_about(fault);
      break;
    }
  fleet_.run(Duration{hold_ + 1600});
}

void RandomScenario::after_the_day() {
  note("the day ends");
  fleet_.run(Duration{13000});  // the longest fault is over; nothing is mended by hand
  look_after_core();
  last_fault();
  std::size_t wanted = datas_.size();
  bool is_serving = fleet_.run_until(
      [&] { return !fleet_.master().empty() && fleet_.serving_daemons() == static_cast<std::int64_t>(wanted); },
      Duration{12000});
  if (!is_serving)
    return fail("service did not return within 12 s");
  for (const std::string zone : {"a", "b", "c"})
    if (!fleet_.edit_until_done("put", orders_kind, zone, R"({"state":"serving"})", Duration{45000}))
      return fail("no edit was taken after the day");
  for (const auto& runner : runners_)
    fleet_.edit_until_done("patch", runners_kind, runner, R"({"leaving":false})", Duration{45000});
  fleet_.run(Duration{4000});
  fleet_.reset_tally();
  fleet_.run(Duration{3000});
  const auto& peace = fleet_.tally();
  std::int64_t turned_away = peace.refused + peace.refused_no_grant + peace.unknown + peace.no_daemon;
  if (turned_away * 50 > peace.asked || peace.served * 2 < peace.asked) {
    std::string reasons;
    for (const auto& [reason, number] : peace.reasons)
      reasons += ", " + std::to_string(number) + " " + reason;
    fail("calls are not served after the day",
         std::to_string(turned_away) + " of " + std::to_string(peace.asked) + " turned away" + reasons);
  }
  if (!fleet_.compare_holdings())
    fail("the register can't be read after the day");
}

// Whether some order of all that operators asked and read explains what they were told.
void RandomScenario::judge_operators_calls() {
  history::HistoryVerdict verdict = history::check_history(fleet_.operators_calls());
  if (verdict.verdict == history::Verdict::not_linearizable)
    fail("the operators' calls are not linearizable", history::report(verdict));
  if (verdict.verdict == history::Verdict::undecided)
    fail("the operators' calls can't be judged", history::report(verdict));
  note(history::report(verdict));
}

}  // namespace

std::vector<std::string> random_scenario_faults() {
  std::vector<std::string> names;
  for (const auto& fault : RandomScenario::table())
    names.push_back(fault.name);
  return names;
}

FaultInjectionResult run_random_scenario(std::uint64_t seed, const ScenarioPlan& plan) {
  RandomScenario day(seed, plan);
  FaultInjectionResult result = day.run();
  result.trace_digest = day.trace_digest(result);
  return result;
}

}  // namespace emberdale
