// Every free decision of a run passes here, so that a run is the sequence of its choices: it can be played
// again, and its neighbours enumerated.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cometfold::explore {

using Path = std::vector<std::uint8_t>;  // at each choice, which option

class Chooser {
 public:
  // Plays `path`, then always the first option.
  explicit Chooser(Path path) : path_(std::move(path)) {}
  // Plays options by their names; `done` is true when all are used.
  explicit Chooser(std::vector<std::string> names) : names_(std::move(names)), by_name_(true) {}

  // The option taken, of `count` (at least one); `label_of(i)` names one, and is asked only if names matter.
  // Options past the 250th are out of reach.
  //
  // Danger: choices are made inside calls whose exceptions the engine must bear, so what is wrong with a
  // choice is kept in `error`, not thrown.
  template <class LabelOf>
  std::size_t choose(std::size_t count, LabelOf&& label_of) {
    if (count > 250) fault_ = "too many options at one choice";
    std::size_t pick = 0;
    if (by_name_ && at_ < names_.size() && fault_.empty()) {
      while (pick < count && label_of(pick) != names_[at_]) ++pick;
      if (pick == count) {
        if (fault_.empty()) fault_ = "the trace does not fit, nothing here is: " + names_[at_];
        pick = 0;
      }
    } else if (!by_name_ && at_ < path_.size()) {
      pick = path_[at_];
    }
    ++at_;
    taken_.push_back(static_cast<std::uint8_t>(pick));
    if (!by_name_ && at_ > path_.size()) free_.push_back(static_cast<std::uint8_t>(count));
    if (on_choice) on_choice(label_of(pick));
    return pick;
  }

  // Why this run is none; empty if it is one.
  const std::string& fault() const { return fault_; }
  bool done() const { return at_ >= (by_name_ ? names_.size() : path_.size()); }
  const Path& taken() const { return taken_; }
  // How many options there were at each choice past the path.
  const Path& free() const { return free_; }
  // What comes next is chosen by `more`, as if the path had been longer.
  void extend(const Path& more) {
    path_.insert(path_.end(), more.begin(), more.end());
    free_.clear();
  }

  // The name of each option as it is taken.
  std::function<void(const std::string&)> on_choice;

 private:
  Path path_;
  std::vector<std::string> names_;
  bool by_name_ = false;
  std::size_t at_ = 0;
  Path taken_, free_;
  std::string fault_;
};

}  // namespace cometfold::explore
