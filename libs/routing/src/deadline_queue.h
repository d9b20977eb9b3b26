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

/// The queued requests of one service. Ordered by urgency, then teams that use
/// less than an equal share of the slots, then the earliest deadline.
class DeadlineQueue {
 public:
  auto Insert(RequestRecord* request) -> void;
  auto Erase(RequestRecord* request) -> void;
  auto Size() const -> std::size_t { return this->by_deadline.size(); }

  /// Number of queued requests that are more urgent, or equally urgent with an
  /// earlier deadline.
  auto CountAhead(const Request& request) const -> std::size_t;

  /// Adjusts the slots in use by `team`: 1 on dispatch, -1 when a slot is
  /// freed.
  auto AdjustRunning(const TeamId& team, int change) -> void;

  /// The next request to dispatch among those that satisfy `can_dispatch`, or
  /// null. `capacity` is the number of slots of the service.
  template <typename CanDispatch>
  auto FindNext(int capacity, const CanDispatch& can_dispatch) const
      -> RequestRecord* {
    const int share = this->TeamShare(capacity);
    RequestRecord* best = nullptr;
    Rank best_rank;
    for (const auto& [id, team] : this->teams) {
      for (const auto& entry : team.waiting) {
        const Rank rank{entry.not_urgent, team.running >= share, entry.deadline,
                        entry.sequence};
        if (best != nullptr && best_rank < rank) {
          break;
        }
        if (can_dispatch(*entry.request)) {
          best = entry.request;
          best_rank = rank;
          break;
        }
      }
    }
    return best;
  }

  /// The request to evict from a full queue in favour of a request of `team`:
  /// of the team with the most queued requests, the last one in queue order
  /// that has never been dispatched or forwarded. Null if there is none,
  /// or if that team does not have at least two more queued requests than
  /// `team`.
  auto FindEvictionCandidate(const TeamId& team) const -> RequestRecord*;
  /// True if no team has more queued requests than `team`.
  auto HasMostWaiting(const TeamId& team) const -> bool;

 private:
  using Rank = std::tuple<bool, bool, TimePoint, std::uint64_t>;
  struct Entry {
    bool not_urgent = false;
    TimePoint deadline;
    std::uint64_t sequence = 0;
    RequestRecord* request = nullptr;

    auto operator<(const Entry& other) const -> bool {
      return std::tie(this->not_urgent, this->deadline, this->sequence) <
             std::tie(other.not_urgent, other.deadline, other.sequence);
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
  auto WaitingCount(const TeamId& team) const -> std::size_t;

  ByDeadline by_deadline;
  // Those with queued or running requests.
  std::unordered_map<TeamId, Team> teams;
};

}  // namespace shallotbank::routing
