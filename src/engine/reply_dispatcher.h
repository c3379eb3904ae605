// Delivers each request's final reply, at most once, and streams long values to the client.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "engine/metrics.h"
#include "engine/request_table.h"
#include "engine/request_tracer.h"

namespace cometfold::engine {

// A request that already has its reply is left alone by each of these calls.
class ReplyDispatcher {
 public:
  ReplyDispatcher(RequestTable& requests, EngineMetrics& metrics, const RequestTracer& tracer)
      : requests_(requests), metrics_(metrics), tracer_(tracer) {}

  void serve(Ms now, RequestId id, std::string_view value);
  void reject(Ms now, RequestId id, Ms retry_after, RejectionReason reason);
  void fail_by_policy(Ms now, RequestId id, RejectionReason reason);
  void fail(Ms now, RequestId id, FailureReason reason);
  // The client has its reply already, by a way past the engine.
  void finish_delivered(Ms now, RequestId id, Outcome outcome);
  // The client has disconnected, so that no reply is sent.
  void finish_disconnected(Ms now, RequestId id);

  // A value that has started is the request's reply, whatever the policy decides afterwards.
  bool is_streaming(RequestId id) const;
  // False if the request has its reply, or streams another attempt's value: this one's chunks are dropped.
  bool start_value(Ms now, RequestId id, std::uint32_t attempt, std::size_t size);
  // False if no more is wanted until the client can take more.
  bool append_value(Ms now, RequestId id, std::uint32_t attempt, std::string_view chunk);
  void finish_value(Ms now, RequestId id, Outcome outcome);
  void resume_value(Ms now, RequestId id);

  // The latest request that got its reply and was not returned by this call yet.
  std::optional<RequestId> pop_finished();

 private:
  enum class Result : std::uint8_t { kServed, kRejected, kFailed, kUncounted };
  template <class Deliver>
  void finish(Ms now, RequestId id, Result result, std::optional<RejectionReason> reason, Deliver&& deliver);
  void count(Ms now, RequestId id, const PendingRequest& request, Result result,
             std::optional<RejectionReason> reason);
  void count_reason(RequestId id, RejectionReason reason);

  RequestTable& requests_;
  EngineMetrics& metrics_;
  const RequestTracer& tracer_;
  std::vector<RequestId> finished_;
};

}  // namespace cometfold::engine
