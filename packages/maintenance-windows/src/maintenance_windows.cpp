#include "emberdale/maintenance_windows.hpp"

#include <libical/ical.h>

#include <algorithm>
#include <memory>
#include <optional>

namespace emberdale {

namespace {

constexpr std::size_t max_windows_of_zone = 400;
constexpr std::int64_t max_window_duration_s = std::int64_t{14} * 86400;
constexpr int max_recurrences = 20000;

using Component = std::unique_ptr<icalcomponent, void (*)(icalcomponent*)>;
using RecurrenceIterator = std::unique_ptr<icalrecur_iterator, void (*)(icalrecur_iterator*)>;

// All properties of a kind. They are gathered before anything else is read from the component: each look-up moves the
// component's own iterator, so a loop that looks something up on its way would never end.
std::vector<icalproperty*> properties_of(icalcomponent* component, icalproperty_kind kind) {
  std::vector<icalproperty*> properties;
  for (icalproperty* property = icalcomponent_get_first_property(component, kind); property != nullptr;
       property = icalcomponent_get_next_property(component, kind))
    properties.push_back(property);
  return properties;
}

std::string text_or_empty(const char* text) { return text != nullptr ? text : ""; }

// The line of an event, found by its UID; 0 if it has none.
int line_of_event(const std::string& text, const std::string& uid) {
  std::size_t position = uid.empty() ? std::string::npos : text.find("UID:" + uid);
  if (position == std::string::npos)
    return 0;
  auto end = text.begin() + static_cast<std::ptrdiff_t>(position);
  return static_cast<int>(std::count(text.begin(), end, '\n')) + 1;
}

// All starts of one event within a time. libical's own expansion of recurrences adds up seconds and so loses the local
// hour at a change of daylight saving time; here each start is converted in the event's time zone.
class EventStarts {
 public:
  // Starts are after `from` and before `until`.
  EventStarts(icalcomponent* event, const icaltimetype& first, std::int64_t from, std::int64_t until)
      : event_(event), first_(first), from_(from), until_(until) {}

  std::vector<std::int64_t> find() {
    std::vector<icalproperty*> rules = properties_of(event_, ICAL_RRULE_PROPERTY);
    std::vector<icalproperty*> extra_dates = properties_of(event_, ICAL_RDATE_PROPERTY);
    if (rules.empty())
      add(first_);
    for (icalproperty* rule : rules)
      add_recurrences(icalproperty_get_rrule(rule));
    for (icalproperty* extra_date : extra_dates) {
      icaltimetype time = icalproperty_get_rdate(extra_date).time;
      if (!icaltime_is_null_time(time))
        add(time);
    }
    return std::move(starts_);
  }

 private:
  // Adds a start unless it is out of range or excluded; gives it in seconds.
  std::int64_t add(icaltimetype time) {
    time.zone = first_.zone;
    const icaltimezone* zone = icaltime_is_utc(first_) ? icaltimezone_get_utc_timezone() : first_.zone;
    std::int64_t seconds = icaltime_as_timet_with_zone(time, zone);
    if (seconds < until_ && seconds > from_ && !icalproperty_recurrence_is_excluded(event_, &first_, &time))
      starts_.push_back(seconds);
    return seconds;
  }

  // Iterates in local time without a zone: libical's iterator stays an hour off after a start that falls into the gap
  // at the beginning of daylight saving time.
  void add_recurrences(icalrecurrencetype recurrence) {
    icaltimetype local = first_;
    if (!icaltime_is_utc(first_)) {
      if (!icaltime_is_null_time(recurrence.until) && icaltime_is_utc(recurrence.until))
        recurrence.until = icaltime_convert_to_zone(recurrence.until, const_cast<icaltimezone*>(first_.zone));
      recurrence.until.zone = nullptr;
      local.zone = nullptr;
    }
    RecurrenceIterator iterator(icalrecur_iterator_new(recurrence, local), icalrecur_iterator_free);
    if (!iterator)
      return;
    for (int count = 0; count < max_recurrences && starts_.size() < max_windows_of_zone; ++count) {
      icaltimetype time = icalrecur_iterator_next(iterator.get());
      if (icaltime_is_null_time(time) || add(time) >= until_)
        break;
    }
  }

  icalcomponent* event_;
  icaltimetype first_;
  std::int64_t from_;
  std::int64_t until_;
  std::vector<std::int64_t> starts_;
};

// Reads one calendar, and collects what is wrong with it.
class CalendarReader {
 public:
  CalendarReader(const std::string& document, const std::string& text, std::vector<Finding>& findings)
      : document_(document), text_(text), findings_(findings) {}

  WindowsByZone read(std::int64_t from, std::int64_t until);

 private:
  // An event, with what findings about it name.
  struct Event {
    icalcomponent* component;
    std::string name;  // its UID, or else its number
    int line = 0;      // 0 if it has no UID
  };

  void add_finding(const std::string& place, int line, const std::string& message);
  void add_finding(const Event& event, const std::string& property, const std::string& message) {
    add_finding(event.name + property, event.line, message);
  }
  void add_parse_errors(icalcomponent* calendar);
  void read_event(const Event& event, std::int64_t from, std::int64_t until);
  std::string read_zone(const Event& event);
  std::optional<icaltimetype> read_start(const Event& event);
  bool has_time_zone(const Event& event, const icaltimetype& start, icalproperty* property);
  std::optional<std::int64_t> read_duration(const Event& event, const icaltimetype& start);

  const std::string& document_;
  const std::string& text_;
  std::vector<Finding>& findings_;
  WindowsByZone windows_;
};

void CalendarReader::add_finding(const std::string& place, int line, const std::string& message) {
  findings_.push_back({"error", document_, place, line, line > 0 ? 1 : 0, message});
}

WindowsByZone CalendarReader::read(std::int64_t from, std::int64_t until) {
  icalerror_set_errors_are_fatal(0);
  Component calendar(icalparser_parse_string(text_.c_str()), icalcomponent_free);
  if (!calendar || icalcomponent_isa(calendar.get()) != ICAL_VCALENDAR_COMPONENT) {
    add_finding("", 1, "is not one iCalendar object (VCALENDAR)");
    return {};
  }
  add_parse_errors(calendar.get());
  int events = 0;
  for (icalcomponent* component = icalcomponent_get_first_component(calendar.get(), ICAL_VEVENT_COMPONENT);
       component != nullptr; component = icalcomponent_get_next_component(calendar.get(), ICAL_VEVENT_COMPONENT)) {
    ++events;
    std::string uid = text_or_empty(icalcomponent_get_uid(component));
    std::string name = uid.empty() ? "event " + std::to_string(events) : uid;
    if (icalcomponent_get_status(component) != ICAL_STATUS_CANCELLED)
      read_event({component, name, line_of_event(text_, uid)}, from, until);
  }
  if (events == 0)
    add_finding("", 1, "holds no event");
  for (auto& [zone, windows] : windows_)
    std::sort(windows.begin(), windows.end(),
              [](const auto& left, const auto& right) { return left.from < right.from; });
  return std::move(windows_);
}

void CalendarReader::add_parse_errors(icalcomponent* calendar) {
  for (icalcomponent* component = icalcomponent_get_first_component(calendar, ICAL_ANY_COMPONENT); component != nullptr;
       component = icalcomponent_get_next_component(calendar, ICAL_ANY_COMPONENT)) {
    for (icalproperty* parse_error : properties_of(component, ICAL_XLICERROR_PROPERTY)) {
      std::string uid = text_or_empty(icalcomponent_get_uid(component));
      add_finding(uid, line_of_event(text_, uid), icalproperty_get_xlicerror(parse_error));
    }
  }
}

void CalendarReader::read_event(const Event& event, std::int64_t from, std::int64_t until) {
  std::string zone = read_zone(event);
  std::optional<icaltimetype> start = read_start(event);
  if (!start)
    return;
  std::optional<std::int64_t> duration = read_duration(event, *start);
  if (!duration || zone.empty())
    return;
  auto& windows = windows_[zone];
  // A window that has begun before touches the time as well.
  for (std::int64_t begin : EventStarts(event.component, *start, from - *duration, until).find())
    windows.push_back({begin, begin + *duration});
  if (windows.size() >= max_windows_of_zone)
    add_finding(event, "", "more than 400 windows of zone '" + zone + "' lie in that time");
}

std::string CalendarReader::read_zone(const Event& event) {
  std::string zone = text_or_empty(icalcomponent_get_location(event.component));
  if (zone.empty())
    add_finding(event, "/LOCATION", "must name the zone");
  return zone;
}

std::optional<icaltimetype> CalendarReader::read_start(const Event& event) {
  auto invalid = [&](const std::string& message) {
    add_finding(event, "/DTSTART", message);
    return std::nullopt;
  };
  icalproperty* property = icalcomponent_get_first_property(event.component, ICAL_DTSTART_PROPERTY);
  if (property == nullptr)
    return invalid("is required");
  icaltimetype start = icalcomponent_get_dtstart(event.component);
  if (icaltime_is_null_time(start) || !icaltime_is_valid_time(start))
    return invalid("is no time");
  if (start.is_date)
    return invalid("must be a time, not a whole day");
  if (!has_time_zone(event, start, property))
    return std::nullopt;
  return start;
}

bool CalendarReader::has_time_zone(const Event& event, const icaltimetype& start, icalproperty* property) {
  if (icaltime_is_utc(start) || start.zone != nullptr)
    return true;
  icalparameter* zone = icalproperty_get_first_parameter(property, ICAL_TZID_PARAMETER);
  std::string message = zone != nullptr ? std::string("time zone '") + icalparameter_get_tzid(zone) + "' is not known"
                                        : std::string("must be in UTC or name a time zone (TZID)");
  add_finding(event, "/DTSTART", message);
  return false;
}

std::optional<std::int64_t> CalendarReader::read_duration(const Event& event, const icaltimetype& start) {
  auto invalid = [&](const std::string& message) {
    add_finding(event, "/DTEND", message);
    return std::nullopt;
  };
  icaltimetype end = icalcomponent_get_dtend(event.component);
  std::int64_t duration_s = 0;
  if (!icaltime_is_null_time(end))
    duration_s = icaltime_as_timet_with_zone(end, end.zone) - icaltime_as_timet_with_zone(start, start.zone);
  if (duration_s <= 0)
    return invalid("must be after DTSTART (or give a DURATION)");
  if (duration_s > max_window_duration_s)
    return invalid("a window lasts 14 days at most");
  return duration_s;
}

}  // namespace

WindowsByZone read_calendar(const std::string& document, const std::string& text, std::int64_t from, std::int64_t until,
                            std::vector<Finding>& findings) {
  return CalendarReader(document, text, findings).read(from, until);
}

}  // namespace emberdale
