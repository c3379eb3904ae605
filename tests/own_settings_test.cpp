// The gateway's own settings and its command line: what is good is taken, what is bad is named with its
// place.
#include "net/own_settings.h"

#include <fstream>

#include "net_support.h"

namespace cometfold::net::testing {
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
  EXPECT_EQ(complaint("\n[host]\n"), ":2: no table 'host'; there are extproc, hosts, limits, log, peers");
  EXPECT_EQ(complaint("hosts = 3\n"), ":1: 'hosts' must be a table: [hosts]");
  EXPECT_TRUE(complaint("[hosts\n").starts_with(":1: not TOML: "));
  EXPECT_TRUE(complaint("[hosts]\nrest_ms = 5\nrest_ms = 6\n").starts_with(":3: not TOML: "));
}

TEST(OwnSettings, TheExternalProcessorIsOffUnlessItHasAnAddress) {
  EXPECT_FALSE(read_own_settings(COMETFOLD_OWN_SETTINGS).processor_at);
  const File file(R"(
[extproc]
listen = "[::1]:9002"
destination = ["metadata"]
repeats = "marked"
not_run = [503]
streams = 50
[extproc.request]
class_header = ""
deadline_headers = ["grpc-timeout"]
default_class = "lookup"
[[extproc.rule]]
method = "POST"
path = "/pay*"
class = "pay"
[[extproc.rule]]
units = 0.5
[extproc.load]
queue = ["named_metrics.waiting", "utilization.queue"]
)");
  const auto s = read_own_settings(file.path);
  ASSERT_TRUE(s.processor_at);
  EXPECT_EQ(s.processor_at->port(), 9002);
  EXPECT_TRUE(s.processor_at->address().is_v6());
  EXPECT_FALSE(s.processor.destination.header);
  EXPECT_TRUE(s.processor.destination.metadata);
  EXPECT_EQ(s.processor.proxy_retries, extproc::ProxyRetries::kMarked);
  EXPECT_EQ(s.processor.not_executed_statuses, std::vector{503});
  EXPECT_EQ(s.grpc.calls.http2.streams, 50u);
  EXPECT_EQ(s.processor.mapping.class_header, "");
  EXPECT_EQ(s.processor.mapping.default_class, "lookup");
  ASSERT_EQ(s.processor.mapping.rules.size(), 2u);
  EXPECT_EQ(s.processor.mapping.rules[0].path, "/pay*");
  EXPECT_TRUE(s.processor.mapping.rules[0].source.ends_with(":12"));
  EXPECT_EQ(s.processor.mapping.rules[1].units, 0.5);
  EXPECT_EQ(s.processor.load.queue_length.size(), 2u);
}

TEST(OwnSettings, BadOnesOfTheExternalProcessorAreNamedToo) {
  const auto said = [](const std::string& line) { return complaint("[extproc]\n" + line + "\n"); };
  EXPECT_EQ(said("listen = \"localhost:9\""),
            ":2: extproc.listen must be an IP address and a port, such as \"127.0.0.1:9002\"");
  for (const char* bad : {"9002", "\"127.0.0.1\"", "\"127.0.0.1:\"", "\"127.0.0.1:99999\"", "\":9\""}) {
    EXPECT_TRUE(said(std::string("listen = ") + bad).starts_with(":2: extproc.listen must be")) << bad;
  }
  EXPECT_EQ(
      said("repeats = \"always\""),
      ":2: extproc.repeats must be \"never\" (the proxy calls once for a request) or \"marked\" (it calls "
      "for each try, with an attempt count)");
  EXPECT_EQ(said("destination = []"),
            ":2: extproc.destination must be a list of at least one of \"header\", \"metadata\" and "
            "\"original-dst\"");
  EXPECT_EQ(said("not_run = [200]"), ":2: extproc.not_run must be a list of statuses from 400 to 599");
  EXPECT_EQ(said("mode_override = 1"), ":2: extproc.mode_override must be true or false");
  EXPECT_EQ(
      said("[extproc.request]\nclass_header = \"X-Class\""),
      ":3: extproc.request.class_header must be a header's name in lower case of at most 63 letters, digits "
      "and hyphens, or empty for none");
  EXPECT_EQ(
      said("[[extproc.rule]]\npath = \"shop\""),
      ":3: [extproc.rule].path must be a path that begins with / and has no query; a * may stand at its end");
  EXPECT_TRUE(
      said("[[extproc.rule]]\npaht = \"/shop\"").starts_with(":3: [[extproc.rule]] has no 'paht'; it has "));
  EXPECT_EQ(said("rule = 3"), ":2: extproc.rule must be at most 1000 tables: [[extproc.rule]]");
  EXPECT_EQ(said("[extproc.load]\nbusy = \"cpu\""),
            ":3: extproc.load.busy must be a list of figures' names, such as [\"named_metrics.queue\", "
            "\"cpu_utilization\"]");
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
  EXPECT_EQ(run({"--outcomes"}), 0);
  const File classes("[extproc]\nlisten = \"127.0.0.1:0\"\n[[extproc.rule]]\nclass = \"nope\"\n");
  Child unknown({COMETFOLD_PROGRAM, "--check-config", good.path, "--settings", classes.path}, {});
  EXPECT_NE(unknown.log_until("nope").find(":3: no class 'nope'; there are lookup, hold, pay"),
            std::string::npos);
  const File lawful("[limits.class.lookup]\nattempts = 1\n", "lawful.toml");
  EXPECT_EQ(run({"--check-config", good.path, "--settings", lawful.path}), 0);
  const File copies("[limits.class.pay]\nsecond_copies = true\n", "copies.toml");
  Child limited({COMETFOLD_PROGRAM, "--check-config", good.path, "--settings", copies.path}, {});
  EXPECT_NE(
      limited.log_until("second_copies").find(":2: limits.class.pay.second_copies: is true where the site"),
      std::string::npos);
  Child told({COMETFOLD_PROGRAM, "--check-config", bad.path}, {});
  EXPECT_NE(told.log_until("configuration").find("'listen' is missing"), std::string::npos);
}

}  // namespace
}  // namespace cometfold::net::testing
