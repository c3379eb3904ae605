// An upgrade without interruption: a second process of the same gateway takes the listening socket, and later
// the customers' state, from the first, over a Unix socket in the directory that both have.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "net/descriptor_passing.h"
#include "net/error.h"

namespace cometfold::net {

// The socket at `path` can't be used for a handover.
class HandoverError : public Error {
 public:
  HandoverError(const std::string& path, std::string problem, const std::string& text)
      : Error({path, std::move(problem), {}}, text) {}
};

// In the first process: waits for a second one.
class SuccessorListener {
 public:
  struct Callbacks {
    std::function<int()> listening_socket;  // to be passed on; stays the caller's
    std::function<void()> on_successor_started;
    std::function<void()> on_successor_exited;  // before it was handed over to
  };
  SuccessorListener(boost::asio::io_context& io, std::string path, Callbacks callbacks);
  ~SuccessorListener();
  SuccessorListener(const SuccessorListener&) = delete;
  SuccessorListener& operator=(const SuccessorListener&) = delete;

  // From now on a second process finds this one, and no longer an earlier one. Logs it if that fails.
  void listen();
  // Whether there is a successor that has neither exited nor declined, even if that has not been read yet: if
  // it were handed over to, the listening socket and its queue would be lost with it.
  bool has_successor();
  // Sends `state`, one line. `on_successor_exited` does not come any more.
  void hand_over(std::string state);

 private:
  using Stream = boost::asio::local::stream_protocol::socket;
  void accept();
  void accept_later();
  void greet(Stream peer);
  void await_exit();

  std::string path_;
  Callbacks callbacks_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  std::unique_ptr<Stream> successor_;
  std::string state_;  // while it is sent
  char ignored_byte_ = 0;
  bool handed_over_ = false;
  bool is_bound_ = false;
};

// In the second process: the first one.
class Predecessor {
 public:
  struct Callbacks {
    std::function<void(OwnedFd listener)> on_socket;  // at most once, if `find` got none
    std::function<void(std::string state)> on_state;  // at most once
    std::function<void()> on_exit;                    // once, with or without `on_state` before
  };
  // Null if there is none at this path, or one that can't have a successor now. Waits up to a second; a
  // process that does not answer in that time is there without a listening socket. Throws HandoverError if it
  // is another user's.
  static std::unique_ptr<Predecessor> find(boost::asio::io_context& io, const std::string& path);

  // Owns nothing if the process does not answer: `on_socket` or `on_exit` follows.
  OwnedFd take_listening_socket();
  void start(Callbacks callbacks);
  // This process is to end. Either callback still follows: `on_exit`, as the first process keeps the clients,
  // or `on_state`, if it had handed over already.
  void decline();

 private:
  using Stream = boost::asio::local::stream_protocol::socket;
  Predecessor(Stream stream, OwnedFd listener) : stream_(std::move(stream)), listener_(std::move(listener)) {}
  void read();
  void await_listener();

  Stream stream_;
  OwnedFd listener_;
  Callbacks callbacks_;
  std::string text_;
  char buffer_[16384];
  bool state_received_ = false;
  bool listener_taken_ = false;
};

}  // namespace cometfold::net
