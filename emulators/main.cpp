// emulator: a host, a discovery agent, a client or a relay on loopback, for manual tests of the gateway and
// for the benchmark.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <memory>

#include "emulators/discovery_emulator.h"
#include "emulators/host_emulator.h"
#include "emulators/load.h"
#include "emulators/relay.h"

namespace {

using namespace cometfold::emulators;

void print_ready(const char* what, int port) { std::fprintf(stderr, "ready: %s 127.0.0.1:%d\n", what, port); }

int run(boost::asio::io_context& io) {
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
  io.run();
  return 0;
}

void host_options(CLI::App& app, Behaviour& b) {
  const auto fraction = CLI::Range(0.0, 1.0);
  app.add_option("--mean-ms", b.mean_ms, "mean reply time")->check(CLI::NonNegativeNumber);
  app.add_option("--error", b.error, "fraction answered with an error")->check(fraction);
  app.add_option("--busy", b.busy, "fraction refused with BUSY")->check(fraction);
  app.add_option("--spoilt", b.malformed, "fraction with a malformed reply")->check(fraction);
  app.add_option("--broken", b.disconnect, "fraction whose connection is closed instead")->check(fraction);
  app.add_option("--silent", b.silent, "fraction never answered")->check(fraction);
  app.add_option("--twin", b.duplicate_reply, "fraction answered twice")->check(fraction);
}

// Reads lines `UID PORT active|leaving|left` from standard input and updates the host list.
void follow_input(boost::asio::io_context& io, DiscoveryEmulator& discovery) {
  auto input = std::make_shared<boost::asio::posix::stream_descriptor>(io, ::dup(0));
  auto text = std::make_shared<std::string>();
  auto read = std::make_shared<std::function<void()>>();
  *read = [&discovery, input, text, read] {
    boost::asio::async_read_until(
        *input, boost::asio::dynamic_buffer(*text, 4096), '\n',
        [&discovery, text, read](boost::system::error_code error, std::size_t n) {
          if (error) return;
          std::istringstream line(text->substr(0, n));
          text->erase(0, n);
          std::string uid, state;
          int port = 0;
          const bool known =
              line >> uid >> port >> state && (state == "active" || state == "leaving" || state == "left");
          if (known) {
            discovery.set(uid, port, state);
          } else {
            std::fprintf(stderr, "emulator: expected a line UID PORT active|leaving|left\n");
          }
          (*read)();
        });
  };
  (*read)();
}

void print(const LoadResult& r) {
  std::printf(
      "offered %llu, served %llu, refused %llu, failed %llu, unanswered %llu, wrong %llu; ms p50 %.2f p99 "
      "%.2f p99.9 %.2f\n",
      static_cast<unsigned long long>(r.offered), static_cast<unsigned long long>(r.served),
      static_cast<unsigned long long>(r.refused), static_cast<unsigned long long>(r.failed),
      static_cast<unsigned long long>(r.unanswered), static_cast<unsigned long long>(r.mismatched),
      r.percentile(0.5), r.percentile(0.99), r.percentile(0.999));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Emulated hosts, discovery and clients on loopback."};
  app.require_subcommand(1);
  std::uint16_t port = 0;
  std::uint64_t seed = 1;
  Behaviour behaviour;
  auto* host = app.add_subcommand("host", "a host with configurable delays and faults");
  host->add_option("--port", port, "port to listen on; 0: chosen by the system");
  host->add_option("--seed", seed, "of random reply times and faults");
  host_options(*host, behaviour);
  auto* discovery = app.add_subcommand(
      "discovery", "a discovery agent; lines UID PORT STATE on standard input update its list");
  discovery->add_option("--port", port, "port to listen on; 0: chosen by the system");
  auto* relay = app.add_subcommand("relay", "a relay without admission or routing");
  std::vector<int> hosts;
  relay->add_option("--port", port, "port to listen on; 0: chosen by the system");
  relay->add_option("--hosts", hosts, "the hosts' ports")->required()->delimiter(',');
  auto* client = app.add_subcommand("client", "an open-loop load generator");
  LoadPlan plan;
  client->add_option("--port", port, "the gateway's port")->required();
  client->add_option("--rate", plan.rate, "requests per second")->check(CLI::PositiveNumber);
  client->add_option("--seconds", plan.seconds, "duration of the measured load")->check(CLI::PositiveNumber);
  client->add_option("--classes", plan.classes, "request classes, in rotation")->delimiter(',');
  CLI11_PARSE(app, argc, argv);
  try {
    boost::asio::io_context io(1);
    if (*host) {
      HostEmulator server(io, behaviour, seed, port);
      print_ready("host", server.port());
      return run(io);
    }
    if (*discovery) {
      DiscoveryEmulator server(io, port);
      follow_input(io, server);
      print_ready("discovery", server.port());
      return run(io);
    }
    if (*relay) {
      Relay server(io, hosts, port);
      print_ready("relay", server.port());
      return run(io);
    }
    print(run_load(port, plan));
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "emulator: %s\n", error.what());
    return 1;
  }
}
