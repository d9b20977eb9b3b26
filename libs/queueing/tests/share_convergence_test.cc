#include <array>
#include <cmath>
#include <random>
#include <unordered_map>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fair_shares.h"
#include "pool_model.h"
#include "queueing/fair_queue.h"

namespace shallotbank::queueing {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr Resources kCapacity{4'000'000, 16'000'000, 0};

constexpr std::array<double, 3> kWeights{1, 2, 3};
constexpr auto kSampleTime = milliseconds(100);
// Older than the waiting scale, as any backlog becomes under sustained
// overload; among younger jobs the waiting weight shifts shares by design.
constexpr auto kBacklogAge = seconds(120);

struct Case {
  const char* name;
  double waiting_weight;
  double share_weight;
  std::int64_t largest_task;  // In multiples of the team's smallest need.
};

auto operator<<(std::ostream& out, const Case& c) -> std::ostream& {
  return out << c.name;
}

const std::vector<Case> kCases{{"share-weighted", 0.1, 1, 1},
                               {"waiting-weighted", 1, 0.1, 1},
                               {"share-weighted, mixed sizes", 0.1, 1, 8},
                               {"waiting-weighted, mixed sizes", 1, 0.1, 8}};

// Guards against teams that do not converge to their share when all are
// backlogged, with different resources, task durations, sizes and weights.
BOOST_DATA_TEST_CASE(BackloggedTeamsReachTheirShares, kCases, c) {
  // Ideal shares are computed in steps of a tenth of a small task.
  const std::vector<Resources> needs{
      {100, 100, 0}, {100, 800, 0}, {100, 400, 0}};
  QueuePolicy policy;
  policy.capacity = kCapacity;
  policy.scoring.waiting_weight = c.waiting_weight;
  policy.scoring.share_weight = c.share_weight;
  std::vector<FairShareTeam> ideal_teams;
  for (std::size_t k = 0; k < 9; ++k) {
    if (k % 3 == 0) {
      policy.organisations.push_back(
          {OrganisationId("o" + std::to_string(k / 3)), kWeights[k / 3], {}});
    }
    const TeamId team("t" + std::to_string(k));
    policy.organisations.back().teams.push_back({team, kWeights[k % 3]});
    ideal_teams.push_back({team, k / 3, needs[(k + k / 3) % 3]});
  }
  const auto ideal_shares = FairShares(policy, ideal_teams);
  FairQueue queue;
  BOOST_REQUIRE(queue.SetPolicy(policy));
  PoolModel pool(queue, kCapacity);
  std::mt19937 random(20261204);
  int number = 0;
  const auto submit = [&](std::size_t k, TimePoint now) {
    QueuedJob job;
    job.id = JobId("j" + std::to_string(number++));
    job.team = ideal_teams[k].id;
    const auto size = 10 * (k % 2 == 0 ? 1 : c.largest_task);
    job.need = Times(ideal_teams[k].need, size);
    job.tasks = 5;
    job.submitted = now - kBacklogAge;
    // Task durations differ by a factor of up to 30 within and between teams.
    const auto longest = 4'000'000 * (1 + static_cast<int>(k % 5) * 2);
    BOOST_REQUIRE(pool.Submit(job, microseconds(std::uniform_int_distribution(
                                       1'000'000, longest)(random))));
  };
  std::unordered_map<TeamId, double> sum;
  int samples = 0;
  for (auto now = kStart; now < kStart + seconds(120); now += kSampleTime) {
    pool.EndTasks(now);
    for (const auto& share : queue.Shares()) {
      // When the last five teams arrive, the other teams use the whole pool.
      const std::size_t present = now < kStart + seconds(20) ? 4 : 9;
      for (std::size_t k = 0; share.waiting_jobs < 500 && k < present; ++k) {
        for (int j = 0; ideal_teams[k].id == share.team && j < 500; ++j) {
          submit(k, now);
        }
      }
    }
    pool.Fill(now, [](const Candidate&) {});
    // Ends are processed one at a time, so that a large task never finds enough
    // free capacity by chance.
    while (pool.NextEnd() && *pool.NextEnd() < now + kSampleTime) {
      const auto end = *pool.NextEnd();
      pool.EndTasks(end);
      pool.Fill(end, [](const Candidate&) {});
    }
    if (now >= kStart + seconds(60)) {
      samples++;
      for (const auto& share : queue.Shares()) {
        sum[share.team] += share.dominant_share;
      }
    }
  }
  double mean = 0;
  double worst = 0;
  for (const auto& [team, share] : ideal_shares) {
    const double distance = std::abs(sum[team] / samples - share) / share;
    mean += distance / static_cast<double>(ideal_shares.size());
    worst = std::max(worst, distance);
  }
  BOOST_TEST_MESSAGE(c.name << ": distance from share mean " << mean
                            << " worst " << worst);
  BOOST_TEST(mean <= 0.02);
  BOOST_TEST(worst <= 0.05);
}

}  // namespace
}  // namespace shallotbank::queueing
