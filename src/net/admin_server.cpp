#include "net/admin_server.h"

#include <algorithm>
#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "net/log.h"

namespace cometfold::net {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxConnections = 24;
constexpr std::uint32_t kMaxHeaderBytes = 8 * 1024;
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{16} * 1024;
constexpr std::size_t kReadAheadBytes = 1024;
constexpr int kBacklog = 128;
constexpr int kHttp11 = 11;
constexpr auto kCallTimeout = std::chrono::seconds(5);  // for a call, and again for its response
constexpr auto kLingerTimeout = std::chrono::milliseconds(500);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

}  // namespace

// Reads one call, writes its response and closes the connection.
class AdminServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(AdminServer& owner, tcp::socket socket) : owner_(owner), stream_(std::move(socket)) {
    parser_.header_limit(kMaxHeaderBytes);
    parser_.body_limit(kMaxBodyBytes);
  }

  void start() {
    stream_.expires_after(kCallTimeout);
    http::async_read(
        stream_, buffer_, parser_,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->on_read(error); });
  }
  bool is_reading() const { return !responding_; }
  void close() { stream_.close(); }

 private:
  void on_read(beast::error_code error) {
    if (error == http::error::end_of_stream || error == beast::error::timeout ||
        error == asio::error::operation_aborted || error == asio::error::connection_reset) {
      return finish();
    }
    if (error) return respond({400, "not a call in HTTP/1.1: " + error.message() + "\n"});
    const auto& call = parser_.get();
    respond(ops::handle_call(owner_.gateway_, std::string(call.method_string()), std::string(call.target())));
  }

  void respond(ops::CallResponse response) {
    responding_ = true;
    response_.version(kHttp11);
    response_.result(static_cast<unsigned>(response.status));
    response_.set(http::field::content_type, response.content_type);
    response_.set(http::field::cache_control, "no-store");
    response_.keep_alive(false);
    response_.body() = std::move(response.body);
    response_.prepare_payload();
    stream_.expires_after(kCallTimeout);
    http::async_write(stream_, response_, [self = shared_from_this()](beast::error_code error, std::size_t) {
      if (error) return self->finish();
      self->linger();
    });
  }

  // Closing a socket with unread bytes sends a reset, which may discard the response at the client. So the
  // remaining input is read first.
  void linger() {
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.expires_after(kLingerTimeout);
    discard_input();
  }
  void discard_input() {
    stream_.async_read_some(asio::buffer(discarded_),
                            [self = shared_from_this()](beast::error_code error, std::size_t) {
                              if (error) return self->finish();
                              self->discard_input();
                            });
  }

  void finish() {
    stream_.close();
    owner_.connections_.remove(shared_from_this());
  }

  AdminServer& owner_;
  beast::tcp_stream stream_;
  beast::flat_static_buffer<kMaxHeaderBytes + kReadAheadBytes> buffer_;
  http::request_parser<http::string_body> parser_;
  http::response<http::string_body> response_;
  std::array<char, 512> discarded_;
  bool responding_ = false;
};

AdminServer::AdminServer(asio::io_context& io, ops::GatewayOperations& gateway)
    : io_(io), gateway_(gateway), acceptor_(io), accept_timer_(io) {}
AdminServer::~AdminServer() = default;

void AdminServer::listen(const tcp::endpoint& address) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(kBacklog);
  accept();
}

// Connections that send nothing must not lock an operator out, so at the limit the oldest one that is still
// being read is closed. A complete call is answered in the same iteration of the event loop, so it is never
// among them.
void AdminServer::evict_one_at_limit() {
  if (connections_.size() < kMaxConnections) return;
  auto it = std::find_if(connections_.begin(), connections_.end(),
                         [](const auto& connection) { return connection->is_reading(); });
  if (it == connections_.end()) it = connections_.begin();
  const auto evicted = *it;
  evicted->close();
  connections_.erase(it);
}

void AdminServer::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {  // such as no free descriptor: the connection stays in the accept queue
      evict_one_at_limit();
      accept_timer_.expires_after(kAcceptRetryDelay);
      accept_timer_.async_wait([this](error_code cancelled) {
        if (!cancelled) accept();
      });
      return;
    }
    evict_one_at_limit();
    connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
    connections_.back()->start();
    accept();
  });
}

}  // namespace cometfold::net
