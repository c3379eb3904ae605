// Byte streams as the connection state machines see them: non-blocking, with callbacks. `src/net/` implements
// them with sockets, the explorer with a simulation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::resp {

// Where a host listens: an IP address as text and a port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

// A stream keeps its callbacks alive for as long as one of them may still be called. Each of `on_read`,
// `on_writable` and `on_posted` is called once for each `read`, `await_writable` and `post`, never from
// inside that call, and maybe after `Stream::close`.
class StreamCallbacks : public std::enable_shared_from_this<StreamCallbacks> {
 public:
  virtual ~StreamCallbacks() = default;
  // Once, for a stream that was dialed. `up`: it is connected.
  virtual void on_connected(Ms now, bool up) = 0;
  // `bytes` of the space given to `read` are filled. `ended`: the peer has ended or is gone.
  virtual void on_read(Ms now, std::size_t bytes, bool ended) = 0;
  // `ok`: it may be written to again; else the peer is gone.
  virtual void on_writable(Ms now, bool ok) = 0;
  virtual void on_posted(Ms now) = 0;
};

class Stream {
 public:
  struct WriteResult {
    std::size_t bytes = 0;      // taken
    bool blocked = false;       // no capacity now: call `await_writable`
    bool disconnected = false;  // the peer is gone
  };
  virtual ~Stream() = default;
  virtual WriteResult write(std::string_view bytes) = 0;
  // `StreamCallbacks::on_writable` follows.
  virtual void await_writable() = 0;
  // `StreamCallbacks::on_read` follows; `space` must stay valid until then. Called again before that, it only
  // replaces the space. Bytes are taken from the peer in the event that reports them, never before: what has
  // arrived and is not reported is counted by `unread_bytes`.
  virtual void read(std::span<char> space) = 0;
  // Nothing is read any more, and a pending `read` is dropped: `on_read` reports the peer's end, if it comes.
  virtual void await_peer_close() = 0;
  // `StreamCallbacks::on_posted` follows, from the event loop.
  virtual void post() = 0;
  // Bytes that have arrived and are not read yet.
  virtual std::size_t unread_bytes() = 0;
  // Nothing unread has arrived, and the peer has not ended.
  virtual bool is_quiet() = 0;
  // The peer has ended or is gone, even if bytes that it sent before are not read yet.
  virtual bool peer_closed() = 0;
  // Acknowledges at once what has been read. The operating system may delay that by some 40 ms, and the
  // peer's holds back what it still has to send for as long.
  virtual void send_pending_ack() {}
  // Ends this side's sending; the peer may still send.
  virtual void shutdown_send() = 0;
  virtual void close() = 0;
};

class Dialer {
 public:
  virtual ~Dialer() = default;
  // Begins to connect; `StreamCallbacks::on_connected` follows. Null if there is no socket to be had.
  // `timeout` in milliseconds: after it the connection has failed.
  virtual std::unique_ptr<Stream> dial(const Address& address, Ms timeout, StreamCallbacks& callbacks) = 0;
  // There was no socket to be had: frees a descriptor elsewhere. False if that is not possible.
  virtual bool free_descriptor() = 0;
};

}  // namespace cometfold::resp
