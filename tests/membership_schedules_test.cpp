// Runs membership in the modelled network through hard cases and random schedules of network and process
// faults. All members must agree at the end, and each mutant (membership/faults.h) must cause a violation.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

#include "membership/faults.h"
#include "membership_cluster.h"

namespace cometfold::membership::testing {
namespace {

// The violations of the cluster's checks, and `violation` if `violated`, each prefixed with the name of the
// case.
Violations collect_violations(const char* hard_case, Cluster& cluster, bool violated, const char* violation) {
  Violations all;
  for (const auto& found : cluster.check_final_view()) all.push_back(std::string(hard_case) + ": " + found);
  if (violated) all.push_back(std::string(hard_case) + ": " + violation);
  return all;
}

Violations partitioned_minority() {
  Cluster cluster(24);
  cluster.run(5000);
  cluster.partition({range(0, 18), range(18, 24)});
  cluster.run(6000);
  cluster.heal();
  cluster.run(8000);
  return collect_violations("partitioned minority", cluster, cluster.new_incarnations > 6,
                            "there were more than six new incarnations");
}

Violations paused_process() {
  Violations all;
  Cluster cluster(12);
  cluster.run(5000);
  cluster.model.pause(7);
  cluster.run(5000);
  cluster.model.resume(7);
  cluster.run(300);
  for (std::size_t i = 0; i < 12; ++i) {
    if (cluster.state(7, i) == MemberState::kSuspect) all.push_back("paused process: suspects others");
  }
  cluster.run(6000);
  const bool harmed = cluster.false_failures > 0 || cluster.new_incarnations > 1;
  for (auto& found : collect_violations("paused process", cluster, harmed, "others were declared failed")) {
    all.push_back(std::move(found));
  }
  return all;
}

Violations broken_link() {
  Cluster cluster(8);
  cluster.run(5000);
  cluster.model.is_blocked = [](std::size_t from, std::size_t to) { return from + to == 1; };
  cluster.run(10'000);
  cluster.model.is_blocked = [](std::size_t, std::size_t) { return false; };
  cluster.run(8000);
  return collect_violations("broken link", cluster, cluster.false_failures > 0,
                            "a running member was declared failed");
}

Violations name_conflict() {
  Cluster cluster(8);
  cluster.run(5000);
  const std::size_t duplicate = cluster.model.add("g3");
  cluster.start(duplicate);
  cluster.run(6000);
  const bool unnoticed = cluster.membership_of(3).conflicting_address().empty() ||
                         cluster.membership_of(duplicate).conflicting_address().empty();
  return collect_violations("name conflict", cluster, unnoticed || cluster.new_incarnations > 4,
                            "the conflict is not reported, or does not end");
}

Violations seventy_percent_killed() {
  Cluster cluster(60);
  cluster.run(6000);
  for (std::size_t i = 18; i < 60; ++i) cluster.model.kill(i);
  cluster.run(40'000);
  return collect_violations("seventy percent killed", cluster, false, "");
}

Violations pause_beyond_retention() {
  Violations all;
  MembershipSettings settings;
  settings.tombstone_retention_ms = 40'000;
  Cluster cluster(12, 1, settings);
  cluster.run(5000);
  cluster.model.pause(11);
  cluster.model.kill(5);
  cluster.run(60'000);
  cluster.model.resume(11);
  cluster.start(cluster.model.add("g12"));
  for (int i = 0; i < 20; ++i) {
    cluster.run(100);
    if (cluster.state(12, 5) != MemberState::kLeft) {
      all.push_back("pause beyond retention: a new member shows one that was killed during the pause");
    }
  }
  cluster.run(8000);
  for (auto& found : collect_violations("pause beyond retention", cluster, false, ""))
    all.push_back(std::move(found));
  return all;
}

Violations violations_in_hard_cases() {
  Violations all;
  for (const auto hard_case : {partitioned_minority, paused_process, broken_link, name_conflict,
                               seventy_percent_killed, pause_beyond_retention}) {
    for (auto& found : hard_case()) all.push_back(std::move(found));
  }
  return all;
}

using RandomIndex = std::function<std::size_t(std::uint64_t below)>;

// Restarts a member that does not run, sometimes with its wall clock set back or at a new address.
void restart_if_killed(Cluster& cluster, std::size_t index, const RandomIndex& draw) {
  if (cluster.model.member(index).running) return;
  cluster.left.erase(index);
  cluster.start(index, draw(3) == 0 ? -1e5 : 0, draw(4) == 0);
}

void restart(Cluster& cluster, std::size_t index) {
  cluster.model.kill(index);
  cluster.left.erase(index);
  cluster.start(index);
}

void leave(Cluster& cluster, std::size_t index) {
  const auto& member = cluster.model.member(index);
  if (!member.running || member.paused) return;
  cluster.model.leave(index);
  cluster.left.insert(index);
  cluster.run(300);
  cluster.model.kill(index);
}

void disturb_links(Cluster& cluster, const RandomIndex& draw) {
  cluster.model.links.loss = 0.1 * static_cast<double>(draw(5));
  cluster.model.links.duplicate = 0.1 * static_cast<double>(draw(4));
  cluster.model.links.replay = 0.1 * static_cast<double>(draw(3));
  cluster.model.links.jitter = static_cast<Ms>(draw(200));
}

void partition_at_random(Cluster& cluster, std::size_t count, const RandomIndex& draw) {
  for (std::size_t i = 0; i < count; ++i) {
    cluster.model.member(i).group = static_cast<int>(draw(2 + draw(2)));
  }
}

void random_fault(Cluster& cluster, std::size_t count, const RandomIndex& draw) {
  const std::size_t index = draw(count);
  switch (draw(9)) {
    case 0:
      return cluster.model.kill(index);
    case 1:
      return restart_if_killed(cluster, index, draw);
    case 2:
      return restart(cluster, index);
    case 3:
      return cluster.model.pause(index);
    case 4:
      return cluster.model.resume(index);
    case 5:
      return partition_at_random(cluster, count, draw);
    case 6:
      return cluster.heal();
    case 7:
      return disturb_links(cluster, draw);
    default:
      return leave(cluster, index);
  }
}

// Runs one random schedule of faults and returns the violations.
Violations run_schedule(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const RandomIndex draw = [&random](std::uint64_t below) {
    return static_cast<std::size_t>(random() % below);
  };
  const std::size_t count = 3 + draw(14);
  MembershipSettings settings;
  if (draw(4) == 0) settings.tombstone_retention_ms = 45'000;
  Cluster cluster(count, seed, settings, count);
  cluster.run(static_cast<Ms>(2000 + draw(4000)));
  for (std::size_t steps = 4 + draw(14); steps > 0; --steps) {
    random_fault(cluster, count, draw);
    cluster.run(static_cast<Ms>(draw(9000)));
  }
  cluster.heal();
  cluster.model.links = {};
  for (std::size_t i = 0; i < count; ++i) cluster.model.resume(i);
  cluster.run(40'000);
  return cluster.check_final_view();
}

TEST(Membership, EachDeliberateFaultIsFound) {
  for (int i = 1; i < kMutants; ++i) {
    active_mutant = static_cast<Mutant>(i);
    auto violations = violations_in_hard_cases();
    std::uint64_t seed = 0;
    while (violations.empty() && seed < 400) violations = run_schedule(++seed);
    active_mutant = Mutant::kNone;
    EXPECT_FALSE(violations.empty()) << "mutant " << i;
    if (violations.empty()) continue;
    std::printf("mutant %d, seed %d: %s\n", i, static_cast<int>(seed), violations[0].c_str());
  }
  EXPECT_EQ(violations_in_hard_cases(), Violations{});
}

TEST(Membership, RandomSchedulesEndInAgreement) {
  const char* requested = std::getenv("COMETFOLD_SCHEDULES");
  const int count = requested ? std::atoi(requested) : 60;
  for (int seed = 1; seed <= count; ++seed) {
    ASSERT_EQ(run_schedule(static_cast<std::uint64_t>(seed)), Violations{}) << seed;
  }
}

}  // namespace
}  // namespace cometfold::membership::testing
