#include "http2/grpc_client.h"

#include <charconv>
#include <optional>
#include <string>
#include <utility>

namespace cometfold::http2::grpc {

namespace {

std::string decoded(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned byte = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16).ptr == text.data() + i + 3) {
      out += static_cast<char>(byte);
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

Code by_http_status(std::string_view status) {
  if (status == "400") return Code::kInternal;
  if (status == "403") return Code::kPermissionDenied;
  if (status == "404") return Code::kUnimplemented;
  if (status == "429" || status == "502" || status == "503" || status == "504") return Code::kUnavailable;
  return Code::kUnknown;
}

Code by_error(ErrorCode code) {
  switch (code) {
    case NGHTTP2_REFUSED_STREAM:
      return Code::kUnavailable;
    case NGHTTP2_CANCEL:
      return Code::kCancelled;
    case NGHTTP2_ENHANCE_YOUR_CALM:
      return Code::kResourceExhausted;
    case NGHTTP2_INADEQUATE_SECURITY:
      return Code::kPermissionDenied;
    default:
      return Code::kInternal;
  }
}

class Exchange : public StreamEvents, public ClientCall {
 public:
  Exchange(std::unique_ptr<ClientCallEvents> events, std::size_t most)
      : events_(std::move(events)), reader_(most) {}
  void attach(Stream& stream) { stream_ = &stream; }

  void send(std::string_view message) override {
    std::string framed;
    framed.reserve(kPrefix + message.size());
    append_prefix(framed, message.size());
    framed += message;
    stream_->write(framed);
  }
  void half_close() override {
    half_closed_ = true;
    stream_->end();
  }
  void cancel() override { stream_->reset(NGHTTP2_CANCEL); }

  void on_headers(Ms, HeaderBlock headers) override {
    const auto status = find(headers, ":status");
    if (!status.empty() && status != "200")
      status_ = {by_http_status(status), "HTTP status " + std::string(status)};
    const auto code = find(headers, "grpc-status");
    if (code.empty()) return;
    int number = static_cast<int>(Code::kUnknown);
    std::from_chars(code.data(), code.data() + code.size(), number);
    status_ = {static_cast<Code>(number), decoded(find(headers, "grpc-message"))};
  }
  void on_data(Ms now, std::string_view bytes) override {
    if (status_) return;  // an HTTP error's page
    std::string_view message;
    while (reader_.next(bytes, message)) events_->on_message(now, message);
    if (reader_.status().code != Code::kOk) {
      status_ = reader_.status();
      cancel();
    }
  }
  void on_end(Ms) override {
    if (!half_closed_) cancel();  // the status is there: what is still to be sent is wanted by nobody
  }
  void on_closed(Ms now, ErrorCode code) override {
    if (!status_) {
      status_ = {code == NGHTTP2_NO_ERROR ? Code::kInternal : by_error(code),
                 "the stream ended without a status, code " + std::to_string(code)};
    }
    events_->on_status(now, *status_);
  }

 private:
  std::unique_ptr<ClientCallEvents> events_;
  MessageReader reader_;
  Stream* stream_ = nullptr;
  std::optional<Status> status_;
  bool half_closed_ = false;
};

}  // namespace

ClientCall* start_call(Session& session, std::string_view authority, std::string_view path,
                       const Headers& metadata, std::unique_ptr<ClientCallEvents> events,
                       std::size_t message_bytes) {
  Headers headers{{":method", "POST"},
                  {":scheme", "http"},
                  {":path", std::string(path)},
                  {":authority", std::string(authority)},
                  {"content-type", "application/grpc"},
                  {"te", "trailers"}};
  headers.insert(headers.end(), metadata.begin(), metadata.end());
  auto exchange = std::make_unique<Exchange>(std::move(events), message_bytes);
  Exchange* call = exchange.get();
  Stream* stream = session.request(headers, std::move(exchange), false);
  if (!stream) return nullptr;
  call->attach(*stream);
  return call;
}

}  // namespace cometfold::http2::grpc
