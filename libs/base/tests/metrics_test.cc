#include "base/metrics.h"

#include <boost/test/unit_test.hpp>

namespace shallotbank {
namespace {

// Guards against quantiles that are wrong by more than one bin (about 8%).
BOOST_AUTO_TEST_CASE(QuantilesAreWithinOneBin) {
  LatencyHistogram histogram;
  for (int k = 1; k <= 1000; ++k) {
    histogram.Observe(std::chrono::milliseconds(k));
  }
  BOOST_TEST(histogram.Count() == 1000U);
  const auto median =
      std::chrono::duration<double>(histogram.Quantile(0.5)).count();
  BOOST_TEST(median >= 0.5);
  BOOST_TEST(median <= 0.545);
  BOOST_TEST((LatencyHistogram().Quantile(0.5) == Duration::zero()));
}

// Guards against output that does not follow the Prometheus text format.
BOOST_AUTO_TEST_CASE(ExposesPrometheusTextFormat) {
  Metrics metrics;
  metrics.Add("refusals_total", "stale_view");
  metrics.Add("refusals_total", "stale_view", 2);
  metrics.Set("log_head", 7);
  metrics.Observe("latency_seconds", std::chrono::milliseconds(2));
  BOOST_TEST(metrics.Value("refusals_total", "stale_view") == 3U);
  BOOST_TEST(metrics.Value("refusals_total", "other") == 0U);
  const auto text = metrics.Expose();
  BOOST_TEST(text.find("refusals_total{reason=\"stale_view\"} 3\n") !=
             std::string::npos);
  BOOST_TEST(text.find("log_head 7\n") != std::string::npos);
  BOOST_TEST(text.find("latency_seconds_bucket{le=\"+Inf\"} 1\n") !=
             std::string::npos);
}

}  // namespace
}  // namespace shallotbank
