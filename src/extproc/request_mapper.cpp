#include "extproc/request_mapper.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "extproc/name_list.h"
#include "http2/grpc.h"

namespace cometfold::extproc {

namespace {

constexpr Ms kMaxTimeoutMs = 600'000;
constexpr std::size_t kMaxNameBytes = 256;       // maximum length of ids, keys and customer names
constexpr std::size_t kMaxHeaderNameBytes = 63;  // `name_lengths_` has a bit for each length
constexpr std::size_t kMaxQuotedBytes = 64;      // of a client's value in an error message
constexpr std::uint32_t kMaxAttempts = 1000;
constexpr double kUnitsTolerance = 1e-6;  // relative, for rounding errors in transmitted values
constexpr std::size_t kNumberedCustomerDigits = 16;
// Customer ids of RESP2 clients are below this value, hashed names at or above it.
constexpr CustomerId kFirstHashedCustomer = CustomerId{1} << 33;

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;
constexpr std::uint64_t kMixFactor = 0xd6e8feb86659fd93;

constexpr std::string_view kGrpcTimeoutHeader = "grpc-timeout";

template <typename Number>
bool parse_number(std::string_view text, Number& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

// Quotes a client's value for an error message: shortened, with unprintable characters replaced.
std::string quoted(std::string_view text) {
  std::string safe = "'";
  for (const char c : text.substr(0, kMaxQuotedBytes)) {
    const bool printable = c >= 0x20 && c < 0x7f && c != '\'';
    safe += printable ? c : '?';
  }
  return safe + "'";
}

bool path_matches(const std::string& pattern, std::string_view path) {
  if (pattern.empty()) return true;
  if (pattern.back() != '*') return path == pattern;
  return path.starts_with(std::string_view(pattern).substr(0, pattern.size() - 1));
}

std::string header_clause(const std::string& header) {
  return header.empty() ? "" : " by the header " + header + ",";
}

std::string too_long(const std::string& header) { return header + " is longer than 256 bytes"; }

// Returns the value of the header, else that of the rule, else the default.
std::string_view first_given(std::string_view header, const std::string* rule,
                             const std::string& default_value) {
  if (!header.empty()) return header;
  if (rule && !rule->empty()) return *rule;
  return default_value;
}

}  // namespace

CustomerId customer_id_of(std::string_view name, std::uint64_t seed) {
  if (name.size() == kNumberedCustomerDigits) {
    CustomerId number = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number, 16);
    const bool complete = error == std::errc{} && end == name.data() + name.size();
    if (complete && number < kFirstHashedCustomer) return number;
  }
  std::uint64_t hash = kFnvOffset ^ seed;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  hash ^= hash >> 32;
  hash *= kMixFactor;
  hash ^= hash >> 32;
  return hash | kFirstHashedCustomer;
}

RequestMapper::RequestMapper(HeaderMapping mapping, NamedSettings names, std::uint64_t seed)
    : mapping_(std::move(mapping)), names_(std::move(names)), seed_(seed) {
  const auto look_for = [&](std::string_view name, std::size_t field) {
    if (name.empty() || name.size() > kMaxHeaderNameBytes) return;
    fields_.try_emplace(name, field);
    name_lengths_ |= std::uint64_t{1} << name.size();
  };
  look_for(mapping_.class_header, kClass);
  look_for(mapping_.plan_header, kPlan);
  look_for(mapping_.customer_header, kCustomer);
  look_for(mapping_.units_header, kUnits);
  look_for(mapping_.gateway_count_header, kGatewayCount);
  look_for(mapping_.key_header, kKey);
  look_for(mapping_.id_header, kId);
  look_for(mapping_.attempt_header, kAttempt);
  look_for(":method", kMethod);
  look_for(":path", kPath);
  look_for("content-type", kContentType);
  for (std::size_t i = 0; i < mapping_.deadline_headers.size(); ++i) {
    look_for(mapping_.deadline_headers[i], kFieldCount + i);
  }
}

MappedRequest RequestMapper::map(std::span<const HeaderView> headers) const {
  MappedRequest mapped;
  mapped.error = map_all(find_headers(headers), mapped);
  return mapped;
}

RequestMapper::FoundHeaders RequestMapper::find_headers(std::span<const HeaderView> headers) const {
  FoundHeaders found;
  found.deadline_index = mapping_.deadline_headers.size();
  for (const auto& header : headers) {
    const std::size_t length = header.name.size();
    if (length > kMaxHeaderNameBytes || !(name_lengths_ >> length & 1)) continue;
    const auto it = fields_.find(header.name);
    if (it == fields_.end()) continue;
    const std::size_t field = it->second;
    if (field < kFieldCount) {
      if (found.values[field].empty()) found.values[field] = header.value;
    } else if (field - kFieldCount < found.deadline_index) {
      found.deadline_index = field - kFieldCount;
      found.deadline = header.value;
    }
  }
  return found;
}

const RouteRule* RequestMapper::find_rule(const FoundHeaders& found) const {
  const auto path = found[kPath].substr(0, found[kPath].find('?'));
  for (const auto& rule : mapping_.rules) {
    const bool method_matches = rule.method.empty() || rule.method == found[kMethod];
    if (method_matches && path_matches(rule.path, path)) return &rule;
  }
  return nullptr;
}

std::string RequestMapper::map_all(const FoundHeaders& found, MappedRequest& mapped) const {
  Request& request = mapped.request;
  if (auto error = map_identity(found, mapped); !error.empty()) return error;
  const RouteRule* rule = find_rule(found);
  if (auto error = map_class(found, rule, request); !error.empty()) return error;
  if (auto error = map_plan(found, rule, request); !error.empty()) return error;
  if (auto error = map_customer(found, request); !error.empty()) return error;
  if (auto error = map_units(found, rule, request); !error.empty()) return error;
  if (auto error = map_gateway_count(found, request); !error.empty()) return error;
  if (auto error = map_timeout(found, mapped); !error.empty()) return error;
  request.is_client_retry = mapped.attempt > 1;
  if (const RequestBounds* bounds = bounds_of(rule, request.class_index)) request.bounds = *bounds;
  return {};
}

std::string RequestMapper::map_identity(const FoundHeaders& found, MappedRequest& mapped) const {
  mapped.is_grpc = http2::grpc::is_grpc(found[kContentType]);
  mapped.has_idempotency_key = !found[kKey].empty();
  mapped.id = found[kId];
  if (mapped.id.size() > kMaxNameBytes) return too_long(mapping_.id_header);
  if (found[kKey].size() > kMaxNameBytes) return too_long(mapping_.key_header);
  if (found[kAttempt].empty()) return {};
  const bool is_count = parse_number(found[kAttempt], mapped.attempt);
  if (is_count && mapped.attempt >= 1 && mapped.attempt <= kMaxAttempts) return {};
  return mapping_.attempt_header + " must be a whole number from 1 to 1000, not " + quoted(found[kAttempt]);
}

std::string RequestMapper::map_class(const FoundHeaders& found, const RouteRule* rule,
                                     Request& request) const {
  const auto name = first_given(found[kClass], rule ? &rule->class_name : nullptr, mapping_.default_class);
  if (name.empty()) {
    return "no class is named:" + header_clause(mapping_.class_header) + " by a rule for " +
           quoted(found[kMethod]) + " " + quoted(found[kPath]) + " or by default_class";
  }
  const auto index = index_of(names_.class_names, name);
  if (!index) return "no class " + quoted(name) + "; there are " + joined(names_.class_names);
  request.class_index = *index;
  return {};
}

std::string RequestMapper::map_plan(const FoundHeaders& found, const RouteRule* rule,
                                    Request& request) const {
  const auto name = first_given(found[kPlan], rule ? &rule->plan_name : nullptr, mapping_.default_plan);
  if (name.empty()) {
    return "no plan is named:" + header_clause(mapping_.plan_header) + " by a rule or by default_plan";
  }
  const auto index = index_of(names_.plan_names, name);
  if (!index) return "no plan " + quoted(name) + "; there are " + joined(names_.plan_names);
  request.plan_index = *index;
  return {};
}

std::string RequestMapper::map_customer(const FoundHeaders& found, Request& request) const {
  const auto name = first_given(found[kCustomer], nullptr, mapping_.default_customer);
  if (name.empty()) {
    return "no customer is named:" + header_clause(mapping_.customer_header) + " or by default_customer";
  }
  if (name.size() > kMaxNameBytes) return too_long(mapping_.customer_header);
  request.customer = customer_id_of(name, seed_);
  return {};
}

std::string RequestMapper::map_units(const FoundHeaders& found, const RouteRule* rule,
                                     Request& request) const {
  request.units = rule && rule->units ? *rule->units : mapping_.default_units;
  if (!found[kUnits].empty()) {
    const bool is_number = parse_number(found[kUnits], request.units);
    if (!is_number || !(request.units > 0)) {
      return mapping_.units_header + " must be a number above 0, not " + quoted(found[kUnits]);
    }
  }
  const double max_units = names_.settings.max_request_units;
  if (request.units <= max_units * (1 + kUnitsTolerance)) return {};
  return "units are more than " + std::to_string(max_units);
}

std::string RequestMapper::map_gateway_count(const FoundHeaders& found, Request& request) const {
  const double all = names_.settings.gateway_count;
  const double usual = mapping_.default_gateway_count;
  request.gateway_count = usual > 0 ? std::min(usual, all) : all;
  if (found[kGatewayCount].empty()) return {};
  const bool is_number = parse_number(found[kGatewayCount], request.gateway_count);
  if (is_number && request.gateway_count >= 1 && request.gateway_count <= all) return {};
  return mapping_.gateway_count_header + " must be a number from 1 to " + std::to_string(all);
}

std::string RequestMapper::map_timeout(const FoundHeaders& found, MappedRequest& mapped) const {
  const Ms class_deadline = names_.settings.classes[mapped.request.class_index].deadline_ms;
  mapped.timeout_ms = class_deadline > 0 ? class_deadline : kMaxTimeoutMs;
  if (found.deadline_index >= mapping_.deadline_headers.size()) return {};
  const auto& header = mapping_.deadline_headers[found.deadline_index];
  Ms given = 0;
  if (header == kGrpcTimeoutHeader) {
    const auto timeout = http2::grpc::parse_timeout(found.deadline);
    if (!timeout) return "grpc-timeout is none: " + quoted(found.deadline);
    given = *timeout;
  } else if (!parse_number(found.deadline, given) || !(given >= 0)) {
    return header + " must be a number of milliseconds, not " + quoted(found.deadline);
  }
  // In Envoy's headers 0 stands for no timeout.
  if (given > 0 || header == kGrpcTimeoutHeader) mapped.timeout_ms = std::min(given, kMaxTimeoutMs);
  return {};
}

const RequestBounds* RequestMapper::bounds_of(const RouteRule* rule, std::uint32_t class_index) const {
  if (rule && rule->bounds && names_.class_names[class_index] == rule->class_name) return &*rule->bounds;
  return class_index < names_.bounds.size() ? &names_.bounds[class_index] : nullptr;
}

}  // namespace cometfold::extproc
