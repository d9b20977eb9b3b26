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

// Guards against an initial split that differs between processes, or whose sum
// is not exactly the limit.
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

// Guards against a move that the donor's allotment does not cover, and against
// a donor that continues to use what it has proposed to give away.
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

// Models one process per shard, each at its own position in the log.
class ShardReaders {
 public:
  ShardReaders() {
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
    this->CheckTotal();
  }

  // Checks that all readers agree once they have read the whole log.
  auto ReadToEnd() -> void {
    for (std::uint32_t k = 0; k < kShards; ++k) {
      while (this->positions[k] < this->log.size()) {
        this->Read(k);
        this->CheckTotal();
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
    const auto usable = this->ledgers[shard].Usable(kTeam, shards[shard]);
    const std::int64_t divisor = 1 + value / 4 % 4;
    const Amount amount{
        {usable.resources.cores_milli / divisor,
         usable.resources.memory_mib / divisor, usable.resources.accelerators},
        usable.tasks / divisor};
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
      // A shard's allotment covered the move when the shard proposed it.
      RC_ASSERT(
          static_cast<bool>(ledger.Apply(std::get<AllotmentMove>(record))));
    }
  }

  auto CheckTotal() const -> void {
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

// Guards against a total use above the limit while readers lag by any number of
// records, or one of them is paused, across moves and limit changes.
BOOST_AUTO_TEST_CASE(SumNeverExceedsTheHighestLimitInUse) {
  BOOST_TEST(CheckHistories(2000, 120, [](const History& history) {
    ShardReaders readers;
    for (const auto bits : history) {
      readers.Step(bits);
    }
    readers.ReadToEnd();
  }));
}

}  // namespace
}  // namespace shallotbank::queueing
