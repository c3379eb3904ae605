// Writes the fuzz target's seed corpus: good connections and good messages, from which it goes on. seeds
// FOLDER
#include <filesystem>
#include <fstream>

#include "extproc_support.h"
#include "http2_support.h"

using namespace thistlepond::http2::testing;
namespace messages = thistlepond::extproc::testing;

int main(int, char** argv) {
  const std::filesystem::path folder = argv[1];
  std::filesystem::create_directories(folder);
  int n = 0;
  const auto seed = [&](const std::string& bytes) {
    std::ofstream(folder / ("seed-" + std::to_string(++n)), std::ios::binary) << bytes;
  };
  const std::string path(thistlepond::extproc::kProcess);
  const auto ask = [](const char* id, const char* attempt) {
    return messages::request_headers({{":method", "GET"},
                                      {":path", "/x"},
                                      {"x-request-id", id},
                                      {"x-envoy-attempt-count", attempt},
                                      {"x-cometfold-class", "pay"}});
  };
  const std::string report =
      messages::response_headers({{":status", "503"}, {"endpoint-load-metrics", "TEXT eps=1"}},
                                 {{"response.code_details", "via_upstream"}});
  for (const auto& more :
       {std::string(), frame(kDataFrame, kEndStream, 1, message(report)),
        frame(kResetFrame, 0, 1, std::string("\0\0\0\10", 4)),
        frame(kPingFrame, 0, 0, "12345678") + frame(kDataFrame, 0, 1, message(report).substr(0, 7))}) {
    seed(std::string(1, '\0') + kPreface + frame(kHeadersFrame, kEndHeaders, 1, call_headers(path)) +
         frame(kDataFrame, 0, 1, message(ask("a", "1"))) + more);
  }
  const auto one = [](const std::string& m, unsigned what) {
    return std::string{static_cast<char>(m.size() & 255),
                       static_cast<char>((m.size() >> 8 & 3) | what << 2)} +
           m;
  };
  seed(std::string(1, '\1') + one(ask("a", "1"), 4) + one(report, 0) + one(ask("a", "2"), 1));
  seed(std::string(1, '\1') + one(ask("a", "1"), 0) + one(ask("a", "1"), 1) + one(report, 52) +
       one(report, 33));
}
