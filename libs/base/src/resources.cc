#include "base/resources.h"

#include <algorithm>

namespace shallotbank {

auto Resources::operator+=(const Resources& other) -> Resources& {
  this->cores_milli += other.cores_milli;
  this->memory_mib += other.memory_mib;
  this->accelerators += other.accelerators;
  return *this;
}

auto Resources::operator-=(const Resources& other) -> Resources& {
  this->cores_milli -= other.cores_milli;
  this->memory_mib -= other.memory_mib;
  this->accelerators -= other.accelerators;
  return *this;
}

auto Resources::FitsIn(const Resources& available) const -> bool {
  return this->cores_milli <= available.cores_milli &&
         this->memory_mib <= available.memory_mib &&
         this->accelerators <= available.accelerators;
}

auto Resources::IsNonNegative() const -> bool {
  return this->cores_milli >= 0 && this->memory_mib >= 0 &&
         this->accelerators >= 0;
}

auto Max(const Resources& left, const Resources& right) -> Resources {
  return {std::max(left.cores_milli, right.cores_milli),
          std::max(left.memory_mib, right.memory_mib),
          std::max(left.accelerators, right.accelerators)};
}

auto Times(const Resources& amount, std::int64_t count) -> Resources {
  return {amount.cores_milli * count, amount.memory_mib * count,
          amount.accelerators * count};
}

auto DominantShare(const Resources& use, const Resources& total) -> double {
  double share = 0;
  auto update_share = [&share](std::int64_t used, std::int64_t capacity) {
    if (capacity > 0) {
      share = std::max(
          share, static_cast<double>(used) / static_cast<double>(capacity));
    }
  };
  update_share(use.cores_milli, total.cores_milli);
  update_share(use.memory_mib, total.memory_mib);
  update_share(use.accelerators, total.accelerators);
  return share;
}

auto operator<<(std::ostream& out, const Resources& amount) -> std::ostream& {
  return out << amount.cores_milli << "mc/" << amount.memory_mib << "MiB/"
             << amount.accelerators << "acc";
}

}  // namespace shallotbank
