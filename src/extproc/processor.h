// The external processor: a downstream handler of the engine whose clients are proxies, and its transport to
// the hosts, as the proxies carry the attempts out. One call of `Process` asks for one decision: the proxy
// forwards the request to the host that it is given, or replies to its client as it is told, and reports how
// the attempt ended.
//
// Guarantees, whatever the proxies do:
//   - each call gets one decision at once: a host, a rejection or a failure;
//   - a request that may have been sent gets another host only if its class allows a retry and the module
//     decides on one;
//   - a decision that has not left this process when its host drains is withdrawn and made anew;
//   - the module hears of the end of each attempt once: as the proxy reports it, or as cancelled if the proxy
//     goes away or reports nothing, so that no host is blamed;
//   - nothing is kept of a request beyond its deadline but a bounded number of decisions, so that a call that
//     comes again gets the first decision.
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

// The path of the service's one method.
constexpr std::string_view kProcess = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";

class Processor : public engine::DownstreamHandler,
                  public engine::UpstreamTransport,
                  public http2::grpc::Service {
 public:
  // The engine must have this as one of its transports (`Engine::add_upstream`) and outlast it. `seed` keys
  // the hash of customers' names. Throws ProcessorSettingsError.
  Processor(engine::Engine& engine, NamedSettings names, ProcessorSettings settings, std::uint64_t seed);
  ~Processor() override;

  // A host that may be given out from now on, until the engine retires it. Call it before
  // `Engine::on_host_list`.
  void add_host(HostId host, std::string endpoint);
  // Settings and names for calls from now on; a class or plan must keep its number. Throws
  // ProcessorSettingsError and keeps the old ones.
  void reload(ProcessorSettings settings, NamedSettings names);

  // When `run_timers` has something to do; nothing if never.
  std::optional<Ms> next_timer() const;
  void run_timers(Ms now);

  const ProcessorMetrics& metrics() const { return metrics_; }
  std::size_t open() const { return pending_.size(); }  // requests with a decision or an attempt outstanding
  std::size_t remembered_count() const { return finished_.size(); }

  // http2::grpc::Service
  std::unique_ptr<http2::grpc::CallEvents> open(Ms now, http2::grpc::Call& call,
                                                http2::HeaderBlock headers) override;

 private:
  class Exchange;
  struct PendingRequest;
  class RequestPayload;
  using PendingId = std::uint64_t;

  // An attempt that waits for the proxy's next call to fetch it.
  struct Fetchable {
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

  // Calls that ask for a decision.
  void decide(Ms now, Exchange& exchange, const MappedRequest& mapped);
  void decide_new(Ms now, Exchange& exchange, const MappedRequest& mapped);
  void decide_retry(Ms now, Exchange& exchange, const MappedRequest& mapped);
  void resume_open(Ms now, Exchange& exchange, PendingRequest& pending);
  void supersede_call(PendingRequest& pending);
  void register_proxy_id(PendingRequest& pending);
  const Decision* refusal_of_retry(const MappedRequest& mapped, const FinishedRequest* finished) const;

  // Replies and ends.
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
  ProcessingRequest message_;  // the one that is being parsed

  std::unordered_map<HostId, std::shared_ptr<const std::string>> hosts_;  // endpoints
  std::unordered_map<PendingId, PendingRequest> pending_;
  std::unordered_map<engine::AttemptId, PendingId> attempts_;
  std::unordered_map<std::string, PendingId> pending_by_proxy_id_;
  DecisionCache finished_;
  std::deque<Fetchable> fetchables_;  // in order of expiry
  PendingId last_pending_id_ = 0;
};

}  // namespace cometfold::extproc
