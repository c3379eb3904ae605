#include "net/event_log.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <string>

#include "net/line_bound.h"
#include "net/log.h"

namespace cometfold::net {

namespace {

// Where all lines of the log go: the library's own sink waits for whoever reads.
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
  static const auto made = [] {
    auto logger = std::make_shared<spdlog::logger>("events", std::make_shared<LogSink>());
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})");
    return logger;
  }();
  return *made;
}

}  // namespace

void log_event(Level level, std::string_view event, boost::json::object fields) {
  static LineBound bound(500, 5);
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  const auto held_back = bound.take(std::chrono::duration<double, std::milli>(since).count());
  if (!held_back) return;
  boost::json::object line{{"event", event}};
  if (*held_back > 0) line["left_out_before"] = *held_back;
  for (auto& [key, value] : fields) line[key] = std::move(value);
  const std::string text = boost::json::serialize(line);
  // The pattern has the outer braces.
  logger().log(level == Level::kInfo ? spdlog::level::info : spdlog::level::warn,
               std::string_view(text).substr(1, text.size() - 2));
}

}  // namespace cometfold::net
