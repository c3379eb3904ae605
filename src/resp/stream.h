// A byte stream as the connection state machines see it: non-blocking, with what happens told as events. The
// sockets of `src/net/` are one kind, the explorer's simulated ones another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::resp {

// Where a host listens, in words: an IP address and a port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

// What a stream tells. A stream keeps its listener alive for as long as an event may still come. Each of
// `on_read`, `on_writable` and `on_posted` comes once for each call that asked for it, not from inside it,
// and may still come after `close`.
class StreamCallbacks : public std::enable_shared_from_this<StreamCallbacks> {
 public:
  virtual ~StreamCallbacks() = default;
  virtual void on_connected(Ms now, bool up) = 0;  // once, for a stream that was dialled
  virtual void on_read(Ms now, std::size_t bytes, bool ended) = 0;
  virtual void on_writable(Ms now, bool ok) = 0;
  virtual void on_posted(Ms now) = 0;
};

class Stream {
 public:
  struct WriteResult {
    std::size_t bytes = 0;
    bool blocked = false;       // no room now: `await_writable` tells when there is
    bool disconnected = false;  // the other side is gone
  };
  virtual ~Stream() = default;
  virtual WriteResult write(std::string_view bytes) = 0;
  virtual void await_writable() = 0;
  // `prepare` must stay where it is until `on_read`. Asked once more before that, it only gives another
  // space. Bytes are taken from the other side inside the turn that tells of them and never before: what has
  // come and was not told is counted by `unread`.
  virtual void read(std::span<char> space) = 0;
  // Nothing is read any more, not even what was asked for: `on_read` tells the other side's end, if it comes.
  virtual void await_peer_close() = 0;
  virtual void post() = 0;
  // Bytes that have come and are not read yet.
  virtual std::size_t unread_bytes() = 0;
  // Nothing has come that is not read yet, and the other side has not ended.
  virtual bool is_quiet() = 0;
  // The other side has ended or is gone, whatever it sent before and is not read yet.
  virtual bool peer_closed() = 0;
  // Tells the other side's system at once what has been read. Without that a system may wait some 40 ms with
  // it, and the other one holds back what it has still to send for as long.
  virtual void send_pending_ack() {}
  virtual void shutdown_send() = 0;
  virtual void close() = 0;
};

class Dialer {
 public:
  virtual ~Dialer() = default;
  // Null if there is no socket to be had. `timeout` in milliseconds; then the stream counts as not up.
  virtual std::unique_ptr<Stream> dial(const Address& at, Ms timeout, StreamCallbacks& events) = 0;
  // Asked when a socket can't be had: makes room elsewhere if it can.
  virtual bool free_descriptor() = 0;
};

}  // namespace cometfold::resp
