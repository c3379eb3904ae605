#include "membership/gossip_queue.h"

#include <algorithm>
#include <utility>

#include "membership/wire.h"

namespace cometfold::membership {

namespace {

constexpr int kSendsPerObserver = 4;  // sends of each update, per observer of a member

}  // namespace

int GossipQueue::sends() const {
  return kSendsPerObserver * static_cast<int>(settings_.observers_per_member);
}

void GossipQueue::enqueue_record(Member& member) {
  member.record_sends_left = sends();
  enqueue(member);
}

void GossipQueue::enqueue_suspicions(Member& member) {
  member.suspicion_sends_left = sends();
  enqueue(member);
}

void GossipQueue::enqueue(Member& member) {
  if (!std::exchange(member.queued_for_gossip, true)) queue_.push_back(&member);
}

void GossipQueue::remove(const Member& member) { std::erase(queue_, &member); }

void GossipQueue::piggyback(Ms now, Message& message) {
  // Pings go to the same members in the same order at each tick. Starting at a random entry keeps each
  // member from always getting the same part of the queue.
  if (queue_.size() > 1) {
    const auto first = static_cast<std::ptrdiff_t>(draw_(queue_.size()));
    std::rotate(queue_.begin(), queue_.begin() + first, queue_.end());
  }
  std::size_t used_bytes = encoded_size_bound(message.sender) + kMessageOverheadBytes;
  for (std::size_t left = queue_.size(); left > 0; --left) {
    Member& member = *queue_.front();
    if (!add_record(now, member, message, used_bytes)) return;
    if (!add_suspicions(now, member, message, used_bytes)) return;
    queue_.pop_front();
    member.queued_for_gossip = member.record_sends_left > 0 || member.suspicion_sends_left > 0;
    if (member.queued_for_gossip) queue_.push_back(&member);
  }
}

bool GossipQueue::add_record(Ms now, Member& member, Message& message, std::size_t& used_bytes) {
  if (member.record_sends_left <= 0) return true;
  const std::size_t bytes = encoded_size_bound(member.record);
  if (used_bytes + bytes > kMaxMessageBytes) return false;
  used_bytes += bytes;
  --member.record_sends_left;
  message.records.push_back(advertised_record(now, member));
  return true;
}

bool GossipQueue::add_suspicions(Ms now, Member& member, Message& message, std::size_t& used_bytes) {
  if (member.suspicion_sends_left <= 0) return true;
  std::size_t bytes = 0;
  for (const auto& suspicion : member.suspicions) {
    bytes += suspicion_size_bound(member.record.name, suspicion.suspector);
  }
  if (used_bytes + bytes > kMaxMessageBytes) return false;
  used_bytes += bytes;
  --member.suspicion_sends_left;
  for (const auto& suspicion : member.suspicions) {
    if (!suspicion.withdrawn && suspicion.expires_at <= now) continue;
    message.suspicions.push_back({member.record.name, member.record.incarnation, member.record.process_nonce,
                                  suspicion.suspector, suspicion.suspector_incarnation, suspicion.version,
                                  suspicion.withdrawn ? 0 : suspicion.expires_at - now});
  }
  return true;
}

}  // namespace cometfold::membership
