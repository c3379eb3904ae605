// Monitors the members that this gateway observes, its subjects, by pings, and suspects those that do not
// answer. How many pings have to go unanswered follows from the loss of datagrams measured so far.
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
    std::deque<Ping> unanswered = {};  // since the last one that was answered
    Ms round_trip = kUnset;            // smoothed
    double loss_rate = 0;              // smoothed
    bool suspected = false;
    Ms suspected_since = kLongAgo;
    Ms suspicion_sent_at = kLongAgo;
    Ms suspicion_valid_for = 0;
  };

  // All references outlive this.
  FailureDetector(const MembershipSettings& settings, MemberTable& table, Suspicions& suspicions,
                  const LocalHealth& health, GossipQueue& gossip, Outbox& outbox, MembershipMetrics& metrics);

  const std::map<std::string, Subject>& subjects() const { return subjects_; }
  // Takes the members that have this gateway among their observers as subjects. `takes_part` false: none.
  void update_subjects(Ms now, bool takes_part);
  void clear_subjects() { subjects_.clear(); }

  void ping_subjects(Ms now);
  void receive_ack(Ms now, const Message& ack);
  // Suspects subjects that do not answer, and renews suspicions that would expire.
  void check_subjects(Ms now);
  // Forgets pings that may have gone unanswered because this process was paused.
  void forgive_silence(Ms now);
  // A member is in contact if a message of its own arrived within this time.
  Ms contact_window() const;

 private:
  // Unanswered pings in a row that loss alone hardly explains.
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
  double loss_rate_ = 0;  // over all subjects
};

}  // namespace cometfold::membership
