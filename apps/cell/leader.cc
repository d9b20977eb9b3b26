#include "leader.h"

#include <algorithm>

#include "adapter/store_calls.h"
#include "adapter/worker_calls.h"
#include "base/log.h"
#include "cell/records.h"
#include "topics.h"

namespace shallotbank::cell {
namespace {

/// An unanswered order is sent again after this time. Above the slowest answer
/// of a healthy worker and well below the time that callers wait.
constexpr std::chrono::milliseconds kOrderTimeout(400);
/// Added to the time that a long poll waits at the worker.
constexpr std::chrono::milliseconds kPollMargin(500);
/// Added to the expected duration of an advice query: covers the round trip and
/// one lost packet.
constexpr std::chrono::milliseconds kAdviceMargin(400);
/// Without a read of the workers' entries for this time, no tasks are started:
/// workers may have become smaller or may be leaving. The platform lets a host
/// that has lost touch act on its former view for as long (stableWindowMs).
constexpr std::chrono::milliseconds kMaxWorkersAge(3000);
constexpr std::chrono::milliseconds kAppendRetryDelay(50);
/// Above the time that an append to a slow store takes.
constexpr std::chrono::milliseconds kAppendTimeout(2300);
/// Lease of running tasks. The next leader computes with the same value, so
/// releases with different values must not run side by side. Long enough for
/// another host to take over leadership, short enough to reschedule the tasks
/// of a lost worker soon.
constexpr Milliseconds kLease(6000);
/// Records of finished jobs are kept for this time beyond the period in which
/// their states must be available.
constexpr std::chrono::seconds kRetentionMargin(60);
constexpr std::chrono::seconds kDeletionInterval(5);
/// Delay between the end of a job and the removal of its specification. Above
/// the age of the progress (kMaxProgressAge) on which a host bases the answer
/// that it does not know a job: such a host has then read the end.
constexpr std::chrono::milliseconds kRemovalDelay(3500);
constexpr std::chrono::milliseconds kRemovalInterval(500);
constexpr std::size_t kMaxRemovals = 500;
/// Twice the jobs that the largest known cell accepts in the interval.
constexpr std::size_t kMaxDeletions = 1200;

auto CountRefusedStart(Metrics& metrics, OrderOutcome outcome) -> void {
  switch (outcome) {
    case OrderOutcome::kDone:
      return;
    case OrderOutcome::kFenced:
      return metrics.Add("starts_refused_total", "fenced");
    case OrderOutcome::kSuperseded:
      return metrics.Add("starts_refused_total", "superseded");
    case OrderOutcome::kLate:
      return metrics.Add("starts_refused_total", "late");
    case OrderOutcome::kNoRoom:
      return metrics.Add("starts_refused_total", "no_room");
    case OrderOutcome::kNoTicket:
      return metrics.Add("starts_refused_total", "no_ticket");
    case OrderOutcome::kMalformed:
      return metrics.Add("starts_refused_total", "malformed");
    case OrderOutcome::kOtherIncarnation:
      return metrics.Add("starts_refused_total", "other_life");
    case OrderOutcome::kUnhealthy:
      return metrics.Add("starts_refused_total", "unhealthy");
    case OrderOutcome::kNoAnswer:
      return metrics.Add("starts_refused_total", "no_answer");
  }
}

/// Whether the answer is that to an append of the whole batch. A store may give
/// the answer to the fencing append to a batch with the same sequence number.
auto CoversBatch(const adapter::AppendResult& result,
                 const ProgressBatch& batch) -> bool {
  return result.offset && result.end &&
         *result.end - *result.offset >=
             batch.segments.size() + batch.records.size();
}

}  // namespace

Leader::Leader(Runtime& runtime,
               StoreGateway& store,
               PeerDirectory& peers,
               Epoch epoch,
               TimePoint previous_authority_end,
               OnProgressStored on_progress_stored)
    : runtime(runtime),
      store(store),
      peers(peers),
      epoch(epoch),
      previous_authority_end(previous_authority_end),
      on_progress_stored(std::move(on_progress_stored)),
      lifetime(std::make_shared<bool>(true)),
      dispatcher(runtime, store, peers, epoch),
      report(runtime, epoch) {}

Leader::~Leader() = default;

auto Leader::IsFenced() const -> bool {
  return this->is_fenced ||
         (this->scheduler != nullptr && this->scheduler->IsFenced());
}

auto Leader::FencePreviousLeader() -> void {
  adapter::AppendRequest request;
  request.topic = kProgressTopic;
  request.stamp = {kProgressProducer, this->epoch, 0};
  request.timeout = kAppendTimeout;
  this->is_fencing_in_flight = true;
  this->store.Send(
      adapter::MakeAppendCall(this->runtime.host.store, request),
      [this, weak = std::weak_ptr(this->lifetime)](const http::Reply& reply) {
        if (weak.expired()) {
          return;
        }
        this->is_fencing_in_flight = false;
        using Outcome = adapter::AppendResult::Outcome;
        const auto result = adapter::ParseAppendReply(reply);
        if (result.outcome == Outcome::kStored) {
          this->first_own_offset = result.end;
          this->fenced_at = this->runtime.clock.Now();
        } else if (result.outcome == Outcome::kSequenceMismatch) {
          // An earlier copy of the append has taken effect.
          this->fenced_at = this->runtime.clock.Now();
        } else if (result.outcome == Outcome::kFenced) {
          this->is_fenced = true;
        }
        this->next_fencing = this->runtime.clock.Now() + kAppendRetryDelay;
      });
}

auto Leader::StartScheduling(const View& view) -> void {
  SchedulerOptions options;
  options.epoch = this->epoch;
  options.lease = std::min(kLease, this->runtime.host.max_lease);
  options.max_lease = this->runtime.host.max_lease;
  options.previous_authority_end = this->previous_authority_end;
  options.max_record_bytes = this->runtime.host.max_record_bytes;
  const auto now = this->runtime.clock.Now();
  this->scheduler = std::make_unique<Scheduler>(options, now);
  this->scheduler->OnConfiguration(view.configuration.cell);
  for (const auto& [id, worker] : view.workers) {
    this->scheduler->OnWorker(worker, now);
  }
  for (const auto& [id, job] : view.jobs.OldestFirst()) {
    this->AddJob(id, *job);
  }
  LogEvent(Event::kOwnershipGained,
           {{"epoch", std::to_string(this->epoch)},
            {"jobs", std::to_string(this->scheduler->Count().jobs)},
            {"workers", std::to_string(view.workers.size())}});
}

auto Leader::AddJob(const JobId& id, const StoredJob& job) -> void {
  if (!job.is_accepted || IsFinal(job.State())) {
    return;
  }
  auto spec = job.is_digest ? std::nullopt : DecodeJob(job.spec_bytes);
  JobProgress progress;
  if (!job.progress_bytes.empty()) {
    auto read = DecodeProgress(job.progress_bytes);
    if (!read) {
      LogEvent(Event::kLogRecordInvalid, {{"job", id.Text()}});
      return;
    }
    progress = std::move(*read);
  }
  Segments segments;
  for (const auto& [key, segment] : job.segments) {
    segments.emplace(key, segment.second);
  }
  if (!spec || !RestoreSegments(*spec, segments, progress)) {
    LogEvent(Event::kLogRecordInvalid, {{"job", id.Text()}});
    return;
  }
  const auto now = this->runtime.clock.Now();
  this->scheduler->OnJob(std::move(*spec), progress, job.accepted_at, now);
  if (job.is_cancel_requested) {
    this->scheduler->OnCancel(id, now);
  }
}

auto Leader::OnConfiguration(const CellConfiguration& configuration) -> void {
  if (this->scheduler) {
    this->scheduler->OnConfiguration(configuration);
  }
}

auto Leader::OnJob(const JobId& id, const StoredJob& job) -> void {
  if (this->scheduler) {
    this->AddJob(id, job);
    if (job.is_cancel_requested) {
      this->scheduler->OnCancel(id, this->runtime.clock.Now());
    }
  }
}

auto Leader::OnWorker(const WorkerReport& report) -> void {
  if (this->scheduler) {
    this->scheduler->OnWorker(report, this->runtime.clock.Now());
  }
}

auto Leader::OnWorkerGone(const WorkerId& worker) -> void {
  if (this->scheduler) {
    this->scheduler->OnWorkerGone(worker, this->runtime.clock.Now());
  }
}

auto Leader::OnCarriedReplies(const ReplyBatch& batch) -> void {
  const auto handling = this->runtime.busy.Measure(Duty::kWorkerReplies);
  this->dispatcher.OnReplies(batch);
}

auto Leader::HasReadProgress(const View& view) const -> bool {
  return this->first_own_offset
             ? view.progress_position >= *this->first_own_offset
             : view.progress_caught_up_at >= this->fenced_at;
}

auto Leader::Tick(const View& view, Authority authority) -> void {
  const auto now = this->runtime.clock.Now();
  if (this->fenced_at == TimePoint()) {
    if (!this->is_fencing_in_flight && now >= this->next_fencing) {
      this->FencePreviousLeader();
    }
    return;
  }
  if (!this->scheduler) {
    if (!this->HasReadProgress(view)) {
      return;
    }
    // Waits until all jobs with progress are known: the scheduler would stop
    // the runs of an unknown job and ignore their completions.
    if (view.jobs.HasProgressOfUnknownJobs() &&
        view.jobs_caught_up_at <= this->fenced_at) {
      return;
    }
    this->StartScheduling(view);
  }
  this->advisors = this->peers.Reachable(now);
  this->advisors.insert(this->advisors.begin(), "");
  this->scheduler->SetAdvisors(this->advisors.size());
  Decisions decisions;
  {
    const auto deciding = this->runtime.busy.Measure(Duty::kDeciding);
    this->RestrictStarts(view, authority, now);
    decisions = this->scheduler->Decide(now, std::chrono::system_clock::now(),
                                        authority);
  }
  {
    const auto sending = this->runtime.busy.Measure(Duty::kSending);
    this->Execute(std::move(decisions));
    this->dispatcher.Tick(view.workers.size(), now);
    this->SendBatches();
  }
  this->RemoveEndedSpecifications(now);
  this->DeleteExpiredJobs(view, now);
  this->report.Tick(*this->scheduler, this->dispatcher, this->advisors.size(),
                    now);
}

auto Leader::RestrictStarts(const View& view,
                            Authority& authority,
                            TimePoint now) -> void {
  const auto workers_age = now - view.workers_caught_up_at;
  const bool has_renewed = authority.may_start;
  authority.may_start &= workers_age < kMaxWorkersAge;
  if (authority.may_start == !this->are_starts_paused) {
    return;
  }
  this->are_starts_paused = !authority.may_start;
  const auto age =
      std::chrono::floor<std::chrono::milliseconds>(workers_age).count();
  LogEvent(
      this->are_starts_paused ? Event::kStartsPaused : Event::kStartsResumed,
      {{"epoch", std::to_string(this->epoch)},
       {"reason", has_renewed ? "workers-not-read" : "claim-not-renewed"},
       {"workers_age_ms", std::to_string(age)}});
}

auto Leader::Execute(Decisions decisions) -> void {
  for (const auto& note : decisions.notes) {
    LogEvent(note.event, note.fields);
  }
  for (auto& order : decisions.starts) {
    this->SendStart(std::move(order));
  }
  for (auto& order : decisions.stops) {
    this->SendStop(std::move(order));
  }
  for (auto& order : decisions.polls) {
    this->SendPoll(std::move(order));
  }
  for (auto& query : decisions.advice) {
    this->SendAdviceQuery(std::move(query));
  }
  if (decisions.batch) {
    PendingBatch next;
    next.batch = std::move(*decisions.batch);
    next.created_at = this->runtime.clock.Now();
    this->pending_batches.emplace(this->next_batch_number++, std::move(next));
  }
}

auto Leader::SendStart(StartOrder order) -> void {
  this->runtime.metrics.Add("orders_total", "start");
  auto call = adapter::MakeStartCall(order, kOrderTimeout);
  // Copied first: the order is moved in the same call.
  const auto worker = order.target.worker.Text();
  this->dispatcher.Send(
      worker, std::move(call),
      [this, weak = std::weak_ptr(this->lifetime),
       order = std::move(order)](const http::Reply& reply) {
        if (weak.expired()) {
          return;
        }
        const auto result = adapter::ParseOrderReply(reply);
        if (result.outcome != OrderOutcome::kDone) {
          CountRefusedStart(this->runtime.metrics, result.outcome);
          LogEvent(Event::kStartRefused,
                   {{"task", order.task.Text()},
                    {"run", std::to_string(order.run)},
                    {"worker", order.target.worker.Text()},
                    {"status", std::to_string(reply.status)},
                    {"sends", std::to_string(reply.send_count)},
                    {"answer", reply.body + reply.error}});
        }
        this->scheduler->OnStartReply(order, result, this->runtime.clock.Now());
      });
}

auto Leader::SendStop(StopOrder order) -> void {
  this->runtime.metrics.Add("orders_total", "stop");
  auto call = adapter::MakeStopCall(order, kOrderTimeout);
  const auto worker = order.target.worker.Text();
  this->dispatcher.Send(worker, std::move(call),
                        [this, weak = std::weak_ptr(this->lifetime),
                         order = std::move(order)](const http::Reply& reply) {
                          if (!weak.expired()) {
                            this->scheduler->OnStopReply(
                                order, adapter::ParseOrderReply(reply),
                                this->runtime.clock.Now());
                          }
                        });
}

auto Leader::SendPoll(PollOrder order) -> void {
  this->runtime.metrics.Add("orders_total", "hold");
  auto call = adapter::MakePollCall(order, kPollMargin);
  const auto worker = order.target.worker.Text();
  this->dispatcher.Send(
      worker, std::move(call),
      [this, weak = std::weak_ptr(this->lifetime), order = std::move(order),
       sent = this->runtime.clock.Now()](const http::Reply& reply) {
        if (!weak.expired()) {
          this->scheduler->OnPollReply(order, adapter::ParsePollReply(reply),
                                       sent, this->runtime.clock.Now());
        }
      });
}

auto Leader::SendAdviceQuery(AdviceQuery query) -> void {
  this->runtime.metrics.Add("advice_queries_total");
  auto call =
      adapter::MakeAdviceCall(this->runtime.host.advice, query,
                              std::chrono::ceil<std::chrono::milliseconds>(
                                  query.expected + kAdviceMargin));
  const auto advisor = query.advisor < this->advisors.size()
                           ? this->advisors[query.advisor]
                           : std::string();
  auto done = [this, weak = std::weak_ptr(this->lifetime),
               query = std::move(query)](const http::Reply& reply) {
    if (!weak.expired()) {
      this->scheduler->OnAdvice(query, adapter::ParseAdviceReply(reply),
                                this->runtime.clock.Now());
    }
  };
  if (advisor.empty()) {
    this->store.SendDirect(std::move(call), std::move(done));
  } else {
    this->store.SendViaPeer(advisor, std::move(call), std::move(done));
  }
}

auto Leader::SendBatches() -> void {
  const auto now = this->runtime.clock.Now();
  for (auto& [number, pending] : this->pending_batches) {
    // The reply to the first append of an epoch determines the sequence numbers
    // of the others.
    const bool may_send = this->is_sequence_base_known ||
                          number == this->pending_batches.begin()->first;
    if (may_send && !pending.is_in_flight && now >= pending.next_send) {
      pending.is_in_flight = true;
      this->SendBatch(number);
    }
  }
}

auto Leader::SendBatch(std::uint64_t number) -> void {
  adapter::AppendRequest request;
  request.topic = kProgressTopic;
  request.stamp = {kProgressProducer, this->epoch,
                   this->sequence_base + number};
  request.timeout = kAppendTimeout;
  const auto& batch = this->pending_batches[number].batch;
  for (const auto& [key, bytes] : batch.segments) {
    request.records.push_back({key, bytes});
  }
  for (const auto& [job, bytes] : batch.records) {
    request.records.push_back({job.Text(), bytes});
  }
  this->store.Send(adapter::MakeAppendCall(this->runtime.host.store, request),
                   [this, number, weak = std::weak_ptr(this->lifetime)](
                       const http::Reply& reply) {
                     if (!weak.expired()) {
                       this->OnBatchReply(number, reply);
                     }
                   });
}

auto Leader::PublishProgress(std::uint64_t number, Offset offset) -> void {
  const auto found = this->pending_batches.find(number);
  if (found == this->pending_batches.end()) {
    return;  // Confirmed by a later batch; other hosts read it from the store.
  }
  std::vector<ProgressUpdate> updates;
  const auto& batch = found->second.batch;
  const auto first = offset + batch.segments.size();
  for (const auto& [job, bytes] : batch.records) {
    updates.push_back({job.Text(), bytes.substr(0, 1), first + updates.size()});
  }
  this->on_progress_stored(updates);
}

auto Leader::OnBatchStored(std::uint64_t number) -> void {
  const auto now = this->runtime.clock.Now();
  this->is_sequence_base_known = true;
  // The store accepts no gaps in the sequence, so all earlier batches are
  // stored as well.
  while (!this->pending_batches.empty() &&
         this->pending_batches.begin()->first <= number) {
    const auto first = this->pending_batches.begin();
    this->runtime.metrics.Observe("progress_append_seconds",
                                  now - first->second.created_at);
    this->scheduler->OnStored(first->second.batch.sequence, now);
    for (const auto& [job, bytes] : first->second.batch.records) {
      if (IsFinal(DecodeState(bytes).value_or(JobState::kQueued))) {
        this->ended_jobs.emplace_back(now + kRemovalDelay, job);
      }
    }
    this->pending_batches.erase(first);
  }
}

auto Leader::ReportRefusal(PendingBatch& pending, const http::Reply& reply)
    -> void {
  // Other refusals are those of a store that is busy or down.
  constexpr int kStatusBadRequest = 400;
  constexpr int kStatusTooLarge = 413;
  if (pending.is_refusal_reported ||
      (reply.status != kStatusBadRequest && reply.status != kStatusTooLarge)) {
    return;
  }
  pending.is_refusal_reported = true;
  std::size_t bytes = 0;
  for (const auto& [key, value] : pending.batch.segments) {
    bytes += value.value_or("").size();
  }
  for (const auto& [job, value] : pending.batch.records) {
    bytes += value.size();
  }
  LogEvent(Event::kProgressRefused,
           {{"status", std::to_string(reply.status)},
            {"records", std::to_string(pending.batch.segments.size() +
                                       pending.batch.records.size())},
            {"bytes", std::to_string(bytes)},
            {"answer", reply.body}});
}

auto Leader::OnBatchReply(std::uint64_t number, const http::Reply& reply)
    -> void {
  using Outcome = adapter::AppendResult::Outcome;
  const auto found = this->pending_batches.find(number);
  auto result = adapter::ParseAppendReply(reply);
  if (result.outcome == Outcome::kStored &&
      found != this->pending_batches.end() &&
      !CoversBatch(result, found->second.batch)) {
    result.outcome = Outcome::kSequenceMismatch;
  }
  if (result.outcome == Outcome::kStored) {
    if (result.offset) {
      this->PublishProgress(number, *result.offset);
    }
    this->OnBatchStored(number);
    return;
  }
  if (found == this->pending_batches.end()) {
    return;  // Already confirmed by a later batch.
  }
  found->second.is_in_flight = false;
  found->second.next_send = this->runtime.clock.Now() + kAppendRetryDelay;
  if (result.outcome == Outcome::kFenced) {
    this->is_fenced = true;
    return;
  }
  if (result.outcome != Outcome::kSequenceMismatch) {
    this->ReportRefusal(found->second, reply);
    return;
  }
  if (!this->is_sequence_base_known) {
    // Accounts for the sequence number that the store assigned to the fencing
    // append.
    this->sequence_base = result.expected_sequence > 0
                              ? result.expected_sequence - number
                              : this->sequence_base + 1;
    found->second.next_send = TimePoint();
  } else if (result.expected_sequence <= this->sequence_base + number) {
    // The append arrived before its predecessor.
    this->runtime.metrics.Add("appends_overtaken_total");
    found->second.next_send = TimePoint();
  } else {
    // The store holds more appends of this epoch than this leader has sent.
    LogEvent(Event::kProgressSequence,
             {{"sent", std::to_string(this->sequence_base + number)},
              {"answer", reply.body}});
    this->is_fenced = true;
  }
}

auto Leader::RemoveEndedSpecifications(TimePoint now) -> void {
  const bool is_due =
      !this->ended_jobs.empty() && this->ended_jobs.front().first <= now;
  if (!is_due || now < this->next_removal) {
    return;
  }
  this->next_removal = now + kRemovalInterval;
  adapter::AppendRequest request;
  request.topic = kJobsTopic;
  std::vector<JobId> removed;
  while (!this->ended_jobs.empty() && this->ended_jobs.front().first <= now &&
         removed.size() < kMaxRemovals) {
    removed.push_back(std::move(this->ended_jobs.front().second));
    this->ended_jobs.pop_front();
    request.records.push_back({removed.back().Text(), std::nullopt});
  }
  this->store.Send(
      adapter::MakeAppendCall(this->runtime.host.store, request),
      [this, removed = std::move(removed),
       weak = std::weak_ptr(this->lifetime)](const http::Reply& reply) {
        if (weak.expired() || reply.IsSuccess()) {
          return;
        }
        this->runtime.metrics.Add("removals_failed_total");
        for (const auto& job : removed) {
          this->ended_jobs.emplace_back(
              this->runtime.clock.Now() + kRemovalDelay, job);
        }
      });
}

auto Leader::DeleteExpiredJobs(const View& view, TimePoint now) -> void {
  if (now < this->next_deletion) {
    return;
  }
  this->next_deletion = now + kDeletionInterval;
  const auto limit =
      now - this->runtime.host.state_retention - kRetentionMargin;
  const auto ended = view.jobs.EndedBefore(limit, kMaxDeletions);
  if (ended.empty()) {
    return;
  }
  adapter::AppendRequest jobs;
  jobs.topic = kJobsTopic;
  for (const auto& id : ended) {
    jobs.records.push_back({JobTable::CancelKey(id), std::nullopt});
    jobs.records.push_back({id.Text(), std::nullopt});
  }
  adapter::AppendRequest progress;
  progress.topic = kProgressTopic;
  for (const auto& id : ended) {
    progress.records.push_back({id.Text(), std::nullopt});
  }
  auto& gateway = this->store;
  const auto& address = this->runtime.host.store;
  // Progress is deleted last: without it, a job would look as if it had not
  // started.
  gateway.Send(adapter::MakeAppendCall(address, jobs),
               [&gateway, &address, progress](const http::Reply& reply) {
                 if (reply.IsSuccess()) {
                   gateway.Send(adapter::MakeAppendCall(address, progress),
                                [](const http::Reply&) {});
                 }
               });
}

}  // namespace shallotbank::cell
