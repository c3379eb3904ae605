// Tells of each request what the module decided on its arrival, one line each: what a report on quotas over
// many gateways is counted from (tools/count_quotas.py). Off unless our own settings ask for it.
#pragma once

#include <functional>
#include <string>

#include "engine/module.h"

namespace cometfold::net {

// Stands before a module and changes nothing of what goes in or comes out. `module` and `settings` must
// outlast it. `write` gets, at the start, what a plan and a class are: "plan=P rate=R burst=B pays=W cost=C
// earns=E ceiling=H ceilingburst=I open=O" and "class=K worth=W aim=MS deadline=MS"; then of each request
// "customer=C plan=P class=K units=U spread=S sent" or, in place of the last word, "refused=CAUSE".
class DecisionLog : public engine::Module {
 public:
  using Write = std::function<void(const std::string& line)>;
  DecisionLog(engine::Module& module, const Settings& settings, Write write)
      : module_(module), settings_(settings), write_(std::move(write)) {}

  void start(Ms now, Actions& out) override;
  void on_list(Ms now, ListKind kind, std::span<const HostEntry> entries, Actions& out) override {
    module_.on_list(now, kind, entries, out);
  }
  void on_request(Ms now, const Request& request, Actions& out) override;
  void on_attempt_end(Ms now, const AttemptEnd& end, Actions& out) override {
    module_.on_attempt_end(now, end, out);
  }
  void on_stream_begun(Ms now, RequestId request, std::uint32_t attempt, Actions& out) override {
    module_.on_stream_begun(now, request, attempt, out);
  }
  void on_gone(Ms now, RequestId request, Actions& out) override { module_.on_gone(now, request, out); }
  void on_timer(Ms now, std::uint64_t token, Actions& out) override { module_.on_timer(now, token, out); }

 private:
  engine::Module& module_;
  const Settings& settings_;
  Write write_;
};

}  // namespace cometfold::net
