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

/// The data and steps behind `FairQueue`.
class FairQueue::State {
 public:
  explicit State(std::size_t remembered_ends)
      : remembered_ends(remembered_ends) {}

  // fair_queue_policy.cc
  auto SetPolicy(const QueuePolicy& new_policy) -> void;
  auto SetHeld(const TeamId& id, const Amount& amount) -> void;
  auto SetLimit(const TeamId& id, const Amount& limit) -> bool;
  auto Shares() const -> std::vector<TeamShare>;

  // fair_queue_jobs.cc
  auto Add(const QueuedJob& accepted) -> boost::leaf::result<void>;
  auto Adopt(const JobId& id, std::int64_t tasks) -> bool;
  auto Started(const JobId& id, TimePoint now) -> bool;
  auto Blocked(const JobId& id, BlockReason reason) -> void;
  auto RoomFreed() -> void;
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
  auto Preemption(TimePoint now) -> std::optional<PreemptionAdvice>;

 private:
  using TimedJobs = std::map<std::pair<TimePoint, std::uint64_t>, Job*>;

  auto FindOrAddTeam(const TeamId& id) -> Team&;
  auto FindJob(const JobId& id) -> Job*;

  auto UpdateEntitlements() -> void;
  auto UpdateUse(Team& team) -> void;
  auto CountRunning(Job& job, std::int64_t tasks) -> void;
  auto CountEnded(Job& job, std::int64_t tasks) -> void;

  auto InsertWaiting(Job& job) -> void;
  auto RemoveWaiting(Job& job) -> void;
  auto ClearOvertaken(Job& job) -> void;
  auto NoteOvertaken(TimePoint now) -> void;
  auto ForgetJob(const JobId& id, CancelOutcome outcome) -> void;
  auto RemoveExpired(TimePoint now) -> void;

  // Why no job of the group may start now, or nothing.
  auto Check(const Team& team, const JobGroup& group) const
      -> std::optional<WaitingReason>;
  // Why no job of the group may start, blocked shapes aside.
  auto CheckLimits(const Team& team, const JobGroup& group) const
      -> std::optional<WaitingReason>;
  auto FindFirst(const Team& team,
                 const TeamQueue::Order& order,
                 bool with_blocked) const -> Head;
  auto FindHead(const Team& team, bool with_blocked) const -> Head;
  auto UpdateHead(Team& team) -> void;
  auto IsWithinUrgentAllowance(const Team& team) const -> bool;
  auto FirstTeam(Organisation& organisation, TimePoint now) -> Team*;
  auto FirstTeam(TimePoint now) -> Team*;
  auto ToCandidate(const Job& job) const -> Candidate;
  auto ReservedCandidate() const -> const Job*;
  auto FirstDue(TimePoint now, bool only_below_share) const -> const Job*;
  auto BlockedUrgent(TimePoint now) -> const Job*;
  auto FindVictim(const Team& beneficiary, const Resources& amount) const
      -> const Team*;

  std::size_t remembered_ends;
  QueuePolicy policy;
  std::vector<std::unique_ptr<Organisation>> organisations;
  ShapeTable shapes;
  std::unordered_map<TeamId, std::unique_ptr<Team>> teams;
  std::unordered_map<JobId, Job> jobs;
  std::unordered_map<JobId, CancelOutcome> ended;
  std::deque<JobId> ended_order;
  TimedJobs deadlines;
  TimedJobs overtaken;
  // Blocked in this pass, and nothing has been started since.
  std::vector<JobId> just_blocked;
  std::vector<JobId> expired;
  std::optional<JobId> reserved;
  std::uint64_t last_sequence = 0;
  std::size_t waiting_jobs = 0;
};

}  // namespace shallotbank::queueing
