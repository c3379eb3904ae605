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

constexpr std::size_t kMaxExecutionIds = 100'000;

std::string make_value(std::size_t bytes, const std::string& id) {
  std::string value = "value of " + id + " ";
  value.resize(std::max(value.size(), bytes), '.');
  return value;
}

std::string make_reply(const std::string& value) {
  std::string text;
  resp::append_array(text, 3);
  resp::append_bulk(text, value);
  return text + "$-1\r\n$7\r\ndepth=0\r\n";
}

}  // namespace

// One connection: commands are answered in order, each after its reply time.
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
                              self->process_input();
                            });
  }

 private:
  struct PendingReply {
    std::chrono::steady_clock::time_point at;
    std::string text;
    bool closes = false;
    std::string id = {};
  };

  void process_input() {
    resp::Frame frame;
    for (;;) {
      const auto progress = reader_.next(frame);
      if (progress == resp::ReadResult::kProtocolError) return close();
      if (progress == resp::ReadResult::kNeedMore) break;
      command(frame);
    }
    schedule_reply();
    read();
  }

  void command(const resp::Frame& frame) {
    const auto verb = frame.items.empty() ? std::string_view() : frame.items[0].text;
    if ((verb != "SVC.QUERY" && verb != "SVC.SUBMIT") || frame.items.size() < 4) {
      return pending_replies_.push_back({std::chrono::steady_clock::now(), "-SYNTAX\r\n", false});
    }
    ++owner_.received_;
    const auto& b = owner_.behaviour_;
    const std::string id(frame.items[2].text);
    const auto after = std::chrono::duration<double, std::milli>(b.mean_ms * (0.5 + owner_.draw()));
    PendingReply pending{
        std::chrono::steady_clock::now() + std::chrono::duration_cast<std::chrono::nanoseconds>(after), "",
        false, id};
    open_requests_.push_back(id);
    owner_.record_(RequestEvent::kReceived, id, number_, {});
    double remaining_draw = owner_.draw();
    const auto is_selected = [&remaining_draw](double part) { return (remaining_draw -= part) < 0; };
    if (is_selected(b.busy)) {
      pending.text = "-BUSY\r\n";
      owner_.record_(RequestEvent::kNotExecuted, id, number_, {});
      return pending_replies_.push_back(std::move(pending));
    }
    owner_.count_execution(id);
    if (is_selected(b.silent)) return;
    if (is_selected(b.error)) {
      pending.text = "-ERR failed\r\n";
    } else if (is_selected(b.malformed)) {
      pending.text = "*2\r\n$5\r\nnoise\r\n$-1\r\n";
    } else if (is_selected(b.disconnect)) {
      pending.closes = true;
    } else {
      const auto value = make_value(b.value_bytes, id);
      owner_.record_(RequestEvent::kExecuted, id, number_, value);
      pending.text = make_reply(value);
      if (is_selected(b.duplicate_reply)) pending.text += make_reply(make_value(b.value_bytes, "nobody's"));
    }
    pending_replies_.push_back(std::move(pending));
  }

  void schedule_reply() {
    if (reply_scheduled_ || pending_replies_.empty()) return;
    reply_scheduled_ = true;
    timer_.expires_at(pending_replies_.front().at);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      self->reply_scheduled_ = false;
      if (!error) self->send_reply();
    });
  }

  void send_reply() {
    const PendingReply pending = std::move(pending_replies_.front());
    pending_replies_.pop_front();
    if (pending.closes) return close();
    error_code error;
    asio::write(socket_, asio::buffer(pending.text),
                error);  // replies are small: this does not block for long
    if (error) return close();
    end_request(pending.id);
    schedule_reply();
  }

  void end_request(const std::string& id) {
    const auto it = std::find(open_requests_.begin(), open_requests_.end(), id);
    if (it == open_requests_.end()) return;
    open_requests_.erase(it);
    owner_.record_(RequestEvent::kEnded, id, number_, {});
  }

  void close() {
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    while (!open_requests_.empty()) end_request(std::string(open_requests_.front()));
  }

  HostEmulator& owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  resp::RespReader reader_{resp::RespLimits{}, true};
  std::deque<PendingReply> pending_replies_;
  bool reply_scheduled_ = false;
  std::uint64_t number_;
  std::vector<std::string> open_requests_;  // ids of requests that have not ended
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

void HostEmulator::count_execution(const std::string& id) {
  if (++executions_[id] > 1) return;
  if (execution_ids_.size() < kMaxExecutionIds) {
    execution_ids_.push_back(id);
  } else {
    executions_.erase(std::exchange(execution_ids_[oldest_id_], id));
    oldest_id_ = (oldest_id_ + 1) % kMaxExecutionIds;
  }
}

std::size_t HostEmulator::executions_of(const std::string& id) const {
  const auto it = executions_.find(id);
  return it == executions_.end() ? 0 : it->second;
}

}  // namespace cometfold::emulators
