#pragma once

#include <cstdint>
#include <string>

#include <boost/histogram.hpp>

#include "base/clock.h"

namespace shallotbank {

/// Latencies from 1 us to 1,000 s in bins of equal ratio (about 8%). Not safe
/// for use by several threads.
class LatencyHistogram {
 public:
  LatencyHistogram();

  auto Observe(Duration latency) -> void;
  auto Count() const -> std::uint64_t;
  auto Sum() const -> Duration;
  /// The upper edge of the bin that holds the quantile `fraction` (0 to 1);
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
