#include "emberdale/runner_availability.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace emberdale {
namespace {

std::int64_t digest_of(const RunnerAvailability& availability) {
  std::string names;
  for (const auto& [name, marked_at] : availability.unavailable)
    names += name.text + "\n";
  names += "\n";
  for (const auto& [name, since] : availability.restored)
    names += name.text + "\n";
  return static_cast<std::int64_t>(stable_hash(names));
}

}  // namespace

bool AvailabilityTracker::take(const ListReading& reading) {
  bool is_empty = reading.in_service.empty() && reading.draining.empty();
  bool is_outdated = current_.read_at && reading.begun_at <= *current_.read_at;
  if (is_empty || is_outdated)
    return false;
  RunnerAvailability next;
  next.read_at = reading.begun_at;
  for (const auto& name : reading.draining)
    next.unavailable[name] = marked_at(name, reading.begun_at);
  for (const auto& name : vanished_in(reading))
    next.unavailable[name] = marked_at(name, reading.begun_at);
  next.restored = restored_in(reading);
  last_in_service_.clear();
  for (const auto& name : reading.in_service)
    last_in_service_[name] = reading.begun_at;
  held_over_since_.clear();
  reported_digest_ = 0;
  replace(std::move(next));
  return true;
}

std::map<RunnerName, TimePoint> AvailabilityTracker::restored_in(const ListReading& reading) const {
  std::map<RunnerName, TimePoint> restored;
  for (const auto& [name, since] : current_.restored)
    if (reading.in_service.count(name) != 0 && reading.begun_at - since <= held_over_retention)
      restored[name] = since;
  for (const auto& [name, marked] : current_.unavailable)
    if (reading.in_service.count(name) != 0)
      restored[name] = reading.begun_at;
  return restored;
}

// When the list began to show that the runner is out of service, at the earliest.
TimePoint AvailabilityTracker::marked_at(const RunnerName& name, TimePoint begun_at) const {
  auto known = current_.unavailable.find(name);
  if (known != current_.unavailable.end())
    return known->second;
  auto seen = last_in_service_.find(name);
  return seen != last_in_service_.end() ? seen->second : begun_at;
}

// Runners that were listed before and are not listed now have ended, or are about to.
std::set<RunnerName> AvailabilityTracker::vanished_in(const ListReading& reading) {
  std::set<RunnerName> vanished;
  auto add = [&](const RunnerName& name) {
    if (reading.in_service.count(name) != 0 || reading.draining.count(name) != 0)
      return;
    TimePoint since = vanished_since_.insert({name, reading.begun_at}).first->second;
    if (reading.begun_at - since <= vanished_retention)
      vanished.insert(name);
  };
  for (const auto& [name, seen_at] : last_in_service_)
    add(name);
  for (const auto& [name, marked] : current_.unavailable)
    add(name);
  for (auto entry = vanished_since_.begin(); entry != vanished_since_.end();)
    entry = vanished.count(entry->first) == 0 ? vanished_since_.erase(entry) : std::next(entry);
  return vanished;
}

bool AvailabilityTracker::take(const AvailabilityReport& report, TimePoint now) {
  if (!report.has_reading || report.reading_age_ms < 0 || report.request_sent_at > now.value)
    return false;
  TimePoint sent_at{report.request_sent_at};
  TimePoint read_at{report.request_sent_at - report.reading_age_ms};
  if (current_.read_at && read_at <= *current_.read_at)
    return false;
  bool is_same_set = report.digest == reported_digest_ && current_.read_at.has_value();
  lacks_runners_ = !is_same_set && report.omits_runners;
  if (lacks_runners_)
    return false;
  if (is_same_set) {
    current_.read_at = read_at;
    return false;
  }
  RunnerAvailability next;
  next.read_at = read_at;
  for (const auto& runner : report.runners)
    next.unavailable[runner.name] = TimePoint{sent_at.value - runner.marked_age_ms};
  for (const auto& name : report.restored)
    next.restored[name] = sent_at;
  hold_over(report, next);
  reported_digest_ = report.digest;
  replace(std::move(next));
  return true;
}

// Keeps what was known before and what the report says nothing of.
void AvailabilityTracker::hold_over(const AvailabilityReport& report, RunnerAvailability& next) {
  TimePoint now{report.request_sent_at};
  std::map<RunnerName, TimePoint> held_over;
  for (const auto& [name, marked_at] : current_.unavailable) {
    if (next.unavailable.count(name) != 0 || next.restored.count(name) != 0)
      continue;
    auto held = held_over_since_.find(name);
    TimePoint since = held != held_over_since_.end() ? held->second : now;
    if (now - since > held_over_retention)
      continue;
    held_over[name] = since;
    next.unavailable[name] = marked_at;
  }
  held_over_since_ = std::move(held_over);
}

void AvailabilityTracker::replace(RunnerAvailability next) {
  current_ = std::move(next);
  digest_ = digest_of(current_);
  lacks_runners_ = false;
}

AvailabilityReport AvailabilityReporter::report_for(const Address& receiver, std::int64_t request_sent_at,
                                                    bool lacks_runners, const AvailabilityTracker& tracker,
                                                    TimePoint now) {
  AvailabilityReport report;
  report.request_sent_at = request_sent_at;
  const RunnerAvailability& current = tracker.current();
  if (!current.read_at)
    return report;
  report.has_reading = true;
  report.reading_age_ms = (now - *current.read_at).value;
  report.digest = tracker.digest();
  auto sent = sent_digests_.find(receiver);
  report.omits_runners = !lacks_runners && sent != sent_digests_.end() && sent->second == report.digest;
  if (report.omits_runners)
    return report;
  for (const auto& [name, marked_at] : current.unavailable)
    report.runners.push_back({name, (now - marked_at).value});
  for (const auto& [name, since] : current.restored)
    report.restored.push_back(name);
  sent_digests_[receiver] = report.digest;
  return report;
}

}  // namespace emberdale
