#include "queueing/allotment_ledger.h"

#include <algorithm>

#include "bounds.h"

namespace shallotbank::queueing {
namespace {

namespace leaf = boost::leaf;

// Each move rounds a fraction by less than 2^-60, so allotments are rounded
// down only after adding kRoundingSlack, 2^-12 of a unit; otherwise a whole
// amount could come out one unit short. With at most 2^10 shards and limits up
// to 2^40, slack and rounding together stay below one unit for the sum of all
// shards. The sum is an integer and so never exceeds the limit.
constexpr std::int64_t kFractionOne = std::int64_t{1} << 60;
constexpr std::int64_t kRoundingSlack = kFractionOne >> 12;
constexpr std::size_t kMaxShards = 1024;

__extension__ using Uint128 = unsigned __int128;

auto ToUnits(std::int64_t limit, std::int64_t fraction) -> std::int64_t {
  const auto parts = static_cast<Uint128>(limit) *
                     static_cast<Uint128>(std::max<std::int64_t>(fraction, 0));
  return static_cast<std::int64_t>((parts + kRoundingSlack) / kFractionOne);
}

auto ToFraction(std::int64_t units, std::int64_t of_limit) -> std::int64_t {
  if (units == 0) {
    return 0;
  }
  const auto parts =
      static_cast<Uint128>(units) * static_cast<Uint128>(kFractionOne);
  const auto limit = static_cast<Uint128>(of_limit);
  return static_cast<std::int64_t>((parts + limit - 1) / limit);
}

// Returns whether `available` covers the fraction, up to rounding.
auto IsCovered(std::int64_t fraction,
               std::int64_t available,
               std::int64_t of_limit) -> bool {
  return fraction == 0 || fraction <= available + kRoundingSlack / of_limit;
}

auto Refuse(std::string field, std::string message) -> leaf::error_id {
  return leaf::new_error(AllotmentError{std::move(field), std::move(message)});
}

}  // namespace

AllotmentLedger::AllotmentLedger(std::vector<ShardId> shards)
    : shards(std::move(shards)) {
  for (std::size_t k = 0; k < this->shards.size(); ++k) {
    this->shard_index.emplace(this->shards[k], k);
  }
}

auto AllotmentLedger::ToComponents(const Amount& amount) -> Components {
  return {amount.resources.cores_milli, amount.resources.memory_mib,
          amount.resources.accelerators, amount.tasks};
}

auto AllotmentLedger::ShardIndex(const ShardId& shard) const -> std::size_t {
  const auto found = this->shard_index.find(shard);
  return found == this->shard_index.end() ? this->shards.size() : found->second;
}

auto AllotmentLedger::InitialSplit(const Components& limit) const
    -> std::vector<Fractions> {
  const auto count = static_cast<std::int64_t>(this->shards.size());
  std::vector<Fractions> allotted(this->shards.size());
  for (std::int64_t k = 0; k < count; ++k) {
    for (std::size_t c = 0; c < kComponents; ++c) {
      auto& fraction = allotted[static_cast<std::size_t>(k)][c];
      if (limit[c] == 0) {
        fraction = kFractionOne / count;
        continue;
      }
      const auto units = limit[c] / count + (k < limit[c] % count ? 1 : 0);
      fraction = ToFraction(units, limit[c]);
    }
  }
  return allotted;
}

auto AllotmentLedger::SetLimit(const TeamId& team, const Amount& limit)
    -> leaf::result<void> {
  if (!IsValidLimit(limit)) {
    return Refuse("limit", "must be between 0 and 2^40");
  }
  if (this->shards.empty() || this->shards.size() > kMaxShards) {
    return Refuse("shards", "must be between 1 and 1024");
  }
  auto& entry = this->teams[team];
  entry.limit = ToComponents(limit);
  if (entry.allotted.empty()) {
    entry.allotted = this->InitialSplit(entry.limit);
    entry.proposed.resize(this->shards.size());
  }
  return {};
}

auto AllotmentLedger::MovedFractions(const AllotmentMove& move) -> Fractions {
  const auto amount = ToComponents(move.amount);
  const auto of_limit = ToComponents(move.of_limit);
  Fractions delta{};
  for (std::size_t c = 0; c < kComponents; ++c) {
    delta[c] = ToFraction(amount[c], of_limit[c]);
  }
  return delta;
}

auto AllotmentLedger::ValidateMove(const AllotmentMove& move) const
    -> leaf::result<void> {
  const auto found = this->teams.find(move.team);
  if (found == this->teams.end()) {
    return Refuse("team", "has no limit");
  }
  const auto from = this->ShardIndex(move.from);
  if (from == this->shards.size()) {
    return Refuse("from", "is not a shard");
  }
  if (this->ShardIndex(move.to) == this->shards.size() ||
      move.to == move.from) {
    return Refuse("to", "is not another shard");
  }
  if (!IsValidLimit(move.of_limit)) {
    return Refuse("of_limit", "must be between 0 and 2^40");
  }
  if (!move.amount.IsNonNegative() || !move.amount.FitsIn(move.of_limit)) {
    return Refuse("amount", "must be between 0 and the limit");
  }
  const auto delta = MovedFractions(move);
  const auto of_limit = ToComponents(move.of_limit);
  for (std::size_t c = 0; c < kComponents; ++c) {
    if (!IsCovered(delta[c], found->second.allotted[from][c], of_limit[c])) {
      return Refuse("amount", "is not covered by what the donor holds");
    }
  }
  return {};
}

auto AllotmentLedger::Propose(const TeamId& team,
                              const ShardId& from,
                              const ShardId& to,
                              const Amount& amount)
    -> leaf::result<AllotmentMove> {
  const auto found = this->teams.find(team);
  if (found == this->teams.end()) {
    return Refuse("team", "has no limit");
  }
  auto& entry = found->second;
  const auto& limit = entry.limit;
  AllotmentMove move{
      team, from, to, amount, {{limit[0], limit[1], limit[2]}, limit[3]}};
  BOOST_LEAF_CHECK(this->ValidateMove(move));
  const auto delta = MovedFractions(move);
  const auto donor = this->ShardIndex(from);
  for (std::size_t c = 0; c < kComponents; ++c) {
    const auto available = entry.allotted[donor][c] - entry.proposed[donor][c];
    if (!IsCovered(delta[c], available, limit[c])) {
      return Refuse("amount", "is not covered by what the donor may use");
    }
  }
  for (std::size_t c = 0; c < kComponents; ++c) {
    entry.proposed[donor][c] += delta[c];
  }
  entry.open_proposals.push_back(move);
  return move;
}

auto AllotmentLedger::CloseProposal(Team& team, const AllotmentMove& move)
    -> bool {
  const auto found =
      std::find(team.open_proposals.begin(), team.open_proposals.end(), move);
  if (found == team.open_proposals.end()) {
    return false;
  }
  team.open_proposals.erase(found);
  const auto delta = MovedFractions(move);
  const auto donor = this->ShardIndex(move.from);
  for (std::size_t c = 0; c < kComponents; ++c) {
    team.proposed[donor][c] -= delta[c];
  }
  return true;
}

auto AllotmentLedger::Withdraw(const AllotmentMove& move) -> bool {
  const auto found = this->teams.find(move.team);
  return found != this->teams.end() && this->CloseProposal(found->second, move);
}

auto AllotmentLedger::Apply(const AllotmentMove& move) -> leaf::result<void> {
  const auto found = this->teams.find(move.team);
  if (found != this->teams.end()) {
    this->CloseProposal(found->second, move);
  }
  BOOST_LEAF_CHECK(this->ValidateMove(move));
  auto& team = found->second;
  const auto delta = MovedFractions(move);
  const auto donor = this->ShardIndex(move.from);
  const auto receiver = this->ShardIndex(move.to);
  for (std::size_t c = 0; c < kComponents; ++c) {
    const auto moved = std::min(delta[c], team.allotted[donor][c]);
    team.allotted[donor][c] -= moved;
    team.allotted[receiver][c] += moved;
  }
  return {};
}

auto AllotmentLedger::Usable(const TeamId& team, const ShardId& shard) const
    -> Amount {
  const auto found = this->teams.find(team);
  const auto position = this->ShardIndex(shard);
  if (found == this->teams.end() || position == this->shards.size()) {
    return {};
  }
  const auto& entry = found->second;
  Components usable{};
  for (std::size_t c = 0; c < kComponents; ++c) {
    usable[c] = ToUnits(entry.limit[c], entry.allotted[position][c] -
                                            entry.proposed[position][c]);
  }
  return {{usable[0], usable[1], usable[2]}, usable[3]};
}

}  // namespace shallotbank::queueing
