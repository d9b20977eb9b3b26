#include "queueing/fair_queue.h"

#include "fair_queue_state.h"

namespace shallotbank::queueing {

namespace leaf = boost::leaf;

FairQueue::FairQueue(std::size_t max_ended_jobs)
    : state(std::make_unique<State>(max_ended_jobs)) {}
FairQueue::~FairQueue() = default;
FairQueue::FairQueue(FairQueue&&) noexcept = default;
auto FairQueue::operator=(FairQueue&&) noexcept -> FairQueue& = default;

auto FairQueue::SetPolicy(const QueuePolicy& policy) -> leaf::result<void> {
  BOOST_LEAF_CHECK(Validate(policy));
  this->state->SetPolicy(policy);
  return {};
}

auto FairQueue::SetUnconfirmedUse(const TeamId& team, const Amount& amount)
    -> void {
  this->state->SetUnconfirmedUse(team, amount);
}

auto FairQueue::SetLimit(const TeamId& team, const Amount& limit) -> bool {
  return this->state->SetLimit(team, limit);
}

auto FairQueue::Add(const QueuedJob& job) -> leaf::result<void> {
  BOOST_LEAF_CHECK(Validate(job));
  return this->state->Add(job);
}

auto FairQueue::Adopt(const JobId& job, std::int64_t tasks) -> bool {
  return this->state->Adopt(job, tasks);
}

auto FairQueue::Next(TimePoint now) -> std::optional<Candidate> {
  return this->state->Next(now);
}

auto FairQueue::Started(const JobId& job, TimePoint now) -> bool {
  return this->state->Started(job, now);
}

auto FairQueue::Blocked(const JobId& job, BlockReason reason) -> void {
  this->state->Blocked(job, reason);
}

auto FairQueue::CapacityFreed() -> void {
  this->state->CapacityFreed();
}

auto FairQueue::Ended(const JobId& job, TaskEnd end, std::int64_t tasks)
    -> bool {
  return this->state->Ended(job, end, tasks);
}

auto FairQueue::Cancel(const JobId& job) -> CancelOutcome {
  return this->state->Cancel(job);
}

auto FairQueue::TakeExpired(TimePoint now) -> std::vector<JobId> {
  return this->state->TakeExpired(now);
}

auto FairQueue::WhyWaiting(const JobId& job, TimePoint now) const
    -> std::optional<WaitingReason> {
  return this->state->WhyWaiting(job, now);
}

auto FairQueue::ReservationDue(TimePoint now) const -> std::optional<JobId> {
  return this->state->ReservationDue(now);
}

auto FairQueue::SetReserved(const std::optional<JobId>& job) -> void {
  this->state->SetReserved(job);
}

auto FairQueue::AdvisePreemption(TimePoint now) const
    -> std::optional<PreemptionAdvice> {
  return this->state->AdvisePreemption(now);
}

auto FairQueue::Shares() const -> std::vector<TeamShare> {
  return this->state->Shares();
}

auto FairQueue::WaitingJobs() const -> std::size_t {
  return this->state->WaitingJobs();
}

}  // namespace shallotbank::queueing
