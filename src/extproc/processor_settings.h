// What an installation says of its proxies: where a request's class, customer and the rest are found, how the
// destination is returned, and whether the proxy retries. Read from the gateway's own settings file.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::extproc {

// Requests recognised by method and path. The first rule that matches gives what no header does.
struct RouteRule {
  std::string method;  // empty: any
  std::string path;    // without the query; a * at the end matches any rest; empty: any
  std::string class_name;
  std::string plan_name;
  std::optional<double> units;
  std::string source;                        // file and line, for errors
  std::optional<RequestBounds> bounds = {};  // of attempts; for requests of the rule's own class
};

// Which headers of a proxied request say what. An empty name: no header does. Whoever can set these headers
// decides on their own plan and units, so the proxy must set or strip them.
struct HeaderMapping {
  std::string class_header = "x-cometfold-class";
  std::string plan_header = "x-cometfold-plan";
  std::string customer_header = "x-cometfold-customer";
  std::string units_header = "x-cometfold-units";
  std::string gateway_count_header = "x-cometfold-gateways";  // gateways that serve this customer
  std::string key_header = "idempotency-key";
  std::string id_header = "x-request-id";
  std::string attempt_header = "x-envoy-attempt-count";
  // The first that is there; grpc-timeout in its own form, all others in milliseconds.
  std::vector<std::string> deadline_headers{"x-cometfold-deadline-ms", "grpc-timeout",
                                            "x-envoy-expected-rq-timeout-ms"};
  // Used where a request says nothing; empty: such a request is bad.
  std::string default_class;
  std::string default_plan;
  std::string default_customer;
  double default_units = 1;
  double default_gateway_count = 0;  // 0: all gateways
  std::vector<RouteRule> rules;
  std::string source;  // file and line of the table, for errors
};

// How the destination is returned; any number of ways at once.
struct DestinationFormat {
  bool header = true;        // x-gateway-destination-endpoint, as the endpoint picker's convention has it
  bool metadata = true;      // ... and as dynamic metadata under envoy.lb
  bool original_dst = true;  // x-envoy-original-dst-host, for an original-destination cluster
};

// Which figures of a host's response are its load report; the first of each list that is there.
struct LoadReportMapping {
  std::string header = "x-cometfold-load";  // plain: queue=3,in_flight=5,busy=0.4
  std::vector<std::string> queue_length{"named_metrics.queue"};
  std::vector<std::string> in_flight{"named_metrics.in_flight"};
  std::vector<std::string> utilization{"application_utilization", "cpu_utilization"};
};

enum class ProxyRetries : std::uint8_t {
  kNever,   // the proxy calls once for a request; its own retries are switched off
  kMarked,  // it calls again for each of its retries, with the same id and a higher attempt count
};

struct ProcessorSettings {
  HeaderMapping mapping;
  DestinationFormat destination;
  LoadReportMapping load;
  ProxyRetries proxy_retries = ProxyRetries::kNever;
  Ms retry_wait_ms = 250;                         // a retry that the proxy has not fetched by then is dropped
  std::size_t max_remembered_decisions = 10'000;  // on finished requests, for calls that come again
  Ms deadline_margin_ms = 10;                     // of the remaining time, for the proxy's own reply
  bool mode_override = true;                      // asks the proxy not to send bodies and trailers
  std::vector<int> not_executed_statuses{425, 429};  // by which hosts say that they have not begun
};

// A class, plan or number of units that the platform's configuration does not have.
struct ProcessorSettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Classes and plans by number, as the module knows them.
struct NamedSettings {
  std::vector<std::string> class_names;
  std::vector<std::string> plan_names;
  AdmissionSettings settings;
  std::vector<RequestBounds> bounds = {};  // by class; empty: no further bounds
};

// Throws ProcessorSettingsError, with the place where the wrong name is written and what would be right.
void validate(const ProcessorSettings& settings, const NamedSettings& names);

}  // namespace cometfold::extproc
