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
                       PeerCallLimiter& call_limiter)
    : io(io),
      context{.options = options,
              .call_limiter = call_limiter,
              .timer = io.provider->getTimer(),
              .random = std::mt19937_64(SeedFor(options))} {}

auto ClientCore::Start(const CallPointer& call) -> void {
  auto* channel = this->FindOrCreateChannel(call->address);
  if (channel == nullptr) {
    return this->context.Fail(*call, "bad_address",
                              "not a numeric IP address with a port");
  }
  channel->Add(call);
}

auto ClientCore::FindOrCreateChannel(const std::string& address)
    -> PeerChannel* {
  const auto found = this->channels.find(address);
  if (found != this->channels.end()) {
    return found->second.get();
  }
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    return nullptr;
  }
  if (this->channels.size() >= this->context.options.max_peers) {
    this->RemoveUnusedChannel();
  }
  auto channel = std::make_unique<PeerChannel>(
      this->context, this->io.provider->getNetwork(), *parsed);
  return this->channels.emplace(address, std::move(channel))
      .first->second.get();
}

auto ClientCore::RemoveUnusedChannel() -> void {
  const auto unused = std::find_if(
      this->channels.begin(), this->channels.end(),
      [](const auto& entry) { return !entry.second->HasPendingCalls(); });
  // An unused channel exists: at most max_peers peers, including the new one,
  // have calls in flight.
  if (unused != this->channels.end()) {
    this->removed_traffic += unused->second->ReadTraffic();
    this->channels.erase(unused);
  }
}

auto ClientCore::ReadTraffic() const -> Traffic {
  Traffic sum = this->removed_traffic;
  for (const auto& [address, channel] : this->channels) {
    sum += channel->ReadTraffic();
  }
  return sum;
}

}  // namespace shallotbank::rpc
