// The simulator's wire: frames, records and tails to the module's words and back. Translates only.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "adapter/settings.h"
#include "cometfold/admission_controller.h"

namespace cometfold::wire {

using Bytes = std::span<const unsigned char>;

template <typename T>
T read_at(Bytes bytes, std::size_t offset, const char* what);

inline constexpr std::size_t kBatchHeader = 16;
inline constexpr std::size_t kReplyHeader = 8;
inline constexpr std::size_t kEventSize = 48;
inline constexpr std::size_t kActionSize = 24;
inline constexpr std::size_t kEntrySize = 23;

std::vector<HostEntry> read_entries(Bytes bytes);

// Collects the actions of all instances into one reply.
class Reply {
 public:
  class Sink : public ActionSink {
   public:
    Sink(Reply& reply, std::uint32_t instance) : reply_(reply), instance_(instance) {}
    void send(RequestId request, HostId host, Ms give_up_after) override;
    void cancel(RequestId request, std::uint32_t attempt) override;
    void reject(RequestId request, Ms retry_after, RejectionReason why) override;
    void fail(RequestId request, RejectionReason why) override;
    void schedule_timer(Ms after, std::uint64_t token) override;
    void send_health_check(HostId host) override;
    void watch_hosts() override;
    void poll_hosts() override;
    void log(std::string_view text) override;

   private:
    Reply& reply_;
    std::uint32_t instance_;
  };

  std::string finish();

 private:
  unsigned char* add(std::uint32_t instance, std::uint8_t code);

  std::string records_;
  std::string tail_;
  std::uint32_t count_ = 0;
  std::int64_t speaking_ = -1;
};

// Plays batches to the instances that live in this process. They share nothing.
class Gateways {
 public:
  std::string play(Bytes frame);

 private:
  std::map<std::uint32_t, AdmissionController> instances_;
  std::map<std::uint32_t, std::vector<LoadField>> fields_;
  std::map<std::uint16_t, std::vector<HostEntry>> sheets_;
};

}  // namespace cometfold::wire
