// Parses a client's request from the words of its RESP2 command, and renders it for hosts. The wire names of
// fields and the texts of errors are defined only here. Pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cometfold/admission_controller.h"
#include "resp/host_command.h"
#include "resp/resp_reader.h"

namespace cometfold::resp {

// The names of classes and plans that clients may use, by index, and the limits of their requests.
struct CommandNames {
  std::vector<std::string> classes, plans;  // an empty name has been withdrawn; its index is not reused
  std::vector<Idempotency> idempotency;     // by class
  double gateway_count = 1;
  double max_request_units = 1;
  std::vector<RequestBounds> bounds = {};  // by class; none: no further bounds
};

enum class RequestError : std::uint8_t {
  kWrongArgumentCount,
  kInvalidCustomer,
  kInvalidIdentity,
  kInvalidFieldList,
  kDuplicateField,
  kMissingField,
  kUnknownClass,
  kUnknownPlan,
  kTimeoutOutOfRange,
  kInvalidIdempotencyKey,
  kUnitsOutOfRange,
  kGatewayCountOutOfRange,
  kFirstGatewayOutOfRange,
  kMissingIdempotencyKey,  // the class needs one
  kWrongCommandForClass,   // queries are for idempotent classes, submits for all other classes
};
// Without the leading `ERR`. Sent to clients: the texts are part of the protocol.
std::string_view text_of(RequestError error);

struct ParsedRequest {
  Request request;             // without id and expiry
  std::uint64_t identity = 0;  // the request's id on the wire
  Ms timeout_ms = 0;           // total time that the client waits
  std::unique_ptr<HostCommand> command;
};

// Compares two words and ignores the case of ASCII letters in `word`. `upper_case` must not contain
// lower-case letters.
bool equals_ignoring_case(std::string_view word, std::string_view upper_case);
// Whether the first word of a command, in any case, is that of a request.
bool is_request_command(std::string_view word);
// `words` must start with such a word. `parsed` is unspecified on error.
std::optional<RequestError> parse_request(std::span<const Item> words, const CommandNames& names,
                                          ParsedRequest& parsed);

}  // namespace cometfold::resp
