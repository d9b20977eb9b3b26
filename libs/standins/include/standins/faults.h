#pragma once

#include <cstdint>
#include <mutex>
#include <random>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "base/clock.h"
#include "http/responder.h"

namespace shallotbank::standins {

/// Faults that a stand-in injects into its responses.
struct Faults {
  bool down = false;    ///< Responds with 503, without any effect.
  bool silent = false;  ///< Never responds, without any effect.
  Duration delay{};     ///< Delay before the response.
  double lose_answers =
      0;  ///< Fraction of requests that take effect but get no response.
};

/// Overwrites the members of `faults` that `change` contains. Ignores unknown
/// members of `change`.
auto MergeFaults(const nlohmann::json& change, Faults& faults) -> void;

/// Selects the responses to drop, with a fixed random seed, and keeps their
/// responders so that the requests stay open.
class ResponseDropper {
 public:
  explicit ResponseDropper(std::uint64_t seed = 1) : random(seed) {}

  auto ShouldDrop(double fraction) -> bool;
  auto KeepOpen(http::Responder responder) -> void;

 private:
  std::mutex mutex;
  std::mt19937_64 random;
  std::vector<http::Responder> unanswered;
};

}  // namespace shallotbank::standins
