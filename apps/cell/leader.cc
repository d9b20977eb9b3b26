#include "leader.h"

#include <algorithm>

#include "adapter/store_calls.h"
#include "adapter/worker_calls.h"
#include "base/log.h"
#include "cell/records.h"
#include "topics.h"

namespace shallotbank::cell {
namespace {

/// An order without an answer is sent again after this time. Above the slowest
/// healthy answer, well below what callers wait for.
constexpr std::chrono::milliseconds kOrderTimeout(400);
/// Beyond the time that a look waits on the worker.
constexpr std::chrono::milliseconds kHoldMargin(500);
/// Beyond the time that a question should take: its way there and back, and one
/// lost packet.
constexpr std::chrono::milliseconds kAdviceMargin(400);
/// One for the look that waits, the others for orders. Workers take 64 in all,
/// which leaves room for those of former leaders that nobody has closed.
constexpr long kConnectionsPerWorker = 4;
constexpr std::chrono::milliseconds kAppendRetry(50);
/// Above what a slow store takes.
constexpr std::chrono::milliseconds kAppendTimeout(2300);
/// Lease that running work is given. A successor reckons with the same, so a
/// release that changes it must not run beside one that does not. Long enough
/// for another host to take over, short enough to free the work of a lost
/// worker soon.
constexpr Milliseconds kLease(6000);
/// Records of ended jobs are kept this much longer than states must be shown.
constexpr std::chrono::seconds kRetentionMargin(60);
constexpr std::chrono::seconds kDropInterval(5);
constexpr std::size_t kMostDropped = 200;
/// One line of the log each; enough to see a backlog grow.
constexpr std::chrono::seconds kReportInterval(1);

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
    case OrderOutcome::kOtherLife:
      return metrics.Add("starts_refused_total", "other_life");
    case OrderOutcome::kUnhealthy:
      return metrics.Add("starts_refused_total", "unhealthy");
    case OrderOutcome::kNoAnswer:
      return metrics.Add("starts_refused_total", "no_answer");
  }
}

}  // namespace

Leader::Leader(Runtime& runtime,
               StoreGateway& store,
               PeerDirectory& peers,
               Epoch epoch,
               TimePoint former_authority_end,
               OnProgress on_progress)
    : runtime(runtime),
      store(store),
      peers(peers),
      epoch(epoch),
      former_authority_end(former_authority_end),
      on_progress(std::move(on_progress)),
      alive(std::make_shared<bool>(true)),
      workers_client({.max_connections_per_host = kConnectionsPerWorker}) {}

Leader::~Leader() = default;

auto Leader::IsFenced() const -> bool {
  return this->is_fenced ||
         (this->scheduler != nullptr && this->scheduler->IsFenced());
}

auto Leader::TakeOver() -> void {
  adapter::AppendRequest request;
  request.topic = kProgressTopic;
  request.stamp = {kProgressProducer, this->epoch, 0};
  request.timeout = kAppendTimeout;
  this->is_append_open = true;
  this->store.Send(
      adapter::AppendCall(this->runtime.host.store, request),
      [this, weak = std::weak_ptr(this->alive)](const http::Reply& reply) {
        if (weak.expired()) {
          return;
        }
        this->is_append_open = false;
        using Outcome = adapter::AppendResult::Outcome;
        const auto result = adapter::ReadAppend(reply);
        if (result.outcome == Outcome::kStored ||
            result.outcome == Outcome::kSequence) {
          this->first_own_offset = result.end;
          this->taken_over_at = this->runtime.clock.Now();
        } else if (result.outcome == Outcome::kFenced) {
          this->is_fenced = true;
        }
        this->next_append = this->runtime.clock.Now() + kAppendRetry;
      });
}

auto Leader::Begin(const View& view) -> void {
  SchedulerOptions options;
  options.fence = this->epoch;
  options.lease = std::min(kLease, this->runtime.host.longest_lease);
  options.former_authority_end = this->former_authority_end;
  const auto now = this->runtime.clock.Now();
  this->scheduler = std::make_unique<Scheduler>(options, now);
  this->scheduler->OnConfiguration(view.configuration.cell);
  for (const auto& worker : view.workers) {
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
  if (job.spec_bytes.empty() || IsFinal(job.State())) {
    return;
  }
  auto spec = DecodeJob(job.spec_bytes);
  JobProgress progress;
  if (!job.progress_bytes.empty()) {
    auto read = DecodeProgress(job.progress_bytes);
    if (!read) {
      LogEvent(Event::kLogRecordInvalid, {{"job", id.Text()}});
      return;
    }
    progress = std::move(*read);
  }
  if (!spec) {
    LogEvent(Event::kLogRecordInvalid, {{"job", id.Text()}});
    return;
  }
  const auto now = this->runtime.clock.Now();
  this->scheduler->OnJob(std::move(*spec), progress, job.accepted_at, now);
  if (job.is_cancel_asked) {
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
    if (job.is_cancel_asked) {
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

auto Leader::Tick(const View& view, Offset progress_position, bool may_renew)
    -> void {
  const auto now = this->runtime.clock.Now();
  if (!this->first_own_offset) {
    if (!this->is_append_open && now >= this->next_append) {
      this->TakeOver();
    }
    return;
  }
  if (!this->scheduler) {
    if (progress_position < *this->first_own_offset) {
      return;
    }
    // The runs of a job that is not known yet would be stopped, and their ends
    // ignored.
    if (view.jobs.HasProgressOfUnknownJobs() &&
        view.jobs_read_to_end <= this->taken_over_at) {
      return;
    }
    this->Begin(view);
  }
  this->advisors = this->peers.Reachable(now);
  this->advisors.insert(this->advisors.begin(), "");
  this->scheduler->SetAdvisors(this->advisors.size());
  this->Carry(this->scheduler->Decide(now, std::chrono::system_clock::now(),
                                      may_renew));
  this->SendBatches();
  this->DropOldJobs(view, now);
  this->ReportState(now);
}

auto Leader::ReportState(TimePoint now) -> void {
  if (now < this->next_report) {
    return;
  }
  this->next_report = now + kReportInterval;
  const auto counts = this->scheduler->Count();
  auto& metrics = this->runtime.metrics;
  metrics.Set("cell_jobs", static_cast<double>(counts.jobs));
  metrics.Set("cell_waiting_tasks", static_cast<double>(counts.waiting_tasks));
  metrics.Set("cell_cores_capacity",
              static_cast<double>(counts.cores_capacity));
  metrics.Set("cell_cores_used", static_cast<double>(counts.cores_used));
  metrics.Set("cell_advice_queries_open",
              static_cast<double>(counts.advice_queries));
  LogEvent(Event::kSchedulerState,
           {{"epoch", std::to_string(this->epoch)},
            {"jobs", std::to_string(counts.jobs)},
            {"waiting_tasks", std::to_string(counts.waiting_tasks)},
            {"assigned_tasks", std::to_string(counts.assigned_tasks)},
            {"workers", std::to_string(counts.attached_workers)},
            {"cores", std::to_string(counts.cores_capacity)},
            {"cores_used", std::to_string(counts.cores_used)},
            {"advice_open", std::to_string(counts.advice_queries)},
            {"advisors", std::to_string(this->advisors.size())}});
}

auto Leader::Carry(Decisions decisions) -> void {
  for (const auto& note : decisions.notes) {
    LogEvent(note.event, note.fields);
  }
  for (auto& order : decisions.starts) {
    this->SendStart(std::move(order));
  }
  for (auto& order : decisions.stops) {
    this->SendStop(std::move(order));
  }
  for (auto& order : decisions.holds) {
    this->SendHold(std::move(order));
  }
  for (auto& query : decisions.advice) {
    this->SendAdvice(std::move(query));
  }
  if (decisions.batch) {
    Outgoing next;
    next.batch = std::move(*decisions.batch);
    next.since = this->runtime.clock.Now();
    this->outgoing.emplace(this->next_number++, std::move(next));
  }
}

auto Leader::SendOrder(http::Call call, StoreGateway::Done done) -> void {
  auto& loop = this->runtime.loop;
  this->workers_client.Send(
      std::move(call), [&loop, done = std::move(done)](http::Reply reply) {
        loop.PostAndWait([done, reply = std::move(reply)] { done(reply); });
      });
}

auto Leader::SendStart(StartOrder order) -> void {
  this->runtime.metrics.Add("orders_total", "start");
  auto call = adapter::StartCall(order, kOrderTimeout);
  this->SendOrder(std::move(call), [this, weak = std::weak_ptr(this->alive),
                                    order = std::move(order)](
                                       const http::Reply& reply) {
    if (weak.expired()) {
      return;
    }
    const auto result = adapter::ReadOrderReply(reply);
    if (result.outcome != OrderOutcome::kDone) {
      CountRefusedStart(this->runtime.metrics, result.outcome);
      LogEvent(Event::kStartRefused, {{"task", order.task.Text()},
                                      {"run", std::to_string(order.run)},
                                      {"worker", order.target.worker.Text()},
                                      {"status", std::to_string(reply.status)},
                                      {"answer", reply.body + reply.error}});
    }
    this->scheduler->OnStartReply(order, result, this->runtime.clock.Now());
  });
}

auto Leader::SendStop(StopOrder order) -> void {
  this->runtime.metrics.Add("orders_total", "stop");
  auto call = adapter::StopCall(order, kOrderTimeout);
  this->SendOrder(
      std::move(call), [this, weak = std::weak_ptr(this->alive),
                        order = std::move(order)](const http::Reply& reply) {
        if (!weak.expired()) {
          this->scheduler->OnStopReply(order, adapter::ReadOrderReply(reply),
                                       this->runtime.clock.Now());
        }
      });
}

auto Leader::SendHold(HoldOrder order) -> void {
  this->runtime.metrics.Add("orders_total", "hold");
  auto call = adapter::HoldCall(order, kHoldMargin);
  this->SendOrder(
      std::move(call),
      [this, weak = std::weak_ptr(this->alive), order = std::move(order),
       sent = this->runtime.clock.Now()](const http::Reply& reply) {
        if (!weak.expired()) {
          this->scheduler->OnHoldReply(order, adapter::ReadHoldReply(reply),
                                       sent, this->runtime.clock.Now());
        }
      });
}

auto Leader::SendAdvice(AdviceQuery query) -> void {
  this->runtime.metrics.Add("advice_queries_total");
  auto call = adapter::AdviceCall(this->runtime.host.advice, query,
                                  std::chrono::ceil<std::chrono::milliseconds>(
                                      query.expected + kAdviceMargin));
  const auto advisor = query.advisor < this->advisors.size()
                           ? this->advisors[query.advisor]
                           : std::string();
  auto done = [this, weak = std::weak_ptr(this->alive),
               query = std::move(query)](const http::Reply& reply) {
    if (!weak.expired()) {
      this->scheduler->OnAdvice(query, adapter::ReadAdvice(reply),
                                this->runtime.clock.Now());
    }
  };
  if (advisor.empty()) {
    this->store.SendDirect(std::move(call), std::move(done));
  } else {
    this->store.SendThrough(advisor, std::move(call), std::move(done));
  }
}

auto Leader::SendBatches() -> void {
  const auto now = this->runtime.clock.Now();
  for (auto& [number, one] : this->outgoing) {
    // The first append of an epoch settles the sequence of the others.
    const bool may_send =
        this->is_sequence_settled || number == this->outgoing.begin()->first;
    if (may_send && !one.is_open && now >= one.next_send) {
      one.is_open = true;
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
  for (const auto& [job, bytes] : this->outgoing[number].batch.records) {
    request.records.push_back({job.Text(), bytes});
  }
  this->store.Send(adapter::AppendCall(this->runtime.host.store, request),
                   [this, number, weak = std::weak_ptr(this->alive)](
                       const http::Reply& reply) {
                     if (!weak.expired()) {
                       this->OnBatchReply(number, reply);
                     }
                   });
}

auto Leader::TellProgress(std::uint64_t number, Offset offset) -> void {
  const auto found = this->outgoing.find(number);
  if (found == this->outgoing.end()) {
    return;  // Known to be stored by a later one; the others read it.
  }
  std::vector<ProgressNews> news;
  for (const auto& [job, bytes] : found->second.batch.records) {
    news.push_back({job.Text(), bytes, offset + news.size()});
  }
  this->on_progress(news);
}

auto Leader::OnBatchStored(std::uint64_t number) -> void {
  const auto now = this->runtime.clock.Now();
  this->is_sequence_settled = true;
  // The store takes sequences without gaps, so those before are stored, too.
  while (!this->outgoing.empty() && this->outgoing.begin()->first <= number) {
    const auto first = this->outgoing.begin();
    this->runtime.metrics.Observe("progress_append_seconds",
                                  now - first->second.since);
    this->scheduler->OnStored(first->second.batch.sequence, now);
    this->outgoing.erase(first);
  }
}

auto Leader::OnBatchReply(std::uint64_t number, const http::Reply& reply)
    -> void {
  using Outcome = adapter::AppendResult::Outcome;
  const auto found = this->outgoing.find(number);
  const auto result = adapter::ReadAppend(reply);
  if (result.outcome == Outcome::kStored) {
    this->TellProgress(number, result.offset);
    this->OnBatchStored(number);
    return;
  }
  if (found == this->outgoing.end()) {
    return;  // A later one was stored meanwhile, so this one was before.
  }
  found->second.is_open = false;
  found->second.next_send = this->runtime.clock.Now() + kAppendRetry;
  if (result.outcome == Outcome::kFenced) {
    this->is_fenced = true;
    return;
  }
  if (result.outcome != Outcome::kSequence) {
    return;
  }
  if (!this->is_sequence_settled) {
    // What the append that took over counted as.
    this->sequence_base = result.expected_sequence > 0
                              ? result.expected_sequence - number
                              : this->sequence_base + 1;
    found->second.next_send = TimePoint();
  } else if (result.expected_sequence <= this->sequence_base + number) {
    // It overtook the one before it.
    this->runtime.metrics.Add("appends_overtaken_total");
    found->second.next_send = TimePoint();
  } else {
    // More is stored under our epoch than we have sent.
    LogEvent(Event::kProgressSequence,
             {{"sent", std::to_string(this->sequence_base + number)},
              {"answer", reply.body}});
    this->is_fenced = true;
  }
}

auto Leader::DropOldJobs(const View& view, TimePoint now) -> void {
  if (now < this->next_drop) {
    return;
  }
  this->next_drop = now + kDropInterval;
  const auto limit =
      now - this->runtime.host.state_retention - kRetentionMargin;
  const auto ended = view.jobs.EndedBefore(limit, kMostDropped);
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
  // Progress goes last: a job without its progress would look unbegun.
  gateway.Send(adapter::AppendCall(address, jobs),
               [&gateway, &address, progress](const http::Reply& reply) {
                 if (reply.IsSuccess()) {
                   gateway.Send(adapter::AppendCall(address, progress),
                                [](const http::Reply&) {});
                 }
               });
}

}  // namespace shallotbank::cell
