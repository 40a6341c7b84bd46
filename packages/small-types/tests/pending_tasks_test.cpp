// Tasks whose owner waits for them at its end.
#include "emberdale/pending_tasks.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

using emberdale::PendingTasks;
using std::chrono::milliseconds;

TEST(PendingTasks, TheEndWaitsForEachTask) {
  PendingTasks pending;
  EXPECT_TRUE(pending.wait_until_done(milliseconds(0)));
  std::atomic<bool> is_done{false};
  std::thread task([&is_done, token = pending.begin()]() mutable {
    std::this_thread::sleep_for(milliseconds(50));
    is_done = true;
    token.reset();
  });
  EXPECT_FALSE(pending.wait_until_done(milliseconds(0)));
  EXPECT_TRUE(pending.wait_until_done(milliseconds(10000)));
  EXPECT_TRUE(is_done);
  task.join();
}

TEST(PendingTasks, ATokenMayOutliveItsOwner) {
  std::shared_ptr<void> token;
  {
    PendingTasks pending;
    token = pending.begin();
    EXPECT_FALSE(pending.wait_until_done(milliseconds(10)));
  }
  token.reset();
}
