#include "peer_loads.h"

namespace shallotbank::rpc {

auto PeerLoads::Admit(const std::string& address, std::size_t bytes) -> const
    char* {
  std::lock_guard lock(this->mutex);
  const auto found = this->loads.find(address);
  const Load load = found == this->loads.end() ? Load{} : found->second;
  if (found == this->loads.end() &&
      this->loads.size() >= this->options.max_peers) {
    return "peers";
  }
  if (load.calls >= this->options.max_calls_per_peer) {
    return "peer_calls";
  }
  if (load.bytes + bytes > this->options.max_bytes_per_peer) {
    return "peer_bytes";
  }
  this->loads[address] = {load.calls + 1, load.bytes + bytes};
  return nullptr;
}

auto PeerLoads::Release(const std::string& address, std::size_t bytes) -> void {
  std::lock_guard lock(this->mutex);
  const auto load = this->loads.find(address);
  load->second.calls -= 1;
  load->second.bytes -= bytes;
  if (load->second.calls == 0) {
    this->loads.erase(load);
  }
}

}  // namespace shallotbank::rpc
