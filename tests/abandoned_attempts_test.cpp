// Attempts that are given up while a part of their request has not reached the host's system.
#include <sys/socket.h>

#include <string>

#include "net_support.h"

namespace cometfold::net::testing {
namespace {

// Far more than the receive buffer below, and less than the send buffer of the gateway's system.
constexpr std::size_t kBodyBytes = 60'000;
constexpr int kReceiveBufferBytes = 4096;

// A host whose connections take little before it reads.
struct SlowHost : Listener {
  SlowHost() { ::setsockopt(fd(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes); }
};

std::string large_submit(const std::string& class_name, unsigned n) {
  return submit(class_name, n, std::string(kBodyBytes, 'x'));
}

// Whether the whole command can still be read. The connection has ended or been reset on the other side.
bool receives_whole_command(Peer& upstream) {
  try {
    return !upstream.command().empty();
  } catch (const PeerError&) {
    return false;
  }
}

// Guards against a request that is forwarded whole after its client has left, as the system went on sending.
TEST(AbandonedAttempts, TheRestOfACommandIsNotSentAfterItsClientLeft) {
  SlowHost host;
  Listener discovery;
  Program program(config(list(7, true, {target("s-1", host.port())}), discovery.port()));
  auto client = program.client();
  client.send(large_submit("pay", 1));
  auto upstream = host.accept();
  ASSERT_TRUE(upstream.receive());  // the command is being written
  client.close();
  EXPECT_TRUE(upstream.is_reset());
  EXPECT_FALSE(receives_whole_command(upstream));
}

// Guards against a request that is forwarded whole after it has been answered as timed out.
TEST(AbandonedAttempts, TheRestOfACommandIsNotSentAfterItsDeadline) {
  SlowHost host;
  Listener discovery;
  Program program(config(list(7, true, {target("s-1", host.port())}), discovery.port()));
  auto client = program.client();
  auto text = large_submit("pay", 1);
  const std::string long_timeout = "d=30000", short_timeout = "d=00300";
  text.replace(text.find(long_timeout), long_timeout.size(), short_timeout);
  client.send(text);
  auto upstream = host.accept();
  ASSERT_TRUE(upstream.receive());
  EXPECT_EQ(client.reply().substr(0, 4), "-ERR");
  EXPECT_TRUE(upstream.is_reset());
  EXPECT_FALSE(receives_whole_command(upstream));
}

// Guards against the same where the process ends with the attempt in flight.
TEST(AbandonedAttempts, TheRestOfACommandIsNotSentAfterTheProcessHasEnded) {
  SlowHost host;
  Listener discovery;
  auto conf = config(list(7, true, {target("s-1", host.port())}), discovery.port());
  for (auto& settings : conf["settings"].as_object()["lanes"].as_array()) {
    settings.as_object()["slo_ms"] = 100.0;
    settings.as_object()["deadline_ms"] = 200.0;
  }
  conf["settings"].as_object()["ceilings"].as_object()["cancel"] = false;
  Program program(conf);
  auto client = program.client();
  client.send(large_submit("pay", 1));
  auto upstream = host.accept();
  ASSERT_TRUE(upstream.receive());
  program.terminate();
  EXPECT_EQ(client.reply().substr(0, 4), "-ERR");
  client.close();
  EXPECT_EQ(program.exit_code(), 0);
  EXPECT_TRUE(upstream.is_reset());
  EXPECT_FALSE(receives_whole_command(upstream));
}

}  // namespace
}  // namespace cometfold::net::testing
