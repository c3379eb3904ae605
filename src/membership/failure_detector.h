// Pings the members that this gateway observes (its subjects) and suspects those that do not answer. The
// number of pings that have to go unanswered follows from the measured datagram loss.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "membership/gossip_queue.h"
#include "membership/local_health.h"
#include "membership/member_table.h"
#include "membership/metrics.h"
#include "membership/outbox.h"
#include "membership/settings.h"
#include "membership/suspicions.h"

namespace cometfold::membership {

class FailureDetector {
 public:
  struct Ping {
    std::uint64_t sequence = 0;
    Ms sent_at = 0;
  };
  struct Subject {
    std::uint64_t incarnation = 0;
    std::deque<Ping> unanswered = {};  // pings since the last one that was answered
    Ms round_trip = kUnset;            // smoothed
    double loss_rate = 0;              // smoothed
    bool suspected = false;
    Ms suspected_since = kLongAgo;
    Ms suspicion_sent_at = kLongAgo;
    Ms suspicion_valid_for = 0;
  };

  // All references must outlive this object.
  FailureDetector(const MembershipSettings& settings, MemberTable& table, Suspicions& suspicions,
                  const LocalHealth& health, GossipQueue& gossip, Outbox& outbox, MembershipMetrics& metrics);

  const std::map<std::string, Subject>& subjects() const { return subjects_; }
  // Makes the members that have this gateway among their observers the subjects; none if `participates` is
  // false.
  void update_subjects(Ms now, bool participates);
  void clear_subjects() { subjects_.clear(); }

  void ping_subjects(Ms now);
  void receive_ack(Ms now, const Message& ack);
  // Suspects subjects that do not answer and renews suspicions before they expire.
  void check_subjects(Ms now);
  // Discards unanswered pings and withdraws this gateway's suspicions: the answers may be missing only
  // because this process was paused.
  void discard_unanswered_pings(Ms now);
  // A member counts as in contact for this long after its last message.
  Ms contact_window() const;

 private:
  // The number of consecutive unanswered pings that datagram loss alone is unlikely to explain.
  int required_misses(double loss_rate) const;
  void suspect(Ms now, Member& member, Subject& subject);
  void stop_suspecting(Ms now, Member& member, Subject& subject);

  const MembershipSettings& settings_;
  MemberTable& table_;
  Suspicions& suspicions_;
  const LocalHealth& health_;
  GossipQueue& gossip_;
  Outbox& outbox_;
  MembershipMetrics& metrics_;
  std::map<std::string, Subject> subjects_;
  double loss_rate_ = 0;  // smoothed, over all subjects
};

}  // namespace cometfold::membership
