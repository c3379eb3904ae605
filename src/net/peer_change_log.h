// Logs membership events. Changes of members are combined into one line per half second, other events are
// logged at once.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/membership.h"

namespace cometfold::net {

class PeerChangeLog {
 public:
  // `name`: of this gateway.
  PeerChangeLog(boost::asio::io_context& io, std::string name);

  // `connectivity`: of this gateway, after the event.
  void record(const membership::MembershipEvent& event, membership::ConnectivityState connectivity);

 private:
  static constexpr std::size_t kStates = 4;  // of membership::MemberState

  void log_member_changes();

  std::string name_;
  boost::asio::steady_timer timer_;
  bool is_scheduled_ = false;
  // Since the last line, by the new state.
  std::array<std::uint64_t, kStates> change_counts_{};
  std::array<std::vector<std::string>, kStates> member_names_;  // only the first few per state
};

}  // namespace cometfold::net
