#include "routing/reasons.h"

namespace shallotbank::routing {

auto ToText(RefusalReason reason) -> std::string_view {
  switch (reason) {
    case RefusalReason::kDuplicateRequest:
      return "duplicate_request";
    case RefusalReason::kDeadlinePassed:
      return "deadline_passed";
    case RefusalReason::kDeadlineTooLong:
      return "deadline_too_long";
    case RefusalReason::kWouldMissDeadline:
      return "would_miss_deadline";
    case RefusalReason::kNoMinions:
      return "no_minions";
    case RefusalReason::kAuthorityLapsed:
      return "authority_lapsed";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kTeamQueueShare:
      return "team_queue_share";
    case RefusalReason::kDisplaced:
      return "displaced";
    case RefusalReason::kMinionRefused:
      return "minion_refused";
    case RefusalReason::kAnswerLost:
      return "answer_lost";
    case RefusalReason::kAnswerTruncated:
      return "answer_truncated";
    case RefusalReason::kAnswerTimeout:
      return "answer_timeout";
  }
  return "unknown";
}

auto ToText(RetryReason reason) -> std::string_view {
  switch (reason) {
    case RetryReason::kNotRun:
      return "not_run";
    case RetryReason::kLost:
      return "lost";
    case RetryReason::kTruncated:
      return "truncated";
    case RetryReason::kFailed:
      return "failed";
  }
  return "unknown";
}

auto ToText(NoRetryReason reason) -> std::string_view {
  switch (reason) {
    case NoRetryReason::kNotIdempotent:
      return "not_idempotent";
    case NoRetryReason::kBudgetSpent:
      return "budget_spent";
    case NoRetryReason::kDeadline:
      return "deadline";
    case NoRetryReason::kAttempts:
      return "attempts";
    case NoRetryReason::kNoOtherMinion:
      return "no_other_minion";
    case NoRetryReason::kQueueFull:
      return "queue_full";
  }
  return "unknown";
}

auto ToText(EjectionReason reason) -> std::string_view {
  switch (reason) {
    case EjectionReason::kSlow:
      return "slow";
    case EjectionReason::kFailing:
      return "failing";
    case EjectionReason::kTruncating:
      return "truncating";
  }
  return "unknown";
}

auto operator<<(std::ostream& out, RefusalReason reason) -> std::ostream& {
  return out << ToText(reason);
}

auto operator<<(std::ostream& out, RetryReason reason) -> std::ostream& {
  return out << ToText(reason);
}

auto operator<<(std::ostream& out, NoRetryReason reason) -> std::ostream& {
  return out << ToText(reason);
}

auto operator<<(std::ostream& out, EjectionReason reason) -> std::ostream& {
  return out << ToText(reason);
}

}  // namespace shallotbank::routing
