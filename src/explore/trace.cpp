#include "explore/trace.h"

#include <boost/json.hpp>
#include <fstream>
#include <stdexcept>

#include "explore/explorer.h"
#include "explore/mutant_names.h"

namespace cometfold::explore {
namespace json = boost::json;

std::string to_text(const Trace& trace) {
  const Scenario& scenario = trace.scenario;
  json::array requests;
  for (const auto idempotency : scenario.requests) requests.push_back(static_cast<int>(idempotency));
  const json::object head{{"scenario", scenario.name},         {"faults", scenario.max_faults},
                          {"hosts", scenario.host_count},      {"requests", requests},
                          {"depth", scenario.max_events},      {"module_acts", scenario.max_policy_actions},
                          {"attempts", scenario.max_attempts}, {"mutant", name_of(trace.mutant)}};
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

std::string text_at(const json::object& object, const char* key) {
  return std::string(object.at(key).as_string());
}

void read_head(const json::object& head, Trace& trace) {
  const auto all = scenarios(false);
  const auto* found = find_scenario(all, text_at(head, "scenario"));
  if (!found) throw std::runtime_error("no such scenario; see cometfold-explore --list");
  trace.scenario = *found;
  Scenario& scenario = trace.scenario;
  scenario.max_faults = head.at("faults").to_number<int>();
  scenario.host_count = head.at("hosts").to_number<std::size_t>();
  scenario.max_events = head.at("depth").to_number<std::size_t>();
  scenario.max_policy_actions = head.at("module_acts").to_number<int>();
  if (head.contains("attempts")) scenario.max_attempts = head.at("attempts").to_number<double>();
  scenario.requests.clear();
  for (const auto& request : head.at("requests").as_array()) {
    scenario.requests.push_back(static_cast<Idempotency>(request.to_number<int>()));
  }
  const auto mutant = mutant_named(text_at(head, "mutant"));
  if (!mutant) throw std::runtime_error("no such mutant; see cometfold-explore --list");
  trace.mutant = *mutant;
}

}  // namespace

Trace read_trace(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": can't be read");
  Trace trace;
  std::size_t line_number = 0;
  for (std::string line; std::getline(file, line);) {
    ++line_number;
    try {
      const auto object = json::parse(line).as_object();
      if (line_number == 1) {
        read_head(object, trace);
      } else if (object.contains("choice")) {
        trace.choices.push_back(text_at(object, "choice"));
      } else {
        trace.violation = {text_at(object, "rule"), text_at(object, "why")};
      }
    } catch (const std::exception& error) {
      throw std::runtime_error(path + ":" + std::to_string(line_number) + ": " + error.what() +
                               " (expected a line with the scenario, then one line for each choice, then one "
                               "with the violated rule)");
    }
  }
  if (line_number == 0)
    throw std::runtime_error(path + ": empty; the first line of a trace must name its scenario");
  return trace;
}

}  // namespace cometfold::explore
