#include "emberdale/fault_injection.hpp"

#include <algorithm>
#include <sstream>

namespace emberdale {
namespace {

using Disk = FleetSimulation::Disk;

constexpr Duration recovery_limit{12000};
constexpr Duration edit_limit{20000};
// Retries may take this share of all sends, and a constant number beside it.
constexpr double retry_share = 0.2, retry_allowance = 60;

constexpr std::int64_t plan_variant_count = 3;
const char* const plan_variants[plan_variant_count] = {
    R"({"service":"s","match":{"path":"/check"},"pool":"models","spill":{"allowed":true},"horizon_ms":5000,)"
    R"("prefix_bytes":64})",
    R"({"service":"s","match":{"path":"/check"},"pool":"models","spill":{"allowed":true,"limit_percent":20},)"
    R"("horizon_ms":4000,"prefix_bytes":32})",
    R"({"service":"s","match":{"path":"/check"},"pool":"models","horizon_ms":4500,"prefix_bytes":16})"};

SimulationShape lightly_loaded_shape() {
  SimulationShape shape;
  shape.calls_per_second = 30;
  return shape;
}

// One run of fault injection: the faults, then the recovery.
class FaultInjection {
 public:
  FaultInjection(std::uint64_t seed, bool is_grant_check_off)
      : fleet_(seed, lightly_loaded_shape()), random_(seed * 77 + 5) {
    fleet_.is_grant_check_off = is_grant_check_off;
  }

  FaultInjectionResult run(Duration length);

 private:
  using Names = std::vector<std::string>;

  const std::string& pick(const Names& list) {
    return list[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(list.size())))];
  }
  void log(const std::string& what) { event_log_ << fleet_.now() << " " << what << " for " << fault_duration_ << "\n"; }
  void fail(const std::string& rule) {
    result_.violations.push_back({fleet_.now(), rule, fleet_.why_silent()});
    result_.event_log = event_log_.str();
  }
  void take_down(const std::string& name, bool is_power);
  void inject_fault();

  // --- faults ---
  void kill_master();
  void freeze_one();
  void isolate_one();
  void cut_one_way();
  void cut_off_zone();
  void fail_disk();
  void wipe_core();
  void restart_runner();
  void mark_runner();
  void order_zone();
  void make_rival_edits();
  void lose_messages();

  // --- after the faults ---
  void check_wiped_core();
  void repair_all();
  void check_recovery();
  void check_calls();
  void finish_result();

  FleetSimulation fleet_;
  RandomGenerator random_;  // of the faults; the fleet has its own
  FaultInjectionResult result_;
  std::ostringstream event_log_;
  Names edges_, data_daemons_, cores_, runners_;
  std::vector<std::shared_ptr<FleetSimulation::EditOutcome>> edits_;
  std::string wiped_core_;           // at most one core machine is without its old disk at a time; empty: none
  std::int64_t fault_duration_ = 0;  // virtual milliseconds of the fault that is injected now
};

FaultInjectionResult FaultInjection::run(Duration length) {
  if (!fleet_.found() || !fleet_.declare()) {
    fail("the fleet did not come up");
    return std::move(result_);
  }
  edges_ = fleet_.names("edge");
  data_daemons_ = fleet_.names("data");
  cores_ = fleet_.names("core");
  runners_ = fleet_.runner_names();
  std::int64_t end = fleet_.now() + length.value;
  while (fleet_.now() < end) {
    fault_duration_ = 300 + random_.below(3500);
    inject_fault();
    fleet_.run(Duration{100 + random_.below(1800)});
    check_wiped_core();
  }
  event_log_ << fleet_.now() << " peace\n";
  repair_all();
  check_recovery();
  finish_result();
  return std::move(result_);
}

// The numbers of the faults are part of what a seed means: they stay.
void FaultInjection::inject_fault() {
  switch (random_.below(17)) {
    case 0:
      return take_down(pick(edges_), false);
    case 1:
      return take_down(pick(data_daemons_), false);
    case 2:
      return take_down(pick(cores_), random_.chance(0.5));
    case 3:
      return kill_master();
    case 4:
      return freeze_one();
    case 5:
      return isolate_one();
    case 6:
      return cut_one_way();
    case 7:
      return cut_off_zone();
    case 8:
      return fail_disk();
    case 9:
      return wipe_core();
    case 10:
      return restart_runner();
    case 11:
      return mark_runner();
    case 12:
      return order_zone();
    case 13:
    case 14:
    case 15:
      return make_rival_edits();
    case 16:
      return lose_messages();
  }
}

void FaultInjection::take_down(const std::string& name, bool is_power) {
  log((is_power ? "power cut " : "kill ") + name);
  if (is_power)
    fleet_.power_cut(name);
  else
    fleet_.kill(name);
  fleet_.later(fault_duration_, [this, name] { fleet_.start(name); });
}

void FaultInjection::kill_master() {
  std::string master = fleet_.master();
  if (!master.empty())
    take_down(master, false);
}

void FaultInjection::freeze_one() {
  std::string name = random_.chance(0.4) ? fleet_.master() : pick(random_.chance(0.5) ? edges_ : data_daemons_);
  if (name.empty())
    return;
  log("freeze " + name);
  fleet_.freeze(name);
  fleet_.later(fault_duration_, [this, name] { fleet_.thaw(name); });
}

void FaultInjection::isolate_one() {
  std::string name = random_.chance(0.3) ? fleet_.master()
                                         : pick(random_.chance(0.4)   ? cores_
                                                : random_.chance(0.5) ? edges_
                                                                      : data_daemons_);
  if (name.empty())
    return;
  log("isolate " + name);
  fleet_.isolate(name);
  fleet_.later(fault_duration_, [this] { fleet_.heal(); });
}

void FaultInjection::cut_one_way() {
  log("one-way cuts");
  for (int i = 0; i < 6; ++i)
    fleet_.cut(pick(random_.chance(0.5) ? edges_ : cores_), pick(random_.chance(0.5) ? edges_ : data_daemons_));
  fleet_.later(fault_duration_, [this] { fleet_.heal(); });
}

void FaultInjection::cut_off_zone() {
  std::string zone = pick({"a", "b", "c"});
  log("cut off zone " + zone);
  for (const auto& senders : {edges_, data_daemons_, cores_})
    for (const auto& sender : senders)
      for (const auto& receivers : {edges_, data_daemons_, cores_})
        for (const auto& receiver : receivers)
          if ((sender.substr(0, 1) == zone) != (receiver.substr(0, 1) == zone))
            fleet_.cut(sender, receiver);
  fleet_.later(fault_duration_, [this] { fleet_.heal(); });
}

void FaultInjection::fail_disk() {
  std::string core = pick(cores_);
  auto disk = static_cast<Disk>(1 + random_.below(4));
  log("disk " + std::to_string(static_cast<int>(disk)) + " at " + core);
  fleet_.set_disk(core, disk);
  fleet_.later(fault_duration_, [this, core] {
    fleet_.set_disk(core, Disk::good);
    if (!fleet_.is_running(core))
      fleet_.start(core);
  });
}

// The disk of one machine may be lost; the next only once the set of replicas is complete again.
void FaultInjection::wipe_core() {
  if (!wiped_core_.empty() ||
      std::any_of(cores_.begin(), cores_.end(), [&](const auto& core) { return !fleet_.is_running(core); }))
    return;
  wiped_core_ = pick(cores_);
  log("wipe " + wiped_core_);
  fleet_.power_cut(wiped_core_);
  fleet_.wipe(wiped_core_);
  fleet_.later(fault_duration_, [this, name = wiped_core_] { fleet_.start(name); });
}

void FaultInjection::restart_runner() {
  std::string runner = pick(runners_);
  log("runner back cold " + runner);
  fleet_.kill_runner(runner);
  fleet_.later(fault_duration_ / 3, [this, runner] { fleet_.start_runner(runner); });
}

void FaultInjection::mark_runner() {
  std::string runner = pick(runners_);
  bool is_leaving = random_.chance(0.5);
  log(runner + (is_leaving ? " leaving" : " staying"));
  edits_.push_back(fleet_.edit(pick(edges_), "patch", runners_kind, runner,
                               is_leaving ? R"({"leaving":true})" : R"({"leaving":false})"));
}

void FaultInjection::order_zone() {
  std::string zone = pick({"a", "b", "c"});
  bool is_evacuated = random_.chance(0.4);
  log("zone " + zone + (is_evacuated ? " emptied" : " serving"));
  edits_.push_back(fleet_.edit(pick(cores_), "put", orders_kind, zone,
                               is_evacuated ? R"({"state":"emptied"})" : R"({"state":"serving"})"));
}

// Two operators edit at once, on the version that both have read.
void FaultInjection::make_rival_edits() {
  std::string one = pick(edges_), other = pick(edges_);
  std::int64_t version = 1;
  if (auto* control = fleet_.control(one))
    for (const auto& resource : control->proposer().state().resources)
      if (resource.kind == plans_kind && resource.name == "check")
        version = resource.version;
  log("rival edits at version " + std::to_string(version));
  for (const auto& edge : {one, other})
    edits_.push_back(
        fleet_.edit(edge, "put", plans_kind, "check", plan_variants[random_.below(plan_variant_count)], version));
}

void FaultInjection::lose_messages() {
  log("messages lost");
  fleet_.set_loss(0.15);
  fleet_.later(fault_duration_, [this] { fleet_.set_loss(0); });
}

// The wiped machine is a replica again once the register names its new store.
void FaultInjection::check_wiped_core() {
  if (wiped_core_.empty() || !fleet_.is_running(wiped_core_) || fleet_.control(wiped_core_) == nullptr)
    return;
  const ControlDaemon& control = *fleet_.control(wiped_core_);
  const auto* acceptor = control.acceptor();
  if (acceptor == nullptr || acceptor->is_blank())
    return;
  const auto& members = control.proposer().state().acceptors;
  if (std::any_of(members.begin(), members.end(),
                  [&](const AcceptorEntry& entry) { return entry.store == acceptor->store(); }))
    wiped_core_.clear();
}

void FaultInjection::repair_all() {
  fleet_.run(Duration{4000});
  fleet_.heal();
  fleet_.set_loss(0);
  for (const auto& core : cores_)
    fleet_.set_disk(core, Disk::good);
  for (const auto& list : {edges_, data_daemons_, cores_})
    for (const auto& name : list) {
      fleet_.thaw(name);
      fleet_.start(name);
    }
  for (const auto& runner : runners_)
    fleet_.start_runner(runner);
}

// Once everything is repaired the fleet has to serve calls and to take edits again.
void FaultInjection::check_recovery() {
  auto wanted = static_cast<std::int64_t>(data_daemons_.size());
  bool is_serving =
      fleet_.run_until([&] { return !fleet_.master().empty() && fleet_.serving_daemons() == wanted; }, recovery_limit);
  if (!is_serving)
    fail("service did not return within 12 s of peace");
  for (const std::string zone : {"a", "b", "c"})
    if (!fleet_.edit_until_done("put", orders_kind, zone, R"({"state":"serving"})", edit_limit)) {
      fail("no edit was taken after peace");
      break;
    }
  for (const auto& runner : runners_)
    fleet_.edit_until_done("patch", runners_kind, runner, R"({"leaving":false})", edit_limit);
  check_calls();
}

void FaultInjection::check_calls() {
  fleet_.run(Duration{4000});
  fleet_.reset_call_counters();
  fleet_.run(Duration{3000});
  result_.calls = fleet_.call_counters();
  if (result_.calls.served * 10 < result_.calls.arrived * 8)
    fail("calls are not served after peace: " + std::to_string(result_.calls.served) + " of " +
         std::to_string(result_.calls.arrived));
}

void FaultInjection::finish_result() {
  result_.count_edits(edits_);
  for (const auto& violation : fleet_.violations())
    result_.violations.push_back(violation);
  auto figures = fleet_.figures();
  double allowed = retry_share * static_cast<double>(figures.sends) + retry_allowance;
  if (static_cast<double>(figures.retries) > allowed)
    result_.violations.push_back(
        {fleet_.now(), "too many retries", std::to_string(figures.retries) + " of " + std::to_string(figures.sends)});
  event_log_ << "acked " << result_.acknowledged_edits << " refused " << result_.refused_edits << " unknown "
             << result_.unknown_edits << " worst old plan " << figures.worst_old_plan_ms << " worst leaving "
             << figures.worst_leaving_ms << " cold over " << figures.warmup_peak_over << " retries " << figures.retries
             << " of " << figures.sends << "\n";
  result_.event_log = event_log_.str();
}

}  // namespace

void FaultInjectionResult::count_edits(const std::vector<std::shared_ptr<FleetSimulation::EditOutcome>>& edits) {
  for (const auto& edit : edits) {
    if (edit->code == 200 || edit->code == 201)
      ++acknowledged_edits;
    else if (edit->code == 504 || !edit->is_finished)
      ++unknown_edits;
    else
      ++refused_edits;
  }
}

FaultInjectionResult run_fault_injection(std::uint64_t seed, Duration length, bool is_grant_check_off) {
  return FaultInjection(seed, is_grant_check_off).run(length);
}

}  // namespace emberdale
