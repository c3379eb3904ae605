// Starts programs, such as the gateway, as child processes.
#pragma once

#include <sys/prctl.h>
#include <sys/wait.h>

#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "emulators/peer.h"

namespace cometfold::emulators {

// A child process. Its log is its standard error. Killed when this object or its parent process ends.
class Child {
 public:
  // If `log` isn't empty the log is appended to that file, and log_until() and logged_port() can't be used.
  Child(const std::vector<std::string>& command, const std::vector<std::string>& environment,
        const std::string& log = {}) {
    int out[2];
    if (::pipe2(out, O_CLOEXEC) != 0) throw PeerError("can't create the pipe of the log");
    const auto words = [](const std::vector<std::string>& texts) {
      std::vector<char*> all;
      for (const auto& t : texts) all.push_back(const_cast<char*>(t.c_str()));
      all.push_back(nullptr);
      return all;
    };
    const auto argv = words(command), env = words(environment);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it must not outlive its parent
      const int file =
          log.empty() ? -1 : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      ::dup2(file >= 0 ? file : out[1], 2);
      // Inherited sockets would stay open while the child lives, and their peers would not see them close.
      ::close_range(3, ~0U, 0);
      ::execve(argv[0], argv.data(), env.data());
      ::_exit(127);
    }
    ::close(out[1]);
    log_ = Fd(out[0]);
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
  }
  pid_t pid() const { return pid_; }
  void signal(int which) const {
    if (pid_ > 0) ::kill(pid_, which);
  }
  // Returns the next line of the log that contains `text`. Throws after 30 s without output.
  std::string log_until(const std::string& text) {
    for (;;) {
      for (std::size_t end; (end = buffer_.find('\n')) != std::string::npos;) {
        const auto line = buffer_.substr(0, end);
        buffer_.erase(0, end + 1);
        if (line.find(text) != std::string::npos) return line;
      }
      char part[4096];
      if (!readable(log_.get(), kWaitTimeoutMs)) throw PeerError("no line in the log contains: " + text);
      const auto n = ::read(log_.get(), part, sizeof part);
      if (n <= 0) throw PeerError("the log ended after: " + buffer_);
      buffer_.append(part, static_cast<std::size_t>(n));
    }
  }
  // Returns the number after the last colon in the next line of the log that contains `text`.
  int logged_port(const std::string& text) {
    const auto line = log_until(text);
    return std::stoi(line.substr(line.rfind(':') + 1));
  }
  // Whether the process has ended; doesn't block.
  bool ended() {
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) pid_ = -1;
    return pid_ <= 0;
  }
  int exit_code() {
    int status = 0;
    char part[4096];
    while (readable(log_.get(), kWaitTimeoutMs) && ::read(log_.get(), part, sizeof part) > 0) {
    }
    ::waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

 private:
  pid_t pid_ = -1;
  Fd log_;
  std::string buffer_;
};

// A gateway process with its configuration in a temporary file.
class Program {
 public:
  Program(const std::string& program, const boost::json::object& conf,
          std::vector<std::string> arguments = {}, std::vector<std::string> environment = {})
      : path_(file_for(conf)),
        ready_("ready: " + name_in(environment)),
        child_(command_of(program, std::move(arguments)), environment_of(conf, std::move(environment))),
        admin_port_(conf.contains("admin") ? child_.logged_port("admin server is listening") : 0),
        port_(child_.logged_port(ready_)) {}
  ~Program() { std::filesystem::remove(path_); }
  int port() const { return port_; }
  int admin_port() const { return admin_port_; }  // 0: no admin server
  pid_t pid() const { return child_.pid(); }
  Peer client() const { return Peer::connect(port_); }
  void terminate() { child_.signal(SIGTERM); }
  void reload(const std::string& text) {
    std::ofstream(path_) << text;
    child_.signal(SIGHUP);
  }
  std::string log_until(const std::string& text) { return child_.log_until(text); }
  int exit_code() { return child_.exit_code(); }

 private:
  static std::vector<std::string> command_of(const std::string& program, std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), program);
    return arguments;
  }
  // `more` comes first: of variables with the same name the first one takes effect.
  std::vector<std::string> environment_of(const boost::json::object& conf,
                                          std::vector<std::string> more) const {
    for (auto text : {std::string("EDGE_NAME=n0"), std::string("EDGE_LISTEN=127.0.0.1:0"),
                      "EDGE_DISCOVERY=" + std::string(conf.at("discovery").as_string()),
                      "EDGE_CONFIG=" + path_.string()}) {
      more.push_back(std::move(text));
    }
    return more;
  }
  static std::filesystem::path file_for(const boost::json::object& conf) {
    static int started = 0;
    const auto name = "cometfold-" + std::to_string(::getpid()) + "-" + std::to_string(++started) + ".json";
    const auto path = std::filesystem::temp_directory_path() / name;
    std::ofstream(path) << boost::json::serialize(conf);
    return path;
  }

  static std::string name_in(const std::vector<std::string>& environment) {
    for (const auto& text : environment) {
      if (text.starts_with("EDGE_NAME=")) return text.substr(10);
    }
    return "n0";
  }

  std::filesystem::path path_;
  std::string ready_;
  Child child_;
  int admin_port_, port_;
};

}  // namespace cometfold::emulators
