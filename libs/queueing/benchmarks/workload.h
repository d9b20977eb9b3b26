#pragma once

#include <cmath>
#include <random>
#include <string>

#include "queueing/queue_policy.h"
#include "queueing/queued_job.h"

namespace shallotbank::queueing {

inline constexpr unsigned kSeed = 20261204;
inline const TimePoint kStart{std::chrono::hours(1)};
/// 300 workers of 64 cores and 256 GiB: one shard at the target size.
inline constexpr Resources kShardCapacity{300 * 64'000, 300 * 262'144, 0};

/// Distributes the teams over 6 organisations; all weights are 1 to 3.
inline auto MakeOrganisations(int teams) -> std::vector<OrganisationPolicy> {
  constexpr int kOrganisations = 6;
  std::vector<OrganisationPolicy> organisations(kOrganisations);
  for (int k = 0; k < teams; ++k) {
    auto& organisation =
        organisations[static_cast<std::size_t>(k % kOrganisations)];
    organisation.id = OrganisationId("o" + std::to_string(k % kOrganisations));
    organisation.weight = k % kOrganisations % 3 + 1;
    organisation.teams.push_back(
        {TeamId("team" + std::to_string(k)), 1.0 + k / kOrganisations % 3});
  }
  return organisations;
}

/// Generates a mix of jobs: a tenth is urgent, a twentieth are gangs.
class JobSource {
 public:
  explicit JobSource(int teams) : teams(teams) {}

  auto Make(TimePoint now) -> QueuedJob {
    QueuedJob job;
    const int number = this->made++;
    job.id = JobId("job" + std::to_string(number));
    job.team = TeamId("team" + std::to_string(this->Below(this->teams)));
    job.profile = ProfileName("grind");
    const std::int64_t cores = std::int64_t{1} << this->Below(4);
    job.need = {1000 * cores, 1024 * cores * (1 + this->Below(3) * 2), 0};
    job.is_gang = this->Below(20) == 0;
    job.tasks = job.is_gang ? 8 : 1 + this->Below(4);
    job.is_urgent = this->Below(10) == 0;
    job.submitted = now;
    return job;
  }

  auto Below(int count) -> int {
    return std::uniform_int_distribution(0, count - 1)(this->random);
  }

 private:
  int teams;
  int made = 0;
  std::mt19937 random{kSeed};
};

}  // namespace shallotbank::queueing
