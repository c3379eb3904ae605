// Replays the requests of a fleet's decision logs through real decision modules, to measure how much a
// changed rule for slices would admit beyond and within quotas, before it is tested with real gateways.
//
//   quota_replay DIRECTORY [--cores N] [--work MS] [--requests N] [--again P] [--same P]
//
// DIRECTORY holds one log for each gateway (see tools/count_quotas.py). Hosts share all their cores evenly
// among the attempts in flight and never fail. Clients' retries are found in the logs by customer, class and
// units shortly after a rejection; in the replay rejected requests are retried as often as in the logs, at
// the customer's gateways as often as it used them.
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
#include <string_view>
#include <vector>

#include "tests/admission/model_fleet.h"

namespace {

using namespace cometfold;
using namespace cometfold::testing;

// A request of the decision logs.
struct LoggedRequest {
  Ms at = 0;
  std::size_t gateway = 0;
  Request request;
  bool rejected = false;
  bool is_retry = false;  // probably a client's retry
};

// The contents of a fleet's decision logs.
struct DecisionLogs {
  AdmissionSettings settings;
  std::vector<LoggedRequest> requests;
  std::size_t gateways = 0;
  double retry_fraction = 0;  // of the rejected requests
};

using Fields = std::map<std::string, std::string>;

// The keys of plan and class settings in the decision log.
template <class Settings>
struct LogKey {
  const char* key;
  double Settings::*number;
};
constexpr LogKey<PlanSettings> kPlanKeys[] = {
    {"rate", &PlanSettings::quota_rate},
    {"burst", &PlanSettings::quota_burst},
    {"pays", &PlanSettings::plan_weight},
    {"cost", &PlanSettings::over_quota_cost},
    {"earns", &PlanSettings::over_quota_value},
    {"ceiling", &PlanSettings::ceiling_rate},
    {"ceilingburst", &PlanSettings::ceiling_burst},
    {"open", &PlanSettings::max_concurrent_attempts},
};
constexpr LogKey<ClassSettings> kClassKeys[] = {
    {"worth", &ClassSettings::priority_weight},
    {"aim", &ClassSettings::latency_objective_ms},
    {"deadline", &ClassSettings::deadline_ms},
};

Fields fields_of(const std::string& text) {
  Fields fields;
  std::istringstream words(text);
  for (std::string word; words >> word;) {
    const auto separator = word.find('=');
    if (separator != std::string::npos) fields[word.substr(0, separator)] = word.substr(separator + 1);
  }
  return fields;
}

// The field's value, or 0 if there is no such field.
double number_of(const Fields& fields, const char* key) {
  return fields.contains(key) ? std::stod(fields.at(key)) : 0.0;
}

// Reads a plan or class, whose index is the field `index_key`.
template <class Settings, std::size_t kCount>
Settings& read_settings(const Fields& fields, const char* index_key, const LogKey<Settings> (&keys)[kCount],
                        std::vector<Settings>& all) {
  const auto index = static_cast<std::size_t>(number_of(fields, index_key));
  all.resize(std::max(all.size(), index + 1));
  for (const auto& [key, number] : keys) all[index].*number = number_of(fields, key);
  return all[index];
}

LoggedRequest read_request(const Fields& fields, Ms at, std::size_t gateway) {
  LoggedRequest logged;
  logged.at = at;
  logged.gateway = gateway;
  logged.request.customer = std::stoull(fields.at("customer"), nullptr, 16);
  logged.request.plan_index = static_cast<std::uint32_t>(number_of(fields, "plan"));
  logged.request.class_index = static_cast<std::uint32_t>(number_of(fields, "class"));
  logged.request.units = number_of(fields, "units");
  logged.request.gateway_count = number_of(fields, "spread");
  logged.rejected = fields.contains("refused");
  return logged;
}

void read_line(DecisionLogs& logs, std::size_t gateway, const std::string& line) {
  constexpr std::string_view kMark = " decision: ";
  const auto mark = line.find(kMark);
  if (mark == std::string::npos) return;
  const Fields fields = fields_of(line.substr(mark + kMark.size()));
  if (fields.contains("customer")) {
    const Ms at = std::stod(line.substr(0, mark)) * 1000;
    logs.requests.push_back(read_request(fields, at, gateway));
  } else if (fields.contains("plan")) {
    read_settings(fields, "plan", kPlanKeys, logs.settings.plans);
  } else if (fields.contains("class")) {
    read_settings(fields, "class", kClassKeys, logs.settings.classes).idempotency = Idempotency::kIdempotent;
  }
}

// Marks the requests that are clients' retries: those soon after a rejection of an equal request. If that
// leaves more or fewer first requests than `first_requests`, marks are set or cleared at random to match; 0
// means that the number is not known.
void find_retries(DecisionLogs& logs, double first_requests) {
  constexpr Ms kMaxRetryDelayMs = 2500;
  constexpr Ms kMinRetryDelayMs = 20;
  std::map<std::tuple<CustomerId, std::uint32_t, long>, std::deque<Ms>> rejections;
  double rejected = 0;
  double unmarked = 0;
  const auto all = static_cast<double>(logs.requests.size());
  for (auto& logged : logs.requests) {
    const Request& request = logged.request;
    auto& earlier = rejections[{request.customer, request.class_index, std::lround(request.units * 1000)}];
    while (!earlier.empty() && logged.at - earlier.front() > kMaxRetryDelayMs) earlier.pop_front();
    if (!earlier.empty() && logged.at - earlier.front() > kMinRetryDelayMs) {
      earlier.pop_front();
      logged.is_retry = true;
    }
    if (logged.rejected) {
      earlier.push_back(logged.at);
      ++rejected;
    }
    if (!logged.is_retry) ++unmarked;
  }
  if (first_requests <= 0) first_requests = unmarked;
  logs.retry_fraction = rejected > 0 ? std::min(1.0, (all - first_requests) / rejected) : 0;
  std::mt19937_64 random(11);
  for (auto& logged : logs.requests) {
    const double draw = static_cast<double>(random() >> 11) * 0x1.0p-53;
    if (unmarked > first_requests && !logged.is_retry) logged.is_retry = draw > first_requests / unmarked;
    if (unmarked < first_requests && logged.is_retry) {
      logged.is_retry = draw > (first_requests - unmarked) / (all - unmarked);
    }
  }
}

void complete_settings(DecisionLogs& logs) {
  AdmissionSettings& settings = logs.settings;
  settings.gateway_count = static_cast<double>(logs.gateways);
  settings.hedging_allowed = true;
  settings.cancellation_allowed = true;
  settings.retry_after_allowed = true;
  settings.max_attempts = 4;
  settings.max_retry_after_ms = 1000;
  settings.min_event_interval_ms = 4;
  settings.slow_start_initial_weight = 0.2;
  settings.slow_start_duration_ms = 10'000;
  settings.overload_factor = 2;
  settings.overload_window_ms = 1000;
  for (const auto& logged : logs.requests) {
    settings.max_request_units = std::max(settings.max_request_units, logged.request.units);
  }
}

DecisionLogs read(const std::string& directory, double first_requests) {
  DecisionLogs logs;
  std::map<std::string, std::filesystem::path> log_files;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    if (entry.path().extension() == ".log") log_files[entry.path().stem()] = entry.path();
  }
  for (const auto& [name, path] : log_files) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) read_line(logs, logs.gateways, line);
    ++logs.gateways;
  }
  std::stable_sort(logs.requests.begin(), logs.requests.end(),
                   [](const auto& left, const auto& right) { return left.at < right.at; });
  find_retries(logs, first_requests);
  complete_settings(logs);
  return logs;
}

// One customer's token buckets over all gateways: the real one, and an ideal one that admits all that fits.
struct Account {
  double tokens = 0;
  double ideal_tokens = 0;
  Ms refilled_at = 0;
  std::vector<std::size_t> gateways;  // with repetitions, as often as the customer used each
  double admissible = 0;              // value of first requests that fit into the quota
  double admitted = 0;                // value admitted within the quota
};

// Submits the logged first requests to a model fleet, and retries rejected ones.
class Replay {
 public:
  Replay(DecisionLogs& logs, double cores, Ms service_time, double same_gateway_fraction)
      : logs_(logs),
        cores_(cores),
        service_time_(service_time),
        same_gateway_fraction_(same_gateway_fraction),
        admissible_(logs.settings.plans.size()),
        admitted_within_(admissible_),
        admitted_beyond_(admissible_),
        fleet_(logs.settings, logs.gateways, hosts(),
               [this](ModelFleet& fleet, HostId) { return draw_fate(fleet); }) {
    for (const auto& logged : logs.requests) {
      auto& account = accounts_[logged.request.customer];
      account.tokens = account.ideal_tokens = logs.settings.plans[logged.request.plan_index].quota_burst;
      account.gateways.push_back(logged.gateway);
    }
    fleet_.observer().on_first_send = [this](const Request& request) { on_sent(request); };
    fleet_.observer().on_rejected = [this](const Request& request, Ms after, RejectionReason reason) {
      on_rejected(request, after, reason);
    };
  }

  void run() {
    for (const auto& logged : logs_.requests) {
      if (logged.is_retry) continue;
      fleet_.schedule_at(logged.at, [this, &logged] {
        Account& account = refill(logged.request);
        if (account.ideal_tokens + 1e-9 >= logged.request.units) {
          account.ideal_tokens -= logged.request.units;
          account.admissible += value_of(logged.request);
          admissible_[logged.request.plan_index] += value_of(logged.request);
        }
        ++first_requests_;
        fleet_.submit(logged.gateway, logged.request);
      });
    }
    fleet_.wait(logs_.requests.back().at + 3000 - fleet_.now());
  }

  void print() const {
    double admissible = 0;
    double admitted_within = 0;
    double overrun_cost = 0;
    for (std::size_t plan = 0; plan < admissible_.size(); ++plan) {
      admissible += admissible_[plan];
      admitted_within += admitted_within_[plan];
      overrun_cost += admitted_beyond_[plan] * logs_.settings.plans[plan].over_quota_cost;
    }
    std::printf("price %.4f inside %.4f net %.4f tries %.2f;", overrun_cost / admissible,
                admitted_within / admissible, (admitted_within - overrun_cost) / admissible,
                attempts_ / first_requests_);
    for (std::size_t plan = 0; plan < admissible_.size(); ++plan) {
      if (admissible_[plan] > 0)
        std::printf(" plan %zu %.3f/%.4f", plan, admitted_within_[plan] / admissible_[plan],
                    admitted_beyond_[plan] * logs_.settings.plans[plan].over_quota_cost / admissible);
    }
    double starved = 0;
    for (const auto& [id, account] : accounts_) {
      if (account.admitted < 0.1 * account.admissible) starved += account.admissible;
    }
    std::printf("; starved %.4f;", starved / admissible);
    for (const auto& [reason, value] : rejected_value_)
      std::printf(" %s %.3f", kRejectionReasonNames[reason].data(), value / admissible);
    std::printf("\n");
  }

 private:
  static std::vector<HostEntry> hosts() {
    std::vector<HostEntry> all;
    for (HostId id = 1; id <= 150; ++id) all.push_back(host(id));
    return all;
  }
  AttemptFate draw_fate(ModelFleet& fleet) {
    double in_flight = 0;
    for (const auto& [id, value] : fleet.counts().in_flight_by_host) in_flight += value;
    return {Outcome::kOk, fleet.exponential(service_time_) * std::max(1.0, in_flight / cores_)};
  }
  double value_of(const Request& request) const {
    return logs_.settings.plans[request.plan_index].plan_weight *
           logs_.settings.classes[request.class_index].priority_weight * request.units;
  }
  Account& refill(const Request& request) {
    Account& account = accounts_[request.customer];
    const auto& plan = logs_.settings.plans[request.plan_index];
    const double earned = plan.quota_rate * (fleet_.now() - account.refilled_at) / 1000;
    account.tokens = std::min(plan.quota_burst, account.tokens + earned);
    account.ideal_tokens = std::min(plan.quota_burst, account.ideal_tokens + earned);
    account.refilled_at = fleet_.now();
    return account;
  }
  void on_sent(const Request& request) {
    ++attempts_;
    Account& account = refill(request);
    if (logs_.settings.plans[request.plan_index].quota_rate <= 0 || account.tokens + 1e-9 >= request.units) {
      account.tokens -= request.units;
      account.admitted += value_of(request);
      admitted_within_[request.plan_index] += value_of(request);
    } else {
      admitted_beyond_[request.plan_index] += value_of(request);
    }
  }
  void on_rejected(const Request& request, Ms after, RejectionReason reason) {
    ++attempts_;
    rejected_value_[static_cast<std::size_t>(reason)] += value_of(request);
    Account& account = refill(request);
    if (fleet_.draw() >= logs_.retry_fraction) return;
    const auto other =
        account
            .gateways[static_cast<std::size_t>(fleet_.draw() * static_cast<double>(account.gateways.size()))];
    const auto gateway = fleet_.draw() < same_gateway_fraction_ ? fleet_.rejecting_gateway() : other;
    fleet_.submit_later(std::clamp(after, 150.0, 800.0), gateway, request);
  }

  DecisionLogs& logs_;
  double cores_;
  Ms service_time_;
  double same_gateway_fraction_;
  double attempts_ = 0;
  double first_requests_ = 0;
  // Sums of request values, by plan.
  std::vector<double> admissible_;
  std::vector<double> admitted_within_;
  std::vector<double> admitted_beyond_;
  std::map<CustomerId, Account> accounts_;
  std::map<std::size_t, double> rejected_value_;  // by reason
  ModelFleet fleet_;
};

}  // namespace

int main(int argc, char** argv) {
  std::string directory;
  double cores = 600;
  Ms service_time = 200;
  double retry_fraction = -1;
  double first_requests = 0;
  double same_gateway_fraction = 0.37;
  CLI::App app{"Replays a fleet's decision logs through real decision modules."};
  app.add_option("directory", directory, "a directory with one log per gateway")->required();
  app.add_option("--cores", cores, "cores of all hosts together");
  app.add_option("--work", service_time, "mean service time of a request in milliseconds");
  app.add_option("--requests", first_requests, "number of first requests of the clients, if known");
  app.add_option("--same", same_gateway_fraction, "fraction of the retries that go to the same gateway");
  app.add_option("--again", retry_fraction,
                 "fraction of the rejected requests that are retried; by default as in the logs");
  CLI11_PARSE(app, argc, argv);
  DecisionLogs logs = read(directory, first_requests);
  if (logs.requests.empty()) {
    std::fprintf(stderr, "%s: no decisions in it: are the logs written with [log] decisions = true?\n",
                 directory.c_str());
    return 1;
  }
  if (retry_fraction >= 0) logs.retry_fraction = retry_fraction;
  std::printf("%zu gateways, %zu tries, again %.2f: ", logs.gateways, logs.requests.size(),
              logs.retry_fraction);
  Replay replay(logs, cores, service_time, same_gateway_fraction);
  replay.run();
  replay.print();
}
