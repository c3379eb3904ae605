// HTTP client for a gateway's operators' listener.
#pragma once

#include <chrono>
#include <stdexcept>
#include <string>

namespace cometfold::cli {

// A failed call. `what()` is `address: problem`, followed by the remedy if there is one.
class CallError : public std::runtime_error {
 public:
  CallError(std::string address, std::string problem, std::string remedy = "");

  const std::string& address() const { return address_; }
  const std::string& problem() const { return problem_; }
  const std::string& remedy() const { return remedy_; }

 private:
  std::string address_, problem_, remedy_;
};

// Returns the body of the response to `GET target`. `address` is HOST:PORT. Throws CallError if the call
// fails or the status is not 200.
std::string get(const std::string& address, const std::string& target, std::chrono::milliseconds timeout);

}  // namespace cometfold::cli
