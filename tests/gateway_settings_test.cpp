// The gateway's own settings and its command line: valid files are accepted, errors name their place.
#include "net/gateway_settings.h"

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

// The error text of a file, without its path; empty if it is valid.
std::string error_text(const std::string& text) {
  const File file(text);
  try {
    load_gateway_settings(file.path);
  } catch (const GatewaySettingsError& error) {
    return std::string(error.what()).substr(file.path.string().size());
  }
  return "";
}

TEST(GatewaySettings, TheFileInTheRepositoryHoldsTheDefaults) {
  const auto settings = load_gateway_settings(COMETFOLD_OWN_SETTINGS);
  const GatewaySettings defaults;
  EXPECT_EQ(settings.connection_reuse_delay_ms, defaults.connection_reuse_delay_ms);
  EXPECT_EQ(settings.max_idle_per_host, defaults.max_idle_per_host);
  EXPECT_EQ(settings.max_connections_per_host, defaults.max_connections_per_host);
  EXPECT_EQ(settings.host_descriptor_share, defaults.host_descriptor_share);
}

TEST(GatewaySettings, ValidFilesAreAccepted) {
  EXPECT_EQ(error_text(""), "");
  EXPECT_EQ(error_text("[hosts]\n"), "");
  const File file("[hosts]\nrest_ms = 5.5\nidle_per_host = 200\n");
  const auto settings = load_gateway_settings(file.path);
  EXPECT_EQ(settings.connection_reuse_delay_ms, 5.5);
  EXPECT_EQ(settings.max_idle_per_host, 200u);
  EXPECT_EQ(settings.max_connections_per_host, 96u);
}

TEST(GatewaySettings, ErrorsNameTheLineTheKeyAndTheRemedy) {
  EXPECT_EQ(error_text("[hosts]\n\nrest_ms = -1\n"),
            ":3: hosts.rest_ms must be a number of milliseconds from 0 to 10000");
  EXPECT_EQ(error_text("[hosts]\nrest_ms = nan\n"),
            ":2: hosts.rest_ms must be a number of milliseconds from 0 to 10000");
  EXPECT_EQ(error_text("[hosts]\nidle_per_host = 1.5\n"),
            ":2: hosts.idle_per_host must be a whole number from 0 to 65536");
  EXPECT_EQ(error_text("[hosts]\nper_host = \"9\"\n"),
            ":2: hosts.per_host must be a whole number from 1 to 65536");
  EXPECT_EQ(error_text("[hosts]\nper_host = 0\n"),
            ":2: hosts.per_host must be a whole number from 1 to 65536");
  EXPECT_EQ(error_text("[hosts]\nrest = 5\n"),
            ":2: [hosts] has no 'rest'; it has descriptors_share, idle_per_host, per_host, rest_ms");
  EXPECT_EQ(error_text("\n[host]\n"), ":2: no table 'host'; there are extproc, hosts, limits, log, peers");
  EXPECT_EQ(error_text("hosts = 3\n"), ":1: 'hosts' must be a table: [hosts]");
  EXPECT_TRUE(error_text("[hosts\n").starts_with(":1: not TOML: "));
  EXPECT_TRUE(error_text("[hosts]\nrest_ms = 5\nrest_ms = 6\n").starts_with(":3: not TOML: "));
}

TEST(GatewaySettings, ErrorsCarryTheirPartsAsFields) {
  const File file("[hosts]\nper_host = 0\n");
  try {
    load_gateway_settings(file.path);
    FAIL() << "a value out of range";
  } catch (const GatewaySettingsError& error) {
    EXPECT_EQ(error.source().file, file.path.string());
    EXPECT_EQ(error.source().line, 2);
    EXPECT_EQ(error.key(), "hosts.per_host");
    EXPECT_EQ(error.remedy(), "a whole number from 1 to 65536");
  }
}

TEST(GatewaySettings, TheExternalProcessorIsOffUnlessItHasAnAddress) {
  EXPECT_FALSE(load_gateway_settings(COMETFOLD_OWN_SETTINGS).processor_address);
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
  const auto settings = load_gateway_settings(file.path);
  ASSERT_TRUE(settings.processor_address);
  EXPECT_EQ(settings.processor_address->port(), 9002);
  EXPECT_TRUE(settings.processor_address->address().is_v6());
  EXPECT_FALSE(settings.processor.destination.header);
  EXPECT_TRUE(settings.processor.destination.metadata);
  EXPECT_EQ(settings.processor.proxy_retries, extproc::ProxyRetries::kMarked);
  EXPECT_EQ(settings.processor.not_executed_statuses, std::vector{503});
  EXPECT_EQ(settings.grpc.calls.http2.max_concurrent_streams, 50u);
  EXPECT_EQ(settings.processor.mapping.class_header, "");
  EXPECT_EQ(settings.processor.mapping.default_class, "lookup");
  ASSERT_EQ(settings.processor.mapping.rules.size(), 2u);
  EXPECT_EQ(settings.processor.mapping.rules[0].path, "/pay*");
  EXPECT_TRUE(settings.processor.mapping.rules[0].source.ends_with(":12"));
  EXPECT_EQ(settings.processor.mapping.rules[1].units, 0.5);
  EXPECT_EQ(settings.processor.load.queue_length.size(), 2u);
}

TEST(GatewaySettings, ErrorsOfTheExternalProcessorNameTheRemedy) {
  const auto extproc_error = [](const std::string& line) { return error_text("[extproc]\n" + line + "\n"); };
  EXPECT_EQ(extproc_error("listen = \"localhost:9\""),
            ":2: extproc.listen must be an IP address and a port, such as \"127.0.0.1:9002\"");
  for (const char* bad : {"9002", "\"127.0.0.1\"", "\"127.0.0.1:\"", "\"127.0.0.1:99999\"", "\":9\""}) {
    EXPECT_TRUE(extproc_error(std::string("listen = ") + bad).starts_with(":2: extproc.listen must be"))
        << bad;
  }
  EXPECT_EQ(
      extproc_error("repeats = \"always\""),
      ":2: extproc.repeats must be \"never\" (the proxy calls once for a request) or \"marked\" (it calls "
      "for each try, with an attempt count)");
  EXPECT_EQ(extproc_error("destination = []"),
            ":2: extproc.destination must be a list of at least one of \"header\", \"metadata\" and "
            "\"original-dst\"");
  EXPECT_EQ(extproc_error("not_run = [200]"),
            ":2: extproc.not_run must be a list of statuses from 400 to 599");
  EXPECT_EQ(extproc_error("mode_override = 1"), ":2: extproc.mode_override must be true or false");
  EXPECT_EQ(
      extproc_error("[extproc.request]\nclass_header = \"X-Class\""),
      ":3: extproc.request.class_header must be a header's name in lower case of at most 63 letters, digits "
      "and hyphens, or empty for none");
  EXPECT_EQ(
      extproc_error("[[extproc.rule]]\npath = \"shop\""),
      ":3: [extproc.rule].path must be a path that begins with / and has no query; a * may stand at its end");
  EXPECT_TRUE(extproc_error("[[extproc.rule]]\npaht = \"/shop\"")
                  .starts_with(":3: [[extproc.rule]] has no 'paht'; it has "));
  EXPECT_EQ(extproc_error("rule = 3"), ":2: extproc.rule must be at most 1000 tables: [[extproc.rule]]");
  EXPECT_EQ(extproc_error("[extproc.load]\nbusy = \"cpu\""),
            ":3: extproc.load.busy must be a list of figures' names, such as [\"named_metrics.queue\", "
            "\"cpu_utilization\"]");
}

// Runs the program and returns its exit code.
int run(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), COMETFOLD_PROGRAM);
  Child child(arguments, {});
  return child.exit_code();
}

TEST(CommandLine, ChecksAConfigurationAndPrintsItsVersion) {
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
  EXPECT_NE(limited.log_until("second_copies")
                .find(":2: limits.class.pay.second_copies: is true where the platform"),
            std::string::npos);
  Child invalid({COMETFOLD_PROGRAM, "--check-config", bad.path}, {});
  EXPECT_NE(invalid.log_until("configuration").find("'listen' is missing"), std::string::npos);
}

}  // namespace
}  // namespace cometfold::net::testing
