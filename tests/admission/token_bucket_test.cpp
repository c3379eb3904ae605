#include "admission/token_bucket.h"

#include <gtest/gtest.h>

namespace cometfold::admission {
namespace {

TEST(TokenBucket, StartsFullAndRefillsUpToItsCapacity) {
  TokenBucket bucket(4, 2, 0);
  bucket.take(4);
  EXPECT_FALSE(bucket.can_take(1));
  EXPECT_DOUBLE_EQ(bucket.wait_for(1), 500);
  bucket.refill(1000);
  EXPECT_DOUBLE_EQ(bucket.tokens(), 2);
  bucket.refill(60'000);
  EXPECT_DOUBLE_EQ(bucket.tokens(), 4);
}

TEST(TokenBucket, ServesARequestAboveItsCapacityOnlyWhenFullAndGoesIntoDebt) {
  TokenBucket bucket(3, 1, 0);
  EXPECT_TRUE(bucket.can_take(6));
  EXPECT_FALSE(bucket.covers(6));
  bucket.take(6);
  EXPECT_DOUBLE_EQ(bucket.tokens(), -3);
  bucket.refill(5000);
  EXPECT_FALSE(bucket.can_take(6));
  bucket.refill(6000);
  EXPECT_TRUE(bucket.can_take(6));
}

TEST(TokenBucket, AClockThatGoesBackRefillsNothing) {
  TokenBucket bucket(10, 1, 5000);
  bucket.take(10);
  bucket.refill(1000);
  EXPECT_DOUBLE_EQ(bucket.tokens(), 0);
  bucket.refill(6000);
  EXPECT_DOUBLE_EQ(bucket.tokens(), 1);
}

TEST(TokenBucket, ResizingRefillsAtTheOldRateAndDropsWhatDoesNotFit) {
  TokenBucket bucket(10, 1, 0);
  bucket.take(10);
  bucket.resize(3, 100, 5000);
  EXPECT_DOUBLE_EQ(bucket.tokens(), 3);
  bucket.take(3);
  bucket.refill(5010);
  EXPECT_DOUBLE_EQ(bucket.tokens(), 1);
}

TEST(TokenBucket, AnInitiallyFullOneIsFullAtItsFirstCapacity) {
  TokenBucket bucket = TokenBucket::initially_full();
  bucket.resize(7, 1, 100);
  EXPECT_DOUBLE_EQ(bucket.tokens(), 7);
  EXPECT_TRUE(bucket.is_full());
}

TEST(TokenBucket, SplittingKeepsAPartOfTheTokensAndReturnsAllDebt) {
  TokenBucket bucket(10, 0, 0);
  EXPECT_DOUBLE_EQ(bucket.split_off(0.25, 0), 7.5);
  EXPECT_DOUBLE_EQ(bucket.tokens(), 2.5);
  bucket.take(4);
  EXPECT_DOUBLE_EQ(bucket.split_off(0.25, 0), -1.5);
  EXPECT_DOUBLE_EQ(bucket.tokens(), 0);
}

TEST(TokenBucket, WithoutARateTheWaitIsInfinite) {
  TokenBucket bucket(1, 0, 0);
  bucket.take(1);
  EXPECT_EQ(bucket.wait_for(1), kInfiniteMs);
}

}  // namespace
}  // namespace cometfold::admission
