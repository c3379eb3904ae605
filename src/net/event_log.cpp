#include "net/event_log.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <string>

#include "net/log.h"
#include "net/log_rate_limiter.h"

namespace cometfold::net {

namespace {

constexpr double kBurstLines = 500;
constexpr double kLinesPerSecond = 5;

// Writes without blocking, unlike the sinks of spdlog.
class LogSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    write_log({line.data(), line.size()});
  }
  void flush_() override {}
};

spdlog::logger& logger() {
  static const auto instance = [] {
    auto logger = std::make_shared<spdlog::logger>("events", std::make_shared<LogSink>());
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})");
    return logger;
  }();
  return *instance;
}

}  // namespace

void log_event(LogLevel level, std::string_view event, boost::json::object fields) {
  static LogRateLimiter limiter(kBurstLines, kLinesPerSecond);
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  const auto dropped = limiter.admit(std::chrono::duration<double, std::milli>(now).count());
  if (!dropped) return;
  boost::json::object line{{"event", event}};
  if (*dropped > 0) line["left_out_before"] = *dropped;
  for (auto& field : fields) line[field.key()] = std::move(field.value());
  const std::string text = boost::json::serialize(line);
  // The logger's pattern has the outer braces.
  logger().log(level == LogLevel::kInfo ? spdlog::level::info : spdlog::level::warn,
               std::string_view(text).substr(1, text.size() - 2));
}

}  // namespace cometfold::net
