#include "admission/throttled_log.h"

#include <gtest/gtest.h>

#include "tests/support.h"

namespace cometfold::admission {
namespace {

TEST(ThrottledLog, RepeatsARemarkAfterFiveSecondsOnly) {
  testing::Recorder sink;
  ThrottledLog log;
  log.log("first", 0, sink);
  log.log("first", 4999, sink);
  log.log("second", 4999, sink);
  EXPECT_EQ(sink.acts.size(), 2u);
  log.log("first", 5000, sink);
  EXPECT_EQ(sink.acts.size(), 3u);
}

}  // namespace
}  // namespace cometfold::admission
