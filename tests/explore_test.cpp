// Tests of the model checker: small explorations find no violation, and each stored counterexample reproduces
// its violation with its mutant and shows none without it.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <set>

#include "explore/explorer.h"
#include "explore/mutant_names.h"
#include "explore/trace.h"
#include "explore/world.h"

namespace cometfold::explore {
namespace {

TEST(Explorer, FindsNoViolationWithOneFault) {
  Coverage reached = 0;
  for (auto scenario : scenarios(true)) {
    scenario.max_faults = 1;
    const auto result = explore(scenario, engine::Mutant::kNone, {.threads = 2});
    EXPECT_FALSE(result.violation) << scenario.name << ": " << result.violation->rule << ": "
                                   << result.violation->description;
    EXPECT_TRUE(result.complete) << scenario.name;
    EXPECT_GT(result.terminal_runs, 10u) << scenario.name;
    reached |= result.coverage;
  }
  // An exploration that never reaches its coverage goals proves nothing.
  for (const auto goal :
       {CoverageGoal::kDrainWhileWaiting, CoverageGoal::kReplacedWhileWaiting,
        CoverageGoal::kDisconnectWithAttemptInFlight, CoverageGoal::kCrashWithAttemptInFlight,
        CoverageGoal::kIdentityReused, CoverageGoal::kPolicyThrew, CoverageGoal::kPolicyActedAfterReply,
        CoverageGoal::kHedgedAttemptInFlight}) {
    EXPECT_TRUE(reached & coverage_bit(goal)) << name_of(goal);
  }
}

TEST(Explorer, CountsTheSameWithAnyNumberOfThreads) {
  auto scenario = scenarios(true).front();
  scenario.max_faults = 1;
  const auto one = explore(scenario, engine::Mutant::kNone, {.threads = 1});
  const auto three = explore(scenario, engine::Mutant::kNone, {.threads = 3});
  EXPECT_EQ(one.states, three.states);
  EXPECT_EQ(one.max_depth, three.max_depth);
}

std::vector<std::filesystem::path> traces() {
  std::vector<std::filesystem::path> all;
  for (const auto& entry : std::filesystem::directory_iterator(COMETFOLD_TRACES)) all.push_back(entry.path());
  std::sort(all.begin(), all.end());
  return all;
}

TEST(Traces, EachShowsItsViolationOnlyWithItsMutant) {
  std::set<std::string> shown_mutants;
  for (const auto& file : traces()) {
    const auto trace = read_trace(file);
    ASSERT_NE(trace.mutant, engine::Mutant::kNone) << file;
    const auto with = replay(trace.scenario, trace.mutant, trace.choices, {});
    ASSERT_TRUE(with) << file;
    EXPECT_EQ(with->rule, trace.violation.rule) << file;
    EXPECT_EQ(with->description, trace.violation.description) << file;
    const auto without =
        replay(trace.scenario, engine::Mutant::kNone, trace.choices, {}, TraceMatch::kPrefix);
    EXPECT_FALSE(without) << file << ": " << without->description;
    shown_mutants.insert(name_of(trace.mutant));
  }
  EXPECT_EQ(shown_mutants.size(), static_cast<std::size_t>(engine::kMutantCount - 1));
}

TEST(Traces, NameFileAndLineOfAnError) {
  const auto path =
      std::filesystem::temp_directory_path() / ("cometfold-trace-" + std::to_string(::getpid()));
  const auto error_of = [&](const std::string& text) {
    std::ofstream(path) << text;
    try {
      read_trace(path);
    } catch (const std::runtime_error& error) {
      return std::string(error.what()).substr(path.string().size());
    }
    return std::string("none");
  };
  const std::string head =
      R"({"scenario":"real-safe","faults":1,"hosts":2,"requests":[0],"depth":9,"module_acts":1,"mutant":"none"})";
  EXPECT_EQ(error_of(head + "\n"), "none");
  EXPECT_TRUE(error_of("").starts_with(": empty"));
  EXPECT_TRUE(error_of("x\n").starts_with(":1: "));
  EXPECT_TRUE(error_of(head + "\n{}\n").starts_with(":2: "));
  EXPECT_NE(error_of(R"({"scenario":"none such"})").find("no such scenario"), std::string::npos);
  std::ofstream(path) << head << "\n"
                      << R"({"choice":"no such event"})"
                      << "\n";
  const auto trace = read_trace(path);
  EXPECT_THROW(replay(trace.scenario, trace.mutant, trace.choices, {}), std::runtime_error);
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace cometfold::explore
