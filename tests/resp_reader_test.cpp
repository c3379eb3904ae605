// The RESP2 parser on complete, split, oversized and malformed input, and the writer of error lines.
#include "resp/resp_reader.h"

#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "resp/resp_writer.h"

namespace cometfold::resp {
namespace {

void feed(RespReader& reader, std::string_view text) {
  while (!text.empty()) {
    const auto space = reader.prepare();
    const auto bytes = std::min(space.size(), text.size());
    std::memcpy(space.data(), text.data(), bytes);
    reader.commit(bytes);
    text.remove_prefix(bytes);
  }
}

// Parses the whole input at once and then byte by byte; both results must be equal.
ReadResult parse(const std::string& text, bool commands, Frame& frame, std::vector<std::string>& values) {
  std::vector<ReadResult> results;
  for (const bool byte_by_byte : {false, true}) {
    RespReader reader(RespLimits{}, commands);
    ReadResult result = ReadResult::kNeedMore;
    if (byte_by_byte) {
      for (std::size_t i = 0; i < text.size() && result == ReadResult::kNeedMore; ++i) {
        feed(reader, text.substr(i, 1));
        result = reader.next(frame);
      }
    } else {
      feed(reader, text);
      result = reader.next(frame);
    }
    values.clear();
    if (result == ReadResult::kFrame) {
      for (const auto& item : frame.items) values.emplace_back(item.text);
    }
    results.push_back(result);
  }
  EXPECT_EQ(results[0], results[1]) << text;
  return results[0];
}

TEST(RespReader, ParsesCommandsHoweverTheBytesAreSplit) {
  Frame frame;
  std::vector<std::string> values;
  const std::string body = std::string("a\r\nb\0c$9", 8);
  const auto result = parse("*3\r\n$3\r\nGET\r\n$0\r\n\r\n$8\r\n" + body + "\r\n", true, frame, values);
  ASSERT_EQ(result, ReadResult::kFrame);
  EXPECT_EQ(values, (std::vector<std::string>{"GET", "", body}));
}

TEST(RespReader, ReturnsPipelinedFramesOneByOne) {
  RespReader reader(RespLimits{}, true);
  Frame frame;
  feed(reader, "*1\r\n$1\r\na\r\n*0\r\n*1\r\n$1\r\nb\r\n*1\r\n");
  ASSERT_EQ(reader.next(frame), ReadResult::kFrame);
  EXPECT_EQ(frame.items.at(0).text, "a");
  ASSERT_EQ(reader.next(frame), ReadResult::kFrame);
  EXPECT_TRUE(frame.items.empty());
  ASSERT_EQ(reader.next(frame), ReadResult::kFrame);
  EXPECT_EQ(frame.items.at(0).text, "b");
  EXPECT_FALSE(reader.empty());
  EXPECT_EQ(reader.next(frame), ReadResult::kNeedMore);
}

TEST(RespReader, ParsesRepliesOfAllTypes) {
  Frame frame;
  std::vector<std::string> values;
  ASSERT_EQ(parse("*3\r\n$2\r\nok\r\n$-1\r\n$7\r\nqueue=2\r\n", false, frame, values), ReadResult::kFrame);
  EXPECT_TRUE(frame.is_array);
  EXPECT_EQ(frame.items[1].type, ItemType::kNull);
  EXPECT_EQ(values[2], "queue=2");
  ASSERT_EQ(parse("-BUSY queue=3\r\n", false, frame, values), ReadResult::kFrame);
  EXPECT_EQ(frame.items[0].type, ItemType::kError);
  EXPECT_EQ(values[0], "BUSY queue=3");
  ASSERT_EQ(parse(":-12\r\n", false, frame, values), ReadResult::kFrame);
  EXPECT_EQ(frame.items[0].type, ItemType::kInteger);
}

TEST(RespReader, RejectsMalformedInput) {
  Frame frame;
  std::vector<std::string> values;
  for (const char* text :
       {"PING\r\n", "*x\r\n", "*-1\r\n", "*9\r\n", "*01\r\n", "*1\n", "*1\r\n+OK\r\n", "*1\r\n$-1\r\n",
        "*1\r\n$+1\r\n", "*1\r\n$\r\n", "*1\r\n$65537\r\n", "*1\r\n$1\r\nab\r\n", "*1\r\n*1\r\n", "\r\n"}) {
    EXPECT_EQ(parse(text, true, frame, values), ReadResult::kProtocolError) << text;
  }
  for (const char* text : {"!\r\n", ":1x\r\n", "*1\r\n*1\r\n", "$-2\r\n", "*5\r\n$x\r\n"}) {
    EXPECT_EQ(parse(text, false, frame, values), ReadResult::kProtocolError) << text;
  }
  EXPECT_EQ(parse("-" + std::string(2000, 'x'), false, frame, values), ReadResult::kProtocolError);
}

TEST(RespReader, AllocatesNothingForAnnouncedLengths) {
  RespReader reader(RespLimits{}, true);
  Frame frame;
  feed(reader, "*8\r\n$65536\r\n");
  EXPECT_EQ(reader.next(frame), ReadResult::kNeedMore);
  EXPECT_LE(reader.buffer_capacity(), 4096u);
}

TEST(RespReader, BoundsTheSizeOfAFrame) {
  RespReader reader(RespLimits{}, true);
  Frame frame;
  const std::string value = "$65536\r\n" + std::string(65536, 'v') + "\r\n";
  feed(reader, "*8\r\n" + value + value);
  EXPECT_EQ(reader.next(frame), ReadResult::kNeedMore);
  feed(reader, "$65536\r\n");
  EXPECT_EQ(reader.next(frame), ReadResult::kProtocolError);
}

TEST(RespWriter, WritesAnErrorOnOneLine) {
  std::string out;
  append_error(out, "ERR a\r\n+OK");
  EXPECT_EQ(out, "-ERR a+OK\r\n");
}

}  // namespace
}  // namespace cometfold::resp
