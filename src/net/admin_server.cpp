#include "net/admin_server.h"

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

constexpr std::size_t kMostCallers = 24;
constexpr std::uint32_t kMostHead = 8 * 1024;
constexpr std::uint64_t kMostBody = 16 * 1024;
constexpr auto kWholeCall = std::chrono::seconds(5);  // for the whole of a call, and for its answer
constexpr auto kAcceptAgain = std::chrono::milliseconds(20);

}  // namespace

// One connection: a call is read, answered, and that is all.
class AdminServer::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(AdminServer& owner, tcp::socket socket) : owner_(owner), stream_(std::move(socket)) {
    parser_.header_limit(kMostHead);
    parser_.body_limit(kMostBody);
  }

  void start() {
    stream_.expires_after(kWholeCall);
    http::async_read(
        stream_, buffer_, parser_,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->came(error); });
  }
  bool unfinished() const { return !answering_; }
  void close() { stream_.close(); }

 private:
  void came(beast::error_code error) {
    if (error == http::error::end_of_stream || error == beast::error::timeout ||
        error == asio::error::operation_aborted || error == asio::error::connection_reset) {
      return done();
    }
    if (error) return answer({400, "not a call in HTTP/1.1: " + error.message() + "\n"});
    const auto& call = parser_.get();
    answer(ops::handle_call(owner_.gateway_, std::string(call.method_string()), std::string(call.target())));
  }

  void answer(ops::CallResponse given) {
    answering_ = true;
    response_.version(11);
    response_.result(static_cast<unsigned>(given.status));
    response_.set(http::field::content_type, given.type);
    response_.set(http::field::cache_control, "no-store");
    response_.keep_alive(false);
    response_.body() = std::move(given.body);
    response_.prepare_payload();
    stream_.expires_after(kWholeCall);
    http::async_write(stream_, response_, [self = shared_from_this()](beast::error_code error, std::size_t) {
      if (error) return self->done();
      self->linger();
    });
  }

  // Danger: closing with bytes unread sends a reset, which may destroy the answer on its way.
  void linger() {
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.expires_after(std::chrono::milliseconds(500));
    drain();
  }
  void drain() {
    stream_.async_read_some(asio::buffer(rest_),
                            [self = shared_from_this()](beast::error_code error, std::size_t) {
                              error ? self->done() : self->drain();
                            });
  }

  void done() {
    stream_.close();
    owner_.callers_.remove(shared_from_this());
  }

  AdminServer& owner_;
  beast::tcp_stream stream_;
  beast::flat_static_buffer<kMostHead + 1024> buffer_;
  http::request_parser<http::string_body> parser_;
  http::response<http::string_body> response_;
  std::array<char, 512> rest_;
  bool answering_ = false;
};

AdminServer::AdminServer(asio::io_context& io, ops::GatewayOperations& gateway)
    : io_(io), gateway_(gateway), acceptor_(io), again_(io) {}
AdminServer::~AdminServer() = default;

void AdminServer::listen(const tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(128);
  accept();
}

// Danger: callers that say nothing would keep an operator out. The one unfinished for longest gives way; a
// call that has come whole is answered in the same turn of the loop, so none of those is ever among them.
void AdminServer::make_room() {
  if (callers_.size() < kMostCallers) return;
  for (const auto& caller : callers_) {
    if (!caller->unfinished()) continue;
    const auto going = caller;
    going->close();
    callers_.remove(going);
    return;
  }
  const auto oldest = callers_.front();
  oldest->close();
  callers_.pop_front();
}

void AdminServer::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {  // out of descriptors: it waits in the kernel
      make_room();
      again_.expires_after(kAcceptAgain);
      again_.async_wait([this](error_code stopped) {
        if (!stopped) accept();
      });
      return;
    }
    make_room();
    callers_.push_back(std::make_shared<Caller>(*this, std::move(socket)));
    callers_.back()->start();
    accept();
  });
}

}  // namespace cometfold::net
