// Benchmarks the external processor against two baselines in one run: a bare nghttp2 echo server and a grpc++
// echo server. Each server runs on one core, with the same client on the other cores. Reports calls per
// second at saturation, latency from the intended start at a third of that rate, CPU time per call and memory
// per open stream.
//
// A call has the messages that a proxy exchanges for one request: request_headers, the decision,
// response_headers, its reply, half-close. The echo servers return each message unchanged.
#include <poll.h>
#include <sched.h>
#include <time.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <random>
#include <thread>
#include <vector>

#include "emulators/h2_peer.h"
#include "emulators/program.h"
#include "emulators/words.h"
#include "external_processor.pb.h"

namespace {

using namespace cometfold;
using namespace cometfold::emulators;
namespace pb = envoy::service::ext_proc::v3;
using Steady = std::chrono::steady_clock;

constexpr const char* kPath = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";

double seconds_since(Steady::time_point then) {
  return std::chrono::duration<double>(Steady::now() - then).count();
}

// The message that a proxy sends for a typical request.
std::string request_message() {
  pb::ProcessingRequest m;
  const std::pair<const char*, const char*> headers[] = {
      {":method", "GET"},
      {":path", "/items/4711?view=full"},
      {":scheme", "http"},
      {":authority", "shop.example"},
      {"user-agent", "Mozilla/5.0 (X11; Linux x86_64)"},
      {"accept", "text/html,application/xhtml+xml"},
      {"accept-encoding", "gzip, deflate, br"},
      {"x-forwarded-for", "192.0.2.17"},
      {"x-forwarded-proto", "http"},
      {"x-cometfold-class", "lookup"},
      {"x-cometfold-plan", "team"},
      {"x-cometfold-customer", "0000000000000007"},
      {"cookie", "session=0123456789abcdef0123456789abcdef"}};
  for (const auto& [name, value] : headers) {
    auto* h = m.mutable_request_headers()->mutable_headers()->add_headers();
    h->set_key(name);
    h->set_raw_value(value);
  }
  m.mutable_request_headers()->set_end_of_stream(true);
  return m.SerializeAsString();
}
std::string response_message() {
  pb::ProcessingRequest m;
  const std::pair<const char*, const char*> headers[] = {
      {":status", "200"},
      {"content-type", "text/html"},
      {"content-length", "5120"},
      {"endpoint-load-metrics", "TEXT cpu_utilization=0.4"}};
  for (const auto& [name, value] : headers) {
    auto* h = m.mutable_response_headers()->mutable_headers()->add_headers();
    h->set_key(name);
    h->set_raw_value(value);
  }
  return m.SerializeAsString();
}

void pin(int first, int last) {
  cpu_set_t set;
  CPU_ZERO(&set);
  for (int i = first; i <= last; ++i) CPU_SET(i, &set);
  ::sched_setaffinity(0, sizeof set, &set);
}

struct Result {
  std::uint64_t completed = 0, routed = 0, immediate_responses = 0, failed = 0;
  std::vector<float> latency_ms;
};

// One client thread, which distributes its calls over some connections.
class Driver {
 public:
  Driver(int port, int connections, std::uint64_t seed)
      : random_(seed), request_(request_message()), response_(response_message()) {
    for (int i = 0; i < connections; ++i) peers_.push_back(std::make_unique<H2Peer>(port));
  }

  // Keeps `in_flight` calls open for `seconds`.
  Result saturate(std::size_t in_flight, double seconds) {
    result_ = {};
    const auto begin = Steady::now();
    stop_at_ = begin + to_duration(seconds);
    closed_loop_ = true;
    for (std::size_t i = 0; i < in_flight; ++i) start_call(Steady::now());
    while (Steady::now() < stop_at_) poll_connections(1);
    closed_loop_ = false;
    const auto counted = result_;
    finish();
    return counted;
  }
  // Starts calls at `rate` per second, independently of the replies.
  Result open_loop(double rate, double seconds) {
    result_ = {};
    closed_loop_ = false;
    std::exponential_distribution<double> gap(rate);
    const auto begin = Steady::now();
    double next = gap(random_);
    while (next < seconds) {
      const double now = seconds_since(begin);
      while (next <= now && next < seconds) {
        start_call(begin + to_duration(next));
        next += gap(random_);
      }
      poll_connections(0);
    }
    finish();
    return result_;
  }
  // Opens `calls` calls and keeps them open after their decision.
  void hold_open(std::size_t calls) {
    keep_open_ = true;
    for (std::size_t i = 0; i < calls; ++i) {
      start_call(Steady::now());
      if (i % 50 == 0) poll_connections(0);
    }
    while (decided_ < calls) poll_connections(10);
  }

 private:
  struct Call : http2::grpc::ClientCallEvents {
    Call(Driver& d, Steady::time_point at) : driver(d), intended(at) {}
    void on_message(Ms, std::string_view message) override {
      if (++messages_received > 1) return call->half_close();
      ++driver.decided_;
      driver.result_.latency_ms.push_back(static_cast<float>(seconds_since(intended) * 1000));
      // An immediate response ends the call. Its field number is 7, that of a routed request's reply is 1.
      if (!message.empty() && message[0] == 0x3a) {
        ++driver.result_.immediate_responses;
        return;
      }
      ++driver.result_.routed;
      if (!driver.keep_open_) call->send(driver.response_);
    }
    void on_status(Ms, const http2::grpc::Status& status) override {
      --driver.open_calls_;
      if (status.code == http2::grpc::Code::kOk) {
        ++driver.result_.completed;
      } else {
        ++driver.result_.failed;
      }
      if (driver.closed_loop_) ++driver.calls_to_start_;
    }
    Driver& driver;
    Steady::time_point intended;
    http2::grpc::ClientCall* call = nullptr;
    int messages_received = 0;
  };

  static Steady::duration to_duration(double seconds) {
    return std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(seconds));
  }
  void start_call(Steady::time_point intended) {
    auto events = std::make_unique<Call>(*this, intended);
    Call* call = events.get();
    H2Peer& peer = *peers_[next_++ % peers_.size()];
    call->call = peer.call(kPath, std::move(events));
    if (!call->call) throw Hung("no stream could be opened");
    call->call->send(request_);
    ++open_calls_;
  }
  void poll_connections(int wait_ms) {
    std::vector<pollfd> fds;
    for (auto& p : peers_) {
      p->flush();
      fds.push_back({p->fd(), static_cast<short>(POLLIN | (p->blocked() ? POLLOUT : 0)), 0});
    }
    if (::poll(fds.data(), fds.size(), wait_ms) > 0) {
      for (std::size_t i = 0; i < fds.size(); ++i) {
        if ((fds[i].revents & POLLIN) && !peers_[i]->take())
          throw Hung("a connection was closed by the server");
      }
    }
    for (; calls_to_start_ > 0; --calls_to_start_) start_call(Steady::now());
  }
  void finish() {
    const auto begin = Steady::now();
    while (open_calls_ > 0 && seconds_since(begin) < 10) poll_connections(10);
  }

  std::mt19937_64 random_;
  std::string request_, response_;
  std::vector<std::unique_ptr<H2Peer>> peers_;
  Result result_;
  Steady::time_point stop_at_;
  std::size_t next_ = 0, open_calls_ = 0, calls_to_start_ = 0, decided_ = 0;
  bool closed_loop_ = false, keep_open_ = false;
};

// A server in its own process, pinned to the first core.
class ServerProcess {
 public:
  explicit ServerProcess(const std::vector<std::string>& command, const std::vector<std::string>& environment,
                         const std::string& ready) {
    pin(0, 0);
    child_ = std::make_unique<Child>(command, environment);
    pin(1, static_cast<int>(std::thread::hardware_concurrency()) - 1);
    port_ = child_->port_after(ready);
  }
  int port() const { return port_; }
  double cpu_seconds() const {
    clockid_t clock{};
    timespec t{};
    ::clock_getcpuclockid(child_->pid(), &clock);
    ::clock_gettime(clock, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
  }
  double resident_kb() const {
    std::ifstream status("/proc/" + std::to_string(child_->pid()) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmRSS:")) return std::stod(line.substr(6));
    }
    return 0;
  }

 private:
  std::unique_ptr<Child> child_;
  int port_ = 0;
};

double quantile(std::vector<float>& sorted, double q) {
  if (sorted.empty()) return 0;
  return sorted[std::min(sorted.size() - 1,
                         static_cast<std::size_t>(q * static_cast<double>(sorted.size())))];
}

struct Measurements {
  double saturated = 0, cpu_us = 0, p50 = 0, p99 = 0, p999 = 0, bytes_per_stream = 0, resident_kb = 0,
         open_mb = 0;
  double rate = 0;
  Result at_third;
};

struct Options {
  std::string program = "build/cometfold";
  double seconds = 5;
  int threads = 0;
  int connections = 4;
  std::size_t in_flight = 64, streams = 10'000;
};

Result run_on_all_threads(const Options& o, int port, const std::function<Result(Driver&, int)>& run) {
  std::vector<Result> results(static_cast<std::size_t>(o.threads));
  std::vector<std::thread> threads;
  for (int t = 0; t < o.threads; ++t) {
    threads.emplace_back([&, t] {
      Driver driver(port, o.connections, 77 + static_cast<std::uint64_t>(t));
      results[static_cast<std::size_t>(t)] = run(driver, t);
    });
  }
  for (auto& t : threads) t.join();
  Result sum;
  for (auto& r : results) {
    sum.completed += r.completed;
    sum.routed += r.routed;
    sum.immediate_responses += r.immediate_responses;
    sum.failed += r.failed;
    sum.latency_ms.insert(sum.latency_ms.end(), r.latency_ms.begin(), r.latency_ms.end());
  }
  std::sort(sum.latency_ms.begin(), sum.latency_ms.end());
  return sum;
}

Measurements measure(const Options& o, ServerProcess& target) {
  Measurements f;
  run_on_all_threads(o, target.port(), [&](Driver& d, int) { return d.saturate(o.in_flight, 1); });  // warm
  const double cpu = target.cpu_seconds();
  const auto full = run_on_all_threads(o, target.port(),
                                       [&](Driver& d, int) { return d.saturate(o.in_flight, o.seconds); });
  f.saturated = static_cast<double>(full.completed) / o.seconds;
  f.cpu_us = (target.cpu_seconds() - cpu) / static_cast<double>(full.completed) * 1e6;
  f.rate = f.saturated / 3;
  f.at_third = run_on_all_threads(o, target.port(),
                                  [&](Driver& d, int) { return d.open_loop(f.rate / o.threads, o.seconds); });
  f.p50 = quantile(f.at_third.latency_ms, 0.5);
  f.p99 = quantile(f.at_third.latency_ms, 0.99);
  f.p999 = quantile(f.at_third.latency_ms, 0.999);
  return f;
}

// Needs a fresh process: memory that was used before is not returned to the system.
void measure_memory(const Options& o, ServerProcess& target, Measurements& f) {
  {
    Driver warm_up(target.port(), o.connections, 5);
    warm_up.saturate(16, 0.2);
  }
  f.resident_kb = target.resident_kb();
  Driver driver(target.port(), o.connections, 6);
  driver.hold_open(o.streams);
  const double with_streams_kb = target.resident_kb();
  f.open_mb = with_streams_kb / 1024;
  f.bytes_per_stream = (with_streams_kb - f.resident_kb) * 1024 / static_cast<double>(o.streams);
}

// Opens attacking connections one after another, each as fast as the server accepts its bytes: stream resets,
// pings, half-open calls, large headers, bytes that are not HTTP/2.
class Attackers {
 public:
  explicit Attackers(int port) : port_(port), thread_([this](std::stop_token stop) { run(stop); }) {}
  std::uint64_t connections() const { return connections_; }

 private:
  static std::string frame(unsigned type, unsigned flags, std::uint32_t stream, const std::string& payload) {
    std::string out;
    for (int shift = 16; shift >= 0; shift -= 8) out += static_cast<char>(payload.size() >> shift & 0xff);
    out += static_cast<char>(type);
    out += static_cast<char>(flags);
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(stream >> shift & 0xff);
    return out + payload;
  }
  static std::string literal(const std::string& name, const std::string& value) {
    return std::string(1, '\0') + static_cast<char>(name.size()) + name + static_cast<char>(value.size()) +
           value;
  }
  void run(const std::stop_token& stop) {
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, "");
    const std::string call = literal(":method", "POST") + literal(":scheme", "http") +
                             literal(":path", kPath) + literal(":authority", "a") +
                             literal("content-type", "application/grpc");
    std::string resets = preface, pings = preface, half_open = preface, large = preface;
    for (std::uint32_t i = 0; i < 5000; ++i) {
      const auto id = 2 * i + 1;
      resets += frame(1, 4, id, call) + frame(3, 0, id, std::string("\0\0\0\10", 4));
      pings += frame(6, 0, 0, "12345678");
      half_open += frame(1, 4, id, call);
    }
    std::string large_headers = call;
    for (int i = 0; i < 60; ++i) large_headers += literal("x-" + std::to_string(i), std::string(120, 'v'));
    for (std::uint32_t i = 0; i < 200; ++i) large += frame(1, 4, 2 * i + 1, large_headers + large_headers);
    const std::string noise(200'000, 'x');
    const std::string* payloads[] = {&resets, &pings, &half_open, &large, &noise};
    for (std::size_t n = 0; !stop.stop_requested(); ++n) {
      try {
        auto peer = Peer::connect(port_);
        ++connections_;
        peer.send(*payloads[n % 5]);
      } catch (const Hung&) {  // the server closed the connection
      }
    }
  }
  int port_;
  std::atomic<std::uint64_t> connections_{0};
  std::jthread thread_;
};

// Measures the latency of a well-behaved proxy without and with concurrent attackers.
void measure_with_attackers(const Options& o, ServerProcess& target, double rate) {
  const auto measured = [&](const char* what) {
    const auto r = run_on_all_threads(
        o, target.port(), [&](Driver& d, int) { return d.open_loop(rate / o.threads, o.seconds); });
    auto latency = r.latency_ms;
    std::printf("%-28s %9.0f/s  p50 %.2f  p99 %.2f  p99.9 %.2f ms  failed %llu  resident %.1f MB\n", what,
                rate, quantile(latency, 0.5), quantile(latency, 0.99), quantile(latency, 0.999),
                static_cast<unsigned long long>(r.failed), target.resident_kb() / 1024);
  };
  measured("a well-behaved proxy alone");
  std::uint64_t attacks = 0;
  {
    Attackers attackers(target.port());
    measured("... with attackers");
    attacks = attackers.connections();
  }
  std::printf("%llu attacking connections\n", static_cast<unsigned long long>(attacks));
}

boost::json::object gateway_config() {
  std::vector<std::string> hosts;
  for (int i = 0; i < 8; ++i) hosts.push_back(target("s-" + std::to_string(i), 9100 + i));
  auto json = config(list(7, true, hosts), 9);
  json["limits"].as_object()["sockets"] = 1024;
  json["settings"].as_object()["packages"].as_array()[0].as_object()["quota_rate"] = 1e9;
  json["settings"].as_object()["packages"].as_array()[0].as_object()["burst"] = 1e9;
  json["settings"].as_object()["ceilings"].as_object()["max_open"] = 20'000;
  return json;
}

}  // namespace

int main(int argc, char** argv) {
  Options o;
  o.threads = std::max(1, static_cast<int>(std::thread::hardware_concurrency()) - 1);
  std::string http2_echo = "build/http2_echo", grpc_echo = "build/grpc_echo", only;
  double attack_rate = 0;
  CLI::App app{"Benchmarks the external processor against a bare nghttp2 echo and a grpc++ echo"};
  app.add_option("--program", o.program);
  app.add_option("--http2-echo", http2_echo);
  app.add_option("--grpc-echo", grpc_echo, "skipped if the file does not exist");
  app.add_option("--seconds", o.seconds);
  app.add_option("--threads", o.threads, "client threads");
  app.add_option("--connections", o.connections, "connections per thread");
  app.add_option("--in-flight", o.in_flight, "open calls per thread at saturation");
  app.add_option("--streams", o.streams, "streams kept open to measure memory");
  app.add_option("--only", only, "measure one server only: processor, http2 or grpc");
  app.add_option("--attackers-beside", attack_rate,
                 "measure only a well-behaved proxy at this rate, without and with attackers");
  CLI11_PARSE(app, argc, argv);

  const auto folder =
      std::filesystem::temp_directory_path() / ("extproc-bench-" + std::to_string(::getpid()));
  std::filesystem::create_directory(folder);
  std::ofstream(folder / "config.json") << boost::json::serialize(gateway_config());
  std::ofstream(folder / "own.toml") << "[extproc]\nlisten = \"127.0.0.1:0\"\n";
  const auto processor = [&] {
    return std::make_unique<ServerProcess>(
        std::vector<std::string>{o.program, "--settings", (folder / "own.toml").string()},
        std::vector<std::string>{"EDGE_NAME=n0", "EDGE_LISTEN=127.0.0.1:0", "EDGE_DISCOVERY=127.0.0.1:9",
                                 "EDGE_CONFIG=" + (folder / "config.json").string()},
        "external processor");
  };
  const auto echo = [&](const std::string& program) {
    return std::make_unique<ServerProcess>(std::vector<std::string>{program}, std::vector<std::string>{},
                                           "echo");
  };
  if (attack_rate > 0) {
    measure_with_attackers(o, *processor(), attack_rate);
    std::filesystem::remove_all(folder);
    return 0;
  }
  using Make = std::function<std::unique_ptr<ServerProcess>()>;
  std::vector<std::pair<std::string, Make>> targets{{"processor", processor},
                                                    {"http2", [&] { return echo(http2_echo); }}};
  if (std::filesystem::exists(grpc_echo)) targets.emplace_back("grpc", [&] { return echo(grpc_echo); });
  std::printf("%-10s %11s %9s %9s %8s %8s %9s %9s %10s %9s\n", "", "saturated/s", "us CPU", "offered/s",
              "p50 ms", "p99 ms", "p99.9 ms", "resident", "B/stream", "open MB");
  std::map<std::string, Measurements> all;
  for (const auto& [name, make] : targets) {
    if (!only.empty() && only != name) continue;
    Measurements f;
    {
      const auto target = make();
      f = measure(o, *target);
    }
    {
      const auto target = make();
      measure_memory(o, *target, f);
    }
    std::printf("%-10s %11.0f %9.1f %9.0f %8.2f %8.2f %9.2f %6.1f MB %10.0f %9.1f\n", name.c_str(),
                f.saturated, f.cpu_us, f.rate, f.p50, f.p99, f.p999, f.resident_kb / 1024, f.bytes_per_stream,
                f.open_mb);
    if (name == "processor" && f.at_third.immediate_responses + f.at_third.failed > 0) {
      std::printf("           of these %zu got an immediate response, %zu failed\n",
                  static_cast<std::size_t>(f.at_third.immediate_responses),
                  static_cast<std::size_t>(f.at_third.failed));
    }
    std::fflush(stdout);
    all[name] = f;
  }
  if (all.contains("processor")) {
    for (const auto& [name, f] : all) {
      if (name != "processor") {
        std::printf("processor / %-6s saturated %.2f   CPU %.2f   p99 %.2f\n", name.c_str(),
                    all["processor"].saturated / f.saturated, all["processor"].cpu_us / f.cpu_us,
                    all["processor"].p99 / f.p99);
      }
    }
  }
  std::filesystem::remove_all(folder);
}
