#include "cell/scheduler.h"

#include "scheduler_core.h"

namespace shallotbank::cell {

Scheduler::Scheduler(SchedulerOptions options, TimePoint now)
    : core(std::make_unique<Core>(options, now)) {}

Scheduler::~Scheduler() = default;

auto Scheduler::OnConfiguration(const CellConfiguration& configuration)
    -> void {
  this->core->OnConfiguration(configuration);
}

auto Scheduler::SetAdvisors(std::size_t count) -> void {
  this->core->advisor_count = count;
}

auto Scheduler::OnJob(JobSpec job,
                      const JobProgress& progress,
                      TimePoint accepted_at,
                      TimePoint now) -> void {
  this->core->OnJob(std::move(job), progress, accepted_at, now);
}

auto Scheduler::OnCancel(const JobId& job, TimePoint now) -> void {
  this->core->OnCancel(job, now);
}

auto Scheduler::OnWorker(const WorkerReport& report, TimePoint now) -> void {
  this->core->OnWorker(report, now);
}

auto Scheduler::OnWorkerGone(const WorkerId& worker, TimePoint now) -> void {
  this->core->OnWorkerGone(worker, now);
}

auto Scheduler::OnStartReply(const StartOrder& order,
                             const OrderReply& reply,
                             TimePoint now) -> void {
  this->core->OnStartReply(order, reply, now);
}

auto Scheduler::OnStopReply(const StopOrder& order,
                            const OrderReply& reply,
                            TimePoint now) -> void {
  this->core->OnStopReply(order, reply, now);
}

auto Scheduler::OnPollReply(const PollOrder& order,
                            const PollReply& reply,
                            TimePoint sent,
                            TimePoint now) -> void {
  this->core->OnPollReply(order, reply, sent, now);
}

auto Scheduler::OnAdvice(const AdviceQuery& query,
                         const AdviceReply& reply,
                         TimePoint now) -> void {
  this->core->OnAdvice(query, reply, now);
}

auto Scheduler::OnStored(std::uint64_t sequence, TimePoint now) -> void {
  this->core->OnStored(sequence, now);
}

auto Scheduler::Decide(TimePoint now,
                       std::chrono::system_clock::time_point wall,
                       Authority authority) -> Decisions {
  return this->core->Decide(now, wall, authority);
}

auto Scheduler::IsFenced() const -> bool {
  return this->core->is_fenced;
}

auto Scheduler::Count() const -> Counts {
  return this->core->Count();
}

}  // namespace shallotbank::cell
