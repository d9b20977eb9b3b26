#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "api.h"
#include "authorization.h"
#include "minion_groups.h"
#include "routing/minion_router.h"

namespace shallotbank::entry {

/// Forwards requests to minions and responds to their callers. A non-idempotent
/// request is recorded in the log before it is sent and is never sent twice.
class RequestService {
 public:
  RequestService(Context& context,
                 Authorization& authorization,
                 MinionGroups& groups);

  /// Handles a request of a caller.
  auto Handle(ApiCall call) -> void;
  /// Handles a request that another entry process has accepted and forwarded.
  auto HandleForwarded(rpc::ForwardRequest request,
                       rpc::Reply<rpc::ForwardResponse> reply) -> void;
  /// To be called when the host list has changed.
  auto HandleHosts(TimePoint now) -> void;
  /// To be called when the state of a peer was received.
  auto HandlePeer(const daemon::PeerInfo& peer) -> void;
  /// Returns whether no request of this process runs on a minion of the group.
  auto IsIdle(const ResourceId& group) const -> bool;
  /// To be called when the group was lost or is about to be released.
  auto HandleGroupLoss(const ResourceId& group) -> void;
  auto Tick(TimePoint now) -> void;

  /// The free slots of each service, to be reported to peers.
  auto FreeSlots() -> std::vector<rpc::FreeSlots>;
  /// The number of requests that have not been answered yet.
  auto InFlightRequests() const -> std::size_t {
    return this->pending_requests.size() + this->waiting_duplicates.size();
  }

 private:
  // A request in progress, from a caller or from a peer.
  struct PendingRequest {
    std::shared_ptr<ApiCall> call;
    std::optional<rpc::Reply<rpc::ForwardResponse>> peer;
    routing::Request request;
    std::string caller_id;
    ProfileName profile;
    std::string body;
    TimePoint received_at;
    /// The token of the intent record; set only for a non-idempotent request.
    std::optional<std::uint64_t> token;
  };

  auto MakeRequest(const ApiCall& call, const Caller& caller)
      -> boost::leaf::result<PendingRequest>;
  auto RecordIntent(const std::shared_ptr<PendingRequest>& request) -> void;
  auto AnswerDuplicate(const std::shared_ptr<PendingRequest>& request,
                       const std::string& digest) -> bool;
  auto ReplyFromRecord(PendingRequest& request, const journal::Answer& answer)
      -> void;
  auto MayStillComplete(const PendingRequest& request,
                        const journal::RequestEntry& entry) const -> bool;
  auto AnswerWaitingDuplicates() -> void;
  auto Submit(PendingRequest request) -> void;
  auto Execute(const routing::Actions& actions) -> void;
  auto Execute(const routing::Dispatch& dispatch) -> void;
  auto Execute(const routing::Overflow& overflow) -> void;
  auto Execute(const routing::Queue& /*queued*/) -> void {}
  auto Execute(const routing::Answer& answer) -> void;
  auto Execute(const routing::Refuse& refuse) -> void;
  auto Execute(const routing::Eject& eject) -> void;
  auto Execute(const routing::Restore& restore) -> void;
  auto Complete(routing::AttemptId attempt,
                TimePoint sent_at,
                http::Reply reply) -> void;
  auto CompleteUnsentAttempt(routing::AttemptId attempt) -> void;
  auto RecordOutcome(const PendingRequest& request) -> void;

  Context& context;
  Authorization& authorization;
  MinionGroups& groups;
  routing::MinionRouter router;
  std::unordered_map<RequestId, PendingRequest> pending_requests;
  // A duplicate that waits for the outcome of a request that is still in
  // progress.
  struct WaitingDuplicate {
    std::shared_ptr<PendingRequest> request;
    std::string digest;
  };
  std::vector<WaitingDuplicate> waiting_duplicates;
  // The reply to which the actions that are being executed refer.
  http::Reply current_reply;
  std::uint64_t next_request = 1;
  std::uint64_t next_token = 1;
};

}  // namespace shallotbank::entry
