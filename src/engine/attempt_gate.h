// Enforces cometfold/attempt_rules.h on attempts and rejections, whatever the policy decides.
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

  // The settings apply to requests that are accepted from now on. Until the first call only deadlines,
  // replies and the host list are enforced.
  void update_settings(const AdmissionSettings& settings) { settings_ = settings; }
  void update_hosts(HostListUpdate kind, std::span<const HostEntry> entries);
  std::optional<ClassSettings> class_settings(std::uint32_t class_index) const;
  // The host as currently listed; default values if it takes no new requests.
  ListedHost listed_host(HostId host) const;

  // Whether the request's other attempts permit this one. If this attempt still awaits its first byte, others
  // that do so too are not counted: whichever is written later is checked against the one written first.
  // Otherwise they are counted, as they may still be written.
  AttemptVerdict check_retry(Ms now, const PendingRequest& request, std::uint32_t attempt) const;
  // Whether the attempt's first byte may be written now.
  AttemptVerdict check_first_byte(Ms now, const PendingRequest& request, std::uint32_t attempt) const;
  bool allows_rejection(const PendingRequest& request) const;

 private:
  std::optional<AdmissionSettings> settings_;
  std::unordered_map<HostId, ListedHost> ready_hosts_;
};

}  // namespace cometfold::engine
