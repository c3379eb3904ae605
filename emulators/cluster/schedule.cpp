#include "emulators/cluster/schedule.h"

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

namespace cometfold::emulators::cluster {

namespace {

const std::map<std::string, Step::Action> kActions{
    {"kill", Step::kKill},   {"stop", Step::kStop}, {"continue", Step::kContinue}, {"term", Step::kTerm},
    {"start", Step::kStart}, {"twin", Step::kTwin}, {"end-twin", Step::kEndTwin},  {"cut", Step::kCut},
    {"heal", Step::kHeal},   {"link", Step::kLink}, {"starve", Step::kStarve},     {"drain", Step::kDrain}};

class ScheduleReader {
 public:
  explicit ScheduleReader(std::string place) : place_(std::move(place)) {}

  [[noreturn]] void fail(const toml::node& node, const std::string& what) const {
    throw ScheduleError(place_ + ":" + std::to_string(node.source().begin.line) + ": " + what);
  }
  void check_keys(const toml::table& table, const std::vector<std::string>& names) const {
    for (const auto& [key, node] : table) {
      if (std::find(names.begin(), names.end(), key.str()) != names.end()) continue;
      std::string all;
      for (const auto& name : names) all += (all.empty() ? "" : ", ") + name;
      fail(node, "'" + std::string(key.str()) + "' is not known; there are " + all);
    }
  }
  template <class Number>
  void number(const toml::table& table, const char* name, Number& into, double least, double most) const {
    const auto* node = table.get(name);
    if (!node) return;
    const auto value = node->value<double>();
    if (!node->is_number() || !value || *value < least || *value > most) {
      fail(*node, std::string("'") + name + "' must be a number from " + std::to_string(least) + " to " +
                      std::to_string(most));
    }
    into = static_cast<Number>(*value);
  }
  std::vector<std::string> names(const toml::node& node, std::size_t gateways, char letter = 'g') const {
    std::vector<std::string> all;
    const auto one = [&](const toml::node& element) {
      const auto text = element.value<std::string>().value_or("");
      if (text == "all") {
        for (std::size_t i = 0; i < gateways; ++i) all.push_back(letter + std::to_string(i));
        return;
      }
      const auto dots = text.find("..");
      const auto first = index(element, text.substr(0, dots), gateways, letter);
      const auto last =
          dots == std::string::npos ? first : index(element, text.substr(dots + 2), gateways, letter);
      for (std::size_t i = first; i <= last; ++i) all.push_back(letter + std::to_string(i));
    };
    if (node.is_string()) {
      one(node);
    } else if (const auto* list = node.as_array()) {
      for (const auto& element : *list) one(element);
    } else {
      fail(node, "must be a name or a list of names");
    }
    return all;
  }

 private:
  std::size_t index(const toml::node& node, const std::string& name, std::size_t gateways,
                    char letter) const {
    const bool good = name.size() > 1 && name.size() < 6 && name[0] == letter &&
                      name.find_first_not_of("0123456789", 1) == std::string::npos;
    const std::size_t n = good ? std::stoul(name.substr(1)) : gateways;
    if (n >= gateways) {
      fail(node, "'" + name + "' is none of " + letter + "0 to " + letter + std::to_string(gateways - 1) +
                     "; a range is written " + letter + "1.." + letter + "3, all of them \"all\"");
    }
    return n;
  }
  std::string place_;
};

Step read_step(const ScheduleReader& read, const toml::table& table, const Schedule& s) {
  read.check_keys(table, {"time", "do", "who", "groups", "from", "to", "seconds", "loss", "delay_ms",
                          "jitter_ms", "duplicate", "corrupt", "truncate", "replay", "bytes_rate", "silent"});
  Step step;
  read.number(table, "time", step.at, 0, 3600);
  const auto* what = table.get("do");
  const auto found = what ? kActions.find(what->value<std::string>().value_or("")) : kActions.end();
  if (found == kActions.end()) {
    std::string all;
    for (const auto& [name, action] : kActions) all += (all.empty() ? "" : ", ") + name;
    read.fail(what ? *what : static_cast<const toml::node&>(table), "'do' must be one of " + all);
  }
  step.action = found->second;
  const bool host = step.action == Step::kDrain;
  if (const auto* who = table.get("who")) {
    step.targets = read.names(*who, host ? s.hosts : s.gateways, host ? 'h' : 'g');
  } else if (step.action != Step::kCut && step.action != Step::kHeal && step.action != Step::kLink) {
    read.fail(table, "'who' is missing");
  }
  if (const auto* groups = table.get_as<toml::array>("groups")) {
    for (const auto& group : *groups) step.groups.push_back(read.names(group, s.gateways));
  } else if (step.action == Step::kCut) {
    read.fail(table, "'groups' must be a list of lists of names");
  }
  if (step.action == Step::kLink) {
    for (auto [key, into] : {std::pair{"from", &step.from}, std::pair{"to", &step.to}}) {
      const auto* node = table.get(key);
      if (!node) read.fail(table, std::string("'") + key + "' is missing");
      *into = read.names(*node, s.gateways);
    }
  }
  Link& link = step.link;
  for (auto [key, into] : {std::pair{"loss", &link.loss}, std::pair{"duplicate", &link.duplicate},
                           std::pair{"corrupt", &link.corrupt}, std::pair{"truncate", &link.truncate},
                           std::pair{"replay", &link.replay}}) {
    read.number(table, key, *into, 0, 1);
  }
  read.number(table, "delay_ms", link.delay_ms, 0, 60'000);
  read.number(table, "jitter_ms", link.jitter_ms, 0, 60'000);
  read.number(table, "bytes_rate", link.bytes_rate, 0, 1e9);
  if (const auto* silent = table.get("silent")) {
    if (!silent->is_boolean()) read.fail(*silent, "'silent' must be true or false");
    link.silent = *silent->value<bool>();
  }
  read.number(table, "seconds", step.seconds, 0.1, 600);
  return step;
}

}  // namespace

std::string gateway_name(std::size_t n) { return "g" + std::to_string(n); }

Schedule parse_schedule(const std::string& text, const std::string& place) {
  const ScheduleReader read(place);
  toml::table table;
  try {
    table = toml::parse(text, place);
  } catch (const toml::parse_error& error) {
    throw ScheduleError(place + ":" + std::to_string(error.source().begin.line) +
                        ": not TOML: " + std::string(error.description()));
  }
  read.check_keys(table, {"name", "seed", "gateways", "hosts", "rate", "warm_up", "settle", "agree_within",
                          "settings", "at"});
  Schedule s;
  s.text = text;
  s.name = table["name"].value_or(place);
  s.settings = table["settings"].value_or("");
  read.number(table, "seed", s.seed, 0, 9e15);
  read.number(table, "gateways", s.gateways, 1, 100);
  read.number(table, "hosts", s.hosts, 1, 100);
  read.number(table, "rate", s.rate, 0, 5000);
  read.number(table, "warm_up", s.warm_up, 0, 600);
  read.number(table, "settle", s.settle, 0, 3600);
  read.number(table, "agree_within", s.agree_within, 0, 3600);
  if (s.agree_within == 0) s.agree_within = s.settle;
  if (const auto* at = table.get("at")) {
    if (!at->is_array_of_tables()) read.fail(*at, "steps are tables: [[at]]");
    for (const auto& step : *at->as_array()) s.steps.push_back(read_step(read, *step.as_table(), s));
  }
  std::stable_sort(s.steps.begin(), s.steps.end(), [](auto& a, auto& b) { return a.at < b.at; });
  return s;
}

std::string random_schedule(std::uint64_t seed, std::size_t gateways) {
  std::mt19937_64 random(seed);
  const auto draw = [&random](std::size_t below) { return static_cast<std::size_t>(random() % below); };
  std::ostringstream out;
  // `settle` is long because more than half of the gateways may fail at once, and the others then wait for
  // the unreachable ones.
  out << "name = \"random " << seed << "\"\nseed = " << seed << "\ngateways = " << gateways
      << "\nsettle = 45\nagree_within = 40\nrate = 30\n";
  double time = 0;
  const auto step = [&](const char* what) -> std::ostringstream& {
    out << "[[at]]\ntime = " << time << "\ndo = \"" << what << "\"\n";
    return out;
  };
  const auto who = [&](std::size_t n) { return "who = \"" + gateway_name(n) + "\"\n"; };
  const auto pause = [&](std::size_t most_ms) { time += 0.2 + static_cast<double>(draw(most_ms)) / 1000; };
  for (std::size_t n = 4 + draw(5); n > 0; --n) {
    const std::size_t one = draw(gateways);
    switch (draw(7)) {
      case 0:
        step(draw(2) == 0 ? "kill" : "term") << who(one);
        pause(5000);
        step("start") << who(one);
        break;
      case 1:
        step("kill") << who(one);
        break;
      case 2:
        step("stop") << who(one);
        pause(6000);
        step("continue") << who(one);
        break;
      case 3: {
        step("cut") << "groups = [";
        std::vector<std::string> groups(2 + draw(2));
        for (std::size_t i = 0; i < gateways; ++i) {
          std::string& group = groups[draw(groups.size())];
          group += (group.empty() ? "\"" : ", \"") + gateway_name(i) + "\"";
        }
        for (const auto& group : groups) out << '[' << group << "], ";
        out << "]\n";
        pause(8000);
        step("heal");
        break;
      }
      case 4:
        step("link") << "from = \"all\"\nto = \"all\"\nloss = 0." << draw(4) << "\njitter_ms = " << draw(100)
                     << "\nduplicate = 0." << draw(3) << "\ncorrupt = 0.0" << draw(9) << "\nreplay = 0."
                     << draw(3) << "\n";
        break;
      case 5:
        step("link") << "from = \"all\"\nto = \"" << gateway_name(one) << "\"\nsilent = true\n";
        break;
      case 6:
        step("starve") << who(one) << "seconds = " << 1 + draw(4) << "\n";
        break;
    }
    pause(4000);
  }
  time += 4;  // the longest starvation, 4 s, has ended by then
  step("heal");
  return out.str();
}

Schedule read_schedule(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) throw ScheduleError(path + ": can't be read");
  return parse_schedule(text.str(), path);
}

}  // namespace cometfold::emulators::cluster
