// From a request's headers to what the module is asked.
#pragma once

#include <array>
#include <cstdint>
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
struct Mapped {
  Request request;
  Ms wait = 0;
  bool has_key = false;
  bool grpc = false;
  std::string_view id;        // empty: it says none
  std::uint32_t attempt = 1;  // 1: the first
  std::string error;          // why it is none, and what would be right; empty: it is good
};

class Mapper {
 public:
  Mapper(Mapping mapping, Names names, std::uint64_t seed);
  Mapped map(std::span<const HeaderView> headers) const;
  const Names& names() const { return names_; }

 private:
  enum Field : std::uint8_t {
    kClass,
    kPlan,
    kCustomer,
    kUnits,
    kSpread,
    kKey,
    kId,
    kAttempt,
    kMethod,
    kPath,
    kContentType,
    kFields
  };
  using Found = std::array<std::string_view, kFields>;

  const Rule* rule_for(const Found& found) const;
  Ms longest(const Request& request) const;
  std::string read(const Found& found, std::string_view deadline, std::size_t deadline_at,
                   Mapped& into) const;

  Mapping mapping_;
  Names names_;
  std::uint64_t seed_;
  std::unordered_map<std::string_view, unsigned> fields_;  // into `mapping_`; deadlines from kFields on
  std::uint64_t lengths_ = 0;                              // of the names looked for, as bits
};

// A customer's number. Sixteen hexadecimal digits are one already, so that both front ends mean the same
// customer; any other text is hashed with the seed.
CustomerId customer_number(std::string_view name, std::uint64_t seed);

}  // namespace cometfold::extproc
