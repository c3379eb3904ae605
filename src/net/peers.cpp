#include "net/peers.h"

#include <boost/json.hpp>
#include <chrono>
#include <cmath>
#include <random>

#include "net/event_log.h"
#include "net/log.h"

namespace cometfold::net {
namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::udp;
using boost::system::error_code;
using membership::MembershipEvent;
using membership::MemberState;

namespace {

constexpr int kDatagramsATurn = 32;
constexpr auto kBindAgain = std::chrono::milliseconds(100);
constexpr auto kTellAfter = std::chrono::milliseconds(500);  // one line for all that changes meanwhile
constexpr std::size_t kNamesTold = 8;

std::string to_text(const udp::endpoint& at) {
  const auto ip = at.address().to_string();
  return (at.address().is_v6() ? "[" + ip + "]" : ip) + ":" + std::to_string(at.port());
}

std::optional<udp::endpoint> to_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  auto ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') ip = ip.substr(1, ip.size() - 2);
  error_code error;
  const auto address = asio::ip::make_address(ip, error);
  if (error) return {};
  unsigned port = 0;
  for (const char c : text.substr(colon + 1)) {
    if (c < '0' || c > '9' || port > 65535) return {};
    port = 10 * port + static_cast<unsigned>(c - '0');
  }
  if (port == 0 || port > 65535) return {};
  return udp::endpoint(address, static_cast<std::uint16_t>(port));
}

// Danger: wall time is a hint here and no more. A clock that leapt back gives a number that is too low, and
// the others say so.
membership::MemberRecord self_record(const PeerSettings& settings, const std::string& name) {
  using namespace std::chrono;
  std::random_device random;
  const auto wall = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
  membership::MemberRecord self;
  self.name = name;
  self.address = to_text(settings.advertise.value_or(*settings.listen));
  self.incarnation = static_cast<std::uint64_t>(std::max<std::int64_t>(wall, 1));
  self.process_nonce = self.incarnation << 20 | (random() & 0xfffff);
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
      timer_(io),
      tell_timer_(io),
      bind_timer_(io),
      membership_(settings.membership, self_record(settings, name), settings.seeds, draw_from_system()) {}

void Peers::start() { open(); }

void Peers::open() {
  error_code error;
  socket_.open(settings_.listen->protocol());
  socket_.bind(*settings_.listen, error);
  if (error == asio::error::address_in_use) {
    if (!std::exchange(started_, true))
      log_event(Level::kInfo, "peers_wait", {{"address", to_text(*settings_.listen)}});
    socket_.close();
    bind_timer_.expires_after(kBindAgain);
    bind_timer_.async_wait([this](error_code stopped) {
      if (!stopped) open();
    });
    return;
  }
  if (error) throw boost::system::system_error(error, "peers: " + to_text(*settings_.listen));
  socket_.non_blocking(true);
  log_event(Level::kInfo, "peers_open",
            {{"name", name_},
             {"address", to_text(socket_.local_endpoint())},
             {"advertised", membership_.self().address},
             {"cluster", settings_.cluster},
             {"start", membership_.self().incarnation}});
  membership_.start(clock_.now());
  await_datagrams();
  after();
}

void Peers::leave() {
  bind_timer_.cancel();
  if (!socket_.is_open()) return;
  membership_.leave(clock_.now());
  after();
}

void Peers::await_datagrams() {
  socket_.async_wait(udp::socket::wait_read, [this](error_code error) {
    if (error == asio::error::operation_aborted) return;
    read_datagrams();
    await_datagrams();
  });
}

void Peers::read_datagrams() {
  for (int n = 0; n < kDatagramsATurn; ++n) {
    error_code error;
    const std::size_t size = socket_.receive_from(asio::buffer(buffer_), from_, 0, error);
    if (error == asio::error::connection_refused) continue;  // an earlier send met nobody
    if (error) break;
    ++traffic_.in;
    traffic_.bytes_in += size;
    const auto [message, why] = membership::decode({buffer_.data(), size}, settings_.cluster);
    if (message) membership_.receive(clock_.now(), *message);
    traffic_.foreign += why == membership::DecodeError::kForeign;
    traffic_.version += why == membership::DecodeError::kVersionMismatch;
    traffic_.spoilt += why == membership::DecodeError::kChecksumMismatch;
    traffic_.malformed += why == membership::DecodeError::kMalformed;
  }
  after();
}

// What came of it: messages go out, changes are told, the next tick is set.
void Peers::after() {
  for (const auto& envelope : membership_.take_messages()) {
    const auto to = to_endpoint(envelope.to);
    const std::string datagram = membership::encode(envelope.message, settings_.cluster);
    error_code error;
    if (to && datagram.size() <= membership::kMaxDatagramBytes) {
      socket_.send_to(asio::buffer(datagram), *to, 0, error);
      ++traffic_.out;
      traffic_.bytes_out += datagram.size();
    }
    traffic_.unsent += !to || error || datagram.size() > membership::kMaxDatagramBytes;
  }
  for (const auto& change : membership_.take_events()) note(change);
  arm();
}

void Peers::arm() {
  if (armed_for_ == membership_.next_tick()) return;
  armed_for_ = membership_.next_tick();
  timer_.expires_at(clock_.at(armed_for_));
  timer_.async_wait([this](error_code error) {
    if (error) return;
    membership_.tick(clock_.now());
    after();
  });
}

// ---- for people ----

void Peers::note(const MembershipEvent& change) {
  if (change.kind != MembershipEvent::kMemberChanged) {
    constexpr std::string_view kEvents[] = {"member",        "standing",           "new_start",
                                            "name_conflict", "name_conflict_over", "was_stopped"};
    const bool good = change.kind == MembershipEvent::kNameConflictResolved ||
                      (change.kind == MembershipEvent::kConnectivityChanged &&
                       membership_.connectivity() == membership::ConnectivityState::kConnected);
    return log_event(good ? Level::kInfo : Level::kWarning, kEvents[change.kind],
                     {{"name", name_}, {"start", change.incarnation}, {"detail", change.detail}});
  }
  const auto state = static_cast<std::size_t>(change.state);
  ++became_[state];
  if (names_[state].size() < kNamesTold) names_[state].push_back(change.name);
  if (std::exchange(telling_, true)) return;
  tell_timer_.expires_after(kTellAfter);
  tell_timer_.async_wait([this](error_code error) {
    if (!error) tell_changes();
  });
}

void Peers::tell_changes() {
  telling_ = false;
  json::object fields{{"name", name_}};
  for (std::size_t s = 0; s < became_.size(); ++s) {
    if (became_[s] == 0) continue;
    const std::string state(membership::name_of(static_cast<MemberState>(s)));
    fields[state] = became_[s];
    fields[state + "_names"] = json::value_from(names_[s]);
    became_[s] = 0;
    names_[s].clear();
  }
  log_event(Level::kInfo, "members", std::move(fields));
}

std::string Peers::members() {
  const Ms now = clock_.now();
  const auto ms = [](double n) { return std::llround(std::max(0.0, n)); };
  json::array members;
  for (const auto& m : membership_.members(now)) {
    json::object o{{"name", m.name},
                   {"address", m.address},
                   {"start", m.incarnation},
                   {"state", membership::name_of(m.state)},
                   {"since_ms", ms(now - m.since)}};
    if (!m.reported_by.empty()) o["by"] = m.reported_by;
    if (m.round_trip_ms) o["round_trip_ms"] = std::round(*m.round_trip_ms * 100) / 100;
    if (m.loss_rate) o["loss"] = std::round(*m.loss_rate * 1000) / 1000;
    members.push_back(std::move(o));
  }
  json::object all{{"name", name_},
                   {"start", membership_.self().incarnation},
                   {"standing", membership::name_of(membership_.connectivity())},
                   {"standing_since_ms", ms(now - membership_.connectivity_since())},
                   {"starved", membership_.recently_paused(now)},
                   {"digest", membership_.digest()}};
  if (!membership_.conflicting_address().empty())
    all["conflict"] = json::object{{"address", membership_.conflicting_address()}};
  all["members"] = std::move(members);
  return json::serialize(all) + "\n";
}

ops::PeerMetrics Peers::figures() {
  const auto& c = membership_.metrics();
  ops::PeerMetrics f;
  f.gauges.emplace_back("standing", static_cast<std::uint64_t>(membership_.connectivity()));
  std::array<std::uint64_t, 4> states{};
  for (const auto& m : membership_.members(clock_.now())) ++states[static_cast<std::size_t>(m.state)];
  for (std::size_t s = 0; s < states.size(); ++s) {
    f.gauges.emplace_back("members." + std::string(membership::name_of(static_cast<MemberState>(s))),
                          states[s]);
  }
  f.gauges.emplace_back("memory_bytes", membership_.memory_bytes());
  f.counts = {{"datagrams_in", traffic_.in},
              {"datagrams_out", traffic_.out},
              {"bytes_in", traffic_.bytes_in},
              {"bytes_out", traffic_.bytes_out},
              {"unsent", traffic_.unsent},
              {"held_back", c.rate_limited},
              {"dropped.foreign", traffic_.foreign},
              {"dropped.version", traffic_.version},
              {"dropped.spoilt", traffic_.spoilt},
              {"dropped.malformed", traffic_.malformed},
              {"stale", c.stale_messages},
              {"refused", c.rejected_members},
              {"accused", c.suspicions_raised},
              {"withdrawn", c.suspicions_withdrawn},
              {"judged", c.members_failed},
              {"called_failed", c.incarnations_raised},
              {"syncs", c.syncs}};
  return f;
}

}  // namespace cometfold::net
