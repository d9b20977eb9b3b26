#include "order_carrier.h"

#include <algorithm>
#include <utility>

#include "topics.h"

namespace shallotbank::cell {
namespace {

constexpr long kConnectionsPerWorker = 4;
/// Replies within this time share a batch.
constexpr std::chrono::milliseconds kFlushInterval(10);
constexpr std::chrono::milliseconds kReplyTimeout(300);
/// Replies repeat no effect, so a batch that may have been lost is sent again.
constexpr int kReplyAttempts = 2;
constexpr std::size_t kMaxRepliesPerBatch = 64;
/// Without calls for this time, the connections to workers are closed. Above
/// the time that a worker holds a long poll.
constexpr std::chrono::seconds kIdleTime(10);
constexpr std::chrono::milliseconds kMaxCallTimeout(10'000);
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;

auto ToCarriedReply(std::uint64_t id, http::Reply reply) -> CarriedReply {
  if (reply.verdict == Verdict::kRan) {
    return {id,
            reply.send_count > 1 ? CarriedOutcome::kAnsweredRepeat
                                 : CarriedOutcome::kAnswered,
            reply.status, std::move(reply.body)};
  }
  return {id,
          reply.verdict == Verdict::kNotRun ? CarriedOutcome::kNotRun
                                            : CarriedOutcome::kMayHaveRun,
          0, std::move(reply.error)};
}

auto ToHttpCall(CarriedCall carried) -> http::Call {
  http::Call call;
  call.method = std::move(carried.method);
  call.url = std::move(carried.url);
  for (auto& [name, value] : carried.headers) {
    call.headers.push_back({std::move(name), std::move(value)});
  }
  call.body = std::move(carried.body);
  call.timeout = std::clamp(carried.timeout, std::chrono::milliseconds(1),
                            kMaxCallTimeout);
  call.idempotent = true;  // Like all orders.
  return call;
}

}  // namespace

OrderCarrier::OrderCarrier(Runtime& runtime,
                           StoreGateway& store,
                           std::string process)
    : runtime(runtime), store(store), process(std::move(process)) {}

OrderCarrier::~OrderCarrier() = default;

auto OrderCarrier::SetWorker(const std::string& worker,
                             const std::string& address) -> void {
  const std::lock_guard lock(this->mutex);
  this->addresses[worker] = address;
}

auto OrderCarrier::RemoveWorker(const std::string& worker) -> void {
  const std::lock_guard lock(this->mutex);
  this->addresses.erase(worker);
}

auto OrderCarrier::IsKnown(const CarriedCall& call) -> bool {
  const std::lock_guard lock(this->mutex);
  const auto found = this->addresses.find(call.worker);
  return found != this->addresses.end() &&
         call.url.starts_with("http://" + found->second + "/");
}

auto OrderCarrier::SessionOf(const CallBatch& batch) -> Session {
  // Destroyed after the lock is released: the client waits for its thread.
  Session previous;
  const std::lock_guard lock(this->mutex);
  if (batch.epoch < this->session.epoch) {
    return {};
  }
  if (batch.epoch > this->session.epoch || !this->session.client) {
    previous = std::exchange(
        this->session,
        {batch.epoch, batch.leader, std::make_shared<Replies>(),
         std::make_shared<http::Client>(http::ClientOptions{
             .max_connections_per_host = kConnectionsPerWorker})});
  }
  this->last_batch = this->runtime.clock.Now();
  return this->session;
}

auto OrderCarrier::Handle(const http::Request& request,
                          http::Responder responder) -> void {
  auto batch = DecodeCallBatch(request.body);
  if (!batch) {
    responder.Send({kBadRequest, {}, "not a batch of calls"});
    return;
  }
  const auto served = this->SessionOf(*batch);
  if (!served.client) {
    responder.Send({kConflict, {}, "a later leader is known"});
    return;
  }
  responder.Send({kOk, {}, this->process});
  this->runtime.metrics.Add("carried_calls_total", "", batch->calls.size());
  for (auto& call : batch->calls) {
    const auto id = call.id;
    auto replies = served.replies;
    if (!this->IsKnown(call)) {
      const std::lock_guard lock(replies->mutex);
      replies->ready.push_back(
          {id, CarriedOutcome::kNotSent, 0, "unknown worker"});
      continue;
    }
    served.client->Send(
        ToHttpCall(std::move(call)),
        [id, replies = std::move(replies)](http::Reply reply) {
          const std::lock_guard lock(replies->mutex);
          replies->ready.push_back(ToCarriedReply(id, std::move(reply)));
        });
  }
}

auto OrderCarrier::Tick(TimePoint now) -> void {
  if (now < this->next_flush) {
    return;
  }
  this->next_flush = now + kFlushInterval;
  Session served;
  std::shared_ptr<http::Client> idle;
  {
    const std::lock_guard lock(this->mutex);
    if (!this->session.replies) {
      return;
    }
    if (now - this->last_batch > kIdleTime) {
      idle = std::move(this->session.client);
    }
    served = this->session;
  }
  std::vector<CarriedReply> ready;
  {
    const std::lock_guard lock(served.replies->mutex);
    ready.swap(served.replies->ready);
  }
  while (!ready.empty()) {
    const auto count = std::min(ready.size(), kMaxRepliesPerBatch);
    const auto first = ready.end() - static_cast<std::ptrdiff_t>(count);
    std::vector<CarriedReply> part(std::make_move_iterator(first),
                                   std::make_move_iterator(ready.end()));
    ready.erase(first, ready.end());
    this->SendReplies(served.leader, EncodeReplyBatch({served.epoch, part}),
                      kReplyAttempts);
  }
}

auto OrderCarrier::SendReplies(const std::string& leader,
                               const std::string& body,
                               int attempts) -> void {
  http::Call call;
  call.method = "POST";
  call.url = "http://" + leader + kOrderRepliesPath;
  call.body = body;
  call.timeout = kReplyTimeout;
  call.idempotent = true;
  this->store.SendToPeer(
      leader, std::move(call),
      [this, leader, body, attempts](const http::Reply& reply) {
        if (!reply.IsSuccess() && attempts > 1) {
          this->SendReplies(leader, body, attempts - 1);
        }
      });
}

}  // namespace shallotbank::cell
