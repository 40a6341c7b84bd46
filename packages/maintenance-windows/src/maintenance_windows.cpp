#include "emberdale/maintenance_windows.hpp"

#include <libical/ical.h>

#include <algorithm>
#include <memory>

namespace emberdale {
namespace {

constexpr std::size_t max_windows = 400;
constexpr std::int64_t longest = std::int64_t{14} * 86400;

// Gathered before anything else is asked of the component: any look-up moves its own place among its
// properties, and a walk that looks something up on its way never ends.
std::vector<icalproperty*> all_of(icalcomponent* component, icalproperty_kind kind) {
  std::vector<icalproperty*> list;
  for (icalproperty* one = icalcomponent_get_first_property(component, kind); one != nullptr;
       one = icalcomponent_get_next_property(component, kind))
    list.push_back(one);
  return list;
}

// All starts of an event within a time. The library's own walk over recurrences adds up seconds and so
// loses the local hour at a change of summer time; here each start is taken in the event's time zone.
std::vector<std::int64_t> starts_of(icalcomponent* event, const icaltimetype& start, std::int64_t from,
                                    std::int64_t until) {
  std::vector<std::int64_t> starts;
  auto take = [&](icaltimetype time) {
    time.zone = start.zone;
    std::int64_t seconds =
        icaltime_as_timet_with_zone(time, icaltime_is_utc(start) ? icaltimezone_get_utc_timezone() : start.zone);
    if (seconds < until && seconds > from &&
        !icalproperty_recurrence_is_excluded(event, const_cast<icaltimetype*>(&start), &time))
      starts.push_back(seconds);
    return seconds;
  };
  auto rules = all_of(event, ICAL_RRULE_PROPERTY), extras = all_of(event, ICAL_RDATE_PROPERTY);
  if (rules.empty())
    take(start);
  for (icalproperty* rule : rules) {
    // Walked in local time without a zone: the library's iterator stays an hour off after a start that
    // falls into the gap of a change to summer time.
    icalrecurrencetype recurrence = icalproperty_get_rrule(rule);
    icaltimetype local = start;
    if (!icaltime_is_utc(start)) {
      if (!icaltime_is_null_time(recurrence.until) && icaltime_is_utc(recurrence.until))
        recurrence.until = icaltime_convert_to_zone(recurrence.until, const_cast<icaltimezone*>(start.zone));
      recurrence.until.zone = nullptr;
      local.zone = nullptr;
    }
    icalrecur_iterator* walk = icalrecur_iterator_new(recurrence, local);
    if (walk == nullptr)
      continue;
    for (int count = 0; count < 20000 && starts.size() < max_windows; ++count) {
      icaltimetype time = icalrecur_iterator_next(walk);
      if (icaltime_is_null_time(time) || take(time) >= until)
        break;
    }
    icalrecur_iterator_free(walk);
  }
  for (icalproperty* extra : extras) {
    icaltimetype time = icalproperty_get_rdate(extra).time;
    if (!icaltime_is_null_time(time))
      take(time);
  }
  return starts;
}

int line_of(const std::string& text, const std::string& uid) {
  auto at = uid.empty() ? std::string::npos : text.find("UID:" + uid);
  return at == std::string::npos
             ? 0
             : static_cast<int>(std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n')) + 1;
}

}  // namespace

std::map<std::string, std::vector<MaintenanceWindow>> read_calendar(const std::string& document,
                                                                    const std::string& text, std::int64_t from,
                                                                    std::int64_t until,
                                                                    std::vector<Finding>& findings) {
  std::map<std::string, std::vector<MaintenanceWindow>> windows;
  icalerror_set_errors_are_fatal(0);
  auto error = [&](const std::string& place, int line, const std::string& message) {
    findings.push_back({"error", document, place, line, line > 0 ? 1 : 0, message});
  };
  std::unique_ptr<icalcomponent, void (*)(icalcomponent*)> calendar(icalparser_parse_string(text.c_str()),
                                                                    icalcomponent_free);
  if (!calendar || icalcomponent_isa(calendar.get()) != ICAL_VCALENDAR_COMPONENT) {
    error("", 1, "is not one iCalendar object (VCALENDAR)");
    return windows;
  }
  for (icalcomponent* broken = icalcomponent_get_first_component(calendar.get(), ICAL_ANY_COMPONENT); broken != nullptr;
       broken = icalcomponent_get_next_component(calendar.get(), ICAL_ANY_COMPONENT)) {
    for (icalproperty* fault : all_of(broken, ICAL_XLICERROR_PROPERTY)) {
      const char* uid = icalcomponent_get_uid(broken);
      error(uid ? uid : "", line_of(text, uid ? uid : ""), icalproperty_get_xlicerror(fault));
    }
  }
  int events = 0;
  for (icalcomponent* event = icalcomponent_get_first_component(calendar.get(), ICAL_VEVENT_COMPONENT);
       event != nullptr; event = icalcomponent_get_next_component(calendar.get(), ICAL_VEVENT_COMPONENT)) {
    ++events;
    const char* uid_text = icalcomponent_get_uid(event);
    std::string uid = uid_text ? uid_text : "";
    int line = line_of(text, uid);
    std::string place = uid.empty() ? "event " + std::to_string(events) : uid;
    if (icalcomponent_get_status(event) == ICAL_STATUS_CANCELLED)
      continue;
    const char* zone = icalcomponent_get_location(event);
    if (zone == nullptr || *zone == '\0')
      error(place + "/LOCATION", line, "must name the zone");
    icalproperty* start_property = icalcomponent_get_first_property(event, ICAL_DTSTART_PROPERTY);
    if (start_property == nullptr) {
      error(place + "/DTSTART", line, "is required");
      continue;
    }
    icaltimetype start = icalcomponent_get_dtstart(event), end = icalcomponent_get_dtend(event);
    if (icaltime_is_null_time(start) || !icaltime_is_valid_time(start)) {
      error(place + "/DTSTART", line, "is no time");
      continue;
    }
    if (start.is_date) {
      error(place + "/DTSTART", line, "must be a time, not a whole day");
      continue;
    }
    icalparameter* named_zone = icalproperty_get_first_parameter(start_property, ICAL_TZID_PARAMETER);
    if (!icaltime_is_utc(start) && start.zone == nullptr) {
      error(place + "/DTSTART", line,
            named_zone != nullptr ? std::string("time zone '") + icalparameter_get_tzid(named_zone) + "' is not known"
                                  : std::string("must be in UTC or name a time zone (TZID)"));
      continue;
    }
    std::int64_t length = icaltime_is_null_time(end) ? 0
                                                     : icaltime_as_timet_with_zone(end, end.zone) -
                                                           icaltime_as_timet_with_zone(start, start.zone);
    if (length <= 0) {
      error(place + "/DTEND", line, "must be after DTSTART (or give a DURATION)");
      continue;
    }
    if (length > longest) {
      error(place + "/DTEND", line, "a window lasts 14 days at most");
      continue;
    }
    if (zone == nullptr || *zone == '\0')
      continue;
    auto& list = windows[zone];
    for (std::int64_t begin : starts_of(event, start, from - length, until))
      list.push_back({begin, begin + length});
    if (list.size() >= max_windows)
      error(place, line, "more than 400 windows of zone '" + std::string(zone) + "' lie in that time");
  }
  if (events == 0)
    error("", 1, "holds no event");
  for (auto& [zone, list] : windows)
    std::sort(list.begin(), list.end(), [](const auto& a, const auto& b) { return a.from < b.from; });
  return windows;
}

}  // namespace emberdale
