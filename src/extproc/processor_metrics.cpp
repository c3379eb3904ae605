#include "extproc/processor_metrics.h"

#include <string_view>

namespace cometfold::extproc {

namespace {

struct NamedCounter {
  std::string_view log_name;
  std::uint64_t ProcessorMetrics::*counter;
};

// The names of the counters in the log, in log order.
constexpr NamedCounter kCounters[] = {
    {"asked", &ProcessorMetrics::new_requests},
    {"again", &ProcessorMetrics::retried_requests},
    {"named", &ProcessorMetrics::routed},
    {"refused", &ProcessorMetrics::rejected},
    {"failed", &ProcessorMetrics::failed},
    {"rejected", &ProcessorMetrics::bad_requests},
    {"left", &ProcessorMetrics::disconnected},
    {"ended", &ProcessorMetrics::reported},
    {"unknown", &ProcessorMetrics::unreported},
    {"silent", &ProcessorMetrics::report_timeouts},
    {"elsewhere", &ProcessorMetrics::sent_to_other_host},
    {"withdrawn", &ProcessorMetrics::withdrawn},
    {"out_of_order", &ProcessorMetrics::out_of_order},
    {"unreadable", &ProcessorMetrics::malformed},
    {"observed", &ProcessorMetrics::observed},
};

}  // namespace

std::string to_text(const ProcessorMetrics& metrics) {
  std::string text;
  for (const auto& [log_name, counter] : kCounters) {
    if (!text.empty()) text += ' ';
    text += log_name;
    text += '=';
    text += std::to_string(metrics.*counter);
  }
  return text;
}

}  // namespace cometfold::extproc
