// The control state of a data daemon by hand: holds, answers meant for a former life, taking leave, outdated homes.
#include "emberdale/data_daemon.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "emberdale/avro_codec.hpp"
#include "emberdale/map_slices.hpp"

using namespace emberdale;

namespace {

DataDaemon started(std::uint64_t random_seed) {
  DataDaemon daemon(DaemonEntry{Address{"d"}, "http-d", "data", ZoneName{"a"}, RegionName{"north"}, 1},
                    {Address{"seed"}}, random_seed);
  daemon.start(Moment{0});
  PingAnswer answer;
  answer.sender = DaemonEntry{Address{"e"}, "http-e", "edge", ZoneName{"a"}, RegionName{"north"}, 1};
  for (const char* name : {"s1", "s2", "s3"})
    answer.acceptors.push_back({StoreId{name}, Address{name}});
  daemon.on_message(Address{"e"}, answer, Moment{10});
  daemon.on_timer(Moment{20});
  daemon.on_timer(Moment{150});  // asks: it has no grant yet
  return daemon;
}

void give_map(DataDaemon& daemon, Moment now) {
  PlanRow plan{PlanName{"p"}, 1, R"({"service":"s","match":{"path":"/x"},"pool":"models"})"};
  SliceNews plans;
  plans.topic = "plans";
  plans.version = {1, 1};
  plans.config_revision = 3;
  plans.whole = true;
  plans.rows.push_back({"plan/p", {encode_plan_row(plan)}});
  daemon.on_message(Address{"e"}, plans, now);
  SliceNews pool = plans;
  pool.topic = "pool:models";
  pool.rows.clear();
  for (const char* name : {"m1", "m2"}) {
    RunnerRow row;
    row.name.text = name;
    row.pool.text = "models";
    row.zone.text = name[1] == '1' ? "a" : "b";
    row.region.text = "north";
    row.status = "warm";
    row.capacity = 4;
    pool.rows.push_back({std::string("runner/") + name, {encode_runner_row(row)}});
  }
  daemon.on_message(Address{"e"}, pool, now);
}

std::string status(const DataDaemon& daemon, const std::string& runner) {
  return daemon.view()->runners.at(RunnerName{runner}).status;
}

Integer last_ask(DataDaemon& daemon) {
  Integer ask = 0;
  for (const auto& sending : daemon.take_out())
    if (const auto* read = std::get_if<ReadAsk>(&sending.message))
      ask = read->ask;
  return ask;
}

ReadAnswer answer_to(Integer ask, const std::string& store) {
  ReadAnswer answer;
  answer.ask = ask;
  answer.store.text = store;
  answer.accepted = {5, Address{"p"}};
  answer.minimum_version = {1, 1};
  for (const char* name : {"s1", "s2", "s3"})
    answer.acceptors.push_back({StoreId{name}, Address{name}});
  return answer;
}

// One in whose zone "a" two homes live, and the map says so.
constexpr std::int64_t with_map_at = 10;
const MapVersion old_map{1, 1}, next_map{1, 2};

SliceNews plans_news(const MapVersion& version) {
  SliceNews news;
  news.topic = plans_topic;
  news.version = version;
  news.config_revision = version.number;
  news.whole = true;
  for (const char* name : {"e1", "e2"})
    news.rows.push_back(
        {std::string("edge/") + name, {encode_gateway_row({Address{name}, "", ZoneName{"a"}, RegionName{"north"}})}});
  return news;
}

DataDaemon with_two_homes() {
  DataDaemon daemon(DaemonEntry{Address{"d"}, "http-d", "data", ZoneName{"a"}, RegionName{"north"}, 1},
                    {Address{"seed"}}, 1);
  daemon.start(Moment{0});
  PingAnswer answer;
  answer.sender = DaemonEntry{Address{"e1"}, "http-e1", "edge", ZoneName{"a"}, RegionName{"north"}, 1};
  for (const char* name : {"s1", "s2", "s3"})
    answer.acceptors.push_back({StoreId{name}, Address{name}});
  daemon.on_message(Address{"e1"}, answer, Moment{with_map_at});
  daemon.on_message(Address{"e1"}, plans_news(old_map), Moment{with_map_at});
  return daemon;
}

struct Told {
  std::vector<std::pair<Address, Subscribe>> subscriptions;
  std::vector<ReadAsk> asks;
};

// One step of its time: the core's majority shows `minimum version`, and the home it has subscribed to feeds it what
// `home_tells` says.
template <class Tell>
Told step(DataDaemon& daemon, const MapVersion& minimum_version, Moment now, Tell home_tells) {
  daemon.on_timer(now);
  Told told;
  for (const auto& sending : daemon.take_out()) {
    if (const auto* subscribe = std::get_if<Subscribe>(&sending.message))
      told.subscriptions.push_back({sending.to, *subscribe});
    if (const auto* ask = std::get_if<ReadAsk>(&sending.message))
      told.asks.push_back(*ask);
  }
  for (const auto& ask : told.asks)
    for (const char* store : {"s1", "s2"}) {
      ReadAnswer answer = answer_to(ask.ask, store);
      answer.minimum_version = minimum_version;
      daemon.on_message(Address{store}, answer, now);
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
    return std::optional<SliceNews>(plans_news(old_map));
  };
  Moment now{with_map_at};
  Told before;
  while (before.subscriptions.empty() && now.value < 2000)
    before = step(daemon, old_map, now = now + Span{50}, feed);
  ASSERT_FALSE(before.subscriptions.empty());
  EXPECT_FALSE(before.subscriptions.front().second.leaving);
  Address home = before.subscriptions.front().first;
  daemon.leave(now);
  auto out = daemon.take_out();  // without an timer in between
  auto told = std::find_if(out.begin(), out.end(), [&](const Sending& s) {
    return s.to == home && std::holds_alternative<Subscribe>(s.message);
  });
  ASSERT_NE(told, out.end());
  EXPECT_TRUE(std::get<Subscribe>(told->message).leaving);
  // It stays subscribed while it finishes what is in hand: also a home that missed the first word hears it.
  std::size_t again = 0;
  for (int i = 0; i < 40; ++i)
    for (const auto& [to, subscribe] : step(daemon, old_map, now = now + Span{50}, feed).subscriptions) {
      EXPECT_TRUE(subscribe.leaving);
      ++again;
    }
  EXPECT_GE(again, 4u);
  EXPECT_GT(daemon.grant().until, now);
}

TEST(DataDaemon, HomesThatKeepFeedingAnOutdatedMapAreLeft) {
  DataDaemon daemon = with_two_homes();
  auto feed_old = [](const Address&) {
    return std::optional<SliceNews>(plans_news(old_map));
  };
  Moment now{with_map_at};
  Address first;
  while (now.value < 2000)
    for (const auto& [to, subscribe] : step(daemon, old_map, now = now + Span{50}, feed_old).subscriptions)
      first = to;
  ASSERT_FALSE(first.empty());
  EXPECT_EQ(daemon.counts().homes_outdated, 0);  // nothing newer: it stays
  Moment risen = now;
  Address other;
  while (other.empty() && now < risen + Span{4000})
    for (const auto& [to, subscribe] : step(daemon, next_map, now = now + Span{50}, feed_old).subscriptions)
      if (to != first)
        other = to;
  ASSERT_FALSE(other.empty()) << "it stayed with a home that feeds an outdated map";
  EXPECT_GE(now, risen + Span{700});  // the news may just be under way
  EXPECT_LE(now, risen + Span{1500});
  EXPECT_EQ(daemon.counts().homes_outdated, 1);
  EXPECT_EQ(daemon.counts().homes_left, 0);  // it was never silent
  // The other has the newer map: with it this daemon is behind no more, and stays there.
  auto feed_next = [&](const Address& home) {
    return std::optional<SliceNews>(plans_news(home == other ? next_map : old_map));
  };
  Moment fed = now;
  while (now < fed + Span{2500})
    for (const auto& [to, subscribe] : step(daemon, next_map, now = now + Span{50}, feed_next).subscriptions)
      EXPECT_EQ(to, other);
  EXPECT_EQ(daemon.counts().homes_outdated, 1);
  EXPECT_EQ(daemon.view()->config_revision, next_map.number);
  EXPECT_GT(daemon.grant().until, now);
}

TEST(DataDaemon, AHomeThatBringsTheNewerMapInTimeIsKept) {
  DataDaemon daemon = with_two_homes();
  auto feed_old = [](const Address&) {
    return std::optional<SliceNews>(plans_news(old_map));
  };
  const Moment risen{2010}, pushed = risen + Span{600};  // a home tells of its own accord
  Address home;
  for (Moment now{with_map_at}; now < risen + Span{3000}; now = now + Span{50}) {
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
  EXPECT_EQ(daemon.counts().homes_outdated, 0);
}

TEST(DataDaemon, AHoldTakesWorkAwayAheadOfTheMapAndLapsesByItself) {
  DataDaemon daemon = started(1);
  give_map(daemon, Moment{160});
  EXPECT_EQ(status(daemon, "m1"), "warm");
  daemon.on_message(Address{"e"}, Hold{"c1", RunnerName{"m1"}, {}, false, false}, Moment{190});
  EXPECT_EQ(status(daemon, "m1"), "leaving");
  EXPECT_EQ(status(daemon, "m2"), "warm");
  daemon.on_message(Address{"e"}, Hold{"c2", {}, ZoneName{"b"}, false, false}, Moment{200});
  EXPECT_EQ(status(daemon, "m2"), "emptied");
  daemon.on_message(Address{"e"}, Hold{"c2", {}, ZoneName{"b"}, true, false}, Moment{300});  // refused: lifted
  EXPECT_EQ(status(daemon, "m2"), "warm");
  daemon.on_message(Address{"e"}, Hold{"c1", RunnerName{"m1"}, {}, false, false}, Moment{1000});  // renewed
  daemon.on_timer(Moment{1000 + hold_length.value - 1});
  EXPECT_EQ(status(daemon, "m1"), "leaving");
  daemon.on_timer(Moment{1000 + hold_length.value});
  EXPECT_EQ(status(daemon, "m1"), "warm");
}

TEST(DataDaemon, AnAnswerToAFormerLifesAskGrantsNothing) {
  DataDaemon former = started(1), present = started(2);
  give_map(former, Moment{160});
  give_map(present, Moment{160});
  Integer asked_before = last_ask(former), asked_now = last_ask(present);
  ASSERT_NE(asked_before, 0);
  for (const char* store : {"s1", "s2"})
    present.on_message(Address{store}, answer_to(asked_before, store), Moment{170});
  EXPECT_LT(present.grant().until.value, 0);
  for (const char* store : {"s1", "s2"})
    present.on_message(Address{store}, answer_to(asked_now, store), Moment{180});
  EXPECT_GT(present.grant().until.value, 1000);
}

TEST(DataDaemon, AHomeThatIsCutOffIsLeftWhenAnotherControlDaemonNamesANewerMap) {
  // The register is out of reach; a control daemon that is no home answers pings.
  for (bool is_guard_out : {false, true}) {
    DataDaemon daemon = with_two_homes();
    daemon.keeps_outdated_homes = is_guard_out;
    std::int64_t has_next_at = -1;
    Address cut_off;
    for (std::int64_t ms = 100; ms <= 4000; ms += 50) {
      Moment now{ms};
      daemon.on_timer(now);
      PingAnswer answer;
      answer.sender = DaemonEntry{Address{"e3"}, "http-e3", "edge", ZoneName{"b"}, RegionName{"north"}, 1};
      answer.version = next_map;
      if (ms % 500 == 0)
        daemon.on_message(Address{"e3"}, answer, now);
      for (const auto& sending : daemon.take_out()) {
        if (!std::holds_alternative<Subscribe>(sending.message))
          continue;
        if (cut_off.empty())
          cut_off = sending.to;
        daemon.on_message(sending.to, plans_news(sending.to == cut_off ? old_map : next_map), now);
      }
      if (has_next_at < 0 && daemon.view()->version == next_map)
        has_next_at = ms;
    }
    if (is_guard_out) {
      EXPECT_EQ(has_next_at, -1);
      EXPECT_EQ(daemon.counts().homes_outdated, 0);
    } else {
      EXPECT_GE(has_next_at, 1500);  // it is given the time that news takes on its way
      EXPECT_LE(has_next_at, 2000);
    }
  }
}

TEST(DataDaemon, NewsThatWaitedInAPausedHomeDoesNotLengthenTheUseOfColdShares) {
  DataDaemon daemon = started(1);
  give_map(daemon, Moment{200});
  daemon.on_timer(Moment{600});
  SliceNews pool;
  pool.topic = "pool:models";
  pool.version = pool.base = {1, 1};
  pool.age = 100;
  pool.stamp = 600;
  daemon.on_message(Address{"e"}, pool, Moment{650});
  EXPECT_EQ(daemon.grant().cold_until.value, 2500);
  daemon.on_message(Address{"e"}, pool, Moment{20000});  // composed at 600, sent after a pause of the home
  EXPECT_EQ(daemon.grant().cold_until.value, 2500);
  SliceNews later = pool;
  later.stamp = 19990;
  later.base = {1, 2};
  later.version = {1, 3};  // of rows that this daemon does not hold
  daemon.on_message(Address{"e"}, later, Moment{20000});
  EXPECT_EQ(daemon.grant().cold_until.value, 2500);
}
