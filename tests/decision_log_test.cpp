// The decision log: a line for each request, and no effect on the decisions.
#include "net/decision_log.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "engine/controller_policy.h"
#include "support.h"

namespace cometfold::net::testing {
namespace {

using cometfold::testing::host;
using cometfold::testing::plain_settings;
using cometfold::testing::RecordedAction;
using cometfold::testing::RecordingSink;

TEST(DecisionLog, LogsPlansClassesAndDecisionsWithoutChangingThem) {
  auto settings = plain_settings();
  settings.plans[0].over_quota_cost = 1.5;
  settings.plans[0].ceiling_rate = 0;
  settings.plans[0].ceiling_burst = 0;
  std::vector<std::string> lines;
  engine::ControllerPolicy plain(settings, 7), logged(settings, 7);
  DecisionLog log(logged, settings, [&](const std::string& line) { lines.push_back(line); });
  const HostEntry list[] = {host(1), host(2)};
  RecordingSink without, with;
  const auto play = [&](engine::AdmissionPolicy& policy, RecordingSink& out) {
    policy.start(0, out);
    policy.on_host_list(0, HostListUpdate::kSnapshot, list, out);
    for (RequestId id = 1; id <= 12; ++id) {
      policy.on_request(10, {.id = id, .customer = 0xab, .expires_at = 4000, .units = 1, .gateway_count = 2},
                        out);
    }
    policy.on_timer(100, ~std::uint64_t{0}, out);
  };
  play(plain, without);
  play(log, with);
  ASSERT_EQ(with.actions.size(), without.actions.size());
  for (std::size_t i = 0; i < with.actions.size(); ++i) {
    EXPECT_EQ(with.actions[i].kind, without.actions[i].kind) << i;
    EXPECT_EQ(with.actions[i].id, without.actions[i].id) << i;
    EXPECT_EQ(with.actions[i].host, without.actions[i].host) << i;
  }
  ASSERT_EQ(lines.size(), 14u);
  EXPECT_EQ(lines[0], "plan=0 rate=4 burst=8 pays=1 cost=1.5 earns=0 ceiling=0 ceilingburst=0 open=0");
  EXPECT_EQ(lines[1], "class=0 worth=1 aim=1000 deadline=4000");
  EXPECT_EQ(lines[2], "customer=ab plan=0 class=0 units=1 spread=2 sent");
  int sent = 0;
  int rejected = 0;
  for (std::size_t i = 2; i < lines.size(); ++i) {
    const std::string last = lines[i].substr(lines[i].rfind(' ') + 1);
    sent += last == "sent";
    rejected += last.starts_with("refused=");
  }
  EXPECT_EQ(sent, static_cast<int>(with.count(RecordedAction::kSend)));
  EXPECT_EQ(rejected, static_cast<int>(with.count(RecordedAction::kReject)));
  EXPECT_GT(rejected, 0);
}

}  // namespace
}  // namespace cometfold::net::testing
