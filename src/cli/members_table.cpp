#include "cli/members_table.h"

#include <cstdio>
#include <string>

namespace cometfold::cli {

namespace {

namespace json = boost::json;

std::string field_text(const json::object& object, const char* key) {
  const auto* value = object.if_contains(key);
  if (!value) return "-";
  return value->is_string() ? std::string(value->as_string()) : json::serialize(*value);
}

std::string field_seconds(const json::object& object, const char* milliseconds_key) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", object.at(milliseconds_key).to_number<double>() / 1000);
  return text;
}

void print_member(const json::object& member) {
  std::printf("%-24s %-22s %-9s %10s  %-24s %9s %6s\n", field_text(member, "name").c_str(),
              field_text(member, "address").c_str(), field_text(member, "state").c_str(),
              field_seconds(member, "since_ms").c_str(), field_text(member, "by").c_str(),
              field_text(member, "round_trip_ms").c_str(), field_text(member, "loss").c_str());
}

}  // namespace

void print_members(const json::object& view) {
  std::printf("%s (start %s): %s for %s\n", field_text(view, "name").c_str(),
              field_text(view, "start").c_str(), field_text(view, "standing").c_str(),
              field_seconds(view, "standing_since_ms").c_str());
  if (view.at("starved").as_bool()) {
    std::printf("this gateway was recently paused or starved of CPU: other members may only seem silent\n");
  }
  if (const auto* conflict = view.if_contains("conflict")) {
    std::printf("WARNING: another process uses this name, at %s: stop one of the two\n",
                field_text(conflict->as_object(), "address").c_str());
  }
  std::printf("%-24s %-22s %-9s %10s  %-24s %9s %6s\n", "name", "address", "state", "since", "by", "trip ms",
              "loss");
  for (const auto& member : view.at("members").as_array()) print_member(member.as_object());
}

}  // namespace cometfold::cli
