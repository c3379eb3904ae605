#include "membership/outbox.h"

#include <algorithm>

namespace cometfold::membership {

namespace {

constexpr double kBurst = 100;  // size of the token bucket, in datagrams
constexpr std::uint64_t kFirstSequenceBound = std::uint64_t{1} << 62;

}  // namespace

Outbox::Outbox(const MembershipSettings& settings, const Draw& draw, const MemberTable& table,
               const NameConflict& conflict, MembershipMetrics& metrics)
    : settings_(settings), draw_(draw), table_(table), conflict_(conflict), metrics_(metrics) {
  restart_sequences();
}

void Outbox::start(Ms now) {
  tokens_ = kBurst;
  refilled_at_ = now;
}

std::uint64_t Outbox::restart_sequences() {
  sequence_ = draw_(kFirstSequenceBound);
  return sequence_;
}

Message Outbox::make(Message::Type type) const {
  Message message;
  message.type = type;
  message.sender = table_.self();
  message.digest = table_.digest();
  if (conflict_.displaced()) message.displaced_by = conflict_.incarnation();
  return message;
}

void Outbox::send(Ms now, const std::string& to, Message message) {
  const double refill = (now - refilled_at_) * settings_.max_datagrams_per_second / 1000;
  tokens_ = std::min(kBurst, tokens_ + refill);
  refilled_at_ = now;
  if (tokens_ < 1) {
    ++metrics_.rate_limited;
    return;
  }
  tokens_ -= 1;
  messages_.push_back({to, std::move(message)});
}

}  // namespace cometfold::membership
