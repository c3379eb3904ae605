#include "http2/grpc_client.h"

#include <charconv>
#include <optional>
#include <string>
#include <utility>

namespace cometfold::http2::grpc {

namespace {

std::string percent_decoded(std::string_view text) {
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

Code code_of_http_status(std::string_view status) {
  if (status == "400") return Code::kInternal;
  if (status == "403") return Code::kPermissionDenied;
  if (status == "404") return Code::kUnimplemented;
  if (status == "429" || status == "502" || status == "503" || status == "504") return Code::kUnavailable;
  return Code::kUnknown;
}

Code code_of_stream_error(ErrorCode code) {
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
  Exchange(std::unique_ptr<ClientCallEvents> events, std::size_t max_message_bytes)
      : events_(std::move(events)), reader_(max_message_bytes) {}
  void attach(Stream& stream) { stream_ = &stream; }

  void send(std::string_view message) override {
    std::string framed;
    framed.reserve(kPrefixBytes + message.size());
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
    const auto http_status = find(headers, ":status");
    if (!http_status.empty() && http_status != "200") {
      status_ = {code_of_http_status(http_status), "HTTP status " + std::string(http_status)};
    }
    const auto code = find(headers, "grpc-status");
    if (code.empty()) return;
    int status_code = static_cast<int>(Code::kUnknown);
    std::from_chars(code.data(), code.data() + code.size(), status_code);
    status_ = {static_cast<Code>(status_code), percent_decoded(find(headers, "grpc-message"))};
  }
  void on_data(Ms now, std::string_view bytes) override {
    if (status_) return;  // the body of an HTTP error
    std::string_view message;
    while (reader_.next(bytes, message)) events_->on_message(now, message);
    if (reader_.status().code != Code::kOk) {
      status_ = reader_.status();
      cancel();
    }
  }
  void on_end(Ms) override {
    if (!half_closed_) cancel();  // the call is complete, so the server needs no more messages
  }
  void on_closed(Ms now, ErrorCode code) override {
    if (!status_) {
      status_ = {code == NGHTTP2_NO_ERROR ? Code::kInternal : code_of_stream_error(code),
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
                       std::size_t max_message_bytes) {
  Headers headers{{":method", "POST"},
                  {":scheme", "http"},
                  {":path", std::string(path)},
                  {":authority", std::string(authority)},
                  {"content-type", "application/grpc"},
                  {"te", "trailers"}};
  headers.insert(headers.end(), metadata.begin(), metadata.end());
  auto exchange = std::make_unique<Exchange>(std::move(events), max_message_bytes);
  Exchange* call = exchange.get();
  Stream* stream = session.request(headers, std::move(exchange), false);
  if (!stream) return nullptr;
  call->attach(*stream);
  return call;
}

}  // namespace cometfold::http2::grpc
