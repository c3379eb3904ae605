#include "cli/operators_client.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <utility>

namespace cometfold::cli {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{64} * 1024 * 1024;
constexpr int kHttp11 = 11;

std::string error_text(const std::string& address, const std::string& problem, const std::string& remedy) {
  std::string text = address.empty() ? problem : address + ": " + problem;
  if (!remedy.empty()) text += "; " + remedy;
  return text;
}

// One HTTP request and its response. Uses asynchronous operations because the timeout of a beast::tcp_stream
// does not apply to synchronous ones.
class Exchange {
 public:
  // The timeout starts at construction.
  Exchange(const std::string& host, const std::string& target, std::chrono::milliseconds timeout)
      : stream_(io_), request_(http::verb::get, target, kHttp11) {
    request_.set(http::field::host, host);
    response_.body_limit(kMaxBodyBytes);
    stream_.expires_after(timeout);
  }

  beast::error_code run(const asio::ip::tcp::resolver::results_type& endpoints) {
    stream_.async_connect(endpoints, [this](beast::error_code error, const auto&) {
      error_ = error;
      if (!error) write();
    });
    io_.run();
    return error_;
  }
  const http::response<http::string_body>& response() const { return response_.get(); }

 private:
  void write() {
    http::async_write(stream_, request_, [this](beast::error_code error, std::size_t) {
      error_ = error;
      if (!error) read();
    });
  }
  void read() {
    http::async_read(stream_, buffer_, response_,
                     [this](beast::error_code error, std::size_t) { error_ = error; });
  }

  asio::io_context io_{1};
  beast::tcp_stream stream_;
  http::request<http::empty_body> request_;
  http::response_parser<http::string_body> response_;
  beast::flat_buffer buffer_;
  beast::error_code error_;
};

}  // namespace

CallError::CallError(std::string address, std::string problem, std::string remedy)
    : std::runtime_error(error_text(address, problem, remedy)),
      address_(std::move(address)),
      problem_(std::move(problem)),
      remedy_(std::move(remedy)) {}

std::string get(const std::string& address, const std::string& target, std::chrono::milliseconds timeout) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    throw CallError("", "--at must be an address and a port, such as 127.0.0.1:9901");
  }
  Exchange exchange(address, target, timeout);
  asio::io_context io(1);
  asio::ip::tcp::resolver resolver(io);
  beast::error_code unresolved;
  const auto endpoints = resolver.resolve(address.substr(0, colon), address.substr(colon + 1), unresolved);
  if (unresolved) throw CallError(address, unresolved.message());
  const beast::error_code error = exchange.run(endpoints);
  if (error == beast::error::timeout) {
    throw CallError(address, "no response within the timeout", "check that the gateway is running");
  }
  if (error) throw CallError(address, error.message(), "check that --at names the operators' listener");
  const auto& response = exchange.response();
  if (response.result() != http::status::ok) {
    throw CallError(address, std::to_string(response.result_int()) + ": " + response.body());
  }
  return response.body();
}

}  // namespace cometfold::cli
