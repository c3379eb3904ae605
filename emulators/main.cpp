// stand-in: hosts, discovery, clients and a plain relay on loopback, for trying the gateway by hand and for
// the benchmark.
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
  app.add_option("--mean-ms", b.mean_ms, "mean time to an answer")->check(CLI::NonNegativeNumber);
  app.add_option("--error", b.error, "part answered with an error")->check(fraction);
  app.add_option("--busy", b.busy, "part turned away")->check(fraction);
  app.add_option("--spoilt", b.malformed, "part with an answer that can't be read")->check(fraction);
  app.add_option("--broken", b.disconnect, "part whose connection ends instead")->check(fraction);
  app.add_option("--silent", b.silent, "part never answered")->check(fraction);
  app.add_option("--twin", b.duplicate_reply, "part answered twice")->check(fraction);
}

// Lines `UID PORT active|leaving|left` from standard input change the list.
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
            std::fprintf(stderr, "stand-in discovery: a line is UID PORT active|leaving|left\n");
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
  CLI::App app{"Stand-ins for what a gateway meets, on loopback."};
  app.require_subcommand(1);
  std::uint16_t port = 0;
  std::uint64_t seed = 1;
  Behaviour behaviour;
  auto* host = app.add_subcommand("host", "a host that answers, late and wrong as told");
  host->add_option("--port", port, "where to listen; 0: any");
  host->add_option("--seed", seed, "of its drawn times and faults");
  host_options(*host, behaviour);
  auto* discovery =
      app.add_subcommand("discovery", "a discovery agent; lines UID PORT STATE on its input change it");
  discovery->add_option("--port", port, "where to listen; 0: any");
  auto* relay = app.add_subcommand("relay", "a plain relay with no decisions");
  std::vector<int> hosts;
  relay->add_option("--port", port, "where to listen; 0: any");
  relay->add_option("--hosts", hosts, "ports of hosts")->required()->delimiter(',');
  auto* client = app.add_subcommand("client", "clients in an open loop");
  LoadPlan plan;
  client->add_option("--port", port, "of the gateway")->required();
  client->add_option("--rate", plan.rate, "requests a second")->check(CLI::PositiveNumber);
  client->add_option("--seconds", plan.seconds, "how long")->check(CLI::PositiveNumber);
  client->add_option("--classes", plan.classes, "by turns")->delimiter(',');
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
    std::fprintf(stderr, "stand-in: %s\n", error.what());
    return 1;
  }
}
