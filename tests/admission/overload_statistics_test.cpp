#include "admission/overload_statistics.h"

#include <gtest/gtest.h>

#include "host_parts.h"

namespace cometfold::admission {
namespace {

Request request_of(std::uint32_t class_index, std::uint32_t plan_index) {
  return {.class_index = class_index, .plan_index = plan_index};
}

void record_all(HostParts& parts, int rounds, auto rejected) {
  HostId id = 1;
  for (int i = 0; i < rounds; ++i) {
    for (std::uint32_t class_index : {0u, 1u}) {
      for (std::uint32_t plan_index : {0u, 1u}) {
        const Request request = request_of(class_index, plan_index);
        parts.overload.record(parts.host(id), request, rejected(request), 0);
        id = id % 20 + 1;
      }
    }
  }
}

TEST(OverloadStatistics, NothingIsKnownAtFirst) {
  HostParts parts;
  parts.list(1, 0);
  EXPECT_EQ(parts.overload.rejection_rate(parts.host(1), request_of(0, 0)), 0);
  EXPECT_EQ(parts.overload.fleet_rejection_fraction(), 0);
}

TEST(OverloadStatistics, AHostRejectsARequestIfItRejectsItsPlanAndItsClass) {
  HostParts parts;
  parts.list(1, 0);
  parts.overload.record(parts.host(1), request_of(0, 0), true, 0);
  EXPECT_EQ(parts.overload.rejection_rate(parts.host(1), request_of(0, 0)), 0.5);
  EXPECT_EQ(parts.overload.rejection_rate(parts.host(1), request_of(0, 1)), 0);
  EXPECT_EQ(parts.overload.rejection_rate(parts.host(1), request_of(1, 0)), 0);
}

TEST(OverloadStatistics, OneRejectedPlanIsNoOverloadOfTheFleet) {
  HostParts parts;
  parts.list(20, 0);
  record_all(parts, 200, [](const Request& request) { return request.plan_index == 0; });
  EXPECT_LT(parts.overload.fleet_rejection_fraction(), 0.01);
}

TEST(OverloadStatistics, RejectionsOfAllAreOverload) {
  HostParts parts;
  parts.list(20, 0);
  record_all(parts, 200, [](const Request&) { return true; });
  EXPECT_GT(parts.overload.fleet_rejection_fraction(), 0.9);
}

TEST(OverloadStatistics, WhereHostsReportQueuesOneWithoutAQueueIsNotOverloaded) {
  AdmissionSettings settings = HostParts::default_settings();
  settings.load_report_fields = {LoadField::kQueueLength};
  HostParts parts(settings);
  parts.list(20, 0);
  record_all(parts, 200, [](const Request&) { return true; });
  EXPECT_EQ(parts.overload.fleet_rejection_fraction(), 0);
}

TEST(OverloadStatistics, MorePlansStartAnew) {
  HostParts parts;
  parts.list(20, 0);
  record_all(parts, 200, [](const Request&) { return true; });
  parts.settings.plans.resize(3);
  parts.overload.on_settings_changed();
  EXPECT_EQ(parts.overload.fleet_rejection_fraction(), 0);
  EXPECT_EQ(parts.overload.rejection_rate(parts.host(1), request_of(1, 2)), 0);
}

}  // namespace
}  // namespace cometfold::admission
