// A host's load as its answers tell it: ORCA's header endpoint-load-metrics in its three published forms, or
// a plain header of our own. Reports that can't be read are none: an answer is never spoilt by one.
#pragma once

#include <string_view>

#include "cometfold/admission_controller.h"
#include "extproc/processor_settings.h"

namespace cometfold::extproc {

// `TEXT a=1, named_metrics.b=2`, `JSON {...}` or `BIN base64`, as in xds.data.orca.v3.OrcaLoadReport.
LoadReport read_orca(const LoadMapping& mapping, std::string_view value);
// The older header endpoint-load-metrics-bin: base64 alone.
LoadReport read_orca_binary(const LoadMapping& mapping, std::string_view base64);
// `queue=3,in_flight=5,busy=0.4`
LoadReport read_plain(std::string_view value);

}  // namespace cometfold::extproc
