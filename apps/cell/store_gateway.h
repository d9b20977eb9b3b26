#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "cell/peer_directory.h"
#include "http/message.h"
#include "http/responder.h"
#include "runtime.h"

namespace shallotbank::cell {

/// Calls services of the platform, directly or, where the direct way fails,
/// through a peer. A reply's verdict covers all ways that were tried.
class StoreGateway {
 public:
  using Done = std::function<void(http::Reply)>;

  StoreGateway(Runtime& runtime, PeerDirectory& peers);

  /// `done` runs on the core loop.
  auto Send(http::Call call, Done done) -> void;
  /// Has the peer at `endpoint` send the call; no second way is tried.
  auto SendThrough(const std::string& endpoint, http::Call call, Done done)
      -> void;
  /// Sends directly only.
  auto SendDirect(http::Call call, Done done) -> void;
  /// A call to the peer itself; its outcome counts for the directory.
  auto SendToPeer(const std::string& endpoint, http::Call call, Done done)
      -> void;

  /// Called every few milliseconds: calls whose direct way stays silent go
  /// through a peer as well.
  auto Tick(TimePoint now) -> void;

  /// Carries out a peer's relayed call. Runs on any thread.
  auto Relay(const http::Request& request, http::Responder responder) -> void;

  /// Whether the direct way has failed for a while though peers reach the
  /// store.
  auto IsImpaired(TimePoint now) const -> bool;
  /// False if all recent calls failed, on every way.
  auto IsStoreReachable(TimePoint now) const -> bool;

 private:
  /// A call and the ways on which it is open.
  struct OpenCall {
    http::Call call;
    Done done;
    TimePoint sent;
    int open_ways = 0;
    bool has_tried_peer = false;
    bool is_settled = false;
    bool may_have_run = false;  ///< On a way that ended without an answer.
  };

  auto IsDirectBroken(TimePoint now) const -> bool;
  auto NoteDirect(bool is_answered, TimePoint now) -> void;
  auto TryDirect(const std::shared_ptr<OpenCall>& open) -> void;
  /// False if no peer is to be asked.
  auto TryPeer(const std::shared_ptr<OpenCall>& open, bool is_refused) -> bool;
  auto OnReply(const std::shared_ptr<OpenCall>& open,
               const http::Reply& reply,
               bool is_direct) -> void;
  auto Report(const OpenCall& open, http::Reply reply) -> void;

  Runtime& runtime;
  PeerDirectory& peers;
  int direct_failures = 0;  ///< In a row.
  TimePoint last_direct_try;
  TimePoint direct_broken_since;  ///< Zero while the direct way works.
  TimePoint last_direct_answer;
  TimePoint last_relayed_answer;
  std::list<std::shared_ptr<OpenCall>> open_calls;
  TimePoint first_failure;  ///< Since the last success; zero if none.
  bool is_noted_unreachable = false;
  std::size_t next_peer = 0;
  /// The store refused a relayed call, too, so it is busy for all.
  TimePoint relays_refused_until;
};

}  // namespace shallotbank::cell
