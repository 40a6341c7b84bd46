// What one data daemon knows of one runner (endpoint): load, outlier ejection, slow start and cached prompt parts.
// Without I/O, clock or threads.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

// One part of a prompt: its id and its length in tokens.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

// The endpoint's state as its attempts and their results show it. Times before the first event lie far in the past.
class EndpointState {
 public:
  // An attempt goes to the endpoint. Gives the tokens of the prompt that the runner has to read anew.
  std::int64_t start_attempt(const std::vector<PromptPart>& prompt, TimePoint now);
  // The attempt is over or cancelled; its uncached tokens count until its first event.
  void finish_attempt(std::int64_t uncached_tokens, bool has_event);
  // The first event of an attempt has come, so its prompt has been read.
  void finish_prompt(std::int64_t uncached_tokens);
  // A response has begun or ended: the endpoint is alive.
  void record_success(TimePoint now);
  // Something that is no failure has come from the endpoint.
  void record_contact(TimePoint now) { last_received_at_ = now; }
  // The runner reported how many calls it has, running or waiting.
  void record_load_report(std::int64_t calls, TimePoint now);

  // Ejects the endpoint from selection for at least this long.
  void eject(Duration duration, TimePoint now);
  // Ejects it for the longer the more failures there were in a row, up to four times the duration.
  void record_failure(Duration duration, TimePoint now);
  // Ejects it for having been silent, unless it is ejected already.
  void record_silence(Duration duration, TimePoint now);
  bool is_ejected(TimePoint now) const { return now < ejected_until_; }
  // After a failure one attempt at a time is let through, until a response has come.
  bool is_on_probation() const { return consecutive_failures_ > 0 && in_flight_ > 0; }

  std::int64_t in_flight() const { return in_flight_; }
  // Attempts in flight, corrected by a load report while that is recent.
  std::int64_t estimated_load(TimePoint now) const;
  // Tokens of prompts that the runner was sent and has not shown to have read.
  std::int64_t pending_prompt_tokens() const { return pending_prompt_tokens_; }
  TimePoint last_received_at() const { return last_received_at_; }
  // Attempts that were started within the last second; the quota of a warming runner is counted by it.
  std::int64_t attempts_within_last_second(TimePoint now) const;
  // When the last attempt was started; nothing if there was none.
  std::optional<TimePoint> last_attempt_at() const {
    return recent_attempts_.empty() ? std::nullopt : std::optional<TimePoint>(recent_attempts_.back());
  }
  // True if the last attempt was started within the last second.
  bool has_recent_attempt(TimePoint now) const;

 private:
  std::int64_t uncached_tokens(const std::vector<PromptPart>& prompt, TimePoint now) const;
  void remember_prompt(const std::vector<PromptPart>& prompt, TimePoint now);

  std::int64_t in_flight_ = 0;
  std::int64_t pending_prompt_tokens_ = 0;
  std::int64_t reported_load_ = 0, in_flight_at_report_ = 0;
  TimePoint reported_at_{-100000};
  TimePoint ejected_until_{-100000};
  int consecutive_failures_ = 0;
  TimePoint last_received_at_{-100000};
  std::deque<TimePoint> recent_attempts_;              // start times, for the slow-start quota
  std::map<std::uint64_t, TimePoint> cached_prompts_;  // prompt parts the runner was sent, and when last
};

}  // namespace emberdale
