// Opening sockets while a process starts: a moment without descriptors or memory must not end it.
#pragma once

#include <boost/asio.hpp>
#include <cerrno>
#include <chrono>
#include <thread>

namespace cometfold::net {

// Whether the process or the system has no descriptor, or no memory for a socket, for now.
inline bool is_out_of_sockets(const boost::system::error_code& error) {
  return error == boost::asio::error::no_descriptors || error.value() == ENFILE ||
         error == boost::asio::error::no_buffer_space || error == boost::asio::error::no_memory;
}

constexpr auto kSocketRetryDelay = std::chrono::milliseconds(10);
constexpr auto kSocketRetryTime = std::chrono::seconds(2);

// Calls `open`, which throws boost::system::system_error, and repeats it while no socket can be opened, for
// up to `kSocketRetryTime`. Blocks, so it is for the start only, when nobody is served yet.
template <class Open>
void retry_while_out_of_sockets(Open&& open) {
  const auto give_up_at = std::chrono::steady_clock::now() + kSocketRetryTime;
  for (;;) {
    try {
      return open();
    } catch (const boost::system::system_error& error) {
      if (!is_out_of_sockets(error.code()) || std::chrono::steady_clock::now() >= give_up_at) throw;
    }
    std::this_thread::sleep_for(kSocketRetryDelay);
  }
}

}  // namespace cometfold::net
