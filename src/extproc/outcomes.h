// Maps a proxy's report on an attempt's end to one of the module's outcomes, and so to whether the request
// may have run. One table for code and page (docs/ops/external-processor.md prints it).
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::extproc {

// The end as the proxy reports it. `details` is Envoy's attribute response.code_details ("Response code
// details" in its manual); empty if the proxy does not send it.
struct AttemptReport {
  int status = 0;
  std::string_view details;
  std::string_view grpc_status;  // in the response's headers: the call failed before its first message
  bool overloaded = false;       // x-envoy-overloaded or x-envoy-local-overloaded
  bool is_grpc = false;          // the caller speaks gRPC
};

// `not_run`: statuses by which the hosts say that they have not begun.
Outcome outcome_of(const AttemptReport& report, std::span<const int> not_run);

// The table as lines of Markdown.
std::string outcome_table(std::span<const int> not_run);

}  // namespace cometfold::extproc
