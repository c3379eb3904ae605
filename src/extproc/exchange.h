// One call of `Process`: checks the order of its messages and replies to them. The decisions are made by the
// processor and the engine.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "extproc/messages.h"
#include "extproc/outcomes.h"
#include "extproc/processor.h"
#include "extproc/responses.h"

namespace cometfold::extproc {

class Processor::Exchange : public http2::grpc::CallEvents {
 public:
  // `settings` and `mapper` are used until the call ends, even if new ones are loaded meanwhile.
  Exchange(Processor& owner, http2::grpc::Call& call, std::shared_ptr<const ProcessorSettings> settings,
           std::shared_ptr<const RequestMapper> mapper)
      : owner_(owner), call_(call), settings_(std::move(settings)), mapper_(std::move(mapper)) {}

  // http2::grpc::CallEvents
  void on_message(Ms now, std::string_view message) override;
  void on_half_closed(Ms now) override;
  void on_call_closed(Ms now) override;

  // The id of the pending request that this call belongs to; 0: none.
  PendingId pending_id() const { return pending_id_; }
  void bind(PendingId pending_id) { pending_id_ = pending_id; }
  void unbind() { pending_id_ = 0; }
  bool awaits_decision() const { return awaits_decision_; }

  // Sends a decision that names a host. `remaining`: milliseconds that the attempt may take.
  void route(std::string_view endpoint, Ms remaining, bool proxy_may_retry);
  // Withdraws that decision if it has not been sent yet. Returns true if so; the call then awaits another
  // one.
  bool withdraw_decision();
  // Sends a reply for the proxy's client and ends the call. `is_grpc` is filled in here.
  void reply(ImmediateReply reply);
  // Another call for the same request has replaced this one.
  void superseded();

 private:
  struct ResponseReport {
    AttemptReport attempt;
    LoadReport load;
    std::string_view served_by;  // the endpoint that served the request; empty: not reported
  };

  void on_request_headers(Ms now, const ProcessingRequest& message);
  void on_response_headers(Ms now, const ProcessingRequest& message);
  void read_response_header(const HeaderView& header, ResponseReport& report) const;
  void on_attempt_report(Ms now, const ResponseReport& report);
  void on_body_or_trailers(const ProcessingRequest& message);
  void reject_out_of_order(Ms now, const char* what);
  void abort(Ms now, const http2::grpc::Status& status);

  Processor& owner_;
  http2::grpc::Call& call_;
  std::shared_ptr<const ProcessorSettings> settings_;
  std::shared_ptr<const RequestMapper> mapper_;
  PendingId pending_id_ = 0;

  bool started_ = false;  // a message has been received
  bool observe_only_ = false;
  bool awaits_decision_ = false;
  bool finished_ = false;
  bool is_grpc_ = false;  // the proxy's client uses gRPC
  bool request_seen_ = false;
  bool request_complete_ = false;
  bool response_seen_ = false;
  bool response_complete_ = false;
  // The proxy forwards only what the processor returns of these bodies.
  bool echo_request_ = false;
  bool echo_response_ = false;
  bool override_modes_ = false;
};

}  // namespace cometfold::extproc
