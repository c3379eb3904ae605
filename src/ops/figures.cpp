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

std::string render(const Figures& figures, std::span<const std::string> labels,
                   std::span<const engine::ClassFigures> classes) {
  std::map<std::string_view, engine::ClassFigures> sums;
  for (std::size_t i = 0; i < labels.size(); ++i) {
    auto& sum = sums[labels[i]];
    if (i >= classes.size()) continue;
    sum.passed += classes[i].passed;
    sum.dropped += classes[i].dropped;
    sum.failed += classes[i].failed;
    sum.tries += classes[i].tries;
  }
  std::string out;
  for (const auto& [label, sum] : sums) {
    const std::string at = "handled." + std::string(label) + '.';
    line(out, at + "passed", sum.passed, 'c');
    line(out, at + "dropped", sum.dropped, 'c');
    line(out, at + "bad_gateway", sum.failed, 'c');
    line(out, at + "upstream_tries", sum.tries, 'c');
  }
  line(out, "in_progress", figures.in_progress, 'g');
  line(out, "known_hosts", figures.known_hosts, 'g');
  line(out, "skipped_hosts", figures.skipped_hosts, 'g');
  line(out, "loads", figures.loads, 'c');
  line(out, "load_errors", figures.load_errors, 'c');
  for (std::size_t i = 0; i < kCauses; ++i) {
    line(out, "given_up." + std::string(kCauseNames[i]), figures.refused.by_cause[i], 'c');
  }
  line(out, "given_up.no_room_here", figures.refused.no_room_here, 'c');
  for (std::size_t i = 1; i < kSendVerdicts; ++i) {
    const std::string name(kSendVerdictNames[i]);
    line(out, "rule.decision_stopped." + name, figures.rules.decisions[i], 'c');
    line(out, "rule.first_byte_stopped." + name, figures.rules.first_bytes[i], 'c');
  }
  line(out, "rule.refusal_stopped", figures.rules.refusals, 'c');
  line(out, "rule.close_stopped", figures.closes_stopped, 'c');
  for (std::size_t i = 0; i < kOutcomes; ++i) {
    line(out, "attempts." + std::string(kOutcomeNames[i]), figures.attempts.ends[i], 'c');
  }
  line(out, "attempts.repeats", figures.attempts.repeats, 'c');
  for (const auto& [reason, count] : figures.closed) line(out, "closed." + std::string(reason), count, 'c');
  if (figures.peers) {
    for (const auto& [name, value] : figures.peers->gauges) line(out, "peers." + name, value, 'g');
    for (const auto& [name, value] : figures.peers->counts) line(out, "peers." + name, value, 'c');
  }
  return out;
}

}  // namespace cometfold::ops
