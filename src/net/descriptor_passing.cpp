#include "net/descriptor_passing.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <utility>

namespace cometfold::net {

namespace {

constexpr char kDescriptorByte = 'L';  // the data byte sent along with a descriptor

// Buffers for a message of one byte and one descriptor, for sendmsg and recvmsg. `header` points into the
// object itself, so it is not copyable.
struct DescriptorMessage {
  DescriptorMessage() {
    header.msg_iov = &data;
    header.msg_iovlen = 1;
    header.msg_control = control;
    header.msg_controllen = sizeof control;
  }
  DescriptorMessage(const DescriptorMessage&) = delete;
  DescriptorMessage& operator=(const DescriptorMessage&) = delete;

  char byte = 0;
  iovec data{&byte, 1};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr header{};
};

}  // namespace

OwnedFd& OwnedFd::operator=(OwnedFd&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}
OwnedFd::~OwnedFd() {
  if (fd_ >= 0) ::close(fd_);
}
int OwnedFd::release() { return std::exchange(fd_, -1); }

bool is_same_user(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::getuid();
}

bool send_descriptor(int socket, int fd) {
  DescriptorMessage message;
  message.byte = kDescriptorByte;
  cmsghdr* control = CMSG_FIRSTHDR(&message.header);
  control->cmsg_level = SOL_SOCKET;
  control->cmsg_type = SCM_RIGHTS;
  control->cmsg_len = CMSG_LEN(sizeof(int));
  std::memcpy(CMSG_DATA(control), &fd, sizeof fd);
  return retry_interrupted([&] { return ::sendmsg(socket, &message.header, MSG_NOSIGNAL); }) == 1;
}

OwnedFd receive_descriptor(int socket) {
  DescriptorMessage message;
  const auto received =
      retry_interrupted([&] { return ::recvmsg(socket, &message.header, MSG_CMSG_CLOEXEC); });
  if (received != 1 || message.byte != kDescriptorByte) return OwnedFd();
  const cmsghdr* control = CMSG_FIRSTHDR(&message.header);
  if (!control || control->cmsg_level != SOL_SOCKET || control->cmsg_type != SCM_RIGHTS ||
      control->cmsg_len != CMSG_LEN(sizeof(int))) {
    return OwnedFd();
  }
  int fd = -1;
  std::memcpy(&fd, CMSG_DATA(control), sizeof fd);
  return OwnedFd(fd);
}

bool is_readable_within(int socket, int timeout_ms) {
  pollfd request{socket, POLLIN, 0};
  return retry_interrupted([&] { return ::poll(&request, 1, timeout_ms); }) > 0;
}

}  // namespace cometfold::net
