// Tests operators' calls to a running gateway (readiness, metrics, draining) and reloading of settings.
#include <string>
#include <vector>

#include "net_support.h"
#include "ops/metrics.h"
#include "ops/operator_calls.h"
#include "settings/numbering.h"

namespace cometfold::net::testing {
namespace {

struct Said {
  int status = 0;
  std::string body;
};

Said call(const Program& program, const std::string& method, const std::string& target) {
  auto peer = Peer::connect(program.admin_port());
  peer.send(method + " " + target + " HTTP/1.1\r\nHost: gateway\r\n\r\n");
  Said said{std::stoi(peer.line().substr(9, 3)), ""};
  std::size_t length = 0;
  for (std::string line; !(line = peer.line()).empty();) {
    if (line.substr(0, 16) == "Content-Length: ") length = std::stoul(line.substr(16));
  }
  said.body = peer.exactly(length);
  EXPECT_TRUE(peer.ends());
  return said;
}

long figure(const Program& program, const std::string& name) {
  const auto text = "\n" + call(program, "GET", "/_vars").body;
  const auto at = text.find("\nedge_edge." + name + ":");
  if (at == std::string::npos) return -1;
  return std::stol(text.substr(text.find(':', at) + 1));
}

boost::json::object operated(const std::string& known, int discovery_port, int attempts) {
  auto conf = config(known, discovery_port);
  conf["settings"].as_object()["ceilings"].as_object()["max_attempts"] = attempts;
  conf["admin"] = "127.0.0.1:0";
  return conf;
}

boost::json::object& settings_of(boost::json::object& conf) { return conf["settings"].as_object(); }

struct Serving {
  explicit Serving(int attempts = 4)
      : conf(operated(list(7, true, {target("s-1", host.port())}), discovery.port(), attempts)) {}
  Listener host, discovery;
  boost::json::object conf;
  Program program{conf};

  std::string serve(Peer& client, unsigned n, const std::string& value = "v") {
    client.send(query(n));
    auto at = host.accept();
    at.command();
    at.send(served(value));
    auto got = client.reply();
    at.close();
    return got;
  }
};

TEST(OperatorCalls, AreAnsweredByMethodAndPath) {
  Serving s;
  EXPECT_EQ(call(s.program, "GET", "/_ready").status, 200);
  EXPECT_EQ(call(s.program, "GET", "/_ready?x=1").status, 200);
  EXPECT_EQ(call(s.program, "POST", "/_ready").status, 405);
  EXPECT_EQ(call(s.program, "GET", "/_lameduck/on").status, 405);
  EXPECT_EQ(call(s.program, "GET", "/").status, 404);
  auto bad = Peer::connect(s.program.admin_port());
  bad.send("PING\r\n\r\n");
  EXPECT_EQ(bad.line().substr(9, 3), "400");
}

TEST(OperatorCalls, AreAnsweredBesideIncompleteCalls) {
  Serving s;
  std::vector<Peer> silent;
  for (int i = 0; i < 40; ++i) {  // more connections than the limit
    silent.push_back(Peer::connect(s.program.admin_port()));
    silent.back().send("GET /_re");
  }
  EXPECT_EQ(call(s.program, "GET", "/_ready").status, 200);
  EXPECT_TRUE(silent.front().ends());  // the oldest connection was evicted
  silent.back().send("ady HTTP/1.1\r\nHost: gateway\r\n\r\n");
  EXPECT_EQ(silent.back().line().substr(9, 3), "200");  // the newest was not
}

TEST(OperatorCalls, LimitTheSizeOfAHeader) {
  Serving s;
  auto peer = Peer::connect(s.program.admin_port());
  peer.send("GET /_ready HTTP/1.1\r\n" + std::string(9000, 'x'));
  EXPECT_EQ(peer.line().substr(9, 3), "400");
}

TEST(Metrics, CountServedRejectedAndFailedRequests) {
  Serving s(1);
  auto client = s.program.client();
  EXPECT_EQ(figure(s.program, "handled.lookup.passed"), 0);
  EXPECT_EQ(figure(s.program, "handled.pay.upstream_tries"), 0);
  EXPECT_EQ(s.serve(client, 1), "v");
  client.send(query(2));
  auto at = s.host.accept();
  at.command();
  EXPECT_EQ(figure(s.program, "in_progress"), 1);
  at.send(served("w"));
  EXPECT_EQ(client.reply(), "w");
  at.close();
  client.send(submit("pay", 3));
  auto pay = s.host.accept();
  pay.command();
  pay.reset();  // the request may have run: it fails without a retry
  EXPECT_EQ(client.reply().substr(0, 4), "-ERR");
  client.send(submit("pay", 4));
  auto busy = s.host.accept();
  busy.command();
  busy.send("-BUSY\r\n");
  EXPECT_EQ(client.reply().substr(0, 5), "-BUSY");
  EXPECT_EQ(figure(s.program, "handled.lookup.passed"), 2);
  EXPECT_EQ(figure(s.program, "handled.lookup.upstream_tries"), 2);
  EXPECT_EQ(figure(s.program, "handled.pay.bad_gateway"), 1);
  EXPECT_EQ(figure(s.program, "handled.pay.dropped"), 1);
  EXPECT_EQ(figure(s.program, "handled.pay.upstream_tries"), 2);
  EXPECT_EQ(figure(s.program, "in_progress"), 0);
  EXPECT_EQ(figure(s.program, "known_hosts"), 1);
  EXPECT_EQ(figure(s.program, "skipped_hosts"), 0);
}

TEST(Metrics, CountADrainingHostAsKnownAndExcluded) {
  Serving s;
  auto watch = s.discovery.accept();
  watch_head(watch);
  chunk(watch, list(8, false, {target("s-1", s.host.port(), "leaving")}) + "\n");
  while (figure(s.program, "skipped_hosts") != 1) let_rest();
  EXPECT_EQ(figure(s.program, "known_hosts"), 1);
}

TEST(Metrics, MergeClassesOfOneName) {
  const std::vector<std::string> labels{"a", "b", "a"};
  const std::vector<engine::ClassMetrics> counts{{1, 2, 3, 4}, {0, 0, 0, 9}};
  ops::GatewayMetrics figures{.config_reloads = 5};
  figures.rejections.by_reason[static_cast<std::size_t>(RejectionReason::kLoadShed)] = 7;
  figures.rejections.no_capacity = 2;
  const auto text = ops::render_metrics(figures, labels, counts);
  EXPECT_NE(text.find("edge_edge.given_up.shed:7|c\n"), std::string::npos);
  EXPECT_NE(text.find("edge_edge.given_up.no_room_here:2|c\n"), std::string::npos);
  EXPECT_NE(text.find("edge_edge.handled.a.passed:1|c\n"), std::string::npos);
  EXPECT_NE(text.find("edge_edge.handled.b.upstream_tries:9|c\n"), std::string::npos);
  EXPECT_NE(text.find("edge_edge.loads:5|c\n"), std::string::npos);
  EXPECT_EQ(text.find("handled.a.passed", text.find("handled.a.passed") + 1), std::string::npos);
}

TEST(Draining, ConnectionsCloseAfterTheirNextReplyAndIdleOnesAfterTheGracePeriod) {
  Serving s;
  auto used = s.program.client(), idle = s.program.client(), late = s.program.client();
  EXPECT_EQ(s.serve(used, 1), "v");
  EXPECT_EQ(s.serve(idle, 2), "v");
  late.send(query(3));
  auto at = s.host.accept();
  at.command();
  EXPECT_EQ(call(s.program, "POST", "/_lameduck/on").status, 200);
  EXPECT_EQ(call(s.program, "GET", "/_ready").status, 503);
  used.send(command({"PING"}));
  EXPECT_EQ(used.reply().substr(0, 9), "-DRAINING");
  EXPECT_TRUE(used.ends());
  auto newcomer = s.program.client();  // its connection may have been under way: served once
  EXPECT_EQ(s.serve(newcomer, 4), "v");
  EXPECT_TRUE(newcomer.ends());
  EXPECT_TRUE(idle.ends());
  at.send(served("late"));  // accepted before draining: still answered
  EXPECT_EQ(late.reply(), "late");
  EXPECT_TRUE(late.ends());
  EXPECT_EQ(call(s.program, "POST", "/_lameduck/off").status, 200);
  EXPECT_EQ(call(s.program, "GET", "/_ready").status, 200);
  auto again = s.program.client();
  again.send(command({"PING"}));
  EXPECT_EQ(again.reply(), "+PONG");
  EXPECT_EQ(s.serve(again, 5), "v");
  EXPECT_EQ(s.serve(again, 6), "v");
}

TEST(ReloadedSettings, ARequestInFlightKeepsItsClassWhenClassesChange) {
  Serving s;
  auto client = s.program.client(), other = s.program.client();
  client.send(query(1));
  auto at = s.host.accept();
  at.command();
  auto conf = s.conf;
  auto& lanes = settings_of(conf)["lanes"].as_array();
  auto added = lanes[2];
  added.as_object()["name"] = "audit";
  lanes.erase(lanes.begin());  // the positions of all other classes change
  lanes.push_back(added);
  s.program.reload(boost::json::serialize(conf));
  s.program.log_until("configuration read again");
  other.send(query(2));
  EXPECT_EQ(other.reply(), "-ERR unknown class");
  other.send(submit("audit", 3));
  auto audit = s.host.accept();
  EXPECT_EQ(audit.command().at(3).substr(0, 7), "c=audit");
  audit.reset();  // not idempotent: no retry
  EXPECT_EQ(other.reply().substr(0, 4), "-ERR");
  at.reset();  // its old class is idempotent: retried
  auto second = s.host.accept();
  EXPECT_EQ(second.command().at(2), id(1));
  second.send(served("one"));
  EXPECT_EQ(client.reply(), "one");
  EXPECT_EQ(figure(s.program, "handled.lookup.passed"), 1);
  EXPECT_EQ(figure(s.program, "handled.audit.bad_gateway"), 1);
  EXPECT_EQ(figure(s.program, "loads"), 1);
}

TEST(ReloadedSettings, ALowerLimitOnAttemptsAppliesAtOnce) {
  Serving s;
  auto conf = s.conf;
  settings_of(conf)["ceilings"].as_object()["max_attempts"] = 1;
  s.program.reload(boost::json::serialize(conf));
  s.program.log_until("configuration read again");
  auto client = s.program.client();
  client.send(query(1));
  auto at = s.host.accept();
  at.command();
  at.reset();
  EXPECT_EQ(client.reply().substr(0, 5), "-BUSY");  // idempotent: the client may retry
  EXPECT_FALSE(s.host.waiting(20));
}

TEST(ReloadedSettings, AnInvalidFileChangesNothing) {
  Serving s;
  std::vector<std::string> broken{"", boost::json::serialize(s.conf).substr(0, 300)};
  const auto with = [&](auto change) {
    auto conf = s.conf;
    conf["discovery"] = "127.0.0.1:1";  // must not take effect
    change(settings_of(conf));
    broken.push_back(boost::json::serialize(conf));
  };
  with([](auto& o) { o["lanes"].as_array()[0].as_object().erase("deadline_ms"); });
  with([](auto& o) { o["lanes"].as_array()[0].as_object()["deadline_ms"] = 0; });
  with([](auto& o) { o["ceilings"].as_object()["max_attempts"] = 0; });
  with([](auto& o) { o["ceilings"].as_object()["max_attempts"] = -1; });
  with([](auto& o) { o.erase("packages"); });
  for (const auto& text : broken) {
    s.program.reload(text);
    s.program.log_until("the old one is kept");
  }
  EXPECT_EQ(figure(s.program, "load_errors"), static_cast<long>(broken.size()));
  EXPECT_EQ(figure(s.program, "loads"), 0);
  auto client = s.program.client();
  EXPECT_EQ(s.serve(client, 1), "v");
}

ClassSettings kind(Idempotency repeat, Ms deadline) {
  ClassSettings c;
  c.idempotency = repeat;
  c.deadline_ms = deadline;
  return c;
}

TEST(Numbering, NamesKeepTheirNumbersUnlessTheirIdempotencyChanges) {
  settings::NumberedSettings before{{"a", "b"}, {"p"}, {}};
  before.settings.classes = {kind(Idempotency::kIdempotent, 100), kind(Idempotency::kIdempotencyKey, 200)};
  before.settings.plans.resize(1);
  settings::NumberedSettings fresh{{"c", "b", "a"}, {"q", "p"}, {}};
  fresh.settings.classes = {kind(Idempotency::kNonIdempotent, 1), kind(Idempotency::kNonIdempotent, 2),
                            kind(Idempotency::kIdempotent, 3)};
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
  now.settings.classes = {kind(Idempotency::kIdempotent, 1)};
  now.settings.plans.resize(1);
  const auto turn = [&](int n) {
    auto next = now;
    next.classes = {"c"};
    next.settings.classes = {kind(Idempotency::kIdempotencyKey, n)};
    next.settings.classes[0].idempotency_key_ttl_ms = n + 1;  // differs each time: a new index
    next.plans = {"p"};
    next.settings.plans.resize(1);
    now = settings::renumber(now, next);
  };
  EXPECT_THROW(for (int n = 0; n < 2000; ++n) turn(n), settings::TooManyNamesError);
  EXPECT_EQ(now.classes.size(), 1024u);
}

}  // namespace
}  // namespace cometfold::net::testing
