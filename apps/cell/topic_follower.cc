#include "topic_follower.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/log.h"

namespace shallotbank::cell {
namespace {

/// A read waits in the store for up to this time; an unresponsive connection is
/// detected soon after.
constexpr std::chrono::milliseconds kReadWait(800);
constexpr std::chrono::milliseconds kRetryDelay(60);
constexpr int kMaxRetryFactor = 5;
/// The store sets the size of a page, up to 1 MB. If all hosts read pages at
/// the same time, as after a restart of the cell, one may take longer than the
/// first timeout, so the timeout doubles until a page arrives.
constexpr std::chrono::milliseconds kFirstPageTimeout(1500);
constexpr std::chrono::milliseconds kMaxPageTimeout(12'000);
/// A topic that has not been read to its end for this time is reported. Callers
/// are refused soon after.
constexpr std::chrono::milliseconds kReportBehindAfter(2000);

auto InMilliseconds(Duration time) -> std::string {
  return std::to_string(
      std::chrono::floor<std::chrono::milliseconds>(time).count());
}

}  // namespace

TopicFollower::TopicFollower(Runtime& runtime,
                             StoreGateway& store,
                             const FollowedTopic& topic,
                             Duration read_delay,
                             Handlers handlers)
    : runtime(runtime),
      store(store),
      topic(topic),
      read_delay(read_delay),
      handlers(std::move(handlers)),
      page_timeout(kFirstPageTimeout) {}

auto TopicFollower::Start() -> void {
  this->snapshot_records.clear();
  this->snapshot_after.clear();
  this->is_snapshot_begun = true;
  this->snapshot_started_at = this->runtime.clock.Now();
  if (this->caught_up_at == TimePoint()) {
    this->caught_up_at = this->snapshot_started_at;
  }
  this->ReadSnapshotPage();
}

auto TopicFollower::Tick(TimePoint now) -> void {
  this->ReportIfBehind(now);
  if (this->is_read_in_flight || now < this->next_read) {
    return;
  }
  if (this->is_tailing) {
    this->ReadNext();
  } else if (this->is_snapshot_begun) {
    this->ReadSnapshotPage();
  } else {
    this->Start();
  }
}

auto TopicFollower::SetReadDelay(Duration delay) -> void {
  if (delay < this->read_delay && this->failures == 0) {
    this->next_read = std::min(this->next_read, this->last_read + delay);
  }
  this->read_delay = delay;
}

auto TopicFollower::Retry() -> void {
  this->failures++;
  this->next_read = this->runtime.clock.Now() +
                    kRetryDelay * std::min(this->failures, kMaxRetryFactor);
}

auto TopicFollower::OnReadFailed(bool is_answered) -> void {
  this->runtime.metrics.Add("topic_reads_failed_total", this->topic.label);
  if (!is_answered) {
    this->window.OnUnanswered();
  }
  this->Retry();
}

auto TopicFollower::ReadSnapshotPage() -> void {
  this->is_read_in_flight = true;
  this->read_sent_at = this->runtime.clock.Now();
  this->store.Send(
      adapter::MakeSnapshotCall(this->runtime.host.store, this->topic.name,
                                this->snapshot_after, this->page_timeout),
      [this](const http::Reply& reply) {
        this->is_read_in_flight = false;
        this->runtime.metrics.Add("topic_read_bytes_total", this->topic.label,
                                  reply.body.size());
        this->OnPage(adapter::ParseSnapshotPage(reply), reply.status != 0);
      });
}

auto TopicFollower::OnPage(const adapter::SnapshotPage& page, bool is_answered)
    -> void {
  if (!page.is_success) {
    if (!is_answered) {
      this->page_timeout = std::min(this->page_timeout * 2, kMaxPageTimeout);
    }
    this->OnReadFailed(is_answered);
    return;
  }
  this->failures = 0;
  if (this->snapshot_after.empty()) {
    this->snapshot_end = page.end;
  }
  this->snapshot_records.insert(this->snapshot_records.end(),
                                page.records.begin(), page.records.end());
  if (page.has_more && !page.records.empty()) {
    this->snapshot_after = page.records.back().key;
    this->ReadSnapshotPage();
    return;
  }
  this->page_timeout = kFirstPageTimeout;
  this->is_tailing = true;
  this->is_snapshot_begun = false;
  this->position = this->snapshot_end;
  this->known_end = this->snapshot_end;
  this->handlers.on_snapshot(std::exchange(this->snapshot_records, {}));
  this->last_read = this->runtime.clock.Now();
  // Records appended while the pages were read may be missing.
  this->OnCaughtUp(this->snapshot_started_at);
  this->next_read = this->last_read;
}

auto TopicFollower::ReadNext() -> void {
  this->is_read_in_flight = true;
  this->read_sent_at = this->runtime.clock.Now();
  this->store.Send(
      adapter::MakeReadCall(this->runtime.host.store, this->topic.name,
                            this->position, this->window.Bytes(), kReadWait),
      [this, from = this->position](const http::Reply& reply) {
        this->is_read_in_flight = false;
        this->runtime.metrics.Add("topic_read_bytes_total", this->topic.label,
                                  reply.body.size());
        this->OnRecords(adapter::ParseReadReply(reply, from),
                        reply.status != 0);
      });
}

auto TopicFollower::UpdateWindow(const adapter::ReadResult& result) -> void {
  if (result.records.empty()) {
    if (result.end > this->position) {
      this->window.OnNothingFits();
    }
    return;
  }
  std::optional<Duration> took;
  if (this->known_end > this->position) {
    took = this->runtime.clock.Now() - this->read_sent_at;
    this->runtime.metrics.Observe("topic_read_seconds", *took);
  }
  this->window.OnAnswered(result.bytes, took);
}

auto TopicFollower::OnRecords(const adapter::ReadResult& result,
                              bool is_answered) -> void {
  if (result.outcome == adapter::ReadResult::Outcome::kExpired) {
    LogEvent(Event::kLogRecordsExpired,
             {{"topic", this->topic.name},
              {"wanted", std::to_string(this->position)}});
    this->is_tailing = false;
    this->next_read = this->runtime.clock.Now();
    return;
  }
  if (result.outcome == adapter::ReadResult::Outcome::kFailed) {
    this->OnReadFailed(is_answered);
    return;
  }
  this->failures = 0;
  this->UpdateWindow(result);
  for (const auto& record : result.records) {
    this->position = record.offset + 1;
    if (!record.key.empty()) {
      this->handlers.on_record(record);
    }
  }
  this->known_end = result.end;
  const auto now = this->runtime.clock.Now();
  this->last_read = now;
  if (this->position < result.end) {
    if (result.records.empty()) {
      this->Retry();
    } else {
      this->next_read = now;
    }
    return;
  }
  // The reply may have waited in this process, for example while the host was
  // suspended. Without records the store had waited for some.
  this->OnCaughtUp(
      result.records.empty()
          ? std::min<TimePoint>(now, this->read_sent_at + kReadWait)
          : this->read_sent_at);
  this->next_read =
      now + (result.records.empty() ? Duration::zero() : this->read_delay);
}

auto TopicFollower::OnCaughtUp(TimePoint as_of) -> void {
  const auto now = this->runtime.clock.Now();
  if (std::exchange(this->is_behind_logged, false)) {
    LogEvent(Event::kTopicCaughtUp,
             {{"topic", this->topic.label},
              {"position", std::to_string(this->position)},
              {"behind_ms", InMilliseconds(now - this->caught_up_at)},
              {"window_bytes", std::to_string(this->window.Bytes())}});
  }
  this->caught_up_at = now;
  this->is_caught_up = true;
  this->handlers.on_end(this->position, as_of);
}

auto TopicFollower::ReportIfBehind(TimePoint now) -> void {
  if (this->is_behind_logged || this->caught_up_at == TimePoint() ||
      now - this->caught_up_at < kReportBehindAfter + this->read_delay) {
    return;
  }
  this->is_behind_logged = true;
  LogEvent(Event::kTopicBehind,
           {{"topic", this->topic.label},
            {"position", std::to_string(this->position)},
            {"end", std::to_string(this->known_end)},
            {"failures", std::to_string(this->failures)},
            {"window_bytes", std::to_string(this->window.Bytes())},
            {"in_flight_ms", this->is_read_in_flight
                                 ? InMilliseconds(now - this->read_sent_at)
                                 : "0"}});
}

}  // namespace shallotbank::cell
