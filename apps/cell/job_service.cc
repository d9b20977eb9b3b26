#include "job_service.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "base/log.h"
#include "cell/records.h"

namespace shallotbank::cell {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;

/// Used for requests without a deadline.
constexpr std::chrono::milliseconds kDefaultDeadline(3000);
/// Reserved for sending the response to the caller.
constexpr std::chrono::milliseconds kResponseMargin(150);
/// The waiting jobs are counted only if the jobs topic was read to its end
/// within this time. A query for an unknown job is refused without it, as the
/// next read may not come soon.
constexpr std::chrono::milliseconds kMaxViewAge(1500);
/// A job is reported as unknown only if the progress topic, from which ended
/// jobs are known, was read to its end within this time.
constexpr std::chrono::milliseconds kMaxProgressAge(2500);
/// Jobs are accepted and cancelled only if the configuration was read to its
/// end within this time, since a key may have been withdrawn meanwhile.
constexpr std::chrono::milliseconds kMaxConfigurationAge(4000);
/// Sent with every 503, such as that of a host that cannot reach the store.
constexpr const char* kRetryAfterSeconds = "1";

}  // namespace

JobService::JobService(Runtime& runtime,
                       StoreGateway& store,
                       RecordWriter& writer,
                       View view,
                       OnJobsWanted on_jobs_wanted)
    : runtime(runtime),
      store(store),
      writer(writer),
      view(view),
      on_jobs_wanted(std::move(on_jobs_wanted)) {}

auto JobService::Refuse(const Context& context,
                        int status,
                        const std::string& reason,
                        const std::string& message) -> void {
  this->runtime.metrics.Add("refusals_total", reason);
  LogEvent(Event::kRequestRefused,
           {{"job", context.id.Text()},
            {"status", std::to_string(status)},
            {"reason", reason},
            {"configuration",
             std::to_string(this->view.configuration.cell.version)}});
  http::Response response;
  response.status = status;
  response.headers = {{"Content-Type", "application/json"}};
  if (status == kUnavailable) {
    response.headers.push_back({"Retry-After", kRetryAfterSeconds});
  }
  response.body =
      nlohmann::json{{"error", {{"reason", reason}, {"message", message}}}}
          .dump();
  context.responder->Send(std::move(response));
}

auto JobService::RefuseAsStale(const Context& context) -> void {
  this->Refuse(context, kUnavailable, "stale-view",
               "the store could not be read lately");
}

auto JobService::RefuseForStaleConfiguration(const Context& context) -> void {
  this->Refuse(context, kUnavailable, "stale-configuration",
               "the configuration could not be read lately");
}

auto JobService::RefuseAsUnknown(const Context& context,
                                 int status,
                                 const std::string& reason,
                                 const std::string& message) -> void {
  if (this->IsConfigurationFresh()) {
    this->Refuse(context, status, reason, message);
  } else {
    this->RefuseForStaleConfiguration(context);
  }
}

auto JobService::IsJobViewFresh() const -> bool {
  return this->jobs_read.as_of != TimePoint() &&
         this->runtime.clock.Now() - this->jobs_read.as_of < kMaxViewAge;
}

auto JobService::IsConfigurationFresh() const -> bool {
  return this->runtime.clock.Now() - this->configuration_caught_up_at <
         kMaxConfigurationAge;
}

auto JobService::CanDecideUnknownJob() const -> bool {
  const bool knows_ended_jobs =
      this->progress_read.as_of != TimePoint() &&
      this->runtime.clock.Now() - this->progress_read.as_of < kMaxProgressAge;
  return this->IsJobViewFresh() && knows_ended_jobs;
}

auto JobService::IsUnknownJob(const Context& context) const -> bool {
  return this->CanDecideUnknownJob() &&
         this->jobs_read.as_of >= context.arrived &&
         !this->view.jobs.IsIncomplete(context.id);
}

auto JobService::GetWriteDeadline(const Context& context) const -> TimePoint {
  const Duration caller_deadline =
      context.headers.deadline.value_or(kDefaultDeadline);
  return context.arrived + caller_deadline - kResponseMargin;
}

auto JobService::Handle(const http::Request& request, http::Responder responder)
    -> void {
  Context context;
  context.headers = adapter::ReadCallerHeaders(request);
  context.responder = std::make_shared<http::Responder>(std::move(responder));
  context.arrived = this->runtime.clock.Now();
  if (!this->view.is_configured) {
    this->Refuse(context, kUnavailable, "no-configuration",
                 "no configuration has been read yet");
    return;
  }
  const auto& access = this->view.configuration.access;
  const auto match = access.Match(context.headers.host, request.path);
  if (!match) {
    this->RefuseAsUnknown(context, kNotFound, "unknown-route", "no such queue");
    return;
  }
  context.queue = match->route->queue;
  context.id = JobId(match->rest);
  if (!match->route->is_open) {
    const auto owner = access.FindOwner(context.headers.key);
    if (!owner) {
      this->RefuseAsUnknown(context, kUnauthorized, "unknown-key",
                            "unknown key");
      return;
    }
    context.organisation = *owner;
  }
  if (match->rest.empty() && request.method == "GET") {
    this->SendWaitingCount(context);
    return;
  }
  if (!adapter::IsJobId(match->rest)) {
    this->RefuseAsUnknown(context, kNotFound, "malformed-id",
                          "a job id is 16 hexadecimal digits");
    return;
  }
  const auto* known = this->view.jobs.Find(context.id);
  if (known != nullptr && known->organisation != context.organisation &&
      !match->route->is_open) {
    this->RefuseAsUnknown(context, kForbidden, "other-organisation",
                          "the job belongs to another organisation");
    return;
  }
  const bool may_change_jobs =
      request.method == "POST" || request.method == "DELETE";
  if (may_change_jobs && !this->IsConfigurationFresh()) {
    this->RefuseForStaleConfiguration(context);
    return;
  }
  if (request.method == "POST") {
    this->Submit(context, request.body);
  } else if (request.method == "DELETE") {
    this->Cancel(context);
  } else if (request.method == "GET") {
    this->QueryState(context);
  } else {
    this->Refuse(context, kMethodNotAllowed, "method", "unknown method");
  }
}

auto JobService::Submit(const Context& context, const std::string& body)
    -> void {
  if (this->view.jobs.Find(context.id) != nullptr) {
    context.responder->Send({kOk, {}, ""});
    return;
  }
  auto parsed = adapter::ParseJob(body);
  if (const auto* error = std::get_if<adapter::JobParseError>(&parsed)) {
    this->Refuse(context, kBadRequest, "malformed-job",
                 error->field + ": " + error->message);
    return;
  }
  auto& job = std::get<JobSpec>(parsed);
  job.id = context.id;
  job.queue = context.queue;
  job.organisation = context.organisation;
  job.submitted_at = std::chrono::system_clock::now();
  auto record = adapter::KeyedRecord{job.id.Text(), EncodeJob(job)};
  if (record.value->size() > this->runtime.host.max_record_bytes / 2) {
    this->Refuse(context, kBadRequest, "job-too-large", "the job is too large");
    return;
  }
  this->Write(context, std::move(record));
}

auto JobService::Cancel(const Context& context) -> void {
  const auto* known = this->view.jobs.Find(context.id);
  if (known == nullptr && this->IsJobViewFresh()) {
    // Another host may have accepted the job just now, so the cancellation is
    // stored.
    this->runtime.metrics.Add("cancels_of_unknown_jobs_total");
  } else if (known != nullptr &&
             (known->is_cancel_requested || IsFinal(known->State()))) {
    context.responder->Send({kOk, {}, ""});
    return;
  }
  auto record =
      adapter::KeyedRecord{JobTable::CancelKey(context.id), std::string("1")};
  this->Write(context, std::move(record));
}

auto JobService::QueryState(const Context& context) -> void {
  const auto* known = this->view.jobs.Find(context.id);
  const bool may_change =
      known != nullptr ? !IsFinal(known->State()) : this->CanDecideUnknownJob();
  if (may_change && !this->is_stopping) {
    const auto patience =
        context.headers.deadline.value_or(kDefaultDeadline) - kResponseMargin;
    auto waiting = context;
    if (this->state_queries.Add(context.id, patience, context.arrived,
                                std::move(waiting))) {
      if (known == nullptr) {
        this->on_jobs_wanted();
      }
      return;
    }
  }
  this->SendState(context);
}

auto JobService::Tick(TimePoint now) -> void {
  for (const auto& [job, context] : this->state_queries.TakeDue(
           this->view.jobs, this->jobs_read.as_of, now)) {
    this->SendState(context);
  }
}

auto JobService::BeginStop() -> void {
  this->is_stopping = true;
  this->state_queries.Expire();
}

auto JobService::SendState(const Context& context) -> void {
  const auto* known = this->view.jobs.Find(context.id);
  if (known == nullptr) {
    if (this->IsUnknownJob(context)) {
      this->ReportDenial(context);
      this->Refuse(context, kGone, "unknown-job", "no such job");
    } else {
      this->RefuseAsStale(context);
    }
    return;
  }
  context.responder->Send({kOk,
                           {{"Content-Type", "application/json"}},
                           adapter::MakeStateBody(known->State())});
}

auto JobService::ReportDenial(const Context& context) const -> void {
  const auto now = this->runtime.clock.Now();
  LogEvent(
      Event::kJobDenied,
      {{"job", context.id.Text()},
       {"waited_ms", MillisecondsText(now - context.arrived)},
       {"jobs_end", std::to_string(this->jobs_read.end)},
       {"jobs_age_ms", MillisecondsText(now - this->jobs_read.as_of)},
       {"jobs_source", std::string(ToText(this->jobs_read.source))},
       {"progress_end", std::to_string(this->progress_read.end)},
       {"progress_age_ms", MillisecondsText(now - this->progress_read.as_of)},
       {"progress_source", std::string(ToText(this->progress_read.source))}});
}

auto JobService::SendWaitingCount(const Context& context) -> void {
  if (!this->IsJobViewFresh()) {
    this->RefuseAsStale(context);
    return;
  }
  const auto waiting = this->view.jobs.CountWaiting(context.queue);
  context.responder->Send({kOk,
                           {{"Content-Type", "application/json"}},
                           adapter::MakeWaitingBody(waiting)});
}

auto JobService::Write(const Context& context, adapter::KeyedRecord record)
    -> void {
  if (!this->store.IsStoreReachable(this->runtime.clock.Now())) {
    this->Refuse(context, kUnavailable, "store-unreachable",
                 "the store cannot be reached");
    return;
  }
  const auto deadline = this->GetWriteDeadline(context);
  this->writer.Write(
      std::move(record), deadline,
      [this, context](Verdict verdict) { this->OnWritten(context, verdict); });
}

auto JobService::OnWritten(const Context& context, Verdict verdict) -> void {
  const auto took = this->runtime.clock.Now() - context.arrived;
  this->runtime.metrics.Observe("accept_seconds", took);
  switch (verdict) {
    case Verdict::kRan:
      LogEvent(
          Event::kJobAccepted,
          {{"job", context.id.Text()},
           {"queue", context.queue.Text()},
           {"took_ms",
            std::to_string(
                std::chrono::floor<std::chrono::milliseconds>(took).count())}});
      context.responder->Send({kOk, {}, ""});
      return;
    case Verdict::kNotRun:
      this->Refuse(context, kUnavailable, "store-refused",
                   "the store refused the record; nothing was stored");
      return;
    case Verdict::kMayHaveRun:
      this->Refuse(context, kTimeout, "store-silent",
                   "the store did not answer; the record may be stored");
      return;
  }
}

}  // namespace shallotbank::cell
