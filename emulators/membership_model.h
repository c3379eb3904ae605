// A cluster of members in one process, on simulated time, over links that lose, delay, duplicate and replay.
// The same seed gives the same run. The members are the real code or, for comparison, another protocol.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership.h"

namespace cometfold::emulators {

using membership::MembershipEvent;
using membership::MemberState;
using membership::MemberView;
using membership::Message;
using membership::OutgoingMessage;

// The interface of a member in the model; the functions are as in membership/membership.h.
class MembershipProtocol {
 public:
  virtual ~MembershipProtocol() = default;
  virtual void start(Ms now) = 0;
  virtual void receive(Ms now, const Message& message) = 0;
  virtual void tick(Ms now) = 0;
  virtual Ms next_tick() const = 0;
  virtual void leave(Ms now) = 0;
  virtual std::vector<OutgoingMessage> take_messages() = 0;
  virtual std::vector<MembershipEvent> take_events() = 0;
  virtual std::vector<MemberView> members(Ms now) const = 0;
  virtual std::uint64_t incarnation() const = 0;
  virtual std::size_t memory_bytes() const { return 0; }
};

class RealMember : public MembershipProtocol {
 public:
  RealMember(const membership::MembershipSettings& settings, membership::MemberRecord self,
             std::vector<std::string> seeds, membership::Draw draw)
      : membership_(settings, std::move(self), std::move(seeds), std::move(draw)) {}
  void start(Ms now) override { membership_.start(now); }
  void receive(Ms now, const Message& message) override { membership_.receive(now, message); }
  void tick(Ms now) override { membership_.tick(now); }
  Ms next_tick() const override { return membership_.next_tick(); }
  void leave(Ms now) override { membership_.leave(now); }
  std::vector<OutgoingMessage> take_messages() override { return membership_.take_messages(); }
  std::vector<MembershipEvent> take_events() override { return membership_.take_events(); }
  std::vector<MemberView> members(Ms now) const override { return membership_.members(now); }
  std::uint64_t incarnation() const override { return membership_.self().incarnation; }
  std::size_t memory_bytes() const override { return membership_.memory_bytes(); }
  const membership::Membership& real() const { return membership_; }

 private:
  membership::Membership membership_;
};

// Fault probabilities per datagram, and its delay in ms: `delay` plus a random part of up to `jitter`.
struct ModelLinks {
  double loss = 0, duplicate = 0, replay = 0;
  Ms delay = 0.2, jitter = 0.3;
};

class MembershipModel {
 public:
  using MakeProtocol = std::function<std::unique_ptr<MembershipProtocol>(
      membership::MemberRecord self, std::vector<std::string> seeds, membership::Draw draw)>;
  struct Member {
    std::string name, address;
    std::unique_ptr<MembershipProtocol> protocol;
    bool running = false, paused = false;
    int group = 0;                           // members of different groups can't reach each other
    Ms mean_lateness = 0;                    // mean of the exponential delay of each message and tick
    std::uint64_t round = 0;                 // counts the processes that ran under this member
    std::uint64_t datagrams = 0, bytes = 0;  // sent
    std::deque<Message> pending;             // while paused
    std::deque<Message> received;            // kept for replay
  };

  MembershipModel(MakeProtocol make_protocol, std::uint64_t seed)
      : make_protocol_(std::move(make_protocol)), random_(seed) {}

  // Called for each event at each member.
  std::function<void(std::size_t member, const MembershipEvent&)> on_event = [](std::size_t,
                                                                                const MembershipEvent&) {};
  // The size of a sent message, as counted for its sender, in bytes.
  std::function<std::size_t(const Message&)> message_size = [](const Message&) { return std::size_t{0}; };
  ModelLinks links;
  // Whether messages from `from` to `to` are lost.
  std::function<bool(std::size_t from, std::size_t to)> is_blocked = [](std::size_t, std::size_t) {
    return false;
  };

  Ms now() const { return now_; }
  // Uniform in [0, 1).
  double draw() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  std::size_t draw(std::size_t below) {
    return static_cast<std::size_t>(draw() * static_cast<double>(below));
  }
  Member& member(std::size_t index) { return *members_[index]; }
  std::size_t size() const { return members_.size(); }

  // Adds a member that does not run yet, and returns its index.
  std::size_t add(const std::string& name) {
    members_.push_back(std::make_unique<Member>());
    members_.back()->name = name;
    return members_.size() - 1;
  }
  static std::string home_address(std::size_t index) { return "10.0.0." + std::to_string(index) + ":1"; }
  // Starts a process of this member. `wall_clock_ms` becomes its first incarnation; with `new_address` it
  // starts elsewhere than at its home address.
  void start(std::size_t index, std::vector<std::string> seeds, double wall_clock_ms,
             bool new_address = false);
  void kill(std::size_t index) { members_[index]->running = false; }
  void pause(std::size_t index) { members_[index]->paused = true; }
  void resume(std::size_t index);
  void leave(std::size_t index) {
    members_[index]->protocol->leave(now_);
    process_output(index);
  }
  void run_until(Ms end);

 private:
  struct Event {
    Ms at;
    std::uint64_t order;  // breaks ties of events at the same time
    std::function<void()> action;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  static constexpr std::size_t kMaxPending = 500;   // messages in a paused member's socket
  static constexpr std::size_t kMaxReceived = 200;  // messages kept for replay

  void schedule(Ms at, std::function<void()> action) {
    events_.push({at, ++event_count_, std::move(action)});
  }
  void process_output(std::size_t index);
  void schedule_tick(std::size_t index);
  Ms draw_lateness(const Member& member) {
    return member.mean_lateness > 0 ? -member.mean_lateness * std::log(1 - draw()) : 0;
  }
  void transmit(std::size_t from, const OutgoingMessage& outgoing);
  void deliver(std::size_t target, const std::string& address, const Message& message);

  MakeProtocol make_protocol_;
  std::mt19937_64 random_;
  Ms now_ = 1000;
  std::uint64_t event_count_ = 0;
  std::vector<std::unique_ptr<Member>> members_;
  std::map<std::string, std::size_t> index_by_address_;
  std::map<std::size_t, std::pair<std::uint64_t, Ms>> scheduled_ticks_;  // round and time, by member
  std::priority_queue<Event> events_;
};

inline void MembershipModel::start(std::size_t index, std::vector<std::string> seeds, double wall_clock_ms,
                                   bool new_address) {
  Member& member = *members_[index];
  member.running = true;
  member.paused = false;
  ++member.round;
  member.address = home_address(index);
  if (new_address) {
    member.address = "10.0." + std::to_string(member.round) + "." + std::to_string(index) + ":1";
  }
  index_by_address_[member.address] = index;
  member.pending.clear();
  membership::MemberRecord self;
  self.name = member.name;
  self.address = member.address;
  self.incarnation = static_cast<std::uint64_t>(wall_clock_ms);
  self.process_nonce = (self.incarnation << 20) | (random_() & 0xfffff);
  member.protocol =
      make_protocol_(self, std::move(seeds), [this](std::uint64_t below) { return random_() % below; });
  member.protocol->start(now_);
  process_output(index);
}

inline void MembershipModel::resume(std::size_t index) {
  Member& member = *members_[index];
  if (!std::exchange(member.paused, false) || !member.running) return;
  // As in an event loop the expired timer runs before the messages that arrived meanwhile.
  if (member.protocol->next_tick() <= now_) member.protocol->tick(now_);
  for (auto pending = std::exchange(member.pending, {}); const auto& message : pending) {
    member.protocol->receive(now_, message);
  }
  process_output(index);
}

inline void MembershipModel::run_until(Ms end) {
  while (!events_.empty() && events_.top().at <= end) {
    Event event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = event.at;
    event.action();
  }
  now_ = end;
}

inline void MembershipModel::process_output(std::size_t index) {
  Member& member = *members_[index];
  for (auto& outgoing : member.protocol->take_messages()) {
    ++member.datagrams;
    member.bytes += message_size(outgoing.message);
    transmit(index, outgoing);
  }
  for (const auto& event : member.protocol->take_events()) on_event(index, event);
  schedule_tick(index);
}

// One event for each time at which a tick is due.
inline void MembershipModel::schedule_tick(std::size_t index) {
  Member& member = *members_[index];
  const std::pair tick{member.round, member.protocol->next_tick()};
  auto& scheduled = scheduled_ticks_[index];
  if (scheduled == tick) return;
  scheduled = tick;
  schedule(std::max(tick.second, now_) + draw_lateness(member), [this, index, tick] {
    Member& ticking = *members_[index];
    const bool valid =
        ticking.running && !ticking.paused && std::pair{ticking.round, ticking.protocol->next_tick()} == tick;
    if (!valid) return;
    ticking.protocol->tick(now_);
    process_output(index);
  });
}

inline void MembershipModel::transmit(std::size_t from, const OutgoingMessage& outgoing) {
  const auto to = index_by_address_.find(outgoing.to);
  if (to == index_by_address_.end() || draw() < links.loss) return;
  const std::size_t target = to->second;
  if (members_[from]->group != members_[target]->group || is_blocked(from, target)) return;
  const int copies = draw() < links.duplicate ? 2 : 1;
  const auto message = std::make_shared<Message>(outgoing.message);
  for (int copy = 0; copy < copies; ++copy) {
    schedule(now_ + links.delay + draw() * links.jitter + draw_lateness(*members_[target]),
             [this, target, message, address = outgoing.to] { deliver(target, address, *message); });
  }
}

inline void MembershipModel::deliver(std::size_t target, const std::string& address, const Message& message) {
  Member& member = *members_[target];
  if (!member.running || member.address != address) return;
  if (member.paused) {
    if (member.pending.size() < kMaxPending) member.pending.push_back(message);
    return;
  }
  member.protocol->receive(now_, message);
  if (links.replay > 0) {
    member.received.push_back(message);
    if (member.received.size() > kMaxReceived) member.received.pop_front();
    if (draw() < links.replay) member.protocol->receive(now_, member.received[draw(member.received.size())]);
  }
  process_output(target);
}

}  // namespace cometfold::emulators
