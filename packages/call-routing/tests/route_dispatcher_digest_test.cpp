// Everything the route dispatcher does on seeded random walks, as one digest. A refactoring leaves the digest as it is;
// a change of behaviour gives a new golden value, and its commit says which behaviour changed.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "emberdale/content_digest.hpp"
#include "emberdale/route_dispatcher.hpp"

namespace emberdale {
namespace {

constexpr std::uint64_t walk_count = 60;
constexpr int steps_per_walk = 3000;
constexpr const char* golden_digest = "8cbff44de7a5d1300e779e307e662db3115ea6cdfcffc20513ac34459c7d37f1";

const std::vector<std::string> region_names{"north", "south", "west"};
const std::vector<std::string> pool_names{"p", "q"};
const std::vector<std::string> route_names{"free", "once", "home", "first", "chat", "resumed", "short"};

struct OpenAttempt {
  CallIndex call = 0;
  int turn = 0;
};

// One dispatcher of zone "north-1" on a virtual clock, driven by a random generator; `trace` records what it does.
class RandomWalk {
 public:
  explicit RandomWalk(std::uint64_t seed) : random_(seed), dispatcher_(random_settings()) {}

  std::string run() {
    for (int step = 0; step < steps_per_walk; ++step) {
      now_ = now_ + Duration{random_.below(12)};
      take_step();
      record_actions();
      if (step % 50 == 0)
        record_counts();
    }
    record_counts();
    return content_digest(trace_.str());
  }

 private:
  RouteDispatcherSettings random_settings() {
    RouteDispatcherSettings settings;
    settings.self.text = "d0";
    settings.region.text = "north";
    settings.zone.text = "north-1";
    settings.queue_bound = static_cast<std::size_t>(1 + random_.below(24));
    settings.resend_share = 0.05 + 0.01 * static_cast<double>(random_.below(40));
    settings.resend_bound = 1 + static_cast<double>(random_.below(8));
    return settings;
  }

  void take_step() {
    std::int64_t drawn = random_.below(100);
    if (drawn < 34)
      admit_call();
    else if (drawn < 44)
      report_progress();
    else if (drawn < 72)
      finish_attempt();
    else if (drawn < 75)
      abandon_call();
    else if (drawn < 82)
      publish_view();
    else if (drawn < 83)
      now_ = now_ + Duration{random_.below(3000)};
    else
      run_timer();
  }

  void admit_call() {
    RoutedCall call;
    CallIndex index = ++last_call_;
    std::string route = random_.chance(0.02) ? "unknown" : pick(route_names);
    call.id.text = "call-" + std::to_string(index);
    call.host = "a.example";
    call.path = "/" + route + "/x";
    if (random_.chance(0.2))
      call.deadline = Duration{1 + random_.below(2500)};
    if (random_.chance(0.5))
      call.prompt = random_prompt();
    if (random_.chance(0.1))
      call.tokens_in = random_.below(5000);
    call.tokens_out = random_.below(300);
    if (random_.chance(0.1))
      call.resume_after = std::to_string(random_.below(9));
    if (auto refusal = dispatcher_.admit(call, now_, index))
      record_final("refused", *refusal);
  }

  std::vector<PromptPart> random_prompt() {
    std::vector<PromptPart> prompt;
    for (std::int64_t shared = random_.below(3); shared > 0; --shared)
      prompt.push_back({static_cast<std::uint64_t>(random_.below(6)), 200 + random_.below(3000)});
    prompt.push_back({static_cast<std::uint64_t>(1000 + last_call_), 1 + random_.below(200)});
    return prompt;
  }

  // An attempt that is open or was open lately: late reports must change nothing either.
  const OpenAttempt* pick_attempt() {
    if (attempts_.empty())
      return nullptr;
    auto recent = std::min<std::int64_t>(24, static_cast<std::int64_t>(attempts_.size()));
    return &attempts_[attempts_.size() - 1 - static_cast<std::size_t>(random_.below(recent))];
  }

  void report_progress() {
    const OpenAttempt* attempt = pick_attempt();
    if (attempt == nullptr)
      return;
    if (random_.chance(0.4))
      dispatcher_.answer_begun(attempt->call, attempt->turn, now_);
    else
      dispatcher_.first_piece(attempt->call, attempt->turn, now_);
  }

  void finish_attempt() {
    const OpenAttempt* attempt = pick_attempt();
    if (attempt == nullptr)
      return;
    static constexpr RoutedEndKind kinds[] = {
        RoutedEndKind::answered,          RoutedEndKind::answered, RoutedEndKind::answered, RoutedEndKind::refused,
        RoutedEndKind::wrong_incarnation, RoutedEndKind::unsent,   RoutedEndKind::lost,     RoutedEndKind::broken,
        RoutedEndKind::caller_gone};
    RoutedEnd end;
    end.call = attempt->call;
    end.turn = attempt->turn;
    end.kind = kinds[random_.below(9)];
    end.reason = "reason-" + std::to_string(random_.below(3));
    if (end.kind == RoutedEndKind::broken && random_.chance(0.8))
      end.last_event = std::to_string(random_.below(100));
    end.has_report = random_.chance(0.3);
    end.running = random_.below(12);
    end.waiting = random_.below(4);
    end.may_have_run = random_.chance(0.05);
    end.was_slow_to_connect = random_.chance(0.3);
    dispatcher_.on_attempt_finished(end, now_);
  }

  void abandon_call() { dispatcher_.caller_gone(last_call_ - random_.below(20), now_); }

  void run_timer() {
    dispatcher_.on_timer(now_);
    trace_ << "timer " << (dispatcher_.timer_next(now_) - now_).value << "\n";
  }

  void publish_view() {
    change_runners();
    auto view = std::make_shared<RoutingView>();
    view->has_routing_table = !random_.chance(0.03);
    view->routes = all_routes();
    for (const auto& [name, row] : runners_) {
      view->runners[name] = row;
      view->pools[row.pool].push_back(name);
      RegionRow& region = view->regions[{row.pool, row.region}];
      region.pool = row.pool;
      region.region = row.region;
      region.capacity += row.capacity;
    }
    if (random_.chance(0.7))
      dispatcher_.set_warming_up_until(now_ + Duration{random_.below(4000)});
    dispatcher_.see(view, now_);
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
      ++entry;
    }
  }

  void add_runner() {
    RunnerRow row;
    row.name.text = "r" + std::to_string(++last_runner_);
    row.http_address = row.name.text + ":80";
    row.pool.text = pick(pool_names);
    row.region.text = pick(region_names);
    row.zone.text = row.region.text + "-" + std::to_string(1 + random_.below(2));
    row.state = random_.chance(0.75) ? RunnerState::warm : RunnerState::warming_up;
    row.capacity = random_.chance(0.1) ? 0 : 1 + random_.below(10);
    row.warmup_grants = {{Address{"d1"}, 1 + random_.below(3)}, {Address{"d0"}, random_.below(4)}};
    runners_[row.name] = row;
  }

  std::vector<Route> all_routes() const {
    std::vector<Route> routes;
    for (const auto& name : route_names) {
      Route route;
      route.name = name;
      route.host = "a.example";
      route.path_prefix = "/" + name + "/";
      route.is_repeatable = name != "once";
      route.is_streaming = route.is_resumable = name == "chat" || name == "resumed";
      route.deadline_ms = name == "short" ? 300 : 6000;
      route.target_ms = name == "short" ? 200 : 1000;
      route.gap_ms = name == "chat" ? 400 : 0;
      route.rank = name == "first" ? 0 : 5;
      route.max_sends = name == "resumed" ? 2 : 3;
      route.pools = {{PoolName{"p"}, 3}, {PoolName{"q"}, 1}};
      if (name == "home")
        route.homes = {RegionName{"south"}};
      if (name == "resumed")
        route.homes = {RegionName{"north"}, RegionName{"west"}};
      routes.push_back(route);
    }
    return routes;
  }

  void record_actions() {
    for (const auto& stop : dispatcher_.take_stops())
      trace_ << "stop " << stop.call << " " << stop.turn << "\n";
    for (const auto& send : dispatcher_.take_sends()) {
      trace_ << "send " << send.call << " " << send.turn << " " << send.runner.text << " " << send.http << " "
             << send.is_repeatable << send.is_streaming << " " << send.rank << " " << (send.deadline - now_).value
             << " '" << send.resume_after << "'\n";
      attempts_.push_back({send.call, send.turn});
    }
    for (const auto& act : dispatcher_.take_finals())
      record_final("final", act);
    trace_ << dispatcher_.in_hand() << "\n";
  }

  void record_final(const char* event, const FinalAct& act) {
    trace_ << event << " " << act.call << " " << act.code << " '" << act.reason << "' " << act.may_have_run << " "
           << act.retry_after.value << " " << act.homes.size() << "\n";
  }

  void record_counts() {
    const auto& counts = dispatcher_.counts();
    for (std::int64_t count :
         {counts.arrived, counts.sends, counts.resends, counts.resumed, counts.answered, counts.refused_route,
          counts.refused_full, counts.refused_no_view, counts.unknown, counts.pended, counts.warmup_sends,
          counts.resend_denied, counts.stopped, counts.far_sends, counts.kept_tokens, counts.read_tokens})
      trace_ << count << " ";
    trace_ << "\n";
  }

  const std::string& pick(const std::vector<std::string>& names) {
    return names[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(names.size())))];
  }

  RandomGenerator random_;
  RouteDispatcher dispatcher_;
  TimePoint now_{100000};
  std::map<RunnerName, RunnerRow> runners_;
  std::vector<OpenAttempt> attempts_;
  CallIndex last_call_ = 0;
  int last_runner_ = 0;
  std::ostringstream trace_;
};

std::string digest_of_all_walks() {
  std::string digests;
  for (std::uint64_t seed = 1; seed <= walk_count; ++seed)
    digests += RandomWalk(seed).run();
  return content_digest(digests);
}

TEST(RouteDispatcherDigest, ActionsAndCountersOfRandomWalksAreUnchanged) {
  EXPECT_EQ(digest_of_all_walks(), golden_digest);
}

}  // namespace
}  // namespace emberdale
