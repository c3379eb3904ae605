// Anti-entropy: repairs what gossip has missed. Gateways compare digests of their member tables and exchange
// the records of the buckets that differ, in up to three steps (request, reply, final).
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "membership/member_table.h"
#include "membership/metrics.h"
#include "membership/outbox.h"
#include "membership/record.h"
#include "membership/settings.h"

namespace cometfold::membership {

class AntiEntropy {
 public:
  // All references must outlive this object.
  AntiEntropy(const MembershipSettings& settings, const Draw& draw, const MemberTable& table, Outbox& outbox,
              MembershipMetrics& metrics)
      : settings_(settings), draw_(draw), table_(table), outbox_(outbox), metrics_(metrics) {}

  // Must be called at each tick.
  void reset_budget();
  void request_sync(Ms now, const std::string& to);
  // Requests a sync if the sender's digest differs from this table's, provided that this table has been
  // unchanged for a while and that syncs are left in this tick.
  void compare_digest(Ms now, const Message& message);
  // Answers a sync request or reply with the records that differ; ignores other messages.
  void receive(Ms now, const Message& message);

 private:
  std::vector<const Member*> members_of_differing_buckets(const Message& message) const;
  void send_differing_records(Ms now, const Message& received, Message::Type type);

  const MembershipSettings& settings_;
  const Draw& draw_;
  const MemberTable& table_;
  Outbox& outbox_;
  MembershipMetrics& metrics_;
  int syncs_left_ = 0;  // syncs that differing digests may still start before the next tick
};

}  // namespace cometfold::membership
