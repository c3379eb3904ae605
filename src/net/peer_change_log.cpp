#include "net/peer_change_log.h"

#include <boost/json.hpp>
#include <chrono>
#include <string_view>
#include <utility>

#include "net/event_log.h"

namespace cometfold::net {
namespace json = boost::json;
using membership::ConnectivityState;
using membership::MembershipEvent;
using membership::MemberState;

namespace {

constexpr auto kAggregationInterval = std::chrono::milliseconds(500);
constexpr std::size_t kMaxNames = 8;

// By MembershipEvent::Kind.
constexpr std::string_view kEventNames[] = {"member",        "standing",           "new_start",
                                            "name_conflict", "name_conflict_over", "was_stopped"};

LogLevel level_of(const MembershipEvent& event, ConnectivityState connectivity) {
  const bool is_recovery =
      event.kind == MembershipEvent::kNameConflictResolved ||
      (event.kind == MembershipEvent::kConnectivityChanged && connectivity == ConnectivityState::kConnected);
  return is_recovery ? LogLevel::kInfo : LogLevel::kWarning;
}

}  // namespace

PeerChangeLog::PeerChangeLog(boost::asio::io_context& io, std::string name)
    : name_(std::move(name)), timer_(io) {}

void PeerChangeLog::record(const MembershipEvent& event, ConnectivityState connectivity) {
  if (event.kind != MembershipEvent::kMemberChanged) {
    return log_event(level_of(event, connectivity), kEventNames[event.kind],
                     {{"name", name_}, {"start", event.incarnation}, {"detail", event.detail}});
  }
  const auto state = static_cast<std::size_t>(event.state);
  ++change_counts_[state];
  if (member_names_[state].size() < kMaxNames) member_names_[state].push_back(event.name);
  if (std::exchange(is_scheduled_, true)) return;
  timer_.expires_after(kAggregationInterval);
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) log_member_changes();
  });
}

void PeerChangeLog::log_member_changes() {
  is_scheduled_ = false;
  json::object fields{{"name", name_}};
  for (std::size_t i = 0; i < kStates; ++i) {
    if (change_counts_[i] == 0) continue;
    const std::string state(membership::name_of(static_cast<MemberState>(i)));
    fields[state] = change_counts_[i];
    fields[state + "_names"] = json::value_from(member_names_[i]);
    change_counts_[i] = 0;
    member_names_[i].clear();
  }
  log_event(LogLevel::kInfo, "members", std::move(fields));
}

}  // namespace cometfold::net
