#include "limits/attempt_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "limits/entry_proof.h"
#include "limits/error_text.h"

namespace cometfold::limits {
namespace {

bool is_valid(const Interval& interval) {
  return interval.min >= 0 && interval.min <= interval.max && interval.max <= kMaxTimeMs;
}

// The names, separated by commas. Withdrawn classes have an empty name and are left out.
std::string join_names(const std::vector<std::string>& class_names) {
  std::string list;
  for (const auto& name : class_names) {
    if (name.empty()) continue;
    if (!list.empty()) list += ", ";
    list += name;
  }
  return list;
}

std::optional<LimitError> check_network(const LimitsFile& file) {
  if (!is_valid(file.network_delay)) {
    return LimitError{file.path, file.network_delay_line, "limits.network_ms",
                      "is not an interval: it needs two times of at least 0, the smaller first", "[0, 50]"};
  }
  if (!(file.clock_error_ms >= 0 && file.clock_error_ms <= kMaxTimeMs)) {
    return LimitError{file.path, file.network_delay_line, "limits.clock_error_ms",
                      "is " + number_text(file.clock_error_ms) + ", not a time of at least 0", "5 ms"};
  }
  return std::nullopt;
}

// Proves the entries of one file, one after the other.
class FileProof {
 public:
  FileProof(const LimitsFile& file, const PlatformConfig& platform)
      : file_(file), platform_(platform), has_entry_(platform.class_names.size(), false) {
    result_.bounds.by_class.resize(platform.class_names.size());
    result_.bounds.by_entry.resize(file.entries.size());
  }

  ProofResult run() && {
    if (auto error = check_network(file_)) {
      result_.errors.push_back(std::move(*error));
      return std::move(result_);
    }
    // A route inherits the limits of its class, so all class entries are proved first.
    for (const bool routes : {false, true}) {
      for (std::size_t i = 0; i < file_.entries.size(); ++i) {
        const bool is_route = !file_.entries[i].route.empty();
        if (is_route == routes) prove_entry(i);
      }
    }
    return std::move(result_);
  }

 private:
  void report(const LimitEntry& entry, std::string setting, std::string description) {
    result_.errors.push_back({file_.path, entry.line, std::move(setting), std::move(description), ""});
  }

  void prove_entry(std::size_t index) {
    const LimitEntry& entry = file_.entries[index];
    const auto& names = platform_.class_names;
    const auto name = std::find(names.begin(), names.end(), entry.class_name);
    if (entry.class_name.empty() || name == names.end()) {
      report(entry, "limits.class",
             "no class '" + entry.class_name + "'; the classes are " + join_names(names));
      return;
    }
    const auto class_index = static_cast<std::size_t>(name - names.begin());
    const bool is_route = !entry.route.empty();
    if (!is_route && has_entry_[class_index]) {
      report(entry, "limits.class." + entry.class_name, "is given twice");
      return;
    }
    if (!is_route) has_entry_[class_index] = true;
    RequestBounds& class_bounds = result_.bounds.by_class[class_index];
    const EntryProof proof(file_, platform_, entry, class_index, result_.errors);
    (is_route ? result_.bounds.by_entry[index] : class_bounds) = proof.run(class_bounds);
  }

  const LimitsFile& file_;
  const PlatformConfig& platform_;
  std::vector<bool> has_entry_;  // by class
  ProofResult result_;
};

}  // namespace

std::string LimitError::to_text() const {
  std::string text = file + ":" + std::to_string(line) + ": " + setting + ": " + description;
  if (!nearest_valid.empty()) text += "; nearest valid value: " + nearest_valid;
  return text;
}

AttemptChain longest_chain(const RequestBounds& bounds, Ms connect_timeout, Ms client_deadline) {
  const Ms longest_attempt =
      bounds.attempt_timeout_ms > 0 ? connect_timeout + bounds.attempt_timeout_ms : client_deadline;
  const Ms last_retry_at = std::min(bounds.retry_window_ms, client_deadline);
  AttemptChain chain;
  chain.last_sent_ms =
      bounds.max_attempts < 2 ? 0 : std::min((bounds.max_attempts - 1) * longest_attempt, last_retry_at);
  chain.last_ended_ms = std::min(bounds.max_attempts * longest_attempt, chain.last_sent_ms + longest_attempt);
  return chain;
}

ProofResult prove(const LimitsFile& file, const PlatformConfig& platform) {
  return FileProof(file, platform).run();
}

}  // namespace cometfold::limits
