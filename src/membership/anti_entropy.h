// Finds what gossip has missed: gateways compare digests of their tables and exchange the records of the
// buckets that differ, in up to three messages (request, reply, final).
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
  // All references outlive this.
  AntiEntropy(const MembershipSettings& settings, const Draw& draw, const MemberTable& table, Outbox& outbox,
              MembershipMetrics& metrics)
      : settings_(settings), draw_(draw), table_(table), outbox_(outbox), metrics_(metrics) {}

  // To be called at each tick.
  void reset_budget();
  void request_sync(Ms now, const std::string& to);
  // Requests a sync if the sender's table differs from this one.
  void compare_digest(Ms now, const Message& message);
  // A sync request, reply or final message.
  void receive(Ms now, const Message& message);

 private:
  std::vector<const Member*> members_of_differing_buckets(const Message& message) const;
  void send_differing_records(Ms now, const Message& received, Message::Type type);

  const MembershipSettings& settings_;
  const Draw& draw_;
  const MemberTable& table_;
  Outbox& outbox_;
  MembershipMetrics& metrics_;
  int syncs_left_ = 0;  // that a differing digest may start before the next tick
};

}  // namespace cometfold::membership
