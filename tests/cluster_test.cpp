// The checker of cluster histories on modified histories: a violation of each property must be reported.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "emulators/cluster/history.h"
#include "emulators/words.h"

namespace cometfold::emulators::cluster::testing {
namespace {

namespace json = boost::json;

Line view(double t, const std::string& gateway, int process, int start, const json::array& members,
          const std::string& standing = "together") {
  return {{"t", t},         {"what", "view"},       {"gateway", gateway}, {"process", process},
          {"start", start}, {"standing", standing}, {"members", members}};
}

json::array member_list(std::vector<std::tuple<const char*, int, const char*>> members) {
  json::array all;
  for (const auto& [name, start, state] : members) all.push_back(json::array{name, start, state});
  return all;
}

// Two gateways and one request, without a violation.
std::vector<Line> valid_history() {
  const auto both = member_list({{"g0", 10, "alive"}, {"g1", 11, "alive"}});
  std::vector<Line> h;
  h.push_back(
      {{"t", 0}, {"what", "schedule"}, {"name", "n"}, {"seed", 1}, {"text", "gateways = 2\nsettle = 5\n"}});
  h.push_back({{"t", 0}, {"what", "settings"}, {"config", config(list(1, true, {target("h0", 9)}), 9)}});
  h.push_back({{"t", 1}, {"what", "start"}, {"gateway", "g0"}, {"process", 1}});
  h.push_back({{"t", 2}, {"what", "start"}, {"gateway", "g1"}, {"process", 2}});
  h.push_back(view(100, "g0", 1, 10, both));
  h.push_back(view(101, "g1", 2, 11, both));
  const std::string id = "0000000000000001";
  const auto event_line = [&id](double t, const char* what) {
    return Line{{"t", t}, {"what", what}, {"gateway", "g0"}, {"process", 1}, {"request", id}};
  };
  auto taken = event_line(200, "taken");
  taken["class"] = "pay", taken["plan"] = "team", taken["customer"] = 1, taken["expires"] = 3200;
  h.push_back(taken);
  for (const char* what : {"came", "made", "over"}) {
    Line line{{"t", 210}, {"what", what}, {"host", "h0"}, {"connection", 1}, {"request", id}};
    if (std::string(what) == "made") line["value"] = "v";
    h.push_back(line);
  }
  auto served = event_line(220, "served");
  served["value"] = "v";
  h.push_back(served);
  h.push_back(view(2000, "g0", 1, 10, both));
  h.push_back(view(2001, "g1", 2, 11, both));
  h.push_back(view(4000, "g0", 1, 10, both));
  h.push_back(view(4001, "g1", 2, 11, both));
  h.push_back({{"t", 4100}, {"what", "finished"}});
  return h;
}

std::string violations(const std::vector<Line>& history) {
  std::string all;
  for (const auto& b : check(history).violations) all += b + "\n";
  return all;
}

std::vector<Line>::iterator line_of(std::vector<Line>& h, const std::string& what, int which = 0) {
  return std::find_if(h.begin(), h.end(),
                      [&](Line& l) { return l.at("what").as_string() == what && which-- == 0; });
}

TEST(ClusterCheck, AValidHistoryHasNoViolation) {
  EXPECT_EQ(violations(valid_history()), "");
  const auto verdict = check(valid_history());
  EXPECT_EQ(verdict.served, 1U);
  EXPECT_EQ(verdict.converged_after, 101);
}

TEST(ClusterCheck, ReportsAFailedMemberThatReturns) {
  auto h = valid_history();
  auto end = h.end() - 3;
  end = h.insert(end, view(3000, "g0", 1, 10, member_list({{"g0", 10, "alive"}, {"g1", 11, "failed"}})));
  EXPECT_NE(violations(h).find("after it had failed or left"), std::string::npos);
  const auto verdict = check(h);
  EXPECT_EQ(verdict.false_failures, 1U);
}

TEST(ClusterCheck, ReportsViewsThatDifferAtTheEnd) {
  for (const auto& members :
       {member_list({{"g0", 10, "alive"}}), member_list({{"g0", 10, "alive"}, {"g1", 11, "suspect"}}),
        member_list({{"g0", 10, "alive"}, {"g1", 12, "alive"}}),
        member_list({{"g0", 10, "alive"}, {"g1", 11, "alive"}, {"g2", 1, "alive"}})}) {
    auto h = valid_history();
    (h.end() - 3)->at("members") = members;
    EXPECT_NE(violations(h).find("views do not agree at the end"), std::string::npos)
        << json::serialize(members);
  }
  auto h = valid_history();
  (h.end() - 3)->at("standing") = "doubtful";
  EXPECT_NE(violations(h).find("reports standing doubtful"), std::string::npos);
  h = valid_history();
  h.erase(h.end() - 2);
  (h.end() - 2)->at("t") = 9000;
  EXPECT_NE(violations(h).find("sent no view for more than 3 s"), std::string::npos);
}

TEST(ClusterCheck, ReportsLateAgreement) {
  auto h = valid_history();
  h.front()["text"] = "gateways = 2\nsettle = 5\nagree_within = 0.05\n";
  EXPECT_NE(violations(h).find("ms after the last fault"), std::string::npos);
}

TEST(ClusterCheck, ReportsAMissedNameConflict) {
  auto h = valid_history();
  h.insert(h.begin() + 4, Line{{"t", 3}, {"what", "start"}, {"gateway", "g1"}, {"process", 3}});
  h.back()["t"] = 9000;
  EXPECT_NE(violations(h).find("never reported a name conflict"), std::string::npos);
}

TEST(ClusterCheck, ChecksTheRulesByTheEventsOfHostsAndClients) {
  auto h = valid_history();
  h.erase(line_of(h, "served"));
  EXPECT_NE(violations(h).find("no request lost"), std::string::npos);

  h = valid_history();
  auto again = *line_of(h, "came");
  again["t"] = 214, again["connection"] = 2;
  h.insert(line_of(h, "served"), again);
  EXPECT_NE(violations(h).find("no effect twice"), std::string::npos);

  h = valid_history();
  line_of(h, "served")->at("value") = "another";
  EXPECT_NE(violations(h).find("which no host produced"), std::string::npos);

  h = valid_history();
  h.insert(h.begin() + 4, Line{{"t", 5}, {"what", "told"}, {"host", "h0"}, {"state", "leaving"}});
  for (const char* what : {"taken", "came", "made", "over", "served"}) {
    auto line = line_of(h, what);
    line->at("t") = line->at("t").to_number<double>() + 300;
  }
  EXPECT_NE(violations(h).find("drains kept"), std::string::npos) << violations(h);

  h = valid_history();
  line_of(h, "came")->at("request") = "0000000000000009";
  EXPECT_NE(violations(h).find("which no client sent"), std::string::npos);
}

// Guards against a false violation: while the process is busy killing several gateways, a client may read the
// answer of a killed gateway after the kill was recorded.
TEST(ClusterCheck, AnAnswerWrittenBeforeAKillMayBeReadAfterIt) {
  const auto history = [] {
    auto h = valid_history();
    h.insert(line_of(h, "served"),
             Line{{"t", 215}, {"what", "end"}, {"gateway", "g0"}, {"process", 1}, {"killed", true}});
    return h;
  };
  EXPECT_EQ(violations(history()).find("rule broken"), std::string::npos) << violations(history());
  auto twice = history();
  twice.insert(line_of(twice, "served"), *line_of(twice, "served"));
  EXPECT_NE(violations(twice).find("a second reply"), std::string::npos);
  auto wrong = history();
  line_of(wrong, "served")->at("value") = "w";
  EXPECT_NE(violations(wrong).find("which no host produced for it"), std::string::npos);
}

TEST(ClusterCheck, ReportsAnUnfinishedRun) {
  auto h = valid_history();
  h.pop_back();
  EXPECT_NE(violations(h).find("not finished"), std::string::npos);
  EXPECT_THROW(check({}), std::runtime_error);
}

TEST(ClusterSchedule, ErrorsNameThePositionAndWhatIsExpected) {
  const auto why = [](const std::string& text) -> std::string {
    try {
      parse_schedule(text, "s.toml");
    } catch (const ScheduleError& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_EQ(why("gateways = 4\n[[at]]\ntime = 1\ndo = \"cut\"\ngroups = [[\"g0..g1\"], [\"g2\", \"g3\"]]\n"),
            "");
  EXPECT_NE(why("gateway = 4\n").find("s.toml:1: 'gateway' is not known; there are"), std::string::npos);
  EXPECT_NE(why("\n[[at]]\ndo = \"blow\"\n").find("s.toml:3: 'do' must be one of"), std::string::npos);
  EXPECT_NE(why("gateways = 2\n[[at]]\ndo = \"kill\"\nwho = \"g2\"\n").find("'g2' is none of g0 to g1"),
            std::string::npos);
  EXPECT_NE(why("[[at]]\ndo = \"kill\"\n").find("'who' is missing"), std::string::npos);
  EXPECT_NE(why("rate = \n").find("not TOML"), std::string::npos);
}

}  // namespace
}  // namespace cometfold::emulators::cluster::testing
