#include "explore/explorer.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <unordered_set>
#include <utility>

#include "explore/world.h"

namespace cometfold::explore {

namespace {

constexpr std::array<const char*, engine::kMutants> kMutantNames = {"none",
                                                                    "answers-twice",
                                                                    "resends-after-reset",
                                                                    "forgets-waiting-drain",
                                                                    "sends-after-answer",
                                                                    "serves-late-answer",
                                                                    "ignores-noise",
                                                                    "loses-gone-client",
                                                                    "forgets-deadline",
                                                                    "loses-thrown-request",
                                                                    "serves-spoilt",
                                                                    "skips-retire-on-throw",
                                                                    "shares-identity",
                                                                    "answers-out-of-order",
                                                                    "stops-without-settling",
                                                                    "keeps-identity",
                                                                    "reads-on-after-spoilt",
                                                                    "frees-identity-early",
                                                                    "reports-end-twice"};

// The fingerprints seen, in parts so that threads seldom wait for each other.
class Seen {
 public:
  bool add(std::uint64_t print) {
    Part& part = parts_[print % kParts];
    const std::lock_guard lock(part.mutex);
    return part.prints.insert(print).second;
  }
  std::size_t size() const {
    std::size_t n = 0;
    for (const auto& part : parts_) n += part.prints.size();
    return n;
  }

 private:
  static constexpr std::size_t kParts = 64;
  struct Part {
    std::mutex mutex;
    std::unordered_set<std::uint64_t> prints;
  };
  std::array<Part, kParts> parts_;
};

struct Found {
  Path path;
  rules::Violation breach;
};

// What one thread adds up in one layer.
struct Tally {
  std::vector<Path> next;
  std::size_t transitions = 0, ends = 0, cut_off = 0;
  Sights sights = 0;
  std::optional<Found> found;  // the least path
};

// All events that can follow `path`, with all choices made inside them.
void expand(const Scenario& scenario, const Path& path, std::size_t events, Seen& seen, Tally& tally) {
  std::vector<Path> todo{{}};
  while (!todo.empty()) {
    const Path more = std::move(todo.back());
    todo.pop_back();
    Chooser chooser(path);
    World world(scenario, chooser);
    for (std::size_t i = 0; i < events; ++i) world.step();
    chooser.extend(more);
    const bool went = world.step();
    if (!chooser.fault().empty()) throw std::logic_error(chooser.fault());
    const Path& taken = chooser.taken();
    // The alternatives at the choices that this run made freely.
    const std::size_t fixed = path.size() + more.size();
    for (std::size_t i = fixed; i < taken.size(); ++i) {
      for (std::uint8_t other = 1; other < chooser.free()[i - fixed]; ++other) {
        Path alternative(taken.begin() + static_cast<std::ptrdiff_t>(path.size()),
                         taken.begin() + static_cast<std::ptrdiff_t>(i));
        alternative.push_back(other);
        todo.push_back(std::move(alternative));
      }
    }
    if (world.breach()) {
      if (!tally.found || taken < tally.found->path) tally.found = {taken, *world.breach()};
    } else if (!went) {
      ++(world.cut_off() ? tally.cut_off : tally.ends);
      continue;
    }
    ++tally.transitions;
    tally.sights |= world.sights();
    if (went && seen.add(world.fingerprint())) tally.next.push_back(taken);
  }
}

}  // namespace

std::string name_of(engine::Mutant mutant) { return kMutantNames[static_cast<std::size_t>(mutant)]; }

std::optional<engine::Mutant> mutant_named(const std::string& name) {
  const auto it = std::find(kMutantNames.begin(), kMutantNames.end(), name);
  if (it == kMutantNames.end()) return {};
  return static_cast<engine::Mutant>(it - kMutantNames.begin());
}

void set_mutant([[maybe_unused]] engine::Mutant mutant) {
#ifdef COMETFOLD_MUTANTS
  engine::active_mutant = mutant;
#else
  if (mutant != engine::Mutant::kNone) throw std::runtime_error("this build has no mutants");
#endif
}

Result explore(const Scenario& scenario, engine::Mutant mutant, const Effort& effort) {
  const auto began = std::chrono::steady_clock::now();
  Result result;
  Seen seen;
  std::vector<Path> layer{{}};
  std::optional<Found> found;
  for (std::size_t events = 0; !layer.empty() && !found; ++events) {
    std::vector<Tally> tallies(effort.threads);
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> threads;
    for (auto& tally : tallies) {
      threads.emplace_back([&] {
        set_mutant(mutant);
        constexpr std::size_t kChunk = 16;
        for (std::size_t from; (from = next.fetch_add(kChunk)) < layer.size();) {
          const auto to = std::min(from + kChunk, layer.size());
          for (std::size_t i = from; i < to; ++i) expand(scenario, layer[i], events, seen, tally);
        }
      });
    }
    threads.clear();  // waits for all
    layer.clear();
    for (auto& tally : tallies) {
      result.transitions += tally.transitions;
      result.ends += tally.ends;
      result.sights |= tally.sights;
      result.cut_off += tally.cut_off;
      if (tally.found && (!found || tally.found->path < found->path)) found = tally.found;
      std::move(tally.next.begin(), tally.next.end(), std::back_inserter(layer));
    }
    if (!layer.empty()) result.deepest = events + 1;
    if (found) result.trace_events = events + 1;
    if (seen.size() > effort.most_states) {
      result.complete = false;
      break;
    }
  }
  result.states = seen.size();
  result.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  if (found) {
    result.breach = found->breach;
    set_mutant(mutant);
    Chooser chooser(found->path);
    chooser.on_choice = [&](const std::string& label) { result.trace.push_back(label); };
    World world(scenario, chooser);
    while (!chooser.done() && world.step()) {
    }
    set_mutant(engine::Mutant::kNone);
  }
  return result;
}

std::optional<rules::Violation> replay(const Scenario& scenario, engine::Mutant mutant,
                                       const std::vector<std::string>& trace,
                                       const std::function<void(const std::string&)>& say, Fit fit) {
  set_mutant(mutant);
  Chooser chooser(trace);
  if (say) chooser.on_choice = say;
  World world(scenario, chooser, say);
  while (!chooser.done() && chooser.fault().empty() && world.step()) {
  }
  const std::string fault = chooser.fault();
  // What a trace leaves open is played to its plain end, so that a breach by omission shows.
  while (world.step()) {
  }
  set_mutant(engine::Mutant::kNone);
  if (fit == Fit::kStrict && !fault.empty()) throw std::runtime_error(fault);
  return world.breach();
}

}  // namespace cometfold::explore
