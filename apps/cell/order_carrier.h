#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/ids.h"
#include "cell/order_carriers.h"
#include "http/client.h"
#include "http/message.h"
#include "http/responder.h"
#include "runtime.h"
#include "store_gateway.h"

namespace shallotbank::cell {

/// Makes calls to workers on behalf of the leader, which runs on another host,
/// and returns the replies in batches.
class OrderCarrier {
 public:
  OrderCarrier(Runtime& runtime, StoreGateway& store, std::string process);
  ~OrderCarrier();

  /// Only workers that are set here are called, so that this host is no open
  /// proxy. These two run on the core loop.
  auto SetWorker(const std::string& worker, const std::string& address) -> void;
  auto RemoveWorker(const std::string& worker) -> void;
  /// Handles a batch of calls of the leader. Runs on any thread.
  auto Handle(const http::Request& request, http::Responder responder) -> void;
  /// Called on the core loop every few milliseconds.
  auto Tick(TimePoint now) -> void;

 private:
  struct Replies {
    std::mutex mutex;
    std::vector<CarriedReply> ready;
  };
  /// The leader that is served.
  struct Session {
    Epoch epoch = 0;
    std::string leader;
    std::shared_ptr<Replies> replies;
    // Destroyed before the others: that ends the calls in flight.
    std::shared_ptr<http::Client> client;
  };

  /// Returns the session of the batch; its client is null if a later leader is
  /// known.
  auto SessionOf(const CallBatch& batch) -> Session;
  auto IsKnown(const CarriedCall& call) -> bool;
  auto SendReplies(const std::string& leader,
                   const std::string& body,
                   int attempts) -> void;

  Runtime& runtime;
  StoreGateway& store;
  const std::string process;
  std::mutex mutex;                              ///< Guards the members below.
  std::map<std::string, std::string> addresses;  ///< By worker.
  Session session;
  TimePoint last_batch;
  TimePoint next_flush;  ///< Used on the core loop only.
};

}  // namespace shallotbank::cell
