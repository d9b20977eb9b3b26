#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "call_table.h"
#include "peer.capnp.h"
#include "server_context.h"

namespace shallotbank::rpc {

// Cap'n Proto reference-counts servers and never deletes one through a pointer
// to its base class.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// Receives the calls of one connection and passes them to the handler.
class PeerService final : public wire::Peer::Server {
 public:
  PeerService(const ServerContext& context,
              std::uint64_t connection_id,
              std::shared_ptr<CallTable> calls);

 protected:
  // NOLINTNEXTLINE(readability-identifier-naming): named by the schema.
  auto ping(PingContext context) -> kj::Promise<void> override;
  auto heartbeat(HeartbeatContext context) -> kj::Promise<void> override;
  auto witness(WitnessContext context) -> kj::Promise<void> override;
  auto readRecords(ReadRecordsContext context) -> kj::Promise<void> override;
  auto jobStatus(JobStatusContext context) -> kj::Promise<void> override;
  auto listJobs(ListJobsContext context) -> kj::Promise<void> override;
  auto forwardRequest(ForwardRequestContext context)
      -> kj::Promise<void> override;
  // NOLINTNEXTLINE(readability-identifier-naming): named by the schema.
  auto explain(ExplainContext context) -> kj::Promise<void> override;

 private:
  template <typename Request, typename Context>
  auto Serve(Context context) -> kj::Promise<void>;
  /// Returns the reason to refuse a call of `bytes`, or null to accept it.
  auto RefusalReason(std::size_t bytes) const -> const char*;
  template <typename Request, typename Context>
  auto Refuse(Context context, const char* reason) -> kj::Promise<void>;
  template <typename Response>
  auto MakeReply(std::uint64_t call_id) -> Reply<Response>;

  const ServerContext& context;
  const std::uint64_t connection_id;
  const std::shared_ptr<CallTable> calls;
};

#pragma GCC diagnostic pop

}  // namespace shallotbank::rpc
