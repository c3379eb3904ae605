#include "emulators/relay.h"

#include <memory>
#include <string>

#include "resp/resp_reader.h"
#include "resp/resp_writer.h"

namespace cometfold::emulators {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class Relay::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket client, tcp::socket host) : client_(std::move(client)), host_(std::move(host)) {}
  void start() {
    read(client_, commands_, &Connection::forward_commands);
    read(host_, replies_, &Connection::forward_replies);
  }

 private:
  void read(tcp::socket& from, resp::RespReader& reader, bool (Connection::*forward)()) {
    const auto space = reader.prepare();
    from.async_read_some(
        asio::buffer(space.data(), space.size()),
        [this, self = shared_from_this(), &from, &reader, forward](error_code error, std::size_t n) {
          if (error) return close();
          reader.commit(n);
          if (!(this->*forward)()) return close();
          read(from, reader, forward);
        });
  }

  bool forward_commands() {
    std::string out;
    while (commands_.next(frame_) == resp::ReadResult::kFrame) {
      resp::append_array(out, frame_.items.size());
      for (const auto& item : frame_.items) resp::append_bulk(out, item.text);
    }
    return send(host_, out);
  }

  bool forward_replies() {
    std::string out;
    while (replies_.next(frame_) == resp::ReadResult::kFrame) {
      if (frame_.is_array) {
        resp::append_bulk(out, frame_.items.at(0).text);
      } else {
        resp::append_error(out, frame_.items.at(0).text);
      }
    }
    return send(client_, out);
  }

  static bool send(tcp::socket& to, const std::string& text) {
    error_code error;
    if (!text.empty()) asio::write(to, asio::buffer(text), error);
    return !error;
  }

  void close() {
    error_code ignored;
    client_.close(ignored);
    host_.close(ignored);
  }

  tcp::socket client_, host_;
  resp::RespReader commands_{resp::RespLimits{}, true}, replies_{resp::RespLimits{}, false};
  resp::Frame frame_;
};

Relay::Relay(asio::io_context& io, std::vector<int> hosts, std::uint16_t port)
    : io_(io),
      acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), port)),
      hosts_(std::move(hosts)) {
  accept();
}
Relay::~Relay() = default;

void Relay::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket client) {
    if (error == asio::error::operation_aborted) return;
    tcp::socket host(io_);
    const auto port = static_cast<std::uint16_t>(hosts_[next_host_++ % hosts_.size()]);
    if (!error) host.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port), error);
    if (!error) {
      client.set_option(tcp::no_delay(true), error);
      host.set_option(tcp::no_delay(true), error);
      std::make_shared<Connection>(std::move(client), std::move(host))->start();
    }
    accept();
  });
}

}  // namespace cometfold::emulators
