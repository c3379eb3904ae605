// libFuzzer target of the external processor, with the real engine and module. The input is fed either as the
// bytes of a proxy's connection or as messages of its calls. There must be no crash, no sanitizer report, and
// no state left when the connection has ended.
//
// The first byte selects the kind of input: odd for messages, even for connection bytes. Each message has a
// prefix of two bytes: 10 bits of length, then 6 bits that select one of three calls and further actions.
#include <cstdlib>
#include <memory>
#include <string_view>
#include <vector>

#include "engine/controller_policy.h"
#include "engine/engine.h"
#include "extproc/processor.h"
#include "http2/grpc_server.h"

namespace {

using namespace cometfold;
using namespace cometfold::extproc;

struct NoTransport : engine::UpstreamTransport {
  engine::StartResult start(Ms, engine::AttemptId, HostId, const engine::Payload&, Ms) override {
    return engine::StartResult::kHostUnavailable;
  }
  bool abandon(Ms, engine::AttemptId) override { return true; }
  bool withdraw(Ms, engine::AttemptId) override { return false; }
  void retire_host(Ms, HostId) override {}
};

NamedSettings named_settings() {
  NamedSettings result{{"lookup", "pay"}, {"team"}, {}};
  result.settings.classes = {{2000, 6000, 1, 0, Idempotency::kIdempotent, IdempotencyScope::kNone, 0},
                             {2000, 6000, 1, 0, Idempotency::kNonIdempotent, IdempotencyScope::kNone, 0}};
  result.settings.plans.resize(1);
  result.settings.plans[0].quota_rate = result.settings.plans[0].quota_burst = 1e6;
  result.settings.gateway_count = 1;
  result.settings.max_attempts = 4;
  result.settings.min_event_interval_ms = 4;
  result.settings.overload_factor = 2;
  result.settings.slow_start_initial_weight = 0.2;
  result.settings.slow_start_duration_ms = result.settings.overload_window_ms = 1000;
  return result;
}

extproc::ProcessorSettings processor_settings() {
  extproc::ProcessorSettings result;
  result.proxy_retries = ProxyRetries::kMarked;
  result.mapping.default_class = "lookup";
  result.mapping.default_plan = "team";
  result.mapping.default_customer = "c";
  return result;
}

struct ProcessorHarness : http2::grpc::Methods, http2::SessionEvents {
  ProcessorHarness() {
    engine.add_upstream(processor);
    engine.start(now);
    for (HostId h = 1; h <= 2; ++h) {
      processor.add_host(h, "127.0.0.1:1");
      const HostEntry entry{.id = h};
      engine.on_host_list(now, HostListUpdate::kDelta, {&entry, 1});
    }
  }
  http2::grpc::Service* find(std::string_view path) override {
    return path == kProcessPath ? &processor : nullptr;
  }
  std::unique_ptr<http2::StreamEvents> on_request(Ms, http2::Stream&, http2::HeaderBlock) override {
    return {};
  }
  void on_output() override {}
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
  void expect_empty() {
    advance(20'000);
    if (engine.open_count() != 0 || engine.unanswered_count() != 0 || processor.open() != 0) std::abort();
  }

  Ms now = 1e6;
  engine::ControllerPolicy module{named_settings().settings, 1};
  NoTransport transport;
  engine::Engine engine{module, transport, {}, [](std::string_view, std::string_view) {}};
  Processor processor{engine, named_settings(), processor_settings(), 3};
};

void feed_connection_bytes(ProcessorHarness& harness, std::string_view bytes) {
  http2::grpc::ServerLimits limits;
  limits.max_message_bytes = 4096;
  http2::grpc::Connection connection(limits, harness, harness, harness.now);
  auto& session = connection.session();
  bool more = true;
  while (more && !bytes.empty()) {
    const auto part = bytes.substr(0, 1 + static_cast<unsigned char>(bytes[0]) % 97);
    bytes.remove_prefix(part.size());
    more = session.feed(harness.now, part);
    for (auto out = session.output(); !out.empty(); out = session.output()) session.consumed(out.size());
    if (session.unsent_bytes() > 8 * 1024 * 1024) std::abort();
    harness.advance(1);
  }
}

struct RecordingCall : http2::grpc::Call {
  void send(std::string_view) override {
    if (finished) std::abort();
    ++unsent_messages;
  }
  bool withdraw() override {
    if (unsent_messages == 0) return false;
    --unsent_messages;
    return true;
  }
  void finish(const http2::grpc::Status&) override {
    if (finished) std::abort();
    finished = true;
  }
  int unsent_messages = 0;
  bool finished = false;
};

void feed_messages(ProcessorHarness& harness, std::string_view bytes) {
  std::vector<std::unique_ptr<RecordingCall>> recorded_calls;
  std::vector<std::unique_ptr<http2::grpc::CallEvents>> calls;
  for (int i = 0; i < 3; ++i) {
    recorded_calls.push_back(std::make_unique<RecordingCall>());
    calls.push_back(harness.processor.open(harness.now, *recorded_calls.back(), {}));
  }
  for (std::size_t turn = 0; bytes.size() >= 2; ++turn) {
    const std::size_t size = static_cast<unsigned char>(bytes[0]) | (static_cast<unsigned char>(bytes[1]) & 3)
                                                                        << 8;
    const unsigned actions = static_cast<unsigned char>(bytes[1]) >> 2;
    bytes.remove_prefix(2);
    const auto message = bytes.substr(0, size);
    bytes.remove_prefix(message.size());
    const std::size_t call_index = actions % 3;
    if (!recorded_calls[call_index]->finished) calls[call_index]->on_message(harness.now, message);
    if (actions & 4) recorded_calls[call_index]->unsent_messages = 0;  // its messages have been sent
    if (actions & 8) harness.advance(50);
    if ((actions & 48) == 48) {
      const HostEntry entry{.id = 1, .state = actions & 4 ? HostState::kDraining : HostState::kReady};
      if (entry.state == HostState::kReady) harness.processor.add_host(1, "127.0.0.1:1");
      harness.engine.on_host_list(harness.now, HostListUpdate::kDelta, {&entry, 1});
    }
    if ((actions & 48) == 32) {
      calls[call_index]->on_call_closed(harness.now);
      recorded_calls[call_index] = std::make_unique<RecordingCall>();
      calls[call_index] = harness.processor.open(harness.now, *recorded_calls[call_index], {});
    }
  }
  for (auto& c : calls) c->on_call_closed(harness.now);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  ProcessorHarness harness;
  data[0] % 2 ? feed_messages(harness, bytes) : feed_connection_bytes(harness, bytes);
  harness.expect_empty();
  return 0;
}
