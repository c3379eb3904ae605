// HTTP calls to a gateway's operators' listener.
#pragma once

#include <chrono>
#include <stdexcept>
#include <string>

namespace cometfold::cli {

// A call failed. `what()` is `address: problem`, with the remedy where there is one.
class CallError : public std::runtime_error {
 public:
  CallError(std::string address, std::string problem, std::string remedy = "");

  const std::string& address() const { return address_; }
  const std::string& problem() const { return problem_; }
  const std::string& remedy() const { return remedy_; }

 private:
  std::string address_, problem_, remedy_;
};

// The body of the response to `GET target`. `address` is HOST:PORT. Throws CallError, also on any status but
// 200.
std::string get(const std::string& address, const std::string& target, std::chrono::milliseconds timeout);

}  // namespace cometfold::cli
