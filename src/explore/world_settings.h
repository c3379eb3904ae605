// The fixed settings of World, and the bytes and host entries that its simulated peers send.
#pragma once

#include <string>

#include "cometfold/admission_controller.h"
#include "explore/scenario.h"
#include "rules/rule_monitors.h"

namespace cometfold::explore {

inline constexpr Ms kConnectTimeoutMs = 120;
inline constexpr Ms kReuseDelayMs = 25;
inline constexpr Ms kShutdownTimeoutMs = 150;
inline constexpr HostId kFirstHost = 1;
inline constexpr rules::GatewayId kGatewayId = 1;

// The name of a class on the wire. There is one class for each kind of idempotency, in the order of the
// enumerators.
const char* class_name(Idempotency idempotency);
AdmissionSettings settings_of(const Scenario& scenario);
// Replies and drains need no slack for scheduling delays in simulated time, only for rounding.
rules::RuleMonitors::Tolerances exact_tolerances();
// A host's reply with this value.
std::string reply_bytes(const std::string& value);
// The entry of a host in the host list. The host's cell is `id`, and its address follows from the cell.
HostEntry host_entry(HostId id, HostState state, Ms started_at = 0);

}  // namespace cometfold::explore
