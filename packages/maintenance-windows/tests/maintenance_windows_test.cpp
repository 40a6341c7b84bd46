// Tests of reading maintenance windows from calendars.
#include "emberdale/maintenance_windows.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "emberdale/spoiled_text.hpp"

namespace emberdale {
namespace {

std::string calendar(const std::string& event) {
  return "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:-//test//"
         "EN\r\nBEGIN:VEVENT\r\nUID:one\r\nDTSTAMP:20261201T000000Z\r\n" +
         event + "END:VEVENT\r\nEND:VCALENDAR\r\n";
}
const std::int64_t from = *read_utc("2026-03-01T00:00:00Z"), until = *read_utc("2026-04-15T00:00:00Z");
std::vector<std::string> starts(const std::vector<MaintenanceWindow>& windows) {
  std::vector<std::string> list;
  for (const auto& window : windows)
    list.push_back(show_utc(window.from));
  return list;
}

TEST(MaintenanceWindows, ReadsUtcTimes) {
  std::vector<Finding> findings;
  auto windows = read_calendar("f", calendar("LOCATION:b\r\nDTSTART:20260310T010000Z\r\nDTEND:20260310T033000Z\r\n"),
                               from, until, findings);
  EXPECT_TRUE(findings.empty());
  ASSERT_EQ(windows["b"].size(), 1u);
  EXPECT_EQ(show_utc(windows["b"][0].from), "2026-03-10T01:00:00Z");
  EXPECT_EQ(windows["b"][0].until - windows["b"][0].from, 9000);
}

TEST(MaintenanceWindows, RecurrenceKeepsTheLocalHourAcrossDaylightSavingTimeAndLeavesExceptionsOut) {
  std::vector<Finding> findings;
  auto windows = read_calendar(
      "f",
      calendar(
          "LOCATION:c\r\nDTSTART;TZID=Europe/Berlin:20260315T020000\r\nDURATION:PT1H\r\nRRULE:FREQ=WEEKLY;COUNT=4\r\n"
          "EXDATE;TZID=Europe/Berlin:20260322T020000\r\n"),
      from, until, findings);
  EXPECT_TRUE(findings.empty()) << findings_json(findings);
  // Clocks went from +1 to +2 on 29 March at 02:00.
  auto list = starts(windows["c"]);
  ASSERT_EQ(list.size(), 3u);
  EXPECT_EQ(list[0], "2026-03-15T01:00:00Z");
  EXPECT_EQ(list[2], "2026-04-05T00:00:00Z");
}

TEST(MaintenanceWindows, ErrorsNameTheLineOfTheEvent) {
  for (const std::string event :
       {"LOCATION:b\r\nDTSTART:20260310T010000\r\nDTEND:20260310T020000\r\n",  // no time zone
        "LOCATION:b\r\nDTSTART;TZID=Mars/Olympus:20260310T010000\r\nDTEND;TZID=Mars/Olympus:20260310T020000\r\n",
        "LOCATION:b\r\nDTSTART;VALUE=DATE:20260310\r\nDTEND;VALUE=DATE:20260311\r\n",  // a whole day
        "LOCATION:b\r\nDTSTART:20260310T010000Z\r\nDTEND:20260310T003000Z\r\n",        // ends before it begins
        "LOCATION:b\r\nDTSTART:nonsense\r\nDTEND:20260310T003000Z\r\n", "LOCATION:b\r\nDTEND:20260310T003000Z\r\n",
        "DTSTART:20260310T010000Z\r\nDTEND:20260310T020000Z\r\n"}) {  // no LOCATION
    std::vector<Finding> findings;
    read_calendar("f", calendar(event), from, until, findings);
    ASSERT_TRUE(has_errors(findings)) << event;
    EXPECT_EQ(findings[0].line, 5) << event;
  }
  std::vector<Finding> findings;
  read_calendar("f", "not a calendar", from, until, findings);
  EXPECT_TRUE(has_errors(findings));
}

TEST(MaintenanceWindows, NoMalformedCalendarCrashesIt) {
  const std::string sound = calendar(
      "LOCATION:c\r\nDTSTART;TZID=Europe/Berlin:20260315T020000\r\nDURATION:PT1H\r\nRRULE:FREQ=WEEKLY;COUNT=4\r\n"
      "EXDATE;TZID=Europe/Berlin:20260322T020000\r\n");
  EXPECT_TRUE(rc::check([&](std::uint64_t seed) {
    std::vector<Finding> findings;
    for (const auto& [zone, windows] : read_calendar("f", spoiled(sound, seed), from, until, findings))
      for (const auto& window : windows)
        RC_ASSERT(window.from < window.until);
  }));
}

}  // namespace
}  // namespace emberdale
