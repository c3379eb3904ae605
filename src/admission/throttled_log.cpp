#include "admission/throttled_log.h"

namespace cometfold::admission {
namespace {

constexpr Ms kRepeatIntervalMs = 5000;

}  // namespace

void ThrottledLog::log(std::string_view text, Ms now, ActionSink& sink) {
  const auto [it, is_new] = logged_at_.try_emplace(std::string(text), now);
  if (!is_new && now - it->second < kRepeatIntervalMs) return;
  it->second = now;
  sink.log(text);
}

}  // namespace cometfold::admission
