// Encodes the actions of all instances as one reply of the simulator's wire protocol.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cometfold/admission_controller.h"

namespace cometfold::wire {

inline constexpr std::size_t kReplyHeaderSize = 8;
inline constexpr std::size_t kActionSize = 24;

class ActionEncoder {
 public:
  // Encodes the actions of one instance. The encoder must outlive the sink.
  class Sink : public ActionSink {
   public:
    Sink(ActionEncoder& encoder, std::uint32_t instance) : encoder_(encoder), instance_(instance) {}
    void send(RequestId request, HostId host, Ms attempt_timeout_ms) override;
    void cancel(RequestId request, std::uint32_t attempt) override;
    void reject(RequestId request, Ms retry_after_ms, RejectionReason reason) override;
    void fail(RequestId request, RejectionReason reason) override;
    void schedule_timer(Ms delay, std::uint64_t token) override;
    void send_health_check(HostId host) override;
    void watch_hosts() override;
    void poll_hosts() override;
    void log(std::string_view text) override;

   private:
    ActionEncoder& encoder_;
    std::uint32_t instance_;
  };

  // Returns the reply: header, records and tail.
  std::string finish() const;

 private:
  // Appends a record with this code, preceded by one that selects the instance if the last record belongs to
  // another. The returned pointer is valid until the next call.
  unsigned char* add_record(std::uint32_t instance, std::uint8_t code);

  std::string records_;
  std::string tail_;
  std::uint32_t record_count_ = 0;
  std::int64_t selected_instance_ = -1;
};

}  // namespace cometfold::wire
