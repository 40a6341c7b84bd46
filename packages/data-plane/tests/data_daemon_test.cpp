// The control state of a data daemon by hand: holds, answers meant for a former life, taking leave, outdated homes.
#include "emberdale/data_daemon.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "emberdale/avro_codec.hpp"
#include "emberdale/placement_slices.hpp"

using namespace emberdale;

namespace {

DataDaemon started(std::uint64_t random_seed) {
  DataDaemon daemon(DaemonEntry{Address{"d"}, "http-d", DaemonRole::data, ZoneName{"a"}, RegionName{"north"}, 1},
                    {Address{"seed"}}, random_seed);
  daemon.start(TimePoint{0});
  PingResponse response;
  response.sender = DaemonEntry{Address{"e"}, "http-e", DaemonRole::edge, ZoneName{"a"}, RegionName{"north"}, 1};
  for (const char* name : {"s1", "s2", "s3"})
    response.acceptors.push_back({StoreId{name}, Address{name}});
  daemon.on_message(Address{"e"}, response, TimePoint{10});
  daemon.on_timer(TimePoint{20});
  daemon.on_timer(TimePoint{150});  // asks: it has no grant yet
  return daemon;
}

void give_map(DataDaemon& daemon, TimePoint now) {
  PlanRow plan{PlanName{"p"}, 1, R"({"service":"s","match":{"path":"/x"},"pool":"models"})"};
  SliceUpdate plans;
  plans.topic = "plans";
  plans.version = {1, 1};
  plans.config_revision = 3;
  plans.is_snapshot = true;
  plans.rows.push_back({"plan/p", {encode_plan_row(plan)}});
  daemon.on_message(Address{"e"}, plans, now);
  SliceUpdate pool = plans;
  pool.topic = "pool:models";
  pool.rows.clear();
  for (const char* name : {"m1", "m2"}) {
    RunnerRow row;
    row.name.text = name;
    row.pool.text = "models";
    row.zone.text = name[1] == '1' ? "a" : "b";
    row.region.text = "north";
    row.state = RunnerState::warm;
    row.capacity = 4;
    pool.rows.push_back({std::string("runner/") + name, {encode_runner_row(row)}});
  }
  daemon.on_message(Address{"e"}, pool, now);
}

RunnerState state_of(const DataDaemon& daemon, const std::string& runner) {
  return daemon.view()->runners.at(RunnerName{runner}).state;
}

std::int64_t last_request_id(DataDaemon& daemon) {
  std::int64_t ask = 0;
  for (const auto& message : daemon.drain_outbound())
    if (const auto* read = std::get_if<ReadRequest>(&message.message))
      ask = read->request_id;
  return ask;
}

ReadResponse answer_to(std::int64_t ask, const std::string& store) {
  ReadResponse response;
  response.request_id = ask;
  response.store.text = store;
  response.accepted = {5, Address{"p"}};
  response.minimum_version = {1, 1};
  for (const char* name : {"s1", "s2", "s3"})
    response.acceptors.push_back({StoreId{name}, Address{name}});
  return response;
}

// One in whose zone "a" two homes live, and the map says so.
constexpr std::int64_t with_map_at = 10;
const MapVersion old_map{1, 1}, next_map{1, 2};

SliceUpdate plans_news(const MapVersion& version) {
  SliceUpdate update;
  update.topic = plans_topic;
  update.version = version;
  update.config_revision = version.number;
  update.is_snapshot = true;
  for (const char* name : {"e1", "e2"})
    update.rows.push_back(
        {std::string("edge/") + name, {encode_gateway_row({Address{name}, "", ZoneName{"a"}, RegionName{"north"}})}});
  return update;
}

DataDaemon with_two_homes() {
  DataDaemon daemon(DaemonEntry{Address{"d"}, "http-d", DaemonRole::data, ZoneName{"a"}, RegionName{"north"}, 1},
                    {Address{"seed"}}, 1);
  daemon.start(TimePoint{0});
  PingResponse response;
  response.sender = DaemonEntry{Address{"e1"}, "http-e1", DaemonRole::edge, ZoneName{"a"}, RegionName{"north"}, 1};
  for (const char* name : {"s1", "s2", "s3"})
    response.acceptors.push_back({StoreId{name}, Address{name}});
  daemon.on_message(Address{"e1"}, response, TimePoint{with_map_at});
  daemon.on_message(Address{"e1"}, plans_news(old_map), TimePoint{with_map_at});
  return daemon;
}

struct Told {
  std::vector<std::pair<Address, Subscribe>> subscriptions;
  std::vector<ReadRequest> asks;
};

// One step of its time: the core's majority shows `minimum version`, and the home it has subscribed to feeds it what
// `home_tells` says.
template <class Tell>
Told step(DataDaemon& daemon, const MapVersion& minimum_version, TimePoint now, Tell home_tells) {
  daemon.on_timer(now);
  Told told;
  for (const auto& message : daemon.drain_outbound()) {
    if (const auto* subscribe = std::get_if<Subscribe>(&message.message))
      told.subscriptions.push_back({message.to, *subscribe});
    if (const auto* request = std::get_if<ReadRequest>(&message.message))
      told.asks.push_back(*request);
  }
  for (const auto& request : told.asks)
    for (const char* store : {"s1", "s2"}) {
      ReadResponse response = answer_to(request.request_id, store);
      response.minimum_version = minimum_version;
      daemon.on_message(Address{store}, response, now);
    }
  for (const auto& [home, subscribe] : told.subscriptions)
    if (auto news = home_tells(home))
      daemon.on_message(home, *news, now);
  return told;
}

}  // namespace

TEST(DataDaemon, LeavingIsToldToItsHomesAtOnceAndEverAfter) {
  DataDaemon daemon = with_two_homes();
  auto feed = [](const Address&) {
    return std::optional<SliceUpdate>(plans_news(old_map));
  };
  TimePoint now{with_map_at};
  Told before;
  while (before.subscriptions.empty() && now.value < 2000)
    before = step(daemon, old_map, now = now + Duration{50}, feed);
  ASSERT_FALSE(before.subscriptions.empty());
  EXPECT_FALSE(before.subscriptions.front().second.is_draining);
  Address home = before.subscriptions.front().first;
  daemon.leave(now);
  auto out = daemon.drain_outbound();  // without an timer in between
  auto told = std::find_if(out.begin(), out.end(), [&](const OutboundMessage& s) {
    return s.to == home && std::holds_alternative<Subscribe>(s.message);
  });
  ASSERT_NE(told, out.end());
  EXPECT_TRUE(std::get<Subscribe>(told->message).is_draining);
  // It stays subscribed while it finishes what is in hand: also a home that missed the first word hears it.
  std::size_t again = 0;
  for (int i = 0; i < 40; ++i)
    for (const auto& [to, subscribe] : step(daemon, old_map, now = now + Duration{50}, feed).subscriptions) {
      EXPECT_TRUE(subscribe.is_draining);
      ++again;
    }
  EXPECT_GE(again, 4u);
  EXPECT_GT(daemon.grant().until, now);
}

// All control daemons are down at once, and each subscription is refused as soon as it is sent.
TEST(DataDaemon, RefusedSubscriptionsAreRepeatedAtAnInterval) {
  DataDaemon daemon = with_two_homes();
  std::size_t subscriptions = 0;
  for (TimePoint now{with_map_at}; now < TimePoint{2000}; now = now + Duration{1}) {
    daemon.on_timer(now);
    for (const auto& message : daemon.drain_outbound())
      if (std::holds_alternative<Subscribe>(message.message)) {
        ++subscriptions;
        daemon.on_refused(message.to, now);
      }
    ASSERT_LE(subscriptions, 200u) << "within " << now.value << " ms";
  }
}

TEST(DataDaemon, HomesThatKeepFeedingAnOutdatedMapAreLeft) {
  DataDaemon daemon = with_two_homes();
  auto feed_old = [](const Address&) {
    return std::optional<SliceUpdate>(plans_news(old_map));
  };
  TimePoint now{with_map_at};
  Address first;
  while (now.value < 2000)
    for (const auto& [to, subscribe] : step(daemon, old_map, now = now + Duration{50}, feed_old).subscriptions)
      first = to;
  ASSERT_FALSE(first.empty());
  EXPECT_EQ(daemon.counts().owners_outdated, 0);  // nothing newer: it stays
  TimePoint risen = now;
  Address other;
  while (other.empty() && now < risen + Duration{4000})
    for (const auto& [to, subscribe] : step(daemon, next_map, now = now + Duration{50}, feed_old).subscriptions)
      if (to != first)
        other = to;
  ASSERT_FALSE(other.empty()) << "it stayed with a home that feeds an outdated map";
  EXPECT_GE(now, risen + Duration{700});  // the news may just be under way
  EXPECT_LE(now, risen + Duration{1500});
  EXPECT_EQ(daemon.counts().owners_outdated, 1);
  EXPECT_EQ(daemon.counts().owners_ejected, 0);  // it was never silent
  // The other has the newer map: with it this daemon is behind no more, and stays there.
  auto feed_next = [&](const Address& home) {
    return std::optional<SliceUpdate>(plans_news(home == other ? next_map : old_map));
  };
  TimePoint fed = now;
  while (now < fed + Duration{2500})
    for (const auto& [to, subscribe] : step(daemon, next_map, now = now + Duration{50}, feed_next).subscriptions)
      EXPECT_EQ(to, other);
  EXPECT_EQ(daemon.counts().owners_outdated, 1);
  EXPECT_EQ(daemon.view()->config_revision, next_map.number);
  EXPECT_GT(daemon.grant().until, now);
}

TEST(DataDaemon, AHomeThatBringsTheNewerMapInTimeIsKept) {
  DataDaemon daemon = with_two_homes();
  auto feed_old = [](const Address&) {
    return std::optional<SliceUpdate>(plans_news(old_map));
  };
  const TimePoint risen{2010}, pushed = risen + Duration{600};  // a home tells of its own accord
  Address home;
  for (TimePoint now{with_map_at}; now < risen + Duration{3000}; now = now + Duration{50}) {
    for (const auto& [to, subscribe] : step(daemon, now < risen ? old_map : next_map, now, feed_old).subscriptions) {
      if (home.empty())
        home = to;
      EXPECT_EQ(to, home) << now.value;
    }
    if (now == pushed)
      daemon.on_message(home, plans_news(next_map), now);
  }
  EXPECT_FALSE(home.empty());
  EXPECT_EQ(daemon.view()->config_revision, next_map.number);
  EXPECT_EQ(daemon.counts().owners_outdated, 0);
}

TEST(DataDaemon, AHoldTakesWorkAwayAheadOfTheMapAndLapsesByItself) {
  DataDaemon daemon = started(1);
  give_map(daemon, TimePoint{160});
  EXPECT_EQ(state_of(daemon, "m1"), RunnerState::warm);
  daemon.on_message(Address{"e"}, DispatchBlock{"c1", RunnerName{"m1"}, {}, false, false}, TimePoint{190});
  EXPECT_EQ(state_of(daemon, "m1"), RunnerState::draining);
  EXPECT_EQ(state_of(daemon, "m2"), RunnerState::warm);
  daemon.on_message(Address{"e"}, DispatchBlock{"c2", {}, ZoneName{"b"}, false, false}, TimePoint{200});
  EXPECT_EQ(state_of(daemon, "m2"), RunnerState::evacuated);
  daemon.on_message(Address{"e"}, DispatchBlock{"c2", {}, ZoneName{"b"}, true, false},
                    TimePoint{300});  // refused: lifted
  EXPECT_EQ(state_of(daemon, "m2"), RunnerState::warm);
  daemon.on_message(Address{"e"}, DispatchBlock{"c1", RunnerName{"m1"}, {}, false, false}, TimePoint{1000});  // renewed
  daemon.on_timer(TimePoint{1000 + block_duration.value - 1});
  EXPECT_EQ(state_of(daemon, "m1"), RunnerState::draining);
  daemon.on_timer(TimePoint{1000 + block_duration.value});
  EXPECT_EQ(state_of(daemon, "m1"), RunnerState::warm);
}

TEST(DataDaemon, AnAnswerToAFormerLifesAskGrantsNothing) {
  DataDaemon former = started(1), present = started(2);
  give_map(former, TimePoint{160});
  give_map(present, TimePoint{160});
  std::int64_t asked_before = last_request_id(former), asked_now = last_request_id(present);
  ASSERT_NE(asked_before, 0);
  for (const char* store : {"s1", "s2"})
    present.on_message(Address{store}, answer_to(asked_before, store), TimePoint{170});
  EXPECT_LT(present.grant().until.value, 0);
  for (const char* store : {"s1", "s2"})
    present.on_message(Address{store}, answer_to(asked_now, store), TimePoint{180});
  EXPECT_GT(present.grant().until.value, 1000);
}

TEST(DataDaemon, AHomeThatIsCutOffIsLeftWhenAnotherControlDaemonNamesANewerMap) {
  // The register is out of reach; a control daemon that is no home answers pings.
  for (bool is_guard_out : {false, true}) {
    DataDaemon daemon = with_two_homes();
    daemon.keeps_outdated_owners = is_guard_out;
    std::int64_t has_next_at = -1;
    Address cut_off;
    for (std::int64_t ms = 100; ms <= 4000; ms += 50) {
      TimePoint now{ms};
      daemon.on_timer(now);
      PingResponse response;
      response.sender = DaemonEntry{Address{"e3"}, "http-e3", DaemonRole::edge, ZoneName{"b"}, RegionName{"north"}, 1};
      response.version = next_map;
      if (ms % 500 == 0)
        daemon.on_message(Address{"e3"}, response, now);
      for (const auto& message : daemon.drain_outbound()) {
        if (!std::holds_alternative<Subscribe>(message.message))
          continue;
        if (cut_off.empty())
          cut_off = message.to;
        daemon.on_message(message.to, plans_news(message.to == cut_off ? old_map : next_map), now);
      }
      if (has_next_at < 0 && daemon.view()->version == next_map)
        has_next_at = ms;
    }
    if (is_guard_out) {
      EXPECT_EQ(has_next_at, -1);
      EXPECT_EQ(daemon.counts().owners_outdated, 0);
    } else {
      EXPECT_GE(has_next_at, 1500);  // it is given the time that news takes on its way
      EXPECT_LE(has_next_at, 2000);
    }
  }
}

TEST(DataDaemon, NewsThatWaitedInAPausedHomeDoesNotLengthenTheUseOfColdShares) {
  DataDaemon daemon = started(1);
  give_map(daemon, TimePoint{200});
  daemon.on_timer(TimePoint{600});
  SliceUpdate pool;
  pool.topic = "pool:models";
  pool.version = pool.base_version = {1, 1};
  pool.quorum_age_ms = 100;
  pool.subscribe_sent_at = 600;
  daemon.on_message(Address{"e"}, pool, TimePoint{650});
  EXPECT_EQ(daemon.grant().warming_up_until.value, 2500);
  daemon.on_message(Address{"e"}, pool, TimePoint{20000});  // composed at 600, sent after a pause of the home
  EXPECT_EQ(daemon.grant().warming_up_until.value, 2500);
  SliceUpdate later = pool;
  later.subscribe_sent_at = 19990;
  later.base_version = {1, 2};
  later.version = {1, 3};  // of rows that this daemon does not hold
  daemon.on_message(Address{"e"}, later, TimePoint{20000});
  EXPECT_EQ(daemon.grant().warming_up_until.value, 2500);
}
