#include "emberdale/call_dispatcher.hpp"

#include <algorithm>

#include "emberdale/placement_map.hpp"

namespace emberdale {
namespace {
constexpr Span shun_time{1500};
}

void CallDispatcher::see(std::shared_ptr<const TrafficView> view, Moment now) {
  view_ = std::move(view);
  for (auto entry = links_.begin(); entry != links_.end();) {
    if (view_->runners.count(entry->first) == 0 && entry->second.in_flight == 0)
      entry = links_.erase(entry);
    else
      ++entry;
  }
  open_admission(now);
  pump(now);
}

// A daemon that has just started or woken has its grant within a moment, and calls may wait for it. One that
// has been awake without it for longer says so at once. Only time that it was awake counts.
bool CallDispatcher::may_hope(Moment now) {
  bool was_asleep = last_timer_ && now - *last_timer_ > Span{250};
  if (!lacking_since_ || was_asleep)
    lacking_since_ = now;
  last_timer_ = now;
  return now - *lacking_since_ < settings_.grant_hope;
}

void CallDispatcher::open_admission(Moment now) {
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
                    Span{1000});
    }
    if (act)
      finals_.push_back(*act);
  }
}

bool CallDispatcher::is_granted(Moment now) const {
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

FinalAct CallDispatcher::refusal(CallIndex index, const std::string& reason, Span retry_after) {
  return FinalAct{index, 503, reason, false, retry_after, {}};
}

std::optional<FinalAct> CallDispatcher::arrive(const ArrivingCall& arriving, Moment now, CallIndex index) {
  ++counts_.arrived;
  auto refuse = [&](int code, const std::string& reason, Span retry_after) {
    return FinalAct{index, code, reason, false, retry_after, {}};
  };
  if (is_closed_) {
    ++counts_.refused_other;
    return refuse(503, "this daemon is stopping", Span{1000});
  }
  if (!is_granted(now)) {
    if (!may_hope(now) || ungated_.size() >= settings_.queue_bound) {
      ++counts_.refused_no_grant;
      return refuse(503, "the map is not proven current here", Span{1000});
    }
    ++counts_.grant_awaited;
    Span patience = settings_.queue_patience;
    if (arriving.deadline.value > 0)
      patience = std::min(patience, Span{arriving.deadline.value / 3});
    ungated_.push_back({arriving, index, now, now + patience});
    return std::nullopt;
  }
  return admission(arriving, now, now, index);
}

std::optional<FinalAct> CallDispatcher::admission(const ArrivingCall& arriving, Moment arrived, Moment now,
                                                  CallIndex index) {
  auto refuse = [&](int code, const std::string& reason, Span retry_after) {
    return FinalAct{index, code, reason, false, retry_after, {}};
  };
  PlanMatch matched = match_plan(view_->plans, arriving.method, arriving.path, arriving.headers);
  if (matched.plan == nullptr) {
    ++counts_.refused_admission;
    return matched.is_path_known ? refuse(405, "no plan takes this method or these headers here", Span{0})
                                 : refuse(404, "no plan takes this path", Span{0});
  }
  const ServingPlan& plan = *matched.plan;
  if (arriving.body_bytes > plan.max_body_bytes) {
    ++counts_.refused_admission;
    return refuse(413, "the body is larger than plan '" + plan.name.text + "' takes", Span{0});
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
      return refuse(400, "header '" + plan.home_header + "' must name the home region", Span{0});
    }
    call.home.text = header->second;
    bool is_region = std::any_of(view_->regions.begin(), view_->regions.end(), [&](const auto& entry) {
      return entry.first.first == plan.pool && entry.first.second == call.home;
    });
    if (!is_region) {
      ++counts_.refused_admission;
      return refuse(400, "'" + call.home.text + "' is no region of pool '" + plan.pool.text + "'", Span{0});
    }
  }
  if (!call.home.empty() && call.home != settings_.region) {
    ++counts_.misdirected;
    FinalAct act = refuse(421, "this work has its home in region '" + call.home.text + "'", Span{0});
    for (const auto& gateway : view_->gateways)
      if (gateway.region == call.home)
        act.homes.push_back(gateway.http);
    return act;
  }
  call.key =
      plan.prefix_bytes > 0 ? arriving.prefix.substr(0, static_cast<std::size_t>(plan.prefix_bytes)) : arriving.id.text;
  Span length{plan.deadline_ms};
  if (arriving.deadline.value > 0 && arriving.deadline < length)
    length = arriving.deadline;
  call.deadline = arrived + length;
  call.queued_until = now + Span{std::min(settings_.queue_patience.value, length.value / 3)};
  call.index = index;
  PoolIndex at = pool_.take(std::move(call));
  calls_[index] = at;
  if (try_send(pool_[at], now))
    return std::nullopt;
  if (queue_[plan.name].size() >= settings_.queue_bound) {
    forget(at);
    ++counts_.refused_full;
    return refuse(503, "every runner for it is full, and so is the pending queue", Span{1000});
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

Integer CallDispatcher::load_of(const RunnerRow& row, const Link& link) const {
  Integer reported =
      link.has_report && link.incarnation == row.incarnation ? link.reported_load - link.own_at_report : 0;
  if (reported < 0)
    reported = 0;
  return reported + link.in_flight;
}

Integer CallDispatcher::bound_of(const RunnerRow& row, Moment now) const {
  if (row.status == "cold") {
    if (grant_.cold_until <= now)
      return 0;  // the share may have been given to another by now
    for (const auto& grant : row.grants)
      if (grant.daemon == settings_.self)
        return grant.calls;
    return 0;
  }
  return row.capacity;
}

std::optional<RunnerName> CallDispatcher::match_in(const Call& call, const ServingPlan& plan, const RegionName& region,
                                                   Moment now, bool is_last_resort) const {
  auto pool = view_->pools.find(plan.pool);
  if (pool == view_->pools.end())
    return std::nullopt;
  struct Choice {
    const RunnerRow* row;
    Integer load, bound;
  };
  std::vector<Choice> choices;
  Integer total = 0;
  std::vector<std::string> names;
  static const Link blank;
  for (const auto& name : pool->second) {
    const RunnerRow& row = view_->runners.at(name);
    if (row.region != region || (row.status != "warm" && row.status != "cold"))
      continue;
    if (std::find(call.tried.begin(), call.tried.end(), name) != call.tried.end())
      continue;
    auto entry = links_.find(name);
    const Link& link = entry == links_.end() ? blank : entry->second;
    bool is_shunned =
        now < link.shunned_until && !(link.shunned_at < view_->version && link.incarnation != row.incarnation);
    if (is_shunned && !(is_last_resort && link.is_reachable))
      continue;
    // A runner warms once in a life: a map that calls this life warm is right, whatever an older answer said.
    bool is_cold = row.status == "cold";
    Integer bound = bound_of(row, now);
    // A cold runner is bounded by this daemon's own grant; a warm one by its whole load.
    Integer load = is_cold ? link.in_flight : load_of(row, link);
    if (load >= bound)
      continue;
    choices.push_back({&row, load, bound});
    total += load;
    names.push_back(name.text);
  }
  if (choices.empty())
    return std::nullopt;
  // Prefix-affine within a load bound: the first in rank that is not above its fair share.
  auto count = static_cast<Integer>(choices.size());
  Integer fair = ((total + 1) * 5 + 4 * count - 1) / (4 * count) + 1;
  auto ranked = rendezvous_rank(call.key, names);
  for (const auto& name : ranked)
    for (const auto& choice : choices)
      if (choice.row->name.text == name && choice.load < fair)
        return choice.row->name;
  return std::min_element(choices.begin(), choices.end(),
                          [](const Choice& a, const Choice& b) { return a.load < b.load; })
      ->row->name;
}

std::optional<RunnerName> CallDispatcher::match(const Call& call, const ServingPlan& plan, Moment now,
                                                bool& is_spill) const {
  is_spill = false;
  if (auto runner = match_in(call, plan, settings_.region, now, false))
    return runner;
  if (!call.home.empty() || !plan.may_spill)
    return match_in(call, plan, settings_.region, now, true);
  // Nothing is free at home: what may, spills, up to the plan's share of what is in flight.
  auto counts = in_flight_.find(plan.name);
  Integer all = counts == in_flight_.end() ? 0 : counts->second.first;
  Integer spilled = counts == in_flight_.end() ? 0 : counts->second.second;
  auto home_row = view_->regions.find({plan.pool, settings_.region});
  bool is_home_dead = home_row == view_->regions.end() || home_row->second.capacity == 0;
  if (!is_home_dead && (spilled + 1) * 100 > std::max<Integer>(all + 1, 4) * plan.spill_percent)
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

bool CallDispatcher::try_send(Call& call, Moment now) {
  const ServingPlan* plan = plan_of(call);
  if (plan == nullptr || !is_granted(now))
    return false;
  bool is_spill = false;
  auto runner = match(call, *plan, now, is_spill);
  if (!runner)
    return false;
  const RunnerRow& row = view_->runners.at(*runner);
  Link& link = links_[*runner];
  ++link.in_flight;
  auto& counts = in_flight_[plan->name];
  ++counts.first;
  if (is_spill) {
    ++counts.second;
    ++counts_.spilled;
  }
  if (row.status == "cold")
    ++counts_.cold_sends;
  call.runner = *runner;
  call.is_spilled = is_spill;
  call.is_queued = false;
  ++counts_.sends;
  if (!call.is_retry)
    retry_tokens_ = std::min(settings_.retry_bound, retry_tokens_ + settings_.retry_share);
  sends_.push_back({call.index, call.id, row.name, row.http, call.path, call.method, row.seal_key, row.incarnation,
                    plan->is_repeatable, plan->is_streaming, call.deadline, call.is_retry, view_->config_revision});
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

void CallDispatcher::end_send(const SendEnd& end, Moment now) {
  auto entry = calls_.find(end.call);
  if (entry == calls_.end())
    return;
  PoolIndex at = entry->second;
  Call& call = pool_[at];
  Link& link = links_[call.runner];
  if (link.in_flight > 0)
    --link.in_flight;
  auto& counts = in_flight_[call.plan];
  --counts.first;
  if (call.is_spilled)
    --counts.second;
  if (end.has_report) {
    link.has_report = true;
    link.incarnation = end.incarnation;
    link.reported_load = end.load;
    link.own_at_report = link.in_flight;
    link.capacity = end.capacity;
  }
  const ServingPlan* plan = plan_of(call);
  if (end.reason == "no link" || end.reason == "link broke") {
    link.shunned_at = view_->version;
    link.shunned_until = now + shun_time;
    link.is_reachable = end.reason != "no link";
    auto row = view_->runners.find(call.runner);
    link.incarnation = row == view_->runners.end() ? 0 : row->second.incarnation;
  }
  if (end.kind == SendEndKind::refused && end.has_report) {
    // Full, or back under another incarnation: its own word counts until the map has caught up.
    auto row = view_->runners.find(call.runner);
    if (row != view_->runners.end() && row->second.incarnation != end.incarnation) {
      link.shunned_at = view_->version;
      link.shunned_until = now + shun_time;
      link.is_reachable = false;
      link.incarnation = row->second.incarnation;
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
        finish(end.call, refusal(end.call, "no runner could take it: " + end.reason, Span{1000}));
      } else {
        ++counts_.unknown;
        finish(end.call, FinalAct{end.call,
                                  502,
                                  "the runner gave no sound answer: " + end.reason,
                                  true,
                                  plan != nullptr && plan->is_repeatable ? Span{1000} : Span{0},
                                  {}});
      }
      break;
    }
  }
  pump(now);
}

void CallDispatcher::caller_gone(CallIndex index, Moment now) {
  ungated_.erase(
      std::remove_if(ungated_.begin(), ungated_.end(), [&](const auto& waiting) { return waiting.index == index; }),
      ungated_.end());
  auto entry = calls_.find(index);
  if (entry == calls_.end() || !pool_[entry->second].is_queued)
    return;  // a send in hand ends on its own
  forget(entry->second);
  pump(now);
}

void CallDispatcher::pump(Moment now) {
  for (auto& [name, queue] : queue_) {
    while (queue.front() != no_index) {
      PoolIndex at = queue.front();
      Call& call = pool_[at];
      if (call.queued_until <= now || call.deadline <= now || is_closed_) {
        ++counts_.refused_full;
        finish(call.index,
               refusal(call.index, is_closed_ ? "this daemon is stopping" : "no runner came free for it", Span{1000}));
        continue;
      }
      if (plan_of(call) == nullptr) {
        ++counts_.refused_admission;
        finish(call.index, FinalAct{call.index, 404, "its plan was taken away", false, Span{0}, {}});
        continue;
      }
      if (call.is_retry && retry_tokens_ < 1) {
        ++counts_.retry_denied;
        finish(call.index, refusal(call.index, "no retry is left for it", Span{1000}));
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

void CallDispatcher::on_timer(Moment now) {
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
        finish(call.index, refusal(call.index, "no runner came free for it", Span{1000}));
      }
      at = next;
    }
  }
  pump(now);
}

std::vector<SendAct> CallDispatcher::take_sends() { return std::exchange(sends_, {}); }
std::vector<FinalAct> CallDispatcher::take_finals() { return std::exchange(finals_, {}); }

}  // namespace emberdale
