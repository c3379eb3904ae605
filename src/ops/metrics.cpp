#include "ops/metrics.h"

#include <map>

namespace cometfold::ops {

namespace {

constexpr std::string_view kPrefix = "edge_edge.";
constexpr char kCount = 'c';
constexpr char kGauge = 'g';

struct ClassMetricName {
  std::string_view name;
  std::uint64_t engine::ClassMetrics::*value;
};

// Exported names of a class's metrics.
constexpr ClassMetricName kClassMetrics[] = {
    {"passed", &engine::ClassMetrics::served},
    {"dropped", &engine::ClassMetrics::rejected},
    {"bad_gateway", &engine::ClassMetrics::failed},
    {"upstream_tries", &engine::ClassMetrics::attempts},
};

class Renderer {
 public:
  void count(std::string_view name, std::uint64_t value) { line(name, value, kCount); }
  void gauge(std::string_view name, std::uint64_t value) { line(name, value, kGauge); }
  std::string take() && { return std::move(text_); }

 private:
  void line(std::string_view name, std::uint64_t value, char kind) {
    text_ += kPrefix;
    text_ += name;
    text_ += ':';
    text_ += std::to_string(value);
    text_ += '|';
    text_ += kind;
    text_ += '\n';
  }

  std::string text_;
};

std::string joined(std::string_view group, std::string_view name) {
  return std::string(group) + std::string(name);
}

void render_classes(std::span<const std::string> labels, std::span<const engine::ClassMetrics> classes,
                    Renderer& out) {
  std::map<std::string_view, engine::ClassMetrics> sums;
  for (std::size_t i = 0; i < labels.size(); ++i) {
    engine::ClassMetrics& sum = sums[labels[i]];
    if (i >= classes.size()) continue;
    for (const auto& metric : kClassMetrics) sum.*metric.value += classes[i].*metric.value;
  }
  for (const auto& [label, sum] : sums) {
    const std::string group = "handled." + std::string(label) + '.';
    for (const auto& metric : kClassMetrics) out.count(joined(group, metric.name), sum.*metric.value);
  }
}

void render_rejections(const engine::RejectionMetrics& rejections, Renderer& out) {
  for (std::size_t i = 0; i < kRejectionReasonCount; ++i) {
    out.count(joined("given_up.", kRejectionReasonNames[i]), rejections.by_reason[i]);
  }
  out.count("given_up.no_room_here", rejections.no_capacity);
}

void render_rules(const GatewayMetrics& metrics, Renderer& out) {
  // Skips verdict 0, which allows the attempt.
  for (std::size_t i = 1; i < kAttemptVerdictCount; ++i) {
    out.count(joined("rule.decision_stopped.", kAttemptVerdictNames[i]), metrics.rules.decisions[i]);
    out.count(joined("rule.first_byte_stopped.", kAttemptVerdictNames[i]), metrics.rules.first_bytes[i]);
  }
  out.count("rule.refusal_stopped", metrics.rules.rejections);
  out.count("rule.close_stopped", metrics.forbidden_closes);
}

void render_attempts(const engine::AttemptMetrics& attempts, Renderer& out) {
  for (std::size_t i = 0; i < kOutcomeCount; ++i) {
    out.count(joined("attempts.", kOutcomeNames[i]), attempts.by_outcome[i]);
  }
  out.count("attempts.repeats", attempts.retries);
}

void render_values(const engine::ValueMetrics& values, Renderer& out) {
  out.count("values.pauses", values.pauses);
  out.count("values.continued", values.continued);
  out.count("values.replaced", values.replaced);
  out.count("values.differed", values.differed);
}

void render_memory(const MemoryMetrics& memory, Renderer& out) {
  out.gauge("memory.limit", memory.limit);
  out.gauge("memory.replies", memory.replies);
  out.gauge("memory.client_input", memory.client_input);
  out.gauge("memory.host_input", memory.host_input);
  out.gauge("memory.reserved", memory.reserved);
  out.count("memory.dropped_replies", memory.dropped_replies);
}

void render_peers(const PeerMetrics& peers, Renderer& out) {
  for (const auto& [name, value] : peers.gauges) out.gauge(joined("peers.", name), value);
  for (const auto& [name, value] : peers.counts) out.count(joined("peers.", name), value);
}

}  // namespace

std::string render_metrics(const GatewayMetrics& metrics, std::span<const std::string> labels,
                           std::span<const engine::ClassMetrics> classes) {
  Renderer out;
  render_classes(labels, classes, out);
  out.gauge("in_progress", metrics.in_progress);
  out.gauge("known_hosts", metrics.known_hosts);
  out.gauge("skipped_hosts", metrics.excluded_hosts);
  out.count("loads", metrics.config_reloads);
  out.count("load_errors", metrics.config_reload_errors);
  render_rejections(metrics.rejections, out);
  render_rules(metrics, out);
  render_attempts(metrics.attempts, out);
  render_values(metrics.values, out);
  for (const auto& [reason, value] : metrics.closed) out.count(joined("closed.", reason), value);
  render_memory(metrics.memory, out);
  if (metrics.peers) render_peers(*metrics.peers, out);
  return std::move(out).take();
}

}  // namespace cometfold::ops
