// Parses the load that a host reports in its responses: the ORCA header endpoint-load-metrics in its three
// published forms, or a simple header of this gateway. A report that can't be parsed is ignored and never
// fails the response.
#pragma once

#include <string_view>

#include "cometfold/admission_controller.h"
#include "extproc/processor_settings.h"

namespace cometfold::extproc {

// Parses `TEXT a=1, named_metrics.b=2`, `JSON {...}` or `BIN base64` with the fields of
// xds.data.orca.v3.OrcaLoadReport.
LoadReport parse_orca_report(const LoadReportMapping& mapping, std::string_view value);
// Parses the older header endpoint-load-metrics-bin, which is base64 without a prefix.
LoadReport parse_orca_binary_report(const LoadReportMapping& mapping, std::string_view base64);
// Parses a list such as `queue=3,in_flight=5,busy=0.4`.
LoadReport parse_plain_report(std::string_view value);

}  // namespace cometfold::extproc
