#include "explore/trace.h"

#include <boost/json.hpp>
#include <fstream>
#include <stdexcept>

#include "explore/explorer.h"

namespace cometfold::explore {
namespace json = boost::json;

std::string to_text(const Trace& trace) {
  const Scenario& s = trace.scenario;
  json::array requests;
  for (const auto r : s.requests) requests.push_back(static_cast<int>(r));
  const json::object head{{"scenario", s.name},         {"faults", s.max_faults},
                          {"hosts", s.host_count},      {"requests", requests},
                          {"depth", s.max_events},      {"module_acts", s.max_policy_actions},
                          {"attempts", s.max_attempts}, {"mutant", name_of(trace.mutant)}};
  std::string text = json::serialize(head) + "\n";
  for (const auto& choice : trace.choices) text += json::serialize(json::object{{"choice", choice}}) + "\n";
  if (!trace.violation.rule.empty()) {
    text +=
        json::serialize(json::object{{"rule", trace.violation.rule}, {"why", trace.violation.description}}) +
        "\n";
  }
  return text;
}

void write_trace(const std::string& path, const Trace& trace) {
  std::ofstream file(path);
  file << to_text(trace);
  if (!file.flush()) throw std::runtime_error(path + ": can't be written");
}

namespace {

std::string text_at(const json::object& o, const char* key) { return std::string(o.at(key).as_string()); }

void read_head(const json::object& o, Trace& trace) {
  const auto all = scenarios(false);
  const auto* found = find_scenario(all, text_at(o, "scenario"));
  if (!found) throw std::runtime_error("no such scenario; cometfold-explore --list names them");
  trace.scenario = *found;
  Scenario& s = trace.scenario;
  s.max_faults = o.at("faults").to_number<int>();
  s.host_count = o.at("hosts").to_number<std::size_t>();
  s.max_events = o.at("depth").to_number<std::size_t>();
  s.max_policy_actions = o.at("module_acts").to_number<int>();
  if (o.contains("attempts")) s.max_attempts = o.at("attempts").to_number<double>();
  s.requests.clear();
  for (const auto& r : o.at("requests").as_array())
    s.requests.push_back(static_cast<Idempotency>(r.to_number<int>()));
  const auto mutant = mutant_named(text_at(o, "mutant"));
  if (!mutant) throw std::runtime_error("no such mutant; cometfold-explore --list names them");
  trace.mutant = *mutant;
}

}  // namespace

Trace read_trace(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": can't be read");
  Trace trace;
  std::size_t number = 0;
  for (std::string line; std::getline(file, line);) {
    ++number;
    try {
      const auto o = json::parse(line).as_object();
      if (number == 1) {
        read_head(o, trace);
      } else if (o.contains("choice")) {
        trace.choices.push_back(text_at(o, "choice"));
      } else {
        trace.violation = {text_at(o, "rule"), text_at(o, "why")};
      }
    } catch (const std::exception& error) {
      throw std::runtime_error(
          path + ":" + std::to_string(number) + ": " + error.what() +
          " (a trace has a line with the scenario, then one choice a line, then the rule)");
    }
  }
  if (number == 0)
    throw std::runtime_error(path + ": empty; a trace begins with a line that names its scenario");
  return trace;
}

}  // namespace cometfold::explore
