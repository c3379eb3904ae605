#include "extproc/exchange.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "extproc/host_load.h"

namespace cometfold::extproc {

namespace {

using http2::grpc::Code;

constexpr std::size_t kMaxHeaders = 512;
// BodySendMode FULL_DUPLEX_STREAMED: the proxy forwards only what the processor returns.
constexpr int kFullDuplexStreamed = 4;

bool equals_ignoring_case(std::string_view name, std::string_view lower) {
  return std::equal(name.begin(), name.end(), lower.begin(), lower.end(), [](char a, char b) {
    const char lowered = a >= 'A' && a <= 'Z' ? static_cast<char>(a - 'A' + 'a') : a;
    return lowered == b;
  });
}

}  // namespace

void Processor::Exchange::on_message(Ms now, std::string_view bytes) {
  if (finished_) return;
  ProcessingRequest& message = owner_.message_;
  if (!parse_processing_request(bytes, message)) {
    ++owner_.metrics_.malformed;
    return abort(now, {Code::kInvalidArgument, "no ProcessingRequest: the bytes are no such message"});
  }
  if (!started_ && message.observability_mode) {
    observe_only_ = true;  // the proxy ignores replies in this mode, so no decision is made
    ++owner_.metrics_.observed;
  }
  started_ = true;
  if (observe_only_) return;
  switch (message.part) {
    case ProcessingRequest::kRequestHeaders:
      return on_request_headers(now, message);
    case ProcessingRequest::kResponseHeaders:
      return on_response_headers(now, message);
    case ProcessingRequest::kRequestBody:
    case ProcessingRequest::kRequestTrailers:
      if (!request_seen_ || request_complete_) return reject_out_of_order(now, "a part of the request");
      return on_body_or_trailers(message);
    case ProcessingRequest::kResponseBody:
    case ProcessingRequest::kResponseTrailers:
      // A response may begin, and even end, before the request's body is complete.
      if (!response_seen_ || response_complete_) return reject_out_of_order(now, "a part of the response");
      return on_body_or_trailers(message);
    case ProcessingRequest::kNone:
      return abort(now, {Code::kInvalidArgument, "a ProcessingRequest without any part of a request"});
  }
}

void Processor::Exchange::on_request_headers(Ms now, const ProcessingRequest& message) {
  if (request_seen_) return reject_out_of_order(now, "request_headers");
  request_seen_ = true;
  echo_request_ = message.request_body_mode == kFullDuplexStreamed;
  echo_response_ = message.response_body_mode == kFullDuplexStreamed;
  // With full-duplex bodies the proxy does not accept a mode override.
  override_modes_ = settings_->mode_override && !echo_request_ && !echo_response_;
  request_complete_ = message.end_of_stream;
  if (message.headers.size() > kMaxHeaders) {
    return abort(now, {Code::kInvalidArgument, "a request with more than 512 headers"});
  }
  const MappedRequest mapped = mapper_->map(message.headers);
  is_grpc_ = mapped.is_grpc;
  awaits_decision_ = true;
  owner_.decide(now, *this, mapped);
}

void Processor::Exchange::on_response_headers(Ms now, const ProcessingRequest& message) {
  if (!request_seen_ || response_seen_ || awaits_decision_) {
    return reject_out_of_order(now, "response_headers");
  }
  response_seen_ = true;
  response_complete_ = message.end_of_stream;
  ResponseReport report;
  report.attempt.details = message.code_details;
  report.attempt.is_grpc = is_grpc_;
  for (const auto& header : message.headers) read_response_header(header, report);
  call_.send(continue_response(BodyPart::kResponseHeaders));
  on_attempt_report(now, report);
}

void Processor::Exchange::read_response_header(const HeaderView& header, ResponseReport& report) const {
  const auto& [name, value] = header;
  const auto& mapping = settings_->load;
  if (name == ":status") {
    std::from_chars(value.data(), value.data() + value.size(), report.attempt.status);
  } else if (equals_ignoring_case(name, "grpc-status")) {
    report.attempt.grpc_status = value;
  } else if (equals_ignoring_case(name, "x-envoy-overloaded") ||
             equals_ignoring_case(name, "x-envoy-local-overloaded")) {
    report.attempt.overloaded = true;
  } else if (equals_ignoring_case(name, "x-gateway-destination-endpoint-served")) {
    report.served_by = value;
  } else if (equals_ignoring_case(name, "endpoint-load-metrics")) {
    report.load = parse_orca_report(mapping, value);
  } else if (equals_ignoring_case(name, "endpoint-load-metrics-bin")) {
    report.load = parse_orca_binary_report(mapping, value);
  } else if (!mapping.header.empty() && equals_ignoring_case(name, mapping.header)) {
    report.load = parse_plain_report(value);
  }
}

void Processor::Exchange::on_body_or_trailers(const ProcessingRequest& message) {
  const bool is_request =
      message.part == ProcessingRequest::kRequestBody || message.part == ProcessingRequest::kRequestTrailers;
  const bool is_body =
      message.part == ProcessingRequest::kRequestBody || message.part == ProcessingRequest::kResponseBody;
  bool& complete = is_request ? request_complete_ : response_complete_;
  complete = !is_body || message.end_of_stream;
  if (!is_body) {
    const auto trailers = is_request ? BodyPart::kRequestTrailers : BodyPart::kResponseTrailers;
    return call_.send(continue_response(trailers));
  }
  const BodyPart part = is_request ? BodyPart::kRequestBody : BodyPart::kResponseBody;
  const bool echo = is_request ? echo_request_ : echo_response_;
  if (echo) return call_.send(echo_response(part, message.body, message.end_of_stream));
  call_.send(continue_response(part));
}

void Processor::Exchange::route(std::string_view endpoint, Ms remaining, bool proxy_may_retry) {
  awaits_decision_ = false;
  call_.send(route_response({.endpoint = endpoint,
                             .remaining_ms = remaining - settings_->deadline_margin_ms,
                             .proxy_may_retry = proxy_may_retry,
                             .override_modes = override_modes_},
                            settings_->destination));
}

bool Processor::Exchange::withdraw_decision() {
  if (awaits_decision_ || finished_ || response_seen_ || !call_.withdraw()) return false;
  awaits_decision_ = true;
  return true;
}

void Processor::Exchange::reply(ImmediateReply reply) {
  if (finished_) return;
  finished_ = true;
  awaits_decision_ = false;
  reply.is_grpc = is_grpc_;
  call_.send(immediate_response(reply));
  call_.finish({});
}

void Processor::Exchange::superseded() {
  pending_id_ = 0;
  if (!awaits_decision_) return;
  awaits_decision_ = false;
  finished_ = true;
  call_.finish({Code::kAborted, "another call for the same request has come"});
}

void Processor::Exchange::on_half_closed(Ms now) {
  owner_.on_call_closed(now, *this);
  if (finished_) return;
  finished_ = true;
  call_.finish({});
}

void Processor::Exchange::on_call_closed(Ms now) {
  owner_.on_call_closed(now, *this);
  finished_ = true;
}

void Processor::Exchange::reject_out_of_order(Ms now, const char* what) {
  ++owner_.metrics_.out_of_order;
  abort(now, {Code::kInvalidArgument, std::string(what) + " can't come here"});
}

// Ends the call with an error. Its request is handled as if the proxy had disconnected.
void Processor::Exchange::abort(Ms now, const http2::grpc::Status& status) {
  owner_.on_call_closed(now, *this);
  finished_ = true;
  call_.finish(status);
}

}  // namespace cometfold::extproc
