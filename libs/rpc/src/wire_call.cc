#include "wire_call.h"

#include "codec.h"

namespace shallotbank::rpc {
namespace {

using Hint = capnp::MessageSize;

auto NewRequest(wire::Peer::Client& peer, const HeartbeatRequest&, Hint size) {
  return peer.heartbeatRequest(size);
}

auto NewRequest(wire::Peer::Client& peer, const WitnessRequest&, Hint size) {
  return peer.witnessRequest(size);
}

auto NewRequest(wire::Peer::Client& peer,
                const ReadRecordsRequest&,
                Hint size) {
  return peer.readRecordsRequest(size);
}

auto NewRequest(wire::Peer::Client& peer, const JobStatusRequest&, Hint size) {
  return peer.jobStatusRequest(size);
}

auto NewRequest(wire::Peer::Client& peer, const ListJobsRequest&, Hint size) {
  return peer.listJobsRequest(size);
}

auto NewRequest(wire::Peer::Client& peer, const ForwardRequest&, Hint size) {
  return peer.forwardRequestRequest(size);
}

auto NewRequest(wire::Peer::Client& peer, const ExplainRequest&, Hint size) {
  return peer.explainRequest(size);
}

}  // namespace

auto SendCall(wire::Peer::Client& peer, const AnyRequest& request)
    -> kj::Promise<AnyResponse> {
  const Hint size{.wordCount = WireBytes(request) / sizeof(capnp::word),
                  .capCount = 0};
  return std::visit(
      [&peer, size](const auto& body) -> kj::Promise<AnyResponse> {
        auto call = NewRequest(peer, body, size);
        Write(body, call);
        return call.send().then(
            [](auto&& response) { return AnyResponse(Read(response)); });
      },
      request);
}

}  // namespace shallotbank::rpc
