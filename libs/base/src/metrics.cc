#include "base/metrics.h"

#include <sstream>

namespace shallotbank {

auto Metrics::Add(const std::string& name,
                  const std::string& reason,
                  std::uint64_t amount) -> void {
  std::lock_guard lock(this->mutex);
  this->counters[name][reason] += amount;
}

auto Metrics::Set(const std::string& name, double value) -> void {
  std::lock_guard lock(this->mutex);
  this->gauges[name] = value;
}

auto Metrics::Observe(const std::string& name, Duration latency) -> void {
  std::lock_guard lock(this->mutex);
  this->histograms[name].Observe(latency);
}

auto Metrics::Value(const std::string& name, const std::string& reason) const
    -> std::uint64_t {
  std::lock_guard lock(this->mutex);
  const auto counter = this->counters.find(name);
  if (counter == this->counters.end()) {
    return 0;
  }
  const auto value = counter->second.find(reason);
  return value == counter->second.end() ? 0 : value->second;
}

auto Metrics::Expose() const -> std::string {
  std::lock_guard lock(this->mutex);
  std::ostringstream out;
  for (const auto& [name, values] : this->counters) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [reason, value] : values) {
      out << name;
      if (!reason.empty()) {
        out << "{reason=\"" << reason << "\"}";
      }
      out << " " << value << "\n";
    }
  }
  for (const auto& [name, value] : this->gauges) {
    out << "# TYPE " << name << " gauge\n" << name << " " << value << "\n";
  }
  for (const auto& [name, histogram] : this->histograms) {
    out << "# TYPE " << name << " histogram\n" << histogram.Expose(name);
  }
  return out.str();
}

}  // namespace shallotbank
