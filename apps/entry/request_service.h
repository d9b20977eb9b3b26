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

/// Forwards requests to minions and answers their callers. A non-idempotent
/// request is recorded in the log before it is sent and never sent twice.
class RequestService {
 public:
  RequestService(Context& context,
                 Authorization& authorization,
                 MinionGroups& groups);

  /// A request of a caller.
  auto Handle(ApiCall call) -> void;
  /// A request that another entry process has taken in.
  auto HandleForwarded(rpc::ForwardRequest request,
                       rpc::Reply<rpc::ForwardResponse> reply) -> void;
  auto HandleHosts(TimePoint now) -> void;
  auto HandlePeer(const daemon::PeerInfo& peer) -> void;
  /// No request of this process runs on a minion of the group.
  auto IsIdle(const ResourceId& group) const -> bool;
  auto GroupLost(const ResourceId& group) -> void;
  auto Tick(TimePoint now) -> void;

  auto FreeSlots() -> std::vector<rpc::FreeSlots>;
  /// Requests that have not been answered.
  auto Open() const -> std::size_t {
    return this->open.size() + this->repeats.size();
  }

 private:
  // A request in progress, of a caller or of a peer.
  struct OpenRequest {
    std::shared_ptr<ApiCall> call;
    std::optional<rpc::Reply<rpc::ForwardResponse>> peer;
    routing::Request request;
    std::string caller_id;
    ProfileName profile;
    std::string body;
    TimePoint received_at;
    /// Set for a non-idempotent request: the token of its intent.
    std::optional<std::uint64_t> token;
  };

  auto Take(const ApiCall& call, const Caller& caller)
      -> boost::leaf::result<OpenRequest>;
  auto Record(const std::shared_ptr<OpenRequest>& request) -> void;
  auto AnswerRepeat(const std::shared_ptr<OpenRequest>& request,
                    const std::string& digest) -> bool;
  auto ReplyFromRecord(OpenRequest& request, const journal::Answer& answer)
      -> void;
  auto MayStillEnd(const OpenRequest& request,
                   const journal::RequestEntry& entry) const -> bool;
  auto AnswerWaitingRepeats() -> void;
  auto Submit(OpenRequest request) -> void;
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
  auto CompleteUnsent(routing::AttemptId attempt) -> void;
  auto RecordOutcome(const OpenRequest& request) -> void;

  Context& context;
  Authorization& authorization;
  MinionGroups& groups;
  routing::MinionRouter router;
  std::unordered_map<RequestId, OpenRequest> open;
  // Repeats of requests that are still in progress at another process.
  struct WaitingRepeat {
    std::shared_ptr<OpenRequest> request;
    std::string digest;
  };
  std::vector<WaitingRepeat> repeats;
  http::Reply current;  // The reply that the present actions are about.
  std::uint64_t next_request = 1;
  std::uint64_t next_token = 1;
};

}  // namespace shallotbank::entry
