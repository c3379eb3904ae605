// The value of one request that is passed on to its client in chunks, as an attempt receives it.
//
// If the host of that attempt pauses, another attempt's value may take over: from its start if the client has
// nothing yet, otherwise from where the first one stopped. The second is allowed only if both values have the
// same size and the second one begins with exactly the bytes that were passed on, which their hashes show:
// then the client receives the second host's value and no mixture of two.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace cometfold::engine {

// The hash of a growing sequence of bytes.
class PrefixHash {
 public:
  PrefixHash();
  ~PrefixHash();
  PrefixHash(PrefixHash&&) noexcept;
  PrefixHash& operator=(PrefixHash&&) noexcept;

  void append(std::string_view bytes);
  std::size_t size() const { return size_; }
  // Equal for equal bytes. The hash has 128 bits, so that different ones can be taken to differ in it.
  bool same_as(const PrefixHash& other) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
  std::size_t size_ = 0;
};

class StreamedValue {
 public:
  // The value has `size` bytes, and the attempt with this index among the request's receives it.
  StreamedValue(std::uint32_t source, std::size_t size) : source_(source), size_(size) {}

  // The attempt whose bytes are passed on.
  std::uint32_t source() const { return source_; }
  // `bytes` of the source are passed on.
  void pass_on(std::string_view bytes);

  // The source's host has paused; false again once more of it is passed on.
  void set_paused() { paused_ = true; }
  bool paused() const { return paused_; }

  // Another attempt receives a value of this size. Returns false if it can't continue this one.
  bool add_candidate(std::uint32_t attempt, std::size_t size);
  bool has_candidate() const { return candidate_.has_value(); }
  bool is_candidate(std::uint32_t attempt) const { return candidate_ && candidate_->attempt == attempt; }
  // The next bytes of the candidate's value. If these reach the end of what was passed on and agree with it,
  // the candidate becomes the source, and the bytes to be passed on from now are returned, which may be none.
  // A candidate that does not agree is dropped.
  std::optional<std::string_view> compare(std::string_view bytes);

 private:
  struct Candidate {
    std::uint32_t attempt = 0;
    PrefixHash received;
  };

  std::uint32_t source_;
  std::size_t size_;
  PrefixHash passed_on_;
  std::optional<Candidate> candidate_;
  bool paused_ = false;
};

}  // namespace cometfold::engine
