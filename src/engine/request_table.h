// The requests that the engine has accepted and not yet erased, with their attempts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "cometfold/attempt_rules.h"
#include "engine/digest.h"
#include "engine/downstream_handler.h"
#include "engine/request.h"
#include "engine/streamed_value.h"
#include "engine/upstream_transport.h"

namespace cometfold::engine {

struct Attempt {
  AttemptId id = 0;
  HostId host = 0;
  Ms sent_at = 0;
  Ms expires_at = 0;  // when it is abandoned
  bool in_flight = true;
  HostLocation location = {};  // of the host when the attempt was decided on
  Ms host_started_at = 0;      // start time of the host process that was chosen
  bool may_have_executed = true;
  bool awaits_first_byte = false;
  Outcome outcome = Outcome::kOk;  // valid when no longer in flight
};

struct PendingRequest {
  DownstreamHandler* handler = nullptr;
  UpstreamTransport* upstream = nullptr;
  ResponseHandle response;
  std::unique_ptr<Payload> payload;
  Ms expires_at = 0;
  std::uint64_t identity = 0;
  std::uint32_t class_index = 0;
  std::optional<ClassSettings> class_settings;  // at its acceptance; if empty, no attempt rules apply
  bool answered = false;                        // has its final reply, or its client has disconnected
  std::optional<StreamedValue> value;           // the reply, if it is being streamed
  std::vector<Attempt> attempts;
  bool is_late_in_shutdown = false;  // see `EngineLimits::shutdown_excused_ms`
  bool keeps_identity = false;       // after it was answered, until it is erased
  std::size_t in_flight_count = 0;
  std::size_t unreported_end_count = 0;  // ended attempts that the policy has not been notified of

  // Whether the client has closed its connection before it had its reply.
  bool client_disconnected() const { return !answered && handler->client_disconnected(response); }
  // The value of this attempt is being passed on to the client.
  bool streams_from(std::uint32_t attempt) const { return value && value->source() == attempt; }
};

// Pointers to entries stay valid until the entry is erased.
class RequestTable {
 public:
  struct AttemptRef {
    RequestId request = 0;
    std::uint32_t index = 0;  // among the request's attempts
  };

  // Adds the request under the next id and reserves its identity.
  std::pair<RequestId, PendingRequest&> add(PendingRequest request);
  PendingRequest* find(RequestId id);
  bool contains(RequestId id) const { return requests_.contains(id); }
  // Whether another request with this identity is open, or may have been executed shortly before `now` for a
  // client that disconnected.
  bool identity_in_use(Ms now, std::uint64_t identity);
  // Those of classes that are not idempotent, for a process that takes over.
  std::vector<IdentityInUse> identities_in_use(Ms now) const;
  // Another process has requests with these identities, which stay in use as if they had been executed here.
  void reserve_identities(Ms now, std::vector<IdentityInUse> identities);
  // Whether `token` is the id of a request that has been erased.
  bool is_erased(std::uint64_t token) const { return token <= last_request_id_ && !contains(token); }

  AttemptId next_attempt_id() { return ++last_attempt_id_; }
  void add_attempt_ref(AttemptId attempt, AttemptRef ref) { attempts_.emplace(attempt, ref); }
  std::optional<AttemptRef> find_attempt(AttemptId attempt) const;
  void erase_attempt_ref(AttemptId attempt) { attempts_.erase(attempt); }

  // The request has its final reply: releases its identity.
  void mark_answered(PendingRequest& request);
  void mark_answered_keeping_identity(PendingRequest& request);
  // The client has disconnected. The identity stays in use until the last attempt has ended, and for a while
  // after it if one may have been executed and the class is not idempotent: the client may send the request
  // again.
  void mark_disconnected(PendingRequest& request);
  // Erases the request if it is answered, none of its attempts is in flight and the policy has been notified
  // of all ends.
  void erase_if_done(RequestId id);

  std::vector<RequestId> unanswered_ids() const;  // in ascending order
  std::size_t size() const { return requests_.size(); }
  std::size_t unanswered_count() const { return unanswered_count_; }
  std::size_t payload_bytes() const { return payload_bytes_; }
  void digest(Digest& into) const;
  void digest_last_ids(Digest& into) const { into.add(last_request_id_ << 32 | last_attempt_id_); }

 private:
  std::unordered_map<RequestId, PendingRequest> requests_;
  struct ExecutedIdentity {
    std::uint64_t identity = 0;
    Ms in_use_until = 0;
  };

  void release_identity(const PendingRequest& request);
  void keep_identity(std::uint64_t identity, Ms in_use_until);

  std::unordered_set<std::uint64_t> open_identities_;
  std::deque<ExecutedIdentity> executed_identities_;  // also in `open_identities_`; the oldest first
  std::unordered_map<AttemptId, AttemptRef> attempts_;
  RequestId last_request_id_ = 0;
  AttemptId last_attempt_id_ = 0;
  std::size_t payload_bytes_ = 0;
  std::size_t unanswered_count_ = 0;
};

}  // namespace cometfold::engine
