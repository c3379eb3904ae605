// File descriptors: ownership, and passing one to another process over a Unix socket. Linux: unix(7),
// SCM_RIGHTS.
#pragma once

#include <cerrno>

namespace cometfold::net {

// Owns a file descriptor and closes it when destroyed; -1: none.
class OwnedFd {
 public:
  explicit OwnedFd(int fd = -1) : fd_(fd) {}
  OwnedFd(OwnedFd&& other) noexcept : fd_(other.release()) {}
  OwnedFd& operator=(OwnedFd&& other) noexcept;
  ~OwnedFd();
  int get() const { return fd_; }
  // Passes ownership to the caller.
  int release();

 private:
  int fd_;
};

// Repeats a system call that a signal has interrupted.
template <class Call>
auto retry_interrupted(Call&& call) {
  decltype(call()) result;
  do {
    result = call();
  } while (result < 0 && errno == EINTR);
  return result;
}

// Whether the process at the other end of a Unix socket runs as this process's user. If other users can write
// to the socket's directory, any of them could create the socket or connect to it.
bool is_same_user(int socket);

// Sends a copy of `fd`. False if it can't be sent at once.
bool send_descriptor(int socket, int fd);
// Receives a message; the result owns nothing if that has no descriptor.
OwnedFd receive_descriptor(int socket);
bool is_readable_within(int socket, int timeout_ms);

}  // namespace cometfold::net
