// A proxied request between its first call and the end of its last attempt.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "extproc/processor.h"

namespace cometfold::extproc {

struct Processor::PendingRequest {
  PendingId id = 0;
  RequestId engine_id = 0;  // 0 while the engine is accepting it
  Exchange* exchange = nullptr;
  engine::AttemptId attempt = 0;  // in flight or waiting to be fetched; 0: none
  Ms attempt_deadline = 0;
  std::shared_ptr<const std::string> endpoint;  // of that attempt's host
  std::string proxy_id;                         // empty: the proxy gave none
  std::uint32_t class_index = 0;
  bool has_idempotency_key = false;
  bool proxy_id_ambiguous = false;  // two requests have this id
  bool answered = false;            // the engine expects no reply any more
  bool awaits_fetch = false;        // the attempt waits for a call that fetches it
  bool decision_withdrawn = false;  // the message that names the attempt's host was withdrawn
  bool earlier_attempt_may_have_left = false;

  bool attempt_in_flight() const { return attempt != 0 && !awaits_fetch && !decision_withdrawn; }
  bool any_attempt_may_have_left() const { return earlier_attempt_may_have_left || attempt_in_flight(); }
};

// What the engine holds for a request: only whose it is.
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
