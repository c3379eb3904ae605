#include "membership/membership.h"

#include "membership/faults.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cometfold::membership {

namespace {

constexpr double kSpent = 1e-5;      // so unlikely must loss alone be as the cause of a silence
constexpr double kLeastLoss = 0.05;  // reckoned with where none was seen
constexpr double kMostLoss = 0.8;
constexpr double kLeastMisses = 4, kMostMisses = 16;
constexpr int kMostTrouble = 8, kTroubled = 3;
constexpr Ms kTroubleFades = 5000;
constexpr Ms kLateByTicks = 1.0;  // periods that a tick may be late before this process blames itself
constexpr Ms kLastsFirst = 2000, kLastsLater = 15'000;  // accusations, while fresh and later
constexpr Ms kFresh = 3000;
constexpr double kSayAgain = 1.0 / 3;       // of the time that it lasts
constexpr Ms kWithdrawnKept = kLastsLater;  // as long as a late copy of what it takes back may live
constexpr Ms kRivalFades = 5000;
constexpr std::size_t kMostAccusers = 16, kMostOut = 64, kMostContacts = 64, kMostClaims = 64;
constexpr std::size_t kMostTold = 5;
constexpr int kSyncsATick = 2, kTellsATick = 8, kSyncDatagrams = 3;
constexpr int kSendsByWatcher = 4;    // how often news rides along
constexpr std::size_t kNewsUpTo = 2;  // pings without an answer
constexpr int kReconnectTicks = 4, kHurryTicks = 12, kGoodbyes = 3;
constexpr double kBurst = 100;  // datagrams beyond the rate, at once

std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hash_of(const MemberRecord& r) {
  const std::uint64_t numbers[] = {r.incarnation, r.process_nonce, static_cast<std::uint64_t>(r.status)};
  return hash_of({reinterpret_cast<const char*>(numbers), sizeof numbers}, hash_of(r.name)) | 1;
}

std::uint64_t ring_hash(std::uint64_t name_hash, std::size_t ring) {
  return XXH64(&name_hash, sizeof name_hash, ring + 1);
}

}  // namespace

std::size_t encoded_size_bound(const MemberRecord& r) {
  return 64 + r.name.size() + r.address.size() + r.reported_by.size() + r.unknown_fields.size();
}
std::size_t encoded_size_bound(const Suspicion& a) { return 56 + a.name.size() + a.suspector.size(); }

Membership::Membership(const MembershipSettings& settings, MemberRecord self, std::vector<std::string> seeds,
                       Draw draw)
    : settings_(settings),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      draw_(std::move(draw)),
      standing_(settings.recovery_hold_ms),
      rings_(settings.observers_per_member) {
  std::erase(seeds_, self_.address);
  number_ = draw_(std::uint64_t{1} << 62);
}

void Membership::start(Ms now) {
  allowance_ = kBurst;
  allowance_at_ = now;
  Member& me = members_[self_.name];
  me.hash = hash_of(self_.name);
  set_record(now, me, self_);
  spread(me);
  hurry_ = kHurryTicks;
  next_tick_ = now + static_cast<Ms>(draw_(static_cast<std::uint64_t>(settings_.ping_interval_ms)));
  for (std::size_t i = 0; i < std::min<std::size_t>(3, seeds_.size()); ++i) {
    ask_sync(now, seeds_[(draw_(seeds_.size()) + i) % seeds_.size()]);
  }
}

// ---- what comes in ----

void Membership::receive(Ms now, const Message& m) {
  if (m.sender.name == self_.name) {
    if (m.sender.process_nonce != self_.process_nonce) rival_said(now, m);
    return;
  }
  if (asked_anew_) {
    const bool answer =
        m.type == Message::kSyncReply || m.type == Message::kAck || m.type == Message::kCorrection;
    if (!answer || m.sequence <= *asked_anew_ || m.sequence > number_) return;
    asked_anew_.reset();
  }
  merge(now, m.sender, true);
  const auto it = members_.find(m.sender.name);
  const bool known = it != members_.end();
  const bool current = known && it->second.record.status == MemberStatus::kAlive &&
                       same_incarnation(it->second.record, m.sender) &&
                       m.sender.status == MemberStatus::kAlive;
  if (!current) return receive_stale(now, m, known ? &it->second : nullptr);
  contact(now, it->second);
  const std::uint64_t before = self_.incarnation;
  std::vector<MemberRecord> over;
  for (const auto& r : m.records) {
    merge(now, r, false);
    // Forgotten here, and still counted there: it is over, or it will take a new number when it hears so.
    const bool forgotten =
        r.status == MemberStatus::kAlive && r.incarnation <= floor_ && !members_.contains(r.name);
    if (!forgotten || over.size() >= kMostTold) continue;
    over.push_back(r);
    over.back().status = MemberStatus::kFailed;
    over.back().reported_by = self_.name;
    over.back().age_ms = settings_.tombstone_retention_ms / 2;
  }
  if (!over.empty() && tells_left_ > 0) {
    --tells_left_;
    Message tell = message(now, Message::kCorrection);
    tell.records = std::move(over);
    send(now, m.sender.address, std::move(tell));
  }
  for (const auto& a : m.suspicions) take_accusation(now, a);
  if (m.incarnation_floor >= self_.incarnation)
    raise(now, m.incarnation_floor, "the others have forgotten lower numbers");
  if (self_.incarnation != before) ask_sync(now, m.sender.address);
  if (m.type == Message::kPing) {
    Message answer = message(now, Message::kAck);
    answer.sequence = m.sequence;
    ride_along(now, answer);
    send(now, m.sender.address, std::move(answer));
  } else if (m.type == Message::kAck) {
    ack(now, m);
  } else {
    sync(now, m);
  }
  const bool news = m.type == Message::kPing || m.type == Message::kAck;
  // While news is on its way everywhere digests differ; one that stays different has missed something.
  if (news && m.digest != digest_ && now - digest_at_ > 3 * settings_.ping_interval_ms && syncs_left_ > 0 &&
      !mutant(Mutant::kNoDigests)) {
    --syncs_left_;
    ask_sync(now, m.sender.address);
  }
}

// From one that is over as far as is known here: it is told so, and what it says of this one counts, as each
// side of a healed cut takes the other for over.
void Membership::receive_stale(Ms now, const Message& m, const Member* known) {
  ++counts_.stale_messages;
  const std::uint64_t before = self_.incarnation;
  for (const auto& r : m.records) {
    if (r.name == self_.name) merge_self(now, r);
  }
  if (m.incarnation_floor >= self_.incarnation)
    raise(now, m.incarnation_floor, "the others have forgotten lower numbers");
  if (self_.incarnation != before) ask_sync(now, m.sender.address);
  if (m.sender.status != MemberStatus::kAlive || tells_left_ <= 0) return;
  --tells_left_;
  Message tell = message(now, Message::kCorrection);
  tell.sequence = m.sequence;
  if (known) {
    tell.records.push_back(told(now, *known));
  } else {
    tell.incarnation_floor = floor_;
  }
  send(now, m.sender.address, std::move(tell));
}

bool Membership::merge(Ms now, const MemberRecord& r, bool own_word) {
  if (r.name == self_.name) {
    if (!own_word) merge_self(now, r);
    return false;
  }
  if (r.name.empty() || r.name.size() > kMaxNameBytes || r.address.empty())
    return ++counts_.rejected_members, false;
  const auto it = members_.find(r.name);
  if (it != members_.end()) {
    Member& m = it->second;
    if (m.dropped && !own_word && r.status == MemberStatus::kAlive &&
        precedence_of(r) <= precedence_of(m.record)) {
      return hearsay_of_dropped(now, m, r);
    }
    if (precedence_of(r) <= precedence_of(m.record) && !mutant(Mutant::kMergesByArrival)) {
      // Who still tells of one that is over is told; such a record may be too old for the digests.
      if (m.record.status != MemberStatus::kAlive && r.status == MemberStatus::kAlive && !own_word &&
          m.record_sends == 0)
        spread(m);
      return false;
    }
    set_record(now, it->second, r);
    spread(it->second);
    return true;
  }
  // Of a name that is not known, only who hears it has anything to tell: others may have kept an old copy.
  const bool old =
      r.status == MemberStatus::kAlive
          ? r.incarnation <= floor_ || (!own_word && r.age_ms > 0 && !mutant(Mutant::kBelievesHearsay))
          : r.age_ms >= settings_.tombstone_retention_ms;
  if (old) return false;
  if (members_.size() >= settings_.max_members) return ++counts_.rejected_members, false;
  Member& m = members_[r.name];
  m.hash = hash_of(r.name);
  set_record(now, m, r);
  spread(m);
  return true;
}

// What others say of this one.
void Membership::merge_self(Ms now, const MemberRecord& r) {
  if (left_ || precedence_of(r) <= precedence_of(self_)) return;
  if (same_incarnation(r, self_)) {
    if (mutant(Mutant::kStaysFailed)) return;
    ++counts_.incarnations_raised;
    return raise(now, r.incarnation,
                 r.status == MemberStatus::kLeft ? "others say that it left" : "others called it failed");
  }
  if (r.status != MemberStatus::kAlive) {
    return raise(
        now, r.incarnation,
        displaced_ ? "the other process of this name is over" : "a process before it had a higher number");
  }
  if (displaced_) return yield_to(now, r);
  // The first time it may be this one's own past, which the others don't know to be over. The dead raise no
  // numbers: who is above this one's new number again runs.
  if (claims_.size() >= kMostClaims) claims_.clear();
  const int claims = ++claims_[r.process_nonce];
  if (claims > 1 && r.process_nonce > self_.process_nonce && !mutant(Mutant::kNeverYields))
    return yield_to(now, r);
  if (claims > 1) set_rival(now, r.address, r.incarnation);
  raise(now, r.incarnation,
        claims > 1 ? "another process has this name" : "this name was known with a higher number");
}

// The younger process keeps the name. This one takes no part until the other is over.
void Membership::yield_to(Ms now, const MemberRecord& r) {
  if (!displaced_) subjects_.clear();
  displaced_ = true;
  set_rival(now, r.address, r.incarnation);
  set_record(now, members_[self_.name], r);
}

void Membership::set_rival(Ms now, const std::string& address, std::uint64_t start) {
  if (rival_ != address)
    change(MembershipEvent::kNameConflict, self_.name, start, MemberState::kAlive, address);
  rival_ = address;
  rival_at_ = now;
  rival_start_ = start;
}

void Membership::raise(Ms now, std::uint64_t above, const char* why) {
  if (left_) return;
  self_.incarnation = above + 1;
  displaced_ = false;
  Member& me = members_[self_.name];
  set_record(now, me, self_);
  spread(me);
  rings_old_ = true;
  change(MembershipEvent::kNewIncarnation, self_.name, self_.incarnation, MemberState::kAlive, why);
}

// Another process with this one's name. Its word alone proves nothing, it may be old; that it knows this
// one's present start number does.
void Membership::rival_said(Ms now, const Message& m) {
  if (precedence_of(m.sender) > precedence_of(self_)) return merge_self(now, m.sender);
  if (m.displaced_by == self_.incarnation && !displaced_)
    set_rival(now, m.sender.address, m.sender.incarnation);
  for (const auto& r : m.records) {
    if (r.name == self_.name) merge_self(now, r);
  }
  if (tells_left_ <= 0) return;
  --tells_left_;
  Message tell = message(now, Message::kCorrection);
  tell.records.push_back(self_);
  send(now, m.sender.address, std::move(tell));
}

// Heard itself. Who was dropped in a cut counts again.
void Membership::contact(Ms now, Member& member) {
  member.heard_at = now;
  if (member.dropped) take_back(now, member);
}

// A copy that somebody merely kept takes nobody back: the teller has to hear it. Who counts on it because
// this one, a watcher in its eyes, does not complain is told.
bool Membership::hearsay_of_dropped(Ms now, Member& m, const MemberRecord& r) {
  if ((r.age_ms <= 0 || mutant(Mutant::kBelievesHearsay)) && same_incarnation(r, m.record)) {
    take_back(now, m);
    return true;
  }
  if (m.record_sends == 0) spread(m);
  put_accuser(now, m, {self_.name, self_.incarnation, ++version_, now + kLastsLater, false});
  return false;
}

void Membership::take_back(Ms now, Member& m) {
  m.dropped = false;
  m.unheard_since = m.quorum_since = -1;
  m.heard_at = now;
  m.heard = true;
  const bool accused =
      std::any_of(m.accusers.begin(), m.accusers.end(), [&](auto& a) { return a.by == self_.name; });
  m.accusers.clear();
  if (accused) put_accuser(now, m, {self_.name, self_.incarnation, ++version_, 0, true});
  rings_old_ = true;
  set_digest(now, m);
  show(now, m);
  spread(m);
}

void Membership::take_accusation(Ms now, const Suspicion& a) {
  if (a.suspector == self_.name) return;
  const auto it = members_.find(a.name);
  const auto by = members_.find(a.suspector);
  if (it == members_.end() || by == members_.end() || !metrics(by->second)) return;
  Member& m = it->second;
  if (!metrics(m) || m.record.incarnation != a.incarnation || m.record.process_nonce != a.process_nonce)
    return;
  if (by->second.record.incarnation != a.suspector_incarnation) return;
  put_accuser(now, m,
              {a.suspector, a.suspector_incarnation, a.version, now + std::min(a.valid_for_ms, kLastsLater),
               a.valid_for_ms <= 0});
}

void Membership::put_accuser(Ms now, Member& m, Accuser accuser) {
  if (accuser.withdrawn) accuser.until = now + kWithdrawnKept;
  auto it = std::find_if(m.accusers.begin(), m.accusers.end(), [&](auto& a) { return a.by == accuser.by; });
  if (it == m.accusers.end()) {
    // Danger: a withdrawal kept by one that had forgotten it would go round for ever.
    if (accuser.withdrawn) return;
    if (m.accusers.size() >= kMostAccusers) m.accusers.erase(m.accusers.begin());
    m.accusers.push_back(std::move(accuser));
  } else {
    if (std::pair{it->by_start, it->version} >= std::pair{accuser.by_start, accuser.version}) return;
    *it = std::move(accuser);
  }
  m.accusation_sends = kSendsByWatcher * static_cast<int>(settings_.observers_per_member);
  queue(m);
  show(now, m);
}

void Membership::ack(Ms now, const Message& m) {
  const auto subject = subjects_.find(m.sender.name);
  if (subject == subjects_.end()) return;
  Subject& s = subject->second;
  const auto it = std::find_if(s.out.begin(), s.out.end(), [&](auto& p) { return p.first == m.sequence; });
  if (it == s.out.end()) return;
  constexpr double kOne = 1.0 / 32, kAll = 1.0 / 256;
  const auto learn = [&](double lost) {
    s.loss += (lost - s.loss) * kOne;
    loss_ += (lost - loss_) * kAll;
  };
  for (auto before = s.out.begin(); before != it; ++before) learn(1);
  learn(0);
  const Ms took = now - it->second;
  s.round_trip = s.round_trip < 0 ? took : s.round_trip + (took - s.round_trip) / 8;
  s.out.erase(s.out.begin(), it + 1);
  if (s.accused && !mutant(Mutant::kNeverTakesBack)) accuse(now, members_.at(m.sender.name), s, false);
}

void Membership::sync(Ms now, const Message& m) {
  if (m.bucket_digests.size() != kDigestBuckets) return;
  if (m.type == Message::kSyncRequest) send_records(now, m, Message::kSyncReply);
  if (m.type == Message::kSyncReply) send_records(now, m, Message::kSyncFinal);
}

// ---- time ----

void Membership::tick(Ms now) {
  notice_jump(now);
  next_tick_ = now + settings_.ping_interval_ms;
  last_tick_ = now;
  syncs_left_ = kSyncsATick;
  tells_left_ = kTellsATick;
  if (left_) return say_goodbye(now);
  if (rings_old_) rebuild_rings(now);
  judge_subjects(now);
  listen(now);
  judge(now);
  forget(now);
  if (rings_old_) rebuild_rings(now);
  ping_subjects(now);
  reconnect(now);
  if (!rival_.empty() && !displaced_ && now - rival_at_ > kRivalFades) {
    change(MembershipEvent::kNameConflictResolved, self_.name, rival_start_, MemberState::kAlive, rival_);
    rival_.clear();
  }
}

// Time that passed without this process running is nobody else's fault: pings that went unanswered in it, and
// silences, are forgiven.
void Membership::notice_jump(Ms now) {
  const Ms late = last_tick_ > 0 ? now - last_tick_ - settings_.ping_interval_ms : 0;
  if (late <= kLateByTicks * settings_.ping_interval_ms || mutant(Mutant::kIgnoresStop)) {
    if (trouble_ > 0 && now - trouble_at_ > kTroubleFades) --trouble_, trouble_at_ = now;
    return;
  }
  trouble_ = std::min(kMostTrouble, trouble_ + (late > 4 * settings_.ping_interval_ms ? kTroubled : 1));
  trouble_at_ = now;
  starved_until_ = now + hearing_window();
  if (late > 1000)
    change(MembershipEvent::kProcessPaused, self_.name, self_.incarnation, MemberState::kAlive,
           std::to_string(std::lround(late)));
  if (late > settings_.tombstone_retention_ms / 2 && !mutant(Mutant::kKeepsTheLiving)) return start_over(now);
  for (auto& [name, s] : subjects_) {
    s.out.clear();
    if (s.accused) accuse(now, members_.at(name), s, false);
  }
  for (auto& [name, m] : members_) {
    m.heard_at += late;
    m.unheard_since = m.quorum_since = -1;
  }
}

// So long away that others may have forgotten who is over meanwhile: what it knows of the living would revive
// them. Only the addresses are kept, to ask there, and who is over.
void Membership::start_over(Ms now) {
  for (auto it = members_.begin(); it != members_.end();) {
    Member& m = (it++)->second;
    m.watchers.clear();
    if (m.record.name == self_.name || m.record.status != MemberStatus::kAlive) continue;
    const auto& address = m.record.address;
    if (seeds_.size() < kMostContacts && std::find(seeds_.begin(), seeds_.end(), address) == seeds_.end()) {
      seeds_.push_back(address);
    }
    bucket_digests_[m.hash % kDigestBuckets] ^= m.digest;
    digest_ ^= m.digest;
    std::erase(news_, &m);
    members_.erase(std::prev(it));
  }
  subjects_.clear();
  rings_.assign(settings_.observers_per_member, {});
  hurry_ = kHurryTicks;
  // What waited in the socket meanwhile is as old: only answers to what it asks from now on count at first.
  number_ = draw_(std::uint64_t{1} << 62);
  asked_anew_ = number_;
  raise(now, self_.incarnation, "it was stopped for longer than the others remember");
}

void Membership::rebuild_rings(Ms now) {
  rings_old_ = false;
  for (std::size_t r = 0; r < rings_.size(); ++r) {
    rings_[r].clear();
    for (auto& [name, m] : members_) {
      if (metrics(m)) rings_[r].push_back({ring_hash(m.hash, r), &m});
    }
    std::sort(rings_[r].begin(), rings_[r].end(), [](auto& a, auto& b) {
      return std::tie(a.hash, a.member->record.name) < std::tie(b.hash, b.member->record.name);
    });
  }
  std::map<std::string, Subject> chosen;
  for (auto& [name, m] : members_) {
    if (!metrics(m)) {
      m.watchers.clear();
      continue;
    }
    find_watchers(m);
    const bool mine = std::any_of(m.watchers.begin(), m.watchers.end(),
                                  [&](const Member* w) { return w->record.name == self_.name; });
    if (!mine || displaced_) continue;
    const auto had = subjects_.find(name);
    const bool same = had != subjects_.end() && had->second.start == m.record.incarnation;
    chosen.emplace(name, same ? had->second : Subject{.start = m.record.incarnation, .loss = loss_});
  }
  // Who is no longer watched is no longer accused. Danger: of one that counts no more nothing is taken back,
  // as others, for whom it still does, would take that for a good word.
  for (auto& [name, s] : subjects_) {
    const auto m = members_.find(name);
    if (s.accused && !chosen.contains(name) && m != members_.end() && metrics(m->second))
      accuse(now, m->second, s, false);
  }
  subjects_ = std::move(chosen);
}

// The next in each ring; where that one was chosen already, the one after it.
void Membership::find_watchers(Member& m) {
  m.watchers.clear();
  for (std::size_t r = 0; r < rings_.size(); ++r) {
    const auto& ring = rings_[r];
    auto at = static_cast<std::size_t>(
        std::upper_bound(ring.begin(), ring.end(), ring_hash(m.hash, r),
                         [](std::uint64_t h, const RingPlace& p) { return h < p.hash; }) -
        ring.begin());
    for (std::size_t steps = 0; steps < ring.size(); ++steps, ++at) {
      Member* w = ring[at % ring.size()].member;
      if (w == &m || std::find(m.watchers.begin(), m.watchers.end(), w) != m.watchers.end()) continue;
      m.watchers.push_back(w);
      break;
    }
  }
}

// So many pings in a row go unanswered by loss alone with a chance of kSpent; a process in trouble asks for
// more.
int Membership::needed_misses(double loss) const {
  const double p = std::clamp(loss, kLeastLoss, kMostLoss);
  const double n = std::clamp(std::ceil(std::log(kSpent) / std::log(p)), kLeastMisses, kMostMisses);
  return static_cast<int>(n) + trouble_;
}

Ms Membership::hearing_window() const { return (needed_misses(loss_) + 1) * settings_.ping_interval_ms; }

void Membership::judge_subjects(Ms now) {
  for (auto& [name, s] : subjects_) {
    const Ms patient =
        std::clamp(3 * s.round_trip, 0.8 * settings_.ping_interval_ms, 4 * settings_.ping_interval_ms);
    const auto misses =
        std::count_if(s.out.begin(), s.out.end(), [&](auto& p) { return now - p.second >= patient; });
    if (!s.accused && misses < needed_misses(std::max(loss_, s.loss))) continue;
    if (!s.accused || now - s.said_at >= s.lasts * kSayAgain) accuse(now, members_.at(name), s, true);
  }
}

void Membership::accuse(Ms now, Member& m, Subject& s, bool on) {
  if (on && !s.accused) s.accused_at = now, ++counts_.suspicions_raised;
  if (!on) ++counts_.suspicions_withdrawn;
  s.accused = on;
  s.said_at = now;
  s.lasts = now - s.accused_at < kFresh ? kLastsFirst : kLastsLater;
  put_accuser(now, m, {self_.name, self_.incarnation, ++version_, now + s.lasts, !on});
}

bool Membership::fresh(Ms now, const Accuser& a) const {
  if (a.withdrawn || a.until <= now) return false;
  const auto by = members_.find(a.by);
  return by != members_.end() && metrics(by->second) && by->second.record.incarnation == a.by_start;
}

std::size_t Membership::accusers(Ms now, const Member& m) const {
  return static_cast<std::size_t>(
      std::count_if(m.accusers.begin(), m.accusers.end(), [&](auto& a) { return fresh(now, a); }));
}

bool Membership::accuses(Ms now, const std::string& by, const Member& m) const {
  return std::any_of(m.accusers.begin(), m.accusers.end(),
                     [&](auto& a) { return a.by == by && fresh(now, a); });
}

bool Membership::enough_accuse(Ms now, const Member& m) const {
  if (mutant(Mutant::kFailsByOne)) return accusers(now, m) > 0;
  const std::size_t most = m.watchers.size() / 2 + 1;
  return !m.watchers.empty() && accusers(now, m) >= std::min(settings_.suspicion_quorum, most);
}

// Who is heard: whoever spoke to this one of late, and whoever has watchers that are heard, of which no more
// than half complain. Danger: one complaint that has not come through yet must not make a whole side of a cut
// heard, from watcher to watcher; so it is the majority of those heard that counts.
void Membership::listen(Ms now) {
  const Ms window = hearing_window();
  bool all = true;
  for (auto& [name, m] : members_) {
    if (!metrics(m)) continue;
    std::erase_if(m.accusers, [&](auto& a) { return a.until <= now; });
    m.heard = name == self_.name ||
              (now - m.heard_at <= window && !accuses(now, self_.name, m) && !enough_accuse(now, m));
    all &= m.heard;
  }
  for (bool more = !all; more;) {
    more = false;
    for (auto& [name, m] : members_) {
      if (!metrics(m) || m.heard || enough_accuse(now, m)) continue;
      std::size_t speak = 0, complain = 0;
      for (const Member* w : m.watchers) {
        if (w->heard) ++(accuses(now, w->record.name, m) ? complain : speak);
      }
      m.heard = speak > 0 && speak >= complain;
      more |= m.heard;
    }
  }
  ReachabilitySample hearing{0, 0,
                             recently_paused(now) || trouble_ >= kTroubled || displaced_ || !rival_.empty()};
  for (auto& [name, m] : members_) {
    if (!metrics(m)) continue;
    ++hearing.known;
    hearing.reachable += m.heard;
    if (m.heard) {
      m.unheard_since = -1;
    } else if (m.unheard_since < 0) {
      m.unheard_since = now;
    }
    show(now, m);
  }
  if (standing_.update(now, hearing)) {
    change(MembershipEvent::kConnectivityChanged, self_.name, self_.incarnation, MemberState::kAlive,
           std::string(name_of(standing_.state())));
  }
}

void Membership::judge(Ms now) {
  if (recently_paused(now)) return;
  for (auto& [name, m] : members_) {
    if (!metrics(m) || name == self_.name) continue;
    if (!enough_accuse(now, m)) {
      m.quorum_since = -1;
    } else if (m.quorum_since < 0) {
      m.quorum_since = now;
    }
    const bool accused = m.quorum_since >= 0 && now - m.quorum_since >= settings_.quorum_hold_ms;
    const bool silent = m.unheard_since >= 0 && now - m.unheard_since >= settings_.unreachable_timeout_ms;
    const bool may_judge = standing_.may_declare_failed() || mutant(Mutant::kJudgesCutOff);
    if ((accused || silent) && may_judge) {
      ++counts_.members_failed;
      MemberRecord failed = m.record;
      failed.status = MemberStatus::kFailed;
      failed.age_ms = 0;
      failed.reported_by = self_.name;
      set_record(now, m, failed);
      spread(m);
    } else if (silent) {
      m.dropped = true;
      rings_old_ = true;
      set_digest(now, m);
    }
  }
}

void Membership::forget(Ms now) {
  for (auto it = members_.begin(); it != members_.end();) {
    Member& m = (it++)->second;
    const Ms age = now - (m.dropped ? m.unheard_since : m.since);
    const bool early = mutant(Mutant::kForgetsTooEarly);
    if (metrics(m) || (age < settings_.tombstone_retention_ms / 2 && !early) || m.record.name == self_.name)
      continue;
    set_digest(now, m);
    if (age < settings_.tombstone_retention_ms && !early) continue;
    if (!m.dropped && !early) floor_ = std::max(floor_, m.record.incarnation);
    std::erase(news_, &m);
    members_.erase(std::prev(it));
  }
}

void Membership::ping_subjects(Ms now) {
  for (auto& [name, s] : subjects_) {
    Message ping = message(now, Message::kPing);
    ping.sequence = ++number_;
    s.out.emplace_back(ping.sequence, now);
    if (s.out.size() > kMostOut) s.out.pop_front();
    if (s.out.size() <= kNewsUpTo) ride_along(now, ping);  // news is not wasted on the silent
    send(now, members_.at(name).record.address, std::move(ping));
  }
}

// Whoever is silent may be back, and a seed that is nobody here may be one of a cluster that knows nothing of
// this one.
void Membership::reconnect(Ms now) {
  ++ticks_;
  const bool lonely = standing_.state() == ConnectivityState::kIsolated && hurry_ > 0;
  if (lonely) --hurry_;
  if (!lonely && ticks_ % kReconnectTicks != 0) return;
  std::vector<const std::string*> silent, nobody;
  for (const auto& [name, m] : members_) {
    const bool over = m.record.status == MemberStatus::kFailed || m.dropped || (metrics(m) && !m.heard);
    if (over && name != self_.name) silent.push_back(&m.record.address);
  }
  for (const auto& seed : seeds_) {
    const bool heard = std::any_of(members_.begin(), members_.end(), [&](auto& entry) {
      return entry.second.record.address == seed && metrics(entry.second) && entry.second.heard;
    });
    if (!heard) nobody.push_back(&seed);
  }
  if (!silent.empty()) {
    Message ping = message(now, Message::kPing);
    ping.sequence = ++number_;
    send(now, *silent[draw_(silent.size())], std::move(ping));
  }
  if (!nobody.empty()) ask_sync(now, *nobody[draw_(nobody.size())]);
  if (displaced_) {
    send(now, rival_, message(now, Message::kPing));
    std::vector<const std::string*> heard;
    for (const auto& [name, m] : members_) {
      if (metrics(m) && name != self_.name) heard.push_back(&m.record.address);
    }
    if (!heard.empty()) ask_sync(now, *heard[draw_(heard.size())]);
  }
}

void Membership::leave(Ms now) {
  if (left_) return;
  left_ = true;
  if (displaced_) return;
  self_.status = MemberStatus::kLeft;
  self_.reported_by = self_.name;
  set_record(now, members_.at(self_.name), self_);
  goodbyes_ = kGoodbyes;
  say_goodbye(now);
}

void Membership::say_goodbye(Ms now) {
  if (goodbyes_ <= 0) return;
  --goodbyes_;
  std::vector<std::string> to;
  for (const auto& [name, s] : subjects_) to.push_back(members_.at(name).record.address);
  for (const Member* w : members_.at(self_.name).watchers) to.push_back(w->record.address);
  std::sort(to.begin(), to.end());
  to.erase(std::unique(to.begin(), to.end()), to.end());
  for (auto& address : to) send(now, address, message(now, Message::kPing));
}

// ---- what goes out ----

Message Membership::message(Ms, Message::Type type) const {
  Message m;
  m.type = type;
  m.sender = self_;
  m.digest = digest_;
  if (displaced_) m.displaced_by = rival_start_;
  return m;
}

MemberRecord Membership::told(Ms now, const Member& m) const {
  MemberRecord r = m.record;
  if (r.status == MemberStatus::kAlive) {
    r.age_ms = m.unheard_since < 0 ? 0 : std::max(1.0, now - m.unheard_since);
  } else {
    r.age_ms = std::max(0.0, now - m.since);
  }
  return r;
}

// As much news as fits. Danger: pings go to the same members in the same order each time, so the news has to
// start anywhere, or each would always hear the same part.
void Membership::ride_along(Ms now, Message& message) {
  if (news_.size() > 1) {
    const auto first = static_cast<std::ptrdiff_t>(draw_(news_.size()));
    std::rotate(news_.begin(), news_.begin() + first, news_.end());
  }
  std::size_t used = encoded_size_bound(message.sender) + 40;
  for (std::size_t i = news_.size(); i > 0; --i) {
    Member& m = *news_.front();
    if (m.record_sends > 0) {
      const std::size_t more = encoded_size_bound(m.record);
      if (used + more > kMaxMessageBytes) return;
      used += more;
      --m.record_sends;
      message.records.push_back(told(now, m));
    }
    if (m.accusation_sends > 0) {
      std::size_t more = 0;
      for (const auto& a : m.accusers) more += 56 + m.record.name.size() + a.by.size();
      if (used + more > kMaxMessageBytes) return;
      used += more;
      --m.accusation_sends;
      for (const auto& a : m.accusers) {
        if (!a.withdrawn && a.until <= now) continue;
        message.suspicions.push_back({m.record.name, m.record.incarnation, m.record.process_nonce, a.by,
                                      a.by_start, a.version, a.withdrawn ? 0 : a.until - now});
      }
    }
    news_.pop_front();
    m.queued = m.record_sends > 0 || m.accusation_sends > 0;
    if (m.queued) news_.push_back(&m);
  }
}

void Membership::ask_sync(Ms now, const std::string& to) {
  Message m = message(now, Message::kSyncRequest);
  m.bucket_digests = bucket_digests_;
  m.sequence = ++number_;
  ++counts_.syncs;
  send(now, to, std::move(m));
}

// The records of buckets that differ, from one of them on by chance, so that all have their turn; the last
// datagram of a reply has the digests, which ask for the rest.
void Membership::send_records(Ms now, const Message& asked, Message::Type type) {
  std::vector<const Member*> differ;
  for (const auto& [name, m] : members_) {
    const std::size_t bucket = m.hash % kDigestBuckets;
    if (m.digest != 0 && asked.bucket_digests[bucket] != bucket_digests_[bucket]) differ.push_back(&m);
  }
  const bool reply = type == Message::kSyncReply;
  if (differ.empty() && !reply) return;
  const std::size_t first = differ.empty() ? 0 : draw_(differ.size());
  std::size_t next = 0;
  for (int n = 1; n <= kSyncDatagrams; ++n) {
    Message m = message(now, type);
    m.sequence = asked.sequence;
    std::size_t used = encoded_size_bound(m.sender) + 40 + 9 * kDigestBuckets;
    for (; next < differ.size(); ++next) {
      const Member& member = *differ[(first + next) % differ.size()];
      used += encoded_size_bound(member.record);
      if (used > kMaxMessageBytes) break;
      m.records.push_back(told(now, member));
    }
    const bool last = n == kSyncDatagrams || next == differ.size();
    if (reply && last) m.bucket_digests = bucket_digests_;
    send(now, asked.sender.address, std::move(m));
    if (last) return;
  }
}

void Membership::send(Ms now, const std::string& to, Message message) {
  allowance_ =
      std::min(kBurst, allowance_ + (now - allowance_at_) * settings_.max_datagrams_per_second / 1000);
  allowance_at_ = now;
  if (allowance_ < 1) {
    ++counts_.rate_limited;
    return;
  }
  allowance_ -= 1;
  out_.push_back({to, std::move(message)});
}

// ---- state ----

void Membership::set_record(Ms now, Member& m, const MemberRecord& record) {
  const bool same = same_incarnation(m.record, record) && !m.record.name.empty();
  m.record = record;
  m.record.age_ms = 0;
  m.since = now - (record.status == MemberStatus::kAlive ? 0 : record.age_ms);
  m.dropped = false;
  m.unheard_since = m.quorum_since = -1;
  if (!same || record.status != MemberStatus::kAlive) m.accusers.clear();
  if (!same && (record.status != MemberStatus::kAlive || record.age_ms <= 0)) {
    m.heard_at = now;  // it is given time to speak
    m.heard = true;
  }
  rings_old_ = true;
  set_digest(now, m);
  show(now, m, !same);
}

void Membership::set_digest(Ms now, Member& m) {
  const bool fading =
      m.record.status != MemberStatus::kAlive && now - m.since >= settings_.tombstone_retention_ms / 2;
  const std::uint64_t digest = m.dropped || fading ? 0 : hash_of(m.record);
  if (digest == m.digest) return;
  bucket_digests_[m.hash % kDigestBuckets] ^= m.digest ^ digest;
  digest_ ^= m.digest ^ digest;
  m.digest = digest;
  digest_at_ = now;
}

void Membership::show(Ms now, Member& m, bool anew) {
  MemberState state = MemberState::kAlive;
  if (m.record.status == MemberStatus::kLeft) {
    state = MemberState::kLeft;
  } else if (m.record.status == MemberStatus::kFailed) {
    state = MemberState::kFailed;
  } else if (!m.heard || accusers(now, m) > 0) {
    state = MemberState::kSuspect;
  }
  if (m.dropped || (state == m.shown && !anew)) return;
  m.shown = state;
  m.shown_since = state >= MemberState::kFailed ? m.since : now;
  change(MembershipEvent::kMemberChanged, m.record.name, m.record.incarnation, state, m.record.reported_by);
}

void Membership::spread(Member& m) {
  m.record_sends = kSendsByWatcher * static_cast<int>(settings_.observers_per_member);
  queue(m);
}

void Membership::queue(Member& m) {
  if (!std::exchange(m.queued, true)) news_.push_back(&m);
}

void Membership::change(MembershipEvent::Kind what, std::string name, std::uint64_t start, MemberState state,
                        std::string detail) {
  if (changes_.size() < 4 * settings_.max_members) {
    changes_.push_back({what, std::move(name), start, state, std::move(detail)});
  }
}

std::vector<MemberView> Membership::members(Ms now) const {
  std::vector<MemberView> all;
  for (const auto& [name, m] : members_) {
    if (m.dropped) continue;
    MemberView seen{
        name, m.record.address, m.record.incarnation, m.shown, m.shown_since, m.record.reported_by, {}, {}};
    for (const auto& a : m.accusers) {
      if (m.shown == MemberState::kSuspect && fresh(now, a)) seen.reported_by = a.by;
    }
    if (const auto s = subjects_.find(name); s != subjects_.end() && s->second.round_trip >= 0) {
      seen.round_trip_ms = s->second.round_trip;
      seen.loss_rate = s->second.loss;
    }
    all.push_back(std::move(seen));
  }
  return all;
}

std::size_t Membership::memory_bytes() const {
  std::size_t sum = sizeof *this;
  for (const auto& [name, m] : members_) {
    sum += sizeof m + 48 + 3 * name.size() + m.record.address.size() + m.record.reported_by.size() +
           m.record.unknown_fields.size() + m.accusers.capacity() * sizeof(Accuser) +
           m.watchers.capacity() * sizeof(Member*) + rings_.size() * sizeof(RingPlace);
  }
  return sum;
}

}  // namespace cometfold::membership
