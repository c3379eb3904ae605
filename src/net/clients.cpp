#include "clients.h"

#include <chrono>
#include <deque>
#include <utility>

#include "log.h"

namespace thistlepond::net {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMostPending = 64;         // commands of one connection not yet answered
constexpr std::size_t kMostUnsent = 256 * 1024;  // answers of one connection not yet taken
constexpr Ms kStalled = 10'000;                  // a client that takes in nothing of its answers for so long
// A client is owed a command, an error or a close within 3 s of its connecting, and half a command may be
// large and slow. What is idle may go after 2 s; clients that still come use their connections more often.
constexpr Ms kFirstCommand = 2'300;
constexpr std::size_t kManySilent = 4;  // one of so many: more are no usual clients that have just come
constexpr Ms kWholeCommand = 2'500;
constexpr Ms kIdle = 2'300;
constexpr std::size_t kMostMistakes = 8;  // of one connection; then it is closed, or its errors eat the CPU
constexpr Ms kLinger = 500;  // after the last answer, for the client to read it before a reset could
constexpr std::size_t kLargeHalf = 16 * 1024;  // less of a command is always kept until its rest comes
constexpr auto kSweep = std::chrono::milliseconds(250);
constexpr auto kAcceptAgain = std::chrono::milliseconds(5);

}  // namespace

class Clients::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Clients& owner, std::uint64_t id, tcp::socket socket)
      : owner_(owner), id_(id), socket_(std::move(socket)), reader_(resp::Limits{}, true) {
    touch();
    half_since_ = moved_;
  }

  void start() { read(); }

  void answer(std::uint64_t place, std::string_view reply) {
    if (closed_ || place < first_ || place - first_ >= slots_.size()) return;
    Slot& slot = slots_[place - first_];
    if (slot.done) return;
    slot.done = true;
    slot.name = 0;
    if (place == first_) {
      append(reply);
      slots_.pop_front(), ++first_;
      while (!slots_.empty() && slots_.front().done) {
        owner_.unsent_ -= slots_.front().counted;
        append(slots_.front().reply);
        slots_.pop_front(), ++first_;
      }
      if (!parsing_) write();
      if (held_back_) go_on_later();
    } else {
      slot.reply = reply;
      owner_.unsent_ += slot.reply.size();
      slot.counted = slot.reply.size();
    }
  }

  void reject(std::uint64_t place, std::string_view why) {
    std::string reply;
    resp::append_error(reply, why);
    // Danger: a client that sends nothing but mistakes, as fast as it can, would have the CPU to itself.
    if (++mistakes_ >= kMostMistakes) broken_ = last_ = true;
    answer(place, reply);
  }

  bool idle() const { return slots_.empty() && out_.empty() && reader_.empty() && !lingering_; }
  // Has not yet said anything whole, and nothing is owed on it.
  bool silent() const { return first_ == 0 && slots_.empty() && !lingering_; }
  // How gladly this one is closed for a newcomer; 0: never, as something is owed on it.
  int spare() const {
    if (!slots_.empty()) return 0;
    if (lingering_) return 3;  // done with
    if (silent()) return 1;
    return idle() ? 2 : out_.empty() ? 1 : 0;
  }
  std::uint64_t used() const { return used_; }

  void wind_down() {
    if (idle()) {
      close();
    } else {
      last_ = true;
    }
  }

  // Danger: clients that say nothing, half of something or nothing more would fill the table for good.
  void sweep(Ms now) {
    error_code ignored;
    if (closed_) return;
    if (lingering_) {
      if (now - moved_ > kLinger) close();
      return;
    }
    if (!out_.empty()) {
      if (now - moved_ > kStalled) return close();
    } else if (slots_.empty() && !held_back_ && socket_.available(ignored) == 0) {
      const bool silent = first_ == 0 && now - half_since_ > kFirstCommand;
      const bool half = !reader_.empty() && now - half_since_ > kWholeCommand;
      if (silent || half || (reader_.empty() && now - moved_ > kIdle)) return close();
    }
    if (held_back_) go_on();
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    owner_.unsent_ -= out_.size();
    owner_.buffered_ -= std::exchange(buffered_, 0);
    for (const auto& slot : slots_) owner_.unsent_ -= slot.counted;
    const auto self = shared_from_this();
    owner_.connections_.erase(id_);
    for (auto& slot : std::exchange(slots_, {})) {
      if (slot.name != 0) owner_.events_.on_client_gone(slot.name);
    }
  }

 private:
  // Danger: many events share one reading of the clock, so it can't tell who was idle longest, and a client
  // that has just come could be closed to make room for itself. A count can.
  void touch() {
    moved_ = owner_.clock_.now();
    used_ = ++owner_.uses_;
  }

  struct Slot {
    std::uint64_t name = 0;
    bool done = false;
    std::size_t counted = 0;
    std::string reply;
  };

  void append(std::string_view reply) {
    if (out_.empty()) touch();
    out_ += reply;
    owner_.unsent_ += reply.size();
  }

  // Danger: a client that sends and never reads, or many of them, could have answers pile up until the
  // program is killed for memory. So no more commands are taken in from one that has much unread.
  bool must_hold_back() const {
    return slots_.size() >= kMostPending || out_.size() - sent_ >= kMostUnsent ||
           (owner_.unsent_ >= owner_.most_unsent_ && !out_.empty());
  }

  void read() {
    if (closed_ || reading_) return;
    reading_ = true;
    const auto space = reader_.space();
    count_buffer();
    socket_.async_read_some(asio::buffer(space.data(), space.size()),
                            [self = shared_from_this()](error_code error, std::size_t bytes) {
                              self->reading_ = false;
                              self->got(error, bytes);
                            });
  }

  void got(error_code error, std::size_t bytes) {
    if (closed_) return;
    if (error) return close();
    // Bytes that come in are no progress of a client that does not read its answers.
    if (out_.empty() && slots_.empty() && !lingering_) touch();
    if (lingering_ || broken_) return read();  // read and dropped, so that closing sends no reset
    if (reader_.empty() && (first_ > 0 || !slots_.empty())) half_since_ = owner_.clock_.now();
    reader_.commit(bytes);
    go_on();
  }

  void count_buffer() {
    owner_.buffered_ += reader_.held() - buffered_;
    buffered_ = reader_.held();
  }

  // From the loop, as an answer may come from inside the module.
  void go_on_later() {
    if (resuming_ || must_hold_back()) return;
    resuming_ = true;
    asio::post(owner_.io_, [self = shared_from_this()] {
      self->resuming_ = false;
      if (self->held_back_) self->go_on();
    });
  }

  void go_on() {
    if (closed_ || lingering_) return;
    held_back_ = false;
    parse();
    write();
    if (closed_) return;
    held_back_ = must_hold_back();
    if (!held_back_) read();
  }

  void parse() {
    parsing_ = true;
    const std::unique_ptr<bool, void (*)(bool*)> unset(&parsing_, [](bool* flag) { *flag = false; });
    while (!closed_ && !broken_ && !must_hold_back()) {
      const auto progress = reader_.next(frame_);
      const bool too_much = progress == resp::Progress::kMore && buffered_ > kLargeHalf &&
                            owner_.buffered_ > owner_.most_buffered_;
      if (progress == resp::Progress::kMore && !too_much) break;
      if (progress == resp::Progress::kFrame) half_since_ = owner_.clock_.now();
      slots_.emplace_back();
      const Ticket ticket{id_, first_ + slots_.size() - 1};
      // Danger: many halves of large commands would fill the memory limit.
      if (too_much || progress == resp::Progress::kBroken) {
        broken_ = last_ = true;
        std::string reply;
        resp::append_error(
            reply, std::string("ERR Protocol error: ") + (too_much ? "too much half sent" : reader_.fault()));
        answer(ticket.place, reply);
        break;
      }
      const auto name = owner_.events_.on_command(ticket, frame_.items);
      if (ticket.place >= first_ && !slots_.empty() && !slots_[ticket.place - first_].done) {
        slots_[ticket.place - first_].name = name;
      }
    }
  }

  // Writes what it can at once; the rest when the socket has room again.
  void write() {
    if (closed_ || writing_ || write_failed_) return;
    while (sent_ < out_.size()) {
      error_code error;
      const auto n = socket_.write_some(asio::buffer(out_.data() + sent_, out_.size() - sent_), error);
      if (error == asio::error::would_block || error == asio::error::try_again) return write_later();
      if (error) {
        // Danger: an answer is often given from inside the module, which must not be entered again. So the
        // news that this client has gone waits for the loop.
        write_failed_ = true;
        asio::post(owner_.io_, [self = shared_from_this()] { self->close(); });
        return;
      }
      sent_ += n;
      touch();
    }
    owner_.unsent_ -= out_.size();
    out_.clear();
    sent_ = 0;
    if (out_.capacity() > kMostUnsent) out_.shrink_to_fit();
    // Danger: commands that were held back, or wait in the socket, have come in already; ending here would
    // leave them unanswered.
    if (!last_ || !slots_.empty() || parsing_ || held_back_) return;
    error_code ignored;
    if (broken_ || socket_.available(ignored) == 0) finish();
  }

  void write_later() {
    writing_ = true;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code error) {
      self->writing_ = false;
      if (self->closed_) return;
      if (error) return self->close();
      self->write();
      if (self->held_back_) self->go_on();
    });
  }

  // Danger: closing a socket with unread bytes sends a reset, which may destroy the last answer on its way.
  void finish() {
    if (lingering_) return;
    lingering_ = true;
    moved_ = owner_.clock_.now();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    read();
  }

  Clients& owner_;
  std::uint64_t id_;
  tcp::socket socket_;
  resp::Reader reader_;
  resp::Frame frame_;
  std::deque<Slot> slots_;   // commands not yet answered, in their order
  std::uint64_t first_ = 0;  // place of the first of them
  std::string out_;
  std::size_t sent_ = 0;
  Ms moved_ = 0;       // last progress
  Ms half_since_ = 0;  // since when the next command is awaited or half here
  std::size_t buffered_ = 0, mistakes_ = 0;
  std::uint64_t used_ = 0;
  bool closed_ = false, reading_ = false, writing_ = false, write_failed_ = false;
  bool parsing_ = false, held_back_ = false, resuming_ = false, broken_ = false, lingering_ = false;
  bool last_ = false;  // close when nothing is owed any more
};

Clients::Clients(asio::io_context& io, Clock& clock, ClientEvents& events, const ClientLimits& limits)
    : io_(io),
      clock_(clock),
      events_(events),
      most_(limits.connections),
      most_unsent_(limits.unsent),
      most_buffered_(limits.buffered),
      acceptor_(io),
      retry_accept_(io),
      sweep_timer_(io) {}
Clients::~Clients() = default;

void Clients::listen(const tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(1024);
  acceptor_.non_blocking(true);
  accept();
  sweep();
}

void Clients::accept() {
  if (winding_down_ || !acceptor_.is_open()) return;
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (!error && !winding_down_) accept_one();
  });
}

// Danger: a connection that the kernel has accepted counts as taken, even if nobody serves it. At the cap a
// client that is not missed makes room, but not before somebody has come; where none can go, the newcomer
// waits in the kernel until one is done.
void Clients::accept_one() {
  error_code error;
  tcp::socket socket(io_);
  if (connections_.size() < most_ || make_room()) {
    acceptor_.accept(socket, error);
    if (!error) {
      accepted(std::move(socket));
      return accept();
    }
    if (error == asio::error::would_block || error == asio::error::try_again ||
        error == asio::error::connection_aborted) {
      return accept();  // it has left again
    }
    // Out of descriptors: the listener itself goes on.
    log_line("accept failed", error.message());
    make_room();
  }
  retry_accept_.expires_after(kAcceptAgain);
  retry_accept_.async_wait([this](error_code stopped) {
    if (!stopped) accept();
  });
}

void Clients::accepted(tcp::socket socket) {
  error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  const auto id = ++last_id_;
  const auto connection = std::make_shared<Connection>(*this, id, std::move(socket));
  connections_.emplace(id, connection);
  connection->start();
}

void Clients::answer(Ticket ticket, std::string_view reply) {
  const auto it = connections_.find(ticket.connection);
  if (it != connections_.end()) it->second->answer(ticket.place, reply);
}

void Clients::reject(Ticket ticket, std::string_view why) {
  const auto it = connections_.find(ticket.connection);
  if (it != connections_.end()) it->second->reject(ticket.place, why);
}

// Danger: if only idle clients made room, those that say nothing or half of something would keep others out.
// Where they are many the oldest of them goes first: a usual client sends at once, so its turn does not come.
bool Clients::make_room() {
  std::shared_ptr<Connection> worst, silent;
  std::size_t silent_ones = 0;
  for (const auto& [id, c] : connections_) {
    const int spare = c->spare();
    if (spare == 0) continue;
    if (c->silent() && ++silent_ones && (!silent || c->used() < silent->used())) silent = c;
    if (!worst || spare > worst->spare() || (spare == worst->spare() && c->used() < worst->used())) worst = c;
  }
  if (!worst) return false;
  (silent_ones * kManySilent > most_ ? silent : worst)->close();
  return true;
}

void Clients::sweep() {
  const auto all = connections_;  // a sweep may close some
  for (const auto& [id, c] : all) c->sweep(clock_.now());
  sweep_timer_.expires_after(kSweep);
  sweep_timer_.async_wait([this](error_code error) {
    if (!error) sweep();
  });
}

void Clients::wind_down() {
  if (winding_down_) return;
  // What the kernel has accepted already is taken: it is served, not reset with the listener.
  while (acceptor_.is_open() && connections_.size() < most_) {
    error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error) break;
    accepted(std::move(socket));
  }
  winding_down_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  retry_accept_.cancel();
  const auto all = connections_;
  for (const auto& [id, c] : all) c->wind_down();
}

void Clients::close_all() {
  const auto all = connections_;
  for (const auto& [id, c] : all) c->close();
  sweep_timer_.cancel();
}

}  // namespace thistlepond::net
