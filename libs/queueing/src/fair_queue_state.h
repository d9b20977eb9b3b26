#pragma once

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "queueing/fair_queue.h"
#include "shape_table.h"
#include "team_queue.h"

namespace shallotbank::queueing {

/// The implementation of `FairQueue`.
class FairQueue::State {
 public:
  explicit State(std::size_t max_ended_jobs) : max_ended_jobs(max_ended_jobs) {}

  // fair_queue_policy.cc
  auto SetPolicy(const QueuePolicy& new_policy) -> void;
  auto SetUnconfirmedUse(const TeamId& id, const Amount& amount) -> void;
  auto SetLimit(const TeamId& id, const Amount& limit) -> bool;
  auto Shares() const -> std::vector<TeamShare>;

  // fair_queue_jobs.cc
  auto Add(const QueuedJob& spec) -> boost::leaf::result<void>;
  auto Adopt(const JobId& id, std::int64_t tasks) -> bool;
  auto Started(const JobId& id, TimePoint now) -> bool;
  auto Blocked(const JobId& id, BlockReason reason) -> void;
  auto CapacityFreed() -> void;
  auto Ended(const JobId& id, TaskEnd end, std::int64_t tasks) -> bool;
  auto Cancel(const JobId& id) -> CancelOutcome;
  auto TakeExpired(TimePoint now) -> std::vector<JobId>;
  auto SetReserved(const std::optional<JobId>& id) -> void;
  auto WaitingJobs() const -> std::size_t { return this->waiting_jobs; }

  // fair_queue_order.cc
  auto Next(TimePoint now) -> std::optional<Candidate>;
  auto WhyWaiting(const JobId& id, TimePoint now)
      -> std::optional<WaitingReason>;
  auto ReservationDue(TimePoint now) const -> std::optional<JobId>;
  auto AdvisePreemption(TimePoint now) -> std::optional<PreemptionAdvice>;

 private:
  using TimedJobs = std::map<std::pair<TimePoint, std::uint64_t>, Job*>;

  auto FindOrAddTeam(const TeamId& id) -> Team&;
  auto FindJob(const JobId& id) -> Job*;

  auto UpdateEntitlements() -> void;
  auto UpdateUse(Team& team) -> void;
  auto AddRunning(Job& job, std::int64_t tasks) -> void;
  auto SubtractRunning(Job& job, std::int64_t tasks) -> void;

  auto InsertWaiting(Job& job) -> void;
  auto RemoveWaiting(Job& job) -> void;
  auto ClearOvertaken(Job& job) -> void;
  auto MarkOvertaken(TimePoint now) -> void;
  auto RetireJob(const JobId& id, CancelOutcome outcome) -> void;
  auto RemoveExpired(TimePoint now) -> void;

  // Returns why no job of the group may start now, or nothing if one may.
  auto CheckStart(const Team& team, const JobGroup& group) const
      -> std::optional<WaitingReason>;
  // The same, without regard to blocked shapes.
  auto CheckLimits(const Team& team, const JobGroup& group) const
      -> std::optional<WaitingReason>;
  auto FindFirst(const Team& team,
                 const TeamQueue::GroupOrder& order,
                 bool include_blocked) const -> Head;
  auto FindHead(const Team& team, bool include_blocked) const -> Head;
  auto UpdateHead(Team& team) -> void;
  auto IsWithinUrgentAllowance(const Team& team) const -> bool;
  auto FirstTeam(Organisation& organisation, TimePoint now) -> Team*;
  auto FirstTeam(TimePoint now) -> Team*;
  auto ToCandidate(const Job& job) const -> Candidate;
  auto ReservedCandidate() const -> const Job*;
  auto FirstDueReservation(TimePoint now, bool only_below_share) const
      -> const Job*;
  auto FindBlockedUrgent(TimePoint now) -> const Job*;
  auto FindVictim(const Team& preemptor, const Resources& amount) const
      -> const Team*;

  std::size_t max_ended_jobs;
  QueuePolicy policy;
  std::vector<std::unique_ptr<Organisation>> organisations;
  ShapeTable shapes;
  std::unordered_map<TeamId, std::unique_ptr<Team>> teams;
  std::unordered_map<JobId, Job> jobs;
  std::unordered_map<JobId, CancelOutcome> ended_jobs;
  std::deque<JobId> ended_job_order;
  TimedJobs deadlines;
  TimedJobs overtaken_jobs;
  // Jobs blocked in this pass since the last start.
  std::vector<JobId> blocked_since_start;
  std::vector<JobId> expired;
  std::optional<JobId> reserved;
  std::uint64_t last_sequence = 0;
  std::size_t waiting_jobs = 0;
};

}  // namespace shallotbank::queueing
