#include "emberdale/route_dispatcher.hpp"

#include <algorithm>
#include <cmath>

#include "emberdale/placement_map.hpp"

namespace emberdale {
namespace {

constexpr Duration second{1000};
constexpr Duration young{400}, map_patience{150};  // a daemon that has just started; how long a call waits for its map
constexpr std::int64_t long_prompt = 2000;         // calls with more tokens hold the others up at a runner
constexpr double apart_cost = 40, mixed_cost = 250;  // a short call among long ones, a long one among short ones; ms
constexpr Duration short_memory{10000};
constexpr double read_weight = 5;         // what is read again is paid for as well
constexpr std::int64_t tokens_a_ms = 60;  // read of a prompt, until something better is known
constexpr Duration report_lifetime{700};  // a runner's word on its load counts that long
constexpr Duration retention{60000};      // parts that a runner was sent are taken for kept that long
constexpr Duration silent_ejection_time{1500}, refused_ejection_time{700}, reset_ejection_time{250},
    wrong_incarnation_ejection{4000}, full_ejection_time{60};

std::uint64_t mix(std::uint64_t a, std::uint64_t b) { return RandomGenerator(a * 0x9E3779B97F4A7C15ull ^ b).next(); }

Duration silence_of(const Route& route) { return Duration{std::max<std::int64_t>(250, route.target_ms / 2)}; }
Duration gap_silence_of(const Route& route) {
  return Duration{std::max<std::int64_t>(250, (route.gap_ms > 0 ? route.gap_ms : 1000) * 3 / 4)};
}
// Held for less than a quarter of its target: the caller, told at once, still has time for another try.
Duration patience_of(const Route& route) { return Duration{route.target_ms * 22 / 100}; }

}  // namespace

RouteDispatcher::RouteDispatcher(RouteDispatcherSettings settings) : settings_(std::move(settings)) {}

void RouteDispatcher::see(std::shared_ptr<const RoutingView> view, TimePoint now) {
  view_ = std::move(view);
  if (!began_)
    began_ = now;
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    const EndpointState& endpoint = entry->second;
    bool is_fresh = !endpoint.sent.empty() && now - endpoint.sent.back() < second;  // it may be back at once, and cold
    if (view_->runners.count(entry->first) == 0 && endpoint.in_flight == 0 && !is_fresh)
      entry = endpoints_.erase(entry);
    else
      ++entry;
  }
  take_unmapped(now);
  dispatch_queued(now);
}

FinalAct RouteDispatcher::refusal(CallIndex index, const std::string& reason, Duration retry_after) const {
  return FinalAct{index, 503, reason, false, retry_after, {}};
}

std::optional<FinalAct> RouteDispatcher::admit(const RoutedCall& arriving, TimePoint now, CallIndex index) {
  ++counts_.arrived;
  if (!began_)
    began_ = now;
  if (view_->has_routing_table)
    return take_in(arriving, now, now, index);
  // Who has just started knows its map within a moment, and the call waits for it; else it is told at once when to
  // come back.
  bool is_young = now - *began_ < young;
  if (!is_young || unmapped_.size() >= settings_.queue_bound) {
    ++counts_.refused_no_view;
    return refusal(index, "this daemon knows no map yet", Duration{1200});
  }
  unmapped_.push_back({arriving, index, now});
  return std::nullopt;
}

// Those that wait for the map are let in with it, or told to come back.
void RouteDispatcher::take_unmapped(TimePoint now) {
  while (!unmapped_.empty() && (view_->has_routing_table || now - unmapped_.front().arrived >= map_patience)) {
    Unmapped waiting = std::move(unmapped_.front());
    unmapped_.pop_front();
    std::optional<FinalAct> act;
    if (view_->has_routing_table) {
      act = take_in(waiting.call, waiting.arrived, now, waiting.index);
    } else {
      ++counts_.refused_no_view;
      act = refusal(waiting.index, "this daemon knows no map yet", Duration{450});
    }
    if (act) {
      act->call = waiting.index;
      finals_.push_back(std::move(*act));
    }
  }
}

std::optional<FinalAct> RouteDispatcher::take_in(const RoutedCall& arriving, TimePoint arrived, TimePoint now,
                                                 CallIndex index) {
  const Route* route = find_route(view_->routes, arriving.host, arriving.path);
  if (route == nullptr) {
    ++counts_.refused_route;
    return FinalAct{index, 404, "no route takes this host and path", false, Duration{0}, {}};
  }
  Call call;
  call.index = index;
  call.id = arriving.id;
  call.route = route;
  call.view_held = view_;
  call.pool = choose_pool(*route, arriving.id.text);
  call.prompt = arriving.prompt;
  call.tokens_in = arriving.tokens_in;
  call.tokens_out = arriving.tokens_out;
  call.resume_after = arriving.resume_after;
  // The last part is the call's own; the one before it tells which shared parts it has.
  if (call.prompt.size() >= 2)
    call.key = call.prompt[call.prompt.size() - 2].id | 1;
  if (call.tokens_in == 0)
    for (const auto& part : call.prompt)
      call.tokens_in += part.tokens;
  call.arrived = arrived;
  Duration deadline{route->deadline_ms};
  if (arriving.deadline.value > 0)
    deadline = std::min(deadline, arriving.deadline);
  call.deadline = arrived + deadline;
  call.queued_until = arrived + std::min(patience_of(*route), Duration{deadline.value / 3});
  auto entry = calls_.insert_or_assign(index, std::move(call)).first;
  if (try_send(entry->second, now))
    return std::nullopt;
  if (queue_.size() >= settings_.queue_bound) {
    calls_.erase(entry);
    ++counts_.refused_full;
    return refusal(index, "too many calls wait here", Duration{250});
  }
  pend(entry->second, now);
  return std::nullopt;
}

void RouteDispatcher::pend(Call& call, TimePoint) {
  ++counts_.pended;
  call.is_queued = true;
  queue_[{call.route->rank, call.index}] = call.index;
}

std::int64_t RouteDispatcher::warmup_share(const RunnerRow& row) const {
  for (const auto& grant : row.warmup_grants)
    if (grant.daemon == settings_.self)
      return grant.requests;
  return 0;
}

// How much of the prompt the runner would have to read: all after the first part that it was not sent before.
std::int64_t RouteDispatcher::unread_tokens(const Call& call, const EndpointState& endpoint, TimePoint now) const {
  std::int64_t unread = 0;
  bool is_kept = true;
  for (const auto& part : call.prompt) {
    auto kept = endpoint.kept.find(part.id);
    is_kept = is_kept && kept != endpoint.kept.end() && now - kept->second < retention;
    if (!is_kept)
      unread += part.tokens;
  }
  return unread;
}

// A long prompt is read in large pieces, and every stream at that runner waits meanwhile. So long ones go to regions
// without short calls, if there are any; else part of each region's runners is kept for them. Every daemon finds the
// same ones, by a ranking of the living.
std::set<RunnerName> RouteDispatcher::runners_for_long(const std::vector<RunnerName>& pool, TimePoint now) {
  std::map<RegionName, std::vector<std::pair<std::uint64_t, RunnerName>>> ranked;
  std::set<RunnerName> quiet;
  std::size_t warm = 0;
  for (const auto& name : pool) {
    const RunnerRow& row = view_->runners.at(name);
    if (row.state != RunnerState::warm)
      continue;
    ++warm;
    auto seen = short_seen_.find({row.pool, row.region});
    bool has_short = seen != short_seen_.end() && now - seen->second <= short_memory;
    if (has_short)
      ranked[row.region].emplace_back(mix(stable_hash(name.text), 0x10a9), name);
    else
      quiet.insert(name);
  }
  if (quiet.size() * 3 >= warm * 2)
    return quiet;
  std::set<RunnerName> apart = std::move(quiet);
  for (auto& [region, runners] : ranked) {
    if (runners.size() < 2)
      continue;
    std::sort(runners.begin(), runners.end());
    std::size_t count = std::max<std::size_t>(1, runners.size() * 2 / 5);
    for (std::size_t i = 0; i < count; ++i)
      apart.insert(runners[i].second);
  }
  return apart;
}

std::optional<RunnerName> RouteDispatcher::pick_endpoint(Call& call, TimePoint now) {
  auto pool = view_->pools.find(call.pool);
  if (pool == view_->pools.end())
    return std::nullopt;
  const EndpointState blank;
  struct Choice {
    const RunnerRow* row = nullptr;
    double cost = 0;
  };
  std::optional<Choice> best;
  std::uint64_t call_seed = stable_hash(call.id.text);
  bool is_long = call.tokens_in >= long_prompt;
  if (!is_long && call.tokens_in > 0) {
    // Short calls that are bound to no region come in all of them.
    if (call.route->homes.empty())
      for (const auto& [where, region] : view_->regions)
        if (where.first == call.pool)
          short_seen_[{call.pool, where.second}] = now;
    for (const auto& home : call.route->homes)
      short_seen_[{call.pool, home}] = now;
  }
  std::set<RunnerName> for_long;
  if (call.tokens_in > 0)
    for_long = runners_for_long(pool->second, now);
  auto may_go = [&](const RunnerRow& row) {
    const auto& homes = call.route->homes;
    return homes.empty() || std::find(homes.begin(), homes.end(), row.region) != homes.end();
  };
  // Who keeps the shared parts of this prompt, by a ranking that is the same at every daemon: of all regions for long
  // ones (to bring one there costs less than to read its opening twice), of the nearest for short ones.
  const RunnerRow *keeper = nullptr, *stand_in = nullptr;
  std::uint64_t lease_manager_weight = 0, stand_in_weight = 0;
  if (call.key != 0)
    for (const auto& name : pool->second) {
      const RunnerRow& row = view_->runners.at(name);
      if (row.state != RunnerState::warm || !may_go(row))
        continue;
      if (!is_long && call.route->homes.empty() && row.region != settings_.region)
        continue;
      if (!for_long.empty() && is_long != (for_long.count(name) != 0))
        continue;
      auto endpoint = endpoints_.find(name);
      if (endpoint != endpoints_.end() && now < endpoint->second.shunned_until)
        continue;
      std::uint64_t weight = mix(stable_hash(name.text), call.key);
      if (keeper == nullptr || weight > lease_manager_weight) {
        stand_in = std::exchange(keeper, &row);
        stand_in_weight = std::exchange(lease_manager_weight, weight);
      } else if (stand_in == nullptr || weight > stand_in_weight) {
        stand_in = &row;
        stand_in_weight = weight;
      }
    }
  for (const auto& name : pool->second) {
    const RunnerRow& row = view_->runners.at(name);
    bool is_warming_up = row.state == RunnerState::warming_up;
    if (row.state != RunnerState::warm && !is_warming_up)
      continue;
    if (!may_go(row))
      continue;
    if (call.tried.count(name) != 0)
      continue;
    auto entry = endpoints_.find(name);
    const EndpointState& endpoint = entry == endpoints_.end() ? blank : entry->second;
    if (now < endpoint.shunned_until)
      continue;
    if (endpoint.troubles > 0 && endpoint.in_flight > 0)
      continue;  // one at a time, until it has answered
    if (is_warming_up) {
      if (!(now < warming_up_until_) || !began_ || now - *began_ < second)
        continue;
      auto recent =
          std::count_if(endpoint.sent.begin(), endpoint.sent.end(), [&](TimePoint at) { return now - at < second; });
      if (recent >= warmup_share(row))
        continue;
    }
    std::int64_t slots = row.capacity > 0 ? row.capacity : 8;
    std::int64_t load = endpoint.in_flight;
    if (now - endpoint.reported_at < report_lifetime)
      load = std::max(load, endpoint.reported + endpoint.in_flight - endpoint.own_at_report);
    if (load >= slots + slots / 2 + 2)
      continue;  // full, with a queue
    double cost = 0;
    if (row.region != settings_.region)
      cost += 2.0 * static_cast<double>(settings_.region_ms);
    else if (row.zone != settings_.zone)
      cost += 2.0;
    if (load >= slots)
      cost += 300.0 * static_cast<double>(load - slots + 1) / static_cast<double>(slots);
    // A model runner bears many at once at nearly the same pace; others serve each slot by itself.
    double crowd = static_cast<double>(load) - static_cast<double>(slots) / 4;
    cost += call.tokens_in > 0 ? 0.2 * static_cast<double>(load) + 2 * std::max(0.0, crowd)
                               : 60.0 * static_cast<double>(load) / static_cast<double>(slots);
    if (!for_long.empty() && is_long != (for_long.count(name) != 0))
      cost += is_long ? mixed_cost : apart_cost;
    cost += static_cast<double>(endpoint.prompt_tokens) / tokens_a_ms;
    if (is_warming_up)
      cost += 40;
    if (!call.prompt.empty()) {
      // The keeper alone is believed to have the shared parts: elsewhere they may have given way since.
      std::int64_t shared = call.tokens_in - call.prompt.back().tokens;
      std::int64_t unread = call.key == 0      ? call.tokens_in
                            : keeper == &row   ? call.tokens_in - shared
                            : stand_in == &row ? call.tokens_in - shared / 5
                                               : call.tokens_in;
      cost += read_weight * static_cast<double>(unread) / tokens_a_ms;
    }
    cost += static_cast<double>(mix(call_seed, stable_hash(name.text)) % 1000) / 250.0;
    if (!best || cost < best->cost)
      best = Choice{&row, cost};
  }
  if (!best)
    return std::nullopt;
  return best->row->name;
}

bool RouteDispatcher::try_send(Call& call, TimePoint now) {
  auto runner = pick_endpoint(call, now);
  if (!runner && !call.tried.empty() && call.turn == call.unsent) {
    call.tried.clear();
    runner = pick_endpoint(call, now);
  }
  if (!runner)
    return false;
  const RunnerRow& row = view_->runners.at(*runner);
  EndpointState& endpoint = endpoints_[*runner];
  while (!endpoint.sent.empty() && now - endpoint.sent.front() >= Duration{1200})
    endpoint.sent.pop_front();
  endpoint.sent.push_back(now);
  ++endpoint.in_flight;
  std::int64_t unread = unread_tokens(call, endpoint, now);
  endpoint.prompt_tokens += unread;
  counts_.read_tokens += unread;
  counts_.kept_tokens += call.tokens_in - std::min(call.tokens_in, unread);
  for (const auto& part : call.prompt)
    endpoint.kept[part.id] = now;
  if (endpoint.kept.size() > 4096)
    for (auto part = endpoint.kept.begin(); part != endpoint.kept.end();)
      part = now - part->second > Duration{retention.value / 4} ? endpoint.kept.erase(part) : std::next(part);
  if (row.state == RunnerState::warming_up)
    ++counts_.warmup_sends;
  if (row.region != settings_.region)
    ++counts_.far_sends;
  call.unread = unread;
  call.runner = *runner;
  call.is_queued = false;
  call.is_sent = true;
  call.has_answer = false;
  call.sent_at = call.heard_at = now;
  ++call.turn;
  ++counts_.sends;
  if (call.turn == 1) {
    double& tokens = resend_tokens_.try_emplace(call.pool, settings_.resend_start).first->second;
    tokens = std::min(settings_.resend_bound, tokens + settings_.resend_share);
  }
  sends_.push_back({call.index, call.turn, row.name, row.http_address, call.route->is_repeatable,
                    call.route->is_streaming, call.route->rank, call.deadline, call.resume_after});
  return true;
}

void RouteDispatcher::unlink(Call& call) {
  if (!call.is_sent)
    return;
  call.is_sent = false;
  EndpointState& endpoint = endpoints_[call.runner];
  if (endpoint.in_flight > 0)
    --endpoint.in_flight;
  if (!call.has_piece_here)
    endpoint.prompt_tokens = std::max<std::int64_t>(0, endpoint.prompt_tokens - call.unread);
  call.has_piece_here = false;
}

// Is there a runner that may take such calls, busy or not?
bool RouteDispatcher::has_living(const Call& call) const {
  auto pool = view_->pools.find(call.pool);
  if (pool == view_->pools.end())
    return false;
  const auto& homes = call.route->homes;
  return std::any_of(pool->second.begin(), pool->second.end(), [&](const RunnerName& name) {
    const RunnerRow& row = view_->runners.at(name);
    return (row.state == RunnerState::warm || row.state == RunnerState::warming_up) &&
           (homes.empty() || std::find(homes.begin(), homes.end(), row.region) != homes.end());
  });
}

void RouteDispatcher::answer_begun(CallIndex index, int turn, TimePoint now) {
  auto entry = calls_.find(index);
  if (entry == calls_.end() || entry->second.turn != turn || !entry->second.is_sent)
    return;
  Call& call = entry->second;
  call.has_answer = true;
  call.heard_at = now;
  EndpointState& endpoint = endpoints_[call.runner];
  endpoint.heard = now;
  endpoint.troubles = 0;
}

void RouteDispatcher::first_piece(CallIndex index, int turn, TimePoint now) {
  answer_begun(index, turn, now);
  auto entry = calls_.find(index);
  if (entry == calls_.end() || entry->second.turn != turn || !entry->second.is_sent)
    return;
  Call& call = entry->second;
  call.has_piece = true;
  if (call.has_piece_here)
    return;
  call.has_piece_here = true;
  EndpointState& endpoint = endpoints_[call.runner];
  endpoint.prompt_tokens = std::max<std::int64_t>(0, endpoint.prompt_tokens - call.unread);
}

void RouteDispatcher::finish(CallIndex index, FinalAct act) {
  auto entry = calls_.find(index);
  act.call = index;
  finals_.push_back(std::move(act));
  queue_.erase({entry->second.route->rank, index});
  calls_.erase(entry);
}

// May this call be sent once more, and is it paid for?
bool RouteDispatcher::may_resend(Call& call, TimePoint now) {
  if (call.turn - call.unsent >= std::max<std::int64_t>(1, call.route->max_sends) || now >= call.deadline)
    return false;
  double& tokens = resend_tokens_.try_emplace(call.pool, settings_.resend_start).first->second;
  if (tokens < 1) {
    ++counts_.resend_denied;
    return false;
  }
  return true;
}

void RouteDispatcher::resend_or_end(Call& call, bool surely_not_run, const std::string& reason, TimePoint now) {
  CallIndex index = call.index;
  bool may_repeat = call.route->is_repeatable || (surely_not_run && !call.has_piece);
  if (may_repeat && may_resend(call, now)) {
    if (try_send(call, now)) {
      resend_tokens_[call.pool] -= 1;
      ++counts_.resends;
      if (call.has_piece)
        ++counts_.resumed;
      return;
    }
    if (!call.has_piece && now < call.queued_until) {
      pend(call, now);
      return;
    }
  }
  if (surely_not_run && !call.has_piece && !call.may_have_run) {
    ++counts_.refused_full;
    finish(index,
           refusal(index, "no runner could take it: " + reason, has_living(call) ? Duration{250} : Duration{1000}));
    return;
  }
  ++counts_.unknown;
  finish(index, FinalAct{index, 502, "the runner gave no sound answer: " + reason, true, Duration{0}, {}});
}

void RouteDispatcher::on_attempt_finished(const RoutedEnd& end, TimePoint now) {
  auto entry = calls_.find(end.call);
  if (entry == calls_.end() || entry->second.turn != end.turn || !entry->second.is_sent)
    return;
  Call& call = entry->second;
  unlink(call);
  EndpointState& endpoint = endpoints_[call.runner];
  if (end.has_report) {
    endpoint.reported = end.running + end.waiting;
    endpoint.own_at_report = endpoint.in_flight;
    endpoint.reported_at = now;
  }
  auto eject = [&](Duration span) {
    endpoint.shunned_until = std::max(endpoint.shunned_until, now + span);
  };
  auto trouble = [&](Duration span) {
    ++endpoint.troubles;
    eject(Duration{span.value * std::min(endpoint.troubles, 4)});
  };
  if (end.kind != RoutedEndKind::unsent && end.kind != RoutedEndKind::caller_gone)
    call.tried.insert(call.runner);
  call.may_have_run |= end.may_have_run;
  switch (end.kind) {
    case RoutedEndKind::answered:
      ++counts_.answered;
      endpoint.heard = now;
      endpoint.troubles = 0;
      calls_.erase(entry);
      break;
    case RoutedEndKind::caller_gone:
      calls_.erase(entry);
      break;
    case RoutedEndKind::refused:
      endpoint.heard = now;
      eject(full_ejection_time);
      resend_or_end(call, true, end.reason, now);
      break;
    case RoutedEndKind::wrong_incarnation:
      eject(wrong_incarnation_ejection);
      resend_or_end(call, true, end.reason, now);
      break;
    case RoutedEndKind::unsent: {
      trouble(end.was_slow_to_connect ? silent_ejection_time : refused_ejection_time);
      ++call.unsent;  // nothing left this daemon: another runner costs no resend
      bool is_sent_again = call.unsent <= 3 && now < call.deadline && try_send(call, now);
      if (!is_sent_again) {
        if (now < call.queued_until && !call.has_piece)
          pend(call, now);
        else
          resend_or_end(call, true, end.reason, now);
      }
      break;
    }
    case RoutedEndKind::lost:
    case RoutedEndKind::broken:
      trouble(reset_ejection_time);
      call.may_have_run = true;
      if (!end.last_event.empty())
        call.resume_after = end.last_event;
      resend_or_end(call, false, end.reason, now);
      break;
  }
  dispatch_queued(now);
}

void RouteDispatcher::caller_gone(CallIndex index, TimePoint now) {
  unmapped_.erase(std::remove_if(unmapped_.begin(), unmapped_.end(),
                                 [&](const Unmapped& waiting) { return waiting.index == index; }),
                  unmapped_.end());
  auto entry = calls_.find(index);
  if (entry == calls_.end())
    return;
  Call& call = entry->second;
  if (call.is_sent) {
    stops_.push_back({index, call.turn});
    unlink(call);
  }
  queue_.erase({call.route->rank, index});
  calls_.erase(entry);
  dispatch_queued(now);
}

void RouteDispatcher::dispatch_queued(TimePoint now) {
  for (auto entry = queue_.begin(); entry != queue_.end();) {
    CallIndex index = entry->second;
    Call& call = calls_.at(index);
    ++entry;  // what follows may take this one out
    bool is_resend = call.turn > call.unsent;
    if (call.queued_until <= now || call.deadline <= now) {
      ++counts_.refused_full;
      if (call.may_have_run)
        finish(index, FinalAct{index, 502, "no runner came free to repeat it", true, Duration{0}, {}});
      else
        finish(index, refusal(index, "no runner came free for it", has_living(call) ? Duration{250} : Duration{1000}));
      continue;
    }
    if (is_resend && !may_resend(call, now))
      continue;
    if (!try_send(call, now))
      continue;
    if (is_resend) {
      resend_tokens_[call.pool] -= 1;
      ++counts_.resends;
    }
    queue_.erase({call.route->rank, index});
  }
}

void RouteDispatcher::on_timer(TimePoint now) {
  take_unmapped(now);
  // A runner from which nothing at all has come since a call went there, for longer than that call bears:
  // it is taken for dead. What may be repeated goes elsewhere; the rest waits for it.
  std::vector<CallIndex> silent;
  for (auto& [index, call] : calls_) {
    if (!call.is_sent)
      continue;
    if (call.deadline <= now) {
      silent.push_back(index);
      continue;
    }
    Duration patience = call.has_piece_here ? gap_silence_of(*call.route) : silence_of(*call.route);
    patience.value += unread_patience(call).value;
    const EndpointState& endpoint = endpoints_[call.runner];
    if (now - call.heard_at < patience || now - endpoint.heard < patience || call.has_ended_silence)
      continue;
    silent.push_back(index);
  }
  // The hash map's order differs from one process to the next, and the order decides who gets the last resend tokens.
  std::sort(silent.begin(), silent.end());
  for (CallIndex index : silent) {
    auto entry = calls_.find(index);
    if (entry == calls_.end() || !entry->second.is_sent)
      continue;
    Call& call = entry->second;
    EndpointState& endpoint = endpoints_[call.runner];
    if (call.deadline <= now) {
      stops_.push_back({index, call.turn});
      unlink(call);
      ++counts_.unknown;
      finish(index, FinalAct{index, 504, "no answer within the deadline", true, Duration{0}, {}});
      continue;
    }
    if (now >= endpoint.shunned_until) {
      ++endpoint.troubles;
      endpoint.shunned_until = now + silent_ejection_time;
    }
    call.has_ended_silence = true;  // once: what can't be repeated goes on waiting
    if (!call.route->is_repeatable || !may_resend(call, now))
      continue;
    call.tried.insert(call.runner);
    RunnerName before = call.runner;
    int turn = call.turn;
    auto other = pick_endpoint(call, now);
    if (!other)
      continue;  // no one else is there: it may yet answer
    stops_.push_back({index, turn});
    unlink(call);
    ++counts_.stopped;
    call.may_have_run = true;
    call.has_ended_silence = false;
    if (try_send(call, now)) {
      resend_tokens_[call.pool] -= 1;
      ++counts_.resends;
      if (call.has_piece)
        ++counts_.resumed;
    } else {
      ++counts_.unknown;
      finish(index, FinalAct{index, 502, "the runner fell silent", true, Duration{0}, {}});
    }
  }
  dispatch_queued(now);
}

Duration RouteDispatcher::unread_patience(const Call& call) {
  return Duration{call.has_piece_here ? 0 : call.unread / tokens_a_ms * 2};
}

TimePoint RouteDispatcher::timer_next(TimePoint now) const {
  if (!queue_.empty() || !unmapped_.empty())
    return now + Duration{15};
  return now + (calls_.empty() ? Duration{500} : Duration{60});
}

}  // namespace emberdale
