// Errors that end a connection to discovery, other than network errors.
#pragma once

#include <string>
#include <utility>

#include "net/error.h"

namespace cometfold::net {

// `location` is discovery's address. The text omits it, as the log line says that it is about discovery.
class DiscoveryError : public Error {
 public:
  DiscoveryError(std::string address, const std::string& problem)
      : Error({std::move(address), problem, {}}, problem) {}
};

// Discovery is up, but does not return the list now.
class DiscoveryRejected : public DiscoveryError {
 public:
  DiscoveryRejected(std::string address, unsigned http_status)
      : DiscoveryError(std::move(address), "discovery answered with a status other than 200"),
        http_status_(http_status) {}

  unsigned http_status() const { return http_status_; }

 private:
  unsigned http_status_;
};

}  // namespace cometfold::net
