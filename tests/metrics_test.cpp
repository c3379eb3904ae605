// Golden test of the exported metrics: names, order and kinds must not change.
#include "ops/metrics.h"

#include <gtest/gtest.h>

namespace cometfold::testing {
namespace {

constexpr std::string_view kGoldenText =
    "edge_edge.handled.a.passed:5|c\n"
    "edge_edge.handled.a.dropped:6|c\n"
    "edge_edge.handled.a.bad_gateway:7|c\n"
    "edge_edge.handled.a.upstream_tries:8|c\n"
    "edge_edge.handled.b.passed:11|c\n"
    "edge_edge.handled.b.dropped:22|c\n"
    "edge_edge.handled.b.bad_gateway:33|c\n"
    "edge_edge.handled.b.upstream_tries:44|c\n"
    "edge_edge.handled.c.passed:0|c\n"
    "edge_edge.handled.c.dropped:0|c\n"
    "edge_edge.handled.c.bad_gateway:0|c\n"
    "edge_edge.handled.c.upstream_tries:0|c\n"
    "edge_edge.in_progress:1|g\n"
    "edge_edge.known_hosts:2|g\n"
    "edge_edge.skipped_hosts:3|g\n"
    "edge_edge.loads:4|c\n"
    "edge_edge.load_errors:5|c\n"
    "edge_edge.given_up.malformed:100|c\n"
    "edge_edge.given_up.ceiling:101|c\n"
    "edge_edge.given_up.open:102|c\n"
    "edge_edge.given_up.parent:103|c\n"
    "edge_edge.given_up.child:104|c\n"
    "edge_edge.given_up.beyond:105|c\n"
    "edge_edge.given_up.shed:106|c\n"
    "edge_edge.given_up.no_host:107|c\n"
    "edge_edge.given_up.hosts_full:108|c\n"
    "edge_edge.given_up.ended:109|c\n"
    "edge_edge.given_up.late:110|c\n"
    "edge_edge.given_up.no_room_here:111|c\n"
    "edge_edge.rule.decision_stopped.answered:113|c\n"
    "edge_edge.rule.first_byte_stopped.answered:124|c\n"
    "edge_edge.rule.decision_stopped.client_left:114|c\n"
    "edge_edge.rule.first_byte_stopped.client_left:125|c\n"
    "edge_edge.rule.decision_stopped.time_up:115|c\n"
    "edge_edge.rule.first_byte_stopped.time_up:126|c\n"
    "edge_edge.rule.decision_stopped.too_many:116|c\n"
    "edge_edge.rule.first_byte_stopped.too_many:127|c\n"
    "edge_edge.rule.decision_stopped.still_out:117|c\n"
    "edge_edge.rule.first_byte_stopped.still_out:128|c\n"
    "edge_edge.rule.decision_stopped.may_have_run:118|c\n"
    "edge_edge.rule.first_byte_stopped.may_have_run:129|c\n"
    "edge_edge.rule.decision_stopped.key_forgotten:119|c\n"
    "edge_edge.rule.first_byte_stopped.key_forgotten:130|c\n"
    "edge_edge.rule.decision_stopped.other_group:120|c\n"
    "edge_edge.rule.first_byte_stopped.other_group:131|c\n"
    "edge_edge.rule.decision_stopped.not_listed:121|c\n"
    "edge_edge.rule.first_byte_stopped.not_listed:132|c\n"
    "edge_edge.rule.decision_stopped.other_process:122|c\n"
    "edge_edge.rule.first_byte_stopped.other_process:133|c\n"
    "edge_edge.rule.refusal_stopped:134|c\n"
    "edge_edge.rule.close_stopped:146|c\n"
    "edge_edge.attempts.ok:135|c\n"
    "edge_edge.attempts.error:136|c\n"
    "edge_edge.attempts.full:137|c\n"
    "edge_edge.attempts.timed_out:138|c\n"
    "edge_edge.attempts.connect_failed:139|c\n"
    "edge_edge.attempts.broken:140|c\n"
    "edge_edge.attempts.cancelled:141|c\n"
    "edge_edge.attempts.not_sent:142|c\n"
    "edge_edge.attempts.repeats:143|c\n"
    "edge_edge.values.pauses:147|c\n"
    "edge_edge.values.continued:148|c\n"
    "edge_edge.values.replaced:149|c\n"
    "edge_edge.values.differed:150|c\n"
    "edge_edge.closed.idle:144|c\n"
    "edge_edge.closed.reset:145|c\n"
    "edge_edge.memory.limit:151|g\n"
    "edge_edge.memory.replies:152|g\n"
    "edge_edge.memory.client_input:153|g\n"
    "edge_edge.memory.host_input:154|g\n"
    "edge_edge.memory.reserved:155|g\n"
    "edge_edge.memory.dropped_replies:156|c\n"
    "edge_edge.peers.standing:1|g\n"
    "edge_edge.peers.judged:2|c\n";

// Gives each metric a distinct value, so that mixed-up metrics are detected.
ops::GatewayMetrics golden_metrics() {
  ops::GatewayMetrics metrics;
  metrics.in_progress = 1;
  metrics.known_hosts = 2;
  metrics.excluded_hosts = 3;
  metrics.config_reloads = 4;
  metrics.config_reload_errors = 5;
  std::uint64_t next = 100;
  for (auto& count : metrics.rejections.by_reason) count = next++;
  metrics.rejections.no_capacity = next++;
  for (auto& count : metrics.rules.decisions) count = next++;
  for (auto& count : metrics.rules.first_bytes) count = next++;
  metrics.rules.rejections = next++;
  for (auto& count : metrics.attempts.by_outcome) count = next++;
  metrics.attempts.retries = next++;
  metrics.closed.emplace_back("idle", next++);
  metrics.closed.emplace_back("reset", next++);
  metrics.forbidden_closes = next++;
  metrics.values = {147, 148, 149, 150};
  metrics.memory = {151, 152, 153, 154, 155, 156};
  metrics.peers = ops::PeerMetrics{{{"standing", 1}}, {{"judged", 2}}};
  return metrics;
}

TEST(Metrics, RenderTheGoldenText) {
  const std::vector<std::string> labels{"b", "a", "b", "c"};
  const std::vector<engine::ClassMetrics> classes{{1, 2, 3, 4}, {5, 6, 7, 8}, {10, 20, 30, 40}};
  EXPECT_EQ(ops::render_metrics(golden_metrics(), labels, classes), kGoldenText);
}

}  // namespace
}  // namespace cometfold::testing
