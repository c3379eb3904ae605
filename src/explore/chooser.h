// Every free decision of a run passes here, so that a run is the sequence of its choices: it can be played
// again, and its neighbours enumerated.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cometfold::explore {

using ChoicePath = std::vector<std::uint8_t>;  // at each choice, which option

class Chooser {
 public:
  // Plays `path`, then always the first option.
  explicit Chooser(ChoicePath path) : path_(std::move(path)) {}
  // Plays options by their names; `done` is true when all are used.
  explicit Chooser(std::vector<std::string> names) : names_(std::move(names)), by_name_(true) {}

  // The option taken, of `count` (at least one); `label_of(i)` names one, and is asked only if names matter.
  // Options past the 250th are out of reach.
  //
  // Danger: choices are made inside calls whose exceptions the engine must bear, so what is wrong with a
  // choice is kept in `error`, not thrown.
  template <class LabelOf>
  std::size_t choose(std::size_t count, LabelOf&& label_of) {
    if (count > 250) error_ = "too many options at one choice";
    std::size_t pick = 0;
    if (by_name_ && position_ < names_.size() && error_.empty()) {
      while (pick < count && label_of(pick) != names_[position_]) ++pick;
      if (pick == count) {
        if (error_.empty()) error_ = "the trace does not fit, nothing here is: " + names_[position_];
        pick = 0;
      }
    } else if (!by_name_ && position_ < path_.size()) {
      pick = path_[position_];
    }
    ++position_;
    path_taken_.push_back(static_cast<std::uint8_t>(pick));
    if (!by_name_ && position_ > path_.size())
      free_option_counts_.push_back(static_cast<std::uint8_t>(count));
    if (on_choice) on_choice(label_of(pick));
    return pick;
  }

  // Why this run is none; empty if it is one.
  const std::string& error() const { return error_; }
  bool at_end() const { return position_ >= (by_name_ ? names_.size() : path_.size()); }
  const ChoicePath& path_taken() const { return path_taken_; }
  // How many options there were at each choice past the path.
  const ChoicePath& free_option_counts() const { return free_option_counts_; }
  // What comes next is chosen by `more`, as if the path had been longer.
  void extend(const ChoicePath& more) {
    path_.insert(path_.end(), more.begin(), more.end());
    free_option_counts_.clear();
  }

  // The name of each option as it is taken.
  std::function<void(const std::string&)> on_choice;

 private:
  ChoicePath path_;
  std::vector<std::string> names_;
  bool by_name_ = false;
  std::size_t position_ = 0;
  ChoicePath path_taken_, free_option_counts_;
  std::string error_;
};

}  // namespace cometfold::explore
