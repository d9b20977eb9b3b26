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
/// The store has waited for at least this time, though its clock may be faster
/// than that of this host by some percent.
constexpr std::chrono::milliseconds kMinReadWait(760);
constexpr std::chrono::milliseconds kRetryDelay(60);
/// Delay between two reads of which the second is wanted soon. Limits the reads
/// that callers can cause.
constexpr std::chrono::milliseconds kMinReadDelay(60);
/// Callers that wait for a read have been answered after this time.
constexpr std::chrono::milliseconds kWantedFor(1500);
constexpr int kMaxRetryFactor = 5;
/// The store sets the size of a page, up to 1 MB. If all hosts read pages at
/// the same time, as after a restart of the cell, one may take longer than the
/// first timeout, so the timeout doubles until a page arrives.
constexpr std::chrono::milliseconds kFirstPageTimeout(1500);
constexpr std::chrono::milliseconds kMaxPageTimeout(12'000);
/// Above the round trip between two hosts and the time that a small host takes
/// to answer.
constexpr std::chrono::milliseconds kDigestTimeout(500);
/// After a digest could not be read, the topic is read from the store for this
/// time.
constexpr std::chrono::milliseconds kDigestRetryDelay(1000);
constexpr int kStatusOk = 200;
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
  this->snapshot_pages = 0;
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
  if (this->is_tailing && !this->digest_source.empty() &&
      now >= this->next_digest_read) {
    this->ReadNextDigest();
  } else if (this->is_tailing) {
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

auto TopicFollower::ReadSoon() -> void {
  this->wanted_at = this->runtime.clock.Now();
  if (this->failures == 0) {
    this->next_read =
        std::min(this->next_read, this->last_read + kMinReadDelay);
  }
}

auto TopicFollower::IsReadWantedSoon() const -> bool {
  return this->wanted_at > this->caught_up_as_of &&
         this->runtime.clock.Now() - this->wanted_at < kWantedFor;
}

auto TopicFollower::ScheduleNextRead(Duration delay) -> void {
  this->next_read =
      this->last_read + (this->IsReadWantedSoon()
                             ? std::min<Duration>(delay, kMinReadDelay)
                             : delay);
}

auto TopicFollower::SetDigestSource(const std::string& source) -> void {
  this->digest_source = source;
  if (source.empty() && this->is_digest_read_in_flight) {
    this->CancelRead();
  }
}

auto TopicFollower::RequireRecords() -> void {
  if (this->is_complete || !this->is_tailing) {
    return;  // Nothing is missing, or a snapshot is being read.
  }
  this->is_tailing = false;
  this->CancelRead();
}

auto TopicFollower::ReadDigest(Offset from) const -> std::optional<DigestPage> {
  if (!this->HasRecords()) {
    return std::nullopt;
  }
  auto page = this->digest.Read(from);
  if (page) {
    page->age = std::chrono::ceil<std::chrono::milliseconds>(
        this->runtime.clock.Now() - this->caught_up_as_of);
  }
  return page;
}

auto TopicFollower::BeginRead() -> std::function<bool()> {
  this->is_read_in_flight = true;
  this->read_sent_at = this->runtime.clock.Now();
  return [this, number = ++this->read_number] {
    if (number != this->read_number) {
      return false;
    }
    this->is_read_in_flight = false;
    this->is_digest_read_in_flight = false;
    return true;
  };
}

auto TopicFollower::CancelRead() -> void {
  this->read_number++;
  this->is_read_in_flight = false;
  this->is_digest_read_in_flight = false;
  this->next_read = TimePoint();
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
  this->store.Send(
      adapter::MakeSnapshotCall(this->runtime.host.store, this->topic.name,
                                this->snapshot_after, this->page_timeout),
      [this, is_wanted = this->BeginRead()](const http::Reply& reply) {
        if (!is_wanted()) {
          return;
        }
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
  this->snapshot_pages++;
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
  this->is_complete = true;
  this->is_snapshot_begun = false;
  this->position = this->snapshot_end;
  this->known_end = this->snapshot_end;
  if (this->handlers.make_digest) {
    this->digest.Restart(this->position);
  }
  this->ReportSnapshot();
  this->handlers.on_snapshot(std::exchange(this->snapshot_records, {}));
  this->last_read = this->runtime.clock.Now();
  // Records appended while the pages were read may be missing.
  this->OnCaughtUp(this->snapshot_started_at, ReadSource::kSnapshot);
  this->next_read = this->last_read;
}

auto TopicFollower::ReadNext() -> void {
  // A read that waits may end with a record that was appended late, and is then
  // as old as its begin.
  this->read_wait =
      this->IsReadWantedSoon() ? std::chrono::milliseconds::zero() : kReadWait;
  this->store.Send(adapter::MakeReadCall(this->runtime.host.store,
                                         this->topic.name, this->position,
                                         this->window.Bytes(), this->read_wait),
                   [this, from = this->position,
                    is_wanted = this->BeginRead()](const http::Reply& reply) {
                     if (!is_wanted()) {
                       return;
                     }
                     this->runtime.metrics.Add("topic_read_bytes_total",
                                               this->topic.label,
                                               reply.body.size());
                     this->OnRecords(adapter::ParseReadReply(reply, from),
                                     reply.status != 0);
                   });
}

auto TopicFollower::ReadNextDigest() -> void {
  this->is_digest_read_in_flight = true;
  http::Call call;
  call.url = "http://" + this->digest_source + kDigestPath + "?" +
             kDigestTopicParameter + "=" + this->topic.label + "&" +
             kDigestFromParameter + "=" + std::to_string(this->position);
  call.timeout = kDigestTimeout;
  this->store.SendToPeer(
      this->digest_source, std::move(call),
      [this, source = this->digest_source,
       is_wanted = this->BeginRead()](const http::Reply& reply) {
        if (is_wanted()) {
          this->OnDigestReply(source, reply);
        }
      });
}

auto TopicFollower::OnDigestReply(const std::string& source,
                                  const http::Reply& reply) -> void {
  const auto now = this->runtime.clock.Now();
  const auto page =
      reply.status == kStatusOk ? DecodeDigestPage(reply.body) : std::nullopt;
  if (!page || page->next < this->position) {
    this->runtime.metrics.Add("digest_reads_failed_total", this->topic.label);
    this->next_digest_read = now + kDigestRetryDelay;
    this->next_read = now;
    if (reply.status != 0) {
      this->handlers.on_digest_refused(source);
    }
    return;
  }
  this->failures = 0;
  for (const auto& record : page->records) {
    this->handlers.on_digest(record);
  }
  if (page->next > this->position) {
    this->is_complete = false;
    this->digest.Clear();
  }
  this->position = page->next;
  this->known_end = std::max(this->position, page->end);
  this->last_read = now;
  if (this->position < page->end) {
    this->next_read = now;
    return;
  }
  this->OnCaughtUp(this->read_sent_at - page->age, ReadSource::kDigest);
  this->ScheduleNextRead(this->read_delay);
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
    if (record.key.empty()) {
      continue;
    }
    this->handlers.on_record(record);
    if (this->handlers.make_digest && this->is_complete) {
      this->digest.Append(record.offset, this->handlers.make_digest(record));
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
  const bool has_waited = result.records.empty() &&
                          this->read_wait == kReadWait &&
                          now - this->read_sent_at >= kMinReadWait;
  this->OnCaughtUp(
      this->read_sent_at + (has_waited ? kMinReadWait : Duration::zero()),
      ReadSource::kRecords);
  this->ScheduleNextRead(result.records.empty() ? Duration::zero()
                                                : this->read_delay);
}

auto TopicFollower::OnCaughtUp(TimePoint as_of, ReadSource source) -> void {
  const auto now = this->runtime.clock.Now();
  if (std::exchange(this->is_behind_logged, false)) {
    LogEvent(Event::kTopicCaughtUp,
             {{"topic", this->topic.label},
              {"position", std::to_string(this->position)},
              {"behind_ms", InMilliseconds(now - this->caught_up_at)},
              {"window_bytes", std::to_string(this->window.Bytes())}});
  }
  this->caught_up_at = now;
  this->caught_up_as_of = as_of;
  this->is_caught_up = true;
  this->handlers.on_end({this->position, as_of, source});
}

auto TopicFollower::ReportSnapshot() const -> void {
  LogEvent(Event::kSnapshotRead,
           {{"topic", this->topic.label},
            {"pages", std::to_string(this->snapshot_pages)},
            {"records", std::to_string(this->snapshot_records.size())},
            {"end", std::to_string(this->snapshot_end)},
            {"took_ms", InMilliseconds(this->runtime.clock.Now() -
                                       this->snapshot_started_at)}});
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
