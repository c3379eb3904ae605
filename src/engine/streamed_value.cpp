#include "engine/streamed_value.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cometfold::engine {

struct PrefixHash::State {
  State() { XXH3_128bits_reset(&hash); }
  XXH3_state_t hash;
};

PrefixHash::PrefixHash() : state_(std::make_unique<State>()) {}
PrefixHash::~PrefixHash() = default;
PrefixHash::PrefixHash(PrefixHash&&) noexcept = default;
PrefixHash& PrefixHash::operator=(PrefixHash&&) noexcept = default;

void PrefixHash::append(std::string_view bytes) {
  XXH3_128bits_update(&state_->hash, bytes.data(), bytes.size());
  size_ += bytes.size();
}

bool PrefixHash::same_as(const PrefixHash& other) const {
  const XXH128_hash_t own = XXH3_128bits_digest(&state_->hash);
  const XXH128_hash_t others = XXH3_128bits_digest(&other.state_->hash);
  return size_ == other.size_ && XXH128_isEqual(own, others) != 0;
}

void StreamedValue::pass_on(std::string_view bytes) {
  passed_on_.append(bytes);
  paused_ = false;
}

bool StreamedValue::add_candidate(std::uint32_t attempt, std::size_t size) {
  if (size != size_) return false;
  candidate_.emplace(Candidate{attempt, {}});
  return true;
}

std::optional<std::string_view> StreamedValue::compare(std::string_view bytes) {
  if (!candidate_) return {};
  const std::size_t missing = passed_on_.size() - candidate_->received.size();
  candidate_->received.append(bytes.substr(0, missing));
  if (bytes.size() < missing) return {};
  const bool agrees = candidate_->received.same_as(passed_on_);
  const std::uint32_t attempt = candidate_->attempt;
  candidate_.reset();
  if (!agrees) return {};
  source_ = attempt;
  return bytes.substr(missing);
}

}  // namespace cometfold::engine
