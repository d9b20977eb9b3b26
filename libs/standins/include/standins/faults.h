#pragma once

#include <cstdint>
#include <mutex>
#include <random>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "base/clock.h"
#include "http/responder.h"

namespace shallotbank::standins {

/// What a stand-in does to its answers.
struct Faults {
  bool down = false;    ///< Answers 503 and takes no effect.
  bool silent = false;  ///< Takes no effect and never answers.
  Duration delay{};     ///< Added before the answer.
  double lose_answers =
      0;  ///< Fraction of requests that take effect but get no answer.
};

/// Reads the members that `change` names into `faults`. Unknown members are
/// left alone.
auto Merge(const nlohmann::json& change, Faults& faults) -> void;

/// Holds the responders of requests that are never answered, and draws which
/// answers are lost from a fixed seed.
class AnswerLoss {
 public:
  explicit AnswerLoss(std::uint64_t seed = 1) : random(seed) {}

  auto IsLost(double fraction) -> bool;
  auto Hold(http::Responder responder) -> void;

 private:
  std::mutex mutex;
  std::mt19937_64 random;
  std::vector<http::Responder> held;
};

}  // namespace shallotbank::standins
