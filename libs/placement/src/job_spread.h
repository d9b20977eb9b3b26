#pragma once

#include <cstdint>

#include <boost/container/flat_map.hpp>

#include "fit_score.h"

namespace shallotbank::placement {

/// The number of tasks of one service per worker, rack and failure domain,
/// without zero entries.
struct JobSpread {
  using Counts = boost::container::flat_map<std::uint32_t, std::uint32_t>;

  Counts workers;
  Counts racks;
  Counts domains;

  auto UpdateRackCounts(std::uint32_t rack, std::uint32_t domain, bool add)
      -> void {
    if (add) {
      this->racks[rack]++;
      this->domains[domain]++;
    } else {
      Decrease(this->racks, rack);
      Decrease(this->domains, domain);
    }
  }

  static auto CountOf(const Counts& counts, std::uint32_t key)
      -> std::uint32_t {
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
  }
  static auto Decrease(Counts& counts, std::uint32_t key) -> void {
    const auto found = counts.find(key);
    if (--found->second == 0) {
      counts.erase(found);
    }
  }
};

}  // namespace shallotbank::placement
