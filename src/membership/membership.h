// Who is there: the members of one cluster as one of them sees them. Pure: messages and time go in, messages
// and changes come out; no I/O, no clock, and chance is drawn from outside.
//
// Each member is watched by a few others, chosen by hash so that all who know the same members choose the
// same (rings as in Suresh et al., "Stable and Consistent Membership at Scale with Rapid", 2018). A watcher
// that gets no answers, more of them than the loss seen so far explains, accuses; a member that most of its
// watchers accuse is failed, and that is for good for its start number. News rides on pings and acks, as in
// Das et al., "SWIM", 2002; a digest on each finds what it missed. A process that was stopped or starved
// blames itself first (Dadgar et al., "Lifeguard", 2017).
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "membership/record.h"
#include "membership/standing.h"

namespace cometfold::membership {

// Times in milliseconds.
struct MembershipSettings {
  Ms ping_interval_ms = 250;             // between two pings to each of those watched
  std::size_t observers_per_member = 5;  // of each member
  std::size_t suspicion_quorum = 3;  // of its watchers make it failed; never more than most of those it has
  Ms quorum_hold_ms = 750;           // a quorum has to last, so that a cut is seen as one
  Ms unreachable_timeout_ms =
      20'000;  // nobody heard says that it hears this one: after it, it counts as failed
  Ms tombstone_retention_ms = 600'000;    // the failed and left are remembered
  Ms recovery_hold_ms = 1000;             // a better standing has to last
  std::size_t max_members = 4096;         // members, the failed and left among them; more are not taken
  double max_datagrams_per_second = 200;  // out, a second; acks and pings beyond are dropped and counted
};

// State as shown: a record's kind, or suspect where an alive one is accused or not heard.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kFailed, kLeft };
constexpr std::string_view name_of(MemberState s) {
  constexpr std::string_view kNames[] = {"alive", "suspect", "failed", "left"};
  return kNames[static_cast<std::size_t>(s)];
}

struct MemberView {
  std::string name, address;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  Ms since = 0;                     // when it became so, here
  std::string reported_by;          // whose word: a watcher's or this one's name
  std::optional<Ms> round_trip_ms;  // of those this one watches
  std::optional<double> loss_rate;  // part of pings without an answer
};

struct MembershipEvent {
  enum Kind : std::uint8_t {
    kMemberChanged,  // `request_id` at `incarnation` went to `state`; forgotten and dropped ones do not show
    kConnectivityChanged,  // `detail` names it
    kNewIncarnation,       // this one takes part with another start number, `detail` says why
    kNameConflict,         // another process has this one's name: `detail` is its address
    kNameConflictResolved,
    kProcessPaused,  // this process did not run for `detail` milliseconds
  };
  Kind kind = kMemberChanged;
  std::string name;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
  std::string detail;
};

struct OutgoingMessage {
  std::string to;  // address
  Message message;
};

struct MembershipMetrics {
  std::uint64_t rate_limited = 0;      // datagrams above the rate
  std::uint64_t rejected_members = 0;  // members above the bound, names that are none
  std::uint64_t stale_messages = 0;    // messages of members that are over
  std::uint64_t suspicions_raised = 0, suspicions_withdrawn = 0;  // by this one
  std::uint64_t members_failed = 0;                               // members that this one's word made failed
  std::uint64_t incarnations_raised = 0;  // own start numbers that others had called failed
  std::uint64_t syncs = 0;
};

class Membership {
 public:
  // Evenly from 0 to below its argument.
  using Draw = std::function<std::uint64_t(std::uint64_t)>;

  // `self` names this member and where it is reached, with a first start number (a hint: it is raised where
  // others know a higher one) and a life. `seeds` are addresses; its own among them does no harm.
  Membership(const MembershipSettings& settings, MemberRecord self, std::vector<std::string> seeds,
             Draw draw);

  void start(Ms now);
  void receive(Ms now, const Message& message);
  // To be called when `next_due` has come; late calls are noticed.
  void tick(Ms now);
  Ms next_tick() const { return next_tick_; }
  // Tells the others that this one goes; it still answers, and takes part no more.
  void leave(Ms now);

  std::vector<OutgoingMessage> take_messages() { return std::exchange(out_, {}); }
  std::vector<MembershipEvent> take_events() { return std::exchange(changes_, {}); }

  const MemberRecord& self() const { return self_; }
  ConnectivityState connectivity() const { return standing_.state(); }
  Ms connectivity_since() const { return standing_.since(); }
  // All members by name, this one included.
  std::vector<MemberView> members(Ms now) const;
  std::uint64_t digest() const { return digest_; }
  const MembershipMetrics& metrics() const { return counts_; }
  // The other process that has this one's name; empty if there is none of late.
  const std::string& conflicting_address() const { return rival_; }
  // Silence that is likely this one's own fault: it was stopped or starved within the last moments.
  bool recently_paused(Ms now) const { return now < starved_until_; }
  std::size_t memory_bytes() const;  // about what all this takes, for bounds

 private:
  struct Accuser {
    std::string by;
    std::uint64_t by_start = 0, version = 0;
    Ms until = 0;
    bool withdrawn = false;
  };
  struct Member {
    MemberRecord record;
    Ms since = 0;           // of the record's kind
    Ms heard_at = -1e12;    // by this one itself
    bool heard = true;      // by itself or through another, as last looked at
    Ms unheard_since = -1;  // less than 0: it is heard
    Ms quorum_since = -1;   // enough accuse it
    bool dropped = false;   // not heard for too long while cut off: it counts no more, and binds nobody
    MemberState shown = MemberState::kAlive;
    Ms shown_since = 0;
    std::vector<Accuser> accusers;
    std::vector<Member*> watchers;
    int record_sends = 0, accusation_sends = 0;  // still to come
    bool queued = false;                         // in `news_`
    std::uint64_t hash = 0;                      // of its name
    std::uint64_t digest = 0;                    // what it adds to the digests; 0: nothing
  };
  // One that this member watches.
  struct Subject {
    std::uint64_t start = 0;
    std::deque<std::pair<std::uint64_t, Ms>> out = {};  // pings sent since the last answered one
    Ms round_trip = -1;
    double loss = 0;
    bool accused = false;
    Ms accused_at = -1e12, said_at = -1e12, lasts = 0;
  };
  struct RingPlace {
    std::uint64_t hash;
    Member* member;
  };

  void receive_stale(Ms now, const Message& message, const Member* known);
  bool merge(Ms now, const MemberRecord& record, bool own_word);
  void merge_self(Ms now, const MemberRecord& record);
  void yield_to(Ms now, const MemberRecord& record);
  void set_rival(Ms now, const std::string& address, std::uint64_t start);
  void raise(Ms now, std::uint64_t above, const char* why);
  void rival_said(Ms now, const Message& message);
  void contact(Ms now, Member& member);
  bool hearsay_of_dropped(Ms now, Member& member, const MemberRecord& record);
  void take_back(Ms now, Member& member);
  void take_accusation(Ms now, const Suspicion& accusation);
  void put_accuser(Ms now, Member& member, Accuser accuser);
  void ack(Ms now, const Message& message);
  void sync(Ms now, const Message& message);

  void notice_jump(Ms now);
  void start_over(Ms now);
  void rebuild_rings(Ms now);
  void find_watchers(Member& member);
  int needed_misses(double loss) const;
  Ms hearing_window() const;
  void judge_subjects(Ms now);
  void accuse(Ms now, Member& member, Subject& subject, bool on);
  bool fresh(Ms now, const Accuser& accuser) const;
  std::size_t accusers(Ms now, const Member& member) const;
  bool accuses(Ms now, const std::string& by, const Member& member) const;
  bool enough_accuse(Ms now, const Member& member) const;
  void listen(Ms now);
  void judge(Ms now);
  void forget(Ms now);
  void ping_subjects(Ms now);
  void reconnect(Ms now);
  void say_goodbye(Ms now);

  Message message(Ms now, Message::Type type) const;
  MemberRecord told(Ms now, const Member& member) const;
  void ride_along(Ms now, Message& message);
  void ask_sync(Ms now, const std::string& to);
  void send_records(Ms now, const Message& asked, Message::Type type);
  void send(Ms now, const std::string& to, Message message);

  bool metrics(const Member& m) const { return m.record.status == MemberStatus::kAlive && !m.dropped; }
  void set_record(Ms now, Member& member, const MemberRecord& record);
  void set_digest(Ms now, Member& member);
  void show(Ms now, Member& member, bool anew = false);
  void spread(Member& member);
  void queue(Member& member);
  void change(MembershipEvent::Kind what, std::string name, std::uint64_t start, MemberState state,
              std::string detail);

  MembershipSettings settings_;
  MemberRecord self_;
  std::vector<std::string> seeds_;
  Draw draw_;
  ConnectivityTracker standing_;
  std::map<std::string, Member> members_;  // this one included; places are stable
  std::vector<std::vector<RingPlace>> rings_;
  std::map<std::string, Subject> subjects_;
  std::deque<Member*> news_;
  std::unordered_map<std::uint64_t, int> claims_;  // by life: how often another had this one's name
  std::vector<std::uint64_t> bucket_digests_ = std::vector<std::uint64_t>(kDigestBuckets, 0);
  std::uint64_t digest_ = 0;
  Ms digest_at_ = 0;         // when it last changed
  std::uint64_t floor_ = 0;  // no start number up to it comes in by hearsay where the name is not known
  std::uint64_t number_ = 0, version_ = 0;
  std::optional<std::uint64_t> asked_anew_;  // until an answer to a number above it comes, nothing counts
  Ms next_tick_ = 0, last_tick_ = 0;
  std::uint64_t ticks_ = 0;
  Ms starved_until_ = -1;
  int trouble_ = 0;  // of this process: late ticks
  Ms trouble_at_ = 0;
  double loss_ = 0;  // over all that were watched
  double allowance_ = 0;
  Ms allowance_at_ = 0;
  int syncs_left_ = 0, tells_left_ = 0;  // until the next tick
  int hurry_ = 0, goodbyes_ = 0;
  bool rings_old_ = true, left_ = false, displaced_ = false;
  std::string rival_;
  Ms rival_at_ = 0;
  std::uint64_t rival_start_ = 0;
  std::vector<OutgoingMessage> out_;
  std::vector<MembershipEvent> changes_;
  MembershipMetrics counts_;
};

}  // namespace cometfold::membership
