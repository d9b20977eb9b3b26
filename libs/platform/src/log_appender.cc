#include "platform/log_appender.h"

#include <algorithm>
#include <random>

#include "base/log.h"
#include "journal/codec.h"

namespace shallotbank::platform {
namespace {

auto WallNow() -> journal::WallTime {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

auto SizeOf(const std::vector<journal::Record>& records) -> std::size_t {
  std::size_t bytes = 0;
  for (const auto& record : records) {
    bytes += journal::EncodedSize(record);
  }
  return bytes;
}

}  // namespace

LogAppender::LogAppender(LogAppenderOptions options, http::Client& client)
    : options(std::move(options)),
      client(client),
      thread([this] { this->Run(); }) {}

LogAppender::~LogAppender() {
  {
    std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  this->thread.join();
}

auto LogAppender::Append(std::vector<journal::Record> records,
                         TimePoint deadline,
                         Done done) -> void {
  Item item{std::move(records), 0, deadline, std::move(done)};
  item.bytes = SizeOf(item.records);
  const char* refused = this->Enqueue(item);
  if (refused != nullptr) {
    item.done({.verdict = Verdict::kNotRun, .reason = refused});
    return;
  }
  this->changed.notify_all();
}

// Returns the reason why the item was not accepted, or null.
auto LogAppender::Enqueue(Item& item) -> const char* {
  if (item.bytes > this->options.max_batch_bytes) {
    return "record_too_large";
  }
  std::lock_guard lock(this->mutex);
  if (this->stopping) {
    return "stopping";
  }
  if (this->waiting.size() >= this->options.max_queued) {
    return "log_queue_full";
  }
  this->waiting.push_back(std::move(item));
  return nullptr;
}

auto LogAppender::ConfirmSeen(std::uint64_t seen) -> void {
  {
    std::lock_guard lock(this->mutex);
    this->confirmed_sequence = std::max(this->confirmed_sequence, seen);
  }
  this->changed.notify_all();
}

auto LogAppender::Waiting() const -> std::size_t {
  std::lock_guard lock(this->mutex);
  return this->waiting.size() + this->batch.size();
}

auto LogAppender::Run() -> void {
  std::minstd_rand random(std::random_device{}());
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  auto backoff = this->options.interval;
  while (this->WaitForItems()) {
    const auto started_at = SystemClock().Now();
    this->FillBatch();
    if (this->batch.empty()) {
      continue;
    }
    const auto verdict = this->SendBatch();
    if (verdict == Verdict::kRan) {
      this->healthy = true;
      this->FinishBatch();
      backoff = this->options.interval;
      this->WaitFor(started_at + this->options.interval - SystemClock().Now());
      continue;
    }
    this->healthy = false;
    this->in_doubt = this->in_doubt || verdict == Verdict::kMayHaveRun;
    if (this->options.metrics != nullptr) {
      this->options.metrics->Add("log_append_retries_total",
                                 std::string(ToText(verdict)));
    }
    this->DropExpired(this->batch,
                      this->in_doubt ? Verdict::kMayHaveRun : Verdict::kNotRun);
    this->DropExpired(this->waiting, Verdict::kNotRun);
    this->WaitFor(
        std::chrono::duration_cast<Duration>(backoff * jitter(random)));
    backoff = std::min(backoff * 2, this->options.max_backoff);
  }
}

auto LogAppender::WaitForItems() -> bool {
  std::unique_lock lock(this->mutex);
  this->changed.wait(lock, [this] {
    return this->stopping || !this->waiting.empty() || !this->batch.empty();
  });
  if (!this->stopping) {
    return true;
  }
  // Makes one more attempt for items accepted before the stop.
  return this->healthy && (!this->waiting.empty() || !this->batch.empty());
}

// A batch that may be in the log must not change; any other batch may grow.
auto LogAppender::FillBatch() -> void {
  std::lock_guard lock(this->mutex);
  if (this->in_doubt) {
    return;
  }
  std::size_t records = 0;
  std::size_t bytes = 0;
  for (const auto& item : this->batch) {
    records += item.records.size();
    bytes += item.bytes;
  }
  while (!this->waiting.empty()) {
    auto& next = this->waiting.front();
    const bool fits =
        records + next.records.size() <= this->options.max_records_per_batch &&
        bytes + next.bytes <= this->options.max_batch_bytes;
    if (!fits && records > 0) {
      break;
    }
    next.first_record = records;
    records += next.records.size();
    bytes += next.bytes;
    this->batch.push_back(std::move(next));
    this->waiting.pop_front();
  }
}

auto LogAppender::SendBatch() -> Verdict {
  if (!this->in_doubt) {
    // Items may have been dropped since the last attempt, which shifts the
    // positions.
    std::size_t position = 0;
    for (auto& item : this->batch) {
      item.first_record = position;
      position += item.records.size();
    }
  }
  {
    std::lock_guard lock(this->mutex);
    if (this->confirmed_sequence > this->sequence) {
      return Verdict::kRan;
    }
  }
  journal::Batch envelope{
      this->options.writer, this->sequence + 1, WallNow(), {}};
  for (const auto& item : this->batch) {
    envelope.records.insert(envelope.records.end(), item.records.begin(),
                            item.records.end());
  }
  const auto bytes = journal::EncodeBatch(envelope);
  if (!bytes) {
    // Records are validated before they get here; a batch that cannot be
    // encoded would block all later ones.
    std::deque<Item> refused;
    {
      std::lock_guard lock(this->mutex);
      refused.swap(this->batch);
    }
    for (auto& item : refused) {
      if (item.done) {
        item.done({.verdict = Verdict::kNotRun, .reason = "not_encodable"});
      }
    }
    return Verdict::kNotRun;
  }
  const auto reply = this->client.SendAndWait({.method = "POST",
                                               .url = this->options.stream_url,
                                               .body = bytes.value(),
                                               .timeout = this->options.timeout,
                                               // Readers drop duplicates.
                                               .idempotent = true});
  if (reply.IsSuccess()) {
    return Verdict::kRan;
  }
  // An error status does not prove that the append had no effect.
  return reply.verdict == Verdict::kNotRun ? Verdict::kNotRun
                                           : Verdict::kMayHaveRun;
}

auto LogAppender::FinishBatch() -> void {
  std::deque<Item> finished;
  std::uint64_t number = 0;
  {
    std::lock_guard lock(this->mutex);
    number = ++this->sequence;
    this->in_doubt = false;
    finished.swap(this->batch);
  }
  if (this->options.metrics != nullptr) {
    this->options.metrics->Add("log_appends_total");
  }
  for (auto& item : finished) {
    if (item.done) {
      item.done({.verdict = Verdict::kRan,
                 .sequence = number,
                 .first_record = item.first_record,
                 .reason = ""});
    }
  }
}

auto LogAppender::DropExpired(std::deque<Item>& items, Verdict verdict)
    -> void {
  std::vector<Done> expired;
  {
    std::lock_guard lock(this->mutex);
    const auto now = SystemClock().Now();
    for (auto& item : items) {
      if (item.deadline <= now && !item.is_expired) {
        item.is_expired = true;
        expired.push_back(std::exchange(item.done, nullptr));
      }
    }
    if (verdict == Verdict::kNotRun) {
      std::erase_if(items, [](const Item& item) { return item.is_expired; });
    }
  }
  for (const auto& done : expired) {
    if (!done) {
      continue;
    }
    done({.verdict = verdict, .reason = "log_unavailable"});
  }
}

auto LogAppender::WaitFor(Duration time) -> void {
  if (time <= Duration::zero()) {
    return;
  }
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, time, [this] {
    return this->stopping ||
           (!this->batch.empty() && this->confirmed_sequence > this->sequence);
  });
}

}  // namespace shallotbank::platform
