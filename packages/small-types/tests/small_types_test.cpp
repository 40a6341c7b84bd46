#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <list>
#include <thread>

#include "emberdale/bounded_queue.hpp"
#include "emberdale/event_journal.hpp"
#include "emberdale/pool.hpp"

using namespace emberdale;

namespace {
struct Element {
  int number = 0;
  ListHook hook;
};
}  // namespace

TEST(SmallTypes, AnIntrusiveListBehavesLikeAListThroughReuseOfSlots) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed) {
    RandomGenerator random(seed);
    Pool<Element> pool;
    IntrusiveList<Element> list;
    std::list<std::pair<int, PoolIndex>> model;
    for (int number = 0; number < 200; ++number) {
      if (random.chance(0.6) || model.empty()) {
        PoolIndex at = pool.take({number, {}});
        list.push_back(pool, at);
        model.push_back({number, at});
      } else {
        auto victim = std::next(model.begin(), random.below(static_cast<std::int64_t>(model.size())));
        list.remove(pool, victim->second);
        pool.give_back(victim->second);
        model.erase(victim);
      }
      RC_ASSERT(list.size() == model.size());
      PoolIndex at = list.front();
      for (const auto& [expected, index] : model) {
        RC_ASSERT(at == index && pool[at].number == expected);
        at = list.next(pool, at);
      }
      RC_ASSERT(at == no_index);
    }
  }));
}

TEST(SmallTypes, APendingQueueRefusesWhenFullAndDrainsWhenClosed) {
  BoundedQueue<int> queue(2);
  EXPECT_TRUE(queue.offer(1));
  EXPECT_TRUE(queue.offer(2));
  EXPECT_FALSE(queue.offer(3));
  std::thread closer([&] { queue.close(); });
  EXPECT_EQ(queue.take(), 1);
  EXPECT_EQ(queue.take(), 2);
  EXPECT_EQ(queue.take(), std::nullopt);  // waits for the close, then ends
  closer.join();
  EXPECT_FALSE(queue.offer(4));
}

TEST(SmallTypes, TheJournalIsBoundedAndItsCountsAreNot) {
  EventJournal journal(3);
  for (int i = 0; i < 10; ++i)
    journal.append(TimePoint{i}, i % 2 == 0 ? "map" : "edit", std::to_string(i));
  EXPECT_EQ(journal.counts().at("map"), 5);
  auto held = journal.fold(std::vector<std::string>{}, [](auto list, const JournalEvent& event) {
    list.push_back(event.detail);
    return list;
  });
  EXPECT_EQ(held, (std::vector<std::string>{"7", "8", "9"}));
}
