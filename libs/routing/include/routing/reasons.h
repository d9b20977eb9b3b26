#pragma once

#include <ostream>
#include <string_view>

namespace shallotbank::routing {

/// Why a request was refused. `ToText` gives the label of the counter
/// `routing_refusals_total`.
enum class RefusalReason {
  kDuplicateRequest,   ///< A request with this id is in progress.
  kDeadlinePassed,     ///< The deadline passed in the queue or on arrival.
  kDeadlineTooLong,    ///< Beyond `RouterPolicy::max_deadline`.
  kWouldMissDeadline,  ///< Expected to miss it at the observed service rate.
  kNoMinions,          ///< This process knows no live minion of the service.
  kAuthorityLapsed,    ///< No valid authority over its minion groups.
  kQueueFull,          ///< The queue of the service is full.
  kTeamQueueShare,     ///< Queue full; this team has the largest share of it.
  kDisplaced,          ///< Evicted in favour of a team with a smaller share.
  kMinionRefused,      ///< The minion or peer did not run the request.
  kAnswerLost,         ///< No response; the request may have run.
  kAnswerTruncated,    ///< The response was incomplete.
  kAnswerTimeout,      ///< No response by the deadline; it may have run.
};

/// Why a request is retried. Label of `routing_retries_total`.
enum class RetryReason {
  kNotRun,     ///< The minion did not run the request.
  kLost,       ///< No response to an idempotent request.
  kTruncated,  ///< Incomplete response to an idempotent request.
  kFailed,     ///< Status 500 or above for an idempotent request.
};

/// Why a failed request is not retried. Label of
/// `routing_not_retried_total`.
enum class NoRetryReason {
  kNotIdempotent,
  kBudgetSpent,
  kDeadline,
  kAttempts,
  kNoOtherMinion,
  kQueueFull,
};

/// Why a minion is ejected. Label of `routing_ejections_total`.
enum class EjectionReason { kSlow, kFailing, kTruncating };

auto ToText(RefusalReason reason) -> std::string_view;
auto ToText(RetryReason reason) -> std::string_view;
auto ToText(NoRetryReason reason) -> std::string_view;
auto ToText(EjectionReason reason) -> std::string_view;

auto operator<<(std::ostream& out, RefusalReason reason) -> std::ostream&;
auto operator<<(std::ostream& out, RetryReason reason) -> std::ostream&;
auto operator<<(std::ostream& out, NoRetryReason reason) -> std::ostream&;
auto operator<<(std::ostream& out, EjectionReason reason) -> std::ostream&;

}  // namespace shallotbank::routing
