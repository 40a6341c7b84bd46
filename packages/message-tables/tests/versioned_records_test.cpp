// What lies on disk is read by later versions, and refused with a reason by earlier ones.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "emberdale/avro_codec.hpp"
#include "emberdale/avro_record_codec.hpp"
#include "emberdale/spoiled_text.hpp"

using namespace emberdale;
using namespace emberdale::avro_records;

namespace {

// Two versions of one record, which holds another that also grew.
namespace earlier {
struct Point {
  static constexpr const char* wire_name = "Point";
  std::int64_t x = 0;
  std::string label;
  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("x", self.x);
    visit("label", self.label);
  }
};

struct Plan {
  static constexpr const char* wire_name = "Plan";
  std::string name;
  std::vector<Point> points;
  std::int64_t version = 0;
  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("name", self.name);
    visit("points", self.points);
    visit("version", self.version);
  }
};
}  // namespace earlier

namespace later {
struct Point {
  static constexpr const char* wire_name = "Point";
  std::int64_t x = 0;
  std::string label;
  std::int64_t y = 0;
  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("x", self.x);
    visit("label", self.label);
    visit("y", self.y);
  }
};

struct Colour {
  static constexpr const char* wire_name = "Colour";
  std::string shade;
  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("shade", self.shade);
  }
};

struct Plan {
  static constexpr const char* wire_name = "Plan";
  std::string name;
  std::vector<Point> points;
  std::int64_t version = 0;
  std::vector<Colour> colours;
  bool is_open = false;
  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("name", self.name);
    visit("points", self.points);
    visit("version", self.version);
    visit("colours", self.colours);
    visit("is_open", self.is_open);
  }
};
}  // namespace later

const RecordShape no_legacy;

earlier::Plan earlier_plan() { return {"p", {{1, "a"}, {2, "b"}}, 7}; }
later::Plan later_plan() { return {"p", {{1, "a", 5}, {2, "b", 6}}, 7, {{"red"}}, true}; }

std::string from_hex(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  return bytes;
}

// Bytes as the version before the header wrote them.
const std::string legacy_state_bytes = from_hex(
    "0466310a0602167a6f6e652d6f7264657273047a310406267b227374617465223a22656d7074696564227d0002021a31302e"
    "302e302e313a373030301a31302e302e302e313a3830303008636f7265047a310472319a0100081a31302e302e302e313a37"
    "303030880e0812021a31302e302e302e323a3730303000020473311a31302e302e302e313a3730303000020473321a31302e"
    "302e302e323a373030300002106368616e67652d31040600");
const std::string legacy_whole_record = from_hex(
    "01000001180261160262dc020466310a0602167a6f6e652d6f7264657273047a310406267b227374617465223a22656d7074"
    "696564227d0002021a31302e302e302e313a373030301a31302e302e302e313a3830303008636f7265047a310472319a0100"
    "081a31302e302e302e313a37303030880e0812021a31302e302e302e323a3730303000020473311a31302e302e302e313a37"
    "30303000020473321a31302e302e302e323a373030300002106368616e67652d31040600");
const std::string legacy_lean_record = from_hex("010000001a026116026200");

FleetState fixture_state() {
  FleetState state;
  state.fleet_name = "f1";
  state.version = 5;
  state.config_revision = 3;
  state.resources.push_back({"zone-orders", "z1", 2, 3, R"({"state":"emptied"})"});
  state.deleted_version = 1;
  state.roster.push_back(
      {Address{"10.0.0.1:7000"}, "10.0.0.1:8000", DaemonRole::core, ZoneName{"z1"}, RegionName{"r1"}, 77});
  state.term = 4;
  state.master = Address{"10.0.0.1:7000"};
  state.acknowledgement_wait_ms = 900;
  state.minimum_version = MapVersion{4, 9};
  state.lease_roster = {Address{"10.0.0.2:7000"}};
  state.acceptors = {{StoreId{"s1"}, Address{"10.0.0.1:7000"}}};
  state.next_acceptors = {{StoreId{"s2"}, Address{"10.0.0.2:7000"}}};
  state.completed_changes = {{"change-1", 2, 3}};
  return state;
}

std::string with_shape(const std::string& shape, const std::string& body) {
  std::string head{static_cast<char>(versioned_mark), static_cast<char>(versioned_format),
                   static_cast<char>(shape.size()), '\0'};
  return head + shape + body;
}

}  // namespace

TEST(VersionedRecords, FieldsAddedLaterTakeTheirDefaultsInEarlierBytes) {
  auto read = decode_versioned<later::Plan>(encode_versioned(earlier_plan()), no_legacy);
  ASSERT_TRUE(read) << read.reason;
  EXPECT_EQ(read->name, "p");
  EXPECT_EQ(read->version, 7);
  ASSERT_EQ(read->points.size(), 2u);
  EXPECT_EQ(read->points[1].label, "b");
  EXPECT_EQ(read->points[1].y, 0);
  EXPECT_TRUE(read->colours.empty());
  EXPECT_FALSE(read->is_open);
  auto whole = decode_versioned<later::Plan>(encode_versioned(later_plan()), no_legacy);
  ASSERT_TRUE(whole) << whole.reason;
  EXPECT_EQ(whole->points[1].y, 6);
  EXPECT_EQ(whole->colours.at(0).shade, "red");
  EXPECT_TRUE(whole->is_open);
}

TEST(VersionedRecords, BytesWithoutAHeaderHaveTheShapeOfTheVersionsBeforeIt) {
  const RecordShape legacy{{"Plan", 3}, {"Point", 2}};
  auto read = decode_versioned<later::Plan>(encode_record(earlier_plan()), legacy);
  ASSERT_TRUE(read) << read.reason;
  EXPECT_EQ(read->points[1].label, "b");
  EXPECT_EQ(read->version, 7);
  EXPECT_FALSE(read->is_open);
}

TEST(VersionedRecords, WhatANewerVersionWroteIsRefusedWithAReason) {
  auto read = decode_versioned<earlier::Plan>(encode_versioned(later_plan()), no_legacy);
  EXPECT_FALSE(read);
  EXPECT_NE(read.reason.find("newer version"), std::string::npos) << read.reason;
  std::string bytes = encode_versioned(earlier_plan());
  bytes[1] = 2;
  read = decode_versioned<earlier::Plan>(bytes, no_legacy);
  EXPECT_FALSE(read);
  EXPECT_EQ(read.reason, "not a Plan: format 2 is not known here: written by a newer version");
}

TEST(VersionedRecords, AShapeThatIsNotOneIsRefused) {
  const std::string body = encode_record(earlier_plan());
  EXPECT_TRUE(decode_versioned<earlier::Plan>(with_shape("Plan:3,Point:2", body), no_legacy));
  for (const char* shape : {"", ",", "Plan", "Plan:", "Plan:3", "Plan:3,", "Plan:3,Point:0", "Plan:0,Point:2",
                            "Point:2,Plan:3", "Plan:03,Point:2", "Plan:3,Point:99999", "Plan:3,Point:-2",
                            "Plan:3,Point:2,Other:1", "Plan:3,Point:2,Point:2", ":3,Plan:3,Point:2"}) {
    auto read = decode_versioned<earlier::Plan>(with_shape(shape, body), no_legacy);
    EXPECT_FALSE(read) << shape;
    EXPECT_FALSE(read.reason.empty()) << shape;
  }
}

TEST(VersionedRecords, ACutOneIsAReasonAndNoSpoiledOneBringsItDown) {
  std::string state = encode_state(fixture_state());
  for (std::size_t size = 0; size < state.size(); ++size)
    EXPECT_FALSE(decode_state(state.substr(0, size))) << size;
  std::string record = encode_acceptor_record({Ballot{3, Address{"a"}}, true, Ballot{2, Address{"b"}}, {state}});
  for (std::size_t size = 0; size < record.size(); ++size)
    EXPECT_FALSE(decode_acceptor_record(record.substr(0, size))) << size;
  EXPECT_FALSE(decode_state(state + "x"));
  EXPECT_FALSE(decode_state(legacy_state_bytes + "x"));
  EXPECT_FALSE(decode_acceptor_record(record + "x"));
  EXPECT_TRUE(rc::check([&](std::uint64_t seed) {
    for (const auto& bytes : {state, record, legacy_state_bytes, legacy_whole_record}) {
      auto as_state = decode_state(spoiled(bytes, seed));
      RC_ASSERT(as_state.has_value() || !as_state.reason.empty());
      auto as_record = decode_acceptor_record(spoiled(bytes, seed));
      RC_ASSERT(as_record.has_value() || !as_record.reason.empty());
    }
  }));
}

TEST(VersionedRecords, TheStateOfEarlierVersionsIsRead) {
  auto state = decode_state(legacy_state_bytes);
  ASSERT_TRUE(state) << state.reason;
  EXPECT_EQ(encode_state(*state), encode_state(fixture_state()));
  EXPECT_TRUE(decode_state(std::string(15, '\0')));  // a blank one
}

TEST(VersionedRecords, TheAcceptorRecordsOfEarlierVersionsAreRead) {
  auto whole = decode_acceptor_record(legacy_whole_record);
  ASSERT_TRUE(whole) << whole.reason;
  EXPECT_TRUE(whole->promised == (Ballot{12, Address{"a"}}));
  EXPECT_TRUE(whole->accepted == (Ballot{11, Address{"b"}}));
  EXPECT_TRUE(whole->has_value);
  EXPECT_EQ(whole->value.data, legacy_state_bytes);
  auto lean = decode_acceptor_record(legacy_lean_record);
  ASSERT_TRUE(lean) << lean.reason;
  EXPECT_TRUE(lean->promised == (Ballot{13, Address{"a"}}));
  EXPECT_FALSE(lean->has_value);
}

// A field that is renamed, moved, retyped or put in the middle makes what lies on disk unreadable.
TEST(VersionedRecords, TheFieldsOfEarlierVersionsStandWhereTheyStood) {
  const RecordShape legacy{{"AcceptorEntry", 2}, {"DaemonEntry", 6}, {"DoneChange", 3},
                           {"FleetState", 14},   {"MapVersion", 2},  {"Resource", 5}};
  SchemaWriter writer;
  writer.shape = &legacy;
  EXPECT_EQ(record_schema<FleetState>(writer),
            R"({"type":"record","name":"FleetState","fields":[{"name":"fleet","type":"string"},{"nam)"
            R"(e":"version","type":"long"},{"name":"config_revision","type":"long"},{"name":"resourc)"
            R"(es","type":{"type":"array","items":{"type":"record","name":"Resource","fields":[{"nam)"
            R"(e":"kind","type":"string"},{"name":"name","type":"string"},{"name":"version","type":")"
            R"(long"},{"name":"config_revision","type":"long"},{"name":"body","type":"string"}]}}},{)"
            R"("name":"deleted_version","type":"long"},{"name":"roster","type":{"type":"array","item)"
            R"(s":{"type":"record","name":"DaemonEntry","fields":[{"name":"address","type":"string"})"
            R"(,{"name":"http","type":"string"},{"name":"role","type":"string"},{"name":"zone","type)"
            R"(":"string"},{"name":"region","type":"string"},{"name":"incarnation","type":"long"}]}})"
            R"(},{"name":"term","type":"long"},{"name":"master","type":"string"},{"name":"ack_wait",)"
            R"("type":"long"},{"name":"minimum_version","type":{"type":"record","name":"MapVersion",)"
            R"("fields":[{"name":"term","type":"long"},{"name":"number","type":"long"}]}},{"name":"l)"
            R"(ease_roster","type":{"type":"array","items":"string"}},{"name":"acceptors","type":{"t)"
            R"(ype":"array","items":{"type":"record","name":"AcceptorEntry","fields":[{"name":"store)"
            R"(","type":"string"},{"name":"address","type":"string"}]}}},{"name":"next_acceptors","t)"
            R"(ype":{"type":"array","items":"AcceptorEntry"}},{"name":"done","type":{"type":"array",)"
            R"("items":{"type":"record","name":"DoneChange","fields":[{"name":"change","type":"strin)"
            R"(g"},{"name":"version","type":"long"},{"name":"config_revision","type":"long"}]}}}]})");
  EXPECT_EQ(writer.fault, "");
}
