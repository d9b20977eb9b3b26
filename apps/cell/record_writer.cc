#include "record_writer.h"

#include <algorithm>

#include "base/log.h"
#include "cell/records.h"
#include "topics.h"

namespace shallotbank::cell {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;
/// Leaves room for the encoding within what servers take.
constexpr std::size_t kMaxBatchBytes = 512 << 10;
constexpr std::chrono::milliseconds kRetryPause(60);
/// An append without an answer is repeated after this time. Above the 2 s that
/// a busy partition queues before it refuses, and the answer of a slow
/// store: a repeat would add to what it is slow with.
constexpr std::chrono::milliseconds kAppendTimeout(2700);
/// Appends of this host that may be open: while one is on its way, another is
/// gathered.
constexpr int kMaxOpenAppends = 2;
/// Groups on their way to the collector, so that a record need not wait for the
/// answer to those before it.
constexpr int kMaxOpenGroups = 4;
/// Behind a store whose appends take 0.4 s and answer after 0.7 s, a record
/// waits for up to three of them. Callers wait 3 s.
constexpr std::chrono::milliseconds kGroupTimeout(2700);
/// The collector gives up sooner than its peer.
constexpr std::chrono::milliseconds kGroupMargin(100);

auto VerdictOf(const http::Reply& reply) -> Verdict {
  if (reply.verdict != Verdict::kRan) {
    return reply.verdict;
  }
  if (reply.IsSuccess()) {
    return Verdict::kRan;
  }
  const bool is_refused =
      reply.status == kStatusUnavailable || reply.status == kStatusBadRequest;
  return is_refused ? Verdict::kNotRun : Verdict::kMayHaveRun;
}

/// The answer to a peer, once all of its records are settled.
struct PeerAnswer {
  std::shared_ptr<http::Responder> responder;
  std::size_t open = 0;
  std::size_t stored = 0;
  std::size_t not_stored = 0;

  auto Add(Verdict verdict, std::size_t total) -> void {
    this->open--;
    this->stored += verdict == Verdict::kRan ? 1 : 0;
    this->not_stored += verdict == Verdict::kNotRun ? 1 : 0;
    if (this->open > 0) {
      return;
    }
    int status = kStatusTimeout;
    if (this->stored == total) {
      status = kStatusOk;
    } else if (this->not_stored == total) {
      status = kStatusUnavailable;
    }
    this->responder->Send({status, {}, ""});
  }
};

}  // namespace

RecordWriter::RecordWriter(Runtime& runtime,
                           StoreGateway& store,
                           std::string topic,
                           OnStored on_stored)
    : runtime(runtime),
      store(store),
      topic(std::move(topic)),
      on_stored(std::move(on_stored)) {}

auto RecordWriter::Write(adapter::KeyedRecord record,
                         TimePoint deadline,
                         Done done) -> void {
  this->entries.push_back(std::make_shared<Entry>(
      Entry{std::move(record), deadline, std::move(done)}));
}

auto RecordWriter::WriteForPeer(const http::Request& request,
                                std::shared_ptr<http::Responder> responder)
    -> void {
  const auto group = DecodeGroup(request.body);
  if (!group || group->empty()) {
    responder->Send({kStatusBadRequest, {}, "not a group of records"});
    return;
  }
  const auto deadline =
      this->runtime.clock.Now() + kGroupTimeout - kGroupMargin;
  auto answer = std::make_shared<PeerAnswer>();
  answer->responder = std::move(responder);
  answer->open = group->size();
  for (const auto& [key, value] : *group) {
    this->Write({key, value}, deadline,
                [answer, total = group->size()](Verdict verdict) {
                  answer->Add(verdict, total);
                });
    this->entries.back()->is_direct = true;
  }
}

auto RecordWriter::SetCollector(const std::string& endpoint) -> void {
  if (endpoint == this->collector) {
    return;
  }
  this->collector = endpoint;
  for (const auto& entry : this->entries) {
    if (!entry->handed_to.empty()) {
      entry->handed_to.clear();
      entry->is_in_flight = false;
      entry->is_uncertain = true;
    }
  }
}

auto RecordWriter::GiveUpOverdue(TimePoint now) -> void {
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    if ((*entry)->deadline > now) {
      ++entry;
      continue;
    }
    const auto overdue = *entry;
    entry = this->entries.erase(entry);
    const bool may_be_stored = overdue->is_in_flight || overdue->is_uncertain;
    overdue->done(may_be_stored ? Verdict::kMayHaveRun : Verdict::kNotRun);
  }
}

auto RecordWriter::Collect(bool is_direct) -> Batch {
  Batch batch;
  std::size_t bytes = 0;
  for (const auto& entry : this->entries) {
    if (entry->is_in_flight || entry->is_direct != is_direct) {
      continue;
    }
    if (bytes > kMaxBatchBytes) {
      break;
    }
    bytes += entry->record.value.value_or("").size();
    entry->is_in_flight = true;
    batch.push_back(entry);
  }
  return batch;
}

auto RecordWriter::Tick(TimePoint now) -> void {
  this->GiveUpOverdue(now);
  if (this->collector.empty()) {
    for (const auto& entry : this->entries) {
      entry->is_direct = true;
    }
  } else if (this->open_groups < kMaxOpenGroups) {
    const auto batch = this->Collect(/*is_direct=*/false);
    if (!batch.empty()) {
      this->HandOn(batch);
    }
  }
  if (this->open_appends >= kMaxOpenAppends || now < this->next_try) {
    return;
  }
  const auto batch = this->Collect(/*is_direct=*/true);
  if (!batch.empty()) {
    this->Append(batch, now);
  }
}

auto RecordWriter::HandOn(const Batch& batch) -> void {
  RecordGroup group;
  for (const auto& entry : batch) {
    entry->handed_to = this->collector;
    group.emplace_back(entry->record.key, entry->record.value.value_or(""));
  }
  http::Call call;
  call.method = "POST";
  call.url = "http://" + this->collector + kRecordsPath;
  call.body = EncodeGroup(group);
  call.timeout = kGroupTimeout;
  call.idempotent = true;
  this->open_groups++;
  this->runtime.metrics.Add("record_groups_total");
  this->store.SendToPeer(
      this->collector, std::move(call),
      [this, batch, endpoint = this->collector](const http::Reply& reply) {
        this->open_groups--;
        this->OnHandedOn(batch, endpoint, reply);
      });
}

auto RecordWriter::OnHandedOn(const Batch& batch,
                              const std::string& endpoint,
                              const http::Reply& reply) -> void {
  const auto verdict = VerdictOf(reply);
  if (verdict != Verdict::kRan) {
    this->runtime.metrics.Add("record_groups_failed_total");
    LogEvent(Event::kRecordsReturned,
             {{"collector", endpoint},
              {"records", std::to_string(batch.size())},
              {"status", std::to_string(reply.status)},
              {"error", reply.error}});
  }
  for (const auto& entry : batch) {
    if (entry->handed_to == endpoint) {
      entry->handed_to.clear();
      entry->is_direct = true;
    }
  }
  this->Settle(batch, verdict, /*is_final=*/false);
}

auto RecordWriter::Append(const Batch& batch, TimePoint now) -> void {
  adapter::AppendRequest request;
  request.topic = this->topic;
  request.timeout = kAppendTimeout;
  for (const auto& entry : batch) {
    request.records.push_back(entry->record);
  }
  this->open_appends++;
  this->store.Send(adapter::AppendCall(this->runtime.host.store, request),
                   [this, batch, sent = now](const http::Reply& reply) {
                     this->open_appends--;
                     this->runtime.metrics.Observe(
                         "store_append_seconds",
                         this->runtime.clock.Now() - sent);
                     this->OnAppended(batch, adapter::ReadAppend(reply));
                   });
}

auto RecordWriter::OnAppended(const Batch& batch,
                              const adapter::AppendResult& result) -> void {
  using Outcome = adapter::AppendResult::Outcome;
  if (result.outcome == Outcome::kStored) {
    this->Settle(batch, Verdict::kRan, /*is_final=*/true);
    return;
  }
  this->next_try = this->runtime.clock.Now() + kRetryPause;
  const bool is_unknown = result.outcome == Outcome::kUnknown;
  this->Settle(batch, is_unknown ? Verdict::kMayHaveRun : Verdict::kNotRun,
               /*is_final=*/true);
}

auto RecordWriter::Settle(const Batch& batch, Verdict verdict, bool is_final)
    -> void {
  for (const auto& entry : batch) {
    entry->is_in_flight = false;
    entry->is_uncertain =
        entry->is_uncertain || verdict == Verdict::kMayHaveRun;
    const bool is_stored = verdict == Verdict::kRan;
    if (is_stored) {
      this->on_stored(entry->record);
    } else if (entry->is_uncertain || !is_final) {
      continue;  // Tried again until its deadline.
    }
    const auto found =
        std::find(this->entries.begin(), this->entries.end(), entry);
    if (found == this->entries.end()) {
      continue;  // Its deadline has passed.
    }
    this->entries.erase(found);
    entry->done(verdict);
  }
}

}  // namespace shallotbank::cell
