// Interfaces of the non-blocking byte streams that the connection state machines use. `src/net/` implements
// them with sockets, `src/explore/` with a simulation.
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

// A stream keeps its callbacks alive for as long as one of them may still be called. `on_read`, `on_writable`
// and `on_posted` are called once for each `read`, `await_writable` and `post`, never from inside that call,
// and possibly after `Stream::close`.
class StreamCallbacks : public std::enable_shared_from_this<StreamCallbacks> {
 public:
  virtual ~StreamCallbacks() = default;
  // Called once for a stream that was dialed. `up`: the connection is established.
  virtual void on_connected(Ms now, bool up) = 0;
  // `bytes` of the space passed to `read` are filled. `ended`: the peer has closed or disconnected.
  virtual void on_read(Ms now, std::size_t bytes, bool ended) = 0;
  // `ok`: the stream may be written to again; otherwise the peer has disconnected.
  virtual void on_writable(Ms now, bool ok) = 0;
  virtual void on_posted(Ms now) = 0;
};

class Stream {
 public:
  struct WriteResult {
    std::size_t bytes = 0;      // accepted
    bool blocked = false;       // no capacity for now: call `await_writable`
    bool disconnected = false;  // the peer has disconnected
  };
  virtual ~Stream() = default;
  virtual WriteResult write(std::string_view bytes) = 0;
  // `StreamCallbacks::on_writable` follows.
  virtual void await_writable() = 0;
  // `StreamCallbacks::on_read` follows; `space` must stay valid until then. Another call before that only
  // replaces the space. Bytes are taken from the socket only in the event that reports them: bytes that have
  // arrived and are not reported yet are counted by `unread_bytes`.
  virtual void read(std::span<char> space) = 0;
  // Drops a pending `read`: until the next one, bytes stay unread and `on_read` only reports that the peer
  // has closed. It may not be noticed behind unread bytes: see `peer_closed`.
  virtual void await_peer_close() = 0;
  // `StreamCallbacks::on_posted` follows, from the event loop.
  virtual void post() = 0;
  // Bytes that have arrived but have not been read.
  virtual std::size_t unread_bytes() = 0;
  // Bytes that were written but that the peer's system has not acknowledged; the end of the stream counts as
  // one. They are lost if the peer sends anything after `close`. 0 if the connection is broken.
  virtual std::size_t unacknowledged_bytes() { return 0; }
  // There are no unread bytes, and the peer has not closed or disconnected.
  virtual bool is_quiet() = 0;
  // The peer has closed or disconnected, even if bytes that it sent before have not been read.
  virtual bool peer_closed() = 0;
  // Acknowledges received bytes at once. The operating system may delay acknowledgements by about 40 ms, and
  // the peer's may hold back data for as long.
  virtual void send_pending_ack() {}
  // Closes the sending direction; the peer may still send.
  virtual void shutdown_send() = 0;
  virtual void close() = 0;
  // Closes the stream. What its system has not sent yet is dropped, where `close` would go on sending.
  virtual void abort() { close(); }
};

class Dialer {
 public:
  virtual ~Dialer() = default;
  // Starts to connect; `StreamCallbacks::on_connected` follows. Returns null if no socket is available.
  // `timeout`: milliseconds after which connecting fails.
  virtual std::unique_ptr<Stream> dial(const Address& address, Ms timeout, StreamCallbacks& callbacks) = 0;
  // Frees a file descriptor elsewhere when no socket is available. Returns false if that is not possible.
  virtual bool free_descriptor() = 0;
};

}  // namespace cometfold::resp
