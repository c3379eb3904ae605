#include "extproc/exchange.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "extproc/host_load.h"
#include "extproc/responses.h"

namespace cometfold::extproc {

namespace {

using http2::grpc::Code;

constexpr std::size_t kMostHeaders = 512;
constexpr int kFullDuplexStreamed = 4;  // a BodySendMode: the proxy sends on only what it gets back

bool same_name(std::string_view a, std::string_view lower) {
  return a.size() == lower.size() && std::equal(a.begin(), a.end(), lower.begin(), [](char x, char y) {
           return (x >= 'A' && x <= 'Z' ? x - 'A' + 'a' : x) == y;
         });
}

}  // namespace

void Processor::Exchange::on_message(Ms now, std::string_view bytes) {
  if (over_) return;
  Message& message = owner_.message_;
  if (!read_message(bytes, message)) {
    ++owner_.totals_.unreadable;
    return complain(now, {Code::kInvalidArgument, "no ProcessingRequest: the bytes are no such message"});
  }
  if (!started_ && message.observability_mode) {
    observed_ = true;  // the proxy sends on by itself and hears no answer: there is nothing to decide
    ++owner_.totals_.observed;
  }
  started_ = true;
  if (observed_) return;
  switch (message.part) {
    case Message::kRequestHeaders:
      return ask(now, message);
    case Message::kResponseHeaders:
      return report(now, message);
    case Message::kRequestBody:
    case Message::kRequestTrailers:
      if (!asked_ || request_over_) return forbidden(now, "a part of the request");
      return on_part(message);
    case Message::kResponseBody:
    case Message::kResponseTrailers:
      // A response may begin, and even end, while the request's body still comes.
      if (!response_seen_ || response_over_) return forbidden(now, "a part of the response");
      return on_part(message);
    case Message::kNone:
      return complain(now, {Code::kInvalidArgument, "a ProcessingRequest without any part of a request"});
  }
}

void Processor::Exchange::ask(Ms now, const Message& message) {
  if (asked_) return forbidden(now, "request_headers");
  asked_ = true;
  echo_request_ = message.request_body_mode == kFullDuplexStreamed;
  echo_response_ = message.response_body_mode == kFullDuplexStreamed;
  // In that mode the proxy lets nobody change the modes.
  override_modes_ = settings_->mode_override && !echo_request_ && !echo_response_;
  request_over_ = message.end_of_stream;
  if (message.headers.size() > kMostHeaders) {
    return complain(now, {Code::kInvalidArgument, "a request with more than 512 headers"});
  }
  const Mapped mapped = mapper_->map(message.headers);
  grpc_ = mapped.grpc;
  waits_ = true;
  owner_.ask(now, *this, mapped);
}

void Processor::Exchange::report(Ms now, const Message& message) {
  if (!asked_ || response_seen_ || waits_) return forbidden(now, "response_headers");
  response_seen_ = true;
  response_over_ = message.end_of_stream;
  Report r;
  r.seen.details = message.code_details;
  r.seen.grpc = grpc_;
  const auto& mapping = settings_->load;
  for (const auto& [name, value] : message.headers) {
    if (name == ":status") {
      std::from_chars(value.data(), value.data() + value.size(), r.seen.status);
    } else if (same_name(name, "grpc-status")) {
      r.seen.grpc_status = value;
    } else if (same_name(name, "x-envoy-overloaded") || same_name(name, "x-envoy-local-overloaded")) {
      r.seen.overloaded = true;
    } else if (same_name(name, "x-gateway-destination-endpoint-served")) {
      r.served = value;
    } else if (same_name(name, "endpoint-load-metrics")) {
      r.load = read_orca(mapping, value);
    } else if (same_name(name, "endpoint-load-metrics-bin")) {
      r.load = read_orca_binary(mapping, value);
    } else if (!mapping.header.empty() && same_name(name, mapping.header)) {
      r.load = read_plain(value);
    }
  }
  call_.send(continue_response(Part::kResponseHeaders));
  on_report(now, r);
}

void Processor::Exchange::on_part(const Message& message) {
  const bool request = message.part == Message::kRequestBody || message.part == Message::kRequestTrailers;
  const bool body = message.part == Message::kRequestBody || message.part == Message::kResponseBody;
  (request ? request_over_ : response_over_) = !body || message.end_of_stream;
  if (!body) return call_.send(continue_response(request ? Part::kRequestTrailers : Part::kResponseTrailers));
  const Part part = request ? Part::kRequestBody : Part::kResponseBody;
  if (request ? echo_request_ : echo_response_) {
    return call_.send(echo_response(part, message.body, message.end_of_stream));
  }
  call_.send(continue_response(part));
}

void Processor::Exchange::route(std::string_view endpoint, Ms left, bool keep_retries) {
  waits_ = false;
  call_.send(route_response({.endpoint = endpoint,
                             .left = left - settings_->margin_ms,
                             .keep_retries = keep_retries,
                             .override_modes = override_modes_},
                            settings_->destination));
}

bool Processor::Exchange::take_back() {
  if (waits_ || over_ || response_seen_ || !call_.take_back()) return false;
  waits_ = true;
  return true;
}

void Processor::Exchange::answer(const Answer& a) {
  if (over_) return;
  over_ = true;
  waits_ = false;
  call_.send(immediate_response({.status = a.status,
                                 .grpc_status = a.grpc_status,
                                 .retry_after = a.retry_after,
                                 .grpc = grpc_,
                                 .details = a.details,
                                 .body = a.body}));
  call_.finish({});
}

void Processor::Exchange::superseded() {
  record_ = 0;
  if (!waits_) return;
  waits_ = false;
  over_ = true;
  call_.finish({Code::kAborted, "another call for the same request has come"});
}

void Processor::Exchange::on_half_closed(Ms now) {
  owner_.leave(now, *this);
  if (over_) return;
  over_ = true;
  call_.finish({});
}

void Processor::Exchange::on_gone(Ms now) {
  owner_.leave(now, *this);
  over_ = true;
}

void Processor::Exchange::forbidden(Ms now, const char* what) {
  ++owner_.totals_.out_of_order;
  complain(now, {Code::kInvalidArgument, std::string(what) + " can't come here"});
}

// The call ends; what it had is treated as if the proxy had gone.
void Processor::Exchange::complain(Ms now, http2::grpc::Status status) {
  owner_.leave(now, *this);
  over_ = true;
  call_.finish(status);
}

}  // namespace cometfold::extproc
