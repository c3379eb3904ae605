#include "admission/customer_quotas.h"

#include <gtest/gtest.h>

namespace cometfold::admission {
namespace {

// Two classes; a quota of 10 units per second and a ceiling of 20, over two gateways.
AdmissionSettings settings_of_two_classes() {
  AdmissionSettings settings;
  settings.classes.resize(2);
  settings.plans.push_back({.quota_rate = 10,
                            .quota_burst = 10,
                            .over_quota_cost = 1,
                            .ceiling_rate = 20,
                            .ceiling_burst = 20,
                            .max_concurrent_attempts = 4});
  settings.gateway_count = 2;
  settings.max_request_units = 5;
  return settings;
}

class CustomerQuotasTest : public ::testing::Test {
 protected:
  CustomerQuotasTest() { quotas.start(0); }
  static Request request(double units, std::uint32_t class_index = 0) {
    return {.class_index = class_index, .customer = 7, .units = units, .gateway_count = 2};
  }

  AdmissionSettings settings = settings_of_two_classes();
  CustomerQuotas quotas{settings};
};

TEST_F(CustomerQuotasTest, AGatewayHasItsSliceOfTheQuota) {
  const Customer& customer = quotas.find_or_create(request(1), 0);
  EXPECT_EQ(customer.quota.capacity(), 5);
  EXPECT_EQ(customer.quota.rate(), 5);
  EXPECT_EQ(customer.quota.tokens(), 5);
  EXPECT_EQ(customer.undivided_quota.capacity(), 10);
  EXPECT_EQ(customer.classes[0].bucket.rate(), 2.5);
}

TEST_F(CustomerQuotasTest, TheExceededLimitIsNamed) {
  Customer& customer = quotas.find_or_create(request(1), 0);
  EXPECT_EQ(quotas.exceeded_limit(customer, request(5), 0), std::nullopt);
  quotas.charge(customer, request(5), true, 0);
  EXPECT_EQ(quotas.exceeded_limit(customer, request(1), 0), RejectionReason::kCustomerQuota);
  customer.attempts_in_flight = 2;
  EXPECT_EQ(quotas.exceeded_limit(customer, request(1), 0), RejectionReason::kConcurrencyLimit);
}

TEST_F(CustomerQuotasTest, AClassMayExceedItsPartBeforeTheCustomerDoes) {
  Customer& customer = quotas.find_or_create(request(1), 0);
  quotas.charge(customer, request(5, 0), true, 0);
  EXPECT_EQ(quotas.exceeded_limit(customer, request(2, 0), 500), RejectionReason::kClassQuota);
  EXPECT_EQ(quotas.exceeded_limit(customer, request(2, 1), 500), std::nullopt);
}

// Guards against memory that grows without end under ever new names, and against ceilings that are full again
// because their customers were evicted.
TEST_F(CustomerQuotasTest, NewNamesEvictIdleCustomersButGrantNoCeilingTwice) {
  settings.max_customers = 100;
  const auto request_of = [](CustomerId id) {
    Request named = request(1);
    named.customer = id;
    return named;
  };
  const Ms now = 100'000;
  Customer& spent = quotas.find_or_create(request_of(1), now);
  quotas.charge(spent, request(5), false, now);
  quotas.charge(spent, request(5), false, now);
  Customer& in_flight = quotas.find_or_create(request_of(2), now);
  in_flight.attempts_in_flight = 1;
  for (CustomerId id = 10; id < 1'010; ++id) quotas.find_or_create(request_of(id), now + 1).recent_units = 1;
  quotas.on_tick(now + 2);
  int known = 0;
  for (CustomerId id = 1; id < 1'010; ++id) known += quotas.find(id) != nullptr ? 1 : 0;
  EXPECT_LE(known, 100);
  EXPECT_EQ(quotas.find(1), nullptr);
  EXPECT_NE(quotas.find(2), nullptr);
  EXPECT_FALSE(quotas.is_below_ceiling(quotas.find_or_create(request_of(1), now + 3), request(1), now + 3));
  EXPECT_TRUE(
      quotas.is_below_ceiling(quotas.find_or_create(request_of(1), now + 3), request(1), now + 1'003));
}

TEST_F(CustomerQuotasTest, ACeilingStartsEmptyWithTheGateway) {
  Customer& customer = quotas.find_or_create(request(1), 0);
  EXPECT_FALSE(quotas.is_below_ceiling(customer, request(1), 0));
  EXPECT_TRUE(quotas.is_below_ceiling(customer, request(1), 100));
}

TEST_F(CustomerQuotasTest, ARefundUndoesACharge) {
  Customer& customer = quotas.find_or_create(request(1), 1000);
  const double ceiling = customer.ceiling.tokens();
  quotas.charge(customer, request(3), true, 1000);
  EXPECT_EQ(customer.quota.tokens(), 2);
  quotas.refund(request(3), true);
  EXPECT_EQ(customer.quota.tokens(), 5);
  EXPECT_EQ(customer.classes[0].bucket.tokens(), 5);
  EXPECT_EQ(customer.undivided_quota.tokens(), 10);
  EXPECT_EQ(customer.ceiling.tokens(), ceiling);
  EXPECT_EQ(customer.units_granted, 0);
}

TEST_F(CustomerQuotasTest, ActualUnitsReplaceTheEstimate) {
  Customer& customer = quotas.find_or_create(request(1), 0);
  quotas.charge(customer, request(3), true, 0);
  quotas.correct(request(3), true, 1);
  EXPECT_EQ(customer.quota.tokens(), 4);
  quotas.correct(request(3), true, 5);
  EXPECT_EQ(customer.quota.tokens(), 2);
}

TEST_F(CustomerQuotasTest, UnusedQuotaIsLentToTheClassThatArrives) {
  Customer& customer = quotas.find_or_create(request(1), 0);
  quotas.on_tick(100);
  customer.classes[0].recent_units = 3;
  quotas.on_tick(200);
  // Its guaranteed half of 5 units per second, plus what the slice could have granted within the tick.
  EXPECT_NEAR(customer.classes[0].bucket.rate(), 2.5 + 5.5 / 0.1, 1e-9);
  EXPECT_NEAR(customer.classes[1].bucket.rate(), 2.5, 1e-9);
}

TEST_F(CustomerQuotasTest, ACustomerWithFullBucketsIsEvicted) {
  Customer& customer = quotas.find_or_create(request(1), 0);
  quotas.charge(customer, request(1), true, 0);
  quotas.on_tick(100);
  EXPECT_NE(quotas.find(7), nullptr);
  quotas.on_tick(61'000);
  EXPECT_EQ(quotas.find(7), nullptr);
}

TEST_F(CustomerQuotasTest, ACustomerWithAttemptsInFlightStays) {
  quotas.find_or_create(request(1), 0).attempts_in_flight = 1;
  quotas.on_tick(61'000);
  EXPECT_NE(quotas.find(7), nullptr);
}

TEST_F(CustomerQuotasTest, AHandoverSplitsTheLevels) {
  Customer& customer = quotas.find_or_create(request(1), 0);
  customer.attempts_in_flight = 2;
  HandoverSnapshot snapshot;
  quotas.export_to(snapshot, 0);
  ASSERT_EQ(snapshot.customers.size(), 1u);
  EXPECT_EQ(snapshot.customers[0].quota_level, 4);
  EXPECT_EQ(customer.quota.tokens(), 1);
  EXPECT_EQ(customer.quota.rate(), 0) << "only the successor refills";
  CustomerQuotas successor(settings);
  successor.import_from(snapshot, 0);
  Customer* imported = successor.find(7);
  ASSERT_NE(imported, nullptr);
  EXPECT_EQ(imported->quota.tokens(), 4);
  EXPECT_TRUE(successor.is_at_concurrency_limit(*imported));
  successor.forget_predecessor_attempts();
  EXPECT_FALSE(successor.is_at_concurrency_limit(*imported));
}

}  // namespace
}  // namespace cometfold::admission
