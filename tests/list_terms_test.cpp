// What lists of hosts contain and omit, and what the program concludes from that.
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

std::string known(const std::vector<std::string>& targets) { return list(7, true, targets); }

// A host with a zone and a start; `boot_ms` below 0: not listed.
std::string target_in(const std::string& uid, int port, const std::string& zone, double boot_ms = 0,
                      const std::string& state = "active") {
  boost::json::object o{{"uid", uid},          {"endpoint", "127.0.0.1:" + std::to_string(port)},
                        {"az", zone},          {"model", "m"},
                        {"pod_group", 3},      {"state", state},
                        {"capacity_hint", 1.0}};
  if (boot_ms >= 0) o["boot_ms"] = boot_ms;
  return boost::json::serialize(o);
}

boost::json::object keyed_by_zone(const std::string& list, int discovery_port) {
  auto conf = config(list, discovery_port);
  auto& settings = conf["settings"].as_object();
  settings["zones"] = boost::json::array{"a", "b"};
  settings["lanes"].as_array().at(1).as_object()["group"] = "zone";
  return conf;
}

// The first attempt of a request with an idempotency key is in flight at `first` when a list removes that
// host.
void expect_no_retry_after(const std::string& next_list, const std::string& zone, Listener& first,
                           Listener& second, Listener& discovery, Program& program) {
  auto watch = discovery.accept();
  answer_watch_request(watch);
  auto client = program.client();
  client.send(submit("hold", 1));
  auto at = first.accept();
  at.command();
  chunk(watch, next_list + "\n");
  std::this_thread::sleep_for(200ms);
  at.reset();
  EXPECT_EQ(client.reply(), "-ERR failed") << zone;
  EXPECT_FALSE(second.waiting(300)) << "a host of another zone than " << zone << " got the retry";
}

TEST(HostLists, AHostThatASnapshotOmitsStaysInItsZone) {
  Listener first, second, discovery;
  Program program(keyed_by_zone(known({target_in("s-1", first.port(), "b")}), discovery.port()));
  expect_no_retry_after(list(8, true, {target_in("s-2", second.port(), "a")}), "b", first, second, discovery,
                        program);
}

TEST(HostLists, UnknownZonesAreNotOneZone) {
  Listener first, second, discovery;
  Program program(keyed_by_zone(known({target_in("s-1", first.port(), "x")}), discovery.port()));
  const auto leaves = target_in("s-1", first.port(), "x", 0, "leaving");
  expect_no_retry_after(list(8, false, {target_in("s-2", second.port(), "y"), leaves}), "x", first, second,
                        discovery, program);
}

// Two emulated hosts, which count their requests.
class Hosts {
 public:
  Hosts() : thread_([this] { io_.run(); }) {}
  ~Hosts() {
    io_.stop();
    thread_.join();
  }
  HostEmulator& first() { return first_; }
  HostEmulator& second() { return second_; }
  // Sends so many requests, several at a time: single ones would all go to the host whose last replies were
  // quicker by chance.
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

// A host that starts while this machine's wall clock is wrong still warms up from a cold start.
class WallClockStep : public ::testing::TestWithParam<int> {};

TEST_P(WallClockStep, ANewHostIsColdAndWarmsUp) {
  for (const bool before_start : {false, true}) {
    Hosts hosts;
    Listener discovery;
    FaultPlan plan;
    auto conf = config(known({target("s-1", hosts.first().port())}), discovery.port());
    conf["settings"].as_object()["rules"].as_object()["warm_after_ms"] = 6000.0;
    if (before_start) plan.step_wall_clock(GetParam());
    Program program(conf, plan.environment());
    auto watch = discovery.accept();
    answer_watch_request(watch);
    // A step of seconds can be told from a late list only after discovery has confirmed that there is nothing
    // new.
    if (std::abs(GetParam()) < 30) chunk(watch, "\n");
    std::this_thread::sleep_for(100ms);
    plan.step_wall_clock(GetParam());
    chunk(watch, list(8, false, {target_in("s-2", hosts.second().port(), "a", unix_ms())}) + "\n");
    std::this_thread::sleep_for(100ms);
    hosts.send_requests(program, 100);
    EXPECT_LT(hosts.second().received(), 36u) << "half of the requests went to a host that had just started";
    std::this_thread::sleep_for(6s);
    const auto cold = hosts.second().received();
    hosts.send_requests(program, 100);
    EXPECT_GT(hosts.second().received() - cold, 25u) << "a host never warms up";
  }
}
INSTANTIATE_TEST_SUITE_P(Seconds, WallClockStep, ::testing::Values(3600, -3600, 5, -5));

// Two hosts, a gateway that watches one address of discovery, and the address that its configuration changes
// to.
class AddressChange {
 public:
  Hosts hosts;
  Listener discovery, moved;
  const std::string one = target("s-1", hosts.first().port()), two = target("s-2", hosts.second().port());
  boost::json::object conf = config(known({one, two}), discovery.port());
  Program program{conf};
  Peer watch = discovery.accept();

  AddressChange() { answer_watch_request(watch); }
  // The first call at the new address.
  Peer reload_with_new_address() {
    conf["discovery"] = "127.0.0.1:" + std::to_string(moved.port());
    program.reload(boost::json::serialize(conf));
    return moved.accept();
  }
};

// A snapshot at the old address has omitted a host; the new address lags behind.
TEST(HostLists, AHostOmittedBeforeAnAddressChangeStaysRemovedWhileTheNewAddressLags) {
  AddressChange change;
  chunk(change.watch, list(8, true, {change.two}) + "\n");
  std::uint64_t before = 0;
  do {  // until the list has been read
    before = change.hosts.first().received();
    change.hosts.send_requests(change.program, 20);
  } while (change.hosts.first().received() != before);
  auto fetch = change.reload_with_new_address();
  answer_list_request(fetch, list(9, true, {change.one, change.two}));
  auto follow = change.moved.accept();
  answer_watch_request(follow);
  change.hosts.send_requests(change.program, 20);
  EXPECT_EQ(change.hosts.first().received(), before);
}

// The new address's snapshot has been read; the old one's last change, written before, has not.
TEST(HostLists, TheOldAddressIsReadUntilAfterTheNewSnapshot) {
  AddressChange change;
  change.hosts.send_requests(change.program, 20);
  auto fetch = change.reload_with_new_address();
  while (!fetch.line().empty()) {  // the call's head
  }
  {
    const Stopped stopped(change.program);
    const auto both = list(9, true, {change.one, change.two});
    fetch.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(both.size()) + "\r\n\r\n" + both);
    std::this_thread::sleep_for(20ms);
    chunk(change.watch, list(10, false, {target("s-1", change.hosts.first().port(), "leaving")}) + "\n");
  }
  auto follow = change.moved.accept();  // both have been handled
  answer_watch_request(follow);
  std::this_thread::sleep_for(300ms);
  const auto before = change.hosts.first().received();
  change.hosts.send_requests(change.program, 20);
  EXPECT_EQ(change.hosts.first().received(), before) << "a drain reported by the old address was lost";
}

}  // namespace
}  // namespace cometfold::net::testing
