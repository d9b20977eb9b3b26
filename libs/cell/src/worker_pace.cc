#include "worker_pace.h"

#include <algorithm>
#include <cmath>

namespace shallotbank::cell {
namespace {

using Seconds = std::chrono::duration<double>;

/// Minimum task time, in seconds, for a meter to be meaningful: that of about
/// five short tasks.
constexpr double kMinSpentSeconds = 4;
/// Minimum number of workers with a known pace for a comparison.
constexpr std::size_t kMinComparedWorkers = 4;
/// A worker below this fraction of the usual pace is slow. Lies between usual
/// hardware and hardware that takes 1.3 times as long.
constexpr double kSlowBelow = 0.87;
/// A slow worker must exceed this fraction to be classified as usual again.
constexpr double kUsualAbove = 0.92;
/// A worker below this fraction of the usual pace is stalling. Lies well below
/// slow hardware with long tasks, and above a worker that takes three times as
/// long.
constexpr double kStallingBelow = 0.4;
constexpr double kRecoveredAbove = 0.6;
/// The usual pace is taken from the upper third, because some hardware may be
/// slow.
constexpr double kUsualQuantile = 0.67;

auto UsualPace(std::vector<double> paces) -> double {
  const auto rank = static_cast<std::ptrdiff_t>(
      kUsualQuantile * static_cast<double>(paces.size() - 1));
  std::nth_element(paces.begin(), paces.begin() + rank, paces.end());
  return paces[static_cast<std::size_t>(rank)];
}

}  // namespace

auto PaceMeter::DecayFactor(TimePoint now) const -> double {
  if (this->updated_at == TimePoint() || now <= this->updated_at) {
    return 1;
  }
  return std::exp2(
      -(Seconds(now - this->updated_at) / Seconds(this->half_life)));
}

auto PaceMeter::Add(Duration work, Duration spent, TimePoint now) -> void {
  if (spent <= Duration::zero()) {
    return;
  }
  const double decay = this->DecayFactor(now);
  this->work *= decay;
  this->spent *= decay;
  this->updated_at = now;
  this->work += std::max(0.0, Seconds(work).count());
  this->spent += Seconds(spent).count();
}

auto PaceMeter::IsKnown(TimePoint now) const -> bool {
  return this->spent * this->DecayFactor(now) >= kMinSpentSeconds;
}

auto PaceMeter::Pace() const -> double {
  return this->spent > 0 ? this->work / this->spent : 0;
}

auto ClassifyPaces(const std::vector<WorkerPace*>& paces, TimePoint now)
    -> void {
  std::vector<double> known;
  for (const auto* pace : paces) {
    if (pace->lasting.IsKnown(now)) {
      known.push_back(pace->lasting.Pace());
    }
  }
  if (known.size() < kMinComparedWorkers) {
    return;
  }
  const double usual = UsualPace(std::move(known));
  for (auto* pace : paces) {
    const bool was_stalling = pace->kind == PaceClass::kStalling;
    const double stalling_limit =
        usual * (was_stalling ? kRecoveredAbove : kStallingBelow);
    if (pace->recent.IsKnown(now) && pace->recent.Pace() < stalling_limit) {
      pace->kind = PaceClass::kStalling;
      continue;
    }
    const double slow_limit =
        usual * (pace->kind == PaceClass::kSlow ? kUsualAbove : kSlowBelow);
    const bool is_slow =
        pace->lasting.IsKnown(now) && pace->lasting.Pace() < slow_limit;
    pace->kind = is_slow ? PaceClass::kSlow : PaceClass::kUsual;
  }
}

}  // namespace shallotbank::cell
