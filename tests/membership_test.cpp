// Membership in the model: the hard cases one by one, then random schedules of faults.
#include "membership/membership.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <set>

#include "emulators/membership_model.h"
#include "membership/faults.h"
#include "membership/wire.h"

namespace cometfold::membership::testing {
namespace {

using emulators::MembershipJudge;
using emulators::MembershipModel;
using emulators::Protocol;
using emulators::RealMember;

class Cluster {
 public:
  explicit Cluster(std::size_t n, std::uint64_t seed = 1, MembershipSettings settings = {},
                   std::size_t seeded = 3)
      : settings_(settings),
        seeds_(seeded),
        model(
            [this](MemberRecord self, std::vector<std::string> seeds, Membership::Draw draw) {
              return std::make_unique<RealMember>(settings_, std::move(self), std::move(seeds),
                                                  std::move(draw));
            },
            seed) {
    model.on_change = [this](std::size_t i, const MembershipEvent& c) {
      judge.see(i * 1000 + model.member(i).round, model.member(i).name, c);
      if (c.kind == MembershipEvent::kMemberChanged && c.state == MemberState::kFailed) {
        const std::size_t who = std::stoul(c.name.substr(1));
        if (model.member(who).running && !model.member(who).paused) ++false_failures;
        failed_at[who].insert({i, model.now()});
      }
      if (c.kind == MembershipEvent::kNewIncarnation) ++new_starts;
      if (c.kind == MembershipEvent::kNameConflict) ++conflicts;
    };
    for (std::size_t i = 0; i < n; ++i) {
      model.add("g" + std::to_string(i));
      start(i);
    }
  }
  // The homes of the first three are the seeds.
  void start(std::size_t i, double wall_leap = 0, bool elsewhere = false) {
    std::vector<std::string> seeds;
    for (std::size_t s = 0; s < seeds_; ++s) seeds.push_back(MembershipModel::home(s));
    model.start(i, seeds, 1e6 + model.now() + wall_leap, elsewhere);
  }
  void run(Ms span) { model.run_until(model.now() + span); }
  const Membership& real(std::size_t i) {
    return dynamic_cast<RealMember&>(*model.member(i).protocol).real();
  }
  MemberState state(std::size_t at, std::size_t of) {
    for (const auto& m : real(at).members(model.now())) {
      if (m.name == model.member(of).name) return m.state;
    }
    return MemberState::kLeft;
  }
  ConnectivityState standing(std::size_t i) { return real(i).connectivity(); }
  // Breaches once all faults have ended.
  std::vector<std::string> settled() {
    std::map<std::string, std::uint64_t> running;
    for (std::size_t i = 0; i < model.size_of_cluster(); ++i) {
      auto& m = model.member(i);
      if (m.running && !gone.contains(i)) running[m.name] = m.protocol->own_start();
    }
    for (std::size_t i = 0; i < model.size_of_cluster(); ++i) {
      auto& m = model.member(i);
      if (m.running && !gone.contains(i)) judge.settled(m.name, m.protocol->members(model.now()), running);
    }
    return judge.breaches();
  }
  void group(const std::vector<std::vector<std::size_t>>& groups) {
    for (std::size_t g = 0; g < groups.size(); ++g) {
      for (const std::size_t i : groups[g]) model.member(i).group = static_cast<int>(g);
    }
  }
  void heal() {
    for (std::size_t i = 0; i < model.size_of_cluster(); ++i) model.member(i).group = 0;
  }

 private:
  MembershipSettings settings_;
  std::size_t seeds_;

 public:
  MembershipJudge judge;
  MembershipModel model;
  std::set<std::size_t> gone;  // left
  int false_failures = 0, new_starts = 0, conflicts = 0;
  std::map<std::size_t, std::map<std::size_t, Ms>> failed_at;
};

std::vector<std::size_t> range(std::size_t from, std::size_t to) {
  std::vector<std::size_t> all;
  for (; from < to; ++from) all.push_back(from);
  return all;
}

using Breaches = std::vector<std::string>;

TEST(Membership, AllComeToKnowEachOther) {
  for (const std::size_t n : {1, 2, 3, 5, 12, 48}) {
    Cluster c(n);
    c.run(5000);
    EXPECT_EQ(c.settled(), Breaches{}) << n;
    EXPECT_EQ(c.new_starts, 0);
    for (std::size_t i = 0; i < n; ++i) {
      EXPECT_EQ(c.standing(i), n == 1 ? ConnectivityState::kIsolated : ConnectivityState::kConnected);
      EXPECT_EQ(c.real(i).digest(), c.real(0).digest());
    }
  }
}

TEST(Membership, ACrashIsKnownToAllWithinFourSecondsAndToNobodyAsSomethingElse) {
  for (const std::size_t n : {3, 4, 8, 48}) {
    Cluster c(n);
    c.run(6000);
    const Ms crash = c.model.now();
    c.model.kill(n - 1);
    c.run(4000);
    for (std::size_t i = 0; i + 1 < n; ++i) {
      EXPECT_EQ(c.state(i, n - 1), MemberState::kFailed) << n << " at " << i;
      EXPECT_GT(c.failed_at[n - 1][i], crash + 800);
    }
    EXPECT_EQ(c.false_failures, 0);
    EXPECT_EQ(c.settled(), Breaches{});
  }
}

// One of two can't tell a crash from a cut: it says no more than that it is alone.
TEST(Membership, TheOtherOfTwoIsASuspectAndThenNoMember) {
  Cluster c(2);
  c.run(5000);
  c.model.kill(1);
  c.run(2500);
  EXPECT_EQ(c.state(0, 1), MemberState::kSuspect);
  EXPECT_EQ(c.standing(0), ConnectivityState::kIsolated);
  c.run(22'000);
  EXPECT_EQ(c.settled(), Breaches{});
  EXPECT_EQ(c.false_failures, 0);
}

TEST(Membership, OneThatLeavesIsKnownToHaveLeftAtOnce) {
  Cluster c(12);
  c.run(5000);
  c.model.leave(4);
  c.run(700);
  c.model.kill(4);
  c.run(500);
  for (std::size_t i = 0; i < 12; ++i) {
    if (i != 4) {
      EXPECT_EQ(c.state(i, 4), MemberState::kLeft);
    }
  }
  c.gone.insert(4);
  c.run(10'000);
  EXPECT_EQ(c.settled(), Breaches{});
}

TEST(Membership, ARestartWithinTheSuspicionIsANewMember) {
  Cluster c(12);
  c.run(5000);
  const auto before = c.real(3).self().incarnation;
  c.model.kill(3);
  c.run(1500);
  c.start(3);
  c.run(8000);
  EXPECT_GT(c.real(3).self().incarnation, before);
  EXPECT_EQ(c.settled(), Breaches{});
  EXPECT_EQ(c.failed_at[3].size(), 0U);
}

TEST(Membership, OneThatComesBackElsewhereIsFoundThere) {
  Cluster c(12);
  c.run(5000);
  c.model.kill(2);
  c.run(6000);
  c.start(2, 0, true);
  c.run(5000);
  EXPECT_EQ(c.settled(), Breaches{});
}

TEST(Membership, SeedsThatAreAllGoneAreNotNeededByThoseWhoKnowEachOther) {
  Cluster c(12);
  c.run(5000);
  for (std::size_t i = 0; i < 3; ++i) c.model.kill(i);
  c.run(8000);
  c.group({range(0, 8), range(8, 12)});
  c.run(8000);
  c.heal();
  c.run(8000);
  EXPECT_EQ(c.settled(), Breaches{});
}

TEST(Membership, AClockThatLeaptBackOnlyRaisesTheStartNumber) {
  Cluster c(8);
  c.run(5000);
  c.model.kill(3);
  c.run(500);
  c.start(3, -900'000);
  c.run(10'000);
  EXPECT_EQ(c.settled(), Breaches{});
  EXPECT_EQ(c.conflicts, 0);
}

TEST(Membership, StoppedForFiveSecondsItBelievesNobodyDeadAndComesBack) {
  Cluster c(24);
  c.run(5000);
  c.model.pause(7);
  c.run(5000);
  for (std::size_t i = 0; i < 24; ++i) {
    if (i != 7) {
      EXPECT_EQ(c.state(i, 7), MemberState::kFailed);
    }
  }
  c.model.resume(7);
  c.run(200);
  EXPECT_TRUE(c.real(7).recently_paused(c.model.now()));
  c.run(4000);
  EXPECT_EQ(c.settled(), Breaches{});
  EXPECT_EQ(c.false_failures, 0);
  EXPECT_EQ(c.new_starts, 1);  // its own alone
}

TEST(Membership, AMinorityCutOffJudgesNobodyAndComesBackWithoutHarm) {
  Cluster c(24);
  c.run(5000);
  c.group({range(0, 18), range(18, 24)});
  c.run(5000);
  for (std::size_t i = 0; i < 24; ++i) {
    if (i < 18) {
      EXPECT_EQ(c.state(i, 20), MemberState::kFailed);
      EXPECT_LE(c.standing(i), ConnectivityState::kDegraded);
    } else {
      EXPECT_EQ(c.state(i, 2), MemberState::kSuspect);
      EXPECT_GE(c.standing(i), ConnectivityState::kPartitioned);
    }
  }
  c.heal();
  c.run(6000);
  EXPECT_EQ(c.settled(), Breaches{});
  EXPECT_EQ(c.new_starts, 6);  // the minority's
}

TEST(Membership, ALongCutOfALoneMemberPoisonsNobody) {
  Cluster c(12);
  c.run(5000);
  c.group({range(0, 11), {11}});
  c.run(60'000);
  EXPECT_EQ(c.standing(11), ConnectivityState::kIsolated);
  c.heal();
  c.run(6000);
  EXPECT_EQ(c.settled(), Breaches{});
  EXPECT_EQ(c.new_starts, 1);
}

TEST(Membership, CutsInTwoAndThreeHeal) {
  for (const auto& groups : std::vector<std::vector<std::vector<std::size_t>>>{
           {range(0, 12), range(12, 24)}, {range(0, 8), range(8, 16), range(16, 24)}}) {
    Cluster c(24);
    c.run(5000);
    c.group(groups);
    c.run(12'000);
    c.heal();
    c.run(10'000);
    EXPECT_EQ(c.settled(), Breaches{}) << groups.size();
  }
}

TEST(Membership, TwoThatDoNotHearEachOtherFailNeither) {
  for (const std::size_t n : {3, 8, 24}) {
    Cluster c(n);
    c.run(5000);
    c.model.silent = [](std::size_t a, std::size_t b) { return a + b == 1; };
    c.run(40'000);
    EXPECT_EQ(c.false_failures, 0) << n;
    c.model.silent = [](std::size_t, std::size_t) { return false; };
    c.run(10'000);
    EXPECT_EQ(c.settled(), Breaches{}) << n;
  }
}

TEST(Membership, WhoHearsNobodyIsFailedAlthoughItSpeaks) {
  Cluster c(12);
  c.run(5000);
  c.model.silent = [](std::size_t, std::size_t to) { return to == 3; };
  c.run(5000);
  EXPECT_EQ(c.state(0, 3), MemberState::kFailed);
  EXPECT_EQ(c.standing(3), ConnectivityState::kIsolated);
  c.model.silent = [](std::size_t, std::size_t) { return false; };
  c.run(8000);
  EXPECT_EQ(c.settled(), Breaches{});
}

TEST(Membership, SevenInTenKilledAndRestartedInASecond) {
  Cluster c(60);
  c.run(6000);
  for (std::size_t i = 18; i < 60; ++i) c.model.kill(i);
  c.run(1000);
  for (std::size_t i = 18; i < 60; ++i) c.start(i);
  c.run(8000);
  EXPECT_EQ(c.settled(), Breaches{});
}

TEST(Membership, SevenInTenKilledForGoodAreGoneWithinFortySeconds) {
  Cluster c(60);
  c.run(6000);
  for (std::size_t i = 18; i < 60; ++i) c.model.kill(i);
  c.run(40'000);
  EXPECT_EQ(c.settled(), Breaches{});
  for (std::size_t i = 0; i < 18; ++i) EXPECT_EQ(c.standing(i), ConnectivityState::kConnected);
}

TEST(Membership, TwoProcessesOfOneNameBothSaySoAndTheOlderYieldsUntilTheOtherIsOver) {
  Cluster c(8);
  c.run(5000);
  const std::size_t twin = c.model.add("g3");
  c.start(twin);
  c.run(6000);
  EXPECT_EQ(c.real(twin).conflicting_address(), c.model.member(3).address);
  EXPECT_EQ(c.real(3).conflicting_address(), c.model.member(twin).address);
  EXPECT_EQ(c.standing(3), ConnectivityState::kDegraded);
  c.model.kill(twin);
  c.run(15'000);
  EXPECT_EQ(c.real(3).conflicting_address(), "");
  EXPECT_EQ(c.settled(), Breaches{});
}

TEST(Membership, LossAloneFailsNobody) {
  Cluster c(24);
  c.model.links.loss = 0.2;
  c.run(600'000);
  EXPECT_EQ(c.false_failures, 0);
  EXPECT_EQ(c.settled(), Breaches{});
}

TEST(Membership, NewsComesToAnEnd) {
  Cluster c(48);
  c.run(5000);
  c.model.links.loss = 0.3;
  c.run(20'000);
  c.model.links.loss = 0;
  c.run(40'000);
  std::size_t riding = 0;
  c.model.size = [&riding](const Message& m) { return riding += m.records.size() + m.suspicions.size(); };
  c.run(5000);
  EXPECT_EQ(riding, 0U);
}

TEST(Membership, FlappingEveryThreeSecondsKeepsTheOthersTogether) {
  Cluster c(12);
  c.run(5000);
  for (int n = 0; n < 8; ++n) {
    c.group({range(0, 11), {11}});
    c.run(3000);
    c.heal();
    c.run(3000);
    for (std::size_t i = 0; i < 11; ++i) EXPECT_EQ(c.standing(i), ConnectivityState::kConnected);
  }
  c.run(8000);
  EXPECT_EQ(c.settled(), Breaches{});
  EXPECT_LE(c.new_starts, 9);
}

TEST(Membership, WhoComesBackAfterItWasForgottenTakesANewNumberAndRevivesNobody) {
  MembershipSettings s;
  s.tombstone_retention_ms = 60'000;
  Cluster c(12, 1, s);
  c.run(5000);
  c.model.pause(11);
  c.run(100);
  c.model.kill(5);  // what the stopped one never hears
  c.run(90'000);
  EXPECT_EQ(c.state(0, 11), MemberState::kLeft);  // not there at all
  c.model.resume(11);
  c.run(10'000);
  EXPECT_EQ(c.settled(), Breaches{});
}

TEST(Membership, DoublesAndRepeatsOfOldMessagesChangeNothing) {
  Cluster c(12);
  c.model.links.duplicate = 0.3;
  c.model.links.replay = 0.3;
  c.run(8000);
  c.model.kill(3);
  c.run(3000);
  c.start(3);
  c.run(10'000);
  EXPECT_EQ(c.settled(), Breaches{});
  EXPECT_EQ(c.conflicts, 0);
}

// The same for what must be found: what is wrong in some hard cases, and in random schedules.
Breaches play(std::uint64_t seed);

Breaches wrong_in_hard_cases() {
  Breaches all;
  const auto look = [&all](Cluster& c, const char* name, bool more, const char* what) {
    for (const auto& b : c.settled()) all.push_back(std::string(name) + ": " + b);
    if (more) all.push_back(std::string(name) + ": " + what);
  };
  {
    Cluster c(24);
    c.run(5000);
    c.group({range(0, 18), range(18, 24)});
    c.run(6000);
    c.heal();
    c.run(8000);
    look(c, "minority cut off", c.new_starts > 6, "its word went beyond it");
  }
  {
    Cluster c(12);
    c.run(5000);
    c.model.pause(7);
    c.run(5000);
    c.model.resume(7);
    c.run(300);
    for (std::size_t i = 0; i < 12; ++i) {
      if (c.state(7, i) == MemberState::kSuspect) all.push_back("stopped: it takes others for silent");
    }
    c.run(6000);
    look(c, "stopped", c.false_failures > 0 || c.new_starts > 1, "others paid for it");
  }
  {
    Cluster c(8);
    c.run(5000);
    c.model.silent = [](std::size_t a, std::size_t b) { return a + b == 1; };
    c.run(10'000);
    c.model.silent = [](std::size_t, std::size_t) { return false; };
    c.run(8000);
    look(c, "two that don't hear each other", c.false_failures > 0, "one was failed");
  }
  {
    Cluster c(8);
    c.run(5000);
    const std::size_t twin = c.model.add("g3");
    c.start(twin);
    c.run(6000);
    look(c, "one name twice",
         c.real(3).conflicting_address().empty() || c.real(twin).conflicting_address().empty() ||
             c.new_starts > 4,
         "not told, or no end of it");
  }
  {
    Cluster c(60);
    c.run(6000);
    for (std::size_t i = 18; i < 60; ++i) c.model.kill(i);
    c.run(40'000);
    look(c, "seven in ten killed", false, "");
  }
  {
    MembershipSettings s;
    s.tombstone_retention_ms = 40'000;
    Cluster c(12, 1, s);
    c.run(5000);
    c.model.pause(11);
    c.model.kill(5);
    c.run(60'000);
    c.model.resume(11);
    c.start(c.model.add("g12"));
    for (int i = 0; i < 20; ++i) {
      c.run(100);
      if (c.state(12, 5) != MemberState::kLeft)
        all.push_back("away for long: it revived the dead for one who never knew them");
    }
    c.run(8000);
    look(c, "away for long", false, "");
  }
  return all;
}

TEST(Membership, EachGuardIsSeenToBeNeeded) {
  for (int i = 1; i < kMutants; ++i) {
    active_mutant = static_cast<Mutant>(i);
    auto wrong = wrong_in_hard_cases();
    std::uint64_t seed = 0;
    while (wrong.empty() && seed < 400) wrong = play(++seed);
    active_mutant = Mutant::kNone;
    EXPECT_FALSE(wrong.empty()) << "mutant " << i;
    if (!wrong.empty()) std::printf("mutant %d, seed %d: %s\n", i, static_cast<int>(seed), wrong[0].c_str());
  }
  EXPECT_EQ(wrong_in_hard_cases(), Breaches{});
}

// One random schedule; what went wrong.
Breaches play(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&random](std::uint64_t below) { return static_cast<std::size_t>(random() % below); };
  const std::size_t n = 3 + draw(14);
  MembershipSettings settings;
  if (draw(4) == 0) settings.tombstone_retention_ms = 45'000;
  Cluster c(n, seed, settings, n);
  c.run(static_cast<Ms>(2000 + draw(4000)));
  for (std::size_t steps = 4 + draw(14); steps > 0; --steps) {
    const std::size_t who = draw(n);
    auto& m = c.model.member(who);
    switch (draw(9)) {
      case 0:
        c.model.kill(who);
        break;
      case 1:
        if (!m.running) c.gone.erase(who), c.start(who, draw(3) == 0 ? -1e5 : 0, draw(4) == 0);
        break;
      case 2:
        c.model.kill(who), c.gone.erase(who), c.start(who);
        break;
      case 3:
        c.model.pause(who);
        break;
      case 4:
        c.model.resume(who);
        break;
      case 5:
        for (std::size_t i = 0; i < n; ++i) c.model.member(i).group = static_cast<int>(draw(2 + draw(2)));
        break;
      case 6:
        c.heal();
        break;
      case 7:
        c.model.links.loss = 0.1 * static_cast<double>(draw(5));
        c.model.links.duplicate = 0.1 * static_cast<double>(draw(4));
        c.model.links.replay = 0.1 * static_cast<double>(draw(3));
        c.model.links.jitter = static_cast<Ms>(draw(200));
        break;
      case 8:
        if (m.running && !m.paused) c.model.leave(who), c.gone.insert(who), c.run(300), c.model.kill(who);
        break;
    }
    c.run(static_cast<Ms>(draw(9000)));
  }
  c.heal();
  c.model.links = {};
  for (std::size_t i = 0; i < n; ++i) c.model.resume(i);
  c.run(40'000);
  return c.settled();
}

TEST(Membership, RandomSchedulesEndInAgreement) {
  const char* asked = std::getenv("COMETFOLD_SCHEDULES");
  const int count = asked ? std::atoi(asked) : 60;
  for (int seed = 1; seed <= count; ++seed)
    ASSERT_EQ(play(static_cast<std::uint64_t>(seed)), Breaches{}) << seed;
}

}  // namespace
}  // namespace cometfold::membership::testing
