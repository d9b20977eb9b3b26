#include "client_core.h"

#include <algorithm>
#include <random>

namespace shallotbank::rpc {
namespace {

auto SeedFor(const PeerClientOptions& options) -> std::uint64_t {
  return options.jitter_seed == 0 ? std::random_device()()
                                  : options.jitter_seed;
}

}  // namespace

ClientCore::ClientCore(kj::AsyncIoContext& io,
                       const PeerClientOptions& options,
                       PeerLoads& loads)
    : io(io),
      context{.options = options,
              .loads = loads,
              .timer = io.provider->getTimer(),
              .random = std::mt19937_64(SeedFor(options))} {}

auto ClientCore::Start(const CallPointer& call) -> void {
  auto* link = this->FindLink(call->address);
  if (link == nullptr) {
    return this->context.Fail(*call, "bad_address",
                              "not a numeric IP address with a port");
  }
  link->Add(call);
}

auto ClientCore::FindLink(const std::string& address) -> Link* {
  const auto found = this->links.find(address);
  if (found != this->links.end()) {
    return found->second.get();
  }
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    return nullptr;
  }
  if (this->links.size() >= this->context.options.max_peers) {
    this->RemoveLinkWithoutCalls();
  }
  auto link = std::make_unique<Link>(this->context,
                                     this->io.provider->getNetwork(), *parsed);
  return this->links.emplace(address, std::move(link)).first->second.get();
}

auto ClientCore::RemoveLinkWithoutCalls() -> void {
  const auto unused = std::find_if(
      this->links.begin(), this->links.end(),
      [](const auto& entry) { return !entry.second->HasOpenCalls(); });
  // There is one: at most max_peers peers have open calls, the new one
  // included.
  if (unused != this->links.end()) {
    this->removed_traffic += unused->second->ReadTraffic();
    this->links.erase(unused);
  }
}

auto ClientCore::ReadTraffic() const -> Traffic {
  Traffic sum = this->removed_traffic;
  for (const auto& [address, link] : this->links) {
    sum += link->ReadTraffic();
  }
  return sum;
}

}  // namespace shallotbank::rpc
