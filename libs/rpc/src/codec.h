#pragma once

#include <cstddef>

#include "peer.capnp.h"
#include "rpc/messages.h"

// Conversions between the messages and their wire format. Reading copies all
// data and throws kj::Exception on malformed input.
namespace shallotbank::rpc {

auto Write(const HeartbeatRequest& in, wire::Peer::HeartbeatParams::Builder out)
    -> void;
auto Write(const WitnessRequest& in, wire::Peer::WitnessParams::Builder out)
    -> void;
auto Write(const ReadRecordsRequest& in,
           wire::Peer::ReadRecordsParams::Builder out) -> void;
auto Write(const JobStatusRequest& in, wire::Peer::JobStatusParams::Builder out)
    -> void;
auto Write(const ListJobsRequest& in, wire::Peer::ListJobsParams::Builder out)
    -> void;
auto Write(const ForwardRequest& in,
           wire::Peer::ForwardRequestParams::Builder out) -> void;
auto Write(const ExplainRequest& in, wire::Peer::ExplainParams::Builder out)
    -> void;

auto Write(const HeartbeatResponse& in,
           wire::Peer::HeartbeatResults::Builder out) -> void;
auto Write(const WitnessResponse& in, wire::Peer::WitnessResults::Builder out)
    -> void;
auto Write(const ReadRecordsResponse& in,
           wire::Peer::ReadRecordsResults::Builder out) -> void;
auto Write(const JobStatusResponse& in,
           wire::Peer::JobStatusResults::Builder out) -> void;
auto Write(const ListJobsResponse& in, wire::Peer::ListJobsResults::Builder out)
    -> void;
auto Write(const ForwardResponse& in,
           wire::Peer::ForwardRequestResults::Builder out) -> void;
auto Write(const ExplainResponse& in, wire::Peer::ExplainResults::Builder out)
    -> void;

auto Read(wire::Peer::HeartbeatParams::Reader in) -> HeartbeatRequest;
auto Read(wire::Peer::WitnessParams::Reader in) -> WitnessRequest;
auto Read(wire::Peer::ReadRecordsParams::Reader in) -> ReadRecordsRequest;
auto Read(wire::Peer::JobStatusParams::Reader in) -> JobStatusRequest;
auto Read(wire::Peer::ListJobsParams::Reader in) -> ListJobsRequest;
auto Read(wire::Peer::ForwardRequestParams::Reader in) -> ForwardRequest;
auto Read(wire::Peer::ExplainParams::Reader in) -> ExplainRequest;

auto Read(wire::Peer::HeartbeatResults::Reader in) -> HeartbeatResponse;
auto Read(wire::Peer::WitnessResults::Reader in) -> WitnessResponse;
auto Read(wire::Peer::ReadRecordsResults::Reader in) -> ReadRecordsResponse;
auto Read(wire::Peer::JobStatusResults::Reader in) -> JobStatusResponse;
auto Read(wire::Peer::ListJobsResults::Reader in) -> ListJobsResponse;
auto Read(wire::Peer::ForwardRequestResults::Reader in) -> ForwardResponse;
auto Read(wire::Peer::ExplainResults::Reader in) -> ExplainResponse;

/// Returns an upper bound of the size of the message on the wire.
auto WireBytes(const AnyRequest& message) -> std::size_t;
auto WireBytes(const AnyResponse& message) -> std::size_t;

}  // namespace shallotbank::rpc
