#include "membership/anti_entropy.h"

#include <utility>

#include "membership/faults.h"
#include "membership/wire.h"

namespace cometfold::membership {

namespace {

constexpr int kSyncsPerTick = 2;
constexpr int kMaxDatagramsPerSync = 3;
// Ping intervals for which the local digest has to be unchanged before a difference triggers a sync: digests
// differ anyway while gossip is still spreading updates.
constexpr double kStableIntervals = 3;

}  // namespace

void AntiEntropy::reset_budget() { syncs_left_ = kSyncsPerTick; }

void AntiEntropy::request_sync(Ms now, const std::string& to) {
  Message request = outbox_.make(Message::kSyncRequest);
  request.bucket_digests = table_.bucket_digests();
  request.sequence = outbox_.next_sequence();
  ++metrics_.syncs;
  outbox_.send(now, to, std::move(request));
}

void AntiEntropy::compare_digest(Ms now, const Message& message) {
  const bool stable = now - table_.digest_changed_at() > kStableIntervals * settings_.ping_interval_ms;
  if (message.digest == table_.digest() || !stable || syncs_left_ <= 0) return;
  if (mutant(Mutant::kNoDigestComparison)) return;
  --syncs_left_;
  request_sync(now, message.sender.address);
}

void AntiEntropy::receive(Ms now, const Message& message) {
  if (message.bucket_digests.size() != kDigestBuckets) return;
  if (message.type == Message::kSyncRequest) send_differing_records(now, message, Message::kSyncReply);
  if (message.type == Message::kSyncReply) send_differing_records(now, message, Message::kSyncFinal);
}

std::vector<const Member*> AntiEntropy::members_of_differing_buckets(const Message& message) const {
  std::vector<const Member*> differing;
  for (const auto& [name, member] : table_.members()) {
    const std::size_t bucket = member.name_hash % kDigestBuckets;
    if (member.digest != 0 && message.bucket_digests[bucket] != table_.bucket_digests()[bucket]) {
      differing.push_back(&member);
    }
  }
  return differing;
}

// Starts at a random record, so that every record is eventually sent even if not all fit. The last datagram
// of a reply carries this gateway's bucket digests, which request the other side's records.
void AntiEntropy::send_differing_records(Ms now, const Message& received, Message::Type type) {
  const auto differing = members_of_differing_buckets(received);
  const bool reply = type == Message::kSyncReply;
  if (differing.empty() && !reply) return;
  const std::size_t first = differing.empty() ? 0 : draw_(differing.size());
  std::size_t next = 0;
  for (int datagram = 1; datagram <= kMaxDatagramsPerSync; ++datagram) {
    Message message = outbox_.make(type);
    message.sequence = received.sequence;
    std::size_t used_bytes = encoded_size_bound(message.sender) + kMessageOverheadBytes + kBucketDigestsBytes;
    for (; next < differing.size(); ++next) {
      const Member& member = *differing[(first + next) % differing.size()];
      used_bytes += encoded_size_bound(member.record);
      if (used_bytes > kMaxMessageBytes) break;
      message.records.push_back(advertised_record(now, member));
    }
    const bool last = datagram == kMaxDatagramsPerSync || next == differing.size();
    if (reply && last) message.bucket_digests = table_.bucket_digests();
    outbox_.send(now, received.sender.address, std::move(message));
    if (last) return;
  }
}

}  // namespace cometfold::membership
