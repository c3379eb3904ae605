#include "http2/grpc_server.h"

#include <utility>

namespace cometfold::http2::grpc {

namespace {

constexpr std::size_t kMaxEchoedPathBytes = 200;

void respond_with_text(Stream& stream, const char* status, const char* message) {
  stream.respond({{":status", status}, {"content-type", "text/plain"}});
  stream.write(message);
  stream.finish();
}

// Sends a trailers-only response, for a call that ends before any message was sent.
void respond_with_status(Stream& stream, const Status& status) {
  Headers headers{{":status", "200"}, {"content-type", "application/grpc"}};
  for (Header& trailer : trailers(status)) headers.push_back(std::move(trailer));
  stream.respond(headers, true);
}

const Headers kResponseHeaders{{":status", "200"}, {"content-type", "application/grpc"}};

}  // namespace

class Connection::Exchange : public StreamEvents, public Call {
 public:
  Exchange(Connection& owner, Stream& stream, Ms now)
      : owner_(owner), stream_(stream), reader_(owner.limits_.max_message_bytes), opened_at_(now) {
    next_ = owner.first_silent_;
    if (next_) next_->previous_ = this;
    owner.first_silent_ = this;
  }
  ~Exchange() override { leave_silent_list(); }

  void open(Ms now, Service& service, HeaderBlock headers) { events_ = service.open(now, *this, headers); }

  // Call
  void send(std::string_view message) override {
    if (finished_) return;
    std::string prefix;
    append_prefix(prefix, message.size());
    last_message_bytes_ = prefix.size() + message.size();
    stream_.respond(kResponseHeaders);
    stream_.write(prefix);
    stream_.write(message);
  }
  bool withdraw() override {
    if (last_message_bytes_ == 0 || finished_ || !stream_.withdraw(last_message_bytes_)) return false;
    last_message_bytes_ = 0;
    return true;
  }
  void finish(const Status& status) override {
    if (finished_) return;
    finished_ = true;
    if (!stream_.responded()) return respond_with_status(stream_, status);
    stream_.finish(trailers(status));
  }

  // StreamEvents
  void on_headers(Ms, HeaderBlock) override {}  // trailers of the request: gRPC does not use them
  void on_data(Ms now, std::string_view bytes) override {
    const auto before = reader_.buffered_bytes();
    std::string_view message;
    while (!finished_ && reader_.next(bytes, message)) {
      leave_silent_list();
      owner_.session_.on_work_done();
      events_->on_message(now, message);
    }
    owner_.incomplete_bytes_ += reader_.buffered_bytes() - before;
    if (finished_) return;
    if (reader_.status().code != Code::kOk) return finish(reader_.status());
    if (owner_.incomplete_bytes_ > owner_.limits_.max_incomplete_bytes) {
      finish({Code::kResourceExhausted, "too many messages of this connection are half sent"});
    }
  }
  void on_end(Ms now) override {
    if (finished_) return;
    if (!reader_.empty()) return finish({Code::kInternal, "the call ended inside a message"});
    events_->on_half_closed(now);
  }
  void on_closed(Ms now, ErrorCode) override {
    finished_ = true;
    owner_.incomplete_bytes_ -= reader_.buffered_bytes();
    if (events_) events_->on_call_closed(now);
  }

  Exchange* next() const { return next_; }
  Ms opened_at() const { return opened_at_; }

 private:
  // Called after the first message and when the call is destroyed.
  void leave_silent_list() {
    if (!silent_) return;
    silent_ = false;
    (previous_ ? previous_->next_ : owner_.first_silent_) = next_;
    if (next_) next_->previous_ = previous_;
  }

  Connection& owner_;
  Stream& stream_;
  std::unique_ptr<CallEvents> events_;
  MessageReader reader_;
  std::size_t last_message_bytes_ = 0;  // latest message sent, with prefix; 0: nothing to withdraw
  Ms opened_at_;
  Exchange* previous_ = nullptr;
  Exchange* next_ = nullptr;
  bool silent_ = true;  // in the list of calls that have received no message
  bool finished_ = false;
};

Connection::Connection(const ServerLimits& limits, Methods& methods, SessionEvents& owner, Ms now)
    : limits_(limits), methods_(methods), owner_(owner), session_(Role::kServer, limits.http2, *this, now) {}
Connection::~Connection() = default;

std::unique_ptr<StreamEvents> Connection::on_request(Ms now, Stream& stream, HeaderBlock headers) {
  if (find(headers, ":method") != "POST") {
    respond_with_text(stream, "405", "gRPC calls are made by POST\n");
    return {};
  }
  if (!is_grpc(find(headers, "content-type"))) {
    respond_with_text(stream, "415", "the content-type of gRPC calls is application/grpc\n");
    return {};
  }
  const auto path = find(headers, ":path");
  Service* service = methods_.find(path);
  if (!service) {
    respond_with_status(
        stream, {Code::kUnimplemented, "no method " + std::string(path.substr(0, kMaxEchoedPathBytes))});
    return {};
  }
  auto exchange = std::make_unique<Exchange>(*this, stream, now);
  exchange->open(now, *service, headers);
  return exchange;
}

void Connection::sweep(Ms now) {
  for (Exchange* call = first_silent_; call;) {
    Exchange* next = call->next();
    if (now - call->opened_at() >= limits_.first_message_timeout_ms) {
      call->finish({Code::kDeadlineExceeded, "the call said nothing for too long"});
    }
    call = next;
  }
}

}  // namespace cometfold::http2::grpc
