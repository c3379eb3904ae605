// Clients in an open loop: each request has an intended start, whatever has become of those before it, and
// its latency counts from there; so a gateway that stalls is charged for all that should have begun
// meanwhile.
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
  double rate = 500;  // requests a second, evenly spaced
  double seconds = 5;
  double warm_up = 1;             // seconds at the start that are played and not counted
  std::size_t connections = 200;  // at most; one request at a time on each
  std::size_t customers = 50;
  double timeout_ms = 1000;                    // told as `d`; a request without an answer by then has failed
  std::vector<std::string> classes{"lookup"};  // by turns; lookup is a query, others are submitted
};

struct LoadResult {
  std::uint64_t offered = 0, served = 0, refused = 0, failed = 0, unanswered = 0, mismatched = 0;
  std::uint64_t not_sent = 0;      // no connection was free: counted among the failed
  std::vector<double> latency_ms;  // of those served, sorted
  double seconds = 0;
  double percentile(double fraction) const;  // of the latency, in ms; 0 if nothing was served
};

// Runs to its end on an event loop of its own. `at_begin` and `at_end` are called round the part that counts.
LoadResult run_load(int port, const LoadPlan& plan, const std::function<void()>& at_begin = {},
                    const std::function<void()>& at_end = {});

}  // namespace cometfold::emulators
