#include "membership_baselines.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace cometfold::bench {

namespace {

constexpr Ms kHeartbeatPeriodMs = 1000;
constexpr Ms kHeartbeatTimeoutMs = 3000;

constexpr Ms kSwimPeriodMs = 1000;
constexpr Ms kSwimAckTimeoutMs = 500;
constexpr int kIndirectPings = 3;
constexpr double kSuspicionMultiplier = 5;
constexpr int kGossipMultiplier = 3;
constexpr std::size_t kMaxRecordsPerMessage = 10;
constexpr std::size_t kMaxRelayedPings = 50;
constexpr std::uint64_t kFirstRelaySequence = std::uint64_t{1} << 40;  // above all own sequences

}  // namespace

Heartbeats::Heartbeats(MemberRecord self, std::vector<std::string> addresses, const Draw& draw)
    : self_(std::move(self)), addresses_(std::move(addresses)), next_tick_(static_cast<Ms>(draw(1000))) {}

void Heartbeats::receive(Ms now, const Message& message) {
  Peer& peer = peers_[message.sender.name];
  if (peer.failed) {
    events_.push_back({MembershipEvent::kMemberChanged, message.sender.name, 0, MemberState::kAlive, ""});
  }
  peer = {now, false};
}

void Heartbeats::tick(Ms now) {
  next_tick_ = now + kHeartbeatPeriodMs;
  for (const auto& address : addresses_) {
    if (address == self_.address) continue;
    Message heartbeat;
    heartbeat.sender = self_;
    messages_.push_back({address, std::move(heartbeat)});
  }
  for (auto& [name, peer] : peers_) {
    if (peer.failed || now - peer.last_heartbeat_at < kHeartbeatTimeoutMs) continue;
    peer.failed = true;
    events_.push_back({MembershipEvent::kMemberChanged, name, 0, MemberState::kFailed, ""});
  }
}

Swim::Swim(MemberRecord self, const std::vector<std::pair<std::string, std::string>>& members, Draw draw)
    : self_(std::move(self)), draw_(std::move(draw)) {
  self_.incarnation = 1;
  for (const auto& [name, address] : members) {
    if (name == self_.name) continue;
    peers_[name].address = address;
    ping_order_.push_back(name);
  }
  const auto count = static_cast<double>(members.size());
  sends_per_update_ = kGossipMultiplier * static_cast<int>(std::ceil(std::log10(count + 1)));
  suspicion_timeout_ = kSuspicionMultiplier * std::max(1.0, std::log10(count)) * kSwimPeriodMs;
  next_tick_ = static_cast<Ms>(draw_(1000));
}

void Swim::start(Ms now) {
  next_tick_ += now;
  period_end_ = next_tick_;
}

void Swim::tick(Ms now) {
  const Ms ack_deadline = period_end_ - kSwimPeriodMs + kSwimAckTimeoutMs;
  if (awaits_ack() && now >= ack_deadline && !indirect_) send_indirect_pings();
  if (now >= period_end_) {
    if (awaits_ack()) update(now, target_, peers_[target_].incarnation, kSuspect);
    ping_next();
    period_end_ = now + kSwimPeriodMs;
  }
  for (auto& [name, peer] : peers_) {
    if (peer.state == kSuspect && now - peer.state_since >= suspicion_timeout_) {
      update(now, name, peer.incarnation, kFailed);
    }
  }
  const bool may_time_out = awaits_ack() && !indirect_;
  next_tick_ =
      may_time_out ? std::min(period_end_, period_end_ - kSwimPeriodMs + kSwimAckTimeoutMs) : period_end_;
  if (next_tick_ <= now) next_tick_ = period_end_;
}

void Swim::send_indirect_pings() {
  indirect_ = true;
  for (int i = 0; i < kIndirectPings; ++i) {
    const Peer& relay = peers_[ping_order_[draw_(ping_order_.size())]];
    Message request = make_message(Message::kPing, sequence_);
    request.incarnation_floor = 1;
    request.records.insert(request.records.begin(), record_of(target_));
    messages_.push_back({relay.address, std::move(request)});
  }
}

void Swim::receive(Ms now, const Message& message) {
  update(now, message.sender.name, message.sender.incarnation, kAlive);
  const bool indirect = message.incarnation_floor == 1;
  for (std::size_t i = indirect ? 1 : 0; i < message.records.size(); ++i) {
    const MemberRecord& record = message.records[i];
    update(now, record.name, record.incarnation, static_cast<State>(record.status));
  }
  if (message.type == Message::kAck) {
    receive_ack(message);
  } else if (indirect) {
    relay_ping(message);
  } else {
    messages_.push_back({message.sender.address, make_message(Message::kAck, message.sequence)});
  }
}

void Swim::receive_ack(const Message& ack) {
  if (ack.sequence == sequence_) acked_ = true;
  const auto relayed = relayed_pings_.find(ack.sequence);
  if (relayed == relayed_pings_.end()) return;
  Message answer = make_message(Message::kAck, relayed->second.sequence);
  messages_.push_back({relayed->second.requester, std::move(answer)});
  relayed_pings_.erase(relayed);
}

void Swim::relay_ping(const Message& request) {
  const std::uint64_t sequence = kFirstRelaySequence + ++relay_count_;
  if (relayed_pings_.size() > kMaxRelayedPings) relayed_pings_.clear();
  relayed_pings_[sequence] = {request.sender.address, request.sequence};
  messages_.push_back({peers_[request.records.at(0).name].address, make_message(Message::kPing, sequence)});
}

MemberRecord Swim::record_of(const std::string& name) {
  const Peer& peer = peers_[name];
  MemberRecord record;
  record.name = name;
  record.address = peer.address;
  record.incarnation = peer.incarnation;
  record.status = static_cast<membership::MemberStatus>(peer.state);
  return record;
}

Message Swim::make_message(Message::Type type, std::uint64_t sequence) {
  Message message;
  message.type = type;
  message.sender = self_;
  message.sequence = sequence;
  if (self_sends_left_ > 0) {
    --self_sends_left_;
    message.records.push_back(self_);
  }
  for (auto name = gossip_.begin();
       name != gossip_.end() && message.records.size() < kMaxRecordsPerMessage;) {
    Peer& peer = peers_[*name];
    message.records.push_back(record_of(*name));
    name = --peer.sends_left <= 0 ? gossip_.erase(name) : std::next(name);
  }
  return message;
}

void Swim::update(Ms now, const std::string& name, std::uint64_t incarnation, State state) {
  if (name == self_.name) {
    if (state == kAlive || incarnation < self_.incarnation) return;
    self_.incarnation = incarnation + 1;  // refutes the suspicion
    self_sends_left_ = sends_per_update_;
    return;
  }
  Peer& peer = peers_[name];
  const bool newer =
      incarnation > peer.incarnation || (incarnation == peer.incarnation && state > peer.state);
  if (!newer || (peer.state == kFailed && incarnation <= peer.incarnation)) return;
  peer.incarnation = incarnation;
  peer.state_since = now;
  if (state != peer.state && (state == kFailed || peer.state == kFailed)) {
    const MemberState shown = state == kFailed ? MemberState::kFailed : MemberState::kAlive;
    events_.push_back({MembershipEvent::kMemberChanged, name, incarnation, shown, ""});
  }
  peer.state = state;
  peer.sends_left = sends_per_update_;
  gossip_.insert(name);
}

// Shuffles the list again after each full round.
void Swim::ping_next() {
  acked_ = false;
  indirect_ = false;
  for (std::size_t i = 0; i < ping_order_.size(); ++i) {
    if (next_index_ == 0) {
      for (std::size_t left = ping_order_.size(); left > 1; --left) {
        std::swap(ping_order_[left - 1], ping_order_[draw_(left)]);
      }
    }
    target_ = ping_order_[next_index_];
    next_index_ = (next_index_ + 1) % ping_order_.size();
    if (peers_[target_].state != kFailed) break;
  }
  pinged_ = true;
  messages_.push_back({peers_[target_].address, make_message(Message::kPing, ++sequence_)});
}

}  // namespace cometfold::bench
