// One gateway on sockets: the engine between clients and hosts, fed by discovery. What is owed to whom is the
// engine's, what is decided is the module's; here they meet sockets, the clock and the event loop.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "engine/engine.h"
#include "engine/controller_policy.h"
#include "net/admin_server.h"
#include "net/clients.h"
#include "net/clock.h"
#include "net/config.h"
#include "net/decision_log.h"
#include "net/departed_hosts.h"
#include "net/discovery.h"
#include "net/handover.h"
#include "net/hosts.h"
#include "net/peers.h"
#include "net/processor_server.h"
#include "resp/resp_handler.h"
#include "settings/numbering.h"

namespace cometfold::net {

class Gateway : private ClientEvents,
                private HostPoolCallbacks,
                private DiscoveryCallbacks,
                private ops::GatewayOperations {
 public:
  // `on_stopped` is called once, when all is settled after `begin_shutdown`.
  Gateway(boost::asio::io_context& io, Clock& clock, Config config, std::function<void()> on_stopped);
  ~Gateway() override;

  void start();
  // A planned stop: serves on for as long as clients may still come, then settles all that it has taken.
  void stop();
  // A new configuration: what it names anew is used from now on, and work in flight goes on. Throws, with
  // nothing changed, if it can't be taken.
  void reload(const Config& config);
  // A new configuration that could not be read.
  void reload_failed() { ++load_errors_; }
  // Where clients connect; what was asked for until there is a listening socket.
  boost::asio::ip::tcp::endpoint address() const {
    return clients_.has_socket() ? clients_.address() : config_.listen;
  }
  // Null if there is none.
  const extproc::Processor* processor() const { return processor_ ? &processor_->processor() : nullptr; }

 private:
  resp::CommandResult on_command(ResponseHandle ticket, std::span<const resp::Item> words,
                                 Ms waited) override;
  void on_unsent(std::uint64_t identity) override { front_.on_reply_pending(identity); }
  void on_sent(std::uint64_t identity) override { front_.on_reply_flushed(identity); }
  void on_client_gone(std::uint64_t name) override;
  void on_room(std::uint64_t name) override { engine_.on_client_writable(clock_.now(), name); }
  void on_attempt_end(Ms now, AttemptId attempt, Outcome outcome, std::string_view value,
                      std::string_view report) override;
  void on_host_list(const HostList& list) override;

  void on_value_started(Ms now, AttemptId attempt, std::size_t size) override {
    engine_.on_value_started(now, attempt, size);
    arm_timer();
  }
  bool on_value_chunk(Ms now, AttemptId attempt, std::string_view bytes) override {
    return engine_.on_value_chunk(now, attempt, bytes);
  }
  void on_attempt_written(AttemptId attempt) override { engine_.on_written(attempt); }
  std::optional<Ms> may_write(Ms now, AttemptId attempt, bool begun) override {
    return engine_.may_write(now, attempt, begun);
  }
  bool ready() const override;
  std::string metrics() override;
  std::optional<std::string> members() override;
  void set_draining(bool on) override;
  void take_settings(const Config& config, const settings::NumberedSettings& numbered);
  void open_to_clients();
  void open_after_end();
  void listen_after_end();
  void open_to_proxies();
  void take_over(const std::string& state);
  void drop_departed(const std::vector<DepartedHost>& hosts);
  void decline();
  void on_predecessor_gone();
  void hand_over();
  // One of two processes has half of what both may have.
  void share_limits(bool shared);

  std::vector<HostEntry> entries(const HostList& list);
  Ms start_of(HostId id, const DiscoveredHost& target, const HostList& list);
  void apply(const HostList& list, HostListUpdate kind);
  void arm_timer();
  void run_due();
  void await_stopped();

  Clock& clock_;
  Config config_;
  engine::ControllerPolicy module_;
  DecisionLog decision_log_;
  Clients clients_;
  Hosts hosts_;
  engine::Engine engine_;
  resp::RespHandler front_;
  std::unique_ptr<ProcessorServer> processor_;
  Discovery discovery_;
  std::function<void()> on_stopped_;

  boost::asio::steady_timer timer_;
  Ms timer_at_ = 0;  // when it is set to; 0: not set

  struct Known {
    std::string uid;
    std::optional<double> boot_ms;
    Ms started_at = 0;
  };
  std::map<HostId, Known> known_;
  DepartedHosts departed_;
  boost::asio::steady_timer stop_timer_, drain_timer_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<Peers> peers_;              // null: it knows of no others
  std::unique_ptr<Predecessor> predecessor_;  // until it has ended
  std::unique_ptr<Handover> handover_;
  boost::asio::steady_timer ready_timer_, proxies_timer_, listen_timer_;
  bool open_ = false;       // clients are accepted here, or were
  bool told_ = false;       // discovery has spoken, or had its time to
  bool handed_to_ = false;  // a process before this one had the clients
  bool handed_over_ = false;
  bool declining_ = false;                 // told to end before clients were this process's
  bool sharing_ = false;                   // with another process of this gateway
  std::vector<std::string> class_labels_;  // by number; of withdrawn classes too
  std::uint64_t loads_ = 0, load_errors_ = 0;
  bool draining_ = false;
};

// A host's number, from its uid alone: the same at every gateway and after every restart.
HostId host_number(std::string_view uid);

}  // namespace cometfold::net
