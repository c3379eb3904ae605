// A host's load as its responses report it: ORCA's header endpoint-load-metrics in its three published forms,
// or a plain header of our own. A report that can't be parsed counts as none; it never fails the response.
#pragma once

#include <string_view>

#include "cometfold/admission_controller.h"
#include "extproc/processor_settings.h"

namespace cometfold::extproc {

// `TEXT a=1, named_metrics.b=2`, `JSON {...}` or `BIN base64`, as in xds.data.orca.v3.OrcaLoadReport.
LoadReport parse_orca_report(const LoadReportMapping& mapping, std::string_view value);
// The older header endpoint-load-metrics-bin: base64 alone.
LoadReport parse_orca_binary_report(const LoadReportMapping& mapping, std::string_view base64);
// `queue=3,in_flight=5,busy=0.4`
LoadReport parse_plain_report(std::string_view value);

}  // namespace cometfold::extproc
