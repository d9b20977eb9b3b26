#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "cell/peer_directory.h"
#include "cell/relay_backoff.h"
#include "http/message.h"
#include "http/responder.h"
#include "runtime.h"

namespace shallotbank::cell {

/// Calls services of the platform, directly or, if the direct path fails,
/// through a peer. A reply's verdict covers all paths that were tried.
class StoreGateway {
 public:
  using Done = std::function<void(http::Reply)>;

  StoreGateway(Runtime& runtime, PeerDirectory& peers);

  /// `done` runs on the core loop.
  auto Send(http::Call call, Done done) -> void;
  /// Has the peer at `endpoint` send the call; no other path is tried.
  auto SendViaPeer(const std::string& endpoint, http::Call call, Done done)
      -> void;
  /// Sends the call on the direct path only.
  auto SendDirect(http::Call call, Done done) -> void;
  /// Calls the peer itself and reports the outcome to the peer directory.
  auto SendToPeer(const std::string& endpoint, http::Call call, Done done)
      -> void;

  /// Called every few milliseconds. Calls that get no response on the direct
  /// path are sent through a peer as well.
  auto Tick(TimePoint now) -> void;

  /// Executes a call that a peer relays through this host. Runs on any thread.
  auto Relay(const http::Request& request, http::Responder responder) -> void;

  /// Whether the direct path has failed for a while although peers reach the
  /// store.
  auto IsImpaired(TimePoint now) const -> bool;
  /// Returns false if all recent calls failed on every path.
  auto IsStoreReachable(TimePoint now) const -> bool;

 private:
  /// A call and the paths on which it is in flight.
  struct PendingCall {
    http::Call call;
    Done done;
    TimePoint sent;
    int paths_in_flight = 0;
    bool has_tried_peer = false;
    bool is_completed = false;
    /// A path that has ended left a copy without an answer.
    bool has_unanswered_copy = false;
  };

  auto IsDirectPathSuspect(TimePoint now) const -> bool;
  auto RecordDirectOutcome(bool is_answered, TimePoint now) -> void;
  auto TryDirect(const std::shared_ptr<PendingCall>& pending) -> void;
  enum class RelayReason {
    kDirectPathSuspect,  ///< Sent through the peer only.
    /// The copy on the direct path was refused or has no answer.
    kSecondCopy,
  };
  /// Returns false if the call is not sent through a peer.
  auto TryPeer(const std::shared_ptr<PendingCall>& pending, RelayReason reason)
      -> bool;
  /// `has_peer_tried` tells whether the peer has made the call itself.
  using RelayDone = std::function<void(http::Reply, bool has_peer_tried)>;
  auto SendRelayed(const std::string& endpoint, http::Call call, RelayDone done)
      -> void;
  auto RecordRelayedOutcome(const http::Reply& reply, bool has_peer_tried)
      -> void;
  auto OnReply(const std::shared_ptr<PendingCall>& pending,
               const http::Reply& reply,
               bool is_direct) -> void;
  auto Complete(const PendingCall& pending, http::Reply reply) -> void;

  Runtime& runtime;
  PeerDirectory& peers;
  int direct_failures = 0;  ///< Consecutive.
  TimePoint last_direct_attempt;
  TimePoint direct_failing_since;  ///< Zero while the path works.
  TimePoint last_direct_answer;
  TimePoint last_relayed_answer;
  std::list<std::shared_ptr<PendingCall>> pending_calls;
  TimePoint first_failure;  ///< Since the last success; zero if none.
  bool is_unreachable_logged = false;
  std::size_t next_peer = 0;
  RelayBackoff relay_backoff;
};

}  // namespace shallotbank::cell
