#include "net/log.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <climits>
#include <cstdint>
#include <string>

#include "net/log_rate_limiter.h"

namespace cometfold::net {

namespace {

// Writes of up to this size to a pipe are atomic.
constexpr std::size_t kMaxLineBytes = PIPE_BUF;
constexpr double kBurstLines = 2000;
constexpr double kLinesPerSecond = 10;

}  // namespace

// A write to a full pipe that nobody reads would block the event loop and thus all requests.
bool write_log(std::string_view line) {
  pollfd request{STDERR_FILENO, POLLOUT, 0};
  if (::poll(&request, 1, 0) <= 0 || (request.revents & POLLOUT) == 0) return false;
  std::string text(line.substr(0, kMaxLineBytes));
  if (text.size() < line.size()) text.back() = '\n';
  return ::write(STDERR_FILENO, text.data(), text.size()) > 0;
}

void log_line(std::string_view event, std::string_view detail) {
  static LogRateLimiter limiter(kBurstLines, kLinesPerSecond);
  static std::uint64_t dropped = 0;
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  const auto limited = limiter.admit(std::chrono::duration<double, std::milli>(now).count());
  if (!limited) return;
  dropped += *limited;
  std::string text = std::string(event) + (detail.empty() ? "" : ": ") + std::string(detail) + "\n";
  if (dropped > 0) text = std::to_string(dropped) + " lines were left out\n" + text;
  dropped = write_log(text) ? 0 : dropped + 1;
}

}  // namespace cometfold::net
