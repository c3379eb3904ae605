// Tests operators' calls to a running gateway (readiness, metrics, draining) and reloading of settings.
#include <string>
#include <vector>

#include "net_support.h"
#include "ops/metrics.h"
#include "ops/operator_calls.h"
#include "settings/numbering.h"

namespace cometfold::net::testing {
namespace {

struct HttpResponse {
  int status = 0;
  std::string body;
};

HttpResponse call(const Program& program, const std::string& method, const std::string& target) {
  auto peer = Peer::connect(program.admin_port());
  peer.send(method + " " + target + " HTTP/1.1\r\nHost: gateway\r\n\r\n");
  HttpResponse response{std::stoi(peer.line().substr(9, 3)), ""};
  std::size_t length = 0;
  for (std::string line; !(line = peer.line()).empty();) {
    if (line.substr(0, 16) == "Content-Length: ") length = std::stoul(line.substr(16));
  }
  response.body = peer.exactly(length);
  EXPECT_TRUE(peer.wait_for_close());
  return response;
}

long metric_value(const Program& program, const std::string& name) {
  const auto text = "\n" + call(program, "GET", "/_vars").body;
  const auto position = text.find("\nedge_edge." + name + ":");
  if (position == std::string::npos) return -1;
  return std::stol(text.substr(text.find(':', position) + 1));
}

boost::json::object config_with_admin(const std::string& known, int discovery_port, int attempts) {
  auto conf = config(known, discovery_port);
  conf["settings"].as_object()["ceilings"].as_object()["max_attempts"] = attempts;
  conf["admin"] = "127.0.0.1:0";
  return conf;
}

boost::json::object& settings_of(boost::json::object& conf) { return conf["settings"].as_object(); }

struct ServingGateway {
  explicit ServingGateway(int attempts = 4)
      : conf(config_with_admin(list(7, true, {target("s-1", host.port())}), discovery.port(), attempts)) {}
  Listener host, discovery;
  boost::json::object conf;
  Program program{conf};

  std::string serve(Peer& client, unsigned n, const std::string& value = "v") {
    client.send(query(n));
    auto attempt = host.accept();
    attempt.command();
    attempt.send(served(value));
    auto got = client.reply();
    attempt.close();
    return got;
  }
};

TEST(OperatorCalls, AreAnsweredByMethodAndPath) {
  ServingGateway gateway;
  EXPECT_EQ(call(gateway.program, "GET", "/_ready").status, 200);
  EXPECT_EQ(call(gateway.program, "GET", "/_ready?x=1").status, 200);
  EXPECT_EQ(call(gateway.program, "POST", "/_ready").status, 405);
  EXPECT_EQ(call(gateway.program, "GET", "/_lameduck/on").status, 405);
  EXPECT_EQ(call(gateway.program, "GET", "/").status, 404);
  auto bad = Peer::connect(gateway.program.admin_port());
  bad.send("PING\r\n\r\n");
  EXPECT_EQ(bad.line().substr(9, 3), "400");
}

TEST(OperatorCalls, AreAnsweredBesideIncompleteCalls) {
  ServingGateway gateway;
  std::vector<Peer> silent;
  for (int i = 0; i < 40; ++i) {  // more connections than the limit
    silent.push_back(Peer::connect(gateway.program.admin_port()));
    silent.back().send("GET /_re");
  }
  EXPECT_EQ(call(gateway.program, "GET", "/_ready").status, 200);
  EXPECT_TRUE(silent.front().wait_for_close());  // the oldest connection was evicted
  silent.back().send("ady HTTP/1.1\r\nHost: gateway\r\n\r\n");
  EXPECT_EQ(silent.back().line().substr(9, 3), "200");  // the newest was not
}

TEST(OperatorCalls, LimitTheSizeOfAHeader) {
  ServingGateway gateway;
  auto peer = Peer::connect(gateway.program.admin_port());
  peer.send("GET /_ready HTTP/1.1\r\n" + std::string(9000, 'x'));
  EXPECT_EQ(peer.line().substr(9, 3), "400");
}

TEST(Metrics, CountServedRejectedAndFailedRequests) {
  ServingGateway gateway(1);
  auto client = gateway.program.client();
  EXPECT_EQ(metric_value(gateway.program, "handled.lookup.passed"), 0);
  EXPECT_EQ(metric_value(gateway.program, "handled.pay.upstream_tries"), 0);
  EXPECT_EQ(gateway.serve(client, 1), "v");
  client.send(query(2));
  auto attempt = gateway.host.accept();
  attempt.command();
  EXPECT_EQ(metric_value(gateway.program, "in_progress"), 1);
  attempt.send(served("w"));
  EXPECT_EQ(client.reply(), "w");
  attempt.close();
  client.send(submit("pay", 3));
  auto pay = gateway.host.accept();
  pay.command();
  pay.reset();  // the request may have run: it fails without a retry
  EXPECT_EQ(client.reply().substr(0, 4), "-ERR");
  client.send(submit("pay", 4));
  auto busy = gateway.host.accept();
  busy.command();
  busy.send("-BUSY\r\n");
  EXPECT_EQ(client.reply().substr(0, 5), "-BUSY");
  EXPECT_EQ(metric_value(gateway.program, "handled.lookup.passed"), 2);
  EXPECT_EQ(metric_value(gateway.program, "handled.lookup.upstream_tries"), 2);
  EXPECT_EQ(metric_value(gateway.program, "handled.pay.bad_gateway"), 1);
  EXPECT_EQ(metric_value(gateway.program, "handled.pay.dropped"), 1);
  EXPECT_EQ(metric_value(gateway.program, "handled.pay.upstream_tries"), 2);
  EXPECT_EQ(metric_value(gateway.program, "in_progress"), 0);
  EXPECT_EQ(metric_value(gateway.program, "known_hosts"), 1);
  EXPECT_EQ(metric_value(gateway.program, "skipped_hosts"), 0);
}

TEST(Metrics, CountADrainingHostAsKnownAndExcluded) {
  ServingGateway gateway;
  auto watch = gateway.discovery.accept();
  answer_watch_request(watch);
  chunk(watch, list(8, false, {target("s-1", gateway.host.port(), "leaving")}) + "\n");
  while (metric_value(gateway.program, "skipped_hosts") != 1) wait_for_connection_rest();
  EXPECT_EQ(metric_value(gateway.program, "known_hosts"), 1);
}

TEST(Metrics, MergeClassesOfOneName) {
  const std::vector<std::string> labels{"a", "b", "a"};
  const std::vector<engine::ClassMetrics> counts{{1, 2, 3, 4}, {0, 0, 0, 9}};
  ops::GatewayMetrics metrics{.config_reloads = 5};
  metrics.rejections.by_reason[static_cast<std::size_t>(RejectionReason::kLoadShed)] = 7;
  metrics.rejections.no_capacity = 2;
  const auto text = ops::render_metrics(metrics, labels, counts);
  EXPECT_NE(text.find("edge_edge.given_up.shed:7|c\n"), std::string::npos);
  EXPECT_NE(text.find("edge_edge.given_up.no_room_here:2|c\n"), std::string::npos);
  EXPECT_NE(text.find("edge_edge.handled.a.passed:1|c\n"), std::string::npos);
  EXPECT_NE(text.find("edge_edge.handled.b.upstream_tries:9|c\n"), std::string::npos);
  EXPECT_NE(text.find("edge_edge.loads:5|c\n"), std::string::npos);
  EXPECT_EQ(text.find("handled.a.passed", text.find("handled.a.passed") + 1), std::string::npos);
}

TEST(Draining, ConnectionsCloseAfterTheirNextReplyAndIdleOnesAfterTheGracePeriod) {
  ServingGateway gateway;
  auto used = gateway.program.client(), idle = gateway.program.client(), late = gateway.program.client();
  EXPECT_EQ(gateway.serve(used, 1), "v");
  EXPECT_EQ(gateway.serve(idle, 2), "v");
  late.send(query(3));
  auto attempt = gateway.host.accept();
  attempt.command();
  EXPECT_EQ(call(gateway.program, "POST", "/_lameduck/on").status, 200);
  EXPECT_EQ(call(gateway.program, "GET", "/_ready").status, 503);
  used.send(command({"PING"}));
  EXPECT_EQ(used.reply().substr(0, 9), "-DRAINING");
  EXPECT_TRUE(used.wait_for_close());
  auto newcomer = gateway.program.client();  // its connection may have been under way: served once
  EXPECT_EQ(gateway.serve(newcomer, 4), "v");
  EXPECT_TRUE(newcomer.wait_for_close());
  EXPECT_TRUE(idle.wait_for_close());
  attempt.send(served("late"));  // accepted before draining: still answered
  EXPECT_EQ(late.reply(), "late");
  EXPECT_TRUE(late.wait_for_close());
  EXPECT_EQ(call(gateway.program, "POST", "/_lameduck/off").status, 200);
  EXPECT_EQ(call(gateway.program, "GET", "/_ready").status, 200);
  auto again = gateway.program.client();
  again.send(command({"PING"}));
  EXPECT_EQ(again.reply(), "+PONG");
  EXPECT_EQ(gateway.serve(again, 5), "v");
  EXPECT_EQ(gateway.serve(again, 6), "v");
}

TEST(ReloadedSettings, ARequestInFlightKeepsItsClassWhenClassesChange) {
  ServingGateway gateway;
  auto client = gateway.program.client(), other = gateway.program.client();
  client.send(query(1));
  auto attempt = gateway.host.accept();
  attempt.command();
  auto conf = gateway.conf;
  auto& lanes = settings_of(conf)["lanes"].as_array();
  auto added = lanes[2];
  added.as_object()["name"] = "audit";
  lanes.erase(lanes.begin());  // the positions of all other classes change
  lanes.push_back(added);
  gateway.program.reload(boost::json::serialize(conf));
  gateway.program.log_until("configuration reloaded");
  other.send(query(2));
  EXPECT_EQ(other.reply(), "-ERR unknown class");
  other.send(submit("audit", 3));
  auto audit = gateway.host.accept();
  EXPECT_EQ(audit.command().at(3).substr(0, 7), "c=audit");
  audit.reset();  // not idempotent: no retry
  EXPECT_EQ(other.reply().substr(0, 4), "-ERR");
  attempt.reset();  // its old class is idempotent: retried
  auto second = gateway.host.accept();
  EXPECT_EQ(second.command().at(2), id(1));
  second.send(served("one"));
  EXPECT_EQ(client.reply(), "one");
  EXPECT_EQ(metric_value(gateway.program, "handled.lookup.passed"), 1);
  EXPECT_EQ(metric_value(gateway.program, "handled.audit.bad_gateway"), 1);
  EXPECT_EQ(metric_value(gateway.program, "loads"), 1);
}

TEST(ReloadedSettings, ALowerLimitOnAttemptsAppliesAtOnce) {
  ServingGateway gateway;
  auto conf = gateway.conf;
  settings_of(conf)["ceilings"].as_object()["max_attempts"] = 1;
  gateway.program.reload(boost::json::serialize(conf));
  gateway.program.log_until("configuration reloaded");
  auto client = gateway.program.client();
  client.send(query(1));
  auto attempt = gateway.host.accept();
  attempt.command();
  attempt.reset();
  EXPECT_EQ(client.reply().substr(0, 5), "-BUSY");  // idempotent: the client may retry
  EXPECT_FALSE(gateway.host.waiting(20));
}

TEST(ReloadedSettings, AnInvalidFileChangesNothing) {
  ServingGateway gateway;
  std::vector<std::string> broken{"", boost::json::serialize(gateway.conf).substr(0, 300)};
  const auto add_broken = [&](auto change) {
    auto conf = gateway.conf;
    conf["discovery"] = "127.0.0.1:1";  // must not take effect
    change(settings_of(conf));
    broken.push_back(boost::json::serialize(conf));
  };
  add_broken([](auto& o) { o["lanes"].as_array()[0].as_object().erase("deadline_ms"); });
  add_broken([](auto& o) { o["lanes"].as_array()[0].as_object()["deadline_ms"] = 0; });
  add_broken([](auto& o) { o["ceilings"].as_object()["max_attempts"] = 0; });
  add_broken([](auto& o) { o["ceilings"].as_object()["max_attempts"] = -1; });
  add_broken([](auto& o) { o.erase("packages"); });
  for (const auto& text : broken) {
    gateway.program.reload(text);
    gateway.program.log_until("the previous configuration is kept");
  }
  EXPECT_EQ(metric_value(gateway.program, "load_errors"), static_cast<long>(broken.size()));
  EXPECT_EQ(metric_value(gateway.program, "loads"), 0);
  auto client = gateway.program.client();
  EXPECT_EQ(gateway.serve(client, 1), "v");
}

ClassSettings class_settings(Idempotency idempotency, Ms deadline) {
  ClassSettings settings;
  settings.idempotency = idempotency;
  settings.deadline_ms = deadline;
  return settings;
}

TEST(Numbering, NamesKeepTheirNumbersUnlessTheirIdempotencyChanges) {
  settings::NumberedSettings before{{"a", "b"}, {"p"}, {}};
  before.settings.classes = {class_settings(Idempotency::kIdempotent, 100),
                             class_settings(Idempotency::kIdempotencyKey, 200)};
  before.settings.plans.resize(1);
  settings::NumberedSettings fresh{{"c", "b", "a"}, {"q", "p"}, {}};
  fresh.settings.classes = {class_settings(Idempotency::kNonIdempotent, 1),
                            class_settings(Idempotency::kNonIdempotent, 2),
                            class_settings(Idempotency::kIdempotent, 3)};
  fresh.settings.plans.resize(2);
  const auto merged = settings::renumber(before, fresh);
  EXPECT_EQ(merged.classes, (std::vector<std::string>{"a", "", "c", "b"}));
  EXPECT_EQ(merged.plans, (std::vector<std::string>{"p", "q"}));
  EXPECT_EQ(merged.settings.classes[0].deadline_ms, 3);
  EXPECT_EQ(merged.settings.classes[1].idempotency, Idempotency::kIdempotencyKey);  // for requests in flight
  EXPECT_EQ(merged.settings.classes[3].idempotency, Idempotency::kNonIdempotent);
  const auto back = settings::renumber(merged, before);
  EXPECT_EQ(back.classes, (std::vector<std::string>{"a", "b", "", ""}));
}

TEST(Numbering, ZonesKeepTheirNumbers) {
  std::vector<std::string> zones{"a", "b"};
  settings::extend_names(zones, {"c", "a"});
  EXPECT_EQ(zones, (std::vector<std::string>{"a", "b", "c"}));
}

TEST(Numbering, IsLimited) {
  settings::NumberedSettings now{{"c"}, {"p"}, {}};
  now.settings.classes = {class_settings(Idempotency::kIdempotent, 1)};
  now.settings.plans.resize(1);
  const auto reload_with_new_idempotency = [&](int n) {
    auto next = now;
    next.classes = {"c"};
    next.settings.classes = {class_settings(Idempotency::kIdempotencyKey, n)};
    next.settings.classes[0].idempotency_key_ttl_ms = n + 1;  // differs each time: a new index
    next.plans = {"p"};
    next.settings.plans.resize(1);
    now = settings::renumber(now, next);
  };
  EXPECT_THROW(for (int n = 0; n < 2000; ++n) reload_with_new_idempotency(n), settings::TooManyNamesError);
  EXPECT_EQ(now.classes.size(), 1024u);
}

}  // namespace
}  // namespace cometfold::net::testing
