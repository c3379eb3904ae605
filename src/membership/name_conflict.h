// Another process that takes part under this gateway's name.
#pragma once

#include <cstdint>
#include <string>

#include "membership/settings.h"

namespace cometfold::membership {

class NameConflict {
 public:
  // A record of the other process arrived. Returns whether it was not known at this address.
  bool observe(Ms now, const std::string& address, std::uint64_t incarnation);
  // Whether this process has the name and no record of the other one arrived for a while.
  bool is_over(Ms now) const;
  void clear() { address_.clear(); }

  bool is_open() const { return !address_.empty(); }
  const std::string& address() const { return address_; }  // empty: no conflict
  std::uint64_t incarnation() const { return incarnation_; }

  // Whether the other process keeps the name and this one takes no part.
  bool displaced() const { return displaced_; }
  void set_displaced(bool displaced) { displaced_ = displaced; }

 private:
  std::string address_;
  std::uint64_t incarnation_ = 0;
  Ms observed_at_ = 0;
  bool displaced_ = false;
};

inline bool NameConflict::observe(Ms now, const std::string& address, std::uint64_t incarnation) {
  const bool is_new = address_ != address;
  address_ = address;
  observed_at_ = now;
  incarnation_ = incarnation;
  return is_new;
}

inline bool NameConflict::is_over(Ms now) const {
  constexpr Ms kConflictTimeoutMs = 5000;
  return is_open() && !displaced_ && now - observed_at_ > kConflictTimeoutMs;
}

}  // namespace cometfold::membership
