// A machine that was down for hundreds of changes of a large configuration returns: how long and how many bytes
// it takes, what is on its disk, and that it reports nothing old meanwhile. Virtual time, disks in memory.
#include <gtest/gtest.h>

#include <iostream>

#include "emberdale/avro_codec.hpp"
#include "emberdale/routing_table_edits.hpp"
#include "support/machine_fleet.hpp"

namespace emberdale {
namespace {

constexpr int routes = 1400;
constexpr std::size_t disk_bound = 64u << 20;

std::string route(int number, int horizon_ms) {
  std::string digits = std::to_string(number);
  return R"({"name":"route-)" + digits + R"(","host":"host-)" + digits + R"(.example","path_prefix":"/service/)" +
         std::string(100, 'x') + digits + R"(/","kind":"retry_safe","horizon_ms":)" + std::to_string(horizon_ms) +
         R"(,"pool":"m"})";
}

std::string first_table() {
  std::string body = R"({"revision":1,"pools":[{"name":"m"}],"routes":[)";
  for (int i = 0; i < routes; ++i)
    body += (i == 0 ? "" : ",") + route(i, 8000);
  return body + "]}";
}

std::string amendment(std::int64_t revision) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"upsert":{"routes":[)" +
         route(static_cast<int>(revision) % routes, 8000 + static_cast<int>(revision)) + "]}}";
}

// Changes the table at one machine, and waits until that is acknowledged.
bool change_table(MachineFleet& fleet, const std::string& where, EditAction action, std::int64_t base,
                  const std::string& body) {
  std::int64_t code = 0;
  fleet.call_daemon(where, [&](ControlDaemon& daemon, TimePoint now) {
    EditRequest request{0, "table-" + std::to_string(base), action, routing_table_kind, routing_table_name, base, body};
    daemon.edit(
        request, [&](const EditResponse& response) { code = response.code; }, now);
  });
  fleet.run_until([&] { return code != 0; }, 10000);
  return code == 200 || code == 201;
}

std::size_t value_size(MachineFleet& fleet, const std::string& name) { return encode_state(fleet.state(name)).size(); }

// What a machine that comes back said until it had the newest state.
struct Watch {
  std::int64_t newest_state = 0;
  MapVersion newest_map;
  int old_slices = 0, old_reads = 0, reads = 0, led_with_old_map = 0;
};

void watch(MachineFleet& fleet, const std::string& returning, const std::shared_ptr<Watch>& observed) {
  fleet.on_send = [observed, returning](const std::string& from, const Address&, const Message& message) {
    const auto* update = std::get_if<SliceUpdate>(&message);
    if (update != nullptr && from == returning && update->version < observed->newest_map)
      ++observed->old_slices;
  };
  auto step = std::make_shared<std::function<void()>>();
  *step = [&fleet, returning, observed, step] {
    fleet.call_daemon(returning, [&](ControlDaemon& daemon, TimePoint now) {
      Subscribe subscribe;
      subscribe.sender =
          DaemonEntry{Address{"10.0.1.1:7001"}, "http-d", DaemonRole::data, ZoneName{"a"}, RegionName{"north"}, 1};
      subscribe.topics.push_back({plans_topic, MapVersion{}});
      subscribe.sent_at = 1;
      daemon.on_message(subscribe.sender.address, subscribe, now);
      daemon.read(
          [observed](const FleetState* state) {
            observed->reads += state != nullptr;
            observed->old_reads += state != nullptr && state->version < observed->newest_state;
          },
          now);
      observed->led_with_old_map += daemon.election().is_master() && daemon.map().version < observed->newest_map;
    });
    fleet.later(100, *step);
  };
  (*step)();
}

// Changes the table `count` times, each change on the one before it.
void make_changes(MachineFleet& fleet, int count) {
  for (int i = 0; i < count; ++i)
    ASSERT_TRUE(change_table(fleet, fleet.master(), EditAction::amend, i + 1, amendment(i + 2))) << i << fleet.trace();
}

// It was read, and neither read, fed nor led with older state than the others had when it came back.
void expect_nothing_old(const Watch& observed) {
  EXPECT_EQ(observed.old_slices, 0);
  EXPECT_EQ(observed.old_reads, 0);
  EXPECT_EQ(observed.led_with_old_map, 0);
  EXPECT_GT(observed.reads, 0);
}

struct Speed {
  std::int64_t connection_delay, disk_time_factor;
  int changes;
};

TEST(CatchUp, AMachineThatWasDownForHundredsOfChangesReceivesOnlyTheNewestValue) {
  for (Speed speed : {Speed{1, 1, 400}, Speed{30, 1, 40}, Speed{1, 30, 40}}) {
    SCOPED_TRACE("delay " + std::to_string(speed.connection_delay) + " disk " + std::to_string(speed.disk_time_factor));
    MachineFleet fleet(21);
    fleet.segment_bound = 1 << 20;
    auto names = bring_up(fleet, 3);
    std::string master = fleet.master();
    std::string returning = master == names[0] ? names[1] : names[0];
    ASSERT_TRUE(change_table(fleet, master, EditAction::replace, 0, first_table()));
    fleet.run(1000);
    std::size_t disk_before = fleet.at(returning).files->bytes();
    fleet.power_cut(returning);
    fleet.run(3000);
    ASSERT_NO_FATAL_FAILURE(make_changes(fleet, speed.changes));
    master = fleet.master();
    std::size_t value = value_size(fleet, master);
    EXPECT_GT(value, 300000u);

    fleet.delay = speed.connection_delay;
    fleet.at(returning).disk_time_factor = speed.disk_time_factor;
    fleet.run(1000);
    auto observed = std::make_shared<Watch>();
    observed->newest_state = fleet.state(master).version;
    observed->newest_map = fleet.at(master).control->map().version;
    fleet.counts_bytes = true;
    fleet.at(returning).bytes_received = 0;
    std::int64_t started = fleet.now();
    fleet.start(returning, false);
    watch(fleet, returning, observed);
    auto has_value = [&] {
      return fleet.at(returning).control->proposer().has_state() &&
             fleet.state(returning).version >= observed->newest_state;
    };
    auto has_map = [&] {
      return !(fleet.at(returning).control->map().version < observed->newest_map);
    };
    auto has_copy = [&] {
      return fleet.at(returning).control->acceptor()->state().version >= observed->newest_state;
    };
    EXPECT_TRUE(fleet.run_until(has_value, 5000)) << fleet.trace();
    std::int64_t value_after = fleet.now() - started;
    EXPECT_TRUE(fleet.run_until([&] { return has_map() && has_copy(); }, 10000)) << fleet.trace();
    std::int64_t all_after = fleet.now() - started;
    std::int64_t bytes = fleet.at(returning).bytes_received;
    fleet.run(5000);
    std::cout << speed.changes << " changes, connections " << speed.connection_delay << " ms, disk x"
              << speed.disk_time_factor << ": value of " << value << " bytes after " << value_after
              << " ms, map and replica after " << all_after << " ms, " << bytes << " bytes received by then, "
              << fleet.at(returning).bytes_received << " after 5 s more; disk " << disk_before << " before, "
              << fleet.at(returning).files->bytes() << " after, most " << fleet.at(returning).files->most_bytes()
              << "; others' disks at most " << fleet.at(master).files->most_bytes() << "\n";
    EXPECT_LE(all_after, 3000);
    EXPECT_LE(bytes, static_cast<std::int64_t>(8 * value));  // far from a replay of 400 changes
    EXPECT_LE(fleet.at(returning).bytes_received, static_cast<std::int64_t>(10 * value));
    for (const auto& name : names)
      EXPECT_LT(fleet.at(name).files->most_bytes(), disk_bound);
    expect_nothing_old(*observed);
    if (HasFailure())
      return;
  }
}

TEST(CatchUp, ItDoesNotLeadWithAnOldMapIfTheMasterDiesAsItReturns) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MachineFleet fleet(seed);
    fleet.segment_bound = 1 << 20;
    auto names = bring_up(fleet, 3);
    std::string master = fleet.master();
    std::string returning = master == names[0] ? names[1] : names[0];
    ASSERT_TRUE(change_table(fleet, master, EditAction::replace, 0, first_table()));
    fleet.power_cut(returning);
    fleet.run(3000);
    for (int i = 0; i < 20; ++i)
      ASSERT_TRUE(change_table(fleet, fleet.master(), EditAction::amend, i + 1, amendment(i + 2)))
          << i << fleet.trace();
    master = fleet.master();
    auto observed = std::make_shared<Watch>();
    observed->newest_state = fleet.state(master).version;
    observed->newest_map = fleet.at(master).control->map().version;
    fleet.at(returning).disk_time_factor = 30;
    fleet.start(returning, false);
    watch(fleet, returning, observed);
    fleet.run(fleet.random().below(600));
    fleet.power_cut(master);
    EXPECT_TRUE(fleet.run_until([&] { return !fleet.master().empty() && fleet.master() != master; }, 15000))
        << fleet.trace();
    fleet.run(3000);
    EXPECT_EQ(observed->old_slices, 0);
    EXPECT_EQ(observed->old_reads, 0);
    EXPECT_GE(fleet.state(fleet.master()).config_revision, fleet.state(returning).config_revision);
    EXPECT_NE(routing_table_document_of(fleet.state(returning)).find("\"revision\":21"), std::string::npos);
    if (HasFailure())
      return;
  }
}

TEST(CatchUp, TheLogStaysSmallThroughAThousandChangesOfALargeValue) {
  for (int batch : {1, 27}) {  // a stalled disk: as many writes at once as the acceptor lets wait
    auto disk = std::make_shared<MemoryFileSystem>();
    SegmentedLog log(disk, 1 << 20);
    ASSERT_TRUE(log.open("store"));
    const std::string record(300 << 10, 'v');
    for (int written = 0; written < 1000; written += batch) {
      ASSERT_TRUE(log.append(std::vector<std::string>(static_cast<std::size_t>(batch), record)));
      ASSERT_TRUE(log.sync());
      if (log.wants_snapshot()) {
        ASSERT_TRUE(log.snapshot(record));
      }
    }
    std::cout << "in batches of " << batch << ": " << disk->bytes() << " bytes, most " << disk->most_bytes() << "\n";
    EXPECT_LT(disk->most_bytes(), disk_bound / 4);
  }
}

TEST(CatchUp, ADiskThatStallsForTwentySecondsKeepsTheQueueShort) {
  MachineFleet fleet(22);
  fleet.segment_bound = 1 << 20;
  auto names = bring_up(fleet, 6);
  std::string master = fleet.master();
  std::string slow = master == names[0] ? names[1] : names[0];
  ASSERT_TRUE(change_table(fleet, master, EditAction::replace, 0, first_table()));
  fleet.at(slow).disk_time_factor = 10000;
  std::size_t most = 0;
  std::int64_t end = fleet.now() + 20000;
  int done = 0;
  while (fleet.now() < end) {
    ASSERT_TRUE(change_table(fleet, fleet.master(), EditAction::amend, done + 1, amendment(done + 2))) << fleet.trace();
    ++done;
    fleet.run(50);
    most = std::max(most, fleet.at(slow).pending_writes.size() + fleet.at(slow).control->acceptor()->unsynced());
  }
  std::cout << done << " changes in 20 s; at most " << most << " writes waiting, "
            << fleet.at(slow).control->acceptor()->dropped() << " requests dropped\n";
  EXPECT_LE(most, 2u * 64);
  fleet.at(slow).disk_time_factor = 1;
  std::int64_t newest = fleet.state(fleet.master()).version;
  EXPECT_TRUE(fleet.run_until([&] { return fleet.at(slow).control->acceptor()->state().version >= newest; }, 60000))
      << fleet.trace();
}

}  // namespace
}  // namespace emberdale
