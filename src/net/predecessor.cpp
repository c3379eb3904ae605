// The successor's side of a hand-over.
#include <sys/un.h>

#include <utility>

#include "net/handover.h"
#include "net/socket_retry.h"
#include "ops/handover_state.h"

namespace cometfold::net {
namespace asio = boost::asio;
using asio::local::stream_protocol;
using boost::system::error_code;

namespace {

constexpr int kListeningSocketTimeoutMs = 1000;

}  // namespace

std::unique_ptr<Predecessor> Predecessor::find(asio::io_context& io, const std::string& path) {
  // Too long for the name of a socket; SuccessorListener::listen logs it.
  if (path.size() >= sizeof(sockaddr_un::sun_path)) return nullptr;
  Stream stream(io);
  retry_while_out_of_sockets([&] { stream.open(); });
  error_code error;
  stream.connect(stream_protocol::endpoint(path), error);
  if (error) return nullptr;  // no such file, or one left behind by a dead process
  const int socket = stream.native_handle();
  if (!is_same_user(socket)) {
    throw HandoverError(path, "another user's process listens there",
                        "another user's process listens at " + path);
  }
  // An unresponsive process still uses the address, so it has to be waited for.
  const bool is_unresponsive = !is_readable_within(socket, kListeningSocketTimeoutMs);
  OwnedFd listener = is_unresponsive ? OwnedFd() : receive_descriptor(socket);
  if (!is_unresponsive && listener.get() < 0) return nullptr;  // it exits or has another successor
  return std::unique_ptr<Predecessor>(new Predecessor(std::move(stream), std::move(listener)));
}

OwnedFd Predecessor::take_listening_socket() {
  listener_taken_ = listener_.get() >= 0;
  return std::move(listener_);
}

void Predecessor::start(Callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  if (listener_.get() < 0 && !listener_taken_) {
    await_listener();
  } else {
    read();
  }
}

void Predecessor::decline() {
  error_code ignored;
  stream_.shutdown(Stream::shutdown_send, ignored);
}

void Predecessor::await_listener() {
  stream_.async_wait(Stream::wait_read, [this](error_code error) {
    if (error == asio::error::operation_aborted) return;
    OwnedFd listener = error ? OwnedFd() : receive_descriptor(stream_.native_handle());
    if (listener.get() < 0) return callbacks_.on_exit();
    callbacks_.on_socket(std::move(listener));
    read();
  });
}

void Predecessor::read() {
  stream_.async_read_some(asio::buffer(buffer_), [this](error_code error, std::size_t bytes) {
    if (error == asio::error::operation_aborted) return;
    if (error) return callbacks_.on_exit();
    if (!state_received_) text_.append(buffer_, bytes);
    const auto end = text_.find('\n');
    if (!state_received_ && end != std::string::npos) {
      state_received_ = true;
      text_.resize(end);
      callbacks_.on_state(std::exchange(text_, {}));
    }
    if (text_.size() > ops::kMaxHandoverBytes) return callbacks_.on_exit();
    read();
  });
}

}  // namespace cometfold::net
