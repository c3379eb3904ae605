// Writes the seed corpora of the fuzz targets: valid connections, messages and datagrams for the fuzzer to
// mutate.
//
//   seeds PROCESSOR_FOLDER PEERS_FOLDER
#include <filesystem>
#include <fstream>

#include "membership/wire.h"
#include "tests/extproc_support.h"
#include "tests/http2_support.h"

using namespace cometfold::http2::testing;
namespace messages = cometfold::extproc::testing;

int main(int, char** argv) {
  const std::filesystem::path folder = argv[1];
  std::filesystem::create_directories(folder);
  int n = 0;
  const auto write_seed = [&](const std::string& bytes) {
    std::ofstream(folder / ("seed-" + std::to_string(++n)), std::ios::binary) << bytes;
  };
  const std::string path(cometfold::extproc::kProcess);
  const auto request = [](const char* id, const char* attempt) {
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
    write_seed(std::string(1, '\0') + kPreface + frame(kHeadersFrame, kEndHeaders, 1, call_headers(path)) +
               frame(kDataFrame, 0, 1, message(request("a", "1"))) + more);
  }
  const auto framed_message = [](const std::string& m, unsigned what) {
    return std::string{static_cast<char>(m.size() & 255),
                       static_cast<char>((m.size() >> 8 & 3) | what << 2)} +
           m;
  };
  write_seed(std::string(1, '\1') + framed_message(request("a", "1"), 4) + framed_message(report, 0) +
             framed_message(request("a", "2"), 1));
  namespace peers = cometfold::membership;
  const std::filesystem::path datagrams = argv[2];
  std::filesystem::create_directories(datagrams);
  std::ofstream all(datagrams / "all", std::ios::binary);
  for (const auto type : {peers::Message::kPing, peers::Message::kAck, peers::Message::kSyncRequest,
                          peers::Message::kCorrection}) {
    peers::Message m;
    m.type = type;
    m.sender = {"g" + std::to_string(type), "10.0.0.2:1", 7, 8, peers::MemberStatus::kAlive, 0, "", ""};
    m.records = {{"g9", "10.0.0.3:1", 4, 4, peers::MemberStatus::kFailed, 10, "g1", ""},
                 {"g0", "10.0.0.1:1", 5, 9, peers::MemberStatus::kFailed, 10, "g1", ""}};
    m.suspicions = {{"g2", 7, 8, "g1", 7, 1, 2000}};
    if (type == peers::Message::kSyncRequest) m.bucket_digests.assign(peers::kDigestBuckets, 1);
    const std::string body = peers::encode(m, "fuzz").substr(12);
    const std::string framed{static_cast<char>(body.size() >> 8), static_cast<char>(body.size() & 255)};
    all << framed << body;
    std::ofstream(datagrams / std::to_string(type), std::ios::binary) << framed << body;
  }
  write_seed(std::string(1, '\1') + framed_message(request("a", "1"), 0) +
             framed_message(request("a", "1"), 1) + framed_message(report, 52) + framed_message(report, 33));
}
