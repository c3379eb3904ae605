// The engine's own promises, whatever its module does. Each hard case is played twice: by the engine as it
// is, and by one with the fault that the case guards against, which must show.
#include "engine/engine.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <stdexcept>

#include "engine/faults.h"
#include "explore/explorer.h"

namespace cometfold::engine {
namespace {

struct Bytes : Payload {
  std::size_t bytes() const override { return 10; }
};

// A module that does what a test says, call by call.
struct Scripted : AdmissionPolicy {
  std::function<void(ActionSink&)> asked, told_list, gone, timer, started;
  std::function<void(const AttemptResult&, ActionSink&)> ended;
  std::vector<AttemptResult> ends;
  int gones = 0;
  void start(Ms, ActionSink& out) override { run(started, out); }
  void on_host_list(Ms, HostListUpdate, std::span<const HostEntry>, ActionSink& out) override {
    run(told_list, out);
  }
  void on_request(Ms, const Request&, ActionSink& out) override { run(asked, out); }
  void on_attempt_end(Ms, const AttemptResult& e, ActionSink& out) override {
    ends.push_back(e);
    if (ended) ended(e, out);
  }
  void on_client_disconnected(Ms, RequestId, ActionSink& out) override {
    ++gones;
    run(gone, out);
  }
  void on_timer(Ms, std::uint64_t, ActionSink& out) override { run(timer, out); }
  static void run(const std::function<void(ActionSink&)>& what, ActionSink& out) {
    if (what) what(out);
  }
};

struct Wire : UpstreamTransport {
  std::set<AttemptId> out, written;
  std::set<HostId> retired;
  std::map<AttemptId, HostId> to;
  AttemptId last = 0;
  StartResult answer = StartResult::kStarted;
  bool connecting = false;  // what is started waits for its connection
  bool awaits_first_byte(AttemptId) const override { return connecting; }
  StartResult start(Ms, AttemptId a, HostId h, const Payload&, Ms) override {
    if (retired.contains(h)) return StartResult::kHostUnavailable;
    if (answer == StartResult::kStarted) out.insert(last = a), to[a] = h;
    return answer;
  }
  bool abandon(Ms, AttemptId a) override {
    out.erase(a);
    return true;
  }
  bool withdraw(Ms, AttemptId a) override { return !written.contains(a) && out.erase(a) > 0; }
  void retire_host(Ms, HostId h) override { retired.insert(h); }
};

struct Door : DownstreamHandler {
  std::vector<std::string> said;
  void on_served(Ms, ResponseHandle, std::string_view value) override {
    said.push_back("served " + std::string(value));
  }
  void on_rejected(Ms, ResponseHandle, Ms) override { said.push_back("refused"); }
  void on_failed(Ms, ResponseHandle, FailureReason why) override {
    said.push_back("failed " + std::to_string(int(why)));
  }
};

struct Fixture {
  Scripted module;
  Wire wire;
  Door door;
  std::vector<std::string> notes;
  Engine engine{
      module,
      wire,
      {.max_open_requests = 3, .max_payload_bytes = 25, .deadline_margin_ms = 0, .shutdown_timeout_ms = 500},
      [this](std::string_view what, std::string_view) { notes.emplace_back(what); }};
  RequestId name = 0;

  AcceptResult take(Ms now, std::uint64_t identity = 1, Ms wait = 100) {
    IncomingRequest ask;
    ask.timeout_ms = wait;
    ask.identity = identity;
    ask.payload = std::make_unique<Bytes>();
    return engine.accept(now, door, {1, identity}, std::move(ask), name);
  }
  void end(Ms now, AttemptId a, Outcome outcome, std::string_view value = {}) {
    wire.out.erase(a);
    engine.on_attempt_end(now, a, outcome, value, {});
  }
  using Said = std::vector<std::string>;
};

auto send_to(HostId host, RequestId r = 1) {
  return [=](ActionSink& out) { out.send(r, host, 0); };
}

// Runs `play` on the engine as it is, where it must hold, and on one with `error`, where it must not.
void guarded(Mutant fault, const std::function<bool(Fixture&)>& holds) {
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

TEST(Engine, ALateAnswerAfterARetryGoesNowhere) {
  guarded(Mutant::kServesLateAnswer, [](Fixture& f) {
    f.module.timer = [](ActionSink& out) {
      out.cancel(1, 0);
      out.send(1, 2, 0);
    };
    f.module.asked = [](ActionSink& out) {
      out.send(1, 1, 0);
      out.schedule_timer(10, 1);
    };
    f.take(0);
    const auto first = f.wire.last;
    f.engine.run_timers(10);
    f.end(20, first, Outcome::kOk, "late");
    f.end(30, f.wire.last, Outcome::kOk, "good");
    return f.door.said == Fixture::Said{"served good"};
  });
}

TEST(Engine, WhatStillWaitsIsWithdrawnWhenTheAnswerIsOut) {
  guarded(Mutant::kSendsAfterAnswer, [](Fixture& f) {
    f.module.asked = [](ActionSink& out) {
      out.send(1, 1, 0);
      out.send(1, 2, 0);
    };
    f.take(0);
    f.wire.written.insert(1);
    f.end(5, 1, Outcome::kOk, "v");  // the module cancels nothing
    return f.wire.out.empty() && f.engine.open_count() == 0 && f.module.ends.size() == 2;
  });
}

TEST(Engine, AStopAnswersWhileASecondCopyIsOut) {
  guarded(Mutant::kStopsWithoutSettling, [](Fixture& f) {
    f.module.asked = [](ActionSink& out) {
      out.send(1, 1, 0);
      out.send(1, 2, 0);
    };
    f.take(0, 1, 10'000);
    f.wire.written = {1, 2};
    f.engine.begin_shutdown(1);
    f.engine.fail_all(501);
    const bool once = f.door.said == Fixture::Said{"failed 2"} && f.engine.unanswered_count() == 0;
    f.end(502, 1, Outcome::kOk, "v");
    f.end(503, 2, Outcome::kOk, "v");
    return once && f.door.said.size() == 1 && f.engine.open_count() == 0;
  });
}

TEST(Engine, ADeadlineAndAnAnswerAtOneInstantGiveOneAnswerInEitherOrder) {
  for (const bool answer_first : {true, false}) {
    guarded(Mutant::kAnswersTwice, [&](Fixture& f) {
      f.module.asked = send_to(1);
      // A module that answers again, whatever it is told.
      f.module.ended = [](const AttemptResult&, ActionSink& out) {
        out.fail(1, RejectionReason::kAttemptsExhausted);
        out.fail(1, RejectionReason::kAttemptsExhausted);
      };
      f.take(0);
      f.wire.written.insert(1);
      if (answer_first) f.end(100, 1, Outcome::kOk, "v");
      f.engine.run_timers(100);
      if (!answer_first) f.end(100, 1, Outcome::kOk, "v");
      return f.door.said == Fixture::Said{answer_first ? "served v" : "failed 0"};
    });
  }
}

TEST(Engine, EachRequestIsAnsweredAtItsDeadlineThoughTheModuleDoesNothing) {
  guarded(Mutant::kForgetsDeadline, [](Fixture& f) {
    f.take(0);
    f.engine.run_timers(f.engine.next_timer().value_or(100));
    return f.door.said == Fixture::Said{"failed 1"} && f.engine.open_count() == 0;
  });
}

TEST(Engine, AClientGoneInTheBatchOfItsAnswerIsOwedNothingInEitherOrder) {
  const auto nothing_left = [](Fixture& f) {
    return f.engine.unanswered_count() + f.engine.open_count() + f.engine.payload_bytes() == 0 &&
           f.module.ends.size() == 1 && f.module.ends[0].request_finished;
  };
  guarded(Mutant::kLosesGoneClient, [&](Fixture& f) {
    f.module.asked = send_to(1);
    f.take(0);
    f.wire.written.insert(1);
    f.engine.on_client_disconnected(5, f.name);
    f.end(5, 1, Outcome::kOk, "v");
    return f.door.said.empty() && f.module.gones == 1 && nothing_left(f);
  });
  Fixture f;
  f.module.asked = send_to(1);
  f.take(0);
  f.wire.written.insert(1);
  f.end(5, 1, Outcome::kOk, "v");
  f.engine.on_client_disconnected(5, f.name);
  EXPECT_EQ(f.door.said, Fixture::Said{"served v"});
  EXPECT_EQ(f.module.gones, 0);
  EXPECT_TRUE(nothing_left(f));
}

TEST(Engine, AnIdIsFreeRightAfterItsAnswer) {
  guarded(Mutant::kKeepsIdentity, [](Fixture& f) {
    f.module.asked = send_to(1);
    f.take(0);
    const bool same = f.take(0) == AcceptResult::kDuplicateIdentity;
    f.end(5, 1, Outcome::kOk, "v");
    f.module.asked = send_to(1, 2);
    return same && f.take(5) == AcceptResult::kAccepted;
  });
  guarded(Mutant::kSharesIdentity, [](Fixture& f) {
    f.module.asked = send_to(1);
    f.take(0);
    return f.take(0) == AcceptResult::kDuplicateIdentity;
  });
}

TEST(Engine, AThrowOnARequestIsAnsweredAtOnce) {
  guarded(Mutant::kLosesThrownRequest, [](Fixture& f) {
    f.module.asked = [](ActionSink&) { throw std::runtime_error("x"); };
    f.take(0);
    return f.door.said == Fixture::Said{"failed 3"} && f.engine.open_count() == 0;
  });
}

TEST(Engine, AThrowInAnyCallLosesNothing) {
  const auto boom = [](ActionSink&) { throw std::runtime_error("x"); };
  {  // after a send: the attempt goes on and may answer
    Fixture f;
    f.module.asked = [](ActionSink& out) {
      out.send(1, 1, 0);
      throw std::runtime_error("x");
    };
    f.take(0);
    EXPECT_TRUE(f.door.said.empty());
    f.end(5, 1, Outcome::kOk, "v");
    EXPECT_EQ(f.door.said, Fixture::Said{"served v"});
  }
  {  // told of the last end: nothing can come any more
    Fixture f;
    f.module.asked = send_to(1);
    f.module.ended = [](const AttemptResult&, ActionSink&) { throw 7; };
    f.take(0);
    f.end(5, 1, Outcome::kConnectionLost);
    EXPECT_EQ(f.door.said, Fixture::Said{"failed 3"});
    EXPECT_EQ(f.engine.open_count(), 0u);
  }
  {  // at a start, on a timer, and told that a client has gone
    Fixture f;
    f.module.started = f.module.timer = f.module.gone = boom;
    f.engine.start(0);
    f.module.asked = [](ActionSink& out) {
      out.send(1, 1, 0);
      out.schedule_timer(5, 1);
    };
    f.take(0);
    f.engine.run_timers(5);
    f.engine.on_client_disconnected(6, f.name);
    f.end(7, 1, Outcome::kOk, "v");
    EXPECT_TRUE(f.door.said.empty());
    EXPECT_EQ(f.engine.open_count(), 0u);
    EXPECT_EQ(f.notes.size(), 3u);
  }
  guarded(Mutant::kSkipsRetireOnThrow, [&](Fixture& f) {
    f.module.told_list = boom;
    f.module.asked = send_to(1);
    const HostEntry drains{1, HostState::kDraining, 0, 0, 0, 0, 1};
    f.engine.on_host_list(0, HostListUpdate::kDelta, std::span(&drains, 1));
    f.take(1);
    return f.wire.out.empty() && f.module.ends.size() == 1 &&
           f.module.ends[0].outcome == Outcome::kConnectFailed;
  });
}

TEST(Engine, WhatAModuleMayNotDoDoesNothing) {
  Fixture f;
  f.module.asked = [](ActionSink& out) {
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
  f.take(0);
  EXPECT_EQ(f.door.said, Fixture::Said{"refused"});
  const auto& causes =
      f.engine.rejection_metrics().by_reason;  // each answer counts once, by the reason that came first
  EXPECT_EQ(causes[static_cast<std::size_t>(RejectionReason::kLoadShed)], 1u);
  EXPECT_EQ(causes[static_cast<std::size_t>(RejectionReason::kAttemptsExhausted)], 0u);
  EXPECT_TRUE(f.wire.out.empty());
  ASSERT_EQ(f.module.ends.size(), 1u);  // of the send, which never went
  EXPECT_EQ(f.module.ends[0].outcome, Outcome::kNotSent);
  EXPECT_EQ(f.engine.open_count(), 0u);
}

TEST(Engine, AnEndIsToldOnceAndWhatIsShortHereIsNotBlamedOnAHost) {
  guarded(Mutant::kReportsEndTwice, [](Fixture& f) {
    f.module.asked = send_to(1);
    f.take(0);
    f.end(5, 1, Outcome::kOk, "v");
    return f.module.ends.size() == 1;
  });
  for (const auto answer : {StartResult::kNoLocalCapacity, StartResult::kHostUnavailable}) {
    Fixture f;
    f.wire.answer = answer;
    f.module.asked = send_to(1);
    f.take(0);
    ASSERT_EQ(f.module.ends.size(), 1u);
    EXPECT_EQ(f.module.ends[0].outcome,
              answer == StartResult::kHostUnavailable ? Outcome::kConnectFailed : Outcome::kNotSent);
  }
}

TEST(Engine, HoldsNoMoreThanItsLimits) {
  Fixture f;  // three open, 25 bytes, ten each
  f.module.asked = nullptr;
  EXPECT_EQ(f.take(0, 1), AcceptResult::kAccepted);
  EXPECT_EQ(f.take(0, 2), AcceptResult::kAccepted);
  EXPECT_EQ(f.take(0, 3), AcceptResult::kNoCapacity);  // by bytes
  f.engine.on_client_disconnected(1, 1);
  EXPECT_EQ(f.take(1, 3), AcceptResult::kAccepted);
  // Timers of requests that are done do not pile up.
  for (std::uint64_t i = 10; i < 20'000; ++i) {
    f.engine.on_client_disconnected(2, f.name);
    ASSERT_EQ(f.take(2, i, 60'000), AcceptResult::kAccepted);
    f.engine.next_timer();
    ASSERT_LT(f.engine.timer_count(), 4000u);
  }
}

TEST(Engine, TwoFrontEndsShareIt) {
  Fixture f;
  Door other;
  f.module.asked = send_to(1, 1);
  f.take(0, 1);
  f.module.asked = send_to(1, 2);
  IncomingRequest ask;
  ask.timeout_ms = 100;
  ask.identity = 2;
  ask.payload = std::make_unique<Bytes>();
  RequestId name = 0;
  ASSERT_EQ(f.engine.accept(0, other, {9, 9}, std::move(ask), name), AcceptResult::kAccepted);
  f.end(1, 2, Outcome::kOk, "theirs");
  f.end(1, 1, Outcome::kOk, "ours");
  EXPECT_EQ(f.door.said, Fixture::Said{"served ours"});
  EXPECT_EQ(other.said, Fixture::Said{"served theirs"});
}

// ---- the rules of sending, whatever the module decides ----

AdmissionSettings terms(Idempotency repeat, bool second_copies = true) {
  AdmissionSettings s;
  s.classes = {{.deadline_ms = 5000,
                .idempotency = repeat,
                .idempotency_scope = IdempotencyScope::kZone,
                .idempotency_key_ttl_ms = 1000}};
  s.hedging_allowed = second_copies;
  s.max_attempts = 4;
  return s;
}

// Hosts 1 and 2 of one zone, 3 of another.
void tell_hosts(Engine& engine, Ms now) {
  std::vector<HostEntry> list;
  for (const HostId id : {1, 2, 3}) list.push_back({.id = id, .zone = id / 3, .cell = 0});
  engine.on_host_list(now, HostListUpdate::kSnapshot, list);
}

std::uint64_t decisions_stopped(const Engine& engine, AttemptVerdict why) {
  return engine.rule_metrics().decisions[static_cast<std::size_t>(why)];
}
std::uint64_t first_bytes_stopped(const Engine& engine, AttemptVerdict why) {
  return engine.rule_metrics().first_bytes[static_cast<std::size_t>(why)];
}

TEST(SendRules, ADecisionToRepeatWhatMayHaveRunIsStoppedAndCounted) {
  const std::pair<AdmissionSettings, AttemptVerdict> cases[] = {
      {terms(Idempotency::kNonIdempotent), AttemptVerdict::kMayHaveExecuted},
      {terms(Idempotency::kIdempotencyKey), AttemptVerdict::kOutOfScope},
      {terms(Idempotency::kIdempotent), AttemptVerdict::kAllowed},
  };
  for (const auto& [settings, verdict] : cases) {
    Fixture f;
    f.engine.set_rules(settings);
    tell_hosts(f.engine, 0);
    f.module.asked = send_to(1);
    f.module.ended = [](const AttemptResult& end, ActionSink& out) {
      if (end.attempt == 0) out.send(1, 3, 0);
    };
    f.take(0, 1, 5000);
    f.end(10, f.wire.last, Outcome::kConnectionLost);
    EXPECT_EQ(f.wire.to.size(), verdict == AttemptVerdict::kAllowed ? 2u : 1u);
    EXPECT_EQ(decisions_stopped(f.engine, verdict), verdict == AttemptVerdict::kAllowed ? 0u : 1u);
  }
}

TEST(SendRules, ARefusalOfWhatMayHaveRunIsAFailure) {
  for (const bool ran : {false, true}) {
    Fixture f;
    f.engine.set_rules(terms(Idempotency::kNonIdempotent));
    tell_hosts(f.engine, 0);
    f.module.asked = send_to(1);
    f.module.ended = [](const AttemptResult&, ActionSink& out) {
      out.reject(1, 0, RejectionReason::kAttemptsExhausted);
    };
    f.take(0, 1, 5000);
    f.end(10, f.wire.last, ran ? Outcome::kConnectionLost : Outcome::kOverloaded);
    EXPECT_EQ(f.door.said, Fixture::Said{ran ? "failed 0" : "refused"});
    EXPECT_EQ(f.engine.rule_metrics().rejections, ran ? 1u : 0u);
  }
}

// An attempt is decided on and waits for its connection, something happens, and its first byte would go out.
struct Waiting : Fixture {
  explicit Waiting(const AdmissionSettings& settings = terms(Idempotency::kIdempotencyKey)) {
    engine.set_rules(settings);
    tell_hosts(engine, 0);
    wire.connecting = true;
    module.asked = send_to(1);
    take(0, 1, 5000);
  }
  std::optional<Ms> first_byte(Ms now) { return engine.may_write(now, 1, false); }
};

TEST(SendRules, TheFirstByteIsToldWhatIsLeftThen) {
  Waiting f;
  EXPECT_EQ(f.first_byte(1200), Ms{3800});
}

TEST(SendRules, NoFirstByteGoesToAHostThatIsGoneOrHasStartedAnew) {
  Waiting gone;
  const HostEntry left = HostEntry::removed(1);
  gone.engine.on_host_list(5, HostListUpdate::kDelta, {&left, 1});
  EXPECT_EQ(gone.first_byte(10), std::nullopt);
  EXPECT_EQ(first_bytes_stopped(gone.engine, AttemptVerdict::kNotListed), 1u);

  Waiting anew;
  const HostEntry started{.id = 1, .started_at = 4, .zone = 0, .cell = 0};
  anew.engine.on_host_list(5, HostListUpdate::kDelta, {&started, 1});
  EXPECT_EQ(anew.first_byte(10), std::nullopt);
  EXPECT_EQ(first_bytes_stopped(anew.engine, AttemptVerdict::kHostRestarted), 1u);
}

TEST(SendRules, NoFirstByteGoesOutWhenTheTimeIsUp) {
  Waiting f;
  EXPECT_EQ(f.first_byte(5000), std::nullopt);
  EXPECT_EQ(first_bytes_stopped(f.engine, AttemptVerdict::kDeadlineExceeded), 1u);
}

// The copy was sent while the first attempt still waited. What is sent second is a repeat, whichever was
// decided on first.
TEST(SendRules, AnAttemptThatWaitedIsBoundByTheCopyThatWasSentMeanwhile) {
  const std::pair<Ms, std::optional<AttemptVerdict>> cases[] = {{300, {}},
                                                                {1500, AttemptVerdict::kKeyExpired}};
  for (const auto& [now, verdict] : cases) {
    Waiting f;
    f.wire.connecting = false;
    f.module.told_list = send_to(2);
    tell_hosts(f.engine, 1);  // any event: the module sends its copy
    ASSERT_EQ(f.wire.to.size(), 2u);
    EXPECT_EQ(f.first_byte(now).has_value(), !verdict);
    if (!verdict) continue;
    EXPECT_EQ(first_bytes_stopped(f.engine, *verdict), 1u);
  }
}

}  // namespace
}  // namespace cometfold::engine
