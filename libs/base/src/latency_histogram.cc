#include "base/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace shallotbank {
namespace {

constexpr double kMinMicroseconds = 1;
constexpr double kMaxMicroseconds = 1e9;
constexpr unsigned kBins = 270;  // 30 per decade, a ratio of about 1.08.
constexpr int kBinsPerExposedBucket = 15;

auto ToMicroseconds(Duration latency) -> double {
  return std::chrono::duration<double, std::micro>(latency).count();
}

auto FromMicroseconds(double value) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::micro>(value));
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : bins(boost::histogram::make_histogram(
          Axis(kBins, kMinMicroseconds, kMaxMicroseconds))) {}

auto LatencyHistogram::Observe(Duration latency) -> void {
  this->bins(std::clamp(ToMicroseconds(latency), kMinMicroseconds,
                        kMaxMicroseconds * 0.999));
  this->count++;
  this->sum += latency;
}

auto LatencyHistogram::Count() const -> std::uint64_t {
  return this->count;
}

auto LatencyHistogram::Sum() const -> Duration {
  return this->sum;
}

auto LatencyHistogram::Quantile(double fraction) const -> Duration {
  if (this->count == 0) {
    return Duration::zero();
  }
  const double target_count =
      std::max(1.0, std::ceil(fraction * static_cast<double>(this->count)));
  double cumulative_count = 0;
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    cumulative_count += this->bins.at(bin);
    if (cumulative_count >= target_count) {
      return FromMicroseconds(this->bins.axis(0).bin(bin).upper());
    }
  }
  return FromMicroseconds(kMaxMicroseconds);
}

auto LatencyHistogram::Expose(const std::string& name) const -> std::string {
  std::ostringstream out;
  double cumulative_count = 0;
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    cumulative_count += this->bins.at(bin);
    if ((bin + 1) % kBinsPerExposedBucket == 0) {
      out << name << "_bucket{le=\""
          << this->bins.axis(0).bin(bin).upper() / 1e6 << "\"} "
          << static_cast<std::uint64_t>(cumulative_count) << "\n";
    }
  }
  out << name << "_bucket{le=\"+Inf\"} " << this->count << "\n";
  out << name << "_sum " << std::chrono::duration<double>(this->sum).count()
      << "\n";
  out << name << "_count " << this->count << "\n";
  return out.str();
}

}  // namespace shallotbank
