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

// None of these calls delivers anything for a request that already has its reply.
class ReplyDispatcher {
 public:
  ReplyDispatcher(RequestTable& requests, EngineMetrics& metrics, const RequestTracer& tracer)
      : requests_(requests), metrics_(metrics), tracer_(tracer) {}

  void serve(Ms now, RequestId id, std::string_view value);
  void reject(Ms now, RequestId id, Ms retry_after, RejectionReason reason);
  void fail_by_policy(Ms now, RequestId id, RejectionReason reason);
  void fail(Ms now, RequestId id, FailureReason reason);
  // The client already has its reply, which did not pass through the engine.
  void finish_delivered(Ms now, RequestId id, Outcome outcome);
  // The client has disconnected, so that no reply is sent.
  void finish_disconnected(Ms now, RequestId id);

  // Whether a value has started for the request. It is the reply, whatever the policy decides afterwards.
  bool is_streaming(RequestId id) const;
  // Returns whether the value of this attempt is passed on from now on. If another one's is and its host has
  // paused, this one takes its place if the client has received nothing, and is else compared with it.
  bool start_value(Ms now, RequestId id, std::uint32_t attempt, std::size_t size,
                   const std::optional<CompletionBound>& bound);
  struct ChunkResult {
    bool wants_more = true;  // otherwise no more may follow until the client can take more
    bool took_over = false;  // the value of this attempt is passed on from now on
  };
  ChunkResult append_value(Ms now, RequestId id, std::uint32_t attempt, std::string_view chunk);
  // Forgets the value if the client has received nothing of it. Returns whether that was so.
  bool withdraw_value(Ms now, RequestId id);
  void finish_value(Ms now, RequestId id, Outcome outcome);
  void resume_value(Ms now, RequestId id);

  // Removes and returns the latest request that has finished, if there is one.
  std::optional<RequestId> pop_finished();

 private:
  enum class Result : std::uint8_t { kServed, kRejected, kFailed, kDisconnected };
  template <class Deliver>
  void finish(Ms now, RequestId id, Result result, std::optional<RejectionReason> reason, Deliver&& deliver);
  void count(Ms now, RequestId id, const PendingRequest& request, Result result,
             std::optional<RejectionReason> reason);
  void count_reason(RequestId id, RejectionReason reason);
  std::optional<std::string_view> compare_with_value(PendingRequest& request, std::string_view chunk);

  RequestTable& requests_;
  EngineMetrics& metrics_;
  const RequestTracer& tracer_;
  std::vector<RequestId> finished_;
};

}  // namespace cometfold::engine
