// The fixed settings of a simulated world, and the bytes and entries that its peers use.
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

// The wire's name of a class: one class for each kind of idempotency, in the order of the enumerators.
const char* class_name(Idempotency idempotency);
AdmissionSettings settings_of(const Scenario& scenario);
// In simulated time nothing is late but through rounding.
rules::RuleMonitors::Tolerances exact_tolerances();
// A host's reply with this value.
std::string reply_bytes(const std::string& value);
// A host whose address follows from its cell.
HostEntry host_entry(HostId id, HostState state, Ms started_at = 0);

}  // namespace cometfold::explore
