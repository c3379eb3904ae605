// cometfold-ctl: what operators ask of a running gateway, over its operators' listener.
#include <CLI/CLI.hpp>
#include <boost/asio/connect.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <stdexcept>
#include <string>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::uint64_t kLargestAnswer = 64 * 1024 * 1024;

struct CallError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The body of a call that was answered with 200.
std::string call(const std::string& at, const std::string& target, std::chrono::milliseconds patience) {
  const auto colon = at.rfind(':');
  if (colon == std::string::npos)
    throw CallError("--at must be an address and a port, such as 127.0.0.1:9901");
  asio::io_context io(1);
  beast::tcp_stream stream(io);
  http::request<http::empty_body> request(http::verb::get, target, 11);
  request.set(http::field::host, at);
  http::response_parser<http::string_body> answer;
  answer.body_limit(kLargestAnswer);
  beast::flat_buffer buffer;
  beast::error_code failed;
  stream.expires_after(patience);
  // Asynchronous, as the time limit holds for nothing else.
  asio::ip::tcp::resolver resolver(io);
  const auto then = [&failed](beast::error_code error, auto next) {
    failed = error;
    if (!error) next();
  };
  const auto places = resolver.resolve(at.substr(0, colon), at.substr(colon + 1), failed);
  if (failed) throw CallError(at + ": " + failed.message());
  stream.async_connect(places, [&](beast::error_code error, const auto&) {
    then(error, [&] {
      http::async_write(stream, request, [&](beast::error_code written, std::size_t) {
        then(written, [&] {
          http::async_read(stream, buffer, answer,
                           [&](beast::error_code read, std::size_t) { then(read, [] {}); });
        });
      });
    });
  });
  io.run();
  if (failed == beast::error::timeout) throw CallError(at + ": no answer in time; is the gateway stopped?");
  if (failed) throw CallError(at + ": " + failed.message() + "; is this the gateway's operators' address?");
  if (answer.get().result() != http::status::ok) {
    throw CallError(at + ": " + std::to_string(answer.get().result_int()) + ": " + answer.get().body());
  }
  return answer.get().body();
}

std::string text(const json::object& o, const char* key, const char* none = "-") {
  const auto* value = o.if_contains(key);
  if (!value) return none;
  return value->is_string() ? std::string(value->as_string()) : json::serialize(*value);
}

std::string seconds(const json::object& o, const char* key) {
  char out[32];
  std::snprintf(out, sizeof out, "%.1f s", o.at(key).to_number<double>() / 1000);
  return out;
}

void print_members(const json::object& all) {
  std::printf("%s (start %s) stands %s for %s\n", text(all, "name").c_str(), text(all, "start").c_str(),
              text(all, "standing").c_str(), seconds(all, "standing_since_ms").c_str());
  if (all.at("starved").as_bool()) {
    std::printf("it was stopped or starved just now: silence of others is likely its own fault\n");
  }
  if (const auto* conflict = all.if_contains("conflict")) {
    std::printf("ANOTHER PROCESS HAS THIS NAME, at %s: end one of the two\n",
                text(conflict->as_object(), "address").c_str());
  }
  std::printf("%-24s %-22s %-9s %10s  %-24s %9s %6s\n", "name", "address", "state", "since", "by", "trip ms",
              "loss");
  for (const auto& value : all.at("members").as_array()) {
    const auto& m = value.as_object();
    std::printf("%-24s %-22s %-9s %10s  %-24s %9s %6s\n", text(m, "name").c_str(), text(m, "address").c_str(),
                text(m, "state").c_str(), seconds(m, "since_ms").c_str(), text(m, "by").c_str(),
                text(m, "round_trip_ms").c_str(), text(m, "loss").c_str());
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Asks running gateways, over their operators' listeners."};
  app.set_version_flag("--version", "cometfold-ctl " COMETFOLD_VERSION);
  app.require_subcommand(1);
  auto* members = app.add_subcommand("members", "who is there, as one gateway sees it");
  std::string at;
  bool as_json = false;
  double patience = 5;
  members->add_option("--at", at, "the gateway's operators' address, such as 127.0.0.1:9901")->required();
  members->add_flag("--json", as_json, "as one JSON object");
  members->add_option("--timeout", patience, "seconds to wait for the answer")->check(CLI::Range(0.1, 600.0));
  CLI11_PARSE(app, argc, argv);
  try {
    const std::string body =
        call(at, "/_members", std::chrono::milliseconds(static_cast<long>(1000 * patience)));
    if (as_json) {
      std::printf("%s", body.c_str());
    } else {
      print_members(json::parse(body).as_object());
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cometfold-ctl: %s\n", error.what());
    return 1;
  }
}
