// The scenarios that action_stream runs: settings of the decision module and the traffic, hosts and faults
// around it. Together they execute every line of the module.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "cometfold/admission_controller.h"

namespace action_stream {

// The behaviour of one gateway's surroundings. Probabilities are from 0 to 1, times in milliseconds.
struct Surroundings {
  cometfold::Ms start_ms = 14'400'000;  // the clock at the beginning
  cometfold::HostId hosts = 12;
  std::size_t customers = 40;         // of each plan
  double gateways_per_customer = 4;   // at most
  cometfold::Ms request_gap_ms = 40;  // at most, between two requests
  double rush = 0.3;                  // factor on the gap in every third period of four seconds
  double max_units = 4;
  cometfold::Ms service_ms = 200;         // the longest service time of an idle host
  double slowdown_per_attempt = 0.2;      // fraction of the service time added by each attempt in flight
  bool cancelling_ends_attempts = false;  // else a cancelled attempt runs to its end
  double silent_hosts = 0;                // fraction of the hosts that are silent for some time
  double error = 0.03;
  double connection_lost = 0.02;
  double overloaded = 0.03;
  double connect_failed = 0.01;
  double not_sent = 0;
  double streamed = 0;  // probability that a response is streamed
  double client_disconnects = 0.02;
  double client_retries = 0.1;  // probability that a request is marked as a client's retry
  double malformed = 0;
  bool overloaded_by_class = false;  // hosts reject attempts of the last class only
  bool overloaded_by_plan = false;   // hosts reject attempts of the last plan only
  double reports_queue = 0.7;
  double reports_in_flight = 0;
  double reports_utilization = 0.5;
  double reports_actual_units = 0;
  double list_fails = 0;
  double list_is_snapshot = 0;
  double all_hosts_removed = 0;     // a snapshot without hosts
  cometfold::Ms list_gap_ms = 700;  // at most, between two updates of the host list
};

// What replaces or reconfigures the module during the day.
enum class Succession {
  kNone,
  kHandOver,     // a successor imports the snapshot, and its predecessor exits some time later
  kUnknown,      // a successor finds no snapshot
  kNewSettings,  // the settings change, with more classes and plans
};

struct Scenario {
  std::string_view name;
  cometfold::AdmissionSettings settings;
  Surroundings surroundings;
  Succession succession = Succession::kNone;
};

std::vector<Scenario> scenarios();

}  // namespace action_stream
