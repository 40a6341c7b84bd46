#include "emberdale/avro_codec.hpp"
#include "emberdale/spoiled_text.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace emberdale;

TEST(AvroCodec, GivesBackEveryMessageKindEmptyOrNot) {
  SliceUpdate update{"plans", {3, 4}, 7, true, {3, 1}, 5, {{"k", {std::string("\0x", 2)}}}, {"gone"}};
  auto back = decode_message(encode_message(Message{update}));
  ASSERT_TRUE(back) << back.reason;
  const auto& read = std::get<SliceUpdate>(*back);
  EXPECT_EQ(read.rows.at(0).body.data, std::string("\0x", 2));
  EXPECT_EQ(read.removed_keys.at(0), "gone");
  EXPECT_TRUE(decode_message(encode_message(Message{ViewResponse{}})));
}

TEST(AvroCodec, StateSurvivesForAnyContent) {
  EXPECT_TRUE(rc::check([](const std::string& fleet, std::int64_t version, const std::vector<std::string>& bodies) {
    FleetState state;
    for (char letter : fleet)
      state.fleet_name += letter == '\0' ? '.' : letter;
    state.version = version;
    for (const auto& body : bodies)
      state.resources.push_back({"runners", "r", 1, 2, body});
    auto back = decode_state(encode_state(state));
    RC_ASSERT(back.has_value());
    RC_ASSERT(back->fleet_name == state.fleet_name && back->version == version);
    RC_ASSERT(back->resources.size() == bodies.size());
    for (std::size_t i = 0; i < bodies.size(); ++i)
      RC_ASSERT(back->resources[i].body == bodies[i]);
  }));
}

TEST(AvroCodec, ACutFrameIsAReasonAndNeverAValue) {
  FleetState state;
  state.fleet_name = "f";
  state.resources.push_back({"runners", "r", 1, 2, "{}"});
  std::string bytes = encode_state(state);
  for (std::size_t size = 0; size + 1 < bytes.size(); ++size)
    EXPECT_FALSE(decode_state(bytes.substr(0, size))) << size;
}

TEST(AvroCodec, NoFrameFromOutsideBringsItDown) {
  PlacementMap map;
  map.runners.push_back({RunnerName{"m1"},
                         "h",
                         PoolName{"p"},
                         ZoneName{"z"},
                         RegionName{"r"},
                         RunnerState::warming_up,
                         1,
                         8,
                         0,
                         2,
                         {{Address{"d"}, 1}},
                         "k"});
  FleetState state;
  state.fleet_name = "f";
  state.resources.push_back({"runners", "r", 1, 2, "{}"});
  const std::vector<std::string> sound{
      encode_message(Message{PlacementUpdate{map, false}}), encode_message(Message{EditRequest{}}),
      encode_message(Message{Promise{1, StoreId{"s"}, true, {}, {}, {encode_state(state)}}})};
  EXPECT_TRUE(rc::check([&](std::uint64_t seed) {
    auto read = decode_message(spoiled(sound[seed % sound.size()], seed));
    RC_ASSERT(read.has_value() || !read.reason.empty());
    auto value = decode_state(spoiled(encode_state(state), seed));
    RC_ASSERT(value.has_value() || !value.reason.empty());
  }));
  EXPECT_TRUE(rc::check([](const std::string& bytes) { (void)decode_message(bytes); }));
}
