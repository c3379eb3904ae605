#include "extproc/responses.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "external_processor.pb.h"

namespace cometfold::extproc {

namespace {

namespace pb = envoy::service::ext_proc::v3;

constexpr const char* kEndpointHeader = "x-gateway-destination-endpoint";
constexpr const char* kOriginalDstHeader = "x-envoy-original-dst-host";

// Protobuf arena with space for one response on the stack.
class StackArena {
 public:
  google::protobuf::Arena* get() { return &arena_; }

 private:
  static google::protobuf::ArenaOptions options(char* space, std::size_t size) {
    google::protobuf::ArenaOptions made;
    made.initial_block = space;
    made.initial_block_size = size;
    return made;
  }
  alignas(8) char space_[4096];
  google::protobuf::Arena arena_{options(space_, sizeof space_)};
};

// Sets a header and overwrites one that the client may have sent. Envoy reads only `raw_value`.
void set_header(pb::HeaderMutation& mutation, const char* name, std::string_view value) {
  auto* option = mutation.add_set_headers();
  option->mutable_header()->set_key(name);
  option->mutable_header()->set_raw_value(value.data(), value.size());
  option->set_append_action(pb::HeaderValueOption::OVERWRITE_IF_EXISTS_OR_ADD);
}

// Formats a duration as a whole number, at least 1.
std::string rounded(Ms ms, double (*round)(double)) {
  return std::to_string(static_cast<std::int64_t>(std::max(round(ms), 1.0)));
}

}  // namespace

std::string route_response(const RouteDecision& route, const DestinationFormat& destination) {
  StackArena arena;
  auto& response = *google::protobuf::Arena::CreateMessage<pb::ProcessingResponse>(arena.get());
  auto& mutation = *response.mutable_request_headers()->mutable_response()->mutable_header_mutation();
  // A destination header sent by the client must be removed if it is not overwritten here.
  if (destination.header) {
    set_header(mutation, kEndpointHeader, route.endpoint);
  } else {
    mutation.add_remove_headers(kEndpointHeader);
  }
  if (destination.original_dst) {
    set_header(mutation, kOriginalDstHeader, route.endpoint);
  } else {
    mutation.add_remove_headers(kOriginalDstHeader);
  }
  if (destination.metadata) {
    auto& lb = *(*response.mutable_dynamic_metadata()->mutable_fields())["envoy.lb"].mutable_struct_value();
    (*lb.mutable_fields())[kEndpointHeader].set_string_value(route.endpoint.data(), route.endpoint.size());
  }
  set_header(mutation, "x-envoy-upstream-rq-timeout-ms", rounded(route.remaining_ms, std::floor));
  if (!route.proxy_may_retry) {
    set_header(mutation, "x-envoy-max-retries", "0");
    for (const char* header :
         {"x-envoy-retry-on", "x-envoy-retry-grpc-on", "x-envoy-hedge-on-per-try-timeout",
          "x-envoy-upstream-rq-per-try-timeout-ms"}) {
      mutation.add_remove_headers(header);
    }
  }
  if (route.override_modes) {
    auto& mode = *response.mutable_mode_override();
    mode.set_response_header_mode(pb::ProcessingMode::SEND);
    mode.set_request_trailer_mode(pb::ProcessingMode::SKIP);
    mode.set_response_trailer_mode(pb::ProcessingMode::SKIP);
  }
  return response.SerializeAsString();
}

std::string immediate_response(const ImmediateReply& reply) {
  StackArena arena;
  auto& response = *google::protobuf::Arena::CreateMessage<pb::ProcessingResponse>(arena.get());
  auto& answer = *response.mutable_immediate_response();
  answer.mutable_status()->set_code(reply.status);
  auto& headers = *answer.mutable_headers();
  if (reply.retry_after_ms >= 1) {
    set_header(headers, "retry-after", rounded(reply.retry_after_ms / 1000, std::ceil));
    set_header(headers, "retry-after-ms", rounded(reply.retry_after_ms, std::ceil));
    // gRPC proposal A6 (client retries): how long the client waits before the next attempt.
    if (reply.is_grpc)
      set_header(headers, "grpc-retry-pushback-ms", rounded(reply.retry_after_ms, std::ceil));
  }
  if (reply.is_grpc) answer.mutable_grpc_status()->set_status(static_cast<unsigned>(reply.grpc_status));
  if (!reply.body.empty()) {
    if (!reply.is_grpc) set_header(headers, "content-type", "text/plain");
    answer.set_body(reply.body.data(), reply.body.size());
  }
  answer.set_details(reply.details.data(), reply.details.size());
  return response.SerializeAsString();
}

namespace {

std::string make_continue(BodyPart part) {
  pb::ProcessingResponse response;
  switch (part) {
    case BodyPart::kResponseHeaders:
      response.mutable_response_headers();
      break;
    case BodyPart::kRequestBody:
      response.mutable_request_body();
      break;
    case BodyPart::kResponseBody:
      response.mutable_response_body();
      break;
    case BodyPart::kRequestTrailers:
      response.mutable_request_trailers();
      break;
    case BodyPart::kResponseTrailers:
      response.mutable_response_trailers();
      break;
  }
  return response.SerializeAsString();
}

}  // namespace

const std::string& continue_response(BodyPart part) {
  static const std::array<std::string, 5> all{
      make_continue(BodyPart::kResponseHeaders), make_continue(BodyPart::kRequestBody),
      make_continue(BodyPart::kResponseBody), make_continue(BodyPart::kRequestTrailers),
      make_continue(BodyPart::kResponseTrailers)};
  return all[static_cast<std::size_t>(part)];
}

std::string echo_response(BodyPart part, std::string_view body, bool end) {
  pb::ProcessingResponse response;
  auto& answer =
      part == BodyPart::kRequestBody ? *response.mutable_request_body() : *response.mutable_response_body();
  auto& piece = *answer.mutable_response()->mutable_body_mutation()->mutable_streamed_response();
  piece.set_body(body.data(), body.size());
  piece.set_end_of_stream(end);
  return response.SerializeAsString();
}

}  // namespace cometfold::extproc
