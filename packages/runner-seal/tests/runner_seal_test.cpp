// Tests of the seal of a response and of the events of a streamed one.
#include "emberdale/runner_seal.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "emberdale/spoiled_text.hpp"

namespace emberdale {
namespace {

using Step = StreamCheck::Step;

TEST(RunnerSeal, IsBoundToCallRunnerIncarnationAndBody) {
  std::string seal = seal_of("k", "c", "r", 1, "body");
  EXPECT_EQ(seal, seal_of("k", "c", "r", 1, "body"));
  EXPECT_NE(seal, seal_of("x", "c", "r", 1, "body"));
  EXPECT_NE(seal, seal_of("k", "x", "r", 1, "body"));
  EXPECT_NE(seal, seal_of("k", "c", "x", 1, "body"));
  EXPECT_NE(seal, seal_of("k", "c", "r", 2, "body"));
  EXPECT_NE(seal, seal_of("k", "c", "r", 1, "bodx"));
}

TEST(RunnerSeal, AStreamThatSkipsRepeatsReplacesOrEndsEarlyIsBroken) {
  auto seal = [](const std::string& text) {
    return seal_of("k", "c", "r", 1, text);
  };
  auto run = [](std::vector<StreamEvent> events) {
    StreamCheck check("k", "c", "r", 1);
    Step last = Step::broken;
    for (const auto& event : events)
      if ((last = check.take(event)) == Step::broken)
        return last;
    return last;
  };
  StreamEvent one{"", "1", "a"}, two{"", "2", "b"}, three{"", "3", "c"};
  EXPECT_EQ(run({one, two, {"sealed", "3", seal("a\nb\n")}}), Step::sealed);
  EXPECT_EQ(run({one, three}), Step::broken);                                            // skips
  EXPECT_EQ(run({one, one}), Step::broken);                                              // repeats
  EXPECT_EQ(run({one, {"", "2", "x"}, {"sealed", "3", seal("a\nb\n")}}), Step::broken);  // replaces
  EXPECT_EQ(run({one, {"sealed", "2", seal("a\nb\n")}}), Step::broken);                  // ends early
  EXPECT_EQ(run({one, {"error", "", "gone"}}), Step::broken);
}

TEST(RunnerSeal, EventsAreTheSameWhereverTheBytesAreSplit) {
  std::string text = event_text({"", "1", "a"}) + event_text({"sealed", "2", "s"});
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    EventCutter cutter;
    auto events = cutter.feed(text.substr(0, cut));
    for (auto& event : cutter.feed(text.substr(cut)))
      events.push_back(event);
    ASSERT_EQ(events.size(), 2u) << cut;
    EXPECT_EQ(events[1].event, "sealed");
    EXPECT_EQ(cutter.waiting(), 0u);
  }
}

TEST(RunnerSeal, NoMalformedStreamCrashesItOrPassesAsSealed) {
  std::string text, whole;
  for (int i = 1; i <= 4; ++i) {
    std::string data = "piece " + std::to_string(i);
    text += data + "\n";
    whole += event_text({"", std::to_string(i), data});
  }
  whole += event_text({"sealed", "5", seal_of("key", "call", "r1", 7, text)});
  EXPECT_TRUE(rc::check([&](std::uint64_t seed) {
    std::string bytes = spoiled(whole, seed);
    EventCutter cutter;
    StreamCheck check("key", "call", "r1", 7);
    RandomGenerator random(seed);
    std::string taken;
    bool is_sealed = false, is_broken = false;
    for (std::size_t at = 0; at < bytes.size();) {
      auto size = static_cast<std::size_t>(1 + random.below(30));
      for (const auto& event : cutter.feed(bytes.substr(at, size))) {
        auto step = check.take(event);
        if (step == StreamCheck::Step::piece && !is_broken)
          taken += event.data + "\n";
        is_sealed = is_sealed || (step == StreamCheck::Step::sealed && !is_broken);
        is_broken = is_broken || step == StreamCheck::Step::broken;
      }
      at += size;
    }
    if (is_sealed)
      RC_ASSERT(taken == text);
  }));
}

}  // namespace
}  // namespace emberdale
