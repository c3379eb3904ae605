// In a large fleet a single gateway sees too few requests of a customer or a host to judge it by them alone.
#pragma once

namespace cometfold::admission {

inline constexpr double kSmallFleetGateways = 8;

inline bool is_large_fleet(double gateway_count) { return gateway_count > kSmallFleetGateways; }

}  // namespace cometfold::admission
