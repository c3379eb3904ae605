// Tests the encoding and decoding of membership datagrams, with golden bytes, and the classification of
// connectivity.
#include <gtest/gtest.h>

#include <random>

#include "membership/connectivity.h"
#include "membership/state_names.h"
#include "membership/wire.h"
#include "peer_messages.pb.h"

namespace cometfold::membership::testing {
namespace {

Message full_message() {
  Message message;
  message.type = Message::kAck;
  message.sender = {"g1", "127.0.0.1:7000", 5, 77, MemberStatus::kAlive, 0, "", ""};
  message.sequence = 12;
  message.digest = 0xfeedfacecafebeef;
  message.records = {{"g2", "127.0.0.2:7000", 9, 78, MemberStatus::kFailed, 1234, "g1", ""}};
  message.suspicions = {{"g3", 4, 79, "g1", 5, 2, 1500}};
  message.bucket_digests.assign(kDigestBuckets, 3);
  return message;
}

constexpr std::size_t kFrameBytes = 12;

DecodeResult decode_blue(const std::string& bytes) { return decode(bytes, "blue"); }

TEST(MembershipWire, AMessageSurvivesEncodingAndDecoding) {
  const Message sent = full_message();
  const auto [decoded, error] = decode_blue(encode(sent, "blue"));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(error, DecodeError::kNone);
  EXPECT_EQ(decoded->type, sent.type);
  EXPECT_EQ(decoded->sender.address, sent.sender.address);
  EXPECT_EQ(decoded->digest, sent.digest);
  ASSERT_EQ(decoded->records.size(), 1U);
  EXPECT_EQ(precedence_of(decoded->records[0]), precedence_of(sent.records[0]));
  EXPECT_EQ(decoded->records[0].age_ms, 1234);
  EXPECT_EQ(decoded->records[0].reported_by, "g1");
  ASSERT_EQ(decoded->suspicions.size(), 1U);
  EXPECT_EQ(decoded->suspicions[0].valid_for_ms, 1500);
  EXPECT_EQ(decoded->bucket_digests, sent.bucket_digests);
}

// A datagram as deployed versions send it: field numbers, byte order and rounding must not change.
constexpr std::string_view kGoldenDatagram =
    "43464d01bb06702367a764f30a04626c756510061a1f0a026731120e3132372e302e302e313a373030301805"
    "214d00000000000000210c0000000000000029efbefecacefaedfe30ac02388780808010422e0a026732120e"
    "3132372e302e302e323a373030301809214e00000000000000280130d2093a026731a206036e657742230a02"
    "6734120a5b3a3a315d3a37303034180a215000000000000000280230013a0267344a1a0a0267331004194f00"
    "000000000000220267312805300238dd0b4a170a026735100619510000000000000022026731280530035280"
    "0200000000000000000100000000000000020000000000000003000000000000000400000000000000050000"
    "000000000006000000000000000700000000000000080000000000000009000000000000000a000000000000"
    "000b000000000000000c000000000000000d000000000000000e000000000000000f00000000000000100000"
    "0000000000110000000000000012000000000000001300000000000000140000000000000015000000000000"
    "0016000000000000001700000000000000180000000000000019000000000000001a000000000000001b0000"
    "00000000001c000000000000001d000000000000001e000000000000001f00000000000000";

Message golden_message() {
  Message message;
  message.type = Message::kCorrection;
  message.sender = {"g1", "127.0.0.1:7000", 5, 77, MemberStatus::kAlive, 0, "", ""};
  message.sequence = 12;
  message.digest = 0xfeedfacecafebeef;
  message.incarnation_floor = 300;
  message.displaced_by = 0x100000007;
  message.records = {{"g2", "127.0.0.2:7000", 9, 78, MemberStatus::kFailed, 1234, "g1", "\xa2\x06\x03new"},
                     {"g4", "[::1]:7004", 10, 80, MemberStatus::kLeft, 0.6, "g4", ""}};
  message.suspicions = {{"g3", 4, 79, "g1", 5, 2, 1500.2}, {"g5", 6, 81, "g1", 5, 3, 0}};
  for (std::size_t i = 0; i < kDigestBuckets; ++i) message.bucket_digests.push_back(i);
  return message;
}

std::string to_hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const char byte : bytes) {
    hex += kDigits[static_cast<unsigned char>(byte) >> 4];
    hex += kDigits[static_cast<unsigned char>(byte) & 15];
  }
  return hex;
}

std::string from_hex(std::string_view hex) {
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
  }
  return bytes;
}

TEST(MembershipWire, EncodesTheGoldenDatagram) {
  EXPECT_EQ(to_hex(encode(golden_message(), "blue")), kGoldenDatagram);
}

TEST(MembershipWire, DecodesTheGoldenDatagram) {
  const Message sent = golden_message();
  const auto decoded = decode_blue(from_hex(kGoldenDatagram)).message;
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->type, sent.type);
  EXPECT_EQ(decoded->sequence, sent.sequence);
  EXPECT_EQ(decoded->digest, sent.digest);
  EXPECT_EQ(decoded->incarnation_floor, sent.incarnation_floor);
  EXPECT_EQ(decoded->displaced_by, sent.displaced_by);
  EXPECT_EQ(decoded->bucket_digests, sent.bucket_digests);
  EXPECT_EQ(decoded->sender.name, "g1");
  EXPECT_EQ(decoded->sender.process_nonce, 77U);
  ASSERT_EQ(decoded->records.size(), 2U);
  EXPECT_EQ(precedence_of(decoded->records[0]), precedence_of(sent.records[0]));
  EXPECT_EQ(decoded->records[0].address, "127.0.0.2:7000");
  EXPECT_EQ(decoded->records[0].age_ms, 1234);
  EXPECT_EQ(decoded->records[0].reported_by, "g1");
  EXPECT_EQ(decoded->records[0].unknown_fields, sent.records[0].unknown_fields);
  EXPECT_EQ(precedence_of(decoded->records[1]), precedence_of(sent.records[1]));
  EXPECT_EQ(decoded->records[1].age_ms, 1);
  ASSERT_EQ(decoded->suspicions.size(), 2U);
  EXPECT_EQ(decoded->suspicions[0].name, "g3");
  EXPECT_EQ(decoded->suspicions[0].incarnation, 4U);
  EXPECT_EQ(decoded->suspicions[0].process_nonce, 79U);
  EXPECT_EQ(decoded->suspicions[0].suspector, "g1");
  EXPECT_EQ(decoded->suspicions[0].suspector_incarnation, 5U);
  EXPECT_EQ(decoded->suspicions[0].version, 2U);
  EXPECT_EQ(decoded->suspicions[0].valid_for_ms, 1501);
  EXPECT_EQ(decoded->suspicions[1].valid_for_ms, 0);
}

TEST(MembershipWire, FlippedBitsAndTruncationAreDetected) {
  const std::string good = encode(full_message(), "blue");
  for (std::size_t bit = 0; bit < good.size() * 8; ++bit) {
    std::string bad = good;
    bad[bit / 8] = static_cast<char>(bad[bit / 8] ^ (1 << (bit % 8)));
    const DecodeResult result = decode_blue(bad);
    EXPECT_FALSE(result.message) << bit;
    EXPECT_NE(result.error, DecodeError::kNone);
  }
  for (std::size_t n = 0; n < good.size(); ++n) {
    EXPECT_FALSE(decode_blue(good.substr(0, n)).message) << n;
  }
}

TEST(MembershipWire, DecodingReportsTheError) {
  const DecodeResult other_cluster = decode_blue(encode(full_message(), "green"));
  EXPECT_FALSE(other_cluster.message);
  EXPECT_EQ(other_cluster.error, DecodeError::kForeign);
  const DecodeResult other_protocol = decode_blue("GET / HTTP/1.1\r\n\r\n");
  EXPECT_FALSE(other_protocol.message);
  EXPECT_EQ(other_protocol.error, DecodeError::kForeign);
  auto later_version = encode(full_message(), "blue");
  later_version[3] = 2;
  const DecodeResult other_version = decode_blue(later_version);
  EXPECT_FALSE(other_version.message);
  EXPECT_EQ(other_version.error, DecodeError::kVersionMismatch);
  Message message = full_message();
  message.sender.name.clear();
  const DecodeResult unnamed = decode_blue(encode(message, "blue"));
  EXPECT_FALSE(unnamed.message);
  EXPECT_EQ(unnamed.error, DecodeError::kMalformed);
}

// A record from a later version keeps the fields that this version does not know when it is forwarded.
TEST(MembershipWire, UnknownFieldsArePassedOn) {
  Message message = full_message();
  message.records[0].unknown_fields = std::string("\xa2\x06\x03") + "new";  // field 100, three bytes
  const auto once = decode_blue(encode(message, "blue")).message;
  ASSERT_TRUE(once);
  EXPECT_EQ(once->records.at(0).unknown_fields, message.records[0].unknown_fields);
  const auto twice = decode_blue(encode(*once, "blue")).message;
  ASSERT_TRUE(twice);
  EXPECT_EQ(twice->records.at(0).unknown_fields, message.records[0].unknown_fields);
  EXPECT_EQ(twice->records.at(0).name, "g2");
}

TEST(MembershipWire, AFullMessageStaysWithinTheDatagramLimit) {
  Message message = full_message();
  message.sender.name = std::string(kMaxNameBytes, 'n');
  message.sender.address = "[2001:db8:1111:2222:3333:4444:5555:6666]:65535";
  message.sender.incarnation = ~0ULL;
  message.sender.process_nonce = ~0ULL;
  message.incarnation_floor = ~0ULL;
  message.displaced_by = ~0ULL;
  message.bucket_digests.clear();
  message.records.clear();
  message.suspicions.clear();
  std::size_t used_bytes = encoded_size_bound(message.sender) + kMessageOverheadBytes;
  for (;;) {
    MemberRecord record = message.sender;
    record.reported_by = record.name;
    record.age_ms = 1e12;
    used_bytes += encoded_size_bound(record);
    if (used_bytes > kMaxMessageBytes) break;
    message.records.push_back(record);
  }
  EXPECT_LE(encode(message, std::string(32, 'c')).size(), kMaxDatagramBytes);
}

TEST(MembershipWire, RandomBytesInAValidFrameAreDecodedOrRejected) {
  std::mt19937_64 random(3);
  for (int n = 0; n < 20'000; ++n) {
    cometfold::peers::Datagram datagram;
    std::string bytes = encode(full_message(), "blue").substr(kFrameBytes);
    for (std::uint64_t flips = random() % 6; flips > 0; --flips) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (!datagram.ParseFromString(bytes)) continue;
    Message message = full_message();
    message.sender.unknown_fields = bytes.substr(0, 64);
    decode_blue(encode(message, "blue"));
  }
}

TEST(Connectivity, WorsensAtOnceAndRecoversAfterAHold) {
  ConnectivityTracker tracker(1000);
  EXPECT_EQ(tracker.state(), ConnectivityState::kIsolated);
  EXPECT_TRUE(tracker.update(100, {2, 2, false}));
  EXPECT_EQ(tracker.state(), ConnectivityState::kConnected);
  EXPECT_TRUE(tracker.update(200, {10, 4, false}));
  EXPECT_EQ(tracker.state(), ConnectivityState::kPartitioned);
  EXPECT_FALSE(tracker.may_declare_failed());
  EXPECT_FALSE(tracker.update(300, {10, 10, false}));
  EXPECT_FALSE(tracker.update(900, {10, 6, false}));
  EXPECT_TRUE(tracker.update(1300, {10, 10, false}));
  EXPECT_EQ(tracker.state(), ConnectivityState::kDegraded) << "the worst sample within the hold counts";
  EXPECT_TRUE(tracker.update(1400, {10, 1, false}));
  EXPECT_EQ(tracker.state(), ConnectivityState::kIsolated);
}

TEST(Connectivity, ClassifiesReachabilitySamples) {
  EXPECT_EQ(ConnectivityTracker::classify({10, 10, true}), ConnectivityState::kDegraded);
  EXPECT_EQ(ConnectivityTracker::classify({10, 8, false}), ConnectivityState::kConnected);
  EXPECT_EQ(ConnectivityTracker::classify({8, 6, false}), ConnectivityState::kDegraded);
  EXPECT_EQ(ConnectivityTracker::classify({8, 4, false}), ConnectivityState::kDegraded);
  EXPECT_EQ(ConnectivityTracker::classify({8, 3, false}), ConnectivityState::kPartitioned);
  EXPECT_EQ(ConnectivityTracker::classify({1, 1, false}), ConnectivityState::kIsolated);
}

TEST(Connectivity, StatesKeepTheWordsThatOperatorsRead) {
  EXPECT_EQ(name_of(ConnectivityState::kConnected), "together");
  EXPECT_EQ(name_of(ConnectivityState::kDegraded), "doubtful");
  EXPECT_EQ(name_of(ConnectivityState::kPartitioned), "cut-off");
  EXPECT_EQ(name_of(ConnectivityState::kIsolated), "alone");
  EXPECT_EQ(name_of(MemberState::kAlive), "alive");
  EXPECT_EQ(name_of(MemberState::kSuspect), "suspect");
  EXPECT_EQ(name_of(MemberState::kFailed), "failed");
  EXPECT_EQ(name_of(MemberState::kLeft), "left");
}

}  // namespace
}  // namespace cometfold::membership::testing
