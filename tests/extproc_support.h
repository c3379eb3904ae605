// Test harness of the external processor: a processor with the real engine and module, and calls that record
// the messages sent to the proxy.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "engine/controller_policy.h"
#include "engine/engine.h"
#include "external_processor.pb.h"
#include "extproc/processor.h"

namespace cometfold::extproc::testing {

namespace pb = envoy::service::ext_proc::v3;
using http2::grpc::Code;
using http2::grpc::Status;
using HeaderList = std::vector<std::pair<std::string, std::string>>;

inline void append_headers(pb::HeaderMap& map, const HeaderList& headers) {
  for (const auto& [name, value] : headers) {
    auto* h = map.add_headers();
    h->set_key(name);
    h->set_raw_value(value);
  }
}
inline std::string request_headers(const HeaderList& headers, bool end = true) {
  pb::ProcessingRequest m;
  append_headers(*m.mutable_request_headers()->mutable_headers(), headers);
  m.mutable_request_headers()->set_end_of_stream(end);
  return m.SerializeAsString();
}
inline std::string response_headers(const HeaderList& headers, const HeaderList& attributes = {},
                                    bool end = false) {
  pb::ProcessingRequest m;
  append_headers(*m.mutable_response_headers()->mutable_headers(), headers);
  m.mutable_response_headers()->set_end_of_stream(end);
  for (const auto& [name, value] : attributes) {
    (*(*m.mutable_attributes())["envoy.filters.http.ext_proc"].mutable_fields())[name].set_string_value(
        value);
  }
  return m.SerializeAsString();
}

// The content of a decision sent to the proxy.
struct ReceivedDecision {
  std::string endpoint;  // empty: the decision is a reply to the client
  std::map<std::string, std::string> set_headers;
  std::vector<std::string> removed_headers;
  std::string metadata;
  int status = 0;
  std::optional<int> grpc_status;
  std::string details, body;
};
inline ReceivedDecision parse_decision(const std::string& bytes) {
  pb::ProcessingResponse m;
  EXPECT_TRUE(m.ParseFromString(bytes));
  ReceivedDecision d;
  const bool immediate = m.has_immediate_response();
  const auto& mutation =
      immediate ? m.immediate_response().headers() : m.request_headers().response().header_mutation();
  for (const auto& h : mutation.set_headers()) {
    EXPECT_EQ(h.append_action(), pb::HeaderValueOption::OVERWRITE_IF_EXISTS_OR_ADD);
    d.set_headers[h.header().key()] = h.header().raw_value();
  }
  d.removed_headers.assign(mutation.remove_headers().begin(), mutation.remove_headers().end());
  if (immediate) {
    d.status = m.immediate_response().status().code();
    if (m.immediate_response().has_grpc_status()) {
      d.grpc_status = static_cast<int>(m.immediate_response().grpc_status().status());
    }
    d.details = m.immediate_response().details();
    d.body = m.immediate_response().body();
    return d;
  }
  EXPECT_TRUE(m.has_request_headers());
  const auto lb = m.dynamic_metadata().fields().find("envoy.lb");
  if (lb != m.dynamic_metadata().fields().end()) {
    d.metadata = lb->second.struct_value().fields().at("x-gateway-destination-endpoint").string_value();
  }
  for (const char* name : {"x-gateway-destination-endpoint", "x-envoy-original-dst-host"}) {
    if (d.set_headers.contains(name)) d.endpoint = d.set_headers[name];
  }
  if (d.endpoint.empty()) d.endpoint = d.metadata;
  return d;
}

// One call as the proxy sees it. While `output_blocked` is set, messages stay in `unsent` until `flush`.
class FakeCall : public http2::grpc::Call {
 public:
  void send(std::string_view message) override {
    EXPECT_FALSE(status) << "message sent after the call ended";
    unsent.emplace_back(message);
    if (!output_blocked) flush();
  }
  bool withdraw() override {
    if (unsent.empty()) return false;
    unsent.pop_back();
    return true;
  }
  void finish(const Status& s) override {
    EXPECT_FALSE(status) << "call ended twice";
    status = s;
  }
  void flush() {
    for (auto& m : unsent) received.push_back(std::move(m));
    unsent.clear();
  }
  ReceivedDecision decision() const {
    EXPECT_FALSE(received.empty());
    return received.empty() ? ReceivedDecision{} : parse_decision(received.at(0));
  }

  bool output_blocked = false;  // the proxy does not read the connection
  std::vector<std::string> unsent, received;
  std::optional<Status> status;
};

inline NamedSettings named_settings() {
  NamedSettings n{{"lookup", "hold", "zoned", "pay"}, {"team", "tiny"}, {}};
  auto& s = n.settings;
  s.classes = {{20'000, 30'000, 1, 0, Idempotency::kIdempotent, IdempotencyScope::kNone, 0},
               {20'000, 30'000, 1, 0, Idempotency::kIdempotencyKey, IdempotencyScope::kAll, 60'000},
               {20'000, 30'000, 1, 0, Idempotency::kIdempotencyKey, IdempotencyScope::kZone, 60'000},
               {20'000, 30'000, 1, 0, Idempotency::kNonIdempotent, IdempotencyScope::kNone, 0}};
  PlanSettings team;
  team.quota_rate = team.quota_burst = 1e6;
  PlanSettings tiny;
  tiny.quota_rate = tiny.quota_burst = tiny.ceiling_rate = tiny.ceiling_burst = 4;
  s.plans = {team, tiny};
  s.gateway_count = 2;
  s.max_request_units = 4;
  s.retry_after_allowed = true;
  s.max_retry_after_ms = 1000;
  s.max_attempts = 4;
  s.cancellation_allowed = true;
  s.min_event_interval_ms = 4;
  s.slow_start_initial_weight = 0.2;
  s.slow_start_duration_ms = 10'000;
  s.overload_factor = 2;
  s.overload_window_ms = 1000;
  return n;
}

struct NoTransport : engine::UpstreamTransport {
  engine::StartResult start(Ms, engine::AttemptId, HostId, const engine::Payload&, Ms) override {
    return engine::StartResult::kHostUnavailable;
  }
  bool abandon(Ms, engine::AttemptId) override { return true; }
  bool withdraw(Ms, engine::AttemptId) override { return false; }
  void retire_host(Ms, HostId) override {}
};

class ProcessorHarness {
 public:
  explicit ProcessorHarness(ProcessorSettings settings = {}, int hosts = 2, engine::EngineLimits limits = {})
      : engine(module, no_transport, limits, [](std::string_view, std::string_view) {}),
        processor(engine, named_settings(), std::move(settings), 77) {
    engine.add_upstream(processor);
    engine.start(now);
    for (int h = 1; h <= hosts; ++h) add_ready_host(static_cast<HostId>(h));
  }
  static std::string endpoint(HostId h) { return "127.0.0.1:" + std::to_string(9000 + h); }
  void add_ready_host(HostId h, std::uint32_t zone = 0) {
    processor.add_host(h, endpoint(h));
    update_host({.id = h, .state = HostState::kReady, .zone = zone});
  }
  void drain_host(HostId h) { update_host({.id = h, .state = HostState::kDraining}); }
  void update_host(const HostEntry& e) { engine.on_host_list(now, HostListUpdate::kDelta, {&e, 1}); }

  struct OpenCall {
    FakeCall call;
    std::unique_ptr<http2::grpc::CallEvents> events;
  };
  OpenCall& open_call(bool output_blocked = false) {
    calls.push_back(std::make_unique<OpenCall>());
    auto& c = *calls.back();
    c.call.output_blocked = output_blocked;
    c.events = processor.open(now, c.call, {});
    return c;
  }
  OpenCall& send_request(const HeaderList& more = {}, const std::string& cls = "lookup",
                         const std::string& id = "", bool output_blocked = false) {
    auto& c = open_call(output_blocked);
    c.events->on_message(now, request_headers(headers(more, cls, id)));
    return c;
  }
  static HeaderList headers(const HeaderList& more, const std::string& cls, const std::string& id) {
    HeaderList all{{":method", "GET"},
                   {":path", "/x"},
                   {"x-cometfold-class", cls},
                   {"x-cometfold-plan", "team"},
                   {"x-cometfold-customer", "c1"}};
    if (!id.empty()) all.emplace_back("x-request-id", id);
    if (cls == "hold" || cls == "zoned") all.emplace_back("idempotency-key", "k");
    for (const auto& [header, value] : more) {
      const std::string name = header;
      const auto same = std::find_if(all.begin(), all.end(), [&](auto& h) { return h.first == name; });
      if (same != all.end()) all.erase(same);
      if (!value.empty()) all.emplace_back(name, value);
    }
    return all;
  }
  void report(OpenCall& c, int status, const std::string& details = "", const HeaderList& more = {}) {
    HeaderList all{{":status", std::to_string(status)}};
    all.insert(all.end(), more.begin(), more.end());
    c.events->on_message(
        now, response_headers(
                 all, details.empty() ? HeaderList{} : HeaderList{{"response.code_details", details}}));
  }
  void disconnect(OpenCall& c) {
    c.events->on_call_closed(now);
    c.events.reset();
  }
  void advance(Ms ms) {
    const Ms until = now + ms;
    for (;;) {
      auto due = engine.next_timer();
      if (const auto fetch = processor.next_timer(); fetch && (!due || *fetch < *due)) due = fetch;
      if (!due || *due > until) break;
      now = std::max(now, *due);
      engine.run_timers(now);
      processor.run_timers(now);
    }
    now = until;
  }
  // Ends all calls, lets their deadlines pass and checks that no state is left.
  void expect_empty() {
    for (auto& c : calls) {
      if (c->events) disconnect(*c);
    }
    advance(60'000);
    EXPECT_EQ(engine.open_count(), 0u);
    EXPECT_EQ(engine.unanswered_count(), 0u);
    EXPECT_EQ(engine.payload_bytes(), 0u);
    EXPECT_EQ(processor.open(), 0u);
  }
  const ProcessorMetrics& metrics() const { return processor.metrics(); }

  Ms now = 1'000'000;
  engine::ControllerPolicy module{named_settings().settings, 5};
  NoTransport no_transport;
  engine::Engine engine;
  Processor processor;
  std::vector<std::unique_ptr<OpenCall>> calls;
};

}  // namespace cometfold::extproc::testing
