#include "resp/resp_handler.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "resp/resp_writer.h"

namespace cometfold::resp {

namespace {

constexpr std::string_view kDuplicateIdentityError = "ERR another open request has this id";
constexpr std::string_view kBusyReply = "-BUSY\r\n";
constexpr std::size_t kMaxEchoedBytes = 64;   // of the name of an unknown command
constexpr std::size_t kBulkHeaderBytes = 16;  // reserved in addition to the value

}  // namespace

RespHandler::RespHandler(engine::Engine& engine, ReplySink& replies, CommandNames names)
    : engine_(engine), replies_(replies), names_(std::make_shared<const CommandNames>(std::move(names))) {}

CommandResult RespHandler::on_command(Ms now, ResponseHandle handle, std::span<const Item> words,
                                      const CommandArrival& arrival) {
  if (words.empty()) {
    replies_.send_error(now, handle, "ERR empty command");
    return {};
  }
  const auto command = words[0].text;
  if (is_request_command(command)) return on_request(now, handle, words, arrival);
  if (equals_ignoring_case(command, "PING")) {
    on_ping(now, handle, words);
    return {};
  }
  replies_.send_error(now, handle,
                      "ERR unknown command '" + std::string(command.substr(0, kMaxEchoedBytes)) + "'");
  return {};
}

void RespHandler::on_ping(Ms now, ResponseHandle handle, std::span<const Item> words) {
  std::string reply;
  if (words.size() > 2) {
    reply = "-ERR wrong number of arguments for 'PING'\r\n";
  } else if (!ready_) {
    reply = "-LOADING no host is known yet\r\n";
  } else if (draining_) {
    reply = "-DRAINING no new clients\r\n";
  } else if (words.size() == 2) {
    append_bulk(reply, words[1].text);
  } else {
    append_simple(reply, "PONG");
  }
  replies_.send_reply(now, handle, reply);
}

CommandResult RespHandler::on_request(Ms now, ResponseHandle handle, std::span<const Item> words,
                                      const CommandArrival& arrival) {
  const CommandNames& names = arrival.replaced_names ? *arrival.replaced_names : *names_;
  ParsedRequest parsed;
  if (const auto error = parse_request(words, names, parsed)) {
    replies_.send_error(now, handle, "ERR " + std::string(text_of(*error)));
    return {};
  }
  if (unflushed_identities_.contains(parsed.identity)) {
    replies_.send_error(now, handle, kDuplicateIdentityError);
    return {};
  }
  const Ms timeout_ms = std::max(parsed.timeout_ms - arrival.elapsed_ms, 0.0);
  engine::IncomingRequest incoming{parsed.request, timeout_ms, parsed.identity, std::move(parsed.command)};
  RequestId request_id = 0;
  switch (engine_.accept(now, *this, handle, std::move(incoming), request_id)) {
    case engine::AcceptResult::kAccepted:
      return {request_id, parsed.identity, true, now + timeout_ms};
    case engine::AcceptResult::kDuplicateIdentity:
      replies_.send_error(now, handle, kDuplicateIdentityError);
      return {};
    case engine::AcceptResult::kClientDisconnected:  // the stream reports it next and ends the connection
      return {};
    case engine::AcceptResult::kNoCapacity:  // no attempt was made, so any class may be rejected
      replies_.send_reply(now, handle, kBusyReply);
      return {};
  }
  return {};
}

void RespHandler::on_served(Ms now, ResponseHandle handle, std::string_view value) {
  std::string reply;
  reply.reserve(value.size() + kBulkHeaderBytes);
  append_bulk(reply, value);
  replies_.send_reply(now, handle, reply);
}

void RespHandler::on_rejected(Ms now, ResponseHandle handle, Ms retry_after) {
  if (retry_after >= 1) {
    const auto whole_ms = static_cast<std::int64_t>(std::ceil(retry_after));
    replies_.send_reply(now, handle, "-BUSY " + std::to_string(whole_ms) + "\r\n");
  } else {
    replies_.send_reply(now, handle, kBusyReply);
  }
}

void RespHandler::on_failed(Ms now, ResponseHandle handle, engine::FailureReason reason) {
  switch (reason) {
    case engine::FailureReason::kTimedOut:
      return replies_.send_reply(now, handle, "-ERR timed out\r\n");
    case engine::FailureReason::kShuttingDown:
      return replies_.send_reply(now, handle, "-ERR stopping\r\n");
    case engine::FailureReason::kPolicy:
    case engine::FailureReason::kInternal:
      return replies_.send_reply(now, handle, "-ERR failed\r\n");
  }
}

}  // namespace cometfold::resp
