#include "cell/host_capacity.h"

namespace shallotbank::cell {
namespace {

auto IsMuchMore(std::int64_t amount, std::int64_t other) -> bool {
  return other > 0 && amount * 2 >= other * 3;
}

}  // namespace

auto IsMuchLarger(const HostCapacity& host, const HostCapacity& other) -> bool {
  return host.cores_milli >= other.cores_milli &&
         host.link_kbits >= other.link_kbits &&
         (IsMuchMore(host.cores_milli, other.cores_milli) ||
          IsMuchMore(host.link_kbits, other.link_kbits));
}

}  // namespace shallotbank::cell
