#include "emulators/load.h"

#include <algorithm>
#include <deque>

#include "emulators/words.h"
#include "resp/resp_reader.h"

namespace cometfold::emulators {
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {

class Run;

// One client connection with at most one open request.
class Client : public std::enable_shared_from_this<Client> {
 public:
  Client(Run& run, asio::io_context& io) : run_(run), socket_(io) {}
  bool connect(int port) {
    error_code error;
    socket_.connect(tcp::endpoint(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)), error);
    if (error) return false;
    socket_.set_option(tcp::no_delay(true), error);
    read();
    return true;
  }
  bool send(std::uint64_t number, Clock::time_point start, bool counted, const std::string& text) {
    number_ = number;
    start_ = start;
    counted_ = counted;
    open_ = true;
    error_code error;
    asio::write(socket_, asio::buffer(text), error);
    return !error;
  }
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }
  bool open() const { return open_; }
  bool counted() const { return counted_; }
  Clock::time_point start() const { return start_; }

 private:
  void read();
  void on_data();
  friend class Run;

  Run& run_;
  tcp::socket socket_;
  resp::RespReader reader_{resp::RespLimits{}, false};
  std::uint64_t number_ = 0;
  Clock::time_point start_;
  bool counted_ = false, open_ = false;
};

class Run {
 public:
  Run(int port, const LoadPlan& plan) : port_(port), plan_(plan), timer_(io_) {}

  LoadResult run(const std::function<void()>& at_begin, const std::function<void()>& at_end) {
    begin_ = Clock::now();
    total_ = static_cast<std::uint64_t>(plan_.rate * (plan_.warm_up + plan_.seconds));
    first_counted_ = static_cast<std::uint64_t>(plan_.rate * plan_.warm_up);
    at_begin_ = at_begin;
    send_due_requests();
    const auto end = start_time(total_);
    io_.run_until(end);
    if (at_end) at_end();
    // Waits for replies to the last requests, until their deadlines have passed.
    io_.restart();
    const auto last = Clock::now() + std::chrono::milliseconds(static_cast<int>(plan_.timeout_ms) + 200);
    while (Clock::now() < last &&
           std::any_of(clients_.begin(), clients_.end(), [](auto& c) { return c->open(); })) {
      io_.run_one_until(last);
    }
    for (auto& c : clients_) {
      if (c->open() && c->counted()) ++result_.unanswered;
    }
    result_.seconds = plan_.seconds;
    std::sort(result_.latency_ms.begin(), result_.latency_ms.end());
    return result_;
  }

  void on_reply(Client& c, const resp::Frame& frame) {
    c.open_ = false;
    free_.push_back(c.shared_from_this());
    if (!c.counted_) return;
    const auto& item = frame.items.at(0);
    if (item.type == resp::ItemType::kBulk) {
      if (item.text.find(id(static_cast<unsigned>(c.number_))) == std::string_view::npos)
        ++result_.mismatched;
      ++result_.served;
      result_.latency_ms.push_back(
          std::chrono::duration<double, std::milli>(Clock::now() - c.start_).count());
    } else {
      ++(item.text.starts_with("BUSY") ? result_.refused : result_.failed);
    }
  }

  // A closed connection: its open request has failed.
  void on_disconnect(const std::shared_ptr<Client>& c) {
    if (c->open_ && c->counted_) ++result_.failed;
    c->open_ = false;
    std::erase(clients_, c);
    std::erase(free_, c);
  }

 private:
  Clock::time_point start_time(std::uint64_t number) const {
    return begin_ + std::chrono::duration_cast<Clock::duration>(
                        std::chrono::duration<double>(static_cast<double>(number) / plan_.rate));
  }

  void send_due_requests() {
    while (number_ < total_ && start_time(number_) <= Clock::now()) send_request();
    if (number_ >= total_) return;
    timer_.expires_at(start_time(number_));
    timer_.async_wait([this](error_code error) {
      if (!error) send_due_requests();
    });
  }

  void send_request() {
    const auto number = number_++;
    const bool counted = number >= first_counted_;
    if (number == first_counted_ && at_begin_) at_begin_();
    result_.offered += counted;
    const auto& cls = plan_.classes[number % plan_.classes.size()];
    const auto key = id(static_cast<unsigned>(number + 1));
    const auto customer = id(static_cast<unsigned>(number * 7919 % plan_.customers));
    const std::string fields = "c=" + cls +
                               ",t=team,d=" + std::to_string(static_cast<int>(plan_.timeout_ms)) +
                               ",k=" + key + ",units=1,spread=2,first=0";
    const bool query = cls == "lookup";
    const auto text = query ? command({"SVC.QUERY", customer, key, fields})
                            : command({"SVC.SUBMIT", customer, key, fields, "BODY"});
    // An idle connection may have been closed by the gateway; tries the next one.
    while (const auto c = connection()) {
      if (c->send(number + 1, start_time(number), counted, text)) return;
      on_disconnect(c);
    }
    if (counted) ++result_.failed, ++result_.not_sent;
  }

  std::shared_ptr<Client> connection() {
    if (!free_.empty()) {
      const auto c = free_.back();
      free_.pop_back();
      return c;
    }
    if (clients_.size() >= plan_.connections) return nullptr;
    const auto c = std::make_shared<Client>(*this, io_);
    if (!c->connect(port_)) return nullptr;
    clients_.push_back(c);
    return c;
  }

  int port_;
  LoadPlan plan_;
  asio::io_context io_{1};
  asio::steady_timer timer_;
  Clock::time_point begin_;
  std::uint64_t number_ = 0, total_ = 0, first_counted_ = 0;
  std::function<void()> at_begin_;
  std::vector<std::shared_ptr<Client>> clients_, free_;
  LoadResult result_;
};

void Client::read() {
  const auto space = reader_.prepare();
  socket_.async_read_some(asio::buffer(space.data(), space.size()),
                          [self = shared_from_this()](error_code error, std::size_t n) {
                            if (error) return self->run_.on_disconnect(self);
                            self->reader_.commit(n);
                            self->on_data();
                          });
}

void Client::on_data() {
  resp::Frame frame;
  while (reader_.next(frame) == resp::ReadResult::kFrame) {
    if (open_) run_.on_reply(*this, frame);
  }
  read();
}

}  // namespace

double LoadResult::percentile(double fraction) const {
  if (latency_ms.empty()) return 0;
  const auto i = static_cast<std::size_t>(fraction * static_cast<double>(latency_ms.size()));
  return latency_ms[std::min(i, latency_ms.size() - 1)];
}

LoadResult run_load(int port, const LoadPlan& plan, const std::function<void()>& at_begin,
                    const std::function<void()>& at_end) {
  return Run(port, plan).run(at_begin, at_end);
}

}  // namespace cometfold::emulators
