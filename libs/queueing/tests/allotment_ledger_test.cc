#include "queueing/allotment_ledger.h"

#include <algorithm>
#include <variant>

#include <boost/test/unit_test.hpp>

#include "check_property.h"

namespace shallotbank::queueing {
namespace {

const TeamId kTeam("t");
constexpr std::uint32_t kShards = 4;

auto MakeShards() -> std::vector<ShardId> {
  std::vector<ShardId> shards;
  for (std::uint32_t k = 0; k < kShards; ++k) {
    shards.emplace_back("shard" + std::to_string(k));
  }
  return shards;
}

auto Total(const AllotmentLedger& ledger) -> Amount {
  Amount total;
  for (const auto& shard : MakeShards()) {
    total += ledger.Usable(kTeam, shard);
  }
  return total;
}

// Guards against an initial split that differs between processes, or that
// loses or invents a unit.
BOOST_AUTO_TEST_CASE(InitialSplitIsExactAndByShardOrder) {
  for (const std::int64_t tasks : {0, 1, 3, 4, 10, 1000003}) {
    AllotmentLedger ledger(MakeShards());
    const Amount limit{{64'000 + tasks, kUnlimited - tasks, 7}, tasks};
    BOOST_REQUIRE(ledger.SetLimit(kTeam, limit));
    BOOST_TEST((Total(ledger) == limit));
    const auto first = ledger.Usable(kTeam, ShardId("shard0"));
    BOOST_TEST(first.tasks == (tasks + 3) / 4);
    BOOST_TEST(first.resources.accelerators == 2);
  }
}

// Guards against a move that is not covered, and a donor that goes on using
// what it has offered.
BOOST_AUTO_TEST_CASE(MoveHasToBeCovered) {
  AllotmentLedger ledger(MakeShards());
  BOOST_REQUIRE(ledger.SetLimit(kTeam, {{}, 40}));
  const ShardId from("shard0");
  const ShardId to("shard1");
  BOOST_TEST(!ledger.Propose(kTeam, from, to, {{}, 11}));
  const auto move = ledger.Propose(kTeam, from, to, {{}, 7});
  BOOST_REQUIRE(move);
  BOOST_TEST(ledger.Usable(kTeam, from).tasks == 3);
  BOOST_TEST(ledger.Usable(kTeam, to).tasks == 10);
  BOOST_TEST(!ledger.Propose(kTeam, from, to, {{}, 4}));
  BOOST_REQUIRE(ledger.Apply(*move));
  BOOST_TEST(ledger.Usable(kTeam, from).tasks == 3);
  BOOST_TEST(ledger.Usable(kTeam, to).tasks == 17);
  BOOST_TEST(!ledger.Apply(*move));
  BOOST_TEST((Total(ledger) == Amount{{}, 40}));
  const auto dropped = ledger.Propose(kTeam, to, from, {{}, 17});
  BOOST_REQUIRE(dropped);
  BOOST_TEST(ledger.Withdraw(*dropped));
  BOOST_TEST(!ledger.Withdraw(*dropped));
  BOOST_TEST(ledger.Usable(kTeam, to).tasks == 17);
  BOOST_REQUIRE(ledger.SetLimit(kTeam, {{}, 20}));
  BOOST_TEST(ledger.Usable(kTeam, to).tasks == 8);
  BOOST_REQUIRE(ledger.SetLimit(kTeam, {{}, 40}));
  BOOST_TEST(ledger.Usable(kTeam, to).tasks == 17);
}

// One process for each shard, each with its own position in the log.
class Fleet {
 public:
  Fleet() {
    this->Append(Amount{{1000, 0, 3}, 10});
    for (std::uint32_t k = 0; k < kShards; ++k) {
      this->ledgers.emplace_back(MakeShards());
      this->positions.push_back(0);
      this->Read(k);
    }
  }

  auto Step(std::uint32_t bits) -> void {
    const auto kind = bits % 8;
    const auto shard = bits / 8 % kShards;
    const auto value = bits / 32;
    if (kind == 0) {
      const std::int64_t tasks = value % 40;
      this->Append(Amount{{tasks * 77, tasks * 1001, tasks / 3}, tasks});
    } else if (kind < 4) {
      this->Propose(shard, value);
    } else {
      this->Read(shard);
    }
    this->CheckSum();
  }

  // Guards against readers that disagree once all have read the whole log.
  auto Settle() -> void {
    for (std::uint32_t k = 0; k < kShards; ++k) {
      while (this->positions[k] < this->log.size()) {
        this->Read(k);
        this->CheckSum();
      }
    }
    for (const auto& shard : MakeShards()) {
      for (const auto& ledger : this->ledgers) {
        RC_ASSERT(ledger.Usable(kTeam, shard) ==
                  this->ledgers[0].Usable(kTeam, shard));
      }
    }
    const auto unused =
        this->limits.back().tasks - Total(this->ledgers[0]).tasks;
    RC_ASSERT(unused >= 0 && unused < kShards);
  }

 private:
  using Record = std::variant<Amount, AllotmentMove>;

  auto Append(Record record) -> void {
    const auto* limit = std::get_if<Amount>(&record);
    this->limits.push_back(limit == nullptr ? this->limits.back() : *limit);
    this->log.push_back(std::move(record));
  }

  auto Propose(std::uint32_t shard, std::uint32_t value) -> void {
    const auto shards = MakeShards();
    const auto to = (shard + 1 + value % (kShards - 1)) % kShards;
    const auto room = this->ledgers[shard].Usable(kTeam, shards[shard]);
    const std::int64_t part = 1 + value / 4 % 4;
    const Amount amount{
        {room.resources.cores_milli / part, room.resources.memory_mib / part,
         room.resources.accelerators},
        room.tasks / part};
    const auto move =
        this->ledgers[shard].Propose(kTeam, shards[shard], shards[to], amount);
    RC_ASSERT(static_cast<bool>(move));
    this->Append(*move);
  }

  auto Read(std::uint32_t shard) -> void {
    auto& position = this->positions[shard];
    if (position == this->log.size()) {
      return;
    }
    const auto& record = this->log[position++];
    auto& ledger = this->ledgers[shard];
    if (const auto* limit = std::get_if<Amount>(&record)) {
      RC_ASSERT(static_cast<bool>(ledger.SetLimit(kTeam, *limit)));
    } else {
      // Proposals of a shard are covered by what it held when it made them.
      RC_ASSERT(
          static_cast<bool>(ledger.Apply(std::get<AllotmentMove>(record))));
    }
  }

  auto CheckSum() const -> void {
    Amount total;
    for (std::uint32_t k = 0; k < kShards; ++k) {
      total += this->ledgers[k].Usable(kTeam, MakeShards()[k]);
    }
    const auto [first, last] =
        std::minmax_element(this->positions.begin(), this->positions.end());
    Amount highest;
    for (auto position = *first; position <= *last; ++position) {
      const auto& limit = this->limits[position - 1];
      highest.resources = Max(highest.resources, limit.resources);
      highest.tasks = std::max(highest.tasks, limit.tasks);
    }
    RC_ASSERT(total.FitsIn(highest));
  }

  std::vector<Record> log;
  std::vector<Amount> limits;  // In force after each record.
  std::vector<AllotmentLedger> ledgers;
  std::vector<std::size_t> positions;
};

// Guards against a fleet-wide use above the limit while readers lag by any
// number of records, or one of them is paused, across moves and limit changes.
BOOST_AUTO_TEST_CASE(SumNeverExceedsTheHighestLimitInSight) {
  BOOST_TEST(CheckHistories(2000, 120, [](const History& history) {
    Fleet fleet;
    for (const auto bits : history) {
      fleet.Step(bits);
    }
    fleet.Settle();
  }));
}

}  // namespace
}  // namespace shallotbank::queueing
