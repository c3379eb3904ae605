#include "engine/reply_dispatcher.h"

#include "engine/faults.h"

namespace cometfold::engine {

template <class Deliver>
void ReplyDispatcher::finish(Ms now, RequestId id, Result result, std::optional<RejectionReason> reason,
                             Deliver&& deliver) {
  PendingRequest* const request = requests_.find(id);
  if (!request) return;
  if (request->answered) {
    if (mutant(Mutant::kDuplicateReply)) deliver(*request->handler, request->response);
    return;
  }
  if (result == Result::kDisconnected) {
    requests_.mark_disconnected(*request);
  } else {
    requests_.mark_answered(*request);
  }
  finished_.push_back(id);
  count(now, id, *request, result, reason);
  deliver(*request->handler, request->response);
}

void ReplyDispatcher::count(Ms now, RequestId id, const PendingRequest& request, Result result,
                            std::optional<RejectionReason> reason) {
  if (result == Result::kDisconnected) return;
  ClassMetrics& metrics = metrics_.of_class(request.class_index);
  switch (result) {
    case Result::kServed:
      ++metrics.served;
      return tracer_.record(now, RequestEvent::kServed, id, request, reason);
    case Result::kRejected:
      ++metrics.rejected;
      return tracer_.record(now, RequestEvent::kRejected, id, request, reason);
    case Result::kFailed:
      ++metrics.failed;
      return tracer_.record(now, RequestEvent::kFailed, id, request, reason);
    case Result::kDisconnected:
      return;
  }
}

// Counts each reply once, under its first reason.
void ReplyDispatcher::count_reason(RequestId id, RejectionReason reason) {
  const PendingRequest* const request = requests_.find(id);
  if (request && !request->answered) {
    ++metrics_.rejections.by_reason[static_cast<std::size_t>(reason)];
  }
}

void ReplyDispatcher::serve(Ms now, RequestId id, std::string_view value) {
  finish(now, id, Result::kServed, {}, [&](DownstreamHandler& handler, ResponseHandle response) {
    handler.on_served(now, response, value);
  });
}

void ReplyDispatcher::reject(Ms now, RequestId id, Ms retry_after, RejectionReason reason) {
  count_reason(id, reason);
  finish(now, id, Result::kRejected, reason, [&](DownstreamHandler& handler, ResponseHandle response) {
    handler.on_rejected(now, response, retry_after);
  });
}

void ReplyDispatcher::fail_by_policy(Ms now, RequestId id, RejectionReason reason) {
  count_reason(id, reason);
  finish(now, id, Result::kFailed, reason, [&](DownstreamHandler& handler, ResponseHandle response) {
    handler.on_failed(now, response, FailureReason::kPolicy);
  });
}

void ReplyDispatcher::fail(Ms now, RequestId id, FailureReason reason) {
  finish(now, id, Result::kFailed, {}, [&](DownstreamHandler& handler, ResponseHandle response) {
    handler.on_failed(now, response, reason);
  });
}

void ReplyDispatcher::finish_delivered(Ms now, RequestId id, Outcome outcome) {
  const Result result = outcome == Outcome::kOk ? Result::kServed : Result::kFailed;
  finish(now, id, result, {}, [](DownstreamHandler&, ResponseHandle) {});
}

void ReplyDispatcher::finish_disconnected(Ms now, RequestId id) {
  finish(now, id, Result::kDisconnected, {}, [](DownstreamHandler&, ResponseHandle) {});
}

bool ReplyDispatcher::is_streaming(RequestId id) const {
  const PendingRequest* const request = requests_.find(id);
  return request && request->value;
}

bool ReplyDispatcher::start_value(Ms now, RequestId id, std::uint32_t attempt, std::size_t size,
                                  const std::optional<CompletionBound>& bound) {
  PendingRequest* const request = requests_.find(id);
  if (!request || request->answered) return false;
  if (request->value) {
    if (!request->value->paused()) return false;
    if (!withdraw_value(now, id)) {
      if (!request->value->add_candidate(attempt, size)) ++metrics_.values.differed;
      return false;
    }
    ++metrics_.values.replaced;
  }
  request->value.emplace(attempt, size);
  request->handler->on_value_started(now, request->response, size, bound);
  return true;
}

bool ReplyDispatcher::withdraw_value(Ms now, RequestId id) {
  PendingRequest* const request = requests_.find(id);
  if (!request || !request->value || !request->handler->on_value_withdrawn(now, request->response)) {
    return false;
  }
  request->value.reset();
  return true;
}

ReplyDispatcher::ChunkResult ReplyDispatcher::append_value(Ms now, RequestId id, std::uint32_t attempt,
                                                           std::string_view chunk) {
  PendingRequest* const request = requests_.find(id);
  if (!request || request->answered || !request->value) return {};
  ChunkResult result;
  if (!request->streams_from(attempt)) {
    if (!request->value->is_candidate(attempt)) return {};
    const auto rest = compare_with_value(*request, chunk);
    if (!rest) return {};
    result.took_over = true;
    chunk = *rest;
  }
  request->value->pass_on(chunk);
  result.wants_more = request->handler->on_value_chunk(now, request->response, chunk);
  return result;
}

std::optional<std::string_view> ReplyDispatcher::compare_with_value(PendingRequest& request,
                                                                    std::string_view chunk) {
  const auto rest = request.value->compare(chunk);
  if (rest) ++metrics_.values.continued;
  if (!rest && !request.value->has_candidate()) ++metrics_.values.differed;
  return rest;
}

void ReplyDispatcher::finish_value(Ms now, RequestId id, Outcome outcome) {
  if (outcome != Outcome::kOk) return fail(now, id, FailureReason::kPolicy);
  finish(now, id, Result::kServed, {}, [&](DownstreamHandler& handler, ResponseHandle response) {
    handler.on_value_finished(now, response);
  });
}

void ReplyDispatcher::resume_value(Ms now, RequestId id) {
  const PendingRequest* const request = requests_.find(id);
  if (!request || !request->value) return;
  const Attempt& attempt = request->attempts[request->value->source()];
  if (attempt.in_flight) request->upstream->resume(now, attempt.id);
}

std::optional<RequestId> ReplyDispatcher::pop_finished() {
  if (finished_.empty()) return {};
  const RequestId id = finished_.back();
  finished_.pop_back();
  return id;
}

}  // namespace cometfold::engine
