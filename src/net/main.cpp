// The main program of the gateway: command line, environment, signals, event loop and exit code.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <optional>
#include <string>

#include "extproc/outcomes.h"
#include "net/clock.h"
#include "net/config.h"
#include "net/gateway.h"
#include "net/log.h"

namespace {

using namespace cometfold::net;
namespace extproc = cometfold::extproc;

// The soft limit on descriptors may be lower than what the configuration allows.
void raise_descriptor_limit(std::size_t descriptors) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, std::max<rlim_t>(limit.rlim_cur, descriptors));
  setrlimit(RLIMIT_NOFILE, &limit);
}

// A batch is what one handler processes: all commands of one read, or all timers that have expired. Batching
// several handlers would cost a system call after each one to check for more.
//
// An exception in one handler must not lose all other requests: the data structures stay consistent, and each
// request keeps the timer of its deadline.
void run(boost::asio::io_context& io, Clock& clock) {
  while (!io.stopped()) {
    try {
      clock.new_batch();
      if (io.run_one() == 0) return;
    } catch (const std::exception& error) {
      log_line("unhandled exception in an event handler", error.what());
    } catch (...) {
      log_line("unhandled exception in an event handler");
    }
  }
}

const char* get_variable(const char* name) { return std::getenv(name); }

// The options of the command line. Without --check-config or --outcomes the program serves.
struct Options {
  std::string settings_path;
  std::string config_path;  // of --check-config
  bool print_outcomes = false;
};

// Adds the gateway's own settings, if there is a file of them, and checks and applies their attempt limits.
Config with_gateway_settings(Config config, const Options& options) {
  if (!options.settings_path.empty()) config.gateway_settings = load_gateway_settings(options.settings_path);
  apply_attempt_limits(config);
  return config;
}

// SIGHUP reloads the files. A file that can't be used must not end a serving process.
void await_reload(boost::asio::signal_set& hangups, Gateway& gateway, const Options& options) {
  hangups.async_wait([&](boost::system::error_code cancelled, int) {
    if (cancelled) return;
    await_reload(hangups, gateway, options);
    try {
      gateway.reload(with_gateway_settings(reload_config(get_variable), options));
      log_line("configuration reloaded");
    } catch (const std::exception& error) {
      gateway.on_reload_failed();
      log_line("configuration reload failed, the previous configuration is kept", error.what());
    }
  });
}

int check_config(const Options& options) {
  try {
    const Config config = with_gateway_settings(load_config_file(options.config_path), options);
    if (config.gateway_settings.processor_address) {
      extproc::validate(config.gateway_settings.processor, processor_names(config));
    }
    std::printf("%s: good: %zu classes, %zu plans, %zu hosts known\n", options.config_path.c_str(),
                config.class_names.size(), config.plan_names.size(), config.cached_hosts.hosts.size());
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}

int print_outcomes(const Options& options) {
  try {
    GatewaySettings settings;
    if (!options.settings_path.empty()) settings = load_gateway_settings(options.settings_path);
    std::printf("%s", extproc::outcome_table(settings.processor.not_executed_statuses).c_str());
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}

// Signals that arrive during the lifetime of this object stay pending until its end, so that none is lost
// before handlers are installed: the configuration may be rewritten while this process starts.
class BlockedSignals {
 public:
  BlockedSignals() {
    sigset_t blocked;
    sigemptyset(&blocked);
    sigaddset(&blocked, SIGHUP);
    sigaddset(&blocked, SIGTERM);
    sigaddset(&blocked, SIGINT);
    pthread_sigmask(SIG_BLOCK, &blocked, &previous_mask_);
  }
  ~BlockedSignals() { pthread_sigmask(SIG_SETMASK, &previous_mask_, nullptr); }
  BlockedSignals(const BlockedSignals&) = delete;
  BlockedSignals& operator=(const BlockedSignals&) = delete;

 private:
  sigset_t previous_mask_;
};

int serve(const Options& options) {
  std::signal(SIGPIPE, SIG_IGN);
  auto blocked = std::make_optional<BlockedSignals>();
  const Config config = with_gateway_settings(load_config(get_variable), options);
  raise_descriptor_limit(config.max_descriptors);
  boost::asio::io_context io(1);
  Clock clock;
  Gateway gateway(io, clock, config, [&io] { io.stop(); });
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&gateway](boost::system::error_code error, int) {
    if (!error) gateway.stop();
  });
  boost::asio::signal_set hangups(io, SIGHUP);
  await_reload(hangups, gateway, options);
  blocked.reset();
  gateway.start();
  const auto address = gateway.address();
  log_line("ready: " + config.name, address.address().to_string() + ":" + std::to_string(address.port()));
  run(io, clock);
  log_line("stopped", config.name);
  return 0;
}

// Returns the exit code.
int run_command(int argc, char** argv) {
  Options options;
  if (argc > 1) {
    CLI::App app{
        "API gateway between RESP2 clients and hosts. It takes its configuration from "
        "EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONFIG."};
    app.set_version_flag("--version", "cometfold " COMETFOLD_VERSION);
    app.add_option("--settings", options.settings_path,
                   "file with the gateway's own settings, such as deploy/cometfold.toml");
    app.add_option("--check-config", options.config_path, "check a configuration file and exit");
    app.add_flag("--outcomes", options.print_outcomes,
                 "print which outcome each report of a proxy maps to, and exit");
    CLI11_PARSE(app, argc, argv);
  }
  if (options.print_outcomes) return print_outcomes(options);
  if (!options.config_path.empty()) return check_config(options);
  return serve(options);
}

// Logs an exception that ends the program, as one line.
void log_start_failure(const std::exception& error) noexcept {
  try {
    log_line("cometfold can't start", error.what());
  } catch (const std::exception&) {  // out of memory for the line: only the exit code reports the failure
  }
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run_command(argc, argv);
  } catch (const std::exception& error) {
    log_start_failure(error);
    return 1;
  }
}
