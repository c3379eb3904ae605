// Tests operators' calls: paths, methods, statuses and bodies must not change.
#include "ops/operator_calls.h"

#include <gtest/gtest.h>

namespace cometfold::testing {
namespace {

class FakeGateway : public ops::GatewayOperations {
 public:
  bool ready() const override { return is_ready; }
  std::string metrics() override { return "metrics\n"; }
  std::optional<std::string> members() override { return member_list; }
  void set_draining(bool draining) override { is_draining = draining; }

  bool is_ready = true, is_draining = false;
  std::optional<std::string> member_list;
};

void expect_response(FakeGateway& gateway, std::string_view method, std::string_view target, int status,
                     std::string_view body, std::string_view content_type = "text/plain") {
  const auto response = ops::handle_call(gateway, method, target);
  EXPECT_EQ(response.status, status) << method << ' ' << target;
  EXPECT_EQ(response.body, body) << method << ' ' << target;
  EXPECT_EQ(response.content_type, content_type) << method << ' ' << target;
}

TEST(OperatorCalls, ReportReadiness) {
  FakeGateway gateway;
  expect_response(gateway, "GET", "/_ready", 200, "ready\n");
  expect_response(gateway, "GET", "/_ready?query", 200, "ready\n");
  gateway.is_ready = false;
  expect_response(gateway, "GET", "/_ready", 503, "not ready: it starts, drains or ends\n");
}

TEST(OperatorCalls, ReportMetricsAndMembers) {
  FakeGateway gateway;
  expect_response(gateway, "GET", "/_vars", 200, "metrics\n");
  expect_response(gateway, "GET", "/_members", 404,
                  "this gateway knows of no others: [peers] in its own settings has no 'listen'\n");
  gateway.member_list = "{}\n";
  expect_response(gateway, "GET", "/_members", 200, "{}\n", "application/json");
}

TEST(OperatorCalls, StartAndStopDraining) {
  FakeGateway gateway;
  expect_response(gateway, "POST", "/_lameduck/on", 200, "draining\n");
  EXPECT_TRUE(gateway.is_draining);
  expect_response(gateway, "POST", "/_lameduck/off", 200, "taking clients\n");
  EXPECT_FALSE(gateway.is_draining);
}

TEST(OperatorCalls, RejectOtherMethodsAndPaths) {
  FakeGateway gateway;
  for (const std::string path : {"/_ready", "/_vars", "/_members"}) {
    expect_response(gateway, "POST", path, 405, path + " is asked for with GET\n");
  }
  for (const std::string path : {"/_lameduck/on", "/_lameduck/off"}) {
    expect_response(gateway, "GET", path, 405, path + " is asked for with POST\n");
  }
  EXPECT_FALSE(gateway.is_draining);
  expect_response(gateway, "GET", "/", 404,
                  "no such call: there are GET /_ready, GET /_vars, GET /_members, POST /_lameduck/on, POST "
                  "/_lameduck/off\n");
}

}  // namespace
}  // namespace cometfold::testing
