// A change that was taken is never refused when it is sent again; one that was not is never acknowledged.
#include "emberdale/idempotency_history.hpp"
#include "emberdale/routing_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <nlohmann/json.hpp>

using namespace emberdale;
using Json = nlohmann::json;

namespace {

struct Order {
  std::string act;
  std::int64_t base = 0;
  std::string body;
};

std::string table_of(std::int64_t revision, const std::string& prefix = "/x/") {
  Json table{{"revision", revision}};
  table["pools"] = Json::array({Json{{"name", "m"}}});
  table["routes"] = Json::array({Json{{"name", "r1"},
                                      {"host", "a.example"},
                                      {"path_prefix", prefix},
                                      {"kind", "streaming"},
                                      {"horizon_ms", 8000},
                                      {"pool", "m"}}});
  return table.dump();
}

std::string amendment_of(std::int64_t revision, const std::string& pool) {
  Json change{{"revision", revision}};
  change["upsert"]["pools"] = Json::array({Json{{"name", pool}}});
  return change.dump();
}

RoutingTableChange send(const std::string& stored, const Order& order) {
  return change_routing_table(stored, order.act, order.base, order.body);
}

// The mark that versions before SHA-256 kept beside the document.
std::string legacy_mark(const Order& order) {
  std::uint64_t hash =
      stable_hash(order.act + "\n" + std::to_string(order.base) + "\n" + Json::parse(order.body).dump());
  std::string mark(16, '0');
  for (std::size_t i = mark.size(); i-- > 0; hash >>= 4)
    mark[i] = "0123456789abcdef"[hash & 15];
  return mark;
}

std::string legacy_stored(const std::string& document, const std::vector<std::pair<std::int64_t, std::string>>& marks) {
  Json stored{{"document", Json::parse(document)}, {"taken", Json::array()}};
  for (const auto& [revision, mark] : marks)
    stored["taken"].push_back({{"digest", mark}, {"revision", revision}});
  return stored.dump();
}

// The table after `count` changes, each with the revision of its place, and the orders that made it.
struct Past {
  std::string stored;
  std::vector<Order> orders;
  explicit Past(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      orders.push_back({"replace", static_cast<std::int64_t>(i), table_of(static_cast<std::int64_t>(i) + 1)});
      stored = send(stored, orders.back()).stored;
    }
  }
};

}  // namespace

TEST(IdempotencyHistory, AMarkOf64BitsAloneAcknowledgesNothing) {
  // What stands in force is one change; its mark is that of another, as after a collision.
  Order taken{"replace", 7, table_of(9, "/taken/")}, other{"replace", 7, table_of(9, "/other/")};
  std::string stored = legacy_stored(taken.body, {{7, "0000000000000000"}, {9, legacy_mark(other)}});
  EXPECT_EQ(send(stored, other).code, 412);
  EXPECT_FALSE(send(stored, other).is_repeat);
  // An amendment can't be compared with what it made: nothing is said for certain.
  Order amend{"amend", 7, amendment_of(9, "n")};
  stored = legacy_stored(taken.body, {{7, "0000000000000000"}, {9, legacy_mark(amend)}});
  EXPECT_EQ(send(stored, amend).code, 504);
  EXPECT_FALSE(send(stored, amend).is_repeat);
}

TEST(IdempotencyHistory, WhatEarlierVersionsWroteIsStillRead) {
  // Written by the version before SHA-256: two changes, the newest a whole document.
  const std::string stored = R"({"document":{"pools":[{"name":"m"}],"revision":9,"routes":[]},"taken":[)"
                             R"({"digest":"42ac483429f4412a","revision":7},)"
                             R"({"digest":"f7a2ed1444932051","revision":9}]})";
  Order first{"replace", 0, R"({"revision":7,"pools":[],"routes":[]})"};
  Order second{"replace", 7, R"({"revision":9,"pools":[{"name":"m"}],"routes":[]})"};
  EXPECT_TRUE(send(stored, second).is_repeat);  // the whole text is there to compare
  EXPECT_EQ(send(stored, first).code, 504);     // its mark fits, its text is gone
  EXPECT_EQ(send(stored, {"replace", 0, R"({"revision":7,"pools":[{"name":"z"}],"routes":[]})"}).code, 412);
  EXPECT_EQ(send(stored, {"replace", 7, R"({"revision":10,"pools":[],"routes":[]})"}).code, 412);
  // New changes go on top, and what was known before stays known.
  auto next = send(stored, {"replace", 9, table_of(12)});
  ASSERT_EQ(next.code, 200) << next.reason;
  EXPECT_TRUE(send(next.stored, {"replace", 9, table_of(12)}).is_repeat);
  EXPECT_EQ(send(next.stored, second).code, 504);
  EXPECT_EQ(send(next.stored, first).code, 504);
}

TEST(IdempotencyHistory, AFullListOfAnEarlierVersionHadOthersBeforeIt) {
  std::vector<std::pair<std::int64_t, std::string>> marks;
  for (std::int64_t revision = 11; revision <= 138; ++revision)
    marks.push_back({revision, "00000000000000ff"});
  std::string stored = legacy_stored(table_of(138), marks);
  EXPECT_EQ(send(stored, {"replace", 4, table_of(5)}).code, 504);    // before the list
  EXPECT_EQ(send(stored, {"replace", 10, table_of(11)}).code, 504);  // whether 11 was built on 10 is not known
  EXPECT_EQ(send(stored, {"replace", 11, table_of(12)}).code, 412);  // another mark
  EXPECT_EQ(send(stored, {"replace", 4, table_of(200)}).code, 412);  // no revision 200 was ever made
}

TEST(IdempotencyHistory, TheDigestIsSha256OfActBaseAndText) {
  std::string stored = send("", {"replace", 0, table_of(7)}).stored;
  EXPECT_EQ(Json::parse(stored)["taken"][0]["digest"].get<std::string>().size(), 64u);
  EXPECT_EQ(Json::parse(stored)["forgotten"], 0);
  EXPECT_TRUE(send(stored, {"replace", 0, " \n" + table_of(7)}).is_repeat);
  EXPECT_EQ(send(stored, {"amend", 0, table_of(7)}).code, 412);
  EXPECT_EQ(send(stored, {"replace", -1, table_of(7)}).code, 412);
  EXPECT_EQ(send(stored, {"replace", 0, table_of(7, "/y/")}).code, 412);
}

TEST(IdempotencyHistory, PastTheDigestsTheRevisionsTellWhatCanNotHaveBeenTaken) {
  const std::size_t whole = IdempotencyHistory::digest_bound + IdempotencyHistory::revision_bound;
  Past past(whole + 10);
  std::vector<int> codes;
  for (const Order& order : past.orders)
    codes.push_back(send(past.stored, order).code);
  for (std::size_t i = 0; i < codes.size(); ++i)
    EXPECT_EQ(codes[i], i + IdempotencyHistory::digest_bound >= codes.size() ? 200 : 504) << i;
  // With a digest, a different change on the same base is refused; without one it can't be told.
  auto at = [&](std::size_t i, std::int64_t step) {
    return send(past.stored,
                {"replace", static_cast<std::int64_t>(i), table_of(static_cast<std::int64_t>(i) + step, "/z/")})
        .code;
  };
  EXPECT_EQ(at(whole, 1), 412);
  EXPECT_EQ(at(100, 1), 504);
  EXPECT_EQ(at(100, 2), 412);  // what was taken on 100 made 101
  EXPECT_EQ(at(5, 2), 504);    // no base is known there any more
  Json stored = Json::parse(past.stored);
  EXPECT_EQ(stored["taken"].size(), IdempotencyHistory::digest_bound);
  EXPECT_EQ(stored["older"].size(), IdempotencyHistory::revision_bound);
  EXPECT_EQ(stored["forgotten"], 10);
}

TEST(IdempotencyHistory, AHistoryThatDoesNotLeadToTheDocumentIsNotReliedOn) {
  Past past(5);
  for (const char* spoil : {R"({"taken":5})", R"({"taken":[]})", R"({"taken":[{"revision":5,"digest":"x"},7]})",
                            R"({"taken":[{"revision":5},{"revision":4}]})", R"({"forgotten":9})"}) {
    Json stored = Json::parse(past.stored);
    stored.update(Json::parse(spoil));
    for (const Order& order : past.orders)
      EXPECT_EQ(send(stored.dump(), order).code, 504) << spoil;
    EXPECT_EQ(send(stored.dump(), {"replace", 5, table_of(6)}).code, 200) << spoil;
    EXPECT_EQ(send(stored.dump(), {"replace", 6, table_of(7)}).code, 412) << spoil;
  }
}

namespace {

// The reference: every change that was ever taken, in full.
class HistoryModel {
 public:
  void take(const Order& order, std::int64_t revision) {
    place_[key(order)] = count_++;
    current = revision;
  }
  // How many changes were taken since this one; nothing if it never was.
  std::optional<std::size_t> taken_since(const Order& order) const {
    auto found = place_.find(key(order));
    if (found == place_.end())
      return std::nullopt;
    return count_ - 1 - found->second;
  }
  std::int64_t current = 0;

 private:
  static std::string key(const Order& order) {
    return order.act + " " + std::to_string(order.base) + " " + Json::parse(order.body).dump();
  }
  std::map<std::string, std::size_t> place_;
  std::size_t count_ = 0;
};

Order random_order(RandomGenerator& random, std::int64_t current) {
  std::int64_t base = random.chance(0.7) ? current : std::max<std::int64_t>(0, current - 2 + random.below(4));
  std::int64_t revision = base + 1 + random.below(3);
  if (current == 0 || random.chance(0.4))
    return {"replace", base, table_of(revision, "/" + std::to_string(random.below(3)) + "/")};
  return {"amend", base, amendment_of(revision, "p" + std::to_string(random.below(3)))};
}

void check_answer(const HistoryModel& model, const Order& order, const RoutingTableChange& answer) {
  auto since = model.taken_since(order);
  if (since) {
    RC_ASSERT(answer.code == (*since < IdempotencyHistory::digest_bound ? 200 : 504));
    RC_ASSERT(answer.is_repeat == (answer.code == 200));
    RC_ASSERT(answer.revision == model.current);
    return;
  }
  RC_ASSERT(!answer.is_repeat);
  RC_ASSERT((answer.code == 200) == (order.base == model.current));
  RC_ASSERT(answer.code != 400);
}

void run_random_sequence(RandomGenerator random) {
  HistoryModel model;
  std::string stored;
  std::vector<Order> sent;
  // Now and then a long past, in which the first changes are forgotten.
  std::int64_t steps = random.chance(0.003) ? 400 : 24;
  for (std::int64_t step = 0; step < steps; ++step) {
    Order order = random_order(random, model.current);
    if (!sent.empty() && random.chance(0.4))
      order = sent[static_cast<std::size_t>(random.below(static_cast<std::int64_t>(sent.size())))];
    sent.push_back(order);
    RoutingTableChange answer = send(stored, order);
    check_answer(model, order, answer);
    if (answer.code != 200 || answer.is_repeat)
      continue;
    stored = answer.stored;
    model.take(order, answer.revision);
    // Sent again at once it is always acknowledged, also laid out differently.
    RC_ASSERT(send(stored, {order.act, order.base, Json::parse(order.body).dump(2)}).is_repeat);
  }
}

}  // namespace

TEST(IdempotencyHistory, AnyOrderOfChangesAndResendsFollowsTheModel) {
  constexpr std::uint64_t sequences_per_seed = 30;  // with RapidCheck's 100 seeds: 3,000
  EXPECT_TRUE(rc::check([](std::uint64_t seed) {
    for (std::uint64_t i = 0; i < sequences_per_seed; ++i)
      run_random_sequence(RandomGenerator(seed + i * 7919));
  }));
}
