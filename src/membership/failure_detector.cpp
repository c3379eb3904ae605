#include "membership/failure_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/faults.h"

namespace cometfold::membership {

namespace {

constexpr double kMaxChanceByLoss = 1e-5;  // that datagram loss alone explains the misses of a suspicion
constexpr double kMinAssumedLoss = 0.05;
constexpr double kMaxAssumedLoss = 0.8;
constexpr double kMinMisses = 4;
constexpr double kMaxMisses = 16;
constexpr std::size_t kMaxUnansweredPings = 64;
// Gossip is piggybacked only while at most this many pings are unanswered: sent to a silent member it would
// be wasted.
constexpr std::size_t kMaxUnansweredForGossip = 2;
constexpr double kSubjectLossWeight = 1.0 / 32;
constexpr double kOverallLossWeight = 1.0 / 256;
constexpr double kRoundTripDivisor = 8;
constexpr double kRoundTripsToWait = 3;      // before a ping counts as missed, within the next two bounds
constexpr double kMinIntervalsToWait = 0.8;  // ping intervals
constexpr double kMaxIntervalsToWait = 4;    // ping intervals
// A new suspicion expires soon, so that a mistaken one does little harm; one that persists gets a longer
// validity and is renewed less often.
constexpr Ms kNewSuspicionMs = 3000;
constexpr Ms kNewSuspicionValidMs = 2000;
constexpr double kRenewalFraction = 1.0 / 3;  // of a suspicion's validity

}  // namespace

FailureDetector::FailureDetector(const MembershipSettings& settings, MemberTable& table,
                                 Suspicions& suspicions, const LocalHealth& health, GossipQueue& gossip,
                                 Outbox& outbox, MembershipMetrics& metrics)
    : settings_(settings),
      table_(table),
      suspicions_(suspicions),
      health_(health),
      gossip_(gossip),
      outbox_(outbox),
      metrics_(metrics) {}

void FailureDetector::update_subjects(Ms now, bool participates) {
  std::map<std::string, Subject> chosen;
  for (auto& [name, member] : table_.members()) {
    const bool observed =
        std::any_of(member.observers.begin(), member.observers.end(),
                    [&](const Member* observer) { return observer->record.name == table_.self().name; });
    if (!observed || !participates) continue;
    const auto previous = subjects_.find(name);
    const bool same =
        previous != subjects_.end() && previous->second.incarnation == member.record.incarnation;
    chosen.emplace(name, same ? previous->second
                              : Subject{.incarnation = member.record.incarnation, .loss_rate = loss_rate_});
  }
  // Withdraws suspicions of members that are no longer observed. Suspicions of inactive members are left to
  // expire, because gateways for which the member is active would take a withdrawal as a sign of life.
  for (auto& [name, subject] : subjects_) {
    Member* member = table_.find(name);
    if (subject.suspected && !chosen.contains(name) && member && is_active(*member)) {
      stop_suspecting(now, *member, subject);
    }
  }
  subjects_ = std::move(chosen);
}

void FailureDetector::ping_subjects(Ms now) {
  for (auto& [name, subject] : subjects_) {
    Message ping = outbox_.make(Message::kPing);
    ping.sequence = outbox_.next_sequence();
    subject.unanswered.push_back({ping.sequence, now});
    if (subject.unanswered.size() > kMaxUnansweredPings) subject.unanswered.pop_front();
    if (subject.unanswered.size() <= kMaxUnansweredForGossip) gossip_.piggyback(now, ping);
    outbox_.send(now, table_.members().at(name).record.address, std::move(ping));
  }
}

void FailureDetector::receive_ack(Ms now, const Message& ack) {
  const auto entry = subjects_.find(ack.sender.name);
  if (entry == subjects_.end()) return;
  Subject& subject = entry->second;
  auto& pings = subject.unanswered;
  const auto answered = std::find_if(pings.begin(), pings.end(),
                                     [&](const Ping& ping) { return ping.sequence == ack.sequence; });
  if (answered == pings.end()) return;
  const auto add_sample = [&](double lost) {
    subject.loss_rate += (lost - subject.loss_rate) * kSubjectLossWeight;
    loss_rate_ += (lost - loss_rate_) * kOverallLossWeight;
  };
  for (auto earlier = pings.begin(); earlier != answered; ++earlier) add_sample(1);
  add_sample(0);
  const Ms round_trip = now - answered->sent_at;
  if (subject.round_trip < 0) {
    subject.round_trip = round_trip;
  } else {
    subject.round_trip += (round_trip - subject.round_trip) / kRoundTripDivisor;
  }
  pings.erase(pings.begin(), answered + 1);
  if (subject.suspected && !mutant(Mutant::kNeverWithdrawsSuspicions)) {
    stop_suspecting(now, table_.members().at(ack.sender.name), subject);
  }
}

void FailureDetector::check_subjects(Ms now) {
  const Ms interval = settings_.ping_interval_ms;
  for (auto& [name, subject] : subjects_) {
    const Ms wait = std::clamp(kRoundTripsToWait * subject.round_trip, kMinIntervalsToWait * interval,
                               kMaxIntervalsToWait * interval);
    const auto misses = std::count_if(subject.unanswered.begin(), subject.unanswered.end(),
                                      [&](const Ping& ping) { return now - ping.sent_at >= wait; });
    if (!subject.suspected && misses < required_misses(std::max(loss_rate_, subject.loss_rate))) continue;
    const Ms renewed_after = subject.suspicion_valid_for * kRenewalFraction;
    if (!subject.suspected || now - subject.suspicion_sent_at >= renewed_after) {
      suspect(now, table_.members().at(name), subject);
    }
  }
}

void FailureDetector::discard_unanswered_pings(Ms now) {
  for (auto& [name, subject] : subjects_) {
    subject.unanswered.clear();
    if (subject.suspected) stop_suspecting(now, table_.members().at(name), subject);
  }
}

int FailureDetector::required_misses(double loss_rate) const {
  const double loss = std::clamp(loss_rate, kMinAssumedLoss, kMaxAssumedLoss);
  const double misses = std::ceil(std::log(kMaxChanceByLoss) / std::log(loss));
  return static_cast<int>(std::clamp(misses, kMinMisses, kMaxMisses)) + health_.score();
}

Ms FailureDetector::contact_window() const {
  return (required_misses(loss_rate_) + 1) * settings_.ping_interval_ms;
}

void FailureDetector::suspect(Ms now, Member& member, Subject& subject) {
  if (!subject.suspected) {
    subject.suspected_since = now;
    ++metrics_.suspicions_raised;
  }
  subject.suspected = true;
  subject.suspicion_sent_at = now;
  const bool is_new = now - subject.suspected_since < kNewSuspicionMs;
  subject.suspicion_valid_for = is_new ? kNewSuspicionValidMs : kMaxSuspicionMs;
  suspicions_.raise(now, member, subject.suspicion_valid_for);
}

void FailureDetector::stop_suspecting(Ms now, Member& member, Subject& subject) {
  ++metrics_.suspicions_withdrawn;
  subject.suspected = false;
  suspicions_.withdraw(now, member);
}

}  // namespace cometfold::membership
