#pragma once

#include <map>
#include <string>
#include <vector>

#include "cell/peer_directory.h"
#include "cell/records.h"
#include "cell/update_fan_out.h"
#include "store_gateway.h"

namespace shallotbank::cell {

/// Sends stored progress to the other hosts, so that they need not read the
/// store for it as often. The leader calls the first host of each group, which
/// passes the updates on. Updates may be lost: hosts keep reading the store.
class ProgressFeed {
 public:
  ProgressFeed(Runtime& runtime,
               StoreGateway& store,
               const PeerDirectory& peers);

  /// Sends updates of the leader to all hosts.
  auto Publish(const std::vector<ProgressUpdate>& updates) -> void;
  /// Passes on what the leader has sent.
  auto Forward(const ProgressMessage& message) -> void;
  /// Called every few milliseconds.
  auto Tick(TimePoint now) -> void;

 private:
  using Batches = std::vector<SharedUpdateBatch>;

  /// A host that the leader sends updates to.
  struct Subscriber {
    Batches pending;
    bool is_call_in_flight = false;
  };

  /// A host that this one passes updates on to.
  struct ForwardTarget {
    Batches pending;
    bool is_call_in_flight = false;
    TimePoint named_at;  ///< When the leader last named it.
  };

  /// Adds updates to those that wait, or discards them if they are too many.
  static auto AddPending(Batches& pending, const SharedUpdateBatch& batch)
      -> void;
  auto UpdateSubscribers(TimePoint now) -> void;
  auto SendToGroup(const UpdateGroup& group) -> void;
  auto OnGroupReply(const UpdateGroup& group,
                    const SharedUpdateBatch& batch,
                    bool is_success) -> void;
  auto SendToTarget(const std::string& endpoint, ForwardTarget& target) -> void;
  auto Call(const std::string& endpoint,
            std::string body,
            StoreGateway::Done done) -> void;

  Runtime& runtime;
  StoreGateway& store;
  const PeerDirectory& peers;
  UpdateFanOut fan_out;
  std::map<std::string, ProgressUpdate> unsent;   ///< The latest of each job.
  std::map<std::string, Subscriber> subscribers;  ///< By endpoint.
  std::map<std::string, ForwardTarget> targets;   ///< By endpoint.
  TimePoint next_flush;
};

}  // namespace shallotbank::cell
