// Fixture of the membership tests: a modelled cluster whose members' events are checked and counted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "emulators/membership_checker.h"
#include "emulators/membership_model.h"

namespace cometfold::membership::testing {

using emulators::MembershipChecker;
using emulators::MembershipModel;
using emulators::RealMember;

using Violations = std::vector<std::string>;

// A modelled cluster. Members are numbered from 0 and named g0, g1, ...
class Cluster {
 public:
  explicit Cluster(std::size_t count, std::uint64_t seed = 1, MembershipSettings settings = {},
                   std::size_t seed_count = 3)
      : settings_(settings),
        seed_count_(seed_count),
        model(
            [this](MemberRecord self, std::vector<std::string> seeds, Draw draw) {
              return std::make_unique<RealMember>(settings_, std::move(self), std::move(seeds),
                                                  std::move(draw));
            },
            seed) {
    model.on_event = [this](std::size_t observer, const MembershipEvent& event) { record(observer, event); };
    for (std::size_t i = 0; i < count; ++i) {
      model.add("g" + std::to_string(i));
      start(i);
    }
  }
  // Starts a member with the home addresses of the first `seed_count` members as seeds.
  void start(std::size_t index, double wall_clock_offset = 0, bool new_address = false) {
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < seed_count_; ++i) seeds.push_back(MembershipModel::home_address(i));
    model.start(index, seeds, 1e6 + model.now() + wall_clock_offset, new_address);
  }
  void run(Ms span) { model.run_until(model.now() + span); }
  const Membership& membership_of(std::size_t index) {
    return dynamic_cast<RealMember&>(*model.member(index).protocol).real();
  }
  // The state of `member` in the view of `observer`; kLeft if the view does not contain it.
  MemberState state(std::size_t observer, std::size_t member) {
    for (const auto& view : membership_of(observer).members(model.now())) {
      if (view.name == model.member(member).name) return view.state;
    }
    return MemberState::kLeft;
  }
  ConnectivityState connectivity(std::size_t index) { return membership_of(index).connectivity(); }
  // Checks the final view and returns all violations so far. Must be called after all faults have ended.
  Violations check_final_view() {
    std::map<std::string, std::uint64_t> running;
    for (std::size_t i = 0; i < model.size(); ++i) {
      auto& member = model.member(i);
      if (member.running && !left.contains(i)) running[member.name] = member.protocol->incarnation();
    }
    for (std::size_t i = 0; i < model.size(); ++i) {
      auto& member = model.member(i);
      if (!member.running || left.contains(i)) continue;
      checker.check_final_view(member.name, member.protocol->members(model.now()), running);
    }
    return checker.violations();
  }
  void partition(const std::vector<std::vector<std::size_t>>& groups) {
    for (std::size_t group = 0; group < groups.size(); ++group) {
      for (const std::size_t index : groups[group]) model.member(index).group = static_cast<int>(group);
    }
  }
  void heal() {
    for (std::size_t i = 0; i < model.size(); ++i) model.member(i).group = 0;
  }

 private:
  void record(std::size_t observer, const MembershipEvent& event) {
    checker.observe(observer * 1000 + model.member(observer).round, model.member(observer).name, event);
    if (event.kind == MembershipEvent::kMemberChanged && event.state == MemberState::kFailed) {
      const std::size_t failed = std::stoul(event.name.substr(1));
      if (model.member(failed).running && !model.member(failed).paused) ++false_failures;
      failed_at[failed].insert({observer, model.now()});
    }
    if (event.kind == MembershipEvent::kNewIncarnation) ++new_incarnations;
    if (event.kind == MembershipEvent::kNameConflict) ++conflicts;
  }

  MembershipSettings settings_;
  std::size_t seed_count_;

 public:
  MembershipChecker checker;
  MembershipModel model;
  std::set<std::size_t> left;
  int false_failures = 0, new_incarnations = 0, conflicts = 0;
  std::map<std::size_t, std::map<std::size_t, Ms>> failed_at;  // by failed member, then by observer
};

// The indices from `first` up to but excluding `end`.
inline std::vector<std::size_t> range(std::size_t first, std::size_t end) {
  std::vector<std::size_t> all;
  for (std::size_t index = first; index < end; ++index) all.push_back(index);
  return all;
}

}  // namespace cometfold::membership::testing
