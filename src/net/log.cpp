#include "net/log.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <climits>
#include <cstdint>
#include <string>

#include "net/line_bound.h"

namespace cometfold::net {

namespace {

constexpr std::size_t kLongestLogLine = PIPE_BUF;  // so much a pipe takes whole, or says that it has no room
constexpr double kBurst = 2000, kLinesASecond = 10;

}  // namespace

// Danger: a write to a pipe whose reader has stopped waits for it, and the whole gateway would stand still
// with all that it owes, for want of somebody who reads its log.
bool write_log(std::string_view line) {
  pollfd look{STDERR_FILENO, POLLOUT, 0};
  if (::poll(&look, 1, 0) <= 0 || (look.revents & POLLOUT) == 0) return false;
  std::string text(line.substr(0, kLongestLogLine));
  if (text.size() < line.size()) text.back() = '\n';
  return ::write(STDERR_FILENO, text.data(), text.size()) > 0;
}

void log_line(std::string_view what, std::string_view detail) {
  static LineBound bound(kBurst, kLinesASecond);
  static std::uint64_t left_out = 0;
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  const auto held_back = bound.take(std::chrono::duration<double, std::milli>(since).count());
  if (!held_back) return;
  left_out += *held_back;
  std::string text = std::string(what) + (detail.empty() ? "" : ": ") + std::string(detail) + "\n";
  if (left_out > 0) text = std::to_string(left_out) + " lines were left out\n" + text;
  left_out = write_log(text) ? 0 : left_out + 1;
}

}  // namespace cometfold::net
