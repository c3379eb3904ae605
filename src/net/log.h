// The log: plain lines on standard error, bounded by rate.
#pragma once

#include <chrono>
#include <cstdio>
#include <string>
#include <string_view>

#include "line_bound.h"

namespace thistlepond::net {

inline void log_line(std::string_view what, std::string_view detail = {}) {
  static LineBound bound(2000, 10);
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  const auto held_back = bound.take(std::chrono::duration<double, std::milli>(since).count());
  if (!held_back) return;
  std::string text = std::string(what) + (detail.empty() ? "" : ": ") + std::string(detail) + "\n";
  if (*held_back > 0) text = std::to_string(*held_back) + " lines were left out\n" + text;
  std::fwrite(text.data(), 1, text.size(), stderr);
}

}  // namespace thistlepond::net
