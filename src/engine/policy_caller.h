// Calls the policy such that an exception from it neither loses the affected request nor interrupts the
// engine.
#pragma once

#include <exception>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "engine/admission_policy.h"

namespace cometfold::engine {

// Logs an event for the operator: what happened, and a detail.
using EngineLogger = std::function<void(std::string_view what, std::string_view detail)>;

class PolicyCaller {
 public:
  static constexpr RequestId kNoRequest = 0;

  PolicyCaller(AdmissionPolicy& policy, const EngineLogger& logger) : policy_(policy), logger_(logger) {}

  // Makes one call of the policy. Returns false if it threw: the exception is logged, and `about` is queued
  // for `pop_faulted_request`.
  template <class Call>
  bool call(RequestId about, Call&& call) {
    in_call_ = true;
    bool returned = false;
    try {
      call(policy_);
      returned = true;
    } catch (const std::exception& error) {
      record_exception(about, error.what());
    } catch (...) {
      record_exception(about, "");
    }
    in_call_ = false;
    return returned;
  }

  // Whether a call is in progress: its actions are carried out at once, but their consequences after it
  // returns.
  bool in_call() const { return in_call_; }
  // Removes and returns the latest request on which the policy threw, if there is one.
  std::optional<RequestId> pop_faulted_request() {
    if (faulted_requests_.empty()) return {};
    const RequestId request = faulted_requests_.back();
    faulted_requests_.pop_back();
    return request;
  }

 private:
  void record_exception(RequestId about, std::string_view message) {
    logger_("the policy threw an exception", message);
    if (about != kNoRequest) faulted_requests_.push_back(about);
  }

  AdmissionPolicy& policy_;
  const EngineLogger& logger_;
  std::vector<RequestId> faulted_requests_;
  bool in_call_ = false;
};

}  // namespace cometfold::engine
