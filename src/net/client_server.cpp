#include "net/client_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

#include "net/log.h"
#include "net/tcp_stream.h"

namespace cometfold::net {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kBacklog = 1024;
// More silent connections than the connection limit divided by this can't all be clients that have only just
// connected.
constexpr std::size_t kManySilentDivisor = 4;
constexpr auto kSweepInterval = std::chrono::milliseconds(100);  // finds a disconnected client within 0.3 s
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(5);
constexpr auto kDisconnectCheckInterval = std::chrono::milliseconds(20);

// Milliseconds since the last bytes were received on a connection, or since it was opened.
std::optional<Ms> time_since_last_receive(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
  return info.tcpi_last_data_recv;
}

// Spreads connections evenly over [0, 1), whichever of them are open: multiples of the golden ratio.
double close_position(std::uint64_t connection_id) {
  constexpr double kGoldenRatio = 1.6180339887498949;
  const double multiple = static_cast<double>(connection_id) * kGoldenRatio;
  return multiple - std::floor(multiple);
}

bool is_out_of_descriptors(const error_code& error) {
  return error == asio::error::no_descriptors || error.value() == ENFILE;
}

bool is_queue_empty(const error_code& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

// The call was interrupted or its connection was aborted; others may still wait in the accept queue.
bool has_left_queue(const error_code& error) {
  return error == asio::error::connection_aborted || error == asio::error::interrupted;
}

}  // namespace

ClientServer::ClientServer(asio::io_context& io, Clock& clock, ClientServerCallbacks& callbacks,
                           const ClientLimits& limits)
    : io_(io),
      clock_(clock),
      callbacks_(callbacks),
      max_connections_(limits.max_connections),
      max_unused_connections_(limits.max_unused_connections),
      acceptor_(io),
      accept_timer_(io),
      disconnect_check_timer_(io),
      sweep_timer_(io) {
  totals_.memory.set_limit(limits.max_buffer_bytes);
}
ClientServer::~ClientServer() = default;

// ---- listener ----

void ClientServer::listen(const tcp::endpoint& address) {
  error_code ignored;
  acceptor_.close(ignored);  // of an earlier attempt
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(kBacklog);
  start_accepting();
}

void ClientServer::adopt(int listening_socket) {
  sockaddr_storage address{};
  socklen_t size = sizeof address;
  if (::getsockname(listening_socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw boost::system::system_error(errno, boost::system::system_category(),
                                      "getsockname of the inherited listening socket");
  }
  acceptor_.assign(address.ss_family == AF_INET6 ? tcp::v6() : tcp::v4(), listening_socket);
}

void ClientServer::start_accepting() {
  has_started_ = true;
  acceptor_.non_blocking(true);
  // Without this option the library's accept blocks in the kernel after ECONNABORTED or EPROTO.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  accept();
  sweep();
}

void ClientServer::release_listener() {
  is_shut_down_ = true;
  error_code ignored;
  acceptor_.close(ignored);  // the successor's descriptor keeps the socket and its accept queue open
  accept_timer_.cancel();
}

void ClientServer::set_limits(const ClientLimits& limits) {
  max_connections_ = limits.max_connections;
  max_unused_connections_ = limits.max_unused_connections;
  totals_.memory.set_limit(limits.max_buffer_bytes);
}

void ClientServer::accept() {
  if (is_shut_down_ || !acceptor_.is_open()) return;
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error == asio::error::operation_aborted || is_shut_down_) return;
    if (error) {
      accept_later();
    } else {
      accept_one();
    }
  });
}

void ClientServer::accept_later() {
  if (!queue_delayed_since_) queue_delayed_since_ = clock_.now();
  accept_timer_.expires_after(kAcceptRetryDelay);
  accept_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) accept();
  });
}

bool ClientServer::has_space() { return connections_.size() < max_connections_ || evict_one(); }

// At the connection limit another connection is evicted, but only once a new one waits in the accept queue.
// If none may be evicted, the new one stays in the queue.
void ClientServer::accept_one() {
  if (!has_space()) return accept_later();
  error_code error;
  tcp::socket socket(io_);
  acceptor_.accept(socket, error);
  if (!error) {
    on_accepted(std::move(socket));
    return accept();
  }
  if (is_queue_empty(error)) queue_delayed_since_.reset();
  if (is_queue_empty(error) || has_left_queue(error)) return accept();
  log_line("accepting a client connection failed, retrying", error.message());
  if (is_out_of_descriptors(error)) evict_one();
  accept_later();
}

void ClientServer::on_accepted(tcp::socket socket) {
  error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  const auto id = ++last_id_;
  const auto connection = std::make_shared<resp::ClientConnection>(*this, totals_, id, clock_.now());
  connections_.emplace(id, connection);
  if (queue_delayed_since_) account_for_wait(socket, *connection);
  if (draining_) connection->close_after_next_reply();
  connection->start(std::make_unique<TcpStream>(std::move(socket), clock_, *connection));
  if (is_shut_down_) connection->start_draining(clock_.now());
  evict_excess_unused();
}

// Time in the accept queue counts towards the deadline of a request, so the connection gets an estimate of
// when its first bytes arrived.
void ClientServer::account_for_wait(tcp::socket& socket, resp::ClientConnection& connection) {
  error_code error;
  if (socket.available(error) == 0 || error) return;
  const Ms now = clock_.now();
  const Ms max_wait = now - *queue_delayed_since_;
  const Ms received_ago = time_since_last_receive(socket.native_handle()).value_or(max_wait);
  connection.set_arrival_bound(now - std::min(received_ago, max_wait));
}

// ---- replies ----

resp::ClientConnection* ClientServer::find(ResponseHandle handle) {
  const auto it = connections_.find(handle.connection);
  return it == connections_.end() ? nullptr : it->second.get();
}

void ClientServer::send_reply(Ms now, ResponseHandle handle, std::string_view reply) {
  if (auto* connection = find(handle)) connection->send_reply(now, handle.sequence, reply);
}

void ClientServer::send_error(Ms now, ResponseHandle handle, std::string_view reason) {
  if (auto* connection = find(handle)) connection->send_error(now, handle.sequence, reason);
}

void ClientServer::start_value(Ms now, ResponseHandle handle, std::size_t size,
                               const std::optional<engine::CompletionBound>& bound) {
  if (auto* connection = find(handle)) connection->start_value(now, handle.sequence, size, bound);
}

bool ClientServer::append_value(Ms now, ResponseHandle handle, std::string_view bytes) {
  auto* connection = find(handle);
  return !connection || connection->append_value(now, handle.sequence, bytes);
}

void ClientServer::finish_value(Ms now, ResponseHandle handle) {
  if (auto* connection = find(handle)) connection->finish_value(now, handle.sequence);
}

bool ClientServer::withdraw_value(Ms now, ResponseHandle handle) {
  auto* connection = find(handle);
  return connection && connection->withdraw_value(now, handle.sequence);
}

bool ClientServer::client_disconnected(ResponseHandle handle) {
  auto* connection = find(handle);
  return !connection || connection->client_disconnected();
}

resp::CommandResult ClientServer::on_command(Ms, ResponseHandle handle, std::span<const resp::Item> words,
                                             const resp::CommandArrival& arrival) {
  return callbacks_.on_command(handle, words, arrival);
}

void ClientServer::on_names_replaced(const std::shared_ptr<const resp::CommandNames>& names) {
  for (const auto& [id, connection] : connections_) connection->on_names_replaced(names);
}

void ClientServer::on_client_disconnected(Ms, std::uint64_t request_id) {
  callbacks_.on_client_disconnected(request_id);
}

// ---- eviction ----

bool ClientServer::may_evict(const resp::ClientConnection& connection) {
  return may_close(resp::CloseReason::kEvicted, connection.state(clock_.now()));
}

// Clients that keep their connections open after a request can run out of descriptors on their own machine,
// where this gateway does not see the failures. So only the most recently used idle connections are kept.
void ClientServer::evict_excess_unused() {
  std::vector<ConnectionPtr> unused;
  for (const auto& [id, connection] : connections_) {
    if (connection->has_replied() && connection->is_idle()) unused.push_back(connection);
  }
  if (unused.size() <= max_unused_connections_) return;
  std::sort(unused.begin(), unused.end(),
            [](const auto& one, const auto& other) { return one->last_used() < other->last_used(); });
  const auto oldest = std::find_if(unused.begin(), unused.end(),
                                   [this](const auto& connection) { return may_evict(*connection); });
  if (oldest != unused.end()) (*oldest)->close(clock_.now(), resp::CloseReason::kEvicted);
}

// If only idle connections were evicted, silent ones, which have sent nothing or an incomplete command, could
// lock new clients out. When there are many of them, the oldest is evicted first: a normal client sends right
// after connecting, so it is never the oldest.
bool ClientServer::evict_one() {
  ConnectionPtr best;
  ConnectionPtr oldest_silent;
  std::size_t silent_count = 0;
  for (const auto& [id, connection] : connections_) {
    const int priority = connection->eviction_priority();
    if (priority == 0) continue;
    const bool is_silent = connection->is_silent();
    silent_count += is_silent ? 1 : 0;
    const bool is_oldest_silent =
        is_silent && (!oldest_silent || connection->last_used() < oldest_silent->last_used());
    const bool is_best =
        !best || priority > best->eviction_priority() ||
        (priority == best->eviction_priority() && connection->last_used() < best->last_used());
    if ((!is_oldest_silent && !is_best) || !may_evict(*connection)) continue;
    if (is_oldest_silent) oldest_silent = connection;
    if (is_best) best = connection;
  }
  if (!best) return false;
  const bool are_many_silent = silent_count * kManySilentDivisor > max_connections_;
  const auto& evicted = oldest_silent && are_many_silent ? oldest_silent : best;
  evicted->close(clock_.now(), resp::CloseReason::kEvicted);
  return true;
}

// ---- checks ----

// A connection whose reads are paused does not notice that the client has disconnected, so that is polled:
// attempts that begin more than 0.1 s after the disconnect are wasted.
void ClientServer::on_reads_paused() {
  if (std::exchange(disconnect_check_scheduled_, true)) return;
  disconnect_check_timer_.expires_after(kDisconnectCheckInterval);
  disconnect_check_timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    disconnect_check_scheduled_ = false;
    std::vector<ConnectionPtr> paused;  // apart, as a check may close some
    for (const auto& [id, connection] : connections_) {
      if (connection->reads_paused()) paused.push_back(connection);
    }
    for (const auto& connection : paused) connection->check_disconnected(clock_.now());
  });
}

void ClientServer::sweep() {
  const auto connections = connections_;  // a copy, as the calls may close some
  for (const auto& [id, connection] : connections) connection->close_if_timed_out(clock_.now());
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) sweep();
  });
}

// ---- shutdown ----

void ClientServer::shut_down() {
  if (is_shut_down_) return;
  is_shut_down_ = true;
  accept_timer_.cancel();
  close_idle();
  accept_queue();
}

// Closing the listener would reset connections that the kernel has already accepted, so those are accepted
// first. At the connection limit they wait for others to close, and the listener stays open until then.
void ClientServer::accept_queue() {
  error_code error;
  while (has_started_ && acceptor_.is_open() && !error) {
    if (!has_space()) {
      error = asio::error::no_descriptors;
      break;
    }
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) on_accepted(std::move(socket));
    if (has_left_queue(error)) error.clear();
  }
  if (!error || is_queue_empty(error)) {
    acceptor_.close(error);
    log_line("the listener for clients is closed");
    return;
  }
  if (!queue_delayed_since_) queue_delayed_since_ = clock_.now();
  accept_timer_.expires_after(kAcceptRetryDelay);
  accept_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) accept_queue();
  });
}

void ClientServer::set_draining(bool on) {
  draining_ = on;
  if (!on) return;
  for (const auto& [id, connection] : connections_) connection->close_after_next_reply();
}

void ClientServer::close_idle(double fraction) {
  const auto connections = connections_;  // a copy, as the calls may close some
  for (const auto& [id, connection] : connections) {
    if (close_position(id) <= fraction) connection->start_draining(clock_.now());
  }
}

void ClientServer::finish() {
  const auto connections = connections_;  // a copy, as the calls may close some
  for (const auto& [id, connection] : connections) connection->finish(clock_.now());
}

bool ClientServer::awaits_delivery() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.second->awaits_delivery(); });
}

std::size_t ClientServer::connection_count() const {
  return connections_.size() + (is_shut_down_ && acceptor_.is_open() ? 1 : 0);
}

}  // namespace cometfold::net
