#include "settings/numbering.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cometfold::settings {

namespace {

bool same_idempotency(const ClassSettings& one, const ClassSettings& other) {
  return one.idempotency == other.idempotency && one.idempotency_scope == other.idempotency_scope &&
         one.idempotency_key_ttl_ms == other.idempotency_key_ttl_ms;
}

// Whether an entry may keep its index when its settings change.
bool may_replace(const ClassSettings& current, const ClassSettings& reloaded) {
  return same_idempotency(current, reloaded);
}
bool may_replace(const PlanSettings&, const PlanSettings&) { return true; }

bool equal(const ClassSettings& one, const ClassSettings& other) {
  return same_idempotency(one, other) && one.latency_objective_ms == other.latency_objective_ms &&
         one.deadline_ms == other.deadline_ms && one.priority_weight == other.priority_weight &&
         one.late_value_fraction == other.late_value_fraction;
}

bool equal(const PlanSettings& one, const PlanSettings& other) {
  return one.quota_rate == other.quota_rate && one.quota_burst == other.quota_burst &&
         one.plan_weight == other.plan_weight && one.over_quota_cost == other.over_quota_cost &&
         one.over_quota_value == other.over_quota_value && one.ceiling_rate == other.ceiling_rate &&
         one.ceiling_burst == other.ceiling_burst && one.ceiling_slack == other.ceiling_slack &&
         one.max_concurrent_attempts == other.max_concurrent_attempts;
}

// Classes or plans with their names, by index.
template <class Item>
struct NamedItems {
  std::vector<std::string> names;
  std::vector<Item> items;
};

// The index of the current entry of this name if the new settings may replace it, or else a withdrawn index
// whose settings equal `item`. `taken` holds the names assigned to indices so far.
template <class Item>
std::optional<std::size_t> existing_index(const NamedItems<Item>& current,
                                          const std::vector<std::string>& taken, const std::string& name,
                                          const Item& item) {
  for (std::size_t i = 0; i < current.names.size(); ++i) {
    if (current.names[i] == name && may_replace(current.items[i], item)) return i;
  }
  for (std::size_t i = 0; i < current.names.size(); ++i) {
    if (current.names[i].empty() && taken[i].empty() && equal(current.items[i], item)) return i;
  }
  return std::nullopt;
}

template <class Item>
NamedItems<Item> merge(const NamedItems<Item>& current, const NamedItems<Item>& reloaded, const char* kind) {
  NamedItems<Item> merged;
  merged.names.assign(current.names.size(), "");
  merged.items = current.items;
  for (std::size_t i = 0; i < reloaded.names.size(); ++i) {
    const auto index = existing_index(current, merged.names, reloaded.names[i], reloaded.items[i]);
    if (index) {
      merged.names[*index] = reloaded.names[i];
      merged.items[*index] = reloaded.items[i];
    } else {
      merged.names.push_back(reloaded.names[i]);
      merged.items.push_back(reloaded.items[i]);
    }
  }
  if (merged.items.size() > kMaxNames) throw TooManyNamesError(kind);
  return merged;
}

}  // namespace

TooManyNamesError::TooManyNamesError(std::string kind)
    : std::runtime_error("settings: more than " + std::to_string(kMaxNames) + " " + kind +
                         " since the start, counting those withdrawn: a restart is needed"),
      kind_(std::move(kind)) {}

NumberedSettings renumber(const NumberedSettings& current, const NumberedSettings& reloaded) {
  auto classes = merge<ClassSettings>({current.classes, current.settings.classes},
                                      {reloaded.classes, reloaded.settings.classes}, "classes");
  auto plans = merge<PlanSettings>({current.plans, current.settings.plans},
                                   {reloaded.plans, reloaded.settings.plans}, "plans");
  NumberedSettings merged{std::move(classes.names), std::move(plans.names), reloaded.settings};
  merged.settings.classes = std::move(classes.items);
  merged.settings.plans = std::move(plans.items);
  return merged;
}

void extend_names(std::vector<std::string>& names, const std::vector<std::string>& added) {
  for (const auto& name : added) {
    if (names.size() >= kMaxNames) return;
    if (std::find(names.begin(), names.end(), name) == names.end()) names.push_back(name);
  }
}

}  // namespace cometfold::settings
