// Maintenance windows from iCalendar files (RFC 5545), read with libical. Without I/O or clock; libical keeps its time
// zones in global state, so only one thread may read calendars at a time.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "emberdale/serving_plans.hpp"

namespace emberdale {

// The maintenance windows of each zone, sorted by their start.
using WindowsByZone = std::map<std::string, std::vector<MaintenanceWindow>>;

// Reads the events of a calendar: an event's LOCATION is the zone, its recurrences and time zones are resolved. Gives
// the windows that touch the time from `from` until `until`, in seconds since 1970.
//
// All that is wrong is added to `findings` with the name of the document, the event's UID and property, and the line
// where the event begins; the windows of such an event are left out. Cancelled events are ignored.
// Example: read_calendar("works.ics", text, now, now + 30 * 86400, findings)["b"]
WindowsByZone read_calendar(const std::string& document, const std::string& text, std::int64_t from, std::int64_t until,
                            std::vector<Finding>& findings);

}  // namespace emberdale
