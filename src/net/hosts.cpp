#include "hosts.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "log.h"

namespace thistlepond::net {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto kSweep = std::chrono::milliseconds(500);
constexpr double kIdleShare = 0.5;  // of the host's idle limit: an answer's way and a slow moment fit besides
constexpr std::size_t kReplyElements = 3;
constexpr std::size_t kKeptRequest = 4096;

// A good reply's elements: the value, the figures on use or null, the load report or null.
enum : std::size_t { kValue = 0, kUse = 1, kReport = 2, kWords = 3 };
bool text_or_null(const resp::Item& item) {
  return item.kind == resp::Kind::kBulk || item.kind == resp::Kind::kNull;
}

// The figures on use go nowhere from here, so they may be a number or a text.
bool proper(const std::vector<resp::Item>& items) {
  return items.size() == kWords && items[kValue].kind == resp::Kind::kBulk &&
         (text_or_null(items[kUse]) || items[kUse].kind == resp::Kind::kInteger) &&
         text_or_null(items[kReport]);
}

// An error line that a host may send. Anything else that begins with '-' is noise.
bool proper_error(std::string_view text) {
  const auto word = text.substr(0, text.find(' '));
  return word == "BUSY" || word == "ERR";
}

}  // namespace

struct Hosts::Pool {
  tcp::endpoint at;
  Ms started_at = 0;
  bool open = true;
  std::vector<std::shared_ptr<Link>> links;  // all of them
  std::vector<std::shared_ptr<Link>> idle;   // the last one was used last
};

class Hosts::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(Hosts& owner, std::shared_ptr<Pool> pool)
      : owner_(owner), pool_(std::move(pool)), socket_(owner.io_), timer_(owner.io_) {}

  // False if there is no socket to be had.
  bool connect(const tcp::endpoint& at) {
    error_code error;
    socket_.open(at.protocol(), error);
    if (error) return false;
    socket_.non_blocking(true, error);
    socket_.set_option(tcp::no_delay(true), error);
    timer_.expires_after(
        std::chrono::microseconds(static_cast<std::int64_t>(owner_.limits_.connect_timeout * 1000)));
    timer_.async_wait([self = shared_from_this()](error_code stopped) {
      if (!stopped && !self->up_) self->finish(Outcome::kConnectFailed);
    });
    socket_.async_connect(at, [self = shared_from_this()](error_code failed) {
      if (self->closed_) return;
      self->timer_.cancel();
      if (failed) return self->finish(Outcome::kConnectFailed);
      self->up_ = true;
      self->write();
      self->read();
    });
    return true;
  }

  void carry(AttemptId attempt, std::string request) {
    attempt_ = attempt;
    request_ = std::move(request);
    written_ = 0;
    if (up_) write();
  }

  // Nothing has come that nobody asked for, and the host has not closed. Looked at before a write, as what
  // has come may not have been read yet.
  bool quiet() {
    char byte;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
  }

  bool up() const { return up_; }
  Ms idle_since() const { return idle_since_; }
  AttemptId attempt() const { return attempt_; }

  // Ends the connection and, if one is out, its attempt.
  void finish(Outcome outcome) {
    if (closed_) return;
    const auto self = shared_from_this();
    const auto attempt = std::exchange(attempt_, 0);
    close();
    if (attempt != 0) owner_.ended(attempt, outcome, {}, {});
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    --owner_.links_;
    const auto self = shared_from_this();
    std::erase(pool_->idle, self);
    std::erase(pool_->links, self);
  }

 private:
  // Danger: only bytes that are all written can have begun to run. What breaks before that never ran and may
  // be sent again; what breaks after it may have run.
  Outcome broken() const { return written_ == request_.size() ? Outcome::kBroken : Outcome::kConnectFailed; }

  void write() {
    while (written_ < request_.size()) {
      error_code error;
      const auto n =
          socket_.write_some(asio::buffer(request_.data() + written_, request_.size() - written_), error);
      if (error == asio::error::would_block || error == asio::error::try_again) return write_later();
      if (error) {
        // An attempt may be started from inside the module, which must not be entered again: end it later.
        asio::post(owner_.io_, [self = shared_from_this(), attempt = attempt_, outcome = broken()] {
          if (self->attempt_ == attempt) self->finish(outcome);
        });
        return;
      }
      written_ += n;
    }
  }

  void write_later() {
    if (writing_) return;
    writing_ = true;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
      self->writing_ = false;
      if (self->closed_) return;
      if (error) return self->finish(self->broken());
      self->write();
    });
  }

  // Always out, on an idle connection too, so that one which the host has closed is not used again.
  void read() {
    const auto space = reader_.space();
    socket_.async_read_some(
        asio::buffer(space.data(), space.size()),
        [self = shared_from_this()](error_code error, std::size_t bytes) { self->got(error, bytes); });
  }

  void got(error_code error, std::size_t bytes) {
    if (closed_) return;
    if (error) return finish(broken());
    reader_.commit(bytes);
    if (attempt_ == 0) return finish(Outcome::kBroken);  // nobody asked: not to be trusted with more
    switch (reader_.next(frame_)) {
      case resp::Progress::kMore:
        return read();
      case resp::Progress::kBroken:
        log_line("malformed reply of a host", reader_.fault());
        return finish(broken());
      case resp::Progress::kFrame:
        return answered();
    }
  }

  void answered() {
    const auto self = shared_from_this();
    Outcome outcome = Outcome::kError;
    std::string_view value, report;
    const auto& items = frame_.items;
    if (frame_.array) {
      if (!proper(items)) {
        log_line("malformed reply of a host", "not a value, figures on use and a report");
        return finish(broken());
      }
      outcome = Outcome::kOk;
      value = items[kValue].text;
      if (items[kReport].kind == resp::Kind::kBulk) report = items[kReport].text;
    } else if (items[0].kind == resp::Kind::kError && proper_error(items[0].text)) {
      const auto text = items[0].text;
      if (text.substr(0, text.find(' ')) == "BUSY") outcome = Outcome::kFull;
      const auto space = text.rfind(' ');
      if (space != std::string_view::npos && text.find('=', space) != std::string_view::npos) {
        report = text.substr(space + 1);
      }
    } else {
      log_line("malformed reply of a host", "neither an array nor an error");
      return finish(broken());
    }
    const auto attempt = std::exchange(attempt_, 0);
    const bool clean = written_ == request_.size() && reader_.empty();
    // The report of the end may start the next attempt, which could take this connection: it stays out of
    // the pool until the value, which lies in its reader, has been passed on.
    owner_.ended(attempt, outcome, value, report);
    if (closed_) return;
    if (!clean || !pool_->open || pool_->idle.size() >= owner_.limits_.idle_per_host) return close();
    if (request_.capacity() > kKeptRequest) std::string().swap(request_);  // or idle links hoard old bodies
    written_ = request_.size();
    idle_since_ = owner_.clock_.now();
    pool_->idle.push_back(self);
    read();
  }

  Hosts& owner_;
  std::shared_ptr<Pool> pool_;  // an attempt may outlast its host's entry
  tcp::socket socket_;
  asio::steady_timer timer_;
  resp::Reader reader_{resp::Limits{.elements = kReplyElements}, false};
  resp::Frame frame_;
  AttemptId attempt_ = 0;  // 0: none
  std::string request_;
  std::size_t written_ = 0;
  Ms idle_since_ = 0;
  bool up_ = false, closed_ = false, writing_ = false;
};

Hosts::Hosts(asio::io_context& io, Clock& clock, HostEvents& events, const PoolLimits& limits)
    : io_(io), clock_(clock), events_(events), limits_(limits), sweep_timer_(io) {
  sweep();
}
// Links and their pools hold each other until a link is closed.
Hosts::~Hosts() { close_all(); }

void Hosts::add(HostId host, const tcp::endpoint& at, Ms started_at) {
  auto& pool = pools_[host];
  if (const auto back = leaving_.find(host); !pool && back != leaving_.end()) {
    pool = back->second;
    leaving_.erase(back);
  }
  if (!pool) pool = std::make_shared<Pool>();
  if (pool->at != at || pool->started_at != started_at) {
    for (const auto& link : std::vector(pool->idle)) link->close();
  }
  pool->at = at;
  pool->started_at = started_at;
  pool->open = true;
}

void Hosts::retire(HostId host) {
  const auto it = pools_.find(host);
  if (it == pools_.end()) return;
  it->second->open = false;
  for (const auto& link : std::vector(it->second->idle)) link->close();
  // Danger: an attempt behind a connect would be written after the grace for drains has passed.
  for (const auto& link : std::vector(it->second->links)) {
    if (!link->up()) link->finish(Outcome::kConnectFailed);
  }
  // Danger: hosts come and go under ever new ids; kept, their entries would grow without end. What is still
  // out on its connections goes on and is bounded by its deadline.
  leaving_.insert_or_assign(host, it->second);
  pools_.erase(host);
}

bool Hosts::drop_an_idle_link() {
  std::shared_ptr<Link> oldest;
  for (const auto& [id, pool] : pools_) {
    if (!pool->idle.empty() && (!oldest || pool->idle.front()->idle_since() < oldest->idle_since())) {
      oldest = pool->idle.front();
    }
  }
  if (!oldest) return false;
  oldest->close();
  return true;
}

// Danger: a second copy or noise can come right behind a good answer. It is seen, and the connection closed,
// if the connection rests for a moment before it is used again; else it would be taken for the next answer.
//
// Of the connections that have rested the one used last, so that those not needed grow old and are closed.
std::shared_ptr<Hosts::Link> Hosts::take_rested(Pool& pool) {
  for (;;) {
    const auto rested = std::find_if(pool.idle.rbegin(), pool.idle.rend(), [&](const auto& link) {
      return clock_.now() - link->idle_since() >= limits_.rest;
    });
    if (rested == pool.idle.rend()) return nullptr;
    const auto link = *rested;
    if (link->quiet()) {
      pool.idle.erase(std::next(rested).base());
      return link;
    }
    link->close();
  }
}

StartResult Hosts::start(AttemptId attempt, HostId host, std::string request) {
  const auto it = pools_.find(host);
  if (it == pools_.end() || !it->second->open) return StartResult::kNoHost;
  Pool& pool = *it->second;
  if (const auto link = take_rested(pool)) {
    out_.emplace(attempt, link);
    link->carry(attempt, std::move(request));
    return StartResult::kStarted;
  }
  // At the cap one that has not rested is given up for a new connection: better a handshake than a mix-up.
  if (pool.links.size() >= limits_.per_host) {
    if (pool.idle.empty()) return StartResult::kNoRoomHere;
    std::shared_ptr(pool.idle.front())->close();
  }
  if (links_ >= limits_.connections && !drop_an_idle_link()) return StartResult::kNoRoomHere;
  const auto link = std::make_shared<Link>(*this, it->second);
  // Out of descriptors: an idle connection elsewhere gives way, else this attempt was never sent.
  if (!link->connect(pool.at) &&
      !((drop_an_idle_link() || (make_room && make_room())) && link->connect(pool.at))) {
    log_line("no socket for a host");
    return StartResult::kNoRoomHere;
  }
  ++links_;
  pool.links.push_back(link);
  out_.emplace(attempt, link);
  link->carry(attempt, std::move(request));
  return StartResult::kStarted;
}

void Hosts::abandon(AttemptId attempt) {
  const auto it = out_.find(attempt);
  if (it == out_.end()) return;
  const auto link = it->second;
  out_.erase(it);
  link->close();
}

void Hosts::ended(AttemptId attempt, Outcome outcome, std::string_view value, std::string_view report) {
  if (out_.erase(attempt) > 0) events_.on_attempt_end(attempt, outcome, value, report);
}

void Hosts::sweep() {
  for (const auto& [id, pool] : pools_) {
    for (const auto& link : std::vector(pool->idle)) {
      if (clock_.now() - link->idle_since() > limits_.idle_limit * kIdleShare) link->close();
    }
  }
  std::erase_if(leaving_, [](const auto& entry) { return entry.second->links.empty(); });
  sweep_timer_.expires_after(kSweep);
  sweep_timer_.async_wait([this](error_code error) {
    if (!error) sweep();
  });
}

void Hosts::close_all() {
  for (const auto* pools : {&pools_, &leaving_}) {
    for (const auto& [id, pool] : *pools) {
      for (const auto& link : std::vector(pool->links)) link->close();
    }
  }
  sweep_timer_.cancel();
}

}  // namespace thistlepond::net
