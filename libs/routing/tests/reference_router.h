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

/// Reference implementation for a router of one service and one group: checks
/// each action of the router by full scans of all attempts, requests and
/// minions.
class ReferenceRouter {
 public:
  struct Attempt {
    AttemptId id = 0;
    std::string request{};
    std::string minion{};  // Empty for an attempt at the peer.
    std::string team{};
    TimePoint sent{};
    bool holds_slot = true;  // The slot is counted as in use.
    bool awaited = true;     // The request waits for its outcome.
    bool probe = false;
  };
  struct TrackedRequest {
    Request request{};
    int sequence = 0;
    bool queued = false;
    bool ended = false;
    bool abandoned = false;
    bool overflowed = false;
    int dispatches = 0;
    Verdict verdict = Verdict::kNotRun;
  };

  explicit ReferenceRouter(const RouterPolicy& policy) : policy(policy) {}

  auto BeforeSubmit(const Request& request) -> void {
    this->requests[request.id.Text()] = TrackedRequest{
        .request = request, .sequence = static_cast<int>(requests.size())};
  }

  /// To be called before `MinionRouter::Complete`.
  auto BeforeComplete(AttemptId id, const Outcome& outcome) -> void {
    auto& attempt = this->FindAttempt(id);
    if (outcome.verdict != Verdict::kMayHaveRun || outcome.minion_finished ||
        attempt.minion.empty()) {
      attempt.holds_slot = false;
    }
    if (attempt.awaited) {
      auto& tracked = this->requests.at(attempt.request);
      tracked.verdict = std::max(tracked.verdict, outcome.verdict);
      tracked.ended |= tracked.abandoned;
    }
    attempt.awaited = false;
    this->not_sent = outcome.not_sent;
  }

  /// To be called before `MinionRouter::Expire`: applies all time limits that
  /// have passed.
  auto BeforeExpire(TimePoint now) -> void {
    for (auto& attempt : this->attempts) {
      auto& tracked = this->requests.at(attempt.request);
      if (attempt.awaited && tracked.request.deadline <= now) {
        attempt.awaited = false;
        attempt.holds_slot &= !attempt.minion.empty();
        tracked.verdict = std::max(tracked.verdict, Verdict::kMayHaveRun);
        tracked.ended |= tracked.abandoned;
      }
      if (!attempt.awaited && attempt.sent + this->policy.max_deadline <= now) {
        attempt.holds_slot = false;
      }
    }
  }

  auto BeforeAbandon(const std::string& id) -> void {
    auto& tracked = this->requests.at(id);
    tracked.abandoned = true;
    tracked.ended = tracked.queued;
    tracked.queued = false;
  }

  auto Apply(const Actions& actions, TimePoint now) -> void {
    for (const auto& action : actions) {
      std::visit([&](const auto& step) { this->Check(step, now); }, action);
    }
  }

  auto CheckCounts(const MinionRouter& router) const -> void {
    std::size_t queued = 0;
    std::size_t unfinished = 0;
    for (const auto& [id, tracked] : this->requests) {
      queued += tracked.queued ? 1 : 0;
      unfinished += !tracked.ended && !tracked.abandoned ? 1 : 0;
    }
    RC_ASSERT(router.QueueSize(ServiceName("oficina")) == queued);
    RC_ASSERT(queued <= this->policy.queue_limit);
    // No request is lost: the router still tracks each unfinished one.
    RC_ASSERT(router.InProgress() == unfinished);
    std::size_t live = 0;
    for (const auto& minion : this->minions) {
      RC_ASSERT(router.InUse(minion.id) == this->InUse(minion.id.Text()));
      live += minion.state == MinionState::kLive ? 1 : 0;
    }
    const auto limit = static_cast<std::size_t>(
        static_cast<double>(live) * this->policy.max_ejected_fraction);
    RC_ASSERT(this->ejected.size() <= limit);
  }

  /// No queued request could be dispatched.
  auto CheckNoDispatchableWaits(TimePoint now) const -> void {
    RC_ASSERT(!this->FindNext(now).has_value());
  }

  auto FindAttempt(AttemptId id) -> Attempt& {
    return *std::find_if(this->attempts.begin(), this->attempts.end(),
                         [&](const Attempt& each) { return each.id == id; });
  }

  std::vector<Minion> minions;
  MinionGroup group{};
  std::vector<std::string> ejected;
  std::vector<Attempt> attempts;
  std::map<std::string, TrackedRequest> requests;
  int peer_capacity = 0;

 private:
  auto Check(const Dispatch& step, TimePoint now) -> void {
    auto& tracked = this->requests.at(step.request.Text());
    const auto& minion = this->FindMinion(step.minion.Text());
    RC_ASSERT(!tracked.ended && !tracked.abandoned);
    RC_ASSERT(tracked.request.deadline > now);
    RC_ASSERT(now < this->group.authority_until);
    RC_ASSERT(minion.state == MinionState::kLive);
    RC_ASSERT(this->InUse(minion.id.Text()) < this->Capacity(minion, now));
    RC_ASSERT(tracked.request.idempotent ||
              tracked.verdict == Verdict::kNotRun);
    RC_ASSERT(!this->HasTried(step.request.Text(), minion.id.Text()));
    RC_ASSERT(step.probe == this->IsEjected(minion.id.Text()));
    if (step.probe) {
      RC_ASSERT(!this->HasProbe(minion.id.Text()));
    } else {
      this->CheckDomain(tracked, minion, now);
    }
    if (tracked.queued) {
      RC_ASSERT(this->FindNext(now) == step.request.Text());
      tracked.queued = false;
    } else if (step.retry && tracked.dispatches > 0) {
      this->CountRetry(now);
    }
    if (tracked.dispatches++ == 0) {
      this->first_dispatches.push_back(now);
    }
    RC_ASSERT(step.attempt_number == tracked.dispatches);
    this->attempts.push_back(Attempt{.id = step.attempt,
                                     .request = step.request.Text(),
                                     .minion = minion.id.Text(),
                                     .team = tracked.request.team.Text(),
                                     .sent = now,
                                     .probe = step.probe});
  }

  auto Check(const Overflow& step, TimePoint now) -> void {
    auto& tracked = this->requests.at(step.request.Text());
    RC_ASSERT(!tracked.ended && !tracked.abandoned && !tracked.overflowed);
    RC_ASSERT(!tracked.request.forwarded && tracked.dispatches == 0);
    RC_ASSERT(!this->CanDispatch(step.request.Text(), now));
    RC_ASSERT(this->peer_capacity-- > 0);
    tracked.overflowed = true;
    tracked.queued = false;
    this->attempts.push_back(Attempt{.id = step.attempt,
                                     .request = step.request.Text(),
                                     .minion = "",
                                     .team = tracked.request.team.Text(),
                                     .sent = now});
  }

  auto Check(const Queue& step, TimePoint now) -> void {
    auto& tracked = this->requests.at(step.request.Text());
    RC_ASSERT(!tracked.ended && !tracked.abandoned && !tracked.queued);
    RC_ASSERT(!this->CanDispatch(step.request.Text(), now));
    tracked.queued = true;
    if (step.retry && tracked.dispatches > 0) {
      this->CountRetry(now);
    }
  }

  auto Check(const Answer& step, TimePoint) -> void {
    auto& tracked = this->requests.at(step.request.Text());
    RC_ASSERT(!tracked.ended && !tracked.abandoned);
    RC_ASSERT(this->FindAttempt(step.attempt).request == step.request.Text());
    tracked.ended = true;
  }

  auto Check(const Refuse& step, TimePoint now) -> void {
    auto& tracked = this->requests.at(step.request.Text());
    RC_ASSERT(!tracked.ended && !tracked.abandoned);
    RC_ASSERT(step.refusal.verdict == tracked.verdict);
    const bool usable = std::any_of(
        this->minions.begin(), this->minions.end(),
        [&](const Minion& minion) { return this->IsUsable(minion, now); });
    switch (step.reason) {
      case RefusalReason::kNoMinions:
      case RefusalReason::kAuthorityLapsed:
        RC_ASSERT(!usable);
        break;
      case RefusalReason::kDeadlinePassed:
        RC_ASSERT(tracked.request.deadline <= now);
        break;
      case RefusalReason::kDisplaced:
        RC_ASSERT(tracked.queued && tracked.verdict == Verdict::kNotRun);
        break;
      case RefusalReason::kWouldMissDeadline:
        RC_ASSERT(this->policy.admission_control);
        break;
      default:
        break;
    }
    tracked.ended = true;
    tracked.queued = false;
  }

  auto Check(const Eject& step, TimePoint) -> void {
    RC_ASSERT(!this->IsEjected(step.minion.Text()));
    this->ejected.push_back(step.minion.Text());
  }

  auto Check(const Restore& step, TimePoint) -> void {
    RC_ASSERT(std::erase(this->ejected, step.minion.Text()) == 1U);
  }

  auto CheckDomain(const TrackedRequest& tracked,
                   const Minion& chosen,
                   TimePoint now) -> void {
    int use = 0;
    int capacity = 0;
    bool has_free_slot = false;
    for (const auto& minion : this->minions) {
      if (minion.domain == tracked.request.domain &&
          this->IsUsable(minion, now)) {
        use += this->InUse(minion.id.Text());
        capacity += this->Capacity(minion, now);
        has_free_slot |=
            this->HasFreeSlotFor(tracked.request.id.Text(), minion, now);
      }
    }
    if (has_free_slot &&
        use < this->policy.local_domain_max_utilisation * capacity) {
      RC_ASSERT(chosen.domain == tracked.request.domain);
    }
  }

  auto CountRetry(TimePoint now) -> void {
    // The process did not send the request, so the retry adds no load to
    // minions and is not charged to the budget.
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
    const auto sent = std::count_if(this->first_dispatches.begin(),
                                    this->first_dispatches.end(), in_window);
    RC_ASSERT(static_cast<double>(retried) <=
              std::max<double>(
                  this->policy.min_retries_per_window,
                  static_cast<double>(sent) * this->policy.retry_fraction));
  }

  /// The queued request to dispatch next, by a full scan.
  auto FindNext(TimePoint now) const -> std::optional<std::string> {
    int capacity = 0;
    for (const auto& minion : this->minions) {
      capacity += this->IsUsable(minion, now) ? this->Capacity(minion, now) : 0;
    }
    std::map<std::string, int> running;
    for (const auto& attempt : this->attempts) {
      if (attempt.holds_slot && !attempt.minion.empty()) {
        running[attempt.team]++;
      }
    }
    for (const auto& [id, tracked] : this->requests) {
      if (tracked.queued) {
        running.try_emplace(tracked.request.team.Text());
      }
    }
    const int teams = std::max(1, static_cast<int>(running.size()));
    const int share = (capacity + teams - 1) / teams;
    std::optional<std::tuple<bool, bool, TimePoint, int, std::string>> best;
    for (const auto& [id, tracked] : this->requests) {
      if (!tracked.queued || tracked.request.deadline <= now ||
          !this->CanDispatch(id, now)) {
        continue;
      }
      const std::tuple rank(!tracked.request.urgent,
                            running.at(tracked.request.team.Text()) >= share,
                            tracked.request.deadline, tracked.sequence, id);
      best = best ? std::min(*best, rank) : rank;
    }
    return best ? std::optional(std::get<std::string>(*best)) : std::nullopt;
  }

  auto CanDispatch(const std::string& request, TimePoint now) const -> bool {
    return std::any_of(this->minions.begin(), this->minions.end(),
                       [&](const Minion& minion) {
                         return this->HasFreeSlotFor(request, minion, now);
                       });
  }

  auto HasFreeSlotFor(const std::string& request,
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
    const bool reserve_active = now < this->group.reserved_until;
    const int slots =
        minion.slots - (reserve_active ? this->group.reserved_slots : 0);
    const int connections =
        minion.connections -
        (reserve_active ? this->group.reserved_connections : 0);
    return std::max(0, std::min(slots, connections));
  }

  auto InUse(const std::string& minion) const -> int {
    return static_cast<int>(std::count_if(
        this->attempts.begin(), this->attempts.end(), [&](const Attempt& each) {
          return each.holds_slot && each.minion == minion;
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
          return each.awaited && each.probe && each.minion == minion;
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
  std::vector<TimePoint> first_dispatches;
  std::vector<TimePoint> retries;  // Those charged to the retry budget.
  bool not_sent = false;
};

}  // namespace shallotbank::routing
