// A proxied request between its first call and the end of its last attempt.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "extproc/processor.h"

namespace cometfold::extproc {

struct Processor::PendingRequest {
  PendingId id = 0;
  RequestId engine_id = 0;  // 0 until the engine has accepted it
  Exchange* exchange = nullptr;
  engine::AttemptId attempt = 0;  // in flight, or waiting for a call that fetches it; 0: none
  Ms attempt_deadline = 0;
  std::shared_ptr<const std::string> endpoint;  // endpoint of the attempt's host
  std::string proxy_id;                         // the proxy's request id; empty: none
  std::uint32_t class_index = 0;
  bool has_idempotency_key = false;
  bool proxy_id_ambiguous = false;  // more than one request has this id
  bool answered = false;            // the engine has decided, or its decision is no longer needed
  bool awaits_fetch = false;        // the attempt waits for a call that fetches it
  bool decision_withdrawn = false;  // the message that named the attempt's host was withdrawn
  bool earlier_attempt_may_have_left = false;

  bool attempt_in_flight() const { return attempt != 0 && !awaits_fetch && !decision_withdrawn; }
  bool any_attempt_may_have_left() const { return earlier_attempt_may_have_left || attempt_in_flight(); }
};

// The payload that the engine holds for a request: only a reference to the pending request.
class Processor::RequestPayload : public engine::Payload {
 public:
  RequestPayload(PendingId pending_id, std::size_t bytes) : pending_id_(pending_id), bytes_(bytes) {}
  std::size_t bytes() const override { return bytes_; }
  PendingId pending_id() const { return pending_id_; }

 private:
  PendingId pending_id_;
  std::size_t bytes_;
};

}  // namespace cometfold::extproc
