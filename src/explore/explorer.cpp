#include "explore/explorer.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <iterator>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <unordered_set>
#include <utility>

#include "explore/chooser.h"
#include "explore/world.h"

namespace cometfold::explore {

namespace {

// Activates a mutant on the current thread for the lifetime of the object.
class ActiveMutant {
 public:
  explicit ActiveMutant([[maybe_unused]] engine::Mutant mutant) {
#ifdef COMETFOLD_MUTANTS
    engine::active_mutant = mutant;
#else
    if (mutant != engine::Mutant::kNone) throw std::runtime_error("mutants are not compiled into this build");
#endif
  }
  ~ActiveMutant() {
#ifdef COMETFOLD_MUTANTS
    engine::active_mutant = engine::Mutant::kNone;
#endif
  }
  ActiveMutant(const ActiveMutant&) = delete;
  ActiveMutant& operator=(const ActiveMutant&) = delete;
};

// The fingerprints seen so far, sharded to reduce lock contention.
class VisitedStates {
 public:
  bool add(std::uint64_t fingerprint) {
    Shard& shard = shards_[fingerprint % kShards];
    const std::lock_guard lock(shard.mutex);
    return shard.fingerprints.insert(fingerprint).second;
  }
  // Must not run concurrently with `add`.
  std::size_t size() const {
    std::size_t total = 0;
    for (const auto& shard : shards_) total += shard.fingerprints.size();
    return total;
  }

 private:
  static constexpr std::size_t kShards = 64;
  struct Shard {
    std::mutex mutex;
    std::unordered_set<std::uint64_t> fingerprints;
  };
  std::array<Shard, kShards> shards_;
};

struct Counterexample {
  ChoicePath path;
  rules::Violation violation;
};

// What one thread collects while it expands the states of one depth.
struct Statistics {
  std::vector<ChoicePath> frontier;  // paths to the new states
  std::size_t transitions = 0;
  std::size_t terminal_runs = 0;
  std::size_t truncated_states = 0;
  Coverage coverage = 0;
  std::optional<Counterexample> counterexample;  // the one with the least path
};

void keep_least(std::optional<Counterexample>& least, const Counterexample& other) {
  if (!least || other.path < least->path) least = other;
}

// Adds the options not taken at the choice points after the first `fixed` choices of a run, where it took the
// first option by default. Paths in `pending` omit the first `base` choices.
void add_alternatives(const Chooser& chooser, std::size_t base, std::size_t fixed,
                      std::vector<ChoicePath>& pending) {
  const ChoicePath& taken = chooser.path_taken();
  for (std::size_t i = fixed; i < taken.size(); ++i) {
    for (std::uint8_t option = 1; option < chooser.free_option_counts()[i - fixed]; ++option) {
      ChoicePath alternative(taken.begin() + static_cast<std::ptrdiff_t>(base),
                             taken.begin() + static_cast<std::ptrdiff_t>(i));
      alternative.push_back(option);
      pending.push_back(std::move(alternative));
    }
  }
}

// Plays each event that can follow the `events` events of `path`, with every combination of the choices made
// inside it.
void expand(const Scenario& scenario, const ChoicePath& path, std::size_t events, VisitedStates& visited,
            Statistics& statistics) {
  std::vector<ChoicePath> pending{{}};
  while (!pending.empty()) {
    const ChoicePath suffix = std::move(pending.back());
    pending.pop_back();
    Chooser chooser(path);
    World world(scenario, chooser);
    for (std::size_t i = 0; i < events; ++i) world.step();
    chooser.extend(suffix);
    const bool stepped = world.step();
    if (!chooser.error().empty()) throw std::logic_error(chooser.error());
    add_alternatives(chooser, path.size(), path.size() + suffix.size(), pending);
    if (world.violation()) {
      keep_least(statistics.counterexample, {chooser.path_taken(), *world.violation()});
    } else if (!stepped) {
      ++(world.truncated() ? statistics.truncated_states : statistics.terminal_runs);
      continue;
    }
    ++statistics.transitions;
    statistics.coverage |= world.coverage();
    if (stepped && visited.add(world.fingerprint())) statistics.frontier.push_back(chooser.path_taken());
  }
}

// Expands all states of one depth on `thread_count` threads. Returns the statistics of each thread.
std::vector<Statistics> expand_layer(const Scenario& scenario, engine::Mutant mutant, unsigned thread_count,
                                     const std::vector<ChoicePath>& layer, std::size_t events,
                                     VisitedStates& visited) {
  constexpr std::size_t kChunkSize = 16;
  std::vector<Statistics> statistics(thread_count);
  std::atomic<std::size_t> next_chunk{0};
  std::vector<std::jthread> threads;
  threads.reserve(thread_count);
  for (auto& thread_statistics : statistics) {
    threads.emplace_back([&] {
      const ActiveMutant active(mutant);
      for (std::size_t from; (from = next_chunk.fetch_add(kChunkSize)) < layer.size();) {
        const auto to = std::min(from + kChunkSize, layer.size());
        for (std::size_t i = from; i < to; ++i)
          expand(scenario, layer[i], events, visited, thread_statistics);
      }
    });
  }
  threads.clear();  // joins all
  return statistics;
}

// The labels of the choices on a path.
std::vector<std::string> labels_of(const Scenario& scenario, engine::Mutant mutant, const ChoicePath& path) {
  const ActiveMutant active(mutant);
  std::vector<std::string> labels;
  Chooser chooser(path);
  chooser.on_choice = [&](const std::string& label) { labels.push_back(label); };
  World world(scenario, chooser);
  bool stepped = true;
  while (stepped && !chooser.at_end()) stepped = world.step();
  return labels;
}

}  // namespace

ExplorationResult explore(const Scenario& scenario, engine::Mutant mutant, const ExplorationLimits& limits) {
  const auto started_at = std::chrono::steady_clock::now();
  ExplorationResult result;
  VisitedStates visited;
  std::vector<ChoicePath> layer{{}};
  std::optional<Counterexample> counterexample;
  for (std::size_t events = 0; !layer.empty() && !counterexample && result.complete; ++events) {
    auto statistics = expand_layer(scenario, mutant, limits.threads, layer, events, visited);
    layer.clear();
    for (auto& thread_statistics : statistics) {
      result.transitions += thread_statistics.transitions;
      result.terminal_runs += thread_statistics.terminal_runs;
      result.truncated_states += thread_statistics.truncated_states;
      result.coverage |= thread_statistics.coverage;
      if (thread_statistics.counterexample) keep_least(counterexample, *thread_statistics.counterexample);
      std::move(thread_statistics.frontier.begin(), thread_statistics.frontier.end(),
                std::back_inserter(layer));
    }
    if (!layer.empty()) result.max_depth = events + 1;
    if (counterexample) result.counterexample_events = events + 1;
    result.complete = visited.size() <= limits.max_states;
  }
  result.states = visited.size();
  result.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
  if (counterexample) {
    result.violation = counterexample->violation;
    result.counterexample = labels_of(scenario, mutant, counterexample->path);
  }
  return result;
}

std::optional<rules::Violation> replay(const Scenario& scenario, engine::Mutant mutant,
                                       const std::vector<std::string>& trace,
                                       const std::function<void(const std::string&)>& log, TraceMatch match) {
  const ActiveMutant active(mutant);
  Chooser chooser(trace);
  if (log) chooser.on_choice = log;
  World world(scenario, chooser, log);
  bool stepped = true;
  while (stepped && !chooser.at_end() && chooser.error().empty()) stepped = world.step();
  const std::string error = chooser.error();
  // Runs to the end, as a violation by omission, such as a missing reply, is found only there.
  while (stepped) stepped = world.step();
  if (match == TraceMatch::kStrict && !error.empty()) throw std::runtime_error(error);
  return world.violation();
}

}  // namespace cometfold::explore
