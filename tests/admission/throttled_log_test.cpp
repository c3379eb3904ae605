#include "admission/throttled_log.h"

#include <gtest/gtest.h>

#include "tests/support.h"

namespace cometfold::admission {
namespace {

TEST(ThrottledLog, RepeatsARemarkAfterFiveSecondsOnly) {
  testing::RecordingSink sink;
  ThrottledLog log;
  log.log("first", 0, sink);
  log.log("first", 4999, sink);
  log.log("second", 4999, sink);
  EXPECT_EQ(sink.actions.size(), 2u);
  log.log("first", 5000, sink);
  EXPECT_EQ(sink.actions.size(), 3u);
}

}  // namespace
}  // namespace cometfold::admission
