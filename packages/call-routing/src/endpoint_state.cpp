#include "emberdale/endpoint_state.hpp"

#include <algorithm>

namespace emberdale {
namespace {

constexpr Duration one_second{1000};
constexpr Duration attempt_history{1200};      // start times older than that are dropped
constexpr Duration load_report_lifetime{700};  // a runner's load report counts that long
constexpr Duration prompt_retention{60000};    // prompt parts that a runner was sent count as cached that long
constexpr std::size_t max_cached_prompts = 4096;
constexpr int max_failure_factor = 4;

}  // namespace

std::int64_t EndpointState::start_attempt(const std::vector<PromptPart>& prompt, TimePoint now) {
  while (!recent_attempts_.empty() && now - recent_attempts_.front() >= attempt_history)
    recent_attempts_.pop_front();
  recent_attempts_.push_back(now);
  ++in_flight_;
  std::int64_t uncached = uncached_tokens(prompt, now);
  pending_prompt_tokens_ += uncached;
  remember_prompt(prompt, now);
  return uncached;
}

void EndpointState::finish_attempt(std::int64_t uncached_tokens, bool has_event) {
  if (in_flight_ > 0)
    --in_flight_;
  if (!has_event)
    finish_prompt(uncached_tokens);
}

void EndpointState::finish_prompt(std::int64_t uncached_tokens) {
  pending_prompt_tokens_ = std::max<std::int64_t>(0, pending_prompt_tokens_ - uncached_tokens);
}

void EndpointState::record_success(TimePoint now) {
  last_received_at_ = now;
  consecutive_failures_ = 0;
}

void EndpointState::record_load_report(std::int64_t calls, TimePoint now) {
  reported_load_ = calls;
  in_flight_at_report_ = in_flight_;
  reported_at_ = now;
}

void EndpointState::eject(Duration duration, TimePoint now) {
  ejected_until_ = std::max(ejected_until_, now + duration);
}

void EndpointState::record_failure(Duration duration, TimePoint now) {
  ++consecutive_failures_;
  eject(Duration{duration.value * std::min(consecutive_failures_, max_failure_factor)}, now);
}

void EndpointState::record_silence(Duration duration, TimePoint now) {
  if (is_ejected(now))
    return;
  ++consecutive_failures_;
  ejected_until_ = now + duration;
}

std::int64_t EndpointState::estimated_load(TimePoint now) const {
  if (now - reported_at_ >= load_report_lifetime)
    return in_flight_;
  return std::max(in_flight_, reported_load_ + in_flight_ - in_flight_at_report_);
}

std::int64_t EndpointState::attempts_within_last_second(TimePoint now) const {
  return std::count_if(recent_attempts_.begin(), recent_attempts_.end(),
                       [now](TimePoint started_at) { return now - started_at < one_second; });
}

bool EndpointState::has_recent_attempt(TimePoint now) const {
  return !recent_attempts_.empty() && now - recent_attempts_.back() < one_second;
}

// A cache of a prompt's prefix ends at the first part that it lacks: all from there on is read anew.
std::int64_t EndpointState::uncached_tokens(const std::vector<PromptPart>& prompt, TimePoint now) const {
  std::int64_t uncached = 0;
  bool is_cached = true;
  for (const auto& part : prompt) {
    auto cached = cached_prompts_.find(part.id);
    is_cached = is_cached && cached != cached_prompts_.end() && now - cached->second < prompt_retention;
    if (!is_cached)
      uncached += part.tokens;
  }
  return uncached;
}

void EndpointState::remember_prompt(const std::vector<PromptPart>& prompt, TimePoint now) {
  for (const auto& part : prompt)
    cached_prompts_[part.id] = now;
  if (cached_prompts_.size() <= max_cached_prompts)
    return;
  constexpr Duration kept_when_full{prompt_retention.value / 4};
  for (auto part = cached_prompts_.begin(); part != cached_prompts_.end();)
    part = now - part->second > kept_when_full ? cached_prompts_.erase(part) : std::next(part);
}

}  // namespace emberdale
