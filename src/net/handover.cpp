#include "net/handover.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "net/log.h"
#include "ops/handover_state.h"

namespace cometfold::net {
namespace asio = boost::asio;
using asio::local::stream_protocol;
using boost::system::error_code;

namespace {

constexpr int kAnswerWithinMs = 1000;
constexpr auto kAcceptAgain = std::chrono::milliseconds(20);
constexpr char kHello = 'L';  // goes with the listening socket

// Danger: in a directory that others can write, anybody could offer a socket or ask for one.
bool same_user(int fd) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::getuid();
}

// Danger: EINTR at the start of a process looked like a predecessor that has nothing to give, and then its
// address was in use.
template <class Call>
auto uninterrupted(Call&& call) {
  decltype(call()) result;
  do {
    result = call();
  } while (result < 0 && errno == EINTR);
  return result;
}

// One byte with room for one descriptor beside it, for sendmsg and recvmsg. Stays where it is.
struct Parcel {
  Parcel() {
    message.msg_iov = &data;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
  }
  Parcel(const Parcel&) = delete;
  Parcel& operator=(const Parcel&) = delete;

  char byte = 0;
  iovec data{&byte, 1};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};
};

bool send_descriptor(int over, int fd) {
  Parcel parcel;
  parcel.byte = kHello;
  cmsghdr* head = CMSG_FIRSTHDR(&parcel.message);
  head->cmsg_level = SOL_SOCKET;
  head->cmsg_type = SCM_RIGHTS;
  head->cmsg_len = CMSG_LEN(sizeof(int));
  std::memcpy(CMSG_DATA(head), &fd, sizeof fd);
  return uninterrupted([&] { return ::sendmsg(over, &parcel.message, MSG_NOSIGNAL); }) == 1;
}

bool readable_within(int over, int ms) {
  pollfd wait{over, POLLIN, 0};
  return uninterrupted([&] { return ::poll(&wait, 1, ms); }) > 0;
}

// Of what is there to read.
OwnedFd receive_descriptor(int over) {
  Parcel parcel;
  const auto taken = uninterrupted([&] { return ::recvmsg(over, &parcel.message, MSG_CMSG_CLOEXEC); });
  if (taken != 1 || parcel.byte != kHello) return OwnedFd();
  const cmsghdr* head = CMSG_FIRSTHDR(&parcel.message);
  if (!head || head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS ||
      head->cmsg_len != CMSG_LEN(sizeof(int))) {
    return OwnedFd();
  }
  int fd = -1;
  std::memcpy(&fd, CMSG_DATA(head), sizeof fd);
  return OwnedFd(fd);
}

}  // namespace

OwnedFd& OwnedFd::operator=(OwnedFd&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}
OwnedFd::~OwnedFd() {
  if (fd_ >= 0) ::close(fd_);
}
int OwnedFd::release() { return std::exchange(fd_, -1); }

// ---- the first process ----

Handover::Handover(asio::io_context& io, std::string path, Events events)
    : io_(io), path_(std::move(path)), events_(std::move(events)), acceptor_(io), again_(io) {}

Handover::~Handover() {
  if (bound_ && !handed_) ::unlink(path_.c_str());
}

void Handover::listen() {
  try {
    // Whoever was there is dead or has handed over: its file is only a name.
    ::unlink(path_.c_str());
    acceptor_.open();
    acceptor_.bind(stream_protocol::endpoint(path_));
    bound_ = true;
    ::chmod(path_.c_str(), S_IRUSR | S_IWUSR);
    acceptor_.listen(4);
    accept();
  } catch (const boost::system::system_error& error) {
    log_line("no upgrade beside this process", path_ + ": " + error.code().message());
  }
}

void Handover::accept() {
  acceptor_.async_accept([this](error_code error, Stream peer) {
    if (error == asio::error::operation_aborted) return;
    if (error) return accept_later();
    welcome(std::move(peer));
    accept();
  });
}

// Danger: a call that fails for a moment would leave this process without a successor for good.
void Handover::accept_later() {
  again_.expires_after(kAcceptAgain);
  again_.async_wait([this](error_code stopped) {
    if (!stopped && !handed_) accept();
  });
}

// One at a time: a third process is turned away, and says at its start that the address is in use.
void Handover::welcome(Stream peer) {
  if (successor_ || handed_ || !same_user(peer.native_handle())) return;
  if (!send_descriptor(peer.native_handle(), events_.listening_socket())) return;
  successor_ = std::make_unique<Stream>(std::move(peer));
  log_line("a second process is there to take over");
  events_.came();
  await_end();
}

void Handover::await_end() {
  successor_->async_read_some(asio::buffer(&byte_, 1), [this](error_code error, std::size_t) {
    if (error == asio::error::operation_aborted || handed_) return;
    if (!error) return await_end();
    successor_.reset();
    log_line("the second process has ended before it took over");
    events_.left();
  });
}

// Danger: a successor that was told to end itself would take the listening socket and its queue with it.
bool Handover::has_successor() {
  if (!successor_) return false;
  char byte = 0;
  const auto look = [&] { return ::recv(successor_->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT); };
  return uninterrupted(look) != 0;
}

void Handover::hand_over(std::string state) {
  if (!successor_ || handed_) return;
  handed_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  state_ = std::move(state) + "\n";
  asio::async_write(*successor_, asio::buffer(state_), [](error_code error, std::size_t) {
    if (error) log_line("the second process did not take the state", error.message());
  });
}

// ---- the second process ----

std::unique_ptr<Predecessor> Predecessor::find(asio::io_context& io, const std::string& path) {
  if (path.size() >= sizeof(sockaddr_un::sun_path))
    return nullptr;  // no socket has such a name; see `listen`
  Stream stream(io);
  error_code error;
  stream.connect(stream_protocol::endpoint(path), error);
  if (error) return nullptr;  // no such file, or only the name of one that has died
  if (!same_user(stream.native_handle())) throw std::runtime_error("another user's process is at " + path);
  // Danger: one that hangs holds the address, and it alone could free it. It is waited for, not given up.
  const bool hangs = !readable_within(stream.native_handle(), kAnswerWithinMs);
  OwnedFd listener = hangs ? OwnedFd() : receive_descriptor(stream.native_handle());
  if (!hangs && listener.get() < 0) return nullptr;  // it ends just now, or has given it to another
  return std::unique_ptr<Predecessor>(new Predecessor(std::move(stream), std::move(listener)));
}

void Predecessor::listen_to(Events events) {
  events_ = std::move(events);
  listener_.get() < 0 && !taken_ ? await_listener() : read();
}

void Predecessor::decline() {
  error_code ignored;
  stream_.shutdown(Stream::shutdown_send, ignored);
}

void Predecessor::await_listener() {
  stream_.async_wait(Stream::wait_read, [this](error_code error) {
    if (error == asio::error::operation_aborted) return;
    OwnedFd listener = error ? OwnedFd() : receive_descriptor(stream_.native_handle());
    if (listener.get() < 0) return events_.gone();
    events_.socket(std::move(listener));
    read();
  });
}

void Predecessor::read() {
  stream_.async_read_some(asio::buffer(part_), [this](error_code error, std::size_t bytes) {
    if (error == asio::error::operation_aborted) return;
    if (error) return events_.gone();
    if (!begun_) text_.append(part_, bytes);
    if (const auto end = text_.find('\n'); !begun_ && end != std::string::npos) {
      begun_ = true;
      text_.resize(end);
      events_.begin(std::exchange(text_, {}));
    }
    if (text_.size() > ops::kMaxHandoverBytes) return events_.gone();
    read();
  });
}

}  // namespace cometfold::net
