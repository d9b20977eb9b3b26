#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "history.h"
#include "journal/retention_planner.h"

namespace shallotbank::journal {
namespace {

struct FixedSeed {
  FixedSeed() {
    setenv("RC_PARAMS", "seed=20261204 max_success=300 noshrink=1", 1);
  }
};
BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

// Small enough that the generated logs reach every limit.
constexpr ReplicaLimits kLimits{.max_unfinished_jobs = 4,
                                .max_unfinished_tasks = 8,
                                .max_finished_jobs = 2,
                                .finished_job_window = std::chrono::hours(3),
                                .max_request_ids = 4,
                                .max_answer_bytes = 10,
                                .writer_window = std::chrono::hours(48)};
constexpr std::size_t kPieceBytes = 1600;

/// Appends `batches` to the log, with snapshots of what a replica has read in
/// between. Other batches overtake the pieces of a snapshot.
auto WithSnapshots(const LogBytes& batches, ChoiceSequence& choices)
    -> LogBytes {
  LogBytes log;
  Replica reader(ProcessId(), 0, kLimits);
  std::vector<std::string> pieces;
  std::uint64_t snapshot = 0;
  std::uint64_t sequence = 0;
  const auto append = [&](const std::string& bytes) {
    reader.Apply(log.size(), bytes);
    log.push_back(bytes);
  };
  for (const auto& bytes : batches) {
    append(bytes);
    if (pieces.empty() && choices.Next(3) == 0) {
      for (auto& piece : MakeSnapshot(reader, ++snapshot, kPieceBytes)) {
        pieces.push_back(
            EncodeOrEmpty("snapshotter", ++sequence, {std::move(piece)}));
      }
      // Some snapshots are never completed.
      if (choices.Next(4) == 0 && !pieces.empty()) {
        pieces.pop_back();
      }
    }
    for (auto count = choices.Next(4); count > 0 && !pieces.empty(); --count) {
      append(pieces.back());
      pieces.pop_back();
    }
  }
  return log;
}

// Guards against a replica that starts in the middle of the log and exposes a
// state with a gap, or never becomes ready.
BOOST_AUTO_TEST_CASE(StartFromSnapshot) {
  std::size_t ready = 0;
  BOOST_TEST(rc::check("a late start reaches the same state", [&] {
    auto choices = DrawChoices(1200);
    const auto log = WithSnapshots(
        RandomLog(choices, 25, std::chrono::minutes(30)), choices);
    Replica full(ProcessId(), 0, kLimits);
    std::vector<std::string> expected{Fingerprint(*full.State())};
    for (Offset offset = 0; offset < log.size(); ++offset) {
      full.Apply(offset, log[offset]);
      expected.push_back(Fingerprint(*full.State()));
    }
    const auto first = 1 + choices.Next(log.size() - 1);
    Replica late(ProcessId(), 0, kLimits);
    late.RestartAt(first);
    RC_ASSERT(late.State() == nullptr);
    Offset highest_visible = 0;
    while (late.Next() < log.size()) {
      const auto offset = late.Next();
      late.Apply(offset, log[offset]);
      if (late.State() != nullptr) {
        RC_ASSERT(Fingerprint(*late.State()) == expected[late.Next()]);
        RC_ASSERT(late.Next() > highest_visible);
        highest_visible = late.Next();
      }
      // The log expires a record that has not been read yet.
      if (choices.Next(60) == 1) {
        late.RestartAt(late.Next() + 2);
        RC_ASSERT(late.State() == nullptr);
      }
    }
    const auto replay_start = full.ReplayStart();
    if (late.Counters().gaps == 0 && replay_start >= first &&
        replay_start > 0) {
      ready += late.State() != nullptr ? 1U : 0U;
    }
  }));
  // Ensures that the property was tested on enough replicas that became ready.
  BOOST_TEST(ready > 50U);
}

// Guards against a snapshot that is written too late for the retention of the
// log. A host without state must find a complete snapshot at any time.
BOOST_AUTO_TEST_CASE(Retention) {
  constexpr std::chrono::hours kRetention(12);
  constexpr std::chrono::minutes kStep(20);
  RetentionPlanner planner(kRetention);
  Replica owner;
  LogBytes log;
  Offset first = 0;
  std::uint64_t sequence = 0;
  std::uint64_t snapshots = 0;
  const auto append = [&](std::vector<Record> records, WallTime now) {
    log.push_back(EncodeOrEmpty("w", ++sequence, std::move(records), now));
    owner.Apply(log.size() - 1, log.back());
  };
  std::vector<WallTime> times;
  for (int i = 0; i < 300; ++i) {
    const auto now = kStart + kStep * i;
    append({JobAccepted{SmallJob("j" + std::to_string(i))}}, now);
    if (planner.IsSnapshotDue(owner, first, now)) {
      planner.SnapshotStarted(now);
      for (auto& piece : MakeSnapshot(owner, ++snapshots, 10'000)) {
        BOOST_TEST_REQUIRE(EncodedSize(piece) <= 10'000U);
        append({std::move(piece)}, now);
      }
    }
    times.resize(log.size(), now);
    while (now - times[first] > kRetention) {
      ++first;
    }
    if (i % 8 != 0) {
      continue;
    }
    Replica fresh;
    fresh.RestartAt(first);
    while (fresh.Next() < log.size()) {
      fresh.Apply(fresh.Next(), log[fresh.Next()]);
    }
    BOOST_TEST_REQUIRE(fresh.State() != nullptr);
    BOOST_TEST_REQUIRE(fresh.State()->Jobs().UnfinishedCount() ==
                       static_cast<std::size_t>(i + 1));
  }
  // 100 hours with one snapshot every 6 hours.
  BOOST_TEST(snapshots >= 15U);
  BOOST_TEST(snapshots <= 18U);
}

}  // namespace
}  // namespace shallotbank::journal
