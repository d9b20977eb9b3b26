#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>
#include <unordered_map>

#include <boost/multi_index/identity.hpp>
#include <boost/multi_index/ranked_index.hpp>
#include <boost/multi_index_container.hpp>

#include "base/clock.h"
#include "base/ids.h"
#include "request_record.h"

namespace shallotbank::routing {

/// The waiting requests of one service. Urgent requests go first, then those
/// of teams that run less than an equal part of the slots, then the earliest
/// deadline.
class DeadlineQueue {
 public:
  auto Insert(RequestRecord* request) -> void;
  auto Erase(RequestRecord* request) -> void;
  auto Size() const -> std::size_t { return this->by_deadline.size(); }

  /// Waiting requests that are as urgent and have an earlier deadline, or are
  /// more urgent.
  auto Ahead(const Request& request) const -> std::size_t;

  /// A request of `team` starts (1) or frees its slot (-1).
  auto CountRunning(const TeamId& team, int change) -> void;

  /// The request to dispatch next among those for which `can_place` holds;
  /// null if there is none. `capacity` is the number of slots of the service.
  template <typename CanPlace>
  auto Best(int capacity, const CanPlace& can_place) const -> RequestRecord* {
    const int share = this->TeamShare(capacity);
    RequestRecord* best = nullptr;
    Rank best_rank;
    for (const auto& [id, team] : this->teams) {
      for (const auto& entry : team.waiting) {
        const Rank rank{entry.normal, team.running >= share, entry.deadline,
                        entry.sequence};
        if (best != nullptr && best_rank < rank) {
          break;
        }
        if (can_place(*entry.request)) {
          best = entry.request;
          best_rank = rank;
          break;
        }
      }
    }
    return best;
  }

  /// The request to push out of a full queue for a request of `team`: the last
  /// in order of the team with the most waiting requests that has not been
  /// sent before. Null if no team has two more than `team`.
  auto Victim(const TeamId& team) const -> RequestRecord*;
  /// True if no team has more waiting requests than `team`.
  auto IsLargest(const TeamId& team) const -> bool;

 private:
  using Rank = std::tuple<bool, bool, TimePoint, std::uint64_t>;
  struct Entry {
    bool normal = false;
    TimePoint deadline;
    std::uint64_t sequence = 0;
    RequestRecord* request = nullptr;

    auto operator<(const Entry& other) const -> bool {
      return std::tie(this->normal, this->deadline, this->sequence) <
             std::tie(other.normal, other.deadline, other.sequence);
    }
  };
  struct Team {
    std::set<Entry> waiting;
    int running = 0;
  };
  using ByDeadline = boost::multi_index_container<
      Entry,
      boost::multi_index::indexed_by<boost::multi_index::ranked_unique<
          boost::multi_index::identity<Entry>>>>;

  static auto ToEntry(RequestRecord* request) -> Entry;
  auto TeamShare(int capacity) const -> int;
  auto Waiting(const TeamId& team) const -> std::size_t;

  ByDeadline by_deadline;
  std::unordered_map<TeamId, Team>
      teams;  // Those with waiting or running requests.
};

}  // namespace shallotbank::routing
