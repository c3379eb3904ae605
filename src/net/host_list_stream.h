// Splits the response body of a watch into heartbeats and lists of hosts. Without I/O.
#pragma once

#include <boost/json.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace cometfold::net {

constexpr std::size_t kMaxHostListBytes = std::size_t{4} * 1024 * 1024;

class HostListStream {
 public:
  // Both return whether to read on: false leaves the rest of the bytes unread.
  struct Callbacks {
    std::function<bool()> on_heartbeat;  // an empty line
    std::function<bool(const boost::json::value&)> on_list;
  };
  explicit HostListStream(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}

  // Handles all complete lines received so far and buffers the rest. Throws HostListError if a line is
  // malformed: what it may have changed is unknown, so the stream must not be used further. Exceptions of the
  // callbacks propagate.
  void feed(std::string_view bytes);

 private:
  bool handle_line(std::string_view line);

  Callbacks callbacks_;
  std::string incomplete_line_;
  boost::json::stream_parser parser_;      // of a list that may be spread over several lines
  std::size_t incomplete_list_bytes_ = 0;  // 0: between lists
};

}  // namespace cometfold::net
