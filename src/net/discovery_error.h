// What ends a connection to discovery, other than a fault of the network.
#pragma once

#include <string>
#include <utility>

#include "net/error.h"

namespace cometfold::net {

// `location` is discovery's address; the text leaves it out, as the log names the watch.
class DiscoveryError : public Error {
 public:
  DiscoveryError(std::string address, const std::string& problem)
      : Error({std::move(address), problem, {}}, problem) {}
};

// Discovery is up, and does not give the list now.
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
