#include "wire_call.h"

#include "codec.h"

namespace shallotbank::rpc {
namespace {

using Hint = capnp::MessageSize;

auto Begin(wire::Peer::Client& peer, const HeartbeatRequest&, Hint size) {
  return peer.heartbeatRequest(size);
}

auto Begin(wire::Peer::Client& peer, const WitnessRequest&, Hint size) {
  return peer.witnessRequest(size);
}

auto Begin(wire::Peer::Client& peer, const ReadRecordsRequest&, Hint size) {
  return peer.readRecordsRequest(size);
}

auto Begin(wire::Peer::Client& peer, const JobStatusRequest&, Hint size) {
  return peer.jobStatusRequest(size);
}

auto Begin(wire::Peer::Client& peer, const ListJobsRequest&, Hint size) {
  return peer.listJobsRequest(size);
}

auto Begin(wire::Peer::Client& peer, const ForwardRequest&, Hint size) {
  return peer.forwardRequestRequest(size);
}

auto Begin(wire::Peer::Client& peer, const ExplainRequest&, Hint size) {
  return peer.explainRequest(size);
}

}  // namespace

auto SendCall(wire::Peer::Client& peer, const AnyRequest& request)
    -> kj::Promise<AnyResponse> {
  const Hint size{.wordCount = WireBytes(request) / sizeof(capnp::word),
                  .capCount = 0};
  return std::visit(
      [&peer, size](const auto& body) -> kj::Promise<AnyResponse> {
        auto call = Begin(peer, body, size);
        Write(body, call);
        return call.send().then(
            [](auto&& response) { return AnyResponse(Read(response)); });
      },
      request);
}

}  // namespace shallotbank::rpc
