// The gateway's own settings and its command line: what is good is taken, what is bad is named with its
// place.
#include "own_settings.h"

#include <fstream>

#include "net_support.h"

namespace thistlepond::net::testing {
namespace {

struct File {
  std::filesystem::path path;
  explicit File(const std::string& text, const std::string& name = "cometfold-own.toml")
      : path(std::filesystem::temp_directory_path() / (std::to_string(::getpid()) + "-" + name)) {
    std::ofstream(path) << text;
  }
  ~File() { std::filesystem::remove(path); }
};

// What is said of a file, without its path; empty if it is good.
std::string complaint(const std::string& text) {
  const File file(text);
  try {
    read_own_settings(file.path);
  } catch (const OwnSettingsError& error) {
    return std::string(error.what()).substr(file.path.string().size());
  }
  return "";
}

TEST(OwnSettings, TheFileInTheRepositoryHoldsTheValuesInService) {
  const auto s = read_own_settings(COMETFOLD_OWN_SETTINGS);
  const OwnSettings in_service;
  EXPECT_EQ(s.rest_ms, in_service.rest_ms);
  EXPECT_EQ(s.idle_per_host, in_service.idle_per_host);
  EXPECT_EQ(s.per_host, in_service.per_host);
  EXPECT_EQ(s.descriptors_share, in_service.descriptors_share);
}

TEST(OwnSettings, GoodFilesAreTaken) {
  EXPECT_EQ(complaint(""), "");
  EXPECT_EQ(complaint("[hosts]\n"), "");
  const File file("[hosts]\nrest_ms = 5.5\nidle_per_host = 200\n");
  const auto s = read_own_settings(file.path);
  EXPECT_EQ(s.rest_ms, 5.5);
  EXPECT_EQ(s.idle_per_host, 200u);
  EXPECT_EQ(s.per_host, 96u);
}

TEST(OwnSettings, BadOnesAreNamedWithTheirLineAndWhatIsRight) {
  EXPECT_EQ(complaint("[hosts]\n\nrest_ms = -1\n"),
            ":3: hosts.rest_ms must be a number of milliseconds from 0 to 10000");
  EXPECT_EQ(complaint("[hosts]\nrest_ms = nan\n"),
            ":2: hosts.rest_ms must be a number of milliseconds from 0 to 10000");
  EXPECT_EQ(complaint("[hosts]\nidle_per_host = 1.5\n"),
            ":2: hosts.idle_per_host must be a whole number from 0 to 65536");
  EXPECT_EQ(complaint("[hosts]\nper_host = \"9\"\n"),
            ":2: hosts.per_host must be a whole number from 1 to 65536");
  EXPECT_EQ(complaint("[hosts]\nper_host = 0\n"),
            ":2: hosts.per_host must be a whole number from 1 to 65536");
  EXPECT_EQ(complaint("[hosts]\nrest = 5\n"),
            ":2: [hosts] has no 'rest'; it has descriptors_share, idle_per_host, per_host, rest_ms");
  EXPECT_EQ(complaint("\n[host]\n"), ":2: no table 'host'; there are hosts");
  EXPECT_EQ(complaint("hosts = 3\n"), ":1: 'hosts' must be a table: [hosts]");
  EXPECT_TRUE(complaint("[hosts\n").starts_with(":1: not TOML: "));
  EXPECT_TRUE(complaint("[hosts]\nrest_ms = 5\nrest_ms = 6\n").starts_with(":3: not TOML: "));
}

// Runs the program with arguments; its exit code, and what it said on standard error.
int run(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), COMETFOLD_PROGRAM);
  Child child(arguments, {});
  return child.exit_code();
}

TEST(CommandLine, ChecksAConfigurationAndTellsItsVersion) {
  const File good(boost::json::serialize(config(list(1, true, {}), 9)), "good.json");
  const File bad("{\"name\":\"n0\"}", "bad.json");
  const File own("[hosts]\nrest = 1\n");
  EXPECT_EQ(run({"--version"}), 0);
  EXPECT_EQ(run({"--help"}), 0);
  EXPECT_EQ(run({"--check-config", good.path}), 0);
  EXPECT_EQ(run({"--check-config", bad.path}), 1);
  EXPECT_EQ(run({"--check-config", "/nowhere"}), 1);
  EXPECT_EQ(run({"--check-config", good.path, "--settings", own.path}), 1);
  EXPECT_GT(run({"--no-such-flag"}), 0);
  Child told({COMETFOLD_PROGRAM, "--check-config", bad.path}, {});
  EXPECT_NE(told.log_until("configuration").find("'listen' is missing"), std::string::npos);
}

}  // namespace
}  // namespace thistlepond::net::testing
