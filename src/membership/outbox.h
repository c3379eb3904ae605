// Outgoing messages, within the rate limit.
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
  // All references outlive this. Draws one random number, for the first sequence.
  Outbox(const MembershipSettings& settings, const Draw& draw, const MemberTable& table,
         const NameConflict& conflict, MembershipMetrics& metrics);

  void start(Ms now);
  // A message with what each message says of its sender.
  Message make(Message::Type type) const;
  std::uint64_t next_sequence() { return ++sequence_; }
  std::uint64_t last_sequence() const { return sequence_; }
  // Sequences go on from a random number, so that answers to earlier messages are recognized as such.
  std::uint64_t restart_sequences();
  // Drops the message, and counts it, beyond the rate limit.
  void send(Ms now, const std::string& to, Message message);
  std::vector<OutgoingMessage> take() { return std::exchange(messages_, {}); }

 private:
  const MembershipSettings& settings_;
  const Draw& draw_;
  const MemberTable& table_;
  const NameConflict& conflict_;
  MembershipMetrics& metrics_;
  std::uint64_t sequence_ = 0;
  double tokens_ = 0;  // datagrams that may go out at once
  Ms refilled_at_ = 0;
  std::vector<OutgoingMessage> messages_;
};

}  // namespace cometfold::membership
