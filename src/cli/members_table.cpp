#include "cli/members_table.h"

#include <cstdio>
#include <string>

namespace cometfold::cli {

namespace {

namespace json = boost::json;

std::string text_of(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  if (!value) return "-";
  return value->is_string() ? std::string(value->as_string()) : json::serialize(*value);
}

std::string seconds_of(const json::object& object, const char* milliseconds_key) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", object.at(milliseconds_key).to_number<double>() / 1000);
  return text;
}

void print_member(const json::object& member) {
  std::printf("%-24s %-22s %-9s %10s  %-24s %9s %6s\n", text_of(member, "name").c_str(),
              text_of(member, "address").c_str(), text_of(member, "state").c_str(),
              seconds_of(member, "since_ms").c_str(), text_of(member, "by").c_str(),
              text_of(member, "round_trip_ms").c_str(), text_of(member, "loss").c_str());
}

}  // namespace

void print_members(const json::object& view) {
  std::printf("%s (start %s): %s for %s\n", text_of(view, "name").c_str(), text_of(view, "start").c_str(),
              text_of(view, "standing").c_str(), seconds_of(view, "standing_since_ms").c_str());
  if (view.at("starved").as_bool()) {
    std::printf("this gateway was recently paused or starved of CPU: other members may only seem silent\n");
  }
  if (const auto* conflict = view.if_contains("conflict")) {
    std::printf("WARNING: another process uses this name, at %s: stop one of the two\n",
                text_of(conflict->as_object(), "address").c_str());
  }
  std::printf("%-24s %-22s %-9s %10s  %-24s %9s %6s\n", "name", "address", "state", "since", "by", "trip ms",
              "loss");
  for (const auto& member : view.at("members").as_array()) print_member(member.as_object());
}

}  // namespace cometfold::cli
