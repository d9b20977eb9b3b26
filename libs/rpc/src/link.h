#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "address.h"
#include "client_connection.h"
#include "client_context.h"

namespace shallotbank::rpc {

/// Sends the calls to one peer over a single connection, which is replaced when
/// it is lost. Calls wait while a connection is being established and fail
/// immediately between a failed attempt and the next one.
class PeerChannel final : private kj::TaskSet::ErrorHandler {
 public:
  PeerChannel(ClientContext& context,
              kj::Network& network,
              const SocketAddress& address);
  /// Fails all calls in flight with reason `stopped`.
  ~PeerChannel();
  PeerChannel(const PeerChannel&) = delete;
  auto operator=(const PeerChannel&) -> PeerChannel& = delete;

  /// Must not be called inside a promise callback.
  auto Add(const CallPointer& call) -> void;
  auto HasPendingCalls() const -> bool { return !this->pending.empty(); }
  auto ReadTraffic() const -> Traffic;

 private:
  enum class State { kClosed, kConnecting, kConnected, kBackoff, kUnreachable };

  struct WaitingCall {
    CallPointer call;
    kj::Own<kj::PromiseFulfiller<void>> connected;
  };

  auto ConnectLoop() -> kj::Promise<void>;
  auto Connect() -> kj::Promise<void>;
  auto WatchConnection() -> kj::Promise<void>;
  auto WatchForIdleness() -> kj::Promise<std::string>;
  auto ConnectFailed(const kj::Exception& error) -> void;
  auto NextReconnectDelay() -> kj::Duration;
  auto IsIdle() const -> bool;
  auto CloseConnection() -> void;
  auto WaitForConnection(CallPointer call) -> kj::Promise<AnyResponse>;
  auto SendOnConnection(PendingCall& call) -> kj::Promise<AnyResponse>;
  auto FailAllWaiting(const std::string& reason, const std::string& message)
      -> void;
  auto RemoveCall(const CallPointer& call) -> void;
  auto Fail(const CallPointer& call,
            const std::string& reason,
            const std::string& message) -> void;
  auto FailWithException(const CallPointer& call, const kj::Exception& error)
      -> void;
  auto taskFailed(kj::Exception&& exception) -> void override;

  ClientContext& context;
  kj::Own<kj::NetworkAddress> address;
  State state = State::kClosed;
  std::uint64_t next_call_number = 0;
  kj::TimePoint last_used;
  Duration reconnect_delay;
  Traffic closed_traffic;
  std::set<CallPointer> pending;
  std::map<std::uint64_t, WaitingCall> waiting;
  std::unique_ptr<ClientConnection> connection;
  // Declared last to be destroyed first: their promises refer to the
  // connection.
  kj::Promise<void> connect_loop = nullptr;
  kj::TaskSet tasks;
};

}  // namespace shallotbank::rpc
