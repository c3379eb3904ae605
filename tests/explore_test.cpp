// The explorer: small explorations hold, committed counterexamples are found with their fault and not
// without.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <set>

#include "explore/explorer.h"
#include "explore/trace.h"
#include "explore/world.h"

namespace cometfold::explore {
namespace {

TEST(Explore, EveryScenarioHoldsWithOneTrouble) {
  Coverage all = 0;
  for (auto s : scenarios(true)) {
    s.max_faults = 1;
    const auto r = explore(s, engine::Mutant::kNone, {.threads = 2});
    EXPECT_FALSE(r.violation) << s.name << ": " << r.violation->rule << ": " << r.violation->description;
    EXPECT_TRUE(r.complete) << s.name;
    EXPECT_GT(r.terminal_runs, 10u) << s.name;
    all |= r.coverage;
  }
  // A scenario that never gets where it should proves nothing.
  for (const auto sight :
       {CoverageGoal::kDrainWhileWaiting, CoverageGoal::kReplacedWhileWaiting,
        CoverageGoal::kDisconnectWithAttemptInFlight, CoverageGoal::kCrashWithAttemptInFlight,
        CoverageGoal::kIdentityReused, CoverageGoal::kPolicyThrew, CoverageGoal::kPolicyActedAfterReply,
        CoverageGoal::kHedgedAttemptInFlight}) {
    EXPECT_TRUE(all >> static_cast<unsigned>(sight) & 1) << name_of(sight);
  }
}

TEST(Explore, CountsTheSameWhateverTheThreads) {
  auto s = scenarios(true).front();
  s.max_faults = 1;
  const auto one = explore(s, engine::Mutant::kNone, {.threads = 1});
  const auto three = explore(s, engine::Mutant::kNone, {.threads = 3});
  EXPECT_EQ(one.states, three.states);
  EXPECT_EQ(one.max_depth, three.max_depth);
}

std::vector<std::filesystem::path> traces() {
  std::vector<std::filesystem::path> all;
  for (const auto& entry : std::filesystem::directory_iterator(COMETFOLD_TRACES)) all.push_back(entry.path());
  std::sort(all.begin(), all.end());
  return all;
}

TEST(Traces, EachBreaksItsRuleWithItsFaultAndNoneWithout) {
  std::set<std::string> shown;
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
    shown.insert(name_of(trace.mutant));
  }
  EXPECT_EQ(shown.size(), static_cast<std::size_t>(engine::kMutantCount - 1));
}

TEST(Traces, ABadFileIsNamedWithItsLine) {
  const auto path =
      std::filesystem::temp_directory_path() / ("cometfold-trace-" + std::to_string(::getpid()));
  const auto complaint = [&](const std::string& text) {
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
  EXPECT_EQ(complaint(head + "\n"), "none");
  EXPECT_TRUE(complaint("").starts_with(": empty"));
  EXPECT_TRUE(complaint("x\n").starts_with(":1: "));
  EXPECT_TRUE(complaint(head + "\n{}\n").starts_with(":2: "));
  EXPECT_NE(complaint(R"({"scenario":"none such"})").find("no such scenario"), std::string::npos);
  std::ofstream(path) << head << "\n"
                      << R"({"choice":"no such event"})"
                      << "\n";
  const auto trace = read_trace(path);
  EXPECT_THROW(replay(trace.scenario, trace.mutant, trace.choices, {}), std::runtime_error);
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace cometfold::explore
