#pragma once

#include <vector>

#include "base/clock.h"

namespace shallotbank::cell {

/// How fast a worker does its work, as estimated work done for each second
/// that its tasks have run. Estimates are rough, so it takes the tasks of
/// several jobs to tell a slow worker from a wrong estimate. Older work counts
/// for less.
class PaceMeter {
 public:
  explicit PaceMeter(Duration half_life) : half_life(half_life) {}

  /// One of its tasks has run for `spent` and done `work` by its estimate.
  auto Add(Duration work, Duration spent, TimePoint now) -> void;

  /// Whether enough was seen lately to say anything.
  auto IsKnown(TimePoint now) const -> bool;
  /// Estimated work for each second spent.
  auto Pace() const -> double;

 private:
  /// What is left until `now` of something seen at the last update.
  auto LeftOver(TimePoint now) const -> double;

  Duration half_life;
  TimePoint updated_at;
  double work = 0;   ///< In seconds.
  double spent = 0;  ///< In seconds.
};

/// A worker beside the others of its service.
enum class PaceClass {
  kUsual,
  kSlow,      ///< Somewhat slower for good: older hardware.
  kStalling,  ///< Several times slower just now: something is wrong with it.
};

/// Both meters of a worker.
struct WorkerPace {
  /// Long enough to average out wrong estimates.
  PaceMeter lasting{std::chrono::seconds(20)};
  /// Short enough to notice a worker that stalls within a few seconds.
  PaceMeter recent{std::chrono::milliseconds(1500)};
  PaceClass kind = PaceClass::kUsual;

  auto Add(Duration work, Duration spent, TimePoint now) -> void {
    this->lasting.Add(work, spent, now);
    this->recent.Add(work, spent, now);
  }
};

/// Compares the workers of a service with each other. Pointers are not null.
auto ClassifyPaces(const std::vector<WorkerPace*>& paces, TimePoint now)
    -> void;

}  // namespace shallotbank::cell
