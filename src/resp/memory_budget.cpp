#include "resp/memory_budget.h"

namespace cometfold::resp {
namespace {

// The expected size moves towards each reply's size by one part in this many. It rises faster than it falls,
// so that the reservation lies above the mean where sizes differ.
constexpr std::size_t kRisePart = 8;
constexpr std::size_t kFallPart = 64;
// Smaller replies are always accepted: an error that takes the place of a reply must have room.
constexpr std::size_t kSmallReplyBytes = 256;

}  // namespace

void MemoryBudget::record_reply(std::size_t bytes) {
  if (bytes > expected_reply_bytes_) {
    expected_reply_bytes_ += (bytes - expected_reply_bytes_ + kRisePart - 1) / kRisePart;
  } else {
    expected_reply_bytes_ -= (expected_reply_bytes_ - bytes) / kFallPart;
  }
}

bool MemoryBudget::has_room_for_reply(std::size_t bytes, bool waits) const {
  if (bytes <= kSmallReplyBytes) return true;
  const std::size_t kept_free = waits ? limit_ / kFreeForFirstRepliesDivisor : 0;
  return total() + bytes + kept_free <= limit_;
}

}  // namespace cometfold::resp
