// All that one gateway's module knows, and what it can decide, in the order of its files.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "admission/records.h"

namespace cometfold {
using namespace detail;

struct AdmissionController::State {
  AdmissionSettings set;
  std::mt19937_64 random;
  Ms born = 0;
  bool handed = false;  // to a gateway that takes this one's place
  Ms now = 0;
  std::map<CustomerId, Customer> customers;
  std::map<HostId, Host> hosts;
  std::map<std::uint32_t, double> kind_slow;  // of all hosts of a kind, for one not heard of lately
  std::map<RequestId, Held> held;
  std::vector<double> class_ms;  // latency of each class, of late
  std::vector<double> class_units, class_seen;
  double mean_units = 1;                               // of a request, of late
  std::deque<std::pair<double, double>> recent;        // worth a unit of work, and work, of the last requests
  double strain = 0;                                   // mean latency against aims
  double crowd = 0;                                    // mean of what hosts report
  double recent_ms = 0, calm_ms = 0, completions = 0;  // mean latency, of late and while nothing queues
  Ms calm_at = 0;
  struct Refusals {
    double full = 0, all = 0;
  };
  std::vector<Refusals> refusals;  // attempts of late, by plan, then by class
  struct Firsts {
    double asked = 0, came = 0;  // of late; and who came again soon
  } firsts[2];                   // requests of customers new here that have large sets: refused, sent on
  double budget = kBudgetMost / 2;
  Ms newest_answered = 0;
  double sent_rate = 0;  // attempts a second, of late
  Ms sent_at = 0;
  double load = 0;  // part of all limits in use, smoothed
  Ms load_at = 0;
  Ms gap = 0;              // between requests, of late
  Ms least_aim = kNoTime;  // all classes wait in the same queues: the tightest sets the bound
  std::map<std::string, Ms, std::less<>> noted;

  State(const AdmissionSettings& s, std::uint64_t seed) : set(s), random(seed) {}
  double draw() { return static_cast<double>(random() >> 11) * 0x1.0p-53; }
  void note(ActionSink& out, std::string_view text) {
    auto [it, fresh] = noted.try_emplace(std::string(text), now);
    if (!fresh && now - it->second < kNotePauseMs) return;
    it->second = now;
    out.log(text);
  }
  const ClassSettings& cls(const Held& r) const { return r.terms; }
  const PlanSettings& plan(const Held& r) const { return set.plans[r.ask.plan_index]; }
  bool copies(const Held& r) const { return set.hedging_allowed && r.ask.bounds.hedging_allowed; }
  bool more(const Held& r) const {
    return static_cast<double>(r.attempts.size()) < std::min(set.max_attempts, r.ask.bounds.max_attempts) &&
           (r.attempts.empty() || now <= r.arrived + r.ask.bounds.retry_window_ms);
  }
  Ms aim_of(const Held& r) const {
    return cls(r).latency_objective_ms > 0 ? cls(r).latency_objective_ms : cls(r).deadline_ms;
  }
  Ms aim_end(const Held& r) const {
    Ms aim = cls(r).late_value_fraction > 0 ? kNoTime : r.arrived + aim_of(r);
    return std::min(aim, r.ask.expires_at);
  }

  void shape(Customer& c);
  HandoverSnapshot hand_over();
  void take_over(const HandoverSnapshot& from);
  double refills() const { return handed ? 0 : 1; }
  Customer& customer_of(const Request& q);
  void know_hosts(const HandoverSnapshot& from);
  bool like_new(Customer& c);
  void lend();
  bool capped(const Customer& c) const;
  std::optional<RejectionReason> quota_lacks(Customer& c, const Request& q);
  Ms memory(const Customer& c) const;
  Ms exposure(const Customer& c) const;
  bool thin(const Customer& c, const Request& q) const {
    return c.parent.volume < q.units || c.spread > kThinSet;
  }
  bool large_set(const Customer& c) const { return c.spread > kThinSet && set.plans[c.plan].quota_rate > 0; }
  void meet(Customer& c, const Request& q);
  double again() const;
  bool let_on(const Customer& c);
  double rare_skew(const Customer& c, const Request& q) const;
  double beyond_worth(Customer& c, const Request& q);

  void settle(Host& h);
  Ms up_for(const Host& h) const { return h.entry.started_at > 0 ? now - h.entry.started_at : -1; }
  double proven(const Host& h) const { return h.proven * faded(now - h.proven_at, kCalmMemoryMs); }
  bool cold(const Host& h) const;
  double ability(const Host& h) const;
  struct Fleet {
    double usable = 0, abilities = 0, warm = 0;  // hosts; the sum of what they can do now; those at full
    double warm_done = 0;                        // completions a second of the warm ones, through here
  };
  Fleet fleet();
  const Host* turn(const Fleet& all);
  Ms allowed_wait() const;
  double fair_out(Host& h);
  double limit(Host& h) { return fair_out(h) + 1; }
  Ms class_time(std::uint32_t c) const { return std::max(class_ms[c], 1.0); }
  std::size_t class_slot(std::uint32_t class_index) const { return set.plans.size() + class_index; }
  double full_for(const Host& h, const Request& q) const;
  double cost(Host& h, const Request& q);
  double ahead(const Host& h) const;
  bool tells_queue() const;
  // Attempts that may well be answered yet: those that later ones have overtaken tell nothing more.
  double awaited(const Host& h) const { return std::max(h.out - h.overdue, 0.0); }
  bool usable(const Host& h) const { return h.listed && h.told_leaving == kNoTime; }
  bool ejected(const Host& h) const;
  void judge(Host& h, bool bad, ActionSink& out);

  RetryConstraint<Attempt> permit(const Held& r) const;
  bool send(Held& r, ActionSink& out);

  void finish(Held& r, Ms retry_after, RejectionReason why, ActionSink& out);
  RejectionReason no_room() const;
  void call_off(Held& r, std::uint32_t i, ActionSink& out);
  void forget_if_done(RequestId id);
  bool worth_trying(const Held& r) const;
  bool send_again(Held& r, ActionSink& out);
  bool elsewhere(const Held& r) const;
  Ms patience(const Held& r) const;
  void arm(const Held& r, ActionSink& out) const;
  void due(Held& r, ActionSink& out);
  void find_overdue(ActionSink& out);

  void measure_load();
  double fulls() const;
  bool jammed() const { return strain > kPressedShare || fulls() > kOutcomeGain; }
  bool pressed() const { return jammed() || load * allowed_wait() > kBindFrom * least_aim; }
  bool shed(double value, double work);

  void admit(Held& r, ActionSink& out);
  void true_up(const Held& r, double units);
  void give_back(const Held& r);
  void learn(Host& h, const Held& r, const AttemptResult& e);
  void report(Host& h, const LoadReport& told, bool expected);
  void look_around(ActionSink& out);
  void stream_begun(Held& r, std::uint32_t attempt, ActionSink& out);
  void ended(const AttemptResult& e, ActionSink& out);
  void list(HostListUpdate kind, std::span<const HostEntry> entries, ActionSink& out);
  void leave(HostId id);
  void tick(ActionSink& out);
  void size_books();
};

}  // namespace cometfold
