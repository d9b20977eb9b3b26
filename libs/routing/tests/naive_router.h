#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

#include "routing/minion_router.h"

namespace shallotbank::routing {

/// Follows the actions of a router of one service and one group, and checks
/// each against full scans of all attempts, requests and minions.
class NaiveRouter {
 public:
  struct Attempt {
    AttemptId id = 0;
    std::string request{};
    std::string minion{};  // Empty if it was sent to the peer.
    std::string team{};
    TimePoint sent{};
    bool open = true;     // Its slot is counted.
    bool current = true;  // The request waits for it.
    bool probe = false;
  };
  struct Known {
    Request request{};
    int sequence = 0;
    bool queued = false;
    bool ended = false;
    bool abandoned = false;
    bool overflowed = false;
    int dispatches = 0;
    Verdict verdict = Verdict::kNotRun;
  };

  explicit NaiveRouter(const RouterPolicy& policy) : policy(policy) {}

  auto Submitted(const Request& request) -> void {
    this->requests[request.id.Text()] = Known{
        .request = request, .sequence = static_cast<int>(requests.size())};
  }

  /// Before a report on an attempt goes to the router.
  auto Completing(AttemptId id, const Outcome& outcome) -> void {
    auto& attempt = this->FindAttempt(id);
    if (outcome.verdict != Verdict::kMayHaveRun || outcome.ended ||
        attempt.minion.empty()) {
      attempt.open = false;
    }
    if (attempt.current) {
      auto& known = this->requests.at(attempt.request);
      known.verdict = std::max(known.verdict, outcome.verdict);
      known.ended |= known.abandoned;
    }
    attempt.current = false;
    this->not_sent = outcome.not_sent;
  }

  /// Before `Expire`: what the passing of time ends.
  auto Expiring(TimePoint now) -> void {
    for (auto& attempt : this->attempts) {
      auto& known = this->requests.at(attempt.request);
      if (attempt.current && known.request.deadline <= now) {
        attempt.current = false;
        attempt.open &= !attempt.minion.empty();
        known.verdict = std::max(known.verdict, Verdict::kMayHaveRun);
        known.ended |= known.abandoned;
      }
      if (!attempt.current &&
          attempt.sent + this->policy.longest_deadline <= now) {
        attempt.open = false;
      }
    }
  }

  auto Abandoned(const std::string& id) -> void {
    auto& known = this->requests.at(id);
    known.abandoned = true;
    known.ended = known.queued;
    known.queued = false;
  }

  auto Follow(const Actions& actions, TimePoint now) -> void {
    for (const auto& action : actions) {
      std::visit([&](const auto& step) { this->Check(step, now); }, action);
    }
  }

  auto CheckCounts(const MinionRouter& router) const -> void {
    std::size_t queued = 0;
    std::size_t unfinished = 0;
    for (const auto& [id, known] : this->requests) {
      queued += known.queued ? 1 : 0;
      unfinished += !known.ended && !known.abandoned ? 1 : 0;
    }
    RC_ASSERT(router.QueueSize(ServiceName("oficina")) == queued);
    RC_ASSERT(queued <= this->policy.queue_limit);
    // No request is lost: the router still has each that has not ended.
    RC_ASSERT(router.InProgress() == unfinished);
    std::size_t live = 0;
    for (const auto& minion : this->minions) {
      RC_ASSERT(router.InUse(minion.id) == this->InUse(minion.id.Text()));
      live += minion.state == MinionState::kLive ? 1 : 0;
    }
    const auto limit = static_cast<std::size_t>(static_cast<double>(live) *
                                                this->policy.ejected_fraction);
    RC_ASSERT(this->ejected.size() <= limit);
  }

  /// Nothing waits that could run.
  auto CheckNothingIdle(TimePoint now) const -> void {
    RC_ASSERT(!this->Best(now).has_value());
  }

  auto FindAttempt(AttemptId id) -> Attempt& {
    return *std::find_if(this->attempts.begin(), this->attempts.end(),
                         [&](const Attempt& each) { return each.id == id; });
  }

  std::vector<Minion> minions;
  MinionGroup group{};
  std::vector<std::string> ejected;
  std::vector<Attempt> attempts;
  std::map<std::string, Known> requests;
  int peer_room = 0;

 private:
  auto Check(const Dispatch& step, TimePoint now) -> void {
    auto& known = this->requests.at(step.request.Text());
    const auto& minion = this->FindMinion(step.minion.Text());
    RC_ASSERT(!known.ended && !known.abandoned);
    RC_ASSERT(known.request.deadline > now);
    RC_ASSERT(now < this->group.authority_until);
    RC_ASSERT(minion.state == MinionState::kLive);
    RC_ASSERT(this->InUse(minion.id.Text()) < this->Capacity(minion, now));
    RC_ASSERT(known.request.idempotent || known.verdict == Verdict::kNotRun);
    RC_ASSERT(!this->HasTried(step.request.Text(), minion.id.Text()));
    RC_ASSERT(step.probe == this->IsEjected(minion.id.Text()));
    if (step.probe) {
      RC_ASSERT(!this->HasProbe(minion.id.Text()));
    } else {
      this->CheckDomain(known, minion, now);
    }
    if (known.queued) {
      RC_ASSERT(this->Best(now) == step.request.Text());
      known.queued = false;
    } else if (step.retry && known.dispatches > 0) {
      this->CountRetry(now);
    }
    if (known.dispatches++ == 0) {
      this->firsts.push_back(now);
    }
    RC_ASSERT(step.number == known.dispatches);
    this->attempts.push_back(Attempt{.id = step.attempt,
                                     .request = step.request.Text(),
                                     .minion = minion.id.Text(),
                                     .team = known.request.team.Text(),
                                     .sent = now,
                                     .probe = step.probe});
  }

  auto Check(const Overflow& step, TimePoint now) -> void {
    auto& known = this->requests.at(step.request.Text());
    RC_ASSERT(!known.ended && !known.abandoned && !known.overflowed);
    RC_ASSERT(!known.request.forwarded && known.dispatches == 0);
    RC_ASSERT(!this->CanPlace(step.request.Text(), now));
    RC_ASSERT(this->peer_room-- > 0);
    known.overflowed = true;
    known.queued = false;
    this->attempts.push_back(Attempt{.id = step.attempt,
                                     .request = step.request.Text(),
                                     .minion = "",
                                     .team = known.request.team.Text(),
                                     .sent = now});
  }

  auto Check(const Queue& step, TimePoint now) -> void {
    auto& known = this->requests.at(step.request.Text());
    RC_ASSERT(!known.ended && !known.abandoned && !known.queued);
    RC_ASSERT(!this->CanPlace(step.request.Text(), now));
    known.queued = true;
    if (step.retry && known.dispatches > 0) {
      this->CountRetry(now);
    }
  }

  auto Check(const Answer& step, TimePoint) -> void {
    auto& known = this->requests.at(step.request.Text());
    RC_ASSERT(!known.ended && !known.abandoned);
    RC_ASSERT(this->FindAttempt(step.attempt).request == step.request.Text());
    known.ended = true;
  }

  auto Check(const Refuse& step, TimePoint now) -> void {
    auto& known = this->requests.at(step.request.Text());
    RC_ASSERT(!known.ended && !known.abandoned);
    RC_ASSERT(step.refusal.verdict == known.verdict);
    const bool usable = std::any_of(
        this->minions.begin(), this->minions.end(),
        [&](const Minion& minion) { return this->IsUsable(minion, now); });
    switch (step.reason) {
      case RefusalReason::kNoMinions:
      case RefusalReason::kAuthorityLapsed:
        RC_ASSERT(!usable);
        break;
      case RefusalReason::kDeadlinePassed:
        RC_ASSERT(known.request.deadline <= now);
        break;
      case RefusalReason::kDisplaced:
        RC_ASSERT(known.queued && known.verdict == Verdict::kNotRun);
        break;
      case RefusalReason::kWouldMissDeadline:
        RC_ASSERT(this->policy.admission);
        break;
      default:
        break;
    }
    known.ended = true;
    known.queued = false;
  }

  auto Check(const Eject& step, TimePoint) -> void {
    RC_ASSERT(!this->IsEjected(step.minion.Text()));
    this->ejected.push_back(step.minion.Text());
  }

  auto Check(const Restore& step, TimePoint) -> void {
    RC_ASSERT(std::erase(this->ejected, step.minion.Text()) == 1U);
  }

  auto CheckDomain(const Known& known, const Minion& chosen, TimePoint now)
      -> void {
    int use = 0;
    int capacity = 0;
    bool has_room = false;
    for (const auto& minion : this->minions) {
      if (minion.domain == known.request.domain &&
          this->IsUsable(minion, now)) {
        use += this->InUse(minion.id.Text());
        capacity += this->Capacity(minion, now);
        has_room |= this->HasRoom(known.request.id.Text(), minion, now);
      }
    }
    if (has_room && use < this->policy.domain_overload * capacity) {
      RC_ASSERT(chosen.domain == known.request.domain);
    }
  }

  auto CountRetry(TimePoint now) -> void {
    // The process itself did not send the request; this costs no minion.
    if (this->not_sent) {
      return;
    }
    const auto width = this->policy.retry_window / 10;
    const auto bucket = [&](TimePoint time) {
      return time.time_since_epoch() / width;
    };
    const auto in_window = [&](TimePoint time) {
      return bucket(time) > bucket(now) - 10;
    };
    this->retries.push_back(now);
    const auto retried =
        std::count_if(this->retries.begin(), this->retries.end(), in_window);
    const auto sent =
        std::count_if(this->firsts.begin(), this->firsts.end(), in_window);
    RC_ASSERT(static_cast<double>(retried) <=
              std::max<double>(
                  this->policy.retry_floor,
                  static_cast<double>(sent) * this->policy.retry_fraction));
  }

  /// The waiting request to dispatch next, by a scan of all.
  auto Best(TimePoint now) const -> std::optional<std::string> {
    int capacity = 0;
    for (const auto& minion : this->minions) {
      capacity += this->IsUsable(minion, now) ? this->Capacity(minion, now) : 0;
    }
    std::map<std::string, int> running;
    for (const auto& attempt : this->attempts) {
      if (attempt.open && !attempt.minion.empty()) {
        running[attempt.team]++;
      }
    }
    for (const auto& [id, known] : this->requests) {
      if (known.queued) {
        running.try_emplace(known.request.team.Text());
      }
    }
    const int teams = std::max(1, static_cast<int>(running.size()));
    const int share = (capacity + teams - 1) / teams;
    std::optional<std::tuple<bool, bool, TimePoint, int, std::string>> best;
    for (const auto& [id, known] : this->requests) {
      if (!known.queued || known.request.deadline <= now ||
          !this->CanPlace(id, now)) {
        continue;
      }
      const std::tuple rank(!known.request.urgent,
                            running.at(known.request.team.Text()) >= share,
                            known.request.deadline, known.sequence, id);
      best = best ? std::min(*best, rank) : rank;
    }
    return best ? std::optional(std::get<std::string>(*best)) : std::nullopt;
  }

  auto CanPlace(const std::string& request, TimePoint now) const -> bool {
    return std::any_of(this->minions.begin(), this->minions.end(),
                       [&](const Minion& minion) {
                         return this->HasRoom(request, minion, now);
                       });
  }

  auto HasRoom(const std::string& request,
               const Minion& minion,
               TimePoint now) const -> bool {
    return this->IsUsable(minion, now) &&
           this->InUse(minion.id.Text()) < this->Capacity(minion, now) &&
           !this->HasTried(request, minion.id.Text());
  }

  auto IsUsable(const Minion& minion, TimePoint now) const -> bool {
    return minion.state == MinionState::kLive &&
           now < this->group.authority_until &&
           !this->IsEjected(minion.id.Text());
  }

  auto Capacity(const Minion& minion, TimePoint now) const -> int {
    const bool reserving = now < this->group.reserved_until;
    const int slots =
        minion.slots - (reserving ? this->group.reserved_slots : 0);
    const int connections =
        minion.connections - (reserving ? this->group.reserved_connections : 0);
    return std::max(0, std::min(slots, connections));
  }

  auto InUse(const std::string& minion) const -> int {
    return static_cast<int>(std::count_if(
        this->attempts.begin(), this->attempts.end(), [&](const Attempt& each) {
          return each.open && each.minion == minion;
        }));
  }

  auto HasTried(const std::string& request, const std::string& minion) const
      -> bool {
    return std::any_of(
        this->attempts.begin(), this->attempts.end(), [&](const Attempt& each) {
          return each.request == request && each.minion == minion;
        });
  }

  auto HasProbe(const std::string& minion) const -> bool {
    return std::any_of(
        this->attempts.begin(), this->attempts.end(), [&](const Attempt& each) {
          return each.current && each.probe && each.minion == minion;
        });
  }

  auto IsEjected(const std::string& minion) const -> bool {
    return std::find(this->ejected.begin(), this->ejected.end(), minion) !=
           this->ejected.end();
  }

  auto FindMinion(const std::string& id) const -> const Minion& {
    return *std::find_if(
        this->minions.begin(), this->minions.end(),
        [&](const Minion& each) { return each.id.Text() == id; });
  }

  const RouterPolicy& policy;
  std::vector<TimePoint> firsts;   // First dispatches.
  std::vector<TimePoint> retries;  // Those that count against the budget.
  bool not_sent = false;
};

}  // namespace shallotbank::routing
