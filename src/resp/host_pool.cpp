#include "resp/host_pool.h"

#include <algorithm>
#include <utility>

#include "engine/faults.h"

namespace cometfold::resp {
using engine::mutant;
using engine::Mutant;

namespace {

constexpr double kIdleShare = 0.5;  // of the host's idle limit: an answer's way and a slow moment fit besides
constexpr std::size_t kReplyElements = 3;
constexpr std::size_t kKeptRequest = 4096;
constexpr std::size_t kBeginsWith = 2048;  // bytes of a long value

// A good reply's elements: the value, the figures on use or null, the load report or null.
enum : std::size_t { kValue = 0, kUse = 1, kReport = 2, kWords = 3 };
bool text_or_null(const Item& item) { return item.type == ItemType::kBulk || item.type == ItemType::kNull; }

// The figures on use go nowhere from here, so they may be a number or a text.
bool proper(const std::vector<Item>& items) {
  return items.size() == kWords && items[kValue].type == ItemType::kBulk &&
         (text_or_null(items[kUse]) || items[kUse].type == ItemType::kInteger) &&
         text_or_null(items[kReport]);
}

// An error line that a host may send. Anything else that begins with '-' is noise.
bool proper_error(std::string_view text) {
  const auto word = text.substr(0, text.find(' '));
  return word == "BUSY" || word == "ERR";
}

// What a whole reply says.
struct Reading {
  bool good = false;
  const char* fault = "";
  Outcome outcome = Outcome::kError;
  std::string_view value, report;
};

Reading read_error(std::string_view text) {
  Reading r{true, "", Outcome::kError, {}, {}};
  if (text.substr(0, text.find(' ')) == "BUSY") r.outcome = Outcome::kOverloaded;
  const auto space = text.rfind(' ');
  if (space != std::string_view::npos && text.find('=', space) != std::string_view::npos) {
    r.report = text.substr(space + 1);
  }
  return r;
}

Reading read_reply(const Frame& frame) {
  const auto& items = frame.items;
  if (frame.array) {
    const bool served = proper(items) || (mutant(Mutant::kServesSpoilt) && !items.empty());
    if (!served) return {false, "not a value, figures on use and a report", Outcome::kError, {}, {}};
    Reading r{true, "", Outcome::kOk, items[kValue].text, {}};
    if (items.size() > kReport && items[kReport].type == ItemType::kBulk) r.report = items[kReport].text;
    return r;
  }
  if (items[0].type == ItemType::kError && proper_error(items[0].text)) return read_error(items[0].text);
  return {false, "neither an array nor an error", Outcome::kError, {}, {}};
}

}  // namespace

struct HostPool::Pool {
  Address at;
  Ms started_at = 0;
  bool open = true;
  std::vector<std::shared_ptr<Link>> links;  // all of them
  std::vector<std::shared_ptr<Link>> idle;   // the last one was used last
};

// One connection: connecting, then by turns with an attempt out, at rest and idle; closed for good.
class HostPool::Link : public StreamCallbacks {
 public:
  Link(HostPool& owner, std::shared_ptr<Pool> pool)
      : owner_(owner),
        pool_(std::move(pool)),
        reader_(resp::RespLimits{.max_elements = kReplyElements,
                                 .max_streamed_value_bytes = owner.limits_.max_value_bytes},
                false) {}

  // False if there is no socket to be had.
  bool connect(const Address& at) {
    stream_ = owner_.dialer_.dial(at, owner_.limits_.connect_timeout_ms, *this);
    return stream_ != nullptr;
  }

  // `command` stays where it is until the attempt has ended.
  void carry(Ms now, AttemptId attempt, const HostCommand& command, Ms left) {
    attempt_ = attempt;
    command_ = &command;
    written_ = 0;
    request_.clear();
    if (up_) begin(now, left);
  }
  bool waits() const { return attempt_ != 0 && command_ != nullptr; }

  // Looked at before a write, as what has come may not have been read yet.
  bool quiet() { return mutant(Mutant::kIgnoresNoise) || stream_->is_quiet(); }
  bool up() const { return up_; }
  bool whole() const { return !waits() && written_ == request_.size(); }
  Ms idle_since() const { return idle_since_; }

  // Ends the connection and, if one is out, its attempt.
  void finish(Ms now, Outcome outcome) {
    if (closed_) return;
    const auto self = shared_from_this();
    const auto attempt = std::exchange(attempt_, 0);
    command_ = nullptr;
    close();
    if (attempt != 0) owner_.ended(now, attempt, outcome, {}, {});
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    stream_->close();
    --owner_.links_;
    const auto self = std::static_pointer_cast<Link>(shared_from_this());
    std::erase(pool_->idle, self);
    std::erase(pool_->links, self);
  }

  void on_connected(Ms now, bool up) override {
    if (closed_) return;
    if (!up) return finish(now, Outcome::kConnectFailed);
    up_ = true;
    if (!waits()) return read();
    const auto left = owner_.events_.may_write(now, attempt_, false);
    if (!left) return finish(now, Outcome::kNotSent);
    begin(now, *left);
    read();
  }

  void on_read(Ms now, std::size_t bytes, bool ended) override {
    if (closed_) return;
    if (ended) return finish(now, broken());
    reader_.commit(bytes);
    if (attempt_ == 0) {  // nobody asked: not to be trusted with more
      if (mutant(Mutant::kIgnoresNoise)) return read();
      return finish(now, Outcome::kConnectionLost);
    }
    progress(now);
  }

  void resume() {
    if (closed_ || !std::exchange(paused_, false)) return;
    read();
  }
  // Of a long value.
  bool stalled(Ms now) const {
    return begun_ && !paused_ && !closed_ && now - moved_ > owner_.limits_.stall_timeout_ms;
  }

  void on_writable(Ms now, bool ok) override {
    writing_ = false;
    if (closed_) return;
    if (!ok) return finish(now, broken());
    if (attempt_ != 0 && !whole() && !owner_.events_.may_write(now, attempt_, true)) {
      return finish(now, Outcome::kNotSent);  // not all of it is written, so it never runs
    }
    write();
  }

  // A write failed, maybe inside the module, which must not be entered again: its end is told from here.
  void on_posted(Ms now) override {
    if (attempt_ == failed_attempt_) finish(now, broken());
  }

  void digest(engine::Digest& into) const {
    into.add(attempt_);
    into.add(std::uint64_t{up_} | std::uint64_t{closed_} << 1 | std::uint64_t{writing_} << 2 |
             std::uint64_t{whole()} << 3 | std::uint64_t{reader_.empty()} << 4);
    into.add(idle_since_);
  }

 private:
  // Danger: only bytes that are all written can have begun to run. What breaks before that never ran and may
  // be sent again; what breaks after it may have run.
  Outcome broken() const {
    return whole() && !mutant(Mutant::kResendsAfterReset) ? Outcome::kConnectionLost
                                                          : Outcome::kConnectFailed;
  }

  // Danger: rendered earlier, it would tell the host of time that its client has not any more.
  void begin(Ms, Ms left) {
    request_ = std::exchange(command_, nullptr)->render(left);
    write();
  }

  void write() {
    while (written_ < request_.size()) {
      const auto w = stream_->write(std::string_view(request_).substr(written_));
      if (w.blocked) {
        if (!std::exchange(writing_, true)) stream_->await_writable();
        return;
      }
      if (w.disconnected) {
        failed_attempt_ = attempt_;
        return stream_->post();
      }
      written_ += w.bytes;
      if (whole() && attempt_ != 0) owner_.events_.on_attempt_written(attempt_);
    }
  }

  // Always out, on an idle connection too, so that one which the host has closed is not used again.
  void read() { stream_->read(reader_.prepare()); }

  void progress(Ms now) {
    switch (reader_.next(frame_)) {
      case ReadResult::kNeedMore:
        return read();
      case ReadResult::kProtocolError:
        return spoilt(now, text_of(reader_.error()));
      case ReadResult::kFrame:
        return answered(now);
      case ReadResult::kStreamedValue:
        return pass_on(now);
    }
  }

  // Danger: a value that begins goes to the client, and then no other attempt can help. So it begins with
  // more than the length that was announced.
  void pass_on(Ms now) {
    const auto self = shared_from_this();
    moved_ = now;
    if (!begun_) {
      if (reader_.streamed_value_buffered() < kBeginsWith) return read();
      begun_ = true;
      owner_.events_.on_value_started(now, attempt_, reader_.streamed_value_size());
      if (closed_) return;
    }
    const auto piece = reader_.take_streamed_chunk();
    const bool more = piece.empty() || owner_.events_.on_value_chunk(now, attempt_, piece);
    if (closed_) return;
    if (reader_.streamed_value_remaining() == 0) return progress(now);
    if (!more) {
      paused_ = true;
    } else {
      read();
    }
  }

  void spoilt(Ms now, std::string_view why) {
    owner_.log_("malformed reply of a host", why);
    finish(now, broken());
  }

  void answered(Ms now) {
    const auto self = std::static_pointer_cast<Link>(shared_from_this());
    const Reading reading = read_reply(frame_);
    if (!reading.good && mutant(Mutant::kReadsOnAfterSpoilt)) return progress(now);
    if (!reading.good) return spoilt(now, reading.fault);
    const auto attempt = std::exchange(attempt_, 0);
    begun_ = false;
    const bool clean = whole() && (reader_.empty() || mutant(Mutant::kIgnoresNoise));
    // The report of the end may start the next attempt, which could take this connection: it stays out of
    // the pool until the value, which lies in its reader, has been passed on.
    owner_.ended(now, attempt, reading.outcome, reading.value, reading.report);
    if (closed_) return;
    if (!clean || !pool_->open || pool_->idle.size() >= owner_.limits_.max_idle_per_host) return close();
    if (request_.capacity() > kKeptRequest) std::string().swap(request_);  // or idle links hoard old bodies
    written_ = request_.size();
    // Danger: a second answer may be held back by the host's system until the first is acknowledged, by the
    // next request at the latest, which it would then be taken for the answer to.
    stream_->send_pending_ack();
    idle_since_ = now;
    pool_->idle.push_back(self);
    read();
  }

  HostPool& owner_;
  std::shared_ptr<Pool> pool_;  // an attempt may outlast its host's entry
  std::unique_ptr<Stream> stream_;
  RespReader reader_;
  Frame frame_;
  AttemptId attempt_ = 0;  // 0: none
  AttemptId failed_attempt_ = 0;
  const HostCommand* command_ = nullptr;  // of an attempt whose connection is not up yet
  std::string request_;
  std::size_t written_ = 0;
  Ms idle_since_ = 0;
  Ms moved_ = 0;  // a long value's last bytes came then
  bool up_ = false, closed_ = false, writing_ = false;
  bool begun_ = false, paused_ = false;  // a long value is being passed on; it waits for the client
};

HostPool::HostPool(Dialer& dialer, HostPoolCallbacks& events, const HostPoolLimits& limits, Log log)
    : dialer_(dialer), events_(events), limits_(limits), log_(std::move(log)) {}
// Links and their pools hold each other until a link is closed.
HostPool::~HostPool() { close_all(); }

// Danger: an attempt that still waits for its connection was meant for the process before. Behind a connect
// that comes up late it would reach the one that has just started and is cold, or a stranger at that address.
void HostPool::add_host(HostId host, const Address& at, Ms started_at) {
  auto& pool = pools_[host];
  if (const auto back = leaving_.find(host); !pool && back != leaving_.end()) {
    pool = back->second;
    leaving_.erase(back);
  }
  if (!pool) pool = std::make_shared<Pool>();
  if (pool->at != at || pool->started_at != started_at) {
    for (const auto& link : std::vector(pool->idle)) link->close();
    for (const auto& link : pool->links) {
      if (!link->up()) stale_.push_back(link);
    }
  }
  pool->at = at;
  pool->started_at = started_at;
  pool->open = true;
}

void HostPool::fail_stale_attempts(Ms now) {
  for (const auto& link : std::exchange(stale_, {})) {
    if (!link->up()) link->finish(now, Outcome::kConnectFailed);
  }
}

void HostPool::retire_host(Ms now, HostId host) {
  const auto it = pools_.find(host);
  if (it == pools_.end()) return;
  const auto pool = it->second;
  pool->open = false;
  // Danger: hosts come and go under ever new ids; kept, their entries would grow without end. What is still
  // out on its connections goes on and is bounded by its deadline. Moved before anything is told, as that may
  // ask for this host again.
  leaving_.insert_or_assign(host, pool);
  pools_.erase(it);
  for (const auto& link : std::vector(pool->idle)) link->close();
  if (mutant(Mutant::kForgetsWaitingDrain)) return;
  // Danger: an attempt behind a connect would be written after the grace for drains has passed.
  for (const auto& link : std::vector(pool->links)) {
    if (!link->up()) link->finish(now, Outcome::kConnectFailed);
  }
}

bool HostPool::too_old(Ms now, const Link& link) const {
  return now - link.idle_since() > limits_.idle_timeout_ms * kIdleShare;
}

bool HostPool::drop_an_idle_link() {
  std::shared_ptr<Link> oldest;
  for (const auto& [id, pool] : pools_) {
    if (!pool->idle.empty() && (!oldest || pool->idle.front()->idle_since() < oldest->idle_since())) {
      oldest = pool->idle.front();
    }
  }
  if (!oldest) return false;
  oldest->close();
  return true;
}

// Danger: a second copy or noise can come right behind a good answer. It is seen, and the connection closed,
// if the connection rests for a moment before it is used again; else it would be taken for the next answer.
//
// Of the connections that have rested the one used last, so that those not needed grow old and are closed.
std::shared_ptr<HostPool::Link> HostPool::take_rested(Ms now, Pool& pool) {
  for (;;) {
    const auto rested = std::find_if(pool.idle.rbegin(), pool.idle.rend(), [&](const auto& link) {
      return now - link->idle_since() >= limits_.reuse_delay_ms;
    });
    if (rested == pool.idle.rend()) return nullptr;
    const auto link = *rested;
    // Danger: where this process was held up, what has stood idle for too long has not been swept yet.
    if (!too_old(now, *link) && link->quiet()) {
      pool.idle.erase(std::next(rested).base());
      return link;
    }
    link->close();
  }
}

StartResult HostPool::start(Ms now, AttemptId attempt, HostId host, const engine::Payload& payload, Ms left) {
  const auto it = pools_.find(host);
  if (it == pools_.end() || !it->second->open) return StartResult::kHostUnavailable;
  return start_on(now, attempt, it->second, static_cast<const HostCommand&>(payload), left);
}

StartResult HostPool::start_on(Ms now, AttemptId attempt, const std::shared_ptr<Pool>& host,
                               const HostCommand& command, Ms left) {
  Pool& pool = *host;
  if (const auto link = take_rested(now, pool)) {
    out_.emplace(attempt, link);
    link->carry(now, attempt, command, left);
    return StartResult::kStarted;
  }
  // At the cap one that has not rested is given up for a new connection: better a handshake than a mix-up.
  if (pool.links.size() >= limits_.max_connections_per_host) {
    if (pool.idle.empty()) return StartResult::kNoLocalCapacity;
    std::shared_ptr(pool.idle.front())->close();
  }
  if (links_ >= limits_.max_connections && !drop_an_idle_link()) return StartResult::kNoLocalCapacity;
  const auto link = std::make_shared<Link>(*this, host);
  // Out of descriptors: an idle connection elsewhere gives way, else this attempt was never sent.
  if (!link->connect(pool.at) &&
      !((drop_an_idle_link() || dialer_.free_descriptor()) && link->connect(pool.at))) {
    log_("no socket for a host", "");
    return StartResult::kNoLocalCapacity;
  }
  ++links_;
  pool.links.push_back(link);
  out_.emplace(attempt, link);
  link->carry(now, attempt, command, left);
  return StartResult::kStarted;
}

bool HostPool::awaits_first_byte(AttemptId attempt) const {
  const auto it = out_.find(attempt);
  return it != out_.end() && it->second->waits();
}

bool HostPool::abandon(Ms, AttemptId attempt) {
  const auto it = out_.find(attempt);
  if (it == out_.end()) return true;
  const auto link = it->second;
  out_.erase(it);
  link->close();
  return true;
}

void HostPool::resume(Ms, AttemptId attempt) {
  const auto it = out_.find(attempt);
  if (it != out_.end()) std::shared_ptr(it->second)->resume();
}

bool HostPool::withdraw(Ms now, AttemptId attempt) {
  const auto it = out_.find(attempt);
  if (it == out_.end() || it->second->whole()) return false;
  abandon(now, attempt);
  return true;
}

void HostPool::ended(Ms now, AttemptId attempt, Outcome outcome, std::string_view value,
                     std::string_view report) {
  if (out_.erase(attempt) > 0) events_.on_attempt_end(now, attempt, outcome, value, report);
}

void HostPool::sweep(Ms now) {
  for (const auto& [id, pool] : pools_) {
    for (const auto& link : std::vector(pool->idle)) {
      if (too_old(now, *link)) link->close();
    }
  }
  std::vector<std::shared_ptr<Link>> stalled;
  for (const auto& [attempt, link] : out_) {
    if (link->stalled(now)) stalled.push_back(link);
  }
  for (const auto& link : stalled) {
    log_("a host gives nothing more of its value", "");
    link->finish(now, Outcome::kConnectionLost);
  }
  while (links_ > limits_.max_connections && drop_an_idle_link()) {
  }
  std::erase_if(leaving_, [](const auto& entry) { return entry.second->links.empty(); });
}

void HostPool::close_all() {
  for (const auto* pools : {&pools_, &leaving_}) {
    for (const auto& [id, pool] : *pools) {
      for (const auto& link : std::vector(pool->links)) link->close();
    }
  }
}

void HostPool::digest(engine::Digest& into) const {
  std::vector<HostId> ids;
  for (const auto* pools : {&pools_, &leaving_}) {
    ids.clear();
    for (const auto& [id, pool] : *pools) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    into.add(std::uint64_t{ids.size()});
    for (const auto id : ids) {
      const Pool& pool = *pools->at(id);
      into.add(std::uint64_t{id});
      into.add(pool.at.ip);
      into.add(pool.started_at);
      for (const auto& link : pool.links) link->digest(into);
    }
  }
}

}  // namespace cometfold::resp
