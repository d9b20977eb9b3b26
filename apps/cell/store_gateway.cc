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
/// Direct failures in a row after which a peer is asked first.
constexpr int kFailuresToDistrust = 2;
/// While the direct way is distrusted it is tried again this often.
constexpr std::chrono::milliseconds kDirectProbe(400);
/// A host whose direct way has failed for this long leads worse than others.
constexpr std::chrono::milliseconds kImpairedAfter(400);
/// An answer through a peer shows for this long that the store itself is up.
constexpr std::chrono::milliseconds kRecentRelay(600);
/// Failing for this long on every way counts as unreachable.
constexpr std::chrono::milliseconds kUnreachableAfter(700);
/// A store that refuses through a peer as well is left alone for this time.
constexpr std::chrono::milliseconds kBusyForAll(1000);
/// Without any direct answer for this time, open calls try a second way. Above
/// the pace of answers of a slow store: some call ends sooner even then.
constexpr std::chrono::milliseconds kSilentWay(600);
/// A connection that fails sooner was refused or reset by the peer's host.
constexpr std::chrono::milliseconds kRefusedWithin(200);
/// Added to a relayed call's timeout for the way to the peer and back.
constexpr std::chrono::milliseconds kRelayMargin(200);
constexpr std::chrono::milliseconds kDefaultRelayTimeout(1500);
constexpr std::chrono::milliseconds kLongestRelayTimeout(5000);

/// Whether the service itself gave an answer that settles the call.
auto IsSettled(const http::Reply& reply) -> bool {
  return reply.verdict == Verdict::kRan && reply.status != kStatusTooMany &&
         reply.status != kStatusUnavailable &&
         reply.status != kStatusBadGateway;
}

}  // namespace

StoreGateway::StoreGateway(Runtime& runtime, PeerDirectory& peers)
    : runtime(runtime), peers(peers) {}

auto StoreGateway::IsDirectBroken(TimePoint now) const -> bool {
  return this->direct_failures >= kFailuresToDistrust &&
         now - this->last_direct_try < kDirectProbe;
}

auto StoreGateway::IsStoreReachable(TimePoint now) const -> bool {
  return this->first_failure == TimePoint() ||
         now - this->first_failure < kUnreachableAfter;
}

auto StoreGateway::Report(const OpenCall& open, http::Reply reply) -> void {
  const auto now = this->runtime.clock.Now();
  if (IsSettled(reply)) {
    if (this->is_noted_unreachable) {
      LogEvent(Event::kLogReachable, {{"store", this->runtime.host.store}});
      this->is_noted_unreachable = false;
    }
    this->first_failure = TimePoint();
  } else if (this->first_failure == TimePoint()) {
    this->first_failure = now;
  } else if (!this->is_noted_unreachable && !this->IsStoreReachable(now)) {
    this->is_noted_unreachable = true;
    LogEvent(Event::kLogUnreachable, {{"store", this->runtime.host.store},
                                      {"status", std::to_string(reply.status)},
                                      {"error", reply.error}});
  }
  // What one way left open stays open unless another settled it.
  if (!IsSettled(reply) && open.may_have_run) {
    reply.verdict = Verdict::kMayHaveRun;
    reply.status = 0;
  }
  open.done(std::move(reply));
}

auto StoreGateway::SendDirect(http::Call call, Done done) -> void {
  auto& loop = this->runtime.loop;
  this->runtime.client.Send(
      std::move(call), [&loop, done = std::move(done)](http::Reply reply) {
        loop.PostAndWait([done, reply = std::move(reply)] { done(reply); });
      });
}

auto StoreGateway::Send(http::Call call, Done done) -> void {
  const auto now = this->runtime.clock.Now();
  auto open = std::make_shared<OpenCall>();
  open->call = std::move(call);
  open->done = std::move(done);
  open->sent = now;
  if (this->IsDirectBroken(now) && this->TryPeer(open, false)) {
    return;
  }
  this->TryDirect(open);
}

auto StoreGateway::TryDirect(const std::shared_ptr<OpenCall>& open) -> void {
  this->last_direct_try = open->sent;
  open->open_ways++;
  this->open_calls.push_back(open);
  this->SendDirect(open->call, [this, open](const http::Reply& reply) {
    this->OnReply(open, reply, /*is_direct=*/true);
  });
}

auto StoreGateway::TryPeer(const std::shared_ptr<OpenCall>& open,
                           bool is_refused) -> bool {
  const auto now = this->runtime.clock.Now();
  const auto reachable = this->peers.Reachable(now);
  if (open->has_tried_peer || reachable.empty() ||
      (is_refused && now < this->relays_refused_until)) {
    return false;
  }
  open->has_tried_peer = true;
  open->open_ways++;
  this->runtime.metrics.Add("store_calls_relayed_total");
  const auto& endpoint = reachable[this->next_peer++ % reachable.size()];
  this->SendThrough(endpoint, open->call, [this, open](const auto& reply) {
    if (reply.verdict == Verdict::kRan && !IsSettled(reply)) {
      this->relays_refused_until = this->runtime.clock.Now() + kBusyForAll;
    }
    if (IsSettled(reply)) {
      this->last_relayed_answer = this->runtime.clock.Now();
    }
    this->OnReply(open, reply, /*is_direct=*/false);
  });
  return true;
}

auto StoreGateway::OnReply(const std::shared_ptr<OpenCall>& open,
                           const http::Reply& reply,
                           bool is_direct) -> void {
  open->open_ways--;
  if (is_direct) {
    this->open_calls.remove(open);
    this->NoteDirect(IsSettled(reply), this->runtime.clock.Now());
    if (!IsSettled(reply)) {
      if (reply.status == 0) {
        this->runtime.metrics.Add("store_call_failures_total", "no_answer");
      } else {
        this->runtime.metrics.Add("store_call_failures_total", "refused");
      }
    }
  }
  if (open->is_settled) {
    return;
  }
  if (IsSettled(reply)) {
    open->is_settled = true;
    this->Report(*open, reply);
    return;
  }
  open->may_have_run =
      open->may_have_run || reply.verdict == Verdict::kMayHaveRun;
  if (open->open_ways > 0 ||
      this->TryPeer(open, reply.verdict == Verdict::kRan)) {
    return;
  }
  open->is_settled = true;
  this->Report(*open, reply);
}

auto StoreGateway::NoteDirect(bool is_answered, TimePoint now) -> void {
  if (is_answered) {
    this->direct_failures = 0;
    this->last_direct_answer = now;
    this->direct_broken_since = TimePoint();
    return;
  }
  this->direct_failures++;
  if (this->direct_failures >= kFailuresToDistrust &&
      this->direct_broken_since == TimePoint()) {
    this->direct_broken_since = now;
  }
}

auto StoreGateway::IsImpaired(TimePoint now) const -> bool {
  return this->direct_broken_since != TimePoint() &&
         now - this->direct_broken_since > kImpairedAfter &&
         now - this->last_relayed_answer < kRecentRelay;
}

auto StoreGateway::Tick(TimePoint now) -> void {
  if (now - this->last_direct_answer < kSilentWay) {
    return;  // The store is slow rather than out of reach.
  }
  for (const auto& open : this->open_calls) {
    if (!open->is_settled && now - open->sent > kSilentWay &&
        this->TryPeer(open, false)) {
      // The calls that follow need not wait as long to find out.
      this->NoteDirect(false, now);
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
          this->peers.OnFailure(endpoint, now - sent > kRefusedWithin, now);
        }
        done(reply);
      });
}

auto StoreGateway::SendThrough(const std::string& endpoint,
                               http::Call call,
                               Done done) -> void {
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
  relayed.idempotent = true;  // Only calls that repeat safely are relayed.
  this->SendToPeer(endpoint, std::move(relayed),
                   [done = std::move(done)](http::Reply reply) {
                     const bool is_relayed =
                         http::FindHeader(reply.headers, kRelayedHeader) !=
                         nullptr;
                     if (reply.verdict != Verdict::kRan || !is_relayed) {
                       // The peer may have sent the call on before it failed.
                       reply.verdict = reply.verdict == Verdict::kNotRun
                                           ? Verdict::kNotRun
                                           : Verdict::kMayHaveRun;
                       reply.status = 0;
                     }
                     done(std::move(reply));
                   });
}

auto StoreGateway::Relay(const http::Request& request,
                         http::Responder responder) -> void {
  const auto* method = request.FindHeader(kRelayMethodHeader);
  const auto* url = request.FindHeader(kRelayUrlHeader);
  const auto& host = this->runtime.host;
  // Only the platform's services may be reached, so that a peer is no proxy to
  // anywhere.
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
      call.timeout = std::clamp<Duration>(std::chrono::milliseconds(value),
                                          std::chrono::milliseconds(1),
                                          kLongestRelayTimeout);
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
        shared->Send({reply.status, {{kRelayedHeader, "1"}}, reply.body});
      });
}

}  // namespace shallotbank::cell
