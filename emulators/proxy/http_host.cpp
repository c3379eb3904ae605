#include "emulators/proxy/http_host.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace cometfold::emulators {
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

std::atomic<std::uint64_t> last_attempt{0};

}  // namespace

HttpHost::HttpHost(const HttpFaults& faults, std::uint64_t seed, Record record)
    : faults_(faults),
      record_(std::move(record)),
      random_(seed),
      acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      port_(acceptor_.local_endpoint().port()),
      thread_([this] { accept(); }) {}

HttpHost::~HttpHost() {
  stopping_ = true;
  boost::system::error_code ignored;
  tcp::socket wakeup(io_);  // unblocks accept()
  wakeup.connect(tcp::endpoint(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port_)), ignored);
  thread_.join();
  while (active_connections_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

double HttpHost::draw() {
  const std::lock_guard lock(mutex_);
  return static_cast<double>(random_() >> 11) * 0x1.0p-53;
}

void HttpHost::accept() {
  while (!stopping_) {
    boost::system::error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error || stopping_) continue;
    ++active_connections_;
    std::thread([this, s = std::move(socket)]() mutable {
      try {
        serve(std::move(s));
      } catch (const std::exception&) {  // the connection was closed
      }
      --active_connections_;
    }).detach();
  }
}

void HttpHost::serve(tcp::socket socket) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    http::request<http::string_body> request;
    http::read(socket, buffer, request);
    const std::string id(request["x-request-id"]);
    const std::uint64_t number = ++last_attempt;
    record_(RequestEvent::kReceived, id, number);
    const double drawn_outcome = draw();
    http::response<http::string_body> response(http::status::ok, 11);
    if (drawn_outcome < faults_.overloaded) {
      record_(RequestEvent::kNotExecuted, id, number);
      response.result(http::status::too_many_requests);
    } else {
      std::this_thread::sleep_for(
          std::chrono::duration<double, std::milli>(faults_.mean_ms * (0.5 + draw())));
      record_(RequestEvent::kEnded, id, number);
      if (drawn_outcome < faults_.overloaded + faults_.disconnect) return;
      if (drawn_outcome < faults_.overloaded + faults_.disconnect + faults_.error) {
        response.result(http::status::internal_server_error);
      }
    }
    response.set("endpoint-load-metrics", "TEXT cpu_utilization=0.3,named_metrics.in_flight=1");
    response.body() = "made for " + id;
    response.prepare_payload();
    http::write(socket, response);
  }
}

}  // namespace cometfold::emulators
