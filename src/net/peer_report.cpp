#include "net/peer_report.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <cstddef>
#include <utility>

namespace cometfold::net {
namespace json = boost::json;
using membership::DecodeError;
using membership::MemberState;

namespace {

constexpr std::size_t kMemberStates = 4;
constexpr double kRoundTripResolution = 100;  // steps per millisecond
constexpr double kLossResolution = 1000;

std::int64_t whole_ms(double ms) { return std::llround(std::max(0.0, ms)); }

template <class Member>
json::object member_json(const Member& member, Ms now) {
  json::object object{{"name", member.name},
                      {"address", member.address},
                      {"start", member.incarnation},
                      {"state", membership::name_of(member.state)},
                      {"since_ms", whole_ms(now - member.since)}};
  if (!member.reported_by.empty()) object["by"] = member.reported_by;
  if (member.round_trip_ms) {
    object["round_trip_ms"] = std::round(*member.round_trip_ms * kRoundTripResolution) / kRoundTripResolution;
  }
  if (member.loss_rate) object["loss"] = std::round(*member.loss_rate * kLossResolution) / kLossResolution;
  return object;
}

}  // namespace

void PeerTraffic::count(DecodeError error) {
  foreign += error == DecodeError::kForeign;
  version_mismatch += error == DecodeError::kVersionMismatch;
  checksum_mismatch += error == DecodeError::kChecksumMismatch;
  malformed += error == DecodeError::kMalformed;
}

std::string members_json(membership::Membership& membership, const std::string& name, Ms now) {
  json::array members;
  for (const auto& member : membership.members(now)) members.push_back(member_json(member, now));
  json::object report{{"name", name},
                      {"start", membership.self().incarnation},
                      {"standing", membership::name_of(membership.connectivity())},
                      {"standing_since_ms", whole_ms(now - membership.connectivity_since())},
                      {"starved", membership.recently_paused(now)},
                      {"digest", membership.digest()}};
  if (!membership.conflicting_address().empty()) {
    report["conflict"] = json::object{{"address", membership.conflicting_address()}};
  }
  report["members"] = std::move(members);
  return json::serialize(report) + "\n";
}

ops::PeerMetrics peer_metrics(membership::Membership& membership, const PeerTraffic& traffic, Ms now) {
  const auto& counts = membership.metrics();
  ops::PeerMetrics metrics;
  metrics.gauges.emplace_back("standing", static_cast<std::uint64_t>(membership.connectivity()));
  std::array<std::uint64_t, kMemberStates> members_by_state{};
  for (const auto& member : membership.members(now)) {
    ++members_by_state[static_cast<std::size_t>(member.state)];
  }
  for (std::size_t i = 0; i < kMemberStates; ++i) {
    const std::string state(membership::name_of(static_cast<MemberState>(i)));
    metrics.gauges.emplace_back("members." + state, members_by_state[i]);
  }
  metrics.gauges.emplace_back("memory_bytes", membership.memory_bytes());
  metrics.counts = {{"datagrams_in", traffic.datagrams_in},
                    {"datagrams_out", traffic.datagrams_out},
                    {"bytes_in", traffic.bytes_in},
                    {"bytes_out", traffic.bytes_out},
                    {"unsent", traffic.unsent},
                    {"held_back", counts.rate_limited},
                    {"dropped.foreign", traffic.foreign},
                    {"dropped.version", traffic.version_mismatch},
                    {"dropped.spoilt", traffic.checksum_mismatch},
                    {"dropped.malformed", traffic.malformed},
                    {"stale", counts.stale_messages},
                    {"refused", counts.rejected_members},
                    {"accused", counts.suspicions_raised},
                    {"withdrawn", counts.suspicions_withdrawn},
                    {"judged", counts.members_failed},
                    {"called_failed", counts.incarnations_raised},
                    {"syncs", counts.syncs}};
  return metrics;
}

}  // namespace cometfold::net
