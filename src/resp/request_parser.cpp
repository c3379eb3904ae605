#include "resp/request_parser.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <utility>

#include "resp/parse_number.h"
#include "resp/resp_writer.h"

namespace cometfold::resp {

namespace {

constexpr std::string_view kQueryCommand = "SVC.QUERY";
constexpr std::string_view kSubmitCommand = "SVC.SUBMIT";
constexpr std::size_t kWordsWithoutBody = 4;  // command, customer, id, fields
constexpr std::size_t kWordsWithBody = 5;
constexpr std::size_t kHexDigits = 16;  // of a customer or an id
constexpr CustomerId kCustomerEnd = CustomerId{1} << 33;
constexpr Ms kMaxTimeoutMs = 600'000;
constexpr std::size_t kMaxKeyBytes = 128;  // of an idempotency key
constexpr double kUnitsTolerance = 1e-6;   // relative, for rounding errors of clients

enum class Field : std::uint8_t {
  kClass,
  kPlan,
  kTimeout,
  kIdempotencyKey,
  kUnits,
  kGatewayCount,
  kFirstGateway,
  kClientRetry,
};

struct FieldName {
  std::string_view wire_name;
  Field field;
};
constexpr FieldName kFieldNames[] = {
    {"c", Field::kClass},
    {"t", Field::kPlan},
    {"d", Field::kTimeout},
    {"k", Field::kIdempotencyKey},
    {"units", Field::kUnits},
    {"spread", Field::kGatewayCount},
    {"first", Field::kFirstGateway},
    {"r", Field::kClientRetry},
};

struct ErrorText {
  RequestError error;
  std::string_view text;
};
constexpr ErrorText kErrorTexts[] = {
    {RequestError::kWrongArgumentCount, "wrong number of arguments"},
    {RequestError::kInvalidCustomer, "bad customer"},
    {RequestError::kInvalidIdentity, "bad id"},
    {RequestError::kInvalidFieldList, "bad list of names and values"},
    {RequestError::kDuplicateField, "a name stands twice"},
    {RequestError::kMissingField, "c, t, d, units, spread and first are needed"},
    {RequestError::kUnknownClass, "unknown class"},
    {RequestError::kUnknownPlan, "unknown plan"},
    {RequestError::kTimeoutOutOfRange, "d is out of range"},
    {RequestError::kInvalidIdempotencyKey, "bad key"},
    {RequestError::kUnitsOutOfRange, "units is out of range"},
    {RequestError::kGatewayCountOutOfRange, "spread is out of range"},
    {RequestError::kFirstGatewayOutOfRange, "first is out of range"},
    {RequestError::kMissingIdempotencyKey, "a keyed class needs k"},
    {RequestError::kWrongCommandForClass, "wrong command for the class"},
};

// A bit set of fields.
class FieldSet {
 public:
  constexpr FieldSet() = default;
  constexpr FieldSet(std::initializer_list<Field> fields) {
    for (const Field field : fields) insert(field);
  }
  constexpr void insert(Field field) { bits_ |= bit(field); }
  constexpr bool contains(Field field) const { return (bits_ & bit(field)) != 0; }
  constexpr bool contains_all(FieldSet other) const { return (bits_ & other.bits_) == other.bits_; }

 private:
  static constexpr unsigned bit(Field field) { return 1U << static_cast<unsigned>(field); }
  unsigned bits_ = 0;
};
constexpr FieldSet kRequiredFields = {Field::kClass, Field::kPlan,         Field::kTimeout,
                                      Field::kUnits, Field::kGatewayCount, Field::kFirstGateway};

// Returns nothing for a name that has no meaning here and is only forwarded.
std::optional<Field> field_of(std::string_view wire_name) {
  for (const FieldName& entry : kFieldNames) {
    if (entry.wire_name == wire_name) return entry.field;
  }
  return {};
}

bool parse_hex(std::string_view text, std::uint64_t& value) {
  if (text.size() != kHexDigits) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return error == std::errc{} && end == text.data() + text.size();
}

bool find_index(const std::vector<std::string>& names, std::string_view name, std::uint32_t& index) {
  const auto it = std::find(names.begin(), names.end(), name);
  index = static_cast<std::uint32_t>(it - names.begin());
  return it != names.end() && !name.empty();
}

// The client's command as forwarded to hosts. Only the remaining time differs between attempts.
class ForwardedCommand : public HostCommand {
 public:
  std::size_t bytes() const override { return body.size(); }
  std::string render(Ms remaining_ms) const override {
    std::string fields = fields_before_timeout;
    fields += std::to_string(static_cast<std::int64_t>(std::max(std::floor(remaining_ms), 1.0)));
    fields += fields_after_timeout;
    std::string command;
    command.reserve(head.size() + fields.size() + body.size() + kHeaderBytes);
    append_array(command, word_count);
    command += head;
    append_bulk(command, fields);
    command += body;
    return command;
  }

  std::string fields_before_timeout;  // up to the value of the timeout
  std::string fields_after_timeout;
  std::string head;  // command, customer and id, rendered
  std::string body;  // rendered, or empty
  std::size_t word_count = 0;

 private:
  static constexpr std::size_t kHeaderBytes = 32;  // of the array header and the header of the fields
};

class RequestParser {
 public:
  RequestParser(const CommandNames& names, ParsedRequest& parsed)
      : names_(names), parsed_(parsed), command_(std::make_unique<ForwardedCommand>()) {}

  std::optional<RequestError> parse(std::span<const Item> words) {
    if (words.size() != kWordsWithoutBody && words.size() != kWordsWithBody) {
      return RequestError::kWrongArgumentCount;
    }
    Request& request = parsed_.request;
    if (!parse_hex(words[1].text, request.customer) || request.customer >= kCustomerEnd) {
      return RequestError::kInvalidCustomer;
    }
    if (!parse_hex(words[2].text, parsed_.identity)) return RequestError::kInvalidIdentity;
    if (const auto error = parse_fields(words[3].text)) return error;
    if (request.class_index < names_.bounds.size()) request.bounds = names_.bounds[request.class_index];
    if (const auto error = check_class(words[0].text)) return error;
    render_words(words);
    parsed_.command = std::move(command_);
    return {};
  }

 private:
  std::optional<RequestError> parse_fields(std::string_view list) {
    std::string* rendered = &command_->fields_before_timeout;
    while (!list.empty()) {
      const auto pair = list.substr(0, list.find(','));
      list.remove_prefix(std::min(pair.size() + 1, list.size()));
      const auto separator = pair.find('=');
      if (separator == std::string_view::npos || separator == 0) return RequestError::kInvalidFieldList;
      const auto field = field_of(pair.substr(0, separator));
      if (field) {
        if (const auto error = parse_field(*field, pair.substr(separator + 1))) return error;
      }
      if (field == Field::kTimeout) {
        *rendered += pair.substr(0, separator + 1);
        rendered = &command_->fields_after_timeout;
      } else {
        *rendered += pair;
      }
      if (!list.empty()) *rendered += ',';
    }
    if (!present_.contains_all(kRequiredFields)) return RequestError::kMissingField;
    return {};
  }

  std::optional<RequestError> parse_field(Field field, std::string_view value) {
    if (present_.contains(field)) return RequestError::kDuplicateField;
    present_.insert(field);
    switch (field) {
      case Field::kClass:
        return error_unless(find_index(names_.classes, value, parsed_.request.class_index),
                            RequestError::kUnknownClass);
      case Field::kPlan:
        return error_unless(find_index(names_.plans, value, parsed_.request.plan_index),
                            RequestError::kUnknownPlan);
      case Field::kTimeout:
        return error_unless(parse_timeout(value), RequestError::kTimeoutOutOfRange);
      case Field::kIdempotencyKey:
        return error_unless(!value.empty() && value.size() <= kMaxKeyBytes,
                            RequestError::kInvalidIdempotencyKey);
      case Field::kUnits:
        return error_unless(parse_units(value), RequestError::kUnitsOutOfRange);
      case Field::kGatewayCount:
        return error_unless(parse_gateway_count(value), RequestError::kGatewayCountOutOfRange);
      case Field::kFirstGateway:
        return error_unless(is_gateway_index(value), RequestError::kFirstGatewayOutOfRange);
      case Field::kClientRetry:
        parsed_.request.is_client_retry = value == "1";
        return {};
    }
    return {};
  }

  static std::optional<RequestError> error_unless(bool valid, RequestError error) {
    if (valid) return {};
    return error;
  }

  bool parse_timeout(std::string_view value) {
    Ms& timeout = parsed_.timeout_ms;
    return parse_number(value, timeout) && timeout > 0 && timeout <= kMaxTimeoutMs;
  }

  bool parse_units(std::string_view value) {
    double& units = parsed_.request.units;
    return parse_number(value, units) && units > 0 &&
           units <= names_.max_request_units * (1 + kUnitsTolerance);
  }

  bool parse_gateway_count(std::string_view value) {
    double& count = parsed_.request.gateway_count;
    return parse_number(value, count) && count >= 1 && count <= names_.gateway_count;
  }

  bool is_gateway_index(std::string_view value) const {
    std::uint32_t index = 0;
    return parse_number(value, index) && index < names_.gateway_count;
  }

  std::optional<RequestError> check_class(std::string_view command_word) const {
    const Idempotency idempotency = names_.idempotency[parsed_.request.class_index];
    if (idempotency == Idempotency::kIdempotencyKey && !present_.contains(Field::kIdempotencyKey)) {
      return RequestError::kMissingIdempotencyKey;
    }
    const bool is_query = equals_ignoring_case(command_word, kQueryCommand);
    if (is_query != (idempotency == Idempotency::kIdempotent)) return RequestError::kWrongCommandForClass;
    return {};
  }

  void render_words(std::span<const Item> words) {
    for (const Item& word : words.first(3)) append_bulk(command_->head, word.text);
    if (words.size() == kWordsWithBody) append_bulk(command_->body, words.back().text);
    command_->word_count = words.size();
  }

  const CommandNames& names_;
  ParsedRequest& parsed_;
  std::unique_ptr<ForwardedCommand> command_;
  FieldSet present_;
};

}  // namespace

std::string_view text_of(RequestError error) {
  for (const ErrorText& entry : kErrorTexts) {
    if (entry.error == error) return entry.text;
  }
  return {};
}

bool equals_ignoring_case(std::string_view word, std::string_view upper_case) {
  return std::equal(word.begin(), word.end(), upper_case.begin(), upper_case.end(), [](char a, char b) {
    const bool is_lower = a >= 'a' && a <= 'z';
    return (is_lower ? a - 'a' + 'A' : a) == b;
  });
}

bool is_request_command(std::string_view word) {
  return equals_ignoring_case(word, kQueryCommand) || equals_ignoring_case(word, kSubmitCommand);
}

std::optional<RequestError> parse_request(std::span<const Item> words, const CommandNames& names,
                                          ParsedRequest& parsed) {
  return RequestParser(names, parsed).parse(words);
}

}  // namespace cometfold::resp
