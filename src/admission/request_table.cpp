#include "admission/request_table.h"

namespace cometfold::admission {

PendingRequest* RequestTable::find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

PendingRequest& RequestTable::insert(const Request& request, const ClassSettings& class_settings, Ms now) {
  PendingRequest& pending = requests_[request.id];
  pending.request = request;
  pending.class_settings = class_settings;
  pending.arrived_at = now;
  return pending;
}

}  // namespace cometfold::admission
