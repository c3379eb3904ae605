#include "membership/rejoiner.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cometfold::membership {

namespace {

constexpr std::uint64_t kRejoinIntervalTicks = 4;
constexpr int kFastTicks = 12;
constexpr std::size_t kSeedsAtStart = 3;
constexpr std::size_t kMaxSeeds = 64;

}  // namespace

Rejoiner::Rejoiner(const Draw& draw, const MemberTable& table, const NameConflict& conflict,
                   AntiEntropy& anti_entropy, Outbox& outbox, std::vector<std::string> seeds)
    : draw_(draw),
      table_(table),
      conflict_(conflict),
      anti_entropy_(anti_entropy),
      outbox_(outbox),
      seeds_(std::move(seeds)) {
  std::erase(seeds_, table_.self().address);
}

void Rejoiner::start(Ms now) {
  const std::size_t count = std::min(kSeedsAtStart, seeds_.size());
  for (std::size_t i = 0; i < count; ++i) {
    anti_entropy_.request_sync(now, seeds_[(draw_(seeds_.size()) + i) % seeds_.size()]);
  }
}

void Rejoiner::start_fast_rejoin() { fast_ticks_left_ = kFastTicks; }

void Rejoiner::add_seed(const std::string& address) {
  const bool known = std::find(seeds_.begin(), seeds_.end(), address) != seeds_.end();
  if (!known && seeds_.size() < kMaxSeeds) seeds_.push_back(address);
}

void Rejoiner::tick(Ms now, bool isolated) {
  ++ticks_;
  const bool fast = isolated && fast_ticks_left_ > 0;
  if (fast) --fast_ticks_left_;
  if (!fast && ticks_ % kRejoinIntervalTicks != 0) return;
  ping_silent_member(now);
  contact_unreached_seed(now);
  if (conflict_.displaced()) check_conflict(now);
}

void Rejoiner::ping_silent_member(Ms now) {
  std::vector<const std::string*> addresses;
  for (const auto& [name, member] : table_.members()) {
    const bool silent = member.record.status == MemberStatus::kFailed || member.excluded_locally ||
                        (is_active(member) && !member.reachable);
    if (silent && name != table_.self().name) addresses.push_back(&member.record.address);
  }
  if (addresses.empty()) return;
  Message ping = outbox_.make(Message::kPing);
  ping.sequence = outbox_.next_sequence();
  outbox_.send(now, *addresses[draw_(addresses.size())], std::move(ping));
}

// A seed that is not a reachable member may belong to a part of the cluster that does not know this gateway.
void Rejoiner::contact_unreached_seed(Ms now) {
  std::vector<const std::string*> unreached;
  for (const auto& seed : seeds_) {
    const bool reached =
        std::any_of(table_.members().begin(), table_.members().end(), [&](const auto& entry) {
          const Member& member = entry.second;
          return member.record.address == seed && is_active(member) && member.reachable;
        });
    if (!reached) unreached.push_back(&seed);
  }
  if (!unreached.empty()) anti_entropy_.request_sync(now, *unreached[draw_(unreached.size())]);
}

// Checks whether the process that displaces this one still runs.
void Rejoiner::check_conflict(Ms now) {
  outbox_.send(now, conflict_.address(), outbox_.make(Message::kPing));
  std::vector<const std::string*> addresses;
  for (const auto& [name, member] : table_.members()) {
    if (is_active(member) && name != table_.self().name) addresses.push_back(&member.record.address);
  }
  if (!addresses.empty()) anti_entropy_.request_sync(now, *addresses[draw_(addresses.size())]);
}

}  // namespace cometfold::membership
