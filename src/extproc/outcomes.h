// Maps a proxy's report on the end of an attempt to one of the module's outcomes, which determines whether
// the request may have run. The code and the documentation (docs/ops/external-processor.md) share one table.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::extproc {

// The end of an attempt as the proxy reports it. `details` is Envoy's attribute response.code_details
// ("Response code details" in its manual); empty if the proxy does not send it.
struct AttemptReport {
  int status = 0;
  std::string_view details;
  std::string_view grpc_status;  // set in the response headers if the call failed before its first message
  bool overloaded = false;       // x-envoy-overloaded or x-envoy-local-overloaded
  bool is_grpc = false;          // the caller uses gRPC
};

// `not_run`: HTTP statuses by which hosts signal that they did not begin to process the request.
Outcome outcome_of(const AttemptReport& report, std::span<const int> not_run);

// Returns the mapping as a Markdown table.
std::string outcome_table(std::span<const int> not_run);

}  // namespace cometfold::extproc
