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

/// The calls to one peer and the connection that carries them, which is
/// replaced when it is lost. Calls wait while a connection is set up; they fail
/// at once between a failed attempt and the next.
class Link final : private kj::TaskSet::ErrorHandler {
 public:
  Link(ClientContext& context,
       kj::Network& network,
       const SocketAddress& address);
  /// Ends all open calls with reason `stopped`.
  ~Link();
  Link(const Link&) = delete;
  auto operator=(const Link&) -> Link& = delete;

  /// Not to be called inside a promise callback.
  auto Add(const CallPointer& call) -> void;
  auto HasOpenCalls() const -> bool { return !this->open.empty(); }
  auto ReadTraffic() const -> Traffic;

 private:
  enum class State { kClosed, kConnecting, kUp, kDelayed, kUnreachable };

  struct WaitingCall {
    CallPointer call;
    kj::Own<kj::PromiseFulfiller<void>> gate;
  };

  auto Cycle() -> kj::Promise<void>;
  auto Connect() -> kj::Promise<void>;
  auto StayUp() -> kj::Promise<void>;
  auto WatchIdle() -> kj::Promise<std::string>;
  auto ConnectFailed(const kj::Exception& error) -> void;
  auto NextDelay() -> kj::Duration;
  auto IsIdle() const -> bool;
  auto CloseConnection() -> void;
  auto WaitForConnection(CallPointer call) -> kj::Promise<AnyResponse>;
  auto HandOver(OpenCall& call) -> kj::Promise<AnyResponse>;
  auto FailAllWaiting(const std::string& reason, const std::string& message)
      -> void;
  auto Forget(const CallPointer& call) -> void;
  auto Fail(const CallPointer& call,
            const std::string& reason,
            const std::string& message) -> void;
  auto FailBy(const CallPointer& call, const kj::Exception& error) -> void;
  auto taskFailed(kj::Exception&& exception) -> void override;

  ClientContext& context;
  kj::Own<kj::NetworkAddress> address;
  State state = State::kClosed;
  std::uint64_t next_number = 0;
  kj::TimePoint last_use;
  Duration delay;
  Traffic closed_traffic;
  std::set<CallPointer> open;
  std::map<std::uint64_t, WaitingCall> waiting;
  std::unique_ptr<ClientConnection> connection;
  // Destroyed first: their promises refer to the connection.
  kj::Promise<void> cycle = nullptr;
  kj::TaskSet tasks;
};

}  // namespace shallotbank::rpc
