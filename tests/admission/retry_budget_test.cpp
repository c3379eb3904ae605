#include "admission/retry_budget.h"

#include <gtest/gtest.h>

namespace cometfold::admission {
namespace {

int spend_all(RetryBudget& budget) {
  int retries = 0;
  for (; budget.has_retry(); ++retries) budget.on_retry();
  return retries;
}

TEST(RetryBudget, StartsWithFiveRetries) {
  RetryBudget budget;
  EXPECT_EQ(spend_all(budget), 5);
}

TEST(RetryBudget, EarnsOneRetryWithTenFirstAttemptsAndSavesTenAtMost) {
  RetryBudget budget;
  spend_all(budget);
  for (int i = 0; i < 31; ++i) budget.on_first_attempt();
  EXPECT_EQ(spend_all(budget), 3);
  for (int i = 0; i < 1000; ++i) budget.on_first_attempt();
  EXPECT_EQ(spend_all(budget), 10);
}

TEST(RetryBudget, ARefundAllowsOneMoreRetry) {
  RetryBudget budget;
  spend_all(budget);
  budget.refund_retry();
  EXPECT_EQ(spend_all(budget), 1);
}

}  // namespace
}  // namespace cometfold::admission
