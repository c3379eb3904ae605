// Plays the requests of a fleet's decision logs once more through real modules, to measure what another rule
// at the slice would let pass beyond quotas and inside them, before it is tried on sockets.
//
//   quota_replay DIRECTORY [--cores N] [--work MS] [--requests N] [--again P] [--same P]
//
// DIRECTORY holds one log for each gateway (see tools/count_quotas.py). Hosts share all their cores evenly
// among what is out and never fail. A client's further tries are found by customer, class and units shortly
// after a refusal; in the replay refused ones come again as often as in the logs, at gateways of the
// customer's set as often as it used them.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "tests/admission/model_fleet.h"

namespace {

using namespace cometfold;
using namespace cometfold::testing;

struct Asked {
  Ms at = 0;
  std::size_t gateway = 0;
  Request request;
  bool refused = false;
  bool further = false;  // taken for a client's next try
};

struct Day {
  AdmissionSettings settings;
  std::vector<Asked> asked;
  std::size_t gateways = 0;
  double again = 0;  // part of the refused that come again
};

std::map<std::string, std::string> fields_of(const std::string& text) {
  std::map<std::string, std::string> fields;
  std::istringstream words(text);
  for (std::string word; words >> word;) {
    const auto eq = word.find('=');
    if (eq != std::string::npos) fields[word.substr(0, eq)] = word.substr(eq + 1);
  }
  return fields;
}

void read_line(Day& day, std::size_t gateway, const std::string& line) {
  const auto mark = line.find(" decision: ");
  if (mark == std::string::npos) return;
  const auto f = fields_of(line.substr(mark + 11));
  const auto number = [&](const char* name) { return f.contains(name) ? std::stod(f.at(name)) : 0.0; };
  if (f.contains("customer")) {
    Asked a;
    a.at = std::stod(line.substr(0, mark)) * 1000;
    a.gateway = gateway;
    a.request.customer = std::stoull(f.at("customer"), nullptr, 16);
    a.request.plan_index = static_cast<std::uint32_t>(number("plan"));
    a.request.class_index = static_cast<std::uint32_t>(number("class"));
    a.request.units = number("units"), a.request.gateway_count = number("spread");
    a.refused = f.contains("refused");
    day.asked.push_back(a);
  } else if (f.contains("plan")) {
    const auto i = static_cast<std::size_t>(number("plan"));
    day.settings.plans.resize(std::max(day.settings.plans.size(), i + 1));
    auto& p = day.settings.plans[i];
    p.quota_rate = number("rate"), p.quota_burst = number("burst"), p.plan_weight = number("pays");
    p.over_quota_cost = number("cost"), p.over_quota_value = number("earns");
    p.ceiling_rate = number("ceiling"), p.ceiling_burst = number("ceilingburst");
    p.max_concurrent_attempts = number("open");
  } else if (f.contains("class")) {
    const auto i = static_cast<std::size_t>(number("class"));
    day.settings.classes.resize(std::max(day.settings.classes.size(), i + 1));
    auto& c = day.settings.classes[i];
    c.priority_weight = number("worth"), c.latency_objective_ms = number("aim"),
    c.deadline_ms = number("deadline");
    c.idempotency = Idempotency::kIdempotent;
  }
}

// Which tries are a client's first ones; `requests` of them there were in truth. Those that follow a refusal
// of a request like theirs are further ones; chance decides between the rest.
void find_further(Day& day, double requests) {
  std::map<std::tuple<CustomerId, std::uint32_t, long>, std::deque<Ms>> waiting;
  double refused = 0, alone = 0;
  const auto all = static_cast<double>(day.asked.size());
  for (auto& a : day.asked) {
    auto& mine = waiting[{a.request.customer, a.request.class_index, std::lround(a.request.units * 1000)}];
    while (!mine.empty() && a.at - mine.front() > 2500) mine.pop_front();
    if (!mine.empty() && a.at - mine.front() > 20) {
      mine.pop_front();
      a.further = true;
    }
    if (a.refused) mine.push_back(a.at), ++refused;
    alone += !a.further;
  }
  if (requests <= 0) requests = alone;
  day.again = refused > 0 ? std::min(1.0, (all - requests) / refused) : 0;
  std::mt19937_64 random(11);
  for (auto& a : day.asked) {
    const double draw = static_cast<double>(random() >> 11) * 0x1.0p-53;
    if (alone > requests && !a.further) a.further = draw > requests / alone;
    if (alone < requests && a.further) a.further = draw > (requests - alone) / (all - alone);
  }
}

Day read(const std::string& directory, double requests) {
  Day day;
  std::map<std::string, std::filesystem::path> logs;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    if (entry.path().extension() == ".log") logs[entry.path().stem()] = entry.path();
  }
  for (const auto& [name, path] : logs) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) read_line(day, day.gateways, line);
    ++day.gateways;
  }
  std::stable_sort(day.asked.begin(), day.asked.end(), [](auto& a, auto& b) { return a.at < b.at; });
  find_further(day, requests);
  auto& s = day.settings;
  s.gateway_count = static_cast<double>(day.gateways);
  s.hedging_allowed = s.cancellation_allowed = s.retry_after_allowed = true;
  s.max_attempts = 4;
  s.max_retry_after_ms = 1000;
  s.min_event_interval_ms = 4;
  s.slow_start_initial_weight = 0.2, s.slow_start_duration_ms = 10'000, s.overload_factor = 2,
  s.overload_window_ms = 1000;
  for (const auto& a : day.asked) s.max_request_units = std::max(s.max_request_units, a.request.units);
  return day;
}

// One customer's stores: as it is used, and as one that saw all first tries would use it.
struct Account {
  double store = 0, ideal = 0;
  Ms at = 0;
  std::vector<std::size_t> set;  // gateways, as often as it used them
  double due = 0, got = 0;       // worth inside
};

class Replay {
 public:
  Replay(Day& day, double cores, Ms work, double same)
      : day_(day),
        cores_(cores),
        work_(work),
        same_(same),
        due_(day.settings.plans.size()),
        kept_(due_),
        over_(due_),
        fleet_(day.settings, day.gateways, hosts(), [this](ModelFleet& f, HostId) { return fate(f); }) {
    for (const auto& a : day.asked) {
      auto& c = accounts_[a.request.customer];
      c.store = c.ideal = day.settings.plans[a.request.plan_index].quota_burst;
      c.set.push_back(a.gateway);
    }
    fleet_.watcher().on_first_send = [this](const Request& q) { sent(q); };
    fleet_.watcher().on_refused = [this](const Request& q, Ms after, RejectionReason why) {
      refused(q, after, why);
    };
  }

  void run() {
    for (const auto& a : day_.asked) {
      if (a.further) continue;
      fleet_.at_time(a.at, [this, &a] {
        Account& c = refill(a.request);
        if (c.ideal + 1e-9 >= a.request.units) {
          c.ideal -= a.request.units, c.due += worth(a.request);
          due_[a.request.plan_index] += worth(a.request);
        }
        ++first_;
        fleet_.ask(a.gateway, a.request);
      });
    }
    fleet_.wait(day_.asked.back().at + 3000 - fleet_.now());
  }

  void print() const {
    double due = 0, kept = 0, price = 0;
    for (std::size_t p = 0; p < due_.size(); ++p) {
      due += due_[p], kept += kept_[p], price += over_[p] * day_.settings.plans[p].over_quota_cost;
    }
    std::printf("price %.4f inside %.4f net %.4f tries %.2f;", price / due, kept / due, (kept - price) / due,
                fleet_tries() / first_);
    for (std::size_t p = 0; p < due_.size(); ++p) {
      if (due_[p] > 0)
        std::printf(" plan %zu %.3f/%.4f", p, kept_[p] / due_[p],
                    over_[p] * day_.settings.plans[p].over_quota_cost / due);
    }
    double starved = 0;
    for (const auto& [id, c] : accounts_) {
      if (c.got < 0.1 * c.due) starved += c.due;
    }
    std::printf("; starved %.4f;", starved / due);
    for (const auto& [why, n] : causes_) std::printf(" %s %.3f", kRejectionReasonNames[why].data(), n / due);
    std::printf("\n");
  }

 private:
  static std::vector<HostEntry> hosts() {
    std::vector<HostEntry> all;
    for (HostId id = 1; id <= 150; ++id) all.push_back(host(id));
    return all;
  }
  double fleet_tries() const { return tries_; }
  Fate fate(ModelFleet& f) {
    double out = 0;
    for (const auto& [id, n] : f.counts().out) out += n;
    return {Outcome::kOk, f.exponential(work_) * std::max(1.0, out / cores_)};
  }
  double worth(const Request& q) const {
    return day_.settings.plans[q.plan_index].plan_weight *
           day_.settings.classes[q.class_index].priority_weight * q.units;
  }
  Account& refill(const Request& q) {
    Account& c = accounts_[q.customer];
    const auto& p = day_.settings.plans[q.plan_index];
    const double more = p.quota_rate * (fleet_.now() - c.at) / 1000;
    c.store = std::min(p.quota_burst, c.store + more), c.ideal = std::min(p.quota_burst, c.ideal + more);
    c.at = fleet_.now();
    return c;
  }
  void sent(const Request& q) {
    ++tries_;
    Account& c = refill(q);
    if (day_.settings.plans[q.plan_index].quota_rate <= 0 || c.store + 1e-9 >= q.units) {
      c.store -= q.units, c.got += worth(q);
      kept_[q.plan_index] += worth(q);
    } else {
      over_[q.plan_index] += worth(q);
    }
  }
  void refused(const Request& q, Ms after, RejectionReason why) {
    ++tries_;
    causes_[static_cast<std::size_t>(why)] += worth(q);
    Account& c = refill(q);
    if (fleet_.draw() >= day_.again) return;
    const auto other = c.set[static_cast<std::size_t>(fleet_.draw() * static_cast<double>(c.set.size()))];
    const auto gateway = fleet_.draw() < same_ ? fleet_.asking() : other;
    fleet_.ask_later(std::clamp(after, 150.0, 800.0), gateway, q);
  }

  Day& day_;
  double cores_;
  Ms work_;
  double same_;  // part of those that come again to the same gateway
  double tries_ = 0, first_ = 0;
  std::vector<double> due_, kept_, over_;  // worth, by plan
  std::map<CustomerId, Account> accounts_;
  std::map<std::size_t, double> causes_;
  ModelFleet fleet_;
};

}  // namespace

int main(int argc, char** argv) {
  std::string directory;
  double cores = 600, work = 200, again = -1, requests = 0, same = 0.37;
  CLI::App app{"Plays a fleet's decision logs once more through real modules."};
  app.add_option("directory", directory, "one log for each gateway")->required();
  app.add_option("--cores", cores, "of all hosts together");
  app.add_option("--work", work, "mean of a request, in milliseconds");
  app.add_option("--requests", requests, "how many the clients had, where that is known");
  app.add_option("--same", same, "part of those that come again to the same gateway");
  app.add_option("--again", again, "part of the refused that come again; without it as in the logs");
  CLI11_PARSE(app, argc, argv);
  Day day = read(directory, requests);
  if (day.asked.empty()) {
    std::fprintf(stderr, "%s: no decisions in it: are the logs written with [log] decisions = true?\n",
                 directory.c_str());
    return 1;
  }
  if (again >= 0) day.again = again;
  std::printf("%zu gateways, %zu tries, again %.2f: ", day.gateways, day.asked.size(), day.again);
  Replay replay(day, cores, work, same);
  replay.run();
  replay.print();
}
