#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "membership/faults.h"

namespace cometfold::membership {

namespace {

constexpr int kCorrectionsPerTick = 8;
constexpr std::size_t kMaxRecordsPerCorrection = 5;
constexpr int kLeaveAnnouncements = 3;
constexpr Ms kReportedPauseMs = 1000;        // pauses up to this long raise no event
constexpr std::size_t kEventsPerMember = 4;  // capacity of the event queue
constexpr std::size_t kMapNodeBytes = 48;
constexpr std::size_t kPointerBytes = sizeof(void*);

}  // namespace

Membership::Membership(const MembershipSettings& settings, MemberRecord self, std::vector<std::string> seeds,
                       Draw draw)
    : settings_(settings),
      draw_(std::move(draw)),
      events_(kEventsPerMember * settings_.max_members),
      gossip_(settings_, draw_),
      table_(settings_, std::move(self), gossip_, events_),
      outbox_(settings_, draw_, table_, conflict_, metrics_),
      health_(settings_),
      suspicions_(settings_, table_, gossip_),
      detector_(settings_, table_, suspicions_, health_, gossip_, outbox_, metrics_),
      identity_(table_, gossip_, detector_, conflict_, events_, metrics_),
      merger_(settings_, table_, gossip_, suspicions_, identity_, metrics_),
      anti_entropy_(settings_, draw_, table_, outbox_, metrics_),
      reachability_(settings_, table_, suspicions_, gossip_, events_, metrics_),
      rejoiner_(draw_, table_, conflict_, anti_entropy_, outbox_, std::move(seeds)),
      rings_(settings_.observers_per_member) {}

void Membership::start(Ms now) {
  outbox_.start(now);
  Member& member = table_.insert(table_.self().name);
  table_.set_record(now, member, table_.self());
  gossip_.enqueue_record(member);
  rejoiner_.start_fast_rejoin();
  next_tick_ = now + static_cast<Ms>(draw_(static_cast<std::uint64_t>(settings_.ping_interval_ms)));
  rejoiner_.start(now);
}

void Membership::receive(Ms now, const Message& message) {
  if (message.sender.name == table_.self().name) {
    if (message.sender.process_nonce != table_.self().process_nonce)
      receive_from_conflicting_process(now, message);
    return;
  }
  if (!accepts(message)) return;
  merger_.merge(now, message.sender, RecordSource::kSender);
  Member* sender = table_.find(message.sender.name);
  const bool current = sender && sender->record.status == MemberStatus::kAlive &&
                       same_incarnation(sender->record, message.sender) &&
                       message.sender.status == MemberStatus::kAlive;
  if (current) {
    receive_current(now, *sender, message);
  } else {
    receive_stale(now, message, sender);
  }
}

// Datagrams that waited in the socket during a long pause are outdated: until the first answer to a message
// that was sent after the pause, all others are ignored.
bool Membership::accepts(const Message& message) {
  if (!answer_sequence_floor_) return true;
  const bool answer = message.type == Message::kSyncReply || message.type == Message::kAck ||
                      message.type == Message::kCorrection;
  const bool late_enough =
      message.sequence > *answer_sequence_floor_ && message.sequence <= outbox_.last_sequence();
  if (!answer || !late_enough) return false;
  answer_sequence_floor_.reset();
  return true;
}

void Membership::receive_current(Ms now, Member& sender, const Message& message) {
  merger_.observe_contact(now, sender);
  const std::uint64_t incarnation = table_.self().incarnation;
  merge_records(now, message);
  for (const auto& suspicion : message.suspicions) suspicions_.receive(now, suspicion);
  identity_.apply_floor(now, message.incarnation_floor);
  if (table_.self().incarnation != incarnation) anti_entropy_.request_sync(now, message.sender.address);
  answer(now, message);
  const bool has_digest = message.type == Message::kPing || message.type == Message::kAck;
  if (has_digest) anti_entropy_.compare_digest(now, message);
}

// Corrects the sender's record of a member whose tombstone this gateway may have forgotten: either the member
// has ended, or it takes a new incarnation when it learns of the correction.
void Membership::merge_records(Ms now, const Message& message) {
  std::vector<MemberRecord> forgotten;
  for (const auto& record : message.records) {
    merger_.merge(now, record, RecordSource::kThirdParty);
    const bool is_forgotten = record.status == MemberStatus::kAlive &&
                              record.incarnation <= table_.incarnation_floor() && !table_.find(record.name);
    if (!is_forgotten || forgotten.size() >= kMaxRecordsPerCorrection) continue;
    MemberRecord& failed = forgotten.emplace_back(record);
    failed.status = MemberStatus::kFailed;
    failed.reported_by = table_.self().name;
    failed.age_ms = settings_.tombstone_retention_ms / 2;
  }
  if (forgotten.empty()) return;
  Message correction = outbox_.make(Message::kCorrection);
  correction.records = std::move(forgotten);
  correct(now, message, std::move(correction));
}

void Membership::answer(Ms now, const Message& message) {
  if (message.type == Message::kPing) {
    Message ack = outbox_.make(Message::kAck);
    ack.sequence = message.sequence;
    gossip_.piggyback(now, ack);
    outbox_.send(now, message.sender.address, std::move(ack));
  } else if (message.type == Message::kAck) {
    detector_.receive_ack(now, message);
  } else {
    anti_entropy_.receive(now, message);
  }
}

// To this gateway the sender is not a current member: it gets a correction. Its records of this gateway count
// all the same, as after a partition each side has declared the other failed.
void Membership::receive_stale(Ms now, const Message& message, const Member* sender) {
  ++metrics_.stale_messages;
  const std::uint64_t incarnation = table_.self().incarnation;
  for (const auto& record : message.records) {
    if (record.name == table_.self().name) identity_.merge(now, record);
  }
  identity_.apply_floor(now, message.incarnation_floor);
  if (table_.self().incarnation != incarnation) anti_entropy_.request_sync(now, message.sender.address);
  if (message.sender.status != MemberStatus::kAlive) return;
  Message correction = outbox_.make(Message::kCorrection);
  correction.sequence = message.sequence;
  if (sender) {
    correction.records.push_back(advertised_record(now, *sender));
  } else {
    correction.incarnation_floor = table_.incarnation_floor();
  }
  correct(now, message, std::move(correction));
}

void Membership::receive_from_conflicting_process(Ms now, const Message& message) {
  if (precedence_of(message.sender) > precedence_of(table_.self())) {
    identity_.merge(now, message.sender);
    return;
  }
  identity_.receive_from_conflicting_process(now, message);
  Message correction = outbox_.make(Message::kCorrection);
  correction.records.push_back(table_.self());
  correct(now, message, std::move(correction));
}

void Membership::correct(Ms now, const Message& message, Message correction) {
  if (corrections_left_ <= 0) return;
  --corrections_left_;
  outbox_.send(now, message.sender.address, std::move(correction));
}

void Membership::tick(Ms now) {
  check_for_pause(now);
  next_tick_ = now + settings_.ping_interval_ms;
  anti_entropy_.reset_budget();
  corrections_left_ = kCorrectionsPerTick;
  if (identity_.has_left()) {
    send_leave_announcement(now);
    return;
  }
  update_observers(now);
  detector_.check_subjects(now);
  const bool local_fault =
      health_.recently_paused(now) || health_.is_degraded() || conflict_.displaced() || conflict_.is_open();
  reachability_.update(now, detector_.contact_window(), local_fault);
  if (!health_.recently_paused(now)) reachability_.declare_failures(now);
  table_.expire_tombstones(now);
  update_observers(now);
  detector_.ping_subjects(now);
  rejoiner_.tick(now, connectivity() == ConnectivityState::kIsolated);
  identity_.expire_conflict(now);
}

void Membership::check_for_pause(Ms now) {
  const auto pause = health_.observe_tick(now);
  if (!pause) return;
  health_.set_paused_until(now + detector_.contact_window());
  if (*pause > kReportedPauseMs) {
    events_.push({MembershipEvent::kProcessPaused, table_.self().name, table_.self().incarnation,
                  MemberState::kAlive, std::to_string(std::lround(*pause))});
  }
  if (*pause > settings_.tombstone_retention_ms / 2 && !mutant(Mutant::kKeepsMembersAfterPause)) {
    reset_after_long_pause(now);
    return;
  }
  detector_.discard_unanswered_pings(now);
  table_.discount_pause(*pause);
}

// After such a long pause others may have forgotten tombstones that this gateway never received, so its
// records of alive members would revive failed ones. It removes them, and keeps their addresses as seeds and
// its own tombstones.
void Membership::reset_after_long_pause(Ms now) {
  for (const auto& address : table_.remove_alive_members()) rejoiner_.add_seed(address);
  detector_.clear_subjects();
  rings_.clear();
  rejoiner_.start_fast_rejoin();
  answer_sequence_floor_ = outbox_.restart_sequences();
  identity_.rejoin_above(now, table_.self().incarnation, IncarnationReason::kPausedTooLong);
}

void Membership::update_observers(Ms now) {
  if (!table_.observers_outdated()) return;
  table_.set_observers_outdated(false);
  rings_.assign(table_.members());
  detector_.update_subjects(now, !conflict_.displaced());
}

void Membership::leave(Ms now) {
  if (identity_.has_left()) return;
  identity_.set_left();
  if (conflict_.displaced()) return;
  MemberRecord& self = table_.self();
  self.status = MemberStatus::kLeft;
  self.reported_by = self.name;
  table_.set_record(now, table_.local_member(), self);
  leave_announcements_left_ = kLeaveAnnouncements;
  send_leave_announcement(now);
}

void Membership::send_leave_announcement(Ms now) {
  if (leave_announcements_left_ <= 0) return;
  --leave_announcements_left_;
  std::vector<std::string> addresses;
  for (const auto& [name, subject] : detector_.subjects()) {
    addresses.push_back(table_.members().at(name).record.address);
  }
  for (const Member* observer : table_.local_member().observers) {
    addresses.push_back(observer->record.address);
  }
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
  for (const auto& address : addresses) outbox_.send(now, address, outbox_.make(Message::kPing));
}

std::vector<MemberView> Membership::members(Ms now) const {
  std::vector<MemberView> views;
  for (const auto& [name, member] : table_.members()) {
    if (member.excluded_locally) continue;
    const MemberRecord& record = member.record;
    MemberView view{name,         record.address,     record.incarnation,
                    member.state, member.state_since, record.reported_by,
                    std::nullopt, std::nullopt};
    for (const auto& suspicion : member.suspicions) {
      const bool shown = member.state == MemberState::kSuspect && table_.is_current(now, suspicion);
      if (shown) view.reported_by = suspicion.suspector;
    }
    const auto subject = detector_.subjects().find(name);
    if (subject != detector_.subjects().end() && subject->second.round_trip >= 0) {
      view.round_trip_ms = subject->second.round_trip;
      view.loss_rate = subject->second.loss_rate;
    }
    views.push_back(std::move(view));
  }
  return views;
}

std::size_t Membership::memory_bytes() const {
  std::size_t bytes = sizeof *this;
  for (const auto& [name, member] : table_.members()) {
    const MemberRecord& record = member.record;
    bytes += sizeof member + kMapNodeBytes + 3 * name.size();
    bytes += record.address.size() + record.reported_by.size() + record.unknown_fields.size();
    bytes += member.suspicions.capacity() * sizeof(StoredSuspicion);
    bytes += member.observers.capacity() * kPointerBytes;
    bytes += rings_.memory_bytes_per_member();
  }
  return bytes;
}

}  // namespace cometfold::membership
