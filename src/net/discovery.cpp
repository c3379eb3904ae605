#include "net/discovery.h"

#include <algorithm>
#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>

#include "net/backoff.h"
#include "net/log.h"

namespace cometfold::net {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto kSilent = 3s;        // a live watch sends a line every 2 s
constexpr auto kCatchUp = 10s;      // by then two agents that tell of the same fleet agree
constexpr auto kLastWords = 500ms;  // what an old address had written is read by then

// Danger: what a silent watch misses counts as told 6 s after its last word, and 4 s after an address that is
// new. The silence, the pauses and two more tries must fit in it. An agent on this machine answers at once,
// so one that does not is asked again soon; a service may have calls wait for their turn.
struct Pace {
  std::chrono::milliseconds connect, first_word;
};
constexpr Pace kAgentsPace{300ms, 1000ms}, kServicesPace{1000ms, 4200ms};
// Danger: a call that began while discovery was away is given up after it is back, and then there is a pause.
constexpr auto kToldWithin = 6s;      // counts as told then, whatever has become of calls
constexpr auto kAnswerTakes = 250ms;  // on the way, and at a discovery that is not crowded
static_assert(kServicesPace.first_word + Backoff::kLongest * 3 / 2 + kAnswerTakes <= kToldWithin);

// It answers, and does not give the list now.
struct TurnedAway : ListError {
  using ListError::ListError;
};
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

// One address, watched until it is dropped.
class Discovery::Watch : public std::enable_shared_from_this<Watch> {
 public:
  // `version`: what is known already of this address's list; nothing if it must say all of it first.
  Watch(Discovery& owner, const tcp::endpoint& at, std::optional<std::uint64_t> version)
      : owner_(owner), at_(at), version_(version), pause_timer_(owner.io_) {}

  void start() { asio::co_spawn(owner_.io_, run(shared_from_this()), asio::detached); }

  // Nothing is heard from it any more, and it does not come back.
  void drop() {
    dropped_ = true;
    pause_timer_.cancel();
    if (stream_) stream_->close();
  }
  bool dropped() const { return dropped_; }
  // A watch that is about to be replaced is not begun again: its address takes no new connections.
  void let_end() { last_ = true; }
  void ask_for_all() {
    version_.reset();
    if (stream_) stream_->close();
  }
  const tcp::endpoint& at() const { return at_; }

 private:
  asio::awaitable<void> run(std::shared_ptr<Watch> self);
  asio::awaitable<void> pause(std::chrono::milliseconds span, std::chrono::milliseconds least = {});
  asio::awaitable<void> fetch();
  asio::awaitable<void> follow();
  asio::awaitable<void> ask(beast::tcp_stream& stream, const std::string& target);
  void take_lines(std::string& text);
  void take_line(std::string_view line);
  void take_list(const json::value& value);

  Discovery& owner_;
  tcp::endpoint at_;
  std::optional<std::uint64_t> version_;
  asio::steady_timer pause_timer_;
  beast::tcp_stream* stream_ = nullptr;  // the one in use
  json::stream_parser parser_;           // of a list that may stand on several lines
  std::size_t begun_ = 0;                // bytes of such a list that have come, 0: none
  std::optional<std::chrono::steady_clock::time_point> last_word_;  // of any of its connections
  bool heard_ = false;  // this time it has said something that could be read
  bool asked_ = false;  // the call has gone out whole
  bool dropped_ = false, last_ = false;
};

asio::awaitable<void> Discovery::Watch::run([[maybe_unused]] std::shared_ptr<Watch> self) {
  Backoff backoff = owner_.caller_.agent ? Backoff::for_agent() : Backoff(owner_.caller_.gateways);
  if (version_) co_await pause(backoff.spread());
  while (!dropped_) {
    heard_ = asked_ = false;
    std::string why;
    bool away = false;
    try {
      if (!version_) co_await fetch();
      if (!dropped_) co_await follow();
      why = "ended";
    } catch (const TurnedAway& error) {
      why = error.what();
      away = true;
    } catch (const boost::system::system_error& error) {
      why = error.code().message();
      // Whoever takes a call and ends it without a word is there, and pressed.
      away = asked_ &&
             (error.code() == asio::error::connection_reset || error.code() == http::error::end_of_stream);
    } catch (const std::exception& error) {
      why = error.what();
    }
    if (dropped_ || last_) break;
    log_line("the watch of discovery broke", why);
    // The pause is drawn, so that gateways that lost discovery together do not come back together.
    const auto wait = backoff.next(heard_ ? WatchEnd::kHeard
                                   : away ? WatchEnd::kTurnedAway
                                          : WatchEnd::kBroken);
    co_await pause(wait, wait / 2);
  }
}

// Drawn evenly from `min` to `span` more than that.
asio::awaitable<void> Discovery::Watch::pause(std::chrono::milliseconds span,
                                              std::chrono::milliseconds least) {
  if (span.count() <= 0) co_return;
  pause_timer_.expires_after(
      least + std::chrono::milliseconds(owner_.random_() % static_cast<unsigned>(span.count())));
  boost::system::error_code stopped;
  co_await pause_timer_.async_wait(asio::redirect_error(asio::use_awaitable, stopped));
}

namespace {

// Where a coroutine keeps its stream while others may want to close it.
class Shown {
 public:
  Shown(beast::tcp_stream*& place, beast::tcp_stream& stream) : place_(place) { place_ = &stream; }
  ~Shown() { place_ = nullptr; }
  Shown(const Shown&) = delete;
  Shown& operator=(const Shown&) = delete;

 private:
  beast::tcp_stream*& place_;
};

}  // namespace

asio::awaitable<void> Discovery::Watch::ask(beast::tcp_stream& stream, const std::string& target) {
  const Pace& pace = owner_.caller_.agent ? kAgentsPace : kServicesPace;
  stream.expires_after(pace.connect);
  co_await stream.async_connect(at_, asio::use_awaitable);
  http::request<http::empty_body> request(http::verb::get, target, 11);
  request.set(http::field::host, at_.address().to_string() + ":" + std::to_string(at_.port()));
  stream.expires_after(pace.first_word);
  co_await http::async_write(stream, request, asio::use_awaitable);
}

// The whole list, where no version is known that this address would understand.
asio::awaitable<void> Discovery::Watch::fetch() {
  beast::tcp_stream stream(owner_.io_);
  const Shown shown(stream_, stream);
  co_await ask(stream, "/api/targets");
  asked_ = true;
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMostLine);
  co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
  if (dropped_) co_return;
  if (parser.get().result() != http::status::ok)
    throw TurnedAway("discovery answered another status than 200");
  json::value value;
  try {
    value = json::parse(parser.get().body());
  } catch (const std::exception& error) {
    throw ListError(std::string("malformed line: ") + error.what());
  }
  take_list(value);
}

asio::awaitable<void> Discovery::Watch::follow() {
  beast::tcp_stream stream(owner_.io_);
  const Shown shown(stream_, stream);
  co_await ask(stream, "/api/targets?follow=1&since=" + std::to_string(version_.value_or(0)));
  asked_ = true;
  beast::flat_buffer buffer;
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  co_await http::async_read_header(stream, buffer, parser, asio::use_awaitable);
  if (parser.get().result() != http::status::ok)
    throw TurnedAway("discovery answered another status than 200");

  std::string text;
  begun_ = 0;
  std::array<char, 16 * 1024> part;
  while (!parser.is_done()) {
    parser.get().body().data = part.data();
    parser.get().body().size = part.size();
    stream.expires_after(kSilent);
    boost::system::error_code error;
    co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (dropped_) co_return;
    if (error && error != http::error::need_buffer) throw boost::system::system_error(error);
    text.append(part.data(), part.size() - parser.get().body().size);
    take_lines(text);
    if (text.size() + begun_ > kMostLine) throw ListError("a line has no end");
  }
}

// Hands on the whole lines of `text` and leaves the rest. One that can't be read ends the watch: what it may
// have changed would be missing, so the next watch asks for all since the version before it.
void Discovery::Watch::take_lines(std::string& text) {
  std::size_t from = 0;
  for (std::size_t end; !dropped_ && (end = text.find('\n', from)) != std::string::npos; from = end + 1) {
    take_line(std::string_view(text).substr(from, end - from + 1));
  }
  text.erase(0, from);
}

namespace {

bool is_list(std::string_view line) {
  boost::system::error_code error;
  const auto value = json::parse(line, error);
  return !error && value.is_object() && value.get_object().contains("rev");
}

}  // namespace

// A list may stand on several lines, but has no empty one within: that is a sign of life, and none comes in
// the middle of a list. Danger: one that is cut off would swallow all lists that come behind it.
void Discovery::Watch::take_line(std::string_view line) {
  const bool empty = line.find_first_not_of(" \t\r\n") == std::string_view::npos;
  if (empty && begun_ == 0) {
    heard_ = true;
    last_word_ = std::chrono::steady_clock::now();
    return;
  }
  if (begun_ > 0 && (empty || (line.front() == '{' && is_list(line)))) {
    throw ListError("malformed line: a list is cut off");
  }
  if (begun_ == 0) parser_.reset();
  begun_ += line.size();
  boost::system::error_code error;
  parser_.write(line.data(), line.size(), error);
  if (error) throw ListError("malformed line: " + error.message());
  if (!parser_.done()) return;
  begun_ = 0;
  take_list(parser_.release());
}

void Discovery::Watch::take_list(const json::value& value) {
  TargetList list;
  try {
    list = read_targets(value);
  } catch (const std::exception& error) {
    throw ListError(std::string("malformed line: ") + error.what());
  }
  heard_ = true;
  list.news_since = std::exchange(last_word_, std::chrono::steady_clock::now());
  const auto version = list.version;
  owner_.heard(*this, std::move(list));
  version_ = version;
}

Discovery::Discovery(asio::io_context& io, const tcp::endpoint& at, std::uint64_t seed, const Caller& caller,
                     DiscoveryEvents& events)
    : io_(io), at_(at), random_(seed), caller_(caller), events_(events), recheck_(io), last_words_(io) {}

Discovery::~Discovery() {
  for (const auto& watch : {watch_, next_, old_}) {
    if (watch) watch->drop();
  }
}

void Discovery::start(const TargetList& known) {
  note_omitted(known);
  watch_ = std::make_shared<Watch>(*this, at_, known.version);
  watch_->start();
}

void Discovery::move(const tcp::endpoint& at) {
  if (!next_ && watch_->at() == at) return;
  if (next_) next_->drop();
  watch_->let_end();
  next_ = std::make_shared<Watch>(*this, at, std::nullopt);
  next_->start();
}

// Danger: the old watch may have told of a drain in bytes that are not read yet, and the new address may lag.
void Discovery::replace_watch() {
  if (old_) old_->drop();
  old_ = std::exchange(watch_, std::exchange(next_, nullptr));
  last_words_.expires_after(kLastWords);
  last_words_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    old_->drop();
    old_.reset();
  });
}

// Only that hosts leave, and only of processes that the new address names too.
void Discovery::heard_of_the_old(TargetList list) {
  std::erase_if(list.targets, [&](const Target& t) {
    const auto it = listed_.find(t.uid);
    return t.state == TargetState::kActive || it == listed_.end() || it->second != t.boot_ms;
  });
  if (list.targets.empty()) return;
  list.whole = false;
  note_omitted(list);
  note_farewells(list);
  events_.on_targets(list);
}

void Discovery::heard(Watch& from, TargetList list) {
  if (old_.get() == &from) return heard_of_the_old(std::move(list));
  if (next_.get() == &from) {
    replace_watch();
    if (keep_farewells(list)) {
      // The two disagree. Whoever lagged has caught up by then, and the whole list is asked for again.
      // Danger: a watch that another move has told to end would close for it and not be begun again, before
      // the next one has said a word; that one says all of the list anyway.
      recheck_.expires_after(kCatchUp);
      recheck_.async_wait([this](boost::system::error_code error) {
        if (!error && !next_) watch_->ask_for_all();
      });
    }
  }
  note_omitted(list);
  note_farewells(list);
  events_.on_targets(list);
}

// A whole list tells of those that it leaves out too: they are gone.
void Discovery::note_omitted(const TargetList& list) {
  std::unordered_map<std::string, std::optional<double>> before;
  if (list.whole) before = std::exchange(listed_, {});
  for (const auto& t : list.targets) {
    before.erase(t.uid);
    if (t.state == TargetState::kLeft) {
      listed_.erase(t.uid);
    } else {
      listed_[t.uid] = t.boot_ms;
    }
  }
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [uid, boot_ms] : before) farewells_[uid] = {boot_ms, TargetState::kLeft, now};
}

// Danger: the new address may lag behind the old one and still call active what drains. A drain that was told
// stands, for as long as an agent may lag; a new process of that host is another matter.
bool Discovery::keep_farewells(TargetList& list) {
  bool any = false;
  for (auto& t : list.targets) {
    const auto it = farewells_.find(t.uid);
    if (it == farewells_.end() || it->second.boot_ms != t.boot_ms || t.state >= it->second.state) continue;
    t.state = it->second.state;
    any = true;
  }
  return any;
}

void Discovery::note_farewells(const TargetList& list) {
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(farewells_, [&](const auto& entry) { return now - entry.second.told > kCatchUp; });
  for (const auto& t : list.targets) {
    if (t.state == TargetState::kActive) {
      farewells_.erase(t.uid);
    } else {
      farewells_[t.uid] = {t.boot_ms, t.state, now};
    }
  }
}

}  // namespace cometfold::net
