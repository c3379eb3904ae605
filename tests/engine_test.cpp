// Tests the engine's guarantees, whatever its policy does. Many cases run twice: on the correct engine, and
// on one with the mutant that the case guards against, where the check must fail.
#include "engine/engine.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "engine/faults.h"
#include "explore/explorer.h"

namespace cometfold::engine {
namespace {

struct TenBytePayload : Payload {
  std::size_t bytes() const override { return 10; }
};

// A policy whose actions for each call are set by the test.
struct ScriptedPolicy : AdmissionPolicy {
  std::function<void(ActionSink&)> request_action;
  std::function<void(ActionSink&)> host_list_action;
  std::function<void(ActionSink&)> disconnect_action;
  std::function<void(ActionSink&)> timer_action;
  std::function<void(ActionSink&)> start_action;
  std::function<void(ActionSink&)> stream_paused_action;
  std::vector<std::uint32_t> streams_started;
  std::function<void(const AttemptResult&, ActionSink&)> attempt_end_action;
  std::vector<AttemptResult> attempt_ends;
  int disconnect_count = 0;
  void start(Ms, ActionSink& out) override { run(start_action, out); }
  void on_host_list(Ms, HostListUpdate, std::span<const HostEntry>, ActionSink& out) override {
    run(host_list_action, out);
  }
  void on_request(Ms, const Request&, ActionSink& out) override { run(request_action, out); }
  void on_attempt_end(Ms, const AttemptResult& result, ActionSink& out) override {
    attempt_ends.push_back(result);
    if (attempt_end_action) attempt_end_action(result, out);
  }
  void on_stream_started(Ms, RequestId, std::uint32_t attempt, ActionSink&) override {
    streams_started.push_back(attempt);
  }
  void on_stream_paused(Ms, RequestId, std::uint32_t, ActionSink& out) override {
    run(stream_paused_action, out);
  }
  void on_client_disconnected(Ms, RequestId, ActionSink& out) override {
    ++disconnect_count;
    run(disconnect_action, out);
  }
  void on_timer(Ms, std::uint64_t, ActionSink& out) override { run(timer_action, out); }
  static void run(const std::function<void(ActionSink&)>& action, ActionSink& out) {
    if (action) action(out);
  }
};

struct FakeTransport : UpstreamTransport {
  std::set<AttemptId> in_flight;
  std::set<AttemptId> written;
  std::set<HostId> retired;
  std::map<AttemptId, HostId> hosts;  // by attempt; all that were started
  AttemptId last_attempt = 0;
  StartResult start_result = StartResult::kStarted;
  bool connecting = false;  // started attempts wait for their connection
  bool awaits_first_byte(AttemptId) const override { return connecting; }
  StartResult start(Ms, AttemptId attempt, HostId host, const Payload&, Ms) override {
    if (retired.contains(host)) return StartResult::kHostUnavailable;
    if (start_result != StartResult::kStarted) return start_result;
    last_attempt = attempt;
    in_flight.insert(attempt);
    hosts[attempt] = host;
    return start_result;
  }
  bool abandon(Ms, AttemptId attempt) override {
    in_flight.erase(attempt);
    return true;
  }
  bool withdraw(Ms, AttemptId attempt) override {
    return !written.contains(attempt) && in_flight.erase(attempt) > 0;
  }
  void retire_host(Ms, HostId host) override { retired.insert(host); }
};

struct RecordingHandler : DownstreamHandler {
  std::vector<std::string> replies;
  void on_served(Ms, ResponseHandle, std::string_view value) override {
    replies.push_back("served " + std::string(value));
  }
  void on_rejected(Ms, ResponseHandle, Ms) override { replies.push_back("rejected"); }
  void on_failed(Ms, ResponseHandle, FailureReason reason) override {
    replies.push_back("failed " + std::to_string(static_cast<int>(reason)));
  }
};

struct Fixture {
  ScriptedPolicy policy;
  FakeTransport transport;
  RecordingHandler handler;
  std::vector<std::string> log_lines;
  Engine engine{policy,
                transport,
                {.max_open_requests = 3,
                 .max_payload_bytes = 25,
                 .deadline_margin_ms = 0,
                 .shutdown_timeout_ms = 500,
                 .shutdown_excused_ms = 100},
                [this](std::string_view what, std::string_view) { log_lines.emplace_back(what); }};
  RequestId request_id = 0;  // of the latest request

  AcceptResult accept(Ms now, std::uint64_t identity = 1, Ms timeout = 100) {
    IncomingRequest incoming;
    incoming.timeout_ms = timeout;
    incoming.identity = identity;
    incoming.payload = std::make_unique<TenBytePayload>();
    return engine.accept(now, handler, {1, identity}, std::move(incoming), request_id);
  }
  void end_attempt(Ms now, AttemptId attempt, Outcome outcome, std::string_view value = {}) {
    transport.in_flight.erase(attempt);
    engine.on_attempt_end(now, attempt, outcome, value, {});
  }
  using Replies = std::vector<std::string>;
};

// Records streamed values: what of them the client has received.
struct StreamingHandler : RecordingHandler {
  std::string received;
  bool holds = false;  // the client receives nothing before the end
  std::optional<CompletionBound> bound;
  void on_value_started(Ms, ResponseHandle, std::size_t size,
                        const std::optional<CompletionBound>& completion_bound) override {
    received = std::to_string(size) + ":";
    bound = completion_bound;
  }
  bool on_value_chunk(Ms, ResponseHandle, std::string_view bytes) override {
    received += bytes;
    return true;
  }
  void on_value_finished(Ms, ResponseHandle) override { replies.push_back(received); }
  bool on_value_withdrawn(Ms, ResponseHandle) override { return holds; }
};

auto send_to(HostId host, RequestId request = 1) {
  return [=](ActionSink& out) { out.send(request, host, 0); };
}

// Checks that `holds` is true on the correct engine and false on one with `fault`.
void expect_guarded(Mutant fault, const std::function<bool(Fixture&)>& holds) {
  {
    Fixture f;
    EXPECT_TRUE(holds(f)) << "without a fault";
  }
  active_mutant = fault;
  {
    Fixture f;
    EXPECT_FALSE(holds(f)) << "the fault does not show";
  }
  active_mutant = Mutant::kNone;
}

TEST(Engine, DiscardsTheReplyOfACancelledAttempt) {
  expect_guarded(Mutant::kServesAbandonedAttempt, [](Fixture& f) {
    f.policy.timer_action = [](ActionSink& out) {
      out.cancel(1, 0);
      out.send(1, 2, 0);
    };
    f.policy.request_action = [](ActionSink& out) {
      out.send(1, 1, 0);
      out.schedule_timer(10, 1);
    };
    f.accept(0);
    const auto first = f.transport.last_attempt;
    f.engine.run_timers(10);
    f.end_attempt(20, first, Outcome::kOk, "late");
    f.end_attempt(30, f.transport.last_attempt, Outcome::kOk, "good");
    return f.handler.replies == Fixture::Replies{"served good"};
  });
}

TEST(Engine, WithdrawsWaitingAttemptsAfterTheReply) {
  expect_guarded(Mutant::kSendsAfterReply, [](Fixture& f) {
    f.policy.request_action = [](ActionSink& out) {
      out.send(1, 1, 0);
      out.send(1, 2, 0);
    };
    f.accept(0);
    f.transport.written.insert(1);
    f.end_attempt(5, 1, Outcome::kOk, "v");  // the policy cancels no attempt
    return f.transport.in_flight.empty() && f.engine.open_count() == 0 && f.policy.attempt_ends.size() == 2;
  });
}

TEST(Engine, ShutdownFailsARequestWithAHedgedAttemptInFlight) {
  expect_guarded(Mutant::kShutdownWithoutReplies, [](Fixture& f) {
    f.policy.request_action = [](ActionSink& out) {
      out.send(1, 1, 0);
      out.send(1, 2, 0);
    };
    f.accept(0, 1, 10'000);
    f.transport.written = {1, 2};
    f.engine.begin_shutdown(1);
    f.engine.fail_all(501);
    const bool answered_once =
        f.handler.replies == Fixture::Replies{"failed 2"} && f.engine.unanswered_count() == 0;
    f.end_attempt(502, 1, Outcome::kOk, "v");
    f.end_attempt(503, 2, Outcome::kOk, "v");
    return answered_once && f.handler.replies.size() == 1 && f.engine.open_count() == 0;
  });
}

TEST(Engine, RepliesOnceWhenDeadlineAndAttemptEndCoincide) {
  for (const bool answer_first : {true, false}) {
    expect_guarded(Mutant::kDuplicateReply, [&](Fixture& f) {
      f.policy.request_action = send_to(1);
      // A policy that replies again on each event.
      f.policy.attempt_end_action = [](const AttemptResult&, ActionSink& out) {
        out.fail(1, RejectionReason::kAttemptsExhausted);
        out.fail(1, RejectionReason::kAttemptsExhausted);
      };
      f.accept(0);
      f.transport.written.insert(1);
      if (answer_first) f.end_attempt(100, 1, Outcome::kOk, "v");
      f.engine.run_timers(100);
      if (!answer_first) f.end_attempt(100, 1, Outcome::kOk, "v");
      return f.handler.replies == Fixture::Replies{answer_first ? "served v" : "failed 0"};
    });
  }
}

TEST(Engine, FailsARequestAtItsDeadlineWithoutADecision) {
  expect_guarded(Mutant::kNoDeadlineTimer, [](Fixture& f) {
    f.accept(0);
    f.engine.run_timers(f.engine.next_timer().value_or(100));
    return f.handler.replies == Fixture::Replies{"failed 1"} && f.engine.open_count() == 0;
  });
}

TEST(Engine, ForgetsARequestWhoseClientDisconnectsAsItsReplyArrives) {
  const auto is_forgotten = [](Fixture& f) {
    return f.engine.unanswered_count() + f.engine.open_count() + f.engine.payload_bytes() == 0 &&
           f.policy.attempt_ends.size() == 1 && f.policy.attempt_ends[0].request_finished;
  };
  expect_guarded(Mutant::kIgnoresClientDisconnect, [&](Fixture& f) {
    f.policy.request_action = send_to(1);
    f.accept(0);
    f.transport.written.insert(1);
    f.engine.on_client_disconnected(5, f.request_id);
    f.end_attempt(5, 1, Outcome::kOk, "v");
    return f.handler.replies.empty() && f.policy.disconnect_count == 1 && is_forgotten(f);
  });
  Fixture f;
  f.policy.request_action = send_to(1);
  f.accept(0);
  f.transport.written.insert(1);
  f.end_attempt(5, 1, Outcome::kOk, "v");
  f.engine.on_client_disconnected(5, f.request_id);
  EXPECT_EQ(f.handler.replies, Fixture::Replies{"served v"});
  EXPECT_EQ(f.policy.disconnect_count, 0);
  EXPECT_TRUE(is_forgotten(f));
}

TEST(Engine, ReleasesAnIdentityWithTheReply) {
  expect_guarded(Mutant::kLeaksIdentity, [](Fixture& f) {
    f.policy.request_action = send_to(1);
    f.accept(0);
    const bool same = f.accept(0) == AcceptResult::kDuplicateIdentity;
    f.end_attempt(5, 1, Outcome::kOk, "v");
    f.policy.request_action = send_to(1, 2);
    return same && f.accept(5) == AcceptResult::kAccepted;
  });
  expect_guarded(Mutant::kAllowsDuplicateIdentity, [](Fixture& f) {
    f.policy.request_action = send_to(1);
    f.accept(0);
    return f.accept(0) == AcceptResult::kDuplicateIdentity;
  });
}

// Guards against effects that happen twice as a client that has left sends its request again: the identity
// stays in use while an attempt is in flight, and for a while if it may have been executed.
TEST(Engine, KeepsTheIdentityOfAnExecutedRequestWhoseClientLeft) {
  for (const Outcome outcome : {Outcome::kOk, Outcome::kConnectionLost, Outcome::kOverloaded}) {
    Fixture f;
    f.policy.request_action = send_to(1);
    f.accept(0);
    f.transport.written.insert(1);
    f.engine.on_client_disconnected(1, f.request_id);
    EXPECT_EQ(f.accept(2), AcceptResult::kDuplicateIdentity);
    f.end_attempt(3, 1, outcome, "v");
    const bool executed = outcome != Outcome::kOverloaded;
    EXPECT_EQ(f.accept(4), executed ? AcceptResult::kDuplicateIdentity : AcceptResult::kAccepted);
    EXPECT_EQ(f.accept(100 + 30'000, 1),
              executed ? AcceptResult::kAccepted : AcceptResult::kDuplicateIdentity);
  }
  Fixture never_sent;
  never_sent.policy.request_action = send_to(1);
  never_sent.accept(0);
  never_sent.engine.on_client_disconnected(1, never_sent.request_id);
  EXPECT_EQ(never_sent.accept(2), AcceptResult::kAccepted);
}

// The memory for such identities is bounded: the oldest are forgotten.
TEST(Engine, RemembersABoundedNumberOfIdentities) {
  Fixture f;
  constexpr std::uint64_t kMaxIdentities = 16'384;
  for (std::uint64_t i = 0; i <= kMaxIdentities; ++i) {
    f.policy.request_action = [i](ActionSink& out) { out.send(i + 1, 1, 0); };
    ASSERT_EQ(f.accept(0, i + 1), AcceptResult::kAccepted);
    f.transport.written.insert(f.transport.last_attempt);
    f.engine.on_client_disconnected(1, f.request_id);
    f.end_attempt(1, f.transport.last_attempt, Outcome::kOk, "v");
  }
  f.policy.request_action = nullptr;
  EXPECT_EQ(f.accept(2, kMaxIdentities + 1), AcceptResult::kDuplicateIdentity);
  EXPECT_EQ(f.accept(2, 1), AcceptResult::kAccepted);
}

TEST(Engine, FailsARequestAtOnceIfThePolicyThrows) {
  expect_guarded(Mutant::kDropsRequestOnPolicyException, [](Fixture& f) {
    f.policy.request_action = [](ActionSink&) { throw std::runtime_error("x"); };
    f.accept(0);
    return f.handler.replies == Fixture::Replies{"failed 3"} && f.engine.open_count() == 0;
  });
}

TEST(Engine, LosesNothingIfThePolicyThrowsInAnyCall) {
  const auto throw_error = [](ActionSink&) { throw std::runtime_error("x"); };
  {  // after it started an attempt: the attempt continues and may serve the request
    Fixture f;
    f.policy.request_action = [](ActionSink& out) {
      out.send(1, 1, 0);
      throw std::runtime_error("x");
    };
    f.accept(0);
    EXPECT_TRUE(f.handler.replies.empty());
    f.end_attempt(5, 1, Outcome::kOk, "v");
    EXPECT_EQ(f.handler.replies, Fixture::Replies{"served v"});
  }
  {  // on the end of the last attempt: no other attempt could answer the request
    Fixture f;
    f.policy.request_action = send_to(1);
    f.policy.attempt_end_action = [](const AttemptResult&, ActionSink&) { throw 7; };
    f.accept(0);
    f.end_attempt(5, 1, Outcome::kConnectionLost);
    EXPECT_EQ(f.handler.replies, Fixture::Replies{"failed 3"});
    EXPECT_EQ(f.engine.open_count(), 0u);
  }
  {  // on the start, on a timer and on a client's disconnect
    Fixture f;
    f.policy.start_action = f.policy.timer_action = f.policy.disconnect_action = throw_error;
    f.engine.start(0);
    f.policy.request_action = [](ActionSink& out) {
      out.send(1, 1, 0);
      out.schedule_timer(5, 1);
    };
    f.accept(0);
    f.engine.run_timers(5);
    f.engine.on_client_disconnected(6, f.request_id);
    f.end_attempt(7, 1, Outcome::kOk, "v");
    EXPECT_TRUE(f.handler.replies.empty());
    EXPECT_EQ(f.engine.open_count(), 0u);
    EXPECT_EQ(f.log_lines.size(), 3u);
  }
  expect_guarded(Mutant::kNoRetirementOnPolicyException, [&](Fixture& f) {
    f.policy.host_list_action = throw_error;
    f.policy.request_action = send_to(1);
    const HostEntry draining{1, HostState::kDraining, 0, 0, 0, 0, 1};
    f.engine.on_host_list(0, HostListUpdate::kDelta, std::span(&draining, 1));
    f.accept(1);
    return f.transport.in_flight.empty() && f.policy.attempt_ends.size() == 1 &&
           f.policy.attempt_ends[0].outcome == Outcome::kConnectFailed;
  });
}

TEST(Engine, IgnoresInvalidActionsOfThePolicy) {
  Fixture f;
  f.policy.request_action = [](ActionSink& out) {
    out.reject(1, 10, RejectionReason::kLoadShed);
    out.fail(1, RejectionReason::kAttemptsExhausted);
    out.reject(1, 10, RejectionReason::kLoadShed);
    out.send(1, 1, 0);
    out.cancel(1, 0);
    out.cancel(1, 99);
    out.send(77, 1, 0);
    out.cancel(77, 0);
    out.schedule_timer(-5, 1);
    out.schedule_timer(0.0 / 0.0, 1);
  };
  f.accept(0);
  EXPECT_EQ(f.handler.replies, Fixture::Replies{"rejected"});
  // Each reply counts once, under the reason that came first.
  const auto& rejections = f.engine.rejection_metrics().by_reason;
  EXPECT_EQ(rejections[static_cast<std::size_t>(RejectionReason::kLoadShed)], 1u);
  EXPECT_EQ(rejections[static_cast<std::size_t>(RejectionReason::kAttemptsExhausted)], 0u);
  EXPECT_TRUE(f.transport.in_flight.empty());
  ASSERT_EQ(f.policy.attempt_ends.size(), 1u);  // the attempt was never started
  EXPECT_EQ(f.policy.attempt_ends[0].outcome, Outcome::kNotSent);
  EXPECT_EQ(f.engine.open_count(), 0u);
}

TEST(Engine, ReportsEachAttemptEndOnceAndLocalShortageAsNotSent) {
  expect_guarded(Mutant::kReportsAttemptEndTwice, [](Fixture& f) {
    f.policy.request_action = send_to(1);
    f.accept(0);
    f.end_attempt(5, 1, Outcome::kOk, "v");
    return f.policy.attempt_ends.size() == 1;
  });
  for (const auto answer : {StartResult::kNoLocalCapacity, StartResult::kHostUnavailable}) {
    Fixture f;
    f.transport.start_result = answer;
    f.policy.request_action = send_to(1);
    f.accept(0);
    ASSERT_EQ(f.policy.attempt_ends.size(), 1u);
    EXPECT_EQ(f.policy.attempt_ends[0].outcome,
              answer == StartResult::kHostUnavailable ? Outcome::kConnectFailed : Outcome::kNotSent);
  }
}

TEST(Engine, KeepsItsLimits) {
  Fixture f;  // limits: three open requests and 25 bytes; each request has ten
  f.policy.request_action = nullptr;
  EXPECT_EQ(f.accept(0, 1), AcceptResult::kAccepted);
  EXPECT_EQ(f.accept(0, 2), AcceptResult::kAccepted);
  EXPECT_EQ(f.accept(0, 3), AcceptResult::kNoCapacity);  // over the limit on bytes
  f.engine.on_client_disconnected(1, 1);
  EXPECT_EQ(f.accept(1, 3), AcceptResult::kAccepted);
  // Timers of finished requests do not accumulate.
  for (std::uint64_t i = 10; i < 20'000; ++i) {
    f.engine.on_client_disconnected(2, f.request_id);
    ASSERT_EQ(f.accept(2, i, 60'000), AcceptResult::kAccepted);
    f.engine.next_timer();
    ASSERT_LT(f.engine.timer_count(), 4000u);
  }
}

// A request of which attempt 1 has streamed "abcd" of "abcdefgh" in a shutdown that began at 10 and ends at
// 510.
struct ValueInShutdown : Fixture {
  StreamingHandler client;
  explicit ValueInShutdown(Ms accepted_at, bool holds = false) {
    client.holds = holds;
    policy.request_action = send_to(5);
    if (accepted_at >= 10) engine.begin_shutdown(10);
    IncomingRequest incoming;
    incoming.timeout_ms = 10'000;
    incoming.identity = 1;
    incoming.payload = std::make_unique<TenBytePayload>();
    engine.accept(accepted_at, client, {1, 1}, std::move(incoming), request_id);
    if (accepted_at < 10) engine.begin_shutdown(10);
    engine.on_value_started(accepted_at + 10, 1, 8);
    engine.on_value_chunk(accepted_at + 10, 1, "abcd");
  }
};

// Guards against values that the end of a shutdown cuts off while their hosts give them.
TEST(Engine, AtItsDeadlineAShutdownCutsNoValueThatIsPassedOn) {
  for (const Ms accepted_at : {0.0, 50.0, 300.0}) {
    ValueInShutdown f(accepted_at);
    f.engine.fail_unbegun(510);
    EXPECT_TRUE(f.client.replies.empty());
    f.engine.on_value_chunk(600, 1, "efgh");
    f.end_attempt(600, 1, Outcome::kOk);
    EXPECT_EQ(f.client.replies, Fixture::Replies{"8:abcdefgh"});
    EXPECT_EQ(f.engine.open_count(), 0u);
  }
}

TEST(Engine, AtItsDeadlineAShutdownFailsAValueOfWhichItsClientHasNothing) {
  for (const Ms accepted_at : {0.0, 50.0, 300.0}) {
    ValueInShutdown f(accepted_at, true);
    f.engine.fail_unbegun(510);
    EXPECT_EQ(f.client.replies, Fixture::Replies{"failed 2"});
    EXPECT_EQ(f.engine.unanswered_count(), 0u);
  }
}

// What SIGKILL finds of a late request is lost; what ends because its host hangs has failed.
TEST(Engine, AtItsDeadlineAShutdownEndsAPausedValueOfALateRequestOnly) {
  for (const Ms accepted_at : {0.0, 50.0, 300.0}) {
    ValueInShutdown f(accepted_at);
    f.engine.on_value_paused(500, 1);
    f.engine.fail_unbegun(510);
    EXPECT_EQ(f.client.replies.size(), accepted_at == 300 ? 1u : 0u) << accepted_at;
  }
}

TEST(Engine, AValueThatStartsInAShutdownIsBoundByItsDeadline) {
  const ValueInShutdown before(0), early(50), late(300);
  for (const auto* f : {&before, &early, &late}) {
    ASSERT_TRUE(f->client.bound);
    EXPECT_EQ(f->client.bound->deadline, 510);
    EXPECT_EQ(f->client.bound->is_cut_excused, f != &late);
  }
}

TEST(Engine, AValueThatWouldComeTooLateFailsUnlessItsClientHasPart) {
  ValueInShutdown held(300, true);
  held.engine.fail_late_value(320, held.request_id);
  EXPECT_EQ(held.client.replies, Fixture::Replies{"failed 2"});
  held.engine.fail_late_value(330, held.request_id);
  EXPECT_EQ(held.client.replies.size(), 1u);

  ValueInShutdown passed_on(300);
  passed_on.engine.fail_late_value(320, passed_on.request_id);
  EXPECT_TRUE(passed_on.client.replies.empty());
}

// A request of which attempt 1 has streamed "abcd" of "abcdefgh" when its host paused, and attempt 2 is out.
struct PausedValue : Fixture {
  StreamingHandler client;
  explicit PausedValue(bool holds = false) {
    client.holds = holds;
    policy.request_action = send_to(5);
    policy.stream_paused_action = send_to(6);
    IncomingRequest incoming;
    incoming.timeout_ms = 100;
    incoming.identity = 1;
    incoming.payload = std::make_unique<TenBytePayload>();
    engine.accept(0, client, {1, 1}, std::move(incoming), request_id);
    engine.on_value_started(1, 1, 8);
    engine.on_value_chunk(1, 1, "abcd");
    engine.on_value_paused(2, 1);
    EXPECT_EQ(transport.hosts[2], 6u);
  }
  void stream(Ms now, AttemptId attempt, const std::string& value, std::size_t step) {
    engine.on_value_started(now, attempt, value.size());
    for (std::size_t at = 0; at < value.size(); at += step) {
      engine.on_value_chunk(now, attempt, std::string_view(value).substr(at, step));
    }
  }
};

TEST(Engine, AValueOutsideAShutdownHasNoBound) {
  const PausedValue f;
  EXPECT_FALSE(f.client.bound);
}

// Guards against values that mix two hosts' bytes, or that lose or repeat some where another host continues.
TEST(Engine, ContinuesAPausedValueWithAnotherHostsEqualOne) {
  for (std::size_t step = 1; step <= 8; ++step) {
    PausedValue f;
    f.stream(3, 2, "abcdefgh", step);
    EXPECT_EQ(f.policy.streams_started, (std::vector<std::uint32_t>{0, 1}));
    f.engine.on_value_chunk(4, 1, "XXXX");  // the first host goes on too late
    f.end_attempt(5, 2, Outcome::kOk);
    f.end_attempt(6, 1, Outcome::kConnectionLost);
    EXPECT_EQ(f.client.replies, Fixture::Replies{"8:abcdefgh"});
    EXPECT_EQ(f.engine.value_metrics().continued, 1u);
  }
}

TEST(Engine, DoesNotContinueAPausedValueWithADifferentOne) {
  for (const std::string other : {"abcXefgh", "abcdefghi", "Xbcdefgh"}) {
    for (std::size_t step = 1; step <= 8; ++step) {
      PausedValue f;
      f.stream(3, 2, other, step);
      f.end_attempt(4, 2, Outcome::kOk);
      EXPECT_TRUE(f.client.replies.empty());
      f.engine.on_value_chunk(5, 1, "efgh");
      f.end_attempt(5, 1, Outcome::kOk);
      EXPECT_EQ(f.client.replies, Fixture::Replies{"8:abcdefgh"});
      EXPECT_EQ(f.engine.value_metrics().differed, 1u);
    }
  }
}

TEST(Engine, AHostThatGoesOnMovesTheEndThatAnotherMustReach) {
  PausedValue f;
  f.engine.on_value_started(3, 2, 8);
  f.engine.on_value_chunk(3, 2, "abc");
  f.engine.on_value_chunk(4, 1, "ef");
  f.engine.on_value_chunk(5, 2, "def");
  f.engine.on_value_chunk(6, 2, "gh");
  f.end_attempt(7, 2, Outcome::kOk);
  EXPECT_EQ(f.client.replies, Fixture::Replies{"8:abcdefgh"});
}

// Guards against a request without a final reply, or with two, if the first host breaks meanwhile.
TEST(Engine, APausedValueThatBreaksWaitsForTheOtherAttempt) {
  PausedValue continued;
  continued.end_attempt(3, 1, Outcome::kConnectionLost);
  EXPECT_TRUE(continued.client.replies.empty());
  continued.stream(4, 2, "abcdefgh", 3);
  continued.end_attempt(5, 2, Outcome::kOk);
  EXPECT_EQ(continued.client.replies, Fixture::Replies{"8:abcdefgh"});

  PausedValue different;
  different.stream(3, 2, "Xbcdefgh", 8);
  different.end_attempt(4, 1, Outcome::kConnectionLost);
  different.end_attempt(5, 2, Outcome::kOk);
  EXPECT_EQ(different.client.replies.size(), 1u);
  EXPECT_EQ(different.client.replies.at(0).substr(0, 6), "failed");
  EXPECT_EQ(different.engine.open_count(), 0u);

  PausedValue overdue;
  overdue.end_attempt(3, 1, Outcome::kConnectionLost);
  overdue.engine.run_timers(100);
  EXPECT_EQ(overdue.client.replies.size(), 1u);
  EXPECT_EQ(overdue.engine.open_count(), 0u);
}

TEST(Engine, ReplacesAPausedValueOfWhichTheClientHasNothing) {
  PausedValue longer(true);
  longer.stream(3, 2, "another value", 4);
  longer.end_attempt(4, 2, Outcome::kOk);
  EXPECT_EQ(longer.client.replies, Fixture::Replies{"13:another value"});
  PausedValue shorter(true);
  shorter.end_attempt(3, 2, Outcome::kOk, "short");
  EXPECT_EQ(shorter.client.replies, Fixture::Replies{"served short"});
}

// Guards against requests that end long after their time, and against values that are cut by it.
TEST(Engine, ADeadlineEndsAPausedValueOnlyIfTheClientHasNothing) {
  for (const bool holds : {true, false}) {
    PausedValue f(holds);
    f.end_attempt(3, 2, Outcome::kOverloaded);
    f.engine.run_timers(100);
    EXPECT_EQ(f.client.replies.size(), holds ? 1u : 0u);
    EXPECT_EQ(f.transport.in_flight.contains(1), !holds);
  }
}

TEST(Engine, ServesTwoFrontEnds) {
  Fixture f;
  RecordingHandler other;
  f.policy.request_action = send_to(1, 1);
  f.accept(0, 1);
  f.policy.request_action = send_to(1, 2);
  IncomingRequest incoming;
  incoming.timeout_ms = 100;
  incoming.identity = 2;
  incoming.payload = std::make_unique<TenBytePayload>();
  RequestId request_id = 0;
  ASSERT_EQ(f.engine.accept(0, other, {9, 9}, std::move(incoming), request_id), AcceptResult::kAccepted);
  f.end_attempt(1, 2, Outcome::kOk, "theirs");
  f.end_attempt(1, 1, Outcome::kOk, "ours");
  EXPECT_EQ(f.handler.replies, Fixture::Replies{"served ours"});
  EXPECT_EQ(other.replies, Fixture::Replies{"served theirs"});
}

// ---- the attempt rules, whatever the policy decides ----

AdmissionSettings settings_for(Idempotency idempotency) {
  AdmissionSettings settings;
  settings.classes = {{.deadline_ms = 5000,
                       .idempotency = idempotency,
                       .idempotency_scope = IdempotencyScope::kZone,
                       .idempotency_key_ttl_ms = 1000}};
  settings.hedging_allowed = true;
  settings.max_attempts = 4;
  return settings;
}

// Lists hosts 1 and 2 in one zone, and 3 in another.
void list_hosts(Engine& engine, Ms now) {
  std::vector<HostEntry> entries;
  for (const HostId id : {1, 2, 3}) entries.push_back({.id = id, .zone = id / 3, .cell = 0});
  engine.on_host_list(now, HostListUpdate::kSnapshot, entries);
}

std::uint64_t prevented_decisions(const Engine& engine, AttemptVerdict verdict) {
  return engine.rule_metrics().decisions[static_cast<std::size_t>(verdict)];
}
std::uint64_t prevented_first_bytes(const Engine& engine, AttemptVerdict verdict) {
  return engine.rule_metrics().first_bytes[static_cast<std::size_t>(verdict)];
}

TEST(AttemptRules, PreventAndCountAnUnsafeRetry) {
  const std::pair<AdmissionSettings, AttemptVerdict> cases[] = {
      {settings_for(Idempotency::kNonIdempotent), AttemptVerdict::kMayHaveExecuted},
      {settings_for(Idempotency::kIdempotencyKey), AttemptVerdict::kOutOfScope},
      {settings_for(Idempotency::kIdempotent), AttemptVerdict::kAllowed},
  };
  for (const auto& [settings, verdict] : cases) {
    Fixture f;
    f.engine.update_settings(settings);
    list_hosts(f.engine, 0);
    f.policy.request_action = send_to(1);
    f.policy.attempt_end_action = [](const AttemptResult& end, ActionSink& out) {
      if (end.attempt == 0) out.send(1, 3, 0);
    };
    f.accept(0, 1, 5000);
    f.end_attempt(10, f.transport.last_attempt, Outcome::kConnectionLost);
    EXPECT_EQ(f.transport.hosts.size(), verdict == AttemptVerdict::kAllowed ? 2u : 1u);
    EXPECT_EQ(prevented_decisions(f.engine, verdict), verdict == AttemptVerdict::kAllowed ? 0u : 1u);
  }
}

TEST(AttemptRules, TurnARejectionIntoAFailureIfAnAttemptMayHaveExecuted) {
  for (const bool may_have_executed : {false, true}) {
    Fixture f;
    f.engine.update_settings(settings_for(Idempotency::kNonIdempotent));
    list_hosts(f.engine, 0);
    f.policy.request_action = send_to(1);
    f.policy.attempt_end_action = [](const AttemptResult&, ActionSink& out) {
      out.reject(1, 0, RejectionReason::kAttemptsExhausted);
    };
    f.accept(0, 1, 5000);
    f.end_attempt(10, f.transport.last_attempt,
                  may_have_executed ? Outcome::kConnectionLost : Outcome::kOverloaded);
    EXPECT_EQ(f.handler.replies, Fixture::Replies{may_have_executed ? "failed 0" : "rejected"});
    EXPECT_EQ(f.engine.rule_metrics().rejections, may_have_executed ? 1u : 0u);
  }
}

// One request whose attempt is waiting for its connection.
struct WaitingAttempt : Fixture {
  explicit WaitingAttempt(const AdmissionSettings& settings = settings_for(Idempotency::kIdempotencyKey)) {
    engine.update_settings(settings);
    list_hosts(engine, 0);
    transport.connecting = true;
    policy.request_action = send_to(1);
    accept(0, 1, 5000);
  }
  std::optional<Ms> write_first_byte(Ms now) { return engine.may_write(now, 1, false); }
};

TEST(AttemptRules, ReturnTheRemainingTimeAtTheFirstByte) {
  WaitingAttempt f;
  EXPECT_EQ(f.write_first_byte(1200), Ms{3800});
}

TEST(AttemptRules, PreventTheFirstByteToARemovedOrRestartedHost) {
  WaitingAttempt removed;
  const HostEntry removal = HostEntry::removed(1);
  removed.engine.on_host_list(5, HostListUpdate::kDelta, {&removal, 1});
  EXPECT_EQ(removed.write_first_byte(10), std::nullopt);
  EXPECT_EQ(prevented_first_bytes(removed.engine, AttemptVerdict::kNotListed), 1u);

  WaitingAttempt restarted;
  const HostEntry restart{.id = 1, .started_at = 4, .zone = 0, .cell = 0};
  restarted.engine.on_host_list(5, HostListUpdate::kDelta, {&restart, 1});
  EXPECT_EQ(restarted.write_first_byte(10), std::nullopt);
  EXPECT_EQ(prevented_first_bytes(restarted.engine, AttemptVerdict::kHostRestarted), 1u);
}

TEST(AttemptRules, PreventTheFirstByteAfterTheDeadline) {
  WaitingAttempt f;
  EXPECT_EQ(f.write_first_byte(5000), std::nullopt);
  EXPECT_EQ(prevented_first_bytes(f.engine, AttemptVerdict::kDeadlineExceeded), 1u);
}

// The hedged request is written while the first attempt still waits. The attempt that is written second
// counts as the retry, even if it was decided on first.
TEST(AttemptRules, HoldAWaitingAttemptToAHedgedRequestWrittenMeanwhile) {
  const std::pair<Ms, std::optional<AttemptVerdict>> cases[] = {{300, {}},
                                                                {1500, AttemptVerdict::kKeyExpired}};
  for (const auto& [now, verdict] : cases) {
    WaitingAttempt f;
    f.transport.connecting = false;
    f.policy.host_list_action = send_to(2);
    list_hosts(f.engine, 1);  // an event on which the policy sends its hedged request
    ASSERT_EQ(f.transport.hosts.size(), 2u);
    EXPECT_EQ(f.write_first_byte(now).has_value(), !verdict);
    if (!verdict) continue;
    EXPECT_EQ(prevented_first_bytes(f.engine, *verdict), 1u);
  }
}

}  // namespace
}  // namespace cometfold::engine
