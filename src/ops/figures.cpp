#include "ops/figures.h"

#include <map>
#include <string_view>

namespace cometfold::ops {

namespace {

constexpr std::string_view kPrefix = "edge_edge.";

void line(std::string& out, std::string_view name, std::uint64_t value, char kind) {
  out += kPrefix;
  out += name;
  out += ':';
  out += std::to_string(value);
  out += '|';
  out += kind;
  out += '\n';
}

}  // namespace

std::string render_metrics(const GatewayMetrics& figures, std::span<const std::string> labels,
                           std::span<const engine::ClassMetrics> classes) {
  std::map<std::string_view, engine::ClassMetrics> sums;
  for (std::size_t i = 0; i < labels.size(); ++i) {
    auto& sum = sums[labels[i]];
    if (i >= classes.size()) continue;
    sum.served += classes[i].served;
    sum.rejected += classes[i].rejected;
    sum.failed += classes[i].failed;
    sum.attempts += classes[i].attempts;
  }
  std::string out;
  for (const auto& [label, sum] : sums) {
    const std::string at = "handled." + std::string(label) + '.';
    line(out, at + "passed", sum.served, 'c');
    line(out, at + "dropped", sum.rejected, 'c');
    line(out, at + "bad_gateway", sum.failed, 'c');
    line(out, at + "upstream_tries", sum.attempts, 'c');
  }
  line(out, "in_progress", figures.in_progress, 'g');
  line(out, "known_hosts", figures.known_hosts, 'g');
  line(out, "skipped_hosts", figures.excluded_hosts, 'g');
  line(out, "loads", figures.config_reloads, 'c');
  line(out, "load_errors", figures.config_reload_errors, 'c');
  for (std::size_t i = 0; i < kRejectionReasonCount; ++i) {
    line(out, "given_up." + std::string(kRejectionReasonNames[i]), figures.rejections.by_reason[i], 'c');
  }
  line(out, "given_up.no_room_here", figures.rejections.no_capacity, 'c');
  for (std::size_t i = 1; i < kAttemptVerdictCount; ++i) {
    const std::string name(kAttemptVerdictNames[i]);
    line(out, "rule.decision_stopped." + name, figures.rules.decisions[i], 'c');
    line(out, "rule.first_byte_stopped." + name, figures.rules.first_bytes[i], 'c');
  }
  line(out, "rule.refusal_stopped", figures.rules.rejections, 'c');
  line(out, "rule.close_stopped", figures.forbidden_closes, 'c');
  for (std::size_t i = 0; i < kOutcomeCount; ++i) {
    line(out, "attempts." + std::string(kOutcomeNames[i]), figures.attempts.by_outcome[i], 'c');
  }
  line(out, "attempts.repeats", figures.attempts.retries, 'c');
  for (const auto& [reason, count] : figures.closed) line(out, "closed." + std::string(reason), count, 'c');
  if (figures.peers) {
    for (const auto& [name, value] : figures.peers->gauges) line(out, "peers." + name, value, 'g');
    for (const auto& [name, value] : figures.peers->counts) line(out, "peers." + name, value, 'c');
  }
  return out;
}

}  // namespace cometfold::ops
