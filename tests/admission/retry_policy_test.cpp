#include "admission/retry_policy.h"

#include <gtest/gtest.h>

namespace cometfold::admission {
namespace {

class RetryPolicyTest : public ::testing::Test {
 protected:
  RetryPolicyTest() {
    settings.max_attempts = 3;
    settings.hedging_allowed = true;
    settings.min_event_interval_ms = 4;
    latency.resize(1);
    pending.class_settings = {
        .latency_objective_ms = 1000, .deadline_ms = 4000, .idempotency = Idempotency::kIdempotent};
    pending.request.expires_at = 4000;
  }
  void send(Ms at) { pending.attempts.push_back({.host = 1, .sent_at = at}); }

  AdmissionSettings settings;
  LatencyStatistics latency;
  RetryBudget budget;
  RetryPolicy policy{settings, latency, budget};
  PendingRequest pending;
};

TEST_F(RetryPolicyTest, AnAttemptIsAllowedUntilTheAnswerOrTheDeadline) {
  EXPECT_EQ(policy.constraint(pending, 0).verdict, AttemptVerdict::kAllowed);
  EXPECT_EQ(policy.constraint(pending, 4000).verdict, AttemptVerdict::kDeadlineExceeded);
  pending.answered = true;
  EXPECT_EQ(policy.constraint(pending, 0).verdict, AttemptVerdict::kAnswered);
}

TEST_F(RetryPolicyTest, OneAttemptMayBeHedgedOnce) {
  send(0);
  EXPECT_EQ(policy.constraint(pending, 0).verdict, AttemptVerdict::kAllowed);
  send(100);
  EXPECT_EQ(policy.constraint(pending, 100).verdict, AttemptVerdict::kAttemptInFlight);
  settings.hedging_allowed = false;
  pending.attempts.pop_back();
  EXPECT_EQ(policy.constraint(pending, 100).verdict, AttemptVerdict::kAttemptInFlight);
}

TEST_F(RetryPolicyTest, AttemptsAreBoundedByTheSettingsTheRequestAndItsWindow) {
  send(0);
  pending.attempts[0].in_flight = false;
  pending.request.bounds.retry_window_ms = 500;
  EXPECT_TRUE(policy.has_attempts_left(pending, 500));
  EXPECT_FALSE(policy.has_attempts_left(pending, 501));
  pending.request.bounds.max_attempts = 1;
  EXPECT_EQ(policy.constraint(pending, 100).verdict, AttemptVerdict::kTooManyAttempts);
}

TEST_F(RetryPolicyTest, ARetryThatComesTooLateForItsValueIsNotWorthwhile) {
  EXPECT_TRUE(policy.is_retry_worthwhile(pending, 899));
  EXPECT_FALSE(policy.is_retry_worthwhile(pending, 900));
  pending.class_settings.late_value_fraction = 0.5;  // an answer has value until the deadline
  EXPECT_TRUE(policy.is_retry_worthwhile(pending, 3599));
  EXPECT_FALSE(policy.is_retry_worthwhile(pending, 3600));
  while (budget.has_retry()) budget.on_retry();
  EXPECT_FALSE(policy.is_retry_worthwhile(pending, 0));
}

TEST_F(RetryPolicyTest, ChecksAreScheduledForARetryAndThenForTheDeadline) {
  send(0);
  EXPECT_DOUBLE_EQ(policy.next_check_after(pending, 0), 600);
  EXPECT_FALSE(policy.is_last_attempt_slow(pending, 599));
  EXPECT_TRUE(policy.is_last_attempt_slow(pending, 600));
  EXPECT_DOUBLE_EQ(policy.next_check_after(pending, 600), 3396);
  EXPECT_FALSE(policy.is_deadline_due(pending, 3995));
  EXPECT_TRUE(policy.is_deadline_due(pending, 3996));
}

TEST_F(RetryPolicyTest, SlowClassesAreGivenLonger) {
  Host host;
  latency.record(host, 0, 100, 0);
  send(0);
  EXPECT_DOUBLE_EQ(policy.next_check_after(pending, 0), 800);
}

}  // namespace
}  // namespace cometfold::admission
