#pragma once

#include <cstdint>
#include <string>

#include <boost/histogram.hpp>

#include "base/clock.h"

namespace shallotbank {

/// Latency histogram from 1 us to 1,000 s with logarithmic bins (ratio about
/// 8%). Not thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram();

  auto Observe(Duration latency) -> void;
  auto Count() const -> std::uint64_t;
  auto Sum() const -> Duration;
  /// The upper bound of the bin that contains the quantile `fraction` (0 to 1);
  /// zero if nothing was observed.
  auto Quantile(double fraction) const -> Duration;
  /// The cumulative buckets in the Prometheus text format.
  auto Expose(const std::string& name) const -> std::string;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> bins;
  std::uint64_t count = 0;
  Duration sum{};
};

}  // namespace shallotbank
