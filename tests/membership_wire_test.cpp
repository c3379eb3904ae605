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
  m.sender = {"g1", "127.0.0.1:7000", 5, 77, MemberStatus::kAlive, 0, "", ""};
  m.sequence = 12;
  m.digest = 0xfeedfacecafebeef;
  m.records = {{"g2", "127.0.0.2:7000", 9, 78, MemberStatus::kFailed, 1234, "g1", ""}};
  m.suspicions = {{"g3", 4, 79, "g1", 5, 2, 1500}};
  m.bucket_digests.assign(kDigestBuckets, 3);
  return m;
}

std::optional<Message> read(const std::string& bytes, DecodeError& why) { return decode(bytes, "blue", why); }

TEST(MembershipWire, ComesBackAsItWas) {
  const Message sent = full_message();
  DecodeError why;
  const auto got = read(encode(sent, "blue"), why);
  ASSERT_TRUE(got);
  EXPECT_EQ(why, DecodeError::kNone);
  EXPECT_EQ(got->type, sent.type);
  EXPECT_EQ(got->sender.address, sent.sender.address);
  EXPECT_EQ(got->digest, sent.digest);
  ASSERT_EQ(got->records.size(), 1U);
  EXPECT_EQ(precedence_of(got->records[0]), precedence_of(sent.records[0]));
  EXPECT_EQ(got->records[0].age_ms, 1234);
  EXPECT_EQ(got->records[0].reported_by, "g1");
  ASSERT_EQ(got->suspicions.size(), 1U);
  EXPECT_EQ(got->suspicions[0].valid_for_ms, 1500);
  EXPECT_EQ(got->bucket_digests, sent.bucket_digests);
}

TEST(MembershipWire, AnyBitThatFlipsIsSeen) {
  const std::string good = encode(full_message(), "blue");
  for (std::size_t bit = 0; bit < good.size() * 8; ++bit) {
    std::string bad = good;
    bad[bit / 8] = static_cast<char>(bad[bit / 8] ^ (1 << (bit % 8)));
    DecodeError why = DecodeError::kNone;
    EXPECT_FALSE(read(bad, why)) << bit;
    EXPECT_NE(why, DecodeError::kNone);
  }
  for (std::size_t n = 0; n < good.size(); ++n) {
    DecodeError why = DecodeError::kNone;
    EXPECT_FALSE(read(good.substr(0, n), why)) << n;
  }
}

TEST(MembershipWire, SaysWhyItIsNotRead) {
  DecodeError why = DecodeError::kNone;
  EXPECT_FALSE(read(encode(full_message(), "green"), why));
  EXPECT_EQ(why, DecodeError::kForeign);
  EXPECT_FALSE(read("GET / HTTP/1.1\r\n\r\n", why));
  EXPECT_EQ(why, DecodeError::kForeign);
  auto other = encode(full_message(), "blue");
  other[3] = 2;
  EXPECT_FALSE(read(other, why));
  EXPECT_EQ(why, DecodeError::kVersionMismatch);
  Message unnamed = full_message();
  unnamed.sender.name.clear();
  EXPECT_FALSE(read(encode(unnamed, "blue"), why));
  EXPECT_EQ(why, DecodeError::kMalformed);
}

// A record of a later version goes through this one with what only that version knows.
TEST(MembershipWire, FieldsOfLaterVersionsArePassedOn) {
  Message m = full_message();
  m.records[0].unknown_fields = std::string("\xa2\x06\x03") + "new";  // field 100, three bytes
  DecodeError why;
  const auto once = read(encode(m, "blue"), why);
  ASSERT_TRUE(once);
  EXPECT_EQ(once->records.at(0).unknown_fields, m.records[0].unknown_fields);
  const auto twice = read(encode(*once, "blue"), why);
  EXPECT_EQ(twice->records.at(0).unknown_fields, m.records[0].unknown_fields);
  EXPECT_EQ(twice->records.at(0).name, "g2");
}

TEST(MembershipWire, AFullMessageStaysBelowItsBound) {
  Message m = full_message();
  m.sender.name = std::string(kMaxNameBytes, 'n');
  m.sender.address = "[2001:db8:1111:2222:3333:4444:5555:6666]:65535";
  m.sender.incarnation = m.sender.process_nonce = m.incarnation_floor = m.displaced_by = ~0ULL;
  m.bucket_digests.clear();
  m.records.clear();
  m.suspicions.clear();
  std::size_t used = encoded_size_bound(m.sender) + 40;
  for (;;) {
    MemberRecord r = m.sender;
    r.reported_by = r.name;
    r.age_ms = 1e12;
    used += encoded_size_bound(r);
    if (used > kMaxMessageBytes) break;
    m.records.push_back(r);
  }
  EXPECT_LE(encode(m, std::string(32, 'c')).size(), kMaxDatagramBytes);
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
    m.sender.unknown_fields = bytes.substr(0, 64);
    DecodeError why;
    read(encode(m, "blue"), why);
  }
}

TEST(Standing, GetsWorseAtOnceAndBetterOnlyAfterAWhile) {
  ConnectivityTracker rule(1000);
  EXPECT_EQ(rule.state(), ConnectivityState::kIsolated);
  EXPECT_TRUE(rule.update(100, {2, 2, false}));
  EXPECT_EQ(rule.state(), ConnectivityState::kConnected);
  EXPECT_TRUE(rule.update(200, {10, 4, false}));
  EXPECT_EQ(rule.state(), ConnectivityState::kPartitioned);
  EXPECT_FALSE(rule.may_declare_failed());
  EXPECT_FALSE(rule.update(300, {10, 10, false}));
  EXPECT_FALSE(rule.update(900, {10, 6, false}));
  EXPECT_TRUE(rule.update(1300, {10, 10, false}));
  EXPECT_EQ(rule.state(), ConnectivityState::kDegraded) << "it was no better than that within the time";
  EXPECT_TRUE(rule.update(1400, {10, 1, false}));
  EXPECT_EQ(rule.state(), ConnectivityState::kIsolated);
}

TEST(Standing, TellsItsOwnFaultFromOthers) {
  EXPECT_EQ(ConnectivityTracker::classify({10, 10, true}), ConnectivityState::kDegraded);
  EXPECT_EQ(ConnectivityTracker::classify({10, 8, false}), ConnectivityState::kConnected);
  EXPECT_EQ(ConnectivityTracker::classify({8, 6, false}), ConnectivityState::kDegraded);
  EXPECT_EQ(ConnectivityTracker::classify({8, 4, false}), ConnectivityState::kDegraded);
  EXPECT_EQ(ConnectivityTracker::classify({8, 3, false}), ConnectivityState::kPartitioned);
  EXPECT_EQ(ConnectivityTracker::classify({1, 1, false}), ConnectivityState::kIsolated);
}

}  // namespace
}  // namespace cometfold::membership::testing
