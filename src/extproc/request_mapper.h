// Maps the headers of a proxied request to the request that the module decides on.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "extproc/processor_settings.h"
#include "http2/headers.h"

namespace cometfold::extproc {

using http2::HeaderView;

// A request as mapped from its headers. The views are valid as long as the headers.
struct MappedRequest {
  Request request;
  Ms timeout_ms = 0;  // total time that the client waits
  bool has_idempotency_key = false;
  bool is_grpc = false;
  std::string_view id;        // the proxy's request id; empty: none
  std::uint32_t attempt = 1;  // the proxy's attempt count, from 1
  std::string error;          // why the request is invalid and what would be valid; empty: it is valid
};

class RequestMapper {
 public:
  // `seed` keys the hash of customer names.
  RequestMapper(HeaderMapping mapping, NamedSettings names, std::uint64_t seed);

  MappedRequest map(std::span<const HeaderView> headers) const;

 private:
  enum Field : std::uint8_t {
    kClass,
    kPlan,
    kCustomer,
    kUnits,
    kGatewayCount,
    kKey,
    kId,
    kAttempt,
    kMethod,
    kPath,
    kContentType,
    kFieldCount
  };

  // The values of the headers that are used; empty: not present.
  struct FoundHeaders {
    std::array<std::string_view, kFieldCount> values{};
    std::string_view deadline;
    std::size_t deadline_index = 0;  // index into `deadline_headers`; its size: none is present
    std::string_view operator[](Field field) const { return values[field]; }
  };

  FoundHeaders find_headers(std::span<const HeaderView> headers) const;
  const RouteRule* find_rule(const FoundHeaders& found) const;

  // Each fills in its part of the request. Returns why the request is invalid; empty if it is valid.
  std::string map_identity(const FoundHeaders& found, MappedRequest& mapped) const;
  std::string map_class(const FoundHeaders& found, const RouteRule* rule, Request& request) const;
  std::string map_plan(const FoundHeaders& found, const RouteRule* rule, Request& request) const;
  std::string map_customer(const FoundHeaders& found, Request& request) const;
  std::string map_units(const FoundHeaders& found, const RouteRule* rule, Request& request) const;
  std::string map_gateway_count(const FoundHeaders& found, Request& request) const;
  std::string map_timeout(const FoundHeaders& found, MappedRequest& mapped) const;
  std::string map_all(const FoundHeaders& found, MappedRequest& mapped) const;
  const RequestBounds* bounds_of(const RouteRule* rule, std::uint32_t class_index) const;

  HeaderMapping mapping_;
  NamedSettings names_;
  std::uint64_t seed_;
  // Maps a header name to its `Field`, or to kFieldCount plus its index in `deadline_headers`. The names are
  // views into `mapping_`.
  std::unordered_map<std::string_view, std::size_t> fields_;
  std::uint64_t name_lengths_ = 0;  // bit n: some header that is used has a name of n bytes
};

// Returns the id of a customer. Sixteen hexadecimal digits are the id itself if it is below 2^33, so that
// both front ends identify the same customer; any other name is hashed with the seed.
CustomerId customer_id_of(std::string_view name, std::uint64_t seed);

}  // namespace cometfold::extproc
