// Tests of the external processor: decisions, reports to the module, and proxies that disconnect, retry,
// report wrong data or violate the protocol.
#include <cmath>
#include <random>
#include <set>

#include "extproc/host_load.h"
#include "extproc/outcomes.h"
#include "extproc_support.h"

namespace cometfold::extproc::testing {
namespace {

ProcessorSettings settings_with_proxy_retries() {
  ProcessorSettings s;
  s.proxy_retries = ProxyRetries::kMarked;
  return s;
}
const HeaderList kSecondAttempt{{"x-envoy-attempt-count", "2"}};

// ---- decisions ----

TEST(Processor, ReturnsTheHostInAllEnabledDestinationFormats) {
  ProcessorHarness harness;
  auto& c = harness.send_request({{"x-cometfold-deadline-ms", "5000"}});
  const auto d = c.call.decision();
  EXPECT_TRUE(d.endpoint == ProcessorHarness::endpoint(1) || d.endpoint == ProcessorHarness::endpoint(2));
  EXPECT_EQ(d.set_headers.at("x-gateway-destination-endpoint"), d.endpoint);
  EXPECT_EQ(d.set_headers.at("x-envoy-original-dst-host"), d.endpoint);
  EXPECT_EQ(d.metadata, d.endpoint);
  EXPECT_EQ(d.set_headers.at("x-envoy-max-retries"), "0");
  EXPECT_EQ(d.set_headers.at("x-envoy-upstream-rq-timeout-ms"), "4970");  // minus both margins
  EXPECT_EQ(d.removed_headers.size(), 4u);
  harness.report(c, 200, "via_upstream");
  EXPECT_EQ(c.call.received.size(), 2u);
  pb::ProcessingResponse continue_message;
  ASSERT_TRUE(continue_message.ParseFromString(c.call.received[1]));
  EXPECT_TRUE(continue_message.has_response_headers());
  c.events->on_half_closed(harness.now);
  EXPECT_EQ(c.call.status.value().code, Code::kOk);
  EXPECT_EQ(
      to_text(harness.metrics()),
      "asked=1 again=0 named=1 refused=0 failed=0 rejected=0 left=0 ended=1 unknown=0 silent=0 elsewhere=0 "
      "withdrawn=0 out_of_order=0 unreadable=0 observed=0");
  harness.expect_empty();
}

TEST(Processor, RemovesClientHeadersOfDisabledDestinationFormats) {
  ProcessorSettings s;
  s.destination = {false, true, false};
  ProcessorHarness harness(s);
  const auto d = harness.send_request().call.decision();
  EXPECT_FALSE(d.set_headers.contains("x-gateway-destination-endpoint"));
  EXPECT_NE(std::find(d.removed_headers.begin(), d.removed_headers.end(), "x-gateway-destination-endpoint"),
            d.removed_headers.end());
  EXPECT_NE(std::find(d.removed_headers.begin(), d.removed_headers.end(), "x-envoy-original-dst-host"),
            d.removed_headers.end());
  EXPECT_FALSE(d.metadata.empty());
}

TEST(Processor, ARejectionCarriesRetryAfter) {
  ProcessorHarness harness;
  std::vector<ReceivedDecision> all;
  for (int i = 0; i < 40; ++i)
    all.push_back(harness.send_request({{"x-cometfold-plan", "tiny"}}).call.decision());
  int rejected_count = 0;
  for (const auto& d : all) {
    if (!d.endpoint.empty()) continue;
    ++rejected_count;
    EXPECT_EQ(d.status, 429);
    EXPECT_FALSE(d.grpc_status);
    EXPECT_EQ(d.details, "cometfold_refused");
    const int ms = std::stoi(d.set_headers.at("retry-after-ms"));
    EXPECT_EQ(std::stoi(d.set_headers.at("retry-after")), std::ceil(ms / 1000.0));
    EXPECT_GT(ms, 0);
  }
  EXPECT_GT(rejected_count, 30);
  EXPECT_EQ(harness.metrics().rejected, static_cast<std::uint64_t>(rejected_count));
  EXPECT_EQ(harness.metrics().routed + harness.metrics().rejected, 40u);
  const auto grpc = harness.send_request({{"x-cometfold-plan", "tiny"}, {"content-type", "application/grpc"}})
                        .call.decision();
  EXPECT_EQ(grpc.grpc_status, 8);
  EXPECT_TRUE(grpc.set_headers.contains("grpc-retry-pushback-ms"));
  harness.expect_empty();
}

TEST(Processor, RejectsRequestsWithoutHostsOrWithTooLittleTime) {
  ProcessorHarness harness({}, 0);
  EXPECT_EQ(harness.send_request().call.decision().status, 429);  // a rejection, as no attempt has run
  harness.add_ready_host(1);
  const auto late = harness.send_request({{"x-cometfold-deadline-ms", "15"}}).call.decision();
  EXPECT_TRUE(late.endpoint.empty());  // less than both margins
  harness.expect_empty();
}

TEST(Processor, RejectsRequestsAboveTheEnginesLimit) {
  ProcessorHarness harness({}, 2, {.max_open_requests = 3});
  for (int i = 0; i < 3; ++i) EXPECT_FALSE(harness.send_request().call.decision().endpoint.empty());
  const auto d = harness.send_request().call.decision();
  EXPECT_EQ(d.status, 429);
  EXPECT_EQ(d.details, "cometfold_no_room");
  harness.expect_empty();
}

TEST(Processor, AnswersUnmappableRequestsWithASpecificError) {
  ProcessorHarness harness;
  const auto error_of = [&](const HeaderList& more) {
    const auto d = harness.send_request(more).call.decision();
    EXPECT_EQ(d.status, 400);
    return d.body;
  };
  EXPECT_EQ(
      error_of({{"x-cometfold-class", ""}}),
      "no class is named: by the header x-cometfold-class, by a rule for 'GET' '/x' or by default_class\n");
  EXPECT_EQ(error_of({{"x-cometfold-class", "nope"}}),
            "no class 'nope'; there are lookup, hold, zoned, pay\n");
  EXPECT_EQ(error_of({{"x-cometfold-plan", "gold\n"}}), "no plan 'gold?'; there are team, tiny\n");
  EXPECT_EQ(error_of({{"x-cometfold-units", "5"}}), "units are more than 4.000000\n");
  EXPECT_EQ(error_of({{"x-cometfold-units", "-1"}}),
            "x-cometfold-units must be a number above 0, not '-1'\n");
  EXPECT_EQ(error_of({{"x-cometfold-gateways", "3"}}),
            "x-cometfold-gateways must be a number from 1 to 2.000000\n");
  EXPECT_EQ(error_of({{"x-cometfold-deadline-ms", "soon"}}),
            "x-cometfold-deadline-ms must be a number of milliseconds, not 'soon'\n");
  EXPECT_EQ(error_of({{"grpc-timeout", "5"}}), "grpc-timeout is none: '5'\n");
  EXPECT_EQ(error_of({{"x-envoy-attempt-count", "0"}}),
            "x-envoy-attempt-count must be a whole number from 1 to 1000, not '0'\n");
  EXPECT_EQ(harness.metrics().bad_requests, 9u);
  EXPECT_EQ(harness.metrics().new_requests, 0u);
  harness.expect_empty();
}

TEST(Mapping, RulesAndDefaultsSupplyMissingValues) {
  HeaderMapping m;
  m.class_header.clear();
  m.default_plan = "team";
  m.default_customer = "everybody";
  m.rules = {{"GET", "/shop/*", "lookup", "", 0.5, ""}, {"", "/pay", "pay", "tiny", {}, ""}};
  const RequestMapper mapper(m, named_settings(), 1);
  const auto map = [&](std::vector<HeaderView> h) { return mapper.map(h); };
  auto mapped = map({{":method", "GET"}, {":path", "/shop/1?x=/pay"}});
  EXPECT_EQ(mapped.error, "");
  EXPECT_EQ(mapped.request.class_index, 0u);
  EXPECT_EQ(mapped.request.units, 0.5);
  EXPECT_EQ(mapped.request.gateway_count, 2);
  EXPECT_EQ(mapped.timeout_ms, 30'000);
  mapped = map({{":method", "POST"}, {":path", "/pay?a=b"}, {"x-cometfold-units", "3"}});
  EXPECT_EQ(mapped.request.class_index, 3u);
  EXPECT_EQ(mapped.request.plan_index, 1u);
  EXPECT_EQ(mapped.request.units, 3);
  EXPECT_NE(map({{":method", "POST"}, {":path", "/shop/1"}}).error, "");
  EXPECT_NE(map({{":method", "GET"}, {":path", "/payments"}}).error, "");
  mapped = map({{":method", "GET"},
                {":path", "/shop/"},
                {"x-envoy-expected-rq-timeout-ms", "7"},
                {"grpc-timeout", "2S"}});
  EXPECT_EQ(mapped.timeout_ms, 2000) << "the first header of the list counts, not the first of the request";
  EXPECT_EQ(
      map({{":method", "GET"}, {":path", "/shop/"}, {"x-envoy-expected-rq-timeout-ms", "0"}}).timeout_ms,
      30'000);
}

TEST(Mapping, CustomerIdsAreParsedOrHashed) {
  EXPECT_EQ(customer_id_of("000000000000000a", 9), 10u);
  EXPECT_NE(customer_id_of("shop", 9), customer_id_of("shoq", 9));
  EXPECT_NE(customer_id_of("shop", 9), customer_id_of("shop", 8));
  EXPECT_GE(customer_id_of("ffffffffffffffff", 9), CustomerId{1} << 33);
}

TEST(Settings, InvalidNamesAndUnitsAreReportedWithTheirSource) {
  const auto error_of = [](const ProcessorSettings& s) {
    try {
      validate(s, named_settings());
    } catch (const ProcessorSettingsError& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  ProcessorSettings s;
  EXPECT_EQ(error_of(s), "");
  s.mapping.rules = {{"", "", "nope", "", {}, "f:7"}};
  EXPECT_EQ(error_of(s), "f:7: no class 'nope'; there are lookup, hold, zoned, pay");
  s.mapping.rules = {{"", "", "", "", 9.0, "f:8"}};
  EXPECT_EQ(error_of(s), "f:8: units must be at most 4.000000");
  s.mapping.rules.clear();
  s.mapping.default_plan = "gold";
  s.mapping.source = "f:3";
  EXPECT_EQ(error_of(s), "f:3: no plan 'gold'; there are team, tiny");
}

TEST(Messages, UnknownFieldsAreSkippedAndTheLastOneofMemberCounts) {
  pb::ProcessingRequest m;
  ASSERT_TRUE(m.ParseFromString(request_headers({{"a", "1"}, {"b", ""}})));
  const std::string known = m.SerializeAsString();
  // Field 8 (metadata_context) as bytes, field 100 as a varint, 101 as a fixed64, 102 as a fixed32.
  const std::string unknown = std::string("\x42\x03zzz", 5) + std::string("\xa0\x06\x07", 3) +
                              std::string("\xa9\x06") + std::string(8, 'x') + std::string("\xb5\x06") +
                              "1234";
  ProcessingRequest parsed;
  const std::string padded = unknown + known + unknown;  // must outlive the parsed views
  ASSERT_TRUE(parse_processing_request(padded, parsed));
  EXPECT_EQ(parsed.part, ProcessingRequest::kRequestHeaders);
  ASSERT_EQ(parsed.headers.size(), 2u);
  EXPECT_EQ(parsed.headers[0].name, "a");
  EXPECT_EQ(parsed.headers[0].value, "1");
  EXPECT_EQ(parsed.headers[1].value, "");
  EXPECT_TRUE(parsed.end_of_stream);
  m.Clear();
  m.mutable_response_body()->set_body("xyz");
  const std::string two_parts = known + m.SerializeAsString();
  ASSERT_TRUE(parse_processing_request(two_parts, parsed));
  EXPECT_EQ(parsed.part, ProcessingRequest::kResponseBody);
  EXPECT_EQ(parsed.body, "xyz");
  EXPECT_FALSE(parsed.end_of_stream);
  // The header value as a string, as older proxies send it, then a field of the wrong wire type.
  m.Clear();
  auto* h = m.mutable_request_headers()->mutable_headers()->add_headers();
  h->set_key("k");
  h->set_value("text");
  const std::string with_text_value = m.SerializeAsString();
  ASSERT_TRUE(parse_processing_request(with_text_value, parsed));
  EXPECT_EQ(parsed.headers.at(0).value, "text");
  const std::string wrong_type("\x10\x05", 2);
  ASSERT_TRUE(parse_processing_request(wrong_type, parsed));  // field 2 as a varint
  EXPECT_EQ(parsed.headers.size(), 0u);
}

TEST(Messages, TruncatedMessagesAreRejectedExceptBetweenFields) {
  const std::string whole = response_headers({{":status", "200"}, {"x", std::string(300, 'v')}},
                                             {{"response.code_details", "via_upstream"}});
  ProcessingRequest parsed;
  ASSERT_TRUE(parse_processing_request(whole, parsed));
  EXPECT_EQ(parsed.code_details, "via_upstream");
  std::size_t accepted = 0;
  for (std::size_t n = 0; n < whole.size(); ++n) {
    const std::string truncated = whole.substr(0, n);  // a copy: a sanitizer detects reads past its end
    accepted += parse_processing_request(truncated, parsed);
  }
  EXPECT_LE(accepted, 3u);  // only between two top-level fields
}

// ---- outcomes and reports ----

TEST(Outcomes, ReportsAreMappedByTheOutcomeTable) {
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

TEST(Load, ParsesThreeOrcaFormatsAndThePlainHeader) {
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

TEST(Processor, PrefersTheHostWithLowerReportedLoad) {
  ProcessorHarness harness;
  std::map<std::string, int> requests_by_endpoint;
  for (int i = 0; i < 60; ++i) {
    auto& c = harness.send_request();
    const auto endpoint = c.call.decision().endpoint;
    if (i >= 20) ++requests_by_endpoint[endpoint];
    harness.report(c, 200, "via_upstream",
                   {{"endpoint-load-metrics", endpoint == ProcessorHarness::endpoint(1)
                                                  ? "TEXT named_metrics.queue=50"
                                                  : "TEXT named_metrics.queue=0"}});
    harness.advance(5);
  }
  EXPECT_GT(requests_by_endpoint[ProcessorHarness::endpoint(2)], 30);
  harness.expect_empty();
}

TEST(Processor, AReportOnAnotherHostCountsForNeither) {
  ProcessorHarness harness;
  auto& c = harness.send_request({}, "hold", "id-1");
  harness.report(c, 200, "", {{"x-gateway-destination-endpoint-served", "127.0.0.1:1"}});
  EXPECT_EQ(harness.metrics().sent_to_other_host, 1u);
  EXPECT_EQ(harness.engine.open_count(), 0u);
  // The request has run on some host, so it may be sent again only if its class allows it.
  EXPECT_EQ(harness.send_request(kSecondAttempt, "hold", "id-1").call.decision().details,
            "cometfold_already_done");
  auto& same = harness.send_request();
  harness.report(same, 200, "", {{"x-gateway-destination-endpoint-served", same.call.decision().endpoint}});
  EXPECT_EQ(harness.metrics().sent_to_other_host, 1u);
  harness.expect_empty();
}

TEST(Processor, AnswersBodiesAndTrailersInEveryBodyMode) {
  for (const bool duplex : {false, true}) {
    ProcessorHarness harness;
    auto& c = harness.open_call();
    pb::ProcessingRequest first;
    ASSERT_TRUE(first.ParseFromString(request_headers(ProcessorHarness::headers({}, "pay", ""), false)));
    if (duplex) {
      first.mutable_protocol_config()->set_request_body_mode(pb::ProcessingMode::FULL_DUPLEX_STREAMED);
      first.mutable_protocol_config()->set_response_body_mode(pb::ProcessingMode::FULL_DUPLEX_STREAMED);
    }
    c.events->on_message(harness.now, first.SerializeAsString());
    pb::ProcessingResponse r;
    ASSERT_TRUE(r.ParseFromString(c.call.received.at(0)));
    EXPECT_EQ(r.has_mode_override(), !duplex);
    if (!duplex) {
      EXPECT_EQ(r.mode_override().response_header_mode(), pb::ProcessingMode::SEND);
      EXPECT_EQ(r.mode_override().request_body_mode(), pb::ProcessingMode::NONE);
      EXPECT_EQ(r.mode_override().response_trailer_mode(), pb::ProcessingMode::SKIP);
    }
    const auto send = [&](auto&& set) {
      pb::ProcessingRequest m;
      set(m);
      c.events->on_message(harness.now, m.SerializeAsString());
      pb::ProcessingResponse answer;
      EXPECT_TRUE(answer.ParseFromString(c.call.received.back()));
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
    harness.report(c, 200);
    r = send([](auto& m) { m.mutable_response_body()->set_body("xyz"); });
    EXPECT_TRUE(r.has_response_body());
    if (duplex) {
      EXPECT_EQ(r.response_body().response().body_mutation().streamed_response().body(), "xyz");
    }
    EXPECT_TRUE(send([](auto& m) { m.mutable_response_trailers(); }).has_response_trailers());
    EXPECT_FALSE(c.call.status);
    EXPECT_EQ(c.call.received.size(), 6u);
    harness.expect_empty();
  }
}

TEST(Processor, NeitherAnswersNorCountsCallsInObservabilityMode) {
  ProcessorHarness harness;
  auto& c = harness.open_call();
  pb::ProcessingRequest m;
  ASSERT_TRUE(m.ParseFromString(request_headers(ProcessorHarness::headers({}, "pay", ""))));
  m.set_observability_mode(true);
  c.events->on_message(harness.now, m.SerializeAsString());
  harness.report(c, 200);
  EXPECT_TRUE(c.call.received.empty());
  EXPECT_EQ(harness.metrics().observed, 1u);
  EXPECT_EQ(harness.metrics().new_requests, 0u);
  harness.expect_empty();
}

// ---- proxies that disconnect ----

TEST(Disconnect, LeavesNoStateAtAnyPoint) {
  for (int point = 0; point < 6; ++point) {
    for (const bool output_blocked : {false, true}) {
      ProcessorHarness harness(settings_with_proxy_retries());
      auto& c = harness.open_call(output_blocked);
      if (point > 0)
        c.events->on_message(harness.now, request_headers(ProcessorHarness::headers({}, "lookup", "id")));
      if (point == 2) harness.advance(100);
      if (point == 3) harness.report(c, 200);
      if (point == 4) harness.report(c, 503);
      if (point == 5) harness.advance(40'000);
      harness.disconnect(c);
      harness.advance(300);
      EXPECT_EQ(harness.engine.open_count(), 0u) << point << output_blocked;
      EXPECT_EQ(harness.processor.open(), 0u) << point << output_blocked;
      EXPECT_EQ(harness.metrics().new_requests, point > 0 ? 1u : 0u);
      harness.expect_empty();
    }
  }
}

TEST(Disconnect, AHalfCloseEndsTheCallAndItsRequest) {
  for (int point = 0; point < 4; ++point) {
    ProcessorHarness harness(settings_with_proxy_retries());
    auto& c = harness.open_call(true);
    if (point > 0)
      c.events->on_message(harness.now, request_headers(ProcessorHarness::headers({}, "pay", "id")));
    if (point > 1) c.call.flush();
    if (point > 2) harness.report(c, 200);
    c.events->on_half_closed(harness.now);
    ASSERT_TRUE(c.call.status) << point;
    EXPECT_EQ(c.call.status->code, Code::kOk);
    EXPECT_EQ(harness.engine.open_count(), 0u) << point;
    EXPECT_EQ(harness.metrics().unreported, point == 2 ? 1u : 0u);
    // A decision that was never sent charges no units, and a retry gets a new one.
    const auto retry = harness.send_request(kSecondAttempt, "pay", "id").call.decision();
    EXPECT_EQ(retry.endpoint.empty(), point == 0 || point > 1) << point;
    harness.expect_empty();
  }
}

TEST(Disconnect, UnitsAreChargedExactlyIfTheDecisionWasSent) {
  const auto served_after_disconnects = [](bool output_blocked) {
    ProcessorHarness harness;
    harness.advance(20'000);  // the gateway's slice of the ceiling starts empty
    for (int i = 0; i < 50; ++i)
      harness.disconnect(harness.send_request({{"x-cometfold-plan", "tiny"}}, "lookup", "", output_blocked));
    int served = 0;
    for (int i = 0; i < 10; ++i)
      served += !harness.send_request({{"x-cometfold-plan", "tiny"}}).call.decision().endpoint.empty();
    return served;
  };
  EXPECT_EQ(served_after_disconnects(false), 0) << "the decisions were sent, so their units are charged";
  EXPECT_GE(served_after_disconnects(true), 1) << "no decision was sent, so their units are available again";
}

TEST(Disconnect, AnUnreportedAttemptTimesOutWithoutBlamingItsHost) {
  ProcessorHarness harness;
  for (int i = 0; i < 30; ++i) {
    harness.send_request({{"x-cometfold-deadline-ms", "200"}});
    harness.advance(100);
  }
  harness.advance(1000);
  EXPECT_EQ(harness.engine.open_count(), 0u);
  EXPECT_GT(harness.metrics().report_timeouts, 20u);
  EXPECT_EQ(harness.metrics().report_timeouts, harness.metrics().routed);
  std::map<std::string, int> requests_by_endpoint;
  for (int i = 0; i < 30; ++i) {
    auto& c = harness.send_request();
    ++requests_by_endpoint[c.call.decision().endpoint];
    harness.advance(5);
    harness.report(c, 200);
  }
  EXPECT_EQ(requests_by_endpoint.size(), 2u) << "a host was blamed for missing reports of its proxy";
  harness.expect_empty();
}

TEST(Disconnect, ALateReportIsIgnored) {
  ProcessorHarness harness;
  auto& c = harness.send_request({{"x-cometfold-deadline-ms", "200"}});
  harness.advance(1000);
  harness.report(c, 200);
  EXPECT_EQ(c.call.received.size(), 2u);
  EXPECT_EQ(harness.metrics().reported, 0u);
  harness.expect_empty();
}

// ---- hosts that drain ----

TEST(Drain, AnUnsentDecisionIsReplaced) {
  ProcessorHarness harness;
  auto& c = harness.send_request({}, "pay", "", true);
  const auto first = parse_decision(c.call.unsent.at(0)).endpoint;
  const HostId host = first == ProcessorHarness::endpoint(1) ? 1 : 2;
  harness.drain_host(host);
  c.call.flush();
  EXPECT_EQ(c.call.received.size(), 1u);
  EXPECT_EQ(c.call.decision().endpoint, ProcessorHarness::endpoint(3 - host));
  EXPECT_EQ(harness.metrics().withdrawn, 1u);
  EXPECT_EQ(harness.metrics().routed, 1u);
  harness.report(c, 200);
  EXPECT_EQ(harness.metrics().reported, 1u);
  harness.expect_empty();
}

TEST(Drain, AnUnsentDecisionBecomesARejectionWithoutAnotherHost) {
  ProcessorHarness harness({}, 1);
  auto& c = harness.send_request({}, "pay", "", true);
  harness.drain_host(1);
  c.call.flush();
  EXPECT_EQ(c.call.received.size(), 1u);
  EXPECT_EQ(c.call.decision().status, 429);
  EXPECT_EQ(harness.metrics().routed, 0u);
  harness.expect_empty();
}

TEST(Drain, ASentDecisionStandsAndNewRequestsGoElsewhere) {
  ProcessorHarness harness;
  auto& c = harness.send_request({}, "pay");
  const HostId host = c.call.decision().endpoint == ProcessorHarness::endpoint(1) ? 1 : 2;
  harness.drain_host(host);
  for (int i = 0; i < 20; ++i) {
    auto& other = harness.send_request();
    EXPECT_EQ(other.call.decision().endpoint, ProcessorHarness::endpoint(3 - host));
    harness.report(other, 200);
  }
  harness.report(c, 200);
  EXPECT_EQ(harness.metrics().reported, 21u);
  harness.expect_empty();
}

TEST(Drain, AnUnfetchedAttemptMovesToAnotherHost) {
  ProcessorHarness harness(settings_with_proxy_retries(), 3);
  auto& c = harness.send_request({}, "lookup", "id");
  const auto first = c.call.decision().endpoint;
  harness.report(c, 503);
  for (HostId h = 1; h <= 3; ++h) {
    if (ProcessorHarness::endpoint(h) != first && harness.engine.open_count() > 0) {
      harness.drain_host(h);
      break;
    }
  }
  const auto retry = harness.send_request(kSecondAttempt, "lookup", "id").call.decision();
  EXPECT_FALSE(retry.endpoint.empty());
  EXPECT_NE(retry.endpoint, first);
  harness.expect_empty();
}

// ---- retries ----

TEST(Retry, AnIdempotentRequestGetsTheModulesNextHost) {
  ProcessorHarness harness(settings_with_proxy_retries());
  auto& c = harness.send_request({}, "lookup", "id");
  EXPECT_FALSE(c.call.decision().set_headers.contains("x-envoy-max-retries"));
  harness.report(c, 500);
  auto& retry = harness.send_request(kSecondAttempt, "lookup", "id");
  EXPECT_FALSE(retry.call.decision().endpoint.empty());
  EXPECT_NE(retry.call.decision().endpoint, c.call.decision().endpoint);
  harness.report(retry, 200);
  EXPECT_EQ(harness.metrics().new_requests, 1u);
  EXPECT_EQ(harness.metrics().retried_requests, 1u);
  EXPECT_EQ(harness.metrics().routed, 2u);
  harness.expect_empty();
}

TEST(Retry, ANonIdempotentRequestNeverGetsASecondHost) {
  for (const auto proxy_retries : {ProxyRetries::kNever, ProxyRetries::kMarked}) {
    for (int variant = 0; variant < 5; ++variant) {
      ProcessorSettings s;
      s.proxy_retries = proxy_retries;
      ProcessorHarness harness(s);
      auto& c = harness.send_request({}, "pay", "id");
      EXPECT_EQ(c.call.decision().set_headers.at("x-envoy-max-retries"), "0");
      if (variant == 1) harness.report(c, 500);
      if (variant == 2) harness.disconnect(c);
      if (variant == 3) harness.report(c, 200);
      if (variant == 4) harness.advance(40'000);
      const auto d = harness.send_request(kSecondAttempt, "pay", "id").call.decision();
      EXPECT_TRUE(d.endpoint.empty()) << variant;
      EXPECT_EQ(d.status == 503 || d.status == 504, true) << d.status;
      EXPECT_EQ(harness.metrics().routed, 1u);
      harness.expect_empty();
    }
  }
}

TEST(Retry, ANewCallReplacesAnOpenOne) {
  ProcessorHarness harness(settings_with_proxy_retries());
  auto& c = harness.send_request({}, "lookup", "id");
  auto& retry = harness.send_request(kSecondAttempt, "lookup", "id");
  EXPECT_FALSE(retry.call.decision().endpoint.empty());
  harness.report(c, 200);  // reports an attempt that the proxy has abandoned
  EXPECT_EQ(harness.metrics().reported, 0u);
  harness.report(retry, 200);
  EXPECT_EQ(harness.metrics().reported, 1u);
  harness.expect_empty();
}

TEST(Retry, AnUnsentDecisionIsRepeatedForAnyClass) {
  ProcessorHarness harness(settings_with_proxy_retries());
  auto& c = harness.send_request({}, "pay", "id", true);
  const auto first = parse_decision(c.call.unsent.at(0)).endpoint;
  auto& retry = harness.send_request(kSecondAttempt, "pay", "id");
  EXPECT_EQ(retry.call.decision().endpoint, first);
  EXPECT_TRUE(c.call.unsent.empty());
  EXPECT_EQ(c.call.status.value().code, Code::kAborted);
  EXPECT_EQ(harness.metrics().routed, 1u);
  auto& disconnected = harness.send_request({}, "pay", "id2", true);
  harness.disconnect(disconnected);
  EXPECT_FALSE(harness.send_request(kSecondAttempt, "pay", "id2").call.decision().endpoint.empty());
  harness.expect_empty();
}

TEST(Retry, AZoneScopedKeyKeepsRetriesInItsZoneAndIsRequired) {
  ProcessorHarness harness(settings_with_proxy_retries(), 0);
  harness.add_ready_host(1, 0);
  harness.add_ready_host(2, 1);
  harness.add_ready_host(3, 0);
  for (int i = 0; i < 10; ++i) {
    const auto id = "z" + std::to_string(i);
    auto& c = harness.send_request({}, "zoned", id);
    const auto first = c.call.decision().endpoint;
    harness.report(c, 500);
    auto& retry = harness.send_request(kSecondAttempt, "zoned", id);
    const auto second = retry.call.decision().endpoint;
    if (!second.empty()) {
      EXPECT_EQ(first == ProcessorHarness::endpoint(2), second == ProcessorHarness::endpoint(2));
    }
    harness.report(retry, 200);
    harness.advance(500);
  }
  auto& c = harness.send_request({{"idempotency-key", ""}}, "zoned", "no-key");
  harness.report(c, 500);
  EXPECT_TRUE(harness.send_request(kSecondAttempt, "zoned", "no-key").call.decision().endpoint.empty());
  harness.expect_empty();
}

TEST(Retry, ReturnsTheRememberedDecision) {
  ProcessorHarness harness(settings_with_proxy_retries());
  std::string rejected_id;
  for (int i = 0; i < 40 && rejected_id.empty(); ++i) {
    const auto id = "r" + std::to_string(i);
    if (harness.send_request({{"x-cometfold-plan", "tiny"}}, "lookup", id).call.decision().status == 429)
      rejected_id = id;
  }
  const auto before = harness.metrics().new_requests;
  EXPECT_EQ(harness.send_request(kSecondAttempt, "lookup", rejected_id).call.decision().status, 429);
  EXPECT_EQ(harness.metrics().new_requests, before);
  auto& done = harness.send_request({}, "hold", "done");
  harness.report(done, 200);
  EXPECT_EQ(harness.send_request(kSecondAttempt, "hold", "done").call.decision().details,
            "cometfold_already_done");
  harness.expect_empty();
}

// An attempt that waits for the proxy's next call was decided on earlier. If the rules forbid it by the time
// it is fetched, its host must not be returned.
TEST(Retry, TheRulesAreCheckedAgainWhenAnAttemptIsFetched) {
  auto admission_settings = named_settings().settings;
  admission_settings.classes[1].idempotency_key_ttl_ms = 1000;  // of the class "hold"
  auto settings = settings_with_proxy_retries();
  settings.retry_wait_ms = 10'000;
  for (const bool key_expires : {true, false}) {
    ProcessorHarness harness(settings);
    harness.engine.update_settings(admission_settings);
    auto& c = harness.send_request({}, "hold", "id");
    const HostId first = c.call.decision().endpoint == ProcessorHarness::endpoint(1) ? 1 : 2,
                 second = 3 - first;
    harness.report(c, 500);
    if (key_expires) {
      harness.advance(2000);  // the idempotency key has expired
    } else {
      harness.update_host({.id = second, .state = HostState::kReady, .started_at = harness.now});
    }
    const auto retry = harness.send_request(kSecondAttempt, "hold", "id").call.decision();
    const auto verdict = key_expires ? AttemptVerdict::kKeyExpired : AttemptVerdict::kHostRestarted;
    EXPECT_EQ(harness.engine.rule_metrics().first_bytes[static_cast<std::size_t>(verdict)], 1u);
    if (key_expires) {
      EXPECT_TRUE(retry.endpoint.empty());
    }
    harness.expect_empty();
  }
}

TEST(Retry, AnAttemptThatIsNotFetchedInTimeIsDropped) {
  ProcessorHarness harness(settings_with_proxy_retries());
  auto& c = harness.send_request({}, "lookup", "id");
  harness.report(c, 500);
  EXPECT_EQ(harness.engine.open_count(), 1u);
  harness.advance(249);
  EXPECT_EQ(harness.engine.open_count(), 1u);
  harness.advance(2);
  EXPECT_EQ(harness.engine.open_count(), 0u);
  harness.expect_empty();
}

TEST(Retry, TwoRequestsWithOneIdAreBothServedButNotRetried) {
  ProcessorHarness harness(settings_with_proxy_retries());
  auto& one = harness.send_request({}, "lookup", "same");
  auto& two = harness.send_request({}, "lookup", "same");
  EXPECT_FALSE(one.call.decision().endpoint.empty());
  EXPECT_FALSE(two.call.decision().endpoint.empty());
  EXPECT_EQ(harness.send_request(kSecondAttempt, "lookup", "same").call.decision().details,
            "cometfold_id_not_unique");
  harness.report(one, 500);
  EXPECT_EQ(harness.send_request(kSecondAttempt, "lookup", "same").call.decision().details,
            "cometfold_id_not_unique");
  harness.report(two, 200);
  EXPECT_EQ(harness.metrics().new_requests, 2u);
  harness.expect_empty();
}

// A proxy may let its clients choose the request id. A later request with the same id must not make the
// earlier one retryable.
TEST(Retry, ReusingAnIdPreventsRetriesOfBothRequests) {
  for (int variant = 0; variant < 3; ++variant) {
    ProcessorHarness harness(settings_with_proxy_retries());
    auto& pay = harness.send_request({}, "pay", "same");
    if (variant < 2) harness.report(pay, 500);
    auto& other = harness.send_request({}, variant == 1 ? "pay" : "lookup", "same", variant == 1);
    if (variant == 0) harness.report(other, 200);
    if (variant == 1) harness.disconnect(other);  // its decision was never sent
    EXPECT_TRUE(harness.send_request(kSecondAttempt, "pay", "same").call.decision().endpoint.empty())
        << variant;
    harness.expect_empty();
  }
}

TEST(Retry, AfterARestartOnlyRetriesSafeOnAllHostsAreSent) {
  ProcessorHarness harness(settings_with_proxy_retries());  // has no record of earlier attempts
  EXPECT_FALSE(harness.send_request(kSecondAttempt, "lookup", "a").call.decision().endpoint.empty());
  EXPECT_FALSE(harness.send_request(kSecondAttempt, "hold", "b").call.decision().endpoint.empty());
  for (const char* cls : {"zoned", "pay"}) {
    const auto d = harness.send_request(kSecondAttempt, cls, std::string("c") + cls).call.decision();
    EXPECT_EQ(d.status, 503);
    EXPECT_EQ(d.details, "cometfold_first_attempt_not_known");
  }
  EXPECT_TRUE(harness.send_request({{"x-envoy-attempt-count", "2"}, {"idempotency-key", ""}}, "hold", "d")
                  .call.decision()
                  .endpoint.empty());
  EXPECT_TRUE(harness.send_request(kSecondAttempt, "pay", "").call.decision().endpoint.empty());
  harness.expect_empty();
}

TEST(Retry, RememberedDecisionsAreBounded) {
  ProcessorSettings s = settings_with_proxy_retries();
  s.max_remembered_decisions = 50;
  ProcessorHarness harness(s);
  for (int i = 0; i < 500; ++i) {
    auto& c = harness.send_request({}, "pay", "id" + std::to_string(i));
    harness.report(c, 200);
    EXPECT_LE(harness.processor.remembered_count(), 50u);
  }
  EXPECT_EQ(harness.send_request(kSecondAttempt, "pay", "id499").call.decision().details,
            "cometfold_already_done");
  EXPECT_EQ(harness.send_request(kSecondAttempt, "pay", "id1").call.decision().details,
            "cometfold_first_attempt_not_known");
  harness.expect_empty();
}

// ---- messages out of order ----

TEST(MessageOrder, AForbiddenMessageEndsTheCall) {
  const std::string headers = request_headers(ProcessorHarness::headers({}, "pay", ""), false);
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
      {request_headers(ProcessorHarness::headers({}, "pay", ""), true), body},
      {std::string()},
      {headers, "\xff\xff not a message"},
  };
  for (const auto& messages : forbidden) {
    ProcessorHarness harness;
    auto& c = harness.open_call();
    for (const auto& bytes : messages) c.events->on_message(harness.now, bytes);
    ASSERT_TRUE(c.call.status);
    EXPECT_EQ(c.call.status->code, Code::kInvalidArgument);
    EXPECT_EQ(harness.engine.open_count(), 0u);
    EXPECT_EQ(harness.processor.open(), 0u);
    const auto sent = c.call.received.size();
    c.events->on_message(harness.now, response);  // later messages are not answered
    EXPECT_EQ(c.call.received.size(), sent);
    harness.expect_empty();
  }
}

TEST(MessageOrder, AReportForARejectedRequestIsIgnored) {
  ProcessorHarness harness({}, 0);
  auto& c = harness.send_request();
  EXPECT_EQ(c.call.decision().status, 429);
  EXPECT_EQ(c.call.status.value().code, Code::kOk);
  harness.report(c, 429);
  EXPECT_EQ(c.call.received.size(), 1u);
  EXPECT_EQ(harness.metrics().reported, 0u);
  harness.expect_empty();
}

TEST(Shutdown, RequestsAreAnsweredAndOpenAttemptsMayEnd) {
  ProcessorHarness harness;
  auto& in_flight = harness.send_request({}, "pay");
  harness.engine.begin_shutdown(harness.now);
  harness.report(in_flight, 200);
  EXPECT_EQ(harness.metrics().reported, 1u);
  auto& late = harness.send_request({}, "pay");
  EXPECT_FALSE(late.call.decision().endpoint.empty());
  harness.engine.fail_all(harness.now);
  EXPECT_EQ(harness.engine.unanswered_count(), 0u);
  harness.expect_empty();
}

// ---- random sequences ----

// Proxies act in a random order, with fixed seeds. The test counts decisions independently of the processor's
// metrics.
TEST(RandomProxies, EachCallGetsOneDecisionAndNoNonIdempotentRequestIsSentTwice) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    std::mt19937 random(seed);
    ProcessorHarness harness(seed % 2 ? settings_with_proxy_retries() : ProcessorSettings{}, 4,
                             {.max_open_requests = 60});
    struct LiveCall {
      ProcessorHarness::OpenCall* call;
      std::string id, cls;
      bool reported = false;
    };
    std::vector<LiveCall> live_calls;
    std::map<std::string, int> sent_decisions;  // hosts sent for non-idempotent requests, by request id
    std::uint64_t call_count = 0, decision_count = 0;
    const char* classes[] = {"lookup", "hold", "zoned", "pay"};
    const auto account = [&](LiveCall& live_call) {
      live_call.call->call.flush();
      if (!live_call.call->call.received.empty()) {
        ++decision_count;
        if (live_call.cls == "pay" && !live_call.call->call.decision().endpoint.empty())
          ++sent_decisions[live_call.id];
      }
    };
    for (int step = 0; step < 4000; ++step) {
      const auto draw = random() % 100;
      if (draw < 25 || live_calls.empty()) {
        const bool retry = !live_calls.empty() && random() % 4 == 0;
        const auto& earlier = live_calls.empty() ? LiveCall{} : live_calls[random() % live_calls.size()];
        const std::string id = retry ? earlier.id : "id" + std::to_string(step);
        const std::string cls = retry ? earlier.cls : classes[random() % 4];
        auto& c = harness.send_request(retry ? kSecondAttempt : HeaderList{}, cls, id, random() % 2 == 0);
        live_calls.push_back({&c, id, cls});
        ++call_count;
      } else if (draw < 90) {
        auto& live_call = live_calls[random() % live_calls.size()];
        if (random() % 3 == 0) live_call.call->call.flush();
        const bool routed =
            !live_call.call->call.received.empty() && !live_call.reported && !live_call.call->call.status;
        if (draw < 70 && routed) {
          live_call.reported = true;
          const int statuses[] = {200, 200, 429, 500, 503, 504};
          harness.report(
              *live_call.call, statuses[random() % 6],
              random() % 8 == 0 ? "upstream_reset_before_response_started{connection_failure}" : "");
        } else if (draw > 80) {
          account(live_call);
          harness.disconnect(*live_call.call);
          live_call = live_calls.back();
          live_calls.pop_back();
        }
      } else if (draw < 91) {
        const HostId host = 1 + random() % 4;
        random() % 2 ? harness.drain_host(host) : harness.add_ready_host(host);
      } else {
        harness.advance(static_cast<Ms>(random() % 60));
      }
    }
    for (auto& live_call : live_calls) account(live_call);
    for (const auto& [id, count] : sent_decisions) EXPECT_LE(count, 1) << "seed " << seed << " " << id;
    const auto& metrics = harness.metrics();
    EXPECT_EQ(metrics.new_requests + metrics.retried_requests, call_count);
    EXPECT_EQ(metrics.routed + metrics.rejected + metrics.failed + metrics.disconnected, call_count)
        << to_text(metrics);
    EXPECT_LE(decision_count, metrics.routed + metrics.rejected + metrics.failed + metrics.disconnected);
    harness.expect_empty();
    EXPECT_EQ(metrics.routed, metrics.reported + metrics.unreported + metrics.report_timeouts)
        << to_text(metrics);
  }
}

}  // namespace
}  // namespace cometfold::extproc::testing
