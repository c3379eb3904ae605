// From which number of gateways on a single one sees too little of a customer or a host to judge it alone.
#pragma once

namespace cometfold::admission {

inline constexpr double kSmallFleetGateways = 8;

inline bool is_large_fleet(double gateway_count) { return gateway_count > kSmallFleetGateways; }

}  // namespace cometfold::admission
