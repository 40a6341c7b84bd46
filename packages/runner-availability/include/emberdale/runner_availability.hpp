// What a daemon knows of the list of runners without the placement map: which runners take no new requests, by which
// reading of the list, and how old that reading is at most. Control daemons read the list or hear of it from the
// master; data daemons hear of it from control daemons. Without I/O, clock or threads.
//
// Ages survive the way from daemon to daemon because each report answers a message that carries its receiver's clock:
// what the report calls N ms old was true N ms before that message was sent, or later.
#pragma once
#include <map>
#include <optional>
#include <set>

#include "emberdale/messages.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

// The newest reading of the list that a daemon knows of. All times are on its own clock.
struct RunnerAvailability {
  // The reading was begun then or later; nothing if none is known.
  std::optional<TimePoint> read_at;
  // The runners that take no new requests, and when the list began to say so at the earliest.
  std::map<RunnerName, TimePoint> unavailable;
  // Runners that were unavailable, and since which reading the list shows them in service again.
  std::map<RunnerName, TimePoint> restored;

  // Example: if (auto age = availability.age(now)) histogram.record(*age);
  std::optional<Duration> age(TimePoint now) const {
    return read_at ? std::optional<Duration>(now - *read_at) : std::nullopt;
  }
};

// One complete reading of the list.
struct ListReading {
  TimePoint begun_at;
  std::set<RunnerName> in_service, draining;
};

// Keeps the newest reading, by own readings and by reports.
// Invariant: `read_at` never goes back, so a reading that was held up changes nothing.
class AvailabilityTracker {
 public:
  // A runner that the list shows no more counts as unavailable for so long: a map that is behind may name it still.
  static constexpr Duration vanished_retention{15000};
  // What a reader has said once outlives a reader that has just started and does not know it: a runner that neither is
  // reported unavailable any more nor restored stays unavailable for so long.
  static constexpr Duration held_over_retention{30000};

  // A reading of this daemon's own; false if a newer one is known. An empty one is more likely a fault than the end of
  // all runners, and is ignored.
  bool take(const ListReading& reading);
  // A report that answers a message of this daemon. True if the set of unavailable runners has changed.
  bool take(const AvailabilityReport& report, TimePoint now);
  // The last report named a reading whose runners are not known here: the sender has to be asked for them.
  bool lacks_runners() const { return lacks_runners_; }
  const RunnerAvailability& current() const { return current_; }
  // Of the names of the unavailable and restored runners.
  std::int64_t digest() const { return digest_; }

 private:
  TimePoint marked_at(const RunnerName& name, TimePoint begun_at) const;
  std::set<RunnerName> vanished_in(const ListReading& reading);
  std::map<RunnerName, TimePoint> restored_in(const ListReading& reading) const;
  void hold_over(const AvailabilityReport& report, RunnerAvailability& next);
  void replace(RunnerAvailability next);

  RunnerAvailability current_;
  std::int64_t digest_ = 0;
  std::int64_t reported_digest_ = 0;  // of the report that was taken last; 0: an own reading was taken since
  std::map<RunnerName, TimePoint> held_over_since_;
  bool lacks_runners_ = false;
  // Of the last reading of this daemon's own.
  std::map<RunnerName, TimePoint> last_in_service_;
  // Since which reading of its own the list does not show them any more.
  std::map<RunnerName, TimePoint> vanished_since_;
};

// Makes reports for others. The runners go along only when they differ from those that were sent to that receiver last.
class AvailabilityReporter {
 public:
  // `lacks_runners`: the receiver says that it has to be sent the runners.
  AvailabilityReport report_for(const Address& receiver, std::int64_t request_sent_at, bool lacks_runners,
                                const AvailabilityTracker& tracker, TimePoint now);

 private:
  std::map<Address, std::int64_t> sent_digests_;
};

}  // namespace emberdale
