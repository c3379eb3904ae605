// How members of a cluster come to know of each other's end, in the model, beside the two simplest ways:
// heartbeats from all to all with a fixed time-out, and SWIM without Lifeguard (Das et al., 2002). One run,
// same seeds, same links; each row says how long a crash takes to be known, how often one that runs is
// failed, and what it costs.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <set>

#include "emulators/membership_model.h"
#include "membership/wire.h"

namespace {

using namespace cometfold;
using namespace cometfold::emulators;
using membership::MemberRecord;
using membership::MemberStatus;
using Draw = membership::Membership::Draw;

// Each tells each that it is there; silence for a fixed time is a failure.
class Heartbeats : public Protocol {
 public:
  static constexpr Ms kPeriod = 1000, kSilence = 3000;
  Heartbeats(MemberRecord self, std::vector<std::string> addresses, const Draw& draw)
      : self_(std::move(self)), addresses_(std::move(addresses)), due_(static_cast<Ms>(draw(1000))) {}
  void start(Ms now) override { due_ += now; }
  void receive(Ms now, const Message& m) override {
    auto& heard = heard_[m.sender.name];
    if (heard.second)
      changes_.push_back({MembershipEvent::kMemberChanged, m.sender.name, 0, MemberState::kAlive, ""});
    heard = {now, false};
  }
  void tick(Ms now) override {
    due_ = now + kPeriod;
    for (const auto& to : addresses_) {
      if (to == self_.address) continue;
      Message m;
      m.sender = self_;
      out_.push_back({to, std::move(m)});
    }
    for (auto& [name, heard] : heard_) {
      if (heard.second || now - heard.first < kSilence) continue;
      heard.second = true;
      changes_.push_back({MembershipEvent::kMemberChanged, name, 0, MemberState::kFailed, ""});
    }
  }
  Ms next_due() const override { return due_; }
  void leave(Ms) override {}
  std::vector<OutgoingMessage> take_messages() override { return std::exchange(out_, {}); }
  std::vector<MembershipEvent> take_changes() override { return std::exchange(changes_, {}); }
  std::vector<MemberView> members(Ms) const override { return {}; }
  std::uint64_t own_start() const override { return 0; }
  std::size_t bytes() const override { return heard_.size() * 100; }

 private:
  MemberRecord self_;
  std::vector<std::string> addresses_;
  Ms due_;
  std::map<std::string, std::pair<Ms, bool>> heard_;  // when last, and whether it counts as failed
  std::vector<OutgoingMessage> out_;
  std::vector<MembershipEvent> changes_;
};

// SWIM: a ping each period to the next of a shuffled list, three indirect ones after a time-out, suspicion
// with a fixed time, refutation, news on pings and acks. All know all from the start. Message::number is the
// ping's; `incarnation_floor` 1 asks for an indirect ping, whose target is the first record's name.
class Swim : public Protocol {
 public:
  static constexpr Ms kPeriod = 1000, kTimeout = 500;
  Swim(MemberRecord self, const std::vector<std::pair<std::string, std::string>>& all, Draw draw)
      : self_(std::move(self)), draw_(std::move(draw)) {
    self_.incarnation = 1;
    for (const auto& [name, address] : all) {
      if (name == self_.name) continue;
      others_[name].address = address;
      order_.push_back(name);
    }
    spread_ = 3 * static_cast<int>(std::ceil(std::log10(static_cast<double>(all.size()) + 1)));
    suspicion_ = 5 * std::max(1.0, std::log10(static_cast<double>(all.size()))) * kPeriod;
    due_ = static_cast<Ms>(draw_(1000));
  }
  void start(Ms now) override { due_ += now, period_at_ = due_; }
  Ms next_due() const override { return due_; }
  void tick(Ms now) override {
    if (asked_ && !acked_ && now >= period_at_ - kPeriod + kTimeout && !indirect_) {
      indirect_ = true;
      for (int i = 0; i < 3; ++i) {
        const auto& via = others_[order_[draw_(order_.size())]];
        Message m = message(Message::kPing, number_);
        m.incarnation_floor = 1;
        m.records.insert(m.records.begin(), record(target_));
        out_.push_back({via.address, std::move(m)});
      }
    }
    if (now >= period_at_) {
      if (asked_ && !acked_) news(now, target_, others_[target_].start, 1);
      next(now);
      period_at_ = now + kPeriod;
    }
    for (auto& [name, o] : others_) {
      if (o.state == 1 && now - o.since >= suspicion_) news(now, name, o.start, 2);
    }
    due_ =
        !indirect_ && asked_ && !acked_ ? std::min(period_at_, period_at_ - kPeriod + kTimeout) : period_at_;
    if (due_ <= now) due_ = period_at_;
  }
  void receive(Ms now, const Message& m) override {
    news(now, m.sender.name, m.sender.incarnation, 0);
    for (std::size_t i = m.incarnation_floor == 1 ? 1 : 0; i < m.records.size(); ++i) {
      const auto& r = m.records[i];
      news(now, r.name, r.incarnation, static_cast<int>(r.status));
    }
    if (m.type == Message::kAck) {
      if (m.sequence == number_) acked_ = true;
      const auto for_whom = relayed_.find(m.sequence);
      if (for_whom == relayed_.end()) return;
      Message back = message(Message::kAck, for_whom->second.second);
      out_.push_back({for_whom->second.first, std::move(back)});
      relayed_.erase(for_whom);
      return;
    }
    if (m.incarnation_floor == 1) {
      const auto relay = (std::uint64_t{1} << 40) + ++relays_;
      if (relayed_.size() > 50) relayed_.clear();
      relayed_[relay] = {m.sender.address, m.sequence};
      out_.push_back({others_[m.records.at(0).name].address, message(Message::kPing, relay)});
      return;
    }
    out_.push_back({m.sender.address, message(Message::kAck, m.sequence)});
  }
  void leave(Ms) override {}
  std::vector<OutgoingMessage> take_messages() override { return std::exchange(out_, {}); }
  std::vector<MembershipEvent> take_changes() override { return std::exchange(changes_, {}); }
  std::vector<MemberView> members(Ms) const override { return {}; }
  std::uint64_t own_start() const override { return self_.incarnation; }
  std::size_t bytes() const override { return others_.size() * 150; }

 private:
  struct Other {
    std::string address;
    std::uint64_t start = 1;
    int state = 0;  // alive, suspect, failed
    Ms since = 0;
    int sends = 0;
  };
  MemberRecord record(const std::string& name) {
    const auto& o = others_[name];
    return {name, o.address, o.start, 0, static_cast<MemberStatus>(o.state), 0, "", ""};
  }
  Message message(Message::Type type, std::uint64_t number) {
    Message m;
    m.type = type;
    m.sender = self_;
    m.sequence = number;
    if (self_sends_ > 0) --self_sends_, m.records.push_back(self_);
    for (auto it = queue_.begin(); it != queue_.end() && m.records.size() < 10;) {
      Other& o = others_[*it];
      m.records.push_back(record(*it));
      it = --o.sends <= 0 ? queue_.erase(it) : std::next(it);
    }
    return m;
  }
  void news(Ms now, const std::string& name, std::uint64_t start, int state) {
    if (name == self_.name) {
      if (state > 0 && start >= self_.incarnation) self_.incarnation = start + 1, self_sends_ = spread_;
      return;
    }
    Other& o = others_[name];
    const bool newer = start > o.start || (start == o.start && state > o.state);
    if (!newer || (o.state == 2 && start <= o.start)) return;
    o.start = start;
    o.since = now;
    if (state != o.state && (state == 2 || o.state == 2)) {
      changes_.push_back({MembershipEvent::kMemberChanged, name, start,
                          state == 2 ? MemberState::kFailed : MemberState::kAlive, ""});
    }
    o.state = state;
    o.sends = spread_;
    queue_.insert(name);
  }
  void next(Ms) {
    asked_ = acked_ = indirect_ = false;
    for (std::size_t tries = 0; tries < order_.size(); ++tries) {
      if (at_ == 0) {
        for (std::size_t i = order_.size(); i > 1; --i) std::swap(order_[i - 1], order_[draw_(i)]);
      }
      target_ = order_[at_];
      at_ = (at_ + 1) % order_.size();
      if (others_[target_].state < 2) break;
    }
    asked_ = true;
    out_.push_back({others_[target_].address, message(Message::kPing, ++number_)});
  }

  MemberRecord self_;
  Draw draw_;
  std::map<std::string, Other> others_;
  std::vector<std::string> order_;
  std::set<std::string> queue_;
  std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> relayed_;
  std::size_t at_ = 0;
  std::string target_;
  std::uint64_t number_ = 0, relays_ = 0;
  bool asked_ = false, acked_ = false, indirect_ = false;
  int spread_, self_sends_ = 0;
  Ms suspicion_, due_, period_at_ = 0;
  std::vector<OutgoingMessage> out_;
  std::vector<MembershipEvent> changes_;
};

double part(std::vector<double> all, double p) {
  if (all.empty()) return -1;
  std::sort(all.begin(), all.end());
  return all[std::min(all.size() - 1, static_cast<std::size_t>(p * static_cast<double>(all.size())))];
}

struct Row {
  std::vector<double> first, all;  // ms from a crash until known at the first, at each member
  std::size_t crashes = 0, unknown = 0, false_failures = 0;
  double hours = 0, datagrams = 0, bytes = 0, memory = 0, cpu_us = 0;
};

Row measure(const std::string& protocol, std::size_t n, double loss, double slow, Ms span, int crashes,
            std::uint64_t seed) {
  std::vector<std::pair<std::string, std::string>> all;
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < n; ++i) {
    all.emplace_back("g" + std::to_string(i), MembershipModel::home(i));
    addresses.push_back(all.back().second);
  }
  MembershipModel model(
      [&](MemberRecord self, std::vector<std::string> seeds, Draw draw) -> std::unique_ptr<Protocol> {
        if (protocol == "heartbeats") return std::make_unique<Heartbeats>(std::move(self), addresses, draw);
        if (protocol == "swim") return std::make_unique<Swim>(std::move(self), all, std::move(draw));
        return std::make_unique<RealMember>(membership::MembershipSettings{}, std::move(self),
                                            std::move(seeds), std::move(draw));
      },
      seed);
  Row row;
  std::map<std::string, std::pair<Ms, std::vector<double>>> down;
  model.on_change = [&](std::size_t, const MembershipEvent& c) {
    if (c.kind != MembershipEvent::kMemberChanged || c.state != MemberState::kFailed) return;
    const auto it = down.find(c.name);
    if (it == down.end()) {
      ++row.false_failures;
    } else {
      it->second.second.push_back(model.now() - it->second.first);
    }
  };
  bool counting = false;
  model.size = [&counting](const Message& m) {
    return counting ? membership::encode(m, "report").size() + 28 : std::size_t{0};
  };
  for (std::size_t i = 0; i < n; ++i) {
    model.add(all[i].first);
    model.start(i, {addresses[0], addresses[1 % n], addresses[2 % n]}, 1e6);
  }
  model.run_until(model.now() + 10'000);
  model.links.loss = loss;
  for (std::size_t i = 0; i < n; ++i) {
    if (slow > 0 && i % static_cast<std::size_t>(1 / slow) == 1) model.member(i).slow = 300;
  }
  model.run_until(model.now() + 5000);
  row.false_failures = 0;
  const auto began = std::chrono::steady_clock::now();
  model.run_until(model.now() + span);
  row.cpu_us = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began).count() /
               (span / 1000) / static_cast<double>(n);
  row.hours = span / 3.6e6;
  counting = true;
  std::uint64_t sent = 0, bytes = 0;
  for (std::size_t i = 0; i < n; ++i) sent -= model.member(i).datagrams, bytes -= model.member(i).bytes;
  model.run_until(model.now() + 5000);
  for (std::size_t i = 0; i < n; ++i) sent += model.member(i).datagrams, bytes += model.member(i).bytes;
  counting = false;
  row.datagrams = static_cast<double>(sent) / 5 / static_cast<double>(n);
  row.bytes = static_cast<double>(bytes) / 5 / static_cast<double>(n);
  row.memory = static_cast<double>(model.member(0).protocol->bytes());
  for (int k = 0; k < crashes; ++k) {
    const std::size_t who = 3 + static_cast<std::size_t>(k);
    if (who >= n) break;
    model.kill(who);
    down[all[who].first] = {model.now(), {}};
    model.run_until(model.now() + 25'000 + 100 * model.draw());
    const auto& known = down[all[who].first].second;
    ++row.crashes;
    row.unknown +=
        n - 1 - static_cast<std::size_t>(k) - std::min(known.size(), n - 1 - static_cast<std::size_t>(k));
    if (known.empty()) continue;
    row.first.push_back(*std::min_element(known.begin(), known.end()));
    row.all.insert(row.all.end(), known.begin(), known.end());
  }
  return row;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Membership beside heartbeats and SWIM, in the model."};
  std::vector<std::size_t> sizes{8, 48, 300};
  std::vector<std::string> protocols{"this", "swim", "heartbeats"};
  std::vector<double> losses{0, 0.05, 0.2, 0.4};
  double minutes = 2, slow = 0.05;
  int crashes = 4;
  std::uint64_t seed = 1;
  app.add_option("--members", sizes, "sizes")->delimiter(',');
  app.add_option("--protocols", protocols, "of this, swim, heartbeats")->delimiter(',');
  app.add_option("--loss", losses, "parts of datagrams")->delimiter(',');
  app.add_option("--minutes", minutes, "simulated, in which failures are false");
  app.add_option("--crashes", crashes, "one after the other");
  app.add_option("--slow", slow,
                 "part of members that handle all late by 300 ms in the mean; a row of its own");
  app.add_option("--seed", seed, "of all that is drawn");
  CLI11_PARSE(app, argc, argv);
  std::printf("%-11s %7s %5s %5s | %9s %9s %9s %9s %8s | %12s | %9s %9s %9s %9s\n", "protocol", "members",
              "loss", "slow", "first p50", "all p50", "all p99", "most", "unknown", "false/mbr/h", "dgram/s",
              "bytes/s", "memory", "cpu us/s");
  const auto print = [&](const std::string& protocol, std::size_t n, double loss, double late) {
    const Row r = measure(protocol, n, loss, late, minutes * 60'000, crashes, seed);
    std::printf("%-11s %7zu %5.2f %5.2f | %9.0f %9.0f %9.0f %9.0f %8zu | %12.4f | %9.1f %9.0f %9.0f %9.0f\n",
                protocol.c_str(), n, loss, late, part(r.first, 0.5), part(r.all, 0.5), part(r.all, 0.99),
                part(r.all, 1), r.unknown,
                static_cast<double>(r.false_failures) / static_cast<double>(n) / r.hours, r.datagrams,
                r.bytes, r.memory, r.cpu_us);
    std::fflush(stdout);
  };
  for (const auto n : sizes) {
    for (const auto& protocol : protocols) {
      for (const double loss : losses) print(protocol, n, loss, 0);
      if (slow > 0) print(protocol, n, 0, slow);
    }
  }
  return 0;
}
