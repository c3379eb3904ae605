// Tests of the gateway program as an external processor over sockets: drain, reload, crash, and attackers
// next to a well-behaved proxy.
#include <algorithm>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulators/h2_peer.h"
#include "external_processor.pb.h"
#include "net_support.h"

namespace cometfold::net::testing {
namespace {

namespace pb = envoy::service::ext_proc::v3;
using http2::grpc::Code;
using http2::grpc::Status;

constexpr const char* kProcessPath = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";

// A temporary file with the gateway's local settings, removed by the destructor.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& text) {
    static int made = 0;
    path_ = std::filesystem::temp_directory_path() /
            ("cometfold-own-" + std::to_string(::getpid()) + "-" + std::to_string(++made) + ".toml");
    write(text);
  }
  ~SettingsFile() { std::filesystem::remove(path_); }
  void write(const std::string& text) const { std::ofstream(path_) << text; }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

std::string extproc_settings(const std::string& more = "", int port = 0) {
  return "[extproc]\nlisten = \"127.0.0.1:" + std::to_string(port) + "\"\nrepeats = \"marked\"\n" + more;
}

boost::json::object two_hosts() {
  return config(list(7, true, {target("s-1", 9101), target("s-2", 9102)}), 9);
}

class Processor {
 public:
  explicit Processor(const SettingsFile& file, boost::json::object conf = two_hosts())
      : child(std::make_unique<Child>(std::vector<std::string>{COMETFOLD_PROGRAM, "--settings", file.path()},
                                      environment(conf))),
        port(child->logged_port("external processor is listening")) {
    child->log_until("ready: n0");
  }
  ~Processor() { std::filesystem::remove(path_); }
  std::vector<std::string> environment(const boost::json::object& conf) {
    static int made = 0;
    path_ = std::filesystem::temp_directory_path() /
            ("cometfold-conf-" + std::to_string(::getpid()) + "-" + std::to_string(++made) + ".json");
    std::ofstream(path_) << boost::json::serialize(conf);
    return {"EDGE_NAME=n0", "EDGE_LISTEN=127.0.0.1:0",
            "EDGE_DISCOVERY=" + std::string(conf.at("discovery").as_string()),
            "EDGE_CONFIG=" + path_.string()};
  }

  void reload(const boost::json::object& conf) {
    std::ofstream(path_) << boost::json::serialize(conf);
    child->signal(SIGHUP);
  }

 private:
  std::filesystem::path path_;

 public:
  std::unique_ptr<Child> child;
  int port;
};

struct CallRecord {
  std::vector<pb::ProcessingResponse> messages;
  std::optional<Status> status;
};
struct RecordedCall : http2::grpc::ClientCallEvents {
  explicit RecordedCall(std::shared_ptr<CallRecord> h) : record(std::move(h)) {}
  void on_message(Ms, std::string_view m) override {
    pb::ProcessingResponse message;
    EXPECT_TRUE(message.ParseFromArray(m.data(), static_cast<int>(m.size())));
    record->messages.push_back(message);
  }
  void on_status(Ms, const Status& s) override { record->status = s; }
  std::shared_ptr<CallRecord> record;
};

// The connection of one proxy.
class Proxy {
 public:
  explicit Proxy(int port) : peer(port) {}

  struct OpenCall {
    http2::grpc::ClientCall* call;
    std::shared_ptr<CallRecord> record;
  };
  OpenCall open_call() {
    auto record = std::make_shared<CallRecord>();
    auto* call = peer.call(kProcessPath, std::make_unique<RecordedCall>(record));
    return {call, record};
  }
  static std::string request(const std::string& cls, const std::string& id, int attempt = 1) {
    pb::ProcessingRequest m;
    const auto add = [&](const char* name, const std::string& value) {
      auto* h = m.mutable_request_headers()->mutable_headers()->add_headers();
      h->set_key(name);
      h->set_raw_value(value);
    };
    add(":method", "GET");
    add(":path", "/x");
    add("x-cometfold-class", cls);
    add("x-cometfold-plan", "team");
    add("x-cometfold-customer", "c");
    add("idempotency-key", "k");
    add("x-request-id", id);
    add("x-envoy-attempt-count", std::to_string(attempt));
    return m.SerializeAsString();
  }
  static std::string response(int status) {
    pb::ProcessingRequest m;
    auto* h = m.mutable_response_headers()->mutable_headers()->add_headers();
    h->set_key(":status");
    h->set_raw_value(std::to_string(status));
    return m.SerializeAsString();
  }
  OpenCall send_request(const std::string& cls, const std::string& id, int attempt = 1) {
    auto call = open_call();
    call.call->send(request(cls, id, attempt));
    wait_until([&] { return !call.record->messages.empty() || call.record->status; });
    return call;
  }
  void report(OpenCall& call, int status) {
    const auto before = call.record->messages.size();
    call.call->send(response(status));
    wait_until([&] { return call.record->messages.size() > before || call.record->status; });
  }
  template <class Done>
  void wait_until(Done&& done) {
    while (!done()) {
      if (!peer.turn() && !done()) throw PeerError("the connection ended");
    }
  }
  static bool routed(const OpenCall& call) {
    return !call.record->messages.empty() && call.record->messages[0].has_request_headers();
  }
  static int immediate_status(const OpenCall& call) {
    return call.record->messages.empty() ? 0 : call.record->messages[0].immediate_response().status().code();
  }

  H2Peer peer;
};

TEST(ProcessorProgram, ManyProxiesAreAnsweredAndCounted) {
  const SettingsFile file(extproc_settings());
  Processor program(file);
  Proxy one(program.port), two(program.port);
  for (int i = 0; i < 50; ++i) {
    auto a = one.send_request("lookup", "a" + std::to_string(i)),
         b = two.send_request("pay", "b" + std::to_string(i));
    EXPECT_TRUE(Proxy::routed(a));
    EXPECT_TRUE(Proxy::routed(b));
    one.report(a, 200);
    two.report(b, 200);
  }
  program.child->signal(SIGTERM);
  EXPECT_NE(program.child->log_until("external processor totals: asked")
                .find("asked=100 again=0 named=100 refused=0 failed=0 rejected=0 left=0 ended=100"),
            std::string::npos);
  EXPECT_EQ(program.child->exit_code(), 0);
}

TEST(ProcessorProgram, SigtermCompletesOpenCallsAndAcceptsNoNewOnes) {
  const SettingsFile file(extproc_settings());
  Processor program(file);
  Proxy proxy(program.port);
  auto before = proxy.send_request("pay", "a");
  program.child->signal(SIGTERM);
  auto meanwhile = proxy.send_request("pay", "b");  // sent while the server announces its shutdown
  EXPECT_TRUE(Proxy::routed(meanwhile));
  Proxy::OpenCall late{nullptr, nullptr};
  do {  // until the second GOAWAY arrives, after which no call can be opened
    late = proxy.open_call();
    if (late.call) {
      late.call->cancel();
      proxy.peer.turn();
    }
  } while (late.call);
  proxy.report(before, 200);
  proxy.report(meanwhile, 200);
  before.call->half_close();
  meanwhile.call->half_close();
  proxy.wait_until([&] { return before.record->status && meanwhile.record->status; });
  EXPECT_EQ(before.record->status->code, Code::kOk);
  EXPECT_EQ(meanwhile.record->status->code, Code::kOk);
  EXPECT_EQ(program.child->exit_code(), 0);
}

// Guards against responses that are cut off, as the process ends at its own deadline while their calls are
// open.
TEST(ProcessorProgram, ACallWhoseResponseStillComesIsNotCutAtTheDeadline) {
  const SettingsFile file(extproc_settings());
  auto conf = two_hosts();
  for (auto& settings : conf["settings"].as_object()["lanes"].as_array()) {
    settings.as_object()["slo_ms"] = 100.0;
    settings.as_object()["deadline_ms"] = 200.0;
  }
  Processor program(file, conf);
  Proxy proxy(program.port);
  auto call = proxy.send_request("lookup", "slow");
  ASSERT_TRUE(Proxy::routed(call));
  program.child->signal(SIGTERM);
  program.child->log_until("the shutdown's deadline has passed");
  std::this_thread::sleep_for(std::chrono::milliseconds(300));  // the process used to end after half of that
  proxy.report(call, 200);
  call.call->half_close();
  proxy.wait_until([&] { return call.record->status.has_value(); });
  EXPECT_EQ(call.record->status->code, Code::kOk);
  EXPECT_EQ(program.child->exit_code(), 0);
}

TEST(ProcessorProgram, SighupReloadsTheMappingAndIgnoresAnInvalidFile) {
  const SettingsFile file(extproc_settings());
  Processor program(file);
  Proxy proxy(program.port);
  EXPECT_EQ(Proxy::immediate_status(proxy.send_request("nope", "a")), 400);
  for (const char* bad : {"[extproc\n", "[extproc]\nnope = 1\n"}) {
    file.write(bad);
    program.child->signal(SIGHUP);
    program.child->log_until("the previous configuration is kept");
  }
  file.write(extproc_settings("[extproc.request]\ndefault_class = \"nope\"\n"));  // no such class
  program.child->signal(SIGHUP);
  EXPECT_NE(program.child->log_until("the previous configuration is kept").find("no class 'nope'"),
            std::string::npos);
  EXPECT_TRUE(Proxy::routed(proxy.send_request("lookup", "b")));
  auto open = proxy.send_request("lookup", "c");
  file.write(extproc_settings("[extproc.request]\nclass_header = \"\"\ndefault_class = \"pay\"\n"));
  program.child->signal(SIGHUP);
  program.child->log_until("configuration reloaded");
  auto after = proxy.send_request("nope", "d");  // the class header is no longer read
  ASSERT_TRUE(Proxy::routed(after));
  proxy.report(open, 200);  // open calls continue
  EXPECT_TRUE(open.record->messages.back().has_response_headers());
}

TEST(ProcessorProgram, NewSettingsApplyToProxiesTooOrAreRejected) {
  const SettingsFile file(extproc_settings("[extproc.request]\ndefault_class = \"lookup\"\n"));
  Processor program(file);
  Proxy proxy(program.port);
  auto conf = two_hosts();
  auto& lanes = conf["settings"].as_object()["lanes"].as_array();
  lanes.erase(lanes.begin());
  program.reload(conf);  // would remove the default class
  EXPECT_NE(program.child->log_until("the previous configuration is kept").find("no class 'lookup'"),
            std::string::npos);
  EXPECT_TRUE(Proxy::routed(proxy.send_request("lookup", "a")));
  file.write(extproc_settings());
  lanes[1].as_object()["name"] = "audit";  // removes the class pay
  program.reload(conf);
  program.child->log_until("configuration reloaded");
  EXPECT_EQ(Proxy::immediate_status(proxy.send_request("lookup", "b")), 400);
  EXPECT_EQ(Proxy::immediate_status(proxy.send_request("pay", "c")), 400);
  EXPECT_TRUE(Proxy::routed(proxy.send_request("audit", "d")));
}

TEST(ProcessorProgram, AfterACrashRetriesAreRoutedOnlyIfTheirClassAllows) {
  const SettingsFile file(extproc_settings());
  auto program = std::make_unique<Processor>(file);
  const int port = program->port;
  struct SentRequest {
    std::string cls, id;
    Proxy::OpenCall call;
  };
  std::vector<SentRequest> sent_requests;
  auto proxy = std::make_unique<Proxy>(port);
  for (const char* cls : {"lookup", "hold", "pay"}) {
    const std::string name(cls);
    auto half = proxy->open_call();  // a call without request headers
    half.call->send(std::string());
    sent_requests.push_back({name, name + "-named", proxy->send_request(name, name + "-named")});
    sent_requests.push_back({name, name + "-failed", proxy->send_request(name, name + "-failed")});
    proxy->report(sent_requests.back().call, 500);
    sent_requests.push_back({name, name + "-done", proxy->send_request(name, name + "-done")});
    proxy->report(sent_requests.back().call, 200);
  }
  for (const auto& a : sent_requests) EXPECT_TRUE(Proxy::routed(a.call)) << a.id;
  program->child->signal(SIGKILL);
  while (proxy->peer.turn()) {
  }
  program->child->exit_code();
  file.write(extproc_settings("", port));
  program = std::make_unique<Processor>(file);
  proxy = std::make_unique<Proxy>(port);
  for (const auto& a : sent_requests) {
    auto retry = proxy->send_request(a.cls, a.id, 2);
    if (a.cls == "pay") {
      EXPECT_EQ(Proxy::immediate_status(retry), 503) << a.id;  // a failure, not a rejection: it may have run
      EXPECT_EQ(retry.record->messages[0].immediate_response().details(),
                "cometfold_first_attempt_not_known");
    } else if (a.cls == "lookup") {
      EXPECT_TRUE(Proxy::routed(retry)) << a.id;
    } else {
      // The key is not valid for longer than a client may wait, so it may have expired.
      EXPECT_EQ(Proxy::immediate_status(retry), 503) << a.id;
    }
  }
  EXPECT_TRUE(Proxy::routed(proxy->send_request("pay", "new")));
}

TEST(ProcessorProgram, ADrainReportedByDiscoveryAppliesToProxies) {
  Listener discovery;
  const SettingsFile file(extproc_settings());
  auto conf = two_hosts();
  conf["discovery"] = "127.0.0.1:" + std::to_string(discovery.port());
  Processor program(file, conf);
  auto agent = discovery.accept();
  answer_watch_request(agent);
  chunk(agent, list(8, false, {target("s-1", 9101, "leaving")}) + "\n");
  Proxy proxy(program.port);
  int others = 0;
  for (int i = 0; others < 20; ++i) {  // waits until the drain takes effect, and checks that it lasts
    auto call = proxy.send_request("lookup", "i" + std::to_string(i));
    const auto& set =
        call.record->messages.at(0).request_headers().response().header_mutation().set_headers();
    const bool leaving = set.Get(0).header().raw_value() == "127.0.0.1:9101";
    EXPECT_FALSE(leaving && others > 10);
    others = leaving ? 0 : others + 1;
    proxy.report(call, 200);
  }
}

TEST(ProcessorProgram, AttackersAreDisconnectedAndAGoodProxyIsServed) {
  const SettingsFile file(extproc_settings("connections = 64\nanswer_ms = 200\n"));
  Processor program(file);
  Proxy good(program.port);
  const auto serve = [&](const char* when) {
    auto call = good.send_request("lookup", when);
    EXPECT_TRUE(Proxy::routed(call)) << when;
    good.report(call, 200);
  };
  const std::string preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 33);
  serve("before");
  {  // a connection without HTTP/2, and one without any bytes
    auto noise = Peer::connect(program.port), silence = Peer::connect(program.port);
    noise.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(noise.wait_for_close());
    EXPECT_TRUE(silence.wait_for_close());
  }
  serve("after noise");
  {  // a flood of cheap frames
    auto flood = Peer::connect(program.port);
    std::string pings = preface;
    for (int i = 0; i < 50'000; ++i) pings += std::string("\0\0\10\6\0\0\0\0\0", 9) + "12345678";
    try {
      flood.send(pings);
    } catch (const PeerError&) {  // the connection was closed while sending
    }
    try {
      EXPECT_TRUE(flood.wait_for_close());
    } catch (const PeerError&) {
    }
  }
  serve("after a flood");
  {  // calls without any message
    http2::SessionLimits limits = H2Peer::lenient_limits();
    H2Peer half(program.port, limits);
    std::vector<std::shared_ptr<CallRecord>> records;
    for (int i = 0; i < 9000; ++i) {
      records.push_back(std::make_shared<CallRecord>());
      ASSERT_NE(half.call(kProcessPath, std::make_unique<RecordedCall>(records.back())), nullptr);
      if (i % 500 == 0) half.flush();
    }
    half.flush();
    serve("beside half-open calls");
    half.reset();
  }
  serve("after a reset");
  program.child->signal(SIGTERM);
  good.peer.reset();
  EXPECT_NE(program.child->log_until("external processor totals: asked").find("asked=5 "), std::string::npos);
}

// Guards against a close over unread bytes: it resets the connection, and what was written last may be lost.
TEST(ProcessorProgram, AConnectionThatIsEndedBeforeAllWasReadIsNotReset) {
  const SettingsFile file(extproc_settings());
  Processor program(file);
  auto noise = Peer::connect(program.port);
  noise.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n" + std::string(200'000, 'x'));
  EXPECT_TRUE(noise.closes_in_order());
}

TEST(ProcessorProgram, WithoutAnAddressThereIsNoListener) {
  const SettingsFile file("[extproc]\nrepeats = \"never\"\n");
  const auto conf = two_hosts();
  emulators::Program program(COMETFOLD_PROGRAM, conf, {"--settings", file.path()});
  auto client = program.client();
  client.send(command({"PING"}));
  EXPECT_EQ(client.reply(), "+PONG");
}

}  // namespace
}  // namespace cometfold::net::testing
