#include "extproc/decision_cache.h"

#include <iterator>
#include <utility>

namespace cometfold::extproc {

const FinishedRequest* DecisionCache::find(std::string_view proxy_id) const {
  const auto it = by_proxy_id_.find(proxy_id);
  return it == by_proxy_id_.end() ? nullptr : &*it->second;
}

void DecisionCache::insert(FinishedRequest request, std::size_t capacity) {
  erase(request.proxy_id);
  if (capacity == 0) return;
  while (oldest_first_.size() >= capacity) {
    by_proxy_id_.erase(oldest_first_.front().proxy_id);
    oldest_first_.pop_front();
  }
  oldest_first_.push_back(std::move(request));
  by_proxy_id_.emplace(oldest_first_.back().proxy_id, std::prev(oldest_first_.end()));
}

void DecisionCache::erase(std::string_view proxy_id) {
  const auto it = by_proxy_id_.find(proxy_id);
  if (it == by_proxy_id_.end()) return;
  const auto entry = it->second;
  by_proxy_id_.erase(it);  // its key points into the entry
  oldest_first_.erase(entry);
}

}  // namespace cometfold::extproc
