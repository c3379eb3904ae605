#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <set>

#include "emulators/cluster/history.h"
#include "net/config.h"
#include "rules/rule_monitors.h"

namespace cometfold::emulators::cluster {
namespace json = boost::json;

namespace {

// One process records what clients and hosts observe, one after the other, so events close together may be
// recorded in the wrong order.
constexpr double kObservationSkewMs = 25;
// Two processes of one name that overlap for longer must both report the conflict.
constexpr double kConflictDetectionMs = 4000;
constexpr double kResumeGraceMs = 500;  // after SIGCONT, to answer requests that expired meanwhile
constexpr std::size_t kMaxViolations = 50;

std::string text(const Line& line, const char* key) { return std::string(line.at(key).as_string()); }
std::uint64_t number(const Line& line, const char* key) { return line.at(key).to_number<std::uint64_t>(); }
double time_of(const Line& line) { return line.at("t").to_number<double>(); }

struct ShownMember {
  std::uint64_t incarnation = 0;
  std::string state;
};

struct Process {
  std::string gateway;
  std::uint64_t number = 0;
  double started = 0, ended = 1e18;
  std::vector<std::pair<double, double>> stops;  // from, to
  std::map<std::string, ShownMember> view;       // the last one, by member name
  std::uint64_t incarnation = 0;                 // the last one that it reported
  std::set<std::uint64_t> incarnations;          // all that it reported
  std::string standing;
  double last_view_at = -1;
  bool conflict = false;
  std::set<std::pair<std::string, std::uint64_t>> departed;  // shown as failed or left
  std::map<std::pair<std::string, std::uint64_t>, double> suspected_since;

  bool ran_at(double t) const {
    return t >= started && t < ended && std::none_of(stops.begin(), stops.end(), [t](auto& s) {
             return t >= s.first && t <= s.second + 3000;
           });
  }
};

class HistoryChecker {
 public:
  explicit HistoryChecker(const std::vector<Line>& history) : history_(history) {}

  Verdict check() {
    if (history_.empty() || text(history_.front(), "what") != "schedule") {
      throw std::runtime_error("not a history: the first line has no schedule");
    }
    schedule_ = parse_schedule(text(history_.front(), "text"), "the history's schedule");
    if (text(history_.back(), "what") != "finished")
      add_violation("the run was not finished: the last line is not `finished`");
    for (const auto& line : history_) observe_membership(line);
    check_convergence();
    check_name_conflicts();
    check_rules();
    return verdict_;
  }

 private:
  void add_violation(const std::string& what) {
    if (verdict_.violations.size() < kMaxViolations) verdict_.violations.push_back(what);
  }

  // ---- membership ----

  void observe_membership(const Line& line) {
    const auto what = text(line, "what");
    const double t = time_of(line);
    if (what == "fault") last_fault_ = t;
    if (what == "start") {
      Process& p = processes_[number(line, "process")];
      p.gateway = text(line, "gateway");
      p.number = number(line, "process");
      p.started = t;
    }
    const auto* process = line.if_contains("process");
    if (!process || what == "start") return;
    Process& p = processes_.at(process->to_number<std::uint64_t>());
    if (what == "end") p.ended = t, ends_.push_back({t, p.number}), last_fault_ = std::max(last_fault_, t);
    if (what == "stop") p.stops.emplace_back(t, 1e18);
    if (what == "continue") p.stops.back().second = t;
    if (what == "view") observe_view(t, p, line);
  }

  void observe_view(double t, Process& p, const Line& line) {
    p.incarnation = number(line, "start");
    p.incarnations.insert(p.incarnation);
    process_by_incarnation_[{p.gateway, p.incarnation}] = p.number;
    p.standing = text(line, "standing");
    p.conflict |= line.contains("conflict");
    p.last_view_at = t;
    std::map<std::string, ShownMember> shown;
    for (const auto& value : line.at("members").as_array()) {
      const auto& m = value.as_array();
      const std::string name(m.at(0).as_string()), state(m.at(2).as_string());
      const auto incarnation = m.at(1).to_number<std::uint64_t>();
      shown[name] = {incarnation, state};
      const auto key = std::pair{name, incarnation};
      if (state == "failed" || state == "left") {
        if (p.departed.insert(key).second && state == "failed") observe_failure(t, p, name, incarnation);
      } else if (p.departed.contains(key)) {
        add_violation("process " + std::to_string(p.number) + " (" + p.gateway + ") shows " + name +
                      " in incarnation " + std::to_string(incarnation) + " " + state +
                      " after it had failed or left");
        p.departed.erase(key);
      }
      observe_suspicion(t, p, key, state == "suspect");
    }
    p.view = std::move(shown);
    converged_since_ = views_agree(t) ? (converged_since_ < 0 ? t : converged_since_) : -1;
  }

  void observe_failure(double t, const Process& observer, const std::string& name,
                       std::uint64_t incarnation) {
    const auto who = process_by_incarnation_.find({name, incarnation});
    if (who == process_by_incarnation_.end()) return;
    const Process& p = processes_.at(who->second);
    if (p.ran_at(t) && *p.incarnations.rbegin() == incarnation) ++verdict_.false_failures;
    if (p.ended < t && observer.started < p.ended) detection_delays_[p.number][observer.number] = t - p.ended;
  }

  void observe_suspicion(double t, Process& p, const std::pair<std::string, std::uint64_t>& key, bool on) {
    const auto who = process_by_incarnation_.find(key);
    const bool wrongly =
        on && who != process_by_incarnation_.end() && processes_.at(who->second).ran_at(t) && p.ran_at(t);
    const auto since = p.suspected_since.find(key);
    if (wrongly && since == p.suspected_since.end()) {
      p.suspected_since[key] = t;
      ++verdict_.false_suspicions;
    }
    if (since == p.suspected_since.end()) return;
    verdict_.longest_suspicion = std::max(verdict_.longest_suspicion, t - since->second);
    if (!wrongly) p.suspected_since.erase(since);
  }

  std::map<std::string, std::uint64_t> running(double t) const {
    std::map<std::string, std::uint64_t> all;
    for (const auto& [number, p] : processes_) {
      if (t >= p.started && t < p.ended) all[p.gateway] = std::max(all[p.gateway], p.incarnation);
    }
    return all;
  }

  // Describes the first difference between the latest views and the running processes; empty if there is
  // none.
  std::string difference(double t) const {
    const auto expected = running(t);
    for (const auto& [number, p] : processes_) {
      if (t < p.started || t >= p.ended) continue;
      const std::string who = "process " + std::to_string(number) + " (" + p.gateway + ")";
      if (p.last_view_at < 0) return who + " never sent a view";
      if (t - p.last_view_at > 3000) return who + " sent no view for more than 3 s";
      for (const auto& [name, incarnation] : expected) {
        const auto it = p.view.find(name);
        if (it == p.view.end()) return who + " does not know " + name;
        if (it->second.state != "alive") return who + " shows " + name + " " + it->second.state;
        if (it->second.incarnation != incarnation) return who + " knows " + name + " by another incarnation";
      }
      for (const auto& [name, m] : p.view) {
        if (!expected.contains(name) && (m.state == "alive" || m.state == "suspect")) {
          return who + " shows " + name + " " + m.state + ", which does not run";
        }
      }
      if (expected.size() > 1 && p.standing != "together") return who + " reports standing " + p.standing;
    }
    return {};
  }
  bool views_agree(double t) const { return difference(t).empty(); }

  void check_convergence() {
    double end = 0;
    for (const auto& line : history_) {
      if (text(line, "what") == "view") end = time_of(line);
    }
    if (converged_since_ < 0) return add_violation("views do not agree at the end: " + difference(end));
    verdict_.converged_after = std::max(0.0, converged_since_ - last_fault_);
    if (verdict_.converged_after > 1000 * schedule_.agree_within) {
      add_violation("views agreed " + std::to_string(verdict_.converged_after) + " ms after the last fault");
    }
    for (const auto& [at, number] : ends_) {
      const Ms ended_at = at;
      const auto& gateway = processes_.at(number).gateway;
      const bool back = std::any_of(processes_.begin(), processes_.end(), [&](auto& other) {
        return other.second.gateway == gateway && other.second.started > ended_at;
      });
      const auto known = detection_delays_.find(number);
      if (back || known == detection_delays_.end()) continue;
      double first = 1e18, last = 0;
      for (const auto& [observer, took] : known->second)
        first = std::min(first, took), last = std::max(last, took);
      verdict_.crash_detected_first.push_back(first);
      verdict_.crash_detected_all.push_back(last);
    }
  }

  void check_name_conflicts() {
    for (const auto& [a, p] : processes_) {
      for (const auto& [b, q] : processes_) {
        if (a == b || p.gateway != q.gateway) continue;
        const double overlap =
            std::min({p.ended, q.ended, time_of(history_.back())}) - std::max(p.started, q.started);
        if (overlap > kConflictDetectionMs && !p.conflict) {
          add_violation("process " + std::to_string(a) + " (" + p.gateway +
                        ") never reported a name conflict");
        }
      }
    }
  }

  // ---- the five rules ----

  struct TimedEvent {
    double at;
    rules::Event event;
    std::string value;
  };

  void check_rules() {
    const auto settings =
        std::find_if(history_.begin(), history_.end(), [](auto& l) { return text(l, "what") == "settings"; });
    if (settings == history_.end())
      return add_violation("the history has no settings to check the rules against");
    const auto config = net::parse_config(settings->at("config"));
    std::vector<TimedEvent> events;
    std::map<std::uint64_t, std::pair<std::uint64_t, double>> at_gateway;  // process and time, by request
    for (const auto& line : history_) {
      const auto what = text(line, "what");
      if (what == "taken") {
        at_gateway[std::stoull(text(line, "request"), nullptr, 16)] = {number(line, "process"),
                                                                       time_of(line)};
      }
    }
    for (const auto& line : history_) observe_event(line, config, at_gateway, events);
    std::stable_sort(events.begin(), events.end(), [](auto& a, auto& b) { return a.at < b.at; });
    rules::RuleMonitors rules(config.settings, {});
    for (auto& timed : events) {
      timed.event.at = timed.at;
      timed.event.value = timed.value;
      rules.observe(timed.event);
    }
    rules.check_deadlines(time_of(history_.back()));
    for (const auto& b : rules.violations()) add_violation("rule broken: " + b.rule + ": " + b.description);
  }

  void observe_event(const Line& line, const net::Config& config,
                     const std::map<std::uint64_t, std::pair<std::uint64_t, double>>& at_gateway,
                     std::vector<TimedEvent>& events) {
    using Kind = rules::Event::Kind;
    static const std::map<std::string, Kind> kKinds{
        {"taken", Kind::kRequestReceived},   {"served", Kind::kServed},
        {"refused", Kind::kRejected},        {"failed", Kind::kFailed},
        {"gone", Kind::kClientDisconnected}, {"came", Kind::kAttemptFirstByte},
        {"never-ran", Kind::kNotExecuted},   {"made", Kind::kExecuted},
        {"over", Kind::kAttemptEnded}};
    const auto what = text(line, "what");
    const double t = time_of(line);
    rules::Event e;
    if (what == "end") {
      if (!line.contains("killed")) return;  // a planned shutdown answers all of its requests
      e.kind = Kind::kGatewayCrashed;
      e.gateway = static_cast<rules::GatewayId>(number(line, "process"));
      events.push_back({t, e, {}});
      return;
    }
    if (what == "told") {
      for (const auto& [process, p] : processes_) {
        if (t < p.started || t >= p.ended) continue;
        e.kind = Kind::kHostUpdate;
        e.gateway = static_cast<rules::GatewayId>(process);
        e.entry.id = std::stoul(text(line, "host").substr(1)) + 1;
        e.entry.state = HostState::kDraining;
        const auto stop = std::find_if(p.stops.begin(), p.stops.end(),
                                       [t](auto& s) { return t >= s.first && t <= s.second; });
        events.push_back({stop == p.stops.end() ? t : stop->second, e, {}});
      }
      return;
    }
    const auto kind = kKinds.find(what);
    if (kind == kKinds.end()) return;
    e.kind = kind->second;
    e.request = std::stoull(text(line, "request"), nullptr, 16);
    const auto at = at_gateway.find(e.request);
    if (at == at_gateway.end())
      return add_violation("a host received request " + text(line, "request") + ", which no client sent");
    e.gateway = static_cast<rules::GatewayId>(at->second.first);
    if (const auto* host = line.if_contains("host")) {
      e.host = std::stoul(std::string(host->as_string()).substr(1)) + 1;
      e.connection = number(line, "connection") + 1'000'000 * e.host;
    }
    std::string value;
    if (const auto* v = line.if_contains("value")) value = std::string(v->as_string());
    const auto index = [](const std::vector<std::string>& all, const std::string& one) {
      return static_cast<std::uint32_t>(std::find(all.begin(), all.end(), one) - all.begin());
    };
    if (what == "taken") {
      e.class_index = index(config.class_names, text(line, "class"));
      e.plan_index = index(config.plan_names, text(line, "plan"));
      e.customer = number(line, "customer");
      e.expires_at = line.at("expires").to_number<double>();
      // A stopped process can't answer; once continued it has to answer what expired meanwhile.
      for (const auto& [from, to] : processes_.at(at->second.first).stops) {
        if (t <= to && from <= e.expires_at) e.expires_at = std::max(e.expires_at, to + kResumeGraceMs);
      }
      ++verdict_.sent;
    }
    verdict_.served += what == "served";
    verdict_.refused += what == "refused";
    verdict_.failed += what == "failed";
    verdict_.disconnected += what == "gone";
    const bool early = what == "came" || what == "made";
    // An ended process writes nothing: an answer that a client reads later was written before the end.
    const bool answer = what == "served" || what == "refused" || what == "failed";
    const double written =
        answer ? std::min(t, std::nextafter(processes_.at(at->second.first).ended, 0.0)) : t;
    const double when = early ? std::max(t - kObservationSkewMs, at->second.second) : written;
    events.push_back({when, e, value});
    if (what != "came") return;
    e.kind = Kind::kAttemptWritten;
    events.push_back({when, e, value});
  }

  const std::vector<Line>& history_;
  Schedule schedule_;
  Verdict verdict_;
  std::map<std::uint64_t, Process> processes_;
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> process_by_incarnation_;
  std::vector<std::pair<double, std::uint64_t>> ends_;
  std::map<std::uint64_t, std::map<std::uint64_t, double>>
      detection_delays_;  // by ended process and observer, in ms
  double last_fault_ = 0, converged_since_ = -1;
};

}  // namespace

Verdict check(const std::vector<Line>& history) { return HistoryChecker(history).check(); }

std::vector<Line> read_history(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": can't be read");
  std::vector<Line> all;
  for (std::string line; std::getline(file, line);) {
    boost::system::error_code error;
    auto value = json::parse(line, error);
    if (error || !value.is_object()) {
      throw std::runtime_error(path + ":" + std::to_string(all.size() + 1) + ": not a JSON object");
    }
    all.push_back(std::move(value.as_object()));
  }
  return all;
}

}  // namespace cometfold::emulators::cluster
