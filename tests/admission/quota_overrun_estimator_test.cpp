#include "admission/quota_overrun_estimator.h"

#include <gtest/gtest.h>

#include "admission/customer_quotas.h"

namespace cometfold::admission {
namespace {

// A quota of 10 units per second over two gateways. An overrun costs as much as a request earns.
class QuotaOverrunEstimatorTest : public ::testing::Test {
 protected:
  static AdmissionSettings two_gateways() {
    AdmissionSettings settings;
    settings.classes.resize(1);
    settings.plans.push_back({.quota_rate = 10, .quota_burst = 10, .over_quota_cost = 1});
    settings.gateway_count = 100;
    return settings;
  }

  AdmissionSettings settings = two_gateways();
  CustomerQuotas quotas{settings};
  QuotaOverrunEstimator estimator{settings};
  Request request{.customer = 7, .gateway_count = 2};
  Customer& customer = quotas.find_or_create(request, 0);
};

TEST_F(QuotaOverrunEstimatorTest, AnOverrunIsMoreProbableTheMoreWasRequestedHere) {
  double last = 1;
  for (const double recent_units : {1.0, 10.0, 30.0, 100.0}) {
    customer.recent_units = recent_units;
    const double value = estimator.expected_value(customer, request, true, 0, 60'000, 0);
    EXPECT_LT(value, last);
    last = value;
  }
  EXPECT_LT(last, -0.9) << "close to the cost of an overrun";
  customer.recent_units = 1;
  EXPECT_EQ(estimator.expected_value(customer, request, false, 0, 60'000, 0), -1);
}

TEST_F(QuotaOverrunEstimatorTest, AnUndividedQuotaThatIsUsedUpIsAnOverrun) {
  customer.undivided_quota.take(10);
  EXPECT_EQ(estimator.expected_value(customer, request, true, 0, 60'000, 0), -1);
}

TEST_F(QuotaOverrunEstimatorTest, AClientsRetryCountsItsEarlierRejection) {
  customer.recent_units = 20;
  const double first = estimator.expected_value(customer, request, true, 0, 60'000, 0);
  request.is_client_retry = true;
  EXPECT_LT(estimator.expected_value(customer, request, true, 0, 60'000, 0), first);
}

TEST_F(QuotaOverrunEstimatorTest, ManyGatewaysMakeACustomerSparse) {
  EXPECT_FALSE(QuotaOverrunEstimator::is_sparse(customer, request));
  EXPECT_FALSE(estimator.has_widely_shared_quota(customer));
  request.gateway_count = 50;
  Customer& spread = quotas.find_or_create(request, 0);
  EXPECT_TRUE(QuotaOverrunEstimator::is_sparse(spread, request));
  EXPECT_TRUE(estimator.has_widely_shared_quota(spread));
}

TEST_F(QuotaOverrunEstimatorTest, FewerAreAdmittedWhereRejectedClientsRetry) {
  EXPECT_EQ(estimator.admission_probability(customer, 0), 1);
  EXPECT_DOUBLE_EQ(estimator.admission_probability(customer, 0.3), 0.7);
  EXPECT_DOUBLE_EQ(estimator.admission_probability(customer, 1), 0.35);
}

TEST_F(QuotaOverrunEstimatorTest, DemandIsRememberedLongerForSmallQuotas) {
  EXPECT_EQ(QuotaOverrunEstimator::demand_memory(customer), 1600);
  customer.quota.set_rate(1000);
  EXPECT_EQ(QuotaOverrunEstimator::demand_memory(customer), 1500);
  customer.quota.set_rate(0);
  EXPECT_EQ(QuotaOverrunEstimator::demand_memory(customer), 60'000);
}

}  // namespace
}  // namespace cometfold::admission
