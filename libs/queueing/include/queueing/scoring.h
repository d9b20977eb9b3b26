#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>

#include "base/clock.h"

namespace shallotbank::queueing {

/// Scores an organisation or team by its use as a fraction of its entitlement
/// (1 means exactly its share) and the time that its first job has waited. The
/// highest score goes first.
template <typename T>
concept Scoring = requires(const T& scoring,
                           double use_ratio,
                           Duration waited) {
  { scoring.Score(use_ratio, waited) } -> std::same_as<double>;
};

/// Combines share deficit and waiting time by configured weights. The waiting
/// term stops growing at `waiting_scale`; otherwise, under sustained overload,
/// age would outweigh every share deficit and the order would degrade to first
/// come, first served.
struct WeightedScoring {
  double waiting_weight = 1;
  double share_weight = 1;
  Duration waiting_scale = std::chrono::seconds(60);

  auto Score(double use_ratio, Duration waited) const -> double {
    const double age = std::chrono::duration<double>(waited) /
                       std::chrono::duration<double>(this->waiting_scale);
    return this->waiting_weight * std::clamp(age, 0.0, 1.0) -
           this->share_weight * use_ratio;
  }
};

static_assert(Scoring<WeightedScoring>);

}  // namespace shallotbank::queueing
