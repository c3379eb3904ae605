// Hand-over during an upgrade without downtime. A successor process of the same gateway receives the
// listening socket, and later the state, from its predecessor, over a Unix socket in a shared directory.
#pragma once

#include <sys/types.h>

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "net/descriptor_passing.h"
#include "net/error.h"

namespace cometfold::net {

// The socket at `path` can't be used for a hand-over.
class HandoverError : public Error {
 public:
  HandoverError(const std::string& path, std::string problem, const std::string& text)
      : Error({path, std::move(problem), {}}, text) {}
};

// In the predecessor: waits for a successor.
class SuccessorListener {
 public:
  struct Callbacks {
    std::function<int()> listening_socket;       // passed to the successor; the caller keeps its descriptor
    std::function<void()> on_successor_started;  // may call `hand_over`
    std::function<void()> on_successor_exited;   // before the hand-over
  };
  SuccessorListener(boost::asio::io_context& io, std::string path, Callbacks callbacks);
  ~SuccessorListener();
  SuccessorListener(const SuccessorListener&) = delete;
  SuccessorListener& operator=(const SuccessorListener&) = delete;

  // From now on a new process finds this one, and no longer an earlier one. A failure is logged.
  void listen();
  // Whether there is a successor that has neither exited nor declined. Checks the socket, as the event loop
  // may not have noticed yet: after a hand-over to such a process, the accept queue would be lost with it.
  bool has_successor();
  // Sends `state`, one line. `on_successor_exited` is not called after this.
  void hand_over(std::string state);

 private:
  using Stream = boost::asio::local::stream_protocol::socket;
  void accept();
  void accept_later();
  void accept_successor(Stream peer);
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
  ino_t inode_ = 0;  // of the socket file, if it is bound
};

// In the successor: the connection to its predecessor.
class Predecessor {
 public:
  struct Callbacks {
    std::function<void(OwnedFd listener)> on_socket;  // at most once, if `find` got none
    std::function<void(std::string state)> on_state;  // at most once
    std::function<void()> on_exit;                    // once, with or without `on_state` before
  };
  // Null if there is none at this path, or one that can't have a successor now. Waits for up to a second; if
  // the process does not answer in that time, the result has no listening socket yet. Throws HandoverError if
  // the process runs as another user.
  static std::unique_ptr<Predecessor> find(boost::asio::io_context& io, const std::string& path);

  // Owns nothing if the process has not answered: `on_socket` or `on_exit` follows.
  OwnedFd take_listening_socket();
  void start(Callbacks callbacks);
  // Tells the predecessor that this process is about to exit. One callback still follows: `on_exit` if the
  // predecessor keeps the clients, or `on_state` if it had already handed over.
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
