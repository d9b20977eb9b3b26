#include "progress_feed.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "topics.h"

namespace shallotbank::cell {
namespace {

/// Updates within this time share a call. Callers see the completion of a job
/// later by up to this time.
constexpr std::chrono::milliseconds kFlushInterval(20);
/// Well above the round trip. If the call fails, the host gets the progress
/// from the store.
constexpr std::chrono::milliseconds kCallTimeout(500);
/// More than one second of progress under the heaviest load. Beyond it, the
/// updates are discarded and the host gets the progress from the store.
constexpr std::size_t kMaxPendingUpdates = 1000;
/// Targets that the leader has not named for this time are forgotten. Above the
/// timeout of a call.
constexpr std::chrono::seconds kTargetTimeout(5);

}  // namespace

ProgressFeed::ProgressFeed(Runtime& runtime,
                           StoreGateway& store,
                           const PeerDirectory& peers)
    : runtime(runtime), store(store), peers(peers) {}

auto ProgressFeed::Publish(const std::vector<ProgressUpdate>& updates) -> void {
  for (const auto& update : updates) {
    this->unsent.insert_or_assign(update.job, update);
  }
}

auto ProgressFeed::Forward(const ProgressMessage& message) -> void {
  for (const auto& endpoint : message.endpoints) {
    auto& target = this->targets[endpoint];
    target.named_at = this->runtime.clock.Now();
    AddPending(target.pending, message.batch);
    if (!target.is_call_in_flight) {
      this->SendToTarget(endpoint, target);
    }
  }
}

auto ProgressFeed::AddPending(Batches& pending, const SharedUpdateBatch& batch)
    -> void {
  auto count = batch->updates.size();
  for (const auto& other : pending) {
    count += other->updates.size();
  }
  if (count > kMaxPendingUpdates) {
    pending.clear();
  } else {
    pending.push_back(batch);
  }
}

auto ProgressFeed::Tick(TimePoint now) -> void {
  if (now < this->next_flush) {
    return;
  }
  this->next_flush = now + kFlushInterval;
  std::erase_if(this->targets, [now](const auto& entry) {
    return now - entry.second.named_at > kTargetTimeout;
  });
  this->UpdateSubscribers(now);
  const bool has_pending = std::any_of(
      this->subscribers.begin(), this->subscribers.end(),
      [](const auto& entry) { return !entry.second.pending.empty(); });
  if (!has_pending) {
    return;
  }
  std::vector<UpdateReceiver> receivers;
  for (const auto& [endpoint, subscriber] : this->subscribers) {
    receivers.push_back({endpoint, this->peers.CapacityOf(endpoint)});
  }
  for (const auto& group : this->fan_out.Groups(receivers, now)) {
    if (!this->subscribers[group.front()].is_call_in_flight) {
      this->SendToGroup(group);
    }
  }
}

auto ProgressFeed::UpdateSubscribers(TimePoint now) -> void {
  std::map<std::string, Subscriber> reachable;
  for (const auto& endpoint : this->peers.Reachable(now)) {
    const auto known = this->subscribers.find(endpoint);
    reachable[endpoint] = known == this->subscribers.end()
                              ? Subscriber()
                              : std::move(known->second);
  }
  this->subscribers = std::move(reachable);
  if (this->unsent.empty()) {
    return;
  }
  std::vector<ProgressUpdate> updates;
  for (auto& [job, update] : std::exchange(this->unsent, {})) {
    updates.push_back(std::move(update));
  }
  const auto batch = MakeUpdateBatch(std::move(updates));
  for (auto& [endpoint, subscriber] : this->subscribers) {
    AddPending(subscriber.pending, batch);
  }
}

auto ProgressFeed::SendToGroup(const UpdateGroup& group) -> void {
  Batches batches;
  for (const auto& endpoint : group) {
    for (const auto& batch :
         std::exchange(this->subscribers[endpoint].pending, {})) {
      if (std::find(batches.begin(), batches.end(), batch) == batches.end()) {
        batches.push_back(batch);
      }
    }
  }
  if (batches.empty()) {
    return;
  }
  const auto batch = MergeUpdateBatches(batches);
  this->subscribers[group.front()].is_call_in_flight = true;
  this->runtime.metrics.Add("progress_news_total");
  this->Call(
      group.front(),
      EncodeProgressMessage({batch, {std::next(group.begin()), group.end()}}),
      [this, group, batch](const http::Reply& reply) {
        this->OnGroupReply(group, batch, reply.IsSuccess());
      });
}

auto ProgressFeed::OnGroupReply(const UpdateGroup& group,
                                const SharedUpdateBatch& batch,
                                bool is_success) -> void {
  const auto found = this->subscribers.find(group.front());
  if (found != this->subscribers.end()) {
    found->second.is_call_in_flight = false;
  }
  if (is_success) {
    this->fan_out.OnSuccess(group.front());
    return;
  }
  this->runtime.metrics.Add("progress_news_failed_total");
  this->fan_out.OnFailure(group.front(), this->runtime.clock.Now());
  if (group.size() == 1) {
    return;  // The host gets the progress from the store.
  }
  for (const auto& endpoint : group) {
    const auto subscriber = this->subscribers.find(endpoint);
    if (subscriber != this->subscribers.end()) {
      AddPending(subscriber->second.pending, batch);
    }
  }
  this->next_flush = TimePoint();
}

auto ProgressFeed::SendToTarget(const std::string& endpoint,
                                ForwardTarget& target) -> void {
  const auto batch = MergeUpdateBatches(std::exchange(target.pending, {}));
  target.is_call_in_flight = true;
  this->runtime.metrics.Add("progress_forwarded_total");
  this->Call(endpoint, batch->bytes,
             [this, endpoint](const http::Reply& reply) {
               if (!reply.IsSuccess()) {
                 this->runtime.metrics.Add("progress_forward_failed_total");
               }
               const auto found = this->targets.find(endpoint);
               if (found == this->targets.end()) {
                 return;
               }
               found->second.is_call_in_flight = false;
               if (!found->second.pending.empty()) {
                 this->SendToTarget(endpoint, found->second);
               }
             });
}

auto ProgressFeed::Call(const std::string& endpoint,
                        std::string body,
                        StoreGateway::Done done) -> void {
  http::Call call;
  call.method = "POST";
  call.url = "http://" + endpoint + kProgressUpdatesPath;
  call.body = std::move(body);
  call.timeout = kCallTimeout;
  call.idempotent = true;
  this->store.SendToPeer(endpoint, std::move(call), std::move(done));
}

}  // namespace shallotbank::cell
