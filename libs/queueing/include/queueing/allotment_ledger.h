#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/leaf.hpp>

#include "base/ids.h"
#include "queueing/amount.h"

namespace shallotbank::queueing {

/// Transfers part of a team's limit from one shard to another. `of_limit` is
/// the limit that the donor applied. The move stands for the fraction `amount /
/// of_limit` of the limit, so every reader interprets it alike, whichever limit
/// is in force when it reads the record.
struct AllotmentMove {
  TeamId team;
  ShardId from;
  ShardId to;
  Amount amount;
  Amount of_limit;

  auto operator==(const AllotmentMove&) const -> bool = default;
};

/// Describes a rejected limit or move; the ledger is left unchanged.
struct AllotmentError {
  std::string field;
  std::string message;
};

/// Divides the upper limits of teams among the shards, as far as one process
/// has read the log. All processes apply the same records in log order.
///
/// Each shard is allotted a fraction of the limit and may use that fraction of
/// it, rounded down. The fractions sum to one, and a donor lowers its own
/// fraction before it appends a move. The sum of what all shards may use
/// therefore never exceeds the highest limit that any of them still applies,
/// however far they lag in the log. After a change of the limit, rounding
/// leaves at most one unit per shard unused.
class AllotmentLedger {
 public:
  /// `shards` lists at most 1,024 shards in the order of the initial split.
  explicit AllotmentLedger(std::vector<ShardId> shards);

  /// Applies a limit; call in log order. The first limit of a team is split
  /// exactly, by shard order; later ones scale all allotments. Errors:
  /// `AllotmentError`.
  auto SetLimit(const TeamId& team, const Amount& limit)
      -> boost::leaf::result<void>;

  /// Deducts the amount from the donor's allotment and returns the record to
  /// append. Errors: `AllotmentError` if `Usable(team, from)` does not cover
  /// the amount.
  auto Propose(const TeamId& team,
               const ShardId& from,
               const ShardId& to,
               const Amount& amount) -> boost::leaf::result<AllotmentMove>;
  /// Reverts a proposal that is known never to have been appended. Returns
  /// false if there is no such proposal.
  auto Withdraw(const AllotmentMove& move) -> bool;
  /// Applies a move in log order, whether this process proposed it or not.
  /// Errors: `AllotmentError` if the allotment of `from` at this point of the
  /// log does not cover it. Every reader rejects the same records, and a
  /// rejected proposal of this process is reverted.
  auto Apply(const AllotmentMove& move) -> boost::leaf::result<void>;

  /// Returns what the shard may use: its allotment less its open proposals.
  /// Zero for an unknown team or shard.
  auto Usable(const TeamId& team, const ShardId& shard) const -> Amount;

 private:
  static constexpr std::size_t kComponents = 4;
  /// Fractions of the limit in units of 2^-60, one for each component of
  /// `Amount`.
  using Fractions = std::array<std::int64_t, kComponents>;
  using Components = std::array<std::int64_t, kComponents>;

  struct Team {
    Components limit{};
    std::vector<Fractions> allotted;  // In the order of the shards.
    std::vector<Fractions> proposed;  // In open proposals of this process.
    std::vector<AllotmentMove> open_proposals;
  };

  static auto ToComponents(const Amount& amount) -> Components;
  static auto MovedFractions(const AllotmentMove& move) -> Fractions;
  auto ShardIndex(const ShardId& shard) const -> std::size_t;
  auto InitialSplit(const Components& limit) const -> std::vector<Fractions>;
  auto ValidateMove(const AllotmentMove& move) const
      -> boost::leaf::result<void>;
  auto CloseProposal(Team& team, const AllotmentMove& move) -> bool;

  std::vector<ShardId> shards;
  std::unordered_map<ShardId, std::size_t> shard_index;
  std::unordered_map<TeamId, Team> teams;
};

}  // namespace shallotbank::queueing
