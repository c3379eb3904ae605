#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "resp/resp_handler.h"

namespace cometfold::resp {

namespace {

constexpr Ms kLongestWait = 600'000;   // of a client; more is no sensible time
constexpr double kMostReported = 1e5;  // of a figure in a load report; no host holds so many
constexpr std::size_t kLongestName = 128;
constexpr std::string_view kSameId = "ERR another open request has this id";
constexpr CustomerId kCustomers = CustomerId{1} << 33;

template <typename T>
bool read_number(std::string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

bool read_hex(std::string_view text, std::uint64_t& value) {
  if (text.size() != 16) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return error == std::errc{} && end == text.data() + text.size();
}

bool read_index(const std::vector<std::string>& names, std::string_view name, std::uint32_t& index) {
  const auto it = std::find(names.begin(), names.end(), name);
  index = static_cast<std::uint32_t>(it - names.begin());
  return it != names.end() && !name.empty();  // a name that is withdrawn leaves an empty one
}

// The names that a request's list may hold, as bits; 0 for one that is not known here and just passed on.
constexpr unsigned kClass = 1, kPlan = 2, kWait = 4, kKey = 8, kUnits = 16, kSpread = 32, kFirst = 64;
constexpr unsigned kAgain = 128;
constexpr unsigned kNeeded = kClass | kPlan | kWait | kUnits | kSpread | kFirst;

unsigned bit_of(std::string_view name) {
  constexpr std::pair<std::string_view, unsigned> kNames[] = {
      {"c", kClass},     {"t", kPlan},        {"d", kWait},      {"k", kKey},
      {"units", kUnits}, {"spread", kSpread}, {"first", kFirst}, {"r", kAgain}};
  for (const auto& [known, bit] : kNames) {
    if (known == name) return bit;
  }
  return 0;
}

bool same_word(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return (x >= 'a' && x <= 'z' ? x - 'a' + 'A' : x) == y; });
}

// The client's words, kept to be passed on; only the time left differs between attempts.
class Order : public HostCommand {
 public:
  std::size_t bytes() const override { return body.size(); }
  std::string render(Ms left) const override {
    std::string list = before + std::to_string(static_cast<std::int64_t>(std::max(std::floor(left), 1.0)));
    list += after;
    std::string request;
    request.reserve(head.size() + list.size() + body.size() + 32);
    append_array(request, words);
    request += head;
    append_bulk(request, list);
    request += body;
    return request;
  }

  std::string before;  // up to the time left in the list of names and values
  std::string after;   // the rest of the list
  std::string head;    // command, customer and id as they go out
  std::string body;    // as it goes out, or empty
  std::size_t words = 0;
};

}  // namespace

struct RespHandler::Parsed {
  Request request;
  std::uint64_t wire_id = 0;
  Ms wait = 0;
  std::unique_ptr<Order> order = std::make_unique<Order>();
};

RespHandler::RespHandler(engine::Engine& engine, ReplySink& replies, CommandNames names)
    : engine_(engine), replies_(replies), names_(std::move(names)) {}

CommandResult RespHandler::on_command(Ms now, ResponseHandle ticket, std::span<const Item> words, Ms waited) {
  if (words.empty()) {
    replies_.send_error(now, ticket, "ERR empty command");
    return {};
  }
  const auto verb = words[0].text;
  if (same_word(verb, "SVC.QUERY") || same_word(verb, "SVC.SUBMIT")) return take(now, ticket, words, waited);
  if (same_word(verb, "PING")) {
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
    replies_.send_reply(now, ticket, reply);
    return {};
  }
  replies_.send_error(now, ticket, "ERR unknown command '" + std::string(verb.substr(0, 64)) + "'");
  return {};
}

// One value of the list: the reason why it is none, or null.
const char* RespHandler::field(std::string_view value, unsigned bit, Parsed& parsed) const {
  Request& q = parsed.request;
  std::uint32_t first = 0;
  switch (bit) {
    case kClass:
      return read_index(names_.classes, value, q.class_index) ? nullptr : "unknown class";
    case kPlan:
      return read_index(names_.plans, value, q.plan_index) ? nullptr : "unknown plan";
    case kWait:
      return read_number(value, parsed.wait) && parsed.wait > 0 && parsed.wait <= kLongestWait
                 ? nullptr
                 : "d is out of range";
    case kKey:
      return value.empty() || value.size() > kLongestName ? "bad key" : nullptr;
    case kUnits:
      return read_number(value, q.units) && q.units > 0 && q.units <= names_.max_request_units * (1 + 1e-6)
                 ? nullptr
                 : "units is out of range";
    case kSpread:
      return read_number(value, q.gateway_count) && q.gateway_count >= 1 &&
                     q.gateway_count <= names_.gateway_count
                 ? nullptr
                 : "spread is out of range";
    case kFirst:
      return read_number(value, first) && first < names_.gateway_count ? nullptr : "first is out of range";
    case kAgain:
      q.is_client_retry = value == "1";
      return nullptr;
    default:
      return nullptr;
  }
}

// The reason why a request is none, or null.
const char* RespHandler::parse(std::span<const Item> words, Parsed& parsed) const {
  if (words.size() != 4 && words.size() != 5) return "wrong number of arguments";
  Request& q = parsed.request;
  if (!read_hex(words[1].text, q.customer) || q.customer >= kCustomers) return "bad customer";
  if (!read_hex(words[2].text, parsed.wire_id)) return "bad id";

  unsigned seen = 0;
  auto list = words[3].text;
  Order& order = *parsed.order;
  std::string* part = &order.before;
  while (!list.empty()) {
    const auto pair = list.substr(0, list.find(','));
    list.remove_prefix(std::min(pair.size() + 1, list.size()));
    const auto eq = pair.find('=');
    if (eq == std::string_view::npos || eq == 0) return "bad list of names and values";
    const auto name = pair.substr(0, eq), value = pair.substr(eq + 1);
    const unsigned bit = bit_of(name);
    if (bit != 0 && (seen & bit)) return "a name stands twice";
    seen |= bit;
    if (const char* why = field(value, bit, parsed)) return why;
    if (bit == kWait) {
      *part += "d=";
      part = &order.after;
    } else {
      *part += pair;
    }
    if (!list.empty()) *part += ',';
  }
  if ((seen & kNeeded) != kNeeded) return "c, t, d, units, spread and first are needed";
  if (q.class_index < names_.bounds.size()) q.bounds = names_.bounds[q.class_index];
  const auto repeat = names_.idempotency[q.class_index];
  if (repeat == Idempotency::kIdempotencyKey && !(seen & kKey)) return "a keyed class needs k";
  if (same_word(words[0].text, "SVC.QUERY") != (repeat == Idempotency::kIdempotent))
    return "wrong command for the class";
  for (const auto& w : words.first(3)) append_bulk(order.head, w.text);
  if (words.size() == 5) append_bulk(order.body, words[4].text);
  order.words = words.size();
  return nullptr;
}

CommandResult RespHandler::take(Ms now, ResponseHandle ticket, std::span<const Item> words, Ms waited) {
  Parsed parsed;
  if (const char* why = parse(words, parsed)) {
    replies_.send_error(now, ticket, std::string("ERR ") + why);
    return {};
  }
  const auto identity = parsed.wire_id;
  if (unsent_.contains(identity)) {
    replies_.send_error(now, ticket, kSameId);
    return {};
  }
  engine::IncomingRequest ask{parsed.request, std::max(parsed.wait - waited, 0.0), parsed.wire_id,
                              std::move(parsed.order)};
  RequestId name = 0;
  switch (engine_.accept(now, *this, ticket, std::move(ask), name)) {
    case engine::AcceptResult::kAccepted:
      return {name, identity, true};
    case engine::AcceptResult::kDuplicateIdentity:
      replies_.send_error(now, ticket, kSameId);
      return {};
    case engine::AcceptResult::kClientDisconnected:  // its end is told next, and closes the connection
      return {};
    case engine::AcceptResult::kNoCapacity:  // nothing has been sent for it, so a refusal is lawful
      replies_.send_reply(now, ticket, "-BUSY\r\n");
      return {};
  }
  return {};
}

void RespHandler::on_served(Ms now, ResponseHandle ticket, std::string_view value) {
  std::string reply;
  reply.reserve(value.size() + 16);
  append_bulk(reply, value);
  replies_.send_reply(now, ticket, reply);
}

void RespHandler::on_rejected(Ms now, ResponseHandle ticket, Ms retry_after) {
  if (retry_after >= 1) {
    const auto ms = std::to_string(static_cast<std::int64_t>(std::ceil(retry_after)));
    replies_.send_reply(now, ticket, "-BUSY " + ms + "\r\n");
  } else {
    replies_.send_reply(now, ticket, "-BUSY\r\n");
  }
}

void RespHandler::on_failed(Ms now, ResponseHandle ticket, engine::FailureReason why) {
  switch (why) {
    case engine::FailureReason::kTimedOut:
      return replies_.send_reply(now, ticket, "-ERR timed out\r\n");
    case engine::FailureReason::kShuttingDown:
      return replies_.send_reply(now, ticket, "-ERR stopping\r\n");
    case engine::FailureReason::kPolicy:
    case engine::FailureReason::kInternal:
      return replies_.send_reply(now, ticket, "-ERR failed\r\n");
  }
}

LoadReport parse_load_report(std::string_view text, LoadField (*field_of)(std::string_view)) {
  LoadReport load;
  while (!text.empty()) {
    const auto pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(pair.size() + 1, text.size()));
    const auto eq = pair.find('=');
    double v = 0;
    if (eq == std::string_view::npos || !read_number(pair.substr(eq + 1), v) ||
        !(v >= 0 && v <= kMostReported))
      continue;
    switch (field_of(pair.substr(0, eq))) {
      case LoadField::kQueueLength:
        load.queue_length = v;
        break;
      case LoadField::kInFlight:
        load.in_flight = v;
        break;
      case LoadField::kUtilization:
        load.utilization = v;
        break;
      case LoadField::kOther:
        break;
    }
  }
  return load;
}

}  // namespace cometfold::resp
