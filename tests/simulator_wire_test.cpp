// Tests of the codec with the example bytes of the protocol's specification, and with malformed input.
#include <gtest/gtest.h>

#include <cstdint>
#include <cstring>
#include <string>
#include <vector>

#include "adapter/gateway_instances.h"

namespace cometfold::wire {
namespace {

using Raw = std::vector<unsigned char>;

Raw hex(const std::string& text, std::size_t size = 0) {
  Raw bytes;
  std::string digits;
  for (char c : text) {
    if (c != ' ') digits += c;
  }
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes.push_back(static_cast<unsigned char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  }
  if (size > 0) bytes.resize(size);
  return bytes;
}

template <typename T>
void append(Raw& raw, T value) {
  const auto at = raw.size();
  raw.resize(at + sizeof value);
  std::memcpy(raw.data() + at, &value, sizeof value);
}

Raw frame(const std::vector<Raw>& records, const Raw& tail = {}, double now = 4096) {
  Raw raw;
  append(raw, static_cast<std::uint32_t>(16 + 48 * records.size() + tail.size()));
  append(raw, static_cast<std::uint32_t>(records.size()));
  append(raw, now);
  for (const auto& r : records) raw.insert(raw.end(), r.begin(), r.end());
  raw.insert(raw.end(), tail.begin(), tail.end());
  return raw;
}

const Raw kSelectInstance = hex("08 03000000", 48);

Raw start_instance(std::uint32_t offset, std::uint32_t length) {
  Raw r = hex("0a 0700000000000000");
  append(r, offset);
  append(r, length);
  r.resize(48);
  return r;
}

Raw bytes_of(const std::string& s) { return {s.begin(), s.end()}; }

const std::string kSettings =
    "lanes.count=1\nlanes.0.semantics=safe\nlanes.0.slo_ms=1500.0\nlanes.0.deadline_ms=4000.0\nnew.key=x_y\n"
    "packages.count=1\npackages.0.quota_rate=0.0\nsiblings=3\n";

TEST(SimulatorWire, AnEmptyBatchHasAnEmptyReply) {
  GatewayInstances instances;
  const auto reply = instances.handle_batch(hex("10000000 00000000 00000000206ec040"));
  EXPECT_EQ(Raw(reply.begin(), reply.end()), hex("08000000 00000000"));
}

TEST(SimulatorWire, TheExampleBatchOfTheWirePageIsAnsweredForItsInstance) {
  GatewayInstances instances;
  const Raw list =
      hex("0000000000000000 074a1203 0000 0000 01 0000803f 0000"
          "0000000000d4b740 f211902c 0000 0100 01 0000c03f 0000");
  Raw tail = bytes_of(kSettings);
  Raw list_record = hex("0c 0000");
  append(list_record, static_cast<std::uint32_t>(tail.size()));
  append(list_record, std::uint32_t{2});
  list_record.resize(48);
  const auto settings_size = static_cast<std::uint32_t>(tail.size());
  tail.insert(tail.end(), list.begin(), list.end());
  instances.handle_batch(frame({kSelectInstance, start_instance(0, settings_size), list_record,
                                hex("02 00 2900000000000000 0000", 48)},
                               tail));

  const Raw request =
      hex("01 c4913a5d02cb0100 0000 00000000 640ad2557c3bf091 0000000020e6c040 00000040 00004040 0000803f 01",
          48);
  const auto reply = instances.handle_batch(frame({kSelectInstance, request}, {}, 8412));
  ASSERT_GE(reply.size(), 8u + 2 * 24);
  const Raw got(reply.begin(), reply.end());
  EXPECT_EQ(Raw(got.begin() + 8, got.begin() + 32), hex("4d 03000000", 24));
  // The request is sent to one of the two hosts on the list.
  EXPECT_EQ(Raw(got.begin() + 32, got.begin() + 41), hex("40 c4913a5d02cb0100"));
  const Raw to(got.begin() + 41, got.begin() + 45);
  EXPECT_TRUE(to == hex("074a1203") || to == hex("f211902c"));
}

TEST(SimulatorWire, HostEntriesAreReadFieldByField) {
  const auto e = read_host_entries(hex("0000000000d4b740 f211902c 0200 0100 02 0000c03f 0500"));
  ASSERT_EQ(e.size(), 1u);
  EXPECT_EQ(e[0].started_at, 6100.0);
  EXPECT_EQ(e[0].id, 0x2c9011f2u);
  EXPECT_EQ(e[0].kind, 2u);
  EXPECT_EQ(e[0].zone, 1u);
  EXPECT_EQ(e[0].state, HostState::kDraining);
  EXPECT_EQ(e[0].size, 1.5);
  EXPECT_EQ(e[0].cell, 5u);
}

TEST(SimulatorWire, ActionsAreEncodedAsOnTheWirePage) {
  ActionEncoder encoder;
  ActionEncoder::Sink out(encoder, 3);
  out.send(0x0001cb025d3a91c4, 0x03124a07, 80);
  out.schedule_timer(500, 0x4d);
  ActionEncoder::Sink other(encoder, 5);
  other.log("two servers known");
  const auto text = encoder.finish();
  const Raw got(text.begin(), text.end());
  Raw want = hex("91000000 05000000");
  for (const auto& r : {hex("4d 03000000", 24), hex("40 c4913a5d02cb0100 074a1203 0000000000005440", 24),
                        hex("44 0000000000407f40 4d00000000000000", 24), hex("4d 05000000", 24),
                        hex("48 00000000 11000000", 24), bytes_of("two servers known")}) {
    want.insert(want.end(), r.begin(), r.end());
  }
  EXPECT_EQ(got, want);
}

TEST(SimulatorWire, UnknownEventCodesAreSkipped) {
  GatewayInstances instances;
  EXPECT_EQ(instances.handle_batch(frame({kSelectInstance, hex("f7", 48)})).size(), 8u);
}

TEST(SimulatorWire, InstancesShareNothing) {
  const auto settings_size = static_cast<std::uint32_t>(kSettings.size());
  GatewayInstances both;
  GatewayInstances one;
  const Raw other = hex("08 09000000", 48);
  const Raw request =
      hex("01 0100000000000000 0000 00000000 0100000000000000 0000000020e6c040 0000803f 00004040", 48);
  both.handle_batch(
      frame({kSelectInstance, start_instance(0, settings_size), other, start_instance(0, settings_size)},
            bytes_of(kSettings)));
  one.handle_batch(frame({kSelectInstance, start_instance(0, settings_size)}, bytes_of(kSettings)));
  both.handle_batch(frame({other, request}));
  EXPECT_EQ(both.handle_batch(frame({kSelectInstance, request})),
            one.handle_batch(frame({kSelectInstance, request})));
}

std::string error_of(const Raw& raw) {
  GatewayInstances instances;
  try {
    instances.handle_batch(raw);
  } catch (const WireError& e) {
    return e.what();
  }
  return "";
}

TEST(SimulatorWireErrors, NameTheFault) {
  EXPECT_NE(error_of(hex("10000000 00000000")).find("batch header"), std::string::npos);
  Raw cut = frame({kSelectInstance});
  cut.pop_back();
  EXPECT_NE(error_of(cut).find("wrong length"), std::string::npos);
  EXPECT_NE(error_of(hex("10000000 05000000 00000000206ec040")).find("more records"), std::string::npos);
  EXPECT_NE(error_of(frame({kSelectInstance, start_instance(0, 9)}, bytes_of("a=1"))).find("settings: tail"),
            std::string::npos);
  EXPECT_NE(error_of(frame({hex("0c 0000 00000000 ffffffff", 48)})).find("list: tail"), std::string::npos);
  EXPECT_NE(error_of(frame({kSelectInstance, start_instance(0, 12)}, bytes_of("siblings=two")))
                .find("siblings is not a number"),
            std::string::npos);
}

}  // namespace
}  // namespace cometfold::wire
