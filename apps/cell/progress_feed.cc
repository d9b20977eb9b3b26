#include "progress_feed.h"

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

}  // namespace

ProgressFeed::ProgressFeed(Runtime& runtime,
                           StoreGateway& store,
                           const PeerDirectory& peers)
    : runtime(runtime), store(store), peers(peers) {}

auto ProgressFeed::Publish(const std::vector<ProgressUpdate>& updates) -> void {
  for (auto& [endpoint, subscriber] : this->subscribers) {
    if (subscriber.updates.size() + updates.size() > kMaxPendingUpdates) {
      subscriber.updates.clear();
      continue;
    }
    for (const auto& update : updates) {
      subscriber.updates[update.job] = update;
    }
  }
}

auto ProgressFeed::Tick(TimePoint now) -> void {
  if (now < this->next_flush) {
    return;
  }
  this->next_flush = now + kFlushInterval;
  std::map<std::string, Subscriber> reachable;
  for (const auto& endpoint : this->peers.Reachable(now)) {
    const auto known = this->subscribers.find(endpoint);
    reachable[endpoint] = known == this->subscribers.end()
                              ? Subscriber()
                              : std::move(known->second);
  }
  this->subscribers = std::move(reachable);
  for (auto& [endpoint, subscriber] : this->subscribers) {
    if (!subscriber.is_call_in_flight && !subscriber.updates.empty()) {
      this->Send(endpoint, subscriber);
    }
  }
}

auto ProgressFeed::Send(const std::string& endpoint, Subscriber& subscriber)
    -> void {
  std::vector<ProgressUpdate> updates;
  for (auto& [job, update] : subscriber.updates) {
    updates.push_back(std::move(update));
  }
  subscriber.updates.clear();
  subscriber.is_call_in_flight = true;
  http::Call call;
  call.method = "POST";
  call.url = "http://" + endpoint + kProgressUpdatesPath;
  call.body = EncodeProgressUpdates(updates);
  call.timeout = kCallTimeout;
  call.idempotent = true;
  this->runtime.metrics.Add("progress_news_total");
  this->store.SendToPeer(
      endpoint, std::move(call), [this, endpoint](const http::Reply& reply) {
        if (!reply.IsSuccess()) {
          this->runtime.metrics.Add("progress_news_failed_total");
        }
        const auto found = this->subscribers.find(endpoint);
        if (found != this->subscribers.end()) {
          found->second.is_call_in_flight = false;
        }
      });
}

}  // namespace shallotbank::cell
