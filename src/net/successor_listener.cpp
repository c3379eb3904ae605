// The predecessor's side of a hand-over.
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <utility>

#include "net/handover.h"
#include "net/log.h"

namespace cometfold::net {
namespace asio = boost::asio;
using asio::local::stream_protocol;
using boost::system::error_code;

namespace {

constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr int kBacklog = 4;

// The identity of the file at this path; 0: there is none.
ino_t inode_at(const std::string& path) {
  struct stat file {};
  return ::lstat(path.c_str(), &file) == 0 ? file.st_ino : 0;
}

}  // namespace

SuccessorListener::SuccessorListener(asio::io_context& io, std::string path, Callbacks callbacks)
    : path_(std::move(path)), callbacks_(std::move(callbacks)), acceptor_(io), retry_timer_(io) {}

SuccessorListener::~SuccessorListener() {
  // A process that started after the listening socket was closed may have its own file there.
  const bool is_own = is_bound_ && inode_at(path_) == inode_;
  if (is_own && !handed_over_) ::unlink(path_.c_str());
}

void SuccessorListener::listen() {
  try {
    // An earlier process has exited or handed over, so its socket file is stale.
    ::unlink(path_.c_str());
    acceptor_.open();
    acceptor_.bind(stream_protocol::endpoint(path_));
    is_bound_ = true;
    inode_ = inode_at(path_);
    ::chmod(path_.c_str(), S_IRUSR | S_IWUSR);
    acceptor_.listen(kBacklog);
    accept();
  } catch (const boost::system::system_error& error) {
    log_line("can't listen for a successor process, no hand-over is possible",
             path_ + ": " + error.code().message());
  }
}

void SuccessorListener::accept() {
  acceptor_.async_accept([this](error_code error, Stream peer) {
    if (error == asio::error::operation_aborted) return;
    if (error) return accept_later();
    accept_successor(std::move(peer));
    if (!handed_over_) accept();
  });
}

void SuccessorListener::accept_later() {
  retry_timer_.expires_after(kAcceptRetryDelay);
  retry_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled && !handed_over_) accept();
  });
}

// Only one successor at a time: a third process gets no descriptor and finds the address in use.
void SuccessorListener::accept_successor(Stream peer) {
  if (successor_ || handed_over_ || !is_same_user(peer.native_handle())) return;
  if (!send_descriptor(peer.native_handle(), callbacks_.listening_socket())) return;
  successor_ = std::make_unique<Stream>(std::move(peer));
  log_line("a successor process has connected and waits for the hand-over");
  await_exit();
  callbacks_.on_successor_started();
}

void SuccessorListener::await_exit() {
  successor_->async_read_some(asio::buffer(&ignored_byte_, 1), [this](error_code error, std::size_t) {
    if (error == asio::error::operation_aborted || handed_over_) return;
    if (!error) return await_exit();
    successor_.reset();
    log_line("the successor process exited before the hand-over: this process keeps serving");
    callbacks_.on_successor_exited();
  });
}

bool SuccessorListener::has_successor() {
  if (!successor_) return false;
  char byte = 0;
  const auto peek = [&] { return ::recv(successor_->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT); };
  return retry_interrupted(peek) != 0;
}

void SuccessorListener::hand_over(std::string state) {
  if (!successor_ || handed_over_) return;
  handed_over_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  state_ = std::move(state) + "\n";
  asio::async_write(*successor_, asio::buffer(state_), [](error_code error, std::size_t) {
    if (error) log_line("sending the hand-over state to the successor process failed", error.message());
  });
}

}  // namespace cometfold::net
