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
/// Leaves space for the encoding within the request size that servers accept.
constexpr std::size_t kMaxBatchBytes = 512 << 10;
constexpr std::chrono::milliseconds kRetryDelay(60);
/// An unanswered append is repeated after this time. Above the 2 s that a busy
/// partition queues an append before refusing it plus the response time of a
/// slow store, because a repeat would add to its load.
constexpr std::chrono::milliseconds kAppendTimeout(2700);
/// Limits the appends of this host in flight: while one is processed, the next
/// batch is gathered.
constexpr int kMaxAppendsInFlight = 2;
/// Limits the groups in flight to the collector. Several are allowed, so that a
/// record need not wait for the answers to earlier groups.
constexpr int kMaxGroupsInFlight = 4;
/// With a store that takes 0.4 s per append and answers after 0.7 s, a record
/// waits for up to three appends. Callers wait 3 s.
constexpr std::chrono::milliseconds kGroupTimeout(2700);
/// The collector gives up this much earlier than the peer that sent the group.
constexpr std::chrono::milliseconds kGroupMargin(100);

auto VerdictOf(const http::Reply& reply) -> Verdict {
  if (reply.verdict != Verdict::kRan) {
    return reply.verdict;
  }
  if (reply.IsSuccess()) {
    return Verdict::kRan;
  }
  const bool is_refused =
      !reply.HasUnansweredCopy() &&
      (reply.status == kStatusUnavailable || reply.status == kStatusBadRequest);
  return is_refused ? Verdict::kNotRun : Verdict::kMayHaveRun;
}

/// Answers a peer once the outcome of all of its records is known.
struct PeerReply {
  std::shared_ptr<http::Responder> responder;
  std::size_t pending = 0;
  std::size_t stored = 0;
  std::size_t not_stored = 0;

  auto Add(Verdict verdict, std::size_t total) -> void {
    this->pending--;
    this->stored += verdict == Verdict::kRan ? 1 : 0;
    this->not_stored += verdict == Verdict::kNotRun ? 1 : 0;
    if (this->pending > 0) {
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
  auto answer = std::make_shared<PeerReply>();
  answer->responder = std::move(responder);
  answer->pending = group->size();
  for (const auto& [key, value] : *group) {
    this->Write({key, value}, deadline,
                [answer, total = group->size()](Verdict verdict) {
                  answer->Add(verdict, total);
                });
    this->entries.back()->append_locally = true;
  }
}

auto RecordWriter::SetCollector(const std::string& endpoint) -> void {
  if (endpoint == this->collector) {
    return;
  }
  this->collector = endpoint;
  for (const auto& entry : this->entries) {
    if (!entry->sent_to.empty()) {
      entry->sent_to.clear();
      entry->is_in_flight = false;
      entry->has_unknown_outcome = true;
    }
  }
}

auto RecordWriter::ExpireEntries(TimePoint now) -> void {
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    if ((*entry)->deadline > now) {
      ++entry;
      continue;
    }
    const auto expired = *entry;
    entry = this->entries.erase(entry);
    const bool may_be_stored =
        expired->is_in_flight || expired->has_unknown_outcome;
    expired->done(may_be_stored ? Verdict::kMayHaveRun : Verdict::kNotRun);
  }
}

auto RecordWriter::TakeBatch(bool append_locally) -> Batch {
  Batch batch;
  std::size_t bytes = 0;
  for (const auto& entry : this->entries) {
    if (entry->is_in_flight || entry->append_locally != append_locally) {
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
  this->ExpireEntries(now);
  if (this->collector.empty()) {
    for (const auto& entry : this->entries) {
      entry->append_locally = true;
    }
  } else if (this->groups_in_flight < kMaxGroupsInFlight) {
    const auto batch = this->TakeBatch(/*append_locally=*/false);
    if (!batch.empty()) {
      this->SendToCollector(batch);
    }
  }
  if (this->appends_in_flight >= kMaxAppendsInFlight ||
      now < this->next_append) {
    return;
  }
  const auto batch = this->TakeBatch(/*append_locally=*/true);
  if (!batch.empty()) {
    this->Append(batch, now);
  }
}

auto RecordWriter::SendToCollector(const Batch& batch) -> void {
  RecordGroup group;
  for (const auto& entry : batch) {
    entry->sent_to = this->collector;
    group.emplace_back(entry->record.key, entry->record.value.value_or(""));
  }
  http::Call call;
  call.method = "POST";
  call.url = "http://" + this->collector + kRecordsPath;
  call.body = EncodeGroup(group);
  call.timeout = kGroupTimeout;
  call.idempotent = true;
  this->groups_in_flight++;
  this->runtime.metrics.Add("record_groups_total");
  this->store.SendToPeer(
      this->collector, std::move(call),
      [this, batch, endpoint = this->collector](const http::Reply& reply) {
        this->groups_in_flight--;
        this->OnCollectorReply(batch, endpoint, reply);
      });
}

auto RecordWriter::OnCollectorReply(const Batch& batch,
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
    if (entry->sent_to == endpoint) {
      entry->sent_to.clear();
      entry->append_locally = true;
    }
  }
  this->OnCallEnded(batch, verdict, /*is_final=*/false);
}

auto RecordWriter::Append(const Batch& batch, TimePoint now) -> void {
  adapter::AppendRequest request;
  request.topic = this->topic;
  request.timeout = kAppendTimeout;
  for (const auto& entry : batch) {
    request.records.push_back(entry->record);
  }
  this->appends_in_flight++;
  this->store.Send(adapter::MakeAppendCall(this->runtime.host.store, request),
                   [this, batch, sent = now](const http::Reply& reply) {
                     this->appends_in_flight--;
                     this->runtime.metrics.Observe(
                         "store_append_seconds",
                         this->runtime.clock.Now() - sent);
                     this->OnAppended(batch, adapter::ParseAppendReply(reply));
                   });
}

auto RecordWriter::OnAppended(const Batch& batch,
                              const adapter::AppendResult& result) -> void {
  using Outcome = adapter::AppendResult::Outcome;
  if (result.outcome == Outcome::kStored) {
    this->OnCallEnded(batch, Verdict::kRan, /*is_final=*/true);
    return;
  }
  this->next_append = this->runtime.clock.Now() + kRetryDelay;
  const bool is_unknown = result.outcome == Outcome::kUnknown;
  this->OnCallEnded(batch, is_unknown ? Verdict::kMayHaveRun : Verdict::kNotRun,
                    /*is_final=*/true);
}

auto RecordWriter::OnCallEnded(const Batch& batch,
                               Verdict verdict,
                               bool is_final) -> void {
  for (const auto& entry : batch) {
    entry->is_in_flight = false;
    entry->has_unknown_outcome =
        entry->has_unknown_outcome || verdict == Verdict::kMayHaveRun;
    const bool is_stored = verdict == Verdict::kRan;
    if (is_stored) {
      this->on_stored(entry->record);
    } else if (entry->has_unknown_outcome || !is_final) {
      continue;  // Retried until its deadline.
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
