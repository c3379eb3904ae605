// Load, pressure, and shedding by worth.
#include "admission/state.h"

namespace cometfold {

void AdmissionController::State::measure_load() {
  double used = 0, least = 0, room = 0;
  for (auto& [id, h] : hosts) {
    if (!usable(h) || ejected(h)) continue;
    used += awaited(h);
    settle(h);
    least += kLeastAtHost / std::max(set.gateway_count, 1.0);
    room += h.done_rate * allowed_wait() / 1000;
  }
  room = std::max(room, least);  // of the sums: a sum of rare hosts' maxima is mostly chance
  gap += (now - load_at - gap) / kLoadSamples;
  const double keep = faded(now - load_at, std::max(kLoadMemoryMs, kLoadSamples * gap));
  load_at = now;
  load = keep * load + (1 - keep) * (room > 0 ? used / room : 1);
}

// Share of attempts refused as full, but for the plan or class refused most: who refuses only it has room.
double AdmissionController::State::fulls() const {
  double least = 1;
  const auto plans = refusals.begin() + static_cast<std::ptrdiff_t>(set.plans.size());
  for (auto [from, to] : {std::pair{refusals.begin(), plans}, std::pair{plans, refusals.end()}}) {
    Refusals sum, most;
    for (auto it = from; it != to; ++it) {
      sum.full += it->full, sum.all += it->all;
      if (it->full >= most.full) most = *it;
    }
    if (to - from > 1) sum.full -= most.full, sum.all -= most.all;
    least = std::min(least, sum.full / std::max(sum.all, kOutcomeGain));
  }
  return least;
}

// Worth a unit of work, against the last requests': the least worth goes first, by number and not by time.
// Danger: in a large fleet what is beyond a quota passes for inside and fills the hosts; so it begins early.
bool AdmissionController::State::shed(double value, double work) {
  const double from = set.gateway_count > kThinSet ? kThinShedFrom : kShedFrom;
  const double floor = std::clamp(
      std::max({(load - from) / (1 - from), (strain - kPressedShare) / (1 - kPressedShare), fulls()}), 0.0,
      kMostShed);
  const double tie = draw();
  double below = 0, all = 0;
  for (auto& [v, w] : recent) {
    all += w;
    below += v < value ? w : v == value ? w * tie : 0;
  }
  recent.emplace_back(value, work);
  if (recent.size() > kRankSamples) recent.pop_front();
  return floor > 0 && all > 0 && below / all < floor;
}

}  // namespace cometfold
