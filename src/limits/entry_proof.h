// Proves one entry of a limits file: its values, what its class permits, and the longest chain of attempts.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "limits/attempt_limits.h"

namespace cometfold::limits {

// Longer than any deadline that a configuration may set.
inline constexpr Ms kMaxTimeMs = 3'600'000;

class EntryProof {
 public:
  // All references must outlive this object; errors are appended to `errors`.
  EntryProof(const LimitsFile& file, const PlatformConfig& platform, const LimitEntry& entry,
             std::size_t class_index, std::vector<LimitError>& errors)
      : file_(file),
        platform_(platform),
        entry_(entry),
        class_(platform.settings.classes[class_index]),
        errors_(errors) {}

  // The entry's bounds. What the entry does not set is taken from `inherited`: the class's bounds for a
  // route, no bounds for a class. Returns `inherited` if a value is invalid.
  RequestBounds run(const RequestBounds& inherited) const;

 private:
  void report(int line, const char* key, std::string description, std::string nearest_valid) const;
  // Check each value by itself and against the inherited bound.
  void check_max_attempts(const RequestBounds& inherited) const;
  void check_hedging(const RequestBounds& inherited) const;
  // `inherited` is 0 if there is no inherited bound.
  void check_time(const std::optional<SourceValue<Ms>>& value, const char* key, Ms inherited) const;
  // Checks that the class permits hedged requests and that the bounds allow a second attempt.
  void check_hedging_permitted(const RequestBounds& bounds) const;
  // Checks the longest chain of attempts against the network delay, the client's deadline and the idempotency
  // key's lifetime.
  void check_chain(const RequestBounds& bounds) const;
  void check_key_lifetime(const RequestBounds& bounds, const AttemptChain& chain) const;
  void check_deadline(const RequestBounds& bounds, const AttemptChain& chain) const;

  Ms client_deadline() const;
  double max_attempts_within_deadline(const RequestBounds& bounds) const;
  std::string describe(const RequestBounds& bounds, const AttemptChain& chain) const;

  const LimitsFile& file_;
  const PlatformConfig& platform_;
  const LimitEntry& entry_;
  const ClassSettings& class_;
  std::vector<LimitError>& errors_;
};

}  // namespace cometfold::limits
