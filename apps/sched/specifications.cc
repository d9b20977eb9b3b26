#include "specifications.h"

#include <algorithm>
#include <string>

namespace shallotbank::sched {
namespace {

using std::chrono::milliseconds;

auto ToTaskClass(configuration::JobClass job_class) -> placement::TaskClass {
  switch (job_class) {
    case configuration::JobClass::kService:
      return placement::TaskClass::kService;
    case configuration::JobClass::kGang:
      return placement::TaskClass::kGang;
    case configuration::JobClass::kBatch:
    case configuration::JobClass::kRequest:
      break;
  }
  return placement::TaskClass::kBatch;
}

auto ToAmount(const configuration::Limit& limit) -> queueing::Amount {
  return {limit.resources, limit.tasks};
}

// A hash that, unlike std::hash, is the same in every process and release.
auto StableHash(const std::string& text) -> std::uint64_t {
  constexpr std::size_t kHexDigits = 15;
  constexpr int kBase = 16;
  return std::stoull(configuration::Sha256Hex(text).substr(0, kHexDigits),
                     nullptr, kBase);
}

}  // namespace

auto ToJobSpec(const journal::Job& job, TimePoint now) -> scheduling::JobSpec {
  const auto& spec = job.spec;
  const auto wall_now = std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
  const auto age = std::max(wall_now - job.accepted_at, milliseconds::zero());
  scheduling::JobSpec result;
  result.id = spec.id;
  result.team = spec.team;
  result.profile = spec.profile;
  result.task_class = ToTaskClass(spec.job_class);
  result.need = spec.need;
  result.tasks = static_cast<int>(spec.tasks);
  result.is_urgent = spec.priority == configuration::Priority::kUrgent;
  result.is_single_run = spec.single_run;
  result.is_preemptible = spec.allow.stop;
  result.attempts = static_cast<int>(spec.attempts);
  result.lease = spec.lease;
  result.run_time = spec.expected_run.value_or(milliseconds(1000));
  result.submitted = now - age;
  if (spec.patience) {
    result.start_by = result.submitted + *spec.patience;
  }
  result.accepted_at = job.accepted_offset;
  return result;
}

auto CompletedTasks(const journal::Job& job) -> std::vector<int> {
  std::vector<int> completed;
  for (const auto& [index, completion] : job.tasks) {
    completed.push_back(static_cast<int>(index));
  }
  return completed;
}

auto WorkersOfShard(const platform::HostTable& hosts,
                    std::int64_t shard,
                    std::int64_t shards)
    -> std::vector<scheduling::ListedWorker> {
  std::vector<scheduling::ListedWorker> result;
  const auto count =
      static_cast<std::uint64_t>(std::max<std::int64_t>(shards, 1));
  auto add_worker = [&](const platform::Host& host, bool is_gone) {
    const auto owner = StableHash(host.rack.Text()) % count;
    if (host.role == platform::HostRole::kWorker &&
        owner == static_cast<std::uint64_t>(shard)) {
      result.push_back(
          {{WorkerId(host.name), host.domain, host.rack, host.capacity},
           host.is_leaving,
           is_gone});
    }
  };
  for (const auto& [name, host] : hosts.Hosts()) {
    add_worker(host, /*is_gone=*/false);
  }
  for (const auto& [name, removed] : hosts.RemovedHosts()) {
    add_worker(removed.host, /*is_gone=*/true);
  }
  return result;
}

auto ToQueuePolicy(const journal::ReplicaState& state,
                   const ShardId& shard,
                   const std::vector<scheduling::ListedWorker>& workers)
    -> queueing::QueuePolicy {
  const auto& configuration = state.Configuration().Get();
  queueing::QueuePolicy policy;
  for (const auto& [id, organisation] : configuration.Organisations()) {
    queueing::OrganisationPolicy organisation_policy{
        id, static_cast<double>(organisation.weight), {}};
    for (const auto& [team_id, team] : configuration.Teams()) {
      if (team.organisation == id) {
        organisation_policy.teams.push_back(
            {team_id, static_cast<double>(team.weight),
             ToAmount(state.Allotment(team_id, shard))});
      }
    }
    policy.organisations.push_back(std::move(organisation_policy));
  }
  for (const auto& worker : workers) {
    policy.capacity += worker.is_gone ? Resources() : worker.worker.capacity;
  }
  const auto& scheduling_policy = configuration.GetPolicy();
  policy.scoring.waiting_weight =
      static_cast<double>(scheduling_policy.waiting_weight);
  policy.scoring.share_weight =
      static_cast<double>(scheduling_policy.share_weight);
  return policy;
}

}  // namespace shallotbank::sched
