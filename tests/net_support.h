// The real program in a process of its own, and scripted peers for it on loopback. All waits are for events
// and end a test that hangs; none is a measurement.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace thistlepond::net::testing {

constexpr int kHangMs = 30'000;  // a peer that stays silent for so long hangs

struct Hung : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Fd() {
    if (fd_ >= 0) ::close(fd_);
  }
  int get() const { return fd_; }
  void reset() { *this = Fd(); }

 private:
  int fd_;
};

inline bool readable(int fd, int ms) {
  pollfd p{fd, POLLIN, 0};
  return ::poll(&p, 1, ms) > 0;
}

inline sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  return at;
}

// One connection, blocking.
class Peer {
 public:
  explicit Peer(Fd fd) : fd_(std::move(fd)) {}
  static Peer connect(int port) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto at = loopback(port);
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
      throw Hung("connect failed");
    return Peer(std::move(fd));
  }

  void send(std::string_view text) {
    while (!text.empty()) {
      const auto n = ::send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL);
      if (n <= 0) throw Hung("the other side does not take it");
      text.remove_prefix(static_cast<std::size_t>(n));
    }
  }
  // False at the end of the connection.
  bool more() {
    if (!readable(fd_.get(), kHangMs)) throw Hung("nothing came");
    char part[65536];
    const auto n = ::recv(fd_.get(), part, sizeof part, 0);
    if (n <= 0) return false;
    held_.append(part, static_cast<std::size_t>(n));
    return true;
  }
  std::string exactly(std::size_t size) {
    while (held_.size() < size) {
      if (!more()) throw Hung("the connection ended");
    }
    return take(size);
  }
  // Up to and without CR LF.
  std::string line() {
    std::size_t end;
    while ((end = held_.find("\r\n")) == std::string::npos) {
      if (!more()) throw Hung("the connection ended");
    }
    const auto text = take(end + 2);
    return text.substr(0, end);
  }
  // A reply: an error or status as its line, a bulk string as its value.
  std::string reply() {
    const auto head = line();
    if (head.at(0) != '$') return head;
    const auto value = exactly(std::stoul(head.substr(1)) + 2);
    return value.substr(0, value.size() - 2);
  }
  std::vector<std::string> command() {
    std::vector<std::string> words(std::stoul(line().substr(1)));
    for (auto& w : words) w = reply();
    return words;
  }
  bool ends() {  // waits for the end and drops what comes before
    while (more()) {
    }
    return true;
  }
  bool quiet(int ms) { return held_.empty() && !readable(fd_.get(), ms); }
  void reset() {
    const linger now{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    fd_.reset();
  }
  void close() { fd_.reset(); }

 private:
  std::string take(std::size_t size) {
    const auto text = held_.substr(0, size);
    held_.erase(0, size);
    return text;
  }
  Fd fd_;
  std::string held_;
};

class Listener {
 public:
  explicit Listener(int backlog = 64) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    auto at = loopback(0);
    ::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
    ::listen(fd_.get(), backlog);
    socklen_t size = sizeof at;
    ::getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
  }
  int port() const { return port_; }
  bool waiting(int ms) const { return readable(fd_.get(), ms); }
  Peer accept() {
    if (!waiting(kHangMs)) throw Hung("nobody connected");
    return Peer(Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)));
  }
  void close() { fd_.reset(); }
  // Waits until one of the two has a connection; true if it is the first.
  static bool first_of(const Listener& a, const Listener& b) {
    pollfd both[] = {{a.fd_.get(), POLLIN, 0}, {b.fd_.get(), POLLIN, 0}};
    if (::poll(both, 2, kHangMs) <= 0) throw Hung("nobody connected");
    return (both[0].revents & POLLIN) != 0;
  }

 private:
  Fd fd_;
  int port_ = 0;
};

inline std::string target(const std::string& uid, int port, const std::string& state = "active") {
  return R"({"uid":")" + uid + R"(","endpoint":"127.0.0.1:)" + std::to_string(port) +
         R"(","az":"a","model":"m","pod_group":0,"state":")" + state +
         R"(","capacity_hint":1.0,"boot_ms":0})";
}
inline std::string list(int rev, bool all, const std::vector<std::string>& targets) {
  std::string text;
  for (const auto& t : targets) text += (text.empty() ? "" : ",") + t;
  return "{\"rev\":" + std::to_string(rev) + ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[" +
         text + "]}";
}

// A host's connection is used again only after a rest; longer than that here, however fast the machine is.
inline void let_rest() { std::this_thread::sleep_for(std::chrono::milliseconds(80)); }

// A configuration with a safe, a keyed and an unsafe class; times long enough for any machine.
inline boost::json::object config(const std::string& known, int discovery_port) {
  auto json = boost::json::parse(R"({"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":192,"sockets":512},
    "settings":{"az":0,"granularity_ms":4.0,"siblings":2,"zones":["a"],"host_types":["m"],
     "lanes":[{"name":"lookup","semantics":"safe","slo_ms":20000.0,"deadline_ms":60000.0,"worth":1.0},
              {"name":"hold","semantics":"keyed","group":"all","key_ttl_ms":60000.0,"slo_ms":20000.0,
               "deadline_ms":60000.0,"worth":1.0},
              {"name":"pay","semantics":"unsafe","slo_ms":20000.0,"deadline_ms":60000.0,"worth":1.0}],
     "packages":[{"name":"team","quota_rate":100000.0,"burst":100000.0,"pays":1.0,"overrun_cost":1.0,
       "beyond_earns":0.0,"hard_rate":0.0,"hard_burst":0.0,"ceiling_slack":0.0,"concurrency":0}],
     "ceilings":{"second_copies":false,"cancel":true,"retry_after":true,"max_attempts":4,"max_open":10000,
       "max_retry_after_ms":1000.0,"conn_idle_ms":60000.0,"connect_timeout_ms":60000.0},
     "load_report":{"fields":["depth"],"how":"inline"},
     "rules":{"cold_from":0.2,"warm_after_ms":10000.0,"overload_factor":2.0,"fall_ms":1000.0},
     "family_info":{"units_top":4}}})")
                  .as_object();
  json["discovery"] = "127.0.0.1:" + std::to_string(discovery_port);
  json["known"] = boost::json::parse(known);
  return json;
}

class Program {
 public:
  explicit Program(const boost::json::object& conf) {
    path_ =
        std::filesystem::temp_directory_path() / ("cometfold-test-" + std::to_string(::getpid()) + ".json");
    std::ofstream(path_) << boost::json::serialize(conf);
    const std::string discovery = "EDGE_DISCOVERY=" + std::string(conf.at("discovery").as_string());
    const std::string file = "EDGE_CONFIG=" + path_.string();
    int out[2];
    if (::pipe2(out, O_CLOEXEC) != 0) throw Hung("no pipe");
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(out[1], 2);
      const char* env[] = {"EDGE_NAME=n0", "EDGE_LISTEN=127.0.0.1:0", discovery.c_str(), file.c_str(),
                           nullptr};
      const char* argv[] = {COMETFOLD_PROGRAM, nullptr};
      ::execve(COMETFOLD_PROGRAM, const_cast<char**>(argv), const_cast<char**>(env));
      ::_exit(127);
    }
    ::close(out[1]);
    log_ = Fd(out[0]);
    const auto ready = log_until("ready: n0");
    port_ = std::stoi(ready.substr(ready.rfind(':') + 1));
  }
  ~Program() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    std::filesystem::remove(path_);
  }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  Peer client() const { return Peer::connect(port_); }
  void terminate() { ::kill(pid_, SIGTERM); }
  void reload(const std::string& text) {
    std::ofstream(path_) << text;
    ::kill(pid_, SIGHUP);
  }
  // The log's next line that holds `text`.
  std::string log_until(const std::string& text) {
    for (;;) {
      for (std::size_t end; (end = held_.find('\n')) != std::string::npos;) {
        const auto line = held_.substr(0, end);
        held_.erase(0, end + 1);
        if (line.find(text) != std::string::npos) return line;
      }
      char part[4096];
      if (!readable(log_.get(), kHangMs)) throw Hung("the log does not say: " + text);
      const auto n = ::read(log_.get(), part, sizeof part);
      if (n <= 0) throw Hung("the log ended: " + held_);
      held_.append(part, static_cast<std::size_t>(n));
    }
  }
  int exit_code() {
    int status = 0;
    char part[4096];
    while (readable(log_.get(), kHangMs) && ::read(log_.get(), part, sizeof part) > 0) {
    }
    ::waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

 private:
  std::filesystem::path path_;
  pid_t pid_ = -1;
  Fd log_;
  std::string held_;
  int port_ = 0;
};

// An agent's side of a watch: its head is answered, the first line comes back.
inline std::string watch_head(Peer& peer) {
  const auto first = peer.line();
  while (!peer.line().empty()) {
  }
  peer.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
  return first;
}
inline void chunk(Peer& peer, const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  peer.send(size + text + "\r\n");
}
// The whole list, asked for once.
inline void whole_list(Peer& peer, const std::string& text) {
  EXPECT_EQ(peer.line().substr(0, 22), "GET /api/targets HTTP/");
  while (!peer.line().empty()) {
  }
  peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
}

inline std::string command(const std::vector<std::string>& words) {
  std::string text = "*" + std::to_string(words.size()) + "\r\n";
  for (const auto& w : words) text += "$" + std::to_string(w.size()) + "\r\n" + w + "\r\n";
  return text;
}
inline std::string id(unsigned n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", n);
  return text;
}
inline std::string query(unsigned n, const std::string& d = "30000") {
  return command({"SVC.QUERY", id(n), id(n), "c=lookup,t=team,d=" + d + ",units=1,spread=2,first=0"});
}
inline std::string submit(const std::string& cls, unsigned n, const std::string& body = "BODY") {
  return command(
      {"SVC.SUBMIT", id(n), id(n), "c=" + cls + ",t=team,d=30000,k=ab,units=1,spread=2,first=0", body});
}
inline std::string served(const std::string& value) {
  return "*3\r\n$" + std::to_string(value.size()) + "\r\n" + value + "\r\n$-1\r\n$7\r\ndepth=0\r\n";
}

}  // namespace thistlepond::net::testing
