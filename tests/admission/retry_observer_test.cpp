#include "admission/retry_observer.h"

#include <gtest/gtest.h>

namespace cometfold::admission {
namespace {

constexpr Ms kReturnWindowMs = 1500;

double fraction_after(bool admitted, bool returns) {
  RetryObserver observer;
  for (int i = 0; i < 200; ++i) {
    const Ms now = i * 10'000.0;
    RetryObserver::FirstRequest first;
    observer.on_request(first, true, kReturnWindowMs, now);
    if (admitted) observer.on_admitted(first, now);
    if (returns) observer.on_request(first, false, kReturnWindowMs, now + 1000);
  }
  return observer.retry_fraction();
}

TEST(RetryObserver, StartsWithThePriorFraction) { EXPECT_NEAR(RetryObserver().retry_fraction(), 0.3, 1e-9); }

TEST(RetryObserver, FollowsWhatRejectedClientsDo) {
  EXPECT_GT(fraction_after(false, true), 0.95);
  EXPECT_LT(fraction_after(false, false), 0.05);
}

TEST(RetryObserver, ReturnsAfterAnAdmissionAreNoRetries) { EXPECT_EQ(fraction_after(true, true), 0); }

TEST(RetryObserver, ARequestAfterTheWindowIsNoRetry) {
  RetryObserver observer;
  RetryObserver::FirstRequest first;
  observer.on_request(first, true, kReturnWindowMs, 0);
  const double before = observer.retry_fraction();
  observer.on_request(first, false, kReturnWindowMs, kReturnWindowMs);
  EXPECT_EQ(observer.retry_fraction(), before);
}

TEST(RetryObserver, AnAdmissionIsCountedOnce) {
  RetryObserver once;
  RetryObserver twice;
  for (auto* observer : {&once, &twice}) {
    RetryObserver::FirstRequest first;
    observer->on_request(first, true, kReturnWindowMs, 0);
    observer->on_admitted(first, 0);
    if (observer == &twice) observer->on_admitted(first, 0);
  }
  EXPECT_EQ(once.retry_fraction(), twice.retry_fraction());
}

}  // namespace
}  // namespace cometfold::admission
