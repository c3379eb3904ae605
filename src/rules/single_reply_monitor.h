// Rule "no request lost": each request gets exactly one final reply in time, a value in it is one that a host
// produced for the request, and no attempt is written after the reply.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rules/monitor.h"

namespace cometfold::rules {

class SingleReplyMonitor : public Monitor {
 public:
  // `slack`: how much later than its deadline a reply may be, in milliseconds.
  explicit SingleReplyMonitor(Ms slack) : slack_(slack) {}
  std::optional<Violation> observe(const Event& event) override;
  std::optional<Violation> check_deadlines(Ms now) override;
  void digest(engine::Digest& into) const override;

 private:
  struct Request {
    GatewayId gateway = 0;
    Ms expires_at = 0;
    bool answered = false;
    bool client_disconnected = false;
    std::vector<std::string> produced_values;  // one for each attempt that was executed
  };
  std::optional<Violation> check_write(const Event& event, const Request& request) const;
  std::optional<Violation> check_reply(const Event& event, Request& request) const;

  Ms slack_;
  std::map<std::uint64_t, Request> requests_;
};

}  // namespace cometfold::rules
