// The parts of the discovery client without I/O: the parser, the stream of lists, and departures between two
// addresses.
#include "net/host_list.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "net/host_list_stream.h"
#include "net/recent_departures.h"

namespace cometfold::net::testing {
namespace {

using namespace std::chrono_literals;

DiscoveredHost host(const std::string& uid, HostState state, double boot_unix_ms = 1) {
  DiscoveredHost host;
  host.uid = uid;
  host.state = state;
  host.boot_unix_ms = boot_unix_ms;
  return host;
}

HostList snapshot(std::vector<DiscoveredHost> hosts) {
  HostList list;
  list.is_snapshot = true;
  list.hosts = std::move(hosts);
  return list;
}

HostList parse(const std::string& text) { return parse_host_list(boost::json::parse(text)); }

TEST(HostListParser, ReadsEachField) {
  const auto list =
      parse(R"({"rev":9,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:80","state":"left",)"
            R"("az":"a","model":"m","pod_group":3,"capacity_hint":2.5,"boot_ms":7}]})");
  EXPECT_EQ(list.version, 9u);
  EXPECT_TRUE(list.is_snapshot);
  ASSERT_EQ(list.hosts.size(), 1u);
  const auto& host = list.hosts[0];
  EXPECT_EQ(host.uid, "s-1");
  EXPECT_EQ(host.endpoint.port(), 80);
  EXPECT_EQ(host.state, HostState::kRemoved);
  EXPECT_EQ(host.zone, "a");
  EXPECT_EQ(host.kind, "m");
  EXPECT_EQ(host.cell, 3u);
  EXPECT_EQ(host.capacity, 2.5);
  EXPECT_EQ(host.boot_unix_ms, 7);
}

TEST(HostListParser, ReadsEachState) {
  const auto state = [](const std::string& word) {
    return parse(R"({"rev":1,"all":false,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","state":")" + word +
                 R"("}]})")
        .hosts.at(0)
        .state;
  };
  EXPECT_EQ(state("active"), HostState::kReady);
  EXPECT_EQ(state("leaving"), HostState::kDraining);
  EXPECT_EQ(state("left"), HostState::kRemoved);
  EXPECT_THROW(state("gone"), HostListError);
}

TEST(HostListParser, ErrorsNameTheKey) {
  try {
    parse(R"({"all":true,"targets":[]})");
    FAIL() << "a list without a version was accepted";
  } catch (const HostListError& error) {
    EXPECT_EQ(error.location(), "rev");
    EXPECT_STREQ(error.what(), "'rev' is missing");
  }
}

struct StreamEvents {
  int heartbeats = 0;
  int lists = 0;
  HostListStream stream{{.on_heartbeat =
                             [this] {
                               ++heartbeats;
                               return true;
                             },
                         .on_list =
                             [this](const boost::json::value&) {
                               ++lists;
                               return lists < 2;
                             }}};
};

TEST(HostListStream, SplitsBytesIntoListsAndHeartbeats) {
  StreamEvents events;
  for (const char byte : std::string("\n{\"rev\":1,\n \"all\":true}\n\n")) {
    events.stream.feed(std::string_view(&byte, 1));
  }
  EXPECT_EQ(events.heartbeats, 2);
  EXPECT_EQ(events.lists, 1);
}

TEST(HostListStream, StopsWhereACallbackSaysSo) {
  StreamEvents events;
  events.stream.feed("{\"rev\":1}\n{\"rev\":2}\n{\"rev\":3}\n");
  EXPECT_EQ(events.lists, 2);
}

TEST(HostListStream, RejectsATruncatedListAndOneWithoutEnd) {
  for (const std::string behind : {"\n", "{\"rev\":2}\n"}) {
    StreamEvents events;
    EXPECT_THROW(events.stream.feed("{\"rev\":1,\n" + behind), HostListError);
  }
  StreamEvents events;
  EXPECT_THROW(events.stream.feed(std::string(kMaxHostListBytes + 1, ' ')), HostListError);
}

class RecentDeparturesTest : public ::testing::Test {
 protected:
  void receive(const HostList& list, RecentDepartures::Time now) {
    departures.update_listed(list, now);
    departures.record(list, now);
  }
  RecentDepartures departures;
  const RecentDepartures::Time start{};
};

TEST_F(RecentDeparturesTest, ADrainStandsForTheSameProcessOnly) {
  receive(snapshot({host("a", HostState::kDraining), host("b", HostState::kDraining)}), start);
  auto lagging = snapshot({host("a", HostState::kReady), host("b", HostState::kReady, 2)});
  EXPECT_TRUE(departures.restore(lagging));
  EXPECT_EQ(lagging.hosts[0].state, HostState::kDraining);
  EXPECT_EQ(lagging.hosts[1].state, HostState::kReady);
}

TEST_F(RecentDeparturesTest, AHostThatASnapshotOmitsHasBeenRemoved) {
  receive(snapshot({host("a", HostState::kReady)}), start);
  receive(snapshot({}), start);
  auto lagging = snapshot({host("a", HostState::kReady)});
  EXPECT_TRUE(departures.restore(lagging));
  EXPECT_EQ(lagging.hosts[0].state, HostState::kRemoved);
}

TEST_F(RecentDeparturesTest, AreForgottenAfterARecoveryOrTheRetention) {
  receive(snapshot({host("a", HostState::kDraining), host("b", HostState::kDraining)}), start);
  receive(snapshot({host("a", HostState::kReady), host("b", HostState::kDraining)}), start);
  auto recovered = snapshot({host("a", HostState::kReady)});
  EXPECT_FALSE(departures.restore(recovered));
  HostList empty_delta;
  receive(empty_delta, start + RecentDepartures::kRetention + 1ms);
  auto late = snapshot({host("b", HostState::kReady)});
  EXPECT_FALSE(departures.restore(late));
}

TEST_F(RecentDeparturesTest, OnlyDeparturesOfListedProcessesAreKept) {
  receive(snapshot({host("a", HostState::kReady), host("b", HostState::kReady)}), start);
  auto list = snapshot({host("a", HostState::kDraining), host("b", HostState::kDraining, 2),
                        host("c", HostState::kDraining), host("a", HostState::kReady)});
  departures.keep_departures_of_listed(list);
  ASSERT_EQ(list.hosts.size(), 1u);
  EXPECT_EQ(list.hosts[0].uid, "a");
  EXPECT_EQ(list.hosts[0].state, HostState::kDraining);
}

}  // namespace
}  // namespace cometfold::net::testing
