#include "explore/simulated_stream.h"

namespace cometfold::explore {

namespace {

std::string write_label(std::size_t option) {
  return option == 0 ? "all can be written" : "all but the last byte can be written";
}

}  // namespace

void World::Connection::digest(engine::Digest& into) const {
  into.add(id << 8 | std::uint64_t{state} << 4 | std::uint64_t{reading} << 3 |
           std::uint64_t{awaits_writable} << 2 | std::uint64_t{blocked} << 1 | std::uint64_t{posted});
  into.add(std::uint64_t{host} << 2 | std::uint64_t{peer_closed} << 1 | std::uint64_t{request_complete} |
           std::uint64_t{send_shutdown} << 40 | std::uint64_t{awaits_close} << 42 |
           std::uint64_t{stalled} << 41);
  into.add(connect_by);
  into.add(request);
  into.add(incoming);
  into.add(sent);
}

World::SimulatedStream::WriteResult World::SimulatedStream::write(std::string_view bytes) {
  Connection& connection = *connection_;
  if (!connection.open() || connection.peer_closed) return {0, false, true};
  if (connection.blocked) return {0, true, false};
  std::size_t written = bytes.size();
  const bool may_be_partial =
      world_.scenario_.enabled_faults.partial_write && world_.faults_left_ > 0 && written > 1;
  if (may_be_partial && world_.chooser_.choose(2, write_label) == 1) {
    --world_.faults_left_;
    connection.blocked = true;
    --written;
  }
  connection.sent += bytes.substr(0, written);
  if (connection.to_host) {
    world_.receive_at_host(connection);
  } else {
    world_.receive_at_client(connection);
  }
  return {written, false, false};
}

void World::SimulatedStream::shutdown_send() {
  connection_->send_shutdown = true;
  if (reply_expected()) {
    world_.report_violation("no request lost",
                            "the gateway shut down a connection with an outstanding reply");
  }
}

void World::SimulatedStream::close() {
  if (std::exchange(connection_->state, Connection::kClosed) == Connection::kClosed) return;
  if (connection_->to_host) {
    world_.end_attempt(*connection_, false);
  } else if (reply_expected() && !connection_->peer_closed) {
    world_.report_violation("no request lost", "the gateway closed a connection with an outstanding reply");
  }
}

}  // namespace cometfold::explore
