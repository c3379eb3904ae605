// Measures in the network model how long members of a cluster take to detect a crash, and compares with two
// simpler protocols (see membership_baselines.h). All run with the same seeds over the same links. Each row
// shows the time until a crash is detected, how often a running member is declared failed, and the costs.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "emulators/membership_model.h"
#include "membership/wire.h"
#include "membership_baselines.h"

namespace {

using namespace cometfold;
using emulators::MembershipEvent;
using emulators::MembershipModel;
using emulators::MembershipProtocol;
using emulators::MemberState;
using emulators::Message;

constexpr Ms kStartSpanMs = 10'000;      // until all members know each other
constexpr Ms kSettleSpanMs = 5000;       // after links and members have been disturbed
constexpr Ms kCountSpanMs = 5000;        // in which datagrams are counted
constexpr Ms kDetectionSpanMs = 25'000;  // within which a crash has to be detected
constexpr Ms kSlowMemberLatenessMs = 300;
constexpr std::size_t kUdpIpHeaderBytes = 28;
constexpr std::size_t kSeeds = 3;  // the first members, which do not crash

double percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, index)];
}

struct Scenario {
  std::string protocol;  // this, swim, heartbeats
  std::size_t members = 0;
  double loss = 0;           // fraction of datagrams
  double slow_fraction = 0;  // of members that handle everything late
  Ms span = 0;               // in which failures are false
  int crashes = 0;
  std::uint64_t seed = 0;
};

struct Result {
  std::vector<double> first_detection_ms, detection_ms;  // of each crash; of each crash at each member
  std::size_t undetected = 0, false_failures = 0;
  double datagrams_per_second = 0, bytes_per_second = 0, memory_bytes = 0;  // of a member
  double cpu_us_per_second = 0;                                             // of a member
};

// One scenario in the model.
class Measurement {
 public:
  explicit Measurement(const Scenario& scenario);
  Result run();

 private:
  struct Crash {
    Ms at = 0;
    std::vector<double> detection_ms;
  };

  std::unique_ptr<MembershipProtocol> make_protocol(membership::MemberRecord self,
                                                    std::vector<std::string> seeds, membership::Draw draw);
  void observe(const MembershipEvent& event);
  void disturb();
  void measure_false_failures();
  void measure_traffic();
  void measure_crash(std::size_t index, std::size_t earlier_crashes);
  std::pair<std::uint64_t, std::uint64_t> total_traffic();

  Scenario scenario_;
  std::vector<std::pair<std::string, std::string>> members_;  // names and addresses
  std::vector<std::string> addresses_;
  MembershipModel model_;
  std::map<std::string, Crash> crashes_;  // by name
  bool counts_bytes_ = false;
  Result result_;
};

Measurement::Measurement(const Scenario& scenario)
    : scenario_(scenario),
      model_(
          [this](membership::MemberRecord self, std::vector<std::string> seeds, membership::Draw draw) {
            return make_protocol(std::move(self), std::move(seeds), std::move(draw));
          },
          scenario.seed) {
  for (std::size_t i = 0; i < scenario_.members; ++i) {
    members_.emplace_back("g" + std::to_string(i), MembershipModel::home_address(i));
    addresses_.push_back(members_.back().second);
  }
  model_.on_event = [this](std::size_t, const MembershipEvent& event) { observe(event); };
  model_.message_size = [this](const Message& message) {
    return counts_bytes_ ? membership::encode(message, "report").size() + kUdpIpHeaderBytes : std::size_t{0};
  };
}

std::unique_ptr<MembershipProtocol> Measurement::make_protocol(membership::MemberRecord self,
                                                               std::vector<std::string> seeds,
                                                               membership::Draw draw) {
  if (scenario_.protocol == "heartbeats") {
    return std::make_unique<bench::Heartbeats>(std::move(self), addresses_, draw);
  }
  if (scenario_.protocol == "swim") {
    return std::make_unique<bench::Swim>(std::move(self), members_, std::move(draw));
  }
  return std::make_unique<emulators::RealMember>(membership::MembershipSettings{}, std::move(self),
                                                 std::move(seeds), std::move(draw));
}

void Measurement::observe(const MembershipEvent& event) {
  if (event.kind != MembershipEvent::kMemberChanged || event.state != MemberState::kFailed) return;
  const auto crash = crashes_.find(event.name);
  if (crash == crashes_.end()) {
    ++result_.false_failures;
  } else {
    crash->second.detection_ms.push_back(model_.now() - crash->second.at);
  }
}

Result Measurement::run() {
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < kSeeds; ++i) seeds.push_back(addresses_[i % addresses_.size()]);
  for (std::size_t i = 0; i < members_.size(); ++i) {
    model_.add(members_[i].first);
    model_.start(i, seeds, 1e6);
  }
  model_.run_until(model_.now() + kStartSpanMs);
  disturb();
  measure_false_failures();
  measure_traffic();
  for (int crash = 0; crash < scenario_.crashes; ++crash) {
    const std::size_t index = kSeeds + static_cast<std::size_t>(crash);
    if (index >= members_.size()) break;
    measure_crash(index, static_cast<std::size_t>(crash));
  }
  return result_;
}

void Measurement::disturb() {
  model_.links.loss = scenario_.loss;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const bool slow =
        scenario_.slow_fraction > 0 && i % static_cast<std::size_t>(1 / scenario_.slow_fraction) == 1;
    if (slow) model_.member(i).mean_lateness = kSlowMemberLatenessMs;
  }
  model_.run_until(model_.now() + kSettleSpanMs);
}

void Measurement::measure_false_failures() {
  result_.false_failures = 0;
  const auto began = std::chrono::steady_clock::now();
  model_.run_until(model_.now() + scenario_.span);
  const std::chrono::duration<double, std::micro> cpu = std::chrono::steady_clock::now() - began;
  result_.cpu_us_per_second = cpu.count() / (scenario_.span / 1000) / static_cast<double>(scenario_.members);
}

std::pair<std::uint64_t, std::uint64_t> Measurement::total_traffic() {
  std::pair<std::uint64_t, std::uint64_t> total{0, 0};
  for (std::size_t i = 0; i < members_.size(); ++i) {
    total.first += model_.member(i).datagrams;
    total.second += model_.member(i).bytes;
  }
  return total;
}

void Measurement::measure_traffic() {
  counts_bytes_ = true;
  const auto before = total_traffic();
  model_.run_until(model_.now() + kCountSpanMs);
  const auto after = total_traffic();
  counts_bytes_ = false;
  const double member_seconds = kCountSpanMs / 1000 * static_cast<double>(scenario_.members);
  result_.datagrams_per_second = static_cast<double>(after.first - before.first) / member_seconds;
  result_.bytes_per_second = static_cast<double>(after.second - before.second) / member_seconds;
  result_.memory_bytes = static_cast<double>(model_.member(0).protocol->memory_bytes());
}

void Measurement::measure_crash(std::size_t index, std::size_t earlier_crashes) {
  model_.kill(index);
  Crash& crash = crashes_[members_[index].first];
  crash.at = model_.now();
  model_.run_until(model_.now() + kDetectionSpanMs + 100 * model_.draw());
  const auto& detections = crash.detection_ms;
  const std::size_t survivors = members_.size() - 1 - earlier_crashes;
  result_.undetected += survivors - std::min(detections.size(), survivors);
  if (detections.empty()) return;
  result_.first_detection_ms.push_back(*std::min_element(detections.begin(), detections.end()));
  result_.detection_ms.insert(result_.detection_ms.end(), detections.begin(), detections.end());
}

void print_header() {
  std::printf("%-11s %7s %5s %5s | %9s %9s %9s %9s %8s | %12s | %9s %9s %9s %9s\n", "protocol", "members",
              "loss", "slow", "first p50", "all p50", "all p99", "most", "unknown", "false/mbr/h", "dgram/s",
              "bytes/s", "memory", "cpu us/s");
}

void print_row(const Scenario& scenario, const Result& result) {
  constexpr Ms kHourMs = 3.6e6;
  const double member_hours = static_cast<double>(scenario.members) * (scenario.span / kHourMs);
  std::printf("%-11s %7zu %5.2f %5.2f | %9.0f %9.0f %9.0f %9.0f %8zu | %12.4f | %9.1f %9.0f %9.0f %9.0f\n",
              scenario.protocol.c_str(), scenario.members, scenario.loss, scenario.slow_fraction,
              percentile(result.first_detection_ms, 0.5), percentile(result.detection_ms, 0.5),
              percentile(result.detection_ms, 0.99), percentile(result.detection_ms, 1), result.undetected,
              static_cast<double>(result.false_failures) / member_hours, result.datagrams_per_second,
              result.bytes_per_second, result.memory_bytes, result.cpu_us_per_second);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Compares membership with heartbeats and SWIM in the network model."};
  std::vector<std::size_t> sizes{8, 48, 300};
  std::vector<std::string> protocols{"this", "swim", "heartbeats"};
  std::vector<double> losses{0, 0.05, 0.2, 0.4};
  double minutes = 2, slow = 0.05;
  int crashes = 4;
  std::uint64_t seed = 1;
  app.add_option("--members", sizes, "cluster sizes")->delimiter(',');
  app.add_option("--protocols", protocols, "any of this, swim, heartbeats")->delimiter(',');
  app.add_option("--loss", losses, "fractions of datagrams that are lost")->delimiter(',');
  app.add_option("--minutes", minutes, "simulated time in which no member crashes, to count false failures");
  app.add_option("--crashes", crashes, "number of crashes, one after another");
  app.add_option("--slow", slow,
                 "fraction of members that handle everything 300 ms late on average, in a separate row");
  app.add_option("--seed", seed, "seed of all random numbers");
  CLI11_PARSE(app, argc, argv);
  print_header();
  const auto measure = [&](const std::string& protocol, std::size_t members, double loss,
                           double slow_fraction) {
    const Scenario scenario{protocol, members, loss, slow_fraction, minutes * 60'000, crashes, seed};
    print_row(scenario, Measurement(scenario).run());
  };
  for (const auto members : sizes) {
    for (const auto& protocol : protocols) {
      for (const double loss : losses) measure(protocol, members, loss, 0);
      if (slow > 0) measure(protocol, members, 0, slow);
    }
  }
  return 0;
}
