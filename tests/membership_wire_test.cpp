// Datagrams of members: what comes back is what was sent, and whatever bytes come are taken or dropped whole.
#include <gtest/gtest.h>

#include <random>

#include "membership/standing.h"
#include "membership/wire.h"
#include "peer_messages.pb.h"

namespace cometfold::membership::testing {
namespace {

Message full_message() {
  Message m;
  m.type = Message::kAck;
  m.sender = {"g1", "127.0.0.1:7000", 5, 77, Kind::kAlive, 0, "", ""};
  m.number = 12;
  m.digest = 0xfeedfacecafebeef;
  m.records = {{"g2", "127.0.0.2:7000", 9, 78, Kind::kFailed, 1234, "g1", ""}};
  m.accusations = {{"g3", 4, 79, "g1", 5, 2, 1500}};
  m.buckets.assign(kBuckets, 3);
  return m;
}

std::optional<Message> read(const std::string& bytes, Unread& why) { return decode(bytes, "blue", why); }

TEST(MembershipWire, ComesBackAsItWas) {
  const Message sent = full_message();
  Unread why;
  const auto got = read(encode(sent, "blue"), why);
  ASSERT_TRUE(got);
  EXPECT_EQ(why, Unread::kNone);
  EXPECT_EQ(got->type, sent.type);
  EXPECT_EQ(got->sender.address, sent.sender.address);
  EXPECT_EQ(got->digest, sent.digest);
  ASSERT_EQ(got->records.size(), 1U);
  EXPECT_EQ(order_of(got->records[0]), order_of(sent.records[0]));
  EXPECT_EQ(got->records[0].age_ms, 1234);
  EXPECT_EQ(got->records[0].by, "g1");
  ASSERT_EQ(got->accusations.size(), 1U);
  EXPECT_EQ(got->accusations[0].lasts_ms, 1500);
  EXPECT_EQ(got->buckets, sent.buckets);
}

TEST(MembershipWire, AnyBitThatFlipsIsSeen) {
  const std::string good = encode(full_message(), "blue");
  for (std::size_t bit = 0; bit < good.size() * 8; ++bit) {
    std::string bad = good;
    bad[bit / 8] = static_cast<char>(bad[bit / 8] ^ (1 << (bit % 8)));
    Unread why = Unread::kNone;
    EXPECT_FALSE(read(bad, why)) << bit;
    EXPECT_NE(why, Unread::kNone);
  }
  for (std::size_t n = 0; n < good.size(); ++n) {
    Unread why = Unread::kNone;
    EXPECT_FALSE(read(good.substr(0, n), why)) << n;
  }
}

TEST(MembershipWire, SaysWhyItIsNotRead) {
  Unread why = Unread::kNone;
  EXPECT_FALSE(read(encode(full_message(), "green"), why));
  EXPECT_EQ(why, Unread::kForeign);
  EXPECT_FALSE(read("GET / HTTP/1.1\r\n\r\n", why));
  EXPECT_EQ(why, Unread::kForeign);
  auto other = encode(full_message(), "blue");
  other[3] = 2;
  EXPECT_FALSE(read(other, why));
  EXPECT_EQ(why, Unread::kVersion);
  Message unnamed = full_message();
  unnamed.sender.name.clear();
  EXPECT_FALSE(read(encode(unnamed, "blue"), why));
  EXPECT_EQ(why, Unread::kMalformed);
}

// A record of a later version goes through this one with what only that version knows.
TEST(MembershipWire, FieldsOfLaterVersionsArePassedOn) {
  Message m = full_message();
  m.records[0].extra = std::string("\xa2\x06\x03") + "new";  // field 100, three bytes
  Unread why;
  const auto once = read(encode(m, "blue"), why);
  ASSERT_TRUE(once);
  EXPECT_EQ(once->records.at(0).extra, m.records[0].extra);
  const auto twice = read(encode(*once, "blue"), why);
  EXPECT_EQ(twice->records.at(0).extra, m.records[0].extra);
  EXPECT_EQ(twice->records.at(0).name, "g2");
}

TEST(MembershipWire, AFullMessageStaysBelowItsBound) {
  Message m = full_message();
  m.sender.name = std::string(kLargestName, 'n');
  m.sender.address = "[2001:db8:1111:2222:3333:4444:5555:6666]:65535";
  m.sender.start = m.sender.life = m.floor = m.displaced_by = ~0ULL;
  m.buckets.clear();
  m.records.clear();
  m.accusations.clear();
  std::size_t used = size_of(m.sender) + 40;
  for (;;) {
    Record r = m.sender;
    r.by = r.name;
    r.age_ms = 1e12;
    used += size_of(r);
    if (used > kLargestMessage) break;
    m.records.push_back(r);
  }
  EXPECT_LE(encode(m, std::string(32, 'c')).size(), kLargestDatagram);
}

TEST(MembershipWire, RandomBytesBehindAGoodFrameEndInSomeAnswer) {
  std::mt19937_64 random(3);
  for (int n = 0; n < 20'000; ++n) {
    cometfold::peers::Datagram d;
    std::string bytes = encode(full_message(), "blue").substr(12);
    for (std::uint64_t k = random() % 6; k > 0; --k)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    if (!d.ParseFromString(bytes)) continue;
    Message m = full_message();
    m.sender.extra = bytes.substr(0, 64);
    Unread why;
    read(encode(m, "blue"), why);
  }
}

TEST(Standing, GetsWorseAtOnceAndBetterOnlyAfterAWhile) {
  StandingRule rule(1000);
  EXPECT_EQ(rule.now(), Standing::kAlone);
  EXPECT_TRUE(rule.look(100, {2, 2, false}));
  EXPECT_EQ(rule.now(), Standing::kTogether);
  EXPECT_TRUE(rule.look(200, {10, 4, false}));
  EXPECT_EQ(rule.now(), Standing::kCutOff);
  EXPECT_FALSE(rule.may_judge());
  EXPECT_FALSE(rule.look(300, {10, 10, false}));
  EXPECT_FALSE(rule.look(900, {10, 6, false}));
  EXPECT_TRUE(rule.look(1300, {10, 10, false}));
  EXPECT_EQ(rule.now(), Standing::kDoubtful) << "it was no better than that within the time";
  EXPECT_TRUE(rule.look(1400, {10, 1, false}));
  EXPECT_EQ(rule.now(), Standing::kAlone);
}

TEST(Standing, TellsItsOwnFaultFromOthers) {
  EXPECT_EQ(StandingRule::of({10, 10, true}), Standing::kDoubtful);
  EXPECT_EQ(StandingRule::of({10, 8, false}), Standing::kTogether);
  EXPECT_EQ(StandingRule::of({8, 6, false}), Standing::kDoubtful);
  EXPECT_EQ(StandingRule::of({8, 4, false}), Standing::kDoubtful);
  EXPECT_EQ(StandingRule::of({8, 3, false}), Standing::kCutOff);
  EXPECT_EQ(StandingRule::of({1, 1, false}), Standing::kAlone);
}

}  // namespace
}  // namespace cometfold::membership::testing
