#include <algorithm>

#include "core.h"

namespace shallotbank::scheduling {

using std::chrono::milliseconds;

auto ShardScheduler::Core::HasAuthority(TimePoint now) const -> bool {
  return now < this->authority_until;
}

// Returns a lower bound of the worker's clock at `when`: the clock was read
// before the response arrived at `clock_read_at`.
auto ShardScheduler::Core::ToWorkerClock(const WorkerRecord& worker,
                                         TimePoint when) const -> milliseconds {
  return worker.worker_clock +
         std::chrono::duration_cast<milliseconds>(when - worker.clock_read_at);
}

auto ShardScheduler::Core::ScheduleContact(WorkerRecord& worker, TimePoint when)
    -> void {
  this->contact_schedule.erase({worker.next_contact, worker.worker.id});
  worker.next_contact = when;
  this->contact_schedule.insert({when, worker.worker.id});
}

auto ShardScheduler::Core::EmitCommands(TimePoint now) -> void {
  std::vector<WorkerId> due;
  for (const auto& [when, id] : this->contact_schedule) {
    if (when > now) {
      break;
    }
    due.push_back(id);
  }
  for (const auto& id : due) {
    auto& worker = this->workers.at(id);
    this->contact_schedule.erase({worker.next_contact, id});
    if (worker.in_flight != CommandKind::kNone) {
      continue;  // The response schedules the next contact.
    }
    const bool is_done = worker.is_attached || now >= this->LeasesExpireBy();
    if (!worker.is_listed && worker.attempts.empty() && is_done) {
      this->index.RemoveWorker(id);
      this->quarantine.ForgetWorker(id);
      this->unreachable.erase(id);
      this->workers.erase(id);
      continue;
    }
    this->EmitCommand(worker, now);
  }
}

auto ShardScheduler::Core::EmitCommand(WorkerRecord& worker, TimePoint now)
    -> void {
  WorkerCommand command;
  if (!worker.is_attached) {
    command.command = AttachCommand{};
    this->Emit(worker, CommandKind::kAttach, std::move(command));
    return;
  }
  if (!worker.to_stop.empty()) {
    command.command = StopCommand{std::exchange(worker.to_stop, {})};
    this->Emit(worker, CommandKind::kStop, std::move(command));
    return;
  }
  if (!worker.to_start.empty() && this->EmitStarts(worker, now)) {
    return;
  }
  this->EmitHeartbeat(worker, now);
}

auto ShardScheduler::Core::EmitStarts(WorkerRecord& worker, TimePoint now)
    -> bool {
  if (!this->HasAuthority(now)) {
    return false;
  }
  const auto valid_until =
      std::min(now + this->options.command_timeout, this->authority_until);
  StartCommand start;
  const auto count =
      std::min(worker.to_start.size(),
               static_cast<std::size_t>(this->options.max_tasks_per_command));
  for (std::size_t i = 0; i < count; ++i) {
    const auto& id = worker.to_start[i];
    auto& attempt = this->attempts.at(id);
    const auto& spec = this->jobs.at(attempt.job).spec;
    attempt.is_sent = true;
    attempt.start_valid_until = valid_until;
    attempt.lease_expires_by = valid_until + spec.lease;
    worker.starts_in_flight.push_back(id);
    start.tasks.push_back({id, spec.need, spec.lease, spec.run_time});
  }
  worker.to_start.erase(
      worker.to_start.begin(),
      worker.to_start.begin() + static_cast<std::ptrdiff_t>(count));
  WorkerCommand command;
  command.not_after = this->ToWorkerClock(worker, valid_until);
  command.command = std::move(start);
  this->Emit(worker, CommandKind::kStart, std::move(command));
  return true;
}

// Without authority, a heartbeat renews no leases; the responses of a majority
// in this epoch restore the authority. Leases on an unreachable worker are not
// renewed either: the renewal might arrive, and then the leases would never
// count as expired.
auto ShardScheduler::Core::EmitHeartbeat(WorkerRecord& worker, TimePoint now)
    -> void {
  HeartbeatCommand heartbeat;
  auto valid_until = now + this->options.command_timeout;
  if (this->HasAuthority(now) && !worker.is_unreachable) {
    valid_until = std::min(valid_until, this->authority_until);
    for (const auto& id : worker.attempts) {
      auto& attempt = this->attempts.at(id);
      if (attempt.state != AttemptState::kEnding && !attempt.is_replaced) {
        heartbeat.renew.push_back(id);
        attempt.lease_expires_by =
            std::max(attempt.lease_expires_by,
                     valid_until + this->jobs.at(attempt.job).spec.lease);
      }
    }
  }
  const auto acknowledged = std::exchange(worker.to_acknowledge, {});
  heartbeat.acknowledge.assign(acknowledged.begin(), acknowledged.end());
  WorkerCommand command;
  command.not_after = this->ToWorkerClock(worker, valid_until);
  command.command = std::move(heartbeat);
  this->Emit(worker, CommandKind::kHeartbeat, std::move(command));
}

auto ShardScheduler::Core::Emit(WorkerRecord& worker,
                                CommandKind kind,
                                WorkerCommand command) -> void {
  worker.in_flight = kind;
  command.worker = worker.worker.id;
  command.epoch = this->epoch;
  command.timeout = this->options.command_timeout;
  this->output.commands.push_back(std::move(command));
}

}  // namespace shallotbank::scheduling
