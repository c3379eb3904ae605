#include "emulators/host_emulator.h"

#include <algorithm>
#include <chrono>
#include <deque>

#include "resp/resp_reader.h"
#include "resp/resp_writer.h"

namespace cometfold::emulators {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kRunsKept = 100'000;

std::string value_of(std::size_t bytes, const std::string& id) {
  std::string value = "value of " + id + " ";
  value.resize(std::max(value.size(), bytes), '.');
  return value;
}

std::string good(const std::string& value) {
  std::string text;
  resp::append_array(text, 3);
  resp::append_bulk(text, value);
  return text + "$-1\r\n$7\r\ndepth=0\r\n";
}

}  // namespace

// One connection: commands are answered in their order, each after its time.
class HostEmulator::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(HostEmulator& owner, tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)), timer_(socket_.get_executor()), number_(owner.accepted_) {}

  void read() {
    const auto space = reader_.prepare();
    socket_.async_read_some(asio::buffer(space.data(), space.size()),
                            [self = shared_from_this()](error_code error, std::size_t n) {
                              if (error) return self->close();
                              self->reader_.commit(n);
                              self->take();
                            });
  }

 private:
  struct Due {
    std::chrono::steady_clock::time_point at;
    std::string text;
    bool ends = false;
    std::string id = {};
  };

  void take() {
    resp::Frame frame;
    for (;;) {
      const auto progress = reader_.next(frame);
      if (progress == resp::ReadResult::kProtocolError) return close();
      if (progress == resp::ReadResult::kNeedMore) break;
      command(frame);
    }
    wait();
    read();
  }

  void command(const resp::Frame& frame) {
    const auto verb = frame.items.empty() ? std::string_view() : frame.items[0].text;
    if ((verb != "SVC.QUERY" && verb != "SVC.SUBMIT") || frame.items.size() < 4) {
      return due_.push_back({std::chrono::steady_clock::now(), "-SYNTAX\r\n", false});
    }
    ++owner_.received_;
    const auto& b = owner_.behaviour_;
    const std::string id(frame.items[2].text);
    const auto after = std::chrono::duration<double, std::milli>(b.mean_ms * (0.5 + owner_.draw()));
    Due due{std::chrono::steady_clock::now() + std::chrono::duration_cast<std::chrono::nanoseconds>(after),
            "", false, id};
    open_.push_back(id);
    owner_.record_(Seen::kCame, id, number_, {});
    double luck = owner_.draw();
    const auto falls = [&luck](double part) { return (luck -= part) < 0; };
    if (falls(b.busy)) {
      due.text = "-BUSY\r\n";
      owner_.record_(Seen::kNeverRan, id, number_, {});
      return due_.push_back(std::move(due));
    }
    owner_.ran(id);
    if (falls(b.silent)) return;
    if (falls(b.error)) {
      due.text = "-ERR failed\r\n";
    } else if (falls(b.spoilt)) {
      due.text = "*2\r\n$5\r\nnoise\r\n$-1\r\n";
    } else if (falls(b.broken)) {
      due.ends = true;
    } else {
      const auto value = value_of(b.value_bytes, id);
      owner_.record_(Seen::kMade, id, number_, value);
      due.text = good(value);
      if (falls(b.twin)) due.text += good(value_of(b.value_bytes, "nobody's"));
    }
    due_.push_back(std::move(due));
  }

  void wait() {
    if (waiting_ || due_.empty()) return;
    waiting_ = true;
    timer_.expires_at(due_.front().at);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      self->waiting_ = false;
      if (!error) self->answer();
    });
  }

  void answer() {
    const Due due = std::move(due_.front());
    due_.pop_front();
    if (due.ends) return close();
    error_code error;
    asio::write(socket_, asio::buffer(due.text), error);  // answers are small: this does not block for long
    if (error) return close();
    over(due.id);
    wait();
  }

  void over(const std::string& id) {
    const auto it = std::find(open_.begin(), open_.end(), id);
    if (it == open_.end()) return;
    open_.erase(it);
    owner_.record_(Seen::kOver, id, number_, {});
  }

  void close() {
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    while (!open_.empty()) over(std::string(open_.front()));
  }

  HostEmulator& owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  resp::RespReader reader_{resp::RespLimits{}, true};
  std::deque<Due> due_;
  bool waiting_ = false;
  std::uint64_t number_;
  std::vector<std::string> open_;  // ids of what came and is not over
};

HostEmulator::HostEmulator(asio::io_context& io, const Behaviour& behaviour, std::uint64_t seed,
                           std::uint16_t port)
    : io_(io),
      acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), port)),
      behaviour_(behaviour),
      random_(seed) {
  accept();
}
HostEmulator::~HostEmulator() = default;

void HostEmulator::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      ++accepted_;
      socket.set_option(tcp::no_delay(true), error);
      std::make_shared<Session>(*this, std::move(socket))->read();
    }
    accept();
  });
}

void HostEmulator::ran(const std::string& id) {
  if (++runs_[id] > 1) return;
  if (order_.size() < kRunsKept) {
    order_.push_back(id);
  } else {
    runs_.erase(std::exchange(order_[oldest_], id));
    oldest_ = (oldest_ + 1) % kRunsKept;
  }
}

std::size_t HostEmulator::runs_of(const std::string& id) const {
  const auto it = runs_.find(id);
  return it == runs_.end() ? 0 : it->second;
}

}  // namespace cometfold::emulators
