// Measures the CPU time of one request in the decision module alone and with the engine, without sockets.
#include <benchmark/benchmark.h>

#include <memory>

#include "engine/controller_policy.h"
#include "engine/engine.h"

namespace {

using namespace cometfold;

AdmissionSettings settings() {
  AdmissionSettings s;
  s.classes.push_back({300, 2000, 1, 0, Idempotency::kIdempotent, IdempotencyScope::kNone, 0});
  s.plans.push_back({1e6, 1e6, 1, 0, 0, 0, 0, 0, 0});
  s.gateway_count = 2;
  s.hedging_allowed = s.cancellation_allowed = true;
  s.max_attempts = 4;
  s.min_event_interval_ms = 4;
  return s;
}

std::vector<HostEntry> hosts(std::int64_t n) {
  std::vector<HostEntry> all;
  for (HostId id = 1; id <= n; ++id) all.push_back({id, HostState::kReady, 0, 0, 0, 0, 1});
  return all;
}

struct SendRecorder : ActionSink {
  HostId host = 0;
  void send(RequestId, HostId h, Ms) override { host = h; }
  void cancel(RequestId, std::uint32_t) override {}
  void reject(RequestId, Ms, RejectionReason) override {}
  void fail(RequestId, RejectionReason) override {}
  void schedule_timer(Ms, std::uint64_t) override {}
  void send_health_check(HostId) override {}
  void watch_hosts() override {}
  void poll_hosts() override {}
  void log(std::string_view) override {}
};

void module_request(benchmark::State& state) {
  AdmissionController control(settings(), 7);
  SendRecorder out;
  Ms now = 1000;
  control.start(now, out);
  control.on_host_list(now, HostListUpdate::kCached, hosts(state.range(0)), out);
  RequestId id = 0;
  for (auto _ : state) {
    out.host = 0;
    control.on_request(now, {++id, 0, 0, id % 50, now + 2000, 1, 2, false}, out);
    if (out.host != 0) control.on_attempt_end(now + 1, {id, 0, out.host, Outcome::kOk, 5, true, {}, {}}, out);
    if (id % 64 == 0) control.on_timer(now, ~std::uint64_t{0}, out);
    now += 1;
  }
}
BENCHMARK(module_request)->Arg(8)->Arg(64)->Arg(512);

struct EmptyPayload : engine::Payload {
  std::size_t bytes() const override { return 0; }
};
struct FakeTransport : engine::UpstreamTransport {
  engine::AttemptId last = 0;
  engine::StartResult start(Ms, engine::AttemptId a, HostId, const engine::Payload&, Ms) override {
    last = a;
    return engine::StartResult::kStarted;
  }
  bool abandon(Ms, engine::AttemptId) override { return true; }
  bool withdraw(Ms, engine::AttemptId) override { return false; }
  void retire_host(Ms, HostId) override {}
};
struct FakeDownstream : engine::DownstreamHandler {
  void on_served(Ms, engine::ResponseHandle, std::string_view) override {}
  void on_rejected(Ms, engine::ResponseHandle, Ms) override {}
  void on_failed(Ms, engine::ResponseHandle, engine::FailureReason) override {}
};

void engine_request(benchmark::State& state) {
  engine::ControllerPolicy module(settings(), 7);
  FakeTransport transport;
  FakeDownstream downstream;
  engine::Engine engine(module, transport, {}, [](std::string_view, std::string_view) {});
  Ms now = 1000;
  engine.start(now);
  engine.on_host_list(now, HostListUpdate::kCached, hosts(state.range(0)));
  std::uint64_t id = 0;
  for (auto _ : state) {
    transport.last = 0;
    engine::IncomingRequest incoming{
        {0, 0, 0, ++id % 50, 0, 1, 2, false}, 2000, id, std::make_unique<EmptyPayload>()};
    RequestId request_id = 0;
    engine.accept(now, downstream, {1, id}, std::move(incoming), request_id);
    if (transport.last != 0) engine.on_attempt_end(now + 1, transport.last, Outcome::kOk, "v", {});
    if (const auto due = engine.next_timer(); due && *due <= now) engine.run_timers(now);
    now += 1;
  }
}
BENCHMARK(engine_request)->Arg(8)->Arg(64)->Arg(512);

}  // namespace

BENCHMARK_MAIN();
