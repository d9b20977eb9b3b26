#include "journal/allotment_table.h"

#include <algorithm>
#include <charconv>

#include "field_reader.h"

namespace shallotbank::journal {
namespace {

using configuration::Limit;
using nlohmann::json;

// The sum of all parts stays far below the range of 64 bits.
constexpr std::int64_t kMaxAmount = 1'000'000'000'000;

/// Calls `action` with the same amount of each of the given limits.
template <typename Action, typename... Limits>
auto ForEachAmount(const Action& action, Limits&... limits) -> void {
  action(limits.resources.cores_milli...);
  action(limits.resources.memory_mib...);
  action(limits.resources.accelerators...);
  action(limits.tasks...);
}

auto EqualPart(const Limit& total, std::int64_t shards, std::int64_t index)
    -> Limit {
  Limit part;
  ForEachAmount(
      [&](std::int64_t& amount, const std::int64_t& whole) {
        amount = whole / shards + (index < whole % shards ? 1 : 0);
      },
      part, total);
  return part;
}

/// Follows a change of the limit. What rounding leaves over goes to the first
/// shard, so that the parts add up to the new limit.
auto Rescale(std::vector<Limit>& parts, const Limit& before, const Limit& after)
    -> void {
  const auto shards = static_cast<std::int64_t>(parts.size());
  Limit left = after;
  for (std::int64_t i = 0; i < shards; ++i) {
    ForEachAmount(
        [&](std::int64_t& part, const std::int64_t& old_total,
            const std::int64_t& new_total, std::int64_t& remainder) {
          if (new_total >= old_total) {
            const auto added = new_total - old_total;
            part += added / shards + (i < added % shards ? 1 : 0);
          } else {
            // 128 bits, since the product of two amounts can exceed 64.
            __extension__ using Wide = __int128;
            part = static_cast<std::int64_t>(static_cast<Wide>(part) *
                                             new_total / old_total);
          }
          remainder -= part;
        },
        parts[static_cast<std::size_t>(i)], before, after, left);
  }
  ForEachAmount([](std::int64_t& part,
                   const std::int64_t& remainder) { part += remainder; },
                parts.front(), left);
}

auto IndexOf(const ShardId& shard, std::int64_t shards)
    -> std::optional<std::int64_t> {
  const auto dash = shard.Text().rfind('-');
  if (dash == std::string::npos) {
    return std::nullopt;
  }
  std::int64_t index = -1;
  const auto* end = shard.Text().data() + shard.Text().size();
  std::from_chars(shard.Text().data() + dash + 1, end, index);
  if (index < 0 || index >= shards || configuration::ShardAt(index) != shard) {
    return std::nullopt;
  }
  return index;
}

auto Covers(const Limit& held, const Limit& amount) -> bool {
  return amount.resources.IsNonNegative() && amount.tasks >= 0 &&
         amount.resources.FitsIn(held.resources) && amount.tasks <= held.tasks;
}

}  // namespace

auto AllotmentTable::Of(const configuration::Configuration& configuration,
                        const TeamId& team,
                        const ShardId& shard) const -> Limit {
  const auto shards = configuration.GetPolicy().shards;
  const auto* found = configuration.FindTeam(team);
  const auto index = IndexOf(shard, shards);
  if (found == nullptr || !index) {
    return {};
  }
  const auto split = this->splits.find(team);
  if (split == this->splits.end()) {
    return EqualPart(found->limit, shards, *index);
  }
  return split->second.parts[static_cast<std::size_t>(*index)];
}

auto AllotmentTable::Apply(const AllotmentMoved& record,
                           const ProcessId& writer,
                           const ClaimTable& claims,
                           const configuration::Configuration& configuration)
    -> RecordOutcome {
  const auto* ownership = claims.Find(ResourceOf(record.from));
  if (ownership == nullptr || ownership->epoch != record.from_epoch ||
      ownership->owner != writer) {
    return Invalid("not_owner");
  }
  const auto shards = configuration.GetPolicy().shards;
  const auto from = IndexOf(record.from, shards);
  const auto to = IndexOf(record.to, shards);
  const auto* team = configuration.FindTeam(record.team);
  if (!from || !to || from == to || team == nullptr) {
    return Invalid("unknown_allotment");
  }
  if (!Covers(this->Of(configuration, record.team, record.from),
              record.amount)) {
    return Invalid("not_covered");
  }
  const auto [place, is_new] = this->splits.try_emplace(record.team);
  auto& split = place->second;
  if (is_new) {
    split.total = team->limit;
    for (std::int64_t i = 0; i < shards; ++i) {
      split.parts.push_back(EqualPart(team->limit, shards, i));
    }
  }
  auto& donor = split.parts[static_cast<std::size_t>(*from)];
  auto& receiver = split.parts[static_cast<std::size_t>(*to)];
  donor.resources -= record.amount.resources;
  donor.tasks -= record.amount.tasks;
  receiver.resources += record.amount.resources;
  receiver.tasks += record.amount.tasks;
  return kValid;
}

auto AllotmentTable::Follow(const configuration::Configuration& configuration)
    -> void {
  const auto shards =
      static_cast<std::size_t>(configuration.GetPolicy().shards);
  for (auto split = this->splits.begin(); split != this->splits.end();) {
    const auto* team = configuration.FindTeam(split->first);
    if (team == nullptr || split->second.parts.size() != shards) {
      split = this->splits.erase(split);
      continue;
    }
    if (!(team->limit == split->second.total)) {
      Rescale(split->second.parts, split->second.total, team->limit);
      split->second.total = team->limit;
    }
    ++split;
  }
}

auto AllotmentTable::Save(const SnapshotSink& sink) const -> void {
  for (const auto& [team, split] : this->splits) {
    auto parts = json::array();
    for (const auto& part : split.parts) {
      parts.push_back(WritePart(part));
    }
    sink({{"kind", "allotment"},
          {"team", team.Text()},
          {"total", WritePart(split.total)},
          {"parts", std::move(parts)}});
  }
}

auto AllotmentTable::Load(const json& item) -> bool {
  FirstError error;
  FieldReader reader(&item, "", error);
  const auto team = reader.Name<TeamId>("team");
  Split split;
  split.total = reader.Part("total");
  const auto* parts = reader.Array("parts");
  if (error || parts->empty()) {
    return false;
  }
  Limit sum;
  for (const auto& value : *parts) {
    const json wrapped{{"part", value}};
    FieldReader part_reader(&wrapped, "parts", error);
    split.parts.push_back(part_reader.Part("part"));
    sum.resources += split.parts.back().resources;
    sum.tasks += split.parts.back().tasks;
    if (error || sum.tasks > kMaxAmount) {
      return false;
    }
  }
  return sum == split.total &&
         this->splits.emplace(team, std::move(split)).second;
}

}  // namespace shallotbank::journal
