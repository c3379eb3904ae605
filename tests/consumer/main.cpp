// Embeds the module as an operator's own gateway would.
#include <thistlepond/control.h>

#include <cstdio>
#include <vector>

struct Printer : thistlepond::Actions {
  int sent = 0;
  void send(thistlepond::RequestId, thistlepond::HostId, thistlepond::Ms) override { ++sent; }
  void cancel(thistlepond::RequestId, std::uint32_t) override {}
  void refuse(thistlepond::RequestId, thistlepond::Ms, thistlepond::Cause) override {}
  void fail(thistlepond::RequestId, thistlepond::Cause) override {}
  void wake(thistlepond::Ms, std::uint64_t) override {}
  void probe(thistlepond::HostId) override {}
  void follow_list() override {}
  void fetch_list() override {}
  void note(std::string_view text) override {
    std::printf("%.*s\n", static_cast<int>(text.size()), text.data());
  }
};

int main() {
  thistlepond::Settings settings;
  settings.classes.push_back({800, 2000, 1, 0, thistlepond::Repeat::kSafe, thistlepond::KeyGroup::kNone, 0});
  settings.plans.push_back({});
  settings.plans[0].quota_rate = 10;
  settings.plans[0].burst = 20;
  Printer actions;
  thistlepond::Control control(settings, 42);
  control.start(0, actions);
  const std::vector<thistlepond::HostEntry> hosts(1, {1, thistlepond::HostState::kReady, 0, 0, 0, 0, 1});
  control.on_list(0, thistlepond::ListKind::kWhole, hosts, actions);
  control.on_request(1, {7, 0, 0, 1001, 2001, 1, 1}, actions);
  return actions.sent == 1 ? 0 : 1;
}
