// cometfold-explore: every run of small configurations, judged by the five rules.
#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <string>

#include "explore/explorer.h"
#include "explore/trace.h"
#include "explore/world.h"

namespace {

using namespace cometfold::explore;
using cometfold::engine::Mutant;

void print_head() {
  std::printf("%-24s %-24s %10s %12s %8s %9s %9s %8s  %s\n", "scenario", "mutant", "states", "transitions",
              "deepest", "ends", "cut off", "seconds", "verdict");
}

void print_result(const Scenario& s, Mutant mutant, const ExplorationResult& r) {
  std::string verdict = r.violation ? "BROKEN after " + std::to_string(r.counterexample_events) +
                                          " events: " + r.violation->rule
                        : r.complete ? "all rules hold"
                                     : "no breach, not complete";
  std::printf("%-24s %-24s %10zu %12zu %8zu %9zu %9zu %8.1f  %s\n", s.name.c_str(), name_of(mutant).c_str(),
              r.states, r.transitions, r.max_depth, r.terminal_runs, r.truncated_states, r.seconds,
              verdict.c_str());
  std::fflush(stdout);
}

// What the scenarios were through, with the first that was.
void print_sights(const std::vector<std::pair<std::string, Coverage>>& seen) {
  std::printf("\n%-60s %s\n", "been through", "in");
  for (unsigned i = 0; i < static_cast<unsigned>(CoverageGoal::kCount); ++i) {
    std::string where;
    for (const auto& [name, sights] : seen) {
      if (sights >> i & 1) where += " " + name;
    }
    std::printf("%-60s%s\n", name_of(static_cast<CoverageGoal>(i)),
                where.empty() ? " nowhere" : where.c_str());
  }
}

int run_replay(const std::string& file) {
  const Trace trace = read_trace(file);
  const auto breach = replay(trace.scenario, trace.mutant, trace.choices,
                             [](const std::string& line) { std::printf("%s\n", line.c_str()); });
  std::printf("%s\n", breach ? "" : "no rule is broken");
  return breach ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Plays the real engine and connections through every interleaving of small configurations."};
  bool small = false, list = false, hunt = false;
  std::string only, file, mutant_name = "none", out;
  ExplorationLimits effort;
  int faults = -1;
  std::size_t hosts = 0, requests = 0, attempts = 0;
  app.add_flag("--small", small, "fewer troubles at once; ends within a minute");
  app.add_flag("--list", list, "name the scenarios and mutants, and stop");
  app.add_option("--only", only, "explore this scenario alone");
  app.add_option("--mutant", mutant_name,
                 "explore a deliberately broken engine (where mutants are built in)");
  app.add_flag("--hunt", hunt, "for each mutant, find the scenario and the shortest trace that shows it");
  app.add_option("--threads", effort.threads, "threads")->check(CLI::Range(1U, 64U));
  app.add_option("--most-states", effort.max_states, "give up a scenario beyond so many states");
  app.add_option("--faults", faults, "troubles in a run, instead of the scenario's")->check(CLI::Range(0, 6));
  app.add_option("--hosts", hosts, "hosts, instead of the scenario's")->check(CLI::Range(1, 4));
  app.add_option("--requests", requests, "requests, instead of the scenario's")->check(CLI::Range(1, 4));
  app.add_option("--attempts", attempts, "attempts of a request, instead of the scenario's")
      ->check(CLI::Range(1, 6));
  app.add_option("--out", out, "write counterexamples here, as DIR/SCENARIO--MUTANT.jsonl");
  app.add_option("--replay", file,
                 "play a counterexample with every event and action; 1 if a rule is broken");
  CLI11_PARSE(app, argc, argv);
  try {
    if (!file.empty()) return run_replay(file);
    auto all = scenarios(small);
    if (list) {
      for (const auto& s : all) std::printf("%-24s %s\n", s.name.c_str(), s.description.c_str());
      for (int m = 1; m < cometfold::engine::kMutantCount; ++m) {
        std::printf("mutant %s\n", name_of(static_cast<Mutant>(m)).c_str());
      }
      return 0;
    }
    if (!only.empty()) {
      const auto* one = find_scenario(all, only);
      if (!one) throw std::runtime_error("--only " + only + ": no such scenario; --list names them");
      all = {Scenario(*one)};
    }
    for (auto& s : all) {
      if (faults >= 0) s.max_faults = faults;
      if (hosts > 0) s.host_count = hosts;
      if (attempts > 0) s.max_attempts = static_cast<double>(attempts);
      if (requests > 0) s.requests.assign(requests, s.requests.front());
    }
    const auto mutant = mutant_named(mutant_name);
    if (!mutant) throw std::runtime_error("--mutant " + mutant_name + ": no such mutant; --list names them");
    std::vector<Mutant> mutants{*mutant};
    if (hunt) {
      mutants.clear();
      for (int m = 1; m < cometfold::engine::kMutantCount; ++m) mutants.push_back(static_cast<Mutant>(m));
    }
    print_head();
    std::size_t missed = 0, broken = 0;
    std::vector<std::pair<std::string, Coverage>> seen;
    for (const auto m : mutants) {
      bool found = false;
      for (const auto& s : all) {
        const ExplorationResult r = explore(s, m, effort);
        seen.emplace_back(s.name, r.coverage);
        if (!hunt || r.violation) print_result(s, m, r);
        if (!r.violation) continue;
        found = true;
        ++broken;
        const Trace trace{s, m, r.counterexample, *r.violation};
        if (!out.empty()) write_trace(out + "/" + s.name + "--" + name_of(m) + ".jsonl", trace);
        if (!hunt) std::cout << to_text(trace);
        if (hunt) break;
      }
      if (hunt && !found) {
        ++missed;
        std::printf("%-24s %-24s NOT FOUND\n", "-", name_of(m).c_str());
      }
    }
    if (!hunt) print_sights(seen);
    return hunt ? missed > 0 : broken > 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cometfold-explore: %s\n", error.what());
    return 2;
  }
}
