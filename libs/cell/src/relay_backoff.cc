#include "cell/relay_backoff.h"

#include <algorithm>

namespace shallotbank::cell {
namespace {

/// The delay doubles while relayed calls keep failing. A host that only the
/// store's outage kept from answers has them again within a second.
constexpr std::chrono::milliseconds kFirstDelay(1000);
constexpr std::chrono::milliseconds kMaxDelay(8000);

}  // namespace

auto RelayBackoff::OnFailed(TimePoint now) -> void {
  if (now < this->until) {
    return;  // Sent before the delay began.
  }
  this->delay = std::clamp<Duration>(this->delay * 2, kFirstDelay, kMaxDelay);
  this->until = now + this->delay;
}

}  // namespace shallotbank::cell
