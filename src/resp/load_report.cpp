#include "resp/load_report.h"

#include <algorithm>

#include "resp/parse_number.h"

namespace cometfold::resp {
namespace {

constexpr double kMaxReportedValue = 1e5;  // far above any plausible load of a host

void set_field(LoadReport& report, LoadField field, double value) {
  switch (field) {
    case LoadField::kQueueLength:
      report.queue_length = value;
      break;
    case LoadField::kInFlight:
      report.in_flight = value;
      break;
    case LoadField::kUtilization:
      report.utilization = value;
      break;
    case LoadField::kOther:
      break;
  }
}

}  // namespace

LoadReport parse_load_report(std::string_view text, LoadField (*field_of)(std::string_view)) {
  LoadReport report;
  while (!text.empty()) {
    const auto pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(pair.size() + 1, text.size()));
    const auto separator = pair.find('=');
    if (separator == std::string_view::npos) continue;
    double value = 0;
    if (!parse_number(pair.substr(separator + 1), value)) continue;
    const bool in_range = value >= 0 && value <= kMaxReportedValue;  // false for NaN
    if (in_range) set_field(report, field_of(pair.substr(0, separator)), value);
  }
  return report;
}

}  // namespace cometfold::resp
