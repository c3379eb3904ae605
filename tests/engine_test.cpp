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
struct Scripted : Module {
  std::function<void(Actions&)> asked, told_list, gone, timer, started;
  std::function<void(const AttemptEnd&, Actions&)> ended;
  std::vector<AttemptEnd> ends;
  int gones = 0;
  void start(Ms, Actions& out) override { run(started, out); }
  void on_list(Ms, ListKind, std::span<const HostEntry>, Actions& out) override { run(told_list, out); }
  void on_request(Ms, const Request&, Actions& out) override { run(asked, out); }
  void on_attempt_end(Ms, const AttemptEnd& e, Actions& out) override {
    ends.push_back(e);
    if (ended) ended(e, out);
  }
  void on_gone(Ms, RequestId, Actions& out) override {
    ++gones;
    run(gone, out);
  }
  void on_timer(Ms, std::uint64_t, Actions& out) override { run(timer, out); }
  static void run(const std::function<void(Actions&)>& what, Actions& out) {
    if (what) what(out);
  }
};

struct Wire : HostSide {
  std::set<AttemptId> out, written;
  std::set<HostId> retired;
  std::map<AttemptId, HostId> to;
  AttemptId last = 0;
  StartResult answer = StartResult::kStarted;
  bool connecting = false;  // what is started waits for its connection
  bool waits(AttemptId) const override { return connecting; }
  StartResult start(Ms, AttemptId a, HostId h, const Payload&, Ms) override {
    if (retired.contains(h)) return StartResult::kNoHost;
    if (answer == StartResult::kStarted) out.insert(last = a), to[a] = h;
    return answer;
  }
  bool abandon(Ms, AttemptId a) override {
    out.erase(a);
    return true;
  }
  bool withdraw(Ms, AttemptId a) override { return !written.contains(a) && out.erase(a) > 0; }
  void retire(Ms, HostId h) override { retired.insert(h); }
};

struct Door : FrontEnd {
  std::vector<std::string> said;
  void served(Ms, Ticket, std::string_view value) override { said.push_back("served " + std::string(value)); }
  void refused(Ms, Ticket, Ms) override { said.push_back("refused"); }
  void failed(Ms, Ticket, Failure why) override { said.push_back("failed " + std::to_string(int(why))); }
};

struct Fixture {
  Scripted module;
  Wire wire;
  Door door;
  std::vector<std::string> notes;
  Engine engine{module,
                wire,
                {.open = 3, .bytes = 25, .margin = 0, .settle_within = 500},
                [this](std::string_view what, std::string_view) { notes.emplace_back(what); }};
  RequestId name = 0;

  Taken take(Ms now, std::uint64_t identity = 1, Ms wait = 100) {
    Ask ask;
    ask.wait = wait;
    ask.identity = identity;
    ask.payload = std::make_unique<Bytes>();
    return engine.take(now, door, {1, identity}, std::move(ask), name);
  }
  void end(Ms now, AttemptId a, Outcome outcome, std::string_view value = {}) {
    wire.out.erase(a);
    engine.on_attempt_end(now, a, outcome, value, {});
  }
  using Said = std::vector<std::string>;
};

auto send_to(HostId host, RequestId r = 1) {
  return [=](Actions& out) { out.send(r, host, 0); };
}

// Runs `play` on the engine as it is, where it must hold, and on one with `fault`, where it must not.
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
    f.module.timer = [](Actions& out) {
      out.cancel(1, 0);
      out.send(1, 2, 0);
    };
    f.module.asked = [](Actions& out) {
      out.send(1, 1, 0);
      out.wake(10, 1);
    };
    f.take(0);
    const auto first = f.wire.last;
    f.engine.run_due(10);
    f.end(20, first, Outcome::kOk, "late");
    f.end(30, f.wire.last, Outcome::kOk, "good");
    return f.door.said == Fixture::Said{"served good"};
  });
}

TEST(Engine, WhatStillWaitsIsWithdrawnWhenTheAnswerIsOut) {
  guarded(Mutant::kSendsAfterAnswer, [](Fixture& f) {
    f.module.asked = [](Actions& out) {
      out.send(1, 1, 0);
      out.send(1, 2, 0);
    };
    f.take(0);
    f.wire.written.insert(1);
    f.end(5, 1, Outcome::kOk, "v");  // the module cancels nothing
    return f.wire.out.empty() && f.engine.held() == 0 && f.module.ends.size() == 2;
  });
}

TEST(Engine, AStopAnswersWhileASecondCopyIsOut) {
  guarded(Mutant::kStopsWithoutSettling, [](Fixture& f) {
    f.module.asked = [](Actions& out) {
      out.send(1, 1, 0);
      out.send(1, 2, 0);
    };
    f.take(0, 1, 10'000);
    f.wire.written = {1, 2};
    f.engine.stop(1);
    f.engine.settle_all(501);
    const bool once = f.door.said == Fixture::Said{"failed 2"} && f.engine.owed() == 0;
    f.end(502, 1, Outcome::kOk, "v");
    f.end(503, 2, Outcome::kOk, "v");
    return once && f.door.said.size() == 1 && f.engine.held() == 0;
  });
}

TEST(Engine, ADeadlineAndAnAnswerAtOneInstantGiveOneAnswerInEitherOrder) {
  for (const bool answer_first : {true, false}) {
    guarded(Mutant::kAnswersTwice, [&](Fixture& f) {
      f.module.asked = send_to(1);
      // A module that answers again, whatever it is told.
      f.module.ended = [](const AttemptEnd&, Actions& out) {
        out.fail(1, Cause::kEnded);
        out.fail(1, Cause::kEnded);
      };
      f.take(0);
      f.wire.written.insert(1);
      if (answer_first) f.end(100, 1, Outcome::kOk, "v");
      f.engine.run_due(100);
      if (!answer_first) f.end(100, 1, Outcome::kOk, "v");
      return f.door.said == Fixture::Said{answer_first ? "served v" : "failed 0"};
    });
  }
}

TEST(Engine, EachRequestIsAnsweredAtItsDeadlineThoughTheModuleDoesNothing) {
  guarded(Mutant::kForgetsDeadline, [](Fixture& f) {
    f.take(0);
    f.engine.run_due(f.engine.next_due().value_or(100));
    return f.door.said == Fixture::Said{"failed 1"} && f.engine.held() == 0;
  });
}

TEST(Engine, AClientGoneInTheBatchOfItsAnswerIsOwedNothingInEitherOrder) {
  const auto nothing_left = [](Fixture& f) {
    return f.engine.owed() + f.engine.held() + f.engine.held_bytes() == 0 && f.module.ends.size() == 1 &&
           f.module.ends[0].finished;
  };
  guarded(Mutant::kLosesGoneClient, [&](Fixture& f) {
    f.module.asked = send_to(1);
    f.take(0);
    f.wire.written.insert(1);
    f.engine.gone(5, f.name);
    f.end(5, 1, Outcome::kOk, "v");
    return f.door.said.empty() && f.module.gones == 1 && nothing_left(f);
  });
  Fixture f;
  f.module.asked = send_to(1);
  f.take(0);
  f.wire.written.insert(1);
  f.end(5, 1, Outcome::kOk, "v");
  f.engine.gone(5, f.name);
  EXPECT_EQ(f.door.said, Fixture::Said{"served v"});
  EXPECT_EQ(f.module.gones, 0);
  EXPECT_TRUE(nothing_left(f));
}

TEST(Engine, AnIdIsFreeRightAfterItsAnswer) {
  guarded(Mutant::kKeepsIdentity, [](Fixture& f) {
    f.module.asked = send_to(1);
    f.take(0);
    const bool same = f.take(0) == Taken::kSameId;
    f.end(5, 1, Outcome::kOk, "v");
    f.module.asked = send_to(1, 2);
    return same && f.take(5) == Taken::kYes;
  });
  guarded(Mutant::kSharesIdentity, [](Fixture& f) {
    f.module.asked = send_to(1);
    f.take(0);
    return f.take(0) == Taken::kSameId;
  });
}

TEST(Engine, AThrowOnARequestIsAnsweredAtOnce) {
  guarded(Mutant::kLosesThrownRequest, [](Fixture& f) {
    f.module.asked = [](Actions&) { throw std::runtime_error("x"); };
    f.take(0);
    return f.door.said == Fixture::Said{"failed 3"} && f.engine.held() == 0;
  });
}

TEST(Engine, AThrowInAnyCallLosesNothing) {
  const auto boom = [](Actions&) { throw std::runtime_error("x"); };
  {  // after a send: the attempt goes on and may answer
    Fixture f;
    f.module.asked = [](Actions& out) {
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
    f.module.ended = [](const AttemptEnd&, Actions&) { throw 7; };
    f.take(0);
    f.end(5, 1, Outcome::kBroken);
    EXPECT_EQ(f.door.said, Fixture::Said{"failed 3"});
    EXPECT_EQ(f.engine.held(), 0u);
  }
  {  // at a start, on a timer, and told that a client has gone
    Fixture f;
    f.module.started = f.module.timer = f.module.gone = boom;
    f.engine.start(0);
    f.module.asked = [](Actions& out) {
      out.send(1, 1, 0);
      out.wake(5, 1);
    };
    f.take(0);
    f.engine.run_due(5);
    f.engine.gone(6, f.name);
    f.end(7, 1, Outcome::kOk, "v");
    EXPECT_TRUE(f.door.said.empty());
    EXPECT_EQ(f.engine.held(), 0u);
    EXPECT_EQ(f.notes.size(), 3u);
  }
  guarded(Mutant::kSkipsRetireOnThrow, [&](Fixture& f) {
    f.module.told_list = boom;
    f.module.asked = send_to(1);
    const HostEntry drains{1, HostState::kDraining, 0, 0, 0, 0, 1};
    f.engine.on_list(0, ListKind::kChanges, std::span(&drains, 1));
    f.take(1);
    return f.wire.out.empty() && f.module.ends.size() == 1 &&
           f.module.ends[0].outcome == Outcome::kConnectFailed;
  });
}

TEST(Engine, WhatAModuleMayNotDoDoesNothing) {
  Fixture f;
  f.module.asked = [](Actions& out) {
    out.refuse(1, 10, Cause::kShed);
    out.fail(1, Cause::kEnded);
    out.refuse(1, 10, Cause::kShed);
    out.send(1, 1, 0);
    out.cancel(1, 0);
    out.cancel(1, 99);
    out.send(77, 1, 0);
    out.cancel(77, 0);
    out.wake(-5, 1);
    out.wake(0.0 / 0.0, 1);
  };
  f.take(0);
  EXPECT_EQ(f.door.said, Fixture::Said{"refused"});
  const auto& causes = f.engine.causes().by_cause;  // each answer counts once, by the reason that came first
  EXPECT_EQ(causes[static_cast<std::size_t>(Cause::kShed)], 1u);
  EXPECT_EQ(causes[static_cast<std::size_t>(Cause::kEnded)], 0u);
  EXPECT_TRUE(f.wire.out.empty());
  ASSERT_EQ(f.module.ends.size(), 1u);  // of the send, which never went
  EXPECT_EQ(f.module.ends[0].outcome, Outcome::kNotSent);
  EXPECT_EQ(f.engine.held(), 0u);
}

TEST(Engine, AnEndIsToldOnceAndWhatIsShortHereIsNotBlamedOnAHost) {
  guarded(Mutant::kReportsEndTwice, [](Fixture& f) {
    f.module.asked = send_to(1);
    f.take(0);
    f.end(5, 1, Outcome::kOk, "v");
    return f.module.ends.size() == 1;
  });
  for (const auto answer : {StartResult::kNoRoomHere, StartResult::kNoHost}) {
    Fixture f;
    f.wire.answer = answer;
    f.module.asked = send_to(1);
    f.take(0);
    ASSERT_EQ(f.module.ends.size(), 1u);
    EXPECT_EQ(f.module.ends[0].outcome,
              answer == StartResult::kNoHost ? Outcome::kConnectFailed : Outcome::kNotSent);
  }
}

TEST(Engine, HoldsNoMoreThanItsLimits) {
  Fixture f;  // three open, 25 bytes, ten each
  f.module.asked = nullptr;
  EXPECT_EQ(f.take(0, 1), Taken::kYes);
  EXPECT_EQ(f.take(0, 2), Taken::kYes);
  EXPECT_EQ(f.take(0, 3), Taken::kNoRoom);  // by bytes
  f.engine.gone(1, 1);
  EXPECT_EQ(f.take(1, 3), Taken::kYes);
  // Timers of requests that are done do not pile up.
  for (std::uint64_t i = 10; i < 20'000; ++i) {
    f.engine.gone(2, f.name);
    ASSERT_EQ(f.take(2, i, 60'000), Taken::kYes);
    f.engine.next_due();
    ASSERT_LT(f.engine.timers(), 4000u);
  }
}

TEST(Engine, TwoFrontEndsShareIt) {
  Fixture f;
  Door other;
  f.module.asked = send_to(1, 1);
  f.take(0, 1);
  f.module.asked = send_to(1, 2);
  Ask ask;
  ask.wait = 100;
  ask.identity = 2;
  ask.payload = std::make_unique<Bytes>();
  RequestId name = 0;
  ASSERT_EQ(f.engine.take(0, other, {9, 9}, std::move(ask), name), Taken::kYes);
  f.end(1, 2, Outcome::kOk, "theirs");
  f.end(1, 1, Outcome::kOk, "ours");
  EXPECT_EQ(f.door.said, Fixture::Said{"served ours"});
  EXPECT_EQ(other.said, Fixture::Said{"served theirs"});
}

// ---- the rules of sending, whatever the module decides ----

Settings terms(Repeat repeat, bool second_copies = true) {
  Settings s;
  s.classes = {{.deadline_ms = 5000, .repeat = repeat, .group = KeyGroup::kZone, .key_ttl_ms = 1000}};
  s.second_copies = second_copies;
  s.max_attempts = 4;
  return s;
}

// Hosts 1 and 2 of one zone, 3 of another.
void tell_hosts(Engine& engine, Ms now) {
  std::vector<HostEntry> list;
  for (const HostId id : {1, 2, 3}) list.push_back({.id = id, .zone = id / 3, .cell = 0});
  engine.on_list(now, ListKind::kWhole, list);
}

std::uint64_t decisions_stopped(const Engine& engine, SendVerdict why) {
  return engine.rules().decisions[static_cast<std::size_t>(why)];
}
std::uint64_t first_bytes_stopped(const Engine& engine, SendVerdict why) {
  return engine.rules().first_bytes[static_cast<std::size_t>(why)];
}

TEST(SendRules, ADecisionToRepeatWhatMayHaveRunIsStoppedAndCounted) {
  const std::pair<Settings, SendVerdict> cases[] = {
      {terms(Repeat::kUnsafe), SendVerdict::kMayHaveRun},
      {terms(Repeat::kKeyed), SendVerdict::kOtherGroup},
      {terms(Repeat::kSafe), SendVerdict::kAllowed},
  };
  for (const auto& [settings, verdict] : cases) {
    Fixture f;
    f.engine.set_rules(settings);
    tell_hosts(f.engine, 0);
    f.module.asked = send_to(1);
    f.module.ended = [](const AttemptEnd& end, Actions& out) {
      if (end.attempt == 0) out.send(1, 3, 0);
    };
    f.take(0, 1, 5000);
    f.end(10, f.wire.last, Outcome::kBroken);
    EXPECT_EQ(f.wire.to.size(), verdict == SendVerdict::kAllowed ? 2u : 1u);
    EXPECT_EQ(decisions_stopped(f.engine, verdict), verdict == SendVerdict::kAllowed ? 0u : 1u);
  }
}

TEST(SendRules, ARefusalOfWhatMayHaveRunIsAFailure) {
  for (const bool ran : {false, true}) {
    Fixture f;
    f.engine.set_rules(terms(Repeat::kUnsafe));
    tell_hosts(f.engine, 0);
    f.module.asked = send_to(1);
    f.module.ended = [](const AttemptEnd&, Actions& out) { out.refuse(1, 0, Cause::kEnded); };
    f.take(0, 1, 5000);
    f.end(10, f.wire.last, ran ? Outcome::kBroken : Outcome::kFull);
    EXPECT_EQ(f.door.said, Fixture::Said{ran ? "failed 0" : "refused"});
    EXPECT_EQ(f.engine.rules().refusals, ran ? 1u : 0u);
  }
}

// An attempt is decided on and waits for its connection, something happens, and its first byte would go out.
struct Waiting : Fixture {
  explicit Waiting(const Settings& settings = terms(Repeat::kKeyed)) {
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
  const HostEntry left = HostEntry::gone(1);
  gone.engine.on_list(5, ListKind::kChanges, {&left, 1});
  EXPECT_EQ(gone.first_byte(10), std::nullopt);
  EXPECT_EQ(first_bytes_stopped(gone.engine, SendVerdict::kNotListed), 1u);

  Waiting anew;
  const HostEntry started{.id = 1, .started_at = 4, .zone = 0, .cell = 0};
  anew.engine.on_list(5, ListKind::kChanges, {&started, 1});
  EXPECT_EQ(anew.first_byte(10), std::nullopt);
  EXPECT_EQ(first_bytes_stopped(anew.engine, SendVerdict::kOtherProcess), 1u);
}

TEST(SendRules, NoFirstByteGoesOutWhenTheTimeIsUp) {
  Waiting f;
  EXPECT_EQ(f.first_byte(5000), std::nullopt);
  EXPECT_EQ(first_bytes_stopped(f.engine, SendVerdict::kTimeUp), 1u);
}

// The copy was sent while the first attempt still waited. What is sent second is a repeat, whichever was
// decided on first.
TEST(SendRules, AnAttemptThatWaitedIsBoundByTheCopyThatWasSentMeanwhile) {
  const std::pair<Ms, std::optional<SendVerdict>> cases[] = {{300, {}}, {1500, SendVerdict::kKeyForgotten}};
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
