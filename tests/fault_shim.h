// Controls tests/soak/fault_shim.c, which is preloaded into a gateway under test: makes its system calls fail
// and steps its wall clock.
#pragma once

#include <sys/mman.h>

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "net_support.h"

namespace cometfold::net::testing {

// In the order of the shim's `enum call`.
enum class Call { kAccept, kSocket, kConnect, kEpollWait, kRecv, kSend, kShortRecv, kShortSend, kBindUnix };

// The plan file that the shim maps into the gateway under test.
class FaultPlan {
 public:
  FaultPlan() : path_(std::filesystem::temp_directory_path() / ("fault-plan-" + std::to_string(::getpid()))) {
    const Fd file(::open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (file.get() < 0 || ::ftruncate(file.get(), sizeof(Plan)) != 0)
      throw PeerError("can't create the fault plan file");
    void* at = ::mmap(nullptr, sizeof(Plan), PROT_READ | PROT_WRITE, MAP_SHARED, file.get(), 0);
    if (at == MAP_FAILED) throw PeerError("can't map the fault plan file");
    plan_ = static_cast<Plan*>(at);
  }
  ~FaultPlan() {
    ::munmap(plan_, sizeof(Plan));
    std::filesystem::remove(path_);
  }
  FaultPlan(const FaultPlan&) = delete;
  FaultPlan& operator=(const FaultPlan&) = delete;

  // The next `times` calls fail with `error`.
  void fail_next(Call call, int error, int times = 1) {
    Fault& fault = plan_->faults[static_cast<std::size_t>(call)];
    fault.error = error;
    fault.next = times;
  }
  // How many calls the shim has made fail.
  int hits(Call call) const { return plan_->faults[static_cast<std::size_t>(call)].hits; }
  void step_wall_clock(std::int64_t seconds) { plan_->wall_step_ns = seconds * 1'000'000'000; }

  std::vector<std::string> environment() const {
    return {"LD_PRELOAD=" COMETFOLD_FAULT_SHIM, "FAULT_SHIM_PLAN=" + path_.string(),
            "ASAN_OPTIONS=verify_asan_link_order=0"};
  }

 private:
  // The layout is that of `struct fault` and `struct plan` of the shim.
  struct Fault {
    std::int32_t error;
    std::atomic<std::int32_t> next, share, hits;
  };
  struct Plan {
    std::atomic<std::int64_t> wall_step_ns;
    Fault faults[11];
  };
  std::filesystem::path path_;
  Plan* plan_;
};

}  // namespace cometfold::net::testing
