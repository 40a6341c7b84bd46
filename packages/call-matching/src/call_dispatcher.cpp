#include "emberdale/call_dispatcher.hpp"

#include <algorithm>

#include "emberdale/placement_map.hpp"

namespace emberdale {
namespace {
constexpr Duration ejection_time_left{1500};
}

void CallDispatcher::see(std::shared_ptr<const RoutingView> view, TimePoint now) {
  view_ = std::move(view);
  for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
    if (view_->runners.count(entry->first) == 0 && entry->second.in_flight == 0)
      entry = endpoints_.erase(entry);
    else
      ++entry;
  }
  open_admission(now);
  dispatch_queued(now);
}

// A daemon that has just started or woken has its grant within a moment, and calls may wait for it. One that
// has been awake without it for longer says so at once. Only time that it was awake counts.
bool CallDispatcher::may_hope(TimePoint now) {
  bool was_asleep = last_timer_ && now - *last_timer_ > Duration{250};
  if (!lacking_since_ || was_asleep)
    lacking_since_ = now;
  last_timer_ = now;
  return now - *lacking_since_ < settings_.grant_hope;
}

void CallDispatcher::open_admission(TimePoint now) {
  bool is_open = is_granted(now) && !is_closed_;
  if (is_open)
    lacking_since_.reset();
  // Those that waited are let in a few at a time: all daemons may have got their grants at the same moment, and
  // none knows yet what the others send.
  int few = now < admission_next_ ? 0 : settings_.admission_step;
  while (!ungated_.empty() && ((is_open && few-- > 0) || is_closed_ || ungated_.front().until <= now)) {
    admission_next_ = now + settings_.admission_interval;
    Ungated waiting = std::move(ungated_.front());
    ungated_.pop_front();
    std::optional<FinalAct> act;
    if (is_open) {
      act = admission(waiting.call, waiting.since, now, waiting.index);
    } else {
      ++(is_closed_ ? counts_.refused_other : counts_.refused_no_grant);
      act = refusal(waiting.index, is_closed_ ? "this daemon is stopping" : "the map is not proven current here",
                    Duration{1000});
    }
    if (act)
      finals_.push_back(*act);
  }
}

bool CallDispatcher::is_granted(TimePoint now) const {
  return now < grant_.until && grant_.minimum_version <= view_->version;
}

std::int64_t CallDispatcher::widest_prefix() const {
  std::int64_t widest = 0;
  for (const auto& plan : view_->plans)
    widest = std::max(widest, plan.prefix_bytes);
  return widest;
}

const ServingPlan* CallDispatcher::plan_of(const Call& call) const {
  for (const auto& plan : view_->plans)
    if (plan.name == call.plan)
      return &plan;
  return nullptr;
}

FinalAct CallDispatcher::refusal(CallIndex index, const std::string& reason, Duration retry_after) {
  return FinalAct{index, 503, reason, false, retry_after, {}};
}

std::optional<FinalAct> CallDispatcher::admit(const ArrivingCall& arriving, TimePoint now, CallIndex index) {
  ++counts_.arrived;
  auto refuse = [&](int code, const std::string& reason, Duration retry_after) {
    return FinalAct{index, code, reason, false, retry_after, {}};
  };
  if (is_closed_) {
    ++counts_.refused_other;
    return refuse(503, "this daemon is stopping", Duration{1000});
  }
  if (!is_granted(now)) {
    if (!may_hope(now) || ungated_.size() >= settings_.queue_bound) {
      ++counts_.refused_no_grant;
      return refuse(503, "the map is not proven current here", Duration{1000});
    }
    ++counts_.grant_awaited;
    Duration patience = settings_.queue_patience;
    if (arriving.deadline.value > 0)
      patience = std::min(patience, Duration{arriving.deadline.value / 3});
    ungated_.push_back({arriving, index, now, now + patience});
    return std::nullopt;
  }
  return admission(arriving, now, now, index);
}

std::optional<FinalAct> CallDispatcher::admission(const ArrivingCall& arriving, TimePoint arrived, TimePoint now,
                                                  CallIndex index) {
  auto refuse = [&](int code, const std::string& reason, Duration retry_after) {
    return FinalAct{index, code, reason, false, retry_after, {}};
  };
  PlanMatch matched = match_plan(view_->plans, arriving.method, arriving.path, arriving.headers);
  if (matched.plan == nullptr) {
    ++counts_.refused_admission;
    return matched.is_path_known ? refuse(405, "no plan takes this method or these headers here", Duration{0})
                                 : refuse(404, "no plan takes this path", Duration{0});
  }
  const ServingPlan& plan = *matched.plan;
  if (arriving.body_bytes > plan.max_body_bytes) {
    ++counts_.refused_admission;
    return refuse(413, "the body is larger than plan '" + plan.name.text + "' takes", Duration{0});
  }
  Call call;
  call.id = arriving.id;
  call.plan = plan.name;
  call.method = arriving.method;
  call.path = arriving.path;
  call.home = plan.home;
  if (!plan.home_header.empty()) {
    auto header = arriving.headers.find(plan.home_header);
    if (header == arriving.headers.end()) {
      ++counts_.refused_admission;
      return refuse(400, "header '" + plan.home_header + "' must name the home region", Duration{0});
    }
    call.home.text = header->second;
    bool is_region = std::any_of(view_->regions.begin(), view_->regions.end(), [&](const auto& entry) {
      return entry.first.first == plan.pool && entry.first.second == call.home;
    });
    if (!is_region) {
      ++counts_.refused_admission;
      return refuse(400, "'" + call.home.text + "' is no region of pool '" + plan.pool.text + "'", Duration{0});
    }
  }
  if (!call.home.empty() && call.home != settings_.region) {
    ++counts_.misdirected;
    FinalAct act = refuse(421, "this work has its home in region '" + call.home.text + "'", Duration{0});
    for (const auto& gateway : view_->gateways)
      if (gateway.region == call.home)
        act.homes.push_back(gateway.http_address);
    return act;
  }
  call.key =
      plan.prefix_bytes > 0 ? arriving.prefix.substr(0, static_cast<std::size_t>(plan.prefix_bytes)) : arriving.id.text;
  Duration length{plan.deadline_ms};
  if (arriving.deadline.value > 0 && arriving.deadline < length)
    length = arriving.deadline;
  call.deadline = arrived + length;
  call.queued_until = now + Duration{std::min(settings_.queue_patience.value, length.value / 3)};
  call.index = index;
  PoolIndex at = pool_.take(std::move(call));
  calls_[index] = at;
  if (try_send(pool_[at], now))
    return std::nullopt;
  if (queue_[plan.name].size() >= settings_.queue_bound) {
    forget(at);
    ++counts_.refused_full;
    return refuse(503, "every runner for it is full, and so is the pending queue", Duration{1000});
  }
  ++counts_.pended;
  pend(at);
  return std::nullopt;
}

void CallDispatcher::pend(PoolIndex at) {
  pool_[at].is_queued = true;
  queue_[pool_[at].plan].push_back(pool_, at);
}

void CallDispatcher::forget(PoolIndex at) {
  Call& call = pool_[at];
  if (call.hook.is_linked)
    queue_[call.plan].remove(pool_, at);
  calls_.erase(call.index);
  pool_.give_back(at);
}

std::int64_t CallDispatcher::load_of(const RunnerRow& row, const EndpointState& endpoint) const {
  std::int64_t reported = endpoint.has_report && endpoint.incarnation == row.incarnation
                              ? endpoint.reported_load - endpoint.own_at_report
                              : 0;
  if (reported < 0)
    reported = 0;
  return reported + endpoint.in_flight;
}

std::int64_t CallDispatcher::bound_of(const RunnerRow& row, TimePoint now) const {
  if (row.state == RunnerState::warming_up) {
    if (grant_.warming_up_until <= now)
      return 0;  // the share may have been given to another by now
    for (const auto& grant : row.warmup_grants)
      if (grant.daemon == settings_.self)
        return grant.requests;
    return 0;
  }
  return row.capacity;
}

std::optional<RunnerName> CallDispatcher::match_in(const Call& call, const ServingPlan& plan, const RegionName& region,
                                                   TimePoint now, bool is_last_resort) const {
  auto pool = view_->pools.find(plan.pool);
  if (pool == view_->pools.end())
    return std::nullopt;
  struct Choice {
    const RunnerRow* row;
    std::int64_t load, bound;
  };
  std::vector<Choice> choices;
  std::int64_t total = 0;
  std::vector<std::string> names;
  static const EndpointState blank;
  for (const auto& name : pool->second) {
    const RunnerRow& row = view_->runners.at(name);
    if (row.region != region || (row.state != RunnerState::warm && row.state != RunnerState::warming_up))
      continue;
    if (std::find(call.tried.begin(), call.tried.end(), name) != call.tried.end())
      continue;
    auto entry = endpoints_.find(name);
    const EndpointState& endpoint = entry == endpoints_.end() ? blank : entry->second;
    bool is_shunned = now < endpoint.shunned_until &&
                      !(endpoint.shunned_at < view_->version && endpoint.incarnation != row.incarnation);
    if (is_shunned && !(is_last_resort && endpoint.is_reachable))
      continue;
    // A runner warms once in a life: a map that calls this life warm is right, whatever an older answer said.
    bool is_warming_up = row.state == RunnerState::warming_up;
    std::int64_t bound = bound_of(row, now);
    // A cold runner is bounded by this daemon's own grant; a warm one by its whole load.
    std::int64_t load = is_warming_up ? endpoint.in_flight : load_of(row, endpoint);
    if (load >= bound)
      continue;
    choices.push_back({&row, load, bound});
    total += load;
    names.push_back(name.text);
  }
  if (choices.empty())
    return std::nullopt;
  // Prefix-affine within a load bound: the first in rank that is not above its fair share.
  auto count = static_cast<std::int64_t>(choices.size());
  std::int64_t fair = ((total + 1) * 5 + 4 * count - 1) / (4 * count) + 1;
  auto ranked = rendezvous_rank(call.key, names);
  for (const auto& name : ranked)
    for (const auto& choice : choices)
      if (choice.row->name.text == name && choice.load < fair)
        return choice.row->name;
  return std::min_element(choices.begin(), choices.end(),
                          [](const Choice& a, const Choice& b) { return a.load < b.load; })
      ->row->name;
}

std::optional<RunnerName> CallDispatcher::pick_endpoint(const Call& call, const ServingPlan& plan, TimePoint now,
                                                        bool& is_spill) const {
  is_spill = false;
  if (auto runner = match_in(call, plan, settings_.region, now, false))
    return runner;
  if (!call.home.empty() || !plan.may_spill)
    return match_in(call, plan, settings_.region, now, true);
  // Nothing is free at home: what may, spills, up to the plan's share of what is in flight.
  auto counts = in_flight_.find(plan.name);
  std::int64_t all = counts == in_flight_.end() ? 0 : counts->second.first;
  std::int64_t spilled = counts == in_flight_.end() ? 0 : counts->second.second;
  auto home_row = view_->regions.find({plan.pool, settings_.region});
  bool is_owner_dead = home_row == view_->regions.end() || home_row->second.capacity == 0;
  if (!is_owner_dead && (spilled + 1) * 100 > std::max<std::int64_t>(all + 1, 4) * plan.spill_percent)
    return match_in(call, plan, settings_.region, now, true);
  for (const auto& [where, row] : view_->regions) {
    if (where.first != plan.pool || where.second == settings_.region || row.capacity == 0)
      continue;
    if (auto runner = match_in(call, plan, where.second, now, false)) {
      is_spill = true;
      return runner;
    }
  }
  return match_in(call, plan, settings_.region, now, true);
}

bool CallDispatcher::try_send(Call& call, TimePoint now) {
  const ServingPlan* plan = plan_of(call);
  if (plan == nullptr || !is_granted(now))
    return false;
  bool is_spill = false;
  auto runner = pick_endpoint(call, *plan, now, is_spill);
  if (!runner)
    return false;
  const RunnerRow& row = view_->runners.at(*runner);
  EndpointState& endpoint = endpoints_[*runner];
  ++endpoint.in_flight;
  auto& counts = in_flight_[plan->name];
  ++counts.first;
  if (is_spill) {
    ++counts.second;
    ++counts_.spilled;
  }
  if (row.state == RunnerState::warming_up)
    ++counts_.warmup_sends;
  call.runner = *runner;
  call.is_spilled = is_spill;
  call.is_queued = false;
  ++counts_.sends;
  if (!call.is_retry)
    retry_tokens_ = std::min(settings_.retry_bound, retry_tokens_ + settings_.retry_share);
  sends_.push_back({call.index, call.id, row.name, row.http_address, call.path, call.method, row.seal_key,
                    row.incarnation, plan->is_repeatable, plan->is_streaming, call.deadline, call.is_retry,
                    view_->config_revision});
  return true;
}

void CallDispatcher::first_piece(CallIndex index) {
  auto entry = calls_.find(index);
  if (entry != calls_.end())
    pool_[entry->second].has_piece = true;
}

void CallDispatcher::finish(CallIndex index, FinalAct act) {
  act.call = index;
  finals_.push_back(std::move(act));
  forget(calls_.at(index));
}

void CallDispatcher::on_attempt_finished(const SendEnd& end, TimePoint now) {
  auto entry = calls_.find(end.call);
  if (entry == calls_.end())
    return;
  PoolIndex at = entry->second;
  Call& call = pool_[at];
  EndpointState& endpoint = endpoints_[call.runner];
  if (endpoint.in_flight > 0)
    --endpoint.in_flight;
  auto& counts = in_flight_[call.plan];
  --counts.first;
  if (call.is_spilled)
    --counts.second;
  if (end.has_report) {
    endpoint.has_report = true;
    endpoint.incarnation = end.incarnation;
    endpoint.reported_load = end.load;
    endpoint.own_at_report = endpoint.in_flight;
    endpoint.capacity = end.capacity;
  }
  const ServingPlan* plan = plan_of(call);
  if (end.reason == "no link" || end.reason == "link broke") {
    endpoint.shunned_at = view_->version;
    endpoint.shunned_until = now + ejection_time_left;
    endpoint.is_reachable = end.reason != "no link";
    auto row = view_->runners.find(call.runner);
    endpoint.incarnation = row == view_->runners.end() ? 0 : row->second.incarnation;
  }
  if (end.kind == SendEndKind::refused && end.has_report) {
    // Full, or back under another incarnation: its own word counts until the map has caught up.
    auto row = view_->runners.find(call.runner);
    if (row != view_->runners.end() && row->second.incarnation != end.incarnation) {
      endpoint.shunned_at = view_->version;
      endpoint.shunned_until = now + ejection_time_left;
      endpoint.is_reachable = false;
      endpoint.incarnation = row->second.incarnation;
    }
  }
  switch (end.kind) {
    case SendEndKind::answered:
      ++counts_.answered;
      forget(at);
      break;
    case SendEndKind::caller_gone:
      forget(at);
      break;
    case SendEndKind::refused:
    case SendEndKind::unsent:
    case SendEndKind::lost: {
      bool surely_not_run = end.kind != SendEndKind::lost;
      bool may_retry =
          plan != nullptr && !call.has_piece && (surely_not_run || plan->is_repeatable) && now < call.deadline;
      call.tried.push_back(call.runner);
      if (may_retry && retry_tokens_ >= 1) {
        call.is_retry = true;
        if (try_send(call, now)) {
          retry_tokens_ -= 1;
          ++counts_.retries;
          break;
        }
        if (queue_[call.plan].size() < settings_.queue_bound && now < call.queued_until) {
          call.tried.clear();
          pend(at);
          break;
        }
      } else if (may_retry) {
        ++counts_.retry_denied;
      }
      if (surely_not_run) {
        ++counts_.refused_full;
        finish(end.call, refusal(end.call, "no runner could take it: " + end.reason, Duration{1000}));
      } else {
        ++counts_.unknown;
        finish(end.call, FinalAct{end.call,
                                  502,
                                  "the runner gave no sound answer: " + end.reason,
                                  true,
                                  plan != nullptr && plan->is_repeatable ? Duration{1000} : Duration{0},
                                  {}});
      }
      break;
    }
  }
  dispatch_queued(now);
}

void CallDispatcher::caller_gone(CallIndex index, TimePoint now) {
  ungated_.erase(
      std::remove_if(ungated_.begin(), ungated_.end(), [&](const auto& waiting) { return waiting.index == index; }),
      ungated_.end());
  auto entry = calls_.find(index);
  if (entry == calls_.end() || !pool_[entry->second].is_queued)
    return;  // a send in hand ends on its own
  forget(entry->second);
  dispatch_queued(now);
}

void CallDispatcher::dispatch_queued(TimePoint now) {
  for (auto& [name, queue] : queue_) {
    while (queue.front() != no_index) {
      PoolIndex at = queue.front();
      Call& call = pool_[at];
      if (call.queued_until <= now || call.deadline <= now || is_closed_) {
        ++counts_.refused_full;
        finish(call.index, refusal(call.index, is_closed_ ? "this daemon is stopping" : "no runner came free for it",
                                   Duration{1000}));
        continue;
      }
      if (plan_of(call) == nullptr) {
        ++counts_.refused_admission;
        finish(call.index, FinalAct{call.index, 404, "its plan was taken away", false, Duration{0}, {}});
        continue;
      }
      if (call.is_retry && retry_tokens_ < 1) {
        ++counts_.retry_denied;
        finish(call.index, refusal(call.index, "no retry is left for it", Duration{1000}));
        continue;
      }
      bool is_retry = call.is_retry;
      if (!try_send(call, now))
        break;
      if (is_retry) {
        retry_tokens_ -= 1;
        ++counts_.retries;
      }
      queue.remove(pool_, at);
    }
  }
}

void CallDispatcher::on_timer(TimePoint now) {
  if (!is_granted(now))
    may_hope(now);
  last_timer_ = now;
  open_admission(now);
  // Those further back may run out before the front does.
  for (auto& [name, queue] : queue_) {
    for (PoolIndex at = queue.front(); at != no_index;) {
      PoolIndex next = queue.next(pool_, at);
      Call& call = pool_[at];
      if (call.queued_until <= now || call.deadline <= now) {
        ++counts_.refused_full;
        finish(call.index, refusal(call.index, "no runner came free for it", Duration{1000}));
      }
      at = next;
    }
  }
  dispatch_queued(now);
}

std::vector<SendAct> CallDispatcher::take_sends() { return std::exchange(sends_, {}); }
std::vector<FinalAct> CallDispatcher::take_finals() { return std::exchange(finals_, {}); }

}  // namespace emberdale
