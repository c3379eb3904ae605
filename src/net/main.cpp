// The real api gateway: environment, signals, the event loop and the exit code.
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

// The soft limit on descriptors may lie under what the configuration grants.
void raise_descriptor_limit(std::size_t sockets) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, std::max<rlim_t>(limit.rlim_cur, sockets));
  setrlimit(RLIMIT_NOFILE, &limit);
}

// A batch is what one handler finds: all commands of one read, or all timers that are due. Taking several
// handlers for one batch would need a look for more after each, which is a system call.
//
// Danger: an exception out of one handler would end the program and lose all that it has taken. The tables
// stay whole, each request keeps the timer of its deadline, and the loop goes on.
void run(boost::asio::io_context& io, Clock& clock) {
  while (!io.stopped()) {
    try {
      clock.new_batch();
      if (io.run_one() == 0) return;
    } catch (const std::exception& error) {
      log_line("a handler threw", error.what());
    } catch (...) {
      log_line("a handler threw");
    }
  }
}

const char* variable(const char* name) { return std::getenv(name); }

// What the command line asks for; by default what the platform starts.
struct Options {
  std::string settings;
  std::string check;
  bool outcomes = false;
};

// With the gateway's own settings, if there are some, and their limits proved.
Config with_own_settings(Config config, const Options& options) {
  if (!options.settings.empty()) config.own = read_own_settings(options.settings);
  use_limits(config);
  return config;
}

// SIGHUP: the files have changed. Danger: a file that can't be read must not end a gateway that serves.
void await_reload(boost::asio::signal_set& hangups, Gateway& gateway, const Options& options) {
  hangups.async_wait([&](boost::system::error_code error, int) {
    if (error) return;
    await_reload(hangups, gateway, options);
    try {
      gateway.reload(with_own_settings(reload_config(variable), options));
      log_line("configuration read again");
    } catch (const std::exception& bad) {
      gateway.reload_failed();
      log_line("the new configuration is bad, the old one is kept", bad.what());
    }
  });
}

int check_config(const Options& options) {
  try {
    const Config config = with_own_settings(read_config_file(options.check), options);
    if (config.own.processor_at) extproc::validate(config.own.processor, processor_names(config));
    std::printf("%s: good: %zu classes, %zu plans, %zu hosts known\n", options.check.c_str(),
                config.class_names.size(), config.plan_names.size(), config.known.hosts.size());
    return 0;
  } catch (const std::exception& bad) {
    std::fprintf(stderr, "%s\n", bad.what());
    return 1;
  }
}

int print_outcomes(const Options& options) {
  try {
    OwnSettings own;
    if (!options.settings.empty()) own = read_own_settings(options.settings);
    std::printf("%s", extproc::outcome_table(own.processor.not_executed_statuses).c_str());
    return 0;
  } catch (const std::exception& bad) {
    std::fprintf(stderr, "%s\n", bad.what());
    return 1;
  }
}

// Signals that come while it exists wait until it is gone. Danger: ignored until there is something to
// reload, the signal of a configuration that is written while this process starts would be lost, and with it
// the address where discovery is from now on.
class HeldSignals {
 public:
  HeldSignals() {
    sigset_t held;
    sigemptyset(&held);
    sigaddset(&held, SIGHUP);
    sigaddset(&held, SIGTERM);
    sigaddset(&held, SIGINT);
    pthread_sigmask(SIG_BLOCK, &held, &before_);
  }
  ~HeldSignals() { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }
  HeldSignals(const HeldSignals&) = delete;
  HeldSignals& operator=(const HeldSignals&) = delete;

 private:
  sigset_t before_;
};

int serve(const Options& options) {
  std::signal(SIGPIPE, SIG_IGN);
  auto held = std::make_optional<HeldSignals>();
  const Config config = with_own_settings(load_config(variable), options);
  raise_descriptor_limit(config.sockets);
  boost::asio::io_context io(1);
  Clock clock;
  Gateway gateway(io, clock, config, [&io] { io.stop(); });
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&gateway](boost::system::error_code error, int) {
    if (!error) gateway.stop();
  });
  boost::asio::signal_set hangups(io, SIGHUP);
  await_reload(hangups, gateway, options);
  held.reset();
  gateway.start();
  const auto at = gateway.address();
  log_line("ready: " + config.name, at.address().to_string() + ":" + std::to_string(at.port()));
  run(io, clock);
  log_line("stopped", config.name);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  if (argc > 1) {
    CLI::App app{
        "An api gateway between RESP2 clients and hosts. Without arguments it serves as EDGE_NAME, "
        "EDGE_LISTEN, EDGE_DISCOVERY and EDGE_CONFIG say."};
    app.set_version_flag("--version", "cometfold " COMETFOLD_VERSION);
    app.add_option("--settings", options.settings, "the gateway's own settings, as deploy/cometfold.toml");
    app.add_option("--check-config", options.check, "say whether a configuration is good, and end");
    app.add_flag("--outcomes", options.outcomes, "print how a proxy's reports are read, and end");
    CLI11_PARSE(app, argc, argv);
  }
  if (options.outcomes) return print_outcomes(options);
  if (!options.check.empty()) return check_config(options);
  try {
    return serve(options);
  } catch (const std::exception& error) {
    log_line("cometfold can't start", error.what());
    return 1;
  }
}
