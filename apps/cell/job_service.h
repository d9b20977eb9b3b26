#pragma once

#include <functional>
#include <memory>
#include <string>

#include "adapter/ingress.h"
#include "adapter/operator_documents.h"
#include "cell/job_table.h"
#include "cell/state_queries.h"
#include "http/responder.h"
#include "read_point.h"
#include "record_writer.h"
#include "runtime.h"

namespace shallotbank::cell {

/// Serves callers: accepts and cancels jobs and reports their state. A job is
/// accepted once its record is stored.
class JobService {
 public:
  /// State that the service reads and the daemon keeps up to date.
  struct View {
    const JobTable& jobs;
    const adapter::OperatorConfiguration& configuration;
    const bool& is_configured;
  };
  /// Called if an answer waits for the next read of the topic of jobs.
  using OnJobsWanted = std::function<void()>;

  JobService(Runtime& runtime,
             StoreGateway& store,
             RecordWriter& writer,
             View view,
             OnJobsWanted on_jobs_wanted);

  auto Handle(const http::Request& request, http::Responder responder) -> void;
  /// Sets how far the topic of jobs has been read.
  auto SetJobsRead(const ReadPoint& point) -> void { this->jobs_read = point; }
  /// The same for the topic of progress.
  auto SetProgressRead(const ReadPoint& point) -> void {
    this->progress_read = point;
  }
  /// Sets when a read of the configuration last reached its end.
  auto SetConfigurationCaughtUpAt(TimePoint at) -> void {
    this->configuration_caught_up_at = at;
  }
  /// Answers the state queries that are due; called every few milliseconds.
  auto Tick(TimePoint now) -> void;
  /// Answers state queries without delay from now on.
  auto BeginStop() -> void;

 private:
  struct Context {
    adapter::CallerHeaders headers;
    JobId id;
    QueueName queue;
    OrganisationId organisation;
    std::shared_ptr<http::Responder> responder;
    TimePoint arrived;
  };

  auto Refuse(const Context& context,
              int status,
              const std::string& reason,
              const std::string& message) -> void;
  auto RefuseForStaleConfiguration(const Context& context) -> void;
  /// Refuses a request for a route or key that is not in the configuration;
  /// without the reason if a newer one may have it.
  auto RefuseAsUnknown(const Context& context,
                       int status,
                       const std::string& reason,
                       const std::string& message) -> void;
  auto RefuseAsStale(const Context& context) -> void;
  auto Submit(const Context& context, const std::string& body) -> void;
  auto Cancel(const Context& context) -> void;
  auto QueryState(const Context& context) -> void;
  auto SendState(const Context& context) -> void;
  auto SendWaitingCount(const Context& context) -> void;
  auto Write(const Context& context, adapter::KeyedRecord record) -> void;
  auto OnWritten(const Context& context, Verdict verdict) -> void;
  auto GetWriteDeadline(const Context& context) const -> TimePoint;
  /// Logs what the host had read when it answered that a job does not exist.
  auto ReportDenial(const Context& context) const -> void;
  auto IsJobViewFresh() const -> bool;
  /// Whether keys and routes are known as of some seconds ago.
  auto IsConfigurationFresh() const -> bool;
  /// Whether this host may soon know if a job exists that it does not know.
  auto CanDecideUnknownJob() const -> bool;
  /// Whether the job, which this host does not know, does not exist.
  auto IsUnknownJob(const Context& context) const -> bool;

  Runtime& runtime;
  StoreGateway& store;
  RecordWriter& writer;
  View view;
  const OnJobsWanted on_jobs_wanted;
  StateQueries<Context> state_queries;
  bool is_stopping = false;
  ReadPoint jobs_read;
  ReadPoint progress_read;
  TimePoint configuration_caught_up_at;
};

}  // namespace shallotbank::cell
