#include "extproc/mapper.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "http2/grpc.h"

namespace cometfold::extproc {

namespace {

constexpr Ms kLongestWait = 600'000;  // of a client; more is no sensible time
constexpr std::size_t kLongestName = 256;
constexpr CustomerId kNumbered = CustomerId{1} << 33;  // customers that RESP2 clients name lie below
constexpr std::uint32_t kMostAttempts = 1000;

template <typename T>
bool read_number(std::string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

bool index_of(const std::vector<std::string>& names, std::string_view name, std::uint32_t& index) {
  const auto it = std::find(names.begin(), names.end(), name);
  index = static_cast<std::uint32_t>(it - names.begin());
  return it != names.end();
}

std::string all_of(const std::vector<std::string>& names) {
  std::string all;
  for (const auto& n : names) all += (all.empty() ? "" : ", ") + n;
  return all;
}

// Of what a client has sent, so much as fits into an error.
std::string quoted(std::string_view text) {
  std::string safe = "'";
  for (const char c : text.substr(0, 64)) safe += c >= 0x20 && c < 0x7f && c != '\'' ? c : '?';
  return safe + "'";
}

bool fits(const std::string& pattern, std::string_view path) {
  if (pattern.empty()) return true;
  if (pattern.back() != '*') return path == pattern;
  return path.starts_with(std::string_view(pattern).substr(0, pattern.size() - 1));
}

std::string says(const std::string& header) { return header.empty() ? "" : " by the header " + header + ","; }

}  // namespace

CustomerId customer_number(std::string_view name, std::uint64_t seed) {
  CustomerId number = 0;
  if (name.size() == 16) {
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number, 16);
    if (error == std::errc{} && end == name.data() + name.size() && number < kNumbered) return number;
  }
  std::uint64_t hash = 0xcbf29ce484222325 ^ seed;  // FNV-1a, then mixed
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  hash ^= hash >> 32;
  hash *= 0xd6e8feb86659fd93;
  hash ^= hash >> 32;
  return hash | kNumbered;
}

void check(const Settings& settings, const Names& names) {
  const auto known = [](const std::vector<std::string>& all, const std::string& name, const char* what,
                        const std::string& at) {
    std::uint32_t ignored = 0;
    if (name.empty() || index_of(all, name, ignored)) return;
    throw SettingsError(at + ": no " + what + " '" + name + "'; there are " + all_of(all));
  };
  const auto& m = settings.mapping;
  known(names.classes, m.default_class, "class", m.at);
  known(names.plans, m.default_plan, "plan", m.at);
  for (const auto& r : m.rules) {
    known(names.classes, r.cls, "class", r.at);
    known(names.plans, r.plan, "plan", r.at);
    if (r.units && *r.units > names.settings.max_request_units) {
      throw SettingsError(r.at + ": units must be at most " +
                          std::to_string(names.settings.max_request_units));
    }
  }
}

Mapper::Mapper(Mapping mapping, Names names, std::uint64_t seed)
    : mapping_(std::move(mapping)), names_(std::move(names)), seed_(seed) {
  const auto look_for = [&](std::string_view name, unsigned field) {
    if (name.empty() || name.size() > 63) return;
    fields_.try_emplace(name, field);
    lengths_ |= std::uint64_t{1} << name.size();
  };
  look_for(mapping_.class_header, kClass);
  look_for(mapping_.plan_header, kPlan);
  look_for(mapping_.customer_header, kCustomer);
  look_for(mapping_.units_header, kUnits);
  look_for(mapping_.spread_header, kSpread);
  look_for(mapping_.key_header, kKey);
  look_for(mapping_.id_header, kId);
  look_for(mapping_.attempt_header, kAttempt);
  look_for(":method", kMethod);
  look_for(":path", kPath);
  look_for("content-type", kContentType);
  for (std::size_t i = 0; i < mapping_.deadline_headers.size(); ++i) {
    look_for(mapping_.deadline_headers[i], static_cast<unsigned>(kFields + i));
  }
}

const Rule* Mapper::rule_for(const Found& found) const {
  const auto path = found[kPath].substr(0, found[kPath].find('?'));
  for (const auto& r : mapping_.rules) {
    if ((r.method.empty() || r.method == found[kMethod]) && fits(r.path, path)) return &r;
  }
  return nullptr;
}

Mapped Mapper::map(std::span<const HeaderView> headers) const {
  Found found{};
  std::string_view deadline;
  std::size_t deadline_at = mapping_.deadline_headers.size();
  for (const auto& h : headers) {
    if (h.name.size() > 63 || !(lengths_ >> h.name.size() & 1)) continue;
    const auto it = fields_.find(h.name);
    if (it == fields_.end()) continue;
    if (it->second < kFields) {
      if (found[it->second].empty()) found[it->second] = h.value;
    } else if (it->second - kFields < deadline_at) {
      deadline_at = it->second - kFields;
      deadline = h.value;
    }
  }
  Mapped m;
  m.error = read(found, deadline, deadline_at, m);
  return m;
}

Ms Mapper::longest(const Request& request) const {
  const Ms own = names_.settings.classes[request.class_index].deadline_ms;
  return own > 0 ? own : kLongestWait;
}

// The reason why a request is none, or nothing.
std::string Mapper::read(const Found& found, std::string_view deadline, std::size_t deadline_at,
                         Mapped& m) const {
  Request& q = m.request;
  m.grpc = http2::grpc::is_grpc(found[kContentType]);
  m.has_key = !found[kKey].empty();
  m.id = found[kId];
  const auto& map = mapping_;
  if (m.id.size() > kLongestName) return map.id_header + " is longer than 256 bytes";
  if (found[kKey].size() > kLongestName) return map.key_header + " is longer than 256 bytes";
  if (!found[kAttempt].empty() &&
      !(read_number(found[kAttempt], m.attempt) && m.attempt >= 1 && m.attempt <= kMostAttempts)) {
    return map.attempt_header + " must be a whole number from 1 to 1000, not " + quoted(found[kAttempt]);
  }
  const Rule* rule = rule_for(found);

  std::string_view name = found[kClass];
  if (name.empty()) name = rule && !rule->cls.empty() ? rule->cls : map.default_class;
  if (name.empty()) {
    return "no class is named:" + says(map.class_header) + " by a rule for " + quoted(found[kMethod]) + " " +
           quoted(found[kPath]) + " or by default_class";
  }
  if (!index_of(names_.classes, name, q.class_index)) {
    return "no class " + quoted(name) + "; there are " + all_of(names_.classes);
  }
  name = found[kPlan];
  if (name.empty()) name = rule && !rule->plan.empty() ? rule->plan : map.default_plan;
  if (name.empty()) return "no plan is named:" + says(map.plan_header) + " by a rule or by default_plan";
  if (!index_of(names_.plans, name, q.plan_index)) {
    return "no plan " + quoted(name) + "; there are " + all_of(names_.plans);
  }
  name = found[kCustomer].empty() ? std::string_view(map.default_customer) : found[kCustomer];
  if (name.empty()) return "no customer is named:" + says(map.customer_header) + " or by default_customer";
  if (name.size() > kLongestName) return map.customer_header + " is longer than 256 bytes";
  q.customer = customer_number(name, seed_);

  q.units = rule && rule->units ? *rule->units : map.default_units;
  const double most = names_.settings.max_request_units;
  if (!found[kUnits].empty() && !(read_number(found[kUnits], q.units) && q.units > 0)) {
    return map.units_header + " must be a number above 0, not " + quoted(found[kUnits]);
  }
  if (!(q.units <= most * (1 + 1e-6))) return "units are more than " + std::to_string(most);
  q.gateway_count = map.default_spread > 0 ? std::min(map.default_spread, names_.settings.gateway_count)
                                           : names_.settings.gateway_count;
  if (!found[kSpread].empty() && !(read_number(found[kSpread], q.gateway_count) && q.gateway_count >= 1 &&
                                   q.gateway_count <= names_.settings.gateway_count)) {
    return map.spread_header + " must be a number from 1 to " + std::to_string(names_.settings.gateway_count);
  }

  m.wait = longest(q);
  if (deadline_at < map.deadline_headers.size()) {
    const auto& header = map.deadline_headers[deadline_at];
    Ms said = 0;
    if (header == "grpc-timeout") {
      const auto timeout = http2::grpc::parse_timeout(deadline);
      if (!timeout) return "grpc-timeout is none: " + quoted(deadline);
      said = *timeout;
    } else if (!read_number(deadline, said) || !(said >= 0)) {
      return header + " must be a number of milliseconds, not " + quoted(deadline);
    }
    // Envoy says 0 for no timeout.
    if (said > 0 || header == "grpc-timeout") m.wait = std::min(said, kLongestWait);
  }
  q.is_client_retry = m.attempt > 1;
  if (rule && rule->bounds && names_.classes[q.class_index] == rule->cls) {
    q.bounds = *rule->bounds;
  } else if (q.class_index < names_.bounds.size()) {
    q.bounds = names_.bounds[q.class_index];
  }
  return {};
}

}  // namespace cometfold::extproc
