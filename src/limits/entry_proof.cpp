#include "limits/entry_proof.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "limits/error_text.h"

namespace cometfold::limits {
namespace {

constexpr double kMaxAttempts = 64;

// The settings as they are written in the file.
constexpr char kMaxAttemptsKey[] = "attempts";
constexpr char kAttemptTimeoutKey[] = "attempt_ms";
constexpr char kRetryWindowKey[] = "send_until_ms";
constexpr char kHedgingKey[] = "second_copies";

bool is_whole(double value) { return value == std::floor(value); }

int line_of(const std::optional<SourceValue<Ms>>& value, const LimitEntry& entry) {
  return value ? value->line : entry.line;
}

}  // namespace

RequestBounds EntryProof::run(const RequestBounds& inherited) const {
  const std::size_t errors_before = errors_.size();
  const bool inherits_window = inherited.retry_window_ms < kMaxTimeMs;
  check_max_attempts(inherited);
  check_time(entry_.attempt_timeout_ms, kAttemptTimeoutKey, inherited.attempt_timeout_ms);
  check_time(entry_.retry_window_ms, kRetryWindowKey, inherits_window ? inherited.retry_window_ms : 0);
  check_hedging(inherited);
  if (errors_.size() != errors_before) return inherited;  // further checks would report the same errors again
  RequestBounds bounds = inherited;
  if (entry_.max_attempts) bounds.max_attempts = entry_.max_attempts->value;
  if (entry_.attempt_timeout_ms) bounds.attempt_timeout_ms = entry_.attempt_timeout_ms->value;
  if (entry_.retry_window_ms) bounds.retry_window_ms = entry_.retry_window_ms->value;
  if (entry_.hedging_allowed) bounds.hedging_allowed = entry_.hedging_allowed->value;
  check_hedging_permitted(bounds);
  check_chain(bounds);
  return bounds;
}

void EntryProof::report(int line, const char* key, std::string description, std::string nearest_valid) const {
  const std::string table =
      entry_.route.empty() ? "limits.class." + entry_.class_name : "route " + entry_.route;
  errors_.push_back({file_.path, line, table + "." + key, std::move(description), std::move(nearest_valid)});
}

void EntryProof::check_max_attempts(const RequestBounds& inherited) const {
  const auto& attempts = entry_.max_attempts;
  if (!attempts) return;
  const double platform_max = platform_.settings.max_attempts;
  const double max_allowed = std::min(inherited.max_attempts, platform_max);
  if (!(attempts->value >= 1 && attempts->value <= kMaxAttempts) || !is_whole(attempts->value)) {
    report(attempts->line, kMaxAttemptsKey,
           "is " + number_text(attempts->value) + ", not a whole number from 1 to 64", "1");
  } else if (attempts->value > max_allowed) {
    const std::string source = inherited.max_attempts < platform_max ? "its class" : "the platform";
    report(attempts->line, kMaxAttemptsKey,
           "is " + number_text(attempts->value) + " where " + source + " allows " + number_text(max_allowed) +
               ", so it would have no effect",
           number_text(max_allowed));
  }
}

void EntryProof::check_time(const std::optional<SourceValue<Ms>>& value, const char* key,
                            Ms inherited) const {
  if (!value) return;
  const Ms max_allowed = inherited > 0 ? inherited : client_deadline();
  if (!(value->value > 0)) {
    report(value->line, key, "is " + number_text(value->value) + ", not a time above 0",
           ms_text(max_allowed));
  } else if (!(value->value <= max_allowed)) {
    const std::string source = inherited > 0 ? "its class allows " : "the client's deadline is ";
    report(value->line, key,
           "is " + ms_text(value->value) + " where " + source + ms_text(max_allowed) +
               ", so it would have no effect",
           ms_text(max_allowed));
  }
}

void EntryProof::check_hedging(const RequestBounds& inherited) const {
  const auto& hedging = entry_.hedging_allowed;
  const bool platform_allows = platform_.settings.hedging_allowed;
  if (!hedging || !hedging->value || (platform_allows && inherited.hedging_allowed)) return;
  const std::string source = platform_allows ? "its class" : "the platform";
  report(hedging->line, kHedgingKey, "is true where " + source + " allows none", "false");
}

void EntryProof::check_hedging_permitted(const RequestBounds& bounds) const {
  const auto& hedging = entry_.hedging_allowed;
  if (!hedging || !hedging->value) return;
  if (class_.idempotency == Idempotency::kNonIdempotent) {
    report(hedging->line, kHedgingKey, "would execute a request twice: its class is not idempotent", "false");
  } else if (class_.idempotency == Idempotency::kIdempotencyKey &&
             class_.idempotency_scope == IdempotencyScope::kNone) {
    report(hedging->line, kHedgingKey,
           "would execute a request twice: its class's idempotency keys are known to one host only, and a "
           "hedged request goes to another",
           "false");
  } else if (std::min(bounds.max_attempts, platform_.settings.max_attempts) < 2) {
    report(hedging->line, kHedgingKey, "is true with one attempt, so it would have no effect", "false");
  }
}

Ms EntryProof::client_deadline() const { return class_.deadline_ms > 0 ? class_.deadline_ms : kMaxTimeMs; }

void EntryProof::check_chain(const RequestBounds& entry_bounds) const {
  RequestBounds bounds = entry_bounds;
  bounds.max_attempts = std::min(bounds.max_attempts, platform_.settings.max_attempts);
  const Ms min_round_trip = 2 * file_.network_delay.min;
  if (bounds.attempt_timeout_ms > 0 && bounds.attempt_timeout_ms <= min_round_trip) {
    report(line_of(entry_.attempt_timeout_ms, entry_), kAttemptTimeoutKey,
           "is " + ms_text(bounds.attempt_timeout_ms) + ", and the network round trip takes at least " +
               ms_text(min_round_trip) + ", so no attempt would ever be answered",
           ms_text(std::floor(min_round_trip) + 1));
    return;
  }
  const AttemptChain chain = longest_chain(bounds, platform_.connect_timeout_ms, client_deadline());
  check_key_lifetime(bounds, chain);
  check_deadline(bounds, chain);
}

// A retry that reaches a host after the idempotency key has expired there executes the request once more.
void EntryProof::check_key_lifetime(const RequestBounds& bounds, const AttemptChain& chain) const {
  const bool depends_on_key = class_.idempotency == Idempotency::kIdempotencyKey &&
                              class_.idempotency_scope != IdempotencyScope::kNone;
  if (!depends_on_key || bounds.max_attempts < 2) return;
  const Ms arrives_at = chain.last_sent_ms + file_.network_delay.max + file_.clock_error_ms;
  if (arrives_at <= class_.idempotency_key_ttl_ms) return;
  const Ms latest =
      std::floor(class_.idempotency_key_ttl_ms - file_.network_delay.max - file_.clock_error_ms);
  const bool window_helps = latest > 0 && latest <= client_deadline();
  report(line_of(entry_.retry_window_ms, entry_), kRetryWindowKey,
         describe(bounds, chain) + "; it reaches its host at " + ms_text(arrives_at) +
             " by that host's clock, after the idempotency key expired at " +
             ms_text(class_.idempotency_key_ttl_ms) + ": the request is executed twice",
         window_helps ? std::string(kRetryWindowKey) + " = " + number_text(latest)
                      : std::string(kMaxAttemptsKey) + " = 1");
}

void EntryProof::check_deadline(const RequestBounds& bounds, const AttemptChain& chain) const {
  const Ms deadline = client_deadline();
  const Ms answered_at = chain.last_ended_ms + file_.network_delay.max;
  if (bounds.attempt_timeout_ms <= 0 || answered_at <= deadline) return;
  const double longest_timeout =
      std::floor((deadline - file_.network_delay.max) / bounds.max_attempts - platform_.connect_timeout_ms);
  const bool timeout_helps = longest_timeout > 2 * file_.network_delay.min;
  report(line_of(entry_.attempt_timeout_ms, entry_), kAttemptTimeoutKey,
         describe(bounds, chain) + "; the reply reaches the client at " + ms_text(answered_at) +
             ", after its deadline of " + ms_text(deadline),
         timeout_helps ? ms_text(longest_timeout)
                       : std::string(kMaxAttemptsKey) + " = " +
                             number_text(std::max(1.0, max_attempts_within_deadline(bounds))));
}

double EntryProof::max_attempts_within_deadline(const RequestBounds& bounds) const {
  return std::floor((client_deadline() - file_.network_delay.max) /
                    (bounds.attempt_timeout_ms + platform_.connect_timeout_ms));
}

std::string EntryProof::describe(const RequestBounds& bounds, const AttemptChain& chain) const {
  std::string text = "attempt 1 is sent at 0 ms";
  if (bounds.max_attempts <= 1) return text;
  if (bounds.attempt_timeout_ms > 0) {
    text += ", each times out " + ms_text(bounds.attempt_timeout_ms) +
            " after its connection, which takes up to " + ms_text(platform_.connect_timeout_ms);
  } else {
    text += ", each may last until the client's deadline";
  }
  text += ", attempt " + number_text(bounds.max_attempts) + " is sent at " + ms_text(chain.last_sent_ms);
  return text;
}

}  // namespace cometfold::limits
