// Benchmarks the gateway under an open-loop load between emulated hosts and discovery, against a plain relay
// under the same load and optionally another build of the gateway. Their rounds alternate, so that changes in
// the machine's speed affect all of them alike.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <thread>

#include "emulators/discovery_emulator.h"
#include "emulators/host_emulator.h"
#include "emulators/load.h"
#include "emulators/program.h"
#include "emulators/words.h"

namespace {

using namespace cometfold::emulators;

// CPU time of a single-threaded process so far, in microseconds. schedstat counts nanoseconds, stat only
// ticks of 10 ms.
double cpu_us(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  double ns = 0;
  file >> ns;
  return ns / 1000;
}

double peak_mb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

constexpr std::string_view kWithPeers = "peers + ";

struct Row {
  LoadResult load;
  double cpu_us = 0, peak_mb = 0;
  std::uint64_t host_connections = 0;
};

struct Setup {
  std::vector<std::unique_ptr<HostEmulator>>& hosts;
  const LoadPlan& plan;
  boost::json::object conf;
  std::string relay, settings;
  int peers = 0;
};

// Gateways that are peers of each other. The first one is measured; the others have no clients.
class Cluster {
 public:
  Cluster(const std::string& program, const boost::json::object& conf, int others) {
    for (int i = 0; i <= others; ++i) {
      files_.push_back((std::filesystem::temp_directory_path() /
                        ("bench-" + std::to_string(::getpid()) + "-" + std::to_string(i) + ".toml"))
                           .string());
      std::ofstream(files_.back()) << "[peers]\nlisten = \"" << address(i) << "\"\nseeds = [\"" << address(0)
                                   << "\"]\n";
      gateways_.push_back(
          std::make_unique<Program>(program, conf, std::vector<std::string>{"--settings", files_.back()},
                                    std::vector<std::string>{"EDGE_NAME=n" + std::to_string(i)}));
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));  // until all know each other
  }
  ~Cluster() {
    for (const auto& file : files_) std::filesystem::remove(file);
  }
  const Program& first() const { return *gateways_.front(); }

 private:
  static std::string address(int i) {
    return "127." + std::to_string(64 + ::getpid() % 128) + ".9." + std::to_string(i + 1) + ":7946";
  }
  std::vector<std::string> files_;
  std::vector<std::unique_ptr<Program>> gateways_;
};

Row measure(const Setup& s, int port, pid_t pid) {
  Row row;
  double begin = 0;
  const auto connections = [&] {
    std::uint64_t n = 0;
    for (const auto& h : s.hosts) n += h->accepted();
    return n;
  };
  const auto before = connections();
  row.load = run_load(
      port, s.plan, [&] { begin = cpu_us(pid); }, [&] { row.cpu_us = cpu_us(pid) - begin; });
  row.cpu_us /= static_cast<double>(std::max<std::uint64_t>(row.load.offered, 1));
  row.peak_mb = peak_mb(pid);
  row.host_connections = connections() - before;
  return row;
}

Row run_round(const Setup& s, const std::string& what) {
  if (what.starts_with(kWithPeers)) {
    const Cluster cluster(what.substr(kWithPeers.size()), s.conf, s.peers);
    return measure(s, cluster.first().port(), cluster.first().pid());
  }
  if (what != "relay") {
    std::vector<std::string> arguments;
    if (!s.settings.empty()) arguments = {"--settings", s.settings};
    Program gateway(what, s.conf, arguments);
    return measure(s, gateway.port(), gateway.pid());
  }
  std::string ports;
  for (const auto& h : s.hosts) ports += (ports.empty() ? "" : ",") + std::to_string(h->port());
  Child relay({s.relay, "relay", "--hosts", ports}, {});
  return measure(s, relay.port_after("ready: relay"), relay.pid());
}

double median(std::vector<double> all) {
  std::sort(all.begin(), all.end());
  return all.empty() ? 0 : all[all.size() / 2];
}

void print_row(const std::string& what, const std::vector<Row>& rows, double baseline_cpu_us) {
  const auto median_of = [&](auto&& value) {
    std::vector<double> all;
    for (const auto& r : rows) all.push_back(value(r));
    return median(all);
  };
  const double cpu = median_of([](auto& r) { return r.cpu_us; });
  std::printf("%-28s %8.0f %8.0f %7.0f %7.0f %8.2f %8.2f %8.2f %9.1f %7.2f %7.1f %9.0f\n", what.c_str(),
              median_of([](auto& r) { return static_cast<double>(r.load.offered) / r.load.seconds; }),
              median_of([](auto& r) { return static_cast<double>(r.load.served) / r.load.seconds; }),
              median_of([](auto& r) { return static_cast<double>(r.load.refused); }), median_of([](auto& r) {
                return static_cast<double>(r.load.failed + r.load.unanswered + r.load.wrong);
              }),
              median_of([](auto& r) { return r.load.percentile(0.5); }),
              median_of([](auto& r) { return r.load.percentile(0.99); }),
              median_of([](auto& r) { return r.load.percentile(0.999); }), cpu,
              baseline_cpu_us > 0 ? cpu / baseline_cpu_us : 1.0, median_of([](auto& r) { return r.peak_mb; }),
              median_of([](auto& r) { return static_cast<double>(r.host_connections); }));
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "Measures offered and served load, latency from the intended start, CPU time and memory of the "
      "gateway."};
  std::string program = "build/cometfold", other, relay = "build/emulator", settings;
  std::vector<double> rates{250, 500, 1000, 2000};
  LoadPlan plan;
  Behaviour behaviour;
  int rounds = 3, host_count = 8, peers = 0;
  double sockets = 1024;
  app.add_option("--program", program, "the gateway")->check(CLI::ExistingFile);
  app.add_option("--peer", other, "another build of the gateway to compare with")->check(CLI::ExistingFile);
  app.add_option("--peers", peers, "measure the gateway also with this many peers")
      ->check(CLI::Range(0, 100));
  app.add_option("--settings", settings, "the gateways' settings file")->check(CLI::ExistingFile);
  app.add_option("--stand-in", relay, "the emulator program, which provides the relay")
      ->check(CLI::ExistingFile);
  app.add_option("--rates", rates, "requests per second; one measurement for each rate")->delimiter(',');
  app.add_option("--seconds", plan.seconds, "duration of each round, after one second of warm-up");
  app.add_option("--rounds", rounds, "rounds per rate, of which medians are reported")
      ->check(CLI::Range(1, 99));
  app.add_option("--hosts", host_count, "emulated hosts")->check(CLI::Range(1, 500));
  app.add_option("--mean-ms", behaviour.mean_ms, "a host's mean response time");
  app.add_option("--connections", plan.connections, "client connections, at most");
  app.add_option("--sockets", sockets, "descriptors that the gateway may use");
  CLI11_PARSE(app, argc, argv);
  try {
    boost::asio::io_context io(1);
    const auto work = boost::asio::make_work_guard(io);
    DiscoveryEmulator discovery(io);
    std::vector<std::unique_ptr<HostEmulator>> hosts;
    for (int i = 1; i <= host_count; ++i) {
      hosts.push_back(std::make_unique<HostEmulator>(io, behaviour, static_cast<std::uint64_t>(i)));
      discovery.set("s-" + std::to_string(i), hosts.back()->port(), "active");
    }
    std::jthread servers([&io] { io.run(); });
    Setup setup{hosts, plan, config(discovery.whole(), discovery.port()), relay, settings, peers};
    setup.conf["limits"].as_object()["sockets"] = sockets;
    std::printf("%d hosts of %.1f ms, %d rounds of %.0f s, medians; latency in ms from the intended start\n",
                host_count, behaviour.mean_ms, rounds, plan.seconds);
    std::printf("%-28s %8s %8s %7s %7s %8s %8s %8s %9s %7s %7s %9s\n", "what", "offered", "served", "refused",
                "failed", "p50", "p99", "p99.9", "CPU us", "ratio", "MB", "connects");
    for (const double rate : rates) {
      plan.rate = rate;
      std::vector<std::string> all{"relay", program};
      if (!other.empty()) all.push_back(other);
      if (peers > 0) all.push_back(std::string(kWithPeers) + program);
      std::map<std::string, std::vector<Row>> rows;
      for (int round = 0; round < rounds; ++round) {
        for (const auto& what : all) rows[what].push_back(run_round(setup, what));
      }
      std::vector<double> baseline_cpu_us;
      for (const auto& r : rows["relay"]) baseline_cpu_us.push_back(r.cpu_us);
      for (const auto& what : all) print_row(what, rows[what], median(baseline_cpu_us));
    }
    io.stop();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "gateway_bench: %s\n", error.what());
    std::_Exit(1);
  }
}
