#include "queueing/allotment_ledger.h"

#include <algorithm>

#include "bounds.h"

namespace shallotbank::queueing {
namespace {

namespace leaf = boost::leaf;

// Fractions are rounded by less than one part a move, so allotments are rounded
// down only after adding kSlack, 2^-12 of a unit; otherwise a whole amount
// could come out one unit short. With at most 2^10 shards and limits up to
// 2^40, the slack and the rounding together stay below one unit for the sum of
// all shards, which is a whole number and so never exceeds the limit.
constexpr std::int64_t kWhole = std::int64_t{1} << 60;
constexpr std::int64_t kSlack = kWhole >> 12;
constexpr std::size_t kMostShards = 1024;

__extension__ using Wide = unsigned __int128;

auto Units(std::int64_t limit, std::int64_t fraction) -> std::int64_t {
  const auto parts = static_cast<Wide>(limit) *
                     static_cast<Wide>(std::max<std::int64_t>(fraction, 0));
  return static_cast<std::int64_t>((parts + kSlack) / kWhole);
}

auto Fraction(std::int64_t units, std::int64_t of_limit) -> std::int64_t {
  if (units == 0) {
    return 0;
  }
  const auto parts = static_cast<Wide>(units) * static_cast<Wide>(kWhole);
  const auto limit = static_cast<Wide>(of_limit);
  return static_cast<std::int64_t>((parts + limit - 1) / limit);
}

// Whether what is held covers the fraction but for rounding.
auto IsCovered(std::int64_t fraction, std::int64_t held, std::int64_t of_limit)
    -> bool {
  return fraction == 0 || fraction <= held + kSlack / of_limit;
}

auto Refuse(std::string field, std::string message) -> leaf::error_id {
  return leaf::new_error(AllotmentError{std::move(field), std::move(message)});
}

}  // namespace

AllotmentLedger::AllotmentLedger(std::vector<ShardId> shards)
    : shards(std::move(shards)) {
  for (std::size_t k = 0; k < this->shards.size(); ++k) {
    this->index.emplace(this->shards[k], k);
  }
}

auto AllotmentLedger::ToComponents(const Amount& amount) -> Components {
  return {amount.resources.cores_milli, amount.resources.memory_mib,
          amount.resources.accelerators, amount.tasks};
}

auto AllotmentLedger::Index(const ShardId& shard) const -> std::size_t {
  const auto found = this->index.find(shard);
  return found == this->index.end() ? this->shards.size() : found->second;
}

auto AllotmentLedger::Split(const Components& limit) const
    -> std::vector<Fractions> {
  const auto count = static_cast<std::int64_t>(this->shards.size());
  std::vector<Fractions> held(this->shards.size());
  for (std::int64_t k = 0; k < count; ++k) {
    for (std::size_t c = 0; c < kComponents; ++c) {
      auto& fraction = held[static_cast<std::size_t>(k)][c];
      if (limit[c] == 0) {
        fraction = kWhole / count;
        continue;
      }
      const auto units = limit[c] / count + (k < limit[c] % count ? 1 : 0);
      fraction = Fraction(units, limit[c]);
    }
  }
  return held;
}

auto AllotmentLedger::SetLimit(const TeamId& team, const Amount& limit)
    -> leaf::result<void> {
  if (!IsLimit(limit)) {
    return Refuse("limit", "must be between 0 and 2^40");
  }
  if (this->shards.empty() || this->shards.size() > kMostShards) {
    return Refuse("shards", "must be between 1 and 1024");
  }
  auto& entry = this->teams[team];
  entry.limit = ToComponents(limit);
  if (entry.held.empty()) {
    entry.held = this->Split(entry.limit);
    entry.offered.resize(this->shards.size());
  }
  return {};
}

auto AllotmentLedger::Delta(const AllotmentMove& move) -> Fractions {
  const auto amount = ToComponents(move.amount);
  const auto of_limit = ToComponents(move.of_limit);
  Fractions delta{};
  for (std::size_t c = 0; c < kComponents; ++c) {
    delta[c] = Fraction(amount[c], of_limit[c]);
  }
  return delta;
}

auto AllotmentLedger::Check(const AllotmentMove& move) const
    -> leaf::result<void> {
  const auto found = this->teams.find(move.team);
  if (found == this->teams.end()) {
    return Refuse("team", "has no limit");
  }
  const auto from = this->Index(move.from);
  if (from == this->shards.size()) {
    return Refuse("from", "is not a shard");
  }
  if (this->Index(move.to) == this->shards.size() || move.to == move.from) {
    return Refuse("to", "is not another shard");
  }
  if (!IsLimit(move.of_limit)) {
    return Refuse("of_limit", "must be between 0 and 2^40");
  }
  if (!move.amount.IsNonNegative() || !move.amount.FitsIn(move.of_limit)) {
    return Refuse("amount", "must be between 0 and the limit");
  }
  const auto delta = Delta(move);
  const auto of_limit = ToComponents(move.of_limit);
  for (std::size_t c = 0; c < kComponents; ++c) {
    if (!IsCovered(delta[c], found->second.held[from][c], of_limit[c])) {
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
  BOOST_LEAF_CHECK(this->Check(move));
  const auto delta = Delta(move);
  const auto donor = this->Index(from);
  for (std::size_t c = 0; c < kComponents; ++c) {
    const auto rest = entry.held[donor][c] - entry.offered[donor][c];
    if (!IsCovered(delta[c], rest, limit[c])) {
      return Refuse("amount", "is not covered by what the donor may use");
    }
  }
  for (std::size_t c = 0; c < kComponents; ++c) {
    entry.offered[donor][c] += delta[c];
  }
  entry.open.push_back(move);
  return move;
}

auto AllotmentLedger::CloseProposal(Team& team, const AllotmentMove& move)
    -> bool {
  const auto found = std::find(team.open.begin(), team.open.end(), move);
  if (found == team.open.end()) {
    return false;
  }
  team.open.erase(found);
  const auto delta = Delta(move);
  const auto donor = this->Index(move.from);
  for (std::size_t c = 0; c < kComponents; ++c) {
    team.offered[donor][c] -= delta[c];
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
  BOOST_LEAF_CHECK(this->Check(move));
  auto& team = found->second;
  const auto delta = Delta(move);
  const auto donor = this->Index(move.from);
  const auto receiver = this->Index(move.to);
  for (std::size_t c = 0; c < kComponents; ++c) {
    const auto moved = std::min(delta[c], team.held[donor][c]);
    team.held[donor][c] -= moved;
    team.held[receiver][c] += moved;
  }
  return {};
}

auto AllotmentLedger::Usable(const TeamId& team, const ShardId& shard) const
    -> Amount {
  const auto found = this->teams.find(team);
  const auto position = this->Index(shard);
  if (found == this->teams.end() || position == this->shards.size()) {
    return {};
  }
  const auto& entry = found->second;
  Components usable{};
  for (std::size_t c = 0; c < kComponents; ++c) {
    usable[c] = Units(entry.limit[c],
                      entry.held[position][c] - entry.offered[position][c]);
  }
  return {{usable[0], usable[1], usable[2]}, usable[3]};
}

}  // namespace shallotbank::queueing
