#include "limits/attempt_limits.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace cometfold::limits {
namespace {

// Longer than any deadline that a configuration may name.
constexpr Ms kLongest = 3'600'000;
constexpr double kMostAttempts = 64;

std::string number(double v) {
  char text[32];
  std::snprintf(text, sizeof text, "%.10g", v);
  return text;
}
std::string ms(Ms v) { return number(v) + " ms"; }

// The bounds of one class or route, and what is wrong with them.
class Proof {
 public:
  Proof(const LimitsFile& written, const PlatformTerms& site, const LimitEntry& entry, std::size_t cls,
        std::vector<LimitError>& into)
      : written_(written), site_(site), entry_(entry), cls_(site.settings.classes[cls]), into_(into) {}

  // `within`: what the class has, for a route.
  RequestBounds run(const RequestBounds& within) {
    RequestBounds b = within;
    const auto before = into_.size();
    values(b, within);
    if (into_.size() != before) return within;  // what follows would only repeat it
    rights(b);
    chain(b);
    return b;
  }

 private:
  void refuse(int line, const char* key, std::string why, std::string nearest) {
    const std::string of =
        entry_.route.empty() ? "limits.class." + entry_.class_name : "route " + entry_.route;
    into_.push_back({written_.file, line, of + "." + key, std::move(why), std::move(nearest)});
  }

  // Each value by itself, and a route's against its class's.
  void values(RequestBounds& b, const RequestBounds& within) {
    const auto& s = site_.settings;
    if (const auto& a = entry_.max_attempts) {
      const double most = std::min(within.max_attempts, s.max_attempts);
      if (!(a->value >= 1 && a->value <= kMostAttempts) || a->value != std::floor(a->value)) {
        refuse(a->line, "attempts", "is " + number(a->value) + ", not a whole number from 1 to 64", "1");
      } else if (a->value > most) {
        refuse(a->line, "attempts",
               "is " + number(a->value) + " where " + whose(within.max_attempts, s.max_attempts) +
                   " allows " + number(most) + ", so it would never hold",
               number(most));
      }
      b.max_attempts = a->value;
    }
    time(entry_.attempt_timeout_ms, "attempt_ms", within.attempt_timeout_ms, b.attempt_timeout_ms);
    time(entry_.retry_window_ms, "send_until_ms",
         within.retry_window_ms < kLongest ? within.retry_window_ms : 0, b.retry_window_ms);
    if (const auto& two = entry_.hedging_allowed) {
      const bool site_or_class = !s.hedging_allowed || !within.hedging_allowed;
      if (two->value && site_or_class) {
        refuse(
            two->line, "second_copies",
            std::string("is true where ") + (s.hedging_allowed ? "its class" : "the site") + " allows none",
            "false");
      }
      b.hedging_allowed = two->value;
    }
  }
  std::string whose(double of_class, double of_site) const {
    return of_class < of_site ? "its class" : "the site";
  }
  // `class_has` 0: the class says nothing.
  void time(const std::optional<SourceValue<Ms>>& said, const char* key, Ms class_has, Ms& into) {
    if (!said) return;
    const Ms most = class_has > 0 ? class_has : cls_.deadline_ms > 0 ? cls_.deadline_ms : kLongest;
    if (!(said->value > 0)) {
      refuse(said->line, key, "is " + number(said->value) + ", not a time above 0", ms(most));
    } else if (!(said->value <= most)) {
      refuse(said->line, key,
             "is " + ms(said->value) + " where " + (class_has > 0 ? "its class allows " : "clients wait ") +
                 ms(most) + ", so it would never hold",
             ms(most));
    }
    into = said->value;
  }

  // What the class may do at all.
  void rights(const RequestBounds& b) {
    const auto& two = entry_.hedging_allowed;
    if (!two || !two->value) return;
    if (cls_.idempotency == Idempotency::kNonIdempotent) {
      refuse(two->line, "second_copies", "would run a request twice: its class must not be repeated",
             "false");
    } else if (cls_.idempotency == Idempotency::kIdempotencyKey &&
               cls_.idempotency_scope == IdempotencyScope::kNone) {
      refuse(two->line, "second_copies",
             "would run a request twice: its class's keys are known to one host alone, and a second copy "
             "goes to "
             "another",
             "false");
    } else if (std::min(b.max_attempts, site_.settings.max_attempts) < 2) {
      refuse(two->line, "second_copies", "is true with one attempt, so it would never hold", "false");
    }
  }

  // The longest chain against the way, the client's patience and the key's lifetime.
  void chain(const RequestBounds& own) {
    RequestBounds b = own;
    b.max_attempts = std::min(b.max_attempts, site_.settings.max_attempts);
    const Ms patience = cls_.deadline_ms > 0 ? cls_.deadline_ms : kLongest;
    const Ms there_and_back = 2 * written_.network_delay.min;
    if (b.attempt_timeout_ms > 0 && b.attempt_timeout_ms <= there_and_back) {
      return refuse(line_of(entry_.attempt_timeout_ms), "attempt_ms",
                    "is " + ms(b.attempt_timeout_ms) + ", and the way there and back takes " +
                        ms(there_and_back) + " at the least, so no attempt would ever be answered",
                    ms(std::floor(there_and_back) + 1));
    }
    const AttemptChain c = longest_chain(b, site_.connect_timeout_ms, patience);
    key_outlived(b, c, patience);
    const Ms answer = c.last_ended_ms + written_.network_delay.max;  // the client has it
    if (b.attempt_timeout_ms <= 0 || answer <= patience) return;
    const double fit =
        std::floor((patience - written_.network_delay.max) / b.max_attempts - site_.connect_timeout_ms);
    refuse(
        line_of(entry_.attempt_timeout_ms), "attempt_ms",
        story(b, c) + "; the answer is with the client at " + ms(answer) + ", which has left at " +
            ms(patience),
        fit > there_and_back ? ms(fit) : "attempts = " + number(std::max(1.0, most_that_fit(b, patience))));
  }

  // Danger: a repeat that comes to a host after the key is forgotten runs once more.
  void key_outlived(const RequestBounds& b, const AttemptChain& c, Ms patience) {
    if (cls_.idempotency != Idempotency::kIdempotencyKey ||
        cls_.idempotency_scope == IdempotencyScope::kNone || b.max_attempts < 2)
      return;
    const Ms reaches = c.last_sent_ms + written_.network_delay.max + written_.clock_error_ms;
    if (reaches <= cls_.idempotency_key_ttl_ms) return;
    const Ms fit =
        std::floor(cls_.idempotency_key_ttl_ms - written_.network_delay.max - written_.clock_error_ms);
    const std::string lawful = fit > 0 && fit <= patience ? "send_until_ms = " + number(fit) : "attempts = 1";
    refuse(entry_.retry_window_ms ? entry_.retry_window_ms->line : entry_.line, "send_until_ms",
           story(b, c) + "; it is with its host at " + ms(reaches) +
               " by that host's clock, which has forgotten the key at " + ms(cls_.idempotency_key_ttl_ms) +
               ": the request runs twice",
           lawful);
  }

  double most_that_fit(const RequestBounds& b, Ms patience) const {
    return std::floor((patience - written_.network_delay.max) /
                      (b.attempt_timeout_ms + site_.connect_timeout_ms));
  }
  template <class Value>
  int line_of(const std::optional<SourceValue<Value>>& said) const {
    return said ? said->line : entry_.line;
  }
  std::string story(const RequestBounds& b, const AttemptChain& c) const {
    std::string text = "attempt 1 is sent at 0 ms";
    if (b.max_attempts > 1) {
      text += ", " +
              std::string(b.attempt_timeout_ms > 0
                              ? "each is given up " + ms(b.attempt_timeout_ms) +
                                    " after a connection that takes up to " + ms(site_.connect_timeout_ms)
                              : "each may end as late as its client waits") +
              ", attempt " + number(b.max_attempts) + " is sent at " + ms(c.last_sent_ms);
    }
    return text;
  }

  const LimitsFile& written_;
  const PlatformTerms& site_;
  const LimitEntry& entry_;
  const ClassSettings& cls_;
  std::vector<LimitError>& into_;
};

std::string all_of(const std::vector<std::string>& names) {
  std::string all;
  for (const auto& n : names) {
    if (!n.empty()) all += (all.empty() ? "" : ", ") + n;
  }
  return all;
}

bool good(const Interval& s) { return s.min >= 0 && s.min <= s.max && s.max <= kLongest; }

}  // namespace

std::string LimitError::to_text() const {
  return file + ":" + std::to_string(line) + ": " + setting + ": " + description +
         (nearest_valid.empty() ? "" : "; lawful: " + nearest_valid);
}

AttemptChain longest_chain(const RequestBounds& b, Ms connect_timeout, Ms patience) {
  const Ms each = b.attempt_timeout_ms > 0 ? connect_timeout + b.attempt_timeout_ms : patience;
  const Ms until = std::min(b.retry_window_ms, patience);
  AttemptChain c;
  c.last_sent_ms = b.max_attempts < 2 ? 0 : std::min((b.max_attempts - 1) * each, until);
  c.last_ended_ms = std::min(b.max_attempts * each, c.last_sent_ms + each);
  return c;
}

ProofResult prove(const LimitsFile& written, const PlatformTerms& site) {
  ProofResult v;
  v.bounds.by_class.resize(site.class_names.size());
  v.bounds.by_entry.resize(written.entries.size());
  if (!good(written.network_delay)) {
    v.errors.push_back({written.file, written.network_delay_line, "limits.network_ms",
                        "is no interval: two times from 0 upward, the smaller first", "[0, 50]"});
    return v;
  }
  if (!(written.clock_error_ms >= 0 && written.clock_error_ms <= kLongest)) {
    v.errors.push_back({written.file, written.network_delay_line, "limits.clock_error_ms",
                        "is " + number(written.clock_error_ms) + ", not a time from 0 upward", "5 ms"});
    return v;
  }
  std::vector<int> first(site.class_names.size(), 0);  // the line of a class's entry
  for (const bool routes : {false, true}) {
    for (std::size_t i = 0; i < written.entries.size(); ++i) {
      const LimitEntry& e = written.entries[i];
      if (e.route.empty() == routes) continue;
      const auto it = std::find(site.class_names.begin(), site.class_names.end(), e.class_name);
      if (e.class_name.empty() || it == site.class_names.end()) {
        v.errors.push_back({written.file, e.line, "limits.class",
                            "no class '" + e.class_name + "'; there are " + all_of(site.class_names), ""});
        continue;
      }
      const auto cls = static_cast<std::size_t>(it - site.class_names.begin());
      if (!routes && std::exchange(first[cls], e.line) > 0) {
        v.errors.push_back({written.file, e.line, "limits.class." + e.class_name, "stands twice", ""});
        continue;
      }
      const RequestBounds b = Proof(written, site, e, cls, v.errors).run(v.bounds.by_class[cls]);
      (routes ? v.bounds.by_entry[i] : v.bounds.by_class[cls]) = b;
    }
  }
  return v;
}

}  // namespace cometfold::limits
