// One client connection on RESP2: commands in, answers out in their order, and what is owed on it. Does no
// I/O: its stream is given, time comes in with each call.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "engine/engine.h"
#include "resp/close_rules.h"
#include "resp/resp.h"
#include "resp/stream.h"

namespace cometfold::resp {

using engine::ResponseHandle;

// Sums over all client connections of a gateway, and their bounds.
struct ClientTotals {
  std::size_t max_unsent_bytes = 24 * 1024 * 1024;    // bytes of answers not yet taken
  std::size_t max_buffered_bytes = 24 * 1024 * 1024;  // bytes of buffers for commands, before large halves go
  std::size_t unsent_bytes = 0;
  std::size_t buffered_bytes = 0;
  std::uint64_t uses = 0;
  std::array<std::uint64_t, kCloseReasonCount> closed_by_reason{};
  std::uint64_t forbidden_closes = 0;  // by the rules of closing: each is a fault
};

// What a command has become.
struct CommandResult {
  std::uint64_t request_id = 0;  // to name if the client goes away before the answer; 0: nothing
  std::uint64_t identity = 0;    // the request's id on the wire, if it is one
  bool is_request = false;       // it was taken as a request
};

// Who owns connections. Calls come from inside the connection's own.
class ClientConnectionCallbacks {
 public:
  virtual ~ClientConnectionCallbacks() = default;
  // A well-framed command; the words last until the call returns.
  // `waited`: milliseconds since it may have come, where it was not read at once; its time counts from there.
  virtual CommandResult on_command(Ms now, ResponseHandle ticket, std::span<const Item> words, Ms waited) = 0;
  // The answer to a request with this identity is given and not all out: it waits behind others or for the
  // client to read. `on_reply_flushed` follows, when it is out or can't go out any more.
  virtual void on_reply_pending(std::uint64_t identity) = 0;
  virtual void on_reply_flushed(std::uint64_t identity) = 0;
  virtual void on_client_disconnected(Ms now, std::uint64_t name) = 0;
  // There is room again for the long value of the request of this name.
  virtual void on_client_writable(Ms, std::uint64_t) {}
  virtual void on_closed(std::uint64_t id) = 0;
  // Nothing is read from a connection for now: `ClientConnection::check_disconnected` must be called soon and
  // tells.
  virtual void on_reads_paused() {}
};

class ClientConnection : public StreamCallbacks {
 public:
  ClientConnection(ClientConnectionCallbacks& owner, ClientTotals& totals, std::uint64_t id, Ms now);

  void start(std::unique_ptr<Stream> stream);
  // What can be read now came as early as `came`.
  void set_arrival_bound(Ms came) { came_ = came, more_waits_ = true; }

  // `reply` is one whole RESP value. Does nothing if this place has its answer. Calls nobody back.
  void send_reply(Ms now, std::uint64_t place, std::string_view reply);
  // A long value instead of `send_reply`, in pieces. False: taken, and no more is wanted until
  // `ClientConnectionCallbacks::on_client_writable`. `send_reply` before its end cuts it off: if some of it
  // is out, the connection ends, so that the client can tell.
  void start_value(Ms now, std::uint64_t place, std::size_t size);
  bool append_value(Ms now, std::uint64_t place, std::string_view bytes);
  void finish_value(Ms now, std::uint64_t place);
  // An error line for what is no proper request. A client that makes many such mistakes is closed.
  void send_error(Ms now, std::uint64_t place, std::string_view why);

  bool is_idle() const { return slots_.empty() && out_.empty() && reader_.empty() && !lingering_; }
  // It has had an answer.
  bool has_replied() const { return first_ > 0; }
  // Its client has ended the connection or is gone, whether or not that has been told.
  bool client_disconnected() const { return closed_ || stream_->peer_closed(); }
  // Bytes that have come and are not read yet.
  std::size_t unread_bytes() const { return stream_->unread_bytes(); }
  // Has not yet said anything whole, and nothing is owed on it.
  bool is_silent() const { return first_ == 0 && slots_.empty() && !lingering_; }
  // How gladly this one is closed for a newcomer; 0: never, as something is owed on it.
  int eviction_priority() const;
  // What `may_close` is asked about.
  ConnectionState state(Ms now) const;
  // Larger: used later.
  std::uint64_t last_used() const { return used_; }

  // Closes after the next answer, or at once what is owed: what idles stays, as a request may be on its way.
  void close_after_next_reply() { last_ = true; }
  // Nobody new from here on: closes as soon as nothing is owed.
  void start_draining(Ms now);
  // Closes what says nothing, half of something or nothing more. To be called a few times a second.
  void close_if_timed_out(Ms now);
  // Closes if the client has gone while nothing is read from it.
  void check_disconnected(Ms now);
  // Unless `may_close` says no: that is counted as a fault, and it stays open.
  void close(Ms now, CloseReason why);

  void on_connected(Ms, bool) override {}
  void on_read(Ms now, std::size_t bytes, bool ended) override;
  void on_writable(Ms now, bool ok) override;
  void on_posted(Ms now) override;
  void digest(engine::Digest& into) const;

 private:
  struct Slot {
    CommandResult named;
    bool done = false;
    bool streams = false;  // a long value has begun
    bool full = false;     // ... and waits for room
    std::size_t counted = 0;
    std::string reply;
  };

  bool owes() const;
  void touch(Ms now);
  Slot* slot_at(std::uint64_t place);
  void emit(Ms now, std::uint64_t place, std::string_view bytes);
  void next_slots(Ms now);
  void cut();
  void tell_room(Ms now);
  void append(Ms now, std::string_view reply);
  bool must_hold_back() const;
  bool may_read_ahead() const;
  void read();
  void go_on_later();
  void go_on(Ms now);
  bool parse(Ms now);
  void write(Ms now);
  void linger(Ms now);
  bool close_if_allowed(Ms now, std::initializer_list<CloseReason> reasons);
  void keep_unsent(const CommandResult& named);

  ClientConnectionCallbacks& owner_;
  ClientTotals& totals_;
  std::uint64_t id_;
  std::unique_ptr<Stream> stream_;
  RespReader reader_;
  Frame frame_;
  std::deque<Slot> slots_;   // commands not yet answered, in their order
  std::uint64_t first_ = 0;  // place of the first of them
  std::string out_;
  std::size_t sent_ = 0;
  std::vector<std::uint64_t> unsent_;  // identities whose answers are not all out
  Ms moved_ = 0;                       // last progress
  Ms came_ = 0;                        // what is read now may have come as early as then
  bool more_waits_ = false;            // ... and so may what is read next
  Ms half_since_ = 0;                  // since when the next command is awaited or half here
  std::size_t offered_ = 0;            // space of the read that is awaited
  std::size_t buffered_ = 0, mistakes_ = 0;
  std::uint64_t used_ = 0;
  bool closed_ = false, reading_ = false, writing_ = false, write_failed_ = false;
  bool parsing_ = false, held_back_ = false, resuming_ = false, broken_ = false, lingering_ = false;
  bool room_due_ = false;
  bool last_ = false;          // close when nothing is owed any more
  bool winding_down_ = false;  // and what idles is closed too
};

}  // namespace cometfold::resp
