// Prints a fingerprint of all actions of the decision module in each scenario of scenarios.cpp, for several
// seeds. Two builds of the module with the same behaviour print the same lines.
//
//   action_stream [REQUESTS]      requests per scenario and seed, 6,000 by default
//
// Fingerprints are comparable on one machine only: the last bit of exp and pow may differ between processors.
#include <cstdint>
#include <cstdio>
#include <cstdlib>

#include "scenarios.h"
#include "simulated_day.h"

int main(int argc, char** argv) {
  constexpr std::size_t kRequests = 6'000;
  constexpr std::uint64_t kSeeds = 4;
  const std::size_t requests = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kRequests;
  for (const auto& scenario : action_stream::scenarios()) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      action_stream::SimulatedDay day(scenario, seed);
      day.run(requests);
      std::printf(
          "%.*s, seed %llu: %zu actions, %zu sends, %zu cancels, %zu rejections, %zu failures, %016llx\n",
          static_cast<int>(scenario.name.size()), scenario.name.data(), static_cast<unsigned long long>(seed),
          day.actions(), day.sends(), day.cancels(), day.rejections(), day.failures(),
          static_cast<unsigned long long>(day.fingerprint()));
    }
  }
}
