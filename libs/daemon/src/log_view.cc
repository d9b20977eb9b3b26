#include "daemon/log_view.h"

#include <algorithm>

#include "base/log.h"
#include "journal/codec.h"

namespace shallotbank::daemon {
namespace {

constexpr Offset kFirstOffset = 1;

}  // namespace

LogView::LogView(LogViewOptions options,
                 CoreLoop& loop,
                 http::Client& client,
                 Metrics& metrics)
    : options(std::move(options)),
      loop(loop),
      client(client),
      metrics(metrics),
      replica(this->options.process, kFirstOffset),
      appender(std::make_unique<platform::LogAppender>(
          platform::LogAppenderOptions{
              .stream_url = this->options.stream_url,
              .writer = this->options.process,
              .interval = this->options.append_interval,
              .timeout = this->options.timeout,
              .metrics = &metrics},
          client)) {}

LogView::~LogView() {
  this->tailer.reset();
  this->appender.reset();
}

auto LogView::Start() -> void {
  this->tailer = std::make_unique<platform::LogTailer>(
      platform::LogTailerOptions{.stream_url = this->options.stream_url,
                                 .poll_interval = this->options.poll_interval,
                                 .timeout = this->options.timeout},
      this->client, [this](platform::LogRead read) {
        auto shared = std::make_shared<platform::LogRead>(std::move(read));
        return this->loop.Post([this, shared] { this->HandleRead(*shared); });
      });
}

auto LogView::HandleRead(const platform::LogRead& read) -> void {
  using Outcome = platform::LogRead::Outcome;
  const bool is_reachable = read.outcome != Outcome::kUnreachable;
  if (is_reachable != this->is_log_reachable) {
    this->is_log_reachable = is_reachable;
    LogEvent(is_reachable ? Event::kLogReachable : Event::kLogUnreachable,
             {{"url", this->options.stream_url}});
  }
  if (!is_reachable) {
    this->metrics.Add("log_read_failures_total");
    return;
  }
  this->first_available = std::max(this->first_available, read.first);
  if (read.outcome == Outcome::kExpired) {
    LogEvent(Event::kLogRecordsExpired,
             {{"wanted", std::to_string(this->replica.Next())},
              {"first", std::to_string(read.first)}});
    this->replica.RestartAt(read.first);
  }
  for (const auto& record : read.records) {
    this->ApplyRecord(record.offset, record.data);
  }
  const auto end =
      read.records.empty() ? read.from : read.records.back().offset + 1;
  // The next offset to read may differ: after a snapshot, or if a peer has
  // supplied later records in the meantime.
  if (this->replica.Next() != end || read.outcome == Outcome::kExpired) {
    this->tailer->Seek(this->replica.Next());
  }
  // Only a read that reached the end of the log proves that the replica is
  // current.
  if (read.outcome == Outcome::kRead && end >= read.next &&
      this->replica.State() != nullptr) {
    this->last_current_read = std::max(this->last_current_read, read.sent_at);
  }
}

auto LogView::ApplyRecord(Offset offset, const std::string& data) -> void {
  const auto applied = this->replica.Apply(offset, data);
  if (applied.status == journal::ApplyStatus::kMalformed) {
    LogEvent(Event::kLogRecordInvalid, {{"offset", std::to_string(offset)}});
    this->metrics.Add("log_records_invalid_total");
  }
  if (this->recent_records.emplace(offset, data).second) {
    this->recent_records_size += data.size();
  }
  while (this->recent_records_size > this->options.max_recent_bytes &&
         this->recent_records.size() > 1) {
    this->recent_records_size -= this->recent_records.begin()->second.size();
    this->recent_records.erase(this->recent_records.begin());
  }
  if (applied.status != journal::ApplyStatus::kApplied) {
    return;
  }
  if (applied.writer == this->options.process) {
    this->appender->ConfirmSeen(applied.sequence);
    this->CompleteAppends(applied);
  }
  if (this->listener) {
    if (const auto batch = journal::DecodeBatch(data)) {
      this->listener(applied, batch.value());
    }
  }
}

auto LogView::Append(std::vector<journal::Record> records,
                     TimePoint deadline,
                     AppendCallback callback) -> void {
  const auto count = records.size();
  this->in_flight_appends++;
  auto shared = std::make_shared<AppendCallback>(std::move(callback));
  this->appender->Append(
      std::move(records), deadline,
      [this, count, shared](const platform::AppendResult& result) {
        this->loop.PostBlocking([this, count, shared, result] {
          this->HandleAppended(result, count, std::move(*shared));
        });
      });
}

auto LogView::HandleAppended(const platform::AppendResult& result,
                             std::size_t count,
                             AppendCallback callback) -> void {
  if (result.verdict != Verdict::kRan) {
    this->in_flight_appends--;
    this->metrics.Add("log_appends_refused_total", result.reason);
    callback({.verdict = result.verdict, .reason = result.reason});
    return;
  }
  this->pending_appends[result.sequence].push_back(
      {result.first_record, count, std::move(callback)});
  if (const auto* own = this->replica.FindOwnBatch(result.sequence)) {
    this->CompleteAppends(*own);
    return;
  }
  const auto* state = this->State();
  if (state != nullptr &&
      state->Writers().HasSeen(this->options.process, result.sequence)) {
    // A snapshot that was loaded in the meantime covers the batch.
    this->CompleteAppends({.sequence = result.sequence, .outcomes = {}});
    return;
  }
  this->tailer->Wake();
}

auto LogView::CompleteAppends(const journal::AppliedBatch& batch) -> void {
  auto found = this->pending_appends.extract(batch.sequence);
  if (found.empty()) {
    return;
  }
  for (auto& pending : found.mapped()) {
    RecordedResult result{.verdict = Verdict::kRan, .offset = batch.offset};
    if (pending.first + pending.count <= batch.outcomes.size()) {
      const auto first =
          batch.outcomes.begin() + static_cast<std::ptrdiff_t>(pending.first);
      result.outcomes.assign(
          first, first + static_cast<std::ptrdiff_t>(pending.count));
    }
    this->in_flight_appends--;
    pending.callback(std::move(result));
  }
}

auto LogView::RecentRecords(Offset from, std::size_t max) const
    -> std::vector<platform::LogRecord> {
  std::vector<platform::LogRecord> result;
  for (auto it = this->recent_records.find(from);
       it != this->recent_records.end() && result.size() < max; ++it) {
    result.push_back({it->first, it->second});
  }
  return result;
}

auto LogView::ApplyFromPeer(const std::vector<platform::LogRecord>& records)
    -> void {
  for (const auto& record : records) {
    if (record.offset == this->replica.Next()) {
      this->ApplyRecord(record.offset, record.data);
      this->metrics.Add("log_records_from_peers_total");
    }
  }
  this->tailer->Seek(this->replica.Next());
}

auto LogView::Wake() -> void {
  this->tailer->Wake();
}

}  // namespace shallotbank::daemon
