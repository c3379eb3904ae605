// The five rules as monitors. They judge what went over the wires, as a bystander sees it, and know nothing
// of the engine's tables: so they can disagree with it.
//
// A bystander reports events in order of time; each monitor may answer with a breach in words. Monitors
// remember each request that they are told of for good: they are for explorations and tests,
// not for service. Pure; not safe for threads.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cometfold/admission_controller.h"
#include "engine/digest.h"

namespace cometfold::rules {

using GatewayId = std::uint32_t;

// What can be seen. `is_request` is the request's identity on the wire, `connection` a connection to a host.
struct Event {
  enum Kind : std::uint8_t {
    kRequestReceived,     // a request's last byte was written to a connection that a gateway holds
    kServed,              // its final answer: a value
    kRejected,            // ... a refusal
    kFailed,              // ... anything else
    kClientDisconnected,  // its client closed before the answer
    kExecuted,            // a host made `max_value_bytes` for the request
    kAttemptFirstByte,    // an attempt's first byte was written to a host's connection
    kAttemptWritten,      // ... its last byte
    kNotExecuted,     // the host said, or the connection proves, that the attempt did not run and will not
    kAttemptEnded,    // the attempt is out no more: answered, or its connection has ended
    kHostUpdate,      // a gateway was told of a host's state
    kGatewayCrashed,  // a gateway ended without warning: what it held is the clients' to ask again
  };
  Kind kind = kRequestReceived;
  Ms at = 0;
  GatewayId gateway = 0;
  std::uint64_t request = 0;
  std::uint64_t connection = 0;
  HostId host = 0;
  std::string_view value = {};
  // kTaken
  std::uint32_t class_index = 0, plan_index = 0;
  CustomerId customer = 0;
  double units = 1;
  Ms expires_at = 0;
  // kTold
  HostEntry entry = {};
};

struct Violation {
  std::string rule;         // which of the five
  std::string description;  // what happened, in words
};

class Monitor {
 public:
  virtual ~Monitor() = default;
  virtual std::optional<Violation> observe(const Event& event) = 0;
  // Asked now and then, and at the end: what should have happened by now and has not.
  virtual std::optional<Violation> check_deadlines(Ms) { return {}; }
  virtual void digest(engine::Digest& into) const = 0;
};

// No request is lost: each has one final answer in time, a served one the value made for it, and nothing goes
// out for it afterwards. `slack`: milliseconds beyond its time that an answer may take.
class SingleReplyMonitor : public Monitor {
 public:
  explicit SingleReplyMonitor(Ms slack) : slack_(slack) {}
  std::optional<Violation> observe(const Event& event) override;
  std::optional<Violation> check_deadlines(Ms now) override;
  void digest(engine::Digest& into) const override;

 private:
  struct Request {
    GatewayId gateway = 0;
    Ms expires_at = 0;
    bool answered = false, gone = false;
    std::vector<std::string> made;  // one of each attempt that ran
  };
  Ms slack_;
  std::map<std::uint64_t, Request> requests_;
};

// No effect happens twice: what may have run is repeated, or refused, only as its class allows. Also how many
// attempts may be out for one request at once.
class AtMostOnceMonitor : public Monitor {
 public:
  explicit AtMostOnceMonitor(const AdmissionSettings& settings) : settings_(settings) {}
  std::optional<Violation> observe(const Event& event) override;
  void digest(engine::Digest& into) const override;

 private:
  struct Attempt {
    std::uint64_t connection = 0;
    HostId host = 0;
    Ms sent = 0;
    bool out = true, ran = true;
  };
  struct Request {
    std::uint32_t class_index = 0;
    std::vector<Attempt> attempts;
  };
  bool same_group(IdempotencyScope group, HostId a, HostId b) const;
  std::optional<Violation> sent(const Event& event, Request& r);

  AdmissionSettings settings_;
  std::map<std::uint64_t, Request> requests_;
  std::map<HostId, HostEntry> hosts_;
};

// Drains are kept: once a gateway was told that a host drains or is gone, nothing new goes there after
// `grace` milliseconds.
class DrainMonitor : public Monitor {
 public:
  explicit DrainMonitor(Ms grace) : grace_(grace) {}
  std::optional<Violation> observe(const Event& event) override;
  void digest(engine::Digest& into) const override;

 private:
  Ms grace_;
  std::map<std::pair<GatewayId, HostId>, Ms> told_;
};

// No cold host is pushed over: all gateways together send a host that has just started no more, over any
// `overload_window_ms`, than `overload_factor` times what it can do in that time. `warm_host_capacity`:
// requests a second of a warm host; its ability rises evenly from `slow_start_initial_weight` to 1 over
// `slow_start_duration_ms`.
class SlowStartMonitor : public Monitor {
 public:
  SlowStartMonitor(const AdmissionSettings& settings, double capacity)
      : settings_(settings), capacity_(capacity) {}
  std::optional<Violation> observe(const Event& event) override;
  void digest(engine::Digest& into) const override;

 private:
  double ability(Ms age) const;
  double can_do(Ms started, Ms from, Ms to) const;

  struct Host {
    Ms started_at = 0;
    std::deque<Ms> sends;  // of the last `overload_window_ms`
  };
  AdmissionSettings settings_;
  double capacity_;
  std::map<HostId, Host> hosts_;
};

// Ceilings are kept, over all gateways together: first attempts draw their units from one store for each
// customer, which starts full, refills at the ceiling's rate and may fall to minus its slack.
// `ceiling_slack_ms`: milliseconds of the rate by which the slack is wider on sockets. And no more than the
// open limit is out at once.
class CeilingMonitor : public Monitor {
 public:
  CeilingMonitor(const AdmissionSettings& settings, Ms wider) : settings_(settings), wider_(wider) {}
  std::optional<Violation> observe(const Event& event) override;
  void digest(engine::Digest& into) const override;

 private:
  struct Customer {
    double level = 0;
    Ms at = 0;
    bool known = false;
    double open = 0;
  };
  struct Request {
    std::uint32_t plan = 0;
    CustomerId customer = 0;
    double units = 1;
    bool drew = false;
  };
  AdmissionSettings settings_;
  Ms wider_;
  std::map<CustomerId, Customer> customers_;
  std::map<std::uint64_t, Request> requests_;
  std::map<std::uint64_t, std::uint64_t> out_;  // connection to request
};

// All five together.
class RuleMonitors {
 public:
  struct Tolerances {
    Ms reply_slack_ms = 50;
    Ms drain_grace_ms = 250;
    Ms ceiling_slack_ms = 150;  // of a ceiling's rate
    double warm_host_capacity =
        0;  // of a warm host, requests a second; 0: not known, cold hosts are not judged
  };
  RuleMonitors(const AdmissionSettings& settings, const Tolerances& figures);
  void observe(const Event& event);
  void check_deadlines(Ms now);
  const std::vector<Violation>& violations() const { return breaches_; }
  void digest(engine::Digest& into) const;

 private:
  std::vector<std::unique_ptr<Monitor>> monitors_;
  std::vector<Violation> breaches_;  // the first of them, kMostBreaches at most
};

}  // namespace cometfold::rules
