#include <algorithm>
#include <cmath>
#include <span>

#include "scheduler_core.h"

namespace shallotbank::cell {
namespace {

/// Assumed share of workers that may run a step until answers are available.
constexpr double kInitialApprovalRate = 0.35;
/// Weight of one answer in the learned share.
constexpr double kLearningRate = 0.1;
/// More workers are queried than needed, because some fill up in the meantime.
constexpr double kSpareFactor = 1.6;
/// Adding workers to a query costs little up to this fraction of its base cost.
constexpr double kCheapCostFraction = 0.45;
/// Lower bound of the learned share; without it, every worker would be queried.
constexpr double kMinApprovalRate = 0.05;
/// Maximum number of workers in one query.
constexpr std::size_t kMaxWorkersPerQuery = 100;
/// Maximum cost of the queries in flight at one advisor. Further queries wait
/// in the scheduler, where a more urgent one can still go first.
constexpr std::chrono::milliseconds kMaxBacklog{60};
/// Queries above this cost leave some advisors free for short ones.
constexpr std::chrono::milliseconds kLongQueryCost{100};
/// The workers of a step are divided among several queries at once if there are
/// this many idle advisors for each query.
constexpr std::size_t kIdleAdvisorsPerQuery = 8;
/// Delay after the advisor was busy.
constexpr std::chrono::milliseconds kBusyRetryDelay{200};
/// Tickets are treated as expired this long before their end; see also
/// kTicketMargin in placing.cc.
constexpr std::chrono::milliseconds kTicketExpiryMargin{200};

auto Cost(const AdvicePolicy& policy, std::size_t workers) -> Duration {
  return policy.base_cost +
         policy.cost_per_worker * static_cast<std::int64_t>(workers);
}

/// Number of workers up to which a query costs little more than an empty one.
auto CheapCount(const AdvicePolicy& policy) -> std::size_t {
  const auto base = std::chrono::duration<double>(policy.base_cost).count();
  const auto per_worker =
      std::chrono::duration<double>(policy.cost_per_worker).count();
  return per_worker > 0 ? static_cast<std::size_t>(std::lround(
                              kCheapCostFraction * base / per_worker))
                        : kMaxWorkersPerQuery;
}

}  // namespace

auto Scheduler::Core::AdvisorBacklog(std::size_t advisor) const -> Duration {
  const auto found = this->advisor_backlogs.find(advisor);
  return found == this->advisor_backlogs.end() ? Duration() : found->second;
}

auto Scheduler::Core::ReservedAdvisors(Duration cost) const -> std::size_t {
  return cost > kLongQueryCost ? this->advisor_count / 3 : 0;
}

auto Scheduler::Core::ChooseAdvisor(Duration cost) const
    -> std::optional<std::size_t> {
  std::optional<std::size_t> best;
  Duration least = kMaxBacklog;
  for (auto i = this->ReservedAdvisors(cost); i < this->advisor_count; i++) {
    const auto backlog = this->AdvisorBacklog(i);
    if (backlog < least || (!best && backlog == least)) {
      best = i;
      least = backlog;
    }
  }
  return best;
}

auto Scheduler::Core::WorkersToQuery(const RankedStep& ranked, TimePoint now)
    -> std::vector<WorkerId> {
  const auto& step = *ranked.step;
  std::size_t valid_slots = 0;
  std::size_t expired_slots = 0;
  std::vector<WorkerId> expired;
  for (const auto& [slots, worker] : this->PermittedWorkers(ranked, now)) {
    if (slots == 0) {
      break;
    }
    const auto& ticket = step.advice.tickets.at(worker->report.id);
    const bool is_valid = ticket.expires > now + kTicketExpiryMargin &&
                          ticket.born_unix_ms == worker->born_unix_ms;
    if (is_valid) {
      valid_slots += slots;
    } else if (valid_slots + expired_slots < step.waiting + step.waiting / 2) {
      expired_slots += slots;
      expired.push_back(worker->report.id);
    }
  }
  if (valid_slots >= step.waiting) {
    return {};  // Placement failed for another reason.
  }
  if (valid_slots + expired_slots >= step.waiting) {
    return expired;
  }
  auto selected = this->SelectUnqueriedWorkers(ranked, now);
  // Expired tickets of a gang are renewed only once its workers have capacity
  // for all members.
  if (!step.spec->is_gang) {
    selected.insert(selected.begin(), expired.begin(), expired.end());
  }
  return selected;
}

auto Scheduler::Core::ApprovalRate(const QueueName& queue) const -> double {
  const auto learned = this->approval_rates.find(queue);
  return std::max(kMinApprovalRate, learned == this->approval_rates.end()
                                        ? kInitialApprovalRate
                                        : learned->second);
}

auto Scheduler::Core::SelectUnqueriedWorkers(const RankedStep& ranked,
                                             TimePoint now)
    -> std::vector<WorkerId> {
  /// The candidates of a group are queried before those of later groups.
  struct Group {
    bool has_preferred_pace = false;
    bool has_room = false;
  };
  // Gangs also query workers that are full: whether a worker may run a step
  // never changes, while its free capacity does.
  constexpr Group kGangGroups[] = {
      {true, true}, {true, false}, {false, true}, {false, false}};
  constexpr Group kGroups[] = {{true, true}, {false, true}};
  const auto& step = *ranked.step;
  const auto& spec = *step.spec;
  const auto groups = spec.is_gang ? std::span<const Group>(kGangGroups)
                                   : std::span<const Group>(kGroups);
  const double approval_rate = this->ApprovalRate(ranked.queue->name);
  const double wanted_slots = static_cast<double>(step.waiting) * kSpareFactor;
  const auto cheap_count = CheapCount(*ranked.queue->advice);
  std::vector<WorkerId> selected;
  double expected = 0;
  for (const auto& group : groups) {
    for (const auto& [free_cores_milli, worker] :
         this->free_cores.WorkersOf(ranked.queue->service)) {
      if (expected >= wanted_slots && selected.size() >= cheap_count) {
        return selected;
      }
      if (group.has_room && free_cores_milli < spec.demand.cores_milli) {
        break;
      }
      this->worker_visits++;
      if (IsPreferredPace(*ranked.queue, *worker) != group.has_preferred_pace ||
          !this->IsEligible(step, *ranked.queue, *worker, now) ||
          step.advice.queried.contains(worker->report.id)) {
        continue;
      }
      const auto slots =
          this->CountSlots(step, *worker, this->UnreservedResources(*worker));
      if ((slots > 0) != group.has_room) {
        continue;
      }
      expected += approval_rate * static_cast<double>(slots);
      selected.push_back(worker->report.id);
    }
  }
  return selected;
}

auto Scheduler::Core::QueryAdvice(const RankedStep& ranked,
                                  TimePoint now,
                                  Decisions& decisions) -> void {
  auto& step = *ranked.step;
  if (!ranked.queue->advice || step.advice.queries_in_flight > 0 ||
      now < step.advice.retry_at) {
    return;
  }
  const auto& policy = *ranked.queue->advice;
  if (!this->ChooseAdvisor(Cost(policy, 1))) {
    return;
  }
  const auto workers = this->WorkersToQuery(ranked, now);
  const auto query_size = this->QuerySize(policy, workers.size());
  for (std::span<const WorkerId> rest(workers); !rest.empty();) {
    const auto size = std::min(query_size, rest.size());
    const auto cost = Cost(policy, size);
    const auto advisor = this->ChooseAdvisor(cost);
    if (!advisor) {
      return;
    }
    this->SendQuery(step, rest.first(size), {*advisor, cost}, now, decisions);
    rest = rest.subspan(size);
  }
}

auto Scheduler::Core::QuerySize(const AdvicePolicy& policy,
                                std::size_t workers) const -> std::size_t {
  const auto useful = workers / std::max<std::size_t>(1, CheapCount(policy));
  const auto affordable =
      this->CountIdleAdvisors(Cost(policy, 1)) / kIdleAdvisorsPerQuery;
  const auto queries = std::max<std::size_t>(1, std::min(useful, affordable));
  const auto size = (workers + queries - 1) / queries;
  return std::clamp<std::size_t>(size, 1, kMaxWorkersPerQuery);
}

auto Scheduler::Core::CountIdleAdvisors(Duration cost) const -> std::size_t {
  std::size_t idle = 0;
  for (auto i = this->ReservedAdvisors(cost); i < this->advisor_count; i++) {
    idle += this->AdvisorBacklog(i) == Duration::zero() ? 1 : 0;
  }
  return idle;
}

auto Scheduler::Core::SendQuery(LiveStep& step,
                                std::span<const WorkerId> workers,
                                AdvisorLoad load,
                                TimePoint now,
                                Decisions& decisions) -> void {
  const auto [advisor, cost] = load;
  AdviceQuery query;
  query.workers.assign(workers.begin(), workers.end());
  query.number = this->next_query++;
  query.advisor = advisor;
  query.expected = this->AdvisorBacklog(advisor) + cost;
  query.step = step.name;
  step.advice.queries_in_flight++;
  step.advice.queried_at = now;
  this->queries[query.number] = {step.job->spec.id, step.occurrence,
                                 step.number, advisor, cost};
  this->advisor_backlogs[advisor] += cost;
  decisions.advice.push_back(std::move(query));
}

auto Scheduler::Core::OnAdvice(const AdviceQuery& query,
                               const AdviceReply& reply,
                               TimePoint now) -> void {
  const auto pending = this->queries.extract(query.number);
  if (pending.empty()) {
    return;
  }
  const auto& pending_query = pending.mapped();
  this->advisor_backlogs[pending_query.advisor] -= pending_query.cost;
  const auto job = this->jobs.find(pending_query.job);
  if (job == this->jobs.end()) {
    return;
  }
  auto* occurrence = job->second->FindOccurrence(pending_query.occurrence);
  if (occurrence == nullptr) {
    return;
  }
  auto& step = occurrence->steps[pending_query.step];
  step.advice.queries_in_flight--;
  if (step.advice.queries_in_flight == 0) {
    step.advice.query_time += now - step.advice.queried_at;
  }
  step.next_attempt = now;
  this->needs_placement = true;
  if (reply.outcome != AdviceReply::Outcome::kAnswered) {
    if (reply.outcome == AdviceReply::Outcome::kBusy) {
      step.advice.retry_at = now + kBusyRetryDelay;
    }
    return;  // Without an answer the step may be queried again at once.
  }
  const auto* queue = this->QueueOf(*job->second);
  auto lifetime = reply.ticket_lifetime.value_or(Milliseconds::zero());
  if (!reply.ticket_lifetime && queue != nullptr && queue->advice) {
    lifetime = queue->advice->ticket_lifetime;
  }
  std::size_t newly_queried = 0;
  for (const auto& id : query.workers) {
    newly_queried += step.advice.queried.insert(id).second ? 1 : 0;
    if (step.advice.tickets.contains(id)) {
      step.advice.tickets[id].expires = TimePoint();
    }
  }
  for (const auto& [id, text] : reply.tickets) {
    const auto worker = this->workers.find(id);
    if (worker != this->workers.end()) {
      step.advice.tickets[id] = {text, now + lifetime - kTicketExpiryMargin,
                                 worker->second.born_unix_ms};
    }
  }
  if (queue != nullptr && newly_queried == query.workers.size() &&
      newly_queried > 0) {
    const double approval_rate = static_cast<double>(reply.tickets.size()) /
                                 static_cast<double>(newly_queried);
    auto [learned, is_new] =
        this->approval_rates.try_emplace(queue->name, kInitialApprovalRate);
    learned->second += kLearningRate * (approval_rate - learned->second);
  }
}

}  // namespace shallotbank::cell
