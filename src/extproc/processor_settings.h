// Settings of the external processor: which headers carry a request's class, customer and so on, how the
// destination is returned, and whether the proxy retries. They are read from the gateway's local settings
// file.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "cometfold/admission_controller.h"

namespace cometfold::extproc {

// Matches requests by method and path. The first matching rule supplies the values that no header gives.
struct RouteRule {
  std::string method;  // empty: any
  std::string path;    // without the query; a * at the end matches any rest; empty: any
  std::string class_name;
  std::string plan_name;
  std::optional<double> units;
  std::string source;                        // file and line, for errors
  std::optional<RequestBounds> bounds = {};  // of attempts, for requests of the rule's class
};

// Names of the headers from which a proxied request is mapped. An empty name: no header is used. A client
// that can set these headers chooses its own plan and units, so the proxy must set or strip them.
struct HeaderMapping {
  std::string class_header = "x-cometfold-class";
  std::string plan_header = "x-cometfold-plan";
  std::string customer_header = "x-cometfold-customer";
  std::string units_header = "x-cometfold-units";
  std::string gateway_count_header = "x-cometfold-gateways";  // number of gateways that serve this customer
  std::string key_header = "idempotency-key";
  std::string id_header = "x-request-id";
  std::string attempt_header = "x-envoy-attempt-count";
  // The first header that is present counts. grpc-timeout has its own format, all others are in milliseconds.
  std::vector<std::string> deadline_headers{"x-cometfold-deadline-ms", "grpc-timeout",
                                            "x-envoy-expected-rq-timeout-ms"};
  // Used if neither a header nor a rule gives a value. If the default is empty too, the request is rejected
  // as bad.
  std::string default_class;
  std::string default_plan;
  std::string default_customer;
  double default_units = 1;
  double default_gateway_count = 0;  // 0: all gateways
  std::vector<RouteRule> rules;
  std::string source;  // file and line of the table, for errors
};

// How the destination is returned. The ways can be combined.
struct DestinationFormat {
  bool header = true;        // x-gateway-destination-endpoint, by the endpoint picker protocol
  bool metadata = true;      // the same name as dynamic metadata under envoy.lb
  bool original_dst = true;  // x-envoy-original-dst-host, for an original-destination cluster
};

// Which metrics of a host's response make up its load report. The first of each list that is present counts.
struct LoadReportMapping {
  std::string header = "x-cometfold-load";  // simple format: queue=3,in_flight=5,busy=0.4
  std::vector<std::string> queue_length{"named_metrics.queue"};
  std::vector<std::string> in_flight{"named_metrics.in_flight"};
  std::vector<std::string> utilization{"application_utilization", "cpu_utilization"};
};

enum class ProxyRetries : std::uint8_t {
  kNever,   // the proxy makes one call per request; its own retries are disabled
  kMarked,  // the proxy makes a new call for each retry, with the same id and a higher attempt count
};

struct ProcessorSettings {
  HeaderMapping mapping;
  DestinationFormat destination;
  LoadReportMapping load;
  ProxyRetries proxy_retries = ProxyRetries::kNever;
  Ms retry_wait_ms = 250;  // an attempt that the proxy has not fetched by then is dropped
  std::size_t max_remembered_decisions = 10'000;  // decisions on finished requests, for retries
  Ms deadline_margin_ms = 10;                     // subtracted from the remaining time, for the proxy's reply
  bool mode_override = true;                      // asks the proxy not to send bodies and trailers
  std::vector<int> not_executed_statuses{425, 429};  // sent by hosts that did not begin to process
};

// A class or plan that the platform's configuration does not have, or too many units.
struct ProcessorSettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The module's settings, with the names of its classes and plans in the order of their numbers.
struct NamedSettings {
  std::vector<std::string> class_names;
  std::vector<std::string> plan_names;
  AdmissionSettings settings;
  std::vector<RequestBounds> bounds = {};  // by class number; empty: no additional bounds
};

// Throws ProcessorSettingsError with the location of an invalid value and the valid ones.
void validate(const ProcessorSettings& settings, const NamedSettings& names);

}  // namespace cometfold::extproc
