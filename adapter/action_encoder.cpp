#include "adapter/action_encoder.h"

#include "adapter/binary.h"

namespace cometfold::wire {
namespace {

// Codes of action records, with their names in the wire protocol.
enum ActionCode : std::uint8_t {
  kSend = 64,             // Relay
  kReject = 65,           // SayNo
  kFail = 66,             // ReportFailure
  kCancel = 67,           // Cancel
  kScheduleTimer = 68,    // WakeMe
  kSendHealthCheck = 69,  // Test
  kLog = 72,              // Remark
  kWatchHosts = 74,       // Listen
  kPollHosts = 75,        // Refresh
  kSelectInstance = 77,   // Speaking
};

}  // namespace

unsigned char* ActionEncoder::add_record(std::uint32_t instance, std::uint8_t code) {
  const bool selects = selected_instance_ != instance;
  const std::uint32_t added = selects ? 2 : 1;
  const std::size_t offset = records_.size();
  records_.resize(offset + kActionSize * added, '\0');
  auto* record = reinterpret_cast<unsigned char*>(records_.data()) + offset;
  if (selects) {
    record[0] = kSelectInstance;
    write_at(record, 1, instance);
    record += kActionSize;
  }
  record[0] = code;
  record_count_ += added;
  selected_instance_ = instance;
  return record;
}

void ActionEncoder::Sink::send(RequestId request, HostId host, Ms attempt_timeout_ms) {
  auto* record = encoder_.add_record(instance_, kSend);
  write_at(record, 1, request);
  write_at(record, 9, host);
  write_at(record, 13, attempt_timeout_ms);
}

void ActionEncoder::Sink::cancel(RequestId request, std::uint32_t attempt) {
  auto* record = encoder_.add_record(instance_, kCancel);
  write_at(record, 1, request);
  write_at(record, 9, static_cast<std::uint8_t>(attempt));
}

void ActionEncoder::Sink::reject(RequestId request, Ms retry_after_ms, RejectionReason) {
  auto* record = encoder_.add_record(instance_, kReject);
  write_at(record, 1, request);
  write_at(record, 9, retry_after_ms);
}

void ActionEncoder::Sink::fail(RequestId request, RejectionReason) {
  write_at(encoder_.add_record(instance_, kFail), 1, request);
}

void ActionEncoder::Sink::schedule_timer(Ms delay, std::uint64_t token) {
  auto* record = encoder_.add_record(instance_, kScheduleTimer);
  write_at(record, 1, delay);
  write_at(record, 9, token);
}

void ActionEncoder::Sink::send_health_check(HostId host) {
  write_at(encoder_.add_record(instance_, kSendHealthCheck), 1, host);
}

void ActionEncoder::Sink::watch_hosts() {
  constexpr std::uint8_t kSubscribe = 1;
  write_at(encoder_.add_record(instance_, kWatchHosts), 1, kSubscribe);
}

void ActionEncoder::Sink::poll_hosts() { encoder_.add_record(instance_, kPollHosts); }

void ActionEncoder::Sink::log(std::string_view text) {
  auto* record = encoder_.add_record(instance_, kLog);
  write_at(record, 1, static_cast<std::uint32_t>(encoder_.tail_.size()));
  write_at(record, 5, static_cast<std::uint32_t>(text.size()));
  encoder_.tail_ += text;
}

std::string ActionEncoder::finish() const {
  std::string header(kReplyHeaderSize, '\0');
  auto* bytes = reinterpret_cast<unsigned char*>(header.data());
  write_at(bytes, 0, static_cast<std::uint32_t>(kReplyHeaderSize + records_.size() + tail_.size()));
  write_at(bytes, 4, record_count_);
  return header + records_ + tail_;
}

}  // namespace cometfold::wire
