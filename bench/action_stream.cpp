// Prints a fingerprint of all that the module decides on a long random day, event by event: two builds of the
// module that decide alike print alike. The day is drawn from a seed and goes on by the module's own actions.
//
// Prints are comparable on one machine only: the last bit of exp and pow may differ between processors.
#include <bit>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "thistlepond/control.h"

namespace {

using namespace thistlepond;

struct Happening {
  Ms at = 0;
  std::uint64_t order = 0;
  enum Kind { kRequest, kEnd, kTimer, kList, kGone } kind = kRequest;
  std::uint64_t token = 0;
  AttemptEnd end{};
  bool operator>(const Happening& o) const { return at != o.at ? at > o.at : order > o.order; }
};

class Day : public Actions {
 public:
  Day(const Settings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed), control_(settings, seed) {}

  void run(std::size_t requests) {
    control_.start(now_, *this);
    for (HostId h = 1; h <= kHosts; ++h) list_.push_back(entry(h, HostState::kReady, 0));
    control_.on_list(now_, ListKind::kCached, list_, *this);
    push(now_ + 1, {.kind = Happening::kRequest});
    push(now_ + 500, {.kind = Happening::kList});
    while (!queue_.empty() && asked_ < requests) {
      const Happening h = queue_.top();
      queue_.pop();
      now_ = h.at;
      play(h);
    }
  }
  std::uint64_t print() const { return print_; }
  std::size_t actions() const { return actions_; }
  std::size_t count(std::size_t kind) const { return counts_[kind]; }

 private:
  static constexpr HostId kHosts = 12;

  double draw() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  static HostEntry entry(HostId id, HostState state, Ms started) {
    return {id, state, started, id % 3, id % 2, id % 4, 1};
  }
  void push(Ms at, Happening h) {
    h.at = at;
    h.order = ++order_;
    queue_.push(h);
  }

  void play(const Happening& h) {
    switch (h.kind) {
      case Happening::kRequest:
        return request();
      case Happening::kEnd:
        out_[h.end.host] -= 1;
        return control_.on_attempt_end(now_, h.end, *this);
      case Happening::kTimer:
        return control_.on_timer(now_, h.token, *this);
      case Happening::kGone:
        return control_.on_gone(now_, h.token, *this);
      case Happening::kList:
        return list();
    }
  }

  void request() {
    const std::uint64_t id = ++asked_;
    Request q{id, 0, 0, 0, 0, 1, 1, false};
    q.class_index = static_cast<std::uint32_t>(draw() * 3);
    q.plan_index = static_cast<std::uint32_t>(draw() * 2);
    q.customer = static_cast<CustomerId>(draw() * draw() * 40) + 100 * q.plan_index;
    q.expires_at = now_ + 800 + 1200 * draw();
    q.units = 1 + std::floor(draw() * 4);
    q.spread = 1 + std::floor(draw() * 4);
    q.repeat = draw() < 0.1;
    control_.on_request(now_, q, *this);
    if (draw() < 0.02) push(now_ + 300 * draw(), {.kind = Happening::kGone, .token = id});
    const double rush = static_cast<int>(now_ / 4000) % 3 == 2 ? 0.3 : 1.0;  // every third stretch is a rush
    push(now_ + 40 * rush * draw(), {.kind = Happening::kRequest});
  }

  void list() {
    HostEntry& e = list_[static_cast<std::size_t>(draw() * kHosts)];
    const double what = draw();
    const HostState state = what < 0.5   ? HostState::kReady
                            : what < 0.8 ? HostState::kDraining
                                         : HostState::kGone;
    e = entry(e.id, state, state == HostState::kReady ? now_ : e.started_at);
    control_.on_list(now_, ListKind::kChanges, std::span(&e, 1), *this);
    push(now_ + 700 * draw(), {.kind = Happening::kList});
  }

  void note_action(std::uint64_t kind, std::uint64_t a, double b) {
    ++actions_;
    ++counts_[kind];
    for (const std::uint64_t word : {kind, a, std::bit_cast<std::uint64_t>(b)}) {
      print_ = (print_ ^ word) * 0x9fb21c651e98df25u;
      print_ ^= print_ >> 29;
    }
  }

  void send(RequestId r, HostId h, Ms t) override {
    note_action(0, r << 8 | h, t);
    AttemptEnd e{r, tries_[r]++, h, Outcome::kOk, 0, false, {}, {}};
    const double luck = draw();
    e.took_ms = (20 + 200 * draw() * draw()) * (1 + 0.2 * (out_[h] += 1)) * (h == 3 ? 4 : 1);
    if (luck < 0.03) e.outcome = Outcome::kError;
    if (luck >= 0.03 && luck < 0.05) e.outcome = Outcome::kBroken;
    if (luck >= 0.05 && luck < 0.08) e.outcome = Outcome::kFull;
    if (luck >= 0.08 && luck < 0.09) e.outcome = Outcome::kConnectFailed, e.took_ms = 2;
    e.finished = e.outcome == Outcome::kOk;
    if (draw() < 0.7) e.load.queue = out_[h] / 2;
    if (draw() < 0.5) e.load.busy = draw();
    push(now_ + e.took_ms, {.kind = Happening::kEnd, .end = e});
  }
  void cancel(RequestId r, std::uint32_t a) override { note_action(1, r << 8 | a, 0); }
  void refuse(RequestId r, Ms t, Cause) override { note_action(2, r, t); }
  void fail(RequestId r, Cause) override { note_action(3, r, 0); }
  void wake(Ms t, std::uint64_t token) override {
    note_action(4, token, t);
    push(now_ + t, {.kind = Happening::kTimer, .token = token});
  }
  void probe(HostId h) override { note_action(5, h, 0); }
  void follow_list() override { note_action(6, 0, 0); }
  void fetch_list() override { note_action(7, 0, 0); }
  void note(std::string_view text) override { note_action(8, text.size(), 0); }

  Settings settings_;
  std::mt19937_64 random_;
  Control control_;
  Ms now_ = 14'400'000;
  std::priority_queue<Happening, std::vector<Happening>, std::greater<>> queue_;
  std::vector<HostEntry> list_;
  std::map<RequestId, std::uint32_t> tries_;
  std::map<HostId, double> out_;
  std::uint64_t order_ = 0, asked_ = 0, print_ = 0;
  std::size_t actions_ = 0, counts_[9] = {};
};

Settings settings() {
  Settings s;
  for (const auto repeat : {Repeat::kSafe, Repeat::kKeyed, Repeat::kUnsafe}) {
    s.classes.push_back({300, 2000, 1.0 + static_cast<double>(s.classes.size()), 0.3, repeat,
                         repeat == Repeat::kKeyed ? KeyGroup::kZone : KeyGroup::kNone, 1500});
  }
  s.plans.push_back({40, 60, 1, 0.5, 0.2, 0, 0, 0, 0});
  s.plans.push_back({30, 50, 2, 1, 0, 40, 65, 7, 12});
  s.gateways = 4;
  s.largest_units = 4;
  s.units_settle = s.second_copies = s.may_cancel = s.may_probe = s.retry_after = s.must_subscribe = true;
  s.max_attempts = 4;
  s.max_retry_after_ms = 1000;
  s.tick_ms = 4;
  s.cold_from = 0.16;
  s.warm_after_ms = 16'000;
  s.overload_factor = 2;
  s.fall_ms = 1000;
  return s;
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t requests = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 30'000;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Day day(settings(), seed);
    day.run(requests);
    std::printf("seed %llu: %zu actions, %zu sends, %zu cancels, %zu refusals, %zu failures, print %016llx\n",
                static_cast<unsigned long long>(seed), day.actions(), day.count(0), day.count(1),
                day.count(2), day.count(3), static_cast<unsigned long long>(day.print()));
  }
}
