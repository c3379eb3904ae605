#include "discovery.h"

#include <algorithm>
#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <exception>

#include "log.h"

namespace thistlepond::net {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto kConnectWithin = 1s;
constexpr auto kSilent = 5s;  // a live watch sends a line every 2 s
constexpr std::chrono::milliseconds kFirstPause = 50ms, kLongestPause = 1000ms;
constexpr std::size_t kMostLine = 4 * 1024 * 1024;

const json::value& need(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  if (!value) throw ListError(std::string("no '") + key + "'");
  return *value;
}

std::string text_of(const json::value& value, const char* key) {
  if (!value.is_string()) throw ListError(std::string("'") + key + "' is not a string");
  return std::string(value.get_string());
}

double number_of(const json::value& value, const char* key) {
  if (!value.is_number()) throw ListError(std::string("'") + key + "' is not a number");
  return value.to_number<double>();
}

template <typename T>
T whole_of(const json::value& value, const char* key) {
  boost::system::error_code error;
  const T n = value.to_number<T>(error);
  if (error) throw ListError(std::string("'") + key + "' is not a whole number in range");
  return n;
}

Target read_target(const json::value& value) {
  if (!value.is_object()) throw ListError("a target is not an object");
  const auto& o = value.get_object();
  Target t;
  t.uid = text_of(need(o, "uid"), "uid");
  t.endpoint = read_endpoint(text_of(need(o, "endpoint"), "endpoint"));
  const auto state = text_of(need(o, "state"), "state");
  if (state != "active" && state != "leaving" && state != "left") throw ListError("unknown state");
  t.state = state == "active"    ? TargetState::kActive
            : state == "leaving" ? TargetState::kLeaving
                                 : TargetState::kLeft;
  if (const auto* v = o.if_contains("az")) t.zone = text_of(*v, "az");
  if (const auto* v = o.if_contains("model")) t.kind = text_of(*v, "model");
  if (const auto* v = o.if_contains("pod_group")) t.cell = whole_of<std::uint32_t>(*v, "pod_group");
  if (const auto* v = o.if_contains("capacity_hint")) t.size = number_of(*v, "capacity_hint");
  if (const auto* v = o.if_contains("boot_ms")) t.boot_ms = number_of(*v, "boot_ms");
  return t;
}

}  // namespace

tcp::endpoint read_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  std::uint16_t port = 0;
  if (colon != std::string_view::npos) {
    const auto* last = text.data() + text.size();
    const auto [end, bad] = std::from_chars(text.data() + colon + 1, last, port);
    boost::system::error_code error;
    const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), error);
    if (!error && bad == std::errc{} && end == last) return {address, port};
  }
  throw ListError("not an address and port: '" + std::string(text.substr(0, 64)) + "'");
}

TargetList read_targets(const json::value& value) {
  if (!value.is_object()) throw ListError("not an object");
  const auto& o = value.get_object();
  TargetList list;
  list.version = whole_of<std::uint64_t>(need(o, "rev"), "rev");
  const auto& all = need(o, "all");
  const auto& targets = need(o, "targets");
  if (!all.is_bool() || !targets.is_array()) throw ListError("'all' or 'targets' has the wrong type");
  list.whole = all.get_bool();
  for (const auto& t : targets.get_array()) list.targets.push_back(read_target(t));
  return list;
}

Discovery::Discovery(asio::io_context& io, const tcp::endpoint& at, std::uint64_t seed,
                     DiscoveryEvents& events)
    : io_(io), at_(at), random_(seed), events_(events) {}

void Discovery::start(std::uint64_t known_version) {
  version_ = known_version;
  asio::co_spawn(io_, run(), asio::detached);
}

asio::awaitable<void> Discovery::run() {
  asio::steady_timer timer(io_);
  auto pause = kFirstPause;
  for (;;) {
    heard_ = false;
    std::string why;
    try {
      co_await watch();
      why = "ended";
    } catch (const boost::system::system_error& error) {
      why = error.code().message();
    } catch (const std::exception& error) {
      why = error.what();
    }
    log_line("the watch of discovery broke", why);
    // The pause is drawn, so that gateways that lost discovery together do not come back together.
    pause = heard_ ? kFirstPause : std::min(pause * 2, kLongestPause);
    timer.expires_after(pause / 2 +
                        std::chrono::milliseconds(random_() % static_cast<unsigned>(pause.count())));
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> Discovery::watch() {
  beast::tcp_stream stream(io_);
  stream.expires_after(kConnectWithin);
  co_await stream.async_connect(at_, asio::use_awaitable);
  http::request<http::empty_body> ask(http::verb::get,
                                      "/api/targets?follow=1&since=" + std::to_string(version_), 11);
  ask.set(http::field::host, at_.address().to_string() + ":" + std::to_string(at_.port()));
  stream.expires_after(kSilent);
  co_await http::async_write(stream, ask, asio::use_awaitable);

  beast::flat_buffer buffer;
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  co_await http::async_read_header(stream, buffer, parser, asio::use_awaitable);
  if (parser.get().result() != http::status::ok)
    throw ListError("discovery answered another status than 200");

  std::string text;
  std::array<char, 16 * 1024> part;
  while (!parser.is_done()) {
    parser.get().body().data = part.data();
    parser.get().body().size = part.size();
    stream.expires_after(kSilent);
    boost::system::error_code error;
    co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) throw boost::system::system_error(error);
    text.append(part.data(), part.size() - parser.get().body().size);
    take_lines(text);
    if (text.size() > kMostLine) throw ListError("a line has no end");
  }
}

// Hands on the whole lines of `text` and leaves the rest. One that can't be read ends the watch: what it may
// have changed would be missing, so the next watch asks for all since the version before it.
void Discovery::take_lines(std::string& text) {
  std::size_t from = 0;
  for (std::size_t end; (end = text.find('\n', from)) != std::string::npos; from = end + 1) {
    const auto line = std::string_view(text).substr(from, end - from);
    if (line.find_first_not_of(" \r") == std::string_view::npos) {
      heard_ = true;
      continue;
    }
    TargetList list;
    try {
      list = read_targets(json::parse(line));
    } catch (const std::exception& error) {
      throw ListError(std::string("malformed line: ") + error.what());
    }
    heard_ = true;
    version_ = list.version;
    events_.on_targets(list);
  }
  text.erase(0, from);
}

}  // namespace thistlepond::net
