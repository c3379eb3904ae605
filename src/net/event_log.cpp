#include "event_log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <string>

#include "line_bound.h"

namespace thistlepond::net {

namespace {

spdlog::logger& logger() {
  static const auto made = [] {
    auto logger =
        std::make_shared<spdlog::logger>("events", std::make_shared<spdlog::sinks::stderr_sink_st>());
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

}  // namespace thistlepond::net
