#include "net/host_list_stream.h"

#include "net/host_list.h"

namespace cometfold::net {
namespace json = boost::json;

namespace {

bool is_complete_list(std::string_view line) {
  boost::system::error_code error;
  const auto value = json::parse(line, error);
  return !error && is_host_list(value);
}

}  // namespace

void HostListStream::feed(std::string_view bytes) {
  incomplete_line_.append(bytes);
  std::size_t begin = 0;
  bool read_on = true;
  while (read_on) {
    const std::size_t end = incomplete_line_.find('\n', begin);
    if (end == std::string::npos) break;
    read_on = handle_line(std::string_view(incomplete_line_).substr(begin, end - begin + 1));
    begin = end + 1;
  }
  incomplete_line_.erase(0, begin);
  if (incomplete_line_.size() + incomplete_list_bytes_ > kMaxHostListBytes) {
    throw HostListError({}, "a host list is longer than 4 MiB");
  }
}

// A list may be spread over several lines, but heartbeats are only sent between lists. An empty line or the
// start of another list within one means that its end is missing: reading on would discard all later lists.
bool HostListStream::handle_line(std::string_view line) {
  const bool is_empty = line.find_first_not_of(" \t\r\n") == std::string_view::npos;
  if (is_empty && incomplete_list_bytes_ == 0) return callbacks_.on_heartbeat();
  if (incomplete_list_bytes_ > 0 && (is_empty || (line.front() == '{' && is_complete_list(line)))) {
    throw HostListError({}, "malformed line: a list is truncated");
  }
  if (incomplete_list_bytes_ == 0) parser_.reset();
  incomplete_list_bytes_ += line.size();
  boost::system::error_code error;
  parser_.write(line.data(), line.size(), error);
  if (error) throw HostListError({}, "malformed line: " + error.message());
  if (!parser_.done()) return true;
  incomplete_list_bytes_ = 0;
  return callbacks_.on_list(parser_.release());
}

}  // namespace cometfold::net
