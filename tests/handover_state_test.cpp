// Golden test of the hand-over state. Predecessor and successor may be of different versions, so the keys,
// their order and the number format must not change.
#include "ops/handover_state.h"

#include <gtest/gtest.h>

namespace cometfold::testing {
namespace {

constexpr std::string_view kGoldenState =
    R"({"version":1,"age_ms":5E3,"classes":["look","hold"],"plans":["team","solo"],"customers":[[)"
    R"(8589934591,1,2E0,3.5E0,-4E0,5E0,8E0,9E0,[6E0,7E0],0E0],[7,0,1E0,1E0,1E0,1E0,1E0,1E0,[1E0,1)"
    R"(E0],3E0]],"hosts":[[42,1.5E3,2.5E0,5E-1,4E0,9E0,8E2]],"class_ms":[6E1,2.5E2],"calm_ms":9E1)"
    R"(,"departed":[[43,1.2345E3],[44,null]]})";

const std::vector<std::string> kClasses{"look", "hold"};
const std::vector<std::string> kPlans{"team", "solo"};

HandoverSnapshot golden_snapshot() {
  HandoverSnapshot state;
  state.age_ms = 5000;
  state.customers.push_back({.id = (1ULL << 33) - 1,
                             .plan_index = 1,
                             .gateway_count = 2,
                             .quota_level = 3.5,
                             .undivided_quota_level = -4,
                             .ceiling_level = 5,
                             .class_levels = {6, 7},
                             .demand = 8,
                             .idle_ms = 9});
  state.customers.push_back({.id = 7,
                             .quota_level = 1,
                             .undivided_quota_level = 1,
                             .ceiling_level = 1,
                             .class_levels = {1, 1},
                             .demand = 1,
                             .idle_ms = 1,
                             .attempts_in_flight = 3});
  state.hosts = {{42, 1500, 2.5, 0.5, 4, 9, 800}};
  state.class_latency_ms = {60, 250};
  state.unloaded_latency_ms = 90;
  state.departed_hosts = {{43, 1234.5}, {44, std::nullopt}};
  return state;
}

TEST(HandoverState, EncodesTheGoldenText) {
  const std::vector<PlanSettings> plans(2);
  EXPECT_EQ(ops::encode_handover(golden_snapshot(), {kClasses, kPlans}, plans), kGoldenState);
}

TEST(HandoverState, DecodesTheGoldenText) {
  const HandoverSnapshot sent = golden_snapshot();
  const HandoverSnapshot got = ops::decode_handover(kGoldenState, {kClasses, kPlans});
  EXPECT_EQ(got.age_ms, sent.age_ms);
  ASSERT_EQ(got.customers.size(), 2U);
  for (std::size_t i = 0; i < 2; ++i) {
    EXPECT_EQ(got.customers[i].id, sent.customers[i].id);
    EXPECT_EQ(got.customers[i].plan_index, sent.customers[i].plan_index);
    EXPECT_EQ(got.customers[i].gateway_count, sent.customers[i].gateway_count);
    EXPECT_EQ(got.customers[i].quota_level, sent.customers[i].quota_level);
    EXPECT_EQ(got.customers[i].undivided_quota_level, sent.customers[i].undivided_quota_level);
    EXPECT_EQ(got.customers[i].ceiling_level, sent.customers[i].ceiling_level);
    EXPECT_EQ(got.customers[i].class_levels, sent.customers[i].class_levels);
    EXPECT_EQ(got.customers[i].demand, sent.customers[i].demand);
    EXPECT_EQ(got.customers[i].idle_ms, sent.customers[i].idle_ms);
    EXPECT_EQ(got.customers[i].attempts_in_flight, sent.customers[i].attempts_in_flight);
  }
  ASSERT_EQ(got.hosts.size(), 1U);
  EXPECT_EQ(ops::encode_handover(got, {kClasses, kPlans}, std::vector<PlanSettings>(2)), kGoldenState);
  EXPECT_EQ(got.class_latency_ms, sent.class_latency_ms);
  EXPECT_EQ(got.unloaded_latency_ms, sent.unloaded_latency_ms);
  ASSERT_EQ(got.departed_hosts.size(), 2U);
  EXPECT_EQ(got.departed_hosts[0].boot_unix_ms, 1234.5);
  EXPECT_FALSE(got.departed_hosts[1].boot_unix_ms);
}

}  // namespace
}  // namespace cometfold::testing
