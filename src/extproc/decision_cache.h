// Remembers the decisions on finished requests, for proxies that retry with the same request id.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cometfold/admission_controller.h"

namespace cometfold::extproc {

// The reply to a proxy's call.
struct Decision {
  enum Kind : std::uint8_t {
    kServed,    // the proxy's client has, or may have, a reply from a host
    kRejected,  // no attempt ran
    kFailed,
    kNotSent,  // the request ended before any attempt was sent: a retry gets a new decision
  };
  Kind kind = kFailed;
  int status = 503;
  int grpc_status = 14;  // UNAVAILABLE
  Ms retry_after_ms = 0;
  const char* details = "";  // for the proxy's access log; a string literal
};

inline constexpr int kGrpcDeadlineExceeded = 4;
inline constexpr int kGrpcResourceExhausted = 8;
inline constexpr int kGrpcUnavailable = 14;

inline constexpr Decision kIdNotUnique{Decision::kFailed, 503, kGrpcUnavailable, 0,
                                       "cometfold_id_not_unique"};

// A finished request, identified by the proxy's request id.
struct FinishedRequest {
  std::string proxy_id;
  std::uint32_t class_index = 0;
  Decision decision;
};

// Holds a bounded number of finished requests. The oldest is evicted first.
class DecisionCache {
 public:
  // Returns null if there is no request with this id. Valid until the cache changes.
  const FinishedRequest* find(std::string_view proxy_id) const;
  bool contains(std::string_view proxy_id) const { return find(proxy_id) != nullptr; }
  // Replaces an entry with the same id. `capacity` is the maximum number of entries; 0 keeps none.
  void insert(FinishedRequest request, std::size_t capacity);
  void erase(std::string_view proxy_id);
  std::size_t size() const { return oldest_first_.size(); }

 private:
  std::list<FinishedRequest> oldest_first_;
  std::unordered_map<std::string_view, std::list<FinishedRequest>::iterator> by_proxy_id_;
};

}  // namespace cometfold::extproc
