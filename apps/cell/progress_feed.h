#pragma once

#include <map>
#include <string>
#include <vector>

#include "cell/peer_directory.h"
#include "cell/records.h"
#include "store_gateway.h"

namespace shallotbank::cell {

/// Sends stored progress to the other hosts, so that they need not read the
/// store for it as often. Updates may be lost: hosts keep reading the store.
class ProgressFeed {
 public:
  ProgressFeed(Runtime& runtime,
               StoreGateway& store,
               const PeerDirectory& peers);

  auto Publish(const std::vector<ProgressUpdate>& updates) -> void;
  /// Called every few milliseconds.
  auto Tick(TimePoint now) -> void;

 private:
  struct Subscriber {
    std::map<std::string, ProgressUpdate> updates;  ///< The latest of each job.
    bool is_call_in_flight = false;
    TimePoint next_send;
  };

  auto Send(const std::string& endpoint, Subscriber& subscriber) -> void;

  Runtime& runtime;
  StoreGateway& store;
  const PeerDirectory& peers;
  std::map<std::string, Subscriber> subscribers;  ///< By endpoint.
  TimePoint next_flush;
};

}  // namespace shallotbank::cell
