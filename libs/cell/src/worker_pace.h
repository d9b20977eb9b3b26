#pragma once

#include <vector>

#include "base/clock.h"

namespace shallotbank::cell {

/// Measures a worker's speed as estimated work done per second of task run
/// time. Estimates are rough, so the tasks of several jobs are needed to tell a
/// slow worker from a wrong estimate. Older samples are weighted less.
class PaceMeter {
 public:
  explicit PaceMeter(Duration half_life) : half_life(half_life) {}

  /// Adds a sample: a task ran for `spent` and completed `work` by its
  /// estimate.
  auto Add(Duration work, Duration spent, TimePoint now) -> void;

  /// Whether recent samples suffice for a statement.
  auto IsKnown(TimePoint now) const -> bool;
  /// Estimated work per second of run time.
  auto Pace() const -> double;

 private:
  /// Weight at `now` of what was added up to the last update.
  auto DecayFactor(TimePoint now) const -> double;

  Duration half_life;
  TimePoint updated_at;
  double work = 0;   ///< In seconds.
  double spent = 0;  ///< In seconds.
};

/// A worker's pace compared with other workers of its service.
enum class PaceClass {
  kUsual,
  kSlow,      ///< Persistently somewhat slower, such as older hardware.
  kStalling,  ///< Currently several times slower, so probably faulty.
};

/// Long-term and short-term meters of a worker.
struct WorkerPace {
  /// Long enough to average out wrong estimates.
  PaceMeter lasting{std::chrono::seconds(20)};
  /// Short enough to detect a stalling worker within a few seconds.
  PaceMeter recent{std::chrono::milliseconds(1500)};
  PaceClass kind = PaceClass::kUsual;

  auto Add(Duration work, Duration spent, TimePoint now) -> void {
    this->lasting.Add(work, spent, now);
    this->recent.Add(work, spent, now);
  }
};

/// Classifies the workers of a service by comparing them with each other.
/// Pointers must not be null.
auto ClassifyPaces(const std::vector<WorkerPace*>& paces, TimePoint now)
    -> void;

}  // namespace shallotbank::cell
