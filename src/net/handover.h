// An upgrade beside oneself: a second process of the same gateway takes the listening socket, and later the
// customers' state, from the first, over a Unix socket in the directory that both have. Linux: unix(7),
// SCM_RIGHTS.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>

namespace cometfold::net {

// A descriptor that is closed with its owner.
class OwnedFd {
 public:
  explicit OwnedFd(int fd = -1) : fd_(fd) {}
  OwnedFd(OwnedFd&& other) noexcept : fd_(other.release()) {}
  OwnedFd& operator=(OwnedFd&& other) noexcept;
  ~OwnedFd();
  int get() const { return fd_; }
  int release();

 private:
  int fd_;
};

// In the first process: waits for a second one.
class Handover {
 public:
  struct Events {
    std::function<int()> listening_socket;  // to be given; stays its owner's
    std::function<void()> came;             // a second process has it
    std::function<void()> left;             // ... and has ended, or broken off, before it was told to begin
  };
  Handover(boost::asio::io_context& io, std::string path, Events events);
  ~Handover();

  // From now on a second process finds this one. Takes the place of whoever was there.
  void listen();
  // There is one, and it has not ended or declined, told of or not.
  bool has_successor();
  // Tells the second process to begin, with `state`, one line. Its wish is not heard any more.
  void hand_over(std::string state);

 private:
  using Stream = boost::asio::local::stream_protocol::socket;
  void accept();
  void accept_later();
  void welcome(Stream peer);
  void await_end();

  boost::asio::io_context& io_;
  std::string path_;
  Events events_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  boost::asio::steady_timer again_;
  std::unique_ptr<Stream> successor_;
  std::string state_;
  char byte_ = 0;
  bool handed_ = false, bound_ = false;
};

// In the second process: the first one.
class Predecessor {
 public:
  struct Events {
    std::function<void(OwnedFd listener)> socket;  // at most once, if `find` got none
    std::function<void(std::string state)> begin;  // at most once
    std::function<void()> gone;                    // once, with or without `begin` before
  };
  // Null if there is none at this path, or one that has no place for this process. Waits a second at most;
  // one that says nothing for as long hangs, and is there without a listening socket. Throws
  // std::runtime_error if it is another user's.
  static std::unique_ptr<Predecessor> find(boost::asio::io_context& io, const std::string& path);

  // Empty if it hangs: the socket comes by an event, or it ends.
  OwnedFd take_listening_socket() {
    taken_ = listener_.get() >= 0;
    return std::move(listener_);
  }
  void listen_to(Events events);
  // This process is to end. One of the two still follows: `gone`, as the first goes on without it, or
  // `begin`, where that had handed over already.
  void decline();

 private:
  using Stream = boost::asio::local::stream_protocol::socket;
  Predecessor(Stream stream, OwnedFd listener) : stream_(std::move(stream)), listener_(std::move(listener)) {}
  void read();
  void await_listener();

  Stream stream_;
  OwnedFd listener_;
  Events events_;
  std::string text_;
  char part_[16384];
  bool begun_ = false, taken_ = false;
};

}  // namespace cometfold::net
