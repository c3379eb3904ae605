// Makes and records every nondeterministic choice of a run. The sequence of choices determines the run, so
// that it can be replayed and its alternatives can be enumerated.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace cometfold::explore {

using ChoicePath = std::vector<std::uint8_t>;  // the option taken at each choice point

class Chooser {
 public:
  // Replays `path`, then takes the first option at each choice point.
  explicit Chooser(ChoicePath path) : path_(std::move(path)) {}
  // Replays options by their labels, then takes the first option at each choice point.
  explicit Chooser(std::vector<std::string> labels) : labels_(std::move(labels)), by_label_(true) {}

  // Returns the index of the option taken, of `count` (1 to kMaxOptions). `label_of(i)` returns the label of
  // option i and is called only if labels are in use. Some choices are made inside calls whose exceptions the
  // engine catches, so a choice that can't be made as asked is reported by `error`, not thrown.
  template <class LabelOf>
  std::size_t choose(std::size_t count, LabelOf&& label_of) {
    if (count > kMaxOptions) error_ = "too many options at one choice point";
    const std::size_t option = by_label_ ? find_label(count, label_of) : next_of_path();
    ++position_;
    path_taken_.push_back(static_cast<std::uint8_t>(option));
    if (!by_label_ && position_ > path_.size()) {
      free_option_counts_.push_back(static_cast<std::uint8_t>(count));
    }
    if (on_choice) on_choice(label_of(option));
    return option;
  }

  // Why the path or the labels can't be replayed; empty if they can.
  const std::string& error() const { return error_; }
  // Whether the path or the labels are used up.
  bool at_end() const { return position_ >= (by_label_ ? labels_.size() : path_.size()); }
  const ChoicePath& path_taken() const { return path_taken_; }
  // How many options there were at each choice point past the path.
  const ChoicePath& free_option_counts() const { return free_option_counts_; }
  // Appends `more` to the path to replay, and starts `free_option_counts` afresh.
  void extend(const ChoicePath& more) {
    path_.insert(path_.end(), more.begin(), more.end());
    free_option_counts_.clear();
  }

  // Called with the label of each option as it is taken.
  std::function<void(const std::string&)> on_choice;

 private:
  static constexpr std::size_t kMaxOptions = 250;

  std::size_t next_of_path() const { return position_ < path_.size() ? path_[position_] : 0; }
  template <class LabelOf>
  std::size_t find_label(std::size_t count, LabelOf&& label_of) {
    if (position_ >= labels_.size() || !error_.empty()) return 0;
    for (std::size_t option = 0; option < count; ++option) {
      if (label_of(option) == labels_[position_]) return option;
    }
    error_ =
        "the trace does not match the scenario, no option at this choice point is: " + labels_[position_];
    return 0;
  }

  ChoicePath path_;
  std::vector<std::string> labels_;
  bool by_label_ = false;
  std::size_t position_ = 0;
  ChoicePath path_taken_;
  ChoicePath free_option_counts_;
  std::string error_;
};

}  // namespace cometfold::explore
