// Runs the gateway program as a child process, with scripted peers on loopback.
#pragma once

#include <gtest/gtest.h>
#include <sys/wait.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "emulators/peer.h"
#include "emulators/program.h"
#include "emulators/words.h"

namespace cometfold::net::testing {

using namespace emulators;

class Program : public emulators::Program {
 public:
  explicit Program(const boost::json::object& conf, std::vector<std::string> environment = {})
      : emulators::Program(COMETFOLD_PROGRAM, conf, {}, std::move(environment)) {}
  Program(const boost::json::object& conf, std::vector<std::string> arguments,
          std::vector<std::string> environment)
      : emulators::Program(COMETFOLD_PROGRAM, conf, std::move(arguments), std::move(environment)) {}
};

// Suspends a gateway's process (SIGSTOP) for the lifetime of this object.
class Stopped {
 public:
  explicit Stopped(const Program& program) : pid_(program.pid()) {
    ::kill(pid_, SIGSTOP);
    int status = 0;
    ::waitpid(pid_, &status, WUNTRACED);
  }
  ~Stopped() { ::kill(pid_, SIGCONT); }
  Stopped(const Stopped&) = delete;
  Stopped& operator=(const Stopped&) = delete;
  // Waits until all timers of up to this duration are overdue.
  void outlast(std::chrono::milliseconds timers) const {
    std::this_thread::sleep_for(timers + std::chrono::milliseconds(150));
  }

 private:
  pid_t pid_;
};

}  // namespace cometfold::net::testing
