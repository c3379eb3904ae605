// What an installation says of its proxies: where a request's class, customer and the rest are found, how the
// destination is told, whether the proxy asks again. Read from the gateway's own settings file.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::extproc {

// Requests known by method and path. The first rule that fits gives what no header says.
struct Rule {
  std::string method;  // empty: any
  std::string path;    // without the query; a * at the end stands for anything; empty: any
  std::string cls, plan;
  std::optional<double> units;
  std::string at;                            // file and line, for errors
  std::optional<RequestBounds> bounds = {};  // of attempts; for requests of the rule's own class
};

// Where the proxy's requests say what is to be known of them. An empty name: no header says it. Danger:
// whoever can set these headers decides on their own plan and units, so the proxy must set them or strip
// them.
struct Mapping {
  std::string class_header = "x-cometfold-class";
  std::string plan_header = "x-cometfold-plan";
  std::string customer_header = "x-cometfold-customer";
  std::string units_header = "x-cometfold-units";
  std::string spread_header = "x-cometfold-gateways";  // gateways that this customer's requests come through
  std::string key_header = "idempotency-key";
  std::string id_header = "x-request-id";
  std::string attempt_header = "x-envoy-attempt-count";
  // The first that is there; grpc-timeout in its own form, all others in milliseconds.
  std::vector<std::string> deadline_headers{"x-cometfold-deadline-ms", "grpc-timeout",
                                            "x-envoy-expected-rq-timeout-ms"};
  std::string default_class, default_plan, default_customer;  // empty: a request that does not say it is bad
  double default_units = 1;
  double default_spread = 0;  // 0: all gateways
  std::vector<Rule> rules;
  std::string at;  // file and line of the table, for errors
};

// How the destination is told; any number of ways at once.
struct Destination {
  bool header = true;        // x-gateway-destination-endpoint, as the endpoint picker's convention has it
  bool metadata = true;      // ... and as dynamic metadata under envoy.lb
  bool original_dst = true;  // x-envoy-original-dst-host, for an original-destination cluster
};

// Which figures of a host's answer are its load; the first of each list that is there.
struct LoadMapping {
  std::string header = "x-cometfold-load";  // plain: queue=3,in_flight=5,busy=0.4
  std::vector<std::string> queue{"named_metrics.queue"};
  std::vector<std::string> in_flight{"named_metrics.in_flight"};
  std::vector<std::string> busy{"application_utilization", "cpu_utilization"};
};

enum class Repeats : std::uint8_t {
  kNever,   // the proxy calls once for a request, and its own retries are switched off
  kMarked,  // it calls again for each of its retries, with the same id and a higher attempt count
};

struct Settings {
  Mapping mapping;
  Destination destination;
  LoadMapping load;
  Repeats repeats = Repeats::kNever;
  Ms repeat_wait_ms = 250;             // a further attempt that the proxy does not fetch by then is dropped
  std::size_t remembered = 10'000;     // decisions that are over, for calls that come again
  Ms margin_ms = 10;                   // of the time left, for the proxy's own answer at its end
  bool mode_override = true;           // tells the proxy not to send bodies and trailers
  std::vector<int> not_run{425, 429};  // statuses by which hosts say that they have not begun
};

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What the module knows of classes and plans.
struct Names {
  std::vector<std::string> classes, plans;
  cometfold::AdmissionSettings settings;
  std::vector<RequestBounds> bounds = {};  // by class; none: no further bounds
};

// Throws SettingsError: a class or plan that the configuration does not have, with the place where it is
// named.
void check(const Settings& settings, const Names& names);

}  // namespace cometfold::extproc
