#include "store_gateway.h"

#include <algorithm>
#include <charconv>

#include "base/log.h"
#include "topics.h"

namespace shallotbank::cell {
namespace {

constexpr int kStatusTooMany = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusBadRequest = 400;
/// Consecutive direct failures after which a peer is tried first.
constexpr int kFailuresToSuspect = 2;
/// Interval at which a suspect direct path is tried again.
constexpr std::chrono::milliseconds kDirectProbeInterval(400);
/// A host whose direct path has failed for this long is a worse leader than
/// others.
constexpr std::chrono::milliseconds kImpairedAfter(400);
/// For this time, an answer through a peer shows that the store itself is up.
constexpr std::chrono::milliseconds kRelayedAnswerValidity(600);
/// The store counts as unreachable after failures on every path for this time.
constexpr std::chrono::milliseconds kUnreachableAfter(700);
/// Without any direct answer for this time, calls in flight try a second path.
/// Above the interval between answers of a slow store: even then some call
/// completes sooner.
constexpr std::chrono::milliseconds kDirectResponseLimit(600);
/// A call that fails sooner was refused or reset by the peer's host.
constexpr std::chrono::milliseconds kMaxRefusalTime(200);
/// Added to the timeout of a relayed call for the round trip to the peer.
constexpr std::chrono::milliseconds kRelayMargin(200);
constexpr std::chrono::milliseconds kDefaultRelayTimeout(1500);
constexpr std::chrono::milliseconds kMaxRelayTimeout(5000);

/// Whether the service itself gave an answer that decides the call's outcome.
auto IsConclusive(const http::Reply& reply) -> bool {
  return reply.verdict == Verdict::kRan && reply.status != kStatusTooMany &&
         reply.status != kStatusUnavailable &&
         reply.status != kStatusBadGateway;
}

}  // namespace

StoreGateway::StoreGateway(Runtime& runtime, PeerDirectory& peers)
    : runtime(runtime), peers(peers) {}

auto StoreGateway::IsDirectPathSuspect(TimePoint now) const -> bool {
  return this->direct_failures >= kFailuresToSuspect &&
         now - this->last_direct_attempt < kDirectProbeInterval;
}

auto StoreGateway::IsStoreReachable(TimePoint now) const -> bool {
  return this->first_failure == TimePoint() ||
         now - this->first_failure < kUnreachableAfter;
}

auto StoreGateway::Complete(const PendingCall& pending, http::Reply reply)
    -> void {
  const auto now = this->runtime.clock.Now();
  if (IsConclusive(reply)) {
    if (this->is_unreachable_logged) {
      LogEvent(Event::kLogReachable, {{"store", this->runtime.host.store}});
      this->is_unreachable_logged = false;
    }
    this->first_failure = TimePoint();
  } else if (this->first_failure == TimePoint()) {
    this->first_failure = now;
  } else if (!this->is_unreachable_logged && !this->IsStoreReachable(now)) {
    this->is_unreachable_logged = true;
    LogEvent(Event::kLogUnreachable, {{"store", this->runtime.host.store},
                                      {"status", std::to_string(reply.status)},
                                      {"error", reply.error}});
  }
  // An outcome that is unknown on one path stays unknown unless another path
  // gave a conclusive answer. Even that answers for its own copy only.
  if (!IsConclusive(reply) && pending.has_unanswered_copy) {
    reply.verdict = Verdict::kMayHaveRun;
    reply.status = 0;
  } else if (pending.has_unanswered_copy || pending.paths_in_flight > 0) {
    reply.send_count++;
  }
  pending.done(std::move(reply));
}

auto StoreGateway::SendDirect(http::Call call, Done done) -> void {
  auto& loop = this->runtime.loop;
  auto& busy = this->runtime.busy;
  this->runtime.client.Send(
      std::move(call),
      [&loop, &busy, done = std::move(done)](http::Reply reply) {
        loop.PostBlocking([&busy, done, reply = std::move(reply)] {
          const auto handling = busy.Measure(Duty::kStoreReplies);
          done(reply);
        });
      });
}

auto StoreGateway::Send(http::Call call, Done done) -> void {
  const auto now = this->runtime.clock.Now();
  auto pending = std::make_shared<PendingCall>();
  pending->call = std::move(call);
  pending->done = std::move(done);
  pending->sent = now;
  if (this->IsDirectPathSuspect(now) &&
      this->TryPeer(pending, RelayReason::kDirectPathSuspect)) {
    return;
  }
  this->TryDirect(pending);
}

auto StoreGateway::TryDirect(const std::shared_ptr<PendingCall>& pending)
    -> void {
  this->last_direct_attempt = pending->sent;
  pending->paths_in_flight++;
  this->pending_calls.push_back(pending);
  this->SendDirect(pending->call, [this, pending](const http::Reply& reply) {
    this->OnReply(pending, reply, /*is_direct=*/true);
  });
}

auto StoreGateway::TryPeer(const std::shared_ptr<PendingCall>& pending,
                           RelayReason reason) -> bool {
  const auto now = this->runtime.clock.Now();
  const auto reachable = this->peers.Reachable(now);
  if (pending->has_tried_peer || reachable.empty() ||
      (reason == RelayReason::kSecondCopy &&
       !this->relay_backoff.AllowsSecondCopy(now))) {
    return false;
  }
  pending->has_tried_peer = true;
  pending->paths_in_flight++;
  this->runtime.metrics.Add("store_calls_relayed_total");
  const auto& endpoint = reachable[this->next_peer++ % reachable.size()];
  this->SendRelayed(
      endpoint, pending->call,
      [this, pending](const http::Reply& reply, bool has_peer_tried) {
        this->RecordRelayedOutcome(reply, has_peer_tried);
        this->OnReply(pending, reply, /*is_direct=*/false);
      });
  return true;
}

auto StoreGateway::OnReply(const std::shared_ptr<PendingCall>& pending,
                           const http::Reply& reply,
                           bool is_direct) -> void {
  pending->paths_in_flight--;
  if (is_direct) {
    this->pending_calls.remove(pending);
    this->RecordDirectOutcome(IsConclusive(reply), this->runtime.clock.Now());
    if (!IsConclusive(reply)) {
      if (reply.status == 0) {
        this->runtime.metrics.Add("store_call_failures_total", "no_answer");
      } else {
        this->runtime.metrics.Add("store_call_failures_total", "refused");
      }
    }
  }
  if (pending->is_completed) {
    return;
  }
  if (IsConclusive(reply)) {
    pending->is_completed = true;
    this->Complete(*pending, reply);
    return;
  }
  pending->has_unanswered_copy =
      pending->has_unanswered_copy || reply.HasUnansweredCopy();
  if (pending->paths_in_flight > 0 ||
      this->TryPeer(pending, RelayReason::kSecondCopy)) {
    return;
  }
  pending->is_completed = true;
  this->Complete(*pending, reply);
}

auto StoreGateway::RecordDirectOutcome(bool is_answered, TimePoint now)
    -> void {
  if (is_answered) {
    this->direct_failures = 0;
    this->last_direct_answer = now;
    this->direct_failing_since = TimePoint();
    return;
  }
  this->direct_failures++;
  if (this->direct_failures >= kFailuresToSuspect &&
      this->direct_failing_since == TimePoint()) {
    this->direct_failing_since = now;
  }
}

auto StoreGateway::RecordRelayedOutcome(const http::Reply& reply,
                                        bool has_peer_tried) -> void {
  const auto now = this->runtime.clock.Now();
  if (IsConclusive(reply)) {
    this->last_relayed_answer = now;
    this->relay_backoff.OnAnswered();
  } else if (has_peer_tried) {
    // A peer that cannot be reached says nothing about the store.
    this->relay_backoff.OnFailed(now);
  }
}

auto StoreGateway::IsImpaired(TimePoint now) const -> bool {
  return this->direct_failing_since != TimePoint() &&
         now - this->direct_failing_since > kImpairedAfter &&
         now - this->last_relayed_answer < kRelayedAnswerValidity;
}

auto StoreGateway::Tick(TimePoint now) -> void {
  if (now - this->last_direct_answer < kDirectResponseLimit) {
    return;  // The store is slow rather than unreachable.
  }
  for (const auto& pending : this->pending_calls) {
    if (!pending->is_completed && now - pending->sent > kDirectResponseLimit &&
        this->TryPeer(pending, RelayReason::kSecondCopy)) {
      // Counted as a failure, so that later calls try a peer without this wait.
      this->RecordDirectOutcome(false, now);
    }
  }
}

auto StoreGateway::SendToPeer(const std::string& endpoint,
                              http::Call call,
                              Done done) -> void {
  const auto sent = this->runtime.clock.Now();
  this->SendDirect(
      std::move(call),
      [this, endpoint, sent, done = std::move(done)](const http::Reply& reply) {
        const auto now = this->runtime.clock.Now();
        if (reply.verdict == Verdict::kRan) {
          this->peers.OnSuccess(endpoint);
        } else {
          this->peers.OnFailure(endpoint, now - sent > kMaxRefusalTime, now);
        }
        done(reply);
      });
}

auto StoreGateway::SendViaPeer(const std::string& endpoint,
                               http::Call call,
                               Done done) -> void {
  this->SendRelayed(endpoint, std::move(call),
                    [done = std::move(done)](http::Reply reply, bool) {
                      done(std::move(reply));
                    });
}

auto StoreGateway::SendRelayed(const std::string& endpoint,
                               http::Call call,
                               RelayDone done) -> void {
  http::Call relayed;
  relayed.method = "POST";
  relayed.url = "http://" + endpoint + kRelayPath;
  const auto timeout =
      std::chrono::ceil<std::chrono::milliseconds>(call.timeout);
  relayed.headers = {{kRelayMethodHeader, call.method},
                     {kRelayUrlHeader, call.url},
                     {kRelayTimeoutHeader, std::to_string(timeout.count())}};
  relayed.body = std::move(call.body);
  relayed.timeout = timeout + kRelayMargin;
  relayed.idempotent = true;  // Only idempotent calls are relayed.
  this->SendToPeer(endpoint, std::move(relayed),
                   [done = std::move(done)](http::Reply reply) {
                     const auto* origin =
                         http::FindHeader(reply.headers, kRelayedHeader);
                     const bool has_peer_tried =
                         origin != nullptr || reply.status == kStatusBadGateway;
                     if (origin != nullptr && *origin != kRelayedOnce) {
                       reply.send_count++;
                     }
                     if (reply.verdict != Verdict::kRan || origin == nullptr) {
                       // The peer may have forwarded the call before it failed.
                       reply.verdict = reply.verdict == Verdict::kNotRun
                                           ? Verdict::kNotRun
                                           : Verdict::kMayHaveRun;
                       reply.status = 0;
                     }
                     done(std::move(reply), has_peer_tried);
                   });
}

auto StoreGateway::Relay(const http::Request& request,
                         http::Responder responder) -> void {
  const auto* method = request.FindHeader(kRelayMethodHeader);
  const auto* url = request.FindHeader(kRelayUrlHeader);
  const auto& host = this->runtime.host;
  // Only the platform's services may be called, so that the relay is not an
  // open proxy.
  const bool is_known = url != nullptr && method != nullptr &&
                        (url->starts_with("http://" + host.store + "/") ||
                         (!host.advice.empty() &&
                          url->starts_with("http://" + host.advice + "/")));
  if (!is_known) {
    responder.Send({kStatusBadRequest, {}, "unknown relay target"});
    return;
  }
  http::Call call;
  call.method = *method;
  call.url = *url;
  call.body = request.body;
  call.idempotent = true;
  call.timeout = kDefaultRelayTimeout;
  if (const auto* text = request.FindHeader(kRelayTimeoutHeader)) {
    std::int64_t value = 0;
    const auto [rest, failure] =
        std::from_chars(text->data(), text->data() + text->size(), value);
    if (failure == std::errc()) {
      call.timeout =
          std::clamp<Duration>(std::chrono::milliseconds(value),
                               std::chrono::milliseconds(1), kMaxRelayTimeout);
    }
  }
  if (url->starts_with("http://" + host.advice + "/")) {
    call.headers.push_back({"Content-Type", "application/json"});
  }
  auto shared = std::make_shared<http::Responder>(std::move(responder));
  this->runtime.client.Send(
      std::move(call), [shared](const http::Reply& reply) {
        if (reply.verdict != Verdict::kRan) {
          shared->Send({kStatusBadGateway, {}, reply.error});
          return;
        }
        const auto* copies =
            reply.HasUnansweredCopy() ? kRelayedRepeatedly : kRelayedOnce;
        shared->Send({reply.status, {{kRelayedHeader, copies}}, reply.body});
      });
}

}  // namespace shallotbank::cell
