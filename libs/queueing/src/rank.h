#pragma once

#include "queueing/scoring.h"
#include "team_queue.h"

namespace shallotbank::queueing {

/// The position of a team or organisation in the order of one decision.
struct Rank {
  bool precedes_normal = false;
  double score = 0;
  JobOrder order;

  auto IsBefore(const Rank& other) const -> bool {
    if (this->precedes_normal != other.precedes_normal) {
      return this->precedes_normal;
    }
    if (this->score != other.score) {
      return this->score > other.score;
    }
    return this->order < other.order;
  }
};

/// The rank of a team, or of its organisation if `use_ratio` is the
/// organisation's.
template <Scoring S>
auto RankOf(const S& scoring, const Team& team, double use_ratio, TimePoint now)
    -> Rank {
  const auto& order = team.head.order;
  return {team.head.precedes_normal,
          scoring.Score(use_ratio, now - order.submitted), order};
}

/// Keeps the highest-ranked of the items offered to it.
template <typename T>
class FirstByRank {
 public:
  auto Offer(T* item, const Rank& rank) -> void {
    if (this->first == nullptr || rank.IsBefore(this->first_rank)) {
      this->first = item;
      this->first_rank = rank;
    }
  }
  auto Get() const -> T* { return this->first; }

 private:
  T* first = nullptr;
  Rank first_rank;
};

}  // namespace shallotbank::queueing
