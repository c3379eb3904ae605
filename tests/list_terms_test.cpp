// Host lists from discovery: zones, boot times, omitted hosts and a change of the discovery address.
#include <chrono>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "emulators/host_emulator.h"
#include "fault_shim.h"

namespace cometfold::net::testing {
namespace {

using namespace std::chrono_literals;

std::string host_list(const std::vector<std::string>& targets) { return list(7, true, targets); }

// A list entry with a zone and a boot time in Unix milliseconds. A negative `boot_ms` is left out.
std::string target_with_zone(const std::string& uid, int port, const std::string& zone, double boot_ms = 0,
                             const std::string& state = "active") {
  boost::json::object o{{"uid", uid},          {"endpoint", "127.0.0.1:" + std::to_string(port)},
                        {"az", zone},          {"model", "m"},
                        {"pod_group", 3},      {"state", state},
                        {"capacity_hint", 1.0}};
  if (boot_ms >= 0) o["boot_ms"] = boot_ms;
  return boost::json::serialize(o);
}

boost::json::object config_with_keys_by_zone(const std::string& list, int discovery_port) {
  auto conf = config(list, discovery_port);
  auto& settings = conf["settings"].as_object();
  settings["zones"] = boost::json::array{"a", "b"};
  settings["lanes"].as_array().at(1).as_object()["group"] = "zone";
  return conf;
}

// Starts an attempt with an idempotency key at `first`, which is in `zone`. Sends `next_list`, which removes
// that host or marks it as leaving and adds `second` in another zone, and then resets the attempt's
// connection. The request must fail without a retry at `second`.
void expect_no_retry_after(const std::string& next_list, const std::string& zone, Listener& first,
                           Listener& second, Listener& discovery, Program& program) {
  auto watch = discovery.accept();
  answer_watch_request(watch);
  auto client = program.client();
  client.send(submit("hold", 1));
  auto connection = first.accept();
  connection.command();
  chunk(watch, next_list + "\n");
  std::this_thread::sleep_for(200ms);
  connection.reset();
  EXPECT_EQ(client.reply(), "-ERR failed") << zone;
  EXPECT_FALSE(second.waiting(300)) << "a host outside zone " << zone << " received the retry";
}

TEST(HostLists, AHostThatASnapshotOmitsStaysInItsZone) {
  Listener first, second, discovery;
  Program program(
      config_with_keys_by_zone(host_list({target_with_zone("s-1", first.port(), "b")}), discovery.port()));
  expect_no_retry_after(list(8, true, {target_with_zone("s-2", second.port(), "a")}), "b", first, second,
                        discovery, program);
}

TEST(HostLists, UnknownZonesAreNotOneZone) {
  Listener first, second, discovery;
  Program program(
      config_with_keys_by_zone(host_list({target_with_zone("s-1", first.port(), "x")}), discovery.port()));
  const auto leaving_target = target_with_zone("s-1", first.port(), "x", 0, "leaving");
  expect_no_retry_after(list(8, false, {target_with_zone("s-2", second.port(), "y"), leaving_target}), "x",
                        first, second, discovery, program);
}

// Two emulated hosts that count the requests they receive.
class Hosts {
 public:
  Hosts() : thread_([this] { io_.run(); }) {}
  ~Hosts() {
    io_.stop();
    thread_.join();
  }
  HostEmulator& first() { return first_; }
  HostEmulator& second() { return second_; }
  // Sends `requests` requests, kConcurrency at a time. Sent one by one, they would all go to the host whose
  // last replies happened to be faster.
  void send_requests(Program& program, int requests) {
    auto client = program.client();
    for (int i = 0; i < requests; i += kConcurrency) {
      std::string commands;
      for (int n = 0; n < kConcurrency; ++n) commands += query(++last_);
      client.send(commands);
      for (int n = 0; n < kConcurrency; ++n) client.reply();
    }
  }

 private:
  static constexpr int kConcurrency = 4;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{io_.get_executor()};
  HostEmulator first_{io_, Behaviour{.mean_ms = 20}, 1}, second_{io_, Behaviour{.mean_ms = 20}, 2};
  unsigned last_ = 0;
  std::thread thread_;
};

double unix_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A host boots while this machine's wall clock is wrong. The clock's error must neither let the host skip its
// slow start nor keep it in slow start for ever.
class WallClockStep : public ::testing::TestWithParam<int> {};

TEST_P(WallClockStep, ANewHostIsColdAndWarmsUp) {
  for (const bool before_start : {false, true}) {
    Hosts hosts;
    Listener discovery;
    FaultPlan plan;
    auto conf = config(host_list({target("s-1", hosts.first().port())}), discovery.port());
    conf["settings"].as_object()["rules"].as_object()["warm_after_ms"] = 6000.0;
    if (before_start) plan.step_wall_clock(GetParam());
    Program program(conf, plan.environment());
    auto watch = discovery.accept();
    answer_watch_request(watch);
    // A step of a few seconds can be distinguished from a late list only after discovery has confirmed that
    // nothing has changed.
    if (std::abs(GetParam()) < 30) chunk(watch, "\n");
    std::this_thread::sleep_for(100ms);
    plan.step_wall_clock(GetParam());
    chunk(watch, list(8, false, {target_with_zone("s-2", hosts.second().port(), "a", unix_ms())}) + "\n");
    std::this_thread::sleep_for(100ms);
    hosts.send_requests(program, 100);
    EXPECT_LT(hosts.second().received(), 36u)
        << "a host that had just booted received 36 or more of 100 requests";
    std::this_thread::sleep_for(6s);
    const auto received_while_cold = hosts.second().received();
    hosts.send_requests(program, 100);
    EXPECT_GT(hosts.second().received() - received_while_cold, 25u)
        << "the host is still in slow start after warm_after_ms";
  }
}
INSTANTIATE_TEST_SUITE_P(Seconds, WallClockStep, ::testing::Values(3600, -3600, 5, -5));

// A gateway with two hosts that watches discovery at one address, and the new address that a reload of its
// configuration changes to.
class AddressChange {
 public:
  Hosts hosts;
  Listener discovery, new_discovery;
  const std::string first_target = target("s-1", hosts.first().port()),
                    second_target = target("s-2", hosts.second().port());
  boost::json::object conf = config(host_list({first_target, second_target}), discovery.port());
  Program program{conf};
  Peer watch = discovery.accept();

  AddressChange() { answer_watch_request(watch); }
  // Reloads the configuration with the new address. Returns the gateway's first connection to it.
  Peer reload_with_new_address() {
    conf["discovery"] = "127.0.0.1:" + std::to_string(new_discovery.port());
    program.reload(boost::json::serialize(conf));
    return new_discovery.accept();
  }
};

// A snapshot of the old address has removed a host. The new address lags behind and still lists it.
TEST(HostLists, AHostOmittedBeforeAnAddressChangeStaysRemovedWhileTheNewAddressLags) {
  AddressChange change;
  chunk(change.watch, list(8, true, {change.second_target}) + "\n");
  std::uint64_t before = 0;
  do {  // until the gateway has applied the snapshot
    before = change.hosts.first().received();
    change.hosts.send_requests(change.program, 20);
  } while (change.hosts.first().received() != before);
  auto fetch = change.reload_with_new_address();
  answer_list_request(fetch, list(9, true, {change.first_target, change.second_target}));
  auto follow = change.new_discovery.accept();
  answer_watch_request(follow);
  change.hosts.send_requests(change.program, 20);
  EXPECT_EQ(change.hosts.first().received(), before);
}

// Guards against ending the old address's watch as soon as the new address's snapshot has been read: a last
// change from the old address may still be unread. The process is paused so that both are pending at once.
TEST(HostLists, TheOldAddressIsReadUntilAfterTheNewSnapshot) {
  AddressChange change;
  change.hosts.send_requests(change.program, 20);
  auto fetch = change.reload_with_new_address();
  while (!fetch.line().empty()) {  // the request line and the headers
  }
  {
    const Stopped stopped(change.program);
    const auto full_list = list(9, true, {change.first_target, change.second_target});
    fetch.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(full_list.size()) + "\r\n\r\n" +
               full_list);
    std::this_thread::sleep_for(20ms);
    chunk(change.watch, list(10, false, {target("s-1", change.hosts.first().port(), "leaving")}) + "\n");
  }
  auto follow = change.new_discovery.accept();  // by now both have been handled
  answer_watch_request(follow);
  std::this_thread::sleep_for(300ms);
  const auto before = change.hosts.first().received();
  change.hosts.send_requests(change.program, 20);
  EXPECT_EQ(change.hosts.first().received(), before) << "a drain reported by the old address was lost";
}

}  // namespace
}  // namespace cometfold::net::testing
