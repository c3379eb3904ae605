// The implementation of AdmissionController. It holds the settings, the time of the current event and the
// random number generator, and dispatches events to the components that decide.
#pragma once

#include <span>

#include "admission/customer_quotas.h"
#include "admission/host_selector.h"
#include "admission/load_shedder.h"
#include "admission/overdue_detector.h"
#include "admission/quota_overrun_estimator.h"
#include "admission/request_table.h"
#include "admission/retry_policy.h"
#include "admission/throttled_log.h"

namespace cometfold {

// Neither copyable nor movable, because its components refer to each other. Event handlers are called after
// `set_time`.
class AdmissionController::Impl {
 public:
  Impl(const AdmissionSettings& settings, std::uint64_t seed);
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  // Sets the time of the event that follows, in milliseconds.
  void set_time(Ms now) { now_ = now; }

  void on_start(ActionSink& out);
  void on_settings(const AdmissionSettings& settings);
  void on_host_list(HostListUpdate kind, std::span<const HostEntry> entries, ActionSink& out);
  void on_timer(std::uint64_t token, ActionSink& out);
  void on_health_check_end(HostId id, bool ok, const LoadReport& load);
  std::size_t excluded_host_count() const;

  void on_request(Request request, ActionSink& out);
  void on_client_disconnected(RequestId id, ActionSink& out);

  void on_stream_started(RequestId id, std::uint32_t index, ActionSink& out);
  void on_stream_paused(RequestId id, std::uint32_t index, ActionSink& out);
  void on_attempt_end(const AttemptResult& result, ActionSink& out);

  HandoverSnapshot export_handover();
  void import_handover(const HandoverSnapshot& snapshot);
  void on_predecessor_exited() { quotas_.forget_predecessor_attempts(); }

 private:
  using Attempt = admission::Attempt;
  using Customer = admission::Customer;
  using Host = admission::Host;
  using PendingRequest = admission::PendingRequest;

  struct Rejection {
    Ms retry_after;
    RejectionReason reason;
  };
  struct QuotaDecision {
    std::optional<Rejection> rejection;
    double value_factor = 1;  // value of admitting the request, relative to one within its quota
  };

  void on_tick(ActionSink& out);
  void resize_statistics();
  void import_hosts(const HandoverSnapshot& snapshot);

  // Requests; defined in request_handling.cpp.
  void admit(PendingRequest& pending, ActionSink& out);
  void record_arrival(Customer& customer, const Request& request);
  QuotaDecision check_quota(PendingRequest& pending, Customer& customer, ActionSink& out);
  bool is_quota_binding(const Customer& customer, const Request& request) const;
  bool should_shed(const PendingRequest& pending, double value_factor);
  bool send_attempt(PendingRequest& pending, ActionSink& out);
  bool send_retry(PendingRequest& pending, ActionSink& out);
  void on_request_timer(PendingRequest& pending, ActionSink& out);
  void retry_slow_attempt(PendingRequest& pending, ActionSink& out);
  void schedule_next_check(const PendingRequest& pending, ActionSink& out) const;
  void give_up(PendingRequest& pending, const Rejection& rejection, ActionSink& out);
  Ms random_retry_after();
  void cancel_attempt(PendingRequest& pending, std::uint32_t index, ActionSink& out) const;
  void cancel_all_attempts(PendingRequest& pending, ActionSink& out) const;
  void erase_if_done(RequestId id);

  // Attempts; defined in attempt_handling.cpp.
  void end_attempt(PendingRequest& pending, Attempt& attempt, Host& host, Outcome outcome);
  void release_host(Host& host, const Attempt& attempt) const;
  void record_result(const PendingRequest& pending, const Attempt& attempt, Host& host,
                     const AttemptResult& result, ActionSink& out);
  void record_rejections(const PendingRequest& pending, const Attempt& attempt, Host& host, Outcome outcome);
  void record_success(const PendingRequest& pending, Host& host, Ms latency, ActionSink& out);
  void record_outcome(Host& host, bool failed, ActionSink& out);
  void find_overdue_attempts(ActionSink& out);

  AdmissionSettings settings_;
  admission::RandomSource random_;
  Ms now_ = 0;
  admission::ThrottledLog log_;

  admission::CustomerQuotas quotas_;
  admission::QuotaOverrunEstimator overruns_;
  admission::RetryObserver client_retries_;

  admission::LatencyStatistics latency_;
  admission::SlowStart slow_start_;
  admission::HostTable hosts_;
  admission::OutlierDetector outliers_;
  admission::ConcurrencyLimiter limiter_;
  admission::OverloadStatistics overload_;
  admission::HostSelector selector_;
  admission::LoadShedder shedder_;

  admission::RequestTable requests_;
  admission::RetryBudget retry_budget_;
  admission::RetryPolicy retries_;
  admission::OverdueDetector overdue_;
};

}  // namespace cometfold
