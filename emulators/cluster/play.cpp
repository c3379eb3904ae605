#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <set>

#include "emulators/cluster/history.h"
#include "emulators/discovery_emulator.h"
#include "emulators/host_emulator.h"
#include "emulators/program.h"
#include "emulators/words.h"
#include "resp/resp_reader.h"

namespace cometfold::emulators::cluster {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;
using Steady = std::chrono::steady_clock;

namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(200);
constexpr auto kPollTimeout = std::chrono::milliseconds(900);
constexpr double kDeadlineMs = 3000;  // sent with each request

Steady::duration seconds(double n) {
  return std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(n));
}

// One client request on a connection of its own.
class ClientRequest : public std::enable_shared_from_this<ClientRequest> {
 public:
  using Callback = std::function<void(const char* what, std::string_view value)>;
  ClientRequest(asio::io_context& io, std::string text, Callback on_event)
      : socket_(io), timer_(io), text_(std::move(text)), on_event_(std::move(on_event)) {}

  void start(const tcp::endpoint& at) {
    timer_.expires_after(std::chrono::milliseconds(static_cast<int>(kDeadlineMs) + 2000));
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) self->end("gone", {});
    });
    socket_.async_connect(at, [self = shared_from_this()](error_code error) {
      if (error) return self->end(nullptr, {});  // not connected: nothing was sent, nothing is recorded
      self->on_event_("taken", {});
      asio::async_write(self->socket_, asio::buffer(self->text_), [self](error_code failed, std::size_t) {
        failed ? self->end("gone", {}) : self->read();
      });
    });
  }

 private:
  void read() {
    const auto space = reader_.prepare();
    socket_.async_read_some(asio::buffer(space.data(), space.size()),
                            [self = shared_from_this()](error_code error, std::size_t n) {
                              if (error) return self->end("gone", {});
                              self->reader_.commit(n);
                              resp::Frame frame;
                              if (self->reader_.next(frame) != resp::ReadResult::kFrame) return self->read();
                              const auto& item = frame.items.at(0);
                              if (item.type == resp::ItemType::kBulk) return self->end("served", item.text);
                              self->end(item.text.starts_with("BUSY") ? "refused" : "failed", item.text);
                            });
  }
  void end(const char* what, std::string_view value) {
    timer_.cancel();
    if (auto on_event = std::exchange(on_event_, {}); on_event && what) on_event(what, value);
    error_code ignored;
    socket_.close(ignored);
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string text_;
  Callback on_event_;
  resp::RespReader reader_{resp::RespLimits{}, false};
};

// One GET request to a gateway's admin server. Failures are ignored.
class AdminQuery : public std::enable_shared_from_this<AdminQuery> {
 public:
  AdminQuery(asio::io_context& io, std::string target, std::function<void(std::string)> then)
      : stream_(io), then_(std::move(then)), request_(http::verb::get, target, 11) {
    request_.set(http::field::host, "gateway");
  }
  void start(const tcp::endpoint& at) {
    stream_.expires_after(kPollTimeout);
    stream_.async_connect(at, [self = shared_from_this()](beast::error_code error) {
      if (error) return;
      http::async_write(self->stream_, self->request_, [self](beast::error_code failed, std::size_t) {
        if (failed) return;
        http::async_read(self->stream_, self->buffer_, self->answer_,
                         [self](beast::error_code bad, std::size_t) {
                           if (!bad && self->answer_.result_int() == 200) self->then_(self->answer_.body());
                         });
      });
    });
  }

 private:
  beast::tcp_stream stream_;
  std::function<void(std::string)> then_;
  http::request<http::empty_body> request_;
  beast::flat_buffer buffer_;
  http::response<http::string_body> answer_;
};

class Run {
 public:
  Run(const Schedule& schedule, std::string program, std::string logs, std::function<void(const Line&)> write)
      : schedule_(schedule),
        program_(std::move(program)),
        logs_(std::move(logs)),
        write_(std::move(write)),
        random_(schedule.seed),
        net_(io_, schedule.seed),
        discovery_(io_),
        poll_timer_(io_),
        request_timer_(io_) {
    char folder[] = "cometfold-cluster-XXXXXX";
    const auto pattern = std::filesystem::temp_directory_path() / folder;
    std::string path = pattern.string();
    if (!::mkdtemp(path.data()))
      throw PeerError("can't create a temporary directory for the gateways' settings");
    folder_ = path;
  }
  ~Run() {
    gateways_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  void play() {
    start_time_ = Steady::now();
    record(
        {{"what", "schedule"}, {"name", schedule_.name}, {"seed", schedule_.seed}, {"text", schedule_.text}});
    make_hosts();
    for (std::size_t i = 0; i < schedule_.gateways; ++i) add_gateway(gateway_name(i), i);
    // The second process of a gateway's name has an entry and addresses of its own.
    for (std::size_t i = 0; i < schedule_.gateways; ++i) add_gateway(gateway_name(i) + "'", 100 + i);
    record({{"what", "settings"}, {"config", configuration(0)}});
    for (std::size_t i = 0; i < schedule_.gateways; ++i) start(gateway_name(i));
    poll_views();
    if (schedule_.rate > 0) schedule_request();
    double last = 0;
    for (const auto& step : schedule_.steps) {
      last = std::max(last, step.at + (step.action == Step::kStarve ? step.seconds : 0));
      run_at(schedule_.warm_up + step.at, [this, &step] { apply(step); });
    }
    const double end = schedule_.warm_up + last + schedule_.settle;
    run_at(end - 0.8, [this] { sending_ = false; });
    run_at(end, [this] { fetch_counters(); });
    run_at(end + (schedule_.rate > 0 ? kDeadlineMs / 1000 + 1 : 0.5), [this] { io_.stop(); });
    io_.run();
    record({{"what", "finished"}});
  }

 private:
  struct GatewayProcess {
    std::string gateway;
    asio::ip::address_v4 peer_address, client_address, admin_address;
    std::uint16_t port = 0;
    std::shared_ptr<Child> child;
    std::uint64_t process = 0;
    bool stopped = false;
  };

  double ms() const { return std::chrono::duration<double, std::milli>(Steady::now() - start_time_).count(); }
  void record(Line line) {
    line["t"] = std::round(ms() * 100) / 100;
    write_(line);
  }
  template <class Do>
  void run_at(double after_start, Do what) {
    const auto timer = std::make_shared<asio::steady_timer>(io_, start_time_ + seconds(after_start));
    timer->async_wait([timer, what](error_code error) {
      if (!error) what();
    });
  }
  double draw() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

  // The process id selects the range of addresses, so that concurrent runs on one machine don't collide.
  static asio::ip::address_v4 address(unsigned third, std::size_t last) {
    const auto own = 64 + static_cast<unsigned>(::getpid()) % 128;
    return asio::ip::address_v4((127U << 24) | (own << 16) | (third << 8) | static_cast<unsigned>(last + 1));
  }

  void make_hosts() {
    for (std::size_t i = 0; i < schedule_.hosts; ++i) {
      hosts_.push_back(std::make_unique<HostEmulator>(io_, Behaviour{.mean_ms = 3}, schedule_.seed + i));
      const auto name = "h" + std::to_string(i);
      hosts_.back()->set_record([this, name](HostEmulator::RequestEvent event, const std::string& id,
                                             std::uint64_t connection, std::string_view value) {
        const char* what = event == HostEmulator::RequestEvent::kReceived      ? "came"
                           : event == HostEmulator::RequestEvent::kNotExecuted ? "never-ran"
                           : event == HostEmulator::RequestEvent::kExecuted    ? "made"
                                                                               : "over";
        Line line{{"what", what}, {"host", name}, {"connection", connection}, {"request", id}};
        if (!value.empty()) line["value"] = value;
        record(std::move(line));
      });
      discovery_.set(name, hosts_.back()->port(), "active");
    }
  }

  void add_gateway(const std::string& name, std::size_t number) {
    GatewayProcess p;
    p.gateway = name.substr(0, name.find('\''));
    p.peer_address = address(0, number);
    p.client_address = address(2, number);
    p.admin_address = address(3, number);
    p.port = net_.add(name, p.peer_address, address(1, number));
    gateways_.emplace(name, std::move(p));
  }

  json::object configuration(std::uint16_t port) const {
    auto conf = config(discovery_.full_list(), discovery_.port());
    auto& settings = conf["settings"].as_object();
    settings["siblings"] = schedule_.gateways;
    conf["limits"].as_object()["memory_mb"] = 64;
    auto firm = settings["packages"].as_array().at(0).as_object();
    firm["name"] = "firm";
    firm["hard_rate"] = 20.0;
    firm["hard_burst"] = 40.0;
    firm["ceiling_slack"] = 10.0;
    settings["packages"].as_array().push_back(firm);
    conf["seed"] = id(static_cast<unsigned>(schedule_.seed + port));
    return conf;
  }

  void start(const std::string& name) {
    GatewayProcess& p = gateways_.at(name);
    if (p.child && !p.child->ended()) return;
    p.process = ++last_process_;
    p.stopped = false;
    const auto file = (folder_ / (name + "-" + std::to_string(p.process))).string();
    auto conf = configuration(p.port);
    conf["name"] = p.gateway;
    conf["admin"] = p.admin_address.to_string() + ":" + std::to_string(p.port);
    std::ofstream(file + ".json") << json::serialize(conf);
    std::ofstream settings(file + ".toml");
    const auto port = ":" + std::to_string(p.port);
    settings << "[peers]\nlisten = \"" << p.peer_address.to_string() << port << "\"\nadvertise = \""
             << net_.public_address(name).address().to_string() << port << "\"\nseeds = [";
    for (std::size_t i = 0; i < std::min<std::size_t>(3, schedule_.gateways); ++i) {
      const auto at = net_.public_address(gateway_name(i));
      settings << (i ? ", " : "") << '"' << at.address().to_string() << ':' << at.port() << '"';
    }
    settings << "]\ncluster = \"rig-" << ::getpid() << "\"\n" << schedule_.settings << "\n";
    settings.close();
    const std::string log =
        logs_.empty() ? file + ".log" : logs_ + "/" + name + "-" + std::to_string(p.process) + ".log";
    p.child = std::make_shared<Child>(
        std::vector<std::string>{program_, "--settings", file + ".toml"},
        std::vector<std::string>{
            "EDGE_NAME=" + p.gateway, "EDGE_LISTEN=" + p.client_address.to_string() + port,
            "EDGE_DISCOVERY=127.0.0.1:" + std::to_string(discovery_.port()), "EDGE_CONFIG=" + file + ".json"},
        log);
    record({{"what", "start"}, {"gateway", p.gateway}, {"process", p.process}});
  }

  Line line_for(const char* what, const GatewayProcess& p) const {
    return {{"what", what}, {"gateway", p.gateway}, {"process", p.process}};
  }

  void apply(const Step& step) {
    json::array who;
    for (const auto& name : step.targets) who.emplace_back(name);
    record({{"what", "fault"}, {"do", static_cast<int>(step.action)}, {"who", who}});
    switch (step.action) {
      case Step::kCut:
        return net_.partition(step.groups);
      case Step::kHeal:
        net_.partition({});
        return net_.set_all({});
      case Step::kLink:
        for (const auto& from : step.from) {
          for (const auto& to : step.to) net_.set(from, to, step.link);
        }
        return;
      case Step::kDrain:
        for (const auto& host : step.targets) {
          record({{"what", "told"}, {"host", host}, {"state", "leaving"}});
          discovery_.set(host, hosts_.at(std::stoul(host.substr(1)))->port(), "leaving");
        }
        return;
      default:
        break;
    }
    for (const auto& name : step.targets) apply_to(step, name);
  }

  void apply_to(const Step& step, const std::string& name) {
    GatewayProcess& p = gateways_.at(name);
    if (step.action == Step::kStart) return start(name);
    if (step.action == Step::kTwin) return start(name + "'");
    if (step.action == Step::kEndTwin) return end(gateways_.at(name + "'"), SIGKILL);
    if (!p.child || p.child->ended()) return;
    if (step.action == Step::kKill) end(p, SIGKILL);
    if (step.action == Step::kTerm) {
      p.child->signal(SIGTERM);
      return await_end(name, p.process);
    }
    if (step.action == Step::kStop) stop(p, true);
    if (step.action == Step::kContinue) stop(p, false);
    if (step.action == Step::kStarve) starve(name, p.process, Steady::now() + seconds(step.seconds));
  }

  void end(GatewayProcess& p, int signal) {
    if (!p.child || p.child->ended()) return;
    auto line = line_for("end", p);
    line["killed"] = true;
    record(std::move(line));
    p.child->signal(signal);
    p.child->exit_code();
  }
  void await_end(const std::string& name, std::uint64_t process) {
    GatewayProcess& p = gateways_.at(name);
    if (p.process != process) return;
    if (p.child->ended()) return record(line_for("end", p));
    const auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(10));
    timer->async_wait([this, timer, name, process](error_code error) {
      if (!error) await_end(name, process);
    });
  }
  void stop(GatewayProcess& p, bool on) {
    if (p.stopped == on) return;
    p.stopped = on;
    if (on) record(line_for("stop", p));
    p.child->signal(on ? SIGSTOP : SIGCONT);
    if (!on) record(line_for("continue", p));
  }
  // Lets the process run for 40 ms and stops it for 360 ms, alternately.
  void starve(const std::string& name, std::uint64_t process, Steady::time_point until) {
    GatewayProcess& p = gateways_.at(name);
    if (p.process != process || p.child->ended()) return;
    const bool over = Steady::now() >= until;
    stop(p, !over && !p.stopped);
    if (over) return;
    const auto timer =
        std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(p.stopped ? 360 : 40));
    timer->async_wait([this, timer, name, process, until](error_code error) {
      if (!error) starve(name, process, until);
    });
  }

  void poll_views() {
    for (auto& [name, p] : gateways_) {
      if (!p.child || p.stopped || p.child->ended()) continue;
      std::make_shared<AdminQuery>(io_, "/_members",
                                   [this, gateway = p.gateway, process = p.process](const std::string& body) {
                                     record_view(gateway, process, body);
                                   })
          ->start(tcp::endpoint(p.admin_address, p.port));
    }
    poll_timer_.expires_after(kPollInterval);
    poll_timer_.async_wait([this](error_code error) {
      if (!error) poll_views();
    });
  }
  void record_view(const std::string& gateway, std::uint64_t process, const std::string& body) {
    const auto all = json::parse(body).as_object();
    json::array members;
    for (const auto& value : all.at("members").as_array()) {
      const auto& m = value.as_object();
      members.push_back(json::array{m.at("name"), m.at("start"), m.at("state")});
    }
    Line line{{"what", "view"},
              {"gateway", gateway},
              {"process", process},
              {"start", all.at("start")},
              {"standing", all.at("standing")}};
    if (const auto* conflict = all.if_contains("conflict"))
      line["conflict"] = conflict->as_object().at("address");
    line["members"] = std::move(members);
    record(std::move(line));
  }
  void fetch_counters() {
    for (auto& [name, p] : gateways_) {
      if (!p.child || p.stopped || p.child->ended()) continue;
      auto line = line_for("load", p);
      std::make_shared<AdminQuery>(io_, "/_vars", [this, line](const std::string& body) mutable {
        json::object figures;
        std::istringstream lines(body);
        for (std::string text; std::getline(lines, text);) {
          const auto colon = text.find(':'), bar = text.find('|');
          constexpr std::string_view kOfPeers = "edge_edge.peers.";
          if (text.starts_with(kOfPeers) && bar != std::string::npos) {
            figures[text.substr(kOfPeers.size(), colon - kOfPeers.size())] =
                std::stoull(text.substr(colon + 1, bar - colon - 1));
          }
        }
        line["figures"] = std::move(figures);
        record(std::move(line));
      })->start(tcp::endpoint(p.admin_address, p.port));
    }
  }

  // Open loop: requests start at fixed times, each at a random running gateway.
  void schedule_request() {
    request_timer_.expires_at(start_time_ +
                              seconds(0.5 + static_cast<double>(request_count_) / schedule_.rate));
    request_timer_.async_wait([this](error_code error) {
      if (error || !sending_) return;
      send_request();
      schedule_request();
    });
  }
  void send_request() {
    const auto number = ++request_count_;
    std::vector<GatewayProcess*> running;
    for (auto& [name, p] : gateways_) {
      if (name.back() != '\'' && p.child && !p.stopped && !p.child->ended()) running.push_back(&p);
    }
    if (running.empty()) return;
    GatewayProcess& p = *running[static_cast<std::size_t>(draw() * static_cast<double>(running.size()))];
    static constexpr const char* kClasses[] = {"lookup", "hold", "pay"};
    const std::string cls = kClasses[number % 3], plan = number % 4 == 0 ? "firm" : "team";
    const auto name = id(static_cast<unsigned>(number));
    const auto customer = static_cast<unsigned>(plan == "firm" ? 1 : 100 + number % 20);
    const std::string fields = "c=" + cls + ",t=" + plan +
                               ",d=" + std::to_string(static_cast<int>(kDeadlineMs)) + ",k=" + name +
                               ",units=1,spread=" + std::to_string(schedule_.gateways) + ",first=0";
    const auto text = cls == "lookup" ? command({"SVC.QUERY", id(customer), name, fields})
                                      : command({"SVC.SUBMIT", id(customer), name, fields, "BODY"});
    Line about = line_for("taken", p);
    std::make_shared<ClientRequest>(
        io_, text,
        [this, about, number, cls, plan, customer](const char* what, std::string_view value) {
          Line line = about;
          line["what"] = what;
          line["request"] = id(static_cast<unsigned>(number));
          if (std::string_view(what) == "taken") {
            line["class"] = cls;
            line["plan"] = plan;
            line["customer"] = customer;
            line["expires"] = ms() + kDeadlineMs;
          } else if (!value.empty()) {
            line["value"] = value;
          }
          record(std::move(line));
        })
        ->start(tcp::endpoint(p.client_address, p.port));
  }

  Schedule schedule_;
  std::string program_, logs_;
  std::function<void(const Line&)> write_;
  std::mt19937_64 random_;
  std::filesystem::path folder_;
  Steady::time_point start_time_;
  asio::io_context io_{1};
  Network net_;
  DiscoveryEmulator discovery_;
  std::vector<std::unique_ptr<HostEmulator>> hosts_;
  std::map<std::string, GatewayProcess> gateways_;
  asio::steady_timer poll_timer_, request_timer_;
  std::uint64_t last_process_ = 0, request_count_ = 0;
  bool sending_ = true;
};

}  // namespace

void play(const Schedule& schedule, const std::string& program, const std::string& logs,
          const std::function<void(const Line&)>& write) {
  if (!logs.empty()) std::filesystem::create_directories(logs);
  Run(schedule, program, logs, write).play();
}

}  // namespace cometfold::emulators::cluster
