// Protocol errors in the input of a RESP2 peer, and their texts for clients and logs.
#pragma once

#include <cstdint>
#include <string_view>

namespace cometfold::resp {

enum class ProtocolError : std::uint8_t {
  kLineTooLong,
  kLineWithoutCrLf,
  kCrInsideLine,
  kEmptyLine,
  kFrameTooLong,
  kExpectedArray,
  kInvalidArrayLength,
  kTooManyElements,
  kExpectedBulkString,
  kInvalidBulkLength,
  kBulkStringTooLong,
  kBulkStringWithoutCrLf,
  kInvalidInteger,
  kUnknownType,
  kIncompleteCommandsTooLarge,  // all clients together exceed the limit of buffered command bytes
};

// Sent to clients: the texts are part of the protocol.
constexpr std::string_view text_of(ProtocolError error) {
  switch (error) {
    case ProtocolError::kLineTooLong:
      return "line too long";
    case ProtocolError::kLineWithoutCrLf:
      return "line without CR LF";
    case ProtocolError::kCrInsideLine:
      return "CR inside a line";
    case ProtocolError::kEmptyLine:
      return "empty line";
    case ProtocolError::kFrameTooLong:
      return "frame too long";
    case ProtocolError::kExpectedArray:
      return "expected an array";
    case ProtocolError::kInvalidArrayLength:
      return "invalid array length";
    case ProtocolError::kTooManyElements:
      return "too many elements";
    case ProtocolError::kExpectedBulkString:
      return "expected a bulk string";
    case ProtocolError::kInvalidBulkLength:
      return "invalid bulk length";
    case ProtocolError::kBulkStringTooLong:
      return "bulk string too long";
    case ProtocolError::kBulkStringWithoutCrLf:
      return "bulk string without CR LF";
    case ProtocolError::kInvalidInteger:
      return "invalid integer";
    case ProtocolError::kUnknownType:
      return "unknown type";
    case ProtocolError::kIncompleteCommandsTooLarge:
      return "too much half sent";
  }
  return "";
}

}  // namespace cometfold::resp
