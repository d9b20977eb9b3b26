#pragma once

#include <cstddef>

namespace shallotbank::cell {

/// So many hosts read the topics of jobs, progress and workers as a whole and
/// can lead at once: more than fail together without a failure of a domain,
/// and few enough for their reads to take a small share of the store's
/// bandwidth, however large the cell is. The others observe.
inline constexpr std::size_t kStandbys = 16;
/// A standby becomes an observer only beyond this rank, so that hosts that come
/// and go do not change the roles of others back and forth.
inline constexpr std::size_t kMaxStandbyRank = 24;

/// Whether a host is a standby. Every host starts as one.
class StandbyRole {
 public:
  /// Handles the host's current rank among the standbys.
  auto Update(std::size_t rank) -> void {
    this->is_standby = rank < (this->is_standby ? kMaxStandbyRank : kStandbys);
  }
  auto IsStandby() const -> bool { return this->is_standby; }

 private:
  bool is_standby = true;
};

}  // namespace shallotbank::cell
