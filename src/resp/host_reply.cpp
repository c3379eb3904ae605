#include "resp/host_reply.h"

#include "engine/faults.h"

namespace cometfold::resp {
using engine::mutant;
using engine::Mutant;

namespace {

constexpr std::string_view kOverloadedWord = "BUSY";
constexpr std::string_view kErrorWord = "ERR";

// Positions in a reply's array.
constexpr std::size_t kValue = 0;
constexpr std::size_t kUsage = 1;
constexpr std::size_t kLoadReport = 2;

bool is_bulk_or_null(const Item& item) {
  return item.type == ItemType::kBulk || item.type == ItemType::kNull;
}

// The usage is not forwarded, so both integers and bulk strings are accepted.
bool is_well_formed(const std::vector<Item>& items) {
  return items.size() == kHostReplyElements && items[kValue].type == ItemType::kBulk &&
         (is_bulk_or_null(items[kUsage]) || items[kUsage].type == ItemType::kInteger) &&
         is_bulk_or_null(items[kLoadReport]);
}

std::string_view first_word(std::string_view text) { return text.substr(0, text.find(' ')); }

HostReply read_array(const std::vector<Item>& items) {
  const bool accepted = is_well_formed(items) || (mutant(Mutant::kServesMalformedReply) && !items.empty());
  if (!accepted) return {.error = ReplyError::kMalformedArray};
  HostReply reply{.outcome = Outcome::kOk, .value = items[kValue].text};
  if (items.size() > kLoadReport && items[kLoadReport].type == ItemType::kBulk) {
    reply.load_report = items[kLoadReport].text;
  }
  return reply;
}

// The last word of an error line is a load report if it holds a name and a value.
HostReply read_error_line(std::string_view text) {
  const auto word = first_word(text);
  if (word != kOverloadedWord && word != kErrorWord) return {.error = ReplyError::kUnexpectedType};
  HostReply reply{.outcome = word == kOverloadedWord ? Outcome::kOverloaded : Outcome::kError};
  const auto space = text.rfind(' ');
  if (space != std::string_view::npos && text.find('=', space) != std::string_view::npos) {
    reply.load_report = text.substr(space + 1);
  }
  return reply;
}

}  // namespace

std::string_view text_of(ReplyError error) {
  switch (error) {
    case ReplyError::kNone:
      return "";
    case ReplyError::kMalformedArray:
      return "expected an array of a value, the usage and a load report";
    case ReplyError::kUnexpectedType:
      return "expected an array or an error line";
  }
  return "";
}

HostReply read_host_reply(const Frame& frame) {
  if (frame.is_array) return read_array(frame.items);
  const Item& item = frame.items[0];
  if (item.type == ItemType::kError) return read_error_line(item.text);
  return {.error = ReplyError::kUnexpectedType};
}

}  // namespace cometfold::resp
