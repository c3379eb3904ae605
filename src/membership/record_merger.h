// Merges the records that other gateways send into the table. The greater record wins, so that all gateways
// come to hold the same ones in whatever order records arrive.
#pragma once

#include "membership/gossip_queue.h"
#include "membership/local_identity.h"
#include "membership/member_table.h"
#include "membership/metrics.h"
#include "membership/settings.h"
#include "membership/suspicions.h"

namespace cometfold::membership {

// Who reports a record: its own member, or another one.
enum class RecordSource : std::uint8_t { kSender, kThirdParty };

class RecordMerger {
 public:
  // All references outlive this.
  RecordMerger(const MembershipSettings& settings, MemberTable& table, GossipQueue& gossip,
               Suspicions& suspicions, LocalIdentity& identity, MembershipMetrics& metrics);

  void merge(Ms now, const MemberRecord& record, RecordSource source);
  // A message of the member's own has arrived.
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
