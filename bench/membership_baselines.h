// The two protocols that membership is compared with: heartbeats from all to all with a fixed timeout, and
// SWIM without Lifeguard (Das et al., 2002).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "emulators/membership_model.h"

namespace cometfold::bench {

using emulators::MembershipEvent;
using emulators::MembershipProtocol;
using emulators::MemberState;
using emulators::MemberView;
using emulators::Message;
using emulators::OutgoingMessage;
using membership::Draw;
using membership::MemberRecord;

// Each member sends a heartbeat to every other one; a member that is silent for a fixed time has failed.
class Heartbeats : public MembershipProtocol {
 public:
  Heartbeats(MemberRecord self, std::vector<std::string> addresses, const Draw& draw);
  void start(Ms now) override { next_tick_ += now; }
  void receive(Ms now, const Message& message) override;
  void tick(Ms now) override;
  Ms next_tick() const override { return next_tick_; }
  void leave(Ms) override {}
  std::vector<OutgoingMessage> take_messages() override { return std::exchange(messages_, {}); }
  std::vector<MembershipEvent> take_events() override { return std::exchange(events_, {}); }
  std::vector<MemberView> members(Ms) const override { return {}; }
  std::uint64_t incarnation() const override { return 0; }
  std::size_t memory_bytes() const override { return peers_.size() * kPeerBytes; }

 private:
  static constexpr std::size_t kPeerBytes = 100;  // an estimate
  struct Peer {
    Ms last_heartbeat_at = 0;
    bool failed = false;
  };

  MemberRecord self_;
  std::vector<std::string> addresses_;
  Ms next_tick_;
  std::map<std::string, Peer> peers_;
  std::vector<OutgoingMessage> messages_;
  std::vector<MembershipEvent> events_;
};

// In each period pings the next member of a shuffled list, and after a timeout sends three indirect pings.
// Suspicion lasts a fixed time and can be refuted; gossip travels on pings and acks. All members know each
// other from the start. An indirect ping is a ping with `incarnation_floor` 1, whose target is the first
// record's name.
class Swim : public MembershipProtocol {
 public:
  // `members`: names and addresses.
  Swim(MemberRecord self, const std::vector<std::pair<std::string, std::string>>& members, Draw draw);
  void start(Ms now) override;
  Ms next_tick() const override { return next_tick_; }
  void tick(Ms now) override;
  void receive(Ms now, const Message& message) override;
  void leave(Ms) override {}
  std::vector<OutgoingMessage> take_messages() override { return std::exchange(messages_, {}); }
  std::vector<MembershipEvent> take_events() override { return std::exchange(events_, {}); }
  std::vector<MemberView> members(Ms) const override { return {}; }
  std::uint64_t incarnation() const override { return self_.incarnation; }
  std::size_t memory_bytes() const override { return peers_.size() * kPeerBytes; }

 private:
  static constexpr std::size_t kPeerBytes = 150;  // an estimate
  enum State : std::uint8_t { kAlive, kSuspect, kFailed };
  struct Peer {
    std::string address;
    std::uint64_t incarnation = 1;
    State state = kAlive;
    Ms state_since = 0;
    int sends_left = 0;
  };
  struct RelayedPing {
    std::string requester;  // address
    std::uint64_t sequence = 0;
  };

  MemberRecord record_of(const std::string& name);
  Message make_message(Message::Type type, std::uint64_t sequence);
  void update(Ms now, const std::string& name, std::uint64_t incarnation, State state);
  void receive_ack(const Message& ack);
  void relay_ping(const Message& request);
  void send_indirect_pings();
  void ping_next();
  bool awaits_ack() const { return pinged_ && !acked_; }

  MemberRecord self_;
  Draw draw_;
  std::map<std::string, Peer> peers_;
  std::vector<std::string> ping_order_;
  std::set<std::string> gossip_;
  std::map<std::uint64_t, RelayedPing> relayed_pings_;  // by the sequence of the relayed ping
  std::size_t next_index_ = 0;
  std::string target_;
  std::uint64_t sequence_ = 0, relay_count_ = 0;
  bool pinged_ = false, acked_ = false, indirect_ = false;
  int sends_per_update_, self_sends_left_ = 0;
  Ms suspicion_timeout_, next_tick_, period_end_ = 0;
  std::vector<OutgoingMessage> messages_;
  std::vector<MembershipEvent> events_;
};

}  // namespace cometfold::bench
