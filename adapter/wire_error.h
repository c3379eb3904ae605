// The error of input from the simulator's wire or the platform's settings that cannot be read.
#pragma once

#include <stdexcept>
#include <string>

namespace cometfold::wire {

// `what()` is "where: problem".
class WireError : public std::runtime_error {
 public:
  // `where`: the part of the input, such as "batch header". `problem`: what is wrong with it. `remedy`: what
  // the sender of the input has to do.
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
