// cometfold-cluster: runs real gateways under injected faults and checks the recorded history.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>

#include "emulators/cluster/history.h"
#include "net/event_log.h"

namespace {

using namespace cometfold::emulators::cluster;
namespace json = boost::json;
using cometfold::net::log_event;
using cometfold::net::LogLevel;

json::array rounded(const std::vector<double>& all) {
  json::array out;
  for (const double v : all) out.emplace_back(std::round(v));
  return out;
}

int report(const std::string& name, const Verdict& v) {
  for (const auto& b : v.violations)
    log_event(LogLevel::kWarning, "breach", {{"schedule", name}, {"why", b}});
  log_event(v.violations.empty() ? LogLevel::kInfo : LogLevel::kWarning, "verdict",
            {{"schedule", name},
             {"good", v.violations.empty()},
             {"agreed_after_ms", std::round(v.converged_after)},
             {"crash_known_first_ms", rounded(v.crash_detected_first)},
             {"crash_known_all_ms", rounded(v.crash_detected_all)},
             {"wrongly_failed", v.false_failures},
             {"wrongly_suspected", v.false_suspicions},
             {"longest_suspicion_ms", std::round(v.longest_suspicion)},
             {"asked", v.sent},
             {"served", v.served},
             {"refused", v.refused},
             {"failed", v.failed},
             {"gone", v.disconnected}});
  return v.violations.empty() ? 0 : 1;
}

// Prints the steps of the schedule, and each process's view whenever it changes.
class ProgressPrinter {
 public:
  void print(const Line& line) {
    const std::string what(line.at("what").as_string());
    const double t = line.at("t").to_number<double>() / 1000;
    const auto text = [&line](const char* key) { return std::string(line.at(key).as_string()); };
    if (what == "start" || what == "end" || what == "stop" || what == "continue") {
      std::printf("%6.1f s  %s: %s\n", t, text("gateway").c_str(), what.c_str());
    }
    if (what == "fault") std::printf("%6.1f s  ---- next step of the schedule ----\n", t);
    if (what != "view") return;
    std::string view = text("gateway") + " reports standing " + text("standing") + ":";
    for (const auto& value : line.at("members").as_array()) {
      const auto& m = value.as_array();
      if (m.at(0) != line.at("gateway"))
        view += " " + std::string(m.at(0).as_string()) + " " + std::string(m.at(2).as_string());
    }
    std::string& last = last_[line.at("process").to_number<std::uint64_t>()];
    if (last != view) std::printf("%6.1f s  %s\n", t, (last = view).c_str());
    std::fflush(stdout);
  }

 private:
  std::map<std::uint64_t, std::string> last_;
};

int run(const Schedule& schedule, const std::string& program, const std::string& history,
        const std::string& logs, bool show) {
  ProgressPrinter printer;
  std::vector<Line> lines;
  std::ofstream file;
  if (!history.empty()) {
    file.open(history);
    if (!file) throw std::runtime_error(history + ": can't be written");
  }
  log_event(LogLevel::kInfo, "run",
            {{"schedule", schedule.name}, {"gateways", schedule.gateways}, {"seed", schedule.seed}});
  play(schedule, program, logs, [&](const Line& line) {
    lines.push_back(line);
    if (show) printer.print(line);
    if (file.is_open()) file << json::serialize(line) << '\n';
  });
  return report(schedule.name, check(lines));
}

int list_schedules(const std::string& folder) {
  std::vector<std::filesystem::path> all;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".toml") all.push_back(entry.path());
  }
  std::sort(all.begin(), all.end());
  for (const auto& path : all) {
    const auto s = read_schedule(path.string());
    std::printf("%-28s %3zu gateways, %2zu steps: %s\n", path.filename().c_str(), s.gateways, s.steps.size(),
                s.name.c_str());
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Runs real gateways under injected faults and checks the recorded history."};
  app.require_subcommand(1);
  std::vector<std::string> schedules;
  std::string program, history, logs, folder = "examples/cluster";
  std::uint64_t seed = 0;
  std::size_t gateways = 0;
  bool show = false;
  auto* run_it = app.add_subcommand("run", "run schedules one after the other and check each history");
  run_it->add_option("schedule", schedules, "TOML files")->required()->check(CLI::ExistingFile);
  auto* replay =
      app.add_subcommand("replay", "run the schedule of a history again and check the new history");
  replay->add_option("history", schedules, "history file written by `run`")
      ->required()
      ->expected(1)
      ->check(CLI::ExistingFile);
  for (auto* sub : {run_it, replay}) {
    sub->add_option("--program", program, "path of the gateway binary")->required()->check(CLI::ExistingFile);
    sub->add_option("--history", history, "write the history to this file (of the last schedule)");
    sub->add_option("--logs", logs, "directory for the gateways' logs");
    sub->add_flag("--show", show, "print each process's view whenever it changes");
    sub->add_option("--seed", seed, "overrides the schedule's seed");
    sub->add_option("--gateways", gateways, "the number of gateways, if more than the schedule's")
        ->check(CLI::Range(1, 100));
  }
  std::uint64_t first = 1, count = 1;
  auto* random = app.add_subcommand("random", "run schedules generated from seeds and check each history");
  random->add_option("--program", program, "path of the gateway binary")
      ->required()
      ->check(CLI::ExistingFile);
  random->add_option("--history", history, "write the history to this file (of the last schedule)");
  random->add_option("--logs", logs, "directory for the gateways' logs");
  random->add_option("--first", first, "the first seed");
  random->add_option("--count", count, "the number of seeds")->check(CLI::Range(1, 10'000));
  random->add_option("--gateways", gateways, "the number of gateways; default 8")->check(CLI::Range(2, 100));
  auto* check_it = app.add_subcommand("check", "check a history");
  check_it->add_option("history", schedules, "history file written by `run`")
      ->required()
      ->expected(1)
      ->check(CLI::ExistingFile);
  auto* list_them = app.add_subcommand("list", "list the schedules of a directory");
  list_them->add_option("folder", folder, "directory with TOML files")->check(CLI::ExistingDirectory);
  CLI11_PARSE(app, argc, argv);
  try {
    if (*list_them) return list_schedules(folder);
    if (*check_it) return report(schedules.front(), check(read_history(schedules.front())));
    int bad = 0;
    for (std::uint64_t n = 0; *random && n < count; ++n) {
      const auto text = random_schedule(first + n, gateways > 0 ? gateways : 8);
      bad += run(parse_schedule(text, "random schedule"), program, history, logs, show);
    }
    for (const auto& path : schedules) {
      auto schedule =
          *run_it ? read_schedule(path)
                  : parse_schedule(std::string(read_history(path).at(0).at("text").as_string()), path);
      if (seed) schedule.seed = seed;
      schedule.gateways = std::max(schedule.gateways, gateways);
      bad += run(schedule, program, history, logs, show);
    }
    return bad > 0 ? 1 : 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cometfold-cluster: %s\n", error.what());
    return 2;
  }
}
