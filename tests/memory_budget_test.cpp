// The budget that the buffers of all connections share.
#include "resp/memory_budget.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>

#include "resp/client_connection.h"

namespace cometfold::resp {
namespace {

constexpr std::size_t kLimitBytes = 1'000'000;

struct BudgetFixture {
  MemoryBudget memory;
  BudgetFixture() { memory.set_limit(kLimitBytes); }
  void begin_commands(int count) {
    for (int i = 0; i < count; ++i) memory.begin_command();
  }
};

// Guards against commands that are taken at once and whose replies pass the limit when they come.
TEST(MemoryBudget, ReservesTheExpectedSizeOfRepliesThatAreUnderWay) {
  BudgetFixture all;
  for (int i = 0; i < 200; ++i) all.memory.record_reply(10'000);
  EXPECT_TRUE(all.memory.admits_waiting_command());
  all.begin_commands(50);
  EXPECT_FALSE(all.memory.admits_waiting_command());
  EXPECT_TRUE(all.memory.admits_command());
  all.begin_commands(51);
  EXPECT_FALSE(all.memory.admits_command());
  all.memory.end_command();
  EXPECT_TRUE(all.memory.admits_command());
}

TEST(MemoryBudget, ExpectsMoreThanTheMeanWhereSizesDiffer) {
  BudgetFixture all;
  for (int i = 0; i < 1'000; ++i) all.memory.record_reply(i % 10 == 0 ? 60'000 : 100);
  all.begin_commands(1);
  EXPECT_GT(all.memory.reserved(), 6'090u);
  EXPECT_LT(all.memory.reserved(), 60'000u);
  for (int i = 0; i < 2'000; ++i) all.memory.record_reply(100);
  EXPECT_LT(all.memory.reserved(), 200u);
}

// Guards against separate limits that are kept one by one while their sum passes the memory of the process.
TEST(MemoryBudget, AllUsesCountAgainstOneLimit) {
  using Use = MemoryBudget::Use;
  for (const Use use : {Use::kReplies, Use::kClientInput, Use::kHostInput}) {
    BudgetFixture all;
    all.memory.add(use, kLimitBytes + 1);
    EXPECT_FALSE(all.memory.admits_command());
    EXPECT_FALSE(all.memory.admits_waiting_command());
    EXPECT_FALSE(all.memory.admits_large_commands());
    EXPECT_FALSE(all.memory.may_read_ahead());
    EXPECT_FALSE(all.memory.may_hold_values());
    EXPECT_FALSE(all.memory.has_room_for_host_input(1));
    EXPECT_FALSE(all.memory.has_room_for_reply(1'000, false));
    EXPECT_TRUE(all.memory.has_room_for_reply(40, true));  // an error always has room
    all.memory.remove(use, kLimitBytes + 1);
    EXPECT_TRUE(all.memory.admits_command());
    EXPECT_EQ(all.memory.total(), 0u);
  }
}

}  // namespace
}  // namespace cometfold::resp
