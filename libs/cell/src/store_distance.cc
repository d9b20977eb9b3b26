#include "cell/store_distance.h"

#include <algorithm>

namespace shallotbank::cell {
namespace {

/// A host must be this much nearer to be a better leader: each start and each
/// completion of a task waits for the store once.
constexpr std::chrono::milliseconds kMinLatencyGain(3);
constexpr std::size_t kMinSamples = 2;

}  // namespace

auto StoreDistance::Record(Duration round_trip) -> void {
  this->samples.push_back(
      std::chrono::ceil<std::chrono::microseconds>(round_trip));
}

auto StoreDistance::Shortest() const
    -> std::optional<std::chrono::microseconds> {
  if (this->samples.empty()) {
    return std::nullopt;
  }
  return *std::min_element(this->samples.begin(), this->samples.end());
}

auto StoreDistance::IsMuchFartherThan(std::chrono::microseconds other) const
    -> bool {
  const auto own = this->Shortest();
  return own && this->samples.size() >= kMinSamples &&
         *own < kMaxNormalLatency && this->samples.back() < kMaxNormalLatency &&
         other * 3 / 2 + kMinLatencyGain < *own;
}

}  // namespace shallotbank::cell
