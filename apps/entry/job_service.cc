#include "job_service.h"

#include <algorithm>
#include <utility>

#include "daemon/job_view.h"
#include "journal/claim_table.h"
#include "json/parse.h"

namespace shallotbank::entry {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kUnprocessable = 422;
constexpr std::chrono::seconds kSubmitTimeout{5};
constexpr std::chrono::milliseconds kOwnerTimeout{800};
constexpr std::chrono::milliseconds kMaxReadWait{1000};
constexpr std::size_t kMaxListedJobs = 200;
constexpr std::int64_t kMaxExpectedRunMs = 30LL * 24 * 3600 * 1000;

auto Error(int status,
           std::string reason,
           std::string field,
           std::string message) -> leaf::error_id {
  return leaf::new_error(
      ApiError{status, Refusal{Verdict::kNotRun, std::move(reason),
                               std::move(field), std::move(message)}});
}

// The optional fields of a submission; the profile provides their defaults.
struct Submission {
  std::int64_t tasks = 0;
  std::optional<std::chrono::milliseconds> expected_run;
};

auto ParseCount(const json& value,
                const std::string& field,
                std::int64_t maximum) -> leaf::result<std::int64_t> {
  if (!value.is_number_integer() || value.get<std::int64_t>() < 1 ||
      value.get<std::int64_t>() > maximum) {
    return Error(400, "invalid_field", field,
                 "must be a whole number from 1 to " + std::to_string(maximum));
  }
  return value.get<std::int64_t>();
}

auto ParseSubmission(const std::string& body,
                     const configuration::Profile& profile)
    -> leaf::result<Submission> {
  Submission submission;
  submission.tasks = profile.tasks;
  submission.expected_run = profile.expected_run;
  if (body.empty()) {
    return submission;
  }
  const auto document = shallotbank::json::Parse(body);
  if (!document.is_object()) {
    return Error(400, "malformed_body", "", "the body must be a JSON object");
  }
  for (const auto& [field, value] : document.items()) {
    if (field == "tasks") {
      BOOST_LEAF_ASSIGN(submission.tasks,
                        ParseCount(value, field, profile.max_tasks));
    } else if (field == "expected_run_ms") {
      BOOST_LEAF_AUTO(expected_run_ms,
                      ParseCount(value, field, kMaxExpectedRunMs));
      submission.expected_run = std::chrono::milliseconds(expected_run_ms);
    } else {
      return Error(400, "unknown_field", field, "there is no such field");
    }
  }
  return submission;
}

}  // namespace

auto JobService::Submit(ApiCall call) -> void {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(caller, this->authorization.CheckProfile(call));
        BOOST_LEAF_AUTO(spec, this->MakeSpec(call, caller));
        const auto* existing_job = this->context.log.State()->Jobs().FindByKey(
            spec.team, spec.idempotency_key);
        if (!spec.idempotency_key.empty() && existing_job != nullptr) {
          if (existing_job->spec.profile != spec.profile ||
              existing_job->spec.tasks != spec.tasks) {
            return Error(kUnprocessable, "idempotency_key_reused",
                         header::kIdempotencyKey,
                         "the idempotency key belongs to another job");
          }
          Reply(this->context, call, kAccepted,
                {{"job", existing_job->spec.id.Text()}, {"repeated", true}});
          return {};
        }
        BOOST_LEAF_CHECK(this->CheckFeasible(spec));
        BOOST_LEAF_CHECK(this->authorization.CheckLogAvailable());
        this->AppendJob(std::make_shared<ApiCall>(std::move(call)),
                        std::move(spec));
        return {};
      },
      [&](const ApiError& error) {
        Refuse(this->context, call, error.status, error.refusal);
      },
      [&] { Refuse(this->context, call, 500, {.reason = "internal_error"}); });
}

auto JobService::MakeSpec(const ApiCall& call, const Caller& caller)
    -> leaf::result<journal::JobSpec> {
  const auto& profile = *caller.profile;
  if (profile.job_class == configuration::JobClass::kRequest) {
    return Error(kUnprocessable, "profile_not_for_jobs", header::kProfile,
                 "the profile is for requests to minions; use /v1/requests");
  }
  BOOST_LEAF_AUTO(submission, ParseSubmission(call.request.body, profile));
  const auto& policy =
      this->context.log.State()->Configuration().Get().GetPolicy();
  journal::JobSpec spec;
  spec.id = JobId(this->context.process.Text() + "-" +
                  std::to_string(this->next_job++));
  spec.team = caller.team;
  spec.profile = profile.name;
  spec.queue = profile.queue;
  spec.shard = configuration::ShardAt(
      static_cast<std::int64_t>(this->next_job) % policy.shards);
  spec.job_class = profile.job_class;
  spec.priority = profile.priority;
  spec.idempotent = profile.idempotent;
  spec.single_run = profile.single_run;
  spec.allow = profile.allow;
  spec.need = profile.need;
  spec.tasks = submission.tasks;
  spec.attempts = profile.attempts;
  spec.lease = profile.lease;
  spec.patience = profile.patience;
  spec.expected_run = submission.expected_run;
  spec.idempotency_key = call.Header(header::kIdempotencyKey);
  return spec;
}

// Rejects a job that can never run: no worker is large enough, or it needs more
// at the same time than the limit of its team.
auto JobService::CheckFeasible(const journal::JobSpec& spec)
    -> leaf::result<void> {
  const auto* team =
      this->context.log.State()->Configuration().Get().FindTeam(spec.team);
  if (team == nullptr) {
    return Error(kUnprocessable, "unknown_team", header::kTeam,
                 "there is no such team");
  }
  const auto concurrent_tasks =
      spec.job_class == configuration::JobClass::kGang ? spec.tasks : 1;
  if (!Times(spec.need, concurrent_tasks).FitsIn(team->limit.resources) ||
      concurrent_tasks > team->limit.tasks) {
    return Error(
        kUnprocessable, "exceeds_team_limit", "tasks",
        "the job needs more at the same time than the limit of its team");
  }
  const auto& hosts = this->context.hosts.Table().Hosts();
  const bool is_known = !hosts.empty();
  const bool fits_any_worker =
      std::any_of(hosts.begin(), hosts.end(), [&](const auto& entry) {
        return entry.second.role == platform::HostRole::kWorker &&
               spec.need.FitsIn(entry.second.capacity);
      });
  if (is_known && !fits_any_worker) {
    return Error(
        kUnprocessable, "larger_than_any_worker", header::kProfile,
        "a task of this profile needs more resources than any worker has");
  }
  return {};
}

auto JobService::AppendJob(const std::shared_ptr<ApiCall>& call,
                           journal::JobSpec spec) -> void {
  const auto id = spec.id;
  const auto team = spec.team;
  const auto key = spec.idempotency_key;
  this->context.log.Append(
      {journal::JobAccepted{std::move(spec)}},
      call->received_at + kSubmitTimeout,
      [this, call, id, team, key](const daemon::RecordedResult& result) {
        if (result.verdict != Verdict::kRan) {
          auto refusal = LogRefusal(result);
          Refuse(this->context, *call, StatusOf(result.verdict), refusal);
          return;
        }
        const bool is_valid =
            result.outcomes.empty() || result.outcomes[0].valid;
        if (is_valid) {
          this->context.metrics.Add("jobs_accepted_total");
          Reply(this->context, *call, kAccepted, {{"job", id.Text()}});
          return;
        }
        const auto* existing_job =
            this->context.log.State()->Jobs().FindByKey(team, key);
        if (!key.empty() && existing_job != nullptr) {
          Reply(this->context, *call, kAccepted,
                {{"job", existing_job->spec.id.Text()}, {"repeated", true}});
          return;
        }
        Refuse(this->context, *call, 503,
               {Verdict::kNotRun, std::string(result.outcomes[0].reason), "",
                "the job was not accepted"});
      });
}

auto JobService::FindJob(const ApiCall& call, const JobId& id)
    -> leaf::result<const journal::Job*> {
  BOOST_LEAF_CHECK(this->authorization.CheckViewFreshness());
  const TeamId team(call.Header(header::kTeam));
  const auto* job = this->context.log.State()->Jobs().Find(id);
  // The key is checked first: a caller without a valid key must not learn which
  // jobs exist.
  BOOST_LEAF_CHECK(this->authorization.CheckTeam(
      call, job == nullptr ? team : job->spec.team));
  if (job == nullptr) {
    return Error(kNotFound, "unknown_job", "job",
                 "there is no such job, or it ended too long ago");
  }
  return job;
}

// The record of a job that another host has just accepted may not have been
// read here yet. So a job counts as unknown only after a read that was sent
// after the request was received.
auto JobService::MustWaitForRead(const ApiCall& call, const JobId& id) const
    -> bool {
  const auto* state = this->context.log.State();
  const bool is_known = state != nullptr && state->Jobs().Find(id) != nullptr;
  const auto now = SystemClock().Now();
  return !is_known && this->context.log.LastCurrentRead() < call.received_at &&
         now < call.received_at + kMaxReadWait;
}

auto JobService::Tick() -> void {
  for (auto& deferred_lookup : std::exchange(this->deferred_lookups, {})) {
    deferred_lookup();
  }
}

auto JobService::Cancel(ApiCall call, const JobId& id) -> void {
  if (this->MustWaitForRead(call, id)) {
    auto shared = std::make_shared<ApiCall>(std::move(call));
    this->deferred_lookups.push_back(
        [this, shared, id] { this->Cancel(std::move(*shared), id); });
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(job, this->FindJob(call, id));
        if (daemon::IsFinished(*job)) {
          auto body = daemon::DescribeJob(*job);
          body["cancel"] = "already-finished";
          Reply(this->context, call, 200, body);
          return {};
        }
        BOOST_LEAF_CHECK(this->authorization.CheckLogAvailable());
        auto shared = std::make_shared<ApiCall>(std::move(call));
        this->context.log.Append(
            {journal::CancelRequested{id}},
            shared->received_at + kSubmitTimeout,
            [this, shared, id](const daemon::RecordedResult& result) {
              if (result.verdict != Verdict::kRan) {
                Refuse(this->context, *shared, StatusOf(result.verdict),
                       LogRefusal(result));
                return;
              }
              const auto* current = this->context.log.State()->Jobs().Find(id);
              const bool is_finished =
                  current != nullptr && daemon::IsFinished(*current);
              Reply(
                  this->context, *shared, is_finished ? 200 : kAccepted,
                  {{"job", id.Text()},
                   {"cancel", is_finished ? "already-finished" : "requested"}});
            });
        return {};
      },
      [&](const ApiError& error) {
        Refuse(this->context, call, error.status, error.refusal);
      },
      [&] { Refuse(this->context, call, 500, {.reason = "internal_error"}); });
}

auto JobService::Show(ApiCall call, const JobId& id) -> void {
  if (this->MustWaitForRead(call, id)) {
    auto shared = std::make_shared<ApiCall>(std::move(call));
    this->deferred_lookups.push_back(
        [this, shared, id] { this->Show(std::move(*shared), id); });
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(job, this->FindJob(call, id));
        if (daemon::IsFinished(*job)) {
          this->ReplyFromLog(call, id, "none needed");
          return {};
        }
        this->QueryOwner(std::make_shared<ApiCall>(std::move(call)), *job);
        return {};
      },
      [&](const ApiError& error) {
        Refuse(this->context, call, error.status, error.refusal);
      },
      [&] { Refuse(this->context, call, 500, {.reason = "internal_error"}); });
}

auto JobService::QueryOwner(const std::shared_ptr<ApiCall>& call,
                            const journal::Job& job) -> void {
  const auto id = job.spec.id;
  const auto* ownership = this->context.log.State()->Claims().Find(
      journal::ResourceOf(job.spec.shard));
  if (ownership == nullptr || ownership->addresses.empty()) {
    this->ReplyFromLog(*call, id, "nobody");
    return;
  }
  this->context.peers.Call<rpc::JobStatusRequest>(
      ownership->addresses.front(), {{id}}, kOwnerTimeout,
      [this, call, id](rpc::CallResult<rpc::JobStatusResponse> result) {
        if (!result.response || result.response->jobs.empty() ||
            !result.response->jobs.front().owned) {
          this->context.metrics.Add("job_status_from_log_total", result.reason);
          this->ReplyFromLog(*call, id, "does not answer");
          return;
        }
        auto body = json::parse(result.response->jobs.front().status_json,
                                nullptr, false);
        body["source"] = "owner";
        Reply(this->context, *call, 200, body);
      });
}

auto JobService::ReplyFromLog(ApiCall& call, const JobId& id, const char* owner)
    -> void {
  const auto* job = this->context.log.State()->Jobs().Find(id);
  if (job == nullptr) {
    Refuse(
        this->context, call, kNotFound,
        {Verdict::kNotRun, "unknown_job", "job", "the job has been dropped"});
    return;
  }
  auto body = daemon::DescribeJob(*job);
  body["source"] = "log";
  body["owner"] = owner;
  Reply(this->context, call, 200, body);
}

auto JobService::List(ApiCall call) -> void {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        const TeamId team(call.Header(header::kTeam));
        BOOST_LEAF_CHECK(this->authorization.CheckTeam(call, team));
        auto list = json::array();
        for (const auto* job : this->context.log.State()->Jobs().JobsOfTeam(
                 team, kMaxListedJobs)) {
          list.push_back(daemon::DescribeJob(*job));
        }
        Reply(this->context, call, 200,
              {{"jobs", std::move(list)}, {"source", "log"}});
        return {};
      },
      [&](const ApiError& error) {
        Refuse(this->context, call, error.status, error.refusal);
      },
      [&] { Refuse(this->context, call, 500, {.reason = "internal_error"}); });
}

}  // namespace shallotbank::entry
