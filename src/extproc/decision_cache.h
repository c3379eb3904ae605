// Decisions on finished requests, for proxies that call again with the same request id.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cometfold/admission_controller.h"

namespace cometfold::extproc {

// What a proxy's call is answered with.
struct Decision {
  enum Kind : std::uint8_t {
    kServed,    // the proxy's client has a reply from a host, or may have
    kRejected,  // nothing ran
    kFailed,
    kNotSent,  // the request ended before any attempt left: it may be decided anew
  };
  Kind kind = kFailed;
  int status = 503;
  int grpc_status = 14;  // UNAVAILABLE
  Ms retry_after_ms = 0;
  const char* details = "";  // for the proxy's access log; a literal
};

inline constexpr int kGrpcDeadlineExceeded = 4;
inline constexpr int kGrpcResourceExhausted = 8;
inline constexpr int kGrpcUnavailable = 14;

inline constexpr Decision kIdNotUnique{Decision::kFailed, 503, kGrpcUnavailable, 0,
                                       "cometfold_id_not_unique"};

// A request that is over, under the proxy's id for it.
struct FinishedRequest {
  std::string proxy_id;
  std::uint32_t class_index = 0;
  Decision decision;
};

// Holds a bounded number of finished requests, the latest; the oldest is evicted first.
class DecisionCache {
 public:
  // Null if there is none under this id. Lasts until the next change of the cache.
  const FinishedRequest* find(std::string_view proxy_id) const;
  bool contains(std::string_view proxy_id) const { return find(proxy_id) != nullptr; }
  // Replaces what is there under the same id. `capacity`: entries at most; 0 keeps none.
  void insert(FinishedRequest request, std::size_t capacity);
  void erase(std::string_view proxy_id);
  std::size_t size() const { return oldest_first_.size(); }

 private:
  std::list<FinishedRequest> oldest_first_;
  std::unordered_map<std::string_view, std::list<FinishedRequest>::iterator> by_proxy_id_;
};

}  // namespace cometfold::extproc
