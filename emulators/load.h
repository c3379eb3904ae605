// Open-loop load generator: requests start at fixed times, independent of earlier replies, and latency is
// measured from the intended start. A stall of the gateway thus counts in the latency of every request that
// was due meanwhile.
#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cometfold::emulators {

struct LoadPlan {
  double rate = 500;  // requests per second, evenly spaced
  double seconds = 5;
  double warm_up = 1;             // seconds of load before the measurement
  std::size_t connections = 200;  // maximum; one request at a time on each
  std::size_t customers = 50;
  double timeout_ms = 1000;                    // sent as `d`, the deadline
  std::vector<std::string> classes{"lookup"};  // in rotation; lookup is a query, the others are submits
};

struct LoadResult {
  std::uint64_t offered = 0, served = 0, refused = 0, failed = 0, unanswered = 0, mismatched = 0;
  std::uint64_t not_sent = 0;      // no connection available; also counted in `failed`
  std::vector<double> latency_ms;  // of served requests, sorted
  double seconds = 0;
  double percentile(double fraction) const;  // of the latency in ms; 0 if nothing was served
};

// Blocks until the load has ended; runs an event loop of its own. `at_begin` and `at_end` are called at the
// start and at the end of the measured part.
LoadResult run_load(int port, const LoadPlan& plan, const std::function<void()>& at_begin = {},
                    const std::function<void()>& at_end = {});

}  // namespace cometfold::emulators
