#include "peer_loads.h"

namespace shallotbank::rpc {

auto PeerCallLimiter::Admit(const std::string& address, std::size_t bytes)
    -> const char* {
  std::lock_guard lock(this->mutex);
  const auto found = this->usage_by_address.find(address);
  const Usage usage =
      found == this->usage_by_address.end() ? Usage{} : found->second;
  if (found == this->usage_by_address.end() &&
      this->usage_by_address.size() >= this->options.max_peers) {
    return "peers";
  }
  if (usage.calls >= this->options.max_calls_per_peer) {
    return "peer_calls";
  }
  if (usage.bytes + bytes > this->options.max_bytes_per_peer) {
    return "peer_bytes";
  }
  this->usage_by_address[address] = {usage.calls + 1, usage.bytes + bytes};
  return nullptr;
}

auto PeerCallLimiter::Release(const std::string& address, std::size_t bytes)
    -> void {
  std::lock_guard lock(this->mutex);
  const auto usage = this->usage_by_address.find(address);
  usage->second.calls -= 1;
  usage->second.bytes -= bytes;
  if (usage->second.calls == 0) {
    this->usage_by_address.erase(usage);
  }
}

}  // namespace shallotbank::rpc
