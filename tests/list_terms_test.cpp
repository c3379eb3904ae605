// What a list says, leaves out or does not know, and what must not be made of it: on the real program.
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

// A target of its own zone and start; `boot_unix_ms` below 0: not told.
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

// The first attempt of a keyed request is out at `first` when a list takes that host away.
void expect_no_repeat_after(const std::string& listed_then, const std::string& zone, Listener& first,
                            Listener& second, Listener& discovery, Program& program) {
  auto watch = discovery.accept();
  watch_head(watch);
  auto client = program.client();
  client.send(submit("hold", 1));
  auto at = first.accept();
  at.command();
  chunk(watch, listed_then + "\n");
  std::this_thread::sleep_for(200ms);
  at.reset();
  EXPECT_EQ(client.reply(), "-ERR failed") << zone;
  EXPECT_FALSE(second.waiting(300)) << "a host of another group than " << zone << " got the repeat";
}

TEST(ListTerms, AHostThatAWholeListLeavesOutStaysInItsZone) {
  Listener first, second, discovery;
  Program program(keyed_by_zone(known({target_in("s-1", first.port(), "b")}), discovery.port()));
  expect_no_repeat_after(list(8, true, {target_in("s-2", second.port(), "a")}), "b", first, second, discovery,
                         program);
}

TEST(ListTerms, ZonesThatTheSettingsDoNotNameAreNotOneZone) {
  Listener first, second, discovery;
  Program program(keyed_by_zone(known({target_in("s-1", first.port(), "x")}), discovery.port()));
  const auto leaves = target_in("s-1", first.port(), "x", 0, "leaving");
  expect_no_repeat_after(list(8, false, {target_in("s-2", second.port(), "y"), leaves}), "x", first, second,
                         discovery, program);
}

// Two hosts that answer by themselves, and what they were asked.
class Hosts {
 public:
  Hosts() : thread_([this] { io_.run(); }) {}
  ~Hosts() {
    io_.stop();
    thread_.join();
  }
  HostEmulator& first() { return first_; }
  HostEmulator& second() { return second_; }
  // So many requests, some at a time. Danger: where one is out at a time, and takes no longer than a busy
  // machine may hold it up, all go to the host whose last answers happened to be quicker.
  void ask(Program& program, int requests) {
    auto client = program.client();
    for (int i = 0; i < requests; i += kAtATime) {
      std::string several;
      for (int n = 0; n < kAtATime; ++n) several += query(++last_);
      client.send(several);
      for (int n = 0; n < kAtATime; ++n) client.reply();
    }
  }

 private:
  static constexpr int kAtATime = 4;
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

// A host that starts while this machine's wall clock is wrong is cold all the same, and warm in time.
class AfterAStep : public ::testing::TestWithParam<int> {};

TEST_P(AfterAStep, AHostThatHasJustStartedIsColdAndWarmsUp) {
  for (const bool before_the_start : {false, true}) {
    Hosts hosts;
    Listener discovery;
    FaultPlan plan;
    auto conf = config(known({target("s-1", hosts.first().port())}), discovery.port());
    conf["settings"].as_object()["rules"].as_object()["warm_after_ms"] = 6000.0;
    if (before_the_start) plan.step_wall_clock(GetParam());
    Program program(conf, plan.environment());
    auto watch = discovery.accept();
    watch_head(watch);
    // Some seconds can only be told from a late list where discovery has said before that there is nothing
    // new.
    if (std::abs(GetParam()) < 30) chunk(watch, "\n");
    std::this_thread::sleep_for(100ms);
    plan.step_wall_clock(GetParam());
    chunk(watch, list(8, false, {target_in("s-2", hosts.second().port(), "a", unix_ms())}) + "\n");
    std::this_thread::sleep_for(100ms);
    hosts.ask(program, 100);
    EXPECT_LT(hosts.second().received(), 36u) << "half of the requests went to a host that had just started";
    std::this_thread::sleep_for(6s);
    const auto cold = hosts.second().received();
    hosts.ask(program, 100);
    EXPECT_GT(hosts.second().received() - cold, 25u) << "a host never warms up";
  }
}
INSTANTIATE_TEST_SUITE_P(Seconds, AfterAStep, ::testing::Values(3600, -3600, 5, -5));

// Two hosts, a gateway that watches one address of discovery, and the address that it is moved to.
class Move {
 public:
  Hosts hosts;
  Listener discovery, moved;
  const std::string one = target("s-1", hosts.first().port()), two = target("s-2", hosts.second().port());
  boost::json::object conf = config(known({one, two}), discovery.port());
  Program program{conf};
  Peer watch = discovery.accept();

  Move() { watch_head(watch); }
  // The first call at the new address.
  Peer move() {
    conf["discovery"] = "127.0.0.1:" + std::to_string(moved.port());
    program.reload(boost::json::serialize(conf));
    return moved.accept();
  }
};

// A whole list at the old address has left a host out; the new address has not heard of it yet.
TEST(ListTerms, AHostLeftOutBeforeAMoveStaysGoneWhereTheNewAddressLags) {
  Move m;
  chunk(m.watch, list(8, true, {m.two}) + "\n");
  std::uint64_t before = 0;
  do {  // until the list has been read
    before = m.hosts.first().received();
    m.hosts.ask(m.program, 20);
  } while (m.hosts.first().received() != before);
  auto fetch = m.move();
  whole_list(fetch, list(9, true, {m.one, m.two}));
  auto follow = m.moved.accept();
  watch_head(follow);
  m.hosts.ask(m.program, 20);
  EXPECT_EQ(m.hosts.first().received(), before);
}

// The new address's list has been read; the old one's last word, written before, has not.
TEST(ListTerms, TheLastWordOfTheOldAddressIsHeardBehindTheNewOnesList) {
  Move m;
  m.hosts.ask(m.program, 20);
  auto fetch = m.move();
  while (!fetch.line().empty()) {  // the call's head
  }
  {
    const Stopped stopped(m.program);
    const auto both = list(9, true, {m.one, m.two});
    fetch.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(both.size()) + "\r\n\r\n" + both);
    std::this_thread::sleep_for(20ms);
    chunk(m.watch, list(10, false, {target("s-1", m.hosts.first().port(), "leaving")}) + "\n");
  }
  auto follow = m.moved.accept();  // both have been handled
  watch_head(follow);
  std::this_thread::sleep_for(300ms);
  const auto before = m.hosts.first().received();
  m.hosts.ask(m.program, 20);
  EXPECT_EQ(m.hosts.first().received(), before) << "the old address told a drain, and nobody listened";
}

}  // namespace
}  // namespace cometfold::net::testing
