// Embeds the module as an operator's own gateway would.
#include <cometfold/admission_controller.h>

#include <cstdio>
#include <vector>

struct Printer : cometfold::Actions {
  int sent = 0;
  void send(cometfold::RequestId, cometfold::HostId, cometfold::Ms) override { ++sent; }
  void cancel(cometfold::RequestId, std::uint32_t) override {}
  void refuse(cometfold::RequestId, cometfold::Ms, cometfold::Cause) override {}
  void fail(cometfold::RequestId, cometfold::Cause) override {}
  void wake(cometfold::Ms, std::uint64_t) override {}
  void probe(cometfold::HostId) override {}
  void follow_list() override {}
  void fetch_list() override {}
  void note(std::string_view text) override {
    std::printf("%.*s\n", static_cast<int>(text.size()), text.data());
  }
};

int main() {
  cometfold::Settings settings;
  settings.classes.push_back({800, 2000, 1, 0, cometfold::Repeat::kSafe, cometfold::KeyGroup::kNone, 0});
  settings.plans.push_back({});
  settings.plans[0].quota_rate = 10;
  settings.plans[0].burst = 20;
  Printer actions;
  cometfold::Control control(settings, 42);
  control.start(0, actions);
  const std::vector<cometfold::HostEntry> hosts(1, {1, cometfold::HostState::kReady, 0, 0, 0, 0, 1});
  control.on_list(0, cometfold::ListKind::kWhole, hosts, actions);
  control.on_request(1, {7, 0, 0, 1001, 2001, 1, 1}, actions);
  return actions.sent == 1 ? 0 : 1;
}
