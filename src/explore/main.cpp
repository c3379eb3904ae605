// cometfold-explore: the model checker's command line. Explores every run of small configurations and checks
// the five rules on each.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "explore/coverage.h"
#include "explore/explorer.h"
#include "explore/mutant_names.h"
#include "explore/scenario.h"
#include "explore/trace.h"

namespace {

using namespace cometfold::explore;
using cometfold::engine::Mutant;

struct Options {
  bool small = false;
  bool list = false;
  bool hunt = false;
  std::string only;
  std::string mutant = "none";
  std::string out;
  std::string replay;
  ExplorationLimits limits;
  // Overrides of the scenario's values; -1 or 0: no override.
  int faults = -1;
  std::size_t hosts = 0;
  std::size_t requests = 0;
  std::size_t attempts = 0;
};

void add_options(CLI::App& app, Options& options) {
  app.add_flag("--small", options.small, "smaller scenarios with fewer faults; ends within a minute");
  app.add_flag("--list", options.list, "list the scenarios and mutants, and exit");
  app.add_option("--only", options.only, "explore only this scenario");
  app.add_option("--mutant", options.mutant,
                 "explore the engine with this deliberate fault (needs a build with mutants)");
  app.add_flag("--hunt", options.hunt,
               "for each mutant, find the first scenario that exposes it and a shortest counterexample");
  app.add_option("--threads", options.limits.threads, "number of threads")->check(CLI::Range(1U, 64U));
  app.add_option("--most-states", options.limits.max_states,
                 "stop exploring a scenario beyond this number of states");
  app.add_option("--faults", options.faults, "maximum number of faults in a run, overrides the scenario")
      ->check(CLI::Range(0, 6));
  app.add_option("--hosts", options.hosts, "number of hosts, overrides the scenario")
      ->check(CLI::Range(1, 4));
  app.add_option("--requests", options.requests, "number of requests, overrides the scenario")
      ->check(CLI::Range(1, 4));
  app.add_option("--attempts", options.attempts, "maximum attempts of a request, overrides the scenario")
      ->check(CLI::Range(1, 6));
  app.add_option("--out", options.out, "directory to write counterexamples to, as SCENARIO--MUTANT.jsonl");
  app.add_option(
      "--replay", options.replay,
      "replay a counterexample and print every event and action; exit code 1 if a rule is violated");
}

void print_header() {
  std::printf("%-24s %-24s %10s %12s %8s %9s %9s %8s  %s\n", "scenario", "mutant", "states", "transitions",
              "deepest", "ends", "cut off", "seconds", "verdict");
}

std::string verdict_of(const ExplorationResult& result) {
  if (result.violation) {
    return "BROKEN after " + std::to_string(result.counterexample_events) +
           " events: " + result.violation->rule;
  }
  return result.complete ? "all rules hold" : "no violation, not complete";
}

void print_result(const Scenario& scenario, Mutant mutant, const ExplorationResult& result) {
  std::printf("%-24s %-24s %10zu %12zu %8zu %9zu %9zu %8.1f  %s\n", scenario.name.c_str(),
              name_of(mutant).c_str(), result.states, result.transitions, result.max_depth,
              result.terminal_runs, result.truncated_states, result.seconds, verdict_of(result).c_str());
  std::fflush(stdout);
}

// Prints each coverage goal with the scenarios that reached it.
void print_coverage(const std::vector<std::pair<std::string, Coverage>>& by_scenario) {
  std::printf("\n%-60s %s\n", "coverage goal", "reached in");
  for (unsigned i = 0; i < static_cast<unsigned>(CoverageGoal::kCount); ++i) {
    const auto goal = static_cast<CoverageGoal>(i);
    std::string reached_in;
    for (const auto& [scenario, coverage] : by_scenario) {
      if ((coverage & coverage_bit(goal)) != 0) reached_in += " " + scenario;
    }
    std::printf("%-60s%s\n", name_of(goal), reached_in.empty() ? " none" : reached_in.c_str());
  }
}

// Returns the exit code: 1 if a rule is violated.
int run_replay(const std::string& file) {
  const Trace trace = read_trace(file);
  const auto violation = replay(trace.scenario, trace.mutant, trace.choices,
                                [](const std::string& line) { std::printf("%s\n", line.c_str()); });
  std::printf("%s\n", violation ? "" : "no rule is violated");
  return violation ? 1 : 0;
}

std::vector<Mutant> all_mutants() {
  std::vector<Mutant> mutants;
  for (int i = 1; i < cometfold::engine::kMutantCount; ++i) mutants.push_back(static_cast<Mutant>(i));
  return mutants;
}

void print_list(const std::vector<Scenario>& all) {
  for (const auto& scenario : all) {
    std::printf("%-24s %s\n", scenario.name.c_str(), scenario.description.c_str());
  }
  for (const auto mutant : all_mutants()) std::printf("mutant %s\n", name_of(mutant).c_str());
}

std::vector<Scenario> selected_scenarios(const Options& options) {
  auto selected = scenarios(options.small);
  if (!options.only.empty()) {
    const auto* one = find_scenario(selected, options.only);
    if (!one) throw std::runtime_error("--only " + options.only + ": no such scenario; see --list");
    selected = {Scenario(*one)};
  }
  for (auto& scenario : selected) {
    if (options.faults >= 0) scenario.max_faults = options.faults;
    if (options.hosts > 0) scenario.host_count = options.hosts;
    if (options.attempts > 0) scenario.max_attempts = static_cast<double>(options.attempts);
    if (options.requests > 0) scenario.requests.assign(options.requests, scenario.requests.front());
  }
  return selected;
}

std::vector<Mutant> selected_mutants(const Options& options) {
  const auto mutant = mutant_named(options.mutant);
  if (!mutant) {
    throw std::runtime_error("--mutant " + options.mutant + ": no such mutant; see --list");
  }
  return options.hunt ? all_mutants() : std::vector<Mutant>{*mutant};
}

void report_counterexample(const Options& options, const Scenario& scenario, Mutant mutant,
                           const ExplorationResult& result) {
  const Trace trace{scenario, mutant, result.counterexample, *result.violation};
  if (!options.out.empty()) {
    write_trace(options.out + "/" + scenario.name + "--" + name_of(mutant) + ".jsonl", trace);
  }
  if (!options.hunt) std::cout << to_text(trace);
}

// Prints for each mutant the first scenario that exposes it. Returns the exit code: 1 if a mutant is not
// found.
int run_hunt(const Options& options) {
  const auto selected = selected_scenarios(options);
  const auto mutants = selected_mutants(options);
  bool all_found = true;
  print_header();
  for (const auto mutant : mutants) {
    bool found = false;
    for (std::size_t i = 0; i < selected.size() && !found; ++i) {
      const auto result = explore(selected[i], mutant, options.limits);
      if (!result.violation) continue;
      found = true;
      print_result(selected[i], mutant, result);
      report_counterexample(options, selected[i], mutant, result);
    }
    if (!found) std::printf("%-24s %-24s NOT FOUND\n", "-", name_of(mutant).c_str());
    all_found = all_found && found;
  }
  return all_found ? 0 : 1;
}

// Returns the exit code: 1 if a rule is violated in any scenario.
int run_exploration(const Options& options) {
  const auto selected = selected_scenarios(options);
  const Mutant mutant = selected_mutants(options).front();
  bool violation_found = false;
  std::vector<std::pair<std::string, Coverage>> coverage;
  print_header();
  for (const auto& scenario : selected) {
    const auto result = explore(scenario, mutant, options.limits);
    coverage.emplace_back(scenario.name, result.coverage);
    print_result(scenario, mutant, result);
    if (!result.violation) continue;
    violation_found = true;
    report_counterexample(options, scenario, mutant, result);
  }
  print_coverage(coverage);
  return violation_found ? 1 : 0;
}

int run(const Options& options) {
  if (!options.replay.empty()) return run_replay(options.replay);
  if (options.list) {
    print_list(scenarios(options.small));
    return 0;
  }
  return options.hunt ? run_hunt(options) : run_exploration(options);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    CLI::App app{
        "Model checker: runs the real engine and connections through every interleaving of small "
        "configurations."};
    Options options;
    add_options(app, options);
    CLI11_PARSE(app, argc, argv);
    return run(options);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cometfold-explore: %s\n", error.what());
    return 2;
  }
}
