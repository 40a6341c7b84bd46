// Maintenance windows from iCalendar files (RFC 5545), read with libical.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "emberdale/serving_plans.hpp"

namespace emberdale {

// The windows of each zone (an event's LOCATION) that touch the time from `from` until `until`, both in
// seconds since 1970; recurrence and time zones are worked out. Everything wrong is a finding.
// Example: read_calendar("works.ics", text, now, now + 30 * 86400, findings)["b"]
std::map<std::string, std::vector<MaintenanceWindow>> read_calendar(const std::string& document,
                                                                    const std::string& text, std::int64_t from,
                                                                    std::int64_t until, std::vector<Finding>& findings);

}  // namespace emberdale
