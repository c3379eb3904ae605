// Runs the external processor with an emulated proxy and emulated hosts on loopback. `tour` sends a few
// requests and prints the responses (`make run-extproc`). `storm` sends many requests under faults and proxy
// misbehaviour, checks the events at the hosts against the at-most-once rule, and compares the decisions that
// the proxy and the processor counted independently.
#include <CLI/CLI.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "emulators/program.h"
#include "emulators/proxy/http_host.h"
#include "emulators/proxy/proxy_emulator.h"
#include "emulators/words.h"
#include "rules/at_most_once_monitor.h"

namespace {

using namespace cometfold;
using namespace cometfold::emulators;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr const char* kClasses[] = {"lookup", "hold", "pay"};

AdmissionSettings class_settings() {
  AdmissionSettings s;
  s.classes = {{20'000, 60'000, 1, 0, Idempotency::kIdempotent, IdempotencyScope::kNone, 0},
               {20'000, 60'000, 1, 0, Idempotency::kIdempotencyKey, IdempotencyScope::kAll, 60'000},
               {20'000, 60'000, 1, 0, Idempotency::kNonIdempotent, IdempotencyScope::kNone, 0}};
  s.max_attempts = 4;
  return s;
}

// Checks the hosts' events as they happen.
class RuleChecker {
 public:
  void record_request(std::uint64_t request, std::uint32_t class_index) {
    observe({.kind = rules::Event::kRequestReceived, .request = request, .class_index = class_index});
  }
  HttpHost::Record record_of(HostId host) {
    return [this, host](HttpHost::RequestEvent event, const std::string& id, std::uint64_t number) {
      rules::Event rule_event;
      rule_event.kind = event == HttpHost::RequestEvent::kReceived      ? rules::Event::kAttemptWritten
                        : event == HttpHost::RequestEvent::kNotExecuted ? rules::Event::kNotExecuted
                                                                        : rules::Event::kAttemptEnded;
      rule_event.request = std::stoull(id);
      rule_event.connection = number;
      rule_event.host = host;
      if (event == HttpHost::RequestEvent::kReceived) ++requests_received_;
      observe(rule_event);
    };
  }
  std::vector<std::string> violations() const { return violations_; }
  std::uint64_t requests_received() const { return requests_received_; }

 private:
  void observe(rules::Event event) {
    const std::lock_guard lock(mutex_);
    event.at =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start_time_).count();
    if (const auto violation = monitor_.observe(event)) violations_.push_back(violation->description);
  }
  std::mutex mutex_;
  rules::AtMostOnceMonitor monitor_{class_settings()};
  std::vector<std::string> violations_;
  std::atomic<std::uint64_t> requests_received_{0};
  std::chrono::steady_clock::time_point start_time_ = std::chrono::steady_clock::now();
};

// An HTTP/1.1 client that reconnects after its connection has ended.
class HttpClient {
 public:
  explicit HttpClient(int port) : port_(static_cast<std::uint16_t>(port)) {}
  // Returns the status and sets `body`; 0 if the connection ended instead.
  int request(const std::string& cls, std::uint64_t id, const std::string& misbehave, std::string& body) {
    try {
      if (!socket_) {
        socket_.emplace(io_);
        socket_->connect({boost::asio::ip::address_v4::loopback(), port_});
        socket_->set_option(tcp::no_delay(true));
      }
      http::request<http::string_body> message(http::verb::get, "/items/" + std::to_string(id), 11);
      message.set("x-request-id", std::to_string(id));
      message.set("x-cometfold-class", cls);
      message.set("x-cometfold-plan", "team");
      message.set("x-cometfold-customer", "c" + std::to_string(id % 50));
      message.set("idempotency-key", std::to_string(id));
      if (!misbehave.empty()) message.set("x-misbehave", misbehave);
      message.prepare_payload();
      http::write(*socket_, message);
      boost::beast::flat_buffer buffer;
      http::response<http::string_body> response;
      http::read(*socket_, buffer, response);
      body = response.body();
      return static_cast<int>(response.result_int());
    } catch (const std::exception&) {
      socket_.reset();
      body.clear();
      return 0;
    }
  }

 private:
  std::uint16_t port_;
  boost::asio::io_context io_;
  std::optional<tcp::socket> socket_;
};

// Runs the gateway program as an external processor, with its configuration files in a temporary directory.
class Processor {
 public:
  Processor(const std::string& program, const std::vector<std::string>& hosts) {
    folder_ = std::filesystem::temp_directory_path() / ("cometfold-proxy-" + std::to_string(::getpid()));
    std::filesystem::create_directory(folder_);
    auto conf = config(list(7, true, hosts), 9);
    std::ofstream(folder_ / "config.json") << boost::json::serialize(conf);
    program_ = program;
    start();
  }
  ~Processor() { std::filesystem::remove_all(folder_); }
  int port() const { return port_; }
  // Kills the processor and restarts it at the same address.
  void kill_and_restart() {
    child_->signal(SIGKILL);
    child_->exit_code();
    start();
  }
  // Terminates the processor and returns its totals by name.
  std::map<std::string, std::uint64_t> stop() {
    child_->signal(SIGTERM);
    const auto line = child_->log_until("external processor totals: asked");
    std::map<std::string, std::uint64_t> totals;
    std::istringstream fields(line.substr(line.find("asked")));
    for (std::string field; fields >> field;) {
      const auto eq = field.find('=');
      totals[field.substr(0, eq)] = std::stoull(field.substr(eq + 1));
    }
    child_->exit_code();
    return totals;
  }

 private:
  void start() {
    std::ofstream(folder_ / "own.toml")
        << "[extproc]\nlisten = \"127.0.0.1:" << port_ << "\"\nrepeats = \"marked\"\n";
    child_ = std::make_unique<Child>(
        std::vector<std::string>{program_, "--settings", (folder_ / "own.toml").string()},
        std::vector<std::string>{"EDGE_NAME=n0", "EDGE_LISTEN=127.0.0.1:0", "EDGE_DISCOVERY=127.0.0.1:9",
                                 "EDGE_CONFIG=" + (folder_ / "config.json").string()});
    port_ = child_->logged_port("external processor is listening");
  }
  std::filesystem::path folder_;
  std::string program_;
  std::unique_ptr<Child> child_;
  int port_ = 0;
};

struct Setup {
  Setup(const std::string& program, const HttpFaults& faults) {
    std::vector<std::string> targets;
    for (HostId h = 1; h <= 4; ++h) {
      hosts.push_back(std::make_unique<HttpHost>(faults, h, checker.record_of(h)));
      targets.push_back(target("s-" + std::to_string(h), hosts.back()->port()));
    }
    // One listed host without a server: connections to it are refused.
    {
      Listener unreachable;
      targets.push_back(target("s-5", unreachable.port()));
    }
    processor = std::make_unique<Processor>(program, targets);
    other_host = std::make_unique<HttpHost>(HttpFaults{}, 9, checker.record_of(9));
    proxy = std::make_unique<Proxy>(ProxyOptions{
        .processor = processor->port(), .other_endpoint = "127.0.0.1:" + std::to_string(other_host->port())});
  }
  RuleChecker checker;
  std::vector<std::unique_ptr<HttpHost>> hosts;
  std::unique_ptr<HttpHost> other_host;
  std::unique_ptr<Processor> processor;
  std::unique_ptr<Proxy> proxy;
};

int tour(const std::string& program) {
  Setup setup(program, {});
  std::printf(
      "external processor on 127.0.0.1:%d, a proxy on 127.0.0.1:%d, four hosts and an unreachable one\n",
      setup.processor->port(), setup.proxy->port());
  HttpClient client(setup.proxy->port());
  std::uint64_t id = 0;
  bool passed = true;
  for (int round = 0; round < 4; ++round) {
    for (std::uint32_t c = 0; c < 3; ++c) {
      setup.checker.record_request(++id, c);
      std::string body;
      const int status = client.request(kClasses[c], id, "", body);
      std::printf("  GET /items/%-3llu class %-7s -> %d %s\n", static_cast<unsigned long long>(id),
                  kClasses[c], status, body.c_str());
      passed = passed && status != 0;
    }
  }
  std::string body;
  const int status = client.request("nope", ++id, "", body);
  std::printf("  an unknown class                -> %d %s\n", status, body.c_str());
  passed = passed && status == 400;
  const auto totals = setup.processor->stop();
  std::printf("the processor's totals:");
  for (const auto& [name, n] : totals) {
    if (n > 0) std::printf(" %s %llu", name.c_str(), static_cast<unsigned long long>(n));
  }
  std::printf("\n");
  return passed && setup.checker.violations().empty() ? 0 : 1;
}

int storm(const std::string& program, std::uint64_t requests, int threads, double misbehaving, int kills) {
  Setup setup(program, {.error = 0.03, .overloaded = 0.03, .disconnect = 0.02, .mean_ms = 0.5});
  std::atomic<std::uint64_t> next{0};
  std::mutex mutex;
  std::map<int, std::uint64_t> statuses;
  std::uint64_t mismatched = 0;
  const char* misbehaviours[] = {"cancel-asked", "cancel-decided", "half-close", "silent",
                                 "twice",        "elsewhere",      "stubborn"};
  const auto begin = std::chrono::steady_clock::now();
  {
    std::vector<std::jthread> clients;
    for (int t = 0; t < threads; ++t) {
      clients.emplace_back([&, t] {
        std::mt19937_64 random(static_cast<std::uint64_t>(t) + 1);
        HttpClient client(setup.proxy->port());
        for (;;) {
          const auto id = ++next;
          if (id > requests) return;
          const auto c = static_cast<std::uint32_t>(random() % 3);
          const bool misbehaves = static_cast<double>(random() % 10'000) < misbehaving * 10'000;
          setup.checker.record_request(id, c);
          std::string body;
          const int status =
              client.request(kClasses[c], id, misbehaves ? misbehaviours[random() % 7] : "", body);
          const std::lock_guard lock(mutex);
          ++statuses[status];
          if (status == 200 && body != "made for " + std::to_string(id)) ++mismatched;
        }
      });
    }
    // Kills are spread evenly over the requests.
    for (int k = 1; k <= kills; ++k) {
      const auto at = requests * static_cast<std::uint64_t>(k) / static_cast<std::uint64_t>(kills + 1);
      while (next < at) std::this_thread::sleep_for(std::chrono::milliseconds(1));
      setup.processor->kill_and_restart();
    }
  }
  const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  const auto& p = setup.proxy->totals();
  auto t = setup.processor->stop();
  std::printf("%llu requests in %.1f s; hosts received %llu\n", static_cast<unsigned long long>(requests),
              seconds, static_cast<unsigned long long>(setup.checker.requests_received()));
  std::printf("statuses:");
  for (const auto& [status, n] : statuses)
    std::printf(" %d: %llu", status, static_cast<unsigned long long>(n));
  std::printf("\n%-10s %9s %9s %9s %9s %9s %9s\n", "", "asked", "again", "named", "refused", "failed",
              "left");
  std::printf("%-10s %9llu %9llu %9llu %9llu %9llu %9llu\n", "proxy", (unsigned long long)p.asked,
              (unsigned long long)p.again, (unsigned long long)p.named, (unsigned long long)p.refused,
              (unsigned long long)p.failed, (unsigned long long)p.undecided);
  std::printf("%-10s %9llu %9llu %9llu %9llu %9llu %9llu\n", "processor", (unsigned long long)t["asked"],
              (unsigned long long)t["again"], (unsigned long long)t["named"],
              (unsigned long long)t["refused"], (unsigned long long)t["failed"],
              (unsigned long long)t["left"]);
  std::vector<std::string> failures = setup.checker.violations();
  const auto expect = [&](bool holds, const std::string& what) {
    if (!holds) failures.push_back(what);
  };
  expect(mismatched == 0, "responses that belong to other requests");
  expect(p.extra == 0, "a second decision for one call");
  if (kills > 0) {  // a killed processor loses its totals; the hosts' events are still checked
    std::printf("%d kills; %llu calls broke\n", kills, static_cast<unsigned long long>(p.broken));
  } else {
    expect(p.broken == 0, "calls without a decision");
    expect(p.asked + p.again == p.named + p.refused + p.failed + p.undecided,
           "the sum of the proxy's totals");
    expect(t["asked"] + t["again"] == t["named"] + t["refused"] + t["failed"] + t["left"],
           "the sum of the processor's totals");
    // The processor may or may not have read the headers of a call that was cancelled right after them.
    const auto unread = p.asked + p.again - t["asked"] - t["again"];
    expect(unread <= p.undecided, "request headers that the processor did not count");
    expect(t["named"] >= p.named && t["named"] - p.named <= p.undecided, "hosts named");
    expect(t["refused"] >= p.refused && t["refused"] - p.refused <= p.undecided, "refusals");
    expect(t["failed"] >= p.failed && t["failed"] - p.failed <= p.undecided, "failures");
  }
  for (std::size_t i = 0; i < failures.size() && i < 20; ++i) std::printf("WRONG: %s\n", failures[i].c_str());
  if (failures.empty()) {
    std::printf("%sno violation in the hosts' events\n", kills > 0 ? "" : "one decision per request; ");
  }
  return failures.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Runs the external processor with an emulated proxy and emulated hosts"};
  app.require_subcommand(1);
  std::string program;
  std::uint64_t requests = 100'000;
  int threads = 16;
  double misbehaving = 0.06;
  int kills = 0;
  auto* tour_command = app.add_subcommand("tour", "sends a few requests and prints the responses");
  tour_command->add_option("program", program)->required()->check(CLI::ExistingFile);
  auto* storm_command =
      app.add_subcommand("storm", "sends many requests under faults and checks the results");
  storm_command->add_option("program", program)->required()->check(CLI::ExistingFile);
  storm_command->add_option("--requests", requests);
  storm_command->add_option("--threads", threads);
  storm_command->add_option("--misbehaving", misbehaving,
                            "fraction of requests on which the proxy misbehaves");
  storm_command->add_option("--kills", kills, "how often the processor is killed and restarted");
  CLI11_PARSE(app, argc, argv);
  try {
    return tour_command->parsed() ? tour(program) : storm(program, requests, threads, misbehaving, kills);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "proxy-emulator: %s\n", error.what());
    return 1;
  }
}
