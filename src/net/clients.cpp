#include "net/clients.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <optional>
#include <utility>

#include "net/log.h"
#include "net/tcp_stream.h"

namespace cometfold::net {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kManySilent = 4;  // one of so many: more are no usual clients that have just come
constexpr auto kSweep = std::chrono::milliseconds(100);  // a client that left is found before 0.3 s
constexpr auto kAcceptAgain = std::chrono::milliseconds(5);
constexpr auto kLookForLeavers = std::chrono::milliseconds(20);  // among those that nothing is read from

// Milliseconds since the last bytes came on a connection, or since it was made. TCP_INFO of Linux.
std::optional<Ms> quiet_for(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
  return info.tcpi_last_data_recv;
}

bool out_of_descriptors(const error_code& error) {
  return error == asio::error::no_descriptors || error.value() == ENFILE;
}

}  // namespace

Clients::Clients(asio::io_context& io, Clock& clock, ClientEvents& events, const ClientLimits& limits)
    : io_(io),
      clock_(clock),
      events_(events),
      most_(limits.connections),
      kept_(limits.kept),
      totals_{.max_unsent_bytes = limits.unsent, .max_buffered_bytes = limits.buffered},
      acceptor_(io),
      retry_accept_(io),
      leavers_timer_(io),
      sweep_timer_(io) {}
Clients::~Clients() = default;

void Clients::listen(const tcp::endpoint& at) {
  error_code ignored;
  acceptor_.close(ignored);  // of an earlier try
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(1024);
  begin();
}

void Clients::adopt(int listening) {
  sockaddr_storage at{};
  socklen_t size = sizeof at;
  if (::getsockname(listening, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
    throw boost::system::system_error(errno, boost::system::system_category(), "the socket taken over");
  }
  acceptor_.assign(at.ss_family == AF_INET6 ? tcp::v6() : tcp::v4(), listening);
}

void Clients::begin() {
  begun_ = true;
  acceptor_.non_blocking(true);
  // Danger: without it the library's accept waits in the kernel after ECONNABORTED or EPROTO, for as long as
  // nobody else comes, and nothing else is done meanwhile.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  accept();
  sweep();
}

void Clients::leave_queue() {
  winding_down_ = true;
  error_code ignored;
  acceptor_.close(ignored);  // the other process's descriptor keeps the socket and its queue
  retry_accept_.cancel();
}

void Clients::set_limits(const ClientLimits& limits) {
  most_ = limits.connections;
  kept_ = limits.kept;
  totals_.max_unsent_bytes = limits.unsent;
  totals_.max_buffered_bytes = limits.buffered;
}

void Clients::accept() {
  if (winding_down_ || !acceptor_.is_open()) return;
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error == asio::error::operation_aborted || winding_down_) return;
    error ? accept_later() : accept_one();
  });
}

void Clients::accept_later() {
  if (!late_since_) late_since_ = clock_.now();
  retry_accept_.expires_after(kAcceptAgain);
  retry_accept_.async_wait([this](error_code stopped) {
    if (!stopped) accept();
  });
}

// Danger: a connection that the kernel has accepted counts as taken, even if nobody serves it. At the cap a
// client that is not missed makes room, but not before somebody has come; where none can go, the newcomer
// waits in the kernel until one is done.
void Clients::accept_one() {
  error_code error;
  tcp::socket socket(io_);
  if (connections_.size() < most_ || make_room()) {
    acceptor_.accept(socket, error);
    if (!error) {
      accepted(std::move(socket));
      return accept();
    }
    if (error == asio::error::would_block || error == asio::error::try_again) late_since_.reset();
    if (error == asio::error::would_block || error == asio::error::try_again ||
        error == asio::error::connection_aborted || error == asio::error::interrupted) {
      return accept();  // it has left again
    }
    // The listener itself goes on.
    log_line("accept failed", error.message());
    if (out_of_descriptors(error)) make_room();
  }
  accept_later();
}

void Clients::accepted(tcp::socket socket) {
  error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  const auto id = ++last_id_;
  const auto link = std::make_shared<resp::ClientConnection>(*this, totals_, id, clock_.now());
  connections_.emplace(id, link);
  if (late_since_) account_for_wait(socket, *link);
  if (draining_) link->close_after_next_reply();
  link->start(std::make_unique<TcpStream>(std::move(socket), clock_, *link));
  if (winding_down_) link->start_draining(clock_.now());
  trim();
}

// Danger: a request's time runs while its connection waits for a place here.
void Clients::account_for_wait(tcp::socket& socket, resp::ClientConnection& link) {
  error_code error;
  if (socket.available(error) == 0 || error) return;
  const Ms now = clock_.now();
  const Ms at_most = now - *late_since_;
  link.set_arrival_bound(now - std::min(quiet_for(socket.native_handle()).value_or(at_most), at_most));
}

// Danger: clients that ask once and keep their connection use up what their side may open here, long before
// this table is full; whoever comes then is turned away over there, and nothing of it is seen here. So few
// are kept unused, the one used last for longest goes first.
void Clients::trim() {
  std::shared_ptr<resp::ClientConnection> oldest;
  std::size_t unused = 0;
  for (const auto& [id, c] : connections_) {
    if (!c->has_replied() || !c->is_idle()) continue;
    ++unused;
    if (!oldest || c->last_used() < oldest->last_used()) oldest = c;
  }
  const Ms now = clock_.now();
  if (unused > kept_ && may_close(resp::CloseReason::kEvicted, oldest->state(now))) {
    oldest->close(now, resp::CloseReason::kEvicted);
  }
}

void Clients::send_reply(Ms now, ResponseHandle ticket, std::string_view reply) {
  const auto it = connections_.find(ticket.connection);
  if (it != connections_.end()) it->second->send_reply(now, ticket.sequence, reply);
}

void Clients::send_error(Ms now, ResponseHandle ticket, std::string_view why) {
  const auto it = connections_.find(ticket.connection);
  if (it != connections_.end()) it->second->send_error(now, ticket.sequence, why);
}

void Clients::start_value(Ms now, ResponseHandle ticket, std::size_t size) {
  const auto it = connections_.find(ticket.connection);
  if (it != connections_.end()) it->second->start_value(now, ticket.sequence, size);
}

bool Clients::append_value(Ms now, ResponseHandle ticket, std::string_view bytes) {
  const auto it = connections_.find(ticket.connection);
  return it == connections_.end() || it->second->append_value(now, ticket.sequence, bytes);
}

void Clients::finish_value(Ms now, ResponseHandle ticket) {
  const auto it = connections_.find(ticket.connection);
  if (it != connections_.end()) it->second->finish_value(now, ticket.sequence);
}

bool Clients::client_disconnected(ResponseHandle ticket) {
  const auto it = connections_.find(ticket.connection);
  return it == connections_.end() || it->second->client_disconnected();
}

resp::CommandResult Clients::on_command(Ms, ResponseHandle ticket, std::span<const resp::Item> words,
                                        Ms waited) {
  return events_.on_command(ticket, words, waited);
}

void Clients::on_client_disconnected(Ms, std::uint64_t name) { events_.on_client_gone(name); }

// Danger: if only idle clients made room, those that say nothing or half of something would keep others out.
// Where they are many the oldest of them goes first: a usual client sends at once, so its turn does not come.
// One with something unread has a request here, or half of one, and stays.
bool Clients::make_room() {
  std::shared_ptr<resp::ClientConnection> worst, silent;
  std::size_t silent_ones = 0;
  for (const auto& [id, c] : connections_) {
    const int spare = c->eviction_priority();
    if (spare == 0) continue;
    const bool silently =
        c->is_silent() && ++silent_ones && (!silent || c->last_used() < silent->last_used());
    const bool worse = !worst || spare > worst->eviction_priority() ||
                       (spare == worst->eviction_priority() && c->last_used() < worst->last_used());
    if ((!silently && !worse) || !may_close(resp::CloseReason::kEvicted, c->state(clock_.now()))) continue;
    if (silently) silent = c;
    if (worse) worst = c;
  }
  if (!worst) return false;
  (silent && silent_ones * kManySilent > most_ ? silent : worst)
      ->close(clock_.now(), resp::CloseReason::kEvicted);
  return true;
}

// Danger: whoever is held back is not read from, so nothing tells that it has gone, and attempts for it that
// begin later than 0.1 s after that are lost requests.
void Clients::on_reads_paused() {
  if (std::exchange(looking_for_leavers_, true)) return;
  leavers_timer_.expires_after(kLookForLeavers);
  leavers_timer_.async_wait([this](error_code error) {
    if (error) return;
    looking_for_leavers_ = false;
    const auto all = connections_;  // a look may close some
    for (const auto& [id, c] : all) c->check_disconnected(clock_.now());
  });
}

void Clients::sweep() {
  const auto all = connections_;  // a sweep may close some
  for (const auto& [id, c] : all) c->close_if_timed_out(clock_.now());
  sweep_timer_.expires_after(kSweep);
  sweep_timer_.async_wait([this](error_code error) {
    if (!error) sweep();
  });
}

void Clients::wind_down() {
  if (winding_down_) return;
  winding_down_ = true;
  retry_accept_.cancel();
  end_idle();
  empty_queue();
}

// What the kernel has accepted already is taken: it is served, not reset with the listener. Danger: where the
// table is full it waits there for those that end, and the listener with it.
void Clients::empty_queue() {
  error_code error;
  while (begun_ && acceptor_.is_open() && !error) {
    tcp::socket socket(io_);
    if (connections_.size() < most_ || make_room()) {
      acceptor_.accept(socket, error);
      if (!error) accepted(std::move(socket));
      if (error == asio::error::connection_aborted || error == asio::error::interrupted) error.clear();
    } else {
      error = asio::error::no_descriptors;
    }
  }
  if (error && error != asio::error::would_block && error != asio::error::try_again) {
    if (!late_since_) late_since_ = clock_.now();
    retry_accept_.expires_after(kAcceptAgain);
    retry_accept_.async_wait([this](error_code stopped) {
      if (!stopped) empty_queue();
    });
    return;
  }
  acceptor_.close(error);
}

void Clients::set_draining(bool on) {
  draining_ = on;
  if (!on) return;
  for (const auto& [id, c] : connections_) c->close_after_next_reply();
}

void Clients::end_idle() {
  const auto all = connections_;
  for (const auto& [id, c] : all) c->start_draining(clock_.now());
}

std::size_t Clients::connections() const {
  return connections_.size() + (winding_down_ && acceptor_.is_open() ? 1 : 0);
}

}  // namespace cometfold::net
