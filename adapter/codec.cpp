#include "adapter/codec.h"

#include <algorithm>
#include <bit>
#include <cstring>

namespace cometfold::wire {
namespace {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

enum class Event : std::uint8_t {
  kPingResult = 0,
  kJobIn = 1,
  kMembership = 2,
  kGone = 3,
  kDone = 4,
  kKill = 5,
  kStreaming = 6,
  kSwitchTo = 8,
  kAttach = 10,
  kDeadlineHit = 11,
  kList = 12,
};

enum Action : std::uint8_t {
  kRelay = 64,
  kSayNo = 65,
  kReportFailure = 66,
  kCancel = 67,
  kWakeMe = 68,
  kTest = 69,
  kRemark = 72,
  kListen = 74,
  kRefresh = 75,
  kSpeaking = 77,
};

template <typename T>
void put(unsigned char* record, std::size_t offset, T value) {
  std::memcpy(record + offset, &value, sizeof value);
}

Bytes slice(Bytes tail, std::uint32_t offset, std::uint64_t length, const char* what) {
  if (offset > tail.size() || length > tail.size() - offset) {
    throw WireError(std::string(what) + ": tail offset or length out of bounds");
  }
  return tail.subspan(offset, length);
}

Outcome outcome_of(std::uint16_t code) {
  switch (code) {
    case 100:
      return Outcome::kOk;
    case 302:
      return Outcome::kOverloaded;
    case 303:
      return Outcome::kTimedOut;
    case 304:
      return Outcome::kConnectFailed;
    case 305:
      return Outcome::kConnectionLost;
    case 306:
      return Outcome::kCancelled;
    case 307:
      return Outcome::kNotSent;
    default:
      return Outcome::kError;
  }
}

}  // namespace

template <typename T>
T read_at(Bytes bytes, std::size_t offset, const char* what) {
  if (offset + sizeof(T) > bytes.size()) throw WireError(std::string(what) + ": cut short");
  T value;
  std::memcpy(&value, bytes.data() + offset, sizeof value);
  return value;
}

std::vector<HostEntry> read_entries(Bytes bytes) {
  std::vector<HostEntry> entries(bytes.size() / kEntrySize);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const Bytes at = bytes.subspan(i * kEntrySize, kEntrySize);
    auto& e = entries[i];
    e.started_at = read_at<double>(at, 0, "entry");
    e.id = read_at<std::uint32_t>(at, 8, "entry");
    e.kind = read_at<std::uint16_t>(at, 12, "entry");
    e.zone = read_at<std::uint16_t>(at, 14, "entry");
    const auto state = read_at<std::uint8_t>(at, 16, "entry");
    e.state = state == 1 ? HostState::kReady : state == 2 ? HostState::kDraining : HostState::kRemoved;
    e.size = read_at<float>(at, 17, "entry");
    e.cell = read_at<std::uint16_t>(at, 21, "entry");
  }
  return entries;
}

unsigned char* Reply::add(std::uint32_t instance, std::uint8_t code) {
  const bool turn = speaking_ != instance;
  speaking_ = instance;
  const std::size_t at = records_.size();
  records_.resize(at + kActionSize * (turn ? 2 : 1), '\0');
  auto* record = reinterpret_cast<unsigned char*>(records_.data()) + at;
  if (turn) {
    record[0] = kSpeaking;
    put(record, 1, instance);
    record += kActionSize;
  }
  record[0] = code;
  count_ += turn ? 2 : 1;
  return record;
}

void Reply::Sink::send(RequestId request, HostId host, Ms give_up_after) {
  auto* r = reply_.add(instance_, kRelay);
  put(r, 1, request);
  put(r, 9, host);
  put(r, 13, give_up_after);
}
void Reply::Sink::cancel(RequestId request, std::uint32_t attempt) {
  auto* r = reply_.add(instance_, kCancel);
  put(r, 1, request);
  put(r, 9, static_cast<std::uint8_t>(attempt));
}
void Reply::Sink::reject(RequestId request, Ms retry_after, RejectionReason) {
  auto* r = reply_.add(instance_, kSayNo);
  put(r, 1, request);
  put(r, 9, retry_after);
}
void Reply::Sink::fail(RequestId request, RejectionReason) {
  put(reply_.add(instance_, kReportFailure), 1, request);
}
void Reply::Sink::schedule_timer(Ms after, std::uint64_t token) {
  auto* r = reply_.add(instance_, kWakeMe);
  put(r, 1, after);
  put(r, 9, token);
}
void Reply::Sink::send_health_check(HostId host) { put(reply_.add(instance_, kTest), 1, host); }
void Reply::Sink::watch_hosts() { reply_.add(instance_, kListen)[1] = 1; }
void Reply::Sink::poll_hosts() { reply_.add(instance_, kRefresh); }
void Reply::Sink::log(std::string_view text) {
  auto* r = reply_.add(instance_, kRemark);
  put(r, 1, static_cast<std::uint32_t>(reply_.tail_.size()));
  put(r, 5, static_cast<std::uint32_t>(text.size()));
  reply_.tail_ += text;
}

std::string Reply::finish() {
  std::string frame(kReplyHeader, '\0');
  const auto size = static_cast<std::uint32_t>(kReplyHeader + records_.size() + tail_.size());
  auto* header = reinterpret_cast<unsigned char*>(frame.data());
  put(header, 0, size);
  put(header, 4, count_);
  return frame + records_ + tail_;
}

std::string Gateways::play(Bytes frame) {
  const auto size = read_at<std::uint32_t>(frame, 0, "batch header");
  const auto count = read_at<std::uint32_t>(frame, 4, "batch header");
  const auto now = read_at<double>(frame, 8, "batch header");
  if (size != frame.size()) throw WireError("batch header: wrong length");
  if (count > (frame.size() - kBatchHeader) / kEventSize) throw WireError("batch: more records than bytes");
  const Bytes records = frame.subspan(kBatchHeader, count * kEventSize);
  const Bytes tail = frame.subspan(kBatchHeader + count * kEventSize);

  Reply reply;
  std::uint32_t instance = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const Bytes r = records.subspan(i * kEventSize, kEventSize);
    const auto code = static_cast<Event>(r[0]);
    const auto u8 = [&](std::size_t at) { return r[at]; };
    const auto u16 = [&](std::size_t at) { return read_at<std::uint16_t>(r, at, "record"); };
    const auto u32 = [&](std::size_t at) { return read_at<std::uint32_t>(r, at, "record"); };
    const auto u64 = [&](std::size_t at) { return read_at<std::uint64_t>(r, at, "record"); };
    const auto f32 = [&](std::size_t at) { return static_cast<double>(read_at<float>(r, at, "record")); };
    const auto f64 = [&](std::size_t at) { return read_at<double>(r, at, "record"); };

    if (code == Event::kSwitchTo) {
      instance = u32(1);
      continue;
    }
    if (code == Event::kList) {
      const auto entries = u32(7);
      sheets_[u16(1)] = read_entries(slice(tail, u32(3), std::uint64_t{entries} * kEntrySize, "list"));
      continue;
    }
    Reply::Sink out(reply, instance);
    if (code == Event::kAttach) {
      const Bytes conf = slice(tail, u32(9), u32(13), "settings");
      const auto settings = read_settings({reinterpret_cast<const char*>(conf.data()), conf.size()});
      instances_.erase(instance);
      fields_[instance] = settings.load_report_fields;
      instances_.emplace(instance, AdmissionController(settings, u64(1))).first->second.start(now, out);
      continue;
    }
    const auto it = instances_.find(instance);
    if (it == instances_.end()) continue;
    AdmissionController& control = it->second;
    const auto report = [&](std::size_t at) {
      LoadReport load;
      const auto& fields = fields_[instance];
      const std::size_t n = std::min<std::size_t>({std::size_t{u8(at)}, fields.size(), 4});
      for (std::size_t k = 0; k < n; ++k) {
        const double v = f32(at + 1 + 4 * k);
        if (fields[k] == LoadField::kQueueLength) load.queue_length = v;
        if (fields[k] == LoadField::kInFlight) load.in_flight = v;
        if (fields[k] == LoadField::kUtilization) load.utilization = v;
      }
      return load;
    };
    switch (code) {
      case Event::kMembership: {
        const auto form = u8(1);
        const auto kind = form == 0   ? HostListUpdate::kCached
                          : form == 2 ? HostListUpdate::kDelta
                          : form == 3 ? HostListUpdate::kSnapshot
                                      : HostListUpdate::kFailed;
        static const std::vector<HostEntry> kNone;
        const auto sheet = sheets_.find(u16(10));
        if (kind != HostListUpdate::kFailed && sheet == sheets_.end())
          throw WireError("membership: unknown list");
        control.on_host_list(now, kind, kind == HostListUpdate::kFailed ? kNone : sheet->second, out);
        break;
      }
      case Event::kJobIn:
        control.on_request(
            now, {u64(1), u16(9), u32(11), u64(15), f64(23), f32(31), f32(35), (u8(43) & 2) != 0}, out);
        break;
      case Event::kPingResult:
        control.on_health_check_end(now, u32(1), f64(5), u16(13) == 100, report(15), out);
        break;
      case Event::kDeadlineHit:
        control.on_timer(now, u64(1), out);
        break;
      case Event::kGone:
        control.on_client_disconnected(now, u64(1), out);
        break;
      case Event::kStreaming:
        control.on_stream_started(now, u64(1), u8(21), out);
        break;
      case Event::kDone: {
        AttemptResult end{u64(1), u8(9), u32(10), outcome_of(u16(14)), f64(16), u8(24) != 0, {}, report(29)};
        if (u16(27) != 0) end.actual_units = u16(27);
        control.on_attempt_end(now, end, out);
        break;
      }
      case Event::kKill:
        instances_.erase(it);
        break;
      default:
        break;  // unknown events are skipped
    }
  }
  return reply.finish();
}

}  // namespace cometfold::wire
