// Addresses as text, for logs and for other gateways.
#pragma once

#include <string>

namespace cometfold::net {

// "ADDRESS:PORT", with brackets around an IPv6 address. `Endpoint` is one of Boost.Asio's for TCP or UDP.
template <class Endpoint>
std::string to_text(const Endpoint& endpoint) {
  const auto ip = endpoint.address().to_string();
  return (endpoint.address().is_v6() ? "[" + ip + "]" : ip) + ":" + std::to_string(endpoint.port());
}

}  // namespace cometfold::net
