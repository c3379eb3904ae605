// The external processor: one decision for each request, ends that reach the module, and proxies that go
// away, ask again, lie or break the protocol.
#include <cmath>
#include <random>
#include <set>

#include "extproc/host_load.h"
#include "extproc/outcomes.h"
#include "extproc_support.h"

namespace cometfold::extproc::testing {
namespace {

ProcessorSettings marked() {
  ProcessorSettings s;
  s.proxy_retries = ProxyRetries::kMarked;
  return s;
}
const HeaderList kSecond{{"x-envoy-attempt-count", "2"}};

// ---- decisions ----

TEST(Processor, ARequestGetsAHostInAllWaysThatAreChosen) {
  Bench b;
  auto& c = b.ask({{"x-cometfold-deadline-ms", "5000"}});
  const auto d = c.call.decision();
  EXPECT_TRUE(d.endpoint == Bench::endpoint(1) || d.endpoint == Bench::endpoint(2));
  EXPECT_EQ(d.set.at("x-gateway-destination-endpoint"), d.endpoint);
  EXPECT_EQ(d.set.at("x-envoy-original-dst-host"), d.endpoint);
  EXPECT_EQ(d.metadata, d.endpoint);
  EXPECT_EQ(d.set.at("x-envoy-max-retries"), "0");
  EXPECT_EQ(d.set.at("x-envoy-upstream-rq-timeout-ms"), "4970");  // less both margins
  EXPECT_EQ(d.removed.size(), 4u);
  b.report(c, 200, "via_upstream");
  EXPECT_EQ(c.call.got.size(), 2u);
  pb::ProcessingResponse go_on;
  ASSERT_TRUE(go_on.ParseFromString(c.call.got[1]));
  EXPECT_TRUE(go_on.has_response_headers());
  c.events->on_half_closed(b.now);
  EXPECT_EQ(c.call.status.value().code, Code::kOk);
  EXPECT_EQ(
      to_text(b.totals()),
      "asked=1 again=0 named=1 refused=0 failed=0 rejected=0 left=0 ended=1 unknown=0 silent=0 elsewhere=0 "
      "withdrawn=0 out_of_order=0 unreadable=0 observed=0");
  b.expect_empty();
}

TEST(Processor, AWayThatIsNotChosenIsRemovedFromWhatTheClientSent) {
  ProcessorSettings s;
  s.destination = {false, true, false};
  Bench b(s);
  const auto d = b.ask().call.decision();
  EXPECT_FALSE(d.set.contains("x-gateway-destination-endpoint"));
  EXPECT_NE(std::find(d.removed.begin(), d.removed.end(), "x-gateway-destination-endpoint"), d.removed.end());
  EXPECT_NE(std::find(d.removed.begin(), d.removed.end(), "x-envoy-original-dst-host"), d.removed.end());
  EXPECT_FALSE(d.metadata.empty());
}

TEST(Processor, ARefusalSaysWhenToComeBack) {
  Bench b;
  std::vector<Decision> all;
  for (int i = 0; i < 40; ++i) all.push_back(b.ask({{"x-cometfold-plan", "tiny"}}).call.decision());
  int refused = 0;
  for (const auto& d : all) {
    if (!d.endpoint.empty()) continue;
    ++refused;
    EXPECT_EQ(d.status, 429);
    EXPECT_FALSE(d.grpc_status);
    EXPECT_EQ(d.details, "cometfold_refused");
    const int ms = std::stoi(d.set.at("retry-after-ms"));
    EXPECT_EQ(std::stoi(d.set.at("retry-after")), std::ceil(ms / 1000.0));
    EXPECT_GT(ms, 0);
  }
  EXPECT_GT(refused, 30);
  EXPECT_EQ(b.totals().rejected, static_cast<std::uint64_t>(refused));
  EXPECT_EQ(b.totals().routed + b.totals().rejected, 40u);
  const auto grpc =
      b.ask({{"x-cometfold-plan", "tiny"}, {"content-type", "application/grpc"}}).call.decision();
  EXPECT_EQ(grpc.grpc_status, 8);
  EXPECT_TRUE(grpc.set.contains("grpc-retry-pushback-ms"));
  b.expect_empty();
}

TEST(Processor, WithoutHostsItRefusesAndWithoutTimeItSaysSo) {
  Bench b({}, 0);
  EXPECT_EQ(b.ask().call.decision().status, 429);  // nothing has run, so a refusal is lawful
  b.ready(1);
  const auto late = b.ask({{"x-cometfold-deadline-ms", "15"}}).call.decision();
  EXPECT_TRUE(late.endpoint.empty());  // less than the way here and back
  b.expect_empty();
}

TEST(Processor, MoreThanTheEngineTakesIsRefused) {
  Bench b({}, 2, {.max_open_requests = 3});
  for (int i = 0; i < 3; ++i) EXPECT_FALSE(b.ask().call.decision().endpoint.empty());
  const auto d = b.ask().call.decision();
  EXPECT_EQ(d.status, 429);
  EXPECT_EQ(d.details, "cometfold_no_room");
  b.expect_empty();
}

TEST(Processor, WhatCannotBeMappedGetsOneClearComplaint) {
  Bench b;
  const auto said = [&](const HeaderList& more) {
    const auto d = b.ask(more).call.decision();
    EXPECT_EQ(d.status, 400);
    return d.body;
  };
  EXPECT_EQ(
      said({{"x-cometfold-class", ""}}),
      "no class is named: by the header x-cometfold-class, by a rule for 'GET' '/x' or by default_class\n");
  EXPECT_EQ(said({{"x-cometfold-class", "nope"}}), "no class 'nope'; there are lookup, hold, zoned, pay\n");
  EXPECT_EQ(said({{"x-cometfold-plan", "gold\n"}}), "no plan 'gold?'; there are team, tiny\n");
  EXPECT_EQ(said({{"x-cometfold-units", "5"}}), "units are more than 4.000000\n");
  EXPECT_EQ(said({{"x-cometfold-units", "-1"}}), "x-cometfold-units must be a number above 0, not '-1'\n");
  EXPECT_EQ(said({{"x-cometfold-gateways", "3"}}),
            "x-cometfold-gateways must be a number from 1 to 2.000000\n");
  EXPECT_EQ(said({{"x-cometfold-deadline-ms", "soon"}}),
            "x-cometfold-deadline-ms must be a number of milliseconds, not 'soon'\n");
  EXPECT_EQ(said({{"grpc-timeout", "5"}}), "grpc-timeout is none: '5'\n");
  EXPECT_EQ(said({{"x-envoy-attempt-count", "0"}}),
            "x-envoy-attempt-count must be a whole number from 1 to 1000, not '0'\n");
  EXPECT_EQ(b.totals().bad_requests, 9u);
  EXPECT_EQ(b.totals().new_requests, 0u);
  b.expect_empty();
}

TEST(Mapping, RulesAndDefaultsGiveWhatNoHeaderSays) {
  HeaderMapping m;
  m.class_header.clear();
  m.default_plan = "team";
  m.default_customer = "everybody";
  m.rules = {{"GET", "/shop/*", "lookup", "", 0.5, ""}, {"", "/pay", "pay", "tiny", {}, ""}};
  const RequestMapper mapper(m, names(), 1);
  const auto map = [&](std::vector<HeaderView> h) { return mapper.map(h); };
  auto got = map({{":method", "GET"}, {":path", "/shop/1?x=/pay"}});
  EXPECT_EQ(got.error, "");
  EXPECT_EQ(got.request.class_index, 0u);
  EXPECT_EQ(got.request.units, 0.5);
  EXPECT_EQ(got.request.gateway_count, 2);
  EXPECT_EQ(got.timeout_ms, 30'000);
  got = map({{":method", "POST"}, {":path", "/pay?a=b"}, {"x-cometfold-units", "3"}});
  EXPECT_EQ(got.request.class_index, 3u);
  EXPECT_EQ(got.request.plan_index, 1u);
  EXPECT_EQ(got.request.units, 3);
  EXPECT_NE(map({{":method", "POST"}, {":path", "/shop/1"}}).error, "");
  EXPECT_NE(map({{":method", "GET"}, {":path", "/payments"}}).error, "");
  got = map({{":method", "GET"},
             {":path", "/shop/"},
             {"x-envoy-expected-rq-timeout-ms", "7"},
             {"grpc-timeout", "2S"}});
  EXPECT_EQ(got.timeout_ms, 2000) << "the first of the list, whatever comes first";
  EXPECT_EQ(
      map({{":method", "GET"}, {":path", "/shop/"}, {"x-envoy-expected-rq-timeout-ms", "0"}}).timeout_ms,
      30'000);
}

TEST(Mapping, CustomersAreNumbersOrNames) {
  EXPECT_EQ(customer_id_of("000000000000000a", 9), 10u);
  EXPECT_NE(customer_id_of("shop", 9), customer_id_of("shoq", 9));
  EXPECT_NE(customer_id_of("shop", 9), customer_id_of("shop", 8));
  EXPECT_GE(customer_id_of("ffffffffffffffff", 9), CustomerId{1} << 33);
}

TEST(Settings, NamesThatTheConfigurationDoesNotHaveAreNamedWithTheirPlace) {
  const auto said = [](const ProcessorSettings& s) {
    try {
      validate(s, names());
    } catch (const ProcessorSettingsError& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  ProcessorSettings s;
  EXPECT_EQ(said(s), "");
  s.mapping.rules = {{"", "", "nope", "", {}, "f:7"}};
  EXPECT_EQ(said(s), "f:7: no class 'nope'; there are lookup, hold, zoned, pay");
  s.mapping.rules = {{"", "", "", "", 9.0, "f:8"}};
  EXPECT_EQ(said(s), "f:8: units must be at most 4.000000");
  s.mapping.rules.clear();
  s.mapping.default_plan = "gold";
  s.mapping.source = "f:3";
  EXPECT_EQ(said(s), "f:3: no plan 'gold'; there are team, tiny");
}

TEST(Messages, UnknownFieldsAreSkippedAndTheLastOfAOneofHolds) {
  pb::ProcessingRequest m;
  ASSERT_TRUE(m.ParseFromString(request_headers({{"a", "1"}, {"b", ""}})));
  const std::string known = m.SerializeAsString();
  // Field 8 (metadata_context) with bytes, field 100 with a varint, 101 with eight bytes, 102 with four.
  const std::string unknown = std::string("\x42\x03zzz", 5) + std::string("\xa0\x06\x07", 3) +
                              std::string("\xa9\x06") + std::string(8, 'x') + std::string("\xb5\x06") +
                              "1234";
  ProcessingRequest read;
  const std::string between = unknown + known + unknown;  // the views go no further than the bytes
  ASSERT_TRUE(parse_processing_request(between, read));
  EXPECT_EQ(read.part, ProcessingRequest::kRequestHeaders);
  ASSERT_EQ(read.headers.size(), 2u);
  EXPECT_EQ(read.headers[0].name, "a");
  EXPECT_EQ(read.headers[0].value, "1");
  EXPECT_EQ(read.headers[1].value, "");
  EXPECT_TRUE(read.end_of_stream);
  m.Clear();
  m.mutable_response_body()->set_body("xyz");
  const std::string two = known + m.SerializeAsString();
  ASSERT_TRUE(parse_processing_request(two, read));
  EXPECT_EQ(read.part, ProcessingRequest::kResponseBody);
  EXPECT_EQ(read.body, "xyz");
  EXPECT_FALSE(read.end_of_stream);
  // A value as text, as older proxies send it, and a field of another type than it should have.
  m.Clear();
  auto* h = m.mutable_request_headers()->mutable_headers()->add_headers();
  h->set_key("k");
  h->set_value("text");
  const std::string old = m.SerializeAsString();
  ASSERT_TRUE(parse_processing_request(old, read));
  EXPECT_EQ(read.headers.at(0).value, "text");
  const std::string number("\x10\x05", 2);
  ASSERT_TRUE(parse_processing_request(number, read));  // field 2 as a number
  EXPECT_EQ(read.headers.size(), 0u);
}

TEST(Messages, WhatIsCutAnywhereIsNoMessageOrAShorterOne) {
  const std::string whole = response_headers({{":status", "200"}, {"x", std::string(300, 'v')}},
                                             {{"response.code_details", "via_upstream"}});
  ProcessingRequest read;
  ASSERT_TRUE(parse_processing_request(whole, read));
  EXPECT_EQ(read.code_details, "via_upstream");
  std::size_t good = 0;
  for (std::size_t n = 0; n < whole.size(); ++n) {
    const std::string cut = whole.substr(0, n);  // of its own, so that a read past its end shows
    good += parse_processing_request(cut, read);
  }
  EXPECT_LE(good, 3u);  // between two fields at most
}

// ---- ends ----

TEST(Outcomes, ReportsAreReadAsTheTableHasThem) {
  const std::vector<int> not_run{425, 429};
  const auto of = [&](int status, const char* details = "", const char* grpc = "", bool overloaded = false) {
    return outcome_of({status, details, grpc, overloaded, *grpc != 0}, not_run);
  };
  EXPECT_EQ(of(200), Outcome::kOk);
  EXPECT_EQ(of(404, "via_upstream"), Outcome::kOk);
  EXPECT_EQ(of(500), Outcome::kError);
  EXPECT_EQ(of(503, "via_upstream"), Outcome::kError);
  EXPECT_EQ(of(504), Outcome::kTimedOut);
  EXPECT_EQ(of(429), Outcome::kOverloaded);
  EXPECT_EQ(of(0), Outcome::kError);
  EXPECT_EQ(of(503, "upstream_reset_before_response_started{connection_failure,delayed_connect_error:_111}"),
            Outcome::kConnectFailed);
  EXPECT_EQ(of(503, "upstream_reset_before_response_started{connection_termination}"),
            Outcome::kConnectionLost);
  EXPECT_EQ(of(503, "upstream_reset_before_response_started{overflow}"), Outcome::kNotSent);
  EXPECT_EQ(of(504, "upstream_response_timeout"), Outcome::kTimedOut);
  EXPECT_EQ(of(503, "no_healthy_upstream"), Outcome::kNotSent);
  EXPECT_EQ(of(0, "downstream_remote_disconnect"), Outcome::kCancelled);
  EXPECT_EQ(of(503, "", "", true), Outcome::kNotSent);
  EXPECT_EQ(of(200, "", "14"), Outcome::kError);
  EXPECT_EQ(of(200, "", "4"), Outcome::kTimedOut);
  EXPECT_EQ(of(200, "", "5"), Outcome::kOk);
  EXPECT_EQ(of(200, "", "junk"), Outcome::kError);
}

TEST(Load, OrcaInItsThreeFormsAndThePlainHeader) {
  const LoadReportMapping m;
  const auto text =
      parse_orca_report(m, "TEXT cpu_utilization=0.5, named_metrics.queue=3,named_metrics.in_flight=4");
  EXPECT_EQ(text.queue_length, 3);
  EXPECT_EQ(text.in_flight, 4);
  EXPECT_EQ(text.utilization, 0.5);
  const auto json = parse_orca_report(
      m, R"(JSON {"cpu_utilization":0.5,"application_utilization":0.25,"named_metrics":{"queue":7}})");
  EXPECT_EQ(json.queue_length, 7);
  EXPECT_EQ(json.utilization, 0.25);
  EXPECT_FALSE(json.in_flight);
  // cpu_utilization 0.5 and named_metrics {"queue": 2}, encoded by hand.
  const auto binary = parse_orca_report(m, "BIN CQAAAAAAAOA/QhAKBXF1ZXVlEQAAAAAAAABA");
  EXPECT_EQ(binary.queue_length, 2);
  EXPECT_EQ(binary.utilization, 0.5);
  EXPECT_EQ(parse_orca_binary_report(m, "CQAAAAAAAOA/").utilization, 0.5);
  const auto plain = parse_plain_report("queue=1, in_flight=2 ,busy=0.1");
  EXPECT_EQ(plain.queue_length, 1);
  EXPECT_EQ(plain.in_flight, 2);
  EXPECT_EQ(plain.utilization, 0.1);
  for (const char* bad :
       {"", "TEXT", "JSON {", "JSON []", "BIN !!", "BIN AAAA", "XML <a/>", "TEXT named_metrics.queue=-1",
        "TEXT named_metrics.queue=1e9", "JSON {\"named_metrics\":3}"}) {
    const auto none = parse_orca_report(m, bad);
    EXPECT_FALSE(none.queue_length || none.in_flight) << bad;
  }
}

TEST(Processor, TheReportedLoadMovesTheChoice) {
  Bench b;
  std::map<std::string, int> to;
  for (int i = 0; i < 60; ++i) {
    auto& c = b.ask();
    const auto endpoint = c.call.decision().endpoint;
    if (i >= 20) ++to[endpoint];
    b.report(c, 200, "via_upstream",
             {{"endpoint-load-metrics", endpoint == Bench::endpoint(1) ? "TEXT named_metrics.queue=50"
                                                                       : "TEXT named_metrics.queue=0"}});
    b.pass(5);
  }
  EXPECT_GT(to[Bench::endpoint(2)], 30);
  b.expect_empty();
}

TEST(Processor, ACallThatReportsAnotherHostCreditsNeither) {
  Bench b;
  auto& c = b.ask({}, "hold", "id-1");
  b.report(c, 200, "", {{"x-gateway-destination-endpoint-served", "127.0.0.1:1"}});
  EXPECT_EQ(b.totals().sent_to_other_host, 1u);
  EXPECT_EQ(b.engine.open_count(), 0u);
  // It has run somewhere: nothing that its class does not cover may be sent again.
  EXPECT_EQ(b.ask(kSecond, "hold", "id-1").call.decision().details, "cometfold_already_done");
  auto& same = b.ask();
  b.report(same, 200, "", {{"x-gateway-destination-endpoint-served", same.call.decision().endpoint}});
  EXPECT_EQ(b.totals().sent_to_other_host, 1u);
  b.expect_empty();
}

TEST(Processor, BodiesAndTrailersAreAnsweredInKindInEveryMode) {
  for (const bool duplex : {false, true}) {
    Bench b;
    auto& c = b.open();
    pb::ProcessingRequest first;
    ASSERT_TRUE(first.ParseFromString(request_headers(Bench::headers({}, "pay", ""), false)));
    if (duplex) {
      first.mutable_protocol_config()->set_request_body_mode(pb::ProcessingMode::FULL_DUPLEX_STREAMED);
      first.mutable_protocol_config()->set_response_body_mode(pb::ProcessingMode::FULL_DUPLEX_STREAMED);
    }
    c.events->on_message(b.now, first.SerializeAsString());
    pb::ProcessingResponse r;
    ASSERT_TRUE(r.ParseFromString(c.call.got.at(0)));
    EXPECT_EQ(r.has_mode_override(), !duplex);
    if (!duplex) {
      EXPECT_EQ(r.mode_override().response_header_mode(), pb::ProcessingMode::SEND);
      EXPECT_EQ(r.mode_override().request_body_mode(), pb::ProcessingMode::NONE);
      EXPECT_EQ(r.mode_override().response_trailer_mode(), pb::ProcessingMode::SKIP);
    }
    const auto send = [&](auto&& set) {
      pb::ProcessingRequest m;
      set(m);
      c.events->on_message(b.now, m.SerializeAsString());
      pb::ProcessingResponse answer;
      EXPECT_TRUE(answer.ParseFromString(c.call.got.back()));
      return answer;
    };
    r = send([](auto& m) { m.mutable_request_body()->set_body("abc"); });
    ASSERT_TRUE(r.has_request_body());
    const auto& mutation = r.request_body().response().body_mutation();
    EXPECT_EQ(mutation.has_streamed_response(), duplex);
    if (duplex) {
      EXPECT_EQ(mutation.streamed_response().body(), "abc");
    }
    EXPECT_TRUE(send([](auto& m) { m.mutable_request_trailers(); }).has_request_trailers());
    b.report(c, 200);
    r = send([](auto& m) { m.mutable_response_body()->set_body("xyz"); });
    EXPECT_TRUE(r.has_response_body());
    if (duplex) {
      EXPECT_EQ(r.response_body().response().body_mutation().streamed_response().body(), "xyz");
    }
    EXPECT_TRUE(send([](auto& m) { m.mutable_response_trailers(); }).has_response_trailers());
    EXPECT_FALSE(c.call.status);
    EXPECT_EQ(c.call.got.size(), 6u);
    b.expect_empty();
  }
}

TEST(Processor, AnObserverIsNeitherAnsweredNorCounted) {
  Bench b;
  auto& c = b.open();
  pb::ProcessingRequest m;
  ASSERT_TRUE(m.ParseFromString(request_headers(Bench::headers({}, "pay", ""))));
  m.set_observability_mode(true);
  c.events->on_message(b.now, m.SerializeAsString());
  b.report(c, 200);
  EXPECT_TRUE(c.call.got.empty());
  EXPECT_EQ(b.totals().observed, 1u);
  EXPECT_EQ(b.totals().new_requests, 0u);
  b.expect_empty();
}

// ---- proxies that go away ----

TEST(Gone, AtEveryPointNothingIsLeft) {
  for (int point = 0; point < 6; ++point) {
    for (const bool held : {false, true}) {
      Bench b(marked());
      auto& c = b.open(held);
      if (point > 0) c.events->on_message(b.now, request_headers(Bench::headers({}, "lookup", "id")));
      if (point == 2) b.pass(100);
      if (point == 3) b.report(c, 200);
      if (point == 4) b.report(c, 503);
      if (point == 5) b.pass(40'000);
      b.gone(c);
      b.pass(300);
      EXPECT_EQ(b.engine.open_count(), 0u) << point << held;
      EXPECT_EQ(b.processor.open(), 0u) << point << held;
      EXPECT_EQ(b.totals().new_requests, point > 0 ? 1u : 0u);
      b.expect_empty();
    }
  }
}

TEST(Gone, AHalfCloseEndsTheCallAndWhatItAskedFor) {
  for (int point = 0; point < 4; ++point) {
    Bench b(marked());
    auto& c = b.open(true);
    if (point > 0) c.events->on_message(b.now, request_headers(Bench::headers({}, "pay", "id")));
    if (point > 1) c.call.flush();
    if (point > 2) b.report(c, 200);
    c.events->on_half_closed(b.now);
    ASSERT_TRUE(c.call.status) << point;
    EXPECT_EQ(c.call.status->code, Code::kOk);
    EXPECT_EQ(b.engine.open_count(), 0u) << point;
    EXPECT_EQ(b.totals().unreported, point == 2 ? 1u : 0u);
    // A decision that never left costs nothing and may be asked for again.
    const auto again = b.ask(kSecond, "pay", "id").call.decision();
    EXPECT_EQ(again.endpoint.empty(), point == 0 || point > 1) << point;
    b.expect_empty();
  }
}

TEST(Gone, UnitsAreTakenExactlyWhenTheRequestMayHaveGoneOn) {
  const auto room = [](bool held) {
    Bench b;
    b.pass(20'000);  // its slice of the ceiling starts empty
    for (int i = 0; i < 50; ++i) b.gone(b.ask({{"x-cometfold-plan", "tiny"}}, "lookup", "", held));
    int served = 0;
    for (int i = 0; i < 10; ++i)
      served += !b.ask({{"x-cometfold-plan", "tiny"}}).call.decision().endpoint.empty();
    return served;
  };
  EXPECT_EQ(room(false), 0) << "the decisions had left: what they took is gone";
  EXPECT_GE(room(true), 1) << "none of them left: the room is there again";
}

TEST(Gone, AnAttemptWhoseProxyIsSilentEndsWithItsTimeAndBlamesNobody) {
  Bench b;
  for (int i = 0; i < 30; ++i) {
    b.ask({{"x-cometfold-deadline-ms", "200"}});
    b.pass(100);
  }
  b.pass(1000);
  EXPECT_EQ(b.engine.open_count(), 0u);
  EXPECT_GT(b.totals().report_timeouts, 20u);
  EXPECT_EQ(b.totals().report_timeouts, b.totals().routed);
  std::map<std::string, int> to;
  for (int i = 0; i < 30; ++i) {
    auto& c = b.ask();
    ++to[c.call.decision().endpoint];
    b.pass(5);
    b.report(c, 200);
  }
  EXPECT_EQ(to.size(), 2u) << "a host was shut out for what its proxy did not tell";
  b.expect_empty();
}

TEST(Gone, ALateReportChangesNothing) {
  Bench b;
  auto& c = b.ask({{"x-cometfold-deadline-ms", "200"}});
  b.pass(1000);
  b.report(c, 200);
  EXPECT_EQ(c.call.got.size(), 2u);
  EXPECT_EQ(b.totals().reported, 0u);
  b.expect_empty();
}

// ---- hosts that go ----

TEST(Drain, ADecisionThatHasNotLeftIsMadeAnew) {
  Bench b;
  auto& c = b.ask({}, "pay", "", true);
  const auto first = decision_in(c.call.out.at(0)).endpoint;
  const HostId host = first == Bench::endpoint(1) ? 1 : 2;
  b.drain(host);
  c.call.flush();
  EXPECT_EQ(c.call.got.size(), 1u);
  EXPECT_EQ(c.call.decision().endpoint, Bench::endpoint(3 - host));
  EXPECT_EQ(b.totals().withdrawn, 1u);
  EXPECT_EQ(b.totals().routed, 1u);
  b.report(c, 200);
  EXPECT_EQ(b.totals().reported, 1u);
  b.expect_empty();
}

TEST(Drain, WithoutAnotherHostItIsRefusedAndNothingElseIsSent) {
  Bench b({}, 1);
  auto& c = b.ask({}, "pay", "", true);
  b.drain(1);
  c.call.flush();
  EXPECT_EQ(c.call.got.size(), 1u);
  EXPECT_EQ(c.call.decision().status, 429);
  EXPECT_EQ(b.totals().routed, 0u);
  b.expect_empty();
}

TEST(Drain, ADecisionThatHasLeftStandsAndNothingNewGoesThere) {
  Bench b;
  auto& c = b.ask({}, "pay");
  const HostId host = c.call.decision().endpoint == Bench::endpoint(1) ? 1 : 2;
  b.drain(host);
  for (int i = 0; i < 20; ++i) {
    auto& other = b.ask();
    EXPECT_EQ(other.call.decision().endpoint, Bench::endpoint(3 - host));
    b.report(other, 200);
  }
  b.report(c, 200);
  EXPECT_EQ(b.totals().reported, 21u);
  b.expect_empty();
}

TEST(Drain, AnOfferThatNobodyFetchedGoesElsewhere) {
  Bench b(marked(), 3);
  auto& c = b.ask({}, "lookup", "id");
  const auto first = c.call.decision().endpoint;
  b.report(c, 503);
  for (HostId h = 1; h <= 3; ++h) {
    if (Bench::endpoint(h) != first && b.engine.open_count() > 0) {
      b.drain(h);
      break;
    }
  }
  const auto again = b.ask(kSecond, "lookup", "id").call.decision();
  EXPECT_FALSE(again.endpoint.empty());
  EXPECT_NE(again.endpoint, first);
  b.expect_empty();
}

// ---- calls that come again ----

TEST(Again, ASafeRequestGetsTheModulesNextHost) {
  Bench b(marked());
  auto& c = b.ask({}, "lookup", "id");
  EXPECT_FALSE(c.call.decision().set.contains("x-envoy-max-retries"));
  b.report(c, 500);
  auto& again = b.ask(kSecond, "lookup", "id");
  EXPECT_FALSE(again.call.decision().endpoint.empty());
  EXPECT_NE(again.call.decision().endpoint, c.call.decision().endpoint);
  b.report(again, 200);
  EXPECT_EQ(b.totals().new_requests, 1u);
  EXPECT_EQ(b.totals().retried_requests, 1u);
  EXPECT_EQ(b.totals().routed, 2u);
  b.expect_empty();
}

TEST(Again, AnUnsafeRequestIsNeverGivenASecondHost) {
  for (const auto repeats : {ProxyRetries::kNever, ProxyRetries::kMarked}) {
    for (int how = 0; how < 5; ++how) {
      ProcessorSettings s;
      s.proxy_retries = repeats;
      Bench b(s);
      auto& c = b.ask({}, "pay", "id");
      EXPECT_EQ(c.call.decision().set.at("x-envoy-max-retries"), "0");
      if (how == 1) b.report(c, 500);
      if (how == 2) b.gone(c);
      if (how == 3) b.report(c, 200);
      if (how == 4) b.pass(40'000);
      const auto d = b.ask(kSecond, "pay", "id").call.decision();
      EXPECT_TRUE(d.endpoint.empty()) << how;
      EXPECT_EQ(d.status == 503 || d.status == 504, true) << d.status;
      EXPECT_EQ(b.totals().routed, 1u);
      b.expect_empty();
    }
  }
}

TEST(Again, ACallBesideAnOpenOneTakesItsPlace) {
  Bench b(marked());
  auto& c = b.ask({}, "lookup", "id");
  auto& again = b.ask(kSecond, "lookup", "id");
  EXPECT_FALSE(again.call.decision().endpoint.empty());
  b.report(c, 200);  // of an attempt that the proxy had given up
  EXPECT_EQ(b.totals().reported, 0u);
  b.report(again, 200);
  EXPECT_EQ(b.totals().reported, 1u);
  b.expect_empty();
}

TEST(Again, ADecisionThatNeverLeftIsGivenAgainToAnyClass) {
  Bench b(marked());
  auto& c = b.ask({}, "pay", "id", true);
  const auto first = decision_in(c.call.out.at(0)).endpoint;
  auto& again = b.ask(kSecond, "pay", "id");
  EXPECT_EQ(again.call.decision().endpoint, first);
  EXPECT_TRUE(c.call.out.empty());
  EXPECT_EQ(c.call.status.value().code, Code::kAborted);
  EXPECT_EQ(b.totals().routed, 1u);
  auto& gone = b.ask({}, "pay", "id2", true);
  b.gone(gone);
  EXPECT_FALSE(b.ask(kSecond, "pay", "id2").call.decision().endpoint.empty());
  b.expect_empty();
}

TEST(Again, AKeyedRequestStaysInItsGroupAndNeedsItsKey) {
  Bench b(marked(), 0);
  b.ready(1, 0);
  b.ready(2, 1);
  b.ready(3, 0);
  for (int i = 0; i < 10; ++i) {
    const auto id = "z" + std::to_string(i);
    auto& c = b.ask({}, "zoned", id);
    const auto first = c.call.decision().endpoint;
    b.report(c, 500);
    auto& again = b.ask(kSecond, "zoned", id);
    const auto second = again.call.decision().endpoint;
    if (!second.empty()) {
      EXPECT_EQ(first == Bench::endpoint(2), second == Bench::endpoint(2));
    }
    b.report(again, 200);
    b.pass(500);
  }
  auto& c = b.ask({{"idempotency-key", ""}}, "zoned", "no-key");
  b.report(c, 500);
  EXPECT_TRUE(b.ask(kSecond, "zoned", "no-key").call.decision().endpoint.empty());
  b.expect_empty();
}

TEST(Again, TheFirstDecisionIsFoundWhateverItWas) {
  Bench b(marked());
  std::string refused;
  for (int i = 0; i < 40 && refused.empty(); ++i) {
    const auto id = "r" + std::to_string(i);
    if (b.ask({{"x-cometfold-plan", "tiny"}}, "lookup", id).call.decision().status == 429) refused = id;
  }
  const auto before = b.totals().new_requests;
  EXPECT_EQ(b.ask(kSecond, "lookup", refused).call.decision().status, 429);
  EXPECT_EQ(b.totals().new_requests, before);
  auto& done = b.ask({}, "hold", "done");
  b.report(done, 200);
  EXPECT_EQ(b.ask(kSecond, "hold", "done").call.decision().details, "cometfold_already_done");
  b.expect_empty();
}

// An offer that waits for the proxy's next call was decided on earlier: what may not go out any more is not
// named.
TEST(Again, AnOfferIsHeldToTheRulesWhenItIsFetched) {
  auto terms = names().settings;
  terms.classes[1].idempotency_key_ttl_ms = 1000;  // of the class "hold"
  auto settings = marked();
  settings.retry_wait_ms = 10'000;
  for (const bool late : {true, false}) {
    Bench b(settings);
    b.engine.update_settings(terms);
    auto& c = b.ask({}, "hold", "id");
    const HostId first = c.call.decision().endpoint == Bench::endpoint(1) ? 1 : 2, second = 3 - first;
    b.report(c, 500);
    if (late) {
      b.pass(2000);  // the key is forgotten
    } else {
      b.tell({.id = second, .state = HostState::kReady, .started_at = b.now});
    }
    const auto again = b.ask(kSecond, "hold", "id").call.decision();
    const auto stopped = late ? AttemptVerdict::kKeyExpired : AttemptVerdict::kHostRestarted;
    EXPECT_EQ(b.engine.rule_metrics().first_bytes[static_cast<std::size_t>(stopped)], 1u);
    if (late) {
      EXPECT_TRUE(again.endpoint.empty());
    }
    b.expect_empty();
  }
}

TEST(Again, AnOfferThatNobodyFetchesIsDroppedInTime) {
  Bench b(marked());
  auto& c = b.ask({}, "lookup", "id");
  b.report(c, 500);
  EXPECT_EQ(b.engine.open_count(), 1u);
  b.pass(249);
  EXPECT_EQ(b.engine.open_count(), 1u);
  b.pass(2);
  EXPECT_EQ(b.engine.open_count(), 0u);
  b.expect_empty();
}

TEST(Again, TwoRequestsWithOneIdAreBothServedAndNeitherIsRepeated) {
  Bench b(marked());
  auto& one = b.ask({}, "lookup", "same");
  auto& two = b.ask({}, "lookup", "same");
  EXPECT_FALSE(one.call.decision().endpoint.empty());
  EXPECT_FALSE(two.call.decision().endpoint.empty());
  EXPECT_EQ(b.ask(kSecond, "lookup", "same").call.decision().details, "cometfold_id_not_unique");
  b.report(one, 500);
  EXPECT_EQ(b.ask(kSecond, "lookup", "same").call.decision().details, "cometfold_id_not_unique");
  b.report(two, 200);
  EXPECT_EQ(b.totals().new_requests, 2u);
  b.expect_empty();
}

// A proxy that lets its clients choose the id: a later request under it must not vouch for an earlier one.
TEST(Again, AnIdUsedAnewForAnotherRequestLetsNeitherBeRepeated) {
  for (int how = 0; how < 3; ++how) {
    Bench b(marked());
    auto& pay = b.ask({}, "pay", "same");
    if (how < 2) b.report(pay, 500);
    auto& other = b.ask({}, how == 1 ? "pay" : "lookup", "same", how == 1);
    if (how == 0) b.report(other, 200);
    if (how == 1) b.gone(other);  // its decision never left
    EXPECT_TRUE(b.ask(kSecond, "pay", "same").call.decision().endpoint.empty()) << how;
    b.expect_empty();
  }
}

TEST(Again, AfterARestartOnlyWhatItsClassCoversEverywhereIsSentAgain) {
  Bench b(marked());  // knows nothing of any earlier attempt
  EXPECT_FALSE(b.ask(kSecond, "lookup", "a").call.decision().endpoint.empty());
  EXPECT_FALSE(b.ask(kSecond, "hold", "b").call.decision().endpoint.empty());
  for (const char* cls : {"zoned", "pay"}) {
    const auto d = b.ask(kSecond, cls, std::string("c") + cls).call.decision();
    EXPECT_EQ(d.status, 503);
    EXPECT_EQ(d.details, "cometfold_first_attempt_not_known");
  }
  EXPECT_TRUE(b.ask({{"x-envoy-attempt-count", "2"}, {"idempotency-key", ""}}, "hold", "d")
                  .call.decision()
                  .endpoint.empty());
  EXPECT_TRUE(b.ask(kSecond, "pay", "").call.decision().endpoint.empty());
  b.expect_empty();
}

TEST(Again, WhatIsRememberedIsBounded) {
  ProcessorSettings s = marked();
  s.max_remembered_decisions = 50;
  Bench b(s);
  for (int i = 0; i < 500; ++i) {
    auto& c = b.ask({}, "pay", "id" + std::to_string(i));
    b.report(c, 200);
    EXPECT_LE(b.processor.remembered_count(), 50u);
  }
  EXPECT_EQ(b.ask(kSecond, "pay", "id499").call.decision().details, "cometfold_already_done");
  EXPECT_EQ(b.ask(kSecond, "pay", "id1").call.decision().details, "cometfold_first_attempt_not_known");
  b.expect_empty();
}

// ---- messages that do not belong there ----

TEST(Order, WhatTheProtocolForbidsEndsTheCall) {
  const std::string headers = request_headers(Bench::headers({}, "pay", ""), false);
  pb::ProcessingRequest m;
  m.mutable_request_body();
  const std::string body = m.SerializeAsString();
  m.mutable_response_body();
  const std::string response_body = m.SerializeAsString();
  m.mutable_request_trailers();
  const std::string trailers = m.SerializeAsString();
  m.mutable_response_trailers();
  const std::string response_trailers = m.SerializeAsString();
  const std::string response = response_headers({{":status", "200"}});
  const std::vector<std::vector<std::string>> forbidden{
      {headers, headers},
      {response},
      {body},
      {trailers},
      {response_body},
      {headers, response_body},
      {headers, response, response},
      {headers, trailers, body},
      {headers, response, response_trailers, response_body},
      {request_headers(Bench::headers({}, "pay", ""), true), body},
      {std::string()},
      {headers, "\xff\xff not a message"},
  };
  for (const auto& messages : forbidden) {
    Bench b;
    auto& c = b.open();
    for (const auto& bytes : messages) c.events->on_message(b.now, bytes);
    ASSERT_TRUE(c.call.status);
    EXPECT_EQ(c.call.status->code, Code::kInvalidArgument);
    EXPECT_EQ(b.engine.open_count(), 0u);
    EXPECT_EQ(b.processor.open(), 0u);
    const auto sent = c.call.got.size();
    c.events->on_message(b.now, response);  // what still comes is not answered
    EXPECT_EQ(c.call.got.size(), sent);
    b.expect_empty();
  }
}

TEST(Order, AReportForARefusedRequestIsNoEnd) {
  Bench b({}, 0);
  auto& c = b.ask();
  EXPECT_EQ(c.call.decision().status, 429);
  EXPECT_EQ(c.call.status.value().code, Code::kOk);
  b.report(c, 429);
  EXPECT_EQ(c.call.got.size(), 1u);
  EXPECT_EQ(b.totals().reported, 0u);
  b.expect_empty();
}

TEST(Stop, WhatWaitsIsAnsweredAndWhatIsOutMayEnd) {
  Bench b;
  auto& out = b.ask({}, "pay");
  b.engine.begin_shutdown(b.now);
  b.report(out, 200);
  EXPECT_EQ(b.totals().reported, 1u);
  auto& late = b.ask({}, "pay");
  EXPECT_FALSE(late.call.decision().endpoint.empty());
  b.engine.fail_all(b.now);
  EXPECT_EQ(b.engine.unanswered_count(), 0u);
  b.expect_empty();
}

// ---- all of it at once ----

// Proxies that do anything at any time, with fixed seeds. What must hold is counted here, apart from the
// program.
TEST(Chaos, OneDecisionForEachCallAndNoUnsafeRequestTwice) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    std::mt19937 random(seed);
    Bench b(seed % 2 ? marked() : ProcessorSettings{}, 4, {.max_open_requests = 60});
    struct Live {
      Bench::OpenCall* call;
      std::string id, cls;
      bool reported = false;
    };
    std::vector<Live> live;
    std::map<std::string, int> left;  // decisions of unsafe requests that have left, by id
    std::uint64_t calls = 0, decided = 0;
    const char* classes[] = {"lookup", "hold", "zoned", "pay"};
    const auto account = [&](Live& l) {
      l.call->call.flush();
      if (!l.call->call.got.empty()) {
        ++decided;
        if (l.cls == "pay" && !l.call->call.decision().endpoint.empty()) ++left[l.id];
      }
    };
    for (int step = 0; step < 4000; ++step) {
      const auto draw = random() % 100;
      if (draw < 25 || live.empty()) {
        const bool again = !live.empty() && random() % 4 == 0;
        const auto& old = live.empty() ? Live{} : live[random() % live.size()];
        const std::string id = again ? old.id : "id" + std::to_string(step);
        const std::string cls = again ? old.cls : classes[random() % 4];
        auto& c = b.ask(again ? kSecond : HeaderList{}, cls, id, random() % 2 == 0);
        live.push_back({&c, id, cls});
        ++calls;
      } else if (draw < 90) {
        auto& l = live[random() % live.size()];
        if (random() % 3 == 0) l.call->call.flush();
        const bool named = !l.call->call.got.empty() && !l.reported && !l.call->call.status;
        if (draw < 70 && named) {
          l.reported = true;
          const int statuses[] = {200, 200, 429, 500, 503, 504};
          b.report(*l.call, statuses[random() % 6],
                   random() % 8 == 0 ? "upstream_reset_before_response_started{connection_failure}" : "");
        } else if (draw > 80) {
          account(l);
          b.gone(*l.call);
          l = live.back();
          live.pop_back();
        }
      } else if (draw < 91) {
        const HostId host = 1 + random() % 4;
        random() % 2 ? b.drain(host) : b.ready(host);
      } else {
        b.pass(static_cast<Ms>(random() % 60));
      }
    }
    for (auto& l : live) account(l);
    for (const auto& [id, times] : left) EXPECT_LE(times, 1) << "seed " << seed << " " << id;
    const auto& t = b.totals();
    EXPECT_EQ(t.new_requests + t.retried_requests, calls);
    EXPECT_EQ(t.routed + t.rejected + t.failed + t.disconnected, calls) << to_text(t);
    EXPECT_LE(decided, t.routed + t.rejected + t.failed + t.disconnected);
    b.expect_empty();
    EXPECT_EQ(t.routed, t.reported + t.unreported + t.report_timeouts) << to_text(t);
  }
}

}  // namespace
}  // namespace cometfold::extproc::testing
