// What the programs of the fleet share at run time: the clock, random ids, signals, logging and the text of counters.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "absl/status/status.h"
#include "emberdale/duration_histogram.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

// Milliseconds on a clock that is never set and goes on while the machine sleeps. Safe for use by several threads.
TimePoint steady_now();

// 16 random bytes as 32 hexadecimal digits. Safe for use by several threads.
std::string random_id();

// The memory of this process that is resident, in bytes; 0 where the system does not tell.
std::int64_t resident_bytes();

// Begins logging to standard error, ignores SIGPIPE and blocks the signals that wait_for_stop() waits for. From then on
// a crash, or an exception that nobody catches, leaves its stack there. To be called
// by the main thread before others are started. Example: start_program("emberdale-data-plane")
void start_program(const char* name);

// Ends the process at once, without destructors of static objects: the HTTP library's threads may still use them. To be
// called by daemons once all that matters is written.
[[noreturn]] void end_program(int status);

// The files, sockets and pipes that this process has open, and how many it may have; 0 where the system does not tell.
std::int64_t open_descriptors();
std::int64_t descriptor_limit();
// Lowers the limit of this process to that number; a number that is not positive, or above the limit, changes nothing.
void limit_descriptors(std::int64_t count);

// Calls `open` until it gives another status than Unavailable, which is returned: a former process may still hold the
// address or the folder, and a disk may refuse for a time. What it waits for is logged. After a signal to stop, the
// status is Cancelled.
absl::Status open_patiently(const std::function<absl::Status()>& open);

// Waits for SIGTERM or SIGINT and gives its number. A SIGHUP says that the settings file has changed: it calls
// `on_hang_up`, if given, and waiting goes on.
int wait_for_stop(const std::function<void()>& on_hang_up = nullptr);

// The Content-Type of counters_text().
constexpr const char* metrics_content_type = "text/plain; version=0.0.4";
// Counters in the text format of Prometheus. Example: counters_text("emberdale", {{"calls", 3}})
std::string counters_text(const std::string& prefix, const std::map<std::string, std::int64_t>& counters);
// A histogram of milliseconds in the same format, with its maximum as a gauge beside it.
// Example: histogram_text("emberdale_data_list_age_at_send_ms", histogram)
std::string histogram_text(const std::string& name, const DurationHistogram& histogram);

}  // namespace emberdale
