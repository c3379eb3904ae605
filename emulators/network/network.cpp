#include "emulators/network/network.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <optional>
#include <stdexcept>

namespace cometfold::emulators {
namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kMaxDatagramBytes = 65'536;
constexpr std::size_t kMaxRecent = 64;  // datagrams kept per link for replay
constexpr auto kRetransmitDelay = std::chrono::seconds(1);
constexpr auto kMaxQueueDelay = std::chrono::seconds(2);
constexpr auto kRecheckInterval = std::chrono::milliseconds(20);

}  // namespace

struct Network::Process {
  std::size_t number;
  std::string name;
  asio::ip::address_v4 private_ip, public_ip;
  udp::socket datagrams;
  tcp::acceptor streams;
  udp::endpoint source{};
  std::array<char, kMaxDatagramBytes> buffer{};
};

struct Network::LinkState {
  Link link;
  bool partitioned = false;  // by Network::partition()
  LinkCount count;
  Clock::time_point free_at{};  // when the rate limit has passed all bytes so far
  std::deque<Datagram> recent;
};

// One TCP connection. In each direction chunks are read, delayed and written in order.
class Network::Stream : public std::enable_shared_from_this<Stream> {
 public:
  Stream(Network& net, Process& from, Process& to, tcp::socket socket)
      : net_(net),
        from_(from),
        to_(to),
        source_(std::move(socket)),
        target_(net.io_),
        connect_timer_(net.io_) {}

  void start() { connect(); }

 private:
  struct Direction {
    explicit Direction(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    std::array<char, 16 * 1024> bytes{};
  };

  // While either direction is blocked the accepted connection waits, and is connected when both are open.
  void connect() {
    const bool open = net_.passes(net_.link_state(from_.number, to_.number)) &&
                      net_.passes(net_.link_state(to_.number, from_.number));
    if (!open) return run_after(connect_timer_, kRecheckInterval, [this] { connect(); });
    error_code error;
    target_.open(tcp::v4(), error);
    target_.bind(tcp::endpoint(from_.public_ip, 0), error);
    const tcp::endpoint at(to_.private_ip, to_.datagrams.local_endpoint().port());
    target_.async_connect(at, [self = shared_from_this()](error_code failed) {
      if (failed) return self->close();
      self->read(self->forward_, self->source_, self->target_, self->from_.number, self->to_.number);
      self->read(self->backward_, self->target_, self->source_, self->to_.number, self->from_.number);
    });
  }

  template <class Next>
  void run_after(asio::steady_timer& timer, Clock::duration after, Next next) {
    timer.expires_after(after);
    timer.async_wait([self = shared_from_this(), next](error_code error) {
      if (!error) next();
    });
  }

  void read(Direction& direction, tcp::socket& from, tcp::socket& to, std::size_t a, std::size_t b) {
    from.async_read_some(asio::buffer(direction.bytes), [this, self = shared_from_this(), &direction, &from,
                                                         &to, a, b](error_code error, std::size_t n) {
      if (error) return close();
      LinkState& link_state = net_.link_state(a, b);
      link_state.count.bytes += n;
      const bool truncated = net_.draw() < link_state.link.truncate;
      if (truncated) n /= 2;
      if (n > 0 && net_.draw() < link_state.link.corrupt) {
        direction.bytes[static_cast<std::size_t>(net_.draw() * static_cast<double>(n))] ^= 0x20;
        ++link_state.count.altered;
      }
      auto after = net_.transit_time(link_state, n);
      if (net_.draw() < link_state.link.loss) after += kRetransmitDelay;
      run_after(direction.timer, after, [this, &direction, &from, &to, a, b, n, truncated] {
        write(direction, from, to, a, b, n, truncated);
      });
    });
  }

  void write(Direction& direction, tcp::socket& from, tcp::socket& to, std::size_t a, std::size_t b,
             std::size_t n, bool truncated) {
    if (!net_.passes(net_.link_state(a, b))) {
      return run_after(direction.timer, kRecheckInterval,
                       [=, this, &direction, &from, &to] { write(direction, from, to, a, b, n, truncated); });
    }
    asio::async_write(to, asio::buffer(direction.bytes.data(), n),
                      [this, self = shared_from_this(), &direction, &from, &to, a, b, truncated](
                          error_code error, std::size_t) {
                        if (error || truncated) return close();
                        read(direction, from, to, a, b);
                      });
  }

  void close() {
    error_code ignored;
    source_.close(ignored);
    target_.close(ignored);
    for (auto* timer : {&connect_timer_, &forward_.timer, &backward_.timer}) timer->cancel();
  }

  Network& net_;
  Process &from_, &to_;
  tcp::socket source_, target_;
  asio::steady_timer connect_timer_;
  Direction forward_{net_.io_}, backward_{net_.io_};
};

Network::Network(asio::io_context& io, std::uint64_t seed) : io_(io), random_(seed) {}
Network::~Network() = default;

std::uint16_t Network::add(const std::string& name, const asio::ip::address_v4& private_ip,
                           const asio::ip::address_v4& public_ip) {
  udp::socket datagrams(io_, udp::endpoint(public_ip, 0));
  const auto port = datagrams.local_endpoint().port();
  processes_.push_back(
      std::make_unique<Process>(Process{processes_.size(), name, private_ip, public_ip, std::move(datagrams),
                                        tcp::acceptor(io_, tcp::endpoint(public_ip, port))}));
  for (std::size_t other = 0; other < processes_.size(); ++other) {
    for (const auto& key :
         {std::pair{other, processes_.size() - 1}, std::pair{processes_.size() - 1, other}}) {
      if (!link_states_.contains(key)) link_states_.emplace(key, std::make_unique<LinkState>());
    }
  }
  receive(*processes_.back());
  accept(*processes_.back());
  return port;
}

udp::endpoint Network::public_address(const std::string& name) const {
  return process(name).datagrams.local_endpoint();
}

Network::Process& Network::process(const std::string& name) const {
  const auto it =
      std::find_if(processes_.begin(), processes_.end(), [&](auto& p) { return p->name == name; });
  if (it == processes_.end()) throw std::out_of_range("the network emulator has no process named " + name);
  return **it;
}

Network::Process* Network::find_process(const asio::ip::address& address) {
  const auto it =
      std::find_if(processes_.begin(), processes_.end(), [&](auto& p) { return p->private_ip == address; });
  return it == processes_.end() ? nullptr : it->get();
}

void Network::set(const std::string& from, const std::string& to, const Link& link) {
  link_state(process(from).number, process(to).number).link = link;
}

void Network::set_all(const Link& link) {
  for (auto& [key, link_state] : link_states_) link_state->link = link;
}

const Link& Network::link(const std::string& from, const std::string& to) const {
  return link_states_.at({process(from).number, process(to).number})->link;
}

LinkCount Network::count(const std::string& from, const std::string& to) const {
  return link_states_.at({process(from).number, process(to).number})->count;
}

void Network::partition(const std::vector<std::vector<std::string>>& groups) {
  std::vector<std::optional<std::size_t>> group(processes_.size());
  for (std::size_t g = 0; g < groups.size(); ++g) {
    for (const auto& name : groups[g]) group[process(name).number] = g;
  }
  for (auto& [key, link_state] : link_states_) {
    link_state->partitioned = !groups.empty() && (!group[key.first] || group[key.first] != group[key.second]);
  }
}

bool Network::passes(const LinkState& link_state) const {
  return !link_state.partitioned && !link_state.link.silent;
}

// The delay of these bytes: queueing behind the rate limit, the link's delay and jitter.
Clock::duration Network::transit_time(LinkState& link_state, std::size_t bytes) {
  const auto ms = [](double n) {
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(n));
  };
  const auto now = Clock::now();
  auto queue = Clock::duration::zero();
  if (link_state.link.bytes_rate > 0) {
    link_state.free_at = std::max(link_state.free_at, now) +
                         ms(1000 * static_cast<double>(bytes) / link_state.link.bytes_rate);
    queue = link_state.free_at - now;
  }
  return queue + ms(link_state.link.delay_ms + draw() * link_state.link.jitter_ms);
}

void Network::receive(Process& to) {
  to.datagrams.async_receive_from(
      asio::buffer(to.buffer), to.source, [this, &to](error_code error, std::size_t n) {
        if (error == asio::error::operation_aborted) return;
        Process* from = error ? nullptr : find_process(to.source.address());
        if (from) {
          const auto begin = to.buffer.begin();
          apply_faults(*from, to,
                       std::make_shared<std::vector<char>>(begin, begin + static_cast<std::ptrdiff_t>(n)));
        }
        receive(to);
      });
}

void Network::apply_faults(Process& from, Process& to, Datagram datagram) {
  LinkState& link_state = this->link_state(from.number, to.number);
  ++link_state.count.datagrams;
  link_state.count.bytes += datagram->size();
  const Link& link = link_state.link;
  if (!passes(link_state) || draw() < link.loss ||
      (link.bytes_rate > 0 && link_state.free_at > Clock::now() + kMaxQueueDelay)) {
    ++link_state.count.lost;
    return;
  }
  if (draw() < link.replay && !link_state.recent.empty()) {
    ++link_state.count.altered;
    pass(from, to,
         link_state.recent[static_cast<std::size_t>(draw() * static_cast<double>(link_state.recent.size()))]);
  }
  link_state.recent.push_back(std::make_shared<std::vector<char>>(*datagram));
  if (link_state.recent.size() > kMaxRecent) link_state.recent.pop_front();
  const auto size = static_cast<double>(datagram->size());
  if (draw() < link.duplicate) ++link_state.count.altered, pass(from, to, link_state.recent.back());
  if (!datagram->empty() && draw() < link.corrupt) {
    ++link_state.count.altered;
    (*datagram)[static_cast<std::size_t>(draw() * size)] ^= static_cast<char>(1 + draw() * 254);
  }
  if (draw() < link.truncate) {
    ++link_state.count.altered;
    datagram->resize(static_cast<std::size_t>(draw() * size));
  }
  pass(from, to, std::move(datagram));
}

void Network::pass(Process& from, Process& to, Datagram datagram) {
  const auto after = transit_time(link_state(from.number, to.number), datagram->size());
  const auto send = [&from, &to, datagram] {
    error_code ignored;  // nobody listens: treated as lost
    from.datagrams.send_to(asio::buffer(*datagram),
                           udp::endpoint(to.private_ip, to.datagrams.local_endpoint().port()), 0, ignored);
  };
  if (after <= Clock::duration::zero()) return send();
  const auto timer = std::make_shared<asio::steady_timer>(io_, after);
  timer->async_wait([timer, send](error_code error) {
    if (!error) send();
  });
}

void Network::accept(Process& to) {
  to.streams.async_accept([this, &to](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      error_code ignored;
      Process* from = find_process(socket.remote_endpoint(ignored).address());
      socket.set_option(tcp::no_delay(true), ignored);
      if (from) std::make_shared<Stream>(*this, *from, to, std::move(socket))->start();
    }
    accept(to);
  });
}

}  // namespace cometfold::emulators
