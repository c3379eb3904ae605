// The view of the cluster for operators: members as JSON, and metrics. Without I/O.
#pragma once

#include <cstdint>
#include <string>

#include "membership/membership.h"
#include "membership/wire.h"
#include "ops/metrics.h"

namespace cometfold::net {

// Counters since the start of the process.
struct PeerTraffic {
  std::uint64_t datagrams_in = 0;
  std::uint64_t datagrams_out = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t unsent = 0;
  // Datagrams that were dropped, by reason.
  std::uint64_t foreign = 0;
  std::uint64_t version_mismatch = 0;
  std::uint64_t checksum_mismatch = 0;
  std::uint64_t malformed = 0;

  // Counts a dropped datagram by reason; no error counts nothing.
  void count(membership::DecodeError error);
};

// One line, with its newline. `name`: of this gateway.
std::string members_json(membership::Membership& membership, const std::string& name, Ms now);
ops::PeerMetrics peer_metrics(membership::Membership& membership, const PeerTraffic& traffic, Ms now);

}  // namespace cometfold::net
