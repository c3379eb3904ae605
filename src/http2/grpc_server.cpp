#include "http2/grpc_server.h"

#include <utility>

namespace cometfold::http2::grpc {

namespace {

void answer_plain(Stream& stream, const char* status, const char* why) {
  stream.respond({{":status", status}, {"content-type", "text/plain"}});
  stream.write(why);
  stream.finish();
}

// The response of a call that ends before it begins: headers only.
void answer_status(Stream& stream, const Status& status) {
  Headers headers{{":status", "200"}, {"content-type", "application/grpc"}};
  for (auto& t : trailers(status)) headers.push_back(std::move(t));
  stream.respond(headers, true);
}

const Headers kResponse{{":status", "200"}, {"content-type", "application/grpc"}};

}  // namespace

class Connection::Exchange : public StreamEvents, public Call {
 public:
  Exchange(Connection& owner, Stream& stream, Ms now)
      : owner_(owner), stream_(stream), reader_(owner.limits_.message_bytes), since_(now) {
    next_ = owner.silent_;
    if (next_) next_->previous_ = this;
    owner.silent_ = this;
  }
  ~Exchange() override { heard(); }

  void open(Ms now, Service& service, HeaderBlock headers) { events_ = service.open(now, *this, headers); }

  // Call
  void send(std::string_view message) override {
    if (finished_) return;
    std::string prefix;
    append_prefix(prefix, message.size());
    last_ = prefix.size() + message.size();
    stream_.respond(kResponse);
    stream_.write(prefix);
    stream_.write(message);
  }
  bool take_back() override {
    if (last_ == 0 || finished_ || !stream_.take_back(last_)) return false;
    last_ = 0;
    return true;
  }
  void finish(const Status& status) override {
    if (finished_) return;
    finished_ = true;
    if (!stream_.responded()) return answer_status(stream_, status);
    stream_.finish(trailers(status));
  }

  // StreamEvents
  void on_headers(Ms, HeaderBlock) override {}  // trailers of a request: gRPC has none
  void on_data(Ms now, std::string_view bytes) override {
    const auto before = reader_.held();
    std::string_view message;
    while (!finished_ && reader_.next(bytes, message)) {
      heard();
      owner_.session_.earn();
      events_->on_message(now, message);
    }
    owner_.unread_ += reader_.held() - before;
    if (finished_) return;
    if (reader_.status().code != Code::kOk) return finish(reader_.status());
    if (owner_.unread_ > owner_.limits_.unread_bytes) {
      finish({Code::kResourceExhausted, "too many messages of this connection are half sent"});
    }
  }
  void on_end(Ms now) override {
    if (finished_) return;
    if (!reader_.clean()) return finish({Code::kInternal, "the call ended inside a message"});
    events_->on_half_closed(now);
  }
  void on_closed(Ms now, ErrorCode) override {
    finished_ = true;
    owner_.unread_ -= reader_.held();
    if (events_) events_->on_gone(now);
  }

  Exchange* next() const { return next_; }
  Ms since() const { return since_; }

 private:
  // It has said something, or is over: it leaves the list.
  void heard() {
    if (heard_) return;
    heard_ = true;
    (previous_ ? previous_->next_ : owner_.silent_) = next_;
    if (next_) next_->previous_ = previous_;
  }

  Connection& owner_;
  Stream& stream_;
  std::unique_ptr<CallEvents> events_;
  MessageReader reader_;
  std::size_t last_ = 0;  // bytes of the latest message sent
  Ms since_;
  Exchange *previous_ = nullptr, *next_ = nullptr;
  bool heard_ = false, finished_ = false;
};

Connection::Connection(const ServerLimits& limits, Methods& methods, SessionEvents& owner, Ms now)
    : limits_(limits), methods_(methods), owner_(owner), session_(Role::kServer, limits.http2, *this, now) {}
Connection::~Connection() = default;

std::unique_ptr<StreamEvents> Connection::on_request(Ms now, Stream& stream, HeaderBlock headers) {
  if (find(headers, ":method") != "POST") {
    answer_plain(stream, "405", "gRPC calls are made by POST\n");
    return {};
  }
  if (!is_grpc(find(headers, "content-type"))) {
    answer_plain(stream, "415", "the content-type of gRPC calls is application/grpc\n");
    return {};
  }
  const auto path = find(headers, ":path");
  Service* service = methods_.find(path);
  if (!service) {
    answer_status(stream, {Code::kUnimplemented, "no method " + std::string(path.substr(0, 200))});
    return {};
  }
  auto exchange = std::make_unique<Exchange>(*this, stream, now);
  exchange->open(now, *service, headers);
  return exchange;
}

void Connection::sweep(Ms now) {
  for (Exchange* e = silent_; e;) {
    Exchange* next = e->next();
    if (now - e->since() >= limits_.first_message) {
      e->finish({Code::kDeadlineExceeded, "the call said nothing for too long"});
    }
    e = next;
  }
}

}  // namespace cometfold::http2::grpc
