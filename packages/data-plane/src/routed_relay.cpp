// The life of the routed relay and its traffic thread, which alone talks to the dispatcher.
#include "routed_relay.hpp"

#include <glog/logging.h>

#include <algorithm>

#include "emberdale/program_settings.hpp"
#include "routed_relay_state.hpp"

namespace emberdale {

namespace {
constexpr Duration last_answers_patience{300};         // for what was broken off to be written
constexpr Duration closed_connections_timeout{10000};  // for what was in hand on links that are closed now
constexpr int max_events_at_once = 64;                 // before the dispatcher's timer is looked at again
}  // namespace

RoutedRelay::RoutedRelay(RouteDispatcherSettings settings, RelayHeaderNames words, const ControlSnapshot& snapshot,
                         const std::string& http)
    : settings_(settings),
      words_(std::move(words)),
      snapshot_(snapshot),
      listener_("http://" + http + "/"),
      dispatcher_(std::move(settings)) {
  listener_.support([this](web::http::http_request request) { handle(std::move(request)); });
}

RoutedRelay::~RoutedRelay() {
  stop(Duration{0});
  close_listener();
}

Outcome<bool> RoutedRelay::open() {
  try {
    listener_.open().wait();
  } catch (const std::exception& fault) {
    return failure(std::string("can't listen for HTTP: ") + fault.what());
  }
  is_open_ = is_listening_ = true;
  traffic_ = std::thread([this] { run_routed_requests(); });
  return true;
}

void RoutedRelay::wake() {
  if (!is_woken_.exchange(true))
    events_.force(Woken{});
}

// The listener stays: where it is gone, the library says 404 on links that are still open, and callers would not try
// again. Until the relay itself goes, what still comes is refused with 503.
void RoutedRelay::stop(Duration patience) {
  begin_stopping();
  if (!is_open_.exchange(false))
    return;
  wait_none_in_hand(patience);
  is_closing_ = true;
  wake();
  if (traffic_.joinable())
    traffic_.join();  // what is left was broken off
  wait_none_in_hand(last_answers_patience);
}

bool RoutedRelay::wait_none_in_hand(Duration patience) {
  std::unique_lock<std::mutex> guard(in_hand_->mutex);
  return in_hand_->changed.wait_for(guard, std::chrono::milliseconds(patience.value),
                                    [&] { return in_hand_->calls == 0; });
}

void RoutedRelay::close_listener() {
  if (!is_listening_)
    return;
  try {
    listener_.close().wait();
  } catch (const std::exception&) {
  }
  if (!wait_none_in_hand(closed_connections_timeout))
    LOG(ERROR) << "calls are still in hand after the end";
}

RouteDispatcher::Counts RoutedRelay::counts() const {
  std::lock_guard<std::mutex> guard(counts_mutex_);
  return counts_;
}

std::size_t RoutedRelay::in_hand() const {
  std::lock_guard<std::mutex> guard(in_hand_->mutex);
  return in_hand_->calls;
}

void RoutedRelay::run_routed_requests() {
  TimePoint now = steady_now();
  TimePoint timer_at = now;
  while (!is_closing_) {
    Duration wait = std::min(Duration{500}, std::max(Duration{0}, timer_at - now));
    auto event = events_.take_within(std::chrono::milliseconds(wait.value));
    now = steady_now();
    is_woken_ = false;  // before the word is read: a later change wakes again
    take_snapshot(now);
    for (int taken = 0; event && taken < max_events_at_once; ++taken) {
      on_event(*event, now);
      event = events_.take_within(std::chrono::milliseconds(0));
    }
    if (event)
      on_event(*event, now);
    if (timer_at <= now) {
      dispatcher_.on_timer(now);
      timer_at = std::max(dispatcher_.timer_next(now), now + Duration{1});
    }
    act(now);
    timer_at = std::min(timer_at, std::max(dispatcher_.timer_next(now), now + Duration{1}));
    std::lock_guard<std::mutex> guard(counts_mutex_);
    counts_ = dispatcher_.counts();
  }
  events_.close();  // a call that arrives from here on is refused there
  refuse_arrived();
  break_off("this daemon stops");
}

void RoutedRelay::take_snapshot(TimePoint now) {
  auto [view, grant] = snapshot_.get();
  dispatcher_.set_warming_up_until(grant.warming_up_until);
  if (view == view_)
    return;
  view_ = view;
  max_header_bytes_ = view->limits.max_header_bytes;
  max_body_bytes_ = view->limits.max_body_bytes;
  drop_connections(*view);
  dispatcher_.see(view, now);
}

// Those that no one takes up any more.
void RoutedRelay::refuse_arrived() {
  while (auto event = events_.take_within(std::chrono::milliseconds(0)))
    if (auto* arrived = std::get_if<Arrived>(&*event))
      refuse(arrived->handle->request, arrived->handle->id, {503, "this daemon stops", stopped_retry_after},
             arrived->handle);
}

void RoutedRelay::on_event(RoutedEvent& event, TimePoint now) {
  if (auto* arrived = std::get_if<Arrived>(&event))
    on_arrived(*arrived, now);
  else if (auto* ended = std::get_if<RoutedEnd>(&event))
    on_end(*ended, now);
  else if (auto* begun = std::get_if<Begun>(&event))
    dispatcher_.answer_begun(begun->index, begun->turn, now);
  else if (auto* piece = std::get_if<Piece>(&event))
    dispatcher_.first_piece(piece->index, piece->turn, now);
  else if (auto* gone = std::get_if<Gone>(&event))
    on_gone(*gone, now);
}

void RoutedRelay::on_arrived(Arrived& arrived, TimePoint now) {
  CallIndex index = arrived.handle->index;
  calls_[index].handle = arrived.handle;
  if (auto refusal = dispatcher_.admit(arrived.call, now, index)) {
    answer_final(*refusal, arrived.handle);
    calls_.erase(index);
  }
}

void RoutedRelay::on_end(const RoutedEnd& ended, TimePoint now) {
  auto entry = calls_.find(ended.call);
  if (entry == calls_.end() || !entry->second.send || entry->second.send->act.turn != ended.turn)
    return;  // of a send given up
  entry->second.send.reset();
  entry->second.may_have_run |=
      ended.may_have_run || ended.kind == RoutedEndKind::lost || ended.kind == RoutedEndKind::broken;
  bool is_over = ended.kind == RoutedEndKind::answered || ended.kind == RoutedEndKind::caller_gone;
  if (is_over)
    calls_.erase(entry);
  dispatcher_.on_attempt_finished(ended, now);
}

void RoutedRelay::on_gone(const Gone& gone, TimePoint now) {
  auto entry = calls_.find(gone.index);
  if (entry == calls_.end())
    return;
  ++relay_counts_.callers_gone;
  give_up(entry->second);
  calls_.erase(entry);
  dispatcher_.caller_gone(gone.index, now);
}

// Closes the link of the current send. Nothing of it is handed on from here.
void RoutedRelay::give_up(Entry& entry) {
  if (!entry.send)
    return;
  {
    std::lock_guard<std::mutex> guard(entry.handle->mutex);
    entry.handle->turn = 0;
  }
  entry.send->stop.cancel();
  entry.send.reset();
}

void RoutedRelay::act(TimePoint now) {
  for (const auto& stopped : dispatcher_.take_stops()) {
    auto entry = calls_.find(stopped.call);
    if (entry == calls_.end() || !entry->second.send || entry->second.send->act.turn != stopped.turn)
      continue;
    ++relay_counts_.stops;
    entry->second.may_have_run = true;
    give_up(entry->second);
  }
  for (const auto& wish : dispatcher_.take_sends())
    send(wish, now);
  for (const auto& final_act : dispatcher_.take_finals()) {
    auto found = calls_.find(final_act.call);
    if (found == calls_.end())
      continue;
    Entry entry = found->second;
    calls_.erase(found);
    give_up(entry);
    answer_final(final_act, entry.handle);
  }
}

void RoutedRelay::break_off(const std::string& reason) {
  while (!calls_.empty()) {
    Entry entry = calls_.begin()->second;
    calls_.erase(calls_.begin());
    bool may_have_run = entry.may_have_run || entry.send != nullptr;
    give_up(entry);
    FinalAct act{entry.handle->index, 503, reason, may_have_run, stopped_retry_after, {}};
    if (may_have_run) {  // 503 would be a promise
      act.code = 502;
      act.retry_after = Duration{0};
    }
    answer_final(act, entry.handle);
  }
  connections_.clear();
}

}  // namespace emberdale
