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

constexpr std::array<const char*, engine::kMutantCount> kMutantNames = {"none",
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
  ChoicePath path;
  rules::Violation breach;
};

// What one thread adds up in one layer.
struct Tally {
  std::vector<ChoicePath> next;
  std::size_t transitions = 0, ends = 0, cut_off = 0;
  Coverage sights = 0;
  std::optional<Found> found;  // the least path
};

// All events that can follow `path`, with all choices made inside them.
void expand(const Scenario& scenario, const ChoicePath& path, std::size_t events, Seen& seen, Tally& tally) {
  std::vector<ChoicePath> todo{{}};
  while (!todo.empty()) {
    const ChoicePath more = std::move(todo.back());
    todo.pop_back();
    Chooser chooser(path);
    World world(scenario, chooser);
    for (std::size_t i = 0; i < events; ++i) world.step();
    chooser.extend(more);
    const bool went = world.step();
    if (!chooser.error().empty()) throw std::logic_error(chooser.error());
    const ChoicePath& taken = chooser.path_taken();
    // The alternatives at the choices that this run made freely.
    const std::size_t fixed = path.size() + more.size();
    for (std::size_t i = fixed; i < taken.size(); ++i) {
      for (std::uint8_t other = 1; other < chooser.free_option_counts()[i - fixed]; ++other) {
        ChoicePath alternative(taken.begin() + static_cast<std::ptrdiff_t>(path.size()),
                               taken.begin() + static_cast<std::ptrdiff_t>(i));
        alternative.push_back(other);
        todo.push_back(std::move(alternative));
      }
    }
    if (world.violation()) {
      if (!tally.found || taken < tally.found->path) tally.found = {taken, *world.violation()};
    } else if (!went) {
      ++(world.truncated() ? tally.cut_off : tally.ends);
      continue;
    }
    ++tally.transitions;
    tally.sights |= world.coverage();
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

ExplorationResult explore(const Scenario& scenario, engine::Mutant mutant, const ExplorationLimits& effort) {
  const auto began = std::chrono::steady_clock::now();
  ExplorationResult result;
  Seen seen;
  std::vector<ChoicePath> layer{{}};
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
      result.terminal_runs += tally.ends;
      result.coverage |= tally.sights;
      result.truncated_states += tally.cut_off;
      if (tally.found && (!found || tally.found->path < found->path)) found = tally.found;
      std::move(tally.next.begin(), tally.next.end(), std::back_inserter(layer));
    }
    if (!layer.empty()) result.max_depth = events + 1;
    if (found) result.counterexample_events = events + 1;
    if (seen.size() > effort.max_states) {
      result.complete = false;
      break;
    }
  }
  result.states = seen.size();
  result.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  if (found) {
    result.violation = found->breach;
    set_mutant(mutant);
    Chooser chooser(found->path);
    chooser.on_choice = [&](const std::string& label) { result.counterexample.push_back(label); };
    World world(scenario, chooser);
    while (!chooser.at_end() && world.step()) {
    }
    set_mutant(engine::Mutant::kNone);
  }
  return result;
}

std::optional<rules::Violation> replay(const Scenario& scenario, engine::Mutant mutant,
                                       const std::vector<std::string>& trace,
                                       const std::function<void(const std::string&)>& say, TraceMatch fit) {
  set_mutant(mutant);
  Chooser chooser(trace);
  if (say) chooser.on_choice = say;
  World world(scenario, chooser, say);
  while (!chooser.at_end() && chooser.error().empty() && world.step()) {
  }
  const std::string fault = chooser.error();
  // What a trace leaves open is played to its plain end, so that a breach by omission shows.
  while (world.step()) {
  }
  set_mutant(engine::Mutant::kNone);
  if (fit == TraceMatch::kStrict && !fault.empty()) throw std::runtime_error(fault);
  return world.violation();
}

}  // namespace cometfold::explore
