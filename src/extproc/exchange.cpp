#include "exchange.h"

#include <charconv>
#include <utility>
#include <vector>

#include "external_processor.pb.h"
#include "host_load.h"
#include "responses.h"

namespace thistlepond::extproc {

namespace {

namespace pb = envoy::service::ext_proc::v3;
using http2::grpc::Code;
using Case = pb::ProcessingRequest::RequestCase;

constexpr std::size_t kMostHeaders = 512;

// Proxies fill one of the two.
std::string_view value_of(const pb::HeaderValue& header) {
  return header.raw_value().empty() ? header.value() : header.raw_value();
}

bool same_name(std::string_view a, std::string_view lower) {
  return a.size() == lower.size() && std::equal(a.begin(), a.end(), lower.begin(), [](char x, char y) {
           return (x >= 'A' && x <= 'Z' ? x - 'A' + 'a' : x) == y;
         });
}

// Of the attributes that the proxy sends with its filter's name around them.
std::string_view attribute(const pb::ProcessingRequest& message, const char* name) {
  for (const auto& [filter, fields] : message.attributes()) {
    const auto it = fields.fields().find(name);
    if (it != fields.fields().end()) return it->second.string_value();
  }
  return {};
}

}  // namespace

void Processor::Exchange::on_message(Ms now, std::string_view bytes) {
  if (over_) return;
  alignas(8) char space[8192];
  google::protobuf::ArenaOptions options;
  options.initial_block = space;
  options.initial_block_size = sizeof space;
  google::protobuf::Arena arena(options);
  auto& message = *google::protobuf::Arena::CreateMessage<Message>(&arena);
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    ++owner_.totals_.unreadable;
    return complain(now, {Code::kInvalidArgument, "no ProcessingRequest: the bytes are no such message"});
  }
  if (!started_ && message.observability_mode()) {
    observed_ = true;  // the proxy sends on by itself and hears no answer: there is nothing to decide
    ++owner_.totals_.observed;
  }
  started_ = true;
  if (observed_) return;
  switch (message.request_case()) {
    case Case::kRequestHeaders:
      return ask(now, message);
    case Case::kResponseHeaders:
      return report(now, message);
    case Case::kRequestBody:
    case Case::kResponseBody:
    case Case::kRequestTrailers:
    case Case::kResponseTrailers: {
      const bool request =
          message.request_case() == Case::kRequestBody || message.request_case() == Case::kRequestTrailers;
      // A response may begin, and even end, while the request's body still comes.
      if (request ? !asked_ || request_over_ : !response_seen_ || response_over_) {
        return forbidden(now, request ? "a part of the request" : "a part of the response");
      }
      if (message.request_case() == Case::kRequestBody || message.request_case() == Case::kResponseBody) {
        return on_body(message);
      }
      return on_trailers(message);
    }
    case Case::REQUEST_NOT_SET:
      return complain(now, {Code::kInvalidArgument, "a ProcessingRequest without any part of a request"});
  }
}

void Processor::Exchange::ask(Ms now, const Message& message) {
  if (asked_) return forbidden(now, "request_headers");
  asked_ = true;
  const auto& headers = message.request_headers();
  const auto& config = message.protocol_config();
  echo_request_ = config.request_body_mode() == pb::ProcessingMode::FULL_DUPLEX_STREAMED;
  echo_response_ = config.response_body_mode() == pb::ProcessingMode::FULL_DUPLEX_STREAMED;
  // In that mode the proxy lets nobody change the modes.
  override_modes_ = settings_->mode_override && !echo_request_ && !echo_response_;
  request_over_ = headers.end_of_stream();
  const auto& all = headers.headers().headers();
  if (static_cast<std::size_t>(all.size()) > kMostHeaders) {
    return complain(now, {Code::kInvalidArgument, "a request with more than 512 headers"});
  }
  std::vector<HeaderView> views;
  views.reserve(static_cast<std::size_t>(all.size()));
  for (const auto& h : all) views.push_back({h.key(), value_of(h)});
  const Mapped mapped = mapper_->map(views);
  grpc_ = mapped.grpc;
  waits_ = true;
  owner_.ask(now, *this, mapped);
}

void Processor::Exchange::report(Ms now, const Message& message) {
  if (!asked_ || response_seen_ || waits_) return forbidden(now, "response_headers");
  response_seen_ = true;
  response_over_ = message.response_headers().end_of_stream();
  Report r;
  r.seen.details = attribute(message, "response.code_details");
  r.seen.grpc = grpc_;
  const auto& mapping = settings_->load;
  for (const auto& h : message.response_headers().headers().headers()) {
    const std::string_view name = h.key(), value = value_of(h);
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

void Processor::Exchange::on_body(const Message& message) {
  const bool request = message.request_case() == Case::kRequestBody;
  const auto& body = request ? message.request_body() : message.response_body();
  (request ? request_over_ : response_over_) = body.end_of_stream();
  const Part part = request ? Part::kRequestBody : Part::kResponseBody;
  if (request ? echo_request_ : echo_response_) {
    return call_.send(echo_response(part, body.body(), body.end_of_stream()));
  }
  call_.send(continue_response(part));
}

void Processor::Exchange::on_trailers(const Message& message) {
  const bool request = message.request_case() == Case::kRequestTrailers;
  (request ? request_over_ : response_over_) = true;
  call_.send(continue_response(request ? Part::kRequestTrailers : Part::kResponseTrailers));
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

}  // namespace thistlepond::extproc
