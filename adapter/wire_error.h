// The exception for malformed input from the simulator or in the platform's settings.
#pragma once

#include <stdexcept>
#include <string>

namespace cometfold::wire {

// `what()` is "where: problem".
class WireError : public std::runtime_error {
 public:
  // `where`: the part of the input, such as "batch header". `problem`: what is wrong with it. `remedy`: how
  // the sender can fix it.
  WireError(const std::string& where, const std::string& problem, std::string remedy)
      : std::runtime_error(where + ": " + problem),
        where_(where),
        problem_(problem),
        remedy_(std::move(remedy)) {}

  const std::string& where() const { return where_; }
  const std::string& problem() const { return problem_; }
  const std::string& remedy() const { return remedy_; }

 private:
  std::string where_;
  std::string problem_;
  std::string remedy_;
};

}  // namespace cometfold::wire
