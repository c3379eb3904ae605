// Calls the policy such that an exception from it neither loses the request concerned nor prevents the rest
// of the engine's work.
#pragma once

#include <exception>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "engine/admission_policy.h"

namespace cometfold::engine {

// Reports what an operator should know: what happened, and a detail.
using EngineLogger = std::function<void(std::string_view what, std::string_view detail)>;

class PolicyCaller {
 public:
  static constexpr RequestId kNoRequest = 0;

  PolicyCaller(AdmissionPolicy& policy, const EngineLogger& logger) : policy_(policy), logger_(logger) {}

  // Makes one call of the policy. False if it threw: then the failure is logged, and `about` is queued to be
  // checked.
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

  // Whether a call is being made: its actions are carried out, but their consequences wait for its return.
  bool in_call() const { return in_call_; }
  // The latest request about which the policy threw; removed from the queue.
  std::optional<RequestId> pop_faulted_request() {
    if (faulted_requests_.empty()) return {};
    const RequestId request = faulted_requests_.back();
    faulted_requests_.pop_back();
    return request;
  }

 private:
  void record_exception(RequestId about, std::string_view message) {
    logger_("the policy threw", message);
    if (about != kNoRequest) faulted_requests_.push_back(about);
  }

  AdmissionPolicy& policy_;
  const EngineLogger& logger_;
  std::vector<RequestId> faulted_requests_;
  bool in_call_ = false;
};

}  // namespace cometfold::engine
