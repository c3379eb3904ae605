// Counters of one engine since its start.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "cometfold/admission_controller.h"
#include "cometfold/attempt_rules.h"

namespace cometfold::engine {

// Requests rejected or failed by the policy, by reason, and those rejected because of `EngineLimits`.
struct RejectionMetrics {
  std::array<std::uint64_t, kRejectionReasonCount> by_reason{};
  std::uint64_t no_capacity = 0;
};

// What the attempt rules prevented, by verdict. A prevented decision is a defect of the policy. A prevented
// first byte is a race, and the policy is notified that the attempt was not sent; requests and attempts of a
// client that has just disconnected are counted there too.
struct RuleMetrics {
  std::array<std::uint64_t, kAttemptVerdictCount> decisions{};
  std::array<std::uint64_t, kAttemptVerdictCount> first_bytes{};
  std::uint64_t rejections = 0;  // changed to failures, as an attempt may have been executed
};

// Ended attempts by outcome, and how many attempts were not the first of their request.
struct AttemptMetrics {
  std::array<std::uint64_t, kOutcomeCount> by_outcome{};
  std::uint64_t retries = 0;
};

// Counters of one request class.
struct ClassMetrics {
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t attempts = 0;  // attempts written completely to hosts
};

// Streamed values whose hosts paused.
struct ValueMetrics {
  std::uint64_t pauses = 0;     // noticed, once for each interval that a pause lasts
  std::uint64_t continued = 0;  // from another host, behind the bytes that were passed on
  std::uint64_t replaced = 0;   // by another host's, as the client had received nothing
  std::uint64_t differed = 0;   // another host's value could not continue it
};

struct EngineMetrics {
  std::vector<ClassMetrics> by_class;  // bounded by the classes that the front ends know
  RejectionMetrics rejections;
  RuleMetrics rules;
  AttemptMetrics attempts;
  ValueMetrics values;

  ClassMetrics& of_class(std::uint32_t class_index) {
    if (class_index >= by_class.size()) by_class.resize(class_index + 1);
    return by_class[class_index];
  }
  void count_prevented_first_byte(AttemptVerdict verdict) {
    ++rules.first_bytes[static_cast<std::size_t>(verdict)];
  }
};

}  // namespace cometfold::engine
