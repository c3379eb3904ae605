#include "emulators/proxy/proxy_emulator.h"

#include <grpcpp/grpcpp.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "ext_proc_client.grpc.pb.h"

namespace cometfold::emulators {
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace pb = envoy::service::ext_proc::v3;
using asio::ip::tcp;

struct Proxy::Request {
  std::string method, path, body, misbehave, id;
  std::map<std::string, std::string> headers;
};

struct Proxy::Answer {
  int status = 502;
  std::string body;
  std::map<std::string, std::string> headers;
  bool drop_client = false;  // closes the client's connection without a response
};

// One call of `Process`, blocking.
class Proxy::Call {
 public:
  explicit Call(const std::shared_ptr<grpc::Channel>& channel)
      : stub_(pb::ExternalProcessor::NewStub(channel)) {
    context_.set_wait_for_ready(true);  // waits for a processor that restarts
    stream_ = stub_->Process(&context_);
  }
  ~Call() {
    if (!finished_) {
      context_.TryCancel();
      stream_->Finish();
    }
  }
  bool send_request_headers(const Request& request, int attempt_number) {
    pb::ProcessingRequest m;
    auto& headers = *m.mutable_request_headers()->mutable_headers();
    const auto add = [&](const std::string& name, const std::string& value) {
      auto* h = headers.add_headers();
      h->set_key(name);
      h->set_raw_value(value);
    };
    add(":method", request.method);
    add(":path", request.path);
    add(":scheme", "http");
    add(":authority", "stand-in");
    for (const auto& [name, value] : request.headers) add(name, value);
    add("x-envoy-attempt-count", std::to_string(attempt_number));
    m.mutable_request_headers()->set_end_of_stream(request.body.empty());
    return stream_->Write(m);
  }
  std::optional<pb::ProcessingResponse> read() {
    pb::ProcessingResponse m;
    if (!stream_->Read(&m)) return {};
    return m;
  }
  bool send_response_headers(int status, const std::string& details,
                             const std::map<std::string, std::string>& headers) {
    pb::ProcessingRequest m;
    auto& map = *m.mutable_response_headers()->mutable_headers();
    const auto add = [&](const std::string& name, const std::string& value) {
      auto* h = map.add_headers();
      h->set_key(name);
      h->set_raw_value(value);
    };
    add(":status", std::to_string(status));
    for (const auto& [name, value] : headers) add(name, value);
    auto& fields = *(*m.mutable_attributes())["envoy.filters.http.ext_proc"].mutable_fields();
    fields["response.code_details"].set_string_value(details);
    return stream_->Write(m);
  }
  void cancel() { context_.TryCancel(); }
  void half_close() {
    if (!half_closed_) stream_->WritesDone();
    half_closed_ = true;
  }
  void finish() {
    half_close();
    pb::ProcessingResponse rest;
    while (stream_->Read(&rest)) {
    }
    stream_->Finish();
    finished_ = true;
  }

 private:
  grpc::ClientContext context_;
  std::unique_ptr<pb::ExternalProcessor::Stub> stub_;
  std::unique_ptr<grpc::ClientReaderWriter<pb::ProcessingRequest, pb::ProcessingResponse>> stream_;
  bool finished_ = false, half_closed_ = false;
};

namespace {

// Reconnects quickly to a processor that restarts.
std::shared_ptr<grpc::Channel> channel_to(int port) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 10);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 10);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 50);
  return grpc::CreateCustomChannel("127.0.0.1:" + std::to_string(port), grpc::InsecureChannelCredentials(),
                                   arguments);
}

}  // namespace

Proxy::Proxy(const ProxyOptions& options)
    : options_(options),
      channel_(channel_to(options.processor)),
      acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      port_(acceptor_.local_endpoint().port()),
      thread_([this] { accept(); }) {}

Proxy::~Proxy() {
  stopping_ = true;
  boost::system::error_code ignored;
  tcp::socket wakeup(io_);  // unblocks accept()
  wakeup.connect(tcp::endpoint(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port_)), ignored);
  thread_.join();
  while (active_connections_ > 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void Proxy::accept() {
  while (!stopping_) {
    boost::system::error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error || stopping_) continue;
    ++active_connections_;
    std::thread([this, s = std::move(socket)]() mutable {
      try {
        serve(std::move(s));
      } catch (const std::exception&) {  // the client closed its connection
      }
      --active_connections_;
    }).detach();
  }
}

void Proxy::serve(tcp::socket socket) {
  socket.set_option(tcp::no_delay(true));
  boost::beast::flat_buffer buffer;
  for (;;) {
    http::request<http::string_body> in;
    http::read(socket, buffer, in);
    Request request;
    request.method = std::string(in.method_string());
    request.path = std::string(in.target());
    request.body = in.body();
    for (const auto& field : in) {
      std::string name(field.name_string());
      for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      if (name == "x-misbehave") {
        request.misbehave = std::string(field.value());
      } else if (name != "connection" && name != "host" && name != "content-length") {
        request.headers[name] = std::string(field.value());
      }
    }
    request.id = request.headers["x-request-id"];
    const Answer answer = handle(request);
    if (answer.drop_client) return;
    http::response<http::string_body> out(http::int_to_status(static_cast<unsigned>(answer.status)), 11);
    for (const auto& [name, value] : answer.headers) out.set(name, value);
    out.body() = answer.body;
    out.prepare_payload();
    http::write(socket, out);
  }
}

Proxy::Answer Proxy::handle(const Request& request) {
  Answer answer;
  for (int attempt_number = 1; attempt_number <= options_.max_attempts; ++attempt_number) {
    if (!attempt(request, attempt_number, answer)) break;
  }
  return answer;
}

namespace {

// Forwards over a new connection. The result has the status and body, or Envoy's response code details of the
// failure.
struct Forwarded {
  int status = 503;
  std::string details = "via_upstream", body;
  std::map<std::string, std::string> headers;
};
Forwarded forward(const std::string& endpoint, const std::string& method, const std::string& path,
                  const std::string& id, const std::string& body) {
  Forwarded out;
  const auto colon = endpoint.rfind(':');
  boost::system::error_code error;
  asio::io_context io;
  tcp::socket socket(io);
  const auto ip = asio::ip::make_address(endpoint.substr(0, colon), error);
  if (!error) socket.connect({ip, static_cast<std::uint16_t>(std::stoi(endpoint.substr(colon + 1)))}, error);
  if (error) {
    out.details = "upstream_reset_before_response_started{connection_failure}";
    return out;
  }
  socket.set_option(tcp::no_delay(true), error);
  http::request<http::string_body> request(http::string_to_verb(method), path, 11);
  request.set("x-request-id", id);
  request.body() = body;
  request.prepare_payload();
  http::write(socket, request, error);
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  if (!error) http::read(socket, buffer, response, error);
  if (error) {
    out.details = "upstream_reset_before_response_started{connection_termination}";
    return out;
  }
  out.status = static_cast<int>(response.result_int());
  out.body = response.body();
  out.headers["endpoint-load-metrics"] = std::string(response["endpoint-load-metrics"]);
  return out;
}

std::string header_of(const pb::HeaderMutation& mutation, const std::string& name) {
  for (const auto& h : mutation.set_headers()) {
    if (h.header().key() == name) return h.header().raw_value();
  }
  return {};
}

}  // namespace

// Returns true if the attempt failed and the proxy may retry.
bool Proxy::attempt(const Request& request, int attempt_number, Answer& answer) {
  Call call(channel_);
  ++(attempt_number == 1 ? totals_.asked : totals_.again);
  if (!call.send_request_headers(request, attempt_number)) {
    ++totals_.broken;
    return options_.retry_broken_calls;
  }
  if (request.misbehave == "cancel-asked") {
    call.cancel();
    ++totals_.undecided;
    answer.drop_client = true;
    return false;
  }
  const auto decision = call.read();
  if (!decision || (!decision->has_request_headers() && !decision->has_immediate_response())) {
    ++totals_.broken;
    return options_.retry_broken_calls;
  }
  if (decision->has_immediate_response()) {
    const auto& immediate = decision->immediate_response();
    answer.status = immediate.status().code();
    answer.body = immediate.details();
    ++(answer.status == 429 ? totals_.refused : totals_.failed);
    if (call.read()) ++totals_.extra;
    call.finish();
    return false;
  }
  ++totals_.named;
  if (request.misbehave == "cancel-decided") {
    call.cancel();
    answer.drop_client = true;
    return false;
  }
  const auto& mutation = decision->request_headers().response().header_mutation();
  std::string endpoint = header_of(mutation, "x-gateway-destination-endpoint");
  const bool may_repeat = header_of(mutation, "x-envoy-max-retries") != "0";
  if (request.misbehave == "elsewhere") endpoint = options_.other_endpoint;
  if (request.misbehave == "half-close") call.half_close();
  auto response = forward(endpoint, request.method, request.path, request.id, request.body);
  answer.status = response.status;
  answer.body = response.body;
  const bool is_error = response.status >= 500 || response.status == 429;
  if (request.misbehave != "silent" && request.misbehave != "half-close") {
    if (request.misbehave == "elsewhere") {
      response.headers["x-gateway-destination-endpoint-served"] = endpoint;
    }
    call.send_response_headers(response.status, response.details, response.headers);
    if (request.misbehave == "twice")
      call.send_response_headers(response.status, response.details, response.headers);
    call.read();
  }
  call.finish();
  return is_error && (may_repeat || request.misbehave == "stubborn");
}

}  // namespace cometfold::emulators
