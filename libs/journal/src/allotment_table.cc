#include "journal/allotment_table.h"

#include <algorithm>
#include <charconv>

#include "field_reader.h"

namespace shallotbank::journal {
namespace {

using configuration::Limit;
using nlohmann::json;

// Keeps the sum of all allotments far below the range of 64 bits.
constexpr std::int64_t kMaxAmount = 1'000'000'000'000;

/// Calls `action` with the corresponding amount of each of the given limits.
template <typename Action, typename... Limits>
auto ForEachAmount(const Action& action, Limits&... limits) -> void {
  action(limits.resources.cores_milli...);
  action(limits.resources.memory_mib...);
  action(limits.resources.accelerators...);
  action(limits.tasks...);
}

auto EqualAllotment(const Limit& total, std::int64_t shards, std::int64_t index)
    -> Limit {
  Limit allotment;
  ForEachAmount(
      [&](std::int64_t& amount, const std::int64_t& whole) {
        amount = whole / shards + (index < whole % shards ? 1 : 0);
      },
      allotment, total);
  return allotment;
}

/// Adapts the allotments to a changed limit. The first shard gets the rounding
/// remainder, so that the allotments add up to the new limit.
auto Rescale(std::vector<Limit>& allotments,
             const Limit& before,
             const Limit& after) -> void {
  const auto shards = static_cast<std::int64_t>(allotments.size());
  Limit left = after;
  for (std::int64_t i = 0; i < shards; ++i) {
    ForEachAmount(
        [&](std::int64_t& allotment, const std::int64_t& old_total,
            const std::int64_t& new_total, std::int64_t& remainder) {
          if (new_total >= old_total) {
            const auto added = new_total - old_total;
            allotment += added / shards + (i < added % shards ? 1 : 0);
          } else {
            // 128 bits, since the product of two amounts can exceed 64 bits.
            __extension__ using Wide = __int128;
            allotment = static_cast<std::int64_t>(static_cast<Wide>(allotment) *
                                                  new_total / old_total);
          }
          remainder -= allotment;
        },
        allotments[static_cast<std::size_t>(i)], before, after, left);
  }
  ForEachAmount([](std::int64_t& allotment,
                   const std::int64_t& remainder) { allotment += remainder; },
                allotments.front(), left);
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

auto AllotmentTable::AllotmentOf(
    const configuration::Configuration& configuration,
    const TeamId& team,
    const ShardId& shard) const -> Limit {
  const auto shards = configuration.GetPolicy().shards;
  const auto* found = configuration.FindTeam(team);
  const auto index = IndexOf(shard, shards);
  if (found == nullptr || !index) {
    return {};
  }
  const auto entry = this->by_team.find(team);
  if (entry == this->by_team.end()) {
    return EqualAllotment(found->limit, shards, *index);
  }
  return entry->second.allotments[static_cast<std::size_t>(*index)];
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
  if (!Covers(this->AllotmentOf(configuration, record.team, record.from),
              record.amount)) {
    return Invalid("not_covered");
  }
  const auto [position, is_new] = this->by_team.try_emplace(record.team);
  auto& entry = position->second;
  if (is_new) {
    entry.total = team->limit;
    for (std::int64_t i = 0; i < shards; ++i) {
      entry.allotments.push_back(EqualAllotment(team->limit, shards, i));
    }
  }
  auto& donor = entry.allotments[static_cast<std::size_t>(*from)];
  auto& receiver = entry.allotments[static_cast<std::size_t>(*to)];
  donor.resources -= record.amount.resources;
  donor.tasks -= record.amount.tasks;
  receiver.resources += record.amount.resources;
  receiver.tasks += record.amount.tasks;
  return kValid;
}

auto AllotmentTable::ApplyConfiguration(
    const configuration::Configuration& configuration) -> void {
  const auto shards =
      static_cast<std::size_t>(configuration.GetPolicy().shards);
  for (auto entry = this->by_team.begin(); entry != this->by_team.end();) {
    const auto* team = configuration.FindTeam(entry->first);
    if (team == nullptr || entry->second.allotments.size() != shards) {
      entry = this->by_team.erase(entry);
      continue;
    }
    if (!(team->limit == entry->second.total)) {
      Rescale(entry->second.allotments, entry->second.total, team->limit);
      entry->second.total = team->limit;
    }
    ++entry;
  }
}

auto AllotmentTable::Save(const SnapshotSink& sink) const -> void {
  for (const auto& [team, entry] : this->by_team) {
    auto allotments = json::array();
    for (const auto& allotment : entry.allotments) {
      allotments.push_back(WriteLimit(allotment));
    }
    sink({{"kind", "allotment"},
          {"team", team.Text()},
          {"total", WriteLimit(entry.total)},
          {"parts", std::move(allotments)}});
  }
}

auto AllotmentTable::Load(const json& item) -> bool {
  FirstError error;
  FieldReader reader(&item, "", error);
  const auto team = reader.Identifier<TeamId>("team");
  TeamAllotments entry;
  entry.total = reader.LimitValue("total");
  const auto* allotments = reader.Array("parts");
  if (error || allotments->empty()) {
    return false;
  }
  Limit sum;
  for (const auto& value : *allotments) {
    const json wrapped{{"part", value}};
    FieldReader allotment_reader(&wrapped, "parts", error);
    entry.allotments.push_back(allotment_reader.LimitValue("part"));
    sum.resources += entry.allotments.back().resources;
    sum.tasks += entry.allotments.back().tasks;
    if (error || sum.tasks > kMaxAmount) {
      return false;
    }
  }
  return sum == entry.total &&
         this->by_team.emplace(team, std::move(entry)).second;
}

}  // namespace shallotbank::journal
