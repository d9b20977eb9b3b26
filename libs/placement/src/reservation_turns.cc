#include "reservation_turns.h"

#include <algorithm>

#include "placement/placer.h"

namespace shallotbank::placement {
namespace {

constexpr std::chrono::seconds kSearchInterval{1};
constexpr std::chrono::minutes kLongestWait{10};
// Gangs that ended without a word are forgotten after this time.
constexpr std::chrono::minutes kRemembered{30};

}  // namespace

auto ReservationTurns::MayTry(const JobId& job, TimePoint now) const -> bool {
  const auto turn = this->turns.find(job);
  return turn == this->turns.end() || turn->second.not_before <= now;
}

auto ReservationTurns::RecordFailedSearch(const JobId& job, TimePoint now)
    -> void {
  this->ForgetOld(now);
  this->turns[job].not_before = now + kSearchInterval;
}

auto ReservationTurns::RecordExpiry(const JobId& job, TimePoint now) -> void {
  this->ForgetOld(now);
  auto& turn = this->turns[job];
  turn.wait = std::clamp<Duration>(2 * turn.wait, kStarvedAfter, kLongestWait);
  turn.not_before = now + turn.wait;
}

auto ReservationTurns::ForgetOld(TimePoint now) -> void {
  std::erase_if(this->turns, [now](const auto& entry) {
    return entry.second.not_before + kRemembered < now;
  });
}

auto ReservationTurns::Forget(const JobId& job) -> void {
  this->turns.erase(job);
}

}  // namespace shallotbank::placement
