#include "cell/host_capacity.h"

namespace shallotbank::cell {
namespace {

auto IsMuchMore(std::int64_t amount, std::int64_t other) -> bool {
  return other > 0 && amount * 2 >= other * 3;
}

}  // namespace

auto IsMuchLarger(const HostCapacity& host, const HostCapacity& other) -> bool {
  const bool offers_more = IsMuchMore(host.cores_milli, other.cores_milli) ||
                           IsMuchMore(host.link_kbits, other.link_kbits);
  const bool offers_less = IsMuchMore(other.cores_milli, host.cores_milli) ||
                           IsMuchMore(other.link_kbits, host.link_kbits);
  return offers_more && !offers_less;
}

}  // namespace shallotbank::cell
