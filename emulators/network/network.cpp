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

constexpr std::size_t kLargest = 65'536;
constexpr std::size_t kKept = 64;  // datagrams from before, for each pair
constexpr auto kResent = std::chrono::seconds(1);
constexpr auto kLongestQueue = std::chrono::seconds(2);
constexpr auto kLookAgain = std::chrono::milliseconds(20);

}  // namespace

struct Network::Place {
  std::size_t number;
  std::string name;
  asio::ip::address_v4 real, open;
  udp::socket datagrams;
  tcp::acceptor streams;
  udp::endpoint source{};
  std::array<char, kLargest> buffer{};
};

struct Network::Pair {
  Link link;
  bool apart = false;  // by a cut
  LinkCount count;
  Clock::time_point free_at{};  // of what the rate has let through
  std::deque<Datagram> before;
};

// One connection: two directions, each piece read, delayed and written in its order.
class Network::Stream : public std::enable_shared_from_this<Stream> {
 public:
  Stream(Network& net, Place& from, Place& to, tcp::socket socket)
      : net_(net), from_(from), to_(to), near_(std::move(socket)), far_(net.io_), dial_(net.io_) {}

  void start() { dial(); }

 private:
  struct Way {
    explicit Way(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    std::array<char, 16 * 1024> bytes{};
  };

  // A cut pair gets no connection: it stands until the cut ends or the caller gives up.
  void dial() {
    const bool open =
        net_.passes(net_.pair(from_.number, to_.number)) && net_.passes(net_.pair(to_.number, from_.number));
    if (!open) return later(dial_, kLookAgain, [this] { dial(); });
    error_code error;
    far_.open(tcp::v4(), error);
    far_.bind(tcp::endpoint(from_.open, 0), error);
    const tcp::endpoint at(to_.real, to_.datagrams.local_endpoint().port());
    far_.async_connect(at, [self = shared_from_this()](error_code failed) {
      if (failed) return self->close();
      self->read(self->out_, self->near_, self->far_, self->from_.number, self->to_.number);
      self->read(self->back_, self->far_, self->near_, self->to_.number, self->from_.number);
    });
  }

  template <class Next>
  void later(asio::steady_timer& timer, Clock::duration after, Next next) {
    timer.expires_after(after);
    timer.async_wait([self = shared_from_this(), next](error_code error) {
      if (!error) next();
    });
  }

  void read(Way& way, tcp::socket& from, tcp::socket& to, std::size_t a, std::size_t b) {
    from.async_read_some(asio::buffer(way.bytes), [this, self = shared_from_this(), &way, &from, &to, a, b](
                                                      error_code error, std::size_t n) {
      if (error) return close();
      Pair& pair = net_.pair(a, b);
      pair.count.bytes += n;
      const bool ends = net_.draw() < pair.link.truncate;
      if (ends) n /= 2;
      if (n > 0 && net_.draw() < pair.link.corrupt) {
        way.bytes[static_cast<std::size_t>(net_.draw() * static_cast<double>(n))] ^= 0x20;
        ++pair.count.harmed;
      }
      auto after = net_.way(pair, n);
      if (net_.draw() < pair.link.loss) after += kResent;
      later(way.timer, after,
            [this, &way, &from, &to, a, b, n, ends] { write(way, from, to, a, b, n, ends); });
    });
  }

  void write(Way& way, tcp::socket& from, tcp::socket& to, std::size_t a, std::size_t b, std::size_t n,
             bool ends) {
    if (!net_.passes(net_.pair(a, b))) {
      return later(way.timer, kLookAgain,
                   [=, this, &way, &from, &to] { write(way, from, to, a, b, n, ends); });
    }
    asio::async_write(
        to, asio::buffer(way.bytes.data(), n),
        [this, self = shared_from_this(), &way, &from, &to, a, b, ends](error_code error, std::size_t) {
          if (error || ends) return close();
          read(way, from, to, a, b);
        });
  }

  void close() {
    error_code ignored;
    near_.close(ignored);
    far_.close(ignored);
    for (auto* timer : {&dial_, &out_.timer, &back_.timer}) timer->cancel();
  }

  Network& net_;
  Place &from_, &to_;
  tcp::socket near_, far_;
  asio::steady_timer dial_;
  Way out_{net_.io_}, back_{net_.io_};
};

Network::Network(asio::io_context& io, std::uint64_t seed) : io_(io), random_(seed) {}
Network::~Network() = default;

std::uint16_t Network::add(const std::string& name, const asio::ip::address_v4& real,
                           const asio::ip::address_v4& open) {
  udp::socket datagrams(io_, udp::endpoint(open, 0));
  const auto port = datagrams.local_endpoint().port();
  places_.push_back(std::make_unique<Place>(Place{places_.size(), name, real, open, std::move(datagrams),
                                                  tcp::acceptor(io_, tcp::endpoint(open, port))}));
  for (std::size_t other = 0; other < places_.size(); ++other) {
    for (const auto& way : {std::pair{other, places_.size() - 1}, std::pair{places_.size() - 1, other}}) {
      if (!pairs_.contains(way)) pairs_.emplace(way, std::make_unique<Pair>());
    }
  }
  receive(*places_.back());
  accept(*places_.back());
  return port;
}

udp::endpoint Network::open_address(const std::string& name) const {
  return place(name).datagrams.local_endpoint();
}

Network::Place& Network::place(const std::string& name) const {
  const auto it = std::find_if(places_.begin(), places_.end(), [&](auto& p) { return p->name == name; });
  if (it == places_.end()) throw std::out_of_range("the network has no process " + name);
  return **it;
}

Network::Place* Network::by_real(const asio::ip::address& address) {
  const auto it = std::find_if(places_.begin(), places_.end(), [&](auto& p) { return p->real == address; });
  return it == places_.end() ? nullptr : it->get();
}

void Network::set(const std::string& from, const std::string& to, const Link& link) {
  pair(place(from).number, place(to).number).link = link;
}

void Network::set_all(const Link& link) {
  for (auto& [way, pair] : pairs_) pair->link = link;
}

const Link& Network::link(const std::string& from, const std::string& to) const {
  return pairs_.at({place(from).number, place(to).number})->link;
}

LinkCount Network::count(const std::string& from, const std::string& to) const {
  return pairs_.at({place(from).number, place(to).number})->count;
}

void Network::cut(const std::vector<std::vector<std::string>>& groups) {
  std::vector<std::optional<std::size_t>> group(places_.size());
  for (std::size_t g = 0; g < groups.size(); ++g) {
    for (const auto& name : groups[g]) group[place(name).number] = g;
  }
  for (auto& [way, pair] : pairs_) {
    pair->apart = !groups.empty() && (!group[way.first] || group[way.first] != group[way.second]);
  }
}

bool Network::passes(const Pair& pair) const { return !pair.apart && !pair.link.silent; }

// How long these bytes are on their way.
Clock::duration Network::way(Pair& pair, std::size_t bytes) {
  const auto ms = [](double n) {
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(n));
  };
  const auto now = Clock::now();
  auto queue = Clock::duration::zero();
  if (pair.link.bytes_rate > 0) {
    pair.free_at = std::max(pair.free_at, now) + ms(1000 * static_cast<double>(bytes) / pair.link.bytes_rate);
    queue = pair.free_at - now;
  }
  return queue + ms(pair.link.delay_ms + draw() * pair.link.jitter_ms);
}

void Network::receive(Place& to) {
  to.datagrams.async_receive_from(
      asio::buffer(to.buffer), to.source, [this, &to](error_code error, std::size_t n) {
        if (error == asio::error::operation_aborted) return;
        Place* from = error ? nullptr : by_real(to.source.address());
        if (from) {
          const auto begin = to.buffer.begin();
          came(*from, to, std::make_shared<std::vector<char>>(begin, begin + static_cast<std::ptrdiff_t>(n)));
        }
        receive(to);
      });
}

void Network::came(Place& from, Place& to, Datagram datagram) {
  Pair& pair = this->pair(from.number, to.number);
  ++pair.count.datagrams;
  pair.count.bytes += datagram->size();
  const Link& link = pair.link;
  if (!passes(pair) || draw() < link.loss ||
      (link.bytes_rate > 0 && pair.free_at > Clock::now() + kLongestQueue)) {
    ++pair.count.lost;
    return;
  }
  if (draw() < link.replay && !pair.before.empty()) {
    ++pair.count.harmed;
    pass(from, to, pair.before[static_cast<std::size_t>(draw() * static_cast<double>(pair.before.size()))]);
  }
  pair.before.push_back(std::make_shared<std::vector<char>>(*datagram));
  if (pair.before.size() > kKept) pair.before.pop_front();
  const auto size = static_cast<double>(datagram->size());
  if (draw() < link.duplicate) ++pair.count.harmed, pass(from, to, pair.before.back());
  if (!datagram->empty() && draw() < link.corrupt) {
    ++pair.count.harmed;
    (*datagram)[static_cast<std::size_t>(draw() * size)] ^= static_cast<char>(1 + draw() * 254);
  }
  if (draw() < link.truncate) {
    ++pair.count.harmed;
    datagram->resize(static_cast<std::size_t>(draw() * size));
  }
  pass(from, to, std::move(datagram));
}

void Network::pass(Place& from, Place& to, Datagram datagram) {
  const auto after = way(pair(from.number, to.number), datagram->size());
  const auto send = [&from, &to, datagram] {
    error_code ignored;  // nobody there: as lost
    from.datagrams.send_to(asio::buffer(*datagram),
                           udp::endpoint(to.real, to.datagrams.local_endpoint().port()), 0, ignored);
  };
  if (after <= Clock::duration::zero()) return send();
  const auto timer = std::make_shared<asio::steady_timer>(io_, after);
  timer->async_wait([timer, send](error_code error) {
    if (!error) send();
  });
}

void Network::accept(Place& to) {
  to.streams.async_accept([this, &to](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      error_code ignored;
      Place* from = by_real(socket.remote_endpoint(ignored).address());
      socket.set_option(tcp::no_delay(true), ignored);
      if (from) std::make_shared<Stream>(*this, *from, to, std::move(socket))->start();
    }
    accept(to);
  });
}

}  // namespace cometfold::emulators
