#include "emberdale/runner_availability.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace emberdale {
namespace {

std::int64_t digest_of(const std::map<RunnerName, TimePoint>& runners) {
  std::string names;
  for (const auto& [name, marked_at] : runners)
    names += name.text + "\n";
  return static_cast<std::int64_t>(stable_hash(names));
}

}  // namespace

bool AvailabilityTracker::take(const ListReading& reading) {
  bool is_empty = reading.in_service.empty() && reading.draining.empty();
  bool is_outdated = current_.read_at && reading.begun_at <= *current_.read_at;
  if (is_empty || is_outdated)
    return false;
  std::map<RunnerName, TimePoint> unavailable;
  for (const auto& name : reading.draining)
    unavailable[name] = marked_at(name, reading.begun_at);
  for (const auto& name : vanished_in(reading))
    unavailable[name] = marked_at(name, reading.begun_at);
  last_in_service_.clear();
  for (const auto& name : reading.in_service)
    last_in_service_[name] = reading.begun_at;
  replace(reading.begun_at, std::move(unavailable));
  return true;
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
  bool is_same_set = report.digest == digest_ && current_.read_at.has_value();
  if (is_same_set) {
    lacks_runners_ = false;
    current_.read_at = read_at;
    return false;
  }
  lacks_runners_ = report.omits_runners;
  if (lacks_runners_)
    return false;
  std::map<RunnerName, TimePoint> unavailable;
  for (const auto& runner : report.runners)
    unavailable[runner.name] = TimePoint{sent_at.value - runner.marked_age_ms};
  replace(read_at, std::move(unavailable));
  return true;
}

void AvailabilityTracker::replace(TimePoint read_at, std::map<RunnerName, TimePoint> unavailable) {
  current_.read_at = read_at;
  current_.unavailable = std::move(unavailable);
  digest_ = digest_of(current_.unavailable);
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
  sent_digests_[receiver] = report.digest;
  return report;
}

}  // namespace emberdale
