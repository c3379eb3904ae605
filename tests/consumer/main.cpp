// Embeds the admission module through its public headers only. Exits with 0 if the one request is sent to the
// host.
#include <cometfold/admission_controller.h>

#include <cstdio>
#include <vector>

struct CountingSink : cometfold::ActionSink {
  int sends = 0;
  void send(cometfold::RequestId, cometfold::HostId, cometfold::Ms) override { ++sends; }
  void cancel(cometfold::RequestId, std::uint32_t) override {}
  void reject(cometfold::RequestId, cometfold::Ms, cometfold::RejectionReason) override {}
  void fail(cometfold::RequestId, cometfold::RejectionReason) override {}
  void schedule_timer(cometfold::Ms, std::uint64_t) override {}
  void send_health_check(cometfold::HostId) override {}
  void watch_hosts() override {}
  void poll_hosts() override {}
  void log(std::string_view text) override {
    std::printf("%.*s\n", static_cast<int>(text.size()), text.data());
  }
};

int main() {
  cometfold::AdmissionSettings settings;
  settings.classes.push_back(
      {.latency_objective_ms = 800, .deadline_ms = 2000, .idempotency = cometfold::Idempotency::kIdempotent});
  settings.plans.push_back({.quota_rate = 10, .quota_burst = 20});
  CountingSink sink;
  cometfold::AdmissionController controller(settings, 42);
  controller.start(0, sink);
  const std::vector<cometfold::HostEntry> hosts(1, {.id = 1, .zone = 0, .cell = 0});
  controller.on_host_list(0, cometfold::HostListUpdate::kSnapshot, hosts, sink);
  controller.on_request(1, {.id = 7, .customer = 1001, .expires_at = 2001}, sink);
  return sink.sends == 1 ? 0 : 1;
}
