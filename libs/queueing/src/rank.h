#pragma once

#include "queueing/scoring.h"
#include "team_queue.h"

namespace shallotbank::queueing {

/// The place of a team or organisation in the order of one decision.
struct Rank {
  bool is_urgent_first = false;
  double score = 0;
  JobOrder order;

  auto IsBefore(const Rank& other) const -> bool {
    if (this->is_urgent_first != other.is_urgent_first) {
      return this->is_urgent_first;
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
  return {team.head.is_urgent_first,
          scoring.Score(use_ratio, now - order.submitted), order};
}

/// Keeps the item that comes first of those offered.
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
