// Runs membership in the modelled network, one kind of fault per test.
#include "membership/membership.h"

#include <gtest/gtest.h>

#include "membership_cluster.h"

namespace cometfold::membership::testing {
namespace {

TEST(Membership, AllMembersDiscoverEachOther) {
  for (const std::size_t count : {1, 2, 3, 5, 12, 48}) {
    Cluster cluster(count);
    cluster.run(5000);
    EXPECT_EQ(cluster.check_final_view(), Violations{}) << count;
    EXPECT_EQ(cluster.new_incarnations, 0);
    for (std::size_t i = 0; i < count; ++i) {
      EXPECT_EQ(cluster.connectivity(i),
                count == 1 ? ConnectivityState::kIsolated : ConnectivityState::kConnected);
      EXPECT_EQ(cluster.membership_of(i).digest(), cluster.membership_of(0).digest());
    }
  }
}

TEST(Membership, ACrashIsDetectedByAllWithinFourSecondsWithoutFalsePositives) {
  for (const std::size_t count : {3, 4, 8, 48}) {
    Cluster cluster(count);
    cluster.run(6000);
    const Ms crash = cluster.model.now();
    cluster.model.kill(count - 1);
    cluster.run(4000);
    for (std::size_t i = 0; i + 1 < count; ++i) {
      EXPECT_EQ(cluster.state(i, count - 1), MemberState::kFailed) << count << " at " << i;
      EXPECT_GT(cluster.failed_at[count - 1][i], crash + 800);
    }
    EXPECT_EQ(cluster.false_failures, 0);
    EXPECT_EQ(cluster.check_final_view(), Violations{});
  }
}

// One of two members cannot distinguish a crash of the other from a partition: it is isolated and declares no
// failure.
TEST(Membership, OfTwoMembersTheSilentOneIsSuspectedAndThenExcluded) {
  Cluster cluster(2);
  cluster.run(5000);
  cluster.model.kill(1);
  cluster.run(2500);
  EXPECT_EQ(cluster.state(0, 1), MemberState::kSuspect);
  EXPECT_EQ(cluster.connectivity(0), ConnectivityState::kIsolated);
  cluster.run(22'000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
  EXPECT_EQ(cluster.false_failures, 0);
}

TEST(Membership, AMemberThatLeavesIsShownAsLeftAtOnce) {
  Cluster cluster(12);
  cluster.run(5000);
  cluster.model.leave(4);
  cluster.run(700);
  cluster.model.kill(4);
  cluster.run(500);
  for (std::size_t i = 0; i < 12; ++i) {
    if (i != 4) {
      EXPECT_EQ(cluster.state(i, 4), MemberState::kLeft);
    }
  }
  cluster.left.insert(4);
  cluster.run(10'000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
}

TEST(Membership, ARestartWhileSuspectedJoinsWithANewIncarnation) {
  Cluster cluster(12);
  cluster.run(5000);
  const auto before = cluster.membership_of(3).self().incarnation;
  cluster.model.kill(3);
  cluster.run(1500);
  cluster.start(3);
  cluster.run(8000);
  EXPECT_GT(cluster.membership_of(3).self().incarnation, before);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
  EXPECT_EQ(cluster.failed_at[3].size(), 0U);
}

TEST(Membership, AMemberThatReturnsAtAnotherAddressIsFoundThere) {
  Cluster cluster(12);
  cluster.run(5000);
  cluster.model.kill(2);
  cluster.run(6000);
  cluster.start(2, 0, true);
  cluster.run(5000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
}

TEST(Membership, MembersRejoinWithoutSeedsAfterAPartition) {
  Cluster cluster(12);
  cluster.run(5000);
  for (std::size_t i = 0; i < 3; ++i) cluster.model.kill(i);
  cluster.run(8000);
  cluster.partition({range(0, 8), range(8, 12)});
  cluster.run(8000);
  cluster.heal();
  cluster.run(8000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
}

TEST(Membership, AWallClockThatWentBackOnlyRaisesTheIncarnation) {
  Cluster cluster(8);
  cluster.run(5000);
  cluster.model.kill(3);
  cluster.run(500);
  cluster.start(3, -900'000);
  cluster.run(10'000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
  EXPECT_EQ(cluster.conflicts, 0);
}

TEST(Membership, APausedProcessDeclaresNobodyFailedAndRejoins) {
  Cluster cluster(24);
  cluster.run(5000);
  cluster.model.pause(7);
  cluster.run(5000);
  for (std::size_t i = 0; i < 24; ++i) {
    if (i != 7) {
      EXPECT_EQ(cluster.state(i, 7), MemberState::kFailed);
    }
  }
  cluster.model.resume(7);
  cluster.run(200);
  EXPECT_TRUE(cluster.membership_of(7).recently_paused(cluster.model.now()));
  cluster.run(4000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
  EXPECT_EQ(cluster.false_failures, 0);
  EXPECT_EQ(cluster.new_incarnations, 1);  // only the paused member's
}

TEST(Membership, APartitionedMinorityDeclaresNobodyFailedAndRejoins) {
  Cluster cluster(24);
  cluster.run(5000);
  cluster.partition({range(0, 18), range(18, 24)});
  cluster.run(5000);
  for (std::size_t i = 0; i < 24; ++i) {
    if (i < 18) {
      EXPECT_EQ(cluster.state(i, 20), MemberState::kFailed);
      EXPECT_LE(cluster.connectivity(i), ConnectivityState::kDegraded);
    } else {
      EXPECT_EQ(cluster.state(i, 2), MemberState::kSuspect);
      EXPECT_GE(cluster.connectivity(i), ConnectivityState::kPartitioned);
    }
  }
  cluster.heal();
  cluster.run(6000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
  EXPECT_EQ(cluster.new_incarnations, 6);  // those of the minority
}

TEST(Membership, AMemberIsolatedForLongHarmsNobodyWhenItRejoins) {
  Cluster cluster(12);
  cluster.run(5000);
  cluster.partition({range(0, 11), {11}});
  cluster.run(60'000);
  EXPECT_EQ(cluster.connectivity(11), ConnectivityState::kIsolated);
  cluster.heal();
  cluster.run(6000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
  EXPECT_EQ(cluster.new_incarnations, 1);
}

TEST(Membership, PartitionsIntoTwoAndThreeGroupsHeal) {
  for (const auto& groups : std::vector<std::vector<std::vector<std::size_t>>>{
           {range(0, 12), range(12, 24)}, {range(0, 8), range(8, 16), range(16, 24)}}) {
    Cluster cluster(24);
    cluster.run(5000);
    cluster.partition(groups);
    cluster.run(12'000);
    cluster.heal();
    cluster.run(10'000);
    EXPECT_EQ(cluster.check_final_view(), Violations{}) << groups.size();
  }
}

TEST(Membership, ABrokenLinkBetweenTwoMembersFailsNeither) {
  for (const std::size_t count : {3, 8, 24}) {
    Cluster cluster(count);
    cluster.run(5000);
    cluster.model.is_blocked = [](std::size_t from, std::size_t to) { return from + to == 1; };
    cluster.run(40'000);
    EXPECT_EQ(cluster.false_failures, 0) << count;
    cluster.model.is_blocked = [](std::size_t, std::size_t) { return false; };
    cluster.run(10'000);
    EXPECT_EQ(cluster.check_final_view(), Violations{}) << count;
  }
}

TEST(Membership, AMemberThatOnlySendsIsDeclaredFailed) {
  Cluster cluster(12);
  cluster.run(5000);
  cluster.model.is_blocked = [](std::size_t, std::size_t to) { return to == 3; };
  cluster.run(5000);
  EXPECT_EQ(cluster.state(0, 3), MemberState::kFailed);
  EXPECT_EQ(cluster.connectivity(3), ConnectivityState::kIsolated);
  cluster.model.is_blocked = [](std::size_t, std::size_t) { return false; };
  cluster.run(8000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
}

TEST(Membership, SeventyPercentRestartedWithinASecondRejoin) {
  Cluster cluster(60);
  cluster.run(6000);
  for (std::size_t i = 18; i < 60; ++i) cluster.model.kill(i);
  cluster.run(1000);
  for (std::size_t i = 18; i < 60; ++i) cluster.start(i);
  cluster.run(8000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
}

TEST(Membership, SeventyPercentKilledAreRemovedWithinFortySeconds) {
  Cluster cluster(60);
  cluster.run(6000);
  for (std::size_t i = 18; i < 60; ++i) cluster.model.kill(i);
  cluster.run(40'000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
  for (std::size_t i = 0; i < 18; ++i) EXPECT_EQ(cluster.connectivity(i), ConnectivityState::kConnected);
}

TEST(Membership, OfTwoProcessesWithOneNameTheOlderYieldsUntilTheOtherEnds) {
  Cluster cluster(8);
  cluster.run(5000);
  const std::size_t duplicate = cluster.model.add("g3");
  cluster.start(duplicate);
  cluster.run(6000);
  EXPECT_EQ(cluster.membership_of(duplicate).conflicting_address(), cluster.model.member(3).address);
  EXPECT_EQ(cluster.membership_of(3).conflicting_address(), cluster.model.member(duplicate).address);
  EXPECT_EQ(cluster.connectivity(3), ConnectivityState::kDegraded);
  cluster.model.kill(duplicate);
  cluster.run(15'000);
  EXPECT_EQ(cluster.membership_of(3).conflicting_address(), "");
  EXPECT_EQ(cluster.check_final_view(), Violations{});
}

TEST(Membership, DatagramLossAloneFailsNobody) {
  Cluster cluster(24);
  cluster.model.links.loss = 0.2;
  cluster.run(600'000);
  EXPECT_EQ(cluster.false_failures, 0);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
}

TEST(Membership, GossipEndsOnceAllMembersAgree) {
  Cluster cluster(48);
  cluster.run(5000);
  cluster.model.links.loss = 0.3;
  cluster.run(20'000);
  cluster.model.links.loss = 0;
  cluster.run(40'000);
  std::size_t gossiped = 0;
  cluster.model.message_size = [&gossiped](const Message& message) {
    return gossiped += message.records.size() + message.suspicions.size();
  };
  cluster.run(5000);
  EXPECT_EQ(gossiped, 0U);
}

TEST(Membership, AFlappingMemberLeavesTheOthersConnected) {
  Cluster cluster(12);
  cluster.run(5000);
  for (int cycle = 0; cycle < 8; ++cycle) {
    cluster.partition({range(0, 11), {11}});
    cluster.run(3000);
    cluster.heal();
    cluster.run(3000);
    for (std::size_t i = 0; i < 11; ++i) EXPECT_EQ(cluster.connectivity(i), ConnectivityState::kConnected);
  }
  cluster.run(8000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
  EXPECT_LE(cluster.new_incarnations, 9);
}

TEST(Membership, AMemberPausedBeyondTombstoneRetentionTakesANewIncarnationAndRevivesNobody) {
  MembershipSettings settings;
  settings.tombstone_retention_ms = 60'000;
  Cluster cluster(12, 1, settings);
  cluster.run(5000);
  cluster.model.pause(11);
  cluster.run(100);
  cluster.model.kill(5);  // while member 11 is paused and cannot learn of it
  cluster.run(90'000);
  EXPECT_EQ(cluster.state(0, 11), MemberState::kLeft);  // state() gives kLeft for a forgotten member
  cluster.model.resume(11);
  cluster.run(10'000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
}

TEST(Membership, DuplicatedAndReplayedMessagesChangeNothing) {
  Cluster cluster(12);
  cluster.model.links.duplicate = 0.3;
  cluster.model.links.replay = 0.3;
  cluster.run(8000);
  cluster.model.kill(3);
  cluster.run(3000);
  cluster.start(3);
  cluster.run(10'000);
  EXPECT_EQ(cluster.check_final_view(), Violations{});
  EXPECT_EQ(cluster.conflicts, 0);
}

}  // namespace
}  // namespace cometfold::membership::testing
