// Rule "no effect twice": a request that may have been executed is retried, or rejected, only as its class
// permits. Also bounds the attempts of one request, in total and in flight.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "rules/monitor.h"

namespace cometfold::rules {

class AtMostOnceMonitor : public Monitor {
 public:
  explicit AtMostOnceMonitor(const AdmissionSettings& settings) : settings_(settings) {}
  std::optional<Violation> observe(const Event& event) override;
  void digest(engine::Digest& into) const override;

 private:
  struct Attempt {
    std::uint64_t connection = 0;
    HostId host = 0;
    Ms sent_at = 0;
    bool in_flight = true;
    bool may_have_executed = true;
  };
  struct Request {
    std::uint32_t class_index = 0;
    std::vector<Attempt> attempts;
  };
  bool in_same_scope(IdempotencyScope scope, HostId first, HostId second) const;
  std::optional<Violation> check_attempt(const Event& event, Request& request) const;
  std::optional<Violation> check_retry(const Event& event, const Request& request) const;
  std::optional<Violation> check_rejection(const Event& event, const Request& request) const;

  AdmissionSettings settings_;
  std::map<std::uint64_t, Request> requests_;
  std::map<HostId, HostEntry> hosts_;
};

}  // namespace cometfold::rules
