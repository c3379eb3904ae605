// Members of a cluster in one process, on simulated time, over links that lose, delay, double and repeat.
// Same seed, same run. The members are the real code; for comparison anything that is a `Protocol`.
#pragma once

#include <algorithm>
#include <cmath>
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

// What the model asks of a member.
class Protocol {
 public:
  virtual ~Protocol() = default;
  virtual void start(Ms now) = 0;
  virtual void receive(Ms now, const Message& message) = 0;
  virtual void tick(Ms now) = 0;
  virtual Ms next_due() const = 0;
  virtual void leave(Ms now) = 0;
  virtual std::vector<OutgoingMessage> take_messages() = 0;
  virtual std::vector<MembershipEvent> take_changes() = 0;
  virtual std::vector<MemberView> members(Ms now) const = 0;
  virtual std::uint64_t own_start() const = 0;
  virtual std::size_t bytes() const { return 0; }
};

class RealMember : public Protocol {
 public:
  RealMember(const membership::MembershipSettings& settings, membership::MemberRecord self,
             std::vector<std::string> seeds, membership::Membership::Draw draw)
      : m_(settings, std::move(self), std::move(seeds), std::move(draw)) {}
  void start(Ms now) override { m_.start(now); }
  void receive(Ms now, const Message& message) override { m_.receive(now, message); }
  void tick(Ms now) override { m_.tick(now); }
  Ms next_due() const override { return m_.next_tick(); }
  void leave(Ms now) override { m_.leave(now); }
  std::vector<OutgoingMessage> take_messages() override { return m_.take_messages(); }
  std::vector<MembershipEvent> take_changes() override { return m_.take_events(); }
  std::vector<MemberView> members(Ms now) const override { return m_.members(now); }
  std::uint64_t own_start() const override { return m_.self().incarnation; }
  std::size_t bytes() const override { return m_.memory_bytes(); }
  const membership::Membership& real() const { return m_; }

 private:
  membership::Membership m_;
};

struct ModelLinks {
  double loss = 0, duplicate = 0, replay = 0;
  Ms delay = 0.2, jitter = 0.3;
};

class MembershipModel {
 public:
  using Make = std::function<std::unique_ptr<Protocol>(
      membership::MemberRecord self, std::vector<std::string> seeds, membership::Membership::Draw draw)>;
  struct Member {
    std::string name, address;
    std::unique_ptr<Protocol> protocol;
    bool running = false, paused = false;
    int group = 0;  // members of other groups are not reached
    Ms slow = 0;    // mean of what each handling waits
    Ms busy_until = 0;
    std::uint64_t round = 0;  // counts its processes
    Ms started_at = 0;
    std::uint64_t datagrams = 0, bytes = 0;
    std::deque<Message> waiting;  // while paused
    std::deque<Message> heard;    // kept for replay
  };

  MembershipModel(Make make, std::uint64_t seed) : make_(std::move(make)), random_(seed) {}

  // Called for each change at each member.
  std::function<void(std::size_t member, const MembershipEvent&)> on_change = [](std::size_t,
                                                                                 const MembershipEvent&) {};
  // Size of a message in bytes; 0 where nobody asks.
  std::function<std::size_t(const Message&)> size = [](const Message&) { return std::size_t{0}; };
  ModelLinks links;
  std::function<bool(std::size_t from, std::size_t to)> silent = [](std::size_t, std::size_t) {
    return false;
  };

  Ms now() const { return now_; }
  double draw() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  std::size_t draw(std::size_t below) {
    return static_cast<std::size_t>(draw() * static_cast<double>(below));
  }
  Member& member(std::size_t i) { return *members_[i]; }
  std::size_t size_of_cluster() const { return members_.size(); }

  std::size_t add(const std::string& name) {
    members_.push_back(std::make_unique<Member>());
    members_.back()->name = name;
    return members_.size() - 1;
  }
  static std::string home(std::size_t i) { return "10.0.0." + std::to_string(i) + ":1"; }
  // Starts a process of this member; `wall` is what its wall clock says, a hint for its start number.
  void start(std::size_t i, std::vector<std::string> seeds, double wall, bool elsewhere = false) {
    Member& m = *members_[i];
    m.running = true;
    m.paused = false;
    ++m.round;
    m.address = elsewhere ? "10.0." + std::to_string(m.round) + "." + std::to_string(i) + ":1" : home(i);
    addresses_[m.address] = i;
    m.started_at = now_;
    m.waiting.clear();
    membership::MemberRecord self;
    self.name = m.name;
    self.address = m.address;
    self.incarnation = static_cast<std::uint64_t>(wall);
    self.process_nonce = (self.incarnation << 20) | (random_() & 0xfffff);
    m.protocol = make_(self, std::move(seeds), [this](std::uint64_t below) { return random_() % below; });
    m.protocol->start(now_);
    after(i);
  }
  void kill(std::size_t i) { members_[i]->running = false; }
  void pause(std::size_t i) { members_[i]->paused = true; }
  void resume(std::size_t i) {
    Member& m = *members_[i];
    if (!std::exchange(m.paused, false) || !m.running) return;
    // The timer was due first, then what came meanwhile.
    if (m.protocol->next_due() <= now_) m.protocol->tick(now_);
    for (auto waiting = std::exchange(m.waiting, {}); const auto& message : waiting) {
      m.protocol->receive(now_, message);
    }
    after(i);
  }
  void leave(std::size_t i) {
    members_[i]->protocol->leave(now_);
    after(i);
  }
  void at(Ms when, std::function<void()> what) { events_.push({when, ++order_, std::move(what)}); }

  void run_until(Ms end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event e = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = e.at;
      e.what();
    }
    now_ = end;
  }

 private:
  struct Event {
    Ms at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  void after(std::size_t i) {
    Member& m = *members_[i];
    for (auto& envelope : m.protocol->take_messages()) {
      ++m.datagrams;
      m.bytes += size(envelope.message);
      pass(i, envelope);
    }
    for (const auto& change : m.protocol->take_changes()) on_change(i, change);
    // One tick is on its way for each due time.
    const Ms due = m.protocol->next_due();
    auto& armed = armed_[i];
    if (armed == std::pair{m.round, due}) return;
    armed = {m.round, due};
    at(std::max(due, now_) + lateness(m), [this, i, round = m.round, due] {
      Member& mine = *members_[i];
      if (!mine.running || mine.paused || mine.round != round || mine.protocol->next_due() != due) return;
      mine.protocol->tick(now_);
      after(i);
    });
  }
  Ms lateness(const Member& m) { return m.slow > 0 ? -m.slow * std::log(1 - draw()) : 0; }

  void pass(std::size_t from, const OutgoingMessage& envelope) {
    const auto to = addresses_.find(envelope.to);
    if (to == addresses_.end() || draw() < links.loss) return;
    const std::size_t target = to->second;
    if (members_[from]->group != members_[target]->group || silent(from, target)) return;
    const int copies = draw() < links.duplicate ? 2 : 1;
    const auto message = std::make_shared<Message>(envelope.message);
    for (int n = 0; n < copies; ++n) {
      at(now_ + links.delay + draw() * links.jitter + lateness(*members_[target]),
         [this, target, message, address = envelope.to] { deliver(target, address, *message); });
    }
  }
  void deliver(std::size_t target, const std::string& address, const Message& message) {
    Member& m = *members_[target];
    if (!m.running || m.address != address) return;
    if (m.paused) {
      if (m.waiting.size() < 500) m.waiting.push_back(message);
      return;
    }
    m.protocol->receive(now_, message);
    if (links.replay > 0) {
      m.heard.push_back(message);
      if (m.heard.size() > 200) m.heard.pop_front();
      if (draw() < links.replay) m.protocol->receive(now_, m.heard[draw(m.heard.size())]);
    }
    after(target);
  }

  Make make_;
  std::mt19937_64 random_;
  Ms now_ = 1000;
  std::uint64_t order_ = 0;
  std::vector<std::unique_ptr<Member>> members_;
  std::map<std::string, std::size_t> addresses_;
  std::map<std::size_t, std::pair<std::uint64_t, Ms>> armed_;
  std::priority_queue<Event> events_;
};

// The properties that hold whatever goes wrong, and those that hold once faults have ended. Gathers breaches
// in words.
class MembershipJudge {
 public:
  // To be told of each change; `observer` a process, by any number of its own.
  void see(std::uint64_t observer, const std::string& observer_name, const MembershipEvent& change) {
    if (change.kind != MembershipEvent::kMemberChanged) return;
    auto& ended = ended_[observer];
    const auto key = std::pair{change.name, change.incarnation};
    if (change.state == MemberState::kFailed || change.state == MemberState::kLeft) {
      ended.insert({key, change.state});
    } else if (ended.contains(key) && breaches_.size() < 20) {
      breaches_.push_back(observer_name + ": " + change.name + " at start number " +
                          std::to_string(change.incarnation) + " had " + std::string(name_of(ended.at(key))) +
                          " and is " + std::string(name_of(change.state)) + " again");
    }
  }

  // What one running process shows when all is over, beside who really runs and with which start number.
  void settled(const std::string& observer, const std::vector<MemberView>& shown,
               const std::map<std::string, std::uint64_t>& running) {
    std::map<std::string, std::uint64_t> alive;
    for (const auto& m : shown) {
      if (m.state == MemberState::kAlive) alive[m.name] = m.incarnation;
      if (m.state == MemberState::kSuspect) breach(observer + " suspects " + m.name + " when all is over");
    }
    for (const auto& [name, start] : running) {
      const auto it = alive.find(name);
      if (it == alive.end()) {
        breach(observer + " does not know " + name + ", which runs");
      } else if (it->second != start) {
        breach(observer + " knows " + name + " by start number " + std::to_string(it->second) + ", it has " +
               std::to_string(start));
      }
    }
    for (const auto& [name, start] : alive) {
      if (!running.contains(name)) breach(observer + " shows " + name + " alive, which does not run");
    }
  }
  void breach(std::string what) {
    if (breaches_.size() < 20) breaches_.push_back(std::move(what));
  }
  const std::vector<std::string>& breaches() const { return breaches_; }

 private:
  std::map<std::uint64_t, std::map<std::pair<std::string, std::uint64_t>, MemberState>> ended_;
  std::vector<std::string> breaches_;
};

}  // namespace cometfold::emulators
