// The gateway under test: all state that a crash loses. Private to the implementation of World.
#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "engine/engine.h"
#include "explore/arbitrary_policy.h"
#include "explore/recording_policy.h"
#include "explore/world.h"
#include "resp/client_connection.h"
#include "resp/host_pool.h"
#include "resp/resp_handler.h"

namespace cometfold::explore {

struct World::Gateway {
  Gateway(World& world, const AdmissionSettings& settings);

  ArbitraryPolicy* arbitrary_policy = nullptr;  // null if the scenario has the real policy
  std::unique_ptr<RecordingPolicy> policy;
  resp::HostPool pool;
  engine::Engine engine;
  resp::RespHandler handler;
  resp::ClientTotals totals;
  std::map<std::uint64_t, std::shared_ptr<resp::ClientConnection>> clients;  // by connection

 private:
  std::unique_ptr<RecordingPolicy> make_policy(World& world, const AdmissionSettings& settings);
};

}  // namespace cometfold::explore
