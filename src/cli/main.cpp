// cometfold-ctl: makes operators' calls to a running gateway through its operators' listener.
#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <string>

#include "cli/members_table.h"
#include "cli/operators_client.h"

namespace {

struct MembersOptions {
  std::string address;
  bool as_json = false;
  double timeout_seconds = 5;
};

void show_members(const MembersOptions& options) {
  const std::chrono::milliseconds timeout(static_cast<long>(1000 * options.timeout_seconds));
  const std::string body = cometfold::cli::get(options.address, "/_members", timeout);
  if (options.as_json) {
    std::printf("%s", body.c_str());
  } else {
    cometfold::cli::print_members(boost::json::parse(body).as_object());
  }
}

int run(int argc, char** argv) {
  CLI::App app{"Queries running gateways through their operators' listeners."};
  app.set_version_flag("--version", "cometfold-ctl " COMETFOLD_VERSION);
  app.require_subcommand(1);
  auto* members = app.add_subcommand("members", "show the members of the cluster as one gateway sees them");
  MembersOptions options;
  members
      ->add_option("--at", options.address,
                   "address and port of the gateway's operators' listener, such as 127.0.0.1:9901")
      ->required();
  members->add_flag("--json", options.as_json, "print one JSON object instead of a table");
  members->add_option("--timeout", options.timeout_seconds, "seconds to wait for the response")
      ->check(CLI::Range(0.1, 600.0));
  CLI11_PARSE(app, argc, argv);
  show_members(options);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cometfold-ctl: %s\n", error.what());
    return 1;
  }
}
