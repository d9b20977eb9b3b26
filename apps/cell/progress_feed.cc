#include "progress_feed.h"

#include "topics.h"

namespace shallotbank::cell {
namespace {

/// News of this time share a call. Callers see the end of a job as much later.
constexpr std::chrono::milliseconds kInterval(20);
/// Well above the way there and back; afterwards the host reads the store.
constexpr std::chrono::milliseconds kTimeout(500);
/// More than a second of the heaviest day. Beyond it the host reads the store.
constexpr std::size_t kMostNews = 1000;

}  // namespace

ProgressFeed::ProgressFeed(Runtime& runtime,
                           StoreGateway& store,
                           const PeerDirectory& peers)
    : runtime(runtime), store(store), peers(peers) {}

auto ProgressFeed::Tell(const std::vector<ProgressNews>& news) -> void {
  for (auto& [endpoint, listener] : this->listeners) {
    if (listener.news.size() + news.size() > kMostNews) {
      listener.news.clear();
      continue;
    }
    for (const auto& one : news) {
      listener.news[one.job] = one;
    }
  }
}

auto ProgressFeed::Tick(TimePoint now) -> void {
  if (now < this->next_look) {
    return;
  }
  this->next_look = now + kInterval;
  std::map<std::string, Listener> reachable;
  for (const auto& endpoint : this->peers.Reachable(now)) {
    const auto known = this->listeners.find(endpoint);
    reachable[endpoint] =
        known == this->listeners.end() ? Listener() : std::move(known->second);
  }
  this->listeners = std::move(reachable);
  for (auto& [endpoint, listener] : this->listeners) {
    if (!listener.is_open && !listener.news.empty()) {
      this->Send(endpoint, listener);
    }
  }
}

auto ProgressFeed::Send(const std::string& endpoint, Listener& listener)
    -> void {
  std::vector<ProgressNews> news;
  for (auto& [job, one] : listener.news) {
    news.push_back(std::move(one));
  }
  listener.news.clear();
  listener.is_open = true;
  http::Call call;
  call.method = "POST";
  call.url = "http://" + endpoint + kNewsPath;
  call.body = EncodeNews(news);
  call.timeout = kTimeout;
  call.idempotent = true;
  this->runtime.metrics.Add("progress_news_total");
  this->store.SendToPeer(
      endpoint, std::move(call), [this, endpoint](const http::Reply& reply) {
        if (!reply.IsSuccess()) {
          this->runtime.metrics.Add("progress_news_failed_total");
        }
        const auto found = this->listeners.find(endpoint);
        if (found != this->listeners.end()) {
          found->second.is_open = false;
        }
      });
}

}  // namespace shallotbank::cell
