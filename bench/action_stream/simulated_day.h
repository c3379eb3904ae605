// Runs one gateway's decision module through a simulated day: its events are drawn from a seed, and all its
// actions are hashed into a fingerprint. Later events depend on the module's actions, so that two builds have
// equal fingerprints only if they act alike from the first event to the last.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "cometfold/admission_controller.h"
#include "scenarios.h"

namespace action_stream {

class SimulatedDay : private cometfold::ActionSink {
 public:
  SimulatedDay(const Scenario& scenario, std::uint64_t seed);

  // Handles events until this many requests have been submitted.
  void run(std::size_t requests);

  std::uint64_t fingerprint() const { return fingerprint_; }
  std::size_t actions() const { return actions_; }
  std::size_t sends() const { return counts_[kSend]; }
  std::size_t cancels() const { return counts_[kCancel]; }
  std::size_t rejections() const { return counts_[kReject]; }
  std::size_t failures() const { return counts_[kFail]; }

 private:
  enum ActionKind : std::uint8_t {
    kSend,
    kCancel,
    kReject,
    kFail,
    kTimer,
    kHealthCheck,
    kWatch,
    kPoll,
    kLog,
    kActionKinds
  };
  enum class EventKind : std::uint8_t {
    kRequest,
    kAttemptEnd,
    kStreamStarted,
    kTimer,
    kList,
    kClientDisconnected,
    kHealthCheckEnd,
    kSuccession,
    kPredecessorEnd,
  };
  struct Event {
    cometfold::Ms at = 0;
    std::uint64_t order = 0;
    EventKind kind = EventKind::kRequest;
    std::uint64_t token = 0;
    cometfold::AttemptResult end{};
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  double draw() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  bool chance(double probability) { return probability > 0 && draw() < probability; }
  void push(cometfold::Ms at, Event event);
  void handle(const Event& event);
  void request();
  void change_list();
  void replace_list();
  void start_succession();
  void take_over_state();
  void use_new_settings();
  cometfold::HostEntry entry(cometfold::HostId id, cometfold::HostState state,
                             cometfold::Ms started_at) const;
  cometfold::Outcome draw_outcome(const cometfold::Request& request);
  cometfold::LoadReport draw_report(cometfold::HostId host);
  bool is_silent(cometfold::HostId host) const;

  void count(ActionKind kind, std::uint64_t about, double value);
  void add(std::uint64_t word);
  void add(double number);

  void send(cometfold::RequestId request, cometfold::HostId host, cometfold::Ms attempt_timeout_ms) override;
  void cancel(cometfold::RequestId request, std::uint32_t attempt) override;
  void reject(cometfold::RequestId request, cometfold::Ms retry_after,
              cometfold::RejectionReason reason) override;
  void fail(cometfold::RequestId request, cometfold::RejectionReason reason) override;
  void schedule_timer(cometfold::Ms after, std::uint64_t token) override;
  void send_health_check(cometfold::HostId host) override;
  void watch_hosts() override { count(kWatch, 0, 0); }
  void poll_hosts() override { count(kPoll, 0, 0); }
  void log(std::string_view) override { count(kLog, 0, 0); }

  cometfold::AdmissionSettings settings_;
  Surroundings surroundings_;
  Succession succession_;
  std::mt19937_64 random_;
  std::uint64_t seed_;
  cometfold::AdmissionController controller_;
  cometfold::Ms now_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  std::vector<cometfold::HostEntry> list_;
  std::map<cometfold::RequestId, std::vector<cometfold::HostId>> attempts_;
  std::map<cometfold::RequestId, cometfold::Request> requests_;
  std::map<cometfold::HostId, double> in_flight_;
  std::uint64_t order_ = 0;
  std::uint64_t submitted_requests_ = 0;
  std::uint64_t fingerprint_ = 0;
  std::size_t actions_ = 0;
  std::size_t counts_[kActionKinds] = {};
};

}  // namespace action_stream
