#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "cell/order_carriers.h"
#include "cell/peer_directory.h"
#include "http/client.h"
#include "runtime.h"
#include "store_gateway.h"

namespace shallotbank::cell {

/// Sends a leader's orders to workers. In a large cell, other hosts make the
/// calls and return the replies, both in batches.
class OrderDispatcher {
 public:
  using Done = std::function<void(const http::Reply&)>;

  OrderDispatcher(Runtime& runtime,
                  StoreGateway& store,
                  PeerDirectory& peers,
                  Epoch epoch);

  /// `done` runs on the core loop; never after the destruction if the call was
  /// carried. The call must be idempotent.
  auto Send(const std::string& worker, http::Call call, Done done) -> void;
  /// Called every few milliseconds.
  auto Tick(std::size_t workers, TimePoint now) -> void;
  auto OnReplies(const ReplyBatch& batch) -> void;
  /// Of the calls that this host makes itself.
  auto DirectStats() const -> http::ClientStats {
    return this->worker_client.Stats();
  }

 private:
  auto SendDirect(http::Call call, Done done) -> void;
  auto SendBatch(CarriedCalls::Batch batch) -> void;
  auto OnLost(CarriedCalls::Lost lost) -> void;
  auto Resend(CarriedCall call) -> void;
  auto Finish(std::uint64_t id, const http::Reply& reply) -> void;
  auto UpdateCarriers(std::size_t workers, TimePoint now) -> void;

  Runtime& runtime;
  StoreGateway& store;
  PeerDirectory& peers;
  const Epoch epoch;
  /// Closed with the leadership: workers accept few connections, and each
  /// previous leader would leave some open.
  http::Client worker_client;
  // Reply handlers hold a weak pointer to it.
  std::shared_ptr<bool> lifetime;
  std::vector<std::string> carriers;
  std::map<std::string, TimePoint> excluded_until;  ///< By carrier.
  CarriedCalls carried;
  std::map<std::uint64_t, Done> waiting;  ///< By call.
  std::uint64_t next_call = 1;
  TimePoint next_choice;
};

}  // namespace shallotbank::cell
