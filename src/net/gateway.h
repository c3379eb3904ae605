// One gateway on sockets. The engine tracks requests and the admission module decides on them; this class
// connects both to clients, hosts, discovery, operators, peers and the event loop.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "engine/controller_policy.h"
#include "engine/engine.h"
#include "net/active_config.h"
#include "net/admin_server.h"
#include "net/client_server.h"
#include "net/clock.h"
#include "net/config.h"
#include "net/decision_log.h"
#include "net/discovery.h"
#include "net/host_registry.h"
#include "net/peers.h"
#include "net/processor_server.h"
#include "net/shutdown_sequence.h"
#include "net/upgrade_coordinator.h"
#include "net/upstream_hosts.h"
#include "resp/resp_handler.h"

namespace cometfold::net {

class Gateway : private ClientServerCallbacks,
                private HostPoolCallbacks,
                private DiscoveryCallbacks,
                private UpgradeCallbacks,
                private ops::GatewayOperations {
 public:
  // `on_stopped` is called once, when the shutdown that `stop` began has finished. `io` and `clock` must
  // outlive the gateway.
  Gateway(boost::asio::io_context& io, Clock& clock, Config config, std::function<void()> on_stopped);
  ~Gateway() override;

  void start();
  // Graceful shutdown: keeps serving while clients may still connect, then finishes all accepted requests.
  void stop();
  // Uses a new configuration from now on; requests in flight continue. Throws, with nothing changed, if the
  // configuration can't be used.
  void reload(const Config& config);
  // Counts a new configuration that could not be read.
  void on_reload_failed() { ++reload_errors_; }
  // Where clients connect; the configured address until there is a listening socket.
  boost::asio::ip::tcp::endpoint address() const {
    return clients_.has_listener() ? clients_.address() : config_.get().listen;
  }
  // Null if the external processor is off.
  const extproc::Processor* processor() const { return processor_ ? &processor_->processor() : nullptr; }

 private:
  // ClientServerCallbacks
  resp::CommandResult on_command(ResponseHandle handle, std::span<const resp::Item> words,
                                 const resp::CommandArrival& arrival) override;
  void on_reply_pending(std::uint64_t identity) override { command_handler_.on_reply_pending(identity); }
  void on_reply_flushed(std::uint64_t identity) override { command_handler_.on_reply_flushed(identity); }
  void on_client_disconnected(std::uint64_t request_id) override {
    engine_.on_client_disconnected(clock_.now(), request_id);
  }
  void on_client_writable(std::uint64_t request_id) override {
    engine_.on_client_writable(clock_.now(), request_id);
  }
  void on_value_too_late(std::uint64_t request_id) override {
    engine_.fail_late_value(clock_.now(), request_id);
  }

  // HostPoolCallbacks
  void on_attempt_end(Ms now, AttemptId attempt, Outcome outcome, std::string_view value,
                      std::string_view report) override;
  void on_value_started(Ms now, AttemptId attempt, std::size_t size) override;
  bool on_value_chunk(Ms now, AttemptId attempt, std::string_view bytes) override;
  void on_value_paused(Ms now, AttemptId attempt) override;
  void on_attempt_written(AttemptId attempt) override { engine_.on_written(attempt); }
  std::optional<Ms> may_write(Ms now, AttemptId attempt, bool begun) override {
    return engine_.may_write(now, attempt, begun);
  }

  // DiscoveryCallbacks
  void on_host_list(const HostList& list) override;
  void apply_host_list(const HostList& list, HostListUpdate kind);
  void on_host_ready(HostId host, const boost::asio::ip::tcp::endpoint& address, Ms started_at);

  // UpgradeCallbacks
  void on_serving() override;
  void on_state_received(const std::string& state) override;
  void on_predecessor_exited(bool with_state) override;
  void on_second_process(bool is_running) override;
  void on_stopped_while_serving() override { stop(); }
  void on_stopped_before_serving() override { on_stopped_(); }
  void hand_over();

  // ops::GatewayOperations
  bool ready() const override;
  std::string metrics() override;
  std::optional<std::string> members() override;
  void set_draining(bool on) override;

  void apply_settings(const Config& config, const settings::NumberedSettings& numbered);
  void replace_command_names();
  void apply_limits();
  void log_ignored_changes(const Config& config) const;

  void arm_timer();
  void run_timers();

  Clock& clock_;
  ActiveConfig config_;
  engine::ControllerPolicy policy_;
  DecisionLog decision_log_;
  ClientServer clients_;
  UpstreamHosts hosts_;
  engine::Engine engine_;
  resp::RespHandler command_handler_;
  std::unique_ptr<ProcessorServer> processor_;  // null: off
  Discovery discovery_;
  HostRegistry host_registry_;
  std::function<void()> on_stopped_;
  ShutdownSequence shutdown_;

  boost::asio::steady_timer timer_;
  Ms timer_at_ = 0;  // when `timer_` expires; 0: not armed

  boost::asio::steady_timer drain_timer_;
  boost::asio::steady_timer ready_timer_;
  std::unique_ptr<AdminServer> admin_;  // null: off
  std::unique_ptr<UpgradeCoordinator> upgrade_;
  std::unique_ptr<Peers> peers_;      // null: off
  bool discovery_contacted_ = false;  // discovery has sent a list, or its timeout has passed
  bool handed_over_ = false;
  bool shares_limits_ = false;  // with another process of this gateway
  bool draining_ = false;       // on request of an operator
  std::uint64_t reloads_ = 0;
  std::uint64_t reload_errors_ = 0;
};

}  // namespace cometfold::net
