#include "extproc/outcomes.h"

#include <algorithm>
#include <charconv>

namespace cometfold::extproc {

namespace {

struct DetailsRule {
  std::string_view prefix;
  Outcome outcome;
  const char* reason;
};

// The first matching row counts. An outcome that means "has not run" allows a retry of any request, so it is
// used only for causes that prove it; with an unknown cause the request may have run.
constexpr DetailsRule kDetailsRules[] = {
    {"upstream_reset_before_response_started{connection_failure", Outcome::kConnectFailed,
     "no connection came up"},
    {"upstream_reset_before_response_started{remote_connection_failure", Outcome::kConnectFailed,
     "no connection came up"},
    {"upstream_reset_before_response_started{local_connection_failure", Outcome::kConnectFailed,
     "no connection came up"},
    {"upstream_reset_before_response_started{connection_timeout", Outcome::kConnectFailed,
     "no connection came up in time"},
    {"upstream_reset_before_response_started{overflow", Outcome::kNotSent, "the proxy's own limit"},
    {"upstream_reset_before_response_started{remote_refused_stream_reset", Outcome::kOverloaded,
     "the host refused the stream (RFC 9113 section 8.7)"},
    {"upstream_reset_before_response_started", Outcome::kConnectionLost, "the connection broke"},
    {"upstream_reset_after_response_started", Outcome::kConnectionLost,
     "the connection broke inside the answer"},
    {"upstream_response_timeout", Outcome::kTimedOut, "the time told was up"},
    {"response_timeout", Outcome::kTimedOut, "the time told was up"},
    {"upstream_per_try_timeout", Outcome::kTimedOut, "the try's time was up"},
    {"upstream_per_try_idle_timeout", Outcome::kTimedOut, "the try's time was up"},
    {"upstream_max_stream_duration_reached", Outcome::kTimedOut, "the time told was up"},
    {"no_healthy_upstream", Outcome::kNotSent, "the proxy had nowhere to send it"},
    {"cluster_not_found", Outcome::kNotSent, "the proxy had nowhere to send it"},
    {"route_not_found", Outcome::kNotSent, "the proxy had nowhere to send it"},
    {"direct_response", Outcome::kNotSent, "the proxy answered by itself"},
    {"maintenance_mode", Outcome::kNotSent, "the proxy answered by itself"},
    {"overload_manager", Outcome::kNotSent, "the proxy answered by itself"},
};

Outcome outcome_of_grpc_status(std::string_view status) {
  int code = 2;
  std::from_chars(status.data(), status.data() + status.size(), code);
  switch (code) {
    case 4:
      return Outcome::kTimedOut;
    case 2:
    case 13:
    case 14:
    case 15:
      return Outcome::kError;
    default:
      return Outcome::kOk;
  }
}

Outcome outcome_of_http_status(int status, std::span<const int> not_run) {
  if (std::find(not_run.begin(), not_run.end(), status) != not_run.end()) return Outcome::kOverloaded;
  if (status == 408 || status == 504) return Outcome::kTimedOut;
  if (status >= 500 || status < 100) return Outcome::kError;
  return Outcome::kOk;
}

const char* outcome_columns(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return "answered | yes";
    case Outcome::kError:
      return "error | may have";
    case Outcome::kOverloaded:
      return "full | no";
    case Outcome::kTimedOut:
      return "timed out | may have";
    case Outcome::kConnectFailed:
      return "not connected | no";
    case Outcome::kConnectionLost:
      return "broken | may have";
    case Outcome::kCancelled:
      return "not known | may have";
    case Outcome::kNotSent:
      return "not sent | no";
  }
  return "";
}

std::string table_row(const std::string& reported, Outcome outcome, const std::string& reason) {
  return "| " + reported + " | " + outcome_columns(outcome) + " | " + reason + " |\n";
}

}  // namespace

Outcome outcome_of(const AttemptReport& report, std::span<const int> not_run) {
  if (!report.details.empty() && report.details != "via_upstream") {
    for (const auto& row : kDetailsRules) {
      if (report.details.starts_with(row.prefix)) return row.outcome;
    }
    return Outcome::kCancelled;
  }
  if (report.overloaded && report.details.empty()) return Outcome::kNotSent;
  if (report.is_grpc && !report.grpc_status.empty() && report.status == 200)
    return outcome_of_grpc_status(report.grpc_status);
  return outcome_of_http_status(report.status, not_run);
}

std::string outcome_table(std::span<const int> not_run) {
  std::string text =
      "| The proxy reports | Outcome | Has it run? | Why |\n"
      "|---|---|---|---|\n";
  for (const auto& row : kDetailsRules) {
    text += table_row("details `" + std::string(row.prefix) + "…`", row.outcome, row.reason);
  }
  text += table_row("any other details but `via_upstream`", Outcome::kCancelled,
                    "the proxy or the client ended it; the host is not blamed");
  text += table_row("no details, `x-envoy-overloaded` or `x-envoy-local-overloaded`", Outcome::kNotSent,
                    "the proxy's own limit");
  for (const auto& [code, reason] :
       {std::pair{"4", "the host's own timeout"}, std::pair{"2", "unknown"}, std::pair{"13", "internal"},
        std::pair{"14", "unavailable: no promise that it has not begun"}, std::pair{"15", "data loss"}}) {
    text += table_row(std::string("`grpc-status: ") + code + "` in the headers", outcome_of_grpc_status(code),
                      reason);
  }
  text +=
      table_row("any other `grpc-status` in the headers", outcome_of_grpc_status("0"), "the host's answer");
  for (const int status : not_run) {
    text += table_row("status " + std::to_string(status), outcome_of_http_status(status, not_run),
                      "by the setting `not_run`: hosts say it before they begin");
  }
  text += table_row("status 408 or 504", outcome_of_http_status(504, {}), "the host's own timeout");
  text += table_row("status 500 to 599", outcome_of_http_status(500, {}), "the host failed");
  text += table_row("any other status", outcome_of_http_status(200, {}), "the host's answer, good or bad");
  return text;
}

}  // namespace cometfold::extproc
