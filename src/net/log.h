// The log: lines on standard error, bounded so that a fault that repeats cannot flood it.
#pragma once

#include <cstdio>
#include <string>
#include <string_view>

namespace thistlepond::net {

inline void log_line(std::string_view what, std::string_view detail = {}) {
  constexpr int kMostLines = 2000;
  static int lines = 0;
  if (++lines > kMostLines) return;
  const std::string text = std::string(what) + (detail.empty() ? "" : ": ") + std::string(detail) + "\n";
  std::fwrite(text.data(), 1, text.size(), stderr);
}

}  // namespace thistlepond::net
