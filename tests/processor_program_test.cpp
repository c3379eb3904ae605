// The program as an external processor, over sockets: drain, reload, a crash, attackers beside a good proxy.
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

constexpr const char* kProcess = "/envoy.service.ext_proc.v3.ExternalProcessor/Process";

// The gateway's own settings in a file that goes with them.
class OwnFile {
 public:
  explicit OwnFile(const std::string& text) {
    static int made = 0;
    path_ = std::filesystem::temp_directory_path() /
            ("cometfold-own-" + std::to_string(::getpid()) + "-" + std::to_string(++made) + ".toml");
    write(text);
  }
  ~OwnFile() { std::filesystem::remove(path_); }
  void write(const std::string& text) const { std::ofstream(path_) << text; }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

std::string own(const std::string& more = "", int port = 0) {
  return "[extproc]\nlisten = \"127.0.0.1:" + std::to_string(port) + "\"\nrepeats = \"marked\"\n" + more;
}

boost::json::object two_hosts() {
  return config(list(7, true, {target("s-1", 9101), target("s-2", 9102)}), 9);
}

class Processor {
 public:
  explicit Processor(const OwnFile& file, boost::json::object conf = two_hosts())
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

struct Heard {
  std::vector<pb::ProcessingResponse> messages;
  std::optional<Status> status;
};
struct Call : http2::grpc::ClientCallEvents {
  explicit Call(std::shared_ptr<Heard> h) : heard(std::move(h)) {}
  void on_message(Ms, std::string_view m) override {
    pb::ProcessingResponse message;
    EXPECT_TRUE(message.ParseFromArray(m.data(), static_cast<int>(m.size())));
    heard->messages.push_back(message);
  }
  void on_status(Ms, const Status& s) override { heard->status = s; }
  std::shared_ptr<Heard> heard;
};

// One proxy's connection.
class Proxy {
 public:
  explicit Proxy(int port) : peer(port) {}

  struct Open {
    http2::grpc::ClientCall* call;
    std::shared_ptr<Heard> heard;
  };
  Open open() {
    auto heard = std::make_shared<Heard>();
    auto* call = peer.call(kProcess, std::make_unique<Call>(heard));
    return {call, heard};
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
  Open ask(const std::string& cls, const std::string& id, int attempt = 1) {
    auto o = open();
    o.call->send(request(cls, id, attempt));
    wait([&] { return !o.heard->messages.empty() || o.heard->status; });
    return o;
  }
  void report(Open& o, int status) {
    const auto before = o.heard->messages.size();
    o.call->send(response(status));
    wait([&] { return o.heard->messages.size() > before || o.heard->status; });
  }
  template <class Done>
  void wait(Done&& done) {
    while (!done()) {
      if (!peer.turn() && !done()) throw PeerError("the connection ended");
    }
  }
  static bool named(const Open& o) {
    return !o.heard->messages.empty() && o.heard->messages[0].has_request_headers();
  }
  static int answered(const Open& o) {
    return o.heard->messages.empty() ? 0 : o.heard->messages[0].immediate_response().status().code();
  }

  H2Peer peer;
};

TEST(ProcessorProgram, ManyProxiesAreAnsweredAndCounted) {
  const OwnFile file(own());
  Processor program(file);
  Proxy one(program.port), two(program.port);
  for (int i = 0; i < 50; ++i) {
    auto a = one.ask("lookup", "a" + std::to_string(i)), b = two.ask("pay", "b" + std::to_string(i));
    EXPECT_TRUE(Proxy::named(a));
    EXPECT_TRUE(Proxy::named(b));
    one.report(a, 200);
    two.report(b, 200);
  }
  program.child->signal(SIGTERM);
  EXPECT_NE(program.child->log_until("external processor totals: asked")
                .find("asked=100 again=0 named=100 refused=0 failed=0 rejected=0 left=0 ended=100"),
            std::string::npos);
  EXPECT_EQ(program.child->exit_code(), 0);
}

TEST(ProcessorProgram, SigtermLetsOpenCallsEndAndTakesNoNewOnes) {
  const OwnFile file(own());
  Processor program(file);
  Proxy proxy(program.port);
  auto before = proxy.ask("pay", "a");
  program.child->signal(SIGTERM);
  auto meanwhile = proxy.ask("pay", "b");  // on its way while the proxy is told
  EXPECT_TRUE(Proxy::named(meanwhile));
  Proxy::Open late{nullptr, nullptr};
  do {  // until the second word has come: from then on no call is taken
    late = proxy.open();
    if (late.call) {
      late.call->cancel();
      proxy.peer.turn();
    }
  } while (late.call);
  proxy.report(before, 200);
  proxy.report(meanwhile, 200);
  before.call->half_close();
  meanwhile.call->half_close();
  proxy.wait([&] { return before.heard->status && meanwhile.heard->status; });
  EXPECT_EQ(before.heard->status->code, Code::kOk);
  EXPECT_EQ(meanwhile.heard->status->code, Code::kOk);
  EXPECT_EQ(program.child->exit_code(), 0);
}

TEST(ProcessorProgram, SighupChangesTheMappingAndABadFileChangesNothing) {
  const OwnFile file(own());
  Processor program(file);
  Proxy proxy(program.port);
  EXPECT_EQ(Proxy::answered(proxy.ask("nope", "a")), 400);
  for (const char* bad : {"[extproc\n", "[extproc]\nnope = 1\n"}) {
    file.write(bad);
    program.child->signal(SIGHUP);
    program.child->log_until("the previous configuration is kept");
  }
  file.write(own("[extproc.request]\ndefault_class = \"nope\"\n"));  // a class that there is not
  program.child->signal(SIGHUP);
  EXPECT_NE(program.child->log_until("the previous configuration is kept").find("no class 'nope'"),
            std::string::npos);
  EXPECT_TRUE(Proxy::named(proxy.ask("lookup", "b")));
  auto open = proxy.ask("lookup", "c");
  file.write(own("[extproc.request]\nclass_header = \"\"\ndefault_class = \"pay\"\n"));
  program.child->signal(SIGHUP);
  program.child->log_until("configuration reloaded");
  auto after = proxy.ask("nope", "d");  // nobody looks at that header any more
  ASSERT_TRUE(Proxy::named(after));
  proxy.report(open, 200);  // and what was open goes on
  EXPECT_TRUE(open.heard->messages.back().has_response_headers());
}

TEST(ProcessorProgram, NewSettingsHoldForProxiesTooOrNotAtAll) {
  const OwnFile file(own("[extproc.request]\ndefault_class = \"lookup\"\n"));
  Processor program(file);
  Proxy proxy(program.port);
  auto conf = two_hosts();
  auto& lanes = conf["settings"].as_object()["lanes"].as_array();
  lanes.erase(lanes.begin());
  program.reload(conf);  // the default class would be gone
  EXPECT_NE(program.child->log_until("the previous configuration is kept").find("no class 'lookup'"),
            std::string::npos);
  EXPECT_TRUE(Proxy::named(proxy.ask("lookup", "a")));
  file.write(own());
  lanes[1].as_object()["name"] = "audit";  // pay goes too
  program.reload(conf);
  program.child->log_until("configuration reloaded");
  EXPECT_EQ(Proxy::answered(proxy.ask("lookup", "b")), 400);
  EXPECT_EQ(Proxy::answered(proxy.ask("pay", "c")), 400);
  EXPECT_TRUE(Proxy::named(proxy.ask("audit", "d")));
}

TEST(ProcessorProgram, AfterAKillNothingIsGivenTwiceThatItsClassForbids) {
  const OwnFile file(own());
  auto program = std::make_unique<Processor>(file);
  const int port = program->port;
  struct Asked {
    std::string cls, id;
    Proxy::Open open;
  };
  std::vector<Asked> asked;
  auto proxy = std::make_unique<Proxy>(port);
  for (const char* cls : {"lookup", "hold", "pay"}) {
    const std::string name(cls);
    auto half = proxy->open();  // before its headers end
    half.call->send(std::string());
    asked.push_back({name, name + "-named", proxy->ask(name, name + "-named")});
    asked.push_back({name, name + "-failed", proxy->ask(name, name + "-failed")});
    proxy->report(asked.back().open, 500);
    asked.push_back({name, name + "-done", proxy->ask(name, name + "-done")});
    proxy->report(asked.back().open, 200);
  }
  for (const auto& a : asked) EXPECT_TRUE(Proxy::named(a.open)) << a.id;
  program->child->signal(SIGKILL);
  while (proxy->peer.turn()) {
  }
  program->child->exit_code();
  file.write(own("", port));
  program = std::make_unique<Processor>(file);
  proxy = std::make_unique<Proxy>(port);
  for (const auto& a : asked) {
    auto again = proxy->ask(a.cls, a.id, 2);
    if (a.cls == "pay") {
      EXPECT_EQ(Proxy::answered(again), 503) << a.id;  // failed, not refused: it may have run
      EXPECT_EQ(again.heard->messages[0].immediate_response().details(), "cometfold_first_attempt_not_known");
    } else if (a.cls == "lookup") {
      EXPECT_TRUE(Proxy::named(again)) << a.id;
    } else {
      // Its key lives as long as its clients may wait, no longer: it may have run out meanwhile.
      EXPECT_EQ(Proxy::answered(again), 503) << a.id;
    }
  }
  EXPECT_TRUE(Proxy::named(proxy->ask("pay", "new")));
}

TEST(ProcessorProgram, ADrainToldByDiscoveryHoldsForProxiesToo) {
  Listener discovery;
  const OwnFile file(own());
  auto conf = two_hosts();
  conf["discovery"] = "127.0.0.1:" + std::to_string(discovery.port());
  Processor program(file, conf);
  auto agent = discovery.accept();
  answer_watch_request(agent);
  chunk(agent, list(8, false, {target("s-1", 9101, "leaving")}) + "\n");
  Proxy proxy(program.port);
  int others = 0;
  for (int i = 0; others < 20; ++i) {  // until the news has come through, and from then on
    auto o = proxy.ask("lookup", "i" + std::to_string(i));
    const auto& set = o.heard->messages.at(0).request_headers().response().header_mutation().set_headers();
    const bool leaving = set.Get(0).header().raw_value() == "127.0.0.1:9101";
    EXPECT_FALSE(leaving && others > 10);
    others = leaving ? 0 : others + 1;
    proxy.report(o, 200);
  }
}

TEST(ProcessorProgram, AttackersAreEndedAndAGoodProxyBesideThemIsServed) {
  const OwnFile file(own("connections = 64\nanswer_ms = 200\n"));
  Processor program(file);
  Proxy good(program.port);
  const auto serve = [&](const char* when) {
    auto o = good.ask("lookup", when);
    EXPECT_TRUE(Proxy::named(o)) << when;
    good.report(o, 200);
  };
  const std::string preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 33);
  serve("before");
  {  // no HTTP/2 at all, and nothing at all
    auto noise = Peer::connect(program.port), silence = Peer::connect(program.port);
    noise.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(noise.wait_for_close());
    EXPECT_TRUE(silence.wait_for_close());
  }
  serve("after noise");
  {  // frames that cost nothing
    auto flood = Peer::connect(program.port);
    std::string pings = preface;
    for (int i = 0; i < 50'000; ++i) pings += std::string("\0\0\10\6\0\0\0\0\0", 9) + "12345678";
    try {
      flood.send(pings);
    } catch (const PeerError&) {  // it was ended meanwhile
    }
    try {
      EXPECT_TRUE(flood.wait_for_close());
    } catch (const PeerError&) {
    }
  }
  serve("after a flood");
  {  // calls that say nothing
    http2::SessionLimits limits = H2Peer::lenient_limits();
    H2Peer half(program.port, limits);
    std::vector<std::shared_ptr<Heard>> heard;
    for (int i = 0; i < 9000; ++i) {
      heard.push_back(std::make_shared<Heard>());
      ASSERT_NE(half.call(kProcess, std::make_unique<Call>(heard.back())), nullptr);
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

TEST(ProcessorProgram, WithoutAnAddressThereIsNoListener) {
  const OwnFile file("[extproc]\nrepeats = \"never\"\n");
  const auto conf = two_hosts();
  emulators::Program program(COMETFOLD_PROGRAM, conf, {"--settings", file.path()});
  auto client = program.client();
  client.send(command({"PING"}));
  EXPECT_EQ(client.reply(), "+PONG");
}

}  // namespace
}  // namespace cometfold::net::testing
