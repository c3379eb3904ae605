// Maps a proxied request's headers to the request that the module decides on.
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

// A request as its headers have it. The views last as long as the headers.
struct MappedRequest {
  Request request;
  Ms timeout_ms = 0;  // what its client waits in all
  bool has_idempotency_key = false;
  bool is_grpc = false;
  std::string_view id;        // the proxy's; empty: there is none
  std::uint32_t attempt = 1;  // the proxy's count; 1: the first
  std::string error;          // why the request is bad, and what would be right; empty: it is good
};

class RequestMapper {
 public:
  // `seed` keys the hash of customers' names.
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

  // The values of the headers that are looked for; empty: not there.
  struct FoundHeaders {
    std::array<std::string_view, kFieldCount> values{};
    std::string_view deadline;
    std::size_t deadline_index = 0;  // into `deadline_headers`; their number: none is there
    std::string_view operator[](Field field) const { return values[field]; }
  };

  FoundHeaders find_headers(std::span<const HeaderView> headers) const;
  const RouteRule* find_rule(const FoundHeaders& found) const;

  // Each fills in its part of the request and gives the reason why it is bad, or an empty text.
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
  // Header name to its `Field`, or to kFieldCount and its place in `deadline_headers`. Views into `mapping_`.
  std::unordered_map<std::string_view, std::size_t> fields_;
  std::uint64_t name_lengths_ = 0;  // bit n: a header whose name has n bytes is looked for
};

// A customer's number. Sixteen hexadecimal digits are one already, so that both front ends mean the same
// customer; any other text is hashed with the seed.
CustomerId customer_id_of(std::string_view name, std::uint64_t seed);

}  // namespace cometfold::extproc
