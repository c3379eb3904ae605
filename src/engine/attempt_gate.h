// Holds attempts and rejections to cometfold/attempt_rules.h, whatever the policy decides.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

#include "cometfold/attempt_rules.h"
#include "engine/request_table.h"

namespace cometfold::engine {

class AttemptGate {
 public:
  struct ListedHost {
    Ms started_at = 0;
    HostLocation location;
  };

  // The settings bind requests that are accepted from now on. Without settings only deadlines, replies and
  // the host list bind.
  void update_settings(const AdmissionSettings& settings) { settings_ = settings; }
  void update_hosts(HostListUpdate kind, std::span<const HostEntry> entries);
  std::optional<ClassSettings> class_settings(std::uint32_t class_index) const;
  // The host as listed now; default values if it takes no new requests.
  ListedHost listed_host(HostId host) const;

  // Whether the request's other attempts permit this one. Other attempts that await their first byte count
  // only if this one does not: an attempt may not rely on another's never being written.
  AttemptVerdict check_retry(Ms now, const PendingRequest& request, std::uint32_t attempt) const;
  // Whether the attempt's first byte may be written now.
  AttemptVerdict check_first_byte(Ms now, const PendingRequest& request, std::uint32_t attempt) const;
  bool allows_rejection(const PendingRequest& request) const;

 private:
  std::optional<AdmissionSettings> settings_;
  std::unordered_map<HostId, ListedHost> ready_hosts_;
};

}  // namespace cometfold::engine
