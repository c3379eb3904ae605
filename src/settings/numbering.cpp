#include "settings/numbering.h"

#include <algorithm>
#include <optional>

namespace cometfold::settings {

namespace {

constexpr std::size_t kMost = 1024;

bool same_right(const ClassSettings& a, const ClassSettings& b) {
  return a.idempotency == b.idempotency && a.idempotency_scope == b.idempotency_scope &&
         a.idempotency_key_ttl_ms == b.idempotency_key_ttl_ms;
}

bool same_right(const PlanSettings&, const PlanSettings&) { return true; }

bool same(const ClassSettings& a, const ClassSettings& b) {
  return same_right(a, b) && a.latency_objective_ms == b.latency_objective_ms &&
         a.deadline_ms == b.deadline_ms && a.priority_weight == b.priority_weight &&
         a.late_value_fraction == b.late_value_fraction;
}

bool same(const PlanSettings& a, const PlanSettings& b) {
  return a.quota_rate == b.quota_rate && a.quota_burst == b.quota_burst && a.plan_weight == b.plan_weight &&
         a.over_quota_cost == b.over_quota_cost && a.over_quota_value == b.over_quota_value &&
         a.ceiling_rate == b.ceiling_rate && a.ceiling_burst == b.ceiling_burst &&
         a.ceiling_slack == b.ceiling_slack && a.max_concurrent_attempts == b.max_concurrent_attempts;
}

template <class Item>
void place(const std::vector<std::string>& old_names, const std::vector<Item>& old_items,
           const std::vector<std::string>& names, const std::vector<Item>& items,
           std::vector<std::string>& placed_names, std::vector<Item>& placed, const char* what) {
  placed_names.assign(old_names.size(), "");
  placed = old_items;
  const auto number_of = [&](std::size_t i) -> std::optional<std::size_t> {
    for (std::size_t n = 0; n < old_names.size(); ++n) {
      if (old_names[n] == names[i] && same_right(old_items[n], items[i])) return n;
    }
    for (std::size_t n = 0; n < old_names.size(); ++n) {
      if (old_names[n].empty() && placed_names[n].empty() && same(old_items[n], items[i])) return n;
    }
    return {};
  };
  for (std::size_t i = 0; i < names.size(); ++i) {
    const auto n = number_of(i);
    if (n) {
      placed_names[*n] = names[i];
      placed[*n] = items[i];
    } else {
      placed_names.push_back(names[i]);
      placed.push_back(items[i]);
    }
  }
  if (placed.size() > kMost) {
    throw TooManyNamesError(std::string("settings: more than 1024 ") + what +
                            " since the start, counting those withdrawn: a restart is needed");
  }
}

}  // namespace

NumberedSettings renumber(const NumberedSettings& before, const NumberedSettings& fresh) {
  NumberedSettings merged;
  merged.settings = fresh.settings;
  place(before.classes, before.settings.classes, fresh.classes, fresh.settings.classes, merged.classes,
        merged.settings.classes, "classes");
  place(before.plans, before.settings.plans, fresh.plans, fresh.settings.plans, merged.plans,
        merged.settings.plans, "plans");
  return merged;
}

void extend_names(std::vector<std::string>& names, const std::vector<std::string>& fresh) {
  for (const auto& name : fresh) {
    if (names.size() >= kMost) return;
    if (std::find(names.begin(), names.end(), name) == names.end()) names.push_back(name);
  }
}

}  // namespace cometfold::settings
