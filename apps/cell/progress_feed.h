#pragma once

#include <map>
#include <string>
#include <vector>

#include "cell/peer_directory.h"
#include "cell/records.h"
#include "store_gateway.h"

namespace shallotbank::cell {

/// Tells the other hosts of progress that is stored, so that they need not read
/// the store for it as often. News may be lost: hosts go on reading.
class ProgressFeed {
 public:
  ProgressFeed(Runtime& runtime,
               StoreGateway& store,
               const PeerDirectory& peers);

  auto Tell(const std::vector<ProgressNews>& news) -> void;
  /// Called every few milliseconds.
  auto Tick(TimePoint now) -> void;

 private:
  struct Listener {
    std::map<std::string, ProgressNews> news;  ///< The newest of each job.
    bool is_open = false;
    TimePoint next_send;
  };

  auto Send(const std::string& endpoint, Listener& listener) -> void;

  Runtime& runtime;
  StoreGateway& store;
  const PeerDirectory& peers;
  std::map<std::string, Listener> listeners;  ///< By endpoint.
  TimePoint next_look;
};

}  // namespace shallotbank::cell
