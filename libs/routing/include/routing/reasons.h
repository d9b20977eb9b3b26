#pragma once

#include <ostream>
#include <string_view>

namespace shallotbank::routing {

/// Why a request was refused. The text is the label of the counter
/// `routing_refusals_total`.
enum class RefusalReason {
  kDuplicateRequest,   ///< A request with this id is in progress.
  kDeadlinePassed,     ///< It waited in the queue until its deadline.
  kDeadlineTooLong,    ///< Beyond the longest deadline of the policy.
  kWouldMissDeadline,  ///< It cannot finish in time at the observed rate.
  kNoMinions,          ///< This process has no live minion of the service.
  kAuthorityLapsed,    ///< The process may not act for its minion groups.
  kQueueFull,          ///< The queue of the service is full.
  kTeamQueueShare,     ///< It is full and this team has the largest part.
  kDisplaced,          ///< It made room for a team with a smaller part.
  kMinionRefused,      ///< The minion or peer did not run it.
  kAnswerLost,         ///< No answer; it may have run.
  kAnswerTruncated,    ///< The answer arrived incomplete.
  kAnswerTimeout,      ///< No answer by the deadline; it may have run.
};

/// Why a request is tried again. Label of `routing_retries_total`.
enum class RetryReason {
  kNotRun,     ///< The minion did not run it.
  kLost,       ///< No answer to an idempotent request.
  kTruncated,  ///< Incomplete answer to an idempotent request.
  kFailed,     ///< Status 500 or above to an idempotent request.
};

/// Why a failed request is not tried again. Label of
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
