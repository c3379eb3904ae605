// The network emulator: the effect of each fault, set in one direction, on the sockets of two processes.
#include "emulators/network/network.h"

#include <gtest/gtest.h>

#include <future>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include "emulators/peer.h"

namespace cometfold::emulators::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

class UdpPeer {
 public:
  UdpPeer(asio::io_context& io, const asio::ip::address_v4& at, std::uint16_t port)
      : socket_(io, udp::endpoint(at, port)) {}
  void send(const udp::endpoint& to, const std::string& text) { socket_.send_to(asio::buffer(text), to); }
  // The next datagram, or nothing if none is received in time.
  std::optional<std::string> receive(int ms = kWaitTimeoutMs) {
    if (!readable(socket_.native_handle(), ms)) return {};
    char part[2000];
    const auto n = socket_.receive_from(asio::buffer(part), from_);
    return std::string(part, n);
  }
  udp::endpoint from() const { return from_; }

 private:
  udp::socket socket_;
  udp::endpoint from_;
};

asio::ip::address_v4 address(unsigned third, unsigned last) {
  const auto own = 64 + static_cast<unsigned>(::getpid()) % 128;  // tests run concurrently
  return asio::ip::address_v4((127U << 24) | (own << 16) | (third << 8) | last);
}

class NetworkTest : public ::testing::Test {
 protected:
  ~NetworkTest() override {
    io_.stop();
    thread_.join();
  }
  template <class Action>
  void on_loop(Action what) {
    std::promise<void> done;
    asio::post(io_, [&] {
      what();
      done.set_value();
    });
    done.get_future().get();
  }
  void link(const Link& link) {
    on_loop([&] { net_.set("a", "b", link); });
  }
  std::string send_and_receive(const std::string& text) {
    a_.send(net_.public_address("b"), text);
    return b_.receive().value_or("nothing");
  }

  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_{io_.get_executor()};
  Network net_{io_, 7};
  std::uint16_t port_a_ = net_.add("a", address(0, 1), address(1, 1));
  std::uint16_t port_b_ = net_.add("b", address(0, 2), address(1, 2));
  UdpPeer a_{io_, address(0, 1), port_a_}, b_{io_, address(0, 2), port_b_};
  std::thread thread_{[this] { io_.run(); }};
};

TEST_F(NetworkTest, DatagramsPassAndRepliesReachTheSender) {
  EXPECT_EQ(send_and_receive("hello"), "hello");
  EXPECT_EQ(b_.from(), net_.public_address("a"));
  b_.send(b_.from(), "and back");
  EXPECT_EQ(a_.receive(), "and back");
}

TEST_F(NetworkTest, SilenceIsOneWay) {
  link({.silent = true});
  a_.send(net_.public_address("b"), "lost");
  b_.send(net_.public_address("a"), "heard");
  EXPECT_EQ(a_.receive(), "heard");
  link({});
  EXPECT_EQ(send_and_receive("after"), "after");  // and not the earlier datagram
}

TEST_F(NetworkTest, PartitionsSeparateGroups) {
  on_loop([&] { net_.partition({{"a"}, {"b"}}); });
  a_.send(net_.public_address("b"), "lost");
  EXPECT_EQ(b_.receive(50), std::nullopt);
  on_loop([&] { net_.partition({}); });
  EXPECT_EQ(send_and_receive("healed"), "healed");
  LinkCount count;
  on_loop([&] { count = net_.count("a", "b"); });
  EXPECT_EQ(count.datagrams, 2U);
  EXPECT_EQ(count.lost, 1U);
}

TEST_F(NetworkTest, InjectsFaultsAndCountsThem) {
  link({.corrupt = 1});
  EXPECT_NE(send_and_receive("whole"), "whole");
  link({.truncate = 1});
  EXPECT_LT(send_and_receive("whole").size(), 5U);
  link({.duplicate = 1});
  EXPECT_EQ(send_and_receive("twice"), "twice");
  EXPECT_EQ(b_.receive(), "twice");
  link({.replay = 1});
  std::set<std::string> received{send_and_receive("new")};
  received.insert(b_.receive().value_or("nothing"));
  EXPECT_TRUE(received.contains("new"));
  EXPECT_EQ(received.size(), 2U);
}

TEST_F(NetworkTest, LossAndJitterAreRandom) {
  link({.loss = 0.5, .jitter_ms = 20});
  for (int i = 0; i < 200; ++i) a_.send(net_.public_address("b"), std::to_string(1000 + i));
  std::vector<std::string> received;
  while (const auto text = b_.receive(300)) received.push_back(*text);
  EXPECT_GT(received.size(), 60U);
  EXPECT_LT(received.size(), 140U);
  EXPECT_FALSE(std::is_sorted(received.begin(), received.end()));
}

TEST_F(NetworkTest, StreamsPassStallDuringAPartitionAndResume) {
  asio::io_context test_io;
  asio::ip::tcp::acceptor at_b(test_io, {address(0, 2), port_b_});
  asio::ip::tcp::socket from_a(test_io);
  from_a.open(asio::ip::tcp::v4());
  from_a.bind({address(0, 1), 0});
  from_a.connect({address(1, 2), port_b_});
  auto peer = at_b.accept();
  EXPECT_EQ(peer.remote_endpoint().address(), address(1, 1));
  const auto receive = [&peer](std::size_t n) {
    std::string text(n, '\0');
    asio::read(peer, asio::buffer(text));
    return text;
  };
  asio::write(from_a, asio::buffer(std::string("one")));
  EXPECT_EQ(receive(3), "one");
  on_loop([&] { net_.partition({{"a"}, {"b"}}); });
  asio::write(from_a, asio::buffer(std::string("two")));
  EXPECT_FALSE(readable(peer.native_handle(), 60));
  on_loop([&] { net_.partition({}); });
  EXPECT_EQ(receive(3), "two");
  link({.truncate = 1});
  asio::write(from_a, asio::buffer(std::string("four")));
  EXPECT_EQ(receive(2), "fo");
  boost::system::error_code error;
  char none;
  peer.read_some(asio::buffer(&none, 1), error);
  EXPECT_EQ(error, asio::error::eof);
}

}  // namespace
}  // namespace cometfold::emulators::testing
