// Parsing of requests from RESP2 commands: all wire names, all error texts, and the commands sent to hosts.
#include "resp/request_parser.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "resp/host_reply.h"
#include "resp/load_report.h"
#include "resp/protocol_error.h"

namespace cometfold::resp {
namespace {

const std::string kCustomer = "00000000000000ab";
const std::string kIdentity = "00000000000000cd";
const std::string kFields = "c=safe,t=team,d=250.5,k=x,units=2,spread=1,first=0";

CommandNames command_names() {
  CommandNames names{{"safe", "keyed", ""},
                     {"team"},
                     {Idempotency::kIdempotent, Idempotency::kIdempotencyKey, Idempotency::kNonIdempotent}};
  names.max_request_units = 4;
  return names;
}

std::optional<RequestError> parse(const std::vector<std::string>& words, ParsedRequest& parsed) {
  std::vector<Item> items;
  for (const auto& word : words) items.push_back({ItemType::kBulk, word});
  return parse_request(items, command_names(), parsed);
}

std::optional<RequestError> error_of(const std::vector<std::string>& words) {
  ParsedRequest parsed;
  return parse(words, parsed);
}

std::optional<RequestError> error_of_fields(const std::string& fields) {
  return error_of({"SVC.QUERY", kCustomer, kIdentity, fields});
}

TEST(RequestParser, MapsEachWireNameToItsField) {
  ParsedRequest parsed;
  ASSERT_FALSE(parse({"svc.Query", kCustomer, kIdentity, kFields + ",r=1,other=kept"}, parsed));
  EXPECT_EQ(parsed.identity, 0xcdu);
  EXPECT_EQ(parsed.timeout_ms, 250.5);
  EXPECT_EQ(parsed.request.customer, 0xabu);
  EXPECT_EQ(parsed.request.class_index, 0u);
  EXPECT_EQ(parsed.request.plan_index, 0u);
  EXPECT_EQ(parsed.request.units, 2);
  EXPECT_EQ(parsed.request.gateway_count, 1);
  EXPECT_TRUE(parsed.request.is_client_retry);
}

TEST(RequestParser, ForwardsTheWordsWithTheRemainingTime) {
  ParsedRequest parsed;
  ASSERT_FALSE(parse({"SVC.QUERY", kCustomer, kIdentity, kFields + ",other=kept", "body"}, parsed));
  EXPECT_EQ(parsed.command->render(99.9),
            "*5\r\n$9\r\nSVC.QUERY\r\n$16\r\n" + kCustomer + "\r\n$16\r\n" + kIdentity +
                "\r\n$58\r\nc=safe,t=team,d=99,k=x,units=2,spread=1,first=0,other=kept\r\n$4\r\nbody\r\n");
  EXPECT_NE(parsed.command->render(0.2).find(",d=1,"), std::string::npos);
}

TEST(RequestParser, ReportsEachError) {
  using Error = RequestError;
  EXPECT_EQ(error_of({"SVC.QUERY", kCustomer, kIdentity}), Error::kWrongArgumentCount);
  EXPECT_EQ(error_of({"SVC.QUERY", "ab", kIdentity, kFields}), Error::kInvalidCustomer);
  EXPECT_EQ(error_of({"SVC.QUERY", "0000000200000000", kIdentity, kFields}), Error::kInvalidCustomer);
  EXPECT_EQ(error_of({"SVC.QUERY", kCustomer, "xyz", kFields}), Error::kInvalidIdentity);
  EXPECT_EQ(error_of({"SVC.SUBMIT", kCustomer, kIdentity, kFields}), Error::kWrongCommandForClass);
  EXPECT_EQ(error_of({"SVC.SUBMIT", kCustomer, kIdentity, "c=keyed,t=team,d=1,units=2,spread=1,first=0"}),
            Error::kMissingIdempotencyKey);
  EXPECT_EQ(error_of_fields("c=safe,=x"), Error::kInvalidFieldList);
  EXPECT_EQ(error_of_fields("c=safe,c=safe"), Error::kDuplicateField);
  EXPECT_EQ(error_of_fields("c=safe,t=team"), Error::kMissingField);
  EXPECT_EQ(error_of_fields("c=none"), Error::kUnknownClass);
  EXPECT_EQ(error_of_fields("c="), Error::kUnknownClass);
  EXPECT_EQ(error_of_fields("t=none"), Error::kUnknownPlan);
  EXPECT_EQ(error_of_fields("d=0"), Error::kTimeoutOutOfRange);
  EXPECT_EQ(error_of_fields("d=600001"), Error::kTimeoutOutOfRange);
  EXPECT_EQ(error_of_fields("k="), Error::kInvalidIdempotencyKey);
  EXPECT_EQ(error_of_fields("k=" + std::string(129, 'k')), Error::kInvalidIdempotencyKey);
  EXPECT_EQ(error_of_fields("units=4.1"), Error::kUnitsOutOfRange);
  EXPECT_EQ(error_of_fields("spread=2"), Error::kGatewayCountOutOfRange);
  EXPECT_EQ(error_of_fields("first=1"), Error::kFirstGatewayOutOfRange);
}

TEST(RequestParser, SendsEachErrorsTextAsPublished) {
  using Error = RequestError;
  const std::vector<std::pair<Error, std::string>> texts = {
      {Error::kWrongArgumentCount, "wrong number of arguments"},
      {Error::kInvalidCustomer, "bad customer"},
      {Error::kInvalidIdentity, "bad id"},
      {Error::kInvalidFieldList, "bad list of names and values"},
      {Error::kDuplicateField, "a name stands twice"},
      {Error::kMissingField, "c, t, d, units, spread and first are needed"},
      {Error::kUnknownClass, "unknown class"},
      {Error::kUnknownPlan, "unknown plan"},
      {Error::kTimeoutOutOfRange, "d is out of range"},
      {Error::kInvalidIdempotencyKey, "bad key"},
      {Error::kUnitsOutOfRange, "units is out of range"},
      {Error::kGatewayCountOutOfRange, "spread is out of range"},
      {Error::kFirstGatewayOutOfRange, "first is out of range"},
      {Error::kMissingIdempotencyKey, "a keyed class needs k"},
      {Error::kWrongCommandForClass, "wrong command for the class"}};
  for (const auto& [error, text] : texts) EXPECT_EQ(text_of(error), text);
}

TEST(ProtocolErrors, HaveDistinctTexts) {
  std::set<std::string_view> texts;
  const auto last = static_cast<int>(ProtocolError::kIncompleteCommandsTooLarge);
  for (int i = 0; i <= last; ++i) texts.insert(text_of(static_cast<ProtocolError>(i)));
  EXPECT_EQ(texts.size(), static_cast<std::size_t>(last) + 1);
  EXPECT_FALSE(texts.contains(""));
}

TEST(LoadReports, LeaveOutWhatIsNoNumberOrOutOfRange) {
  const auto field_of = [](std::string_view name) {
    if (name == "queue") return LoadField::kQueueLength;
    if (name == "busy") return LoadField::kUtilization;
    if (name == "open") return LoadField::kInFlight;
    return LoadField::kOther;
  };
  const LoadReport report = parse_load_report("queue=3,busy=0.5,open=-1,other=7,open=x,open", field_of);
  EXPECT_EQ(report.queue_length, 3);
  EXPECT_EQ(report.utilization, 0.5);
  EXPECT_EQ(report.in_flight, LoadReport{}.in_flight);
  EXPECT_EQ(parse_load_report("queue=nan", field_of).queue_length, LoadReport{}.queue_length);
  EXPECT_EQ(parse_load_report("queue=100001", field_of).queue_length, LoadReport{}.queue_length);
}

TEST(HostReplies, MapWordsToOutcomes) {
  const auto reply_to = [](ItemType type, std::string_view text) {
    return read_host_reply({false, {{type, text}}});
  };
  EXPECT_EQ(reply_to(ItemType::kError, "BUSY depth=9").outcome, Outcome::kOverloaded);
  EXPECT_EQ(reply_to(ItemType::kError, "BUSY depth=9").load_report, "depth=9");
  EXPECT_EQ(reply_to(ItemType::kError, "ERR failed").outcome, Outcome::kError);
  EXPECT_EQ(reply_to(ItemType::kError, "ERR failed").load_report, "");
  EXPECT_EQ(reply_to(ItemType::kError, "BUSYX").error, ReplyError::kUnexpectedType);
  EXPECT_EQ(reply_to(ItemType::kSimple, "OK").error, ReplyError::kUnexpectedType);
  const HostReply served =
      read_host_reply({true, {{ItemType::kBulk, "v"}, {ItemType::kInteger, "1"}, {ItemType::kBulk, "r=1"}}});
  EXPECT_EQ(served.outcome, Outcome::kOk);
  EXPECT_EQ(served.value, "v");
  EXPECT_EQ(served.load_report, "r=1");
  EXPECT_EQ(read_host_reply({true, {{ItemType::kBulk, "v"}}}).error, ReplyError::kMalformedArray);
}

}  // namespace
}  // namespace cometfold::resp
