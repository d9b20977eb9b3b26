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

/// Moves part of a team's limit between shards. `of_limit` is the limit that
/// the donor saw: a move is the fraction `amount / of_limit` of the limit, so
/// that it means the same wherever the limit stands when the record is read.
struct AllotmentMove {
  TeamId team;
  ShardId from;
  ShardId to;
  Amount amount;
  Amount of_limit;

  auto operator==(const AllotmentMove&) const -> bool = default;
};

/// A limit or move that was refused; nothing was changed.
struct AllotmentError {
  std::string field;
  std::string message;
};

/// The split of the teams' upper limits over the shards, as one process has
/// read it from the log. All processes apply the same records in log order.
///
/// Each shard holds a fraction of the limit; what it may use is that fraction
/// of the limit rounded down. The fractions sum to one and the donor lowers its
/// own before it appends, so the sum of what all shards may use never exceeds
/// the highest limit that any of them still sees, however late each one reads.
/// After a change of limit, rounding leaves at most one unit a shard unused.
class AllotmentLedger {
 public:
  /// At most 1,024 shards, in the order of the initial split.
  explicit AllotmentLedger(std::vector<ShardId> shards);

  /// Applies a limit in log order. The first one splits it exactly, by shard
  /// order; a later one scales all allotments. Errors: `AllotmentError`.
  auto SetLimit(const TeamId& team, const Amount& limit)
      -> boost::leaf::result<void>;

  /// Lowers the donor's own allotment and gives the record to append. Errors:
  /// `AllotmentError` if the amount is not covered by `Usable(team, from)`.
  auto Propose(const TeamId& team,
               const ShardId& from,
               const ShardId& to,
               const Amount& amount) -> boost::leaf::result<AllotmentMove>;
  /// Restores a proposal that is known never to have been appended. False if
  /// there is no such proposal.
  auto Withdraw(const AllotmentMove& move) -> bool;
  /// Applies a record in log order, own or foreign. Errors: `AllotmentError` if
  /// it is not covered by what `from` holds at this point of the log; every
  /// reader refuses the same records, and a refused own proposal is undone.
  auto Apply(const AllotmentMove& move) -> boost::leaf::result<void>;

  /// What the shard may use: its allotment without its open proposals. Zero for
  /// an unknown team or shard.
  auto Usable(const TeamId& team, const ShardId& shard) const -> Amount;

 private:
  static constexpr std::size_t kComponents = 4;
  /// Parts of 2^60 of the limit, for each component of `Amount`.
  using Fractions = std::array<std::int64_t, kComponents>;
  using Components = std::array<std::int64_t, kComponents>;

  struct Team {
    Components limit{};
    std::vector<Fractions> held;     // In the order of the shards.
    std::vector<Fractions> offered;  // Open proposals of this process.
    std::vector<AllotmentMove> open;
  };

  static auto ToComponents(const Amount& amount) -> Components;
  static auto Delta(const AllotmentMove& move) -> Fractions;
  auto Index(const ShardId& shard) const -> std::size_t;
  auto Split(const Components& limit) const -> std::vector<Fractions>;
  auto Check(const AllotmentMove& move) const -> boost::leaf::result<void>;
  auto CloseProposal(Team& team, const AllotmentMove& move) -> bool;

  std::vector<ShardId> shards;
  std::unordered_map<ShardId, std::size_t> index;
  std::unordered_map<TeamId, Team> teams;
};

}  // namespace shallotbank::queueing
