// Decodes the events of the simulator's wire protocol. Layouts and offsets are those of its specification.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "adapter/binary.h"
#include "cometfold/admission_controller.h"

namespace cometfold::wire {

inline constexpr std::size_t kBatchHeaderSize = 16;
inline constexpr std::size_t kEventSize = 48;
inline constexpr std::size_t kHostEntrySize = 23;

// Codes of event records, with their names in the wire protocol.
enum class EventCode : std::uint8_t {
  kHealthCheckEnd = 0,      // PingResult
  kRequest = 1,             // JobIn
  kHostListUpdate = 2,      // Membership
  kClientDisconnected = 3,  // Gone
  kAttemptEnd = 4,          // Done
  kInstanceKilled = 5,      // Kill
  kStreamStarted = 6,       // Streaming
  kSelectInstance = 8,      // SwitchTo
  kInstanceStart = 10,      // Attach
  kTimer = 11,              // DeadlineHit
  kHostList = 12,           // List
};

// A batch: the fields of its header, its event records, and the tail that they refer to.
struct Batch {
  double now = 0;  // milliseconds
  std::size_t event_count = 0;
  Bytes records;
  Bytes tail;
};
// Throws WireError if the header does not match the frame's size.
Batch read_batch(Bytes frame);

// One event record. Each function decodes the kind of event that it is named after and must be called for
// that code only. Strings and lists are read from the batch's tail.
class EventRecord {
 public:
  EventRecord(Bytes record, Bytes tail) : record_(record), tail_(tail) {}

  EventCode code() const { return static_cast<EventCode>(record_[0]); }

  std::uint32_t selected_instance() const { return read<std::uint32_t>(1); }

  struct InstanceStart {
    std::uint64_t seed;
    std::string_view settings;
  };
  InstanceStart instance_start() const;

  struct HostList {
    std::uint16_t number;
    std::vector<HostEntry> entries;
  };
  HostList host_list() const;

  struct ListUpdate {
    HostListUpdate kind;
    std::uint16_t list_number;
  };
  ListUpdate host_list_update() const;

  struct StreamStart {
    RequestId request;
    std::uint32_t attempt;
  };
  StreamStart stream_started() const;

  struct HealthCheckEnd {
    HostId host;
    Ms duration_ms;
    bool ok;
    LoadReport load;
  };
  HealthCheckEnd health_check_end(std::span<const LoadField> fields) const;

  Request request() const;
  RequestId disconnected_request() const { return read<std::uint64_t>(1); }
  std::uint64_t timer_token() const { return read<std::uint64_t>(1); }
  AttemptResult attempt_end(std::span<const LoadField> fields) const;

 private:
  template <typename Number>
  Number read(std::size_t offset) const {
    return read_at<Number>(record_, offset, "record");
  }
  LoadReport load_report(std::size_t offset, std::span<const LoadField> fields) const;
  Bytes tail_part(std::uint32_t offset, std::uint64_t length, const char* where) const;

  Bytes record_;
  Bytes tail_;
};

// Decodes the entries of a host list.
std::vector<HostEntry> read_host_entries(Bytes bytes);

}  // namespace cometfold::wire
