// Merges received records into the member table. The greater record wins, so that all gateways converge on
// the same records in whatever order they arrive.
#pragma once

#include "membership/gossip_queue.h"
#include "membership/local_identity.h"
#include "membership/member_table.h"
#include "membership/metrics.h"
#include "membership/settings.h"
#include "membership/suspicions.h"

namespace cometfold::membership {

// Who sent a record: the member that it describes, or another one.
enum class RecordSource : std::uint8_t { kSender, kThirdParty };

class RecordMerger {
 public:
  // All references must outlive this object.
  RecordMerger(const MembershipSettings& settings, MemberTable& table, GossipQueue& gossip,
               Suspicions& suspicions, LocalIdentity& identity, MembershipMetrics& metrics);

  void merge(Ms now, const MemberRecord& record, RecordSource source);
  // Notes that a message from the member itself has arrived.
  void observe_contact(Ms now, Member& member);

 private:
  void merge_known(Ms now, Member& member, const MemberRecord& record, RecordSource source);
  void merge_unknown(Ms now, const MemberRecord& record, RecordSource source);
  void merge_excluded(Ms now, Member& member, const MemberRecord& record);
  bool is_outdated(const MemberRecord& record, RecordSource source) const;
  void readmit(Ms now, Member& member);

  const MembershipSettings& settings_;
  MemberTable& table_;
  GossipQueue& gossip_;
  Suspicions& suspicions_;
  LocalIdentity& identity_;
  MembershipMetrics& metrics_;
};

}  // namespace cometfold::membership
