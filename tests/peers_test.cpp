// Tests what operators see of cluster membership on a single gateway: settings, the /_members call, metrics
// and cometfold-ctl. The cluster schedules (examples/cluster) test several processes together.
#include <cstdio>
#include <fstream>

#include "net/gateway_settings.h"
#include "net/log_rate_limiter.h"
#include "net_support.h"

namespace cometfold::net::testing {
namespace {

namespace json = boost::json;

std::string settings_file(const std::string& text) {
  static int made = 0;
  const auto path = std::filesystem::temp_directory_path() /
                    ("peers-" + std::to_string(::getpid()) + "-" + std::to_string(++made) + ".toml");
  std::ofstream(path) << text;
  return path.string();
}

std::string error_text(const std::string& text) {
  const auto path = settings_file(text);
  std::string text_of_error;
  try {
    load_gateway_settings(path);
  } catch (const GatewaySettingsError& error) {
    text_of_error = error.what();
  }
  std::filesystem::remove(path);
  const auto path_end = text_of_error.find(".toml");
  return text_of_error.substr(path_end == std::string::npos ? 0 : path_end + 5);
}

struct CommandOutput {
  int exit_code = -1;
  std::string text;
};
CommandOutput ctl(const std::string& arguments) {
  CommandOutput output;
  FILE* pipe = ::popen((std::string(COMETFOLD_CTL) + " " + arguments + " 2>&1").c_str(), "r");
  char part[4096];
  for (std::size_t n; (n = std::fread(part, 1, sizeof part, pipe)) > 0;) output.text.append(part, n);
  output.exit_code = WEXITSTATUS(::pclose(pipe));
  return output;
}

std::string call(const Program& program, const std::string& target) {
  auto peer = Peer::connect(program.admin_port());
  peer.send("GET " + target + " HTTP/1.1\r\nHost: gateway\r\n\r\n");
  std::string all;
  for (std::string line; !(line = peer.line()).empty();) all += line + "\n";
  std::size_t length = std::stoul(all.substr(all.find("Content-Length: ") + 16));
  return all + "\n" + peer.exactly(length);
}

// A UDP port that was free when it was chosen, on a loopback address derived from the process id, so that
// tests that run at the same time do not collide.
struct FreeAddress {
  FreeAddress() {
    Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl((127U << 24) | (200U << 16) | static_cast<unsigned>(::getpid() & 0xffff));
    ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
    socklen_t size = sizeof at;
    ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&at), &size);
  }
  std::string text() const {
    char ip[INET_ADDRSTRLEN];
    ::inet_ntop(AF_INET, &at.sin_addr, ip, sizeof ip);
    return std::string(ip) + ":" + std::to_string(ntohs(at.sin_port));
  }
  sockaddr_in at{};
};

struct GatewaySetup {
  explicit GatewaySetup(const std::string& settings) : file(settings_file(settings)) {
    conf["admin"] = "127.0.0.1:0";
  }
  ~GatewaySetup() { std::filesystem::remove(file); }
  Listener host, discovery;
  std::string file;
  json::object conf = config(list(7, true, {target("s-1", host.port())}), discovery.port());
};

TEST(Peers, ErrorsInSettingsNameTheLineAndTheRemedy) {
  EXPECT_EQ(error_text("[peers]\nlisten = \"127.0.0.1:7946\"\nseeds = [\"127.0.0.1:7947\"]\n"), "");
  EXPECT_EQ(error_text("[peers]\nlisten = 3\n"),
            ":2: peers.listen must be an IP address and a port, such as \"127.0.0.1:9002\"");
  EXPECT_NE(
      error_text("[peers]\nseeds = [\"127.0.0.1\"]\n").find(":2: peers.seeds must be a list of at most 1024"),
      std::string::npos);
  EXPECT_NE(error_text("[peers]\nseed = []\n").find(":2: [peers] has no 'seed'; it has advertise"),
            std::string::npos);
  EXPECT_NE(error_text("[peers]\nlisten = \"0.0.0.0:7946\"\n").find("'advertise' must say"),
            std::string::npos);
  EXPECT_NE(error_text("[peers]\nlisten = \"127.0.0.1:1\"\nquorum = 6\n").find("'quorum' must be at most"),
            std::string::npos);
  EXPECT_NE(error_text("[peers]\nlisten = \"127.0.0.1:1\"\nforget_ms = 10000\n").find("'forget_ms' must be"),
            std::string::npos);
}

// The limit has to allow all gateways of a large cluster as seeds.
TEST(Peers, TheCountOfSeedsIsLimited) {
  const auto seeds = [](int n) {
    std::string text = "[peers]\nlisten = \"127.0.0.1:7946\"\nseeds = [";
    for (int i = 0; i < n; ++i) text += "\"127.0.0.1:" + std::to_string(10'000 + i) + "\", ";
    return text + "]\n";
  };
  EXPECT_EQ(error_text(seeds(1024)), "");
  EXPECT_EQ(
      error_text(seeds(1025)),
      ":3: peers.seeds must be a list of at most 1024 addresses and ports, such as [\"127.0.0.1:7946\"]");
}

TEST(Peers, AreOffWithoutAnAddress) {
  GatewaySetup setup("[hosts]\n");
  Program program(setup.conf, {"--settings", setup.file}, {});
  EXPECT_NE(call(program, "/_members").find("404"), std::string::npos);
  EXPECT_EQ(call(program, "/_vars").find("peers"), std::string::npos);
  const auto output = ctl("members --at 127.0.0.1:" + std::to_string(program.admin_port()));
  EXPECT_EQ(output.exit_code, 1);
  EXPECT_NE(output.text.find("knows of no others"), std::string::npos);
}

TEST(Peers, AGatewayWithoutOthersReportsThatItIsAlone) {
  const FreeAddress address;
  GatewaySetup setup("[peers]\nlisten = \"" + address.text() + "\"\n");
  Program program(setup.conf, {"--settings", setup.file}, {});
  const auto at = " --at 127.0.0.1:" + std::to_string(program.admin_port());
  const auto output = ctl("members --json" + at);
  ASSERT_EQ(output.exit_code, 0) << output.text;
  const auto all = json::parse(output.text).as_object();
  EXPECT_EQ(all.at("name"), "n0");
  EXPECT_EQ(all.at("standing"), "alone");
  const auto& me = all.at("members").as_array().at(0).as_object();
  EXPECT_EQ(me.at("name"), "n0");
  EXPECT_EQ(me.at("address"), address.text().c_str());
  EXPECT_EQ(me.at("state"), "alive");
  EXPECT_EQ(me.at("start"), all.at("start"));
  EXPECT_TRUE(me.contains("since_ms"));
  EXPECT_NE(ctl("members" + at).text.find("n0 (start "), std::string::npos);
  EXPECT_NE(call(program, "/_members").find("Content-Type: application/json"), std::string::npos);

  // Foreign datagrams are dropped and counted.
  Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  ::sendto(fd.get(), "noise", 5, 0, reinterpret_cast<const sockaddr*>(&address.at), sizeof address.at);
  while (call(program, "/_vars").find("edge_edge.peers.dropped.foreign:1|c") == std::string::npos) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

TEST(Peers, AnAddressInUseIsWaitedFor) {
  const FreeAddress address;
  auto holder = std::make_unique<Fd>(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  ASSERT_EQ(::bind(holder->get(), reinterpret_cast<const sockaddr*>(&address.at), sizeof address.at), 0);
  GatewaySetup setup("[peers]\nlisten = \"" + address.text() + "\"\n");
  Program program(setup.conf, {"--settings", setup.file}, {});
  holder.reset();
  program.log_until("\"peers_open\"");
}

TEST(Peers, CtlReportsErrors) {
  EXPECT_EQ(ctl("members --at 127.0.0.1:1").exit_code, 1);
  EXPECT_NE(ctl("members --at nowhere").text.find("must be an address and a port"), std::string::npos);
  EXPECT_NE(ctl("members").exit_code, 0);
  EXPECT_EQ(ctl("--version").exit_code, 0);
}

TEST(LogRateLimiter, AdmitsABurstThenARateAndCountsDroppedLines) {
  LogRateLimiter limiter(3, 2);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(limiter.admit(1000), 0U);
  EXPECT_EQ(limiter.admit(1000), std::nullopt);
  EXPECT_EQ(limiter.admit(1100), std::nullopt);
  EXPECT_EQ(limiter.admit(1600), 2U);
  EXPECT_EQ(limiter.admit(1601), std::nullopt);
  EXPECT_EQ(limiter.admit(1e9), 1U);  // admits lines again once the rate allows
}

}  // namespace
}  // namespace cometfold::net::testing
