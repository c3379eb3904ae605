// The external processor. It is both a downstream handler of the engine, whose clients are proxies, and the
// engine's transport to the hosts, as the proxies carry out the attempts. Each call of `Process` requests one
// decision: the proxy forwards the request to the host that the decision names and reports how the attempt
// ended, or sends the decision's reply to its client.
//
// Guarantees, whatever the proxies do:
//   - each call immediately gets one decision: a host, a rejection or a failure;
//   - a request that may have been sent gets another host only if its class allows a retry and the module
//     decides on one;
//   - a decision that has not left this process when its host drains is withdrawn and replaced;
//   - the end of each attempt is reported to the module once: with the proxy's outcome, or as cancelled
//     if the proxy disconnects or reports nothing, so that no host is blamed;
//   - after a request's deadline only its decision is kept, in a cache of bounded size, so that a retry gets
//     the first decision.
// No I/O, no clock. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "engine/engine.h"
#include "extproc/decision_cache.h"
#include "extproc/messages.h"
#include "extproc/processor_metrics.h"
#include "extproc/processor_settings.h"
#include "extproc/request_mapper.h"
#include "http2/grpc_server.h"

namespace cometfold::extproc {

// The path of the service's only method.
constexpr std::string_view kProcessPath = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";

class Processor : public engine::DownstreamHandler,
                  public engine::UpstreamTransport,
                  public http2::grpc::Service {
 public:
  // This object must be registered as a transport of the engine (`Engine::add_upstream`), which must outlive
  // it. `seed` keys the hash of customer names. Throws ProcessorSettingsError.
  Processor(engine::Engine& engine, NamedSettings names, ProcessorSettings settings, std::uint64_t seed);
  ~Processor() override;

  // Adds a host that decisions may name until the engine retires it. Call this before `Engine::on_host_list`.
  void add_host(HostId host, std::string endpoint);
  // Replaces settings and names for new calls. Classes and plans must keep their numbers. Throws
  // ProcessorSettingsError and keeps the old settings if the new ones are invalid.
  void reload(ProcessorSettings settings, NamedSettings names);

  // When `run_timers` must be called next; nothing if no timer is set.
  std::optional<Ms> next_timer() const;
  void run_timers(Ms now);

  const ProcessorMetrics& metrics() const { return metrics_; }
  std::size_t open() const { return pending_.size(); }  // requests awaiting a decision or an attempt's end
  std::size_t remembered_count() const { return finished_.size(); }

  // http2::grpc::Service
  std::unique_ptr<http2::grpc::CallEvents> open(Ms now, http2::grpc::Call& call,
                                                http2::HeaderBlock headers) override;

 private:
  class Exchange;
  struct PendingRequest;
  class RequestPayload;
  using PendingId = std::uint64_t;

  // An attempt that is sent to the proxy with its next call for the same request.
  struct UnfetchedAttempt {
    Ms expires_at = 0;
    PendingId pending_id = 0;
    engine::AttemptId attempt = 0;
  };

  // engine::DownstreamHandler
  void on_served(Ms now, engine::ResponseHandle handle, std::string_view value) override;
  void on_rejected(Ms now, engine::ResponseHandle handle, Ms retry_after) override;
  void on_failed(Ms now, engine::ResponseHandle handle, engine::FailureReason reason) override;

  // engine::UpstreamTransport
  engine::StartResult start(Ms now, engine::AttemptId attempt, HostId host, const engine::Payload& payload,
                            Ms remaining) override;
  bool abandon(Ms now, engine::AttemptId attempt) override;
  bool withdraw(Ms now, engine::AttemptId attempt) override;
  bool awaits_first_byte(engine::AttemptId attempt) const override;
  void retire_host(Ms now, HostId host) override;

  // Calls that request a decision.
  void decide(Ms now, Exchange& exchange, const MappedRequest& mapped);
  void decide_new(Ms now, Exchange& exchange, const MappedRequest& mapped);
  void decide_retry(Ms now, Exchange& exchange, const MappedRequest& mapped);
  void resume_open(Ms now, Exchange& exchange, PendingRequest& pending);
  void supersede_call(PendingRequest& pending);
  void register_proxy_id(PendingRequest& pending);
  const Decision* refusal_of_retry(const MappedRequest& mapped, const FinishedRequest* finished) const;

  // Replies, ends of attempts and ends of calls.
  void send_route(Ms now, PendingRequest& pending);
  void reply(Exchange& exchange, const Decision& decision);
  void finish(PendingRequest& pending, const Decision& decision);
  bool withdraw_decision(PendingRequest& pending);
  void clear_attempt(PendingRequest& pending, bool may_have_left);
  void report_attempt_end(Ms now, PendingRequest& pending, Outcome outcome, const LoadReport& load,
                          bool client_has_reply);
  void on_call_closed(Ms now, Exchange& exchange);
  void remember_decision(const PendingRequest& pending, const Decision& decision);
  void erase_if_finished(PendingId id);

  bool class_allows_retry(const PendingRequest& pending) const;
  bool proxy_may_retry(const PendingRequest& pending) const;
  bool unknown_retry_allowed(const MappedRequest& mapped) const;
  PendingRequest* find_pending(PendingId id);

  engine::Engine& engine_;
  std::shared_ptr<const ProcessorSettings> settings_;
  std::shared_ptr<const RequestMapper> mapper_;
  NamedSettings names_;
  std::uint64_t seed_;
  ProcessorMetrics metrics_;
  ProcessingRequest message_;  // the message being processed; reused to avoid allocations

  std::unordered_map<HostId, std::shared_ptr<const std::string>> hosts_;  // endpoints
  std::unordered_map<PendingId, PendingRequest> pending_;
  std::unordered_map<engine::AttemptId, PendingId> attempts_;
  std::unordered_map<std::string, PendingId> pending_by_proxy_id_;
  DecisionCache finished_;
  std::deque<UnfetchedAttempt> unfetched_attempts_;  // in order of expiry
  PendingId last_pending_id_ = 0;
};

}  // namespace cometfold::extproc
