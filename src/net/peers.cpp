#include "net/peers.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "net/endpoint_text.h"
#include "net/event_log.h"

namespace cometfold::net {
namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

// Limit per iteration of the event loop, so that datagrams do not delay requests.
constexpr int kMaxDatagramsPerTurn = 32;
constexpr auto kBindRetryDelay = std::chrono::milliseconds(100);
constexpr unsigned kMaxPort = 65535;

std::optional<udp::endpoint> parse_endpoint_text(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  auto ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') ip = ip.substr(1, ip.size() - 2);
  error_code error;
  const auto address = asio::ip::make_address(ip, error);
  if (error) return {};
  unsigned port = 0;
  for (const char digit : text.substr(colon + 1)) {
    if (digit < '0' || digit > '9' || port > kMaxPort) return {};
    port = 10 * port + static_cast<unsigned>(digit - '0');
  }
  if (port == 0 || port > kMaxPort) return {};
  return udp::endpoint(address, static_cast<std::uint16_t>(port));
}

// The incarnation is taken from the wall clock, which need not be right: if it has gone back, other members
// report a higher incarnation of this member.
membership::MemberRecord self_record(const PeerSettings& settings, const std::string& name) {
  using namespace std::chrono;
  constexpr unsigned kRandomBits = 20;
  std::random_device random;
  const auto wall_ms = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
  membership::MemberRecord self;
  self.name = name;
  self.address = to_text(settings.advertise.value_or(*settings.listen));
  self.incarnation = static_cast<std::uint64_t>(std::max<std::int64_t>(wall_ms, 1));
  self.process_nonce = self.incarnation << kRandomBits | (random() & ((1U << kRandomBits) - 1));
  return self;
}

membership::Membership::Draw draw_from_system() {
  std::random_device random;
  std::seed_seq seed{random(), random(), random(), random()};
  return [engine = std::mt19937_64(seed)](std::uint64_t below) mutable {
    return std::uniform_int_distribution<std::uint64_t>(0, below - 1)(engine);
  };
}

}  // namespace

Peers::Peers(asio::io_context& io, Clock& clock, const PeerSettings& settings, const std::string& name)
    : clock_(clock),
      settings_(settings),
      name_(name),
      socket_(io),
      tick_timer_(io),
      bind_timer_(io),
      membership_(settings.membership, self_record(settings, name), settings.seeds, draw_from_system()),
      change_log_(io, name) {}

void Peers::start() {
  error_code error;
  socket_.open(settings_.listen->protocol());
  socket_.bind(*settings_.listen, error);
  if (error == asio::error::address_in_use) return bind_later();
  if (error) throw boost::system::system_error(error, "peers: " + to_text(*settings_.listen));
  socket_.non_blocking(true);
  log_event(LogLevel::kInfo, "peers_open",
            {{"name", name_},
             {"address", to_text(socket_.local_endpoint())},
             {"advertised", membership_.self().address},
             {"cluster", settings_.cluster},
             {"start", membership_.self().incarnation}});
  membership_.start(clock_.now());
  await_datagrams();
  process_output();
}

void Peers::bind_later() {
  if (!std::exchange(bind_wait_logged_, true)) {
    log_event(LogLevel::kInfo, "peers_wait", {{"address", to_text(*settings_.listen)}});
  }
  socket_.close();
  bind_timer_.expires_after(kBindRetryDelay);
  bind_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) start();
  });
}

void Peers::leave() {
  bind_timer_.cancel();
  if (!socket_.is_open()) return;
  membership_.leave(clock_.now());
  process_output();
}

void Peers::await_datagrams() {
  socket_.async_wait(udp::socket::wait_read, [this](error_code error) {
    if (error == asio::error::operation_aborted) return;
    read_datagrams();
    await_datagrams();
  });
}

void Peers::read_datagrams() {
  for (int count = 0; count < kMaxDatagramsPerTurn; ++count) {
    if (!read_datagram()) break;
  }
  process_output();
}

// False if there is no datagram.
bool Peers::read_datagram() {
  error_code error;
  udp::endpoint sender;
  const std::size_t size = socket_.receive_from(asio::buffer(buffer_), sender, 0, error);
  if (error == asio::error::connection_refused) return true;  // an earlier datagram was not delivered
  if (error) return false;
  ++traffic_.datagrams_in;
  traffic_.bytes_in += size;
  const auto [message, decode_error] = membership::decode({buffer_.data(), size}, settings_.cluster);
  if (message) membership_.receive(clock_.now(), *message);
  traffic_.count(decode_error);
  return true;
}

void Peers::send(const membership::OutgoingMessage& outgoing) {
  const auto address = parse_endpoint_text(outgoing.to);
  const std::string datagram = membership::encode(outgoing.message, settings_.cluster);
  if (!address || datagram.size() > membership::kMaxDatagramBytes) {
    ++traffic_.unsent;
    return;
  }
  error_code error;
  socket_.send_to(asio::buffer(datagram), *address, 0, error);
  ++traffic_.datagrams_out;
  traffic_.bytes_out += datagram.size();
  if (error) ++traffic_.unsent;
}

// Must be called after each input to the membership module.
void Peers::process_output() {
  for (const auto& outgoing : membership_.take_messages()) send(outgoing);
  for (const auto& event : membership_.take_events()) change_log_.record(event, membership_.connectivity());
  arm_timer();
}

void Peers::arm_timer() {
  if (tick_at_ == membership_.next_tick()) return;
  tick_at_ = membership_.next_tick();
  tick_timer_.expires_at(clock_.at(tick_at_));
  tick_timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    membership_.tick(clock_.now());
    process_output();
  });
}

std::string Peers::members() { return members_json(membership_, name_, clock_.now()); }

ops::PeerMetrics Peers::metrics() { return peer_metrics(membership_, traffic_, clock_.now()); }

}  // namespace cometfold::net
