#include "net/discovery_watch.h"

#include <array>
#include <boost/beast/http.hpp>
#include <exception>
#include <utility>

#include "net/discovery_error.h"
#include "net/host_list_stream.h"
#include "net/log.h"

namespace cometfold::net {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto kSilenceTimeout = 3s;  // discovery sends a line every 2 s
constexpr unsigned kHttp11 = 11;
constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;

struct CallTimeouts {
  std::chrono::milliseconds connect;
  std::chrono::milliseconds response;
};
// A local agent answers at once, so one that does not is called again soon. A remote service may queue calls.
constexpr CallTimeouts kAgentTimeouts{300ms, 1000ms};
constexpr CallTimeouts kServiceTimeouts{1000ms, 4200ms};

// A gateway must receive a change within 6 s of discovery having it. A call that began while discovery was
// down may time out only after it is up again, and is followed by a backoff and another call: all of that
// must fit into the limit.
constexpr auto kPropagationLimit = 6s;
constexpr auto kTypicalResponseTime = 250ms;
static_assert(kServiceTimeouts.response + Backoff::kMaxDelay * 3 / 2 + kTypicalResponseTime <=
              kPropagationLimit);

// Makes the stream of a coroutine accessible to `close` for as long as it exists.
class StreamRegistration {
 public:
  StreamRegistration(beast::tcp_stream*& slot, beast::tcp_stream& stream) : slot_(slot) { slot_ = &stream; }
  ~StreamRegistration() { slot_ = nullptr; }
  StreamRegistration(const StreamRegistration&) = delete;
  StreamRegistration& operator=(const StreamRegistration&) = delete;

 private:
  beast::tcp_stream*& slot_;
};

std::string to_text(const tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

void require_ok(const tcp::endpoint& address, http::status status) {
  if (status != http::status::ok) {
    throw DiscoveryRejected(to_text(address), static_cast<unsigned>(status));
  }
}

}  // namespace

DiscoveryWatch::DiscoveryWatch(asio::io_context& io, const tcp::endpoint& address,
                               std::optional<std::uint64_t> version, const DiscoveryCallOptions& call_options,
                               std::mt19937_64& random, DiscoveryWatchCallbacks& callbacks)
    : io_(io),
      address_(address),
      version_(version),
      call_options_(call_options),
      random_(random),
      callbacks_(callbacks),
      backoff_timer_(io) {}

void DiscoveryWatch::start() { asio::co_spawn(io_, run(shared_from_this()), asio::detached); }

void DiscoveryWatch::close() {
  closed_ = true;
  backoff_timer_.cancel();
  if (stream_) stream_->close();
}

void DiscoveryWatch::refetch_snapshot() {
  version_.reset();
  if (stream_) stream_->close();
}

asio::awaitable<void> DiscoveryWatch::run([[maybe_unused]] std::shared_ptr<DiscoveryWatch> self) {
  Backoff backoff =
      call_options_.local_agent ? Backoff::for_local_agent() : Backoff(call_options_.gateway_count);
  if (version_) co_await wait(0ms, backoff.max_initial_delay());
  while (!closed_) {
    const Failure failure = co_await connect_once();
    if (closed_ || !reconnecting_) break;
    log_line("discovery watch ended, reconnecting after a delay", failure.reason);
    const auto result = received_data_     ? WatchResult::kReceivedData
                        : failure.rejected ? WatchResult::kRejected
                                           : WatchResult::kFailed;
    // Random, so that gateways that lost discovery at the same time do not reconnect at the same time.
    const auto delay = backoff.next_delay(result);
    co_await wait(delay / 2, delay);
  }
}

// Polls the snapshot if there is no version yet, then follows changes until the connection ends or fails.
asio::awaitable<DiscoveryWatch::Failure> DiscoveryWatch::connect_once() {
  received_data_ = false;
  request_sent_ = false;
  try {
    if (!version_) co_await poll();
    if (!closed_) co_await follow();
    co_return Failure{"end of response"};
  } catch (const DiscoveryRejected& error) {
    co_return Failure{error.what(), true};
  } catch (const boost::system::system_error& error) {
    // A server that accepts a request and closes without a response is up but overloaded.
    const bool ended_by_server =
        error.code() == asio::error::connection_reset || error.code() == http::error::end_of_stream;
    co_return Failure{error.code().message(), request_sent_ && ended_by_server};
  } catch (const std::exception& error) {
    co_return Failure{error.what()};
  }
}

// Waits for a time drawn uniformly from `min` to `min + span`, or until `close`.
asio::awaitable<void> DiscoveryWatch::wait(std::chrono::milliseconds min, std::chrono::milliseconds span) {
  if (span.count() <= 0) co_return;
  backoff_timer_.expires_after(min +
                               std::chrono::milliseconds(random_() % static_cast<unsigned>(span.count())));
  boost::system::error_code cancelled;
  co_await backoff_timer_.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

asio::awaitable<void> DiscoveryWatch::send_request(Stream& stream, const std::string& path) {
  const CallTimeouts& timeouts = call_options_.local_agent ? kAgentTimeouts : kServiceTimeouts;
  stream.expires_after(timeouts.connect);
  co_await stream.async_connect(address_, asio::use_awaitable);
  http::request<http::empty_body> request(http::verb::get, path, kHttp11);
  request.set(http::field::host, to_text(address_));
  stream.expires_after(timeouts.response);
  co_await http::async_write(stream, request, asio::use_awaitable);
  request_sent_ = true;
}

// Fetches the snapshot.
asio::awaitable<void> DiscoveryWatch::poll() {
  Stream stream(io_);
  const StreamRegistration registration(stream_, stream);
  co_await send_request(stream, "/api/targets");
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxHostListBytes);
  co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
  if (closed_) co_return;
  require_ok(address_, parser.get().result());
  json::value value;
  try {
    value = json::parse(parser.get().body());
  } catch (const std::exception& error) {
    throw DiscoveryError(to_text(address_), std::string("malformed line: ") + error.what());
  }
  on_list(value);
}

// Reads changes since the version that this gateway has, until the connection ends.
asio::awaitable<void> DiscoveryWatch::follow() {
  Stream stream(io_);
  const StreamRegistration registration(stream_, stream);
  co_await send_request(stream, "/api/targets?follow=1&since=" + std::to_string(version_.value_or(0)));
  beast::flat_buffer buffer;
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  co_await http::async_read_header(stream, buffer, parser, asio::use_awaitable);
  require_ok(address_, parser.get().result());

  HostListStream lists({.on_heartbeat =
                            [this] {
                              on_heartbeat();
                              return !closed_;
                            },
                        .on_list =
                            [this](const json::value& list) {
                              on_list(list);
                              return !closed_;
                            }});
  std::array<char, kReadBufferBytes> bytes;
  while (!parser.is_done()) {
    parser.get().body().data = bytes.data();
    parser.get().body().size = bytes.size();
    stream.expires_after(kSilenceTimeout);
    boost::system::error_code error;
    co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (closed_) co_return;
    if (error && error != http::error::need_buffer) throw boost::system::system_error(error);
    lists.feed({bytes.data(), bytes.size() - parser.get().body().size});
  }
}

void DiscoveryWatch::on_heartbeat() {
  received_data_ = true;
  last_received_ = std::chrono::steady_clock::now();
}

void DiscoveryWatch::on_list(const json::value& json) {
  HostList list;
  try {
    list = parse_host_list(json);
  } catch (const std::exception& error) {
    throw DiscoveryError(to_text(address_), std::string("malformed line: ") + error.what());
  }
  received_data_ = true;
  list.changed_since = std::exchange(last_received_, std::chrono::steady_clock::now());
  const auto version = list.version;
  callbacks_.on_watch_list(*this, std::move(list));
  version_ = version;
}

}  // namespace cometfold::net
