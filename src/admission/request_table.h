// The pending requests of this gateway, by id.
#pragma once

#include <map>

#include "admission/pending_request.h"

namespace cometfold::admission {

// References are valid until the request is erased.
class RequestTable {
 public:
  using Map = std::map<RequestId, PendingRequest>;

  // Returns null if no such request is pending.
  PendingRequest* find(RequestId id);
  PendingRequest& insert(const Request& request, const ClassSettings& class_settings, Ms now);
  // Returns the entry for `erase`, or `end()` if no such request is pending.
  Map::iterator locate(RequestId id) { return requests_.find(id); }
  void erase(Map::iterator entry) { requests_.erase(entry); }

  Map::iterator begin() { return requests_.begin(); }
  Map::iterator end() { return requests_.end(); }

 private:
  Map requests_;
};

}  // namespace cometfold::admission
