// Translates discovery's list of hosts into the admission module's entries, and remembers which hosts are
// listed. Without I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cometfold/admission_controller.h"
#include "net/clock.h"
#include "net/departed_hosts.h"
#include "net/host_list.h"

namespace cometfold::net {

// The id of a host, a hash of its uid: the same at every gateway and after every restart.
HostId host_number(std::string_view uid);

// The index of `name`, or the size of `names` if it is not found.
std::uint32_t index_of(const std::vector<std::string>& names, const std::string& name);

class HostRegistry {
 public:
  // The configuration's names, whose indices the admission module uses. Both must outlive the registry.
  struct Names {
    const std::vector<std::string>& kinds;
    const std::vector<std::string>& zones;
  };
  using ReadyCallback =
      std::function<void(HostId host, const boost::asio::ip::tcp::endpoint& address, Ms started_at)>;

  // `on_ready` is called by `update` for each host that is listed as ready.
  HostRegistry(Clock& clock, Names names, ReadyCallback on_ready);

  // Returns the entries for the admission module; those of a snapshot include a removal for each host that it
  // omits. Call `commit` with them once the module has received them.
  std::vector<HostEntry> update(const HostList& list, HostListUpdate kind);
  void commit(const std::vector<HostEntry>& entries);
  // Removes the hosts that a predecessor reported as departed, and returns their removals for the module.
  std::vector<HostEntry> remove(const std::vector<DepartedHost>& departed);

  std::size_t size() const { return hosts_.size(); }
  std::vector<DepartedHost> departed_hosts() const { return departed_.list(); }

 private:
  struct Host {
    std::string uid;
    std::optional<double> boot_unix_ms;
    Ms started_at = 0;
  };

  std::optional<HostEntry> register_host(const DiscoveredHost& host, const HostList& list);
  Ms start_time(HostId id, const DiscoveredHost& host, const HostList& list);

  Clock& clock_;
  Names names_;
  ReadyCallback on_ready_;
  std::map<HostId, Host> hosts_;
  DepartedHosts departed_;
};

}  // namespace cometfold::net
