// Tracks another process that uses this gateway's name.
#pragma once

#include <cstdint>
#include <string>

#include "membership/settings.h"

namespace cometfold::membership {

class NameConflict {
 public:
  // Notes that a record of the other process arrived. Returns whether its address is new.
  bool observe(Ms now, const std::string& address, std::uint64_t incarnation);
  // Whether this process holds the name and nothing was observed of the other one for a while.
  bool is_expired(Ms now) const;
  void clear() { address_.clear(); }

  bool is_open() const { return !address_.empty(); }
  const std::string& address() const { return address_; }  // empty: no conflict
  std::uint64_t incarnation() const { return incarnation_; }

  // Whether the other process keeps the name and this one does not participate.
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

inline bool NameConflict::is_expired(Ms now) const {
  constexpr Ms kConflictTimeoutMs = 5000;
  return is_open() && !displaced_ && now - observed_at_ > kConflictTimeoutMs;
}

}  // namespace cometfold::membership
