// Queue of outgoing messages with a rate limit (token bucket).
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "membership/member_table.h"
#include "membership/metrics.h"
#include "membership/name_conflict.h"
#include "membership/record.h"
#include "membership/settings.h"

namespace cometfold::membership {

struct OutgoingMessage {
  std::string to;  // address
  Message message;
};

class Outbox {
 public:
  // All references must outlive this object. Draws one random number, for the first sequence number.
  Outbox(const MembershipSettings& settings, const Draw& draw, const MemberTable& table,
         const NameConflict& conflict, MembershipMetrics& metrics);

  void start(Ms now);
  // Creates a message with the fields that describe the sender.
  Message make(Message::Type type) const;
  std::uint64_t next_sequence() { return ++sequence_; }
  std::uint64_t last_sequence() const { return sequence_; }
  // Continues sequence numbers from a new random one, so that answers to earlier messages can be told apart.
  // Returns that number.
  std::uint64_t restart_sequences();
  // Queues the message, or drops and counts it if it exceeds the rate limit.
  void send(Ms now, const std::string& to, Message message);
  std::vector<OutgoingMessage> take() { return std::exchange(messages_, {}); }

 private:
  const MembershipSettings& settings_;
  const Draw& draw_;
  const MemberTable& table_;
  const NameConflict& conflict_;
  MembershipMetrics& metrics_;
  std::uint64_t sequence_ = 0;
  double tokens_ = 0;  // datagrams that may be sent now
  Ms refilled_at_ = 0;
  std::vector<OutgoingMessage> messages_;
};

}  // namespace cometfold::membership
