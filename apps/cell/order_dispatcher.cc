#include "order_dispatcher.h"

#include <utility>

#include "topics.h"

namespace shallotbank::cell {
namespace {

/// One for the long poll, the others for orders. Workers accept 64 connections
/// in all, which leaves capacity for those of carriers and of previous leaders
/// that were never closed.
constexpr long kConnectionsPerWorker = 4;
/// Well above the round trip, and short enough to poll a failed carrier's
/// workers again before their leases run out.
constexpr std::chrono::milliseconds kBatchTimeout(500);
constexpr std::chrono::milliseconds kChoiceInterval(100);
/// A carrier that failed is not used again for this time.
constexpr std::chrono::seconds kExclusion(5);

auto ToReply(CarriedReply carried) -> http::Reply {
  http::Reply reply;
  switch (carried.outcome) {
    case CarriedOutcome::kAnswered:
    case CarriedOutcome::kAnsweredRepeat:
      reply.verdict = Verdict::kRan;
      reply.send_count =
          carried.outcome == CarriedOutcome::kAnsweredRepeat ? 2 : 1;
      reply.status = carried.status;
      reply.body = std::move(carried.body);
      return reply;
    case CarriedOutcome::kNotSent:
    case CarriedOutcome::kNotRun:
      reply.verdict = Verdict::kNotRun;
      break;
    case CarriedOutcome::kMayHaveRun:
      reply.verdict = Verdict::kMayHaveRun;
      break;
  }
  reply.error = std::move(carried.body);
  return reply;
}

}  // namespace

OrderDispatcher::OrderDispatcher(Runtime& runtime,
                                 StoreGateway& store,
                                 PeerDirectory& peers,
                                 Epoch epoch)
    : runtime(runtime),
      store(store),
      peers(peers),
      epoch(epoch),
      worker_client({.max_connections_per_host = kConnectionsPerWorker}),
      lifetime(std::make_shared<bool>(true)) {}

auto OrderDispatcher::Send(const std::string& worker,
                           http::Call call,
                           Done done) -> void {
  const auto carrier = CarrierOf(worker, this->carriers);
  if (carrier.empty()) {
    this->SendDirect(std::move(call), std::move(done));
    return;
  }
  CarriedCall carried;
  carried.id = this->next_call++;
  carried.worker = worker;
  carried.method = std::move(call.method);
  carried.url = std::move(call.url);
  for (auto& header : call.headers) {
    carried.headers.emplace_back(std::move(header.name),
                                 std::move(header.value));
  }
  carried.body = std::move(call.body);
  carried.timeout = std::chrono::ceil<std::chrono::milliseconds>(call.timeout);
  this->waiting[carried.id] = std::move(done);
  this->carried.Add(carrier, std::move(carried), this->runtime.clock.Now());
}

auto OrderDispatcher::SendDirect(http::Call call, Done done) -> void {
  auto& loop = this->runtime.loop;
  auto& busy = this->runtime.busy;
  this->runtime.metrics.Add("worker_calls_total", "direct");
  this->worker_client.Send(
      std::move(call),
      [&loop, &busy, done = std::move(done)](http::Reply reply) {
        loop.PostBlocking([&busy, done, reply = std::move(reply)] {
          const auto handling = busy.Measure(Duty::kWorkerReplies);
          done(reply);
        });
      });
}

auto OrderDispatcher::Tick(std::size_t workers, TimePoint now) -> void {
  if (now >= this->next_choice) {
    this->next_choice = now + kChoiceInterval;
    this->UpdateCarriers(workers, now);
  }
  for (auto& batch : this->carried.TakeBatches(now)) {
    this->SendBatch(std::move(batch));
  }
}

auto OrderDispatcher::UpdateCarriers(std::size_t workers, TimePoint now)
    -> void {
  while (const auto overdue = this->carried.OverdueCarrier(now)) {
    this->excluded_until[*overdue] = now + kExclusion;
    this->OnLost(this->carried.OnLost(*overdue, now));
  }
  std::erase_if(this->excluded_until,
                [now](const auto& entry) { return now >= entry.second; });
  auto candidates =
      this->peers.ReachableOfSize(this->runtime.host.capacity, now);
  std::erase_if(candidates, [this](const auto& endpoint) {
    return this->excluded_until.contains(endpoint);
  });
  this->carriers = ChooseCarriers(std::move(candidates), workers);
}

auto OrderDispatcher::SendBatch(CarriedCalls::Batch batch) -> void {
  this->runtime.metrics.Add("worker_calls_total", "carried",
                            batch.calls.size());
  http::Call call;
  call.method = "POST";
  call.url = "http://" + batch.carrier + kOrdersPath;
  call.body = EncodeCallBatch(
      {this->epoch, this->runtime.host.peers.Text(), std::move(batch.calls)});
  call.timeout = kBatchTimeout;
  call.idempotent = true;
  this->store.SendToPeer(
      batch.carrier, std::move(call),
      [this, number = batch.number, carrier = batch.carrier,
       weak = std::weak_ptr(this->lifetime)](const http::Reply& reply) {
        if (weak.expired()) {
          return;
        }
        const auto now = this->runtime.clock.Now();
        // A batch that was sent twice may have been handled twice, by the
        // carrier or its successor, so the answers to its calls prove little.
        if (reply.IsSuccess() && reply.send_count <= 1) {
          this->OnLost(this->carried.OnAccepted(number, reply.body, now));
          return;
        }
        this->runtime.metrics.Add("order_batches_failed_total");
        this->excluded_until[carrier] = now + kExclusion;
        std::erase(this->carriers, carrier);
        this->OnLost(this->carried.OnFailed(
            number,
            reply.verdict == Verdict::kMayHaveRun || reply.send_count > 1,
            now));
      });
}

auto OrderDispatcher::OnLost(CarriedCalls::Lost lost) -> void {
  for (auto& call : lost.not_run) {
    this->Resend(std::move(call));
  }
  for (const auto& call : lost.unknown) {
    http::Reply reply;
    reply.verdict = Verdict::kMayHaveRun;
    reply.error = "the carrier was lost";
    this->Finish(call.id, reply);
  }
}

auto OrderDispatcher::Resend(CarriedCall call) -> void {
  auto node = this->waiting.extract(call.id);
  if (node.empty()) {
    return;
  }
  http::Call direct;
  direct.method = std::move(call.method);
  direct.url = std::move(call.url);
  for (auto& [name, value] : call.headers) {
    direct.headers.push_back({std::move(name), std::move(value)});
  }
  direct.body = std::move(call.body);
  direct.timeout = call.timeout;
  direct.idempotent = true;
  this->SendDirect(std::move(direct), std::move(node.mapped()));
}

auto OrderDispatcher::Finish(std::uint64_t id, const http::Reply& reply)
    -> void {
  auto node = this->waiting.extract(id);
  if (!node.empty()) {
    node.mapped()(reply);
  }
}

auto OrderDispatcher::OnReplies(const ReplyBatch& batch) -> void {
  if (batch.epoch != this->epoch) {
    return;
  }
  const auto now = this->runtime.clock.Now();
  for (const auto& reply : batch.replies) {
    auto call = this->carried.OnReply(reply.id, now);
    if (!call) {
      continue;  // A repeated reply, or one of a carrier that was given up.
    }
    if (reply.outcome == CarriedOutcome::kNotSent) {
      this->Resend(std::move(*call));
    } else {
      this->Finish(reply.id, ToReply(reply));
    }
  }
}

}  // namespace shallotbank::cell
