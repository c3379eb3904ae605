#include "emulators/proxy/http_host.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace cometfold::emulators {
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

std::atomic<std::uint64_t> last_try{0};

}  // namespace

HttpHost::HttpHost(const HttpFaults& faults, std::uint64_t seed, Record record)
    : faults_(faults),
      record_(std::move(record)),
      random_(seed),
      acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      port_(acceptor_.local_endpoint().port()),
      thread_([this] { accept(); }) {}

HttpHost::~HttpHost() {
  over_ = true;
  boost::system::error_code ignored;
  tcp::socket last(io_);  // wakes the accept
  last.connect(tcp::endpoint(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port_)), ignored);
  thread_.join();
  while (live_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

double HttpHost::draw() {
  const std::lock_guard lock(mutex_);
  return static_cast<double>(random_() >> 11) * 0x1.0p-53;
}

void HttpHost::accept() {
  while (!over_) {
    boost::system::error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error || over_) continue;
    ++live_;
    std::thread([this, s = std::move(socket)]() mutable {
      try {
        serve(std::move(s));
      } catch (const std::exception&) {  // the connection ended
      }
      --live_;
    }).detach();
  }
}

void HttpHost::serve(tcp::socket socket) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    http::request<http::string_body> request;
    http::read(socket, buffer, request);
    const std::string id(request["x-request-id"]);
    const std::uint64_t number = ++last_try;
    record_(Seen::kCame, id, number);
    const double fate = draw();
    http::response<http::string_body> response(http::status::ok, 11);
    if (fate < faults_.full) {
      record_(Seen::kNeverRan, id, number);
      response.result(http::status::too_many_requests);
    } else {
      std::this_thread::sleep_for(
          std::chrono::duration<double, std::milli>(faults_.mean_ms * (0.5 + draw())));
      record_(Seen::kOver, id, number);
      if (fate < faults_.full + faults_.broken) return;
      if (fate < faults_.full + faults_.broken + faults_.error) {
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
