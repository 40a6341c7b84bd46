// Everything the call dispatcher does on seeded random walks, as one digest. A refactoring leaves the digest as it is;
// a change of behaviour gives a new golden value, and its commit says which behaviour changed.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "emberdale/call_dispatcher.hpp"
#include "emberdale/content_digest.hpp"

namespace emberdale {
namespace {

constexpr std::uint64_t walk_count = 60;
constexpr int steps_per_walk = 3000;
constexpr const char* golden_digest = "21f08bb9067d925cf10c20cc82cd4167489c72f0661cd17802fd9327b7bb317f";

const std::vector<std::string> region_names{"north", "south", "west"};
const std::vector<std::string> pool_names{"p", "q"};
const std::vector<std::string> plan_names{"free", "once", "spill", "homed", "header", "prefix", "short"};

// One dispatcher of region "north" on a virtual clock, driven by a random generator; `trace` records what it does.
class RandomWalk {
 public:
  explicit RandomWalk(std::uint64_t seed) : random_(seed), dispatcher_(random_settings()) {}

  std::string run() {
    int closing_step = random_.chance(0.3) ? steps_per_walk - 200 : steps_per_walk;
    for (int step = 0; step < steps_per_walk; ++step) {
      now_ = now_ + Duration{random_.below(12)};
      if (step == closing_step)
        dispatcher_.close();
      take_step();
      record_actions();
      if (step % 50 == 0)
        record_counts();
    }
    record_counts();
    return content_digest(trace_.str());
  }

 private:
  DispatcherSettings random_settings() {
    DispatcherSettings settings;
    settings.self.text = "d0";
    settings.region.text = "north";
    settings.queue_bound = static_cast<std::size_t>(1 + random_.below(24));
    settings.retry_share = 0.05 + 0.01 * static_cast<double>(random_.below(40));
    settings.retry_bound = 1 + static_cast<double>(random_.below(8));
    return settings;
  }

  void take_step() {
    std::int64_t drawn = random_.below(100);
    if (drawn < 34)
      admit_call();
    else if (drawn < 38)
      dispatcher_.on_stream_event(pick_attempt());
    else if (drawn < 70)
      finish_attempt();
    else if (drawn < 74)
      dispatcher_.on_caller_disconnected(last_call_ - random_.below(20), now_);
    else if (drawn < 80)
      publish_view();
    else if (drawn < 84)
      renew_grant();
    else if (drawn < 85)
      now_ = now_ + Duration{random_.below(2000)};
    else
      dispatcher_.on_timer(now_);
  }

  void admit_call() {
    ArrivingCall call;
    CallIndex index = ++last_call_;
    call.id.text = "call-" + std::to_string(index);
    call.method = random_.chance(0.03) ? "GET" : "POST";
    call.path = "/" + (random_.chance(0.02) ? std::string("unknown") : pick(plan_names));
    call.prefix = "prefix-" + std::to_string(random_.below(5));
    call.body_bytes = random_.chance(0.02) ? 2 << 20 : random_.below(1000);
    if (random_.chance(0.2))
      call.deadline = Duration{1 + random_.below(2500)};
    if (random_.chance(0.9))
      call.headers["x-home"] = random_.chance(0.1) ? "nowhere" : random_.chance(0.7) ? "north" : pick(region_names);
    if (auto refusal = dispatcher_.admit(call, now_, index))
      record_final("refused", *refusal);
  }

  // An attempt that is open or was open lately; reports for attempts that have ended must change nothing.
  CallIndex pick_attempt() {
    if (known_attempts_.empty())
      return 0;
    auto recent = std::min<std::int64_t>(24, static_cast<std::int64_t>(known_attempts_.size()));
    return known_attempts_[known_attempts_.size() - 1 - static_cast<std::size_t>(random_.below(recent))];
  }

  void finish_attempt() {
    static constexpr AttemptOutcome kinds[] = {AttemptOutcome::completed, AttemptOutcome::completed,
                                               AttemptOutcome::completed, AttemptOutcome::refused,
                                               AttemptOutcome::not_sent,  AttemptOutcome::lost,
                                               AttemptOutcome::lost,      AttemptOutcome::caller_disconnected};
    static const std::vector<std::string> reasons{"no link", "link broke", "full", "draining"};
    auto position = open_.find(pick_attempt());
    if (position == open_.end())
      return;
    AttemptResult end;
    end.call = *position;
    end.outcome = kinds[random_.below(8)];
    end.reason = pick(reasons);
    end.has_report = random_.chance(0.5);
    end.incarnation = 1 + random_.below(3);
    end.load = random_.below(9);
    end.capacity = 4;
    end.is_warming_up = random_.chance(0.2);
    open_.erase(position);
    dispatcher_.on_attempt_finished(end, now_);
  }

  void renew_grant() {
    Grant grant;
    grant.until = now_ + Duration{random_.below(2500) - 200};
    grant.minimum_version = {1, last_version_ - (random_.chance(0.9) ? 0 : -1)};
    grant.warming_up_until = now_ + Duration{random_.below(3000) - 500};
    dispatcher_.set_grant(grant);
  }

  void publish_view() {
    change_runners();
    auto view = std::make_shared<RoutingView>();
    view->version = {1, ++last_version_};
    view->config_revision = last_version_ / 3;
    view->plans = random_plans();
    for (const auto& region : region_names)
      view->gateways.push_back({Address{"g-" + region}, "http-" + region, ZoneName{region + "-1"}, RegionName{region}});
    for (const auto& [name, row] : runners_) {
      view->runners[name] = row;
      view->pools[row.pool].push_back(name);
      RegionRow& region = view->regions[{row.pool, row.region}];
      region.pool = row.pool;
      region.region = row.region;
      region.capacity += row.state == RunnerState::warm ? row.capacity : 0;
    }
    dispatcher_.update_view(view, now_);
  }

  std::vector<ServingPlan> random_plans() {
    std::vector<ServingPlan> plans;
    for (const auto& name : plan_names) {
      if (random_.chance(0.03))
        continue;  // an operator has taken the plan away
      ServingPlan plan;
      plan.name.text = name;
      plan.path = "/" + name;
      plan.method = "POST";
      plan.pool.text = name == "prefix" ? "q" : "p";
      plan.home.text = name == "homed" ? "north" : "";
      plan.home_header = name == "header" ? "x-home" : "";
      plan.may_spill = name == "spill" || name == "prefix";
      plan.spill_percent = name == "spill" ? 30 : 80;
      plan.is_repeatable = name != "once";
      plan.is_streaming = name == "prefix";
      plan.deadline_ms = name == "short" ? 300 : 5000;
      plan.prefix_bytes = name == "prefix" ? 64 : 0;
      plans.push_back(plan);
    }
    return plans;
  }

  void change_runners() {
    if (runners_.size() < 3 || (runners_.size() < 14 && random_.chance(0.4)))
      add_runner();
    for (auto entry = runners_.begin(); entry != runners_.end();) {
      std::int64_t drawn = random_.below(60);
      if (drawn == 0) {
        entry = runners_.erase(entry);
        continue;
      }
      static const std::vector<RunnerState> states{
          RunnerState::warm,     RunnerState::warm,      RunnerState::warm, RunnerState::warming_up,
          RunnerState::draining, RunnerState::evacuated, RunnerState::down};
      if (drawn < 8)
        entry->second.state = states[static_cast<std::size_t>(random_.below(7))];
      if (drawn == 8)
        ++entry->second.incarnation;
      ++entry;
    }
  }

  void add_runner() {
    RunnerRow row;
    row.name.text = "r" + std::to_string(++last_runner_);
    row.http_address = row.name.text + ":80";
    row.pool.text = pick(pool_names);
    row.region.text = pick(region_names);
    row.zone.text = row.region.text + "-1";
    row.state = random_.chance(0.75) ? RunnerState::warm : RunnerState::warming_up;
    row.capacity = 1 + random_.below(6);
    row.incarnation = 1 + random_.below(2);
    row.seal_key = "key-" + row.name.text;
    row.warmup_grants = {{Address{"d1"}, 1 + random_.below(3)}, {Address{"d0"}, random_.below(4)}};
    runners_[row.name] = row;
  }

  void record_actions() {
    for (const auto& send : dispatcher_.drain_attempts()) {
      trace_ << "send " << send.call << " " << send.id.text << " " << send.runner.text << " " << send.http_address
             << " " << send.path << " " << send.method << " " << send.seal_key << " " << send.incarnation << " "
             << send.is_repeatable << send.is_streaming << send.is_retry << " " << (send.deadline - now_).value << " "
             << send.config_revision << "\n";
      known_attempts_.push_back(send.call);
      open_.insert(send.call);
    }
    for (const auto& act : dispatcher_.drain_final_responses())
      record_final("final", act);
    trace_ << dispatcher_.open_calls() << " " << dispatcher_.is_granted(now_) << " " << dispatcher_.widest_prefix()
           << "\n";
  }

  void record_final(const char* event, const FinalResponse& act) {
    trace_ << event << " " << act.call << " " << act.code << " '" << act.reason << "' " << act.may_have_run << " "
           << act.retry_after.value;
    for (const auto& home : act.homes)
      trace_ << " " << home;
    trace_ << "\n";
  }

  void record_counts() {
    const auto& counts = dispatcher_.counts();
    for (std::int64_t count :
         {counts.arrived, counts.sends, counts.retries, counts.answered, counts.refused_admission, counts.refused_full,
          counts.refused_no_grant, counts.refused_other, counts.unknown, counts.spilled, counts.misdirected,
          counts.pended, counts.warmup_sends, counts.retry_denied, counts.grant_awaited})
      trace_ << count << " ";
    trace_ << "\n";
  }

  const std::string& pick(const std::vector<std::string>& names) {
    return names[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(names.size())))];
  }

  RandomGenerator random_;
  CallDispatcher dispatcher_;
  TimePoint now_{100000};
  std::map<RunnerName, RunnerRow> runners_;
  std::vector<CallIndex> known_attempts_;
  std::set<CallIndex> open_;
  CallIndex last_call_ = 0;
  std::int64_t last_version_ = 0;
  int last_runner_ = 0;
  std::ostringstream trace_;
};

std::string digest_of_all_walks() {
  std::string digests;
  for (std::uint64_t seed = 1; seed <= walk_count; ++seed)
    digests += RandomWalk(seed).run();
  return content_digest(digests);
}

TEST(CallDispatcherDigest, ActionsAndCountersOfRandomWalksAreUnchanged) {
  EXPECT_EQ(digest_of_all_walks(), golden_digest);
}

}  // namespace
}  // namespace emberdale
