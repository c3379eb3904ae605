// The RESP2 reader: whole, cut anywhere, too large, malformed.
#include "resp/resp.h"

#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

namespace cometfold::resp {
namespace {

void feed(Reader& reader, std::string_view text) {
  while (!text.empty()) {
    const auto space = reader.space();
    const auto n = std::min(space.size(), text.size());
    std::memcpy(space.data(), text.data(), n);
    reader.commit(n);
    text.remove_prefix(n);
  }
}

// All at once, then byte by byte: the outcome must be the same.
Progress outcome(const std::string& text, bool commands, Frame& frame, std::vector<std::string>& values) {
  std::vector<Progress> seen;
  for (const bool single : {false, true}) {
    Reader reader(Limits{}, commands);
    Progress p = Progress::kMore;
    if (single) {
      for (std::size_t i = 0; i < text.size() && p == Progress::kMore; ++i) {
        feed(reader, text.substr(i, 1));
        p = reader.next(frame);
      }
    } else {
      feed(reader, text);
      p = reader.next(frame);
    }
    values.clear();
    if (p == Progress::kFrame) {
      for (const auto& item : frame.items) values.emplace_back(item.text);
    }
    seen.push_back(p);
  }
  EXPECT_EQ(seen[0], seen[1]) << text;
  return seen[0];
}

TEST(Resp, CommandsComeUnchangedHoweverTheyAreCut) {
  Frame frame;
  std::vector<std::string> values;
  const std::string body = std::string("a\r\nb\0c$9", 8);
  const auto p = outcome("*3\r\n$3\r\nGET\r\n$0\r\n\r\n$8\r\n" + body + "\r\n", true, frame, values);
  ASSERT_EQ(p, Progress::kFrame);
  EXPECT_EQ(values, (std::vector<std::string>{"GET", "", body}));
}

TEST(Resp, FramesThatFollowEachOtherComeOneByOne) {
  Reader reader(Limits{}, true);
  Frame frame;
  feed(reader, "*1\r\n$1\r\na\r\n*0\r\n*1\r\n$1\r\nb\r\n*1\r\n");
  ASSERT_EQ(reader.next(frame), Progress::kFrame);
  EXPECT_EQ(frame.items.at(0).text, "a");
  ASSERT_EQ(reader.next(frame), Progress::kFrame);
  EXPECT_TRUE(frame.items.empty());
  ASSERT_EQ(reader.next(frame), Progress::kFrame);
  EXPECT_EQ(frame.items.at(0).text, "b");
  EXPECT_FALSE(reader.empty());
  EXPECT_EQ(reader.next(frame), Progress::kMore);
}

TEST(Resp, RepliesOfAllKinds) {
  Frame frame;
  std::vector<std::string> values;
  ASSERT_EQ(outcome("*3\r\n$2\r\nok\r\n$-1\r\n$7\r\nqueue=2\r\n", false, frame, values), Progress::kFrame);
  EXPECT_TRUE(frame.array);
  EXPECT_EQ(frame.items[1].kind, Kind::kNull);
  EXPECT_EQ(values[2], "queue=2");
  ASSERT_EQ(outcome("-BUSY queue=3\r\n", false, frame, values), Progress::kFrame);
  EXPECT_EQ(frame.items[0].kind, Kind::kError);
  EXPECT_EQ(values[0], "BUSY queue=3");
  ASSERT_EQ(outcome(":-12\r\n", false, frame, values), Progress::kFrame);
  EXPECT_EQ(frame.items[0].kind, Kind::kInteger);
}

TEST(Resp, MalformedInputIsBroken) {
  Frame frame;
  std::vector<std::string> values;
  for (const char* text :
       {"PING\r\n", "*x\r\n", "*-1\r\n", "*9\r\n", "*01\r\n", "*1\n", "*1\r\n+OK\r\n", "*1\r\n$-1\r\n",
        "*1\r\n$+1\r\n", "*1\r\n$\r\n", "*1\r\n$65537\r\n", "*1\r\n$1\r\nab\r\n", "*1\r\n*1\r\n", "\r\n"}) {
    EXPECT_EQ(outcome(text, true, frame, values), Progress::kBroken) << text;
  }
  for (const char* text : {"!\r\n", ":1x\r\n", "*1\r\n*1\r\n", "$-2\r\n", "*5\r\n$x\r\n"}) {
    EXPECT_EQ(outcome(text, false, frame, values), Progress::kBroken) << text;
  }
  EXPECT_EQ(outcome("-" + std::string(2000, 'x'), false, frame, values), Progress::kBroken);
}

TEST(Resp, NothingIsSetAsideForWhatIsOnlyAnnounced) {
  Reader reader(Limits{}, true);
  Frame frame;
  feed(reader, "*8\r\n$65536\r\n");
  EXPECT_EQ(reader.next(frame), Progress::kMore);
  EXPECT_LE(reader.held(), 4096u);
}

TEST(Resp, AWholeFrameIsBounded) {
  Reader reader(Limits{}, true);
  Frame frame;
  const std::string value = "$65536\r\n" + std::string(65536, 'v') + "\r\n";
  feed(reader, "*8\r\n" + value + value);
  EXPECT_EQ(reader.next(frame), Progress::kMore);
  feed(reader, "$65536\r\n");
  EXPECT_EQ(reader.next(frame), Progress::kBroken);
}

TEST(Resp, AnErrorStaysOnOneLine) {
  std::string out;
  append_error(out, "ERR a\r\n+OK");
  EXPECT_EQ(out, "-ERR a+OK\r\n");
}

}  // namespace
}  // namespace cometfold::resp
