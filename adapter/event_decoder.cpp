#include "adapter/event_decoder.h"

#include <algorithm>
#include <iterator>

namespace cometfold::wire {
namespace {

constexpr std::size_t kMaxLoadFields = 4;
constexpr std::uint8_t kClientRetryFlag = 2;

struct OutcomeCode {
  std::uint16_t code;
  Outcome outcome;
};
constexpr std::uint16_t kOkCode = 100;
// All other codes are decoded as Outcome::kError.
constexpr OutcomeCode kOutcomeCodes[] = {
    {kOkCode, Outcome::kOk},        {302, Outcome::kOverloaded},     {303, Outcome::kTimedOut},
    {304, Outcome::kConnectFailed}, {305, Outcome::kConnectionLost}, {306, Outcome::kCancelled},
    {307, Outcome::kNotSent},
};

Outcome outcome_of(std::uint16_t code) {
  const auto* found = std::find_if(std::begin(kOutcomeCodes), std::end(kOutcomeCodes),
                                   [&](const OutcomeCode& entry) { return entry.code == code; });
  return found == std::end(kOutcomeCodes) ? Outcome::kError : found->outcome;
}

HostState host_state_of(std::uint8_t code) {
  switch (code) {
    case 1:
      return HostState::kReady;
    case 2:
      return HostState::kDraining;
    default:
      return HostState::kRemoved;
  }
}

HostListUpdate list_update_of(std::uint8_t code) {
  switch (code) {
    case 0:
      return HostListUpdate::kCached;
    case 2:
      return HostListUpdate::kDelta;
    case 3:
      return HostListUpdate::kSnapshot;
    default:
      return HostListUpdate::kFailed;
  }
}

}  // namespace

Batch read_batch(Bytes frame) {
  const auto size = read_at<std::uint32_t>(frame, 0, "batch header");
  const auto event_count = read_at<std::uint32_t>(frame, 4, "batch header");
  const auto now = read_at<double>(frame, 8, "batch header");
  if (size != frame.size()) {
    throw WireError("batch header", "wrong length", "set the length to that of the whole batch");
  }
  if (event_count > (frame.size() - kBatchHeaderSize) / kEventSize) {
    throw WireError("batch", "more records than fit into its length",
                    "set the count to the number of event records");
  }
  const std::size_t records_size = event_count * kEventSize;
  return {.now = now,
          .event_count = event_count,
          .records = frame.subspan(kBatchHeaderSize, records_size),
          .tail = frame.subspan(kBatchHeaderSize + records_size)};
}

std::vector<HostEntry> read_host_entries(Bytes bytes) {
  std::vector<HostEntry> entries(bytes.size() / kHostEntrySize);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const Bytes record = bytes.subspan(i * kHostEntrySize, kHostEntrySize);
    HostEntry& entry = entries[i];
    entry.started_at = read_at<double>(record, 0, "entry");
    entry.id = read_at<std::uint32_t>(record, 8, "entry");
    entry.kind = read_at<std::uint16_t>(record, 12, "entry");
    entry.zone = read_at<std::uint16_t>(record, 14, "entry");
    entry.state = host_state_of(read_at<std::uint8_t>(record, 16, "entry"));
    entry.size = read_at<float>(record, 17, "entry");
    entry.cell = read_at<std::uint16_t>(record, 21, "entry");
  }
  return entries;
}

Bytes EventRecord::tail_part(std::uint32_t offset, std::uint64_t length, const char* where) const {
  if (offset > tail_.size() || length > tail_.size() - offset) {
    throw WireError(where, "tail offset or length out of bounds",
                    "make offset and length refer to bytes of the batch's tail");
  }
  return tail_.subspan(offset, length);
}

EventRecord::InstanceStart EventRecord::instance_start() const {
  const Bytes settings = tail_part(read<std::uint32_t>(9), read<std::uint32_t>(13), "settings");
  return {.seed = read<std::uint64_t>(1),
          .settings = {reinterpret_cast<const char*>(settings.data()), settings.size()}};
}

EventRecord::HostList EventRecord::host_list() const {
  const std::uint64_t entry_count = read<std::uint32_t>(7);
  return {
      .number = read<std::uint16_t>(1),
      .entries = read_host_entries(tail_part(read<std::uint32_t>(3), entry_count * kHostEntrySize, "list"))};
}

EventRecord::ListUpdate EventRecord::host_list_update() const {
  return {.kind = list_update_of(read<std::uint8_t>(1)), .list_number = read<std::uint16_t>(10)};
}

EventRecord::StreamStart EventRecord::stream_started() const {
  return {.request = read<std::uint64_t>(1), .attempt = read<std::uint8_t>(21)};
}

EventRecord::HealthCheckEnd EventRecord::health_check_end(std::span<const LoadField> fields) const {
  return {.host = read<std::uint32_t>(1),
          .duration_ms = read<double>(5),
          .ok = read<std::uint16_t>(13) == kOkCode,
          .load = load_report(15, fields)};
}

Request EventRecord::request() const {
  return {.id = read<std::uint64_t>(1),
          .class_index = read<std::uint16_t>(9),
          .plan_index = read<std::uint32_t>(11),
          .customer = read<std::uint64_t>(15),
          .expires_at = read<double>(23),
          .units = read<float>(31),
          .gateway_count = read<float>(35),
          .is_client_retry = (read<std::uint8_t>(43) & kClientRetryFlag) != 0};
}

AttemptResult EventRecord::attempt_end(std::span<const LoadField> fields) const {
  AttemptResult result{.request = read<std::uint64_t>(1),
                       .attempt = read<std::uint8_t>(9),
                       .host = read<std::uint32_t>(10),
                       .outcome = outcome_of(read<std::uint16_t>(14)),
                       .duration_ms = read<double>(16),
                       .request_finished = read<std::uint8_t>(24) != 0,
                       .actual_units = {},
                       .load_report = load_report(29, fields)};
  const auto actual_units = read<std::uint16_t>(27);  // 0: not reported
  if (actual_units != 0) result.actual_units = actual_units;
  return result;
}

// Reads a count and that many numbers, in the order of the load report fields in the settings.
LoadReport EventRecord::load_report(std::size_t offset, std::span<const LoadField> fields) const {
  LoadReport report;
  const std::size_t count =
      std::min<std::size_t>({std::size_t{read<std::uint8_t>(offset)}, fields.size(), kMaxLoadFields});
  for (std::size_t i = 0; i < count; ++i) {
    const double value = read<float>(offset + 1 + sizeof(float) * i);
    if (fields[i] == LoadField::kQueueLength) report.queue_length = value;
    if (fields[i] == LoadField::kInFlight) report.in_flight = value;
    if (fields[i] == LoadField::kUtilization) report.utilization = value;
  }
  return report;
}

}  // namespace cometfold::wire
