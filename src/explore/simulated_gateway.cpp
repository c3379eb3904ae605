#include "explore/simulated_gateway.h"

#include <string>
#include <utility>

#include "engine/controller_policy.h"
#include "explore/world_settings.h"

namespace cometfold::explore {

namespace {

constexpr std::uint64_t kPolicySeed = 7;

constexpr resp::HostPoolLimits kPoolLimits{.connect_timeout_ms = kConnectTimeoutMs,
                                           .max_connections = 8,
                                           .max_connections_per_host = 4,
                                           .reuse_delay_ms = kReuseDelayMs};
constexpr engine::EngineLimits kEngineLimits{.max_open_requests = 10,
                                             .max_payload_bytes = 1000,
                                             .deadline_margin_ms = 0,
                                             .shutdown_timeout_ms = kShutdownTimeoutMs};

}  // namespace

World::Gateway::Gateway(World& world, const AdmissionSettings& settings)
    : policy(make_policy(world, settings)),
      pool(world, world, kPoolLimits,
           [&world](std::string_view what, std::string_view detail) {
             world.log("  pool: " + std::string(what) + ", " + std::string(detail));
           }),
      engine(*policy, pool, kEngineLimits,
             [&world](std::string_view what, std::string_view detail) {
               world.log("  engine: " + std::string(what) + " " + std::string(detail));
             }),
      handler(engine, world,
              {{"safe", "keyed", "unsafe"},
               {"team"},
               {Idempotency::kIdempotent, Idempotency::kIdempotencyKey, Idempotency::kNonIdempotent},
               1,
               4}) {}

std::unique_ptr<World::RecordingPolicy> World::Gateway::make_policy(World& world,
                                                                    const AdmissionSettings& settings) {
  if (world.scenario_.real_policy) {
    auto real = std::make_unique<engine::ControllerPolicy>(settings, kPolicySeed);
    return std::make_unique<RecordingPolicy>(world, std::move(real));
  }
  auto arbitrary = std::make_unique<ArbitraryPolicy>(world);
  arbitrary_policy = arbitrary.get();
  return std::make_unique<RecordingPolicy>(world, std::move(arbitrary));
}

}  // namespace cometfold::explore
