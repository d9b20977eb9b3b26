#include <string>
#include <vector>

#include "codec.h"

namespace shallotbank::rpc {
namespace {

// Covers the envelope of a call or response and the fixed part of any message.
constexpr std::size_t kEnvelopeBytes = 256;
// A pointer, the padding to whole words and, for text, the terminating null.
constexpr std::size_t kFieldBytes = 16;
// Covers the fixed part of any list element.
constexpr std::size_t kElementBytes = 32;

auto Bytes(const std::string& text) -> std::size_t {
  return text.size() + kFieldBytes;
}

template <typename Tag>
auto Bytes(const StrongId<Tag>& id) -> std::size_t {
  return Bytes(id.Text());
}

auto Bytes(const OwnedResource& item) -> std::size_t {
  return kElementBytes + Bytes(item.resource);
}

auto Bytes(const HeardPeer& item) -> std::size_t {
  return kElementBytes + Bytes(item.process);
}

auto Bytes(const FreeSlots& item) -> std::size_t {
  return kElementBytes + Bytes(item.service);
}

auto Bytes(const LogRecord& item) -> std::size_t {
  return kElementBytes + Bytes(item.data);
}

auto Bytes(const JobStatus& item) -> std::size_t {
  return kElementBytes + Bytes(item.job) + Bytes(item.status_json);
}

auto Bytes(const Header& item) -> std::size_t {
  return kElementBytes + Bytes(item.name) + Bytes(item.value);
}

template <typename Item>
auto Bytes(const std::vector<Item>& items) -> std::size_t {
  std::size_t total = kFieldBytes;
  for (const auto& item : items) {
    total += Bytes(item);
  }
  return total;
}

auto Bytes(const PeerState& state) -> std::size_t {
  return Bytes(state.process) + Bytes(state.host) + Bytes(state.http_address) +
         Bytes(state.rpc_address) + Bytes(state.failure_domain) +
         Bytes(state.owned) + Bytes(state.heard) + Bytes(state.free_slots);
}

auto Bytes(const HeartbeatRequest& message) -> std::size_t {
  return Bytes(message.sender);
}

auto Bytes(const WitnessRequest& message) -> std::size_t {
  return Bytes(message.resource);
}

auto Bytes(const ReadRecordsRequest& /*message*/) -> std::size_t {
  return 0;
}

auto Bytes(const JobStatusRequest& message) -> std::size_t {
  return Bytes(message.jobs);
}

auto Bytes(const ListJobsRequest& message) -> std::size_t {
  return Bytes(message.team) + Bytes(message.cursor);
}

auto Bytes(const ForwardRequest& message) -> std::size_t {
  return Bytes(message.service) + Bytes(message.team) + Bytes(message.profile) +
         Bytes(message.request_id) + Bytes(message.body) +
         Bytes(message.headers);
}

auto Bytes(const ExplainRequest& message) -> std::size_t {
  return Bytes(message.kind) + Bytes(message.id);
}

auto Bytes(const HeartbeatResponse& message) -> std::size_t {
  return Bytes(message.callee);
}

auto Bytes(const WitnessResponse& /*message*/) -> std::size_t {
  return 0;
}

auto Bytes(const ReadRecordsResponse& message) -> std::size_t {
  return Bytes(message.records);
}

auto Bytes(const JobStatusResponse& message) -> std::size_t {
  return Bytes(message.jobs);
}

auto Bytes(const ListJobsResponse& message) -> std::size_t {
  return Bytes(message.jobs) + Bytes(message.next_cursor);
}

auto Bytes(const ForwardResponse& message) -> std::size_t {
  return Bytes(message.headers) + Bytes(message.body) + Bytes(message.reason);
}

auto Bytes(const ExplainResponse& message) -> std::size_t {
  return Bytes(message.json);
}

}  // namespace

auto WireBytes(const AnyRequest& message) -> std::size_t {
  return kEnvelopeBytes +
         std::visit([](const auto& body) { return Bytes(body); }, message);
}

auto WireBytes(const AnyResponse& message) -> std::size_t {
  return kEnvelopeBytes +
         std::visit([](const auto& body) { return Bytes(body); }, message);
}

}  // namespace shallotbank::rpc
