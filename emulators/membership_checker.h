// Checks properties that hold for all members of a cluster, at any time and after all faults have ended.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership.h"

namespace cometfold::emulators {

// Collects violations as text.
class MembershipChecker {
 public:
  // Must be called for each event at each process; `observer` is a number unique to the process.
  void observe(std::uint64_t observer, const std::string& observer_name,
               const membership::MembershipEvent& event);
  // Compares one process's view with the incarnations of the running members, after all faults have ended.
  void check_final_view(const std::string& observer, const std::vector<membership::MemberView>& shown,
                        const std::map<std::string, std::uint64_t>& running);
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  using Incarnation = std::pair<std::string, std::uint64_t>;  // a member's name and incarnation

  static constexpr std::size_t kMaxViolations = 20;

  void add(std::string violation) {
    if (violations_.size() < kMaxViolations) violations_.push_back(std::move(violation));
  }

  std::map<std::uint64_t, std::map<Incarnation, membership::MemberState>>
      departed_;  // members that were failed or left, by observer
  std::vector<std::string> violations_;
};

inline void MembershipChecker::observe(std::uint64_t observer, const std::string& observer_name,
                                       const membership::MembershipEvent& event) {
  using membership::MemberState;
  if (event.kind != membership::MembershipEvent::kMemberChanged) return;
  auto& departed = departed_[observer];
  const Incarnation incarnation{event.name, event.incarnation};
  if (event.state == MemberState::kFailed || event.state == MemberState::kLeft) {
    departed.insert({incarnation, event.state});
  } else if (departed.contains(incarnation)) {
    add(observer_name + ": " + event.name + " in incarnation " + std::to_string(event.incarnation) +
        " went from " + std::string(name_of(departed.at(incarnation))) + " back to " +
        std::string(name_of(event.state)));
  }
}

inline void MembershipChecker::check_final_view(const std::string& observer,
                                                const std::vector<membership::MemberView>& shown,
                                                const std::map<std::string, std::uint64_t>& running) {
  using membership::MemberState;
  std::map<std::string, std::uint64_t> alive;
  for (const auto& member : shown) {
    if (member.state == MemberState::kAlive) alive[member.name] = member.incarnation;
    if (member.state == MemberState::kSuspect) {
      add(observer + " suspects " + member.name + " after all faults have ended");
    }
  }
  for (const auto& [name, incarnation] : running) {
    const auto entry = alive.find(name);
    if (entry == alive.end()) {
      add(observer + " does not show " + name + " alive, although it runs");
    } else if (entry->second != incarnation) {
      add(observer + " shows " + name + " in incarnation " + std::to_string(entry->second) + ", it has " +
          std::to_string(incarnation));
    }
  }
  for (const auto& [name, incarnation] : alive) {
    if (!running.contains(name)) add(observer + " shows " + name + " alive, although it does not run");
  }
}

}  // namespace cometfold::emulators
