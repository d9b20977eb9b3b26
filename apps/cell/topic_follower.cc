#include "topic_follower.h"

#include <algorithm>

#include "base/log.h"

namespace shallotbank::cell {
namespace {

/// A read waits in the store for this time; a silent connection is noticed
/// soon after.
constexpr std::chrono::milliseconds kReadWait(800);
constexpr std::chrono::milliseconds kRetryPause(60);
constexpr int kMaxRetryFactor = 5;

}  // namespace

TopicFollower::TopicFollower(Runtime& runtime,
                             StoreGateway& store,
                             std::string topic,
                             Duration pause,
                             Handlers handlers)
    : runtime(runtime),
      store(store),
      topic(std::move(topic)),
      pause(pause),
      handlers(std::move(handlers)) {}

auto TopicFollower::Tick(TimePoint now) -> void {
  if (this->is_open || now < this->next_read) {
    return;
  }
  if (this->is_tailing) {
    this->ReadOn();
  } else {
    this->pages.clear();
    this->ReadSnapshotPage("");
  }
}

auto TopicFollower::SetPause(Duration time) -> void {
  if (time < this->pause && this->failures == 0) {
    this->next_read = std::min(this->next_read, this->last_read + time);
  }
  this->pause = time;
}

auto TopicFollower::Retry() -> void {
  this->failures++;
  this->next_read = this->runtime.clock.Now() +
                    kRetryPause * std::min(this->failures, kMaxRetryFactor);
}

auto TopicFollower::ReadSnapshotPage(const std::string& after) -> void {
  this->is_open = true;
  this->store.Send(
      adapter::NewestCall(this->runtime.host.store, this->topic, after),
      [this](const http::Reply& reply) {
        this->is_open = false;
        this->OnPage(adapter::ReadNewest(reply));
      });
}

auto TopicFollower::OnPage(const adapter::NewestResult& page) -> void {
  if (!page.is_success) {
    this->Retry();
    return;
  }
  if (this->pages.empty()) {
    this->snapshot_end = page.end;
  }
  this->pages.insert(this->pages.end(), page.records.begin(),
                     page.records.end());
  if (page.has_more && !page.records.empty()) {
    this->ReadSnapshotPage(page.records.back().key);
    return;
  }
  this->failures = 0;
  this->is_tailing = true;
  this->position = this->snapshot_end;
  this->handlers.on_snapshot(std::exchange(this->pages, {}));
  this->last_read = this->runtime.clock.Now();
  this->is_caught_up = true;
  this->handlers.on_end(this->position);
  this->next_read = this->last_read;
}

auto TopicFollower::ReadOn() -> void {
  this->is_open = true;
  this->store.Send(adapter::ReadCall(this->runtime.host.store, this->topic,
                                     this->position, kReadWait),
                   [this, from = this->position](const http::Reply& reply) {
                     this->is_open = false;
                     this->OnRecords(adapter::ReadRecords(reply, from));
                   });
}

auto TopicFollower::OnRecords(const adapter::ReadResult& result) -> void {
  if (result.outcome == adapter::ReadResult::Outcome::kExpired) {
    LogEvent(
        Event::kLogRecordsExpired,
        {{"topic", this->topic}, {"wanted", std::to_string(this->position)}});
    this->is_tailing = false;
    this->next_read = this->runtime.clock.Now();
    return;
  }
  if (result.outcome == adapter::ReadResult::Outcome::kFailed) {
    this->Retry();
    return;
  }
  this->failures = 0;
  for (const auto& record : result.records) {
    this->position = record.offset + 1;
    if (!record.key.empty()) {
      this->handlers.on_record(record);
    }
  }
  const auto now = this->runtime.clock.Now();
  this->last_read = now;
  if (this->position >= result.end) {
    this->handlers.on_end(this->position);
  }
  this->next_read =
      now + (result.records.empty() ? Duration::zero() : this->pause);
}

}  // namespace shallotbank::cell
