// The proof of one entry of a limits file: its values, the class's rights, and the longest chain of attempts.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "limits/attempt_limits.h"

namespace cometfold::limits {

// Longer than any deadline that a configuration may name.
inline constexpr Ms kMaxTimeMs = 3'600'000;

class EntryProof {
 public:
  // All references outlive this; errors are added to `errors`.
  EntryProof(const LimitsFile& file, const PlatformTerms& platform, const LimitEntry& entry,
             std::size_t class_index, std::vector<LimitError>& errors)
      : file_(file),
        platform_(platform),
        entry_(entry),
        class_(platform.settings.classes[class_index]),
        errors_(errors) {}

  // The entry's bounds. What it does not name is as in `inherited`: no bounds for a class, the class's for a
  // route.
  RequestBounds run(const RequestBounds& inherited) const;

 private:
  void report(int line, const char* key, std::string description, std::string nearest_valid) const;
  // Each value by itself, and a route's against its class's.
  void check_max_attempts(const RequestBounds& inherited) const;
  void check_hedging(const RequestBounds& inherited) const;
  // `inherited` 0: the class has no bound.
  void check_time(const std::optional<SourceValue<Ms>>& value, const char* key, Ms inherited) const;
  // Whether the class may be hedged at all.
  void check_hedging_right(const RequestBounds& bounds) const;
  // The longest chain against the network delay, the client's deadline and the idempotency key's lifetime.
  void check_chain(const RequestBounds& bounds) const;
  void check_key_lifetime(const RequestBounds& bounds, const AttemptChain& chain) const;
  void check_deadline(const RequestBounds& bounds, const AttemptChain& chain) const;

  Ms client_deadline() const;
  double most_attempts_that_fit(const RequestBounds& bounds) const;
  std::string describe(const RequestBounds& bounds, const AttemptChain& chain) const;

  const LimitsFile& file_;
  const PlatformTerms& platform_;
  const LimitEntry& entry_;
  const ClassSettings& class_;
  std::vector<LimitError>& errors_;
};

}  // namespace cometfold::limits
