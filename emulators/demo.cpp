// Runs one gateway with emulated hosts and discovery on loopback and sends a few requests: `make run`.
#include <CLI/CLI.hpp>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <thread>

#include "emulators/discovery_emulator.h"
#include "emulators/host_emulator.h"
#include "emulators/program.h"
#include "emulators/words.h"

namespace {

using namespace cometfold::emulators;

std::atomic<bool> stop_requested{false};

// Sends one request and prints the reply; true if it is a value or a BUSY refusal.
bool send_and_print(Peer& client, const std::string& what, const std::string& text) {
  client.send(text);
  const auto reply = client.reply();
  std::printf("%-44s -> %s\n", what.c_str(), reply.substr(0, 60).c_str());
  std::fflush(stdout);
  return reply.starts_with("value of") || reply.starts_with("-BUSY");
}

bool send_requests(const Program& gateway, DiscoveryEmulator& discovery, boost::asio::io_context& io,
                   int first_host) {
  auto client = gateway.client();
  bool succeeded = true;
  unsigned n = 1;
  std::printf("requests of each class:\n");
  for (int i = 0; i < 3; ++i) {
    succeeded &= send_and_print(client, "  lookup, safe to repeat", query(n++));
    succeeded &= send_and_print(client, "  hold, keyed", submit("hold", n++));
    succeeded &= send_and_print(client, "  pay, unsafe", submit("pay", n++));
  }
  std::printf("host s-1 drains; the gateway sends new requests to the other hosts:\n");
  boost::asio::post(io, [&discovery, first_host] { discovery.set("s-1", first_host, "leaving"); });
  for (int i = 0; i < 3; ++i) succeeded &= send_and_print(client, "  lookup", query(n++));
  std::printf("an invalid request is answered with the reason:\n");
  client.send(command({"SVC.QUERY", id(1), id(99), "c=lookup"}));
  std::printf("%-44s -> %s\n", "  fields that are required are missing", client.reply().c_str());
  return succeeded;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "Starts a gateway with emulated hosts and discovery on loopback, sends requests and prints the "
      "replies."};
  std::string program;
  bool once = false;
  app.add_option("program", program, "path of the gateway binary")->required()->check(CLI::ExistingFile);
  app.add_flag("--once", once, "exit after the requests instead of waiting for Ctrl-C");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGINT, [](int) { stop_requested = true; });
  std::signal(SIGTERM, [](int) { stop_requested = true; });
  try {
    boost::asio::io_context io(1);
    const auto work = boost::asio::make_work_guard(io);
    DiscoveryEmulator discovery(io);
    std::vector<std::unique_ptr<HostEmulator>> hosts;
    for (int i = 1; i <= 3; ++i) {
      hosts.push_back(std::make_unique<HostEmulator>(io, Behaviour{}, static_cast<std::uint64_t>(i)));
      discovery.set("s-" + std::to_string(i), hosts.back()->port(), "active");
    }
    const auto conf = config(discovery.full_list(), discovery.port());
    const int first_host = hosts[0]->port();
    std::jthread servers([&io] { io.run(); });
    bool succeeded = false;
    try {
      Program gateway(program, conf);
      std::printf("gateway on 127.0.0.1:%d, three emulated hosts, discovery on 127.0.0.1:%d\n",
                  gateway.port(), discovery.port());
      succeeded = send_requests(gateway, discovery, io, first_host);
      if (!once) std::printf("the gateway runs until Ctrl-C\n");
      std::fflush(stdout);
      while (!once && !stop_requested) std::this_thread::sleep_for(std::chrono::milliseconds(100));
      gateway.terminate();
      std::printf("gateway exited with code %d\n", gateway.exit_code());
    } catch (const std::exception& error) {
      std::fprintf(stderr, "cometfold-demo: %s\n", error.what());
    }
    io.stop();
    return succeeded ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cometfold-demo: %s\n", error.what());
    return 1;
  }
}
