#include <algorithm>
#include <cmath>
#include <tuple>

#include "scheduler_core.h"

namespace shallotbank::cell {
namespace {

/// Share of workers that may run a step, until answers have shown it.
constexpr double kAssumedGoodShare = 0.35;
/// Weight of one answer in the learned share.
constexpr double kLearningRate = 0.1;
/// More workers are named than are needed, because some fill up meanwhile.
constexpr double kSpareFactor = 1.6;
/// Naming a worker is nearly free up to this part of the cost of any question.
constexpr double kCheapPart = 0.45;
/// A learned share never counts as less, or every worker would be named.
constexpr double kLeastGoodShare = 0.05;
/// Most workers that one question may name.
constexpr std::size_t kMaxNamed = 100;
/// Work queued at one advisor; a further question waits here, where a more
/// urgent one can still overtake it.
constexpr std::chrono::milliseconds kMaxBacklog{60};
/// Questions above this cost leave some advisors free for quick ones.
constexpr std::chrono::milliseconds kLongQuestion{100};
/// Pause after an advisor was busy.
constexpr std::chrono::milliseconds kRetryPause{200};
/// Tickets are not used in their last moments; see also the placing margin.
constexpr std::chrono::milliseconds kTicketSafety{200};

auto Cost(const AdvicePolicy& policy, std::size_t workers) -> Duration {
  return policy.base_cost +
         policy.cost_per_worker * static_cast<std::int64_t>(workers);
}

}  // namespace

auto Scheduler::Core::AdvisorBacklog(std::size_t advisor) const -> Duration {
  Duration backlog{};
  for (const auto& [number, query] : this->queries) {
    backlog += query.advisor == advisor ? query.cost : Duration::zero();
  }
  return backlog;
}

auto Scheduler::Core::ChooseAdvisor(Duration cost) const
    -> std::optional<std::size_t> {
  std::vector<Duration> backlog(this->advisor_count);
  for (std::size_t i = 0; i < backlog.size(); i++) {
    backlog[i] = this->AdvisorBacklog(i);
  }
  const auto quick_only =
      cost > kLongQuestion ? this->advisor_count / 3 : std::size_t{0};
  std::optional<std::size_t> best;
  for (std::size_t i = quick_only; i < backlog.size(); i++) {
    if (!best || backlog[i] < backlog[*best]) {
      best = i;
    }
  }
  if (best && backlog[*best] > kMaxBacklog) {
    return std::nullopt;
  }
  return best;
}

auto Scheduler::Core::WorkersToAsk(const RankedStep& ranked, TimePoint now)
    -> std::vector<WorkerId> {
  const auto& step = *ranked.step;
  std::size_t valid_slots = 0;
  std::size_t known_slots = 0;
  std::vector<WorkerId> expired;
  for (const auto& [slots, worker] : this->KnownWorkers(ranked, now)) {
    if (slots == 0) {
      break;
    }
    const auto& ticket = step.advice.tickets.at(worker->report.id);
    const bool is_valid = ticket.expires > now + kTicketSafety &&
                          ticket.born_unix_ms == worker->born_unix_ms;
    if (is_valid) {
      valid_slots += slots;
    } else if (valid_slots + known_slots < step.waiting + step.waiting / 2) {
      known_slots += slots;
      expired.push_back(worker->report.id);
    }
  }
  if (valid_slots >= step.waiting) {
    return {};  // Placing had other reasons to pass.
  }
  if (valid_slots + known_slots >= step.waiting) {
    return expired;
  }
  auto named = this->UnaskedWorkers(ranked, now);
  // Those of a gang are only asked for anew once they have room for all of it.
  if (!step.spec->is_gang) {
    named.insert(named.begin(), expired.begin(), expired.end());
  }
  if (named.size() > kMaxNamed) {
    named.resize(kMaxNamed);
  }
  return named;
}

auto Scheduler::Core::UnaskedWorkers(const RankedStep& ranked, TimePoint now)
    -> std::vector<WorkerId> {
  const auto& step = *ranked.step;
  const auto& policy = *ranked.queue->advice;
  struct Candidate {
    bool has_right_pace = false;
    std::size_t slots = 0;
    WorkerId id;
  };
  std::vector<Candidate> fresh;
  for (const auto& [id, worker] : this->workers) {
    const bool is_candidate = !step.advice.asked.contains(id) &&
                              this->SuitsStep(step, *ranked.queue, worker, now);
    // A first question is worth asking of full workers, too: who may run a
    // step never changes, and room comes and goes.
    const auto slots = this->Slots(step, worker, this->RoomLeft(worker));
    if (is_candidate && (slots > 0 || step.spec->is_gang)) {
      fresh.push_back({HasRightPace(*ranked.queue, worker), slots, id});
    }
  }
  std::sort(fresh.begin(), fresh.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.has_right_pace, a.slots) >
                     std::tie(b.has_right_pace, b.slots);
            });
  const auto learned = this->good_share.find(ranked.queue->name);
  const double share = std::max(
      kLeastGoodShare,
      learned == this->good_share.end() ? kAssumedGoodShare : learned->second);
  const double wanted = static_cast<double>(step.waiting) * kSpareFactor;
  const auto base = std::chrono::duration<double>(policy.base_cost).count();
  const auto each =
      std::chrono::duration<double>(policy.cost_per_worker).count();
  const auto cheap =
      each > 0 ? static_cast<std::size_t>(std::lround(kCheapPart * base / each))
               : kMaxNamed;
  std::vector<WorkerId> named;
  double expected = 0;
  for (const auto& [has_right_pace, slots, id] : fresh) {
    if (expected >= wanted && named.size() >= cheap) {
      break;
    }
    expected += share * static_cast<double>(slots);
    named.push_back(id);
  }
  return named;
}

auto Scheduler::Core::AskAdvice(const RankedStep& ranked,
                                TimePoint now,
                                Decisions& decisions) -> void {
  auto& step = *ranked.step;
  if (!ranked.queue->advice || step.advice.is_open ||
      now < step.advice.retry_at ||
      !this->ChooseAdvisor(Cost(*ranked.queue->advice, 1))) {
    return;
  }
  AdviceQuery query;
  query.workers = this->WorkersToAsk(ranked, now);
  if (query.workers.empty()) {
    return;
  }
  const auto cost = Cost(*ranked.queue->advice, query.workers.size());
  const auto advisor = this->ChooseAdvisor(cost);
  if (!advisor) {
    return;
  }
  query.number = this->next_query++;
  query.advisor = *advisor;
  query.expected = this->AdvisorBacklog(*advisor) + cost;
  query.step = step.name;
  step.advice.is_open = true;
  step.advice.asked_at = now;
  this->queries[query.number] = {step.job->spec.id, step.occurrence,
                                 step.number, *advisor, cost};
  decisions.advice.push_back(std::move(query));
}

auto Scheduler::Core::OnAdvice(const AdviceQuery& query,
                               const AdviceReply& reply,
                               TimePoint now) -> void {
  const auto open = this->queries.extract(query.number);
  if (open.empty()) {
    return;
  }
  const auto& asked = open.mapped();
  const auto job = this->jobs.find(asked.job);
  if (job == this->jobs.end()) {
    return;
  }
  const auto occurrence = std::find_if(
      job->second->occurrences.begin(), job->second->occurrences.end(),
      [&asked](const auto& one) { return one.number == asked.occurrence; });
  if (occurrence == job->second->occurrences.end()) {
    return;
  }
  auto& step = occurrence->steps[asked.step];
  step.advice.is_open = false;
  step.advice.asked_for += now - step.advice.asked_at;
  this->is_placing_due = true;
  if (reply.outcome != AdviceReply::Outcome::kAnswered) {
    if (reply.outcome == AdviceReply::Outcome::kBusy) {
      step.advice.retry_at = now + kRetryPause;
    }
    return;  // Without an answer another advisor is asked at once.
  }
  const auto* queue = this->QueueOf(*job->second);
  auto lifetime = reply.ticket_lifetime.value_or(Milliseconds::zero());
  if (!reply.ticket_lifetime && queue != nullptr && queue->advice) {
    lifetime = queue->advice->ticket_lifetime;
  }
  std::size_t fresh = 0;
  for (const auto& id : query.workers) {
    fresh += step.advice.asked.insert(id).second ? 1 : 0;
    if (step.advice.tickets.contains(id)) {
      step.advice.tickets[id].expires = TimePoint();
    }
  }
  for (const auto& [id, text] : reply.tickets) {
    const auto worker = this->workers.find(id);
    if (worker != this->workers.end()) {
      step.advice.tickets[id] = {text, now + lifetime - kTicketSafety,
                                 worker->second.born_unix_ms};
    }
  }
  if (queue != nullptr && fresh == query.workers.size() && fresh > 0) {
    const double share =
        static_cast<double>(reply.tickets.size()) / static_cast<double>(fresh);
    auto [learned, is_new] =
        this->good_share.try_emplace(queue->name, kAssumedGoodShare);
    learned->second += kLearningRate * (share - learned->second);
  }
}

}  // namespace shallotbank::cell
